/*
 * Tests the estimated age of callers that come back, on loads of one route:
 * new callers with nearly the same time, and callers that have come back after
 * a part of it.
 */
#include "base/rng.h"
#include "kernel/overload/caller_age.h"

#include <stdbool.h>

#define N_KNOWN 400 /* callers before the one that is tested */

/* A part of the load: time left, spread downwards, and its share. */
struct part {
	usec_t time;
	double spread;
	double share;
};

static usec_t
draw(struct rng *r, const struct part *parts, size_t n)
{
	double x = rng_unit(r);
	size_t i = 0;

	while (i + 1 < n && x >= parts[i].share)
		x -= parts[i++].share;
	return (usec_t)((double)parts[i].time *
	    (1 - parts[i].spread * rng_unit(r)));
}

static void
test_estimate(void)
{
	static const struct {
		const char *name;
		struct part parts[3];
		size_t n_parts;
		usec_t left;
		usec_t min, max; /* age */
	} cases[] = {
		{ "a new caller", { { 15 * USEC_PER_SEC, 0.15, 1 } }, 1,
		    14 * USEC_PER_SEC, 0, 0 },
		{ "the new caller with the least time",
		    { { 15 * USEC_PER_SEC, 0.15, 1 } }, 1,
		    12750 * USEC_PER_MSEC, 0, 1000 * USEC_PER_MSEC },
		{ "came back after half of its time",
		    { { 15 * USEC_PER_SEC, 0.15, 1 } }, 1, 7 * USEC_PER_SEC,
		    5 * USEC_PER_SEC, 8 * USEC_PER_SEC },
		{ "more time than any other",
		    { { 15 * USEC_PER_SEC, 0.15, 1 } }, 1, 20 * USEC_PER_SEC, 0,
		    0 },
		{ "every second caller has come back",
		    { { 15 * USEC_PER_SEC, 0.15, 0.5 },
			{ 11 * USEC_PER_SEC, 0.6, 0.5 } },
		    2, 7 * USEC_PER_SEC, 3 * USEC_PER_SEC, 8 * USEC_PER_SEC },
		{ "callers with half the time, new",
		    { { 15 * USEC_PER_SEC, 0.15, 0.6 },
			{ 7 * USEC_PER_SEC, 0.1, 0.4 } },
		    2, 6800 * USEC_PER_MSEC, 0, 0 },
		{ "callers with half the time, one that came back",
		    { { 15 * USEC_PER_SEC, 0.15, 0.6 },
			{ 7 * USEC_PER_SEC, 0.1, 0.4 } },
		    2, 3 * USEC_PER_SEC, 3 * USEC_PER_SEC, 4 * USEC_PER_SEC },
		{ "no time is usual", { { 15 * USEC_PER_SEC, 0.98, 1 } }, 1,
		    2 * USEC_PER_SEC, 0, 0 },
		{ "short times", { { 600 * USEC_PER_MSEC, 0.15, 1 } }, 1,
		    200 * USEC_PER_MSEC, 290 * USEC_PER_MSEC,
		    400 * USEC_PER_MSEC },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct caller_age a;
		struct rng r;
		usec_t age;

		g_test_message("%s", cases[i].name);
		rng_init(&r, i + 1);
		caller_age_init(&a);
		for (int k = 0; k < N_KNOWN; k++)
			caller_age_estimate(&a, "r",
			    draw(&r, cases[i].parts, cases[i].n_parts), k);
		age = caller_age_estimate(&a, "r", cases[i].left, N_KNOWN);
		g_assert_cmpint(age, >=, cases[i].min);
		g_assert_cmpint(age, <=, cases[i].max);
		/* Nothing is known of another route. */
		g_assert_cmpint(
		    caller_age_estimate(&a, "s", cases[i].left, N_KNOWN), ==,
		    0);
		caller_age_free(&a);
	}
}

/*
 * A stream that goes on after a loss of hosts has less time left than a new
 * one. Its stages must not go behind those of all new requests, as if it were
 * late.
 */
static void
test_resumed_stream(void)
{
	static const struct {
		const char *name;
		usec_t left;
		bool is_resume;
		bool is_late;
		int n; /* callers */
	} cases[] = {
		{ "new", 15 * USEC_PER_SEC, false, false, 1 },
		{ "came back", 6 * USEC_PER_SEC, false, true, 1 },
		{ "resumed", 6 * USEC_PER_SEC, true, false, 1 },
		{ "many are resumed", 6 * USEC_PER_SEC, true, false, N_KNOWN },
		{ "came back after them", 6 * USEC_PER_SEC, false, true, 1 },
		{ "without a time", 0, false, false, 1 },
	};
	struct caller_age a;
	struct caller_request q = { .objective = 3 * USEC_PER_SEC };

	caller_age_init(&a);
	for (int i = 0; i < N_KNOWN; i++)
		caller_age_estimate(&a, "r", 15 * USEC_PER_SEC, i);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		usec_t now = USEC_PER_SEC * (usec_t)(i + 1);
		usec_t aim = 0;

		g_test_message("%s", cases[i].name);
		q.arrived = now;
		q.time_left = cases[i].left;
		q.is_resume = cases[i].is_resume;
		for (int k = 0; k < cases[i].n; k++)
			aim = caller_age_aim(&a, "r", &q, now);
		if (cases[i].is_late)
			g_assert_cmpint(aim, <, now);
		else
			g_assert_cmpint(aim, ==, now + q.objective);
	}
	caller_age_free(&a);
}

/* The usual time changes: new callers must not count as returned for long. */
static void
test_change(void)
{
	struct caller_age a;
	int returned = 0;

	caller_age_init(&a);
	for (int i = 0; i < 10 * N_KNOWN; i++)
		caller_age_estimate(&a, "r", 15 * USEC_PER_SEC, i);
	for (int i = 0; i < N_KNOWN; i++)
		returned +=
		    caller_age_estimate(&a, "r", 6 * USEC_PER_SEC, i) > 0;
	g_assert_cmpint(returned, <, N_KNOWN / 2);
	g_assert_cmpint(
	    caller_age_estimate(&a, "r", 6 * USEC_PER_SEC, 0), ==, 0);
	caller_age_free(&a);
}

/*
 * Most callers are rejected and come back after the same time.  They are known
 * as long as the rejections go on, and do not make their time a usual one.
 */
static void
test_rejections(void)
{
	struct caller_age a;
	usec_t now = 0;

	caller_age_init(&a);
	for (int i = 0; i < N_KNOWN; i++)
		caller_age_estimate(&a, "r", 15 * USEC_PER_SEC, now);
	for (int i = 0; i < 10 * N_KNOWN; i++) {
		usec_t age;

		now += 20 * USEC_PER_MSEC;
		caller_age_rejected(&a, "r", now);
		age = caller_age_estimate(&a, "r", 12 * USEC_PER_SEC, now);
		g_assert_cmpint(age, >=, 2 * USEC_PER_SEC);
		g_assert_cmpint(age, <=, 3 * USEC_PER_SEC);
		g_assert_cmpint(
		    caller_age_estimate(&a, "r", 15 * USEC_PER_SEC, now), ==,
		    0);
	}
	caller_age_free(&a);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/caller_age/estimate", test_estimate);
	g_test_add_func("/caller_age/resumed-stream", test_resumed_stream);
	g_test_add_func("/caller_age/change", test_change);
	g_test_add_func("/caller_age/rejections", test_rejections);
	return g_test_run();
}
