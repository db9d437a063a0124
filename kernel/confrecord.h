/*
 * One record of the configuration log: an accepted or refused change, as kept
 * in the audit trail.  Times are wall clock in microseconds.
 */
#ifndef KERNEL_CONFRECORD_H
#define KERNEL_CONFRECORD_H

#include "kernel/conffiles.h"

#include <jansson.h>

#define CONFRECORD_VERSION 1
#define CONFRECORD_REMEDY                                                   \
	"the generation in force stays; install the fleet's build on this " \
	"host"

/* The change of one file; hashes as in conffiles.h. */
struct confchange {
	char *name;
	char hash[HASH_HEX_LEN + 1];     /* empty: the file is removed */
	char old_hash[HASH_HEX_LEN + 1]; /* empty: the file is new */
};

struct confrecord {
	uint64_t generation; /* refused change: the generation in force */
	char *who;
	usec_t when;
	char *change_id;
	bool accepted;
	char *reason; /* reason of the refusal; NULL if accepted */
	struct confchange *files;
	size_t n_files;
	struct confdiff keys;
};

/* Encodes a record, with or without the changed keys. */
json_t *confrecord_json(const struct confrecord *r, bool with_keys);
/* Decodes a record; ERR_CONFIG if this build can't read its format. */
int confrecord_read(const json_t *j, struct confrecord *r, struct err *e);
/* Returns 0 if this build reads the version of a record or snapshot. */
int confrecord_check_version(const json_t *j, const char *what, struct err *e);
void confrecord_free(struct confrecord *r);

#endif
