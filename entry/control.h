/*
 * The control thread of a host that serves pipelines: configuration, host
 * list, membership, claims, shares and orders.  It publishes configurations
 * and passes them, the targets and the decisions on claims to the traffic
 * thread.  It never delays a request that needs no claim.
 */
#ifndef ENTRY_CONTROL_H
#define ENTRY_CONTROL_H

#include "entry/claimer.h"
#include "entry/fleet.h"
#include "entry/settings.h"
#include "entry/proc_state.h"
#include "entry/tally.h"
#include "entry/traffic.h"

struct host_memory;
struct control;

struct control_opts {
	const struct settings *settings;
	struct proc_state *proc_state;
	struct records *records;
	struct tally *tally;
	uint64_t incarnation;
	struct host_memory *memory; /* or NULL */
};

struct control_report {
	struct rpc_counts rpc;
	struct claimer_counts claims;
	uint64_t kv_calls;
	uint64_t generation;         /* configuration in force; 0: none */
	struct member_info *members; /* sorted by id */
	size_t n_members;
};

/* Starts the RPC server; on failure returns NULL and sets e. */
struct control *control_new(const struct control_opts *o, struct err *e);
/*
 * Starts the control thread, which passes configuration, targets, shares and
 * decisions on claims to t.
 */
void control_start(struct control *c, struct traffic *t);
/* The callback traffic_opts.claim; copies what it needs of a. */
void control_claim(
    void *arg, enum action_kind kind, const struct action_claim *a);
/* The callback traffic_opts.target_leaving. */
void control_target_leaving(void *arg, const struct action_leaving *l);
/* Begins the drain; from any thread. */
void control_drain(struct control *c);
/* Copies the current state, from any thread; free with control_report_free. */
void control_report(struct control *c, struct control_report *out);
void control_report_free(struct control_report *r);
/*
 * Queries the process that created the request id q->name and waits for the
 * result, as rpc_fetch does; from any thread.  Returns ERR_NOT_FOUND if there
 * is no such process or it has no record of the request.
 */
int control_fetch(struct control *c, const peer_query *q, peer_result *out);
/*
 * Ends the control thread after it has persisted pending claims, at the given
 * time at the latest, and announced the leave.
 */
void control_leave(struct control *c, usec_t until);
/* Ends the other threads. */
void control_stop(struct control *c);
void control_free(struct control *c);

#endif
