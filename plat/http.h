/*
 * HTTP client for many concurrent calls on one thread, over libcurl.
 *
 * A loop belongs to the thread that runs it; only http_wake may be called from
 * other threads.  Handlers are called from http_run, never from http_start or
 * http_cancel.  After http_cancel the call's handler is not called any more.
 * A call is given up at its timeout only after what had arrived by then has
 * been read, however late http_run is.
 */
#ifndef PLAT_HTTP_H
#define PLAT_HTTP_H

#include "base/clock.h"
#include "base/str.h"
#include "kernel/memory.h"

struct host_memory;
struct http_loop;

enum http_failure {
	HTTP_CONNECT, /* no connection: nothing was sent */
	HTTP_BROKEN,  /* any other failure: the request may have been sent */
	HTTP_TIMEOUT  /* no complete response within the timeout */
};

enum http_event_kind {
	HTTP_HEAD,  /* the status is known */
	HTTP_CHUNK, /* bytes of the body */
	HTTP_WAIT,  /* the body begins to wait for memory, or has waited */
	HTTP_END,   /* the response is complete */
	HTTP_FAIL   /* the call failed; no further event follows */
};

struct http_event {
	enum http_event_kind kind;
	const char *etag; /* HTTP_HEAD: the entity tag, or NULL */
	const char
	    *field; /* HTTP_HEAD: value of the field asked for, or NULL */
	union {
		int status;       /* HTTP_HEAD */
		struct str bytes; /* HTTP_CHUNK */
		bool waits;       /* HTTP_WAIT */
		struct {
			enum http_failure why;
			const char *text; /* libcurl's description */
		} fail;                   /* HTTP_FAIL */
	};
};

typedef void (*http_handler)(void *arg, const struct http_event *ev);

struct http_opts {
	const char *method; /* GET if NULL */
	const char *url;
	struct str body;            /* copied */
	const char *const *headers; /* "Name: value", ends with NULL; or NULL */
	const char
	    *field;     /* name of a response field to deliver, or NULL; kept */
	usec_t timeout; /* limit on the whole call; 0: no limit */
	usec_t connect_timeout; /* 0: one second */
	/* Above 0; a longer body fails the call, unless it is streamed. */
	size_t max_bytes;
	bool fresh; /* use a new connection and close it afterwards */
	const char *local_addr; /* source address, or NULL */
	/* Counts the bytes of the response (plat/held.h); NULL: nothing does.
	 */
	struct host_memory *memory;
	enum memory_use use;
	/* They count until they are delivered, and otherwise until the end. */
	bool streamed;
	http_handler handler;
	void *arg;
};

struct http_loop *http_new(void);
/* Bound of status lines, fields, interim responses and trailers of a call. */
#define HTTP_MAX_HEAD_BYTES ((size_t)64 * 1024)
/* Starts a call; returns its id, which is never 0 and never reused. */
uint64_t http_start(struct http_loop *l, const struct http_opts *o);
/* Cancels a call; an id of a call that has ended is ignored. */
void http_cancel(struct http_loop *l, uint64_t call);
/*
 * Waits at most the given time for events and handles them.  Returns a time:
 * all that had arrived by then has been read, except for calls that wait for
 * room.  Whether an answer is missing is to be judged by it.
 */
usec_t http_run(struct http_loop *l, usec_t wait);
/* Returns the same time; in a handler, that of its event. */
usec_t http_read_until(const struct http_loop *l);
/* Interrupts the wait in http_run; may be called from any thread. */
void http_wake(struct http_loop *l);
/* Returns the number of calls in flight. */
size_t http_active(const struct http_loop *l);
/* Cancels the calls in flight and frees the loop. */
void http_free(struct http_loop *l);

#endif
