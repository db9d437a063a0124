#include "kernel/host_list.h"
#include "base/hash.h"

#include <inttypes.h>
#include <string.h>

#define CHECK_INTERVAL  (500 * USEC_PER_MSEC)
#define STABLE_TIME     (2 * USEC_PER_SEC)
#define WRITE_INTERVAL  (5 * USEC_PER_SEC)
#define HASH_SEED       11
/* The store takes values of up to 1 MB, encoded. */
#define MAX_LIST_BYTES  ((size_t)512 * 1024)
/* Hosts increase theirs, each time that others take them for lost. */
#define MAX_INCARNATION (UINT64_MAX - UINT32_MAX)

static bool
next_field(struct str *line, char *out, size_t size)
{
	struct str field;

	if (!str_cut(line, '\t', &field) || field.n >= size)
		return false;
	memcpy(out, field.p, field.n);
	out[field.n] = '\0';
	return true;
}

static bool
next_number(struct str *line, uint64_t *out)
{
	struct str field;

	return str_cut(line, '\t', &field) && str_parse_u64(field, out);
}

static bool
read_line(struct str line, struct member_info *x)
{
	uint64_t capacity;

	memset(x, 0, sizeof(*x));
	x->state = MEMBER_LIVE;
	if (!next_field(&line, x->id, sizeof(x->id)) || x->id[0] == '\0' ||
	    !next_field(&line, x->rpc, sizeof(x->rpc)) || x->rpc[0] == '\0' ||
	    !next_field(&line, x->operators, sizeof(x->operators)) ||
	    !next_field(&line, x->domain, sizeof(x->domain)) ||
	    !next_number(&line, &x->incarnation) ||
	    x->incarnation > MAX_INCARNATION ||
	    !next_number(&line, &capacity) || capacity > UINT32_MAX ||
	    line.n > 0)
		return false;
	x->capacity = (uint32_t)capacity;
	return true;
}

struct host_list_counts
host_list_read(struct members *t, struct str text, usec_t now)
{
	struct host_list_counts counts = { 0 };
	struct str line;

	while (str_cut(&text, '\n', &line)) {
		struct member_info x;

		if (line.n == 0)
			continue;
		if (!read_line(line, &x))
			counts.malformed++;
		else if (member_learn(t, now, &x))
			counts.learned++;
	}
	return counts;
}

/* Hash of a list without the incarnations, which change with each restart. */
static uint64_t
lasting_hash(struct str text)
{
	struct str line;
	uint64_t hash = HASH_SEED;

	while (str_cut(&text, '\n', &line)) {
		struct member_info x;

		if (!read_line(line, &x))
			continue;
		hash = hash_u64(str_from(x.id), hash);
		hash = hash_u64(str_from(x.rpc), hash);
		hash = hash_u64(str_from(x.domain), hash) + x.capacity;
	}
	return hash;
}

void
host_list_write(struct members *t, struct buf *out)
{
	size_t n;
	const char *const *live = member_live(t, &n);

	for (size_t i = 0; i < n; i++) {
		const struct member *m = member_find(t, live[i]);
		struct member_info x;

		if (m == NULL)
			continue;
		member_info(t, m, &x);
		buf_printf(out, "%s\t%s\t%s\t%s\t%" PRIu64 "\t%" PRIu32 "\n",
		    x.id, x.rpc, x.operators, x.domain, x.incarnation,
		    x.capacity);
	}
}

void
host_list_stored(struct host_list_writer *w, struct str text)
{
	w->stored = lasting_hash(text);
}

bool
host_list_check_due(struct host_list_writer *w, usec_t now)
{
	if (w->checked_at != 0 && now - w->checked_at < CHECK_INTERVAL)
		return false;
	w->checked_at = now;
	return true;
}

bool
host_list_due(
    struct host_list_writer *w, struct members *t, usec_t now, struct buf *out)
{
	uint64_t hash;

	host_list_write(t, out);
	hash = lasting_hash(str_of(out));
	if (hash != w->seen) {
		w->seen = hash;
		w->changed_at = now;
	}
	if (hash == w->stored || w->writing != 0 ||
	    now - w->changed_at < STABLE_TIME ||
	    (w->written_at != 0 && now - w->written_at < WRITE_INTERVAL) ||
	    out->n > MAX_LIST_BYTES)
		return false;
	w->writing = hash;
	w->written_at = now;
	return true;
}

void
host_list_written(struct host_list_writer *w, bool ok)
{
	if (ok)
		w->stored = w->writing;
	w->writing = 0;
}
