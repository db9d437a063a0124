/*
 * The decisions of sequoiad: events go in, actions come out.  No I/O, no
 * threads and no clock of its own; the same events with the same seed give
 * the same actions, byte for byte.
 */
#ifndef KERNEL_KERNEL_H
#define KERNEL_KERNEL_H

#include "kernel/event.h"
#include "kernel/limit.h"
#include "kernel/targets.h"

struct kernel;

struct kernel_opts {
	uint64_t seed;
	const char *domain; /* own failure domain; copied */
};

/* Counters since start; exported as metrics. */
struct kernel_stats {
	uint64_t requests;
	uint64_t outcomes[4];
	uint64_t errors[-ERR_LAST];
	uint64_t calls;
	uint64_t retries;
	uint64_t hedges;
	uint64_t resumes;
	uint64_t lookups;
	uint64_t failed_calls;
	uint64_t cancelled_calls;
	uint64_t late_events;     /* for calls that were given up */
	uint64_t foreign_answers; /* that echoed another call's id */
	uint64_t silent_calls;    /* given up because nothing came */
	uint64_t queued;
	uint64_t tokens;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t deadline_met;
};

struct kernel *kernel_new(const struct kernel_opts *o);
void kernel_step(
    struct kernel *k, usec_t now, const struct event *ev, struct actions *out);
/* When the next EVENT_TICK is due at the latest. */
usec_t kernel_next_tick(const struct kernel *k, usec_t now);
/* Requests that have not ended, among them those told but not settled. */
size_t kernel_busy(const struct kernel *k);
const struct kernel_stats *kernel_stats(const struct kernel *k);
const struct targets *kernel_targets(const struct kernel *k);
struct limits *kernel_limits(struct kernel *k);
void kernel_free(struct kernel *k);

#endif
