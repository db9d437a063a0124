#include "tests/load/report.h"
#include "tests/load/samples.h"

#include <stdlib.h>
#include <string.h>

#define FETCH_TIMEOUT (5 * USEC_PER_SEC)

/* Counts over a set of results. */
struct tally {
	size_t sent;
	size_t in_time;
	size_t late; /* complete, after the deadline */
	size_t by_kind[N_RESULT_KINDS];
};

/* Returns the body of a GET response; empty if the call fails. */
static struct buf
get_body(struct http_loop *l, const char *addr, const char *path)
{
	struct pending_fetch f = { 0 };
	struct buf url = { 0 };

	buf_printf(&url, "http://%s%s", addr, path);
	fetch_run(&f, l,
	    (struct http_opts){
		.url = url.p,
		.timeout = FETCH_TIMEOUT,
	    });
	buf_free(&url);
	return f.body;
}

static json_t *
fetch_json(const struct report_opts *o, const char *path)
{
	struct buf b = get_body(
	    o->loop, settings_text(&o->plan->ini, "run", "admin", NULL), path);
	json_t *j = b.n > 0 ? json_loadb(b.p, b.n, 0, NULL) : NULL;

	buf_free(&b);
	return j;
}

static const struct result *
result_at(const struct report_opts *o, size_t i)
{
	return &g_array_index(o->results, struct result, i);
}

/* Returns the problem title of a result, or the name of its kind. */
static const char *
error_name(const struct result *r)
{
	return *r->error != '\0' ? r->error : result_kind_name(r->result_kind);
}

static bool
in_time(const struct result *r)
{
	return r->result_kind == RESULT_COMPLETE &&
	    r->latency <= r->request.mix->deadline;
}

static double
number(const json_t *o, const char *key)
{
	return json_number_value(json_object_get(o, key));
}

static double
ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

static json_t *
quantiles(GArray *v)
{
	static const struct quantile qs[] = { { "p50", 0.5 }, { "p95", 0.95 },
		{ "p99", 0.99 }, { "max", 1 } };

	return samples_quantiles(v, qs, G_N_ELEMENTS(qs));
}

/*
 * Returns the quantiles of the duration at an offset of struct result, over the
 * results after the warm-up in which the duration isn't 0.
 */
static json_t *
durations(const struct report_opts *o, size_t offset, bool complete_only)
{
	GArray *v = g_array_new(FALSE, FALSE, sizeof(usec_t));
	json_t *q;

	for (size_t i = 0; i < o->results->len; i++) {
		const struct result *r = result_at(o, i);
		usec_t t =
		    *(const usec_t *)(const void *)((const char *)r + offset);

		if (r->request.warm_up || t == 0 ||
		    (complete_only && r->result_kind != RESULT_COMPLETE))
			continue;
		g_array_append_val(v, t);
	}
	q = quantiles(v);
	g_array_free(v, TRUE);
	return q;
}

static json_t *
tally_json(const struct tally *t)
{
	json_t *o =
	    json_pack("{s:I, s:I, s:I, s:f}", "sent", (json_int_t)t->sent,
		"in_time", (json_int_t)t->in_time, "late", (json_int_t)t->late,
		"attainment", ratio((double)t->in_time, (double)t->sent));

	for (int v = 0; v < N_RESULT_KINDS; v++)
		json_object_set_new(o, result_kind_name((enum result_kind)v),
		    json_integer((json_int_t)t->by_kind[v]));
	return o;
}

/* Counts the results after the warm-up of a workspace, or of all if NULL. */
static json_t *
count_results(const struct report_opts *o, const char *workspace)
{
	struct tally t = { 0 };

	for (size_t i = 0; i < o->results->len; i++) {
		const struct result *r = result_at(o, i);

		if (r->request.warm_up ||
		    (workspace != NULL &&
			strcmp(workspace, r->request.mix->workspace) != 0))
			continue;
		t.sent++;
		t.by_kind[r->result_kind]++;
		if (in_time(r))
			t.in_time++;
		else if (r->result_kind == RESULT_COMPLETE)
			t.late++;
	}
	return tally_json(&t);
}

static json_t *
count_workspaces(const struct report_opts *o)
{
	json_t *all = json_object();

	for (size_t i = 0; i < o->plan->n_mixes; i++) {
		const char *w = o->plan->mixes[i].workspace;

		if (json_object_get(all, w) == NULL)
			json_object_set_new(all, w, count_results(o, w));
	}
	return all;
}

/*
 * Counts, by error, the requests after the warm-up that did not end complete
 * and in time.
 */
static json_t *
count_errors(const struct report_opts *o)
{
	json_t *all = json_object();

	for (size_t i = 0; i < o->results->len; i++) {
		const struct result *r = result_at(o, i);
		const char *name = error_name(r);

		if (r->request.warm_up || in_time(r))
			continue;
		json_object_set_new(all, name,
		    json_integer(
			json_integer_value(json_object_get(all, name)) + 1));
	}
	return all;
}

/* Counts the occurrences of a word in a list. */
static unsigned
count_word(const char *list, const char *word)
{
	struct str rest = str_from(list);
	struct str part;
	unsigned n = 0;

	while (str_cut(&rest, ' ', &part))
		n += str_eq(part, str_from(word));
	return n;
}

static void
add_number(json_t *o, const char *key, double v)
{
	json_object_set_new(o, key, json_real(number(o, key) + v));
}

/* Returns the stand-in's target counters summed by service. */
static json_t *
sum_services(const json_t *targets)
{
	static const char *const keys[] = { "calls", "failed", "cancelled",
		"tokens", "cached_prompts", "busy_ms",
		"calls_after_leaving_3s" };
	json_t *all = json_object();
	const json_t *target;
	size_t i;

	json_array_foreach(targets, i, target)
	{
		const char *name =
		    json_string_value(json_object_get(target, "service"));
		json_t *s = json_object_get(all, name);

		if (s == NULL) {
			s = json_object();
			json_object_set_new(all, name, s);
		}
		for (size_t k = 0; k < G_N_ELEMENTS(keys); k++)
			add_number(s, keys[k], number(target, keys[k]));
	}
	return all;
}

/*
 * Returns the cost of each service per good request: one that ended complete
 * and in time.  A call is wasted if no good request needed it.  Includes the
 * warm-up.
 */
static json_t *
service_costs(const struct report_opts *o)
{
	json_t *targets = fetch_json(o, "/targets");
	json_t *all = sum_services(targets);
	const char *name;
	json_t *s;
	size_t good = 0;

	for (size_t i = 0; i < o->results->len; i++)
		good += in_time(result_at(o, i));
	json_object_foreach(all, name, s)
	{
		double calls = number(s, "calls");
		double useful = 0;

		for (size_t i = 0; i < o->results->len; i++) {
			if (in_time(result_at(o, i)))
				useful += count_word(
				    result_at(o, i)->request.mix->calls, name);
		}
		add_number(s, "wasted", 1 - ratio(useful, calls));
		add_number(s, "busy_ms_per_good",
		    ratio(number(s, "busy_ms"), (double)good));
		add_number(
		    s, "cache_hits", ratio(number(s, "cached_prompts"), calls));
	}
	json_decref(targets);
	return all;
}

/*
 * Compares the results of the callers with the calls and effects that the
 * stand-in counted; all three counts must be 0.
 */
static json_t *
check_effects(const struct report_opts *o)
{
	json_t *seen = fetch_json(o, "/seen");
	json_t *counts = json_object();
	json_int_t lost = 0;
	json_int_t doubled = 0;
	json_int_t ran = 0;

	for (size_t i = 0; i < o->plan->n_mixes; i++) {
		const struct mix *m = &o->plan->mixes[i];
		char path[128];

		if (*m->effect == '\0' ||
		    json_object_get(counts, m->service) != NULL)
			continue;
		snprintf(path, sizeof(path), "/effects?service=%s", m->service);
		json_object_set_new(counts, m->service, fetch_json(o, path));
	}
	for (size_t i = 0; i < o->results->len; i++) {
		const struct result *r = result_at(o, i);
		json_int_t n = json_integer_value(json_object_get(
		    json_object_get(counts, r->request.mix->service), r->key));

		lost += r->result_kind == RESULT_COMPLETE && *r->key != '\0' &&
		    n == 0;
		doubled += n > 1;
		ran += r->result_kind == RESULT_NOT_RUN &&
		    (n > 0 || json_object_get(seen, r->id) != NULL);
	}
	json_decref(seen);
	json_decref(counts);
	return json_pack("{s:I, s:I, s:I}", "lost", lost, "doubled", doubled,
	    "not_run_but_ran", ran);
}

/* Sums counters over the metrics of all sequoiads that answer. */
static json_t *
sequoiad_counters(const struct report_opts *o)
{
	static const char *const names[] = { "calls", "retries", "hedges",
		"resumes", "failed_calls", "silent_calls", "foreign_answers",
		"cpu_seconds" };
	json_t *all = json_object();

	for (size_t i = 0; i < fleet_size(o->fleet); i++) {
		struct buf b = get_body(
		    o->loop, fleet_addr(o->fleet, (int)i, true), "/metrics");

		for (size_t k = 0; b.n > 0 && k < G_N_ELEMENTS(names); k++) {
			char line[64];
			const char *p;

			snprintf(line, sizeof(line), "\nsequoia_%s_total ",
			    names[k]);
			p = strstr(b.p, line);
			add_number(all, names[k],
			    p != NULL ? strtod(p + strlen(line), NULL) : 0);
		}
		buf_free(&b);
	}
	return all;
}

json_t *
report_make(const struct report_opts *o)
{
	json_t *r = count_results(o, NULL);
	GArray *gaps = g_array_copy((GArray *)o->gaps);

	json_object_set_new(r, "seconds",
	    json_real((double)o->plan->length / (double)USEC_PER_SEC));
	json_object_set_new(r, "workspaces", count_workspaces(o));
	json_object_set_new(r, "errors", count_errors(o));
	json_object_set_new(r, "latency_ms",
	    durations(o, offsetof(struct result, latency), true));
	json_object_set_new(r, "first_token_ms",
	    durations(o, offsetof(struct result, first_token), true));
	json_object_set_new(r, "lag_ms",
	    durations(o, offsetof(struct result, send_lag), false));
	json_object_set_new(r, "gap_ms", quantiles(gaps));
	json_object_set_new(r, "sequoiads", sequoiad_counters(o));
	json_object_set_new(r, "services", service_costs(o));
	json_object_set_new(r, "effects", check_effects(o));
	g_array_free(gaps, TRUE);
	return r;
}

void
report_print(const json_t *report, FILE *out)
{
	const char *name;
	json_t *v;

	json_object_foreach((json_t *)report, name, v)
	{
		char *text;

		text = json_dumps(v, JSON_ENCODE_ANY | JSON_REAL_PRECISION(4));
		fprintf(out, "%-16s %s\n", name, text);
		free(text);
	}
}
