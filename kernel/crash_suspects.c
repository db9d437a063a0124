#include "kernel/crash_suspects.h"
#include "base/hash.h"

#include <math.h>
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
/* Crashes until a single prompt or content, sent again and again, is blamed. */
#define BLAME_SINGLE     5
#define MAX_KNOWN        8192
/* Crashes from which on the hosts are asked about a part. */
#define ASK_CRASHES      2
/* A collector asks what none of a lower rank has asked by then. */
#define ASK_RANK_DELAY   (100 * USEC_PER_MSEC)
/* Shortest time between two questions, and between two about one part. */
#define ASK_INTERVAL     (100 * USEC_PER_MSEC)
#define ASK_AGAIN        (500 * USEC_PER_MSEC)
/*
 * After the last crash with a part, for this long: answers that come later say
 * nothing about the time of the crashes.
 */
#define ASK_TIME         (1 * USEC_PER_SEC)
/* Within this time the hosts have replied. */
#define REPLY_TIME       (150 * USEC_PER_MSEC)

/*
 * What it takes to blame a part: any of these.  The chance that the calls with
 * the part were all lost without its fault is below exp(-certainty).
 */
static const struct evidence {
	bool known;
	uint32_t min_prompts; /* different ones; up to BLAME_PROMPTS count */
	uint32_t max_prompts;
	uint32_t crashes;
	uint32_t moments;
	usec_t span;  /* between the first crash and the last */
	double share; /* of all crashes meanwhile */
	/* Calls answered by all hosts, so that they know most parts. */
	uint64_t answered;
	double certainty;
} evidences[] = {
	{ .min_prompts = BLAME_PROMPTS,
	    .max_prompts = BLAME_PROMPTS,
	    .crashes = 3,
	    .moments = 3,
	    .certainty = 7 },
	{ .min_prompts = 2,
	    .max_prompts = BLAME_PROMPTS,
	    .crashes = 5,
	    .moments = 2,
	    .certainty = 5 },
	/* The part comes so often that nearly nothing is answered. */
	{ .min_prompts = 2,
	    .max_prompts = BLAME_PROMPTS,
	    .crashes = 5,
	    .moments = 2,
	    .share = 0.9,
	    .answered = 100 },
	{ .min_prompts = 2,
	    .max_prompts = BLAME_PROMPTS,
	    .crashes = 12,
	    .moments = 2,
	    .share = 0.8 },
	/* More often than a caller and the hosts repeat a sound request. */
	{ .min_prompts = 1,
	    .max_prompts = 1,
	    .crashes = BLAME_SINGLE,
	    .moments = 2,
	    .share = 0.5 },
	{ .known = true,
	    .min_prompts = 1,
	    .max_prompts = BLAME_PROMPTS,
	    .crashes = 6,
	    .moments = 3,
	    .span = 1500 * USEC_PER_MSEC,
	    .certainty = 9 },
};

#define COLLECTOR_SEED 23

struct crash {
	char target[64];
	usec_t at;
	bool explained;
	/* Of the unexplained crashes; set by number_moments(). */
	uint32_t number;
	uint32_t moment;    /* number of its moment */
	uint32_t in_moment; /* crashes in it */
	struct part_set *calls;
	size_t n_calls;
};

struct asked_part {
	uint64_t part;
	usec_t at;
	bool has_base;
	struct call_counts base; /* of all hosts, after the first replies */
};

/* A part, and the crashes that it was present at. */
struct candidate {
	uint64_t part;
	bool known;
	const struct crash *first;
	const struct crash *last;
	usec_t suspect_at; /* at ASK_CRASHES crashes; 0: not yet */
	uint32_t crashes;
	uint32_t in_moment; /* crashes in the moment of the last one */
	uint32_t moments;   /* in which it was at half of the crashes or more */
	uint64_t prompts[BLAME_PROMPTS]; /* hashes of different ones */
	size_t n_prompts;
};

size_t
crash_collectors(const struct rendezvous_host *v, size_t n, const char *self,
    const char *out[CRASH_COLLECTORS])
{
	if (n == 0) {
		out[0] = self;
		return 1;
	}
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
	s->asked =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	s->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->calls = (struct call_counts){ 0 };
	s->asked_at = 0;
	s->waiting = false;
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
crash_suspects_calls(
    struct crash_suspects *s, const char *host, const struct call_counts *calls)
{
	struct call_counts *x = g_hash_table_lookup(s->hosts, host);

	if (x == NULL) {
		x = g_new0(struct call_counts, 1);
		g_hash_table_insert(s->hosts, g_strdup(host), x);
	} else if (calls->answered >= x->answered && calls->lost >= x->lost) {
		s->calls.answered += calls->answered - x->answered;
		s->calls.lost += calls->lost - x->lost;
	}
	*x = *calls;
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
crash_suspects_asked(
    struct crash_suspects *s, const struct part_set *parts, usec_t now)
{
	for (size_t i = 0; i < parts->n; i++) {
		struct asked_part *x;

		if (g_hash_table_contains(s->asked, &parts->v[i]))
			continue;
		if (g_hash_table_size(s->asked) >= MAX_KNOWN)
			g_hash_table_remove_all(s->asked);
		x = g_new0(struct asked_part, 1);
		x->part = parts->v[i];
		x->at = now;
		g_hash_table_insert(s->asked, &x->part, x);
	}
	if (parts->n > 0)
		s->asked_at = now;
}

void
crash_suspects_answered(struct crash_suspects *s, const struct part_set *parts)
{
	for (size_t i = 0; i < parts->n; i++)
		g_hash_table_remove(s->asked, &parts->v[i]);
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

/* Ends the count of a part's crashes in the moment of the last one. */
static void
end_moment(struct candidate *x)
{
	if (2 * x->in_moment >= x->last->in_moment)
		x->moments++;
	x->in_moment = 0;
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
	if (x->last != NULL && c->moment != x->last->moment)
		end_moment(x);
	x->in_moment++;
	x->last = c;
	if (++x->crashes == ASK_CRASHES)
		x->suspect_at = c->at;
}

/*
 * Numbers the moments of the unexplained crashes: those within MOMENT of the
 * first of a moment belong to it.
 */
static void
number_moments(struct crash_suspects *s)
{
	guint first = 0; /* crash of the current moment */
	uint32_t moment = 0;
	uint32_t number = 0;

	for (guint i = 0; i < s->crashes->len; i++) {
		struct crash *c = s->crashes->pdata[i];
		const struct crash *f = s->crashes->pdata[first];

		if (c->explained)
			continue;
		if (moment == 0 || c->at - f->at >= MOMENT) {
			first = i;
			moment++;
		}
		c->number = number++;
		c->moment = moment;
		c->in_moment = 1;
		for (guint k = first; k < i; k++) {
			struct crash *other = s->crashes->pdata[k];

			if (!other->explained)
				c->in_moment = ++other->in_moment;
		}
	}
}

/* Returns a table of part -> struct candidate. */
static GHashTable *
count_parts(struct crash_suspects *s)
{
	GHashTable *all =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	GHashTableIter it;
	gpointer x;

	number_moments(s);
	for (guint i = 0; i < s->crashes->len; i++) {
		const struct crash *c = s->crashes->pdata[i];

		for (size_t k = 0; k < c->n_calls; k++) {
			for (size_t p = 0; p < c->calls[k].n; p++)
				count_part(
				    s, all, c->calls[k].v[p], c, &c->calls[k]);
		}
	}
	g_hash_table_iter_init(&it, all);
	while (g_hash_table_iter_next(&it, NULL, &x))
		end_moment(x);
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

/* Whether a part was at enough crashes. */
static bool
has_evidence(const struct candidate *x, const struct evidence *e)
{
	double crashes = x->last->number - x->first->number + 1;

	return x->known == e->known && x->crashes >= e->share * crashes &&
	    x->n_prompts >= e->min_prompts && x->n_prompts <= e->max_prompts &&
	    x->crashes >= e->crashes && x->moments >= e->moments &&
	    x->last->at - x->first->at >= e->span;
}

/* Whether a part may be to blame once the hosts have replied. */
static bool
is_candidate(const struct candidate *x)
{
	for (size_t i = 0; i < G_N_ELEMENTS(evidences); i++) {
		if (has_evidence(x, &evidences[i]))
			return true;
	}
	return false;
}

/*
 * Returns the part as the hosts were asked about it, once they have replied;
 * else NULL.
 */
static struct asked_part *
find_replied(struct crash_suspects *s, uint64_t part, usec_t now)
{
	struct asked_part *x = g_hash_table_lookup(s->asked, &part);

	if (x == NULL || now - x->at < REPLY_TIME)
		return NULL;
	if (!x->has_base) {
		x->has_base = true;
		x->base = s->calls;
	}
	return x;
}

/* How certain it is that calls with the part are not lost by chance. */
static double
certainty(const struct crash_suspects *s, const struct candidate *x,
    const struct asked_part *a)
{
	double answered = (double)(s->calls.answered - a->base.answered);
	double lost = (double)(s->calls.lost - a->base.lost);

	return x->moments * log1p(answered / (lost + 1));
}

/* Number of calls that all hosts have counted as answered. */
static uint64_t
total_answered(const struct crash_suspects *s)
{
	GHashTableIter it;
	gpointer x;
	uint64_t out = 0;

	g_hash_table_iter_init(&it, s->hosts);
	while (g_hash_table_iter_next(&it, NULL, &x))
		out += ((const struct call_counts *)x)->answered;
	return out;
}

/* Whether a part is to blame by now; sets s->waiting if it may be later. */
static bool
is_eligible(struct crash_suspects *s, const struct candidate *x, usec_t now)
{
	const struct asked_part *a = find_replied(s, x->part, now);
	/* The hosts have been asked after all have reported the last crash. */
	bool all_told = s->asked_at >= x->last->at + MOMENT &&
	    now - s->asked_at >= REPLY_TIME;

	if (!is_candidate(x))
		return false;
	if (now - x->last->at > ASK_TIME)
		return false;
	s->waiting = true;
	if (a == NULL)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(evidences); i++) {
		const struct evidence *e = &evidences[i];

		if (has_evidence(x, e) && total_answered(s) >= e->answered &&
		    (e->certainty == 0 ||
			(all_told && certainty(s, x, a) >= e->certainty)))
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
find_causes(struct crash_suspects *s, usec_t now)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct crash_blame));
	GHashTable *all = count_parts(s);
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, all);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct candidate *x = p;
		struct crash_blame cause;

		if (!is_eligible(s, x, now))
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

/* Whether the hosts are to be asked about a part, also if again. */
static bool
must_ask(struct crash_suspects *s, const struct candidate *x, uint32_t rank,
    usec_t now)
{
	usec_t asked_at = s->asked_at;
	usec_t due;

	if (!g_hash_table_contains(s->asked, &x->part)) {
		if (x->suspect_at == 0)
			return false;
		due = x->suspect_at;
	} else {
		if (!is_candidate(x) || now - x->last->at > ASK_TIME)
			return false;
		due = asked_at < x->last->at + MOMENT ? x->last->at + MOMENT
						      : asked_at + ASK_AGAIN;
	}
	s->waiting = true;
	return now >= due + rank * ASK_RANK_DELAY;
}

bool
crash_suspects_ask(
    struct crash_suspects *s, uint32_t rank, usec_t now, struct part_set *out)
{
	GHashTable *all;
	GHashTableIter it;
	gpointer p;

	*out = (struct part_set){ 0 };
	s->waiting = s->asked_at != 0 && now - s->asked_at < 2 * REPLY_TIME;
	if (s->crashes->len == 0)
		return false;
	if (s->asked_at != 0 && now - s->asked_at < ASK_INTERVAL) {
		s->waiting = true;
		return false;
	}
	all = count_parts(s);
	g_hash_table_iter_init(&it, all);
	while (out->n < PART_SET_MAX && g_hash_table_iter_next(&it, NULL, &p)) {
		const struct candidate *x = p;

		if (must_ask(s, x, rank, now))
			part_set_add(out, x->part);
	}
	g_hash_table_destroy(all);
	crash_suspects_asked(s, out, now);
	return out->n > 0;
}

bool
crash_suspects_blame(
    struct crash_suspects *s, usec_t now, struct crash_blame *out)
{
	GArray *causes = find_causes(s, now);
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
	g_hash_table_destroy(s->asked);
	g_hash_table_destroy(s->hosts);
}
