/*
 * The course of a request through its stages: calls, claims, retries, and
 * what follows from each answer.
 *
 * Every function here may end and free the request that it is given.
 */
#ifndef KERNEL_FLOW_H
#define KERNEL_FLOW_H

#include "kernel/call.h"

void flow_start_stage(struct kernel *k, struct request *rq);
/* Sends the next call of the present stage, or queues the request. */
void flow_dispatch(struct kernel *k, struct request *rq);
void flow_caller_gone(struct kernel *k, struct request *rq);
void flow_claim(
    struct kernel *k, struct request *rq, const struct event_claim *ev);
/* A part of a call's answer came, or its end. */
void flow_answer(struct kernel *k, struct call *c, struct str bytes, bool end);
void flow_fail(struct kernel *k, struct call *c, enum call_failure why);
/* A call has ended without a usable answer: retries, looks up or gives up. */
void flow_call_failed(
    struct kernel *k, struct call *c, enum call_verdict v, const char *why);
/* Sends what waits for services that may have got room. */
void flow_serve_queues(struct kernel *k);
void flow_free(struct request *rq);

#endif
