/*
 * Checks of each request on a tick: deadlines, calls without progress, and
 * hedges of slow calls.
 */
#ifndef KERNEL_TIMEOUTS_H
#define KERNEL_TIMEOUTS_H

#include "kernel/state.h"

/* Checks one request, which may end and be freed. */
void timeouts_check(struct kernel *k, struct request *rq);

#endif
