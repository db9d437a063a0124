#include "kernel/overload/target_speed.h"

#include <stdlib.h>

/*
 * A target is slow if its calls take this many times as long as most.  Targets
 * differ in speed, and the pieces of a service in work: that is not slow.
 */
#define SLOW_FACTOR    2.5
/* Weight of a new sample: a target turns slow within two calls. */
#define SAMPLE_WEIGHT  0.5
/* Bounds a single sample, which may be an outlier. */
#define MAX_SLOWNESS   10.0
/* A slow target is tried again when its last call ended this long ago. */
#define PROBE_INTERVAL (2 * USEC_PER_SEC)

void
target_speed_record(
    struct target_speed *s, usec_t expected, usec_t took, usec_t now)
{
	double sample;

	if (expected <= 0)
		return;
	sample = (double)took / (double)expected;
	if (sample > MAX_SLOWNESS)
		sample = MAX_SLOWNESS;
	s->slowness = s->measured_at == 0
	    ? sample
	    : s->slowness + SAMPLE_WEIGHT * (sample - s->slowness);
	s->measured_at = now;
}

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

struct target_speeds
target_speeds_of(double *slowness, size_t n, uint32_t unmeasured)
{
	struct target_speeds all = { .typical = 1, .fast = unmeasured };

	if (n == 0)
		return all;
	qsort(slowness, n, sizeof(*slowness), compare);
	/* The lower of two middle ones: half of the targets may be slow. */
	all.typical = slowness[(n - 1) / 2];
	for (size_t i = 0; i < n; i++)
		all.fast += slowness[i] < SLOW_FACTOR * all.typical;
	return all;
}

double
target_speed_relative(
    const struct target_speed *s, const struct target_speeds *all)
{
	double x = s->measured_at != 0 && all->typical > 0
	    ? s->slowness / all->typical
	    : 1;

	return x > 1 ? x : 1;
}

bool
target_speed_is_slow(
    const struct target_speed *s, const struct target_speeds *all)
{
	return target_speed_relative(s, all) >= SLOW_FACTOR;
}

enum target_use
target_speed_use(const struct target_speed *s, const struct target_speeds *all,
    usec_t call, usec_t backlog, usec_t now)
{
	double excess = target_speed_relative(s, all) - 1;

	if (!target_speed_is_slow(s, all))
		return TARGET_USE;
	if ((double)backlog >= excess * (double)call)
		return TARGET_USE_LAST;
	return now - s->measured_at >= PROBE_INTERVAL ? TARGET_USE_PROBE
						      : TARGET_LEAVE;
}
