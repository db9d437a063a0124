/* How the stages' load is spread, counted and held back. */
#include "base/hash.h"
#include "kernel/homes.h"
#include "kernel/inflow.h"
#include "kernel/room.h"

#include <string.h>

#define MS USEC_PER_MSEC

/* Rooms. */

static void
test_room(void)
{
	struct room r;

	room_init(&r);
	g_assert_cmpuint(room_used(&r, "m:1", 0), ==, 0);
	room_reserve(&r, "m:1", 100);
	g_assert_cmpuint(room_used(&r, "m:1", 0), ==, 100);
	room_hold(&r, "m:1/a", 40, 1000);
	room_hold(&r, "m:1/b", 60, 2000);
	room_unreserve(&r, "m:1", 100);
	g_assert_cmpuint(room_used(&r, "m:1", 0), ==, 100);
	g_assert_cmpuint(room_used(&r, "m:2", 0), ==, 0);
	/* Told twice, held once. */
	room_hold(&r, "m:1/a", 40, 1000);
	g_assert_cmpuint(room_used(&r, "m:1", 0), ==, 100);
	g_assert_false(room_free_result(&r, STR("m:1/zz")));
	g_assert_true(room_free_result(&r, STR("m:1/a")));
	g_assert_false(room_free_result(&r, STR("m:1/a")));
	g_assert_cmpuint(room_used(&r, "m:1", 0), ==, 60);
	g_assert_cmpuint(room_used(&r, "m:1", 1999), ==, 60);
	g_assert_cmpuint(room_used(&r, "m:1", 2000), ==, 0);
	room_unreserve(&r, "m:1", 100);
	g_assert_cmpuint(room_used(&r, "m:1", 2000), ==, 0);
	room_clear(&r);
}

/* A maker that was full is asked again by and by. */
static void
test_room_full(void)
{
	static const struct {
		usec_t after;
		uint64_t least;
		uint64_t most;
	} cases[] = {
		{ 0, 100, 100 },
		{ 500 * MS, 80, 90 },
		{ 1000 * MS, 65, 75 },
		{ 1999 * MS, 40, 41 },
		{ 2000 * MS, 40, 40 },
	};
	struct room r;

	room_init(&r);
	room_hold(&r, "m:1/a", 40, 10000 * MS);
	room_full(&r, "m:1", 100, 5 * MS);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint64_t used = room_used(&r, "m:1", 5 * MS + cases[i].after);

		g_assert_cmpuint(used, >=, cases[i].least);
		g_assert_cmpuint(used, <=, cases[i].most);
	}
	/* What is known to be there is not counted twice. */
	room_reserve(&r, "m:1", 60);
	room_full(&r, "m:1", 100, 5000 * MS);
	g_assert_cmpuint(room_used(&r, "m:1", 5000 * MS), ==, 100);
	/* Another maker isn't. */
	g_assert_cmpuint(room_used(&r, "m:2", 5000 * MS), ==, 0);
	room_clear(&r);
}

/* Homes. */

/* How often a host of each of these sizes is chosen, in 20,000 services. */
static void
count_homes(const uint32_t *sizes, size_t n, int *wins)
{
	for (int s = 0; s < 20000; s++) {
		size_t best = 0;
		double most = 0;

		for (size_t i = 0; i < n; i++) {
			g_autofree char *id = g_strdup_printf("%zu", i);
			double w = homes_weight(
			    hash_u64(str_from(id), (uint64_t)s), sizes[i]);

			if (w > most) {
				most = w;
				best = i;
			}
		}
		wins[best]++;
	}
}

/* Homes fall on hosts by the fourth power of their size. */
static void
test_homes(void)
{
	static const uint32_t sizes[] = { 120, 120, 250, 500, 0 };
	static const double weights[] = { 0.053, 0.053, 1, 16, 1 };
	int wins[G_N_ELEMENTS(sizes)] = { 0 };
	double sum = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		sum += weights[i];
	count_homes(sizes, G_N_ELEMENTS(sizes), wins);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		g_assert_cmpfloat_with_epsilon(
		    wins[i] / 20000.0, weights[i] / sum, 0.02);
}

/* A fleet of 8 large and 72 small hosts: one home in twenty is small at most.
 */
static void
test_homes_of_small_hosts(void)
{
	uint32_t sizes[80];
	int wins[G_N_ELEMENTS(sizes)] = { 0 };
	int small = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		sizes[i] = i < 8 ? 500 : 120;
	count_homes(sizes, G_N_ELEMENTS(sizes), wins);
	for (size_t i = 8; i < G_N_ELEMENTS(sizes); i++)
		small += wins[i];
	g_assert_cmpint(small, <, 20000 / 20);
}

/* Inflow. */

/* Shares by what is offered a second and what waits; capacity 1000. */
static void
test_inflow_shares(void)
{
	static const struct {
		const char *name;
		double offered[INFLOW_RANKS];
		double waiting[INFLOW_RANKS];
		double shares[INFLOW_RANKS];
	} cases[] = {
		{ "idle", { 0 }, { 0 }, { 1, 1, 1, 1 } },
		{ "fits", { 300, 0, 600 }, { 0, 0, 100 }, { 1, 1, 1, 1 } },
		{ "more comes, but little waits", { 400, 0, 1200 },
		    { 0, 0, 1000 }, { 1, 1, 1, 1 } },
		{ "the least urgent gives way", { 400, 0, 1200 },
		    { 0, 0, 1400 }, { 1, 1, 500.0 / 1200, 0.1 } },
		{ "by rank", { 800, 400, 300 }, { 0, 1400, 0 },
		    { 1, 0.25, 0.1, 0.1 } },
		{ "more than all of the most urgent", { 2000, 0, 500 },
		    { 1400 }, { 0.45, 0.1, 0.1, 0.1 } },
		{ "urgent work does not wait behind other work",
		    { 400, 0, 600 }, { 0, 0, 9000 }, { 1, 1, 0.1, 0.1 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct inflow f = { 0 };
		struct inflow_state s = { .capacity = 1000 };
		double shares[INFLOW_RANKS];

		g_test_message("%s", cases[i].name);
		memcpy(f.offered, cases[i].offered, sizeof(f.offered));
		memcpy(s.waiting, cases[i].waiting, sizeof(s.waiting));
		inflow_shares(&f, &s, 0, shares);
		for (int k = 0; k < INFLOW_RANKS; k++) {
			if (cases[i].offered[k] > 0)
				g_assert_cmpfloat_with_epsilon(
				    shares[k], cases[i].shares[k], 1e-9);
		}
	}
}

/*
 * A chain whose last stage can make a thousand pieces a second is offered twice
 * as much for six seconds; work comes to it a second and a half after the
 * request came, and is lost if it waits longer than its inputs are kept.
 */
struct chain_load {
	double begun;   /* pieces that began, by the least urgent rank */
	double made;    /* and came through */
	double busy;    /* share of the stage's time in the burst */
	double lost;    /* whose inputs expired */
	double refused; /* at the start */
};

#define LOAD_STEP  (10 * MS)
#define LOAD_LAG   150 /* steps until the last stage */
#define LOAD_KEEP  400 /* steps that inputs are kept */
#define LOAD_STEPS 1200

static struct chain_load
play_overload(bool held_back)
{
	static double waiting[LOAD_STEPS + LOAD_LAG]; /* by when they came */
	struct inflow f = { 0 };
	struct inflow_state s = { .capacity = 1000 };
	struct chain_load out = { 0 };
	double shares[INFLOW_RANKS] = { 1, 1, 1, 1 };
	double stands[LOAD_STEPS + LOAD_LAG];

	memset(waiting, 0, sizeof(waiting));
	for (int t = 0; t < LOAD_STEPS; t++) {
		double offered = t >= 100 && t < 700 ? 20 : 5;
		double can = 10; /* a step */
		double share = held_back ? shares[2] : 1;

		waiting[t + LOAD_LAG] = offered * share;
		stands[t + LOAD_LAG] = 1 / share;
		out.begun += offered * share;
		out.refused += offered * (1 - share);
		if (t >= LOAD_LAG && waiting[t] > 0)
			inflow_note(
			    &f, 2, 1, waiting[t] * stands[t], t * LOAD_STEP);
		s.waiting[2] = 0;
		for (int i = t > LOAD_KEEP + 50 ? t - LOAD_KEEP - 50 : 0;
		     i <= t; i++) {
			double n = waiting[i] < can ? waiting[i] : can;

			if (t - i > LOAD_KEEP) {
				out.lost += waiting[i];
				waiting[i] = 0;
				continue;
			}
			waiting[i] -= n;
			can -= n;
			out.made += n;
			if (t >= 100 + LOAD_LAG && t < 700 + LOAD_LAG)
				out.busy += n / (10 * 600);
			s.waiting[2] += waiting[i];
		}
		inflow_shares(&f, &s, t * LOAD_STEP, shares);
	}
	return out;
}

static void
test_inflow_overload(void)
{
	struct chain_load free_run = play_overload(false);
	struct chain_load held = play_overload(true);

	/* Without it the work of the first stages is lost. */
	g_assert_cmpfloat(free_run.lost, >, 0.1 * 20 * 600);
	/* With it none is, and the stage is no less busy: 95 in 100. */
	g_assert_cmpfloat(held.lost, ==, 0);
	g_assert_cmpfloat(held.busy, >, 0.95);
	g_assert_cmpfloat(held.refused, >, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/room/counted", test_room);
	g_test_add_func("/room/full", test_room_full);
	g_test_add_func("/homes/sizes", test_homes);
	g_test_add_func("/homes/small", test_homes_of_small_hosts);
	g_test_add_func("/inflow/shares", test_inflow_shares);
	g_test_add_func("/inflow/overload", test_inflow_overload);
	return g_test_run();
}
