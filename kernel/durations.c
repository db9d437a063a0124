#include "kernel/durations.h"

/* Weight of a new measurement: the mean follows some ten of them. */
#define SMOOTH     0.1
/* A burst must not make everything look hopeless. */
#define MAX_FACTOR 4

void
durations_init(struct durations *u)
{
	u->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
durations_record(struct durations *u, const char *name, usec_t took)
{
	double *mean = g_hash_table_lookup(u->by_name, name);

	if (mean == NULL) {
		mean = g_new(double, 1);
		*mean = (double)took;
		g_hash_table_insert(u->by_name, g_strdup(name), mean);
	}
	*mean += SMOOTH * ((double)took - *mean);
}

usec_t
durations_estimate(const struct durations *u, const char *name, usec_t least)
{
	const double *mean = g_hash_table_lookup(u->by_name, name);

	if (mean == NULL || *mean < (double)least)
		return least;
	if (*mean > MAX_FACTOR * (double)least)
		return MAX_FACTOR * least;
	return (usec_t)*mean;
}

void
durations_free(struct durations *u)
{
	g_hash_table_destroy(u->by_name);
}
