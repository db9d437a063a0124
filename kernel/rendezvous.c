#include "kernel/rendezvous.h"

#include <math.h>

#define UNKNOWN_CAPACITY 250 /* thousandths of a core: a usual entry host */

/* A home's letters and a configuration of 500 KB fill a link of 10 Mbit/s. */
#define CPU_PER_LINK     0.012

uint32_t
rendezvous_capacity(uint32_t cpu, uint32_t link)
{
	double most = CPU_PER_LINK * link;

	if (most < cpu)
		return most < 1 ? 1 : (uint32_t)most;
	return cpu;
}

double
rendezvous_weight(uint64_t hash, uint32_t capacity)
{
	/* In (0, 1]; the highest of -w / ln(u) wins with a chance like w. */
	double u = ((double)(hash >> 11) + 1) / 9007199254740993.0;
	double c = capacity > 0 ? capacity : UNKNOWN_CAPACITY;

	return -(c * c * c * c) / log(u);
}
