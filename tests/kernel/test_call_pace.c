/*
 * The pace of calls to stage targets.  Guards against targets that become free
 * together, take what is there in small calls and leave what arrives next
 * waiting for a whole call: jobs take longer then than calls do, though a third
 * of the capacity is unused.
 */
#include "base/rng.h"
#include "kernel/overload/batch.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>

#define MS          USEC_PER_MSEC
#define RUN         (18 * USEC_PER_SEC)
#define WARM_UP     (3 * USEC_PER_SEC)
#define MAX_JOBS    16000
#define MAX_TARGETS 20
#define SEEDS       3

struct job {
	usec_t arrived;
	uint32_t left; /* pieces */
};

struct target {
	usec_t ends;
	GArray *items; /* NULL: it is free */
};

struct replay {
	struct batch batch;
	struct rng rng;
	bool paced;
	uint32_t n_targets;
	struct target targets[MAX_TARGETS];
	struct job jobs[MAX_JOBS];
	uint32_t n_jobs;
	usec_t took[MAX_JOBS];
	uint32_t n_took;
};

/* Many cheap pieces a call, and few dear ones. */
#define CHEAP                                                         \
	{                                                             \
		.batch = 66, .call_cost = 240 * MS, .item_cost = 3100 \
	}
#define DEAR                                                           \
	{                                                              \
		.batch = 18, .call_cost = 240 * MS, .item_cost = 11000 \
	}

static const struct pace_case {
	const char *name;
	uint32_t targets;
	struct pool_config pool;
	uint32_t pieces; /* of a job */
	uint32_t burst;  /* pieces of each tenth job; 0: as the others */
	double share;    /* of the capacity that is used */
	/* Times of jobs, in those without a pace, at most. */
	double median, ninth_tenth;
} cases[] = {
	{ "most targets idle", 16, CHEAP, 6, 0, 0.15, 1.1, 1.1 },
	{ "a third in use", 16, CHEAP, 6, 0, 0.4, 1, 0.9 },
	{ "two thirds in use", 16, CHEAP, 6, 0, 0.65, 1, 0.95 },
	{ "near the capacity", 16, CHEAP, 6, 0, 0.9, 1, 1 },
	{ "dear pieces", 19, DEAR, 2, 0, 0.5, 1, 0.9 },
	{ "few targets", 5, DEAR, 2, 0, 0.5, 1, 0.95 },
	{ "two targets", 2, DEAR, 2, 0, 0.5, 1, 1 },
	{ "one target", 1, DEAR, 2, 0, 0.5, 1, 1 },
	{ "large jobs between small ones", 19, DEAR, 1, 30, 0.6, 1, 1 },
};

static uint32_t
count_free(const struct replay *r)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->n_targets; i++)
		n += r->targets[i].items == NULL;
	return n;
}

static void
start_calls(struct replay *r, usec_t now)
{
	for (uint32_t i = 0; i < r->n_targets; i++) {
		uint32_t calls = count_free(r);
		struct target *t = &r->targets[i];
		double noise = 0.9 + 0.2 * rng_unit(&r->rng);

		if (r->paced)
			calls = MIN(
			    calls, batch_calls(&r->batch, r->n_targets, now));
		if (t->items != NULL || calls == 0 || r->batch.items->len == 0)
			continue;
		t->items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));
		batch_take(&r->batch, now, calls,
		    &(struct batch_target){ .free_bytes = UINT64_MAX },
		    t->items);
		t->ends = now +
		    (usec_t)(noise *
			(double)(r->batch.config.call_cost +
			    t->items->len * r->batch.config.item_cost));
	}
}

static void
end_calls(struct replay *r, usec_t now)
{
	for (uint32_t i = 0; i < r->n_targets; i++) {
		struct target *t = &r->targets[i];

		if (t->items == NULL || t->ends > now)
			continue;
		for (guint k = 0; k < t->items->len; k++) {
			struct job *j =
			    g_array_index(t->items, struct batch_item, k).owner;

			if (--j->left == 0 && j->arrived > WARM_UP)
				r->took[r->n_took++] = now - j->arrived;
		}
		g_array_unref(t->items);
		t->items = NULL;
	}
}

static void
add_job(struct replay *r, const struct pace_case *x, usec_t now)
{
	struct job *j = &r->jobs[r->n_jobs++];

	g_assert_cmpuint(r->n_jobs, <, MAX_JOBS);
	j->arrived = now;
	j->left =
	    x->burst > 0 && rng_below(&r->rng, 10) == 0 ? x->burst : x->pieces;
	for (uint32_t i = 0; i < j->left; i++)
		batch_add(&r->batch,
		    &(struct batch_item){ .owner = j,
			.piece = i,
			.soft_deadline = now + 2000 * MS,
			.deadline = now + 12000 * MS,
			.queued = now });
}

static int
compare_times(const void *a, const void *b)
{
	const usec_t *x = a;
	const usec_t *y = b;

	return (*x > *y) - (*x < *y);
}

/* Plays a load in steps of a millisecond; returns its two times of jobs. */
static void
play(const struct pace_case *x, uint64_t seed, bool paced, usec_t out[2])
{
	struct replay *r = g_new0(struct replay, 1);
	const struct pool_config *p = &x->pool;
	double pieces =
	    x->burst > 0 ? 0.9 * x->pieces + 0.1 * x->burst : (double)x->pieces;
	double rate = x->share * x->targets * p->batch /
	    (double)(p->call_cost + p->batch * p->item_cost) / pieces;
	usec_t next = 0;

	r->paced = paced;
	r->n_targets = x->targets;
	rng_init(&r->rng, seed);
	batch_init(&r->batch, p);
	for (usec_t now = MS; now < RUN; now += MS) {
		end_calls(r, now);
		while (next <= now) {
			add_job(r, x, now);
			next += (usec_t)(-log(1 - rng_unit(&r->rng)) / rate);
		}
		start_calls(r, now);
	}
	qsort(r->took, r->n_took, sizeof(*r->took), compare_times);
	out[0] = r->took[r->n_took / 2];
	out[1] = r->took[r->n_took * 9 / 10];
	for (uint32_t i = 0; i < r->n_targets; i++) {
		if (r->targets[i].items != NULL)
			g_array_unref(r->targets[i].items);
	}
	batch_free(&r->batch);
	g_free(r);
}

static void
test_load(gconstpointer arg)
{
	const struct pace_case *x = arg;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		usec_t before[2];
		usec_t now[2];

		play(x, seed, false, before);
		play(x, seed, true, now);
		g_test_message("%s: %" PRId64 ", %" PRId64
			       " ms without a pace, %" PRId64 ", %" PRId64
			       " with it",
		    x->name, before[0] / MS, before[1] / MS, now[0] / MS,
		    now[1] / MS);
		g_assert_cmpfloat(
		    (double)now[0], <=, x->median * (double)before[0]);
		g_assert_cmpfloat(
		    (double)now[1], <=, x->ninth_tenth * (double)before[1]);
	}
}

/* How many calls begin, and when the next one does. */
static void
test_calls(void)
{
	static const struct {
		usec_t begun_at, now;
		uint32_t waiting, targets, calls;
	} steps[] = {
		{ 0, 1000 * MS, 1, 4, 4 },
		{ 1000 * MS, 1000 * MS, 5, 4, 0 },
		{ 1000 * MS, 1059 * MS, 5, 4, 0 },
		{ 1000 * MS, 1060 * MS, 5, 4, 1 },
		{ 1000 * MS, 1125 * MS, 5, 4, 2 },
		{ 1000 * MS, 9000 * MS, 5, 4, 4 },
		/* Full calls aren't delayed. */
		{ 1000 * MS, 1001 * MS, 10, 4, 1 },
		{ 1000 * MS, 1001 * MS, 25, 4, 2 },
		/* A single target isn't held back. */
		{ 1000 * MS, 1000 * MS, 5, 1, 1 },
		{ 1000 * MS, 1001 * MS, 5, 0, 1 },
		/* The clock of another processor. */
		{ 1000 * MS, 999 * MS, 5, 4, 0 },
	};
	const struct pool_config p = { .batch = 10, .call_cost = 240 * MS };

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		struct batch b;

		batch_init(&b, &p);
		if (steps[i].begun_at != 0)
			call_pace_begin(&b.pace, 240 * MS, steps[i].begun_at);
		for (uint32_t k = 0; k < steps[i].waiting; k++)
			batch_add(&b, &(struct batch_item){ .owner = &b });
		g_test_message("step %zu", i);
		g_assert_cmpuint(
		    batch_calls(&b, steps[i].targets, steps[i].now), ==,
		    steps[i].calls);
		if (steps[i].begun_at != 0)
			g_assert_cmpint(batch_next_call(&b, steps[i].targets),
			    ==,
			    1000 * MS +
				(steps[i].targets > 1
					? 240 * MS / steps[i].targets
					: 0));
		batch_free(&b);
	}
}

/*
 * A piece waits for a target in the domain of its inputs, so that its inputs
 * don't cross domains, but not for one that isn't there.
 */
static void
test_remote_wait(void)
{
	const struct pool_config p = {
		.batch = 10, .call_cost = 240 * MS, .item_cost = 10 * MS
	};
	static const struct {
		bool local_only;
		usec_t remote_wait, waited;
		bool taken;
	} steps[] = {
		{ true, 0, 0, false },
		{ true, 0, 339 * MS, false },
		{ true, 0, 340 * MS, true },
		{ false, 120 * MS, 0, false },
		{ false, 120 * MS, 119 * MS, false },
		{ false, 120 * MS, 120 * MS, true },
		{ false, 0, 0, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		g_autoptr(GArray) out =
		    g_array_new(FALSE, FALSE, sizeof(struct batch_item));
		usec_t now = 1000 * MS + steps[i].waited;
		struct batch b;

		batch_init(&b, &p);
		g_assert_cmpint(batch_remote_wait(&b), ==, 120 * MS);
		batch_add(&b,
		    &(struct batch_item){
			.owner = "remote", .domain = 2, .queued = 1000 * MS });
		batch_add(&b,
		    &(struct batch_item){
			.owner = "local", .domain = 1, .queued = now });
		batch_take(&b, now, 1,
		    &(struct batch_target){ .domain = 1,
			.local_only = steps[i].local_only,
			.remote_wait = steps[i].remote_wait,
			.free_bytes = UINT64_MAX },
		    out);
		g_test_message("step %zu", i);
		g_assert_cmpuint(out->len, ==, 1U + steps[i].taken);
		batch_free(&b);
	}
}

/* The domain whose targets get the next call. */
static void
test_first_domain(void)
{
	static const struct {
		struct {
			uint32_t domain;
			usec_t queued;
		} v[3];
		uint32_t n, want;
	} steps[] = {
		{ { { 0 } }, 0, 0 },
		{ { { 1, 20 }, { 2, 10 }, { 3, 30 } }, 3, 2 },
		{ { { 1, 10 }, { 2, 10 }, { 0, 5 } }, 3, 0 },
		{ { { 1, 10 }, { 2, 10 } }, 2, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		const struct pool_config p = CHEAP;
		struct batch b;

		batch_init(&b, &p);
		for (uint32_t k = 0; k < steps[i].n; k++)
			batch_add(&b,
			    &(struct batch_item){ .owner = &b,
				.domain = steps[i].v[k].domain,
				.queued = steps[i].v[k].queued });
		g_assert_cmpuint(batch_first_domain(&b), ==, steps[i].want);
		batch_free(&b);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/call-pace/calls", test_calls);
	g_test_add_func("/call-pace/remote-wait", test_remote_wait);
	g_test_add_func("/call-pace/first-domain", test_first_domain);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *name =
		    g_strdup_printf("/call-pace/load/%s", cases[i].name);

		g_test_add_data_func(name, &cases[i], test_load);
	}
	return g_test_run();
}
