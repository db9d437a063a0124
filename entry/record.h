/*
 * The requests of this process, from arrival until they expire: the text chunks
 * and the end of each, for the worker threads that wait for them and for later
 * queries.  All functions may be called from any thread.  Times are in
 * microseconds, sizes in bytes.
 */
#ifndef ENTRY_RECORD_H
#define ENTRY_RECORD_H

#include "base/clock.h"
#include "base/err.h"

struct host_memory;
struct records;
struct record;

#define RECORD_ID_BYTES 40

/* How a request ended. */
struct record_end {
	enum outcome outcome;
	enum err_kind error;
	char detail[160];
	usec_t retry_after;
	struct str body;  /* JSON object, if the outcome is complete */
	struct str trace; /* JSON array; only used by record_finish */
};

/*
 * The state of a request as seen by a waiting thread; end.body stays valid
 * until record_unref.
 */
struct record_view {
	size_t chunks; /* text chunks so far */
	bool ended;
	struct record_end end;
};

struct records_opts {
	uint32_t node; /* part of every id; identifies the host */
	/* Part of every id; identifies the start of the process. */
	uint32_t incarnation;
	usec_t retention;
	size_t keep_bytes;
	struct host_memory *memory; /* or NULL */
};

struct records *records_new(const struct records_opts *o);
/* Creates a record; the caller holds a reference. */
struct record *record_new(struct records *rs, struct str workspace);
uint64_t record_handle(const struct record *r);
const char *record_id(const struct record *r);
/*
 * Returns the record with this id that belongs to the workspace, with a
 * reference, or NULL.
 */
struct record *record_find(
    struct records *rs, struct str id, struct str workspace);
void record_add_chunk(struct records *rs, uint64_t handle, struct str text);
/* Sets the end of a request; a later end replaces only an unknown outcome. */
void record_finish(
    struct records *rs, uint64_t handle, const struct record_end *end);
/*
 * Waits until there are more than seen chunks, the request has ended, or the
 * timeout has passed; then copies the state to out.
 */
void record_wait(
    struct record *r, size_t seen, usec_t timeout, struct record_view *out);
/* Appends chunk i, counted from 0, to out. */
void record_get_chunk(struct record *r, size_t i, struct buf *out);
/*
 * Appends the trace of decisions for the request as a JSON array; empty until
 * the request has ended.
 */
void record_trace(struct record *r, struct buf *out);
/*
 * Attaches and detaches a reader; record_detach returns true for the last
 * reader that is attached.
 */
void record_attach(struct record *r);
bool record_detach(struct record *r);
/*
 * A reader has taken n bytes; returns false if the answer is to be broken off,
 * as others wait for its room.  What the readers of a record have not taken yet
 * is counted as unsent.
 */
bool record_taken(struct record *r, size_t n);
void record_unref(struct record *r);
/*
 * Drops ended records that are past the retention time or exceed keep_bytes,
 * oldest first.
 */
void records_sweep(struct records *rs, usec_t now);
size_t records_bytes(struct records *rs);
void records_free(struct records *rs);

#endif
