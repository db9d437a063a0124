/*
 * Brings the targets of services to their desired state by sending them orders.
 *
 * For each service with orders = yes, the live sequoiad that is first in
 * rendezvous order takes a lease in the key-value service.  The revision of
 * the lease's key is the fencing number of its orders.  kernel/orders decides
 * what to send and when.  All functions belong to the control thread.
 */
#ifndef ENTRY_RECONCILER_H
#define ENTRY_RECONCILER_H

#include "kernel/event.h"
#include "kernel/orders.h"
#include "plat/kv.h"

struct host_memory;
struct reconciler;

struct reconciler_opts {
	struct kv *kv;
	struct http_loop *loop;
	const char *id;             /* this sequoiad */
	struct host_memory *memory; /* or NULL */
};

/* The state of one service, for status reports. */
struct reconciler_status {
	const char *service;
	bool lease_held;
	uint64_t fencing;
	size_t targets;
	size_t converged; /* targets in the desired state */
	enum orders_halt halt;
	const char *halt_addr;
};

struct reconciler *reconciler_new(const struct reconciler_opts *opts);
/* Sets the services with orders and the desired state of each. */
void reconciler_set_conf(struct reconciler *r, const struct conf *c);
void reconciler_set_targets(
    struct reconciler *r, const struct listed_target *v, size_t n);
/* Sets the live sequoiads, by their ids. */
void reconciler_set_members(
    struct reconciler *r, const char *const *ids, size_t n);
void reconciler_tick(struct reconciler *r, usec_t now);
/* Revokes all leases, so that other sequoiads can take over at once. */
void reconciler_release(struct reconciler *r);
/* Copies the states of up to max services; returns their number. */
size_t reconciler_list(
    const struct reconciler *r, struct reconciler_status *out, size_t max);
/* Must be called before the kv client and the loop are freed. */
void reconciler_free(struct reconciler *r);

#endif
