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

#include "kernel/confrecord.h"

/* Records in memory, and in a snapshot (there without keys). */
#define CONFSTATE_HISTORY          1024
#define CONFSTATE_SNAPSHOT_HISTORY 16

struct confstate {
	uint64_t generation;
	uint64_t
	    oldest_base; /* the oldest base generation that is still known */
	struct conffiles files;
	struct confrecord *history;
	size_t n_history;
};

enum confstate_plan_result {
	CONFSTATE_MERGED,    /* append the record; bodies first */
	CONFSTATE_UNCHANGED, /* nothing is changed: append nothing */
	CONFSTATE_DUPLICATE, /* the change id is in the log: append nothing */
	CONFSTATE_REFUSED,   /* conflict or bad result: append for the audit */
	CONFSTATE_NOT_READY  /* a body is missing: fetch it and plan again */
};

/* An operator's folder to be applied. */
struct confstate_proposal {
	uint64_t base; /* the generation that the operator started from */
	const struct conffiles *files;
	const char *who;
	usec_t when;
	const char *change_id;
};

struct confstate_plan {
	enum confstate_plan_result result;
	struct err err; /* REFUSED: ERR_CONFLICT or ERR_CONFIG; UNREADY */
	struct confrecord record; /* ALREADY: as found in the log */
	struct conffiles files;   /* MERGED: the whole merged set */
};

/*
 * Takes the next record.  1: it is not newer than what is in force and was
 * ignored.  ERR_CONFIG: it can't be read.  ERR_NOT_READY: records between are
 * missing.  On error the old generation stays.
 */
int confstate_apply_record(
    struct confstate *s, const json_t *record, struct err *e);
/* What a newcomer needs in place of the records so far. */
json_t *confstate_snapshot(const struct confstate *s);
/* The same returns as confstate_apply_record; bodies at hand are kept. */
int confstate_restore(
    struct confstate *s, const json_t *snapshot, struct err *e);
void confstate_free(struct confstate *s);
/* Gives every file of this hash its body; false if it is another's. */
bool confstate_set_body(struct confstate *s, const char *hash, struct str body);
/* A file in force whose body is missing, or NULL. */
const struct conffile *confstate_missing_body(const struct confstate *s);
/* The configuration in force; NULL with ERR_NOT_READY or ERR_CONFIG. */
struct conf *confstate_conf(const struct confstate *s, struct err *e);

/* Decides what an apply does; changes nothing.  The plan is always set. */
void confstate_plan(const struct confstate *s,
    const struct confstate_proposal *a, struct confstate_plan *p);
void confstate_plan_free(struct confstate_plan *p);

#endif
