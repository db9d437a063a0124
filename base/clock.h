/*
 * Clocks.  Times and durations are in microseconds unless the name says
 * otherwise.  All functions may be called from any thread.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC  ((usec_t)1000000)

/* Monotonic time since boot, including suspend. */
usec_t clock_now(void);
/* Time since the Unix epoch; jumps when the system clock is set. */
usec_t clock_wall(void);
/* CPU time used by all threads of the process. */
usec_t clock_cpu(void);

#endif
