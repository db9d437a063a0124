/* What passing time brings: deadlines, silent calls, hedges of stragglers. */
#ifndef KERNEL_TIMEOUTS_H
#define KERNEL_TIMEOUTS_H

#include "kernel/state.h"

/* Looks at one request, which may end and be freed. */
void timeouts_check(struct kernel *k, struct request *rq);

#endif
