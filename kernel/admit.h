/*
 * Admission control: checks an arriving request and refuses it before any work
 * if it is invalid, over a limit or can't meet its deadline.
 */
#ifndef KERNEL_ADMIT_H
#define KERNEL_ADMIT_H

#include "kernel/state.h"

/* Handles an arrival: starts a request or answers with an error. */
void admit_arrive(struct kernel *k, const struct event_arrive *ev);
/*
 * Whether the request can still meet its deadline.  If not, it is ended and may
 * be freed.
 */
bool admit_recheck(struct kernel *k, struct request *rq);

#endif
