/*
 * What the stop of the process does to the requests of its kernel: which of
 * them are taken, refused or answered before the exit.
 *
 * Load pattern: a process gets SIGTERM while callers go on sending, with stages
 * that wait for targets and calls that may last beyond the exit.  How long a
 * request lasts is known from the last ones of its pipeline, from each of its
 * stages on.  See kernel/stopping.
 */
#ifndef KERNEL_REQUEST_STOPPING_H
#define KERNEL_REQUEST_STOPPING_H

#include "kernel/state.h"

/* Begins the stop, unless one has begun. */
void request_stopping_begin(struct kernel *k, const struct stopping *times);
/*
 * Notes how long a request took that ends now: with its pipeline's answer, or
 * early, at its deadline or with its caller.
 */
void request_stopping_ended(
    struct kernel *k, const struct request *rq, bool complete);
/*
 * Refuses a request that arrives now if it is not taken.  Returns whether it
 * did; the request may be freed then.
 */
bool request_stopping_refuse_new(struct kernel *k, struct request *rq);
/*
 * Refuses a request of which nothing was sent if its stages would last beyond
 * the exit.  Returns whether it did; the request may be freed then.
 */
bool request_stopping_refuse(struct kernel *k, struct request *rq);
/*
 * Answers a request that can't end before the exit.  Returns whether it did;
 * the request may be freed then.
 */
bool request_stopping_give_up(struct kernel *k, struct request *rq);

#endif
