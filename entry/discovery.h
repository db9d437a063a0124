/*
 * The discovery thread of a host that relays by route.  It watches the
 * configuration and the targets in the platform's store, gossips with the
 * other sequoiads, and publishes views to the relay.  While the store is
 * unavailable to this host it fetches configuration and targets from a peer.
 *
 * discovery_counts and discovery_drain may be called from any thread.
 */
#ifndef ENTRY_DISCOVERY_H
#define ENTRY_DISCOVERY_H

#include "entry/rpc.h"
#include "entry/settings.h"
#include "entry/view.h"

struct host_memory;
struct discovery;

struct discovery_opts {
	const struct settings *settings;
	uint64_t incarnation;
	/* Called on the discovery thread; the callee owns the view. */
	void (*publish_view)(void *arg, struct view *v);
	/*
	 * Called with PEER_PIECE_*, PEER_LIMIT, PEER_BRITTLE and some
	 * PEER_STREAM* datagrams, on the RPC thread, and PEER_SUSPECTS, on the
	 * discovery thread; with the ownership rules of rpc_opts.deliver.
	 */
	void (*relay_datagram)(void *arg, peer_letter *l);
	struct host_memory *memory; /* or NULL */
	void *arg;
};

struct discovery_counts {
	struct rpc_counts rpc;
	uint64_t store_calls;
	uint64_t rejected_entries; /* of targets, that can't be read */
	uint64_t version;          /* configuration in force */
	int64_t revision;          /* store changes up to it are applied */
	uint64_t era;              /* of the store; 0: not known */
	bool store_unavailable;
	bool in_grace; /* entries may be missing of targets that are there */
};

/* Starts the RPC server; on failure returns NULL and sets e. */
struct discovery *discovery_new(const struct discovery_opts *o, struct err *e);
void discovery_start(struct discovery *d);
struct rpc *discovery_rpc(struct discovery *d);
/*
 * Handles a datagram that this host sends to itself, on any thread; takes over
 * what it owns and zeroes it.
 */
void discovery_receive(struct discovery *d, peer_letter *l);
struct discovery_counts discovery_counts(struct discovery *d);
/*
 * Returns the time up to which the published views lack no change of the store;
 * 0: none is complete.  On any thread.
 */
usec_t discovery_confirmed_at(struct discovery *d);
/*
 * Returns when the last bytes of a response of the store arrived, or its call
 * began; 0: it was not called.  On any thread.
 */
usec_t discovery_arrived_at(const struct discovery *d);
/* Announces the drain, so that peers choose other coordinators. */
void discovery_drain(struct discovery *d);
/*
 * Whether the store has what hosts need to know that this one found out.  Call
 * it until it returns true, once the last request has ended.
 */
bool discovery_finish(struct discovery *d);
/*
 * Ends its threads and callbacks.  The relay may use discovery_rpc() until
 * discovery_free().
 */
void discovery_stop(struct discovery *d);
void discovery_free(struct discovery *d);

#endif
