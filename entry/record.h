/*
 * The requests of this process, from arrival until they are forgotten: their
 * pieces and their end, for the callers' threads that wait for them and for
 * those that ask later.  All functions may be called from any thread.
 */
#ifndef ENTRY_RECORD_H
#define ENTRY_RECORD_H

#include "base/clock.h"
#include "base/err.h"

struct records;
struct record;

#define RECORD_ID_BYTES 40

/* How a request ended. */
struct record_end {
	enum outcome outcome;
	enum err_kind error;
	char detail[160];
	usec_t retry_after;
	struct str body;  /* JSON object, if complete */
	struct str trace; /* JSON array; only given to record_finish */
};

/* What a waiting thread sees; end.body stays valid until record_unref. */
struct record_view {
	size_t chunks; /* how many there are so far */
	bool ended;
	struct record_end end;
};

struct records_opts {
	uint32_t node;        /* part of every id, names this process */
	uint32_t incarnation; /* likewise */
	usec_t keep;
	size_t keep_bytes;
};

struct records *records_new(const struct records_opts *o);
/* A new record; the caller holds a reference. */
struct record *record_new(struct records *rs, struct str workspace);
uint64_t record_handle(const struct record *r);
const char *record_id(const struct record *r);
/* The record with this id that belongs to the workspace, or NULL. */
struct record *record_find(
    struct records *rs, struct str id, struct str workspace);
void record_add_chunk(struct records *rs, uint64_t handle, struct str text);
/* The end; a later one replaces an unknown outcome. */
void record_finish(
    struct records *rs, uint64_t handle, const struct record_end *end);
/* Waits until there are more than seen pieces, an end, or the time is up. */
void record_wait(
    struct record *r, size_t seen, usec_t most, struct record_view *out);
/* Piece i (from 0) appended to out. */
void record_get_chunk(struct record *r, size_t i, struct buf *out);
/* What was decided for the request so far known, as a JSON array. */
void record_trace(struct record *r, struct buf *out);
/* A reader came or went; the last to go at a time is returned as true. */
void record_attach(struct record *r);
bool record_detach(struct record *r);
void record_unref(struct record *r);
/* Forgets what has been kept long enough. */
void records_sweep(struct records *rs, usec_t now);
size_t records_bytes(struct records *rs);
void records_free(struct records *rs);

#endif
