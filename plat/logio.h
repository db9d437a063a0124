/*
 * Drives one append-only log (kernel/alog.h) over the key-value service:
 * carries out its requests, follows its head by a watch, and paces it.
 *
 * Invariants: at most one watch; after a lost answer the log waits out a
 * growing pause; swaps stay below LOGIO_SWAPS_PER_SEC on average, so that the
 * calls of a log do not grow with what is appended to it.
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
	/* An append has been decided. */
	void (*done)(void *arg, const struct alog_completion *d);
	/* Records may have been folded; also called when the log stops. */
	void (*changed)(void *arg);
	/* Optional: the head as it was read, for those who pass it on. */
	void (*head)(void *arg, uint64_t revision, struct str value);
	void *arg; /* for the three above */
};

struct logio *logio_new(const struct logio_opts *o);
struct alog *logio_log(struct logio *l);
/* Carries out what the log asks for; to be called after each append. */
void logio_pump(struct logio *l, usec_t now);
/* Due pauses, the watch, and a look each second in case it is silent. */
void logio_tick(struct logio *l, usec_t now);
/* Whether to keep a watch on the head. */
void logio_set_watch(struct logio *l, bool follow);
/* A head that came another way, for example from a peer. */
void logio_receive_head(
    struct logio *l, uint64_t revision, struct str value, usec_t now);
/* How long the service has not answered this log; 0 if it does. */
usec_t logio_outage(const struct logio *l, usec_t now);
void logio_free(struct logio *l);

#endif
