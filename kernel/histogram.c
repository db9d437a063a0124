#include "kernel/histogram.h"

#include <math.h>

#define FIRST_USEC   200.0 /* upper bound of the first bucket */
#define BUCKET_RATIO 1.25
#define MIN_SAMPLES  8.0F
#define DECAY_AFTER  512.0F /* samples after which all counts are halved */

static int
bucket_of(usec_t d)
{
	double x = (double)d / FIRST_USEC;
	int i = x <= 1.0 ? 0 : (int)ceil(log(x) / log(BUCKET_RATIO));

	return i < HISTOGRAM_BUCKETS ? i : HISTOGRAM_BUCKETS - 1;
}

void
histogram_add(struct histogram *h, usec_t d)
{
	h->count[bucket_of(d)] += 1.0F;
	h->total += 1.0F;
	if (h->total < DECAY_AFTER)
		return;
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++)
		h->count[i] /= 2;
	h->total /= 2;
}

usec_t
histogram_percentile(
    const struct histogram *h, unsigned percent, usec_t fallback)
{
	float needed = h->total * (float)percent / 100;
	float sum = 0;

	if (h->total < MIN_SAMPLES)
		return fallback;
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		sum += h->count[i];
		if (sum >= needed)
			return (usec_t)(FIRST_USEC * pow(BUCKET_RATIO, i));
	}
	return (usec_t)(FIRST_USEC * pow(BUCKET_RATIO, HISTOGRAM_BUCKETS - 1));
}
