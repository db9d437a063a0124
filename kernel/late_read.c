#include "kernel/late_read.h"

bool
late_read_goes_on(struct late_read *r, bool has_input, usec_t now)
{
	if (r->n_turns == 0)
		r->since = now;
	if (!has_input ||
	    (r->n_turns >= LATE_READ_TURNS && now - r->since >= LATE_READ_TIME))
		return false;
	r->n_turns++;
	return true;
}
