/*
 * Replays of load scenarios in virtual time, through the overload decisions:
 * a burst must not keep the system overloaded after it has ended, callers that
 * can't be served must know early, and urgent requests go before others.
 */
#include "model/report.h"

#include <glib/gstdio.h>
#include <string.h>

#define SCENARIOS      "model/scenarios/"
/* Windows at the end of a run, whose requests may not have ended. */
#define OPEN_WINDOWS   3
/* At most one request in so many may be rejected near its deadline. */
#define MAX_HELD_SHARE 200
/* Share on time of that before the burst, and when after it. */
#define RECOVERED      0.9
#define RECOVERY_TIME  (5 * USEC_PER_SEC)

static const struct {
	const char *file;
	int burst_from, burst_to; /* s */
} replays[] = {
	{ SCENARIOS "all_kinds_burst.ini", 6, 14 },
	{ SCENARIOS "crashed_stage.ini", 8, 16 },
	{ SCENARIOS "impatient.ini", 6, 14 },
	{ SCENARIOS "kinds_burst.ini", 3, 20 },
	{ SCENARIOS "leaving_callers.ini", 8, 14 },
	{ SCENARIOS "lost_inputs.ini", 6, 11 },
	{ SCENARIOS "power_back.ini", 6, 7 },
	{ SCENARIOS "returning_callers.ini", 8, 16 },
	{ SCENARIOS "slow_stage.ini", 8, 14 },
	{ SCENARIOS "slow_targets.ini", 8, 18 },
};

/* Sums the windows of a span of time, of one kind or of all (kind < 0). */
static struct sim_counts
sum(const struct scenario *s, const struct sim_result *r, usec_t from,
    usec_t to, int kind)
{
	struct sim_counts all = { 0 };

	for (uint32_t w = 0; w + OPEN_WINDOWS < r->n_windows; w++) {
		usec_t at = (usec_t)w * s->window;

		for (uint32_t k = 0; k < s->n_kinds; k++) {
			const struct sim_counts *c = &r->windows[w][k];

			if (at < from || at >= to ||
			    (kind >= 0 && k != (uint32_t)kind))
				continue;
			all.asked += c->asked;
			all.on_time += c->on_time;
			all.rejected += c->rejected;
			all.held += c->held;
		}
	}
	return all;
}

static double
on_time(const struct sim_counts *c)
{
	return c->asked > 0 ? (double)c->on_time / c->asked : 1;
}

/* A kind of lower rank (more urgent) is on time at least as often. */
static void
check_ranks(const struct scenario *s, const struct sim_result *r)
{
	for (uint32_t i = 0; i < s->n_kinds; i++) {
		for (uint32_t k = 0; k < s->n_kinds; k++) {
			struct sim_counts x = sum(s, r, 0, s->length, (int)i);
			struct sim_counts y = sum(s, r, 0, s->length, (int)k);

			/* Kinds with other stages need not wait for them. */
			if (s->kinds[i].rank >= s->kinds[k].rank ||
			    s->kinds[i].n_stages != s->kinds[k].n_stages)
				continue;
			g_assert_cmpfloat(on_time(&x), >=, on_time(&y));
		}
	}
}

static void
check_replay(size_t i, const struct scenario *s, const struct sim_result *r)
{
	usec_t from = replays[i].burst_from * USEC_PER_SEC;
	usec_t to = replays[i].burst_to * USEC_PER_SEC;
	struct sim_counts all = sum(s, r, 0, s->length, -1);
	struct sim_counts before = sum(s, r, 0, from, -1);
	struct sim_counts after = sum(s, r, to + RECOVERY_TIME, s->length, -1);

	g_test_message("%s: on time %.3f before, %.3f after, %u of %u held",
	    replays[i].file, on_time(&before), on_time(&after), all.held,
	    all.asked);
	g_assert_cmpuint(before.rejected, ==, 0);
	g_assert_cmpuint(after.asked, >, 0);
	g_assert_cmpfloat(on_time(&after), >=, RECOVERED * on_time(&before));
	g_assert_cmpuint(all.held * MAX_HELD_SHARE, <=, all.asked);
	check_ranks(s, r);
}

static void
test_replays(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(replays); i++) {
		struct scenario s;
		struct sim_result r;
		struct err e = { 0 };

		g_assert_cmpint(scenario_read(&s, replays[i].file, &e), ==, 0);
		sim_run(&s, SIM_ALL, &r);
		check_replay(i, &s, &r);
		sim_result_free(&r);
	}
}

/* Of each kind at least this share of the oracle's is served on time. */
#define ORACLE_SHARE 0.9

/*
 * Callers that come back count from their first attempt, nearly as well as if
 * their ages were known.
 */
static void
test_returning_callers(void)
{
	struct scenario s;
	struct sim_result r;
	struct sim_result oracle;
	struct err e = { 0 };

	g_assert_cmpint(
	    scenario_read(&s, SCENARIOS "returning_callers.ini", &e), ==, 0);
	sim_run(&s, SIM_ALL, &r);
	sim_run(&s, SIM_ALL | SIM_TRUE_AGE, &oracle);
	for (uint32_t i = 0; i < s.n_kinds; i++) {
		g_test_message("%s: on time %.3f, oracle %.3f", s.kinds[i].name,
		    on_time(&r.kinds[i]), on_time(&oracle.kinds[i]));
		g_assert_cmpfloat(on_time(&r.kinds[i]), >=,
		    ORACLE_SHARE * on_time(&oracle.kinds[i]));
	}
	sim_result_free(&r);
	sim_result_free(&oracle);
}

/*
 * Slow targets beside fast ones that have room left: their calls must not make
 * requests late.
 */
static void
test_slow_targets(void)
{
	struct scenario s;
	struct sim_result r;
	struct sim_counts before;
	struct sim_counts during;
	struct err e = { 0 };

	g_assert_cmpint(
	    scenario_read(&s, SCENARIOS "slow_targets.ini", &e), ==, 0);
	sim_run(&s, SIM_ALL, &r);
	before = sum(&s, &r, 0, 8 * USEC_PER_SEC, -1);
	during = sum(&s, &r, 8 * USEC_PER_SEC, 18 * USEC_PER_SEC, -1);
	g_test_message("on time %.3f before, %.3f with slow targets",
	    on_time(&before), on_time(&during));
	g_assert_cmpfloat(on_time(&during), >=, RECOVERED * on_time(&before));
	sim_result_free(&r);
}

/* The same scenario gives the same result, byte for byte. */
static void
test_repeatable(void)
{
	struct buf text[2] = { { 0 } };
	struct scenario s;
	struct err e = { 0 };

	g_assert_cmpint(
	    scenario_read(&s, SCENARIOS "lost_inputs.ini", &e), ==, 0);
	for (int i = 0; i < 2; i++) {
		struct sim_result r;

		sim_run(&s, SIM_ALL, &r);
		report_kinds(&s, &r, &text[i]);
		report_csv(&s, &r, SIM_ALL, &text[i]);
		sim_result_free(&r);
	}
	g_assert_true(str_eq(str_of(&text[0]), str_of(&text[1])));
	buf_free(&text[0]);
	buf_free(&text[1]);
}

static void
test_bad_scenarios(void)
{
	static const struct {
		const char *text, *expected;
	} cases[] = {
		{ "[run]\nseconds = 5\n", "no [kind NAME] is set" },
		{ "[kind a]\nrate = 5\n", "[run] seconds is not set" },
		{ "[run]\nseconds = -5\n", ":2: [run] seconds = -5: write a" },
		{ "[run]\nseconds = 5\n[kind a]\nrate = x\n",
		    ":4: [kind a] rate = x: write a number" },
		{ "[run]\nseconds = 5\n[kind a]\nrate = 1\nsoft_ms = 1\n"
		  "deadline_ms = 2\nstages = s:1:1\n",
		    "stages = s:1:1: write names of services" },
		{ "[run]\nseconds = 5\n[kind a]\nrate = 1\nsoft_ms = 1\n"
		  "deadline_ms = 2\n[fault f]\nat_s = 1\nfor_s = 1\n",
		    "[fault f] set either kind or service" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = NULL;
		struct scenario s;
		struct err e = { 0 };
		int fd = g_file_open_tmp("model-XXXXXX.ini", &path, NULL);

		g_assert_true(g_close(fd, NULL));
		g_assert_true(
		    g_file_set_contents(path, cases[i].text, -1, NULL));
		g_assert_cmpint(scenario_read(&s, path, &e), !=, 0);
		g_test_message("%s", e.text);
		g_assert_nonnull(strstr(e.text, cases[i].expected));
		remove(path);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/model/replays", test_replays);
	g_test_add_func("/model/returning-callers", test_returning_callers);
	g_test_add_func("/model/slow-targets", test_slow_targets);
	g_test_add_func("/model/repeatable", test_repeatable);
	g_test_add_func("/model/bad-scenarios", test_bad_scenarios);
	return g_test_run();
}
