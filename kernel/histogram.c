#include "kernel/histogram.h"

#include <math.h>

#define FIRST_USEC  200.0 /* upper bound of the first bucket */
#define RATIO       1.25
#define MIN_SAMPLES 8.0F
#define DECAY_AFTER 512.0F /* samples after which all counts are halved */

static int
bucket_of(usec_t d)
{
	double x = (double)d / FIRST_USEC;
	int i = x <= 1.0 ? 0 : (int)ceil(log(x) / log(RATIO));

	return i < HISTOGRAM_BUCKETS ? i : HISTOGRAM_BUCKETS - 1;
}

void
histogram_add(struct histogram *q, usec_t d)
{
	q->count[bucket_of(d)] += 1.0F;
	q->total += 1.0F;
	if (q->total < DECAY_AFTER)
		return;
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++)
		q->count[i] /= 2;
	q->total /= 2;
}

usec_t
histogram_percentile(
    const struct histogram *q, unsigned percent, usec_t fallback)
{
	float want = q->total * (float)percent / 100;
	float seen = 0;

	if (q->total < MIN_SAMPLES)
		return fallback;
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += q->count[i];
		if (seen >= want)
			return (usec_t)(FIRST_USEC * pow(RATIO, i));
	}
	return (usec_t)(FIRST_USEC * pow(RATIO, HISTOGRAM_BUCKETS - 1));
}
