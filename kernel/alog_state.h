/*
 * The state of an append-only log, seen by alog*.c only: what waits, the swap
 * under way, and the queues towards the driver.
 */
#ifndef KERNEL_ALOG_STATE_H
#define KERNEL_ALOG_STATE_H

#include "kernel/alog.h"
#include "kernel/alog_doc.h"

#include <glib.h>

/* What the log waits for; one request at a time, besides deletes. */
enum alog_phase {
	ALOG_PHASE_IDLE,
	ALOG_PHASE_READ,  /* the head */
	ALOG_PHASE_FETCH, /* a segment to fold */
	ALOG_PHASE_SEAL,  /* a new segment to be written */
	ALOG_PHASE_SWAP
};

struct alog_append {
	uint64_t tag;
	uint64_t conflict;
	usec_t time;
	json_t *payload;
};

struct alog_appends {
	struct alog_append *v;
	size_t n;
};

enum alog_batch_status {
	ALOG_BATCH_UNKNOWN,
	ALOG_BATCH_COMMITTED, /* the swap took effect */
	ALOG_BATCH_SUPERSEDED /* another swap took its place */
};

/* The records of the swap under way; serials base + 1 and on. */
struct alog_batch {
	struct alog_appends appends;
	uint64_t base_serial;
	uint64_t revision; /* that it compares with */
	json_t *head;
	json_t *dropped; /* names of segments that it takes off the list */
	struct buf value;
	enum alog_batch_status status;
};

struct alog {
	struct alog_opts opts;
	char *key;
	char writer[ALOG_DOC_WRITER_LEN + 1];
	enum alog_phase phase;
	bool reread;
	uint64_t last_id;
	uint64_t awaited_id; /* request whose answer counts; 0: none */
	uint64_t last_swap;  /* number of the last swap of this writer */
	uint64_t last_segment;
	json_t *head; /* the latest known; NULL before the first */
	uint64_t revision;
	uint64_t serial; /* of the last record folded */
	struct alog_appends waiting;
	struct alog_batch batch;
	json_t *sealed_entry; /* entry of a segment that no head of ours names
				 yet */
	struct buf sealed_value;
	bool sealed_written;
	char *fetching_segment;
	char *missing_segment; /* a segment that was missing, at gap_revision */
	uint64_t missing_revision;
	GQueue requests;
	GQueue done;
	struct err err;
	struct alog_counts counts;
};

void alog_state_push(struct alog_appends *l, struct alog_append a);
/* Queues the completion of an append and frees what it holds. */
void alog_state_complete(
    struct alog *l, struct alog_append *a, struct alog_completion d);
/* Completes all that are still open and empties the list. */
void alog_state_complete_all(
    struct alog *l, struct alog_appends *a, enum alog_result result);
void alog_state_clear_batch(struct alog_batch *b);
/* Queues a request; any but a delete becomes the awaited one. */
void alog_state_send(struct alog *l, enum alog_request_kind kind,
    const char *key, const struct buf *value);
/* Awaits nothing any more. */
void alog_state_idle(struct alog *l);
/* Ends all work after l->err was set. */
void alog_state_stop(struct alog *l);
/* Replaces out by the text of a document. */
void alog_state_dump(const json_t *doc, struct buf *out);

#endif
