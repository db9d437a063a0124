/*
 * The JSON documents of an append-only log.
 *
 * Head: {"version", "serial", "first", "newest": [record...],
 *        "segments": [{"name", "first", "last", "time"}...],
 *        "from", "snapshot": {"serial", "state"}}
 * Segment: {"version", "newest": [record...]}
 * Record: {"s": serial, "w": writer, "n": number of the writer's swap,
 *          "t": time, "p": payload}
 *
 * "serial" is the serial of the last record, "first" that of the first record
 * still kept.  "from", if present, is the time before which records have been
 * dropped.  Serials are dense: the segments, followed by newest, cover
 * first..serial.  Times are in microseconds since the Unix epoch.  Documents
 * are checked when they are read, so the accessors can't fail.
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
/* Parses a head or a segment; returns NULL and sets e (ERR_KV) on error. */
json_t *alog_doc_read_head(struct str value, struct err *e);
json_t *alog_doc_read_segment(struct str value, struct err *e);

uint64_t alog_doc_serial(const json_t *head);
uint64_t alog_doc_first(const json_t *head);
/* The time before which records may have been dropped; 0: none. */
usec_t alog_doc_dropped_before(const json_t *head);
/* The serial of the first record in newest; serial + 1 if it is empty. */
uint64_t alog_doc_newest_first(const json_t *head);
/* The sizes in bytes of the newest records and of the list of segments. */
size_t alog_doc_newest_bytes(const json_t *head);
size_t alog_doc_segments_bytes(const json_t *head);
/* The snapshot's state, or NULL. */
const json_t *alog_doc_snapshot(const json_t *head, uint64_t *serial);
/* The name of the segment that holds the record with this serial, or NULL. */
const char *alog_doc_find_segment(const json_t *head, uint64_t serial);
size_t alog_doc_count(const json_t *doc);
struct alog_record alog_doc_record(const json_t *doc, size_t i);

/* A copy of the head with its own lists, which may be changed. */
json_t *alog_doc_copy(const json_t *head);
/* Appends a record with the next serial. */
void alog_doc_append(json_t *head, const char *writer, uint64_t swap,
    usec_t time, json_t *payload);
/* A segment with all newest records, and its list entry under the name. */
json_t *alog_doc_segment(const json_t *head);
json_t *alog_doc_segment_entry(const json_t *head, const char *name);
/* Whether the head lists the segment of the entry. */
bool alog_doc_has_segment(const json_t *head, const json_t *entry);
/* Whether the newest records still begin with the entry's records. */
bool alog_doc_can_seal(const json_t *head, const json_t *entry);
/* Replaces the entry's records in newest by the entry in the segment list. */
void alog_doc_seal(json_t *head, json_t *entry);
/* Sets the snapshot as of the head's serial; takes ownership of state. */
void alog_doc_set_snapshot(json_t *head, json_t *state);
/*
 * Removes segments whose records are all older than keep_from from the list,
 * records that time in the head, and returns the segments' names as an array.
 */
json_t *alog_doc_expire(json_t *head, usec_t keep_from);

#endif
