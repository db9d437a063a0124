/*
 * Decisions about chains of stages under overload: kernel/overload/chain,
 * stage_waits, throughput, retry_after.
 */
#include "kernel/overload/batch.h"
#include "kernel/overload/chain.h"
#include "kernel/overload/retry_after.h"
#include "kernel/overload/stage_waits.h"

#define MS USEC_PER_MSEC

/*
 * Three stages in a row (0, 1, 2) and one beside them (3); each takes at least
 * 300 ms, the first event 150 ms, and results are kept for 4 s.
 */
static struct chain
three_in_a_row(void)
{
	struct chain c = { .n = 4,
		.min_first_event = 150 * MS,
		.typical_first_event = 200 * MS };

	for (uint32_t i = 0; i < c.n; i++)
		c.stages[i] = (struct chain_stage){ .needed = true,
			.min_time = 300 * MS,
			.typical_time = 450 * MS,
			.result_ttl = 4000 * MS,
			.after = i == 1 ? 1
			    : i == 2    ? 2
					: 0 };
	return c;
}

static void
test_order(void)
{
	struct chain c = three_in_a_row();

	g_assert_true(chain_is_ready(&c, 0));
	g_assert_false(chain_is_ready(&c, 1));
	g_assert_false(chain_can_wait(&c, 0));
	/* The lone stage waits for the long chain, up to its last stage. */
	g_assert_true(chain_can_wait(&c, 3));
	c.stages[0].done = c.stages[1].done = true;
	g_assert_true(chain_is_ready(&c, 2));
	g_assert_false(chain_can_wait(&c, 3));
	g_assert_cmpint(chain_min_after(&c, 0), ==, 750 * MS);
	g_assert_cmpint(chain_typical_after(&c, 0), ==, 1100 * MS);
	/* What a lost input makes run again: not the lone stage. */
	g_assert_cmpuint(chain_before(&c, 2), ==, 3);
	g_assert_cmpuint(chain_before(&c, 0), ==, 0);
	g_assert_cmpuint(chain_before(&c, 3), ==, 0);
	g_assert_cmpint(chain_min_after(&c, 2), ==, 150 * MS);
}

static void
test_check(void)
{
	static const struct {
		int waits[4]; /* ms */
		int n_done;
		int left; /* ms */
		enum chain_verdict expected;
	} cases[] = {
		/* 3 stages of 300 ms and 150 ms to the first event. */
		{ { 0, 0, 0, 0 }, 0, 1050, CHAIN_FITS },
		{ { 0, 0, 0, 0 }, 0, 1049, CHAIN_NO_TIME },
		/* What is done no longer counts. */
		{ { 0, 0, 0, 0 }, 2, 450, CHAIN_FITS },
		{ { 9000, 9000, 0, 0 }, 2, 450, CHAIN_FITS },
		/* The queue of a later stage is too long for the time left. */
		{ { 0, 0, 4000, 0 }, 0, 3000, CHAIN_NO_TIME },
		{ { 0, 0, 4000, 0 }, 0, 4000, CHAIN_FITS },
		/* Waits add up along the chain. */
		{ { 2000, 2000, 2000, 0 }, 0, 4000, CHAIN_NO_TIME },
		{ { 2000, 2000, 2000, 0 }, 0, 5000, CHAIN_FITS },
		/* Results of stage 1 would expire in the queue of stage 2. */
		{ { 0, 0, 6000, 0 }, 0, 60000, CHAIN_EXPIRES },
		{ { 0, 0, 5000, 0 }, 0, 60000, CHAIN_FITS },
		/* A queue without inputs may be long. */
		{ { 6000, 0, 0, 6000 }, 0, 60000, CHAIN_FITS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct chain c = three_in_a_row();
		usec_t excess;

		for (int k = 0; k < 4; k++)
			c.stages[k].wait = cases[i].waits[k] * MS;
		for (int k = 0; k < cases[i].n_done; k++)
			c.stages[k].done = true;
		g_test_message("case %zu", i);
		g_assert_cmpint(chain_check(&c, cases[i].left * MS, &excess),
		    ==, cases[i].expected);
		g_assert_true(
		    (excess > 0) == (cases[i].expected != CHAIN_FITS));
	}
}

/*
 * A request whose stages are done: sent 19 ms before its caller leaves, it took
 * an engine that answered nobody.  It is rejected only if no engine could
 * answer in time, however long one usually takes.
 */
static void
test_all_done(void)
{
	static const struct {
		bool needed, done;
		int left, best; /* ms */
		enum chain_verdict expected;
		int excess; /* ms */
	} cases[] = {
		{ true, true, 19, 30, CHAIN_NO_TIME, 11 },
		{ true, true, -5, 30, CHAIN_NO_TIME, 35 },
		{ true, true, 30, 30, CHAIN_FITS, 0 },
		/* Late for most requests, and still of use. */
		{ true, true, 100, 30, CHAIN_FITS, 0 },
		/* Not an engine, or one that isn't known. */
		{ true, true, 1, 0, CHAIN_FITS, 0 },
		/* A request without stages has no results to lose. */
		{ false, false, 19, 30, CHAIN_FITS, 0 },
		{ true, false, 1049, 30, CHAIN_NO_TIME, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct chain c = three_in_a_row();
		usec_t excess;

		c.best_first_event = cases[i].best * MS;
		for (uint32_t k = 0; k < c.n; k++) {
			c.stages[k].needed = cases[i].needed;
			c.stages[k].done = cases[i].done;
		}
		g_test_message("case %zu", i);
		g_assert_cmpint(chain_check(&c, cases[i].left * MS, &excess),
		    ==, cases[i].expected);
		g_assert_cmpint(excess, ==, cases[i].excess * MS);
	}
}

/* A reported wait counts down, so that a host without reports tries again. */
static void
test_stage_waits(void)
{
	struct stage_waits w;

	stage_waits_init(&w);
	g_assert_cmpint(stage_waits_get(&w, "s", "", 0, 0), ==, 0);
	stage_waits_report(&w, "s", "", 1, 3000 * MS, 1000 * MS);
	stage_waits_report(&w, "s", "", 7, 5000 * MS, 1000 * MS);
	g_assert_cmpint(
	    stage_waits_get(&w, "s", "", 1, 1000 * MS), ==, 3000 * MS);
	g_assert_cmpint(
	    stage_waits_get(&w, "s", "", 1, 3000 * MS), ==, 1000 * MS);
	g_assert_cmpint(stage_waits_get(&w, "s", "", 1, 9000 * MS), ==, 0);
	g_assert_cmpint(stage_waits_get(&w, "s", "", 0, 1000 * MS), ==, 0);
	g_assert_cmpint(
	    stage_waits_get(&w, "s", "", 9, 1000 * MS), ==, 5000 * MS);
	g_assert_cmpint(stage_waits_get(&w, "t", "", 1, 1000 * MS), ==, 0);
	stage_waits_free(&w);
}

static void
test_throughput(void)
{
	static const struct {
		int busy_ms;    /* work is taken every 100 ms for so long */
		int gap_ms;     /* then nothing is taken */
		bool idle;      /* and the queue is empty */
		uint32_t taken; /* each time */
		double nominal, min, max;
	} cases[] = {
		/* Too short for a measurement. */
		{ 900, 0, false, 5, 100, 100, 100 },
		{ 3000, 0, false, 5, 100, 45, 55 },
		/* More than the nominal capacity: the pieces were cheap. */
		{ 3000, 0, false, 20, 100, 180, 220 },
		/* An empty queue says nothing about the capacity. */
		{ 3000, 600, true, 5, 100, 100, 100 },
		/* Long calls leave some slots without work taken. */
		{ 3000, 600, false, 5, 100, 30, 55 },
		/* All servers were gone. */
		{ 3000, 2400, false, 5, 100, 100, 100 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct throughput t = { 0 };
		usec_t now = 100000 * MS;
		usec_t end = now + cases[i].busy_ms * MS;

		throughput_idle(&t, now);
		for (; now < end; now += 100 * MS)
			throughput_add(&t, cases[i].taken, now);
		if (cases[i].idle)
			throughput_idle(&t, now);
		now += cases[i].gap_ms * MS;
		g_test_message("case %zu: %g", i,
		    throughput_rate(&t, now, cases[i].nominal));
		g_assert_cmpfloat(throughput_rate(&t, now, cases[i].nominal),
		    >=, cases[i].min);
		g_assert_cmpfloat(throughput_rate(&t, now, cases[i].nominal),
		    <=, cases[i].max);
	}
}

/*
 * A coordinator whose inputs were gone: targets answer its calls at once.  If
 * that made calls look short, the next ones would be given up while they run,
 * and their pieces produced again and again.
 */
static void
test_call_costs(void)
{
	static const struct pool_config pool = { .batch = 60,
		.call_cost = 240 * MS,
		.item_cost = 3400,
		.result_ttl = 4000 * MS };
	static const struct {
		uint32_t made;
		int took_ms;
		int min_ms, max_ms; /* of a call of one piece, afterwards */
	} cases[] = {
		{ 0, 1, 243, 244 },
		{ 1, 1, 60, 70 },      /* never below a quarter */
		{ 60, 444, 240, 250 }, /* as configured */
		{ 60, 888, 400, 520 },
		{ 60, 9000, 900, 980 }, /* never above four times */
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct batch b;

		batch_init(&b, &pool);
		for (int k = 0; k < 200; k++)
			batch_record(&b, cases[i].made, cases[i].took_ms * MS);
		g_test_message(
		    "case %zu: %d ms", i, (int)(batch_min_duration(&b) / MS));
		g_assert_cmpint(
		    batch_min_duration(&b), >=, cases[i].min_ms * MS);
		g_assert_cmpint(
		    batch_min_duration(&b), <=, cases[i].max_ms * MS);
		/* A call and one that waits before it fit into the timeout. */
		g_assert_cmpint(batch_call_timeout(&b, 60), >=, 2 * 444 * MS);
		batch_free(&b);
	}
}

/*
 * Rejected callers come back after the expected wait, spread over time, not
 * together.
 */
static void
test_retry_after(void)
{
	static const int waits_ms[] = { 0, 500, 4000, 20000 };

	for (size_t i = 0; i < G_N_ELEMENTS(waits_ms); i++) {
		usec_t wait = waits_ms[i] * MS;
		usec_t first = INT64_MAX;
		usec_t last = 0;

		for (uint64_t h = 0; h < 1000; h++) {
			usec_t t = retry_after(wait, h * 0x9e3779b97f4a7c15);

			first = t < first ? t : first;
			last = t > last ? t : last;
		}
		g_assert_cmpint(first, >=, wait);
		g_assert_cmpint(last, <=, wait + wait / 4 + 400 * MS);
		g_assert_cmpint(last - first, >, 350 * MS);
	}
}

/* A caller is never told to come back when its time is over. */
static void
test_retry_after_within(void)
{
	static const struct {
		int after_ms, left_ms, expected_ms;
	} cases[] = {
		{ 500, 4000, 500 },
		{ 4000, 4000, 2000 },
		{ 20000, 4000, 2000 },
		{ 500, 0, 0 },
		{ 500, -10, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(retry_after_within(cases[i].after_ms * MS,
				    cases[i].left_ms * MS),
		    ==, cases[i].expected_ms * MS);
}

/* Callers of a stream leave before their deadline, others don't. */
static void
test_chain_deadline(void)
{
	static const struct {
		int limit_ms, deadline_ms, expected_ms;
	} cases[] = {
		{ 4400, 13000, 5400 },
		{ 4400, 5000, 5000 },
		{ 0, 13000, 13000 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(
		    chain_deadline(1000 * MS, cases[i].limit_ms * MS,
			cases[i].deadline_ms * MS),
		    ==, cases[i].expected_ms * MS);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/chain/order", test_order);
	g_test_add_func("/chain/check", test_check);
	g_test_add_func("/chain/all-done", test_all_done);
	g_test_add_func("/stage-waits", test_stage_waits);
	g_test_add_func("/throughput", test_throughput);
	g_test_add_func("/call-costs", test_call_costs);
	g_test_add_func("/retry-after", test_retry_after);
	g_test_add_func("/retry-after/within", test_retry_after_within);
	g_test_add_func("/chain/deadline", test_chain_deadline);
	return g_test_run();
}
