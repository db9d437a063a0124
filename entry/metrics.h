/* Metrics in the Prometheus text format. */
#ifndef ENTRY_METRICS_H
#define ENTRY_METRICS_H

#include "entry/tally.h"
#include "entry/traffic.h"
#include "plat/held.h"

struct metrics_input {
	const struct traffic_report *traffic;
	const struct tally *tally;
	const struct held_counts *memory;
	uint64_t generation; /* configuration in force; 0: none */
	size_t record_bytes; /* used by ended requests */
	bool ready;
};

struct metric {
	const char *name;
	const char *type; /* "counter" or "gauge" */
	const char *help;
};

void metrics_write(const struct metrics_input *in, struct buf *out);
/*
 * All metrics that metrics_write writes; a test checks the documentation
 * against them.
 */
const struct metric *metrics_all(size_t *n);

#endif
