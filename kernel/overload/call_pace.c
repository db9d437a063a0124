#include "kernel/overload/call_pace.h"

#include <glib.h>

/* Weight of a new call in the average duration. */
#define AVERAGE_WEIGHT 0.05

/* A single target takes its next call as soon as it is free. */
static usec_t
interval(const struct call_pace *p, uint32_t targets)
{
	return targets > 1 ? (usec_t)(p->duration / targets) : 0;
}

usec_t
call_pace_due(const struct call_pace *p, uint32_t targets)
{
	return p->begun_at == 0 ? 0 : p->begun_at + interval(p, targets);
}

uint32_t
call_pace_calls(const struct call_pace *p, uint32_t targets, usec_t now)
{
	usec_t step = interval(p, targets);
	usec_t n;

	if (p->begun_at == 0 || step == 0)
		return MAX(targets, 1);
	n = now > p->begun_at ? (now - p->begun_at) / step : 0;
	return n < (usec_t)targets ? (uint32_t)n : targets;
}

void
call_pace_begin(struct call_pace *p, usec_t duration, usec_t now)
{
	if (p->begun_at == 0)
		p->duration = (double)duration;
	p->duration += AVERAGE_WEIGHT * ((double)duration - p->duration);
	p->begun_at = now;
}
