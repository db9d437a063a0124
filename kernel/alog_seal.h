/*
 * Sealing: the newest records of a head are first written as a segment under
 * an unused name; the next swap replaces the records in the head by the name.
 */
#ifndef KERNEL_ALOG_SEAL_H
#define KERNEL_ALOG_SEAL_H

#include "kernel/alog_state.h"

/* Whether the newest records have outgrown their limit. */
bool alog_seal_due(const struct alog *l);
/* Builds the segment with the newest records, without sending it. */
void alog_seal_begin(struct alog *l);
/* Sends the segment if its write is not confirmed; false if none is left. */
bool alog_seal_continue(struct alog *l);
/*
 * Ends the sealing when the head can no longer take the segment: deletes the
 * segment unless the head lists it.
 */
void alog_seal_check(struct alog *l);

#endif
