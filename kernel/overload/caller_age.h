/*
 * Estimates how long ago a caller sent a request for the first time.
 *
 * Load pattern: a burst in which rejected callers come back.  What a caller
 * aims at counts from its first attempt, but a request does not say which
 * attempt it is.  Taken for a new one, a caller that has waited for seconds
 * gets a soft deadline that it can't have any more, and goes before a new
 * caller that can still be served on time; in the end both are late.
 *
 * A request says how long its caller will wait, and the callers of a route
 * mostly begin with nearly the same time.  So a caller with less time left than
 * the next longer times that are usual on its route has come back, at least the
 * difference after its first attempt.  Where no time is usual, all callers
 * count as new.
 *
 * Times are in microseconds.  The table belongs to one thread.
 */
#ifndef KERNEL_OVERLOAD_CALLER_AGE_H
#define KERNEL_OVERLOAD_CALLER_AGE_H

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>

struct caller_age {
	GHashTable *routes; /* name -> struct route_times */
};

void caller_age_init(struct caller_age *a);
/*
 * Returns the least time since the first attempt of a caller that waits for
 * time_left, and may record time_left as a usual one.
 */
usec_t caller_age_estimate(
    struct caller_age *a, const char *route, usec_t time_left, usec_t now);

struct caller_request {
	usec_t arrived;
	usec_t objective; /* from the first attempt to the first event */
	usec_t time_left; /* until the caller leaves; 0: not known */
	bool is_resume;   /* the caller has had events of its stream */
};

/*
 * Returns the time after which the request is late.  A stream that goes on
 * counts as new: its caller has had the first event, and has less time left for
 * another reason than a rejection.
 */
usec_t caller_age_aim(struct caller_age *a, const char *route,
    const struct caller_request *q, usec_t now);
/* A caller of the route was rejected and may come back. */
void caller_age_rejected(struct caller_age *a, const char *route, usec_t now);
void caller_age_free(struct caller_age *a);

#endif
