#include "kernel/stream_versions.h"
#include "kernel/roster.h"

#include <string.h>

/* Longer than a stream and the pause until its caller resumes it. */
#define KEEP_TIME    (60 * USEC_PER_SEC)
#define MAX_STREAMS  16384
/*
 * The base version has enough targets with more than one in four of those that
 * take new calls.  Streams are resumed later, when it may have fewer, so more
 * than one in three are asked for then.
 */
#define BEGIN_SHARE  4
#define RESUME_SHARE 3

struct listed_version {
	bool listed;        /* in the newest list */
	usec_t until;       /* else: was listed until then */
	uint32_t n_serving; /* targets that don't leave */
};

static void
free_stream(gpointer p)
{
	struct stream_version *x = p;

	g_free(x->id);
	g_free(x);
}

static GHashTable *
new_streams(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, free_stream);
}

void
stream_versions_init(struct stream_versions *s, usec_t now)
{
	s->own = new_streams();
	s->others = new_streams();
	s->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    (GDestroyNotify)g_hash_table_unref);
	s->bases = NULL;
	s->gaps = NULL;
	s->store_unavailable = false;
	s->confirmed_at = 0;
	s->started_at = now;
}

/* Returns a table of version -> struct listed_version. */
static GHashTable *
versions_of(struct stream_versions *s, const char *service)
{
	GHashTable *v = g_hash_table_lookup(s->services, service);

	if (v == NULL) {
		v = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(s->services, g_strdup(service), v);
	}
	return v;
}

/* Ends the list of before: what it has was listed until now. */
static void
end_list(struct stream_versions *s, usec_t now)
{
	GHashTableIter services;
	GHashTableIter versions;
	gpointer v;
	gpointer p;

	g_hash_table_iter_init(&services, s->services);
	while (g_hash_table_iter_next(&services, NULL, &v)) {
		g_hash_table_iter_init(&versions, v);
		while (g_hash_table_iter_next(&versions, NULL, &p)) {
			struct listed_version *x = p;

			if (x->listed) {
				x->listed = false;
				x->n_serving = 0;
				x->until = now;
			} else if (now - x->until > KEEP_TIME) {
				g_hash_table_iter_remove(&versions);
			}
		}
	}
}

void
stream_versions_list(struct stream_versions *s, const GArray *targets,
    bool store_unavailable, usec_t now)
{
	s->store_unavailable = store_unavailable;
	end_list(s, now);
	for (guint i = 0; i < targets->len; i++) {
		const struct target_entry *t =
		    &g_array_index(targets, struct target_entry, i);
		GHashTable *v = versions_of(s, t->service);
		struct listed_version *x = g_hash_table_lookup(v, t->version);

		if (x == NULL) {
			x = g_new0(struct listed_version, 1);
			g_hash_table_insert(v, g_strdup(t->version), x);
		}
		x->listed = true;
		x->n_serving += t->leaving ? 0 : 1;
	}
}

void
stream_versions_confirm(struct stream_versions *s, usec_t at)
{
	s->confirmed_at = at;
}

bool
stream_versions_confirmed(const struct stream_versions *s, usec_t now)
{
	return !s->store_unavailable && s->confirmed_at > 0 &&
	    now - s->confirmed_at <= STREAM_CONFIRM_TIME;
}

void
stream_versions_set_bases(struct stream_versions *s, GHashTable *bases)
{
	if (s->bases != NULL)
		g_hash_table_unref(s->bases);
	s->bases = bases != NULL ? g_hash_table_ref(bases) : NULL;
}

void
stream_versions_set_gaps(struct stream_versions *s, GHashTable *gaps)
{
	if (s->gaps != NULL)
		g_hash_table_unref(s->gaps);
	s->gaps = gaps != NULL ? g_hash_table_ref(gaps) : NULL;
}

const char *
stream_versions_base(const struct stream_versions *s, const char *service)
{
	return s->bases != NULL ? g_hash_table_lookup(s->bases, service) : NULL;
}

/* Whether the base version has more than one of this many targets. */
static bool
base_has_share(
    const struct stream_versions *s, const char *service, uint32_t share)
{
	const char *base = stream_versions_base(s, service);
	GHashTable *v = g_hash_table_lookup(s->services, service);
	const struct listed_version *x =
	    base != NULL && v != NULL ? g_hash_table_lookup(v, base) : NULL;
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;

	if (x == NULL || x->n_serving == 0)
		return false;
	g_hash_table_iter_init(&it, v);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((const struct listed_version *)p)->n_serving;
	return x->n_serving * share > n;
}

bool
stream_versions_base_serves(
    const struct stream_versions *s, const char *service)
{
	return base_has_share(s, service, BEGIN_SHARE);
}

const char *
stream_versions_unrecorded(const struct stream_versions *s, const char *service)
{
	return base_has_share(s, service, RESUME_SHARE)
	    ? stream_versions_base(s, service)
	    : NULL;
}

bool
stream_versions_records(const struct stream_versions *s, const char *service,
    const char *version, usec_t now)
{
	const char *base = stream_versions_base(s, service);

	return base != NULL ? strcmp(base, version) != 0
			    : stream_versions_mixed(s, service, now);
}

bool
stream_versions_mixed(
    const struct stream_versions *s, const char *service, usec_t now)
{
	GHashTable *v = g_hash_table_lookup(s->services, service);
	const char *base = stream_versions_base(s, service);
	GHashTableIter it;
	gpointer version;
	gpointer p;
	size_t n = base != NULL ? 1 : 0;

	if (v == NULL)
		return false;
	g_hash_table_iter_init(&it, v);
	while (g_hash_table_iter_next(&it, &version, &p)) {
		const struct listed_version *x = p;

		n += (x->listed || now - x->until < KEEP_TIME) &&
		    (base == NULL || strcmp(base, version) != 0);
	}
	return n > 1;
}

void
stream_versions_begin(struct stream_versions *s, struct str id,
    const char *service, const char *version, bool own, usec_t now)
{
	GHashTable *all = own ? s->own : s->others;
	struct stream_version *x = g_new0(struct stream_version, 1);

	if (g_hash_table_size(all) >= MAX_STREAMS)
		g_hash_table_remove_all(all);
	x->id = g_strndup(id.p, id.n);
	g_strlcpy(x->service, service, sizeof(x->service));
	g_strlcpy(x->version, version, sizeof(x->version));
	x->at = now;
	g_hash_table_replace(all, x->id, x);
}

void
stream_versions_end(struct stream_versions *s, struct str id)
{
	g_autofree char *key = g_strndup(id.p, id.n);

	g_hash_table_remove(s->own, key);
}

const struct stream_version *
stream_versions_next_due(struct stream_versions *s, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, s->own);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct stream_version *x = p;

		if (!x->is_told && stream_versions_mixed(s, x->service, now)) {
			x->is_told = true;
			return x;
		}
	}
	return NULL;
}

GPtrArray *
stream_versions_to_record(const struct stream_versions *s, usec_t now)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, s->own);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct stream_version *x = p;

		if (x->version[0] != '\0' &&
		    stream_versions_records(s, x->service, x->version, now))
			g_ptr_array_add(out, p);
	}
	return out;
}

const struct stream_version *
stream_versions_find(const struct stream_versions *s, struct str id)
{
	g_autofree char *key = NULL;
	const struct stream_version *x;

	if (id.n == 0)
		return NULL;
	key = g_strndup(id.p, id.n);
	x = g_hash_table_lookup(s->own, key);
	return x != NULL ? x : g_hash_table_lookup(s->others, key);
}

static gboolean
is_old(gpointer key, gpointer p, gpointer now)
{
	(void)key;
	return *(usec_t *)now - ((struct stream_version *)p)->at > KEEP_TIME;
}

void
stream_versions_expire(struct stream_versions *s, usec_t now)
{
	g_hash_table_foreach_remove(s->own, is_old, &now);
	g_hash_table_foreach_remove(s->others, is_old, &now);
}

enum resume_place
stream_versions_resume(
    const struct stream_versions *s, struct str id, struct resume_query *out)
{
	const struct stream_version *x = stream_versions_find(s, id);

	*out = (struct resume_query){ .is_unnamed = id.n == 0 };
	if (x == NULL)
		return RESUME_ASK;
	out->found = true;
	g_strlcpy(out->version, x->version, sizeof(out->version));
	return RESUME_AT_VERSION;
}

/* Whether this host and those that were asked rule out another version. */
static bool
agree_on_version(
    const struct stream_versions *s, const struct resume_query *q, usec_t now)
{
	bool confirmed = stream_versions_confirmed(s, now);

	if (q->is_unnamed)
		return q->n_replied > 0 || (q->n_asked == 0 && confirmed);
	/* A host that has just started may have missed another version. */
	return q->n_asked > 0 && q->n_replied >= q->n_asked && confirmed &&
	    now - s->started_at >= KEEP_TIME;
}

enum resume_place
stream_versions_decide(const struct stream_versions *s,
    const struct resume_query *q, const char *service, bool timed_out,
    usec_t now)
{
	if (q->found)
		return RESUME_AT_VERSION;
	if (q->n_replied < q->n_asked && !timed_out)
		return RESUME_ASK;
	if (q->mixed || stream_versions_mixed(s, service, now))
		return RESUME_NOWHERE;
	if (agree_on_version(s, q, now))
		return RESUME_ANYWHERE;
	return q->is_unnamed ? RESUME_NOWHERE : RESUME_LOOK_UP;
}

void
stream_versions_free(struct stream_versions *s)
{
	g_hash_table_destroy(s->own);
	g_hash_table_destroy(s->others);
	g_hash_table_destroy(s->services);
	stream_versions_set_bases(s, NULL);
	stream_versions_set_gaps(s, NULL);
}
