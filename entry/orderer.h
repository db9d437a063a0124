/*
 * Sends the orders that bring the runners of services to their wanted state.
 *
 * For each service with orders = yes one sequoiad, the first in rendezvous
 * order among the live ones, takes a lease in the key-value service; its
 * revision is the fencing number.  What to send when is decided by
 * kernel/orders.  Belongs to the control thread.
 */
#ifndef ENTRY_ORDERER_H
#define ENTRY_ORDERER_H

#include "kernel/event.h"
#include "kernel/orders.h"
#include "plat/kv.h"

struct orderer;

struct orderer_opts {
	struct kv *kv;
	struct http_loop *loop;
	const char *id; /* of this sequoiad */
};

/* How the orders of one service stand, for status. */
struct orderer_view {
	const char *service;
	bool held;
	uint64_t fencing;
	size_t runners;
	size_t right;
	enum orders_halt halt;
	const char *halt_addr;
};

struct orderer *orderer_new(const struct orderer_opts *o);
void orderer_conf(struct orderer *o, const struct conf *c);
void orderer_targets(
    struct orderer *o, const struct listed_target *v, size_t n);
/* Ids of the live sequoiads. */
void orderer_members(struct orderer *o, const char *const *ids, size_t n);
void orderer_tick(struct orderer *o, usec_t now);
/* Gives up all leases, so that another takes over at once. */
void orderer_release(struct orderer *o);
size_t orderer_views(
    const struct orderer *o, struct orderer_view *out, size_t most);
/* To be freed before its kv client and loop. */
void orderer_free(struct orderer *o);

#endif
