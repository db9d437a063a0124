/* From whom a host fetches a configuration, whatever it hears meanwhile. */
#include "kernel/config_fetch.h"

#include <glib.h>
#include <string.h>

/*
 * Events, one character each:
 *   1 to 9   the feed of the next character tells of this revision
 *   r        the store was restored
 *   w        another host (h) has a newer version, by gossip
 *   +        the fetch in flight ends with a document
 *   -        it ends without one
 *   .        the next step begins; the result names whom it asks: the letter of
 *            the host, in upper case if it may be silent for long, $ for the
 *            store, _ if nothing is due
 * any is the host that is known to have a newer version.
 */
static const struct fetch_case {
	const char *name;
	const char *events;
	const char *any; /* or NULL */
	const char *asked;
} cases[] = {
	{ "nothing", ".", "x", "_" },
	{ "one feeder", "1a.+.", NULL, "A_" },
	{ "two feeders", "1a1b.+.", NULL, "a_" },
	{ "the first is silent", "1a1b.-.+.", NULL, "aB_" },
	{ "the second tells during the fetch", "1a.1b-.+.", NULL, "AB_" },
	{ "both are silent, others have it", "1a1b.-.-.+.", "x", "abX_" },
	{ "all are silent", "1a1b.-.-.-.+.", "x", "abX$_" },
	{ "nobody else has it", "1a.-.+.", NULL, "A$_" },
	{ "the store doesn't answer", "1a.-.-.-.", "x", "aXX$" },
	{ "hosts again after the store", "1a.-.-.-.-.", "x", "aXX$X" },
	{ "a newer version during the fetch", "1a.2b+.+.", NULL, "AB_" },
	{ "a newer one, the fetch fails", "1a.2b-.+.", NULL, "AB_" },
	{ "a newer one before the fetch", "1a2b.+.", NULL, "B_" },
	{ "an older one, late", "2a.1b-.+.", NULL, "A$_" },
	{ "the same, once it is there", "1a.+1b.", NULL, "A_" },
	{ "after a restore", "5a.+r2b.+.", NULL, "AB_" },
	{ "by gossip", "w.+.", NULL, "H_" },
	{ "by gossip, silent", "w.-.+.", "x", "hX_" },
	{ "by gossip, while a fetch is due", "1aw.+.", NULL, "A_" },
	{ "many feeders", "1a1b1c1d1e.-.-.-.+.", NULL, "abc$_" },
};

static void
test_order(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct fetch_case *x = &cases[i];
		struct config_fetch f = { 0 };
		struct config_fetch_step s = { 0 };
		char asked[16] = "";
		size_t n = 0;

		for (const char *p = x->events; *p != '\0'; p++) {
			char addr[2] = { p[0] >= '1' && p[0] <= '9' ? p[1]
								    : 'h' };

			switch (*p) {
			case 'r':
				config_fetch_restored(&f);
				break;
			case 'w':
				config_fetch_wanted(&f, addr);
				break;
			case '+':
			case '-':
				config_fetch_ended(&f, s.kind, *p == '+');
				break;
			case '.':
				s = config_fetch_next(&f, x->any);
				asked[n++] = '_';
				if (s.kind == CONFIG_FETCH_NONE)
					break;
				asked[n - 1] = '$';
				if (s.kind == CONFIG_FETCH_HOST)
					asked[n - 1] =
					    s.silence == CONFIG_FETCH_SILENCE
					    ? s.addr[0]
					    : g_ascii_toupper(s.addr[0]);
				config_fetch_begun(&f, &s);
				break;
			default:
				config_fetch_announced(&f, *p - '0', addr);
				p++;
				break;
			}
		}
		g_test_message("%s", x->name);
		g_assert_cmpstr(asked, ==, x->asked);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/config-fetch/order", test_order);
	return g_test_run();
}
