#include "tests/load/table.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* A column: where its number stands in a report, and how it is shown. */
struct column {
	const char *title;
	const char *member;
	const char *part;                    /* of the member, unless NULL */
	double (*get)(const json_t *report); /* if it stands nowhere */
	double factor;
	int digits;
};

static double
number(const json_t *o, const char *a, const char *b)
{
	const json_t *x = json_object_get(o, a);

	return json_number_value(b != NULL ? json_object_get(x, b) : x);
}

/* The attainment of the worst-served workspace. */
static double
worst(const json_t *r)
{
	const char *name;
	json_t *w;
	double least = 1;

	json_object_foreach(json_object_get(r, "workspaces"), name, w)
	{
		least = MIN(least, number(w, "attainment", NULL));
	}
	return least;
}

/* Sum over the services of a member, times another unless that is NULL. */
static double
sum(const json_t *r, const char *key, const char *weight)
{
	const char *name;
	json_t *s;
	double n = 0;

	json_object_foreach(json_object_get(r, "services"), name, s)
	{
		n += number(s, key, NULL) *
		    (weight != NULL ? number(s, weight, NULL) : 1);
	}
	return n;
}

static double
share(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

static double
busy(const json_t *r)
{
	return sum(r, "busy_ms_per_good", NULL);
}

static double
wasted(const json_t *r)
{
	return share(sum(r, "wasted", "calls"), sum(r, "calls", NULL));
}

static double
cache_hits(const json_t *r)
{
	const char *name;
	json_t *s;
	double calls = 0;

	json_object_foreach(json_object_get(r, "services"), name, s)
	{
		if (number(s, "tokens", NULL) > 0)
			calls += number(s, "calls", NULL);
	}
	return share(sum(r, "cached_prompts", NULL), calls);
}

static double
extra(const json_t *r)
{
	double more = number(r, "sequoiads", "retries") +
	    number(r, "sequoiads", "hedges") +
	    number(r, "sequoiads", "resumes");

	return share(more, number(r, "sequoiads", "calls"));
}

/* Outcomes that are not what the stand-ins saw, and wrong answers. */
static double
wrong(const json_t *r)
{
	return number(r, "mixed_up", NULL) + number(r, "short", NULL) +
	    number(r, "silence", NULL) + number(r, "effects", "lost") +
	    number(r, "effects", "doubled") +
	    number(r, "effects", "not_run_but_ran");
}

static const struct column columns[] = {
	{ "attained %", "attainment", NULL, NULL, 100, 2 },
	{ "worst workspace %", NULL, NULL, worst, 100, 2 },
	{ "p50 ms", "latency_ms", "p50", NULL, 1, 0 },
	{ "p99 ms", "latency_ms", "p99", NULL, 1, 0 },
	{ "first token p95 ms", "first_token_ms", "p95", NULL, 1, 0 },
	{ "between tokens p95 ms", "gap_ms", "p95", NULL, 1, 1 },
	{ "busy ms/good", NULL, NULL, busy, 1, 0 },
	{ "wasted calls %", NULL, NULL, wasted, 100, 1 },
	{ "extra calls %", NULL, NULL, extra, 100, 1 },
	{ "cache hits %", NULL, NULL, cache_hits, 100, 0 },
	{ "wrong", NULL, NULL, wrong, 1, 0 },
	{ "own lag p99 ms", "lag_ms", "p99", NULL, 1, 1 },
};

static bool
same_row(const json_t *a, const json_t *b)
{
	static const char *const keys[] = { "deployment", "scenario",
		"variant" };

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		if (!json_equal(json_object_get(a, keys[i]),
			json_object_get(b, keys[i])))
			return false;
	}
	return true;
}

static int
by_size(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void
print_cell(
    const struct column *c, const json_t *all, const json_t *like, FILE *out)
{
	GArray *v = g_array_new(FALSE, FALSE, sizeof(double));
	const json_t *r;
	size_t i;

	json_array_foreach(all, i, r)
	{
		double x = c->factor *
		    (c->get != NULL ? c->get(r)
				    : number(r, c->member, c->part));

		if (same_row(r, like))
			g_array_append_val(v, x);
	}
	g_array_sort(v, by_size);
	fprintf(out, " %.*f", c->digits, g_array_index(v, double, v->len / 2));
	if (v->len > 1)
		fprintf(out, " (%.*f-%.*f)", c->digits,
		    g_array_index(v, double, 0), c->digits,
		    g_array_index(v, double, v->len - 1));
	fprintf(out, " |");
	g_array_free(v, TRUE);
}

static const char *
text(const json_t *r, const char *key)
{
	const char *t = json_string_value(json_object_get(r, key));

	return t != NULL ? t : "";
}

static void
print_row(const json_t *all, const json_t *r, FILE *out)
{
	fprintf(out, "| %s %s | %s |", text(r, "deployment"),
	    text(r, "scenario"), text(r, "variant"));
	for (size_t c = 0; c < G_N_ELEMENTS(columns); c++)
		print_cell(&columns[c], all, r, out);
	fprintf(out, "\n");
}

void
table_print(char *const *files, FILE *out)
{
	json_t *all = json_array();
	const json_t *r;
	size_t i;

	for (; *files != NULL; files++) {
		json_t *o = json_load_file(*files, 0, NULL);

		if (o != NULL)
			json_array_append_new(all, o);
	}
	fprintf(out, "| scenario | variant |");
	for (size_t c = 0; c < G_N_ELEMENTS(columns); c++)
		fprintf(out, " %s |", columns[c].title);
	fprintf(out, "\n|---|---|");
	for (size_t c = 0; c < G_N_ELEMENTS(columns); c++)
		fprintf(out, "---:|");
	fprintf(out, "\n");
	json_array_foreach(all, i, r)
	{
		bool first = true;

		for (size_t k = 0; k < i; k++)
			first = first && !same_row(json_array_get(all, k), r);
		if (first)
			print_row(all, r, out);
	}
	json_decref(all);
}
