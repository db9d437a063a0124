/* What the relay shows operators: its counters, and the quarantines. */
#ifndef ENTRY_RELAY_METRICS_H
#define ENTRY_RELAY_METRICS_H

#include "entry/httpd.h"
#include "entry/coordinator.h"
#include "entry/discovery.h"
#include "entry/placements.h"
#include "entry/target_calls.h"
#include "plat/dial.h"

#define HISTOGRAM_BOUNDS 10

struct relay_histogram {
	uint64_t counts[HISTOGRAM_BOUNDS + 1];
	uint64_t total;
	double sum_seconds;
};

/* Requests of a host that stops. */
struct relay_stop_counts {
	uint64_t taken;    /* since the signal */
	uint64_t refused;  /* as not run */
	uint64_t given_up; /* answered with a failure shortly before the exit */
	uint64_t cut;      /* without a complete answer at the exit */
	uint64_t unsent;   /* responses of which the callers lack a part */
	uint64_t served_unsent; /* the same, of other hosts and operators */
};

/* Written and read by the relay's thread only. */
struct relay_counts {
	uint64_t arrived;
	uint64_t complete;
	uint64_t failed; /* requests failed by the target or aborted */
	uint64_t caller_gone;
	uint64_t evacuated;             /* rejected, as all their targets are */
	uint64_t rejected[-ERR_LAST];   /* by -(enum err_kind) */
	struct relay_histogram latency; /* time until a request was answered */
	struct relay_histogram placing; /* time until a placer had decided */
	struct relay_stop_counts stop;
};

struct relay_metrics {
	const struct relay_counts *counts;
	struct httpd_counts httpd;
	struct dial_counts dial;
	struct target_calls_counts target_calls;
	struct coordinator_counts coordinator;
	struct placements_counts placements;
	struct placer_counts placer;
	struct discovery_counts discovery;
	struct held_counts memory;
	uint64_t silent_calls;
	uint64_t lost_calls;
	uint64_t unread_calls;
	size_t limited_targets;
	size_t cold_targets;
	uint64_t crashes;
	size_t quarantines;
	size_t evacuated_domains;
	size_t withheld_targets; /* there */
	size_t busy;
	bool ready;
};

void relay_histogram_add(struct relay_histogram *h, usec_t took);
/* Appends all metrics in the Prometheus text format. */
void relay_metrics(struct buf *out, const struct relay_metrics *p);
/* Appends the quarantines in force as a JSON array; q may be NULL. */
void relay_metrics_quarantines(struct buf *out, const struct quarantine *q);

#endif
