#include "kernel/overload/retry_after.h"

/* Shortest range over which callers are spread. */
#define MIN_SPREAD (400 * USEC_PER_MSEC)
/* The range as a share of the expected wait. */
#define SPREAD     0.25

usec_t
retry_after(usec_t wait, uint64_t id_hash)
{
	usec_t spread = (usec_t)(SPREAD * (double)wait);

	if (spread < MIN_SPREAD)
		spread = MIN_SPREAD;
	return wait + (usec_t)(id_hash % (uint64_t)spread);
}

usec_t
retry_after_within(usec_t after, usec_t time_left)
{
	usec_t limit = time_left > 0 ? time_left / 2 : 0;

	return after < limit ? after : limit;
}
