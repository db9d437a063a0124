#include "kernel/limit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A bucket holds what is refilled in this time. */
#define BUCKET_SECONDS 1.0
#define MIN_RETRY      (100 * USEC_PER_MSEC)

static struct limit *
find(struct limits *l, struct str workspace)
{
	struct limit *x;

	for (size_t i = 0; i < l->n; i++) {
		if (str_eq(str_from(l->v[i].workspace), workspace))
			return &l->v[i];
	}
	l->v = xrealloc(l->v, l->n + 1, sizeof(*l->v));
	x = &l->v[l->n++];
	memset(x, 0, sizeof(*x));
	snprintf(
	    x->workspace, sizeof(x->workspace), "%.*s", STR_FMT(workspace));
	x->filled_at = -1;
	return x;
}

static double
share_of(const struct limits *l, const struct limit *x, uint32_t limit)
{
	uint32_t n = l->sequoiads > 0 ? l->sequoiads : 1;

	if (x->share > 0)
		return (double)limit * x->share / LIMIT_PPM;
	return (double)limit / n;
}

static void
fill(double *bucket, double rate, double seconds, bool full)
{
	double cap = rate * BUCKET_SECONDS;

	if (cap < 1.0)
		cap = 1.0;
	/*
	 * Without a limit the bucket is full, so that no debt is left when one
	 * is set.
	 */
	if (rate <= 0)
		full = true;
	*bucket = full ? cap : *bucket + rate * seconds;
	if (*bucket > cap)
		*bucket = cap;
}

static usec_t
time_until(double missing, double rate)
{
	usec_t t =
	    rate > 0 ? (usec_t)(missing / rate * USEC_PER_SEC) : USEC_PER_SEC;

	return t > MIN_RETRY ? t : MIN_RETRY;
}

static void
refill(const struct limits *l, struct limit *x, const struct conf_workspace *w,
    usec_t now)
{
	double seconds = (double)(now - x->filled_at) / USEC_PER_SEC;
	bool first = x->filled_at < 0;

	if (seconds < 0)
		seconds = 0;
	fill(&x->requests, share_of(l, x, w->requests_per_second), seconds,
	    first);
	fill(&x->tokens, share_of(l, x, w->tokens_per_second), seconds, first);
	x->filled_at = now;
}

int
limit_admit(struct limits *l, const struct conf_workspace *w, usec_t now,
    usec_t *retry_after)
{
	struct limit *x = find(l, str_from(w->name));
	double max_in_flight = share_of(l, x, w->requests_in_flight);

	x->arrived++;
	refill(l, x, w, now);
	if (w->requests_in_flight > 0 && x->in_flight >= max_in_flight &&
	    x->in_flight > 0) {
		*retry_after = MIN_RETRY;
		return ERR_OVER_LIMIT;
	}
	if (w->requests_per_second > 0 && x->requests < 1.0) {
		*retry_after = time_until(
		    1.0 - x->requests, share_of(l, x, w->requests_per_second));
		return ERR_OVER_LIMIT;
	}
	if (w->tokens_per_second > 0 && x->tokens < 0) {
		*retry_after = time_until(
		    -x->tokens, share_of(l, x, w->tokens_per_second));
		return ERR_OVER_LIMIT;
	}
	x->requests -= 1.0;
	x->in_flight++;
	return 0;
}

void
limit_release(struct limits *l, const char *workspace)
{
	struct limit *x = find(l, str_from(workspace));

	if (x->in_flight > 0)
		x->in_flight--;
}

void
limit_charge(struct limits *l, const char *workspace, uint32_t tokens)
{
	struct limit *x = find(l, str_from(workspace));

	x->tokens -= tokens;
	x->charged += tokens;
}

void
limit_set_share(struct limits *l, struct str workspace, uint32_t ppm)
{
	find(l, workspace)->share = ppm;
}

void
limit_free(struct limits *l)
{
	free(l->v);
	*l = (struct limits){ 0 };
}
