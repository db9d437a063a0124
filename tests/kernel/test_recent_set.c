/* Tests that a hash is kept for the set's span, and not for ever. */
#include "kernel/recent_set.h"

#define SPAN 100

static void
test_recent_set(void)
{
	static const struct {
		usec_t now;
		uint64_t hash;
		bool is_new;
	} rows[] = {
		{ 1000, 1, true },
		{ 1000, 1, false },
		{ 1090, 2, true },
		/* Kept while younger than the span. */
		{ 1101, 3, true },
		{ 1189, 2, false },
		{ 1190, 1, false },
		/* Dropped when it is twice as old. */
		{ 1202, 1, true },
		{ 1202, 3, false },
		{ 1203, 1, false },
		/* All are dropped after a long pause. */
		{ 9000, 1, true },
		{ 9000, 2, true },
		{ 9000, 3, true },
	};
	struct recent_set s;

	recent_set_init(&s, SPAN);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_cmpint(recent_set_add(&s, rows[i].hash, rows[i].now),
		    ==, rows[i].is_new);
	recent_set_free(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/recent-set", test_recent_set);
	return g_test_run();
}
