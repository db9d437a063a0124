#include "kernel/inflow.h"

#include <math.h>

/* Rates of arrival are smoothed over so long: shorter than a burst. */
#define RATE_SPAN   (1 * USEC_PER_SEC)
/* So many seconds' work may wait: it is gone long before inputs expire. */
#define USUAL_WAIT  1.0
/* What waits beyond that is to be worked off in so many seconds: much longer
 * than from a request's start until its pieces come, or shares swing. */
#define DRAIN_TIME  4.0
/* No rank is shut out, so that an end of the overload shows. */
#define LEAST_SHARE 0.1

static double
faded(const struct inflow *f, usec_t now)
{
	return exp(-(double)(now - f->at) / (double)RATE_SPAN);
}

void
inflow_note(
    struct inflow *f, uint32_t rank, uint32_t pieces, double of, usec_t now)
{
	double keep = faded(f, now);

	if (rank >= INFLOW_RANKS)
		rank = INFLOW_RANKS - 1;
	for (int i = 0; i < INFLOW_RANKS; i++)
		f->offered[i] *= keep;
	f->offered[rank] +=
	    pieces * of * ((double)USEC_PER_SEC / (double)RATE_SPAN);
	f->at = now;
}

void
inflow_shares(const struct inflow *f, const struct inflow_state *s, usec_t now,
    double shares[INFLOW_RANKS])
{
	double keep = faded(f, now);
	double left = s->capacity;
	double waiting = 0;

	for (int i = 0; i < INFLOW_RANKS; i++) {
		double offered = f->offered[i] * keep;
		double late;

		waiting += s->waiting[i];
		late = waiting - USUAL_WAIT * s->capacity;
		shares[i] = 1;
		if (late > 0 && offered > left - late / DRAIN_TIME)
			shares[i] = (left - late / DRAIN_TIME) / offered;
		if (shares[i] < LEAST_SHARE)
			shares[i] = LEAST_SHARE;
		left -= offered * shares[i];
	}
}
