/*
 * Data of the key-value service: ordered keys, the complete history of changes,
 * and leases.  Not thread-safe: the caller holds one lock around all calls.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include <glib.h>

#include "base/clock.h"
#include "base/str.h"

/* One version of a key; immutable and never freed. */
struct item {
	char *key;
	char *value; /* base64, as received */
	int64_t created;
	int64_t modified;
	int64_t version;
	int64_t lease;
	bool deleted;
};

void store_init(void);
int64_t store_revision(void);
/* Returns the key's current version, or NULL if the key doesn't exist. */
const struct item *store_get(const char *key);
/*
 * Returns the current versions of the keys from key up to, but without, end.
 * An empty end selects key alone; an end of one NUL byte means no upper bound.
 */
GPtrArray *store_range(const char *key, struct str end);
/*
 * store_put() and store_delete() write at the revision that the next
 * store_commit() makes current.
 */
void store_put(const char *key, const char *value, int64_t lease);
void store_delete(const char *key);
/*
 * Makes the changes since the last call one revision; false if there were
 * none.
 */
bool store_commit(void);
/*
 * Returns the history of all changes and sets *first to the index of the first
 * change at or after the revision from.
 */
const GPtrArray *store_history(int64_t from, unsigned *first);

/* Grants a lease and returns its id. */
int64_t store_grant(int64_t ttl_s);
/* Renews a lease; returns its time to live in seconds, or 0 if unknown. */
int64_t store_renew(int64_t id);
bool store_has_lease(int64_t id);
/* Ends a lease and deletes its keys; false if the lease is unknown. */
bool store_revoke(int64_t id);
/* Revokes all expired leases; true if there were any. */
bool store_expire(usec_t now);

#endif
