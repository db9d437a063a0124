/*
 * The configuration log in the key-value service: its records folded, the
 * bodies of the files in force fetched by their hashes, and both kept ready to
 * be passed on to other processes.
 *
 * Documents have names: "head", or the SHA-256 of a body in hex.  All
 * functions but conflog_read belong to one thread.
 */
#ifndef PLAT_CONFLOG_H
#define PLAT_CONFLOG_H

#include "kernel/confstate.h"
#include "plat/logio.h"

#define CONFLOG_NAME_BYTES (HASH_HEX_LEN + 1)

/* The answer of alog's admit when another record came first. */
#define CONFLOG_SUPERSEDED 1

struct conflog;

struct conflog_opts {
	struct kv *kv;
	uint64_t incarnation;
	bool use_peers; /* other processes may offer bodies: they are asked
			   first */
	/* The state has moved; bodies may still be missing. */
	void (*changed)(void *arg);
	/* An append has been decided; NULL for those who only read. */
	void (*done)(void *arg, const struct alog_completion *d);
	/* A record that can't be folded; the generation in force stays. */
	void (*refused)(void *arg, const struct err *e);
	void *arg;
	/*
	 * Gets every record since the first one kept.  The state is then not
	 * folded: for reading the audit trail.  NULL: the state is folded.
	 */
	void (*record)(void *arg, const json_t *payload);
	void *record_arg;
};

struct conflog *conflog_new(const struct conflog_opts *o);
void conflog_tick(struct conflog *c, usec_t now);
void conflog_set_watch(struct conflog *c, bool follow);
const struct confstate *conflog_state(const struct conflog *c);
/* Whether the log has been read. */
bool conflog_ready(const struct conflog *c);
/* Why the log has stopped, or NULL. */
const struct err *conflog_error(const struct conflog *c);
uint64_t conflog_swaps(const struct conflog *c);

/* Appends a change; done is called with the tag. */
int conflog_append(struct conflog *c, uint64_t tag, const struct confrecord *r);
/* Writes the body of a file under its hash, before its record is appended. */
void conflog_put_body(struct conflog *c, const struct conffile *x,
    kv_result_handler done, void *arg);

void conflog_get_body(
    struct conflog *c, const char *hash, kv_result_handler done, void *arg);

/* A document that came from a peer; what does not fit is dropped. */
void conflog_receive(struct conflog *c, const char *name, uint64_t revision,
    struct str value, usec_t now);
/* The name of a document that is missing for a while, or false. */
bool conflog_missing(
    const struct conflog *c, usec_t now, char name[CONFLOG_NAME_BYTES]);
/* A copy of a document for a peer; from any thread. */
bool conflog_read(
    struct conflog *c, const char *name, uint64_t *revision, struct buf *out);
void conflog_free(struct conflog *c);

#endif
