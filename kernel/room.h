/*
 * Room for results at the targets that make them.
 *
 * A result takes room at its maker from the call that makes it until it is
 * freed or expires.  Load pattern: results that wait for their request's other
 * stages fill the makers, which then refuse new pieces; so what is reserved
 * and held is counted before a call is sent.  So are the results of a call
 * whose answer was lost: they stay until they expire, as nobody can name them.
 */
#ifndef KERNEL_ROOM_H
#define KERNEL_ROOM_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

struct room {
	GHashTable *makers; /* address -> what is held there */
	uint64_t n_lost;    /* results without a name, ever */
};

void room_init(struct room *r);
/* Bytes reserved or held at a maker now. */
uint64_t room_used(struct room *r, const char *addr, usec_t now);
/* A call whose results take so many bytes is sent, and has ended. */
void room_reserve(struct room *r, const char *addr, uint64_t bytes);
void room_unreserve(struct room *r, const char *addr, uint64_t bytes);
/* A result (ADDR/ID) is held until it is freed, or expires. */
void room_hold(
    struct room *r, const char *handle, uint64_t bytes, usec_t expires);
/* Results that may have been made, and whose names were lost. */
void room_lost(
    struct room *r, const char *addr, uint64_t bytes, usec_t expires);
/* False if it was not held. */
bool room_free_result(struct room *r, struct str handle);
void room_clear(struct room *r);

#endif
