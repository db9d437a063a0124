/*
 * An append-only log in the key-value service, without I/O.
 *
 * The log is one head document, replaced only by compare-and-swap on its
 * revision and never deleted, and sealed segments with older records under
 * names that are used once (see alog_doc.h).  Several processes append to one
 * log; safety rests on the swap alone.
 *
 * The driver carries out the requests that alog_request() hands out and gives
 * each answer to alog_response(), in any order; it may also pass on what a
 * watch of the head says, and takes completions from alog_completion().  After
 * each call that may change the log it drains both queues.
 *
 * Invariants:
 *  - Each record is folded by apply exactly once, in the order of serials,
 *    which are dense.  Only records that retention dropped before this process
 *    saw them are passed over.
 *  - admit is asked against the state that is folded up to exactly the
 *    revision that the swap compares with.
 *  - Appends that wait go into one swap while the previous is under way, at
 *    most one for each conflict key; those with the same key keep their order.
 *  - ALOG_ACCEPTED, ALOG_DENIED and ALOG_CANCELLED are certain: a lost answer
 *    is settled by reading the head.
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
	ALOG_SWAP,   /* replace the value if the key is at this revision */
	ALOG_CREATE, /* write the value if the key does not exist */
	ALOG_DELETE  /* delete a key; its answer is not needed */
};

struct alog_request {
	enum alog_request_kind kind;
	uint64_t id; /* to be given back with the answer */
	char *key;
	uint64_t revision; /* ALOG_SWAP: of the last change; 0: no such key */
	struct buf value;  /* ALOG_SWAP, ALOG_CREATE */
};

enum alog_status {
	ALOG_OK,       /* get: found; others: took effect */
	ALOG_MISSING,  /* get: no such key */
	ALOG_CONFLICT, /* swap, create: the comparison failed */
	ALOG_LOST      /* no answer, or an error: it may have taken effect */
};

struct alog_response {
	uint64_t id;
	enum alog_status status;
	uint64_t revision; /* ALOG_OK: of the key's last change */
	struct str value;  /* ALOG_OK of a get */
};

enum alog_result {
	ALOG_ACCEPTED,  /* in the log, with this serial */
	ALOG_DENIED,    /* admit said no, with this code; not in the log */
	ALOG_CANCELLED, /* cancelled, or the log has stopped; not in the log */
	ALOG_UNDECIDED  /* the log stopped or dropped it unseen; may be in it */
};

struct alog_completion {
	uint64_t tag;
	enum alog_result result;
	int code;        /* ALOG_DENIED */
	uint64_t serial; /* ALOG_ACCEPTED */
};

struct alog_ops {
	/* 0 lets the record in, any other code denies it. */
	int (*admit)(void *arg, const json_t *payload);
	void (*apply)(void *arg, const json_t *payload, uint64_t serial);
	/*
	 * Optional, both or neither: the folded state, kept in the head when
	 * it is sealed, and its replacement by one that was kept.
	 */
	json_t *(*snapshot)(void *arg);
	void (*restore)(void *arg, const json_t *state);
	/* Optional: segments with only older records are dropped. */
	usec_t (*keep_from)(void *arg);
	/*
	 * Optional: some process has dropped records from before this time.
	 * Told before admit is asked at a head where it holds.
	 */
	void (*dropped)(void *arg, usec_t from);
};

struct alog_opts {
	const char *key;      /* of the head; segments are KEY/... */
	uint64_t incarnation; /* of the process; never used by another */
	size_t seal_bytes;    /* newest records are sealed beyond this */
	size_t batch_bytes;   /* payloads of one swap */
	const struct alog_ops *ops;
	void *arg;
};

struct alog_counts {
	uint64_t requests; /* to the key-value service */
	uint64_t swaps;
	uint64_t conflicts;
	uint64_t lost;
	uint64_t accepted;
};

struct alog;

/* A log that starts with reading its head. */
struct alog *alog_new(const struct alog_opts *o);
void alog_free(struct alog *l);

/*
 * Asks for a record, which takes a reference on payload; time is since the
 * Unix epoch.  A completion with the tag follows.  ERR_TOO_LARGE if payload
 * passes ALOG_MAX_PAYLOAD.
 */
int alog_append(struct alog *l, uint64_t tag, uint64_t conflict, usec_t time,
    json_t *payload);
/*
 * Withdraws an append that has not been sent yet.  False if it is under way;
 * its completion then comes when its fate is known, however late.
 */
bool alog_cancel(struct alog *l, uint64_t tag);
/*
 * The answer to a request; one that is not awaited any more is dropped.  A
 * request is repeated at once after ALOG_LOST, so the driver waits out its
 * back-off before it says so.
 */
void alog_response(struct alog *l, const struct alog_response *a);
/* What a watch says of the head; an older revision is ignored. */
void alog_watch_event(struct alog *l, uint64_t revision, struct str value);
/* Reads the head again, for example after a watch broke. */
void alog_refresh(struct alog *l);

/* The next request; false if there is none.  Freed by the caller. */
bool alog_request(struct alog *l, struct alog_request *out);
void alog_request_free(struct alog_request *r);
/* The next completion; false if there is none. */
bool alog_completion(struct alog *l, struct alog_completion *out);

/* Whether the head has been read and all its records are folded. */
bool alog_ready(const struct alog *l);
/* The serial of the last record folded and the revision of the known head. */
uint64_t alog_serial(const struct alog *l);
uint64_t alog_revision(const struct alog *l);
/*
 * Why the log has stopped, or NULL: the head can't be read by this build, has
 * gone back, names a segment that is gone, or would grow too large.  A stopped
 * log sends nothing more and completes appends as withdrawn or undecided.
 */
const struct err *alog_error(const struct alog *l);
struct alog_counts alog_counts(const struct alog *l);

#endif
