/*
 * HTTP/1.1 client for calls to targets over pooled keep-alive connections.
 *
 * A dialer and everything it creates belong to the thread of one event loop.
 * A call is sent at most once: it is never retried on another connection.
 * Bytes received on an idle connection close it, and a response that echoes
 * another call's id is skipped.  A call without an id can't tell its response
 * from an earlier one that the target has written once more: its own response
 * would then be taken for that of the next call.  So its connection is closed
 * afterwards, unless dial_confirm() was called.  A target in trouble may send
 * bytes without end: a call fails when its header section, or the body that its
 * handler has not taken, or a skipped response exceeds a limit.
 *
 * A call may ask for its connection to be checked: a request of the caller's is
 * sent first, and the call itself only if the caller accepts the response.  A
 * connection that was checked with the same number before is not checked again.
 *
 * Load pattern: a target limits the connections of all hosts together and
 * resets those beyond the limit, with the calls on them.  Therefore the idle
 * connections to an address can be limited; the oldest are closed before a new
 * connection is opened.
 *
 * Load pattern: many targets send large responses, or bytes without end, at
 * once.  What the connections hold counts against the bound of kernel/memory.h,
 * and a call whose response has no room reads on later.
 */
#ifndef PLAT_DIAL_H
#define PLAT_DIAL_H

#include "base/clock.h"
#include "plat/held.h"
#include "plat/httpmsg.h"

#include <event2/event.h>

/* Pause until a timer looks again at a call that is held. */
#define DIAL_HELD_STEP (10 * USEC_PER_MSEC)

struct dialer;
struct dial_call;

enum dial_event {
	DIAL_HEAD,   /* status and header fields have been received */
	DIAL_BODY,   /* body bytes have been received; take them from m->body */
	DIAL_END,    /* the response is complete */
	DIAL_UNSENT, /* no connection could be made: nothing was sent */
	/* The check of the connection failed: the call was not sent. */
	DIAL_UNCHECKED,
	DIAL_BROKEN, /* sent, but the response is incomplete or malformed */
	DIAL_BAD_RESPONSE /* the header section is malformed */
};

/*
 * Receives the events of a call.  All but DIAL_HEAD and DIAL_BODY are final:
 * the call is freed after the handler returns.  m is NULL except for DIAL_HEAD,
 * DIAL_BODY and DIAL_END.
 */
typedef void (*dial_handler)(
    void *arg, enum dial_event ev, const struct httpmsg *m);

/* A check of a call's connection. */
struct dial_check {
	uint64_t number; /* connections that passed it need none; 0: no check */
	struct str head; /* of the request: request line to blank line */
	usec_t timeout;  /* from the request to its complete response */
	/*
	 * Whether the call may be sent, by the complete response; must not
	 * cancel the call.
	 */
	bool (*accept)(void *arg, const struct httpmsg *m);
};

/* Receives the result of a test; arg is that of dial_test. */
typedef void (*dial_test_handler)(void *arg, bool connected);

struct dial_opts {
	struct str addr;       /* IP:PORT */
	struct str head;       /* request line to blank line, inclusive */
	struct evbuffer *body; /* moved into the call; NULL: no body */
	/*
	 * Sent after body, or NULL; must neither change nor be freed before the
	 * call ends.
	 */
	struct evbuffer *shared_body;
	/* Response field that echoes the call's id; empty: not checked. */
	struct str call_id_name;
	/* Expected value; empty: the call has no id, nor has its response. */
	struct str call_id;
	bool head_only; /* the method is HEAD: the response has no body */
	usec_t connect_timeout;
	/* A connection idle for longer is not reused; 0: no further limit. */
	usec_t max_idle_time;
	/* A connection opened longer ago is not reused; 0: no limit. */
	usec_t max_age;
	uint32_t max_idle_conns; /* idle connections to addr; 0: no limit */
	/* The call fails without a complete response after this; 0: never. */
	usec_t timeout;
	struct dial_check check;
	dial_handler handler;
	/*
	 * Called when a new connection has been made for the call, before any
	 * event; must not cancel the call.  May be NULL.
	 */
	void (*connected)(void *arg);
	void *arg;
};

struct dial_counts {
	uint64_t calls;
	uint64_t connections; /* connection attempts */
	uint64_t checks;      /* of connections */
	uint64_t stray;       /* responses and bytes that belong to no call */
};

struct dialer *dialer_new(struct event_base *base);
/* From now on connections count what they hold; both may be NULL. */
void dialer_set_memory(
    struct dialer *d, struct host_memory *m, struct held_runner *r);
/* Starts a call; returns NULL if no connection could be started. */
struct dial_call *dial_start(struct dialer *d, const struct dial_opts *o);
/* Ends a call and closes its connection; its handler is not called again. */
void dial_cancel(struct dial_call *k);
/*
 * Whether bytes of the target have arrived that the handler has not got: a
 * timer of the caller may be due together with them.  They are delivered in the
 * next turns of the loop, a few kilobytes in each (kernel/late_read.h).
 */
bool dial_has_input(const struct dial_call *k);
/*
 * Whether the call's bytes wait for this host, or did so just now: there was no
 * room for them, or dial_pause was called.  Its target isn't silent then, and
 * dial_has_input is true.
 */
bool dial_is_held(const struct dial_call *k);
/*
 * Longest time in which this host didn't read the response, as it had no room
 * or dial_pause was called; also in the handler of DIAL_BROKEN.
 */
usec_t dial_unread(const struct dial_call *k);
/* How long the response has waited for room. */
usec_t dial_waited(const struct dial_call *k);
/* Time at which the last byte of the request went to the system; 0: not yet. */
usec_t dial_written_at(const struct dial_call *k);
/* Stops the reading of the response for a while. */
void dial_pause(struct dial_call *k, bool paused);
/* Bytes of the response that the handler has taken and keeps. */
void dial_keeps(struct dial_call *k, size_t n);
/*
 * The connection of a call without an id may be kept: the response is the
 * call's own, or that doesn't matter.  Not after DIAL_END.
 */
void dial_confirm(struct dial_call *k);
/*
 * Opens a connection to an address and keeps it as an idle one.  The handler is
 * called once, not from within dial_test.
 */
void dial_test(struct dialer *d, struct str addr, usec_t timeout,
    dial_test_handler handler, void *arg);
/* Closes the idle connections to an address, as its target is gone. */
void dial_close_idle(struct dialer *d, struct str addr);
/* Closes connections that were idle for too long; to be called periodically. */
void dialer_sweep(struct dialer *d, usec_t now);
struct dial_counts dialer_counts(const struct dialer *d);
/* Closes the idle connections; no call may be in flight. */
void dialer_free(struct dialer *d);

#endif
