/*
 * Whether what has arrived for a call is still read after its deadline.
 *
 * Load pattern: a host's process stands still, or its loop is busy, while the
 * answer to a call arrives, and the deadline passes.  Each turn of the loop
 * reads a few kilobytes, so a large answer takes many turns.  An answer that is
 * ready is delivered, also when late; but one that is still being written must
 * not hold its caller.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_LATE_READ_H
#define KERNEL_LATE_READ_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Turns of the loop for which input is read in any case. */
#define LATE_READ_TURNS 16
/* Further turns follow for this time: enough for the largest answer. */
#define LATE_READ_TIME  (200 * USEC_PER_MSEC)

struct late_read {
	usec_t since;     /* first turn after the deadline */
	uint32_t n_turns; /* since then */
};

/*
 * The deadline is over; has_input: bytes have arrived that are not read.
 * Returns whether the next turn of the loop reads on.
 */
bool late_read_goes_on(struct late_read *r, bool has_input, usec_t now);

#endif
