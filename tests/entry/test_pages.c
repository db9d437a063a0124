/*
 * Checks the reference pages of docs/ against the tables and log calls in the
 * code.
 */
#include "ctl/settings_page.h"
#include "entry/metrics.h"

#include <glib.h>
#include <string.h>

static const char *const folders[] = { "base", "kernel", "kernel/plugins",
	"plat", "platform", "entry", "ctl" };

static char *
file_contents(const char *path)
{
	char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	return text;
}

/* Fails the test unless the page has a table row for the word. */
static void
check_row(const char *page, const char *word)
{
	g_autofree char *row = g_strdup_printf("\n| `%s` |", word);

	if (strstr(page, row) == NULL) {
		g_test_message("docs/OPERATIONS.md has no row for %s", word);
		g_test_fail();
	}
}

static void
test_settings(void)
{
	g_autofree char *page = file_contents("docs/SETTINGS.md");
	struct buf expected = { 0 };

	settings_page_write(&expected);
	/* After a change of the tables, run make settings-page. */
	g_assert_cmpstr(page, ==, expected.p);
	buf_free(&expected);
}

static void
test_errors(void)
{
	g_autofree char *page = file_contents("docs/OPERATIONS.md");

	for (int k = 1; k < -ERR_LAST; k++)
		check_row(page, err_name((enum err_kind) - k));
}

static void
test_metrics(void)
{
	g_autofree char *page = file_contents("docs/OPERATIONS.md");
	size_t n;
	const struct metric *m = metrics_all(&n);

	for (size_t i = 0; i < n; i++)
		check_row(page, m[i].name);
}

/* Checks the metrics of hosts that relay by route. */
static void
test_relay_metrics(void)
{
	g_autofree char *page = file_contents("docs/OPERATIONS.md");
	g_autofree char *source = file_contents("entry/relay_metrics.c");
	g_autoptr(GRegex) re =
	    g_regex_new("(?:put\\(out, \"|sequoia_)([a-z_]+)", 0, 0, NULL);
	g_autoptr(GMatchInfo) m = NULL;
	size_t n = 0;

	g_regex_match(re, source, 0, &m);
	for (; g_match_info_matches(m); g_match_info_next(m, NULL), n++) {
		g_autofree char *name = g_match_info_fetch(m, 1);
		g_autofree char *full = g_strdup_printf("sequoia_%s", name);

		check_row(page, full);
	}
	g_assert_cmpuint(n, >, 20);
}

/*
 * Checks that the page has a row for each log event of a source file, at any
 * level; returns the number of events.
 */
static size_t
check_events(const char *page, const char *path)
{
	g_autofree char *source = file_contents(path);
	g_autoptr(GRegex) re = g_regex_new(
	    "LOG_LVL_(?:ERR|WARNING|NOTICE|INFO|DEBUG),\\s*\"([a-z-]+)\"", 0, 0,
	    NULL);
	g_autoptr(GMatchInfo) m = NULL;
	size_t n = 0;

	g_regex_match(re, source, 0, &m);
	for (; g_match_info_matches(m); g_match_info_next(m, NULL)) {
		g_autofree char *event = g_match_info_fetch(m, 1);

		check_row(page, event);
		n++;
	}
	return n;
}

static void
test_events(void)
{
	g_autofree char *page = file_contents("docs/OPERATIONS.md");
	size_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(folders); i++) {
		g_autoptr(GDir) d = g_dir_open(folders[i], 0, NULL);
		const char *name;

		g_assert_nonnull(d);
		while ((name = g_dir_read_name(d)) != NULL) {
			g_autofree char *path =
			    g_build_filename(folders[i], name, NULL);

			if (g_str_has_suffix(name, ".c"))
				n += check_events(page, path);
		}
	}
	g_assert_cmpuint(n, >, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pages/settings", test_settings);
	g_test_add_func("/pages/errors", test_errors);
	g_test_add_func("/pages/metrics", test_metrics);
	g_test_add_func("/pages/relay-metrics", test_relay_metrics);
	g_test_add_func("/pages/events", test_events);
	return g_test_run();
}
