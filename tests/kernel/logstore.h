/* A key-value service in memory that carries out the requests of logs. */
#ifndef TESTS_LOGSTORE_H
#define TESTS_LOGSTORE_H

#include "kernel/alog.h"

#include <glib.h>

struct logvalue {
	uint64_t revision;
	GString *text;
};

struct logstore {
	GHashTable *keys; /* struct logvalue */
	uint64_t revision;
	unsigned calls;
	unsigned deletes;
	size_t written; /* bytes */
};

void logstore_init(struct logstore *s);
void logstore_put(struct logstore *s, const char *key, struct str text);
/* The key's value, or NULL. */
const struct logvalue *logstore_get(const struct logstore *s, const char *key);
/* The answer's text belongs to the store until the key is written again. */
struct alog_response logstore_do(
    struct logstore *s, const struct alog_request *r);
void logstore_free(struct logstore *s);

#endif
