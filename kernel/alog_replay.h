/* Applies the records of an append-only log up to its known head. */
#ifndef KERNEL_ALOG_REPLAY_H
#define KERNEL_ALOG_REPLAY_H

#include "kernel/alog_state.h"

/* Applies the document's records that follow the last one applied. */
void alog_replay_records(struct alog *l, const json_t *doc);
/* Applies all records up to the head; false if a segment must be read first. */
bool alog_replay_catch_up(struct alog *l);

#endif
