/* Tables of cases for what is worked out from a configuration. */
#include "kernel/conf.h"

#include <glib.h>

/* Seconds of 1970. */
#define AT(s)       "1970-01-01T00:00:" s "Z\n"
#define FLEET(s)    "[fleet]\nsunset = " AT(s)
#define PIPELINE(s) "[pipeline p]\nsunset = " AT(s)
#define SERVICE(s)  "[service last]\nsunset = " AT(s)

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
		{ FLEET("30"), 30, "" },
		{ PIPELINE("20"), 20, "" },
		{ SERVICE("10"), 10, "last" },
		{ FLEET("05") SERVICE("10"), 5, "" },
		{ FLEET("30") PIPELINE("20") SERVICE("25"), 20, "" },
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
