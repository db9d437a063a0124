/*
 * Runs each script tests/golden/NAME.session and compares the text byte for
 * byte with tests/golden/NAME.golden.  If GOLDEN_WRITE is set in the
 * environment, the golden files are written anew.
 */
#include "tests/kernel/session.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define FOLDER "tests/golden"

/* Prints a few lines around the first difference. */
static void
print_difference(const char *want, const char *got)
{
	g_auto(GStrv) w = g_strsplit(want, "\n", -1);
	g_auto(GStrv) g = g_strsplit(got, "\n", -1);
	guint n_same = 0;

	while (w[n_same] != NULL && g[n_same] != NULL &&
	    strcmp(w[n_same], g[n_same]) == 0)
		n_same++;
	for (guint i = n_same > 3 ? n_same - 3 : 0; i < n_same; i++)
		g_printerr("  %s\n", w[i]);
	for (guint i = n_same; i < n_same + 5 && i < g_strv_length(w); i++)
		g_printerr("- %s\n", w[i]);
	for (guint i = n_same; i < n_same + 5 && i < g_strv_length(g); i++)
		g_printerr("+ %s\n", g[i]);
}

static void
test_session(gconstpointer arg)
{
	const char *name = arg;
	g_autofree char *script = g_strdup_printf(FOLDER "/%s.session", name);
	g_autofree char *golden = g_strdup_printf(FOLDER "/%s.golden", name);
	g_autofree char *want = NULL;
	struct buf got = { 0 };

	session_run(script, &got);
	if (getenv("GOLDEN_WRITE") != NULL)
		g_assert_true(
		    g_file_set_contents(golden, got.p, (gssize)got.n, NULL));
	if (!g_file_get_contents(golden, &want, NULL, NULL))
		want = g_strdup("");
	if (strcmp(want, got.p) != 0) {
		print_difference(want, got.p);
		g_test_fail();
	}
	buf_free(&got);
}

int
main(int argc, char **argv)
{
	g_autoptr(GDir) dir = g_dir_open(FOLDER, 0, NULL);
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
	const char *file;

	g_test_init(&argc, &argv, NULL);
	while ((file = g_dir_read_name(dir)) != NULL) {
		if (g_str_has_suffix(file, ".session"))
			g_ptr_array_add(
			    names, g_strndup(file, strlen(file) - 8));
	}
	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		g_autofree char *path = g_strdup_printf("/golden/%s", name);

		g_test_add_data_func(path, name, test_session);
	}
	return g_test_run();
}
