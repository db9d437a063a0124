#include "base/rng.h"

#include <err.h>
#include <sys/random.h>
#include <xxhash.h>

void
rng_init(struct rng *r, uint64_t seed)
{
	r->seed = seed;
	r->count = 0;
}

/* Hashes a counter; xxhash passes the usual statistical tests of randomness. */
uint64_t
rng_u64(struct rng *r)
{
	uint64_t n = r->count++;

	return XXH3_64bits_withSeed(&n, sizeof(n), r->seed);
}

uint64_t
rng_below(struct rng *r, uint64_t n)
{
	if (n == 0)
		return 0;
	return (uint64_t)(((unsigned __int128)rng_u64(r) * n) >> 64);
}

/* Scales the upper 53 bits, which a double holds exactly, by 2^-53. */
double
rng_unit(struct rng *r)
{
	return (double)(rng_u64(r) >> 11) / 9007199254740992.0;
}

uint64_t
rng_entropy(void)
{
	uint64_t v = 0;

	if (getrandom(&v, sizeof(v), 0) != (long)sizeof(v))
		err(1, "getrandom: no entropy available");
	return v;
}
