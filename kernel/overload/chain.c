#include "kernel/overload/chain.h"

/*
 * Share of a reported wait that counts.  Reports are estimates, and a request
 * that might be served is not ended for an estimate that is a little too long.
 */
#define SURE_SHARE    0.75
/* Results are not used within this time before they expire. */
#define EXPIRY_MARGIN (400 * USEC_PER_MSEC)

static bool
needs(const struct chain *c, uint32_t i, uint32_t k)
{
	return c->stages[i].after >> k & 1;
}

uint32_t
chain_before(const struct chain *c, uint32_t i)
{
	uint32_t all = 0;

	for (uint32_t k = 0; k < i; k++) {
		if (needs(c, i, k) && c->stages[k].needed)
			all |= UINT32_C(1) << k | chain_before(c, k);
	}
	return all;
}

bool
chain_is_ready(const struct chain *c, uint32_t i)
{
	for (uint32_t k = 0; k < c->n; k++) {
		if (needs(c, i, k) && c->stages[k].needed && !c->stages[k].done)
			return false;
	}
	return true;
}

/* Returns the length of the longest chain of stages that depend on stage i. */
static uint32_t
height(const struct chain *c, uint32_t i)
{
	uint32_t longest = 0;

	for (uint32_t k = i + 1; k < c->n; k++) {
		if (needs(c, k, i) && c->stages[k].needed) {
			uint32_t n = 1 + height(c, k);

			longest = n > longest ? n : longest;
		}
	}
	return longest;
}

bool
chain_can_wait(const struct chain *c, uint32_t i)
{
	uint32_t own_height = height(c, i);

	for (uint32_t k = 0; k < c->n; k++) {
		if (c->stages[k].needed && !c->stages[k].done &&
		    height(c, k) > own_height)
			return true;
	}
	return false;
}

enum time_kind {
	TIME_MIN,
	TIME_TYPICAL,
	TIME_REPORTED /* at least the shortest */
};

static usec_t
stage_time(const struct chain_stage *s, enum time_kind kind)
{
	usec_t reported = (usec_t)(SURE_SHARE * (double)s->wait);

	switch (kind) {
	case TIME_MIN:
		break;
	case TIME_TYPICAL:
		return s->typical_time;
	case TIME_REPORTED:
		return reported > s->min_time ? reported : s->min_time;
	}
	return s->min_time;
}

/* Longest time of the stages that follow stage i, then the first event. */
static usec_t
time_after(const struct chain *c, uint32_t i, enum time_kind kind)
{
	usec_t longest = 0;

	for (uint32_t k = i + 1; k < c->n; k++) {
		if (needs(c, k, i) && c->stages[k].needed) {
			usec_t t = stage_time(&c->stages[k], kind) +
			    time_after(c, k, kind);

			longest = t > longest ? t : longest;
		}
	}
	if (longest > 0)
		return longest;
	return kind == TIME_TYPICAL ? c->typical_first_event
				    : c->min_first_event;
}

usec_t
chain_typical_after(const struct chain *c, uint32_t i)
{
	return time_after(c, i, TIME_TYPICAL);
}

usec_t
chain_min_after(const struct chain *c, uint32_t i)
{
	return time_after(c, i, TIME_MIN);
}

usec_t
chain_deadline(usec_t arrived, usec_t first_event_limit, usec_t deadline)
{
	if (first_event_limit > 0 && arrived + first_event_limit < deadline)
		return arrived + first_event_limit;
	return deadline;
}

/* Returns by how much the results of stage i would miss stage k, or 0. */
static usec_t
expiry_excess(const struct chain *c, uint32_t i, uint32_t k)
{
	const struct chain_stage *from = &c->stages[i];
	const struct chain_stage *to = &c->stages[k];
	usec_t wait = stage_time(to, TIME_REPORTED) - to->min_time;
	usec_t left = from->result_ttl - EXPIRY_MARGIN;

	if (from->result_ttl == 0 || wait <= left)
		return 0;
	return wait - left;
}

enum chain_verdict
chain_check(const struct chain *c, usec_t time_left, usec_t *excess)
{
	usec_t longest = 0;
	bool needed = false;
	bool all_done = true;

	*excess = 0;
	for (uint32_t i = 0; i < c->n; i++) {
		const struct chain_stage *s = &c->stages[i];
		usec_t t;

		needed = needed || s->needed;
		all_done = all_done && (!s->needed || s->done);
		if (!s->needed || s->done || s->started)
			continue;
		t = stage_time(s, TIME_REPORTED) +
		    time_after(c, i, TIME_REPORTED);
		longest = t > longest ? t : longest;
	}
	if (needed && all_done)
		longest = c->best_first_event;
	if (longest > time_left) {
		*excess = longest - time_left;
		return CHAIN_NO_TIME;
	}
	for (uint32_t i = 0; i < c->n; i++) {
		if (!c->stages[i].needed || c->stages[i].done)
			continue;
		for (uint32_t k = i + 1; k < c->n; k++) {
			usec_t t = needs(c, k, i) && c->stages[k].needed
			    ? expiry_excess(c, i, k)
			    : 0;

			*excess = t > *excess ? t : *excess;
		}
	}
	return *excess > 0 ? CHAIN_EXPIRES : CHAIN_FITS;
}
