/* Memory and time of the tables of targets and workspaces, and of routing. */
#include "tests/capacity/capacity.h"
#include "kernel/limit.h"
#include "kernel/pick.h"
#include "kernel/shares.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES 25
#define CHOICES  2000
#define UPDATES  5

static struct listed_target *
make_targets(size_t n, size_t services)
{
	struct listed_target *v = xcalloc(n, sizeof(*v));

	for (size_t i = 0; i < n; i++) {
		snprintf(v[i].service, sizeof(v[i].service), "service-%zu",
		    i % services);
		snprintf(v[i].addr, sizeof(v[i].addr), "10.%zu.%zu.%zu:8000",
		    i / 62500, i / 250 % 250, i % 250);
		snprintf(
		    v[i].domain, sizeof(v[i].domain), "domain-%zu", i % 10);
	}
	return v;
}

/* Returns the JSON of a host list as the platform sends it. */
static char *
targets_json(const struct listed_target *v, size_t n)
{
	json_auto_t *a = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(a,
		    json_pack("{s:s,s:s,s:s,s:s}", "service", v[i].service,
			"address", v[i].addr, "failure_domain", v[i].domain,
			"state", "live"));
	return json_dumps(a, JSON_COMPACT);
}

static double
parse_time(const char *text)
{
	double before = cpu_usec();

	for (int i = 0; i < UPDATES; i++)
		json_decref(json_loads(text, 0, NULL));
	return (cpu_usec() - before) / UPDATES;
}

static double
update_time(struct targets *t, const struct listed_target *v, size_t n)
{
	double before = cpu_usec();

	for (int i = 0; i < UPDATES; i++)
		targets_update(t, v, n, USEC_PER_SEC);
	return (cpu_usec() - before) / UPDATES;
}

void
measure_targets(void)
{
	static const size_t sizes[] = { 1000, 10000, 20000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct listed_target *v = make_targets(sizes[i], SERVICES);
		g_autofree char *text = targets_json(v, sizes[i]);
		struct targets t = { 0 };
		double before = heap_bytes();
		double x = (double)sizes[i];

		targets_update(&t, v, sizes[i], USEC_PER_SEC);
		record_point("memory of the target table, B per runner", x,
		    heap_bytes() - before);
		record_point("taking an unchanged host list, us per runner", x,
		    update_time(&t, v, sizes[i]));
		record_point(
		    "host list as JSON, B per runner", x, (double)strlen(text));
		record_point("reading the JSON of a host list, us per runner",
		    x, parse_time(text));
		targets_free(&t);
		free(v);
	}
}

static double
choice_time(struct targets *t, const char *policy)
{
	struct conf_policy conf = { .prefer_domain = 1, .imbalance = 4 };
	struct rng rng;
	struct pick p = { .targets = t,
		.service = 0,
		.now = USEC_PER_SEC,
		.rng = &rng,
		.domain = "domain-1",
		.policy = &conf,
		.concurrency = 64 };
	const struct balance_ops *ops = plugin_find_balance(str_from(policy));
	double before = cpu_usec();

	rng_init(&rng, 1);
	for (uint64_t i = 1; i <= CHOICES; i++) {
		p.affinity = i * 0x9e3779b97f4a7c15U;
		g_assert_cmpint(ops->choose(&p), >=, 0);
	}
	return (cpu_usec() - before) / CHOICES;
}

void
measure_routing(void)
{
	static const size_t sizes[] = { 20, 400, 10000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct listed_target *v = make_targets(sizes[i], 1);
		struct targets t = { 0 };
		double x = (double)sizes[i];

		targets_update(&t, v, sizes[i], USEC_PER_SEC);
		record_point("a choice by two-choice, us per runner", x,
		    choice_time(&t, "two-choice"));
		record_point("a choice by affinity, us per runner", x,
		    choice_time(&t, "affinity"));
		targets_free(&t);
		free(v);
	}
}

/* Admits a request of each workspace, which wants more than its floor. */
static void
fill_tables(const struct conf *c, struct limits *l, struct shares *s)
{
	static const char *const live[] = { "n1", "n2", "n3" };
	usec_t retry;

	shares_set_live(
	    s, USEC_PER_SEC, live, G_N_ELEMENTS(live), G_N_ELEMENTS(live));
	for (size_t i = 0; i < c->n_workspaces; i++) {
		limit_admit(l, c->workspaces[i], USEC_PER_SEC, &retry);
		shares_set_wanted(s, USEC_PER_SEC,
		    str_from(c->workspaces[i]->name), SHARES_PPM);
	}
}

void
measure_workspaces(void)
{
	static const size_t sizes[] = { 10, 90, 270 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		double heap = heap_bytes();
		double cpu = cpu_usec();
		struct conf *c = capacity_conf(sizes[i]);
		struct limits l = { .sequoiads = 3 };
		struct shares s;

		record_point("reading the configuration, us per workspace",
		    (double)sizes[i], cpu_usec() - cpu);
		shares_init(&s, 0, "n1", 1);
		fill_tables(c, &l, &s);
		record_point(
		    "configuration, limits and shares, B per workspace",
		    (double)sizes[i], heap_bytes() - heap);
		shares_free(&s);
		limit_free(&l);
		conf_unref(c);
	}
}
