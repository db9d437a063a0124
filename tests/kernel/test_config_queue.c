/*
 * Configurations that arrive sooner than they are applied: the newest that can
 * be used is found, and memory stays bounded.
 */
#include "kernel/config_queue.h"

#include <glib.h>

/* Digits are configurations that can be used; x: one that can't. */
static void
test_newest_usable(void)
{
	static const struct {
		const char *name;
		const char *put;
		char used; /* 0: none */
	} cases[] = {
		{ "empty", "", 0 },
		{ "one", "1", '1' },
		{ "the newest", "123", '3' },
		{ "the newest can't be used", "12x", '2' },
		{ "the newest two can't be used", "1xx", '1' },
		{ "none can be used", "xx", 0 },
		{ "many", "123456789", '9' },
		{ "too many that can't be used", "1xxxxx", 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct config_queue q = { 0 };
		struct queued_config next;
		char used = 0;

		g_test_message("%s", cases[i].name);
		for (const char *p = cases[i].put; *p != '\0'; p++)
			config_queue_put(&q, (struct str){ p, 1 }, "a test");
		g_assert_cmpuint(q.n, <=, CONFIG_QUEUE_MAX);
		while (used == 0 && config_queue_take(&q, &next)) {
			g_assert_cmpstr(next.source, ==, "a test");
			used = next.text.p[0] != 'x' ? next.text.p[0] : 0;
			buf_free(&next.text);
		}
		g_assert_cmpint(used, ==, cases[i].used);
		config_queue_clear(&q);
		g_assert_null(config_queue_newest(&q));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-queue/newest-usable", test_newest_usable);
	return g_test_run();
}
