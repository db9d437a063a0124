/*
 * capacity [PART]...: prints what the parts of a sequoiad cost, for the
 * capacity page.  Without arguments it measures all parts.
 */
#include "tests/capacity/capacity.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define MAX_POINTS 4
#define MAX_SERIES 16

/* A quantity at several sizes. */
struct measured_series {
	const char *what; /* NULL: unused */
	size_t n;
	double x[MAX_POINTS];
	double y[MAX_POINTS];
};

static struct measured_series all_series[MAX_SERIES];

void
record_point(const char *what, double x, double y)
{
	struct measured_series *s = all_series;

	while (s->what != NULL && strcmp(s->what, what) != 0)
		s++;
	g_assert_true(s < all_series + MAX_SERIES - 1 && s->n < MAX_POINTS);
	s->what = what;
	s->x[s->n] = x;
	s->y[s->n++] = y;
}

/* Prints the figures and the least-squares slope and intercept. */
static void
print_series(const struct measured_series *s)
{
	double n = (double)s->n;
	double sx = 0, sy = 0, sxx = 0, sxy = 0;
	double slope;

	printf("%s:", s->what);
	for (size_t i = 0; i < s->n; i++) {
		printf("  %.0f: %.5g", s->x[i], s->y[i]);
		sx += s->x[i];
		sy += s->y[i];
		sxx += s->x[i] * s->x[i];
		sxy += s->x[i] * s->y[i];
	}
	printf("\n");
	if (s->n < 2)
		return;
	slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	printf(
	    "    slope %.4g, intercept %.4g\n", slope, (sy - slope * sx) / n);
}

double
heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

double
cpu_usec(void)
{
	return (double)clock_cpu();
}

static void
add_workspace(struct buf *text, size_t i)
{
	char name[32];
	char digest[HASH_HEX_LEN + 1];

	snprintf(name, sizeof(name), "workspace-%zu", i);
	hash_sha256(str_from(name), digest);
	buf_printf(text,
	    "[workspace %s]\ntokens_sha256 = %s\nweight = 10\n"
	    "requests_per_second = 1000000\nrequests_in_flight = 1000000\n"
	    "tokens_per_second = 100000000\n",
	    name, digest);
}

struct conf *
capacity_conf(size_t workspaces)
{
	static const char base[] =
	    "[service enc]\nkind = encode\n[service ret]\nkind = retrieve\n"
	    "[service rer]\nkind = rerank\n[service gen]\nkind = generate\n"
	    "model = m\n[pipeline p]\nstages = e r k g\nworkspaces = *\n"
	    "deadline_ms = 600000\n[stage p.e]\nservice = enc\n[stage p.r]\n"
	    "service = ret\n[stage p.k]\nservice = rer\n[stage p.g]\n"
	    "service = gen\nmax_tokens = 4096\n";
	struct ini set = { 0 };
	struct buf text = { 0 };
	struct err e;
	struct conf *c;

	buf_put(&text, STR(base));
	for (size_t i = 0; i < workspaces; i++)
		add_workspace(&text, i);
	g_assert_cmpint(
	    ini_add(&set, "capacity.ini", str_of(&text), &e), ==, 0);
	c = conf_read(&set, 1, &e);
	if (c == NULL)
		g_error("%s", e.text);
	ini_free(&set);
	buf_free(&text);
	return c;
}

static const struct {
	const char *name;
	void (*measure)(void);
} parts[] = {
	{ "requests", measure_requests },
	{ "targets", measure_targets },
	{ "routing", measure_routing },
	{ "workspaces", measure_workspaces },
	{ "members", measure_members },
	{ "gossip", measure_gossip },
	{ "letters", measure_datagrams },
	{ "claims", measure_claims },
	{ "placer", measure_placer },
	{ "configuration", measure_configuration },
};

static bool
is_selected(const char *name, int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], name) == 0)
			return true;
	}
	return argc < 2;
}

int
main(int argc, char **argv)
{
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (!is_selected(parts[i].name, argc, argv))
			continue;
		printf("== %s\n", parts[i].name);
		parts[i].measure();
		for (const struct measured_series *x = all_series;
		     x->what != NULL; x++)
			print_series(x);
		memset(all_series, 0, sizeof(all_series));
		fflush(stdout);
	}
	return 0;
}
