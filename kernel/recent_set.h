/*
 * A set of hashes, each kept for at least a given time and at most twice that
 * time after it was added.  No locks: one thread owns it.
 */
#ifndef KERNEL_RECENT_SET_H
#define KERNEL_RECENT_SET_H

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct recent_set {
	GHashTable *newer; /* added since then */
	GHashTable *older;
	usec_t span; /* microseconds */
	usec_t since;
};

void recent_set_init(struct recent_set *s, usec_t span);
/* Adds a hash; returns false if the set has it already. */
bool recent_set_add(struct recent_set *s, uint64_t hash, usec_t now);
void recent_set_free(struct recent_set *s);

#endif
