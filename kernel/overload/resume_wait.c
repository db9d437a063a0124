#include "kernel/overload/resume_wait.h"

#define MAX_DOUBLINGS 4

usec_t
resume_wait_next(struct resume_wait *w, const struct resume_request *r)
{
	usec_t wait = RESUME_WAIT_FIRST << w->n_doubled;

	/* What is left may do for an attempt after a shorter wait. */
	while (wait >= r->left && wait > RESUME_WAIT_FIRST)
		wait /= 2;
	if ((!r->begun && !r->given_up) || !r->may_again || r->hopeless ||
	    wait >= r->left)
		return 0;
	if (w->n_doubled < MAX_DOUBLINGS)
		w->n_doubled++;
	return wait;
}

void
resume_wait_reset(struct resume_wait *w)
{
	w->n_doubled = 0;
}
