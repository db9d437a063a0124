/*
 * The control thread of a host that relays by route: follows configuration
 * and targets in the platform's store, tells the relay of them, and keeps in
 * touch with the other sequoiads, from which it learns both while the store
 * turns this host away.
 */
#ifndef ENTRY_DISCOVERY_H
#define ENTRY_DISCOVERY_H

#include "entry/rpc.h"
#include "entry/settings.h"
#include "entry/view.h"

struct discovery;

struct discovery_opts {
	const struct settings *settings;
	uint64_t incarnation;
	/* A newer view, on the steward's thread; the callee owns it. */
	void (*publish_view)(void *arg, struct view *v);
	/* A letter about pieces, on the RPC thread; see rpc_opts.deliver. */
	void (*stage_datagram)(void *arg, peer_letter *l);
	void *arg;
};

struct discovery_counts {
	struct rpc_counts rpc;
	uint64_t store_calls;
	uint64_t version;
	int64_t revision; /* of the store, up to which all is known */
	bool store_unavailable;
};

/* Listens for other sequoiads; NULL with e when it can't. */
struct discovery *discovery_new(const struct discovery_opts *o, struct err *e);
void discovery_start(struct discovery *s);
struct rpc *discovery_rpc(struct discovery *s);
struct discovery_counts discovery_counts(struct discovery *s);
/* This process is leaving: others choose other homes. From any thread. */
void discovery_drain(struct discovery *s);
void discovery_stop(struct discovery *s);
void discovery_free(struct discovery *s);

#endif
