/*
 * The traffic thread: it owns the kernel and the calls to targets.  Others
 * hand it messages; what it decides goes into the records and, for claims, to
 * the control thread.
 */
#ifndef ENTRY_TRAFFIC_H
#define ENTRY_TRAFFIC_H

#include "entry/record.h"
#include "kernel/kernel.h"

struct traffic;

/* A caller's request on its way to the kernel; the strings are owned. */
struct traffic_request {
	uint64_t req;
	struct buf id;
	struct buf workspace;
	struct buf pipeline;
	struct buf key;
	struct buf body;
	uint32_t attempt;
	usec_t timeout;
	bool stream;
};

/* One target as operators see it. */
struct traffic_target {
	char service[MAX_NAME_BYTES + 1];
	struct target t;
};

/* What a workspace has used since start. */
struct traffic_limit {
	char workspace[MAX_NAME_BYTES + 1];
	uint64_t arrived;
	uint64_t tokens;
	uint32_t in_flight;
	uint32_t share; /* millionths; 0: the even share */
};

/* A copy of what the thread knows, renewed a few times a second. */
struct traffic_report {
	struct kernel_stats stats;
	struct traffic_target *targets;
	size_t n_targets;
	struct traffic_limit *limits;
	size_t n_limits;
	size_t busy;
	usec_t at;
};

struct traffic_opts {
	struct records *records;
	const char *domain;
	uint64_t seed;
	/*
	 * Called on the traffic thread for CLAIM, REFUSE and SETTLE; the
	 * action is the callee's to copy.  A decision comes back through
	 * traffic_claimed.
	 */
	void (*claim)(
	    void *arg, enum action_kind kind, const struct action_claim *c);
	/* The same: a target said that it is leaving. */
	void (*target_leaving)(void *arg, const struct action_leaving *l);
	void *arg;
};

struct traffic *traffic_new(const struct traffic_opts *o);
void traffic_start(struct traffic *t);

/* The following may be called from any thread. */
void traffic_arrive(struct traffic *t, struct traffic_request *r);
void traffic_caller_gone(struct traffic *t, uint64_t req);
void traffic_conf(struct traffic *t, struct conf *c);
void traffic_targets(
    struct traffic *t, const struct listed_target *v, size_t n);
void traffic_claimed(struct traffic *t, const struct event_claim *c);
void traffic_shares(
    struct traffic *t, uint32_t sequoiads, const struct share *v, size_t n);
void traffic_load(
    struct traffic *t, const char *addr, uint32_t load, bool leaving);
void traffic_drain(struct traffic *t);
/* Requests that have not ended. */
size_t traffic_busy(struct traffic *t);
/* A copy of the latest report; freed with traffic_report_free. */
void traffic_report(struct traffic *t, struct traffic_report *out);
void traffic_report_free(struct traffic_report *r);

void traffic_stop(struct traffic *t);
void traffic_free(struct traffic *t);

#endif
