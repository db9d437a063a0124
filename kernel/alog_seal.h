/*
 * Sealing: the newest records of a head are first written as a segment under
 * a fresh name; the next swap puts the name in their place.
 */
#ifndef KERNEL_ALOG_SEAL_H
#define KERNEL_ALOG_SEAL_H

#include "kernel/alog_state.h"

/* Whether newest has grown past its bound. */
bool alog_seal_due(const struct alog *l);
/* Makes the segment with the newest records. */
void alog_seal_begin(struct alog *l);
/* Sends the segment if it is not known to be written; false if it is. */
bool alog_seal_continue(struct alog *l);
/* Forgets a segment that the head names, deletes one that none can name. */
void alog_seal_check(struct alog *l);

#endif
