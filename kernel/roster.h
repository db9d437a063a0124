/*
 * Targets of all services, built from the platform's target list.
 *
 * A target whose entry disappears while the store is available is removed at
 * once.  Entries that disappear while the store is unavailable, or within the
 * grace time after its return, are kept until that ends: their targets may only
 * have been unable to renew them.  The same holds after its restore from a
 * copy.
 *
 * An entry that can't be read names no target: the target that it named before
 * is removed at once.
 *
 * Times are in microseconds.  A roster has no locks: one thread owns it.
 */
#ifndef KERNEL_ROSTER_H
#define KERNEL_ROSTER_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

/*
 * After the store's return, live targets renew lapsed entries within this time.
 */
#define ROSTER_GRACE_TIME (2 * USEC_PER_SEC)

struct target_entry {
	/* A restarted target has a new id, or its old id and a new born_ms. */
	char id[64];
	char service[64];
	char addr[64]; /* IP:PORT */
	char domain[64];
	char version[64]; /* of its software; empty: unknown */
	uint32_t slots;
	bool leaving;
	uint64_t born_ms; /* start as Unix time; 0: unknown */
	uint64_t seq;     /* rises with each report of the target; 0: unknown */
	/* How long the target is cold, from read_at; negative: not known. */
	usec_t cold_left;
	usec_t read_at; /* when this host read the entry */
};

struct roster {
	GHashTable *by_id;    /* id -> struct roster_entry */
	GHashTable *rejected; /* id -> struct rejected_entry */
	bool store_unavailable;
	usec_t grace_until; /* end of the grace time; 0: none */
	uint64_t version;   /* increases when roster_list() changes */
};

void roster_init(struct roster *r);
/* Adds or updates a target. */
void roster_put(struct roster *r, const struct target_entry *t);
/* Notes an entry that can't be read, and removes its target. */
void roster_reject(struct roster *r, struct str id, struct str value);
/* Whether this value of an entry was the last one to be rejected. */
bool roster_is_rejected(struct roster *r, struct str id, struct str value);
/* Removes a target, or keeps it while the store is unavailable. */
void roster_remove(struct roster *r, struct str id, usec_t now);
/* Begin and finish a full listing; entries that it lacks are removed. */
void roster_begin(struct roster *r);
void roster_finish(struct roster *r, usec_t now);
/* The store is unavailable, or available again. */
void roster_set_store_unavailable(
    struct roster *r, bool unavailable, usec_t now);
/*
 * The store was restored from an older copy, or is back: it may lack entries of
 * live targets.  Begins a grace time.
 */
void roster_store_restored(struct roster *r, usec_t now);
/*
 * Whether entries may be missing of targets that are there: until they are
 * back, or the grace time is over.
 */
bool roster_in_grace(const struct roster *r, usec_t now);
/*
 * Removes kept entries that have not come back after the grace time.  Returns
 * when to call it next, or 0.
 */
usec_t roster_tick(struct roster *r, usec_t now);
/* Returns the service of a target, or "" if it is not known. */
const char *roster_service(const struct roster *r, const char *id);
/* Returns all targets in no particular order; free with g_array_unref. */
GArray *roster_list(const struct roster *r);
void roster_free(struct roster *r);

#endif
