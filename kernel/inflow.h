/*
 * Which share of the requests of each rank may begin, by what the targets of a
 * stage can make.
 *
 * Load pattern: more requests come than a late stage of their chain can carry.
 * If all of them begin, the work of their first stages is lost when their
 * results expire before the late stage's turn, and making them anew adds to the
 * load.  So the late stage's home says which share of each rank it can take,
 * the most urgent first, and hosts refuse the rest when it comes, before
 * anything was made for it.  An ask says for how many requests it stands: those
 * refused count too, and the share does not swing with the delay between the
 * first stage and this one.  Nothing is held back while little waits: what a
 * stage can make is known roughly only.
 */
#ifndef KERNEL_INFLOW_H
#define KERNEL_INFLOW_H

#include "base/clock.h"

#include <stdint.h>

#define INFLOW_RANKS 4 /* less urgent ones count as the last */

struct inflow {
	double offered[INFLOW_RANKS]; /* pieces a second, refused ones too */
	usec_t at;                    /* when they were counted */
};

/* What a stage's targets can make, and what waits for them. */
struct inflow_state {
	double capacity;              /* pieces a second */
	double waiting[INFLOW_RANKS]; /* pieces, by rank */
};

/* An ask for some pieces came, one of so many that were begun or refused. */
void inflow_note(
    struct inflow *f, uint32_t rank, uint32_t pieces, double of, usec_t now);
/* The share of each rank's requests that may begin, 0 to 1. */
void inflow_shares(const struct inflow *f, const struct inflow_state *s,
    usec_t now, double shares[INFLOW_RANKS]);

#endif
