#include "kernel/reply_wait.h"

usec_t
reply_wait_begin(struct reply_wait *w, usec_t time, usec_t now)
{
	*w = (struct reply_wait){ .until = now + time };
	return time;
}

usec_t
reply_wait_left(struct reply_wait *w, usec_t now)
{
	if (now < w->until)
		return w->until - now;
	if (now - w->until <= REPLY_WAIT_LATE ||
	    w->n_extended >= REPLY_WAIT_MAX)
		return 0;
	w->n_extended++;
	w->until = now + REPLY_WAIT_EXTRA;
	return REPLY_WAIT_EXTRA;
}
