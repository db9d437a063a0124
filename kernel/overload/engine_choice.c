#include "kernel/overload/engine_choice.h"

#include <math.h>
#include <string.h>

/* A prompt is long that is read in more than this part of a stream's gap. */
#define LONG_SHARE    0.25
/* Part of a stream's gap that is filled with reading beside it. */
#define READ_SHARE    0.5
/* A prompt is sent so long before the engine has read those before it. */
#define LEAD_MS       20.0
/* Engines that differ by less are as good as equal, and take turns. */
#define TIE_MS        4.0
/* Cost of a running request to one more, in milliseconds. */
#define RUNNING_MS    4.0
/*
 * Tokens that are read delay everything at the engine, so their time counts so
 * many times beyond the delay of the prompt itself.
 */
#define READ_COST     3.0
/* Part of its gap that a stream loses at an engine that takes twice as long. */
#define SLOW_SHARE    0.25
/* Cost of reading beside a stream, beyond that, as a part of its time. */
#define PAUSE_COST    0.25
/* Parts of a gap: with so much reading in it a stream may be late, or is. */
#define MAY_BE_LATE   1.0
#define IS_LATE       2.0
/* Cost of a stream that is late. */
#define HARM_COST_MS  2000.0
/* Cost of a megabyte from another failure domain, in milliseconds. */
#define REMOTE_MB_MS  6.0
/* Cost of a prompt that is late: as that of eight streams. */
#define LATE_COST_MS  16000.0
/* Cost that comes before all others. */
#define ASIDE_COST_MS 1e7
/* A target that takes no call now is looked at again. */
#define RECHECK_TIME  (100 * USEC_PER_MSEC)

void
engine_view_set(struct engine_view *v, const struct engine_norms *norms,
    uint32_t slots, usec_t now)
{
	const struct engine_load *e = v->engine;

	engine_load_state(e, norms, now, &v->state);
	v->slots = v->target->entry.slots > 0 ? v->target->entry.slots : slots;
	v->next_end_ms = engine_load_next_end_ms(e, norms, now);
	v->longest_ms = engine_load_longest_ms(e) * v->state.slowness;
}

static bool
was_tried(const struct placement_request *q, const char *id)
{
	for (size_t i = 0; i < q->n_tried; i++) {
		if (strcmp(q->tried[i], id) == 0)
			return true;
	}
	return false;
}

/* Engines that are cold get the requests that their owners choose them for. */
static bool
is_eligible(const struct engine_choice_opts *o,
    const struct placement_request *q, const struct target_load *t, usec_t now)
{
	if (target_cold_owned_for(&t->cold, now) > 0)
		return false;
	if (o->kv_tokens > 0 &&
	    (uint64_t)q->prompt_tokens + q->output_tokens > o->kv_tokens)
		return false;
	return !was_tried(q, t->entry.id) &&
	    (*q->version == '\0' || strcmp(q->version, t->entry.version) == 0);
}

static double
to_ms(usec_t t)
{
	return (double)t / (double)USEC_PER_MSEC;
}

usec_t
engine_from_ms(double ms)
{
	return (usec_t)(ms * (double)USEC_PER_MSEC);
}

/* Shortest gap of the streams beside which a prompt would be read. */
static double
gap_ms(const struct prompt *x, const struct engine_load *e)
{
	usec_t gap = e->max_gap;

	if (gap == 0 || (x->request.max_gap > 0 && x->request.max_gap < gap))
		gap = x->request.max_gap;
	return to_ms(gap);
}

/* Time until the prompts that an engine reads leave room for another. */
static double
read_wait_ms(const struct engine_view *v, double own_ms, double gap)
{
	double unread = v->state.unread_ms;
	double room = READ_SHARE * gap - own_ms;
	bool is_long = own_ms > LONG_SHARE * gap;

	if (gap == 0 || unread <= LEAD_MS)
		return 0;
	if ((is_long && v->longest_ms > LONG_SHARE * gap) || room < LEAD_MS)
		room = LEAD_MS;
	return unread > room ? unread - room : 0;
}

/* Time until an engine has a slot and memory for another request. */
static double
slot_wait_ms(const struct engine_choice_opts *o, const struct prompt *x,
    const struct engine_view *v)
{
	uint64_t need =
	    (uint64_t)x->request.prompt_tokens + x->request.output_tokens;

	if (v->state.active < v->slots &&
	    (o->kv_tokens == 0 || v->state.memory + need <= o->kv_tokens))
		return 0;
	return v->next_end_ms * (v->n_awaited + 1);
}

/* Cost of an engine beyond the time until the first event. */
static double
other_cost(const struct engine_choice_opts *o, const struct prompt *x,
    const struct engine_view *v, uint32_t to_read, usec_t now)
{
	double slow = v->state.slowness - 1;
	double ms = v->state.active * RUNNING_MS * v->state.slowness;

	ms += engine_read_ms(o->norms, to_read) * READ_COST;
	if (slow > 0)
		ms += slow * SLOW_SHARE * to_ms(x->request.max_gap);
	if (now < v->engine->aside_until || now < v->target->aside_until)
		ms += ASIDE_COST_MS;
	return ms + rng_unit(o->rng) * TIE_MS;
}

/*
 * Cost to a stream whose caller allows a gap of the reading beside it within
 * about that time.
 */
static double
harm(double read_ms, double gap)
{
	double over = read_ms - LONG_SHARE * gap;
	double late = (read_ms / gap - MAY_BE_LATE) / (IS_LATE - MAY_BE_LATE);

	if (gap == 0 || over <= 0)
		return 0;
	return PAUSE_COST * over + HARM_COST_MS * fmin(fmax(late, 0), 1);
}

/* Cost to the streams of an engine of a prompt that is read after others. */
static double
pause_cost(const struct engine_view *v, double before_ms, double own_ms)
{
	/* Its streams are slow as well, so they bear less. */
	double gap = to_ms(v->engine->max_gap) / fmax(v->state.slowness, 1);

	return v->engine->n_streams *
	    (harm(before_ms + own_ms, gap) - harm(before_ms, gap));
}

/* Cost of a first event after a time, which may be too late. */
static double
late_cost(const struct prompt *x, double first_ms, usec_t now)
{
	return now + engine_from_ms(first_ms * ENGINE_SAFETY) > x->request.aim
	    ? LATE_COST_MS
	    : 0;
}

/*
 * Whether the target has asked for no rest.  What a host may send of a limit is
 * that host's to check.
 */
static bool
takes_calls(const struct target_load *t, usec_t now)
{
	return now >= t->rest_until && now >= t->brittle.pause_until;
}

static void
look_at(const struct engine_choice_opts *o, const struct prompt *x, size_t i,
    usec_t now, struct engine_look *out)
{
	const struct engine_view *v =
	    &g_array_index(o->views, struct engine_view, i);
	const struct placement_request *q = &x->request;
	uint32_t cached = 0;
	double own_ms;
	double read_wait;
	double slot_wait;

	*out = (struct engine_look){ .view = i };
	out->n_cached =
	    prompt_cache_find(&v->engine->cache, x->prefixes, q->n_parts);
	for (size_t k = 0; k < out->n_cached; k++)
		cached += q->parts[k].tokens;
	out->to_read =
	    q->prompt_tokens > cached ? q->prompt_tokens - cached : 1;
	own_ms = engine_read_ms(o->norms, out->to_read) * v->state.slowness;
	out->own_ms = own_ms;
	out->first_ms = o->norms->first_ms * v->state.slowness +
	    v->state.unread_ms + own_ms;
	if (*q->input_domain != '\0' &&
	    strcmp(q->input_domain, v->target->entry.domain) != 0)
		out->first_ms += REMOTE_MB_MS * (double)q->input_bytes / 1e6;
	out->other_cost = other_cost(o, x, v, out->to_read, now);
	out->cost = out->first_ms + out->other_cost +
	    pause_cost(
		v, fmax(v->state.recent_ms, v->state.unread_ms), own_ms) +
	    late_cost(x, out->first_ms, now);
	slot_wait = slot_wait_ms(o, x, v);
	read_wait = read_wait_ms(v, own_ms, gap_ms(x, v->engine));
	if (read_wait > 0)
		read_wait += v->awaited_ms;
	out->wait_ms = fmax(slot_wait, read_wait);
	if (!takes_calls(v->target, now))
		out->wait_ms = fmax(out->wait_ms,
		    fmax(to_ms(v->target->rest_until - now),
			to_ms(RECHECK_TIME)));
}

static bool
is_forcible(const struct engine_choice_opts *o, const struct prompt *x,
    const struct engine_look *k, usec_t now)
{
	const struct engine_view *v =
	    &g_array_index(o->views, struct engine_view, k->view);

	return takes_calls(v->target, now) && slot_wait_ms(o, x, v) == 0;
}

/* Sets how the prompt fares at an engine that takes it after a wait. */
static void
look_later(const struct prompt *x, const struct engine_view *v,
    struct engine_look *k, usec_t now)
{
	double left = fmax(v->state.unread_ms - k->wait_ms, 0);
	double recent =
	    engine_load_recent(v->state.recent_ms, engine_from_ms(k->wait_ms));

	/* What the engine reads meanwhile isn't before the prompt any more. */
	k->first_ms += k->wait_ms + left - v->state.unread_ms;
	k->cost = k->first_ms + k->other_cost +
	    pause_cost(v, fmax(recent, left), k->own_ms) +
	    late_cost(x, k->first_ms, now);
}

void
engine_choose(const struct engine_choice_opts *o, const struct prompt *x,
    usec_t now, struct engine_choice *out)
{
	*out = (struct engine_choice){ 0 };
	for (guint i = 0; i < o->views->len; i++) {
		const struct engine_view *v =
		    &g_array_index(o->views, struct engine_view, i);
		struct engine_look k;

		if (!is_eligible(o, &x->request, v->target, now))
			continue;
		look_at(o, x, i, now, &k);
		out->eligible = true;
		if (k.wait_ms <= 0 &&
		    (!out->has_open || k.cost < out->open.cost)) {
			out->has_open = true;
			out->open = k;
		}
		if (k.wait_ms > 0 && is_forcible(o, x, &k, now) &&
		    (!out->has_forced || k.cost < out->forced.cost)) {
			out->has_forced = true;
			out->forced = k;
		}
		if (now < v->engine->aside_until ||
		    now < v->target->aside_until)
			continue;
		look_later(x, v, &k, now);
		if (!out->has_next || k.cost < out->next.cost) {
			out->has_next = true;
			out->next = k;
		}
	}
	if (!out->has_next && out->has_open) {
		out->has_next = true;
		out->next = out->open;
	}
}
