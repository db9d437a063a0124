/*
 * Table-driven tests of the parts of the kernel's policies: histogram, retry
 * budget, workspace limits, fair queue, the table of targets and the choice
 * among targets.
 */
#include "base/rng.h"
#include "kernel/answer.h"
#include "kernel/budget.h"
#include "kernel/limit.h"
#include "kernel/pick.h"
#include "kernel/histogram.h"
#include "kernel/queue.h"

#include <glib.h>
#include <limits.h>
#include <string.h>

#define MSEC   USEC_PER_MSEC
#define N_MANY 10000

/* A load that an int can't hold is a high one, not none and not a low one. */
static void
test_answer_load(void)
{
	static const struct {
		const char *body;
		int load;
	} cases[] = {
		{ "{}", -1 },
		{ "{\"load\":7}", 7 },
		{ "{\"load\":\"7\"}", -1 },
		{ "{\"load\":-2}", -1 },
		{ "{\"load\":4294967296}", INT_MAX },
		{ "{\"load\":9223372036854775807}", INT_MAX },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct stage_call c = { 0 };
		struct stage_answer a = { .load = -1 };
		json_t *o;

		buf_put(&a.body, str_from(cases[i].body));
		g_assert_cmpint(answer_object(&c, &a, 200, &o), ==, PARSE_DONE);
		g_assert_cmpint(a.load, ==, cases[i].load);
		json_decref(o);
		answer_free(&a);
	}
}

static void
test_histogram(void)
{
	static const struct {
		usec_t sample;
		unsigned n;
		unsigned percent;
		usec_t min;
		usec_t max;
	} cases[] = {
		{ 20 * MSEC, 7, 50, 1, 1 }, /* too few samples: the fallback */
		{ 20 * MSEC, 8, 50, 20 * MSEC, 25 * MSEC },
		{ 20 * MSEC, 5000, 99, 20 * MSEC, 25 * MSEC },
		{ 0, 100, 50, 0, 200 },
		{ -5, 100, 50, 0, 200 },
		{ 100 * USEC_PER_SEC, 100, 50, 99 * USEC_PER_SEC,
		    USEC_PER_SEC * 1000 },
		{ INT64_MAX / 2, 100, 99, USEC_PER_SEC, INT64_MAX },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct histogram h = { 0 };
		usec_t v;

		for (unsigned j = 0; j < cases[i].n; j++)
			histogram_add(&h, cases[i].sample);
		v = histogram_percentile(&h, cases[i].percent, 1);
		g_assert_cmpint(v, >=, cases[i].min);
		g_assert_cmpint(v, <=, cases[i].max);
	}
}

/* Recent samples outweigh older ones. */
static void
test_histogram_decay(void)
{
	struct histogram h = { 0 };

	for (int i = 0; i < 2000; i++)
		histogram_add(&h, 10 * MSEC);
	for (int i = 0; i < 2000; i++)
		histogram_add(&h, 100 * MSEC);
	g_assert_cmpint(histogram_percentile(&h, 50, 0), >=, 100 * MSEC);
}

static void
test_budget(void)
{
	static const struct {
		unsigned calls;
		uint32_t percent;
		unsigned max; /* retries granted */
	} cases[] = { { 0, 10, 2 }, { 100, 10, 12 }, { 10000, 10, 1002 },
		{ 1000, 0, 2 }, { 10, 100, 12 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct budget b;
		unsigned extra = 0;

		budget_init(&b);
		for (unsigned j = 0; j < cases[i].calls; j++) {
			budget_earn(&b, cases[i].percent);
			extra += budget_spend(&b, 0) ? 1 : 0;
		}
		while (budget_spend(&b, 0))
			extra++;
		g_assert_cmpuint(extra, <=, cases[i].max);
		g_assert_cmpuint(extra + 1, >=, cases[i].max);
		g_assert_false(budget_spend(&b, 2));
		budget_return(&b);
		g_assert_false(budget_spend(&b, 2));
	}
}

static void
test_limit(void)
{
	static const struct {
		uint32_t per_second;
		uint32_t in_flight;
		uint32_t tokens;
		uint32_t sequoiads;
		uint32_t ppm;
		unsigned sent; /* requests sent at the same time */
		unsigned passed;
	} cases[] = {
		{ 0, 0, 0, 1, 0, 100, 100 }, { 10, 0, 0, 1, 0, 100, 10 },
		{ 90, 0, 0, 9, 0, 100, 10 }, { 90, 0, 0, 9, 500000, 100, 45 },
		{ 0, 4, 0, 1, 0, 100, 4 },
		{ 0, 4, 0, 9, 0, 100, 1 }, /* at least one in flight */
		{ 0, 18, 0, 0, 0, 100, 18 },
		{ 0, 0, 100, 1, 0, 100, 100 }, /* charged when an answer ends */
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct conf_workspace w = { .name = (char *)"yard",
			.requests_per_second = cases[i].per_second,
			.requests_in_flight = cases[i].in_flight,
			.tokens_per_second = cases[i].tokens };
		struct limits l = { .sequoiads = cases[i].sequoiads };
		unsigned passed = 0;
		usec_t retry = 0;

		limit_set_share(&l, STR("yard"), cases[i].ppm);
		for (unsigned j = 0; j < cases[i].sent; j++) {
			if (limit_admit(&l, &w, 5, &retry) == 0)
				passed++;
			else
				g_assert_cmpint(retry, >, 0);
		}
		g_assert_cmpuint(passed, ==, cases[i].passed);
		g_assert_cmpuint(l.v[0].arrived, ==, cases[i].sent);
		limit_free(&l);
	}
}

/*
 * Requests that were admitted before a limit was set leave no debt, so that one
 * is admitted again 12 s later.  A clock that goes back fills no bucket.
 */
static void
test_limit_later(void)
{
	struct conf_workspace w = { .name = (char *)"yard" };
	struct limits l = { .sequoiads = 1 };
	usec_t retry = 0;

	for (int i = 0; i < N_MANY; i++) {
		g_assert_cmpint(
		    limit_admit(&l, &w, USEC_PER_SEC, &retry), ==, 0);
		limit_charge(&l, "yard", 100);
		limit_release(&l, "yard");
	}
	w.requests_per_second = 10;
	w.tokens_per_second = 10;
	g_assert_cmpint(limit_admit(&l, &w, 0, &retry), ==, ERR_OVER_LIMIT);
	g_assert_cmpint(limit_admit(&l, &w, 12 * USEC_PER_SEC, &retry), ==, 0);
	limit_release(&l, "yard");
	limit_release(&l, "yard");
	g_assert_cmpuint(l.v[0].in_flight, ==, 0);
	limit_free(&l);
}

/* The order in which queue lanes are served, when all entries wait at once. */
static void
test_queue(void)
{
	static const struct {
		const char *pushed;  /* lane letter and order digit */
		uint32_t weights[2]; /* weights of lanes a and b */
		const char *served;
	} cases[] = {
		{ "a3a1a2", { 1, 1 }, "a1a2a3" },
		{ "a1a1b1", { 1, 1 }, "a1b1a1" },
		{ "a1a2a3a4b1b2", { 1, 1 }, "a1b1a2b2a3a4" },
		{ "a1a2a3a4b1b2", { 2, 1 }, "a1b1a2a3b2a4" },
		{ "a1b1", { 0, 0 }, "a1b1" },
		{ "", { 1, 1 }, "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct queue_node nodes[8] = { 0 };
		struct queue q = { 0 };
		struct queue_node *n;
		GString *served = g_string_new("");

		for (size_t j = 0; cases[i].pushed[2 * j] != '\0'; j++) {
			char lane[2] = { cases[i].pushed[2 * j], '\0' };

			queue_push(&q,
			    queue_lane(
				&q, lane, cases[i].weights[lane[0] - 'a']),
			    &nodes[j], cases[i].pushed[2 * j + 1] - '0');
		}
		while ((n = queue_peek(&q)) != NULL) {
			g_string_append_printf(served, "%s%d",
			    q.lanes[n->lane].name, (int)n->order);
			queue_serve(&q, n, 0);
		}
		g_assert_cmpstr(served->str, ==, cases[i].served);
		g_assert_cmpuint(q.n, ==, 0);
		g_string_free(served, true);
		queue_free(&q);
	}
}

/*
 * The predicted number of entries ahead of a new one matches the number served
 * before it.
 */
static void
test_queue_ahead(void)
{
	static const struct {
		unsigned a;
		unsigned b;
		uint32_t weight; /* weight of lane b; lane a has 10 */
		unsigned
		    served; /* entries served before the new one is pushed */
	} cases[] = { { 0, 0, 10, 0 }, { 100, 0, 10, 0 }, { 100, 0, 1, 0 },
		{ 100, 0, 0, 0 }, { 100, 3, 10, 0 }, { 100, 3, 1, 7 },
		{ 100, 0, 10, 50 }, { 100, 2, 30, 20 }, { 2, 50, 10, 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		static struct queue_node nodes[200];
		struct queue q = { 0 };
		uint32_t a = queue_lane(&q, "a", 10);
		uint32_t b = queue_lane(&q, "b", cases[i].weight);
		unsigned n = cases[i].a + cases[i].b;
		struct queue_node *first;
		double ahead;
		double n_served = 0;

		memset(nodes, 0, sizeof(nodes));
		for (unsigned j = 0; j < n; j++)
			queue_push(&q, j < cases[i].a ? a : b, &nodes[j], 1);
		for (unsigned j = 0; j < cases[i].served; j++)
			queue_serve(&q, queue_peek(&q), 0);
		ahead = queue_ahead(&q, b);
		queue_push(&q, b, &nodes[n], 1);
		while ((first = queue_peek(&q)) != &nodes[n]) {
			queue_serve(&q, first, 0);
			n_served++;
		}
		g_test_message("case %zu: %g, %g", i, ahead, n_served);
		g_assert_cmpfloat(ABS(ahead - n_served), <=, 1);
		queue_free(&q);
	}
}

static void
fill_targets(struct targets *t, size_t n, usec_t now)
{
	struct listed_target *v = g_new0(struct listed_target, n);

	for (size_t i = 0; i < n; i++) {
		g_strlcpy(v[i].service, "s", sizeof(v[i].service));
		g_snprintf(v[i].addr, sizeof(v[i].addr), "10.0.%zu.%zu:80",
		    i / 250, i % 250);
		g_strlcpy(
		    v[i].domain, i % 2 > 0 ? "b" : "a", sizeof(v[i].domain));
	}
	targets_update(t, v, n, now);
	g_free(v);
}

static const struct conf_policy default_policy = {
	.set_aside = 1, .set_aside_cap = 40, .imbalance = 4
};

/*
 * A target's history of failures (f), successes (s) and seconds (.) decides
 * whether it is set aside.
 */
static void
test_set_aside(void)
{
	static const struct {
		size_t n;
		uint32_t cap;
		const char *history;
		bool chosen; /* whether it may then be chosen */
	} cases[] = {
		{ 5, 40, "ff", true },
		{ 5, 40, "fff", false },
		{ 5, 40, "fssf", true },
		{ 5, 40, "fsfsf", false }, /* half of its calls failed */
		{ 5, 40, "fff..", true },
		{ 5, 40, "fff..f", false },  /* the trial call failed */
		{ 5, 40, "fff..f.", false }, /* the second pause is longer */
		{ 5, 40, "fff..f..", true },
		{ 5, 40, "fff..sff", true },    /* the trial call succeeded */
		{ 5, 40, "fffffffff..", true }, /* the pause is not extended */
		{ 5, 0, "fffff", true },
		{ 1, 40, "fffff", true }, /* the cap spares the only target */
		{ 1, 100, "fffff", false },
		{ 2, 40, "fffff", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct conf_policy policy = default_policy;
		struct targets t = { 0 };
		struct pick p = { .targets = &t, .policy = &policy };

		policy.set_aside_cap = cases[i].cap;
		fill_targets(&t, cases[i].n, 0);
		for (const char *c = cases[i].history; *c != '\0'; c++) {
			if (*c == 'f')
				targets_failed(
				    &t, 0, p.now, &policy, FAULT_ANSWER);
			else if (*c == 's')
				targets_succeeded(&t, 0, p.now);
			else
				p.now += USEC_PER_SEC;
		}
		g_test_message("%s", cases[i].history);
		g_assert_true(pick_eligible(&p, 0) == cases[i].chosen);
		targets_free(&t);
	}
}

/* The number of failures of each kind that sets a target aside. */
static void
test_set_aside_faults(void)
{
	static const struct {
		enum target_fault fault;
		int failures;
	} cases[] = {
		{ FAULT_ANSWER, 3 },
		{ FAULT_CLOSED, 1 },
		{ FAULT_UNREACHABLE, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct targets t = { 0 };
		struct pick p = { .targets = &t, .policy = &default_policy };
		int n = 0;

		fill_targets(&t, 5, 0);
		for (; pick_eligible(&p, 0) && n < 9; n++)
			targets_failed(
			    &t, 0, 0, &default_policy, cases[i].fault);
		g_assert_cmpint(n, ==, cases[i].failures);
		targets_free(&t);
	}
}

/*
 * The cap limits how many targets are set aside, whatever fails; after the
 * pause one trial call is allowed.
 */
static void
test_set_aside_cap(void)
{
	struct targets t = { 0 };
	struct pick p = { .targets = &t, .policy = &default_policy };
	unsigned n_set_aside = 0;

	fill_targets(&t, 100, 0);
	for (int i = 0; i < 100; i++) {
		for (int j = 0; j < 5; j++)
			targets_failed(&t, i, 0, &default_policy, FAULT_ANSWER);
		n_set_aside += pick_eligible(&p, i) ? 0 : 1;
	}
	g_assert_cmpuint(n_set_aside, ==, 40);
	p.now = 2 * USEC_PER_SEC;
	g_assert_true(pick_eligible(&p, 0));
	targets_started(&t, 0);
	g_assert_false(pick_eligible(&p, 0));
	targets_succeeded(&t, 0, p.now);
	g_assert_true(pick_eligible(&p, 0));
	targets_free(&t);
}

/*
 * The number of calls out of 1000, sent one after another, that the first
 * target gets.
 */
static unsigned
share_of_first(const char *balance, struct pick *p)
{
	const struct balance_ops *ops = plugin_find_balance(str_from(balance));
	unsigned first = 0;

	for (int i = 0; i < 1000; i++)
		first += ops->choose(p) == 0 ? 1 : 0;
	return first;
}

static void
test_balance(void)
{
	static const struct {
		const char *balance;
		size_t n;
		uint32_t in_flight; /* calls in flight at the first target */
		double ratio;       /* call time to expected duration */
		const char *domain; /* own failure domain; first target: "a" */
		unsigned min;
		unsigned max;
	} cases[] = {
		{ "two-choice", 1, 0, 1, NULL, 1000, 1000 },
		{ "two-choice", 2, 0, 1, NULL, 300, 700 },
		{ "two-choice", 10, 0, 1, NULL, 50, 200 },
		{ "two-choice", 10, 1, 1, NULL, 0, 60 },
		{ "two-choice", 10, 0, 5, NULL, 0, 60 }, /* slow target */
		{ "two-choice", 10, 0, 1, "a", 100, 250 },
		{ "two-choice", 10, 1, 1, "a", 0, 60 }, /* load counts more */
		{ "round-robin", 10, 9, 5, NULL, 100, 100 },
		{ "affinity", 1, 50, 9, NULL, 1000, 1000 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct conf_policy policy = default_policy;
		struct targets t = { 0 };
		struct rng rng;
		struct pick p = { .targets = &t,
			.policy = &policy,
			.rng = &rng,
			.affinity = 7,
			.domain = cases[i].domain };
		unsigned got;

		rng_init(&rng, 1);
		policy.prefer_domain = cases[i].domain != NULL;
		fill_targets(&t, cases[i].n, 0);
		for (uint32_t j = 0; j < cases[i].in_flight; j++)
			targets_started(&t, 0);
		for (int j = 0; j < 20; j++)
			targets_record_time(&t, 0, cases[i].ratio, 0);
		got = share_of_first(cases[i].balance, &p);
		g_test_message("case %zu: %u", i, got);
		g_assert_cmpuint(got, >=, cases[i].min);
		g_assert_cmpuint(got, <=, cases[i].max);
		targets_free(&t);
	}
}

/*
 * No target can be chosen: the service has none, all are set aside, all are
 * busy, all are to be avoided.
 */
static void
test_balance_none(void)
{
	static const char *const names[] = { "two-choice", "round-robin",
		"affinity", "auto" };
	static const int avoid[] = { 0, 1, 2 };
	struct conf_policy policy = default_policy;
	struct rng rng;

	rng_init(&rng, 1);
	policy.set_aside_cap = 100;
	for (size_t i = 0; i < G_N_ELEMENTS(names) * 4; i++) {
		const struct balance_ops *ops =
		    plugin_find_balance(str_from(names[i / 4]));
		struct targets t = { 0 };
		struct pick p = { .targets = &t,
			.policy = &policy,
			.rng = &rng,
			.affinity = 7 };

		p.service = targets_service(&t, STR("s"));
		if (i % 4 > 0)
			fill_targets(&t, 3, 0);
		for (int j = 0; j < 3; j++) {
			for (int f = 0; f < 3 && i % 4 == 1; f++)
				targets_failed(&t, j, 0, &policy, FAULT_ANSWER);
			if (i % 4 == 2)
				targets_started(&t, j);
		}
		p.concurrency = i % 4 == 2 ? 1 : 0;
		p.avoid = avoid;
		p.n_avoid = i % 4 == 3 ? 3 : 0;
		g_assert_cmpint(ops->choose(&p), ==, -1);
		targets_free(&t);
	}
}

/*
 * Updates of the host list with 10,000 targets, which are added, move in the
 * list and are removed.
 */
static void
test_many_targets(void)
{
	struct targets t = { 0 };
	struct rng rng;
	struct pick p = {
		.targets = &t, .policy = &default_policy, .rng = &rng
	};
	const struct balance_ops *ops = plugin_find_balance(STR("affinity"));
	int chosen_targets[2] = { -1, -1 };

	rng_init(&rng, 1);
	for (int i = 0; i < 20; i++)
		fill_targets(&t, i % 2 > 0 ? N_MANY : N_MANY / 2, i);
	g_assert_cmpuint(t.n, ==, N_MANY);
	g_assert_cmpuint(t.services[0].n, ==, N_MANY);
	g_assert_cmpint(targets_find(&t, STR("10.0.39.249:80")), >=, 0);
	g_assert_cmpint(targets_find(&t, STR("10.0.40.0:80")), ==, -1);
	p.affinity = 7;
	for (int i = 0; i < 50; i++) {
		int at = ops->choose(&p);

		targets_started(&t, at);
		if (chosen_targets[0] < 0)
			chosen_targets[0] = at;
		else if (at != chosen_targets[0] && chosen_targets[1] < 0)
			chosen_targets[1] = at;
		if (i < 8)
			g_assert_true(
			    at == chosen_targets[0] || at == chosen_targets[1]);
	}
	/* The bound on imbalance sends further calls to other targets. */
	g_assert_cmpuint(t.v[chosen_targets[0]].in_flight, <, 10);
	targets_free(&t);
}

/*
 * A target that leaves the host list and returns while a call is in flight is a
 * new target.
 */
static void
test_returned_target(void)
{
	struct targets t = { 0 };

	fill_targets(&t, 2, 0);
	targets_started(&t, 1);
	fill_targets(&t, 1, 0);
	g_assert_cmpint(t.v[1].state, ==, TARGET_GONE);
	fill_targets(&t, 2, 0);
	g_assert_cmpuint(t.n, ==, 3);
	g_assert_cmpint(targets_find(&t, STR("10.0.0.1:80")), ==, 2);
	targets_ended(&t, 1);
	fill_targets(&t, 3, 0);
	g_assert_cmpuint(t.n, ==, 3);
	targets_free(&t);
}

/*
 * The host list makes a target that is leaving live again only after 30 s, or
 * once the target has reported that it is not leaving.
 */
static void
test_leaving_target(void)
{
	static const struct {
		usec_t after;
		bool not_leaving; /* has reported not to be leaving */
		enum target_state state;
	} cases[] = {
		{ 0, false, TARGET_LEAVING },
		{ 29 * USEC_PER_SEC, false, TARGET_LEAVING },
		{ 30 * USEC_PER_SEC, false, TARGET_LIVE },
		{ 1, true, TARGET_LIVE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct targets t = { 0 };

		fill_targets(&t, 1, 0);
		targets_mark_leaving(&t, 0, 0);
		g_assert_cmpint(t.v[0].state, ==, TARGET_LEAVING);
		if (cases[i].not_leaving)
			targets_clear_leaving(&t, 0);
		fill_targets(&t, 1, cases[i].after);
		g_assert_cmpint(t.v[0].state, ==, cases[i].state);
		targets_free(&t);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/answer-load", test_answer_load);
	g_test_add_func("/policy/histogram", test_histogram);
	g_test_add_func("/policy/histogram-decay", test_histogram_decay);
	g_test_add_func("/policy/budget", test_budget);
	g_test_add_func("/policy/limit", test_limit);
	g_test_add_func("/policy/limit-later", test_limit_later);
	g_test_add_func("/policy/queue", test_queue);
	g_test_add_func("/policy/queue-ahead", test_queue_ahead);
	g_test_add_func("/policy/set-aside", test_set_aside);
	g_test_add_func("/policy/set-aside-faults", test_set_aside_faults);
	g_test_add_func("/policy/set-aside-cap", test_set_aside_cap);
	g_test_add_func("/policy/balance", test_balance);
	g_test_add_func("/policy/balance-none", test_balance_none);
	g_test_add_func("/policy/many-targets", test_many_targets);
	g_test_add_func("/policy/returned-target", test_returned_target);
	g_test_add_func("/policy/leaving-target", test_leaving_target);
	return g_test_run();
}
