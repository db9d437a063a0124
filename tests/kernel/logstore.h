/*
 * An in-memory key-value service that serves the requests of append-only logs.
 */
#ifndef TESTS_LOGSTORE_H
#define TESTS_LOGSTORE_H

#include "kernel/alog.h"

#include <glib.h>

struct logvalue {
	uint64_t revision;
	GString *text;
};

struct logstore {
	GHashTable *keys; /* key -> struct logvalue */
	uint64_t revision;
	unsigned calls;
	unsigned deletes;
	size_t written; /* bytes, of all writes */
};

void logstore_init(struct logstore *s);
void logstore_put(struct logstore *s, const char *key, struct str text);
/* The value of a key, or NULL. */
const struct logvalue *logstore_get(const struct logstore *s, const char *key);
/*
 * Carries out a request.  The response's value is valid until the key is
 * written again.
 */
struct alog_response logstore_do(
    struct logstore *s, const struct alog_request *r);
void logstore_free(struct logstore *s);

#endif
