/* Counters of the relay and their page for /metrics. */
#ifndef ENTRY_RELAY_PAGE_H
#define ENTRY_RELAY_PAGE_H

#include "entry/door.h"
#include "entry/home.h"
#include "entry/steward.h"
#include "plat/dial.h"

#define HISTOGRAM_BOUNDS 10

struct relay_histogram {
	uint64_t counts[HISTOGRAM_BOUNDS + 1];
	uint64_t n;
	double sum_seconds;
};

/* Written by the relay's thread only. */
struct relay_counts {
	uint64_t arrived;
	uint64_t complete;
	uint64_t failed; /* by their target, or broken off */
	uint64_t gone;
	uint64_t rejected[-ERR_LAST];   /* by -(enum err_kind) */
	struct relay_histogram latency; /* of those that were answered */
};

struct relay_page {
	const struct relay_counts *counts;
	struct door_counts door;
	struct dial_counts dial;
	struct home_counts home;
	struct steward_counts steward;
	size_t busy;
	bool ready;
};

void relay_histogram_add(struct relay_histogram *h, usec_t took);
/* The page in the Prometheus text form. */
void relay_page(struct buf *out, const struct relay_page *p);

#endif
