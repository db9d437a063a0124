/*
 * The JSON documents of an append-only log.
 *
 * Head: {"version", "serial", "first", "newest": [record...],
 *        "segments": [{"name", "first", "last", "time"}...],
 *        "from", "snapshot": {"serial", "state"}}
 * Segment: {"version", "newest": [record...]}
 * Record: {"s": serial, "w": writer, "n": its swap's number, "t": time,
 *          "p": payload}
 *
 * "serial" is that of the last record, "first" that of the first one kept.
 * "from", if there, is the time before which records have been dropped.
 * Serials are dense: segments and then newest cover first..serial.
 * A document that was read is checked, so the accessors can't fail.
 */
#ifndef KERNEL_ALOG_DOC_H
#define KERNEL_ALOG_DOC_H

#include "base/clock.h"
#include "base/err.h"

#include <jansson.h>

#define ALOG_DOC_VERSION    1
#define ALOG_DOC_WRITER_LEN 16

struct alog_record {
	uint64_t serial;
	const char *writer;
	uint64_t swap;
	usec_t time;
	json_t *payload; /* borrowed */
};

/* The head of a log without records. */
json_t *alog_doc_empty(void);
/* Reads a head or a segment; NULL and e (ERR_KV) if it isn't one. */
json_t *alog_doc_read_head(struct str value, struct err *e);
json_t *alog_doc_read_segment(struct str value, struct err *e);

uint64_t alog_doc_serial(const json_t *head);
uint64_t alog_doc_first(const json_t *head);
/* The time before which records may have been dropped; 0: none. */
usec_t alog_doc_dropped_before(const json_t *head);
/* The serial of the first record in newest; serial + 1 if there is none. */
uint64_t alog_doc_newest_first(const json_t *head);
/* Bytes that the newest records and the list of segments take. */
size_t alog_doc_newest_bytes(const json_t *head);
size_t alog_doc_segments_bytes(const json_t *head);
/* The snapshot's state, or NULL. */
const json_t *alog_doc_snapshot(const json_t *head, uint64_t *serial);
/* The name of the segment that holds the record, or NULL. */
const char *alog_doc_find_segment(const json_t *head, uint64_t serial);
size_t alog_doc_count(const json_t *doc);
struct alog_record alog_doc_record(const json_t *doc, size_t i);

/* A copy of the head whose lists can be changed. */
json_t *alog_doc_copy(const json_t *head);
/* Appends a record with the next serial. */
void alog_doc_append(json_t *head, const char *writer, uint64_t swap,
    usec_t time, json_t *payload);
/* The segment with all newest records, and its entry under that name. */
json_t *alog_doc_segment(const json_t *head);
json_t *alog_doc_segment_entry(const json_t *head, const char *name);
/* Whether the head lists the segment of the entry. */
bool alog_doc_has_segment(const json_t *head, const json_t *entry);
/* Whether the newest records still begin with those of the entry. */
bool alog_doc_can_seal(const json_t *head, const json_t *entry);
/* Moves the records of the entry from newest to the list of segments. */
void alog_doc_seal(json_t *head, json_t *entry);
/* Sets the snapshot as of the head's serial; takes over state. */
void alog_doc_set_snapshot(json_t *head, json_t *state);
/*
 * Takes segments whose records are all older than keep_from off the list,
 * notes that time in the head, and returns their names as an array.
 */
json_t *alog_doc_expire(json_t *head, usec_t keep_from);

#endif
