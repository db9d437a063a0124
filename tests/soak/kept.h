/*
 * A connection that a caller keeps over many requests, with blocking calls.
 */
#ifndef TESTS_SOAK_KEPT_H
#define TESTS_SOAK_KEPT_H

#include "base/clock.h"
#include "base/str.h"

struct kept_conn {
	int fd;            /* -1: closed */
	usec_t idle_since; /* end of the last answer, or of the connect */
};

struct kept_result {
	int status;      /* 0: no response */
	bool complete;   /* according to its framing */
	bool closed;     /* the connection was closed before the answer's end */
	bool crossed;    /* it was closed before the request was written */
	bool extra;      /* bytes after the answer */
	size_t n_bytes;  /* received */
	struct buf body; /* without chunked framing */
	usec_t idle;     /* time without a request, before this one */
	usec_t sent;
	usec_t ended;
};

/* Returns false if the connection is refused. */
bool kept_open(struct kept_conn *k, uint16_t port);
void kept_close(struct kept_conn *k);
/*
 * Stays idle for a time or until the peer closes the connection, which closes
 * it here too.  Returns false if bytes came.
 */
bool kept_idle(struct kept_conn *k, usec_t time);
/*
 * Sends a request and reads its answer, at most for a time.  The connection is
 * closed afterwards unless the answer lets it be used again.
 */
void kept_exchange(struct kept_conn *k, struct str request, usec_t timeout,
    struct kept_result *out);
void kept_result_free(struct kept_result *a);

#endif
