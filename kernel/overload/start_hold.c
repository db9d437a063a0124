#include "kernel/overload/start_hold.h"

bool
start_hold_is_over(const struct start_hold *h, usec_t now)
{
	return h->has_config || h->stopping ||
	    now - h->started_at >= START_HOLD_TIME;
}
