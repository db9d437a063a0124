/*
 * The HTTP/1.1 server for callers.
 *
 * A server and its connections belong to one event loop and its thread.  A
 * connection serves one request at a time; pipelined requests wait in its
 * buffer.  A request that is ambiguous or exceeds a limit is refused here with
 * status 400, 408, 413 or 431, and its connection is closed; all others are
 * passed to the handler once they are complete.  When a caller closes the
 * connection, the owner of its request is notified at once.  Times are in
 * microseconds, sizes in bytes.
 *
 * Load pattern: many callers send large bodies at once, or take their answers
 * slowly.  What the connections hold counts against the bound of
 * kernel/memory.h: a request that has no room is read later, or refused, and
 * the connection whose caller takes almost nothing is reset if others need the
 * room.
 */
#ifndef ENTRY_HTTPD_H
#define ENTRY_HTTPD_H

#include "base/clock.h"
#include "base/err.h"
#include "plat/held.h"
#include "plat/httpmsg.h"

#include <event2/event.h>

struct httpd;
struct httpd_request;

struct httpd_limits {
	size_t head_bytes;
	size_t body_bytes;
	usec_t head_timeout; /* from the first to the last byte of a request */
	usec_t idle_timeout; /* between the requests of a connection */
};

struct httpd_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT */
	struct httpd_limits limits;
	/*
	 * Called with each complete request; must call httpd_on_close or
	 * httpd_respond.
	 */
	void (*on_request)(void *arg, struct httpd_request *q);
	/*
	 * Called with a request that has no room, whose header section may be
	 * incomplete; must call httpd_respond.  NULL: status 503.
	 */
	void (*on_no_room)(void *arg, struct httpd_request *q);
	void *arg;
	struct host_memory *memory; /* or NULL */
	struct held_runner *runner; /* of base; NULL without memory */
	enum memory_use use;        /* of requests */
	const char *cut_event;      /* of log lines; NULL: response-cut */
};

struct httpd_response {
	int status;
	const char *fields; /* "Name: value\r\n" lines, or NULL */
	struct str body;
	struct evbuffer *moved; /* follows body; NULL: none */
	bool chunked;           /* the body follows with httpd_write */
	bool close;
};

struct httpd_counts {
	uint64_t connections;
	uint64_t open;
	uint64_t requests;
	uint64_t malformed;
	uint64_t caller_gone;   /* callers that closed before the response */
	uint64_t closed_unread; /* closed by the server, with unread input */
	uint64_t
	    cut; /* complete responses, not sent to their end in the drain */
};

/* Starts listening; returns NULL and sets e if addr can't be used. */
struct httpd *httpd_new(const struct httpd_opts *o, struct err *e);
void httpd_set_limits(struct httpd *h, const struct httpd_limits *l);
/*
 * Takes connections, or leaves those that callers make in the listening socket.
 */
void httpd_accept(struct httpd *h, bool accepts);

const struct httpmsg *httpd_message(const struct httpd_request *q);
/* Time at which the first byte of the request arrived. */
usec_t httpd_arrived(const struct httpd_request *q);
/*
 * Takes over the request. on_close is called when the caller closes the
 * connection; the request must not be used afterwards.
 */
void httpd_on_close(
    struct httpd_request *q, void (*on_close)(void *arg), void *arg);
/*
 * on_sent is called, with the arg of httpd_on_close, whenever some of what was
 * written of the response has been sent.
 */
void httpd_on_sent(struct httpd_request *q, void (*on_sent)(void *arg));
/*
 * Sends a complete response, which ends the request; with chunked only its
 * header section.
 */
void httpd_respond(struct httpd_request *q, const struct httpd_response *a);
void httpd_write(struct httpd_request *q, struct evbuffer *bytes);
/*
 * Holds back the bytes of the response that are written from now on, or sends
 * those that were held back.
 */
void httpd_cork(struct httpd_request *q, bool corked);
/* Drops the bytes that are held back; another response may follow. */
void httpd_drop_held(struct httpd_request *q);
/* Ends the chunked body and the request. */
void httpd_end(struct httpd_request *q);
/*
 * Closes the connection of a response that can't be completed, so that the
 * caller sees that it is incomplete.
 */
void httpd_abort(struct httpd_request *q);
/* Sets what the log calls the request, also once its message is gone. */
void httpd_name(struct httpd_request *q, struct str id, const char *route);
/* Bytes that the owner keeps for the request besides its message. */
void httpd_keeps(struct httpd_request *q, size_t n);
/*
 * Whether more of the response may be written, although its caller has not
 * taken all (memory_reads_on); paused: it has been held back.
 */
bool httpd_takes_more(const struct httpd_request *q, bool paused);
/* Bytes of the response that are not sent yet. */
size_t httpd_backlog(const struct httpd_request *q);
/* The same, with the bytes that the socket holds. */
size_t httpd_unsent(const struct httpd_request *q);

/*
 * From now on a connection closes after a response whose head follows, if it
 * has no more input.
 */
void httpd_drain(struct httpd *h);
/*
 * Closes the connections that have had no request for a while, once their
 * callers have acknowledged all that was sent.  Once none is left, neither open
 * nor to be accepted, stops listening and returns true: no request is lost if
 * the server is freed then.
 */
bool httpd_finish(struct httpd *h);
/*
 * Refuses, as not run, the requests that have arrived in part, with all also
 * those of which bytes are unread; returns their number.
 */
size_t httpd_refuse_partial(struct httpd *h, bool all);
/*
 * The server ends: logs and counts each response that is complete but not sent
 * to its end.
 */
void httpd_cut(struct httpd *h);
struct httpd_counts httpd_counts(const struct httpd *h);
void httpd_free(struct httpd *h);

#endif
