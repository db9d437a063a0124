/*
 * The stages that a request still has before it: which can start, how long the
 * rest takes, and whether it is worth starting.
 *
 * Load pattern: a burst fills the queues of the stage services.  A request that
 * can't reach its target before its deadline, or whose next results would
 * expire in the queue of the stage that takes them, only takes capacity and
 * result space from the others; started again and again, such requests keep the
 * overload up after the burst has ended.  So the rest of the chain is checked
 * before each stage starts, and a chain starts again only if all of it fits.  A
 * request whose stages are done is sent unless its caller will hardly be there
 * for the first event: a late answer is worth more than its results.
 *
 * Stages are in topological order: a stage only needs earlier ones.  Times are
 * in microseconds.
 */
#ifndef KERNEL_OVERLOAD_CHAIN_H
#define KERNEL_OVERLOAD_CHAIN_H

#include "kernel/routes.h"

struct chain_stage {
	bool needed; /* the request has pieces for it */
	bool done;
	bool started;
	uint32_t after;      /* bit i: needs the results of stage i */
	usec_t min_time;     /* from its start to its results, without a wait */
	usec_t typical_time; /* the same as lately measured */
	usec_t wait;         /* reported time from its start to its results */
	usec_t result_ttl;   /* how long its results are kept */
};

struct chain {
	struct chain_stage stages[ROUTE_MAX_STAGES];
	uint32_t n;
	usec_t min_first_event; /* from the last results to the first event */
	usec_t typical_first_event;
	usec_t
	    best_first_event; /* hardly any engine answers sooner; 0: unknown */
};

/* Returns the stages that a stage needs, directly or not; bit i: stage i. */
uint32_t chain_before(const struct chain *c, uint32_t i);
/* Whether the stages that a stage needs are done. */
bool chain_is_ready(const struct chain *c, uint32_t i);
/*
 * Whether a stage can be delayed because stages with a longer chain of
 * dependents are not done: results that are produced early only take space.
 */
bool chain_can_wait(const struct chain *c, uint32_t i);
/* Typical and shortest time from the results of a stage to the first event. */
usec_t chain_typical_after(const struct chain *c, uint32_t i);
usec_t chain_min_after(const struct chain *c, uint32_t i);

/*
 * Latest useful time of the first event, or of the answer: the request's
 * deadline, or before it the time at which callers leave a stream that has no
 * event yet (first_event_limit after the arrival; 0: they don't).
 */
usec_t chain_deadline(
    usec_t arrived, usec_t first_event_limit, usec_t deadline);

enum chain_verdict {
	CHAIN_FITS,
	CHAIN_NO_TIME, /* the rest takes longer than the time left */
	CHAIN_EXPIRES  /* results would expire before the next stage */
};

/*
 * Checks whether the stages that are not done fit into the time left, or the
 * first event if all of them are done.  Sets *excess to the time by which they
 * do not.
 */
enum chain_verdict chain_check(
    const struct chain *c, usec_t time_left, usec_t *excess);

#endif
