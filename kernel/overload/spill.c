#include "kernel/overload/spill.h"

#include <string.h>

/* Targets of a service in each domain, on average, for it to be split. */
#define SPLIT_TARGETS      5.5
/* It stays split down to this average. */
#define STAY_SPLIT_TARGETS 3.0
/*
 * Another domain must be faster by this: its results cross domains, and the
 * reports of the waits are old.
 */
#define SPILL_MARGIN       (250 * USEC_PER_MSEC)

bool
spill_is_split(uint32_t targets, uint32_t domains, bool was_split)
{
	double min = was_split ? STAY_SPLIT_TARGETS : SPLIT_TARGETS;

	return domains > 1 && targets >= min * domains;
}

static bool
is_shorter(
    const struct spill_domain *x, const struct spill_domain *home, usec_t min)
{
	usec_t wait = x->wait > min ? x->wait : min;

	return wait + SPILL_MARGIN < home->wait;
}

size_t
spill_home(
    const struct spill_domain *v, size_t n, const char *name, uint64_t random)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(v[i].name, name) == 0)
			return i;
	}
	return n > 0 ? (size_t)(random % n) : 0;
}

size_t
spill_choose(const struct spill_domain *v, size_t n, size_t home,
    usec_t min_wait, uint64_t random)
{
	size_t n_shorter = 0;
	size_t pick;

	for (size_t i = 0; i < n; i++)
		n_shorter += is_shorter(&v[i], &v[home], min_wait);
	if (n_shorter == 0)
		return home;
	pick = (size_t)(random % n_shorter);
	for (size_t i = 0; i < n; i++) {
		if (is_shorter(&v[i], &v[home], min_wait) && pick-- == 0)
			return i;
	}
	return home;
}
