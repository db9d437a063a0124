/*
 * What a run showed: the callers' results, held against what the stand-ins
 * saw, as text and as JSON.
 */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include "tests/load/caller.h"

#include <jansson.h>

struct report_opts {
	struct http_loop *loop;
	struct fleet *fleet;
	const struct plan *plan;
	const GArray *results; /* struct result */
	const GArray *gaps;    /* usec_t */
};

/* Everything as one object; owned by the caller. */
json_t *report_make(const struct report_opts *o);
/* The same for a reader. */
void report_print(const json_t *report, FILE *out);

#endif
