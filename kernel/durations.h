/*
 * How long things usually take, by name: running means of what was measured.
 *
 * Load pattern: a chain of stages under overload.  If each stage only looks at
 * its own call, requests reach their second stage with no time left for the
 * third; with the usual times behind it, waiting included, a stage knows early
 * which requests can still be on time.
 */
#ifndef KERNEL_DURATIONS_H
#define KERNEL_DURATIONS_H

#include "base/clock.h"

#include <glib.h>

struct durations {
	GHashTable *by_name; /* name -> double, microseconds */
};

void durations_init(struct durations *u);
void durations_record(struct durations *u, const char *name, usec_t took);
/* The mean, between least and four times that; least before the first. */
usec_t durations_estimate(
    const struct durations *u, const char *name, usec_t least);
void durations_free(struct durations *u);

#endif
