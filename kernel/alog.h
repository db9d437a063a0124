/*
 * An append-only log in the key-value service, without I/O.
 *
 * The log consists of one head document, which is replaced only by
 * compare-and-swap on its revision and never deleted, and of sealed segments
 * with older records, each under a name that is used only once (see
 * alog_doc.h).  Several processes append to one log; consistency depends on
 * the compare-and-swap alone.  A struct alog has no lock: one thread uses it.
 *
 * The driver sends the requests that alog_request() returns and passes each
 * response to alog_response(), in any order.  It may also pass watch events of
 * the head to alog_watch_event(), and takes completions from
 * alog_completion().  After each call that may change the log it drains both
 * queues.
 *
 * Invariants:
 *  - Each record is passed to apply exactly once, in the order of serials,
 *    which are dense.  The only records skipped are those that retention
 *    dropped before this process read them.
 *  - admit runs against the state at exactly the revision that the swap
 *    compares with.
 *  - Appends that are queued during a swap go into the next swap together, at
 *    most one for each conflict key.  Appends with the same conflict key keep
 *    their order.
 *  - ALOG_ACCEPTED, ALOG_DENIED and ALOG_CANCELLED are certain: after a lost
 *    response, reading the head shows whether the swap took effect.
 */
#ifndef KERNEL_ALOG_H
#define KERNEL_ALOG_H

#include "base/clock.h"
#include "base/err.h"

#include <jansson.h>

#define ALOG_MAX_PAYLOAD (64 * 1024)
#define ALOG_MAX_VALUE   (900 * 1024)

enum alog_request_kind {
	ALOG_GET,    /* read a key; linearizable */
	ALOG_SWAP,   /* replace the value if the key is at the revision */
	ALOG_CREATE, /* write the value if the key does not exist */
	ALOG_DELETE  /* delete a key; needs no response */
};

struct alog_request {
	enum alog_request_kind kind;
	uint64_t id; /* repeated in the response */
	char *key;
	uint64_t revision; /* ALOG_SWAP: the key's expected one; 0: no key */
	struct buf value;  /* ALOG_SWAP, ALOG_CREATE */
};

enum alog_status {
	ALOG_OK,       /* get: found; others: took effect */
	ALOG_MISSING,  /* get: no such key */
	ALOG_CONFLICT, /* swap, create: the comparison failed */
	ALOG_LOST      /* no response or an error: may have taken effect */
};

struct alog_response {
	uint64_t id;
	enum alog_status status;
	uint64_t revision; /* ALOG_OK: that of the key's last change */
	struct str value;  /* ALOG_GET with ALOG_OK */
};

enum alog_result {
	ALOG_ACCEPTED,  /* in the log; the serial is set */
	ALOG_DENIED,    /* admit returned the code; not in the log */
	ALOG_CANCELLED, /* cancelled or the log stopped; not in the log */
	ALOG_UNDECIDED  /* the log stopped or dropped it unread; may be in it */
};

struct alog_completion {
	uint64_t tag;
	enum alog_result result;
	int code;        /* ALOG_DENIED */
	uint64_t serial; /* ALOG_ACCEPTED */
};

struct alog_ops {
	/* Returns 0 to admit the record; any other code denies it. */
	int (*admit)(void *arg, const json_t *payload);
	void (*apply)(void *arg, const json_t *payload, uint64_t serial);
	/*
	 * Optional, both or neither.  snapshot returns the applied state,
	 * which the head holds after sealing; restore replaces the applied
	 * state by a snapshot.
	 */
	json_t *(*snapshot)(void *arg);
	void (*restore)(void *arg, const json_t *state);
	/* Optional: segments whose records are all older are dropped. */
	usec_t (*keep_from)(void *arg);
	/*
	 * Optional: some process has dropped records from before this time.
	 * Called before admit runs against a head with such drops.
	 */
	void (*dropped)(void *arg, usec_t from);
};

struct alog_opts {
	const char *key;      /* key of the head; segments are KEY/... */
	uint64_t incarnation; /* unique to this process */
	size_t seal_bytes;    /* size above which newest records are sealed */
	size_t batch_bytes;   /* limit on the payloads of one swap */
	const struct alog_ops *ops;
	void *arg;
};

struct alog_counts {
	uint64_t requests; /* sent to the key-value service */
	uint64_t swaps;
	uint64_t conflicts;
	uint64_t lost;
	uint64_t accepted;
};

struct alog;

/* Creates a log, whose first request reads the head. */
struct alog *alog_new(const struct alog_opts *o);
void alog_free(struct alog *l);

/*
 * Queues a record to be appended and takes a reference on payload; time is
 * since the Unix epoch.  A completion with the tag follows.  Returns
 * ERR_TOO_LARGE if payload is larger than ALOG_MAX_PAYLOAD.
 */
int alog_append(struct alog *l, uint64_t tag, uint64_t conflict, usec_t time,
    json_t *payload);
/*
 * Cancels an append that has not been sent yet.  Returns false if it is in
 * flight; its completion then follows when its result is known, however late.
 */
bool alog_cancel(struct alog *l, uint64_t tag);
/*
 * Processes the response to a request; a response that is no longer awaited is
 * dropped.  After ALOG_LOST the request is repeated at once, so the driver
 * reports ALOG_LOST only after its back-off.
 */
void alog_response(struct alog *l, const struct alog_response *resp);
/* Processes a watch event of the head; an older revision is ignored. */
void alog_watch_event(struct alog *l, uint64_t revision, struct str value);
/* Reads the head again, for example after a broken watch. */
void alog_refresh(struct alog *l);

/* Takes the next request, which the caller frees; false if there is none. */
bool alog_request(struct alog *l, struct alog_request *out);
void alog_request_free(struct alog_request *r);
/* Takes the next completion; false if there is none. */
bool alog_completion(struct alog *l, struct alog_completion *out);

/* Whether the head has been read and all its records are applied. */
bool alog_ready(const struct alog *l);
/* The serial of the last record applied and the revision of the known head. */
uint64_t alog_serial(const struct alog *l);
uint64_t alog_revision(const struct alog *l);
/*
 * Why the log has stopped, or NULL: this build can't read the head, the head's
 * serial went back, it names a missing segment, or it would grow too large.  A
 * stopped log sends no requests and completes appends as ALOG_CANCELLED or
 * ALOG_UNDECIDED.
 */
const struct err *alog_error(const struct alog *l);
struct alog_counts alog_counts(const struct alog *l);

#endif
