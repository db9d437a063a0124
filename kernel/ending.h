/*
 * How a request ends: the outcome that its caller is told, the record of its
 * claim or refusal, and the end of its accounting.
 *
 * A function that ends a request may free it; the caller must not use it
 * after.
 */
#ifndef KERNEL_ENDING_H
#define KERNEL_ENDING_H

#include "kernel/state.h"

#define MIN_RETRY_WAIT (1 * USEC_PER_SEC)

struct ending {
	enum outcome outcome;
	enum err_kind error;
	const char *detail;
	usec_t retry_after;
};

/* Ends a request for good: tells, settles and forgets it. */
void ending_conclude(
    struct kernel *k, struct request *rq, const struct ending *e);
/*
 * Ends a request without an answer.  Not-run is said only when no call was
 * sent; with a key, only after the refusal is kept.
 */
void ending_give_up(struct kernel *k, struct request *rq, enum err_kind error,
    const char *detail, usec_t retry_after);
void ending_complete(struct kernel *k, struct request *rq);
/* Tells unknown at the deadline; the request goes on to learn its end. */
void ending_linger(struct kernel *k, struct request *rq);
/* The refusal that was asked for is decided, or could not be in time. */
void ending_refusal(
    struct kernel *k, struct request *rq, const struct event_claim *ev);
/* Answers with what an earlier delivery of the key got. */
void ending_again(
    struct kernel *k, struct request *rq, const struct event_claim *ev);
/* Keeps how a claimed request ended, for later deliveries of its key. */
void ending_settle(struct kernel *k, const struct request *rq, enum outcome o,
    const struct buf *answer);
/* Answers an arrival that does not become a request. */
void ending_reject(struct kernel *k, const struct event_arrive *ev,
    enum err_kind error, const char *detail);
/* Writes the action's fields that name the request's key. */
void ending_fill_claim(const struct request *rq, struct action_claim *c);

#endif
