/*
 * A runner: it registers itself in the store, runs the requests that expect it,
 * and notes what reached it.
 */
#ifndef REVIEW_STANDIN_RUNNER_H
#define REVIEW_STANDIN_RUNNER_H

#include "review/standin/store.h"

#include <glib.h>

#define HEARTBEAT_MS 1200

struct runner;

struct runner_opts {
	struct store *store;
	const char *ip;
	const char *id;
	const char *service;
	const char *zone;
	int slots;
	int64_t work_ms;  /* of a request, or until the first event */
	int events;       /* of a stream; 0: a plain answer */
	int64_t pause_ms; /* between two events */
};

/* What reached a runner. */
struct arrival {
	char attempt[64];
	int64_t at;
	int64_t ended; /* 0: still running */
	bool run;      /* not rejected */
	bool complete; /* the whole answer was written */
	bool leaving;  /* the answer said that the runner leaves */
};

/* Starts the runner and registers it. */
struct runner *runner_start(const struct runner_opts *o);
const char *runner_id(const struct runner *r);
/*
 * From now on all answers say that it leaves, its entry is removed from the
 * store and it writes there no more, as of runners that don't report draining.
 */
void runner_leave(struct runner *r);
/* Removes the entry again if the store has it, as a runner that has left. */
void runner_remove_entry(struct runner *r);
/* The process ends: its connections are reset, new ones are refused. */
void runner_exit(struct runner *r);
/* Returns a copy of the arrivals (struct arrival); free with g_array_unref. */
GArray *runner_arrivals(struct runner *r);

#endif
