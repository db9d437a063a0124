/*
 * Takes requests through their stages: calls, claims, retries, and the
 * consequences of each answer.
 *
 * Every function here may end and free the request that it is given.
 */
#ifndef KERNEL_FLOW_H
#define KERNEL_FLOW_H

#include "kernel/call.h"

/*
 * Starts the current stage.  A stage that isn't repeatable first claims the
 * key.
 */
void flow_start_stage(struct kernel *k, struct request *rq);
/* Sends the next call of the current stage, or queues the request. */
void flow_dispatch(struct kernel *k, struct request *rq);
/*
 * Handles the loss of the caller.  A request that sent a non-repeatable call
 * goes on, to settle its claim.
 */
void flow_caller_gone(struct kernel *k, struct request *rq);
/* Handles the decision on a claim or refusal. */
void flow_claim(
    struct kernel *k, struct request *rq, const struct event_claim *ev);
/* Processes a part of a call's response body, or its end. */
void flow_answer(struct kernel *k, struct call *c, struct str bytes, bool end);
/* Handles a call that the driver could not complete. */
void flow_fail(struct kernel *k, struct call *c, enum call_failure why);
/*
 * Handles a call that ended without a usable answer: retries, looks the result
 * up, or fails the stage.
 */
void flow_call_failed(
    struct kernel *k, struct call *c, enum call_verdict v, const char *why);
/* Sends queued requests of services where calls have ended. */
void flow_serve_queues(struct kernel *k);
void flow_free(struct request *rq);

#endif
