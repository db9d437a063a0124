/*
 * Results that are to be freed, collected until the next call to the target
 * that holds them.
 *
 * Load pattern: each request frees a result per piece, and a call for each
 * would double the calls.  Targets that are replaced take their results with
 * them, and handles may name any address: what waits for longer than results
 * are kept is dropped.
 *
 * Targets are named by address (IP:PORT).  Times are in microseconds.
 */
#ifndef KERNEL_OVERLOAD_RESULT_FREES_H
#define KERNEL_OVERLOAD_RESULT_FREES_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

/* A target that keeps results for longer frees them by itself at their end. */
#define RESULT_FREES_KEEP_TIME (60 * USEC_PER_SEC)

struct result_frees {
	GHashTable *by_addr; /* address -> struct result_frees_entry */
	usec_t swept_at;
};

struct result_frees_entry {
	struct buf handles; /* separated by commas */
	usec_t oldest;
};

void result_frees_init(struct result_frees *f);
/* Adds a handle, ADDR/ID; others are ignored. */
void result_frees_add(struct result_frees *f, struct str handle, usec_t now);
/* Returns what is to be freed at a target, or NULL. */
const struct result_frees_entry *result_frees_find(
    const struct result_frees *f, const char *addr);
/* What was to be freed at a target has been sent. */
void result_frees_sent(struct result_frees *f, const char *addr);
/* Drops what has waited for too long; call it regularly. */
void result_frees_expire(struct result_frees *f, usec_t now);
void result_frees_free(struct result_frees *f);

#endif
