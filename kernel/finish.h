/*
 * How a request ends: the outcome that its caller is told, the record of its
 * claim or refusal, and the end of its accounting.
 *
 * A function that ends a request may free it; the caller must not use it
 * after.
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

/* Ends a request for good: tells, settles and forgets it. */
void finish_request(
    struct kernel *k, struct request *rq, const struct request_end *e);
/*
 * Ends a request without an answer.  Not-run is said only when no call was
 * sent; with a key, only after the refusal is kept.
 */
void finish_without_answer(struct kernel *k, struct request *rq,
    enum err_kind error, const char *detail, usec_t retry_after);
void finish_complete(struct kernel *k, struct request *rq);
/* Tells unknown at the deadline; the request goes on to learn its end. */
void finish_answer_unknown(struct kernel *k, struct request *rq);
/* The refusal that was asked for is decided, or could not be in time. */
void finish_refusal(
    struct kernel *k, struct request *rq, const struct event_claim *ev);
/* Answers with what an earlier delivery of the key got. */
void finish_replay(
    struct kernel *k, struct request *rq, const struct event_claim *ev);
/* Keeps how a claimed request ended, for later deliveries of its key. */
void finish_settle(struct kernel *k, const struct request *rq, enum outcome o,
    const struct buf *answer);
/* Answers an arrival that does not become a request. */
void finish_reject(struct kernel *k, const struct event_arrive *ev,
    enum err_kind error, const char *detail);
/* Writes the action's fields that name the request's key. */
void finish_fill_claim(const struct request *rq, struct action_claim *c);

#endif
