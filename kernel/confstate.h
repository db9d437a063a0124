/*
 * The state of the configuration log after applying its records: the files in
 * force, and planning of further changes to them.
 *
 * Invariants: the generation only grows, by one with each accepted record.  A
 * record that this build can't read, or one after missing records, changes
 * nothing.  Records of refused changes are kept for the audit trail and change
 * no file.  The newest CONFSTATE_HISTORY records stay in memory: they identify
 * a change after a lost response by its change id, and allow older base
 * generations to be reconstructed.  Times are wall clock in microseconds,
 * hashes SHA-256 in hex.  A struct confstate has no lock: one thread uses it.
 */
#ifndef KERNEL_CONFSTATE_H
#define KERNEL_CONFSTATE_H

#include "kernel/confrecord.h"

/* Records kept in memory, and in a snapshot (without changed keys). */
#define CONFSTATE_HISTORY          1024
#define CONFSTATE_SNAPSHOT_HISTORY 16

struct confstate {
	uint64_t generation;
	uint64_t oldest_base; /* oldest generation that can be a base */
	struct conffiles files;
	struct confrecord *history;
	size_t n_history;
};

enum confstate_plan_result {
	CONFSTATE_MERGED,    /* store the bodies, then append the record */
	CONFSTATE_UNCHANGED, /* no difference: append nothing */
	CONFSTATE_DUPLICATE, /* change id already in the log: append nothing */
	CONFSTATE_REFUSED,   /* conflict or invalid: append for the audit */
	CONFSTATE_NOT_READY  /* a body is missing: fetch it and plan again */
};

/* A set of files that an operator wants to put in force. */
struct confstate_proposal {
	uint64_t base; /* the generation that the change started from */
	const struct conffiles *files;
	const char *who;
	usec_t when;
	const char *change_id;
};

struct confstate_plan {
	enum confstate_plan_result result;
	/*
	 * CONFSTATE_REFUSED: ERR_CONFLICT or ERR_CONFIG; CONFSTATE_NOT_READY:
	 * ERR_NOT_READY.
	 */
	struct err err;
	struct confrecord record; /* CONFSTATE_DUPLICATE: as in the log */
	struct conffiles files;   /* CONFSTATE_MERGED: the complete set */
};

/*
 * Applies the next record.  Returns 0; 1 if the record is not newer than the
 * state and was ignored; ERR_CONFIG if this build can't read it; or
 * ERR_NOT_READY if records before it are missing.  On error the old generation
 * stays in force.
 */
int confstate_apply_record(
    struct confstate *s, const json_t *record, struct err *e);
/* Encodes the state, to be restored in place of applying all its records. */
json_t *confstate_snapshot(const struct confstate *s);
/*
 * Replaces the state by a newer snapshot and keeps the bodies already present.
 * Returns as confstate_apply_record() does.
 */
int confstate_restore(
    struct confstate *s, const json_t *snapshot, struct err *e);
void confstate_free(struct confstate *s);
/* Sets the body of all files with the hash; false if the hash is wrong. */
bool confstate_set_body(struct confstate *s, const char *hash, struct str body);
/* A file in force whose body is missing, or NULL. */
const struct conffile *confstate_missing_body(const struct confstate *s);
/* The configuration in force; NULL with ERR_NOT_READY or ERR_CONFIG. */
struct conf *confstate_conf(const struct confstate *s, struct err *e);

/*
 * Decides the result of a proposal by a three-way merge; does not change the
 * state.  The plan is always set.
 */
void confstate_plan(const struct confstate *s,
    const struct confstate_proposal *a, struct confstate_plan *p);
void confstate_plan_free(struct confstate_plan *p);

#endif
