/*
 * The key-value service's memory: keys in order, their whole history, and
 * leases.  The caller holds a lock around all of it.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include <glib.h>

#include "base/clock.h"
#include "base/str.h"

/* One state of a key; never changed once made, and kept for good. */
struct item {
	char *key;
	char *value; /* in base64, as it came */
	int64_t created;
	int64_t modified;
	int64_t version;
	int64_t lease;
	bool deleted;
};

void store_init(void);
int64_t store_revision(void);
/* The key's present state, or NULL. */
const struct item *store_get(const char *key);
/*
 * The states from key up to end: only key when end is empty, and all that
 * follow when end is one NUL byte.
 */
GPtrArray *store_range(const char *key, struct str end);
/* Both work at the revision that the next store_commit() makes current. */
void store_put(const char *key, const char *value, int64_t lease);
void store_delete(const char *key);
/* Makes the changes since the last call one revision; false if none. */
bool store_commit(void);
/* All changes; the index of the first from a revision on goes in *first. */
const GPtrArray *store_history(int64_t from, unsigned *first);

/* Grants a lease and gives its number. */
int64_t store_grant(int64_t ttl_s);
/* Renews; the time to live in seconds, or 0 when there is no such lease. */
int64_t store_keep(int64_t id);
bool store_has_lease(int64_t id);
/* Ends a lease and deletes its keys; false when there is no such lease. */
bool store_revoke(int64_t id);
/* Revokes what is past its time; true if any was. */
bool store_expire(usec_t now);

#endif
