#include "tests/load/plan.h"
#include "base/hash.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_RUN (300 * USEC_PER_SEC)

const char *
plan_word(const struct plan *p, const char *section, const char *key,
    const char *fallback)
{
	const struct ini_entry *e = ini_find(&p->ini, section, key);

	if (e == NULL && fallback == NULL) {
		fprintf(stderr, "load: [%s] %s is not set\n", section, key);
		exit(EXIT_FAILURE);
	}
	return e != NULL ? e->value : fallback;
}

uint32_t
plan_number(const struct plan *p, const char *section, const char *key,
    const char *fallback)
{
	const char *t = plan_word(p, section, key, fallback);
	uint64_t n;

	if (!str_u64(str_from(t), &n) || n > UINT32_MAX) {
		fprintf(stderr, "load: [%s] %s = %s is no number\n", section,
		    key, t);
		exit(EXIT_FAILURE);
	}
	return (uint32_t)n;
}

static void
read_mix(const struct plan *p, const char *s, struct mix *m)
{
	const char *last;

	m->pipeline = plan_word(p, s, "pipeline", NULL);
	m->workspace = plan_word(p, s, "workspace", NULL);
	m->token = plan_word(p, s, "token", NULL);
	m->field = plan_word(p, s, "field", "note");
	m->output = plan_word(p, s, "output", "");
	m->effect = plan_word(p, s, "effect", "");
	m->calls = plan_word(p, s, "calls", NULL);
	last = strrchr(m->calls, ' ');
	m->service = last != NULL ? last + 1 : m->calls;
	m->weight = plan_number(p, s, "weight", "1");
	m->text_min = plan_number(p, s, "text_min", "100");
	m->text_max = plan_number(p, s, "text_max", "1000");
	m->stream_percent = plan_number(p, s, "stream_percent", "0");
	m->tokens = plan_number(p, s, "tokens", "0");
	m->deadline = plan_number(p, s, "deadline_ms", "5000") * USEC_PER_MSEC;
	m->marked = strcmp(plan_word(p, s, "marked", "yes"), "yes") == 0;
}

static bool
is_first(const struct plan *p, size_t i)
{
	const char *s = p->ini.entries[i].section;

	if (!str_prefix(str_from(s), STR("mix ")))
		return false;
	for (size_t k = 0; k < i; k++) {
		if (strcmp(p->ini.entries[k].section, s) == 0)
			return false;
	}
	return true;
}

static usec_t
seconds(const struct plan *p, const char *key)
{
	return plan_number(p, "run", key, "0") * USEC_PER_SEC;
}

static void
read_run(struct plan *p)
{
	p->warm = seconds(p, "warm_s");
	p->length = seconds(p, "seconds");
	if (p->warm + p->length > MAX_RUN) {
		fprintf(stderr, "load: [run] seconds: the run is too long\n");
		exit(EXIT_FAILURE);
	}
	p->rate = plan_number(p, "load", "capacity_per_second", NULL) *
	    plan_number(p, "run", "percent", "70") / 100.0;
	p->surge.workspace = plan_word(p, "run", "surge_workspace", "");
	p->surge.factor = plan_number(p, "run", "surge_factor", "1");
	p->surge.from = p->warm + seconds(p, "surge_from");
	p->surge.to = p->warm + seconds(p, "surge_to");
	rng_init(&p->rng, plan_number(p, "run", "seed", "1"));
}

void
plan_read(struct plan *p, const char *path)
{
	struct buf b = { 0 };
	struct err e;
	int rc = ini_slurp(path, &b, &e);

	*p = (struct plan){ 0 };
	if (rc == 0)
		rc = ini_add(&p->ini, path, str_of(&b), &e);
	buf_free(&b);
	if (rc != 0) {
		fprintf(stderr, "load: %s\n", e.text);
		exit(EXIT_FAILURE);
	}
	p->mixes = xcalloc(p->ini.n, sizeof(*p->mixes));
	for (size_t i = 0; i < p->ini.n; i++) {
		if (is_first(p, i))
			read_mix(p, p->ini.entries[i].section,
			    &p->mixes[p->n_mixes++]);
	}
	p->prefixes = plan_number(p, "load", "prefixes", "400");
	p->client = plan_number(p, "load", "client_ms", "0") * USEC_PER_MSEC;
	read_run(p);
}

/* The weight of a section at a time. */
static double
weight_at(const struct plan *p, const struct mix *m, usec_t at)
{
	const struct surge *s = &p->surge;

	if (at < s->from || at >= s->to ||
	    (*s->workspace != '\0' && strcmp(s->workspace, m->workspace) != 0))
		return m->weight;
	return m->weight * s->factor;
}

static double
weights(const struct plan *p, usec_t at)
{
	double sum = 0;

	for (size_t i = 0; i < p->n_mixes; i++)
		sum += weight_at(p, &p->mixes[i], at);
	return sum;
}

void
plan_one(struct plan *p, usec_t at, uint32_t n, struct planned *out)
{
	double x = rng_unit(&p->rng) * weights(p, at);
	double u = rng_unit(&p->rng);
	size_t i;

	for (i = 0; i + 1 < p->n_mixes; i++) {
		x -= weight_at(p, &p->mixes[i], at);
		if (x < 0)
			break;
	}
	*out = (struct planned){
		.at = at,
		.mix = &p->mixes[i],
		.prefix = (uint32_t)(u * u * p->prefixes), /* few are popular */
		.number = n,
		.stream = rng_below(&p->rng, 100) < p->mixes[i].stream_percent,
		.warm = at < p->warm,
	};
}

/* A Poisson process of the highest rate, thinned to that of each moment. */
struct planned *
plan_draw(struct plan *p, size_t *n)
{
	double calm = weights(p, -1);
	double most = weights(p, p->surge.from);
	double peak = p->rate * (most > calm ? most / calm : 1);
	double at = 0;
	struct planned *v = NULL;
	size_t cap = 0;

	*n = 0;
	for (;;) {
		usec_t t;

		at += -log(1 - rng_unit(&p->rng)) / peak;
		t = (usec_t)(at * USEC_PER_SEC);
		if (t >= p->warm + p->length)
			return v;
		if (rng_unit(&p->rng) * peak > p->rate * weights(p, t) / calm)
			continue;
		if (*n == cap) {
			cap = cap > 0 ? 2 * cap : 1024;
			v = xrealloc(v, cap, sizeof(*v));
		}
		plan_one(p, t, (uint32_t)*n, &v[*n]);
		(*n)++;
	}
}

void
plan_text(const struct planned *r, struct buf *out)
{
	const struct mix *m = r->mix;
	uint64_t h = hash_u64(
	    (struct str){ (const char *)&r->prefix, sizeof(r->prefix) }, 1);
	size_t want = m->text_min + h % (m->text_max - m->text_min + 1);

	buf_printf(out, "%s %s %u", m->workspace, m->pipeline, r->prefix);
	while (out->n < want)
		buf_printf(out, " w%llx", (unsigned long long)(h = h * 31 + 7));
}

void
plan_free(struct plan *p)
{
	free(p->mixes);
	ini_free(&p->ini);
}
