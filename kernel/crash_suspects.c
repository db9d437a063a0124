#include "kernel/crash_suspects.h"
#include "base/hash.h"

#include <string.h>

#define MAX_CRASHES      128
/* Older crashes are forgotten. */
#define WINDOW           (600 * USEC_PER_SEC)
/*
 * Crashes closer to each other than this may be one failure, seen by hosts at
 * slightly different times.
 */
#define MOMENT           (100 * USEC_PER_MSEC)
/* From here on a set is blamed although another explains as much. */
#define BLAME_REGARDLESS 6
/* Different prompts, and crashes, until a part is blamed. */
#define BLAME_PROMPTS    3
/* Crashes until a single prompt, sent again and again, is blamed. */
#define BLAME_SINGLE     5
#define MAX_KNOWN        8192

/* What it takes to blame a part: any of these. */
static const struct evidence {
	bool known;
	uint32_t crashes;
	uint32_t moments;
	usec_t span; /* between the first crash and the last */
} evidences[] = {
	{ false, BLAME_PROMPTS, 3, 0 },
	{ false, 5, 2, 0 },
	{ true, 6, 3, 1500 * USEC_PER_MSEC },
};

#define COLLECTOR_SEED 23

struct crash {
	char target[64];
	usec_t at;
	bool explained;
	struct part_set *calls;
	size_t n_calls;
};

/* A part, and the crashes that it was present at. */
struct candidate {
	uint64_t part;
	bool known;
	const struct crash *first;
	const struct crash *last;
	uint32_t crashes;
	uint32_t moments;
	usec_t moment_at;
	uint64_t prompts[BLAME_PROMPTS]; /* hashes of different ones */
	size_t n_prompts;
};

size_t
crash_collectors(const struct rendezvous_host *v, size_t n,
    const char *out[CRASH_COLLECTORS])
{
	return rendezvous_choose(v, n, COLLECTOR_SEED, out, CRASH_COLLECTORS);
}

static void
free_crash(gpointer p)
{
	struct crash *c = p;

	g_free(c->calls);
	g_free(c);
}

void
crash_suspects_init(struct crash_suspects *s)
{
	s->crashes = g_ptr_array_new_with_free_func(free_crash);
	s->known =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void
forget_old(struct crash_suspects *s, usec_t now)
{
	while (s->crashes->len > 0) {
		const struct crash *c = s->crashes->pdata[0];

		if (s->crashes->len < MAX_CRASHES && now - c->at < WINDOW)
			return;
		g_ptr_array_remove_index(s->crashes, 0);
	}
}

static struct crash *
crash_of(struct crash_suspects *s, const char *target, usec_t now)
{
	struct crash *c;

	for (guint i = 0; i < s->crashes->len; i++) {
		c = s->crashes->pdata[i];
		if (strcmp(c->target, target) == 0)
			return c;
	}
	forget_old(s, now);
	c = g_new0(struct crash, 1);
	g_strlcpy(c->target, target, sizeof(c->target));
	c->at = now;
	g_ptr_array_add(s->crashes, c);
	return c;
}

void
crash_suspects_add(struct crash_suspects *s, const char *target,
    const struct part_set *parts, usec_t now)
{
	struct crash *c = crash_of(s, target, now);

	if (c->explained || c->n_calls == CRASH_MAX_CALLS || parts->n == 0)
		return;
	c->calls = g_renew(struct part_set, c->calls, c->n_calls + 1);
	c->calls[c->n_calls++] = *parts;
}

static void
explain(struct crash *c)
{
	c->explained = true;
	c->n_calls = 0;
}

void
crash_suspects_explain(struct crash_suspects *s, const char *target, usec_t now)
{
	explain(crash_of(s, target, now));
}

void
crash_suspects_known(struct crash_suspects *s, const struct part_set *parts)
{
	if (g_hash_table_size(s->known) + parts->n > MAX_KNOWN)
		g_hash_table_remove_all(s->known);
	for (size_t i = 0; i < parts->n; i++)
		g_hash_table_add(
		    s->known, g_memdup2(&parts->v[i], sizeof(parts->v[i])));
}

void
crash_suspects_answered(struct crash_suspects *s, const struct part_set *parts)
{
	for (guint i = 0; i < s->crashes->len; i++) {
		struct crash *c = s->crashes->pdata[i];

		for (size_t k = 0; k < c->n_calls; k++)
			part_set_subtract(&c->calls[k], parts);
	}
}

static void
count_prompt(struct candidate *x, const struct part_set *call)
{
	uint64_t hash = hash_u64(
	    (struct str){ (const char *)call->v, call->n * sizeof(call->v[0]) },
	    0);

	for (size_t i = 0; i < x->n_prompts; i++) {
		if (x->prompts[i] == hash)
			return;
	}
	if (x->n_prompts < BLAME_PROMPTS)
		x->prompts[x->n_prompts++] = hash;
}

static void
count_part(const struct crash_suspects *s, GHashTable *all, uint64_t part,
    const struct crash *c, const struct part_set *call)
{
	struct candidate *x = g_hash_table_lookup(all, &part);

	if (x == NULL) {
		x = g_new0(struct candidate, 1);
		x->part = part;
		x->known = g_hash_table_contains(s->known, &part);
		x->first = c;
		g_hash_table_insert(all, &x->part, x);
	}
	count_prompt(x, call);
	if (x->last == c)
		return;
	if (x->moments == 0 || c->at - x->moment_at >= MOMENT) {
		x->moments++;
		x->moment_at = c->at;
	}
	x->last = c;
	x->crashes++;
}

/* Returns a table of part -> struct candidate. */
static GHashTable *
count_parts(const struct crash_suspects *s)
{
	GHashTable *all =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);

	for (guint i = 0; i < s->crashes->len; i++) {
		const struct crash *c = s->crashes->pdata[i];

		for (size_t k = 0; k < c->n_calls; k++) {
			for (size_t p = 0; p < c->calls[k].n; p++)
				count_part(
				    s, all, c->calls[k].v[p], c, &c->calls[k]);
		}
	}
	return all;
}

/* Returns the parts that all calls with a part have in common. */
static struct part_set
common_parts(const struct crash_suspects *s, uint64_t part)
{
	struct part_set out = { 0 };

	for (guint i = 0; i < s->crashes->len; i++) {
		const struct crash *c = s->crashes->pdata[i];

		for (size_t k = 0; k < c->n_calls; k++) {
			if (!part_set_has(&c->calls[k], part))
				continue;
			if (out.n == 0)
				out = c->calls[k];
			else
				part_set_intersect(&out, &c->calls[k]);
		}
	}
	return out;
}

static bool
is_at(const struct crash *c, const struct part_set *parts)
{
	for (size_t k = 0; k < c->n_calls; k++) {
		if (part_set_includes(&c->calls[k], parts))
			return true;
	}
	return false;
}

static bool
share_a_crash(const struct crash_suspects *s, const struct part_set *a,
    const struct part_set *b)
{
	for (guint i = 0; i < s->crashes->len; i++) {
		if (is_at(s->crashes->pdata[i], a) &&
		    is_at(s->crashes->pdata[i], b))
			return true;
	}
	return false;
}

/* Whether there is enough evidence against a part. */
static bool
is_eligible(const struct candidate *x)
{
	if (x->n_prompts < BLAME_PROMPTS && x->crashes < BLAME_SINGLE)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(evidences); i++) {
		const struct evidence *e = &evidences[i];

		if (x->known == e->known && x->crashes >= e->crashes &&
		    x->moments >= e->moments &&
		    x->last->at - x->first->at >= e->span)
			return true;
	}
	return false;
}

static struct crash_blame
make_cause(const struct crash_suspects *s, const struct candidate *x)
{
	struct crash_blame out = { common_parts(s, x->part), x->crashes,
		x->known };
	struct part_set known = { 0 };

	for (size_t i = 0; i < out.parts.n; i++) {
		if (g_hash_table_contains(s->known, &out.parts.v[i]))
			part_set_add(&known, out.parts.v[i]);
	}
	if (!x->known)
		part_set_subtract(&out.parts, &known);
	return out;
}

/* Returns the causes that explain enough crashes (struct crash_blame). */
static GArray *
find_causes(const struct crash_suspects *s)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct crash_blame));
	GHashTable *all = count_parts(s);
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, all);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct candidate *x = p;
		struct crash_blame cause;

		if (!is_eligible(x))
			continue;
		cause = make_cause(s, x);
		g_array_append_val(out, cause);
	}
	g_hash_table_destroy(all);
	return out;
}

/* Whether a is the better explanation: known parts come last. */
static bool
is_better(const struct crash_blame *a, const struct crash_blame *b)
{
	if (a->known != b->known)
		return b->known;
	if (a->crashes != b->crashes)
		return a->crashes > b->crashes;
	return a->parts.n > b->parts.n;
}

/* Returns NULL if there is none, or none can be told from the others yet. */
static const struct crash_blame *
best_cause(const struct crash_suspects *s, const GArray *causes)
{
	const struct crash_blame *v = (const void *)causes->data;
	const struct crash_blame *best = NULL;

	for (guint i = 0; i < causes->len; i++) {
		if (best == NULL || is_better(&v[i], best))
			best = &v[i];
	}
	for (guint i = 0; best != NULL && i < causes->len; i++) {
		if (v[i].known == best->known &&
		    v[i].crashes == best->crashes &&
		    !part_set_includes(&best->parts, &v[i].parts) &&
		    best->crashes < BLAME_REGARDLESS &&
		    share_a_crash(s, &v[i].parts, &best->parts))
			return NULL;
	}
	return best;
}

bool
crash_suspects_blame(struct crash_suspects *s, struct crash_blame *out)
{
	GArray *causes = find_causes(s);
	const struct crash_blame *best = best_cause(s, causes);
	bool found = best != NULL;

	*out = (struct crash_blame){ 0 };
	if (!found)
		goto out;
	*out = *best;
	for (guint i = 0; i < s->crashes->len; i++) {
		if (is_at(s->crashes->pdata[i], &out->parts))
			explain(s->crashes->pdata[i]);
	}
out:
	g_array_unref(causes);
	return found;
}

void
crash_suspects_free(struct crash_suspects *s)
{
	g_ptr_array_unref(s->crashes);
	g_hash_table_destroy(s->known);
}
