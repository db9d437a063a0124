/*
 * How long things usually take, by name: running means of what was measured.
 *
 * Load pattern: a chain of stages under overload.  If each stage only looks at
 * its own call, requests reach their second stage with no time left for the
 * third; with the usual times behind it, waiting included, a stage knows early
 * which requests can still be on time.
 */
#ifndef KERNEL_USUAL_H
#define KERNEL_USUAL_H

#include "base/clock.h"

#include <glib.h>

struct usual {
	GHashTable *by_name; /* name -> double, microseconds */
};

void usual_init(struct usual *u);
void usual_note(struct usual *u, const char *name, usec_t took);
/* The mean, between least and four times that; least before the first. */
usec_t usual_time(const struct usual *u, const char *name, usec_t least);
void usual_free(struct usual *u);

#endif
