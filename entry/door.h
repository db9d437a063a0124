/*
 * The HTTP/1.1 server towards callers.
 *
 * One event loop owns a door and its connections.  A connection serves one
 * request at a time; requests that a caller sends ahead wait in its buffer.
 * What could be read in two ways, or exceeds a limit, is refused here with a
 * status of its own and ends the connection; everything else is handed on
 * whole.  A caller that closes is told to the owner of the request at once.
 */
#ifndef ENTRY_DOOR_H
#define ENTRY_DOOR_H

#include "base/clock.h"
#include "base/err.h"
#include "plat/httpmsg.h"

#include <event2/event.h>

struct door;
struct door_request;

struct door_limits {
	size_t head_bytes;
	size_t body_bytes;
	usec_t head_timeout; /* from a request's first byte to its last */
	usec_t idle_timeout; /* of a connection between requests */
};

struct door_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT */
	struct door_limits limits;
	/* A whole request; its handler must call door_own or answer it. */
	void (*request)(void *arg, struct door_request *q);
	void *arg;
};

struct door_answer {
	int status;
	const char *fields; /* "Name: value\r\n" lines, or NULL */
	struct str body;
	bool chunked; /* the body follows by door_write */
	bool close;
};

struct door_counts {
	uint64_t connections;
	uint64_t open;
	uint64_t requests;
	uint64_t malformed;
	uint64_t gone; /* callers that closed before their answer */
};

struct door *door_new(const struct door_opts *o, struct err *e);
void door_limits(struct door *d, const struct door_limits *l);

const struct httpmsg *door_message(const struct door_request *q);
/* When the request's first byte came. */
usec_t door_arrived(const struct door_request *q);
/* gone: the caller has closed; the request must not be used after that. */
void door_own(struct door_request *q, void (*gone)(void *arg), void *arg);
/* The whole answer, or with chunked its head; ends the request if whole. */
void door_answer(struct door_request *q, const struct door_answer *a);
void door_write(struct door_request *q, struct evbuffer *bytes);
/* The chunked body is whole; ends the request. */
void door_end(struct door_request *q);
/* The answer can't become whole: the connection is broken off. */
void door_abort(struct door_request *q);
/* Bytes that the caller has not taken yet. */
size_t door_backlog(const struct door_request *q);

/* Takes no new connections; each open one closes after its next answer. */
void door_drain(struct door *d);
/* Closes the connections without a request. */
void door_close_idle(struct door *d);
struct door_counts door_counts(const struct door *d);
void door_free(struct door *d);

#endif
