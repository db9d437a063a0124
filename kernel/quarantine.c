#include "kernel/quarantine.h"
#include "base/hash.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ID_SEED        17
/* A host of a lower rank sends what none before it has sent by then. */
#define RANK_DELAY     (500 * USEC_PER_MSEC)
/* First and longest pause until an entry that isn't stored is sent again. */
#define SEND_PAUSE_MIN (1 * USEC_PER_SEC)
#define SEND_PAUSE_MAX (30 * USEC_PER_SEC)
#define HEX_DIGITS     16
/* The clocks of two hosts differ by less. */
#define MAX_SKEW_MS    ((int64_t)600 * 1000)
/* In microseconds, and with the longest length added, it fits into 64 bits. */
#define MAX_TIME_MS    (INT64_MAX / USEC_PER_MSEC - QUARANTINE_LONGEST_MS)

void
quarantine_init(struct quarantine *q)
{
	q->entries = g_array_new(FALSE, TRUE, sizeof(struct quarantine_entry));
}

struct quarantine
quarantine_copy(const struct quarantine *q)
{
	struct quarantine out;

	quarantine_init(&out);
	if (q->entries != NULL && q->entries->len > 0)
		g_array_append_vals(
		    out.entries, q->entries->data, q->entries->len);
	return out;
}

static struct quarantine_entry *
entry_at(const struct quarantine *q, guint i)
{
	return &g_array_index(q->entries, struct quarantine_entry, i);
}

static bool
is_in_force(const struct quarantine_entry *e, int64_t now_ms)
{
	return e->parts.n > 0 && now_ms < e->until_ms &&
	    e->until_ms - now_ms <= e->length_ms + MAX_SKEW_MS;
}

/* Whether an entry has ended so lately that one crash renews it. */
static bool
has_ended_lately(const struct quarantine_entry *e, int64_t now_ms)
{
	return e->parts.n > 0 && now_ms >= e->until_ms &&
	    now_ms < e->until_ms + e->length_ms;
}

const struct quarantine_entry *
quarantine_match(
    const struct quarantine *q, const struct part_set *parts, int64_t now_ms)
{
	for (guint i = 0; parts->n > 0 && i < q->entries->len; i++) {
		const struct quarantine_entry *e = entry_at(q, i);

		if (is_in_force(e, now_ms) &&
		    part_set_includes(parts, &e->parts))
			return e;
	}
	return NULL;
}

const struct quarantine_entry *
quarantine_match_ended(
    const struct quarantine *q, const struct part_set *parts, int64_t now_ms)
{
	for (guint i = 0; i < q->entries->len; i++) {
		const struct quarantine_entry *e = entry_at(q, i);

		if (has_ended_lately(e, now_ms) &&
		    part_set_includes(parts, &e->parts))
			return e;
	}
	return NULL;
}

static void
make_id(const struct part_set *parts, char out[QUARANTINE_ID_BYTES])
{
	struct str bytes = { (const char *)parts->v,
		parts->n * sizeof(parts->v[0]) };

	snprintf(
	    out, QUARANTINE_ID_BYTES, "%016" PRIx64, hash_u64(bytes, ID_SEED));
}

static struct quarantine_entry *
find_entry(const struct quarantine *q, struct str id)
{
	for (guint i = 0; i < q->entries->len; i++) {
		struct quarantine_entry *e = entry_at(q, i);

		if (str_eq(str_from(e->id), id))
			return e;
	}
	return NULL;
}

const struct quarantine_entry *
quarantine_find(const struct quarantine *q, struct str id)
{
	return find_entry(q, id);
}

/* Adds an entry; without room the one that ends first gives way. */
static struct quarantine_entry *
add_entry(struct quarantine *q, struct str id)
{
	struct quarantine_entry e = { 0 };
	guint first = 0;

	if (q->entries->len >= QUARANTINE_MAX) {
		for (guint i = 1; i < q->entries->len; i++) {
			if (entry_at(q, i)->until_ms <
			    entry_at(q, first)->until_ms)
				first = i;
		}
		g_array_remove_index(q->entries, first);
	}
	memcpy(e.id, id.p, id.n);
	g_array_append_val(q->entries, e);
	return entry_at(q, q->entries->len - 1);
}

static void
note_change(struct quarantine_entry *e, usec_t now)
{
	e->version++;
	e->stored = false;
	e->changed_at = now;
	e->sent_at = 0;
	e->send_pause = SEND_PAUSE_MIN;
}

const struct quarantine_entry *
quarantine_begin(struct quarantine *q, const struct part_set *parts,
    int64_t first_ms, int64_t now_ms, usec_t now)
{
	char id[QUARANTINE_ID_BYTES];
	struct quarantine_entry *e;

	make_id(parts, id);
	e = find_entry(q, str_from(id));
	if (e == NULL)
		e = add_entry(q, str_from(id));
	if (is_in_force(e, now_ms) && part_set_equal(&e->parts, parts))
		return e;
	e->length_ms =
	    has_ended_lately(e, now_ms) ? 2 * e->length_ms : first_ms;
	if (e->length_ms > QUARANTINE_LONGEST_MS)
		e->length_ms = QUARANTINE_LONGEST_MS;
	e->until_ms = now_ms + e->length_ms;
	e->parts = *parts;
	note_change(e, now);
	return e;
}

bool
quarantine_answered(
    struct quarantine *q, const struct part_set *parts, usec_t now)
{
	bool changed = false;

	for (guint i = 0; i < q->entries->len; i++) {
		struct quarantine_entry *e = entry_at(q, i);

		if (e->parts.n == 0 || !part_set_subtract(&e->parts, parts))
			continue;
		note_change(e, now);
		changed = true;
	}
	return changed;
}

static bool
next_number(struct str *line, uint64_t *out)
{
	struct str field;

	return str_cut(line, '\t', &field) && str_parse_u64(field, out) &&
	    *out <= INT64_MAX;
}

static bool
read_part(struct str s, uint64_t *out)
{
	*out = 0;
	for (size_t i = 0; i < s.n; i++) {
		int digit = g_ascii_xdigit_value(s.p[i]);

		if (digit < 0)
			return false;
		*out = *out << 4 | (uint64_t)digit;
	}
	return s.n == HEX_DIGITS;
}

static bool
read_value(struct str value, struct quarantine_entry *e)
{
	uint64_t until;
	uint64_t length;
	struct str part;

	if (!next_number(&value, &e->version) || !next_number(&value, &until) ||
	    !next_number(&value, &length) || length > QUARANTINE_LONGEST_MS ||
	    e->version == INT64_MAX || until > MAX_TIME_MS)
		return false;
	e->until_ms = (int64_t)until;
	e->length_ms = (int64_t)length;
	while (value.n > 0 && str_cut(&value, ',', &part)) {
		uint64_t hash;

		if (e->parts.n == PART_SET_MAX || !read_part(part, &hash))
			return false;
		part_set_add(&e->parts, hash);
	}
	return true;
}

enum quarantine_result
quarantine_read(struct quarantine *q, struct str id, struct str value,
    bool from_store, usec_t now)
{
	struct quarantine_entry x = { 0 };
	struct quarantine_entry *e;
	uint64_t unused;

	e = find_entry(q, id);
	if (!read_part(id, &unused) || !read_value(value, &x)) {
		if (e != NULL && from_store) {
			/* Another writer has replaced it. */
			e->stored = false;
			e->sent_at = now;
			e->send_pause = SEND_PAUSE_MIN;
		}
		return QUARANTINE_MALFORMED;
	}
	if (e == NULL)
		e = add_entry(q, id);
	if (e->version > x.version) {
		/* A write of before may be carried out late. */
		if (from_store) {
			e->stored = false;
			e->sent_at = now;
			e->send_pause = SEND_PAUSE_MIN;
		}
		return QUARANTINE_UNCHANGED;
	}
	if (e->version == x.version) {
		e->stored = e->stored || from_store;
		e->sent_at = now;
		if (part_set_equal(&e->parts, &x.parts))
			return QUARANTINE_UNCHANGED;
		part_set_intersect(&e->parts, &x.parts);
		note_change(e, now);
		return QUARANTINE_CHANGED;
	}
	memcpy(x.id, e->id, sizeof(x.id));
	x.stored = from_store;
	x.changed_at = now;
	x.sent_at = now;
	x.send_pause = SEND_PAUSE_MIN;
	*e = x;
	return QUARANTINE_CHANGED;
}

bool
quarantine_delete(struct quarantine *q, struct str id)
{
	for (guint i = 0; i < q->entries->len; i++) {
		if (str_eq(str_from(entry_at(q, i)->id), id)) {
			g_array_remove_index(q->entries, i);
			return true;
		}
	}
	return false;
}

void
quarantine_store_back(struct quarantine *q, usec_t now)
{
	for (guint i = 0; i < q->entries->len; i++) {
		struct quarantine_entry *e = entry_at(q, i);

		e->sent_at = now;
		e->send_pause = SEND_PAUSE_MIN;
	}
}

void
quarantine_list_begin(struct quarantine *q, usec_t now)
{
	for (guint i = 0; i < q->entries->len; i++)
		entry_at(q, i)->stored = false;
	quarantine_store_back(q, now);
}

void
quarantine_write(const struct quarantine_entry *e, struct buf *out)
{
	buf_printf(out, "%" PRIu64 "\t%" PRId64 "\t%" PRId64 "\t", e->version,
	    e->until_ms, e->length_ms);
	for (size_t i = 0; i < e->parts.n; i++)
		buf_printf(
		    out, "%s%016" PRIx64, i > 0 ? "," : "", e->parts.v[i]);
}

const struct quarantine_entry *
quarantine_next_due(struct quarantine *q, uint32_t rank, usec_t now)
{
	for (guint i = 0; i < q->entries->len; i++) {
		struct quarantine_entry *e = entry_at(q, i);
		usec_t due = (e->sent_at == 0 ? e->changed_at
					      : e->sent_at + e->send_pause) +
		    rank * RANK_DELAY;

		if (e->stored || now < due)
			continue;
		if (e->sent_at != 0 && e->send_pause < SEND_PAUSE_MAX)
			e->send_pause *= 2;
		e->sent_at = now;
		return e;
	}
	return NULL;
}

bool
quarantine_has_unsent(const struct quarantine *q)
{
	for (guint i = 0; i < q->entries->len; i++) {
		const struct quarantine_entry *e = entry_at(q, i);

		if (!e->stored && e->sent_at == 0)
			return true;
	}
	return false;
}

const struct quarantine_entry *
quarantine_next_ended(const struct quarantine *q, int64_t now_ms)
{
	for (guint i = 0; i < q->entries->len; i++) {
		const struct quarantine_entry *e = entry_at(q, i);

		if (now_ms >= e->until_ms + e->length_ms)
			return e;
	}
	return NULL;
}

void
quarantine_free(struct quarantine *q)
{
	if (q->entries != NULL)
		g_array_unref(q->entries);
	q->entries = NULL;
}
