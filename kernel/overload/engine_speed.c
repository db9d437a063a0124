#include "kernel/overload/engine_speed.h"

#include <math.h>

/* The averages while nothing is measured. */
#define FIRST_RATE      50.0
#define FIRST_FIRST_MS  20.0
#define FIRST_RUN_MS    1000.0
#define FIRST_TOKENS    2000.0
#define ENGINE_WEIGHT   0.2  /* of a sample in the slowness of one engine */
#define NORM_WEIGHT     0.05 /* of a sample in the averages over all */
/* A smaller prompt says more about the way to the engine than about reading. */
#define MIN_RATE_SAMPLE 1000
/* A sample of an expected time below this says less. */
#define FULL_SAMPLE_MS  100.0
/* Bounds a sample, in expected ones. */
#define BOUND           8.0
/* What was measured counts in full for this time, and fades within it. */
#define MEASURE_TIME    (5 * USEC_PER_SEC)

struct engine_norms
engine_norms_init(void)
{
	return (struct engine_norms){
		.rate = FIRST_RATE,
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

void
engine_speed_measured(struct engine_speed *s, struct engine_norms *norms,
    double tokens, double ms, usec_t now)
{
	double expected = norms->first_ms + tokens / norms->rate;
	double ratio = fmin(fmax(ms / expected, 1 / BOUND), BOUND);
	double weight = ENGINE_WEIGHT * fmin(expected / FULL_SAMPLE_MS, 1);
	double rate;

	s->slowness = engine_speed_slowness(s, now);
	s->slowness += weight * (ratio - s->slowness);
	s->measured_at = now;
	if (tokens < MIN_RATE_SAMPLE) {
		engine_norms_add(&norms->first_ms, ratio * expected);
		return;
	}
	/* Half at least is reading: the other average may be too high. */
	rate = tokens / fmax(ratio * expected - norms->first_ms, ms / 2);
	engine_norms_add(&norms->rate, fmin(rate, norms->rate * BOUND));
}
