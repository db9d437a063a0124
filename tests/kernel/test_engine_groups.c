/*
 * The groups of engines: how many a domain has while engines come and go, that
 * hosts agree on them, that they are even, and their names.
 */
#include "kernel/overload/engine_groups.h"

#include <glib.h>
#include <math.h>

#define MINUTE (60 * USEC_PER_SEC)

static uint64_t
hash_of(uint32_t i)
{
	char id[32];

	g_snprintf(id, sizeof(id), "engine-%u", i);
	return engine_groups_hash(id);
}

/* Each group is near its share: within 4.5 standard deviations of chance. */
static void
test_sizes(void)
{
	static const struct {
		uint32_t engines, groups;
	} cases[] = { { 0, 1 }, { 1, 1 }, { 63, 1 }, { 64, 1 }, { 65, 2 },
		{ 128, 2 }, { 129, 4 }, { 470, 8 }, { 1000, 16 },
		{ 10000, 256 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t n = engine_groups_number(cases[i].engines);
		double mean = (double)cases[i].engines / n;
		double spread = 4.5 * sqrt(mean * (1 - 1.0 / n));
		uint32_t sizes[256] = { 0 };

		g_test_message("%u engines", cases[i].engines);
		g_assert_cmpuint(n, ==, cases[i].groups);
		for (uint32_t k = 0; k < cases[i].engines; k++)
			sizes[engine_groups_index(hash_of(k), n)]++;
		for (uint32_t k = 0; k < n; k++)
			g_assert_cmpfloat(
			    fabs(sizes[k] - mean), <=, spread + 1e-9);
	}
}

/* With twice as many groups, each one is divided; no engine goes elsewhere. */
static void
test_doubling(void)
{
	for (uint32_t n = 1; n < 256; n *= 2) {
		for (uint32_t k = 0; k < 1000; k++) {
			uint32_t wide = engine_groups_index(hash_of(k), n);
			uint32_t narrow =
			    engine_groups_index(hash_of(k), 2 * n);

			g_assert_true(narrow == wide || narrow == wide + n);
		}
	}
}

/* The number of groups while engines come and go. */
static void
test_changes(void)
{
	static const struct {
		const char *name;
		struct {
			uint32_t minute, engines;
		} counts[5];
		uint32_t groups;
	} cases[] = {
		{ "at the bound", { { 0, 64 } }, 1 },
		{ "one more", { { 0, 64 }, { 1, 65 } }, 2 },
		{ "about the bound",
		    { { 0, 65 }, { 4, 64 }, { 8, 65 }, { 12, 63 } }, 2 },
		{ "a third is lost", { { 0, 470 }, { 1, 313 }, { 4, 313 } },
		    8 },
		{ "a third stays away",
		    { { 0, 470 }, { 1, 250 }, { 4, 250 }, { 6, 250 } }, 4 },
		{ "all are lost and come back",
		    { { 0, 128 }, { 1, 0 }, { 2, 128 } }, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct engine_count c = { 0 };

		for (size_t k = 0; k < G_N_ELEMENTS(cases[i].counts); k++) {
			if (k > 0 && cases[i].counts[k].minute == 0)
				break;
			engine_count_set(&c, cases[i].counts[k].engines,
			    MINUTE * (1 + cases[i].counts[k].minute));
		}
		g_test_message("%s", cases[i].name);
		g_assert_cmpuint(
		    engine_groups_number(c.engines), ==, cases[i].groups);
	}
}

/* Hosts with different pasts agree once these are over. */
static void
test_agreement(void)
{
	struct engine_count old = { 0 };
	struct engine_count new = { 0 };
	uint32_t differ = 0;

	engine_count_set(&old, 130, 1);
	for (usec_t now = MINUTE; now < 20 * MINUTE; now += USEC_PER_SEC) {
		/* 120 to 128 engines, the last one now and then. */
		uint32_t n = 120 + (uint32_t)(now / USEC_PER_SEC % 9);

		engine_count_set(&old, n, now);
		engine_count_set(&new, n, now);
		differ += engine_groups_number(old.engines) !=
		    engine_groups_number(new.engines);
	}
	g_assert_cmpuint(differ, <=, 5 * 60);
	g_assert_cmpuint(engine_groups_number(old.engines), ==, 2);
	g_assert_cmpuint(engine_groups_number(new.engines), ==, 2);
}

static void
test_names(void)
{
	static const struct {
		const char *name;
		bool valid;
		struct engine_group_id id;
	} cases[] = {
		{ "d1#0/2", true, { "d1", 0, 2 } },
		{ "d1#15/16", true, { "d1", 15, 16 } },
		{ "#1/2", true, { "", 1, 2 } },
		{ "a#b#1/4", true, { "a#b", 1, 4 } },
		{ "", false, { "", 0, 0 } },
		{ "d1", false, { "", 0, 0 } },
		{ "d1#", false, { "", 0, 0 } },
		{ "d1#0/1", false, { "", 0, 0 } },
		{ "d1#2/2", false, { "", 0, 0 } },
		{ "d1#0/3", false, { "", 0, 0 } },
		{ "d1#0/0", false, { "", 0, 0 } },
		{ "d1#-1/2", false, { "", 0, 0 } },
		{ "d1#0/2x", false, { "", 0, 0 } },
		{ "d1# 0/2", false, { "", 0, 0 } },
		{ "d1#0/4294967298", false, { "", 0, 0 } },
	};
	struct engine_group_id g = { "d1", 0, 1 };
	char name[ENGINE_GROUP_NAME_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct engine_group_id got;

		g_test_message("%s", cases[i].name);
		g_assert_true(
		    engine_group_parse(cases[i].name, &got) == cases[i].valid);
		if (!cases[i].valid)
			continue;
		g_assert_cmpstr(got.domain, ==, cases[i].id.domain);
		g_assert_cmpuint(got.index, ==, cases[i].id.index);
		g_assert_cmpuint(got.n, ==, cases[i].id.n);
		g_assert_true(engine_group_name(&got, name));
		g_assert_cmpstr(name, ==, cases[i].name);
	}
	/* A domain that isn't divided keeps its name. */
	g_assert_true(engine_group_name(&g, name));
	g_assert_cmpstr(name, ==, "d1");
	for (size_t i = 0; i < sizeof(g.domain) - 1; i++)
		g.domain[i] = 'x';
	g_assert_true(engine_group_name(&g, name));
	g.n = 2;
	g_assert_false(engine_group_name(&g, name));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/engine-groups/sizes", test_sizes);
	g_test_add_func("/engine-groups/doubling", test_doubling);
	g_test_add_func("/engine-groups/changes", test_changes);
	g_test_add_func("/engine-groups/agreement", test_agreement);
	g_test_add_func("/engine-groups/names", test_names);
	return g_test_run();
}
