/* Table-driven tests of values that are derived from a configuration. */
#include "kernel/conf.h"

#include <glib.h>

/* Times of day on 1970-01-01, in seconds after midnight UTC. */
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
		const char *text;
		usec_t seconds;
		const char *service;
	} cases[] = {
		{ "", 0, "" },
		{ FLEET("30"), 30, "" },
		{ PIPELINE("20"), 20, "" },
		{ SERVICE("10"), 10, "last" },
		{ FLEET("05") SERVICE("10"), 5, "" },
		{ FLEET("30") PIPELINE("20") SERVICE("25"), 20, "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct ini files = { 0 };
		struct err e = { 0 };
		const char *service;
		struct conf *c;

		ini_add(&files, "base.ini", STR(base), &e);
		ini_add(&files, "more.ini", str_from(cases[i].text), &e);
		c = conf_read(&files, 1, &e);
		g_assert_cmpstr(e.text, ==, "");
		g_assert_cmpint(conf_sunset(c, c->pipelines[0], &service), ==,
		    cases[i].seconds * USEC_PER_SEC);
		g_assert_cmpstr(service, ==, cases[i].service);
		conf_unref(c);
		ini_free(&files);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/conf/sunset", test_sunset);
	return g_test_run();
}
