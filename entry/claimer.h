/*
 * Carries claims, refusals and settlements to the log of their shard: to the
 * shard's writer if it lives and answers, else by swaps of its own.
 *
 * Invariants: every claim and refusal is decided or said to be unavailable
 * within its patience; a claim that is granted after that is settled as not
 * run; a settlement is repeated until it is kept.  Belongs to the control
 * thread.
 */
#ifndef ENTRY_CLAIMER_H
#define ENTRY_CLAIMER_H

#include "entry/rpc.h"
#include "kernel/event.h"
#include "plat/kv.h"

/* Logs that claims are spread over; the same in every process, for ever. */
#define CLAIM_SHARDS 16

struct claimer;

struct claimer_opts {
	struct kv *kv;
	struct rpc *rpc;
	uint64_t incarnation;
	void (*decided)(void *arg, const struct event_claim *ev);
	void *arg;
};

struct claimer_member {
	uint64_t id; /* hash of its name */
	uint64_t incarnation;
	const char *rpc; /* IP:PORT */
};

struct claimer_counts {
	uint64_t
	    submitted; /* claims, refusals and settlements of this process */
	uint64_t forwarded;
	uint64_t appended;
	uint64_t unavailable;
	uint64_t kv_requests;
	uint64_t swaps;
	uint64_t conflicts;
	size_t pending; /* not decided or not kept yet */
	size_t claims;  /* in memory */
	size_t bytes;
};

struct claimer *claimer_new(const struct claimer_opts *o);
void claimer_set_retention(struct claimer *c, usec_t retention);
/* The live sequoiads, this one among them, and its own id. */
void claimer_set_members(
    struct claimer *c, const struct claimer_member *v, size_t n, uint64_t self);
/* A CLAIM, REFUSE or SETTLE of the kernel's. */
void claimer_submit(struct claimer *c, enum action_kind kind,
    const struct action_claim *x, usec_t now);
/* PEER_CLAIM and PEER_VERDICT of other sequoiads. */
void claimer_receive(struct claimer *c, const peer_letter *l, usec_t now);
void claimer_tick(struct claimer *c, usec_t now);
struct claimer_counts claimer_counts(const struct claimer *c);
/* To be freed after its kv client. */
void claimer_free(struct claimer *c);

#endif
