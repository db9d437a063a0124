/*
 * Accounting of result space: the memory for results at the targets that
 * produce them.
 *
 * A result takes space at its producer from the call that produces it until it
 * is freed or expires.  Load pattern: results that wait for other stages of
 * their request fill the producers, which then refuse new pieces; so the bytes
 * reserved and held are checked before a call is sent.  The results of a call
 * whose answer was lost count until they expire, as their handles are unknown
 * and nobody can free them.
 *
 * Results that the calls that use them have fetched are kept, as a call may
 * have to be made again: a chain whose inputs are gone begins anew.  Load
 * pattern: few pieces fail while space is scarce.  So fetched results give way,
 * the longest fetched first, once a call needs their space, and not before.
 *
 * Producers are named by address (IP:PORT).  An address is forgotten once
 * nothing is reserved or held there, as targets may name any in their answers.
 * Times are in microseconds.  The table has no locks: one thread owns it.
 */
#ifndef KERNEL_OVERLOAD_RESULT_SPACE_H
#define KERNEL_OVERLOAD_RESULT_SPACE_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

struct result_space {
	GHashTable *producers; /* address -> struct producer */
	uint64_t n_lost; /* number of results with lost handles, since start */
	uint64_t n_fetched; /* number of results that were fetched */
	usec_t swept_at;    /* when all producers were looked at */
};

void result_space_init(struct result_space *r);
/* Bytes reserved or held at a producer now. */
uint64_t result_space_used(
    struct result_space *r, const char *addr, usec_t now);
/* Reserves space when a call is sent, and releases it when the call ends. */
void result_space_reserve(
    struct result_space *r, const char *addr, uint64_t bytes);
void result_space_release(
    struct result_space *r, const char *addr, uint64_t bytes);
/* Counts a result, named ADDR/ID, until it is freed or expires. */
void result_space_hold(
    struct result_space *r, const char *handle, uint64_t bytes, usec_t expires);
/* Counts results that may have been produced and whose handles were lost. */
void result_space_hold_lost(
    struct result_space *r, const char *addr, uint64_t bytes, usec_t expires);
/* The calls that use a result have fetched it; it is ignored if it is not held.
 */
void result_space_fetched(struct result_space *r, struct str handle);
/* Bytes of the fetched results that are held at a producer. */
uint64_t result_space_fetched_bytes(
    const struct result_space *r, const char *addr);
/*
 * Gives up fetched results until at most limit bytes are reserved or held at
 * the producer, or none is left; appends their handles to out, separated by
 * commas, and returns their number.
 */
uint32_t result_space_reclaim(struct result_space *r, const char *addr,
    uint64_t limit, usec_t now, struct buf *out);
/* Returns false if the result was not held. */
bool result_space_free_result(struct result_space *r, struct str handle);
void result_space_free(struct result_space *r);

#endif
