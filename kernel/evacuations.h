/*
 * Evacuations: failure domains whose targets get nothing more until the
 * operators take that back.  An evacuation is an item of the platform's store.
 *
 * Load pattern: a domain loses all its targets at once, at every host, while
 * callers go on as before.  A host that learns it late goes on sending there,
 * and one that forgets it does so again: so what a host knows holds while the
 * store is away, and ends only with the removal of the item, or with a complete
 * listing that lacks it.  The listing of a store that was restored from an
 * older copy may lack items that were acknowledged: what is missing there is
 * kept for EVACUATION_KEEP_TIME, unless the store says more.
 *
 * Evacuations are known by the domain's name, also while no target has it.
 *
 * A struct evacuations belongs to one thread.  Times are in microseconds.
 */
#ifndef KERNEL_EVACUATIONS_H
#define KERNEL_EVACUATIONS_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

#define EVACUATION_DOMAIN_BYTES 64
#define EVACUATIONS_MAX         256
#define EVACUATION_KEEP_TIME    (300 * USEC_PER_SEC)

enum evacuation_source {
	EVACUATION_STORE,
	EVACUATION_FEED, /* a host that watches the store */
	EVACUATION_HOST  /* the state of a host, while the store is away */
};

/* Where a change comes from; for the log. */
struct evacuation_origin {
	enum evacuation_source source;
	int64_t revision; /* of the store, up to which its source knows it */
	usec_t age;       /* how long another host has known it */
};

struct evacuation {
	char domain[EVACUATION_DOMAIN_BYTES];
	struct evacuation_origin origin;
	usec_t since;         /* learned then, less the age */
	usec_t missing_since; /* a restored store lacks it; 0: it doesn't */
	bool listed;   /* in the listing of the store that is being read */
	bool in_state; /* in the state of a host that is being read */
	bool ended;    /* to be taken with evacuations_take_ended */
};

struct evacuations {
	GArray *v;        /* struct evacuation */
	uint64_t version; /* increases when the domains in force change */
};

enum evacuation_result {
	EVACUATION_BEGINS,
	EVACUATION_KNOWN,
	EVACUATION_TOO_MANY
};

void evacuations_init(struct evacuations *e);
/* The store has the item, or another host knows of it. */
enum evacuation_result evacuations_put(struct evacuations *e,
    const char *domain, const struct evacuation_origin *o, usec_t now);
/* The item was removed. */
void evacuations_remove(struct evacuations *e, const char *domain);
/*
 * Begin and finish a complete listing, of the store or of another host's state;
 * one of a state may come while the store is being listed.  restored: the store
 * was restored from an older copy since the listing before.
 */
void evacuations_list_begin(
    struct evacuations *e, enum evacuation_source source);
void evacuations_list_end(struct evacuations *e, enum evacuation_source source,
    bool restored, usec_t now);
/* Ends those that a restored store has lacked for long; call it regularly. */
void evacuations_tick(struct evacuations *e, usec_t now);
const char *evacuation_source_name(enum evacuation_source s);
/* Removes one that has ended, to be logged; false if there is none. */
bool evacuations_take_ended(struct evacuations *e, struct evacuation *out);
/* Whether nothing may be sent to the targets of a domain. */
bool evacuations_has(const struct evacuations *e, const char *domain);
size_t evacuations_count(const struct evacuations *e);
/* Returns those in force (struct evacuation); free with g_array_unref. */
GArray *evacuations_list(const struct evacuations *e);
void evacuations_free(struct evacuations *e);

#endif
