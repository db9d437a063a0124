#include "kernel/overload/response_wait.h"
#include "kernel/late_read.h"

/* Weights of a new sample in the average and in the mean deviation. */
#define AVERAGE_WEIGHT   0.125
#define DEVIATION_WEIGHT 0.25
/* Mean deviations above the average that few calls exceed. */
#define DEVIATIONS       6
/* Covers the retransmission of a lost packet. */
#define MIN_LIMIT        (250 * USEC_PER_MSEC)
/* Factor of the smallest limit while no call has been answered. */
#define UNKNOWN_FACTOR   2
#define MAX_DOUBLINGS    4
/* Prompt tokens that a slow engine under load reads per millisecond. */
#define PROMPT_RATE      20

struct response_times {
	double average;
	double deviation;
	uint32_t answered;
	uint32_t given_up; /* in a row */
};

void
response_wait_init(struct response_wait *w)
{
	w->by_service =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static struct response_times *
times_of(struct response_wait *w, const char *service)
{
	struct response_times *t = g_hash_table_lookup(w->by_service, service);

	if (t == NULL) {
		t = g_new0(struct response_times, 1);
		g_hash_table_insert(w->by_service, g_strdup(service), t);
	}
	return t;
}

void
response_wait_answered(
    struct response_wait *w, const char *service, usec_t time)
{
	struct response_times *t = times_of(w, service);
	double error = (double)time - t->average;

	t->given_up = 0;
	if (t->answered++ == 0) {
		t->average = (double)time;
		t->deviation = (double)time / 2;
		return;
	}
	t->average += AVERAGE_WEIGHT * error;
	t->deviation +=
	    DEVIATION_WEIGHT * ((error < 0 ? -error : error) - t->deviation);
}

void
response_wait_given_up(struct response_wait *w, const char *service)
{
	struct response_times *t = times_of(w, service);

	if (t->given_up < MAX_DOUBLINGS)
		t->given_up++;
}

usec_t
response_wait_limit(const struct response_wait *w, const char *service,
    usec_t objective, usec_t extra, usec_t time_left)
{
	const struct response_times *t =
	    g_hash_table_lookup(w->by_service, service);
	usec_t limit = objective;
	usec_t usual;

	if (limit < MIN_LIMIT)
		limit = MIN_LIMIT;
	if (t == NULL || t->answered == 0) {
		limit *= UNKNOWN_FACTOR;
		usual = limit / UNKNOWN_FACTOR;
	} else {
		usual = (usec_t)(t->average + t->deviation);
		if (limit < t->average + DEVIATIONS * t->deviation)
			limit =
			    (usec_t)(t->average + DEVIATIONS * t->deviation);
	}
	limit += extra;
	if (t != NULL)
		limit <<= t->given_up;
	return limit + usual < time_left ? limit : 0;
}

usec_t
response_wait_end(const struct response_call *c, usec_t now)
{
	usec_t from = c->written > 0 ? c->written : now;
	usec_t rest = c->held ? LATE_READ_TIME : 0;

	return MIN(from, c->started + c->limit) + c->limit + c->waited + rest;
}

usec_t
response_wait_prompt(uint32_t tokens)
{
	return (usec_t)tokens * USEC_PER_MSEC / PROMPT_RATE;
}

void
response_wait_free(struct response_wait *w)
{
	g_hash_table_destroy(w->by_service);
}
