/* The compare-and-swap of a log's head: building, sending and settling it. */
#ifndef KERNEL_ALOG_SWAP_H
#define KERNEL_ALOG_SWAP_H

#include "kernel/alog_state.h"

/* Builds a swap from the queued appends that are admitted; sends it if any. */
void alog_swap_propose(struct alog *l);
/* Sends the current swap; sends it again after a lost response. */
void alog_swap_send(struct alog *l);
/* Ends the swap in flight if the head has changed since; false if not. */
bool alog_swap_settle(struct alog *l);

#endif
