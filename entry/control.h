/*
 * The control thread: configuration, host list, membership, claims, shares
 * and orders.  It publishes snapshots and feeds the traffic thread; nothing
 * that it does holds up a request that needs no claim.
 */
#ifndef ENTRY_CONTROL_H
#define ENTRY_CONTROL_H

#include "entry/rpc.h"
#include "entry/settings.h"
#include "entry/snap.h"
#include "entry/traffic.h"

struct control;

struct control_opts {
	const struct settings *settings;
	struct snaps *snaps;
	struct records *records;
	uint64_t incarnation;
};

struct control_report {
	struct rpc_counts rpc;
	uint64_t kv_calls;
	uint64_t generation;
};

/* Listens for other sequoiads; NULL with e when it can't. */
struct control *control_new(const struct control_opts *o, struct err *e);
/* The traffic thread that it feeds. */
void control_start(struct control *c, struct traffic *t);
/* For traffic_opts.claim; called on the traffic thread. */
void control_claim(
    void *arg, enum action_kind kind, const struct action_claim *a);
/* From any thread. */
void control_drain(struct control *c);
struct control_report control_report(struct control *c);
/* Asks the process that made the request id; see rpc_fetch. */
int control_fetch(struct control *c, const peer_query *q, peer_result *out);
void control_stop(struct control *c);
void control_free(struct control *c);

#endif
