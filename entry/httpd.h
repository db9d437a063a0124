/*
 * The HTTP/1.1 server towards callers.
 *
 * One event loop owns a door and its connections.  A connection serves one
 * request at a time; requests that a caller sends ahead wait in its buffer.
 * What could be read in two ways, or exceeds a limit, is refused here with a
 * status of its own and ends the connection; everything else is handed on
 * whole.  A caller that closes is told to the owner of the request at once.
 */
#ifndef ENTRY_HTTPD_H
#define ENTRY_HTTPD_H

#include "base/clock.h"
#include "base/err.h"
#include "plat/httpmsg.h"

#include <event2/event.h>

struct httpd;
struct httpd_request;

struct httpd_limits {
	size_t head_bytes;
	size_t body_bytes;
	usec_t head_timeout; /* from a request's first byte to its last */
	usec_t idle_timeout; /* of a connection between requests */
};

struct httpd_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT */
	struct httpd_limits limits;
	/* A whole request; its handler must call httpd_on_close or answer it.
	 */
	void (*on_request)(void *arg, struct httpd_request *q);
	void *arg;
};

struct httpd_respond {
	int status;
	const char *fields; /* "Name: value\r\n" lines, or NULL */
	struct str body;
	bool chunked; /* the body follows by httpd_write */
	bool close;
};

struct httpd_counts {
	uint64_t connections;
	uint64_t open;
	uint64_t requests;
	uint64_t malformed;
	uint64_t caller_gone; /* callers that closed before their answer */
};

struct httpd *httpd_new(const struct httpd_opts *o, struct err *e);
void httpd_limits(struct httpd *d, const struct httpd_limits *l);

const struct httpmsg *httpd_message(const struct httpd_request *q);
/* When the request's first byte came. */
usec_t httpd_arrived(const struct httpd_request *q);
/* gone: the caller has closed; the request must not be used after that. */
void httpd_on_close(
    struct httpd_request *q, void (*gone)(void *arg), void *arg);
/* The whole answer, or with chunked its head; ends the request if whole. */
void httpd_respond(struct httpd_request *q, const struct httpd_respond *a);
void httpd_write(struct httpd_request *q, struct evbuffer *bytes);
/* The chunked body is whole; ends the request. */
void httpd_end(struct httpd_request *q);
/* The answer can't become whole: the connection is broken off. */
void httpd_abort(struct httpd_request *q);
/* Bytes that the caller has not taken yet. */
size_t httpd_backlog(const struct httpd_request *q);

/* Takes no new connections; each open one closes after its next answer. */
void httpd_drain(struct httpd *d);
/* Closes the connections without a request. */
void httpd_close_idle(struct httpd *d);
struct httpd_counts httpd_counts(const struct httpd *d);
void httpd_free(struct httpd *d);

#endif
