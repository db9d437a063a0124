/*
 * Connections and calls of a dialer: dial.c makes the calls, dial_check.c
 * checks the connections on which they are sent, dial_room.c counts what the
 * connections hold.
 */
#ifndef PLAT_DIAL_STATE_H
#define PLAT_DIAL_STATE_H

#include "kernel/bounds.h"
#include "kernel/late_read.h"
#include "plat/dial.h"

#include <event2/bufferevent.h>
#include <glib.h>

/*
 * Limit on the bytes of a body that wait to be taken, and on those of a
 * response to another call.
 */
#define MAX_UNREAD_BYTES ((size_t)MAX_ANSWER_BYTES + 65536)

/* A connection to a target, in use by one call or idle in the pool. */
struct conn {
	struct dialer *d;
	struct bufferevent *bev;
	struct event *connect_timer; /* also of the check */
	struct httpmsg response;
	/* To be sent once connected and checked. */
	struct evbuffer *pending_output;
	uint64_t checked; /* number of the last check that it passed; 0: none */
	bool checking;    /* before its call is sent */
	struct dial_call *call; /* NULL: idle, or a test */
	dial_test_handler test; /* of a test that goes on; or NULL */
	void *test_arg;
	char *addr;
	usec_t opened;
	usec_t idle_since;
	usec_t idle_max;
	uint32_t max_idle_conns; /* as set by the last call */
	struct held held;
	size_t kept;       /* as set by dial_keeps */
	usec_t resumed_at; /* reading went on; 0: it was not stopped */
	bool paused;       /* by dial_pause */
	bool connected;
	bool pooled;     /* in the idle pool; valid while call is NULL */
	bool in_handler; /* the call's handler is running */
	bool cancelled;  /* the handler cancelled the call */
	GList pool_link; /* in the pool of its address, or in the tests */
};

struct dial_call {
	struct dialer *dialer;
	struct conn *conn;
	dial_handler handler;
	void (*connected)(void *arg); /* or NULL */
	void *arg;
	struct dial_check check; /* of the connection, until it has passed */
	struct buf check_head;
	struct buf call_id_name;
	struct buf call_id;
	struct event *timer; /* NULL: without a limit of time */
	usec_t written_at;   /* as returned by dial_written_at */
	size_t stray_bytes;  /* of the body of another call's response */
	struct late_read late_read;
	usec_t unread_since; /* the response isn't read; 0: it is */
	usec_t unread;       /* longest time before that */
	bool head_delivered;
	bool head_only;
	bool confirmed; /* the response is known to be the call's own */
};

struct dialer {
	struct event_base *base;
	GHashTable *idle; /* address -> GQueue of struct conn, newest first */
	GQueue tests;     /* struct conn */
	struct host_memory *memory;
	struct held_runner *runner;
	struct dial_counts counts;
	size_t in_flight; /* calls */
};

/* Frees the connection and ends its call, if any, with a failure event. */
void dial_fail_call(struct conn *c, enum dial_event ev);
/* Whether the response echoes another call's id. */
bool dial_is_stray(const struct conn *c);
/* Drops the body of another call's response; returns false if it is too long.
 */
bool dial_skip_stray(struct conn *c);
/* Sends what waits for the connection, as it is connected and checked. */
void dial_send_pending(struct conn *c);

/* Sends the request that checks the connection of its call. */
void dial_check_begin(struct conn *c);
/* Bytes of the response to it have been parsed; returns whether c goes on. */
bool dial_check_message(struct conn *c);

/* Begins and ends the account of a connection. */
void dial_room_open(struct conn *c);
void dial_room_close(struct conn *c);
/* Bytes of a response have been handled: stops reading if there is no room. */
void dial_room_check(struct conn *c);
/* Reads more of what has arrived, as far as there is room. */
void dial_room_take(struct conn *c);
/* The response is complete. */
void dial_room_done(struct conn *c);
/*
 * Pause until a timer looks again at a call that has input: none, so that it is
 * read, or some, as it waits for room.
 */
struct timeval dial_room_step(const struct dial_call *k);

#endif
