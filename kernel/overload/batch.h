/*
 * Queue of stage pieces that wait for a call to a target, and the choice of
 * those that go into the next call.
 *
 * A call costs much and a piece little, so when a target is free the waiting
 * pieces go into one call, up to the batch size; several free targets share
 * them.  Pieces are sorted by their soft deadline, the time after which a
 * result is late; each rank adds RANK_STEP to it, and being late adds six
 * ranks.  So pieces that can still be on time go first, and a piece that has
 * waited long enough goes before all others.
 *
 * Load pattern: more pieces arrive than the targets can process.  A new piece
 * whose turn would not come before its deadline, given the pieces before it and
 * the rate of more urgent arrivals, is then refused at once.  A waiting piece
 * whose turn no longer comes in time, as more urgent ones have arrived or the
 * targets have become slower, is refused when that is known, not when its
 * deadline has passed.  Results take space at their producer until they are
 * used; a piece without space would be refused there, so it is not sent.
 *
 * Times are in microseconds.  A batch belongs to one thread.
 */
#ifndef KERNEL_OVERLOAD_BATCH_H
#define KERNEL_OVERLOAD_BATCH_H

#include "kernel/overload/call_pace.h"
#include "kernel/overload/target_speed.h"
#include "kernel/overload/throughput.h"
#include "kernel/routes.h"

struct batch_item {
	void *owner; /* the stage job; its pieces stay together */
	uint32_t piece;
	usec_t soft_deadline; /* a result after this time is late */
	usec_t deadline;      /* latest start of its call */
	uint32_t rank;        /* 0 is the most urgent */
	uint64_t bytes;       /* size of the result */
	uint32_t domain;      /* hash of the domain of its inputs; 0: any */
	uint32_t avoid;       /* hash of the target that failed it; 0: none */
	usec_t queued;        /* time of arrival in the queue */
	uint64_t order; /* set by batch_add: that of its owner's arrival */
};

#define BATCH_RANKS 4 /* higher ranks count as the last one */

struct batch {
	GArray *items; /* waiting struct batch_item */
	struct pool_config config;
	double rates[BATCH_RANKS]; /* arriving pieces per second, by rank */
	usec_t rates_at;
	double call_usec; /* measured cost of a call without its pieces */
	double item_usec; /* measured cost of a piece */
	struct throughput throughput; /* pieces moved into calls */
	struct call_pace pace;        /* of calls to targets that aren't slow */
	const void *last_owner;       /* of the piece added last */
	uint64_t n_owners;
};

void batch_init(struct batch *b, const struct pool_config *config);
/* Adds a piece; its queued time is the present time. */
void batch_add(struct batch *b, const struct batch_item *it);
/* Removes the pieces of a stage job. */
void batch_remove_owner(struct batch *b, const void *owner);
/* A target that can take a call now. */
struct batch_target {
	uint32_t id;     /* hash of its id */
	uint32_t domain; /* hash of its failure domain */
	uint64_t free_bytes;
	/*
	 * Takes no pieces with inputs in another domain, unless they have
	 * waited for longer than a call takes.
	 */
	bool local_only;
	/* Without local_only, takes them after this time. */
	usec_t remote_wait;
	enum target_use use;
	usec_t slower_by; /* additional time of its calls */
};
/*
 * Returns how many calls may begin now to the targets that are not slow, of
 * which there are so many in all; a full call may always begin.
 */
uint32_t batch_calls(const struct batch *b, uint32_t targets, usec_t now);
/* The time before which batch_calls returns 0 as long as no call is full. */
usec_t batch_next_call(const struct batch *b, uint32_t targets);
/*
 * Returns the domain of the inputs of the piece that has waited longest; 0: any
 * domain, or no piece waits.
 */
uint32_t batch_first_domain(const struct batch *b);
/*
 * Time after which a piece doesn't wait for a target in the domain of its
 * inputs any longer: one would have become free, if there are some.
 */
usec_t batch_remote_wait(const struct batch *b);
/*
 * Moves the pieces of the next call to out, a GArray of struct batch_item.
 * free_targets is the number of targets that get a call now, including t.
 * Pieces that don't fit into the target's free_bytes stay; pieces with inputs
 * in another failure domain go behind the others for LOCAL_WAIT, and a piece
 * waits as long for another target than the one that failed it.  Such a
 * piece goes before others of its rank: its inputs, and the results of the
 * other pieces of its job, hold space until it is made.
 */
void batch_take(struct batch *b, usec_t now, uint32_t free_targets,
    const struct batch_target *t, GArray *out);
/*
 * Sets what a free target is to be used for, given its speed and that of all
 * targets; free_targets is the number of free ones that are not slow.
 */
void batch_plan_speed(const struct batch *b, const struct target_speed *speed,
    const struct target_speeds *all, uint32_t free_targets, usec_t now,
    struct batch_target *t);
/* Estimates when a piece like this would be done if it were added now. */
usec_t batch_estimate(const struct batch *b, uint32_t targets,
    const struct batch_item *it, usec_t now);
/*
 * Shortest time until a piece like this would be done: after the pieces that
 * wait before it now, without those that will arrive.
 */
usec_t batch_least_wait(const struct batch *b, uint32_t targets,
    const struct batch_item *it, usec_t now);
/* Whether a new piece's turn may come before its deadline. */
bool batch_admits(const struct batch *b, uint32_t targets,
    const struct batch_item *it, usec_t now);
/*
 * Collects the owners of the pieces whose calls can't start by their deadline,
 * given the pieces that go before them.
 */
void batch_hopeless(
    struct batch *b, uint32_t targets, usec_t now, GPtrArray *owners);
/* Shortest time that a call takes. */
usec_t batch_min_duration(const struct batch *b);
/*
 * Updates the measured costs with the duration of a call in which n pieces were
 * produced.  A call whose inputs are gone is answered at once; it says nothing
 * about the cost of work, so a call without any piece is not counted, and the
 * costs stay within a factor of the configured ones.
 */
void batch_record(struct batch *b, uint32_t n, usec_t duration);
/* Time that a call of n pieces takes: the configured or measured, if longer. */
usec_t batch_long_duration(const struct batch *b, uint32_t n);
/* Time after which a call of n pieces is considered lost. */
usec_t batch_call_timeout(const struct batch *b, uint32_t n);
void batch_free(struct batch *b);

#endif
