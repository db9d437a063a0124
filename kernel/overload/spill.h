/*
 * In which failure domain the pieces of a stage are produced.
 *
 * A service with many targets is split: each failure domain has a coordinator
 * of its own for the targets there.  So the loss of a coordinator stops one
 * domain's part of a service, not all of it, results stay near the targets that
 * take them, and no host sees the messages of the whole fleet.  A service with
 * few targets is not split, as its calls would be less full.
 *
 * Load pattern: a domain has more requests than its targets can serve, or lost
 * some of them.  Its pieces then go to another domain, once the wait there is
 * clearly shorter.  All hosts of the domain notice at about the same time, so
 * each piece takes a random one of the shorter queues, not the shortest.
 */
#ifndef KERNEL_OVERLOAD_SPILL_H
#define KERNEL_OVERLOAD_SPILL_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Whether a service with so many targets in so many domains is split.  One that
 * was split stays so while some of its targets are gone.
 */
bool spill_is_split(uint32_t targets, uint32_t domains, bool was_split);

/* A failure domain and the wait last reported from there; 0: unknown. */
struct spill_domain {
	const char *name;
	usec_t wait;
};

/*
 * Returns the index of the domain with a name, or a random one if the service
 * isn't served there, as in one that is evacuated: what comes from there is
 * spread over the others.
 */
size_t spill_home(
    const struct spill_domain *v, size_t n, const char *name, uint64_t random);
/*
 * Returns the index of the domain to use.  home is the preferred one's index;
 * random picks among the domains with a clearly shorter wait.
 */
size_t spill_choose(const struct spill_domain *v, size_t n, size_t home,
    usec_t min_wait, uint64_t random);

#endif
