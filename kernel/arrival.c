#include "kernel/arrival.h"

usec_t
arrival_earliest(struct arrival *a, usec_t now)
{
	if (a->seen_at != 0 && now - a->seen_at > ARRIVAL_STANDSTILL) {
		a->still_since = a->seen_at;
		a->backlog_until = now + ARRIVAL_BACKLOG;
	}
	a->seen_at = now;
	return now < a->backlog_until ? a->still_since : now;
}
