#include "kernel/usual.h"

/* Weight of a new measurement: the mean follows some ten of them. */
#define SMOOTH     0.1
/* A burst must not make everything look hopeless. */
#define MOST_TIMES 4

void
usual_init(struct usual *u)
{
	u->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
usual_note(struct usual *u, const char *name, usec_t took)
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
usual_time(const struct usual *u, const char *name, usec_t least)
{
	const double *mean = g_hash_table_lookup(u->by_name, name);

	if (mean == NULL || *mean < (double)least)
		return least;
	if (*mean > MOST_TIMES * (double)least)
		return MOST_TIMES * least;
	return (usec_t)*mean;
}

void
usual_free(struct usual *u)
{
	g_hash_table_destroy(u->by_name);
}
