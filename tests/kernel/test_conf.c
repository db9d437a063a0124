/* Tables of cases for what is worked out from a configuration. */
#include "kernel/conf.h"

#include <glib.h>

#define FLEET    "[fleet]\nsunset = "
#define PIPELINE "[pipeline p]\nsunset = "
#define SERVICE  "[service last]\nsunset = "

static void
test_sunset(void)
{
	static const char base[] =
	    "[service enc]\nkind = encode\n[service last]\nkind = encode\n"
	    "[pipeline p]\nstages = a b c\nworkspaces = *\n[stage p.a]\n"
	    "service = enc\n[stage p.b]\nservice = enc\n[stage p.c]\n"
	    "service = last\n";
	static const struct {
		const char *more;
		usec_t seconds;
		const char *what;
	} cases[] = {
		{ "", 0, "" },
		{ FLEET "1970-01-01T00:00:30Z\n", 30, "" },
		{ PIPELINE "1970-01-01T00:00:20Z\n", 20, "" },
		{ SERVICE "1970-01-01T00:00:10Z\n", 10, "last" },
		{ FLEET "1970-01-01T00:00:05Z\n" SERVICE
			"1970-01-01T00:00:10Z\n",
		    5, "" },
		{ FLEET "1970-01-01T00:00:30Z\n" PIPELINE
			"1970-01-01T00:00:20Z\n" SERVICE
			"1970-01-01T00:00:25Z\n",
		    20, "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct ini set = { 0 };
		struct err e = { 0 };
		const char *what;
		struct conf *c;

		ini_add(&set, "base.ini", STR(base), &e);
		ini_add(&set, "more.ini", str_from(cases[i].more), &e);
		c = conf_read(&set, 1, &e);
		g_assert_cmpstr(e.text, ==, "");
		g_assert_cmpint(conf_sunset(c, c->pipelines[0], &what), ==,
		    cases[i].seconds * USEC_PER_SEC);
		g_assert_cmpstr(what, ==, cases[i].what);
		conf_unref(c);
		ini_free(&set);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/conf/sunset", test_sunset);
	return g_test_run();
}
