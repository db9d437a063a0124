/*
 * Percentiles of recent durations: a histogram whose bucket bounds grow by a
 * constant ratio and whose counts decay.
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

void histogram_add(struct histogram *h, usec_t d);
/*
 * Returns a percentile (0 to 100) in microseconds, or fallback if there are too
 * few samples.
 */
usec_t histogram_percentile(
    const struct histogram *h, unsigned percent, usec_t fallback);

#endif
