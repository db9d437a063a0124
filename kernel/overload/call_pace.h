/*
 * When the next call to the targets of a stage service begins.
 *
 * Load pattern: a steady load that keeps most targets of a service busy.  A
 * call costs much and a piece little, so a target that takes one piece is busy
 * for nearly as long as one that takes many.  Targets that become free together
 * and take what is there at once end their small calls together, too, and all
 * that arrives meanwhile waits for most of a call.  So calls begin apart by
 * their average duration, divided by the number of targets: a target becomes
 * free each time that a call is due, and a piece waits for one such interval.
 * After a pause, a burst is shared by as many calls as would have begun in it.
 *
 * Times are in microseconds.  A zeroed struct is that of a service without
 * calls so far.
 */
#ifndef KERNEL_OVERLOAD_CALL_PACE_H
#define KERNEL_OVERLOAD_CALL_PACE_H

#include "base/clock.h"

#include <stdint.h>

struct call_pace {
	usec_t begun_at; /* the last call; 0: none */
	double duration; /* average of the expected durations of calls */
};

/* The earliest time of the next call to one of so many targets. */
usec_t call_pace_due(const struct call_pace *p, uint32_t targets);
/* Returns how many calls may begin now; 0 before call_pace_due. */
uint32_t call_pace_calls(
    const struct call_pace *p, uint32_t targets, usec_t now);
/* A call begins that is expected to take so long. */
void call_pace_begin(struct call_pace *p, usec_t duration, usec_t now);

#endif
