/*
 * Expected durations by name: moving averages of measured ones, in
 * microseconds.
 *
 * Load pattern: a chain of stages under overload.  If each stage only looks at
 * its own call, requests reach their second stage with no time left for the
 * third.  With the expected durations of the later stages, waiting included, a
 * stage can tell early which requests may still be on time.
 *
 * A struct durations has no lock: one thread owns it.
 */
#ifndef KERNEL_OVERLOAD_DURATIONS_H
#define KERNEL_OVERLOAD_DURATIONS_H

#include "base/clock.h"

#include <glib.h>

struct durations {
	GHashTable *by_name; /* name -> double, microseconds */
};

void durations_init(struct durations *d);
void durations_record(struct durations *d, const char *name, usec_t duration);
/*
 * Returns the moving average, clamped to between min and four times min; min if
 * there is no sample.
 */
usec_t durations_estimate(
    const struct durations *d, const char *name, usec_t min);
void durations_free(struct durations *d);

#endif
