/*
 * What memory.c, which reserves and refuses, shares with memory_watch.c, which
 * looks at receivers and at the sums.
 */
#ifndef KERNEL_MEMORY_STATE_H
#define KERNEL_MEMORY_STATE_H

#include "kernel/memory.h"

/* What a holder reads, or a receiver takes, at least in MOVE_TIME. */
#define MOVE_BYTES ((size_t)32 * 1024)
#define MOVE_TIME  (500 * USEC_PER_MSEC)
/* With fewer bytes in MOVE_TIME, it gives way to others that are slow, too. */
#define HUNG_BYTES ((size_t)1024)

/* Begins to count what a holder reads, or its receiver takes. */
void memory_start_moving(struct memory_holder *h, usec_t now);

#endif
