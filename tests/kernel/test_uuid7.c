/* Table-driven tests of idempotency keys, which are UUIDs version 7. */
#include "kernel/uuid7.h"

#include <glib.h>

/* The example of RFC 9562; its time is 2022-02-22T19:22:22Z. */
#define KEY       "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
#define KEY_TIME  (1645557742000 * USEC_PER_MSEC)
#define RETENTION (3600 * USEC_PER_SEC)

static void
test_check(void)
{
	static const struct {
		const char *key;
		usec_t wall;
		int rc;
	} cases[] = {
		{ KEY, KEY_TIME, 0 },
		{ "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", KEY_TIME, 0 },
		{ KEY, KEY_TIME + RETENTION, 0 },
		{ KEY, KEY_TIME + RETENTION + 1, ERR_KEY_OLD },
		{ KEY, KEY_TIME - UUID7_MAX_SKEW, 0 },
		{ KEY, KEY_TIME - UUID7_MAX_SKEW - 1, ERR_KEY_BAD },
		{ "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", KEY_TIME,
		    ERR_KEY_BAD },
		{ "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f", KEY_TIME,
		    ERR_KEY_BAD },
		{ "017f22e279b0-7cc3-98c4-dc0c0c07398f0", KEY_TIME,
		    ERR_KEY_BAD },
		{ "017f22e2-79b0-7cc3-98c4-dc0c0c07398", KEY_TIME,
		    ERR_KEY_BAD },
		{ "017g22e2-79b0-7cc3-98c4-dc0c0c07398f", KEY_TIME,
		    ERR_KEY_BAD },
		{ "", KEY_TIME, ERR_KEY_BAD },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(uuid7_check(str_from(cases[i].key),
				    cases[i].wall, RETENTION),
		    ==, cases[i].rc);
}

static void
test_time(void)
{
	uint8_t uuid[UUID7_BYTES];

	g_assert_true(
	    uuid7_parse(STR("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), uuid));
	g_assert_cmpint(uuid7_time(uuid), ==, KEY_TIME);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/uuid7/check", test_check);
	g_test_add_func("/uuid7/time", test_time);
	return g_test_run();
}
