/*
 * Seeded pseudo-random numbers: the same seed gives the same sequence.  Not
 * for secrets; a struct rng must be used by one thread at a time.
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

struct rng {
	uint64_t seed;
	uint64_t count; /* numbers generated so far */
};

void rng_init(struct rng *r, uint64_t seed);
uint64_t rng_u64(struct rng *r);
/* Returns a number from 0 to n-1, or 0 if n is 0. */
uint64_t rng_below(struct rng *r, uint64_t n);
/* Returns a number in [0, 1). */
double rng_unit(struct rng *r);
/* Returns a random number from the kernel, for seeds and incarnations. */
uint64_t rng_entropy(void);

#endif
