/* Metrics in Prometheus' text form. */
#ifndef ENTRY_METRICS_H
#define ENTRY_METRICS_H

#include "entry/tally.h"
#include "entry/traffic.h"

struct metrics_input {
	const struct traffic_report *traffic;
	const struct tally *tally;
	uint64_t generation;
	size_t record_bytes;
	bool ready;
};

struct metric {
	const char *name;
	const char *type; /* "counter" or "gauge" */
	const char *help;
};

void metrics_write(const struct metrics_input *in, struct buf *out);
/* Every metric that is written, for the pages and their test. */
const struct metric *metrics_all(size_t *n);

#endif
