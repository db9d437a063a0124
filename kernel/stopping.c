#include "kernel/stopping.h"

#define QUIET_PERIOD (200 * USEC_PER_MSEC)
/* After a longer time between two calls the process stood still. */
#define MAX_STEP     (100 * USEC_PER_MSEC)

bool
stopping_is_quiet(struct stopping_quiet *q, bool busy, usec_t now)
{
	if (busy || now - q->seen_at > MAX_STEP)
		q->since = now;
	q->seen_at = now;
	return now - q->since >= QUIET_PERIOD;
}
