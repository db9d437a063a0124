#include "kernel/overload/engine_speed.h"

#include <math.h>

/*
 * The averages while nothing is measured.  That of the runs is short: a prompt
 * must not be refused for a wait that nobody knows.
 */
#define FIRST_RATE      50.0
#define FIRST_FIRST_MS  20.0
#define FIRST_COUNT     4
#define FIRST_RUN_MS    50.0
#define FIRST_TOKENS    2000.0
#define ENGINE_WEIGHT   0.3  /* of a sample in the slowness of one engine */
#define NORM_WEIGHT     0.05 /* of a sample in the averages over all */
/* A smaller prompt says more about the way to the engine than about reading. */
#define MIN_RATE_SAMPLE 1000
/* Above it, the time of a token grows noticeably with the prompt. */
#define CURVE_TOKENS    10000.0
#define MAX_CURVE       1.0
/* A sample of an expected time below this says less. */
#define FULL_SAMPLE_MS  50.0
/* Bounds a sample, in expected ones. */
#define BOUND           8.0
/* What was measured counts in full for this time, and fades within it. */
#define MEASURE_TIME    (5 * USEC_PER_SEC)

struct engine_norms
engine_norms_init(void)
{
	return (struct engine_norms){
		.rate = FIRST_RATE,
		.read_tokens = FIRST_TOKENS,
		.read_ms = FIRST_TOKENS / FIRST_RATE,
		.first_ms = FIRST_FIRST_MS,
		.run_ms = FIRST_RUN_MS,
		.tokens = FIRST_TOKENS,
		.prompt_tokens = FIRST_TOKENS,
	};
}

void
engine_norms_add(double *average, double sample)
{
	*average += NORM_WEIGHT * (sample - *average);
}

/*
 * The first samples count in full: compared with an average that nothing was
 * measured for, the engine that is used first would look fast, and be used
 * again.
 */
static void
add_first(struct engine_norms *norms, double ms)
{
	double weight =
	    fmax(NORM_WEIGHT, 1.0 / (FIRST_COUNT + norms->n_first++));

	norms->first_ms += weight * (ms - norms->first_ms);
}

double
engine_speed_slowness(const struct engine_speed *s, usec_t now)
{
	usec_t over = now - s->measured_at - MEASURE_TIME;

	if (s->measured_at == 0 || over >= MEASURE_TIME)
		return 1;
	if (over <= 0)
		return s->slowness;
	return s->slowness +
	    (1 - s->slowness) * (double)over / (double)MEASURE_TIME;
}

double
engine_read_ms(const struct engine_norms *norms, double tokens)
{
	return tokens / norms->rate *
	    (1 + norms->curve * tokens / CURVE_TOKENS);
}

/* Updates the averages by a first event without delay by other prompts. */
static void
learn(struct engine_norms *norms, double tokens, double ms)
{
	double read_ms = fmax(ms - norms->first_ms, ms / 4);
	double longer;

	if (tokens < MIN_RATE_SAMPLE) {
		add_first(norms, ms);
	} else if (tokens < CURVE_TOKENS) {
		/* A quotient of averages, as single samples scatter. */
		engine_norms_add(&norms->read_tokens,
		    tokens * (1 + norms->curve * tokens / CURVE_TOKENS));
		engine_norms_add(&norms->read_ms, read_ms);
		norms->rate = norms->read_tokens / norms->read_ms;
	} else {
		longer = read_ms / (tokens / norms->rate) - 1;
		engine_norms_add(&norms->curve,
		    fmin(fmax(longer * CURVE_TOKENS / tokens, 0), MAX_CURVE));
	}
}

void
engine_speed_measured(struct engine_speed *s, struct engine_norms *norms,
    double tokens, double before_ms, double ms, usec_t now)
{
	double expected =
	    norms->first_ms + engine_read_ms(norms, tokens) + before_ms;
	double ratio = fmin(fmax(ms / expected, 1 / BOUND), BOUND);
	double weight = ENGINE_WEIGHT * fmin(expected / FULL_SAMPLE_MS, 1);

	s->slowness = engine_speed_slowness(s, now);
	s->slowness += weight * (ratio - s->slowness);
	s->measured_at = now;
	learn(norms, tokens, ratio * (expected - before_ms));
}
