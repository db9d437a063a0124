/*
 * Callers: each sends its request once, to the sequoiad that the balancer
 * picks, and to another sequoiad only if the connection was refused.  The
 * answer is read to its end and compared with the request.
 */
#ifndef LOAD_CALLER_H
#define LOAD_CALLER_H

#include "tests/load/fleet.h"
#include "tests/load/plan.h"

#include <glib.h>

#define CALLER_KEY_BYTES 37
#define CALLER_ID_BYTES  48

/* How a request ended for its caller. */
enum result_kind {
	RESULT_COMPLETE, /* the complete answer of this request */
	RESULT_MIXED_UP, /* the answer of another request */
	RESULT_SHORT,    /* an incomplete answer of this request */
	RESULT_NOT_RUN,  /* outcome not-run */
	RESULT_FAILED,   /* outcome failed */
	RESULT_UNKNOWN,  /* outcome unknown */
	RESULT_BROKEN,   /* the connection broke */
	RESULT_TIMEOUT,  /* the answer had not ended 3 s after the deadline */
	RESULT_NO_HOST,  /* no sequoiad accepted a connection */
	N_RESULT_KINDS
};

struct result {
	struct planned_request request;
	enum result_kind result_kind;
	char key[CALLER_KEY_BYTES]; /* idempotency key, if it has an effect */
	char id[CALLER_ID_BYTES];   /* request id, if received */
	char error[32];             /* title of the problem document, if any */
	int host;                   /* index of the last sequoiad tried */
	usec_t latency;     /* from the planned time to the end of the answer */
	usec_t first_token; /* from the planned time; 0: no token */
	usec_t send_lag;    /* from the planned time to sending */
};

struct callers;

struct callers_opts {
	struct http_loop *loop;
	struct fleet *fleet;
	uint64_t seed;
	usec_t client_delay; /* one-way delay between callers and sequoiads */
	/* Called when a request has ended; may send another one. */
	void (*on_result)(void *arg, const struct result *r);
	void *arg;
};

struct callers *callers_new(const struct callers_opts *o);
/* Sends a request that was planned for the time at. */
void callers_send(
    struct callers *callers, const struct planned_request *r, usec_t at);
size_t callers_in_flight(const struct callers *c);
/* Returns the time between tokens of all streams, elements of usec_t. */
const GArray *callers_token_gaps(const struct callers *c);
const char *result_kind_name(enum result_kind kind);
void callers_free(struct callers *c);

#endif
