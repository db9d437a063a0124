/*
 * Replays in virtual time of a process that stops: it must not end with
 * requests that it has not seen, or that it has taken.
 */
#include "kernel/stopping.h"

#include <glib.h>

#define MS(n) ((usec_t)(n)*USEC_PER_MSEC)

/* A request that arrives while the process stands still is seen after it. */
static void
test_quiet(void)
{
	static const struct {
		const char *name;
		usec_t busy_until;
		usec_t stands_at, stands_for; /* 0: never */
		usec_t step;
		usec_t ends_from, ends_to;
	} cases[] = {
		{ "idle", 0, 0, 0, MS(20), MS(200), MS(220) },
		{ "busy", MS(1000), 0, 0, MS(20), MS(1180), MS(1200) },
		{ "late steps", 0, 0, 0, MS(90), MS(200), MS(300) },
		{ "stands still", 0, MS(100), MS(1000), MS(20), MS(1300),
		    MS(1340) },
		{ "stands still at the end", 0, MS(190), MS(1000), MS(20),
		    MS(1380), MS(1420) },
		{ "stands still while busy", MS(500), MS(480), MS(1000), MS(20),
		    MS(1680), MS(1720) },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct stopping_quiet q = { 0 };
		usec_t start = MS(5000);
		usec_t now = start;
		bool stood = cases[i].stands_for == 0;

		g_test_message("%s", cases[i].name);
		while (!stopping_is_quiet(
		    &q, now - start < cases[i].busy_until, now)) {
			now += cases[i].step;
			if (stood || now - start < cases[i].stands_at)
				continue;
			now += cases[i].stands_for;
			stood = true;
		}
		g_assert_cmpint(now - start, >=, cases[i].ends_from);
		g_assert_cmpint(now - start, <=, cases[i].ends_to);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stopping/quiet", test_quiet);
	return g_test_run();
}
