#include "kernel/overload/target_pace.h"

#include <math.h>

/* Reports are averaged over about this time. */
#define AVERAGE_TIME (1 * USEC_PER_SEC)
/* Largest weight of one report: a rare one is no better than a frequent one. */
#define MAX_WEIGHT   0.5
/* A report counts in full for this time, and fades within it after that. */
#define VALID_TIME   (5 * USEC_PER_SEC)
#define MIN_SLOWNESS 0.25
#define MAX_SLOWNESS 20.0

void
target_pace_reported(struct target_pace *p, uint32_t percent, usec_t now)
{
	double x = percent / 100.0;
	double old = target_pace_slowness(p, now);
	double w = MAX_WEIGHT;

	if (percent == 0)
		return;
	x = fmin(fmax(x, MIN_SLOWNESS), MAX_SLOWNESS);
	if (p->at != 0)
		w = 1 - exp(-(double)(now - p->at) / (double)AVERAGE_TIME);
	w = fmin(fmax(w, 0), MAX_WEIGHT);
	p->slowness = old + w * (x - old);
	p->at = now > p->at ? now : p->at;
}

double
target_pace_slowness(const struct target_pace *p, usec_t now)
{
	usec_t over = now - p->at - VALID_TIME;

	if (p->at == 0 || over >= VALID_TIME)
		return 1;
	if (over <= 0)
		return p->slowness;
	return p->slowness +
	    (1 - p->slowness) * (double)over / (double)VALID_TIME;
}
