#include "kernel/feeders.h"
#include "base/hash.h"
#include "kernel/rendezvous.h"

#include <string.h>

#define RANK_SEED 21

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

/* The next host to choose. */
static const struct feeder_host *
next_feeder(const struct feeders *f, const struct feeder_host *v, size_t n)
{
	const struct feeder_host *best = NULL;
	double most = 0;

	for (size_t i = 0; i < n; i++) {
		double w = weight(&v[i]);

		if (feeders_watches(f, v[i].id) || (best != NULL && w <= most))
			continue;
		best = &v[i];
		most = w;
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
feeders_feeds(const struct feeders *f, const char *feeder, const char *fed)
{
	uint64_t seed = hash_u64(str_from(fed), RANK_SEED);
	uint64_t mine = hash_u64(str_from(feeder), seed);
	size_t count = 0;

	if (f->all || feeders_watches(f, fed) || !feeders_watches(f, feeder))
		return false;
	for (size_t i = 0; i < f->n; i++)
		count += hash_u64(str_from(f->ids[i]), seed) < mine;
	return count < FEEDERS_PER_HOST;
}
