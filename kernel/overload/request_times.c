#include "kernel/overload/request_times.h"

#define SAMPLES     32
/*
 * Parts of the longest time that are added: with few samples, and else.  The
 * first samples are short, as those are the requests that end first.
 */
#define FEW_SAMPLES 8
#define FEW_RESERVE 1
#define RESERVE     8
/* The names of routes change with configurations, and callers name lengths. */
#define MAX_KINDS   1024
/* Age at which the notes of running requests are renewed. */
#define RUNNING_AGE (50 * USEC_PER_MSEC)

struct kind_times {
	uint32_t pieces; /* classes of the lengths */
	uint32_t output;
	struct request_time v[SAMPLES]; /* a ring */
	uint32_t n;                     /* recorded ever */
	bool answered;                  /* one has ended with its answer */
	struct request_time running;    /* the longest that still run */
};

/* Classes of a length: 0, 1, 2 to 3, 4 to 7 and so on. */
static uint32_t
class_of(uint32_t n)
{
	return n == 0 ? 0 : 32 - (uint32_t)__builtin_clz(n);
}

static void
free_kinds(gpointer p)
{
	g_ptr_array_unref(p);
}

void
request_times_init(struct request_times *t)
{
	t->by_route =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_kinds);
	t->n_kinds = 0;
	t->running_at = 0;
}

/* Returns the times of the kind, or NULL. */
static struct kind_times *
find(const struct request_times *t, const struct request_kind *k)
{
	const GPtrArray *kinds = g_hash_table_lookup(t->by_route, k->route);

	for (guint i = 0; kinds != NULL && i < kinds->len; i++) {
		struct kind_times *x = g_ptr_array_index(kinds, i);

		if (x->pieces == class_of(k->pieces) &&
		    x->output == class_of(k->output_tokens))
			return x;
	}
	return NULL;
}

/* Adds a kind that is not known yet. */
static struct kind_times *
add(struct request_times *t, const struct request_kind *k)
{
	struct kind_times *x = g_new0(struct kind_times, 1);
	GPtrArray *kinds;

	if (t->n_kinds >= MAX_KINDS) {
		g_hash_table_remove_all(t->by_route);
		t->n_kinds = 0;
	}
	kinds = g_hash_table_lookup(t->by_route, k->route);
	if (kinds == NULL) {
		kinds = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(t->by_route, g_strdup(k->route), kinds);
	}
	x->pieces = class_of(k->pieces);
	x->output = class_of(k->output_tokens);
	g_ptr_array_add(kinds, x);
	t->n_kinds++;
	return x;
}

static struct kind_times *
record(struct request_times *t, const struct request_kind *k,
    const struct request_time *taken)
{
	struct kind_times *x = find(t, k);

	if (x == NULL)
		x = add(t, k);
	x->v[x->n++ % SAMPLES] = *taken;
	return x;
}

void
request_times_record(struct request_times *t, const struct request_kind *k,
    const struct request_time *taken)
{
	record(t, k, taken)->answered = true;
}

void
request_times_record_least(struct request_times *t,
    const struct request_kind *k, const struct request_time *least)
{
	const struct kind_times *times = find(t, k);

	for (uint32_t i = 0; times != NULL && i < MIN(times->n, SAMPLES); i++) {
		if (times->v[i].whole >= least->whole)
			return;
	}
	record(t, k, least);
}

/* Whether requests that were measured last as long as those of the kind. */
static bool
is_as_large(const struct kind_times *x, const struct request_kind *k)
{
	/* An output without a limit may be the longest. */
	return x->answered && x->pieces >= class_of(k->pieces) &&
	    x->output >= class_of(k->output_tokens) &&
	    (k->output_tokens != 0 || x->output == 0);
}

/* Returns the times of the kind, or of the next larger one, or NULL. */
static struct kind_times *
find_larger(const struct request_times *t, const struct request_kind *k)
{
	const GPtrArray *kinds = g_hash_table_lookup(t->by_route, k->route);
	struct kind_times *best = NULL;

	for (guint i = 0; kinds != NULL && i < kinds->len; i++) {
		struct kind_times *x = g_ptr_array_index(kinds, i);

		if (is_as_large(x, k) &&
		    (best == NULL || x->pieces < best->pieces ||
			(x->pieces == best->pieces &&
			    x->output < best->output)))
			best = x;
	}
	return best;
}

bool
request_times_renew_running(struct request_times *t, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	if (t->running_at != 0 && now - t->running_at < RUNNING_AGE)
		return false;
	t->running_at = now;
	g_hash_table_iter_init(&it, t->by_route);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const GPtrArray *kinds = v;

		for (guint i = 0; i < kinds->len; i++) {
			struct kind_times *x = g_ptr_array_index(kinds, i);

			x->running = (struct request_time){ 0, 0 };
		}
	}
	return true;
}

static struct request_time
longest(const struct request_time *a, const struct request_time *b)
{
	return (struct request_time){ MAX(a->whole, b->whole),
		MAX(a->call, b->call) };
}

void
request_times_note_running(struct request_times *t,
    const struct request_kind *k, const struct request_time *so_far)
{
	struct kind_times *times = find_larger(t, k);

	if (times != NULL)
		times->running = longest(&times->running, so_far);
}

/* Returns the longest times of a kind. */
static struct request_time
longest_of(const struct kind_times *x)
{
	struct request_time out = x->running;

	for (uint32_t i = 0; i < MIN(x->n, SAMPLES); i++)
		out = longest(&out, &x->v[i]);
	return out;
}

static usec_t
with_reserve(usec_t t, uint32_t n)
{
	return t + t / (n < FEW_SAMPLES ? FEW_RESERVE : RESERVE);
}

struct request_time
request_times_expected(
    const struct request_times *t, const struct request_kind *k)
{
	const struct kind_times *times = find_larger(t, k);
	const struct kind_times *own = find(t, k);
	struct request_time out, early;

	if (times == NULL)
		return (struct request_time){ 0, 0 };
	out = longest_of(times);
	if (own != NULL) {
		early = longest_of(own);
		out = longest(&out, &early);
	}
	out.whole = with_reserve(out.whole, times->n);
	out.call = with_reserve(out.call, times->n);
	return out;
}

void
request_times_free(struct request_times *t)
{
	g_hash_table_destroy(t->by_route);
}
