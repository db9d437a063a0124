/* The swap of a log's head: what goes into it and what became of it. */
#ifndef KERNEL_ALOG_SWAP_H
#define KERNEL_ALOG_SWAP_H

#include "kernel/alog_state.h"

/* Puts what waits and is admitted into a swap and sends it, if anything. */
void alog_swap_propose(struct alog *l);
/* Sends the swap under way, also once more. */
void alog_swap_send(struct alog *l);
/* Ends the swap under way, if the known head tells its fate. */
bool alog_swap_settle(struct alog *l);

#endif
