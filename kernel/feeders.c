#include "kernel/feeders.h"
#include "base/hash.h"

#include <string.h>

#define RANK_SEED 21 /* seed of the rendezvous hashes */

bool
feeders_watches(const struct feeders *f, const char *id)
{
	for (size_t i = 0; i < f->n; i++) {
		if (strcmp(f->ids[i], id) == 0)
			return true;
	}
	return f->all;
}

void
feeders_choose(struct feeders *f, const struct rendezvous_host *v, size_t n)
{
	*f = (struct feeders){ .all = n < FEEDERS_MIN_FLEET };
	if (!f->all)
		f->n = rendezvous_choose(v, n, RANK_SEED, f->ids, FEEDERS_MAX);
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

enum feed_use
feeders_judge(int64_t known, int64_t from, int64_t to, bool complete)
{
	if (from > to)
		return FEED_RESTORED;
	if (known == 0 || to < known)
		return FEED_BEHIND;
	if (to == known)
		return FEED_CURRENT;
	return known >= from && complete ? FEED_APPLY : FEED_GAP;
}
