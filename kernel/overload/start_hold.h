/*
 * Whether a host that has just started takes callers' connections yet.
 *
 * Load pattern: all hosts lose power and start at once while callers wait.  A
 * request that arrives before the first configuration can only be turned away,
 * and its caller may have no other attempt, though the configuration is there
 * some tens of milliseconds later.  So connections wait in the listening socket
 * until then, but only as long as a caller with a short deadline can spare: a
 * host whose store is away turns requests away, so that they go elsewhere.  A
 * large configuration takes longer on a slow link: while it arrives, callers
 * wait until they would give up a host that hasn't read their request.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_OVERLOAD_START_HOLD_H
#define KERNEL_OVERLOAD_START_HOLD_H

#include "base/clock.h"

#include <stdbool.h>

#define START_HOLD_TIME (300 * USEC_PER_MSEC)
/* While the store's response arrives: a third of a short deadline. */
#define START_HOLD_MAX  (500 * USEC_PER_MSEC)

struct start_hold {
	usec_t started_at;
	usec_t arrived_at; /* last bytes of the store's response; 0: none */
	bool has_config;   /* a configuration is in force */
	bool stopping;     /* the process has to end */
};

bool start_hold_is_over(const struct start_hold *h, usec_t now);

#endif
