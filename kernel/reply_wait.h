/*
 * Until when replies of other hosts are waited for.
 *
 * Load pattern: a host's process stands still, or its loop is busy, while
 * replies arrive.  Its timer is due by then, but the replies still have to pass
 * through other threads.  If the timer was judged at once, they would count as
 * missing.  So a timer that runs late is given some time more.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_REPLY_WAIT_H
#define KERNEL_REPLY_WAIT_H

#include "base/clock.h"

#include <stdint.h>

/* A timer that runs later than this was held up by a standstill. */
#define REPLY_WAIT_LATE  (20 * USEC_PER_MSEC)
/* By then, what arrived during a standstill has been handled. */
#define REPLY_WAIT_EXTRA (50 * USEC_PER_MSEC)
/* Standstills in a row that extend a wait. */
#define REPLY_WAIT_MAX   4

struct reply_wait {
	usec_t until;
	uint32_t n_extended;
};

/* Begins a wait; the result is the time until its timer runs. */
usec_t reply_wait_begin(struct reply_wait *w, usec_t time, usec_t now);
/*
 * The timer runs: returns 0 if the wait is over, else the time until the timer
 * has to run again.
 */
usec_t reply_wait_left(struct reply_wait *w, usec_t now);

#endif
