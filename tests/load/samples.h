/* Durations and what is told of them, and calls that are waited for. */
#ifndef LOAD_SAMPLES_H
#define LOAD_SAMPLES_H

#include "plat/http.h"

#include <glib.h>
#include <jansson.h>

/* The JSON object {NAME: ms, ...} of quantiles of usec_t; sorts the array. */
struct quantile {
	const char *name;
	double at;
};
json_t *samples_quantiles(GArray *v, const struct quantile *qs, size_t n);

/* A call that is waited for; a zeroed one has not begun. */
struct fetch {
	struct buf body;
	/* Optional: gets each chunk after it is in the body. */
	void (*chunk)(struct fetch *f, struct str bytes);
	bool done;
};

/* Starts the call, whose handler is set here, and waits for its end. */
void fetch_wait(struct fetch *f, struct http_loop *l, struct http_opts o);

#endif
