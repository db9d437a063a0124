/*
 * The control thread: configuration, host list, membership, claims, shares
 * and orders.  It publishes snapshots and feeds the traffic thread; nothing
 * that it does holds up a request that needs no claim.
 */
#ifndef ENTRY_CONTROL_H
#define ENTRY_CONTROL_H

#include "entry/claimer.h"
#include "entry/fleet.h"
#include "entry/settings.h"
#include "entry/proc_state.h"
#include "entry/tally.h"
#include "entry/traffic.h"

struct control;

struct control_opts {
	const struct settings *settings;
	struct proc_state *proc_state;
	struct records *records;
	struct tally *tally;
	uint64_t incarnation;
};

struct control_report {
	struct rpc_counts rpc;
	struct claimer_counts claims;
	uint64_t kv_calls;
	uint64_t generation;
	struct member_info *members; /* sorted by id */
	size_t n_members;
};

/* Listens for other sequoiads; NULL with e when it can't. */
struct control *control_new(const struct control_opts *o, struct err *e);
/* The traffic thread that it feeds. */
void control_start(struct control *c, struct traffic *t);
/* For traffic_opts.claim; called on the traffic thread. */
void control_claim(
    void *arg, enum action_kind kind, const struct action_claim *a);
/* For traffic_opts.left. */
void control_target_leaving(void *arg, const struct action_leaving *l);
/* From any thread. */
void control_drain(struct control *c);
/* A copy of what is known, from any thread; see control_report_free. */
void control_report(struct control *c, struct control_report *out);
void control_report_free(struct control_report *r);
/*
 * Asks the process that made the request id, from any thread; see rpc_fetch.
 * ERR_NOT_FOUND: there is no such process, or it does not know the request.
 */
int control_fetch(struct control *c, const peer_query *q, peer_result *out);
/* Keeps what is to be kept, says goodbye and ends the threads. */
void control_stop(struct control *c);
void control_free(struct control *c);

#endif
