#include "kernel/feeders.h"
#include "base/hash.h"
#include "kernel/rendezvous.h"

#include <string.h>

#define RANK_SEED 21 /* seed of the rendezvous hashes */

static double
weight(const struct feeder_host *h)
{
	return rendezvous_weight(
	    hash_u64(str_from(h->id), RANK_SEED), h->capacity);
}

bool
feeders_watches(const struct feeders *f, const char *id)
{
	for (size_t i = 0; i < f->n; i++) {
		if (strcmp(f->ids[i], id) == 0)
			return true;
	}
	return f->all;
}

/* Returns the host with the largest weight that is not chosen yet. */
static const struct feeder_host *
next_feeder(const struct feeders *f, const struct feeder_host *v, size_t n)
{
	const struct feeder_host *best = NULL;
	double max_weight = 0;

	for (size_t i = 0; i < n; i++) {
		double w = weight(&v[i]);

		if (feeders_watches(f, v[i].id) ||
		    (best != NULL && w <= max_weight))
			continue;
		best = &v[i];
		max_weight = w;
	}
	return best;
}

void
feeders_choose(struct feeders *f, const struct feeder_host *v, size_t n)
{
	const struct feeder_host *next;

	*f = (struct feeders){ .all = n < FEEDERS_MIN_FLEET };
	while (!f->all && f->n < FEEDERS_MAX &&
	    (next = next_feeder(f, v, n)) != NULL)
		f->ids[f->n++] = next->id;
}

bool
feeders_feeds(const struct feeders *f, const char *feeder, const char *receiver)
{
	uint64_t seed = hash_u64(str_from(receiver), RANK_SEED);
	uint64_t feeder_hash = hash_u64(str_from(feeder), seed);
	size_t count = 0;

	if (f->all || feeders_watches(f, receiver) ||
	    !feeders_watches(f, feeder))
		return false;
	for (size_t i = 0; i < f->n; i++)
		count += hash_u64(str_from(f->ids[i]), seed) < feeder_hash;
	return count < FEEDERS_PER_HOST;
}
