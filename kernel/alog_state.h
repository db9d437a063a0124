/*
 * The internal state of an append-only log, used by alog*.c only: queued
 * appends, the swap in flight, and the queues of requests and completions for
 * the driver.
 */
#ifndef KERNEL_ALOG_STATE_H
#define KERNEL_ALOG_STATE_H

#include "kernel/alog.h"
#include "kernel/alog_doc.h"

#include <glib.h>

/* The response awaited; one request at a time, not counting deletes. */
enum alog_phase {
	ALOG_PHASE_IDLE,
	ALOG_PHASE_READ,  /* reading the head */
	ALOG_PHASE_FETCH, /* reading a segment to apply */
	ALOG_PHASE_SEAL,  /* writing a new segment */
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

/* The records of the swap in flight; serials start at base_serial + 1. */
struct alog_batch {
	struct alog_appends appends;
	uint64_t base_serial;
	uint64_t revision; /* revision that the swap compares with */
	json_t *head;
	json_t *dropped; /* names of segments that the swap removes */
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
	uint64_t awaited_id; /* request whose response is awaited; 0: none */
	uint64_t last_swap;  /* number of this writer's last swap */
	uint64_t last_segment;
	json_t *head; /* the latest known; NULL before the first read */
	uint64_t revision;
	uint64_t serial; /* serial of the last record applied */
	struct alog_appends waiting;
	struct alog_batch batch;
	json_t *sealed_entry; /* list entry of a segment not in the head yet */
	struct buf sealed_value;
	bool sealed_written;
	char *fetching_segment;
	char *missing_segment; /* missing at missing_revision of the head */
	uint64_t missing_revision;
	GQueue requests; /* struct alog_request, for the driver */
	GQueue done;     /* struct alog_completion */
	struct err err;
	struct alog_counts counts;
};

void alog_state_push(struct alog_appends *l, struct alog_append a);
/* Queues the completion of an append and releases its payload. */
void alog_state_complete(
    struct alog *l, struct alog_append *a, struct alog_completion d);
/* Completes all appends that are not completed yet and empties the list. */
void alog_state_complete_all(
    struct alog *l, struct alog_appends *a, enum alog_result result);
void alog_state_clear_batch(struct alog_batch *b);
/* Queues a request and, unless it is a delete, awaits its response. */
void alog_state_send(struct alog *l, enum alog_request_kind kind,
    const char *key, const struct buf *value);
/* Returns to ALOG_PHASE_IDLE; a pending response will be ignored. */
void alog_state_idle(struct alog *l);
/* Stops the log after l->err was set; completes all appends. */
void alog_state_stop(struct alog *l);
/* Replaces out by the JSON text of a document. */
void alog_state_dump(const json_t *doc, struct buf *out);

#endif
