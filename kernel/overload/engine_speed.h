/*
 * How fast engines read prompts, measured by the time until first events.
 *
 * Load pattern: engines of a service differ in speed, and some turn slow
 * without a report that says so.  The averages over all engines of a service
 * say how long a first event takes that nothing else delays; an engine's
 * slowness is by how much it takes longer than that.
 *
 * Times are in microseconds, durations with fractions in milliseconds.
 */
#ifndef KERNEL_OVERLOAD_ENGINE_SPEED_H
#define KERNEL_OVERLOAD_ENGINE_SPEED_H

#include "base/clock.h"

#include <stdint.h>

/* Averages over all engines of a service. */
struct engine_norms {
	double rate; /* tokens of a short prompt that are read in a ms */
	/* By how much longer a token of a prompt of 10,000 tokens takes. */
	double curve;
	double read_tokens;   /* of a sample of the rate */
	double read_ms;       /* that they took */
	double first_ms;      /* until the first event, without reading */
	uint32_t n_first;     /* samples of it */
	double run_ms;        /* from the first event to the end */
	double tokens;        /* of a request, in memory */
	double prompt_tokens; /* read for a request */
};

/* A zeroed one is that of an engine without first events so far. */
struct engine_speed {
	double slowness;
	usec_t measured_at; /* 0: never */
};

struct engine_norms engine_norms_init(void);
/* A sample of an average. */
void engine_norms_add(double *average, double sample);
/*
 * Time in which a usual engine reads so many tokens of one prompt: a token
 * takes the longer the more are before it.
 */
double engine_read_ms(const struct engine_norms *norms, double tokens);
/*
 * A first event took ms at the usual pace of the engine's machine, after a
 * prompt of so many tokens was read, and others before it in before_ms.
 */
void engine_speed_measured(struct engine_speed *s, struct engine_norms *norms,
    double tokens, double before_ms, double ms, usec_t now);
/* Times as long as at a usual engine; 1 if none was measured lately. */
double engine_speed_slowness(const struct engine_speed *s, usec_t now);

#endif
