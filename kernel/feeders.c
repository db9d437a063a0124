#include "kernel/feeders.h"
#include "base/hash.h"

#include <string.h>

#define RANK_SEED 21

/* How many hosts come before one in a rendezvous order. */
static size_t
before(const char *const *ids, size_t n, const char *id, uint64_t seed)
{
	uint64_t mine = hash_u64(str_from(id), seed);
	size_t count = 0;

	for (size_t i = 0; i < n; i++)
		count += hash_u64(str_from(ids[i]), seed) < mine;
	return count;
}

bool
feeders_follows(const char *const *ids, size_t n, const char *id)
{
	return n < FEEDERS_LEAST || before(ids, n, id, RANK_SEED) < FEEDERS;
}

bool
feeders_feeds(
    const char *const *ids, size_t n, const char *feeder, const char *fed)
{
	uint64_t seed = hash_u64(str_from(fed), RANK_SEED);
	uint64_t mine = hash_u64(str_from(feeder), seed);
	size_t count = 0;

	if (n < FEEDERS_LEAST || feeders_follows(ids, n, fed) ||
	    !feeders_follows(ids, n, feeder))
		return false;
	for (size_t i = 0; i < n; i++)
		count += hash_u64(str_from(ids[i]), seed) < mine &&
		    feeders_follows(ids, n, ids[i]);
	return count < FEEDERS_EACH;
}
