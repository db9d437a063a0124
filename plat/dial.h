/*
 * HTTP/1.1 calls to targets over connections that are kept in use.
 *
 * One event loop owns a dialer and everything made by it.  A call is sent
 * once: never again on another connection, whatever becomes of this one.
 * Bytes that come while a connection is idle close it, and an answer whose
 * echoed call id is another call's is skipped.
 *
 * Load pattern: a target accepts so many connections of all hosts together and
 * resets what is beyond that, with the calls on them.  So a caller can say how
 * many idle ones are kept; the oldest are closed before a new one is opened.
 */
#ifndef PLAT_DIAL_H
#define PLAT_DIAL_H

#include "base/clock.h"
#include "plat/httpmsg.h"

#include <event2/event.h>

struct dialer;
struct dial_call;

enum dial_event {
	DIAL_HEAD,   /* status and fields are known */
	DIAL_BODY,   /* bytes of the body came; take them from the message */
	DIAL_END,    /* the answer is whole */
	DIAL_UNSENT, /* no connection: nothing was sent */
	DIAL_BROKEN, /* it was sent and its answer is not whole */
	DIAL_BAD_RESPONSE /* what came is no answer to this call */
};

/* After END, UNSENT, BROKEN and GARBLED the call is gone. */
typedef void (*dial_handler)(
    void *arg, enum dial_event ev, const struct httpmsg *m);

struct dial_opts {
	struct str addr; /* IP:PORT */
	struct str head; /* request line and fields, with the blank line */
	struct evbuffer *body; /* drained into the call; may be NULL */
	struct str
	    call_id_name;   /* the field that echoes the call id, or empty */
	struct str call_id; /* the call id */
	bool head_only;     /* the method is HEAD */
	usec_t connect_timeout;
	usec_t max_idle_time; /* of a connection in use before; 0: the usual */
	uint32_t
	    max_idle_conns; /* idle connections to the address; 0: any number */
	dial_handler handler;
	void *arg;
};

struct dial_counts {
	uint64_t calls;
	uint64_t connections; /* opened */
	uint64_t stray;       /* answers and bytes that belonged to no call */
};

struct dialer *dialer_new(struct event_base *base);
struct dial_call *dial_start(struct dialer *d, const struct dial_opts *o);
/* Closes the call's connection; its handler is not called again. */
void dial_cancel(struct dial_call *k);
/* Closes idle connections to an address whose target has gone. */
void dial_close_idle(struct dialer *d, struct str addr);
/* Closes connections that have been idle for too long; call it regularly. */
void dialer_sweep(struct dialer *d, usec_t now);
struct dial_counts dialer_counts(const struct dialer *d);
void dialer_free(struct dialer *d);

#endif
