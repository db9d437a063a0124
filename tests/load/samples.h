/* Quantiles of durations, and HTTP calls that block until they end. */
#ifndef LOAD_SAMPLES_H
#define LOAD_SAMPLES_H

#include "plat/http.h"

#include <glib.h>
#include <jansson.h>

struct quantile {
	const char *name;
	double at; /* 0 to 1 */
};
/*
 * Returns the quantiles of an array of usec_t as a JSON object
 * {NAME: milliseconds, ...}.  Sorts the array.
 */
json_t *samples_quantiles(GArray *v, const struct quantile *qs, size_t n);

/* A call in progress; zero-initialised before its start. */
struct pending_fetch {
	struct buf body;
	/* Optional; called for each chunk after it was appended to body. */
	void (*chunk)(struct pending_fetch *f, struct str bytes);
	bool done;
};

/* Runs a call to its end; sets the handler in o itself. */
void fetch_run(
    struct pending_fetch *f, struct http_loop *l, struct http_opts o);

#endif
