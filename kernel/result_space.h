/*
 * Room for results at the targets that make them.
 *
 * A result takes room at its maker from the call that makes it until it is
 * freed or expires.  Load pattern: results that wait for their request's other
 * stages fill the makers, which then refuse new pieces; so what is reserved
 * and held is counted before a call is sent.  So are the results of a call
 * whose answer was lost: they stay until they expire, as nobody can name them.
 */
#ifndef KERNEL_RESULT_SPACE_H
#define KERNEL_RESULT_SPACE_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

struct result_space {
	GHashTable *producers; /* address -> what is held there */
	uint64_t n_lost;       /* results without a name, ever */
};

void result_space_init(struct result_space *r);
/* Bytes reserved or held at a maker now. */
uint64_t result_space_used(
    struct result_space *r, const char *addr, usec_t now);
/* A call whose results take so many bytes is sent, and has ended. */
void result_space_reserve(
    struct result_space *r, const char *addr, uint64_t bytes);
void result_space_release(
    struct result_space *r, const char *addr, uint64_t bytes);
/* A result (ADDR/ID) is held until it is freed, or expires. */
void result_space_hold(
    struct result_space *r, const char *handle, uint64_t bytes, usec_t expires);
/* Results that may have been made, and whose names were lost. */
void result_space_hold_lost(
    struct result_space *r, const char *addr, uint64_t bytes, usec_t expires);
/* False if it was not held. */
bool result_space_free_result(struct result_space *r, struct str handle);
void result_space_free(struct result_space *r);

#endif
