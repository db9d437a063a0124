/*
 * Tests of how sequoiads share a workspace's limit, with a small fleet in
 * virtual time.
 *
 * Guards against shares that add up to more than the limit when sequoiads
 * crash, restart, pause, are partitioned or lose messages, and against reports
 * whose rate at an owner grows with the fleet.
 */
#include "base/rng.h"
#include "kernel/shares.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES          9
#define STEP           (250 * USEC_PER_MSEC)
#define MAX_VIEW_DELAY (13 * USEC_PER_SEC) /* exceeds SHARES_DETECT_TIME */
#define MAX_FAULT_GAP  40                  /* longest time between faults, s */
#define WORKSPACE      STR("large")

struct node {
	struct shares s;
	char id[MAX_NAME_BYTES + 1];
	bool dead;
	usec_t paused_until;
	int partition;
	bool sees[NODES];            /* whether it sees a node as live */
	usec_t differs_since[NODES]; /* time since sees is outdated; or 0 */
	usec_t delay[NODES];         /* from then until sees is updated */
	uint32_t demand;             /* ppm of the limit */
	uint32_t reports;            /* number sent */
};

struct fleet {
	struct node v[NODES];
	struct rng rng;
	usec_t now;
	bool faults;
	usec_t next_fault;
	uint64_t max_sum; /* highest sum of shares, ppm */
};

static bool
is_running(const struct fleet *f, const struct node *x)
{
	return !x->dead && f->now >= x->paused_until;
}

static bool
can_reach(const struct fleet *f, int i, int j)
{
	return is_running(f, &f->v[i]) && is_running(f, &f->v[j]) &&
	    f->v[i].partition == f->v[j].partition;
}

/* Returns the current share of node i. */
static uint32_t
ppm(struct fleet *f, int i)
{
	return shares_ppm(&f->v[i].s, f->now, WORKSPACE);
}

static void
update_live(struct fleet *f, struct node *x)
{
	const char *ids[NODES];
	size_t n = 0;

	for (int j = 0; j < NODES; j++) {
		if (x->sees[j])
			ids[n++] = f->v[j].id;
	}
	shares_set_live(&x->s, f->now, ids, n, NODES);
}

static void
start(struct fleet *f, int i)
{
	struct node *x = &f->v[i];

	shares_init(&x->s, f->now, x->id, (uint64_t)f->now);
	for (int j = 0; j < NODES; j++)
		x->sees[j] = true;
	update_live(f, x);
}

/*
 * Updates which nodes a node sees as live; it sees each change after a random
 * delay.
 */
static void
update_view(struct fleet *f, int i)
{
	struct node *x = &f->v[i];
	bool changed = false;

	for (int j = 0; j < NODES; j++) {
		if (i == j || x->sees[j] == can_reach(f, i, j)) {
			x->differs_since[j] = 0;
		} else if (x->differs_since[j] == 0) {
			x->differs_since[j] = f->now;
			x->delay[j] =
			    (usec_t)rng_below(&f->rng, MAX_VIEW_DELAY);
		} else if (f->now - x->differs_since[j] > x->delay[j]) {
			x->sees[j] = !x->sees[j];
			changed = true;
		}
	}
	if (changed)
		update_live(f, x);
}

static int
index_of(const char *id)
{
	return id[1] - '0';
}

static void
step_node(struct fleet *f, int i)
{
	struct node *x = &f->v[i];
	struct shares_report r;
	struct shares_reply reply;
	char owner[MAX_NAME_BYTES + 1];

	update_view(f, i);
	shares_set_wanted(&x->s, f->now, WORKSPACE, x->demand);
	while (shares_due(&x->s, f->now, &r, owner)) {
		int j = index_of(owner);

		x->reports++;
		if (!can_reach(f, i, j) || rng_below(&f->rng, 20) == 0)
			continue;
		shares_receive(&f->v[j].s, f->now, &r, &reply);
		if (rng_below(&f->rng, 20) != 0)
			shares_reply(&x->s, f->now, &reply);
	}
}

static void
inject_fault(struct fleet *f)
{
	int i = (int)rng_below(&f->rng, NODES);
	struct node *x = &f->v[i];

	switch (rng_below(&f->rng, 4)) {
	case 0:
		if (x->dead)
			start(f, i);
		else
			shares_free(&x->s);
		x->dead = !x->dead;
		break;
	case 1:
		x->paused_until = f->now +
		    (usec_t)(1 + rng_below(&f->rng, 60)) * USEC_PER_SEC;
		break;
	case 2:
		for (int j = 0; j < NODES; j++)
			f->v[j].partition = (int)rng_below(&f->rng, 3);
		break;
	default:
		for (int j = 0; j < NODES; j++)
			f->v[j].partition = 0;
		break;
	}
	f->next_fault = f->now +
	    (usec_t)(1 + rng_below(&f->rng, MAX_FAULT_GAP)) * USEC_PER_SEC;
}

static void
run(struct fleet *f, usec_t time)
{
	for (usec_t end = f->now + time; f->now < end; f->now += STEP) {
		uint64_t sum = 0;

		if (f->faults && f->now >= f->next_fault)
			inject_fault(f);
		for (int i = 0; i < NODES; i++) {
			if (is_running(f, &f->v[i]))
				step_node(f, i);
		}
		for (int i = 0; i < NODES; i++) {
			if (!f->v[i].dead)
				sum += ppm(f, i);
		}
		if (sum > f->max_sum)
			f->max_sum = sum;
	}
}

static void
fleet_init(struct fleet *f, uint64_t seed)
{
	memset(f, 0, sizeof(*f));
	f->now = USEC_PER_SEC;
	rng_init(&f->rng, seed);
	for (int i = 0; i < NODES; i++)
		snprintf(f->v[i].id, sizeof(f->v[i].id), "n%d", i);
	for (int i = 0; i < NODES; i++)
		start(f, i);
}

static void
fleet_free(struct fleet *f)
{
	for (int i = 0; i < NODES; i++) {
		if (!f->v[i].dead)
			shares_free(&f->v[i].s);
	}
}

static void
test_demand(void)
{
	static const struct {
		const char *name;
		uint32_t demand[NODES];
		uint32_t min_share[NODES];
		bool reports;
	} cases[] = {
		{ "all within the floor", { 50000, 50000, 50000 },
		    { 55555, 55555, 55555, 55555 }, false },
		{ "demand at one node", { 900000 }, { 500000, 55555 }, true },
		{ "uneven demand at two nodes", { 600000, 300000 },
		    { 320000, 160000, 55555 }, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fleet f;

		g_test_message("%s", cases[i].name);
		fleet_init(&f, 1);
		for (int j = 0; j < NODES; j++)
			f.v[j].demand = cases[i].demand[j];
		run(&f, 60 * USEC_PER_SEC);
		for (int j = 0; j < NODES; j++)
			g_assert_cmpuint(ppm(&f, j), >=, cases[i].min_share[j]);
		g_assert_true((f.v[0].reports > 0) == cases[i].reports);
		g_assert_cmpuint(f.max_sum, <=, SHARES_PPM);

		/* All demand moves to the last node. */
		for (int j = 0; j < NODES; j++)
			f.v[j].demand = j == NODES - 1 ? 900000 : 0;
		run(&f, 10 * USEC_PER_SEC);
		g_assert_cmpuint(ppm(&f, NODES - 1), >=, 500000);
		g_assert_cmpuint(f.max_sum, <=, SHARES_PPM);
		fleet_free(&f);
	}
}

/*
 * The owner crashes: shares stay until other owners take over, and their sum
 * stays within the limit.
 */
static void
test_owner_change(void)
{
	struct fleet f;
	uint32_t before;
	int owner;
	int holder;

	fleet_init(&f, 2);
	for (int j = 0; j < NODES; j++)
		f.v[j].demand = 200000;
	run(&f, 60 * USEC_PER_SEC);
	owner = index_of(f.v[0].s.v[0].owner);
	holder = owner == 0 ? 1 : 0;
	before = ppm(&f, holder);
	shares_free(&f.v[owner].s);
	f.v[owner].dead = true;
	run(&f, 3 * USEC_PER_SEC);
	g_assert_cmpuint(ppm(&f, holder), ==, before);
	run(&f, 60 * USEC_PER_SEC);
	g_assert_cmpint(index_of(f.v[holder].s.v[0].owner), !=, owner);
	g_assert_cmpuint(ppm(&f, holder), >=, before - 10000);
	g_assert_cmpuint(f.max_sum, <=, SHARES_PPM);
	fleet_free(&f);
}

/* A reply to an older report and a reply that comes too late are ignored. */
static void
test_stale_reply(void)
{
	struct fleet f;
	struct shares_report r;
	struct shares_reply reply = {
		.ttl_ms = 10000, .next_ms = 1000, .n = 1
	};
	char owner[MAX_NAME_BYTES + 1];
	struct node *x;

	fleet_init(&f, 3);
	snprintf(reply.v[0].workspace, sizeof(reply.v[0].workspace), "large");
	reply.v[0].ppm = 400000;
	for (x = f.v; x < f.v + 2; x++) {
		shares_set_wanted(&x->s, f.now, WORKSPACE, 900000);
		f.now += USEC_PER_SEC;
		if (shares_due(&x->s, f.now, &r, owner))
			break;
	}
	g_assert_true(x < f.v + 2);
	reply.number = r.number - 1;
	shares_reply(&x->s, f.now, &reply);
	g_assert_cmpuint(ppm(&f, index_of(x->id)), ==, 55555);
	reply.number = r.number;
	shares_reply(&x->s, f.now + SHARES_REPLY_MAX + 1, &reply);
	g_assert_cmpuint(ppm(&f, index_of(x->id)), ==, 55555);
	shares_reply(&x->s, f.now, &reply);
	g_assert_cmpuint(ppm(&f, index_of(x->id)), ==, 455555);
	f.now += 10 * USEC_PER_SEC;
	g_assert_cmpuint(ppm(&f, index_of(x->id)), ==, 55555);
	fleet_free(&f);
}

/* Crashes, restarts, pauses, partitions and lost messages, several at once. */
static void
test_faults(void)
{
	for (uint64_t seed = 1; seed <= 40; seed++) {
		struct fleet f;

		fleet_init(&f, seed);
		f.faults = true;
		for (int k = 0; k < 20; k++) {
			for (int j = 0; j < NODES; j++)
				f.v[j].demand =
				    (uint32_t)rng_below(&f.rng, 800000);
			run(&f, 30 * USEC_PER_SEC);
		}
		g_test_message(
		    "seed %d: at most %d ppm", (int)seed, (int)f.max_sum);
		g_assert_cmpuint(f.max_sum, <=, SHARES_PPM);
		fleet_free(&f);
	}
}

#define HOLDERS          1400
/* Five full report cycles of all holders, in seconds. */
#define MEASURED_SECONDS (5 * HOLDERS / SHARES_REPORTS_PER_SEC)
#define WARM_UP_SECONDS  200

/*
 * The demand of all holders changes at once, every 10 s; the rate of reports to
 * an owner stays within its bound.
 */
static void
test_cost(void)
{
	static const char *const ids[] = { "owner" };
	struct shares *v = xcalloc(HOLDERS, sizeof(*v));
	struct shares owner;
	struct shares_report r;
	struct shares_reply reply;
	char to[MAX_NAME_BYTES + 1];
	usec_t now = USEC_PER_SEC;
	int reports = 0;

	shares_init(&owner, now, "owner", 1);
	shares_set_live(&owner, now, ids, 1, HOLDERS);
	for (int i = 0; i < HOLDERS; i++) {
		g_autofree char *id = g_strdup_printf("n%d", i);

		shares_init(&v[i], now, id, 1);
		shares_set_live(&v[i], now, ids, 1, HOLDERS);
	}
	for (int t = 0; t < WARM_UP_SECONDS + MEASURED_SECONDS;
	     t++, now += USEC_PER_SEC) {
		shares_due(&owner, now, &r, to);
		for (int i = 0; i < HOLDERS; i++) {
			shares_set_wanted(&v[i], now, WORKSPACE,
			    t / 10 % 2 == 0 ? 2000 : 4000);
			if (!shares_due(&v[i], now, &r, to))
				continue;
			reports += t >= WARM_UP_SECONDS;
			shares_receive(&owner, now, &r, &reply);
			shares_reply(&v[i], now, &reply);
		}
	}
	g_test_message("%d holders: %d reports in %d s to one owner", HOLDERS,
	    reports, (int)MEASURED_SECONDS);
	g_assert_cmpint(reports, <=, MEASURED_SECONDS * SHARES_REPORTS_PER_SEC);
	for (int i = 0; i < HOLDERS; i++)
		shares_free(&v[i]);
	shares_free(&owner);
	free(v);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shares/demand", test_demand);
	g_test_add_func("/shares/owner-change", test_owner_change);
	g_test_add_func("/shares/stale-reply", test_stale_reply);
	g_test_add_func("/shares/faults", test_faults);
	g_test_add_func("/shares/cost", test_cost);
	return g_test_run();
}
