/*
 * Appends claims, refusals and settlements to the log of their shard: forwards
 * them to the shard's preferred writer if that is live and replies, else
 * appends them itself by compare-and-swap on the log's head.
 *
 * Invariants: every claim and refusal is decided or reported as unavailable
 * within its deadline budget; a claim that is granted after that is settled as
 * not run; a settlement is retried until it is persisted.
 * All functions belong to the control thread.
 */
#ifndef ENTRY_CLAIMER_H
#define ENTRY_CLAIMER_H

#include "entry/rpc.h"
#include "kernel/event.h"
#include "plat/kv.h"

/*
 * The logs that claims are sharded over.  The number must be the same in every
 * process and must never change.
 */
#define CLAIM_SHARDS 16

struct claimer;

struct claimer_opts {
	struct kv *kv;
	struct rpc *rpc;
	uint64_t incarnation;
	/* Reports the decision on a submitted claim or refusal. */
	void (*decided)(void *arg, const struct event_claim *ev);
	void *arg;
};

struct claimer_member {
	uint64_t id; /* hash of the sequoiad's id */
	uint64_t incarnation;
	const char *rpc; /* IP:PORT */
};

struct claimer_counts {
	uint64_t submitted; /* operations of this process */
	uint64_t forwarded; /* sent to a shard's writer */
	uint64_t appended;  /* appended here, also for other sequoiads */
	uint64_t unavailable;
	uint64_t kv_requests;
	uint64_t swaps;
	uint64_t conflicts;
	size_t pending; /* not decided or not persisted yet */
	size_t claims;  /* held in memory */
	size_t bytes;
};

struct claimer *claimer_new(const struct claimer_opts *o);
/* How long claims are remembered. */
void claimer_set_retention(struct claimer *c, usec_t retention);
/*
 * Sets the live sequoiads, including this one; self is the hash of this one's
 * id.
 */
void claimer_set_members(
    struct claimer *c, const struct claimer_member *v, size_t n, uint64_t self);
/* Submits an ACTION_CLAIM, ACTION_REFUSE or ACTION_SETTLE of the kernel. */
void claimer_submit(struct claimer *c, enum action_kind kind,
    const struct action_claim *x, usec_t now);
/* Handles a PEER_CLAIM or PEER_VERDICT datagram. */
void claimer_receive(struct claimer *c, const peer_letter *l, usec_t now);
void claimer_tick(struct claimer *c, usec_t now);
struct claimer_counts claimer_counts(const struct claimer *c);
/* Must be called after kv_free. */
void claimer_free(struct claimer *c);

#endif
