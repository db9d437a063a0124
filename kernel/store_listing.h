/*
 * How a listing of the platform's store goes on while its pages are slow, and
 * when one fails.
 *
 * Load pattern: all hosts of a large fleet start at once and list the store.
 * Its link takes longer than a call's timeout to carry a page to each of them.
 * Were pages cut off at that timeout and listings begun anew, the link would be
 * full of pages that nobody reads.  So a page has time while it arrives, and a
 * listing goes on after the last page that was read.  Meanwhile the store
 * counts as unavailable, so that the host takes the state of another one.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_STORE_LISTING_H
#define KERNEL_STORE_LISTING_H

#include "base/clock.h"
#include "base/str.h"
#include "kernel/store_position.h"

/*
 * Of a page, however slowly it arrives: what it says is as old by then.  Allows
 * for 1 MB on a link of 10 Mbit/s.
 */
#define STORE_PAGE_TIME_MAX (3 * USEC_PER_SEC)

/* A zeroed one is valid. */
struct store_listing {
	bool active;
	int64_t revision;    /* of its first page; 0: none is read */
	struct buf last_key; /* last key read; empty: none */
};

/* A page that is on its way. */
enum store_page {
	STORE_PAGE_IN_TIME,
	STORE_PAGE_SLOW,  /* it arrives, but takes longer than a call */
	STORE_PAGE_SILENT /* nothing of it arrives: it is given up */
};

/* Begins a listing, unless one is active. */
void store_listing_begin(struct store_listing *l);
/*
 * Judges a page that was asked for, and of which something has arrived, these
 * times ago; usual: the timeout of a call.
 */
enum store_page store_listing_judge(usec_t asked, usec_t arrived, usec_t usual);
/*
 * A page was read, of the store at a revision; last_key is that of its last
 * item.
 */
void store_listing_read(
    struct store_listing *l, int64_t revision, struct str last_key);
/* The listing is complete, or begins anew. */
void store_listing_end(struct store_listing *l);
/*
 * Returns how far the store is known, as what was delivered of a listing may be
 * newer than what was known before.
 */
struct store_position store_listing_position(
    const struct store_listing *l, struct store_position known);
void store_listing_free(struct store_listing *l);

#endif
