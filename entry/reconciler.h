/*
 * Sends the orders that bring the runners of services to their wanted state.
 *
 * For each service with orders = yes one sequoiad, the first in rendezvous
 * order among the live ones, takes a lease in the key-value service; its
 * revision is the fencing number.  What to send when is decided by
 * kernel/orders.  Belongs to the control thread.
 */
#ifndef ENTRY_RECONCILER_H
#define ENTRY_RECONCILER_H

#include "kernel/event.h"
#include "kernel/orders.h"
#include "plat/kv.h"

struct reconciler;

struct reconciler_opts {
	struct kv *kv;
	struct http_loop *loop;
	const char *id; /* of this sequoiad */
};

/* How the orders of one service stand, for status. */
struct reconciler_status {
	const char *service;
	bool lease_held;
	uint64_t fencing;
	size_t targets;
	size_t converged;
	enum orders_halt halt;
	const char *halt_addr;
};

struct reconciler *reconciler_new(const struct reconciler_opts *o);
void reconciler_set_conf(struct reconciler *o, const struct conf *c);
void reconciler_set_targets(
    struct reconciler *o, const struct listed_target *v, size_t n);
/* Ids of the live sequoiads. */
void reconciler_set_members(
    struct reconciler *o, const char *const *ids, size_t n);
void reconciler_tick(struct reconciler *o, usec_t now);
/* Gives up all leases, so that another takes over at once. */
void reconciler_release(struct reconciler *o);
size_t reconciler_list(
    const struct reconciler *o, struct reconciler_status *out, size_t most);
/* To be freed before its kv client and loop. */
void reconciler_free(struct reconciler *o);

#endif
