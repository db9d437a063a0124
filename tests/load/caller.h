/*
 * The callers: each request is sent once through the balancer (again only
 * where the connection was refused), its answer is read whole and held
 * against what was asked.
 */
#ifndef LOAD_CALLER_H
#define LOAD_CALLER_H

#include "tests/load/fleet.h"
#include "tests/load/plan.h"

#include <glib.h>

#define CALLER_KEY_BYTES 37
#define CALLER_ID_BYTES  48

/* What a caller got. */
enum verdict {
	GOT_WHOLE,   /* its own, whole answer */
	GOT_MIXED,   /* another's */
	GOT_SHORT,   /* a part of its own */
	GOT_NOT_RUN, /* the three other outcomes, as told */
	GOT_FAILED,
	GOT_UNKNOWN,
	GOT_BROKEN,  /* the connection broke */
	GOT_SILENCE, /* nothing until well after the deadline */
	GOT_NO_HOST, /* no sequoiad took it */
	GOT_KINDS
};

struct result {
	struct planned r;
	enum verdict verdict;
	char key[CALLER_KEY_BYTES]; /* of a request with an effect */
	char id[CALLER_ID_BYTES];   /* the request id, if told */
	char error[32];             /* the problem's title, if any */
	int host;                   /* the last one that it was sent to */
	usec_t taken;               /* from the planned moment to the end */
	usec_t first;               /* to the first token; 0: no stream */
	usec_t lag;                 /* sent after the planned moment */
};

struct callers;

struct callers_opts {
	struct http_loop *loop;
	struct fleet *fleet;
	uint64_t seed;
	usec_t client; /* one way between a caller and the sequoiads */
	/* A request has ended; may start another. */
	void (*ended)(void *arg, const struct result *r);
	void *arg;
};

struct callers *callers_new(const struct callers_opts *o);
/* Sends a request whose planned moment is at. */
void callers_send(struct callers *all, const struct planned *r, usec_t at);
size_t callers_busy(const struct callers *c);
/* usec_t: each pause between two tokens of a stream. */
const GArray *callers_gaps(const struct callers *c);
const char *verdict_name(enum verdict v);
void callers_free(struct callers *c);

#endif
