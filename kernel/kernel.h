/*
 * Decides what sequoiad does with requests: kernel_step() takes an event and
 * appends the actions that follow from it.  The kernel does no I/O, starts no
 * threads and reads no clock; the same events with the same seed give the same
 * actions, byte for byte.
 *
 * A struct kernel has no locks: one thread owns it (sequoiad's traffic thread).
 * Times are usec_t (microseconds) on the clock that the driver passes in; the
 * kernel's time never goes back.
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

/* Counters since start, exported as metrics. */
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
	uint64_t late_events; /* events for calls that were already closed */
	uint64_t foreign_answers; /* answers with another call's id */
	uint64_t silent_calls;    /* calls closed for lack of progress */
	uint64_t queued;
	uint64_t tokens;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t deadline_met;
	/* Since the process was told to stop. */
	uint64_t stop_requests_taken;
	uint64_t stop_requests_refused;
	uint64_t stop_requests_given_up;
};

struct kernel *kernel_new(const struct kernel_opts *o);
/* Processes an event at time now and appends the actions to out. */
void kernel_step(
    struct kernel *k, usec_t now, const struct event *ev, struct actions *out);
/* Latest time at which the driver must send EVENT_TICK. */
usec_t kernel_next_tick(const struct kernel *k, usec_t now);
/*
 * Number of requests that have not ended.  Includes requests that were answered
 * and whose claim is not settled yet.
 */
size_t kernel_busy(const struct kernel *k);
/* Bytes of the results of stages that requests hold, as their text. */
size_t kernel_result_bytes(const struct kernel *k);
const struct kernel_stats *kernel_stats(const struct kernel *k);
const struct targets *kernel_targets(const struct kernel *k);
struct limits *kernel_limits(struct kernel *k);
void kernel_free(struct kernel *k);

#endif
