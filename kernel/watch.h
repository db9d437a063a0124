/* What passing time brings: deadlines, silent calls, hedges of stragglers. */
#ifndef KERNEL_WATCH_H
#define KERNEL_WATCH_H

#include "kernel/state.h"

/* Looks at one request, which may end and be freed. */
void watch_request(struct kernel *k, struct request *rq);

#endif
