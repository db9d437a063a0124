/*
 * Ends requests: the outcome for the caller, the record of the claim or
 * refusal, and the accounting.
 *
 * A function that ends a request may free it; the caller must not use the
 * request afterwards.
 */
#ifndef KERNEL_FINISH_H
#define KERNEL_FINISH_H

#include "kernel/state.h"

#define MIN_RETRY_AFTER (1 * USEC_PER_SEC)

struct request_end {
	enum outcome outcome;
	enum err_kind error;
	const char *detail;
	usec_t retry_after;
};

/*
 * Ends a request: answers it, settles its claim and frees it.  A request that
 * waits for its claim is kept until that is decided.
 */
void finish_request(
    struct kernel *k, struct request *rq, const struct request_end *e);
/*
 * Ends a request without an answer.  The outcome is not-run only if no call was
 * sent; with a key, only after the refusal is stored.
 */
void finish_without_answer(struct kernel *k, struct request *rq,
    enum err_kind error, const char *detail, usec_t retry_after);
/* Ends a request with the answer of its pipeline. */
void finish_complete(struct kernel *k, struct request *rq);
/*
 * Answers the caller with OUTCOME_UNKNOWN and keeps the request until its
 * non-repeatable call ends, to settle the claim.
 */
void finish_answer_unknown(
    struct kernel *k, struct request *rq, enum err_kind error);
/* Ends a request whose refusal was decided or could not be decided in time. */
void finish_refusal(
    struct kernel *k, struct request *rq, const struct event_claim *ev);
/* Answers with the result of an earlier delivery of the key. */
void finish_replay(
    struct kernel *k, struct request *rq, const struct event_claim *ev);
/* Stores how a claimed request ended, for later deliveries of its key. */
void finish_settle(struct kernel *k, const struct request *rq, enum outcome o,
    const struct buf *answer);
/* Answers an arrival that does not become a request. */
void finish_reject(struct kernel *k, const struct event_arrive *ev,
    enum err_kind error, const char *detail);
/* Fills in the request's identity, key, attempt and body hash. */
void finish_fill_claim(const struct request *rq, struct action_claim *c);

#endif
