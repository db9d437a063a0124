/*
 * Quantiles of a duration over the recent past: a histogram whose bucket
 * bounds grow by a constant ratio and whose counts decay.
 */
#ifndef KERNEL_HISTOGRAM_H
#define KERNEL_HISTOGRAM_H

#include "base/clock.h"

#include <stdbool.h>

#define HISTOGRAM_BUCKETS 64

struct histogram {
	float count[HISTOGRAM_BUCKETS];
	float total;
};

void histogram_add(struct histogram *q, usec_t d);
/* The given percentile (0-100), or fallback with too few samples. */
usec_t histogram_percentile(
    const struct histogram *q, unsigned percent, usec_t fallback);

#endif
