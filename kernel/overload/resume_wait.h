/*
 * When a request whose call has ended early is sent again: a stream that has
 * begun, or a request that was taken from a silent target.
 *
 * Load pattern: a target falls silent or fails in the middle of a stream while
 * the others are full, at rest, of another version, or fail too.  The caller
 * has a part of the answer, so the stream is not ended; its rest is sent again
 * until a target takes it.  A target may also be silent before its answer and
 * go on a second later; if the others refuse the request, it goes back there.
 * Each attempt may reach a target that refuses it, so the waits double until an
 * event has come.  Once all targets have rejected the rest for what it is, none
 * will take it, and the stream ends at once.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_OVERLOAD_RESUME_WAIT_H
#define KERNEL_OVERLOAD_RESUME_WAIT_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Wait for the first attempt, and between looks for another target. */
#define RESUME_WAIT_FIRST (100 * USEC_PER_MSEC)

struct resume_wait {
	uint32_t n_doubled;
};

/* A request whose call has ended. */
struct resume_request {
	bool begun;     /* the caller has a part of the answer */
	bool given_up;  /* a silent call of it, for another target */
	bool may_again; /* it may be repeated, or resumed */
	bool hopeless;  /* each target has rejected the rest of its stream */
	usec_t left;    /* until an attempt would come too late */
};

/* Returns the time until the next attempt; 0: the request ends. */
usec_t resume_wait_next(struct resume_wait *w, const struct resume_request *r);
/* An event has come. */
void resume_wait_reset(struct resume_wait *w);

#endif
