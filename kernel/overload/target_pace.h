/*
 * How long work takes at a target at this moment, as it reports itself: it
 * shares its machine with others.
 *
 * Load pattern: the reported figure changes many times a second, and many
 * requests are placed meanwhile.  Were each report believed, work would follow
 * the noise from target to target.  So reports are averaged over about a
 * second, and what was reported long ago fades.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_OVERLOAD_TARGET_PACE_H
#define KERNEL_OVERLOAD_TARGET_PACE_H

#include "base/clock.h"

#include <stdint.h>

/* A zeroed one is that of a target that has reported nothing. */
struct target_pace {
	double slowness; /* average of the reports; 1: as usual */
	usec_t at;       /* of the last report; 0: none */
};

/* A report in hundredths of the usual time; 0 says nothing. */
void target_pace_reported(struct target_pace *p, uint32_t percent, usec_t now);
/* Time that work takes there, in usual times; 1 if that is unknown. */
double target_pace_slowness(const struct target_pace *p, usec_t now);

#endif
