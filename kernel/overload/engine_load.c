#include "kernel/overload/engine_load.h"

#include <math.h>

/* A report of the requests of others holds for this time. */
#define REPORT_TIME   (2 * USEC_PER_SEC)
/*
 * A report that names no waiting request shows that prompts which were placed
 * this long before it have been read.
 */
#define REPORT_DELAY  (500 * USEC_PER_MSEC)
/* A prompt that should be read by now takes this part of its time at least. */
#define LEAST_LEFT    0.1
/* An engine that is overdue is expected to take half as long again. */
#define OVERDUE_SHARE 0.5
/* About the time of some events of a stream beside which prompts are read. */
#define RECENT_TIME   (300 * USEC_PER_MSEC)
/* Failures of two hosts within this time are the engine's, not a path's. */
#define FAILURE_TIME  (2 * USEC_PER_SEC)
#define ASIDE_FIRST   (250 * USEC_PER_MSEC)
#define ASIDE_MAX     (4 * USEC_PER_SEC)

struct engine_load *
engine_load_new(const char *id, uint64_t born_ms)
{
	struct engine_load *e = g_new0(struct engine_load, 1);

	g_strlcpy(e->id, id, sizeof(e->id));
	e->born_ms = born_ms;
	e->prompts = g_ptr_array_new();
	prompt_cache_init(&e->cache);
	return e;
}

static double
current_slowness(const struct engine_load *e, usec_t now)
{
	return engine_speed_slowness(&e->speed, now) *
	    target_pace_slowness(&e->pace, now);
}

static double
ms_until(usec_t t, usec_t now)
{
	return (double)(t - now) / (double)USEC_PER_MSEC;
}

static double
unread_ms(const struct engine_load *e, double slowness, usec_t now)
{
	double left = ms_until(e->read_until, now);
	double least = LEAST_LEFT * e->unread_ms * slowness;

	if (e->n_reading == 0)
		return 0;
	if (left < 0)
		left = -left * OVERDUE_SHARE;
	return fmax(left, least);
}

static uint64_t
memory_of(const struct prompt *p)
{
	return (uint64_t)p->request.prompt_tokens + p->request.output_tokens;
}

static void
find_streams(struct engine_load *e)
{
	e->max_gap = 0;
	e->n_streams = 0;
	for (guint i = 0; i < e->prompts->len; i++) {
		const struct prompt *p = e->prompts->pdata[i];
		usec_t gap = p->request.max_gap;

		if (gap == 0)
			continue;
		e->n_streams++;
		if (e->max_gap == 0 || gap < e->max_gap)
			e->max_gap = gap;
	}
}

void
engine_load_add(struct engine_load *e, const struct engine_norms *norms,
    struct prompt *p, uint64_t kv_tokens, usec_t now)
{
	double slowness = current_slowness(e, now);
	double ms = unread_ms(e, slowness, now);
	double own_ms;

	p->state = PROMPT_READING;
	p->engine = e;
	p->placed_at = now;
	p->read_ms = engine_read_ms(norms, p->to_read);
	p->before_ms = ms / slowness;
	own_ms = p->read_ms * slowness;
	e->read_until = now + (usec_t)((ms + own_ms) * (double)USEC_PER_MSEC);
	e->recent_ms =
	    engine_load_recent(e->recent_ms, now - e->recent_at) + own_ms;
	e->recent_at = now;
	e->unread_ms += p->read_ms;
	e->n_reading++;
	e->memory += memory_of(p);
	g_ptr_array_add(e->prompts, p);
	find_streams(e);
	prompt_cache_use(&e->cache, p->prefixes, p->request.n_parts,
	    kv_tokens > e->memory ? kv_tokens - e->memory : 0);
}

static void
set_read(struct engine_load *e, const struct prompt *p, usec_t now)
{
	usec_t all;

	e->n_reading--;
	e->unread_ms =
	    e->n_reading > 0 ? fmax(e->unread_ms - p->read_ms, 0) : 0;
	all = now +
	    (usec_t)(e->unread_ms * current_slowness(e, now) *
		(double)USEC_PER_MSEC);
	if (e->read_until > all || e->read_until < now)
		e->read_until = all;
}

void
engine_load_begun(struct engine_load *e, struct engine_norms *norms,
    struct prompt *p, usec_t now)
{
	if (p->state != PROMPT_READING)
		return;
	if (now > p->placed_at)
		engine_speed_measured(&e->speed, norms, p->to_read,
		    p->before_ms,
		    ms_until(now, p->placed_at) /
			target_pace_slowness(&e->pace, now),
		    now);
	engine_norms_add(&norms->tokens, (double)memory_of(p));
	engine_norms_add(&norms->prompt_tokens, p->to_read);
	p->state = PROMPT_RUNNING;
	p->begun_at = now;
	e->failures = 0;
	set_read(e, p, now);
}

void
engine_load_completed(struct engine_load *e, struct engine_norms *norms,
    struct prompt *p, usec_t now)
{
	if (p->state == PROMPT_READING)
		engine_load_begun(e, norms, p, now);
	else
		engine_norms_add(&norms->run_ms, ms_until(now, p->begun_at));
	e->failures = 0;
	e->aside_until = 0;
}

/* Parts of a prompt that the engine keeps, or reads for another one. */
static size_t
n_shared(const struct engine_load *e, const struct prompt *p)
{
	size_t most = p->n_cached;

	for (guint i = 0; i < e->prompts->len; i++) {
		const struct prompt *x = e->prompts->pdata[i];
		size_t n = 0;

		while (x != p && n < p->request.n_parts &&
		    n < x->request.n_parts &&
		    x->prefixes[n].hash == p->prefixes[n].hash)
			n++;
		most = n > most ? n : most;
	}
	return most;
}

void
engine_load_remove(struct engine_load *e, struct prompt *p, usec_t now)
{
	if (p->state == PROMPT_READING) {
		prompt_cache_drop(
		    &e->cache, p->prefixes, n_shared(e, p), p->request.n_parts);
		set_read(e, p, now);
	}
	e->memory -= memory_of(p);
	g_ptr_array_remove_fast(e->prompts, p);
	p->engine = NULL;
	find_streams(e);
}

/* Prompts whose first event was missed are read. */
static void
set_old_read(struct engine_load *e, usec_t now)
{
	for (guint i = 0; i < e->prompts->len; i++) {
		struct prompt *p = e->prompts->pdata[i];

		if (p->state != PROMPT_READING ||
		    now - p->placed_at < REPORT_DELAY)
			continue;
		p->state = PROMPT_RUNNING;
		p->begun_at = now;
		set_read(e, p, now);
	}
}

void
engine_load_reported(struct engine_load *e, uint32_t running, uint32_t waiting,
    uint32_t slowness, usec_t now)
{
	uint64_t all = (uint64_t)running + waiting;
	uint32_t others =
	    all > e->prompts->len ? (uint32_t)(all - e->prompts->len) : 0;

	if (now < e->reported_at)
		return;
	target_pace_reported(&e->pace, slowness, now);
	e->reported_waiting =
	    waiting > e->n_reading ? waiting - e->n_reading : 0;
	if (e->reported_waiting > others)
		e->reported_waiting = others;
	e->reported_running = others - e->reported_waiting;
	e->reported_at = now;
	if (waiting == 0)
		set_old_read(e, now);
}

void
engine_load_failed(struct engine_load *e, uint64_t host, usec_t now)
{
	bool other = e->failed_at != 0 && e->failed_host != host &&
	    now - e->failed_at < FAILURE_TIME;
	usec_t pause = ASIDE_FIRST;

	e->failed_host = host;
	e->failed_at = now;
	if (!other || now < e->aside_until)
		return;
	for (uint32_t i = 0; i < e->failures && pause < ASIDE_MAX; i++)
		pause *= 2;
	e->failures++;
	e->aside_until = now + (pause < ASIDE_MAX ? pause : ASIDE_MAX);
}

double
engine_load_recent(double recent_ms, usec_t time)
{
	return time > 0 ? recent_ms * exp(-(double)time / (double)RECENT_TIME)
			: recent_ms;
}

void
engine_load_state(const struct engine_load *e, const struct engine_norms *norms,
    usec_t now, struct engine_state *out)
{
	double slowness = current_slowness(e, now);
	bool known = e->reported_at != 0 && now - e->reported_at < REPORT_TIME;
	uint32_t running = known ? e->reported_running : 0;
	uint32_t waiting = known ? e->reported_waiting : 0;

	*out = (struct engine_state){
		.slowness = slowness,
		.unread_ms = unread_ms(e, slowness, now) +
		    waiting * slowness *
			engine_read_ms(norms, norms->prompt_tokens),
		.recent_ms =
		    engine_load_recent(e->recent_ms, now - e->recent_at),
		.active = e->prompts->len + running + waiting,
		.memory =
		    e->memory + (uint64_t)((running + waiting) * norms->tokens),
	};
}

double
engine_load_next_end_ms(
    const struct engine_load *e, const struct engine_norms *norms, usec_t now)
{
	double least = norms->run_ms;

	for (guint i = 0; i < e->prompts->len; i++) {
		const struct prompt *p = e->prompts->pdata[i];

		if (p->state == PROMPT_RUNNING)
			least = fmin(
			    least, norms->run_ms - ms_until(now, p->begun_at));
	}
	/* Some run longer than most. */
	return fmax(least, norms->run_ms / (e->prompts->len + 1));
}

double
engine_load_longest_ms(const struct engine_load *e)
{
	double longest = 0;

	for (guint i = 0; e->n_reading > 0 && i < e->prompts->len; i++) {
		const struct prompt *p = e->prompts->pdata[i];

		if (p->state == PROMPT_READING)
			longest = fmax(longest, p->read_ms);
	}
	return longest;
}

void
engine_load_free(struct engine_load *e)
{
	prompt_cache_free(&e->cache);
	g_ptr_array_unref(e->prompts);
	g_free(e);
}
