#include "tests/load/plan.h"
#include "base/hash.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_RUN_TIME (300 * USEC_PER_SEC)

static void
read_mix(const struct ini *ini, const char *s, struct mix *m)
{
	const char *last;

	m->pipeline = settings_text(ini, s, "pipeline", NULL);
	m->workspace = settings_text(ini, s, "workspace", NULL);
	m->token = settings_text(ini, s, "token", NULL);
	m->field = settings_text(ini, s, "field", "note");
	m->output = settings_text(ini, s, "output", "");
	m->effect = settings_text(ini, s, "effect", "");
	m->calls = settings_text(ini, s, "calls", NULL);
	last = strrchr(m->calls, ' ');
	m->service = last != NULL ? last + 1 : m->calls;
	m->weight = settings_number(ini, s, "weight", "1");
	m->text_min = settings_number(ini, s, "text_min", "100");
	m->text_max = settings_number(ini, s, "text_max", "1000");
	m->stream_percent = settings_number(ini, s, "stream_percent", "0");
	m->tokens = settings_number(ini, s, "tokens", "0");
	m->deadline =
	    settings_number(ini, s, "deadline_ms", "5000") * USEC_PER_MSEC;
	m->marked = strcmp(settings_text(ini, s, "marked", "yes"), "yes") == 0;
}

static usec_t
read_seconds(const struct plan *p, const char *key)
{
	return settings_number(&p->ini, "run", key, "0") * USEC_PER_SEC;
}

static void
read_run(struct plan *p)
{
	p->warm_up = read_seconds(p, "warm_s");
	p->length = read_seconds(p, "seconds");
	if (p->warm_up + p->length > MAX_RUN_TIME) {
		fprintf(stderr, "load: [run] seconds: the run is too long\n");
		exit(EXIT_FAILURE);
	}
	p->rate =
	    settings_number(&p->ini, "load", "capacity_per_second", NULL) *
	    settings_number(&p->ini, "run", "percent", "70") / 100.0;
	p->surge.workspace =
	    settings_text(&p->ini, "run", "surge_workspace", "");
	p->surge.factor = settings_number(&p->ini, "run", "surge_factor", "1");
	p->surge.from = p->warm_up + read_seconds(p, "surge_from");
	p->surge.to = p->warm_up + read_seconds(p, "surge_to");
	rng_init(&p->rng, settings_number(&p->ini, "run", "seed", "1"));
}

void
plan_read(struct plan *p, const char *path)
{
	*p = (struct plan){ 0 };
	settings_read(&p->ini, path);
	p->mixes = xcalloc(p->ini.n, sizeof(*p->mixes));
	for (size_t i = 0; i < p->ini.n; i++) {
		if (settings_starts_section(&p->ini, i, "mix "))
			read_mix(&p->ini, p->ini.entries[i].section,
			    &p->mixes[p->n_mixes++]);
	}
	p->prefixes = settings_number(&p->ini, "load", "prefixes", "400");
	p->client_delay =
	    settings_number(&p->ini, "load", "client_ms", "0") * USEC_PER_MSEC;
	read_run(p);
}

/* Returns the weight of a mix section at a time, surge included. */
static double
current_weight(const struct plan *p, const struct mix *m, usec_t at)
{
	const struct surge *s = &p->surge;

	if (at < s->from || at >= s->to ||
	    (*s->workspace != '\0' && strcmp(s->workspace, m->workspace) != 0))
		return m->weight;
	return m->weight * s->factor;
}

static double
total_weight(const struct plan *p, usec_t at)
{
	double sum = 0;

	for (size_t i = 0; i < p->n_mixes; i++)
		sum += current_weight(p, &p->mixes[i], at);
	return sum;
}

void
plan_draw_one(
    struct plan *p, usec_t at, uint32_t n, struct planned_request *out)
{
	double x = rng_unit(&p->rng) * total_weight(p, at);
	double u = rng_unit(&p->rng);
	size_t i;

	for (i = 0; i + 1 < p->n_mixes; i++) {
		x -= current_weight(p, &p->mixes[i], at);
		if (x < 0)
			break;
	}
	*out = (struct planned_request){
		.at = at,
		.mix = &p->mixes[i],
		/* Low numbers are drawn most often. */
		.prefix = (uint32_t)(u * u * p->prefixes),
		.number = n,
		.stream = rng_below(&p->rng, 100) < p->mixes[i].stream_percent,
		.warm_up = at < p->warm_up,
	};
}

/* Draws a Poisson process of the peak rate, thinned to the current rate. */
struct planned_request *
plan_draw(struct plan *p, size_t *n)
{
	double base_weight = total_weight(p, -1);
	double surge_weight = total_weight(p, p->surge.from);
	double peak = p->rate *
	    (surge_weight > base_weight ? surge_weight / base_weight : 1);
	double at = 0;
	struct planned_request *v = NULL;
	size_t cap = 0;

	*n = 0;
	for (;;) {
		usec_t t;

		at += -log(1 - rng_unit(&p->rng)) / peak;
		t = (usec_t)(at * USEC_PER_SEC);
		if (t >= p->warm_up + p->length)
			return v;
		if (rng_unit(&p->rng) * peak >
		    p->rate * total_weight(p, t) / base_weight)
			continue;
		if (*n == cap) {
			cap = cap > 0 ? 2 * cap : 1024;
			v = xrealloc(v, cap, sizeof(*v));
		}
		plan_draw_one(p, t, (uint32_t)*n, &v[*n]);
		(*n)++;
	}
}

void
plan_text(const struct planned_request *r, struct buf *out)
{
	const struct mix *m = r->mix;
	uint64_t h = hash_u64(
	    (struct str){ (const char *)&r->prefix, sizeof(r->prefix) }, 1);
	size_t wanted_len = m->text_min + h % (m->text_max - m->text_min + 1);

	buf_printf(out, "%s %s %u", m->workspace, m->pipeline, r->prefix);
	while (out->n < wanted_len)
		buf_printf(out, " w%llx", (unsigned long long)(h = h * 31 + 7));
}

void
plan_free(struct plan *p)
{
	free(p->mixes);
	ini_free(&p->ini);
}
