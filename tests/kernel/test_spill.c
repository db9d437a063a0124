/*
 * Services that are split by failure domain: which are, which targets a
 * coordinator calls, and when pieces go to another domain.
 */
#include "kernel/loads.h"
#include "kernel/overload/spill.h"

#include <stdio.h>

#define MS USEC_PER_MSEC

static void
test_is_split(void)
{
	static const struct {
		uint32_t targets, domains;
		bool was_split, expected;
	} cases[] = {
		{ 46, 6, false, true },
		{ 36, 6, false, true },
		{ 32, 6, false, false },
		/* A third of the targets crashed. */
		{ 24, 6, true, true },
		{ 17, 6, true, false },
		{ 18, 4, false, false },
		{ 5, 3, false, false },
		{ 100, 1, true, false },
		{ 0, 0, false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("case %zu", i);
		g_assert_true(spill_is_split(cases[i].targets, cases[i].domains,
				  cases[i].was_split) == cases[i].expected);
	}
}

/* The callers of a domain that is away are spread over all others. */
static void
test_home(void)
{
	static const struct spill_domain v[] = { { "a", 0 }, { "c", 0 },
		{ "d", 0 } };
	bool seen[G_N_ELEMENTS(v)] = { false };

	for (uint64_t i = 0; i < 100; i++) {
		g_assert_cmpuint(spill_home(v, G_N_ELEMENTS(v), "c", i), ==, 1);
		seen[spill_home(v, G_N_ELEMENTS(v), "b", i)] = true;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(v); i++)
		g_assert_true(seen[i]);
}

static void
test_choose(void)
{
	static const struct {
		int waits[4]; /* ms; 0: unknown */
		size_t home;
		const char *expected; /* the domains that may be chosen */
	} cases[] = {
		{ { 300, 300, 300, 300 }, 2, "2" },
		/* A little shorter is not enough. */
		{ { 600, 500, 450, 700 }, 3, "3" },
		{ { 600, 500, 440, 700 }, 3, "2" },
		/* All that are clearly shorter, so that hosts spread. */
		{ { 500, 600, 700, 2000 }, 3, "012" },
		{ { 1900, 600, 700, 2000 }, 3, "12" },
		/* An unknown wait is taken for the shortest possible. */
		{ { 0, 600, 600, 800 }, 3, "0" },
		{ { 0, 0, 0, 560 }, 3, "3" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bool seen[4] = { false };
		struct spill_domain v[4];
		char got[8] = "";

		for (int k = 0; k < 4; k++)
			v[k] = (struct spill_domain){ "d",
				cases[i].waits[k] * MS };
		for (uint64_t r = 0; r < 24; r++)
			seen[spill_choose(v, 4, cases[i].home, 320 * MS, r)] =
			    true;
		for (int k = 0; k < 4; k++) {
			if (seen[k])
				g_strlcat(got, &"0\0001\0002\0003"[2 * k],
				    sizeof(got));
		}
		g_test_message("case %zu", i);
		g_assert_cmpstr(got, ==, cases[i].expected);
	}
}

static void
add_targets(GArray *v, const char *service, int n, int domains)
{
	for (int i = 0; i < n; i++) {
		struct target_entry e = { .slots = 1 };

		snprintf(e.id, sizeof(e.id), "%s-%d", service, i);
		snprintf(e.addr, sizeof(e.addr), "10.0.0.%d:%s", i, service);
		snprintf(e.service, sizeof(e.service), "%s", service);
		snprintf(e.domain, sizeof(e.domain), "d%d", i % domains);
		g_array_append_val(v, e);
	}
}

/* A domain that has lost all targets of a service uses those of the others. */
static void
test_targets(void)
{
	g_autoptr(GArray) v =
	    g_array_new(FALSE, TRUE, sizeof(struct target_entry));
	struct loads l;

	loads_init(&l, "d1", 1);
	add_targets(v, "80", 36, 6);
	add_targets(v, "81", 5, 3);
	loads_update(&l, v, 0);
	g_assert_cmpuint(loads_domains(&l, "80")->len, ==, 6);
	g_assert_null(loads_domains(&l, "81"));
	g_assert_null(loads_domains(&l, "82"));
	g_assert_cmpuint(loads_usable_in(&l, "80", "d1")->len, ==, 6);
	g_assert_cmpuint(loads_usable_in(&l, "80", "elsewhere")->len, ==, 36);
	g_assert_cmpuint(loads_usable_in(&l, "81", "d1")->len, ==, 5);
	g_assert_null(loads_usable_in(&l, "82", "d1"));
	loads_free(&l);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/spill/is-split", test_is_split);
	g_test_add_func("/spill/home", test_home);
	g_test_add_func("/spill/choose", test_choose);
	g_test_add_func("/spill/targets", test_targets);
	return g_test_run();
}
