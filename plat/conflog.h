/*
 * The configuration log in the key-value service: applies its records to a
 * state, fetches the bodies of the active files by their hashes, and serves
 * copies of both to other processes.
 *
 * A document is named "head" (the head of the log) or by the SHA-256 of a
 * file's body in hex.  All functions but conflog_read must be called from one
 * thread.
 */
#ifndef PLAT_CONFLOG_H
#define PLAT_CONFLOG_H

#include "kernel/confstate.h"
#include "plat/logio.h"

#define CONFLOG_NAME_BYTES (HASH_HEX_LEN + 1)

/* Code of an append denied because another record was appended first. */
#define CONFLOG_SUPERSEDED 1

struct conflog;

struct conflog_opts {
	struct kv *kv;
	uint64_t incarnation;
	/* Ask other processes for bodies before the key-value service. */
	bool use_peers;
	/* Called when the state has changed; bodies may still be missing. */
	void (*changed)(void *arg);
	/* Called when an append is decided; NULL if this process only reads. */
	void (*done)(void *arg, const struct alog_completion *d);
	/*
	 * Called for a record that can't be applied; the generation in force
	 * stays active.
	 */
	void (*rejected)(void *arg, const struct err *e);
	void *arg;
	/*
	 * For reading the audit trail: called with every record from the oldest
	 * one retained, and no state is built.  NULL: records are applied to
	 * the state.
	 */
	void (*record)(void *arg, const json_t *payload);
	void *record_arg;
};

struct conflog *conflog_new(const struct conflog_opts *o);
void conflog_tick(struct conflog *c, usec_t now);
/* Whether this process watches the head of the log itself. */
void conflog_set_watch(struct conflog *c, bool watch);
const struct confstate *conflog_state(const struct conflog *c);
/* Whether the whole log has been read. */
bool conflog_ready(const struct conflog *c);
/* Returns the error that stopped the log, or NULL. */
const struct err *conflog_error(const struct conflog *c);
/* Number of compare-and-swap calls made. */
uint64_t conflog_swaps(const struct conflog *c);

/* Appends a record; done is called later with the tag. */
int conflog_append(struct conflog *c, uint64_t tag, const struct confrecord *r);
/*
 * Writes the body of a file under its hash.  It must be written before the
 * record that names it is appended.
 */
void conflog_put_body(struct conflog *c, const struct conffile *x,
    kv_result_handler done, void *arg);
/* Reads the body with a hash from the key-value service. */
void conflog_get_body(
    struct conflog *c, const char *hash, kv_result_handler done, void *arg);

/*
 * Takes a document received from a peer.  An outdated head, and a body that
 * does not match its hash or is not needed, are dropped.
 */
void conflog_receive(struct conflog *c, const char *name, uint64_t revision,
    struct str value, usec_t now);
/*
 * Writes the name of a document to request from a peer; returns false if there
 * is none.  A process that watches the head first leaves the key-value service
 * some time to supply the body.
 */
bool conflog_missing(
    const struct conflog *c, usec_t now, char name[CONFLOG_NAME_BYTES]);
/*
 * Appends a copy of a document to out, for a peer; returns false if there is
 * none.  May be called from any thread.
 */
bool conflog_read(
    struct conflog *c, const char *name, uint64_t *revision, struct buf *out);
/* Must be called after kv_free(o->kv): pending calls refer to the log. */
void conflog_free(struct conflog *c);

#endif
