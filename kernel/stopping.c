#include "kernel/stopping.h"

/* A process ends this long before the platform would kill it. */
#define KILL_MARGIN    (700 * USEC_PER_MSEC)
/* Its threads get this long to end. */
#define FORCE_TIME     (350 * USEC_PER_MSEC)
/* Responses are written within this time. */
#define ANSWER_TIME    (150 * USEC_PER_MSEC)
/* Requests end this long before the exit, so that the last responses arrive. */
#define EXIT_MARGIN    (400 * USEC_PER_MSEC)
/* Calls without an answer are given up this long before the exit. */
#define GIVE_UP_MARGIN (200 * USEC_PER_MSEC)
/* An answer that has arrived by then is read in this time. */
#define READ_TIME      (40 * USEC_PER_MSEC)
#define SETTLE_MARGIN  (100 * USEC_PER_MSEC)
#define REUSE_PERIOD   (100 * USEC_PER_MSEC)
#define QUIET_PERIOD   (200 * USEC_PER_MSEC)
/* After a longer time between two calls the process stood still. */
#define MAX_STEP       (100 * USEC_PER_MSEC)

usec_t
stopping_look(struct stopping_watch *w, bool pending, usec_t now)
{
	if (w->signal_at != 0)
		return w->signal_at;
	if (!pending)
		w->clear_at = now;
	else
		w->signal_at = w->clear_at != 0 ? w->clear_at : now;
	return w->signal_at;
}

struct stopping
stopping_plan(usec_t signal_at, usec_t drain, usec_t grace)
{
	usec_t left = grace > KILL_MARGIN ? grace - KILL_MARGIN : 0;

	return (struct stopping){
		.signal_at = signal_at,
		.drained_at = signal_at + (drain < left ? drain : left),
		.exit_at = signal_at + left,
		.forced_at = signal_at + left + FORCE_TIME,
	};
}

usec_t
stopping_last_exit(const struct stopping *s, usec_t now)
{
	usec_t answered_at = now + ANSWER_TIME;

	if (answered_at <= s->exit_at)
		return s->exit_at;
	return answered_at < s->forced_at ? answered_at : s->forced_at;
}

bool
stopping_is_over(const struct stopping *s, struct stopping_wait *w, usec_t now)
{
	if (now - w->seen_at > MAX_STEP)
		w->ends_at = stopping_last_exit(s, now);
	w->seen_at = now;
	return now >= w->ends_at;
}

/* Time until requests have to have ended. */
static usec_t
time_left(const struct stopping *s, usec_t now)
{
	return s->exit_at - EXIT_MARGIN - now;
}

bool
stopping_takes(
    const struct stopping *s, const struct stopping_need *need, usec_t now)
{
	usec_t left = time_left(s, now);

	if (s->signal_at == 0 || need->budget < left)
		return true;
	return !stopping_is_drained(s, now) && need->expected > 0 &&
	    need->expected < left;
}

bool
stopping_closes_idle(usec_t idle)
{
	return idle >= REUSE_PERIOD;
}

bool
stopping_is_drained(const struct stopping *s, usec_t now)
{
	return s->signal_at != 0 && now >= s->drained_at;
}

bool
stopping_ends_listening(const struct stopping *s, bool has_taken, usec_t now)
{
	return s->signal_at != 0 && !has_taken && time_left(s, now) <= 0;
}

enum stopping_partial
stopping_refuses_partial(const struct stopping *s, usec_t now)
{
	if (s->signal_at == 0 || time_left(s, now) > 0)
		return STOPPING_NONE;
	return now < s->exit_at - GIVE_UP_MARGIN ? STOPPING_READ : STOPPING_ALL;
}

bool
stopping_gives_up(
    const struct stopping *s, const struct stopping_request *r, usec_t now)
{
	usec_t left = time_left(s, now);

	if (s->signal_at == 0)
		return false;
	if (!r->sent)
		return left <= 0 ||
		    (r->need.budget >= left &&
			(r->need.expected == 0 || r->need.expected >= left));
	return !r->answering && now >= s->exit_at - GIVE_UP_MARGIN;
}

bool
stopping_reads_on(struct stopping_read *r, bool has_input, usec_t now)
{
	if (!has_input)
		return false;
	if (r->since == 0)
		r->since = now;
	return now - r->since < READ_TIME;
}

usec_t
stopping_settles_at(const struct stopping *s)
{
	return s->exit_at - SETTLE_MARGIN;
}

bool
stopping_hands_back(const struct stopping *s, usec_t ends_at, usec_t now)
{
	usec_t left = time_left(s, now);

	return s->signal_at != 0 && (left <= 0 || ends_at - now >= left);
}

usec_t
stopping_earliest_end(const struct stopping_target *targets, size_t n,
    usec_t expected, usec_t now)
{
	usec_t earliest = INT64_MAX;

	for (size_t i = 0; i < n; i++) {
		const struct stopping_target *t = &targets[i];
		usec_t start = t->free_at > now ? t->free_at : now;
		usec_t end = start + (usec_t)(t->slowness * (double)expected);

		earliest = end < earliest ? end : earliest;
	}
	return earliest;
}

bool
stopping_breaks_off(const struct stopping *s, usec_t now)
{
	return s->signal_at != 0 && now >= s->exit_at - GIVE_UP_MARGIN;
}

bool
stopping_may_end(
    const struct stopping *s, const struct stopping_work *w, usec_t now)
{
	return stopping_is_drained(s, now) && !w->callers && !w->calls &&
	    !w->stages;
}

bool
stopping_saves(const struct stopping_facts *f)
{
	return f->has_store && (f->undecided || f->unsent || f->writing);
}

bool
stopping_is_quiet(struct stopping_quiet *q, bool busy, usec_t now)
{
	if (busy || now - q->seen_at > MAX_STEP)
		q->since = now;
	q->seen_at = now;
	return now - q->since >= QUIET_PERIOD;
}
