/*
 * When a process that stops may end.
 *
 * Load pattern: a process gets SIGTERM under load, and callers that have just
 * connected, or that keep connections open, send it requests until it is gone.
 * If it stands still meanwhile, as one without processor time does, requests
 * wait in its sockets that no part of it has seen when it goes on.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_STOPPING_H
#define KERNEL_STOPPING_H

#include "base/clock.h"

#include <stdbool.h>

/* Time without requests; starts as zeros. */
struct stopping_quiet {
	usec_t since;
	usec_t seen_at; /* the last call of stopping_is_quiet */
};

/*
 * To be called every 20 ms with whether there are requests.  Returns whether
 * there have been none for so long that callers that had connected have been
 * answered too.  Only time in which the process ran counts.
 */
bool stopping_is_quiet(struct stopping_quiet *q, bool busy, usec_t now);

#endif
