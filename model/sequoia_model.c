/*
 * sequoia-model: plays load scenarios through the overload decisions.
 *
 *   sequoia-model run SCENARIO...      all decisions
 *   sequoia-model compare SCENARIO...  all decisions beside none of them
 */
#include "model/report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_USAGE 2

struct options {
	int64_t seed; /* -1: that of the scenario */
	char *policies;
	char *csv;
	char *svg;
	char **args;
};

static const struct {
	const char *name;
	unsigned policies;
} policy_names[] = {
	{ "all", SIM_ALL },
	{ "none", 0 },
	{ "chain", SIM_CHAIN },
	{ "hopeless", SIM_HOPELESS },
	{ "quota", SIM_QUOTA },
	{ "age", SIM_AGE },
	{ "all-without-age", SIM_ALL & ~SIM_AGE },
	{ "all-without-limit", SIM_ALL & ~SIM_LIMIT },
	{ "all-without-speed", SIM_ALL & ~SIM_TARGET_SPEED },
	{ "true-age", SIM_ALL | SIM_TRUE_AGE },
};

static bool
find_policy(const char *name, unsigned *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policy_names); i++) {
		if (strcmp(name, policy_names[i].name) == 0) {
			*out = policy_names[i].policies;
			return true;
		}
	}
	return false;
}

static bool
write_file(const char *path, const struct buf *text)
{
	g_autoptr(GError) e = NULL;

	if (path == NULL ||
	    g_file_set_contents(path, text->p, (gssize)text->n, &e))
		return true;
	fprintf(stderr, "sequoia-model: %s\n", e->message);
	return false;
}

/* Plays a scenario with each of the policies and prints the tables. */
static int
play(const struct options *o, const char *path, char **names, struct buf *csv,
    struct buf *svg)
{
	guint n = g_strv_length(names);
	struct sim_result *v = g_new0(struct sim_result, n);
	struct buf text = { 0 };
	struct scenario s;
	struct err e = { 0 };
	int rc = EXIT_FAILURE;

	if (scenario_read(&s, path, &e) != 0) {
		fprintf(stderr, "sequoia-model: %s\n", e.text);
		rc = EXIT_USAGE;
		goto out;
	}
	if (o->seed >= 0)
		s.seed = (uint64_t)o->seed;
	for (guint i = 0; i < n; i++) {
		unsigned policies = 0;

		find_policy(names[i], &policies);
		sim_run(&s, policies, &v[i]);
		buf_printf(&text, "%s, decisions: %s\n", path, names[i]);
		report_kinds(&s, &v[i], &text);
		report_windows(&s, &v[i], &text);
		buf_putc(&text, '\n');
		report_csv(&s, &v[i], policies, csv);
	}
	report_svg(&s, v, (const char *const *)names, n, svg);
	fwrite(text.p, 1, text.n, stdout);
	rc = EXIT_SUCCESS;
out:
	for (guint i = 0; i < n; i++)
		sim_result_free(&v[i]);
	g_free(v);
	buf_free(&text);
	return rc;
}

static bool
parse(int argc, char **argv, struct options *o)
{
	const GOptionEntry entries[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT64, &o->seed,
		    "seed of the arrivals, instead of the scenario's", "N" },
		{ "policy", 0, 0, G_OPTION_ARG_STRING, &o->policies,
		    "decisions to play: all, none, chain, hopeless, quota, "
		    "separated by commas",
		    "A,B" },
		{ "csv", 0, 0, G_OPTION_ARG_FILENAME, &o->csv,
		    "write the windows as comma-separated values", "FILE" },
		{ "svg", 0, 0, G_OPTION_ARG_FILENAME, &o->svg,
		    "write a plot of the last scenario", "FILE" },
		{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY,
		    &o->args, NULL, "run|compare SCENARIO..." },
		{ 0 },
	};
	g_autoptr(GOptionContext) c = g_option_context_new(NULL);
	g_autoptr(GError) e = NULL;

	g_option_context_add_main_entries(c, entries, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &e)) {
		fprintf(stderr, "sequoia-model: %s\n", e->message);
		return false;
	}
	if (o->args != NULL && g_strv_length(o->args) >= 2 &&
	    (strcmp(o->args[0], "run") == 0 ||
		strcmp(o->args[0], "compare") == 0))
		return true;
	fprintf(stderr,
	    "usage: sequoia-model run|compare SCENARIO... [--seed N] "
	    "[--policy A,B] [--csv FILE] [--svg FILE]\n");
	return false;
}

int
main(int argc, char **argv)
{
	struct options o = { .seed = -1 };
	g_auto(GStrv) names = NULL;
	struct buf csv = { 0 };
	struct buf svg = { 0 };
	int rc = EXIT_USAGE;
	unsigned ignored;

	if (!parse(argc, argv, &o))
		goto out;
	names = g_strsplit(o.policies != NULL       ? o.policies
		: strcmp(o.args[0], "compare") == 0 ? "none,all"
						    : "all",
	    ",", 0);
	for (guint i = 0; names[i] != NULL; i++) {
		if (!find_policy(names[i], &ignored)) {
			fprintf(stderr,
			    "sequoia-model: --policy %s: write all, none, "
			    "chain, hopeless, quota, age, all-without-age, "
			    "all-without-limit or true-age\n",
			    names[i]);
			goto out;
		}
	}
	buf_put(&csv,
	    STR("policies,window_s,kind,asked,on_time,late,"
		"rejected,held\n"));
	rc = EXIT_SUCCESS;
	for (guint i = 1; rc == EXIT_SUCCESS && o.args[i] != NULL; i++) {
		buf_clear(&svg);
		rc = play(&o, o.args[i], names, &csv, &svg);
	}
	if (rc == EXIT_SUCCESS &&
	    (!write_file(o.csv, &csv) || !write_file(o.svg, &svg)))
		rc = EXIT_FAILURE;
out:
	buf_free(&csv);
	buf_free(&svg);
	g_free(o.policies);
	g_free(o.csv);
	g_free(o.svg);
	g_strfreev(o.args);
	return rc;
}
