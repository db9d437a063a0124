/*
 * Claims of one shard: which delivery of an idempotency key may send the call
 * that must not be repeated.  The state is folded from an append-only log
 * whose records are claims, refusals and settlements.
 *
 * Invariants:
 *  - A key is granted to one delivery only, unless that one was refused or
 *    settled as not run; then a higher attempt may be granted.
 *  - No attempt up to that of a refusal is granted after it.
 *  - The same delivery (holder, request id and attempt) asking again gets the
 *    same decision.
 *  - A key older than the retention is never granted, so that claims may be
 *    forgotten after it.  Nor is one whose claim some host may have forgotten
 *    under a shorter retention.
 */
#ifndef KERNEL_CLAIMS_H
#define KERNEL_CLAIMS_H

#include "kernel/alog.h"
#include "kernel/claim.h"

struct claim_verdict {
	enum claim_result result;
	enum outcome outcome; /* CLAIM_TAKEN_DONE */
	struct str answer;    /* CLAIM_TAKEN_DONE; until the next fold */
	uint64_t holder;      /* CLAIM_TAKEN: incarnation of the sequoiad */
};

struct claims;

/* Folds a log of claims: give it to alog_new() with the claims as arg. */
extern const struct alog_ops claims_ops;

struct claims *claims_new(void);
void claims_free(struct claims *c);
/*
 * Sets the time since the Unix epoch and the retention (0: not known yet, so
 * nothing is forgotten) and forgets keys that every host takes for old.  To be
 * called before the first record and then every second or so.  What was old
 * once stays so, whatever becomes of time and retention.
 */
void claims_tick(struct claims *c, usec_t wall, usec_t retention);

/* The shard that a key belongs to, of n, and its conflict key in the log. */
uint32_t claims_shard(const struct claim *cl, uint32_t n);
uint64_t claims_conflict_key(const struct claim *cl);

/*
 * Decides by the folded state.  True if it takes a record, after which the
 * result is CLAIM_GRANTED or, for a refusal, CLAIM_REFUSED.  A settlement
 * that stands already is CLAIM_GRANTED, another CLAIM_TAKEN.
 */
bool claims_decide(
    const struct claims *c, const struct claim *cl, struct claim_verdict *v);
/*
 * What an append's completion means for the request.  A claim that is
 * accepted after its request was told CLAIM_UNAVAILABLE must be settled with
 * OUTCOME_NOT_RUN by the driver.
 */
struct claim_verdict claims_verdict(const struct claims *c,
    const struct claim *cl, const struct alog_completion *d);

size_t claims_count(const struct claims *c);
/* Memory in use, in bytes, with the table's own. */
size_t claims_bytes(const struct claims *c);
/* The most that one claim takes, without its answer. */
size_t claims_entry_bytes(void);

/*
 * The sequoiad that should append to a shard, by rendezvous hashing over the
 * live ones; n > 0.  Only saves collisions: any other may append as well.
 */
uint64_t claims_preferred_writer(const uint64_t *ids, size_t n, uint32_t shard);

#endif
