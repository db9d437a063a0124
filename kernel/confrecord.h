/*
 * One record of the configuration log: an accepted or refused change, as the
 * audit trail keeps it.  Times are wall clock in microseconds.
 */
#ifndef KERNEL_CONFRECORD_H
#define KERNEL_CONFRECORD_H

#include "kernel/conffiles.h"

#include <jansson.h>

#define CONFRECORD_VERSION 1
#define CONFRECORD_REMEDY \
	"the generation in force stays; bring this host to the fleet's build"

struct confchange {
	char *name;
	char hash[HASH_HEX_LEN + 1];     /* empty: removed */
	char old_hash[HASH_HEX_LEN + 1]; /* empty: it is new */
};

struct confrecord {
	uint64_t generation; /* of a refused one: the generation in force */
	char *who;
	usec_t when;
	char *change_id;
	bool accepted;
	char *reason; /* why it was refused; NULL if accepted */
	struct confchange *files;
	size_t n_files;
	struct confdiff keys;
};

json_t *confrecord_json(const struct confrecord *r, bool with_keys);
/* ERR_CONFIG for a version or form that this build can't read. */
int confrecord_read(const json_t *j, struct confrecord *r, struct err *e);
/* 0 if this build reads the version of a record or snapshot. */
int confrecord_version(const json_t *j, const char *what, struct err *e);
void confrecord_free(struct confrecord *r);

#endif
