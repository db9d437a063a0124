#include "kernel/stream_records.h"
#include "base/hash.h"
#include "kernel/roster.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define HASH_SEED      37
#define HASH_DIGITS    16
#define FORMAT         "1"
#define FULL_LINE      "full"
/* In the item of the base versions, in place of a service's name. */
#define CHANGES_NAME   "#changes"
#define MAX_CHANGES    ((uint64_t)INT64_MAX)
/* Later seconds can't be told in microseconds. */
#define MAX_SECOND     (INT64_MAX / USEC_PER_SEC)
/* The clocks of two hosts differ by less, in s. */
#define MAX_AHEAD      3600
/*
 * A base is replaced once no target of it has been listed for this time: longer
 * than a stream and the pause until its caller resumes it.
 */
#define BASE_KEEP_TIME (60 * USEC_PER_SEC)

uint64_t
stream_record_hash(struct str id)
{
	return hash_u64(id, HASH_SEED);
}

static void
unref_hashes(gpointer p)
{
	g_array_unref(p);
}

void
stream_records_init(struct stream_records *r)
{
	*r = (struct stream_records){ 0 };
	r->groups = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, unref_hashes);
}

void
stream_records_add(struct stream_records *r, int64_t second,
    const char *service, const char *version, uint64_t hash)
{
	g_autofree char *name = NULL;
	GArray *hashes;

	if (second > r->second) {
		g_hash_table_remove_all(r->groups);
		r->second = second;
		r->n = 0;
		r->full = false;
	}
	if (r->n >= STREAM_RECORDS_MAX) {
		r->full = true;
		return;
	}
	name = g_strconcat(service, " ", version, NULL);
	hashes = g_hash_table_lookup(r->groups, name);
	if (hashes == NULL) {
		hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_insert(r->groups, g_strdup(name), hashes);
	}
	g_array_append_val(hashes, hash);
	r->n++;
}

void
stream_records_write(const struct stream_records *r, struct buf *out)
{
	GHashTableIter it;
	gpointer name;
	gpointer v;

	buf_printf(out, FORMAT " %" PRId64 "\n", r->second);
	g_hash_table_iter_init(&it, r->groups);
	while (g_hash_table_iter_next(&it, &name, &v)) {
		const GArray *hashes = v;

		buf_put(out, str_from(name));
		for (guint i = 0; i < hashes->len; i++)
			buf_printf(out, " %016" PRIx64,
			    g_array_index(hashes, uint64_t, i));
		buf_putc(out, '\n');
	}
	if (r->full)
		buf_put(out, STR(FULL_LINE "\n"));
}

void
stream_records_free(struct stream_records *r)
{
	g_hash_table_destroy(r->groups);
}

void
stream_record_log_note(
    struct stream_record_log *l, int64_t second, struct str value)
{
	struct stream_record_item *x = &l->items[second % STREAM_RECORD_SLOTS];

	x->second = second;
	x->lost = false;
	buf_clear(&x->value);
	buf_put(&x->value, value);
}

void
stream_record_log_lost(struct stream_record_log *l)
{
	for (size_t i = 0; i < STREAM_RECORD_SLOTS; i++)
		l->items[i].lost = l->items[i].second != 0;
}

const struct stream_record_item *
stream_record_log_next(struct stream_record_log *l, int64_t now)
{
	struct stream_record_item *newest = NULL;

	for (size_t i = 0; i < STREAM_RECORD_SLOTS; i++) {
		struct stream_record_item *x = &l->items[i];

		if (x->lost && x->second >= now - STREAM_RECORD_SLOTS &&
		    (newest == NULL || x->second > newest->second))
			newest = x;
	}
	if (newest != NULL)
		newest->lost = false;
	return newest;
}

void
stream_record_log_failed(struct stream_record_log *l, int64_t second)
{
	struct stream_record_item *x = &l->items[second % STREAM_RECORD_SLOTS];

	x->lost = x->lost || x->second == second;
}

void
stream_record_log_free(struct stream_record_log *l)
{
	for (size_t i = 0; i < STREAM_RECORD_SLOTS; i++)
		buf_free(&l->items[i].value);
}

/* Reads service and version of a line; the hashes are left. */
static bool
read_names(struct str *line, struct str *service, struct str *version)
{
	return str_cut(line, ' ', service) && str_cut(line, ' ', version) &&
	    version->n < STREAM_VERSION_BYTES;
}

/* Whether a line, whose names have been read, is that of a gap. */
static bool
read_gap(struct str version, struct str rest, struct stream_gap *out)
{
	struct str part;
	uint64_t second;

	if (version.n != 0 || !str_cut(&rest, ' ', &part) ||
	    !str_parse_u64(part, &second) || second > MAX_SECOND ||
	    rest.n >= sizeof(out->base))
		return false;
	*out = (struct stream_gap){ .second = (int64_t)second };
	if (rest.n > 0)
		memcpy(out->base, rest.p, rest.n);
	return true;
}

/* Whether it tells of streams that began beside this base version. */
static bool
gap_is_of(const struct stream_gap *g, const char *base)
{
	return strcmp(g->base, base != NULL ? base : "") == 0;
}

/* Whether records of an item's second don't count any more. */
static bool
is_expired(const struct stream_record_search *s, int64_t second)
{
	return second < s->now - STREAM_RECORD_SLOTS;
}

/* Records of an item of this second are missing. */
static void
miss_records(struct stream_record_search *const *v, size_t n, int64_t second)
{
	for (size_t i = 0; i < n; i++) {
		if (!is_expired(v[i], second))
			v[i]->incomplete = true;
	}
}

static void
look_at_gap(struct stream_record_search *s, const struct stream_gap *gap,
    int64_t second)
{
	/* Of an item that counts. */
	if (second >= s->now - STREAM_GAP_TIME &&
	    gap->second >= s->now - STREAM_GAP_TIME && gap_is_of(gap, s->base))
		s->incomplete = true;
}

static bool
read_hash(struct str text, uint64_t *out)
{
	*out = 0;
	for (size_t i = 0; i < text.n; i++) {
		int digit = g_ascii_xdigit_value(text.p[i]);

		if (digit < 0 || g_ascii_isupper(text.p[i]))
			return false;
		*out = *out << 4 | (uint64_t)digit;
	}
	return text.n == HASH_DIGITS;
}

/* Returns the index of the first search whose hash isn't smaller. */
static size_t
find_hash(struct stream_record_search *const *v, size_t n, uint64_t hash)
{
	size_t from = 0;

	while (from < n) {
		size_t middle = from + (n - from) / 2;

		if (v[middle]->hash < hash)
			from = middle + 1;
		else
			n = middle;
	}
	return from;
}

/* Looks into the line of a service and version, of an item of this second. */
static void
look_at_line(struct stream_record_search *const *v, size_t n, struct str line,
    int64_t second)
{
	struct stream_gap gap;
	struct str service;
	struct str version;
	struct str part;
	uint64_t hash;

	if (!read_names(&line, &service, &version)) {
		miss_records(v, n, second);
		return;
	}
	if (read_gap(version, line, &gap)) {
		for (size_t i = 0; i < n; i++) {
			if (str_eq(service, str_from(v[i]->service)))
				look_at_gap(v[i], &gap, second);
		}
		return;
	}
	while (line.n > 0 && str_cut(&line, ' ', &part)) {
		if (!read_hash(part, &hash))
			continue;
		for (size_t i = find_hash(v, n, hash);
		     i < n && v[i]->hash == hash; i++) {
			struct stream_record_search *s = v[i];

			if (is_expired(s, second) ||
			    !str_eq(service, str_from(s->service)))
				continue;
			s->found = true;
			memcpy(s->version, version.p, version.n);
			s->version[version.n] = '\0';
		}
	}
}

/* Reads the first line; returns 0 if it is malformed. */
static int64_t
read_second(struct str *value)
{
	struct str line;
	struct str format;
	uint64_t second;

	if (!str_cut(value, '\n', &line) || !str_cut(&line, ' ', &format) ||
	    !str_eq(format, STR(FORMAT)) || !str_parse_u64(line, &second) ||
	    second > MAX_SECOND)
		return 0;
	return (int64_t)second;
}

int64_t
stream_record_second(struct str value)
{
	return read_second(&value);
}

bool
stream_record_is_odd(struct str value, int64_t now)
{
	struct str rest = value;
	struct str line;
	struct str format;
	struct str version;
	uint64_t n;
	int64_t second = read_second(&value);

	if (second == 0)
		return !str_cut(&rest, ' ', &format) || rest.p == NULL ||
		    !str_parse_u64(format, &n) || str_eq(format, STR(FORMAT));
	if (second > now + MAX_AHEAD)
		return true;
	while (value.n > 0 && str_cut(&value, '\n', &line)) {
		if (!str_eq(line, STR(FULL_LINE)) &&
		    !read_names(&line, &format, &version))
			return true;
	}
	return false;
}

void
stream_record_write_lost(int64_t now, struct buf *out)
{
	buf_printf(out, FORMAT " %" PRId64 "\n" FULL_LINE "\n", now);
}

static int
compare_searches(const void *a, const void *b)
{
	const struct stream_record_search *x =
	    *(const struct stream_record_search *const *)a;
	const struct stream_record_search *y =
	    *(const struct stream_record_search *const *)b;

	return (x->hash > y->hash) - (x->hash < y->hash);
}

void
stream_record_sort(struct stream_record_search **v, size_t n)
{
	if (n > 0)
		qsort(v, n, sizeof(void *), compare_searches);
}

void
stream_record_look_all(
    struct stream_record_search *const *v, size_t n, struct str value)
{
	int64_t second = read_second(&value);
	struct str line;

	if (second == 0) {
		for (size_t i = 0; i < n; i++)
			v[i]->incomplete = true;
		return;
	}
	while (value.n > 0 && str_cut(&value, '\n', &line)) {
		if (str_eq(line, STR(FULL_LINE)))
			miss_records(v, n, second);
		else
			look_at_line(v, n, line, second);
	}
}

void
stream_record_look(struct stream_record_search *s, struct str value)
{
	stream_record_look_all(&s, 1, value);
}

/* Gaps. */

void
stream_gaps_init(struct stream_gaps *g)
{
	g->second = 0;
	g->by_service =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
put_gap(struct stream_gaps *g, struct str service, const struct stream_gap *gap)
{
	g_hash_table_replace(g->by_service, g_strndup(service.p, service.n),
	    g_memdup2(gap, sizeof(*gap)));
}

bool
stream_gaps_read(struct stream_gaps *g, struct str value)
{
	struct str line;
	struct str service;
	struct str version;
	struct stream_gap gap;
	int64_t second = read_second(&value);

	if (second < g->second)
		return false;
	g->second = second;
	g_hash_table_remove_all(g->by_service);
	while (value.n > 0 && str_cut(&value, '\n', &line)) {
		if (read_names(&line, &service, &version) &&
		    read_gap(version, line, &gap))
			put_gap(g, service, &gap);
	}
	return true;
}

bool
stream_gaps_update(struct stream_gaps *g,
    const struct stream_versions *versions, usec_t now, int64_t second)
{
	GHashTableIter it;
	gpointer service;
	gpointer p;
	bool changed = false;

	g_hash_table_iter_init(&it, g->by_service);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (((struct stream_gap *)p)->second < second - STREAM_GAP_TIME)
			g_hash_table_iter_remove(&it);
	}
	g_hash_table_iter_init(&it, versions->services);
	while (g_hash_table_iter_next(&it, &service, NULL)) {
		const char *base = stream_versions_base(versions, service);
		const struct stream_gap *last =
		    g_hash_table_lookup(g->by_service, service);
		struct stream_gap gap = { .second = second };

		if (stream_versions_base_serves(versions, service) ||
		    !stream_versions_mixed(versions, service, now) ||
		    (last != NULL && gap_is_of(last, base) &&
			second - last->second < STREAM_GAP_RENEW))
			continue;
		g_strlcpy(gap.base, base != NULL ? base : "", sizeof(gap.base));
		put_gap(g, str_from(service), &gap);
		changed = true;
	}
	return changed;
}

void
stream_gaps_write(const struct stream_gaps *g, int64_t second, struct buf *out)
{
	GHashTableIter it;
	gpointer service;
	gpointer p;

	buf_printf(out, FORMAT " %" PRId64 "\n", second);
	g_hash_table_iter_init(&it, g->by_service);
	while (g_hash_table_iter_next(&it, &service, &p)) {
		const struct stream_gap *gap = p;

		buf_printf(
		    out, "%s  %" PRId64, (const char *)service, gap->second);
		if (gap->base[0] != '\0')
			buf_printf(out, " %s", gap->base);
		buf_putc(out, '\n');
	}
}

bool
stream_gaps_allow(
    GHashTable *gaps, const char *service, const char *base, int64_t second)
{
	const struct stream_gap *last =
	    gaps != NULL ? g_hash_table_lookup(gaps, service) : NULL;

	return last != NULL && gap_is_of(last, base) &&
	    second - last->second <= STREAM_RECORD_SLOTS;
}

void
stream_gaps_free(struct stream_gaps *g)
{
	g_hash_table_destroy(g->by_service);
}

/* Base versions. */

struct listed_alone {
	char version[STREAM_VERSION_BYTES];
	usec_t since;
	bool current; /* in the newest list */
};

void
stream_bases_init(struct stream_bases *b)
{
	*b = (struct stream_bases){ 0 };
	b->by_service =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->alone =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->listed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Reads a line of the item: a base version, or the number of changes. */
static bool
read_base(struct str line, GHashTable *bases, uint64_t *changes)
{
	struct str service;

	if (!str_cut(&line, ' ', &service) || service.n == 0 || line.n == 0 ||
	    line.n >= STREAM_VERSION_BYTES)
		return false;
	if (str_eq(service, STR(CHANGES_NAME)))
		return str_parse_u64(line, changes) && *changes < MAX_CHANGES;
	g_hash_table_insert(
	    bases, g_strndup(service.p, service.n), g_strndup(line.p, line.n));
	return true;
}

enum stream_bases_result
stream_bases_read(struct stream_bases *b, struct str value)
{
	GHashTable *read =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	enum stream_bases_result result =
	    value.n > 0 || g_hash_table_size(b->by_service) == 0
	    ? STREAM_BASES_TAKEN
	    : STREAM_BASES_MALFORMED;
	uint64_t changes = 0;
	struct str line;

	b->known = true;
	while (value.n > 0 && str_cut(&value, '\n', &line)) {
		if (!read_base(line, read, &changes))
			result = STREAM_BASES_MALFORMED;
	}
	if (result == STREAM_BASES_TAKEN && changes < b->changes)
		result = STREAM_BASES_OLDER;
	if (result == STREAM_BASES_TAKEN) {
		g_hash_table_destroy(b->by_service);
		b->by_service = read;
		b->changes = changes;
	} else {
		g_hash_table_destroy(read);
	}
	return result;
}

const char *
stream_bases_find(const struct stream_bases *b, const char *service)
{
	return g_hash_table_lookup(b->by_service, service);
}

/* Notes a listed target; alone has what is known of the list so far. */
static void
note_listed(struct stream_bases *b, const struct target_entry *t, usec_t now)
{
	struct listed_alone *x = g_hash_table_lookup(b->alone, t->service);
	usec_t *at = g_new(usec_t, 1);

	*at = now;
	g_hash_table_replace(
	    b->listed, g_strconcat(t->service, " ", t->version, NULL), at);
	if (x == NULL) {
		x = g_new0(struct listed_alone, 1);
		x->since = now;
		g_strlcpy(x->version, t->version, sizeof(x->version));
		g_hash_table_insert(b->alone, g_strdup(t->service), x);
	} else if (strcmp(x->version, t->version) != 0) {
		/* Alone from now on, unless another target follows. */
		x->since = now;
		if (!x->current)
			g_strlcpy(x->version, t->version, sizeof(x->version));
	}
	x->current = true;
}

void
stream_bases_list(struct stream_bases *b, const GArray *targets, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, b->alone);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct listed_alone *)v)->current = false;
	for (guint i = 0; i < targets->len; i++)
		note_listed(
		    b, &g_array_index(targets, struct target_entry, i), now);
}

/* Whether no stream can be left of another version than the one listed. */
static bool
may_change(const struct stream_bases *b, const char *service,
    const struct listed_alone *x, usec_t now)
{
	const char *base = stream_bases_find(b, service);
	g_autofree char *name = NULL;
	const usec_t *at;

	if (!x->current || *x->version == '\0')
		return false;
	if (base == NULL)
		return now - x->since >=
		    (b->new_fleet ? STREAM_BASE_TIME : BASE_KEEP_TIME);
	if (strcmp(base, x->version) == 0)
		return false;
	name = g_strconcat(service, " ", base, NULL);
	at = g_hash_table_lookup(b->listed, name);
	return now - x->since >= BASE_KEEP_TIME &&
	    (at == NULL || now - *at >= BASE_KEEP_TIME);
}

bool
stream_bases_change(struct stream_bases *b, usec_t now)
{
	GHashTableIter it;
	gpointer service;
	gpointer v;
	bool changed = false;

	g_hash_table_iter_init(&it, b->alone);
	while (b->known && g_hash_table_iter_next(&it, &service, &v)) {
		const struct listed_alone *x = v;

		if (!may_change(b, service, x, now))
			continue;
		g_hash_table_insert(
		    b->by_service, g_strdup(service), g_strdup(x->version));
		changed = true;
	}
	if (changed && b->changes + 1 < MAX_CHANGES)
		b->changes++;
	return changed;
}

void
stream_bases_write(const struct stream_bases *b, struct buf *out)
{
	GHashTableIter it;
	gpointer service;
	gpointer version;

	g_hash_table_iter_init(&it, b->by_service);
	while (g_hash_table_iter_next(&it, &service, &version))
		buf_printf(out, "%s %s\n", (const char *)service,
		    (const char *)version);
	buf_printf(out, CHANGES_NAME " %" PRIu64 "\n", b->changes);
}

void
stream_bases_free(struct stream_bases *b)
{
	g_hash_table_destroy(b->by_service);
	g_hash_table_destroy(b->alone);
	g_hash_table_destroy(b->listed);
}

enum resume_place
stream_record_decide(const struct stream_record_search *s, bool readable,
    const char *base, enum resume_place place,
    char version[STREAM_VERSION_BYTES])
{
	if (readable && s->found) {
		g_strlcpy(version, s->version, STREAM_VERSION_BYTES);
		return RESUME_AT_VERSION;
	}
	if (!readable || s->incomplete)
		return RESUME_NOWHERE;
	if (base == NULL)
		return place == RESUME_LOOK_UP ? RESUME_ANYWHERE : place;
	g_strlcpy(version, base, STREAM_VERSION_BYTES);
	return RESUME_AT_VERSION;
}

bool
stream_bases_differ(struct stream_bases_writer *w)
{
	bool news = !w->due || (w->in_flight && !w->again);

	w->due = true;
	w->again = w->in_flight;
	return news;
}

void
stream_bases_taken(struct stream_bases_writer *w)
{
	w->due = false;
	w->again = false;
}

void
stream_bases_written(struct stream_bases_writer *w, bool ok)
{
	w->in_flight = false;
	if (ok)
		w->due = w->again;
	w->again = false;
}
