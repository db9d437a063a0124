/*
 * What the store holds of the software versions that began streams, so that it
 * outlives all hosts at once.
 *
 * Load pattern: all hosts are killed while a service has several versions, or
 * just after the old one has left.  Callers resume their streams at hosts that
 * know nothing.  A version is needed for each stream, but a write for each
 * would exceed what the store takes.  So each service has a base version, which
 * is kept in the store and changes only once no stream of it can be left, and
 * only streams of other versions are recorded.  One host, the recorder, writes
 * the records of all hosts, several in one item; a stream's first events wait
 * for that.  While records are late, streams begin at the base version.  There
 * is an item for each second, and each is written over after twice
 * STREAM_RECORD_SLOTS: records expire without being deleted.  A recorder that
 * has restarted goes on after the last second that it wrote before, as the
 * records of that are still needed.  After a restore of the store the recorder
 * writes again what it wrote lately.
 *
 * The items are text.  That of a second has the lines
 *
 *   1 SECOND            the version of the format, and the Unix time
 *   SERVICE VERSION HASH HASH ...
 *   full                records are missing
 *   SERVICE  SECOND BASE
 *                       of this service, they may be missing since, for streams
 *                       that began beside this base version: a gap
 *
 * and that of the base versions has the lines SERVICE VERSION, with "#changes"
 * and a number that grows with each change as one of them.  A store that is
 * restored from a copy has the item of before: hosts keep the one with the
 * higher number, and write it again.
 *
 * Times are in microseconds; wall clock times are Unix times.
 */
#ifndef KERNEL_STREAM_RECORDS_H
#define KERNEL_STREAM_RECORDS_H

#include "base/clock.h"
#include "base/str.h"
#include "kernel/stream_versions.h"

/* Longer than a stream and the pause until its caller resumes it, in s. */
#define STREAM_RECORD_SLOTS 64
/* Records of one second; further ones are dropped, and the item says so. */
#define STREAM_RECORDS_MAX  1000
/*
 * A gap counts for so long, in s: for the time in which hosts rely on it, and
 * until the streams that begin by then are forgotten.
 */
#define STREAM_GAP_TIME     (2 * STREAM_RECORD_SLOTS)
/* A gap is written again after this time, in s. */
#define STREAM_GAP_RENEW    20
/* Shortest time between two writes of the recorder. */
#define STREAM_RECORD_PAUSE (60 * USEC_PER_MSEC)
/* A record that takes longer is late. */
#define STREAM_RECORD_WAIT  (90 * USEC_PER_MSEC)
/* In a new fleet, a version that is alone for so long becomes the base. */
#define STREAM_BASE_TIME    (2 * USEC_PER_SEC)

/* Hash of a stream's id in the records. */
uint64_t stream_record_hash(struct str id);

/* The records of one second, as the recorder writes them. */
struct stream_records {
	int64_t second;     /* 0: none yet */
	GHashTable *groups; /* "SERVICE VERSION" -> GArray of uint64_t */
	size_t n;
	bool full;
};

void stream_records_init(struct stream_records *r);
/* Adds a record at a second; records of an earlier second are dropped. */
void stream_records_add(struct stream_records *r, int64_t second,
    const char *service, const char *version, uint64_t hash);
/* Writes the item's value. */
void stream_records_write(const struct stream_records *r, struct buf *out);
void stream_records_free(struct stream_records *r);

/*
 * What the recorder wrote lately, as a store that is restored from a copy has
 * lost the newest of it: an item for each second.
 */
struct stream_record_log {
	struct stream_record_item {
		int64_t second; /* 0: none */
		struct buf value;
		bool lost; /* may not be in the store */
	} items[STREAM_RECORD_SLOTS];
};

/* Notes the newest value of a second, which is being written. */
void stream_record_log_note(
    struct stream_record_log *l, int64_t second, struct str value);
/* The store was restored: all items may be missing there. */
void stream_record_log_lost(struct stream_record_log *l);
/*
 * Returns the newest item that may be missing and still counts, or NULL.  It is
 * noted as lost no longer.
 */
const struct stream_record_item *stream_record_log_next(
    struct stream_record_log *l, int64_t now);
/* The item of this second has not been written. */
void stream_record_log_failed(struct stream_record_log *l, int64_t second);
void stream_record_log_free(struct stream_record_log *l);

/* What the items say of one stream. */
struct stream_record_search {
	const char *service;
	const char *base; /* version of the service, or NULL */
	uint64_t hash;
	int64_t now; /* in seconds */
	bool found;
	char version[STREAM_VERSION_BYTES];
	bool incomplete; /* records are missing, or an item is malformed */
};

/* Returns the second of an item's value; 0: it is malformed. */
int64_t stream_record_second(struct str value);
/*
 * Whether no host writes such a value: it is malformed, or of a time that has
 * yet to come.  One in a format of another build is not.
 */
bool stream_record_is_odd(struct str value, int64_t now);
/*
 * Writes the value that takes the place of an odd one: records of this second
 * may be missing.
 */
void stream_record_write_lost(int64_t now, struct buf *out);
/* Looks into an item's value. */
void stream_record_look(struct stream_record_search *s, struct str value);
/* Sorts searches for stream_record_look_all(). */
void stream_record_sort(struct stream_record_search **v, size_t n);
/* Looks into an item's value for many searches at once. */
void stream_record_look_all(
    struct stream_record_search *const *v, size_t n, struct str value);

/*
 * The services whose streams may go on without a record, as their base version
 * has too few targets to begin all.  They are in the store before a host relies
 * on that: after the loss of all hosts, the base version may be back by the
 * time at which a stream is looked up.
 */
struct stream_gap {
	int64_t second; /* the newest one */
	/*
	 * The base version then; empty: none.  Once another is the base,
	 * streams without a record are of that: the one before had no targets
	 * left.
	 */
	char base[STREAM_VERSION_BYTES];
};

struct stream_gaps {
	GHashTable *by_service; /* name -> struct stream_gap */
	int64_t second;         /* of the item that was read */
};

void stream_gaps_init(struct stream_gaps *g);
/*
 * Reads the store's item; returns false if it is older than the one before, as
 * that of a store that is restored from a copy, and isn't taken.
 */
bool stream_gaps_read(struct stream_gaps *g, struct str value);
/*
 * Notes the gaps of this time, by the listed targets and the base versions, and
 * forgets old ones; returns whether the item has to be written.
 */
bool stream_gaps_update(struct stream_gaps *g,
    const struct stream_versions *versions, usec_t now, int64_t second);
/* Writes the item's value. */
void stream_gaps_write(
    const struct stream_gaps *g, int64_t second, struct buf *out);
/*
 * Whether a stream of the service may go on without a record; base: version of
 * the service, or NULL.
 */
bool stream_gaps_allow(
    GHashTable *gaps, const char *service, const char *base, int64_t second);
void stream_gaps_free(struct stream_gaps *g);

/* The base versions of the services. */
struct stream_bases {
	GHashTable *by_service; /* name -> version; strings */
	uint64_t changes;       /* of this or other hosts */
	/* name -> struct listed_alone, of services with one version */
	GHashTable *alone;
	/* "SERVICE VERSION" -> usec_t: when it was listed last */
	GHashTable *listed;
	bool known; /* the store's item, or its absence, has been read */
	/*
	 * No host has been here before, so that no stream can be of a version
	 * that was not listed.
	 */
	bool new_fleet;
};

void stream_bases_init(struct stream_bases *b);
enum stream_bases_result {
	STREAM_BASES_TAKEN,
	/* The bases stay as they are: */
	STREAM_BASES_OLDER,
	STREAM_BASES_MALFORMED /* or empty, although there are bases */
};

/* Reads the store's item. */
enum stream_bases_result stream_bases_read(
    struct stream_bases *b, struct str value);
/* Returns NULL if the service has none. */
const char *stream_bases_find(
    const struct stream_bases *b, const char *service);
/*
 * Notes the targets (struct target_entry) that are listed now; call it at least
 * once a second.
 */
void stream_bases_list(
    struct stream_bases *b, const GArray *targets, usec_t now);
/* Changes the bases that are due; returns whether any has changed. */
bool stream_bases_change(struct stream_bases *b, usec_t now);
/* Writes the item's value. */
void stream_bases_write(const struct stream_bases *b, struct buf *out);
void stream_bases_free(struct stream_bases *b);

/*
 * Whether the item has to be written; a zeroed one is valid.  The store may
 * have taken another value after a write that is in flight, so only what was
 * known at its begin counts as written by it.
 */
struct stream_bases_writer {
	bool due;
	bool in_flight;
	bool again; /* the store has another value since the write's begin */
};
/*
 * The store has another value than this host, or the bases have changed.
 * Returns whether this makes a write due.
 */
bool stream_bases_differ(struct stream_bases_writer *w);
/* The bases have been read from the store. */
void stream_bases_taken(struct stream_bases_writer *w);
void stream_bases_written(struct stream_bases_writer *w, bool ok);

/*
 * Where a stream goes on that no host knows, by what the store says of it.
 * readable: the store has answered.  place: what the hosts alone would decide,
 * RESUME_NOWHERE or RESUME_LOOK_UP.
 */
enum resume_place stream_record_decide(const struct stream_record_search *s,
    bool readable, const char *base, enum resume_place place,
    char version[STREAM_VERSION_BYTES]);

#endif
