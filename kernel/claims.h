/*
 * Claims of one shard: which delivery of an idempotency key may send the call
 * that must not be repeated.  The state is built by applying the records of an
 * append-only log: claims, refusals and settlements.  There is no lock: one
 * thread uses a struct claims and its log.
 *
 * Invariants:
 *  - A key is granted to one delivery only, unless that delivery was refused
 *    or settled as not run; then a higher attempt may be granted.
 *  - After a refusal, no attempt up to the refused one is granted.
 *  - A repeated claim of the same delivery (holder, request id and attempt)
 *    gets the same decision.
 *  - A key older than the retention is never granted, so that its claim may be
 *    dropped.  Neither is a key whose claim some host may have dropped under a
 *    shorter retention.
 */
#ifndef KERNEL_CLAIMS_H
#define KERNEL_CLAIMS_H

#include "kernel/alog.h"
#include "kernel/claim.h"

struct claim_verdict {
	enum claim_result result;
	enum outcome outcome; /* CLAIM_TAKEN_DONE */
	struct str answer;    /* CLAIM_TAKEN_DONE; valid until the next apply */
	uint64_t holder;      /* CLAIM_TAKEN: incarnation of the holder */
};

struct claims;

/* Operations of a log of claims, for alog_new() with the claims as arg. */
extern const struct alog_ops claims_ops;

struct claims *claims_new(void);
void claims_free(struct claims *c);
/*
 * Sets the time since the Unix epoch and the retention (0: not known yet, so
 * nothing is dropped) and drops claims of keys that are old for every host.
 * Must be called before the first record and then about every second.  A key
 * that was old once stays old, even if the clock goes back or the retention
 * grows.
 */
void claims_tick(struct claims *c, usec_t wall, usec_t retention);

/* The shard of a claim's key among n, and its conflict key in the log. */
uint32_t claims_shard(const struct claim *cl, uint32_t n);
uint64_t claims_conflict_key(const struct claim *cl);

/*
 * Decides by the applied state.  Returns true if the decision needs a record;
 * once that is in the log, the result is CLAIM_GRANTED or, for a refusal,
 * CLAIM_REFUSED.  A settlement that is in the log already gets CLAIM_GRANTED,
 * a settlement of another delivery's claim CLAIM_TAKEN.
 */
bool claims_decide(
    const struct claims *c, const struct claim *cl, struct claim_verdict *v);
/*
 * The verdict that follows from an append's completion.  If a claim is accepted
 * after its request got CLAIM_UNAVAILABLE, the driver must settle the claim
 * with OUTCOME_NOT_RUN.
 */
struct claim_verdict claims_verdict(const struct claims *c,
    const struct claim *cl, const struct alog_completion *d);

size_t claims_count(const struct claims *c);
/* Memory in use in bytes, including the hash table. */
size_t claims_bytes(const struct claims *c);
/* The most bytes that one claim takes, not counting its answer. */
size_t claims_entry_bytes(void);

/*
 * The sequoiad that should append to a shard, by rendezvous hashing over the
 * ids of the n > 0 live sequoiads.  A single writer only avoids conflicting
 * swaps: any other sequoiad may append as well.
 */
uint64_t claims_preferred_writer(const uint64_t *ids, size_t n, uint32_t shard);

#endif
