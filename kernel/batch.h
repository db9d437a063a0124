/*
 * Pieces of stages that wait for a call to a target, and which of them go
 * together next.
 *
 * A call costs much and a piece little, so what waits goes into one call when
 * a target is free, up to the batch; several free targets share what waits.
 * Load pattern: more pieces come than the targets can make.  Then the order
 * decides: by the time until a piece is late, each rank counting as a while
 * more and being late as six ranks.  So what can be on time goes first, and
 * what has waited long enough goes before everything.  A piece whose turn would
 * not come before its deadline, by what waits before it and by the rate of what
 * will come before it, is refused when it comes.  Results take room at their
 * maker until they are used: a piece without room would be refused at its turn,
 * so it is not sent.
 */
#ifndef KERNEL_BATCH_H
#define KERNEL_BATCH_H

#include "kernel/routes.h"

struct batch_item {
	void *owner; /* the ask; pieces of one owner stay together */
	uint32_t piece;
	usec_t soft_deadline; /* an answer after that is late */
	usec_t deadline;      /* and after that worth nothing */
	uint32_t rank;        /* 0 is the most urgent */
	uint64_t bytes;       /* of its result */
	uint32_t domain;      /* hash of where it is best made; 0: anywhere */
	usec_t queued;
};

#define BATCH_RANKS 4 /* less urgent ones count as the last */

struct batch {
	GArray *items; /* struct batch_item that wait */
	struct pool_config config;
	double rates[BATCH_RANKS]; /* pieces a second that come, by rank */
	usec_t rates_at;
	double call_usec; /* measured: work of a call beside its pieces */
	double item_usec; /* measured: work of a piece */
};

void batch_init(struct batch *b, const struct pool_config *shape);
void batch_add(struct batch *b, const struct batch_item *it);
/* Removes the pieces of an owner. */
void batch_remove_owner(struct batch *b, const void *owner);
/*
 * Moves the pieces of the next call to out, a GArray of struct batch_item;
 * free_targets: how many could take a call now, this one too.  What does not
 * fit into the target's room waits on; what is best made in another failure
 * domain goes behind what is not, by a while.
 */
struct batch_target {
	uint32_t domain; /* hash of its failure domain */
	uint64_t free_bytes;
	bool local_only; /* takes nothing that is best made elsewhere */
};
void batch_take(struct batch *b, usec_t now, uint32_t free_targets,
    const struct batch_target *t, GArray *out);
/* When a piece like this would be made, if it were added now. */
usec_t batch_estimate(const struct batch *b, uint32_t targets,
    const struct batch_item *it, usec_t now);
/* A call of n pieces took so long at its target. */
void batch_record(struct batch *b, uint32_t n, usec_t took);
void batch_free(struct batch *b);

#endif
