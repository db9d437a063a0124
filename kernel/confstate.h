/*
 * The configuration log, folded: which files are in force, and what a further
 * change does to them.
 *
 * Invariants: the generation only grows, one accepted record at a time; a
 * record that this build can't read, or that leaves a gap, changes nothing.
 * Records of refused changes are kept for the audit trail and change no file.
 * The newest CONFSTATE_HISTORY records are remembered: they settle lost
 * answers by change id and tell what an older base generation looked like.
 * Times are wall clock in microseconds, hashes SHA-256 in hex.
 */
#ifndef KERNEL_CONFSTATE_H
#define KERNEL_CONFSTATE_H

#include "kernel/conf.h"

#include <jansson.h>

#define CONFSTATE_VERSION          1
/* Records in memory, and in a snapshot (there without keys). */
#define CONFSTATE_HISTORY          1024
#define CONFSTATE_SNAPSHOT_HISTORY 16

struct confstate_file {
	char *name;
	char hash[HASH_HEX_LEN + 1];
	struct buf body;
	bool cached; /* body is here */
};

/* Sorted by name (strcmp), which is the order of merging. */
struct confstate_files {
	struct confstate_file *v;
	size_t n;
};

struct confstate_change {
	char *name;
	char hash[HASH_HEX_LEN + 1]; /* empty: removed */
	char was[HASH_HEX_LEN + 1];  /* empty: it is new */
};

struct confstate_key {
	char *section;
	char *key;
	char *before; /* NULL: was not set */
	char *after;  /* NULL: is no longer set */
};

struct confstate_keys {
	struct confstate_key *v;
	size_t n;
};

struct confstate_record {
	uint64_t generation; /* of a refused one: the generation in force */
	char *who;
	usec_t when;
	char *change_id;
	bool accepted;
	char *reason; /* why it was refused */
	struct confstate_change *files;
	size_t n_files;
	struct confstate_keys keys;
};

struct confstate {
	uint64_t generation;
	uint64_t reach; /* the oldest base generation that is still known */
	struct confstate_files files;
	struct confstate_record **history;
	size_t n_history;
};

enum confstate_verdict {
	CONFSTATE_MERGED,  /* append the record; bodies first */
	CONFSTATE_NOTHING, /* nothing is changed: append nothing */
	CONFSTATE_ALREADY, /* the change id is in the log: append nothing */
	CONFSTATE_REFUSED, /* conflict or bad result: append for the audit */
	CONFSTATE_UNREADY  /* a body is missing: fetch it and plan again */
};

/* An operator's folder to be applied. */
struct confstate_apply {
	uint64_t base; /* the generation that the operator started from */
	const struct confstate_files *files;
	const char *who;
	usec_t when;
	const char *change_id;
};

struct confstate_plan {
	enum confstate_verdict verdict;
	struct err err; /* REFUSED: ERR_CONFLICT or ERR_CONFIG; UNREADY */
	struct confstate_record record; /* ALREADY: as found in the log */
	struct confstate_files files;   /* MERGED: the whole merged set */
};

/* Adds or replaces a file; false if the name does not end in ".ini". */
bool confstate_put(
    struct confstate_files *f, const char *name, struct str body);
void confstate_files_free(struct confstate_files *f);

json_t *confstate_record_json(const struct confstate_record *r);
/* ERR_CONFIG for a version or form that this build can't read. */
int confstate_record_read(
    const json_t *j, struct confstate_record *r, struct err *e);
void confstate_record_free(struct confstate_record *r);

/*
 * Takes the next record.  1: it is not newer than what is in force and was
 * ignored.  ERR_CONFIG: it can't be read.  ERR_NOT_READY: records between are
 * missing.  On error the old generation stays.
 */
int confstate_fold(struct confstate *s, const json_t *record, struct err *e);
/* What a newcomer needs in place of the records so far. */
json_t *confstate_snapshot(const struct confstate *s);
/* The same returns as confstate_fold; bodies at hand are kept. */
int confstate_restore(
    struct confstate *s, const json_t *snapshot, struct err *e);
void confstate_free(struct confstate *s);
/* Gives every file of this hash its body; false if it is another's. */
bool confstate_body(struct confstate *s, const char *hash, struct str body);
/* A file in force whose body is missing, or NULL. */
const struct confstate_file *confstate_missing(const struct confstate *s);
/* The configuration in force; NULL with ERR_NOT_READY or ERR_CONFIG. */
struct conf *confstate_conf(const struct confstate *s, struct err *e);

/* Decides what an apply does; changes nothing.  The plan is always set. */
void confstate_plan(const struct confstate *s, const struct confstate_apply *a,
    struct confstate_plan *p);
void confstate_plan_free(struct confstate_plan *p);

/* The keys that differ between two sets, by section and key. */
int confstate_diff(const struct confstate_files *before,
    const struct confstate_files *after, struct confstate_keys *out,
    struct err *e);
/* One line a key: "[section] key: old -> new". */
void confstate_diff_text(const struct confstate_keys *keys, struct buf *out);
void confstate_keys_free(struct confstate_keys *keys);

#endif
