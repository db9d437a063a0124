/*
 * How far a host knows the platform's store: up to a revision, in an era of it.
 *
 * While a host can't reach the store, it asks others for what they know of it.
 * Each may lag behind the host that asks, or behind one that it asked before;
 * changes that a host has seen are not delivered to it again, so it must not
 * take an older state for a newer one.
 */
#ifndef KERNEL_STORE_POSITION_H
#define KERNEL_STORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

struct store_position {
	uint64_t era;     /* 0: not known */
	int64_t revision; /* 0: no complete listing of this era is known */
};

/*
 * Whether a state of the store up to p has all that is known up to q. Revisions
 * of two eras don't compare, so a state that names none is not taken for one of
 * a known era.
 */
bool store_position_covers(
    const struct store_position *p, const struct store_position *q);

#endif
