/*
 * The targets of all services, folded from the platform's list.
 *
 * A target whose entry goes while the list itself is sound is gone at once.
 * Entries that go while the list's store is away, or before the grace after
 * its return is over, are kept until then: their targets may only have been
 * unable to renew them.
 */
#ifndef KERNEL_ROSTER_H
#define KERNEL_ROSTER_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

/* Lapsed entries of live targets are back by then (letter of the users). */
#define ROSTER_GRACE_TIME (2 * USEC_PER_SEC)

struct target_entry {
	char id[64]; /* one start of a target */
	char service[64];
	char addr[64]; /* IP:PORT */
	char domain[64];
	uint32_t slots;
	bool leaving;
	uint64_t born_ms; /* its start, Unix time; 0: unknown */
};

struct roster {
	GHashTable *by_id; /* id -> struct slot */
	bool store_unavailable;
	usec_t grace_until; /* entries that go before are kept until then */
	uint64_t version;   /* grows when what roster_list shows changes */
};

void roster_init(struct roster *r);
void roster_put(struct roster *r, const struct target_entry *t);
void roster_remove(struct roster *r, struct str id, usec_t now);
/* A whole reading starts, and ends: what it did not show is removed. */
void roster_begin(struct roster *r);
void roster_finish(struct roster *r, usec_t now);
/* The store stopped answering, or answers again. */
void roster_set_store(struct roster *r, bool away, usec_t now);
/* Removes what was kept and has not come back; when to call it next, or 0. */
usec_t roster_tick(struct roster *r, usec_t now);
/* All targets, in no order; freed with g_array_unref. */
GArray *roster_list(const struct roster *r);
void roster_free(struct roster *r);

#endif
