/*
 * The control thread of a host that relays by route: follows configuration
 * and targets in the platform's store, tells the relay of them, and keeps in
 * touch with the other sequoiads, from which it learns both while the store
 * turns this host away.
 */
#ifndef ENTRY_STEWARD_H
#define ENTRY_STEWARD_H

#include "entry/rpc.h"
#include "entry/settings.h"
#include "entry/view.h"

struct steward;

struct steward_opts {
	const struct settings *settings;
	uint64_t incarnation;
	/* A newer view, on the steward's thread; the callee owns it. */
	void (*view)(void *arg, struct view *v);
	/* A letter about pieces, on the RPC thread; see rpc_opts.deliver. */
	void (*letter)(void *arg, peer_letter *l);
	void *arg;
};

struct steward_counts {
	struct rpc_counts rpc;
	uint64_t store_calls;
	uint64_t version;
	int64_t revision; /* of the store, up to which all is known */
	bool store_away;
};

/* Listens for other sequoiads; NULL with e when it can't. */
struct steward *steward_new(const struct steward_opts *o, struct err *e);
void steward_start(struct steward *s);
struct rpc *steward_rpc(struct steward *s);
struct steward_counts steward_counts(struct steward *s);
/* This process is leaving: others choose other homes. From any thread. */
void steward_drain(struct steward *s);
void steward_stop(struct steward *s);
void steward_free(struct steward *s);

#endif
