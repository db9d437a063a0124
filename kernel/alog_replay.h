/* Folding an append-only log up to its known head. */
#ifndef KERNEL_ALOG_REPLAY_H
#define KERNEL_ALOG_REPLAY_H

#include "kernel/alog_state.h"

/* Folds those records of a document that come next. */
void alog_replay_records(struct alog *l, const json_t *doc);
/* Folds up to the known head; false if a segment must be read first. */
bool alog_replay_catch_up(struct alog *l);

#endif
