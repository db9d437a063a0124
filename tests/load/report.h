/*
 * The report of a run, as JSON and as text: the callers' results, compared with
 * the calls and effects that the stand-in counted.
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

/* Returns the report as one object, owned by the caller. */
json_t *report_make(const struct report_opts *o);
/* Prints one line for each member of the report. */
void report_print(const json_t *report, FILE *out);

#endif
