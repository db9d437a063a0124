/*
 * The software versions of the targets that began streams.  What two versions
 * write doesn't fit together, so a stream may be resumed only at a target of
 * the version that began it.
 *
 * Load pattern: the targets of a service are replaced by those of another
 * version, one by one, while targets crash and hosts are killed.  Streams
 * break, and their callers resume them at any host.  So while a service has
 * several versions, the host that begins a stream tells its version to a few
 * others, and the host where it is resumed asks.  While a service has had one
 * version for as long as a stream may last, nothing is told.
 *
 * A host that is cut off, or whose process stood still, lists one version
 * although others have joined.  So a list counts only if it was confirmed
 * lately, and not alone: all hosts that are asked have to agree, or the store
 * is read.
 *
 * Times are in microseconds.  A struct stream_versions belongs to one thread.
 */
#ifndef KERNEL_STREAM_VERSIONS_H
#define KERNEL_STREAM_VERSIONS_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

/* Hosts that are told of a stream, and hosts that are asked about one. */
#define STREAM_HOLDERS       2
#define STREAM_ASKED         16
#define STREAM_VERSION_BYTES 64
/*
 * A stream that goes on is told and recorded again after this time, a third of
 * that for which hosts and store remember it.
 */
#define STREAM_RENEW_TIME    (20 * USEC_PER_SEC)
/* Hosts that reply do so within this time. */
#define STREAM_REPLY_TIME    (100 * USEC_PER_MSEC)
/* Longer than a poll of a store that answers, and the pause after it. */
#define STREAM_CONFIRM_TIME  (2 * USEC_PER_SEC)

struct stream_version {
	char *id; /* of the attempt that began the stream */
	char service[64];
	char version[STREAM_VERSION_BYTES];
	usec_t at;
	bool is_told; /* to other hosts */
};

struct stream_versions {
	GHashTable *own;    /* id -> struct stream_version: begun here */
	GHashTable *others; /* the same, begun at other hosts */
	/* name -> GHashTable: version -> struct listed_version */
	GHashTable *services;
	/* service -> base version (kernel/stream_records.h); or NULL */
	GHashTable *bases;
	/* service -> struct stream_gap (kernel/stream_records.h); or NULL */
	GHashTable *gaps;
	bool store_unavailable; /* to this host */
	usec_t confirmed_at;    /* no version was missing in the list then */
	usec_t started_at;
};

void stream_versions_init(struct stream_versions *s, usec_t now);
/*
 * Notes the versions of the targets (struct target_entry), and whether the
 * store answers this host.
 */
void stream_versions_list(struct stream_versions *s, const GArray *targets,
    bool store_unavailable, usec_t now);
/* The store has confirmed that the list had no change before this time. */
void stream_versions_confirm(struct stream_versions *s, usec_t at);
/* Whether the list can be relied on to have all versions. */
bool stream_versions_confirmed(const struct stream_versions *s, usec_t now);
/* Sets the base versions of the services; keeps a reference. */
void stream_versions_set_bases(struct stream_versions *s, GHashTable *bases);
/* Sets the services whose streams may have no record; keeps a reference. */
void stream_versions_set_gaps(struct stream_versions *s, GHashTable *gaps);
/* Returns the base version of a service, or NULL. */
const char *stream_versions_base(
    const struct stream_versions *s, const char *service);
/*
 * Whether the base version is known and has enough of the targets that take new
 * calls to begin all streams.
 */
bool stream_versions_base_serves(
    const struct stream_versions *s, const char *service);
/*
 * Returns the version of a stream without a record, or NULL if it isn't known:
 * the base version, unless others may have begun streams without recording them
 * because it has too few targets.
 */
const char *stream_versions_unrecorded(
    const struct stream_versions *s, const char *service);
/* Whether a stream that this version begins must be recorded in the store. */
bool stream_versions_records(const struct stream_versions *s,
    const char *service, const char *version, usec_t now);
/*
 * Whether the service has had targets of several versions lately, its base
 * version included.
 */
bool stream_versions_mixed(
    const struct stream_versions *s, const char *service, usec_t now);
/* A stream has begun, here or, as another host tells, there. */
void stream_versions_begin(struct stream_versions *s, struct str id,
    const char *service, const char *version, bool own, usec_t now);
/* A stream that began here is complete. */
void stream_versions_end(struct stream_versions *s, struct str id);
/*
 * Returns a stream of which others are to be told, and notes that they are;
 * NULL if there is none.
 */
const struct stream_version *stream_versions_next_due(
    struct stream_versions *s, usec_t now);
/*
 * Returns the streams that began here, aren't complete and have to be recorded
 * (struct stream_version); they belong to s.
 */
GPtrArray *stream_versions_to_record(
    const struct stream_versions *s, usec_t now);
/* Returns NULL if the stream is not known, or the id is empty. */
const struct stream_version *stream_versions_find(
    const struct stream_versions *s, struct str id);
/* Forgets what is too old; call it regularly. */
void stream_versions_expire(struct stream_versions *s, usec_t now);
void stream_versions_free(struct stream_versions *s);

/* Where a stream may be resumed. */
enum resume_place {
	RESUME_ANYWHERE,
	RESUME_AT_VERSION,
	RESUME_NOWHERE, /* nobody knows its version */
	RESUME_ASK,     /* not known yet: wait for the other hosts' replies */
	/* Anywhere if the store has neither a record nor a base version. */
	RESUME_LOOK_UP
};

/* What is known of a stream that a caller resumes. */
struct resume_query {
	char version[STREAM_VERSION_BYTES]; /* once it is found */
	bool found;
	bool is_unnamed; /* it can't be looked up */
	/* A host that was asked knows several versions, or may not know all. */
	bool mixed;
	size_t n_asked;
	size_t n_replied;
};

/* Decides before other hosts are asked. */
enum resume_place stream_versions_resume(
    const struct stream_versions *s, struct str id, struct resume_query *out);
/* Decides with the replies so far; timed_out: no more are waited for. */
enum resume_place stream_versions_decide(const struct stream_versions *s,
    const struct resume_query *q, const char *service, bool timed_out,
    usec_t now);

#endif
