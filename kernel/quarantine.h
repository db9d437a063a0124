/*
 * Quarantined sets of the parts of requests (kernel/part_set.h): a request that
 * has all parts of one is rejected, as it would crash the target that it is
 * sent to.
 *
 * Load pattern: a set is found by one host and must stop requests at all, also
 * at hosts that start later, that don't reach some of the others, or that start
 * together after the whole fleet was lost.  So each set is an item of the
 * platform's store, hosts also send it to each other, and the higher version of
 * an item replaces the lower.  Of two sets with one version, the parts that
 * both have remain.  A set ends after a while, as targets may have
 * been repaired; if it crashes a target again soon after, it is quarantined at
 * once, for twice as long.  One whose end is further away than its length, as
 * another writer may invent, is not in force until then.
 *
 * An item's value is text: version, end (Unix time in milliseconds), length in
 * milliseconds, and the parts as 16 hexadecimal digits each, separated by
 * commas; the four are separated by tabs.  Without parts the quarantine has
 * been lifted.
 *
 * A struct quarantine belongs to one thread.  Wall-clock times are in
 * milliseconds, others in microseconds.
 */
#ifndef KERNEL_QUARANTINE_H
#define KERNEL_QUARANTINE_H

#include "base/clock.h"
#include "base/str.h"
#include "kernel/part_set.h"

#include <glib.h>

#define QUARANTINE_MAX        64
/* First length, and that of parts which targets answered before. */
#define QUARANTINE_FIRST_MS   ((int64_t)600 * 1000)
#define QUARANTINE_KNOWN_MS   ((int64_t)10 * 1000)
#define QUARANTINE_LONGEST_MS ((int64_t)4 * 3600 * 1000)
#define QUARANTINE_MAX_BYTES  700 /* of an item's value */
#define QUARANTINE_ID_BYTES   17

struct quarantine_entry {
	char id[QUARANTINE_ID_BYTES]; /* 16 hexadecimal digits */
	uint64_t version;
	struct part_set parts; /* empty: lifted */
	int64_t until_ms;
	int64_t length_ms;
	bool stored;       /* the store is known to have this version */
	usec_t changed_at; /* on this host */
	usec_t sent_at;    /* to the other hosts and the store; 0: not yet */
	usec_t send_pause; /* until it is sent again */
};

struct quarantine {
	GArray *entries; /* struct quarantine_entry */
};

enum quarantine_result {
	QUARANTINE_UNCHANGED,
	QUARANTINE_CHANGED,
	QUARANTINE_MALFORMED
};

void quarantine_init(struct quarantine *q);
/* Returns a copy, for another thread. */
struct quarantine quarantine_copy(const struct quarantine *q);
/* Returns the entry that a request with these parts is rejected for, or NULL.
 */
const struct quarantine_entry *quarantine_match(
    const struct quarantine *q, const struct part_set *parts, int64_t now_ms);
/*
 * Returns the entry that ended lately and whose parts these include, or NULL:
 * one more crash is enough to quarantine it again.
 */
const struct quarantine_entry *quarantine_match_ended(
    const struct quarantine *q, const struct part_set *parts, int64_t now_ms);
/*
 * Quarantines a set, for first_ms or, if it has been lately, for longer than
 * then.
 */
const struct quarantine_entry *quarantine_begin(struct quarantine *q,
    const struct part_set *parts, int64_t first_ms, int64_t now_ms, usec_t now);
/*
 * Targets have answered a request with these parts: lifts the entries that it
 * has all parts of, and takes the parts out of the others.  Returns whether
 * there were any.
 */
bool quarantine_answered(
    struct quarantine *q, const struct part_set *parts, usec_t now);

/* Takes an item of the store, or of another host. */
enum quarantine_result quarantine_read(struct quarantine *q, struct str id,
    struct str value, bool from_store, usec_t now);
/* Returns the entry with an id, or NULL. */
const struct quarantine_entry *quarantine_find(
    const struct quarantine *q, struct str id);
/* The item was deleted in the store. */
bool quarantine_delete(struct quarantine *q, struct str id);
/* The store answers again: what it doesn't have is due to be sent. */
void quarantine_store_back(struct quarantine *q, usec_t now);
/* A full listing of the store begins, which names the items that it has. */
void quarantine_list_begin(struct quarantine *q, usec_t now);
void quarantine_write(const struct quarantine_entry *e, struct buf *out);
/*
 * Returns the next entry that is due to be sent to the other hosts and the
 * store, and notes that it is sent; NULL if none is.  The hosts that may send
 * have a rank, so that usually only the first does.
 */
const struct quarantine_entry *quarantine_next_due(
    struct quarantine *q, uint32_t rank, usec_t now);
/* Whether an entry has not been sent yet, nor come from elsewhere. */
bool quarantine_has_unsent(const struct quarantine *q);
/* Returns the next entry that nothing needs any more, or NULL. */
const struct quarantine_entry *quarantine_next_ended(
    const struct quarantine *q, int64_t now_ms);
void quarantine_free(struct quarantine *q);

#endif
