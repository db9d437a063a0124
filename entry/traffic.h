/*
 * The traffic thread owns the kernel and the calls to targets.  Other threads
 * send it messages through a lock-free queue; what the kernel decides is
 * written to the records and, for claims, handed to the control thread.  Times
 * are in microseconds.
 */
#ifndef ENTRY_TRAFFIC_H
#define ENTRY_TRAFFIC_H

#include "entry/record.h"
#include "kernel/kernel.h"

struct host_memory;
struct stop_signal;
struct traffic;

/* A caller's request for the kernel; owns its strings. */
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

/* A target as shown to operators. */
struct traffic_target {
	char service[MAX_NAME_BYTES + 1];
	struct target t;
};

/* Usage of a workspace since the start of the process. */
struct traffic_limit {
	char workspace[MAX_NAME_BYTES + 1];
	uint64_t arrived;
	uint64_t tokens;
	uint32_t in_flight;
	/* Share of the limit in millionths; 0: the equal share. */
	uint32_t share;
};

/* A copy of the thread's state, updated a few times per second. */
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
	 * Called on the traffic thread for ACTION_CLAIM, ACTION_REFUSE and
	 * ACTION_SETTLE; the callee has to copy the action.  The decision is
	 * returned with traffic_claimed.
	 */
	void (*claim)(
	    void *arg, enum action_kind kind, const struct action_claim *c);
	/*
	 * Called on the traffic thread when a target reports that it is
	 * leaving; the callee has to copy the action.
	 */
	void (*target_leaving)(void *arg, const struct action_leaving *l);
	struct host_memory *memory; /* or NULL */
	struct stop_signal *stop_signal;
	usec_t drain; /* from the signal until no request is routed here */
	usec_t grace; /* from the signal until the platform's kill */
	void *arg;
};

struct traffic *traffic_new(const struct traffic_opts *o);
void traffic_start(struct traffic *t);

/*
 * The functions from traffic_arrive to traffic_report may be called from any
 * thread. traffic_arrive takes the strings of the request over and clears it.
 */
void traffic_arrive(struct traffic *t, struct traffic_request *r);
void traffic_caller_gone(struct traffic *t, uint64_t req);
void traffic_set_conf(struct traffic *t, struct conf *c);
void traffic_set_targets(
    struct traffic *t, const struct listed_target *v, size_t n);
void traffic_claimed(struct traffic *t, const struct event_claim *c);
void traffic_set_shares(
    struct traffic *t, uint32_t sequoiads, const struct share *v, size_t n);
void traffic_set_load(
    struct traffic *t, const char *addr, uint32_t load, bool leaving);
void traffic_drain(struct traffic *t);
/* Number of requests that have not ended. */
size_t traffic_busy(struct traffic *t);
/* Copies the latest report, the last one after traffic_stop; free it with
 * traffic_report_free. */
void traffic_report(struct traffic *t, struct traffic_report *out);
void traffic_report_free(struct traffic_report *r);

void traffic_stop(struct traffic *t);
void traffic_free(struct traffic *t);

#endif
