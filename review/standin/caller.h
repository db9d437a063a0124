/*
 * Callers that keep their connections: each sends a request, waits for its
 * answer, pauses and sends the next one on the same connection, until the host
 * closes it.
 */
#ifndef REVIEW_STANDIN_CALLER_H
#define REVIEW_STANDIN_CALLER_H

#include "review/standin/fleet.h"

struct callers_opts {
	struct fleet *fleet;
	int n;
	const char *prefix; /* of the ids of the attempts */
	const char *host;   /* Host field */
	const char *path;
	bool has_prompt; /* the requests name a model and a prompt */
	int pieces;      /* of the first stage; 0: the route has no stages */
	const char *key;
	int64_t deadline_ms;
	int64_t pause_min_ms;
	int64_t pause_max_ms;
};

/* What a caller has seen of an attempt. */
struct attempt {
	char id[64];
	int host; /* that it was sent to */
	int64_t sent;
	int64_t head_at; /* when the answer's header section had arrived */
	int64_t ended;
	int status;    /* 0: no answer */
	bool complete; /* by its framing */
	bool leaving;  /* the answer said that its runner leaves */
	bool first;    /* of its connection */
};

struct callers;

struct callers *callers_start(const struct callers_opts *o);
/* Lets the callers end after their current attempt, and waits for them. */
void callers_stop(struct callers *c);
/* All attempts (struct attempt); after callers_stop(). */
const GArray *callers_attempts(const struct callers *c);

#endif
