#include "kernel/homes.h"

#include <math.h>

#define UNKNOWN_CAPACITY 250 /* thousandths of a core: a usual entry host */

double
homes_weight(uint64_t hash, uint32_t capacity)
{
	/* In (0, 1]; the highest of -w / ln(u) wins with a chance like w. */
	double u = ((double)(hash >> 11) + 1) / 9007199254740993.0;
	double c = capacity > 0 ? capacity : UNKNOWN_CAPACITY;

	return -(c * c) / log(u);
}
