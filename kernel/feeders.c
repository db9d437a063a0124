#include "kernel/feeders.h"
#include "base/hash.h"
#include "kernel/homes.h"

#include <string.h>

#define RANK_SEED 21

static double
weight(const struct feeder_host *h)
{
	return homes_weight(hash_u64(str_from(h->id), RANK_SEED), h->capacity);
}

/* How many hosts are chosen before one. */
static size_t
before(const struct feeder_host *v, size_t n, const char *id)
{
	double mine = 0;
	size_t count = 0;

	for (size_t i = 0; i < n; i++) {
		if (strcmp(v[i].id, id) == 0)
			mine = weight(&v[i]);
	}
	for (size_t i = 0; i < n; i++)
		count += weight(&v[i]) > mine;
	return count;
}

bool
feeders_follows(const struct feeder_host *v, size_t n, const char *id)
{
	return n < FEEDERS_LEAST || before(v, n, id) < FEEDERS;
}

bool
feeders_feeds(
    const struct feeder_host *v, size_t n, const char *feeder, const char *fed)
{
	uint64_t seed = hash_u64(str_from(fed), RANK_SEED);
	uint64_t mine = hash_u64(str_from(feeder), seed);
	size_t count = 0;

	if (n < FEEDERS_LEAST || feeders_follows(v, n, fed) ||
	    !feeders_follows(v, n, feeder))
		return false;
	for (size_t i = 0; i < n; i++)
		count += hash_u64(str_from(v[i].id), seed) < mine &&
		    feeders_follows(v, n, v[i].id);
	return count < FEEDERS_EACH;
}
