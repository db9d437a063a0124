/* Admission: what is accepted, and what is refused before any work. */
#ifndef KERNEL_ADMIT_H
#define KERNEL_ADMIT_H

#include "kernel/state.h"

void admit_arrive(struct kernel *k, const struct event_arrive *ev);
/*
 * Whether the request can still be done in time; if not, it is given up,
 * which may free it.
 */
bool admit_recheck(struct kernel *k, struct request *rq);

#endif
