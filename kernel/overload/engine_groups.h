/*
 * The groups of the engines of a service in a failure domain, each of which has
 * a placer of its own (kernel/overload/placement.h).
 *
 * Load pattern: a domain with hundreds of engines, whose requests all ask one
 * placer.  The time of a decision grows with the engines and so does the rate
 * of the requests, so at 128 engines an overload takes more than a core.  A
 * domain of more than ENGINE_GROUP_MAX engines is divided into 2, 4, 8...
 * groups by the hashes of the engines' ids: an engine that comes or goes moves
 * no other, and twice as many groups halve each one.
 *
 * Hosts compute the groups from their own lists of engines.  The name of a
 * group has the number of groups, so a placer needs no list to know which
 * engines are meant, and hosts whose lists differ ask placers of different
 * divisions.  So that hosts do so for a bounded time only, what was counted
 * before is forgotten after some minutes.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_OVERLOAD_ENGINE_GROUPS_H
#define KERNEL_OVERLOAD_ENGINE_GROUPS_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ENGINE_GROUP_MAX        64 /* engines, on average of the groups */
#define ENGINE_GROUP_NAME_BYTES 64

/* The most engines that a domain has had lately. */
struct engine_count {
	uint32_t engines;
	usec_t counted_at; /* last time that there were as many */
};

/*
 * Takes the present number of engines.  Fewer engines count only after five
 * minutes, in which those that crashed or restart are back.
 */
void engine_count_set(struct engine_count *c, uint32_t engines, usec_t now);

/* Returns the number of groups of so many engines: a power of two. */
uint32_t engine_groups_number(uint32_t engines);
/* Returns the hash of an engine's id, from which its group follows. */
uint64_t engine_groups_hash(const char *id);

/* One of the groups of a domain. */
struct engine_group_id {
	char domain[ENGINE_GROUP_NAME_BYTES]; /* empty: all */
	uint32_t index;
	uint32_t n; /* groups of the domain; 1: it isn't divided */
};

bool engine_group_has(const struct engine_group_id *g, uint64_t hash);
/* Returns the group of an engine with this hash, in a domain of n groups. */
uint32_t engine_groups_index(uint64_t hash, uint32_t n);
/*
 * Writes the name of a group: that of its domain if this isn't divided, else
 * "DOMAIN#INDEX/N".  Returns false if it doesn't fit.
 */
bool engine_group_name(
    const struct engine_group_id *g, char out[ENGINE_GROUP_NAME_BYTES]);
/*
 * Reads the name of a group of a divided domain; returns false if it is none.
 */
bool engine_group_parse(const char *name, struct engine_group_id *out);

#endif
