#include "kernel/overload/durations.h"

/* Weight of a new sample: the average follows about ten of them. */
#define AVERAGE_WEIGHT 0.1
/* Keeps a burst from making every request look late. */
#define MAX_FACTOR     4

void
durations_init(struct durations *d)
{
	d->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
durations_record(struct durations *d, const char *name, usec_t duration)
{
	double *mean = g_hash_table_lookup(d->by_name, name);

	if (mean == NULL) {
		mean = g_new(double, 1);
		*mean = (double)duration;
		g_hash_table_insert(d->by_name, g_strdup(name), mean);
	}
	*mean += AVERAGE_WEIGHT * ((double)duration - *mean);
}

usec_t
durations_estimate(const struct durations *d, const char *name, usec_t min)
{
	const double *mean = g_hash_table_lookup(d->by_name, name);

	if (mean == NULL || *mean < (double)min)
		return min;
	if (*mean > MAX_FACTOR * (double)min)
		return MAX_FACTOR * min;
	return (usec_t)*mean;
}

void
durations_free(struct durations *d)
{
	g_hash_table_destroy(d->by_name);
}
