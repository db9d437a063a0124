/*
 * I/O driver of one append-only log (kernel/alog.h) in the key-value service:
 * executes the log's requests, watches its head and limits its write rate.
 *
 * Invariants: there is at most one watch; a failed call is reported to the log
 * after an exponential back-off; swaps stay below LOGIO_SWAPS_PER_SEC on
 * average (token bucket), so that the number of calls does not grow with the
 * number of appends.
 */
#ifndef PLAT_LOGIO_H
#define PLAT_LOGIO_H

#include "kernel/alog.h"
#include "plat/kv.h"

#define LOGIO_SWAPS_PER_SEC 20
#define LOGIO_SWAP_BURST    10

struct logio;

struct logio_opts {
	struct kv *kv;
	struct alog_opts log;
	/* Called when the result of an append is known. */
	void (*done)(void *arg, const struct alog_completion *d);
	/* Called when records may have been applied or the log has stopped. */
	void (*changed)(void *arg);
	/* Optional: called with each newer head, to forward it to peers. */
	void (*head)(void *arg, uint64_t revision, struct str value);
	void *arg; /* of done, changed and head */
};

struct logio *logio_new(const struct logio_opts *o);
struct alog *logio_log(struct logio *l);
/* Executes the log's pending requests; to be called after each append. */
void logio_pump(struct logio *l, usec_t now);
/*
 * Sends delayed swaps and reports failed calls to the log when they are due,
 * renews the watch, and reads the head's revision each second in case the watch
 * misses a change.  To be called periodically.
 */
void logio_tick(struct logio *l, usec_t now);
/* Sets whether the head is watched. */
void logio_set_watch(struct logio *l, bool watch);
/* Takes a head from another source, for example a peer. */
void logio_receive_head(
    struct logio *l, uint64_t revision, struct str value, usec_t now);
/* Returns how long calls have been failing; 0 if the last one succeeded. */
usec_t logio_outage(const struct logio *l, usec_t now);
/* Must be called after kv_free(o->kv), because calls refer to l. */
void logio_free(struct logio *l);

#endif
