#include "kernel/roster.h"
#include "base/hash.h"

#include <stdlib.h>
#include <string.h>

#define HASH_SEED 41

struct roster_entry {
	struct target_entry t;
	bool seen;    /* in the current full listing */
	bool missing; /* the entry disappeared and is kept for now */
};

struct rejected_entry {
	uint64_t hash; /* of its value */
	bool seen;     /* in the current full listing */
};

void
roster_init(struct roster *r)
{
	*r = (struct roster){ 0 };
	r->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	r->rejected =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
}

static bool
entries_equal(const struct target_entry *a, const struct target_entry *b)
{
	return strcmp(a->service, b->service) == 0 &&
	    strcmp(a->addr, b->addr) == 0 &&
	    strcmp(a->domain, b->domain) == 0 &&
	    strcmp(a->version, b->version) == 0 && a->slots == b->slots &&
	    a->leaving == b->leaving && a->born_ms == b->born_ms;
}

/* Whether the entry tells nothing new of how long its target is cold. */
static bool
same_cold(const struct target_entry *known, const struct target_entry *t)
{
	return t->cold_left == known->cold_left &&
	    (t->cold_left <= 0 || (t->seq != 0 && t->seq == known->seq));
}

void
roster_put(struct roster *r, const struct target_entry *t)
{
	struct roster_entry *s = g_hash_table_lookup(r->by_id, t->id);

	g_hash_table_remove(r->rejected, t->id);
	if (s == NULL) {
		s = xcalloc(1, sizeof(*s));
		memcpy(s->t.id, t->id, sizeof(t->id));
		g_hash_table_insert(r->by_id, s->t.id, s);
	}
	s->seen = true;
	s->missing = false;
	if (entries_equal(&s->t, t) && same_cold(&s->t, t)) {
		s->t.seq = t->seq;
		return;
	}
	s->t = *t;
	r->version++;
}

void
roster_reject(struct roster *r, struct str id, struct str value)
{
	g_autofree char *key = g_strndup(id.p, id.n);
	struct rejected_entry *x = xcalloc(1, sizeof(*x));

	x->hash = hash_u64(value, HASH_SEED);
	x->seen = true;
	g_hash_table_replace(r->rejected, g_strdup(key), x);
	if (g_hash_table_remove(r->by_id, key))
		r->version++;
}

bool
roster_is_rejected(struct roster *r, struct str id, struct str value)
{
	g_autofree char *key = g_strndup(id.p, id.n);
	struct rejected_entry *x = g_hash_table_lookup(r->rejected, key);

	if (x == NULL || x->hash != hash_u64(value, HASH_SEED))
		return false;
	x->seen = true;
	return true;
}

bool
roster_in_grace(const struct roster *r, usec_t now)
{
	return r->store_unavailable || now < r->grace_until;
}

void
roster_remove(struct roster *r, struct str id, usec_t now)
{
	g_autofree char *key = g_strndup(id.p, id.n);
	struct roster_entry *s = g_hash_table_lookup(r->by_id, key);

	g_hash_table_remove(r->rejected, key);
	if (s == NULL)
		return;
	if (roster_in_grace(r, now) && !s->t.leaving) {
		s->missing = true;
		return;
	}
	g_hash_table_remove(r->by_id, key);
	r->version++;
}

void
roster_begin(struct roster *r)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, r->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct roster_entry *)v)->seen = false;
	g_hash_table_iter_init(&it, r->rejected);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct rejected_entry *)v)->seen = false;
}

void
roster_finish(struct roster *r, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, r->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct roster_entry *s = v;

		if (s->seen)
			continue;
		if (roster_in_grace(r, now) && !s->t.leaving) {
			s->missing = true;
			continue;
		}
		g_hash_table_iter_remove(&it);
		r->version++;
	}
	g_hash_table_iter_init(&it, r->rejected);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!((struct rejected_entry *)v)->seen)
			g_hash_table_iter_remove(&it);
	}
}

void
roster_set_store_unavailable(struct roster *r, bool unavailable, usec_t now)
{
	if (r->store_unavailable && !unavailable)
		r->grace_until = now + ROSTER_GRACE_TIME;
	r->store_unavailable = unavailable;
}

void
roster_store_restored(struct roster *r, usec_t now)
{
	r->grace_until = now + ROSTER_GRACE_TIME;
}

usec_t
roster_tick(struct roster *r, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	if (r->store_unavailable || r->grace_until == 0)
		return 0;
	if (now < r->grace_until)
		return r->grace_until;
	r->grace_until = 0;
	g_hash_table_iter_init(&it, r->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!((struct roster_entry *)v)->missing)
			continue;
		g_hash_table_iter_remove(&it);
		r->version++;
	}
	return 0;
}

const char *
roster_service(const struct roster *r, const char *id)
{
	const struct roster_entry *s = g_hash_table_lookup(r->by_id, id);

	return s != NULL ? s->t.service : "";
}

GArray *
roster_list(const struct roster *r)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct target_entry));
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, r->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v))
		g_array_append_val(out, ((struct roster_entry *)v)->t);
	return out;
}

void
roster_free(struct roster *r)
{
	g_hash_table_destroy(r->by_id);
	g_hash_table_destroy(r->rejected);
}
