#include "tests/load/table.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* A column: where its number stands in a report, and how it is shown. */
struct column {
	const char *title;
	double (*get)(const json_t *report);
	double factor;
	int digits;
};

static double
number(const json_t *o, const char *a, const char *b)
{
	const json_t *x = json_object_get(o, a);

	return json_number_value(b != NULL ? json_object_get(x, b) : x);
}

static double
attainment(const json_t *r)
{
	return number(r, "attainment", NULL);
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

static double
median_latency(const json_t *r)
{
	return number(r, "latency_ms", "p50");
}

static double
tail_latency(const json_t *r)
{
	return number(r, "latency_ms", "p99");
}

static double
first_token(const json_t *r)
{
	return number(r, "first_token_ms", "p95");
}

static double
between_tokens(const json_t *r)
{
	return number(r, "gap_ms", "p95");
}

/* Sum over the services of a member. */
static double
sum(const json_t *r, const char *key)
{
	const char *name;
	json_t *s;
	double n = 0;

	json_object_foreach(json_object_get(r, "services"), name, s)
	{
		n += number(s, key, NULL);
	}
	return n;
}

static double
busy(const json_t *r)
{
	return sum(r, "busy_ms_per_good");
}

static double
wasted(const json_t *r)
{
	const char *name;
	json_t *s;
	double n = 0;

	json_object_foreach(json_object_get(r, "services"), name, s)
	{
		n += number(s, "wasted", NULL) * number(s, "calls", NULL);
	}
	return sum(r, "calls") > 0 ? n / sum(r, "calls") : 0;
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
	return calls > 0 ? sum(r, "cached_prompts") / calls : 0;
}

static double
extra(const json_t *r)
{
	double calls = number(r, "sequoiads", "calls");

	return calls > 0 ? (number(r, "sequoiads", "retries") +
			       number(r, "sequoiads", "hedges") +
			       number(r, "sequoiads", "resumes")) /
		calls
			 : 0;
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

static double
lag(const json_t *r)
{
	return number(r, "lag_ms", "p99");
}

static const struct column columns[] = {
	{ "attained %", attainment, 100, 2 },
	{ "worst workspace %", worst, 100, 2 },
	{ "p50 ms", median_latency, 1, 0 },
	{ "p99 ms", tail_latency, 1, 0 },
	{ "first token p95 ms", first_token, 1, 0 },
	{ "between tokens p95 ms", between_tokens, 1, 1 },
	{ "busy ms/good", busy, 1, 0 },
	{ "wasted calls %", wasted, 100, 1 },
	{ "extra calls %", extra, 100, 1 },
	{ "cache hits %", cache_hits, 100, 0 },
	{ "wrong", wrong, 1, 0 },
	{ "own lag p99 ms", lag, 1, 1 },
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
		double x = c->get(r) * c->factor;

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
