/*
 * HTTP/1.1 client for calls to targets over pooled keep-alive connections.
 *
 * A dialer and everything it creates belong to the thread of one event loop.
 * A call is sent at most once: it is never retried on another connection.
 * Bytes received on an idle connection close it, and a response that echoes
 * another call's id is skipped.
 *
 * Load pattern: a target limits the connections of all hosts together and
 * resets those beyond the limit, with the calls on them.  Therefore the idle
 * connections to an address can be limited; the oldest are closed before a new
 * connection is opened.
 */
#ifndef PLAT_DIAL_H
#define PLAT_DIAL_H

#include "base/clock.h"
#include "plat/httpmsg.h"

#include <event2/event.h>

struct dialer;
struct dial_call;

enum dial_event {
	DIAL_HEAD,   /* status and header fields have been received */
	DIAL_BODY,   /* body bytes have been received; take them from m->body */
	DIAL_END,    /* the response is complete */
	DIAL_UNSENT, /* no connection could be made: nothing was sent */
	DIAL_BROKEN, /* it was sent and the response is incomplete */
	DIAL_BAD_RESPONSE /* the header section is malformed */
};

/*
 * Receives the events of a call.  DIAL_END, DIAL_UNSENT, DIAL_BROKEN and
 * DIAL_BAD_RESPONSE are final: the call is freed after them.  m is NULL with
 * the last three.
 */
typedef void (*dial_handler)(
    void *arg, enum dial_event ev, const struct httpmsg *m);

struct dial_opts {
	struct str addr;         /* IP:PORT */
	struct str head;         /* request line to blank line, inclusive */
	struct evbuffer *body;   /* moved into the call; NULL: no body */
	struct str call_id_name; /* field that echoes the id; empty: none */
	struct str call_id;      /* the value of that field in the response */
	bool head_only; /* the method is HEAD: the response has no body */
	usec_t connect_timeout;
	usec_t max_idle_time;    /* beyond it one is not reused; 0: default */
	uint32_t max_idle_conns; /* kept to the address; 0: no limit */
	dial_handler handler;
	void *arg;
};

struct dial_counts {
	uint64_t calls;
	uint64_t connections; /* opened */
	uint64_t stray;       /* responses and bytes that belong to no call */
};

struct dialer *dialer_new(struct event_base *base);
/* Starts a call; returns NULL if no connection could be started. */
struct dial_call *dial_start(struct dialer *d, const struct dial_opts *o);
/* Closes the call's connection; the handler is not called again. */
void dial_cancel(struct dial_call *k);
/* Closes the idle connections to an address whose target is gone. */
void dial_close_idle(struct dialer *d, struct str addr);
/*
 * Closes connections that have been idle for too long; to be called
 * periodically.
 */
void dialer_sweep(struct dialer *d, usec_t now);
struct dial_counts dialer_counts(const struct dialer *d);
void dialer_free(struct dialer *d);

#endif
