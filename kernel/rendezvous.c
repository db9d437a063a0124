#include "kernel/rendezvous.h"
#include "base/hash.h"

#include <math.h>

#define UNKNOWN_CAPACITY 250 /* thousandths of a core: a typical entry host */

/*
 * Thousandths of a core per thousandth of a Mbit/s: the messages of a
 * coordinator and a configuration of 500 KB fill a link of 10 Mbit/s.
 */
#define CPU_PER_LINK     0.012

uint32_t
rendezvous_capacity(uint32_t cpu, uint32_t link)
{
	double link_cpu = CPU_PER_LINK * link;

	if (link_cpu < cpu)
		return link_cpu < 1 ? 1 : (uint32_t)link_cpu;
	return cpu;
}

double
rendezvous_weight(uint64_t hash, uint32_t capacity)
{
	/*
	 * u is in (0, 1]; the host with the highest -w / ln(u) wins with a
	 * chance in proportion to w.
	 */
	double u = ((double)(hash >> 11) + 1) / 9007199254740993.0;
	double c = capacity > 0 ? capacity : UNKNOWN_CAPACITY;

	return -(c * c * c * c) / log(u);
}

bool
rendezvous_is_large(uint32_t capacity, uint32_t largest)
{
	return (uint64_t)2 * (capacity > 0 ? capacity : UNKNOWN_CAPACITY) >=
	    largest;
}

/* Whether the array has this pointer. */
static bool
is_chosen(const char *const *ids, size_t n, const char *id)
{
	for (size_t i = 0; i < n; i++) {
		if (ids[i] == id)
			return true;
	}
	return false;
}

size_t
rendezvous_choose(const struct rendezvous_host *v, size_t n, uint64_t seed,
    const char **out, size_t max)
{
	size_t n_out = 0;

	while (n_out < max && n_out < n) {
		const char *best = NULL;
		double max_weight = 0;

		for (size_t i = 0; i < n; i++) {
			double w = rendezvous_weight(
			    hash_u64(str_from(v[i].id), seed), v[i].capacity);

			if (is_chosen(out, n_out, v[i].id) ||
			    (best != NULL && w <= max_weight))
				continue;
			best = v[i].id;
			max_weight = w;
		}
		if (best == NULL)
			break;
		out[n_out++] = best;
	}
	return n_out;
}
