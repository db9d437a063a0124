/* Seeded random numbers: the same seed gives the same sequence. */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

struct rng {
	uint64_t seed;
	uint64_t count;
};

void rng_init(struct rng *r, uint64_t seed);
uint64_t rng_u64(struct rng *r);
/* A number from 0 to n-1; 0 when n is 0. */
uint64_t rng_below(struct rng *r, uint64_t n);
/* A number in [0, 1). */
double rng_unit(struct rng *r);
/* A number from the operating system, to make a seed or an incarnation. */
uint64_t rng_entropy(void);

#endif
