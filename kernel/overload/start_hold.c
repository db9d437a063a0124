#include "kernel/overload/start_hold.h"

/* Between two parts of a response on a link that is full, and its parsing. */
#define MAX_PAUSE (100 * USEC_PER_MSEC)

bool
start_hold_is_over(const struct start_hold *h, usec_t now)
{
	usec_t age = now - h->started_at;

	if (h->has_config || h->stopping || age >= START_HOLD_MAX)
		return true;
	return age >= START_HOLD_TIME && now - h->arrived_at >= MAX_PAUSE;
}
