/*
 * When something that a thread reads now may have arrived.
 *
 * Load pattern: a host's process stands still, or its loop is busy, while
 * messages arrive that say how old their news is.  Read later, the news would
 * seem younger than it is, and would take precedence over newer news for as
 * long as that is known.  So after a standstill what is read counts as having
 * arrived at its beginning.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_ARRIVAL_H
#define KERNEL_ARRIVAL_H

#include "base/clock.h"

/* Longer than the thread pauses between two calls of arrival_earliest. */
#define ARRIVAL_STANDSTILL (300 * USEC_PER_MSEC)
/* By then, what arrived during a standstill has been read. */
#define ARRIVAL_BACKLOG    (50 * USEC_PER_MSEC)

/* A zeroed one is valid. */
struct arrival {
	usec_t seen_at; /* 0: never */
	usec_t still_since;
	usec_t backlog_until;
};

/* Call it regularly, and with each message. */
usec_t arrival_earliest(struct arrival *a, usec_t now);

#endif
