/* Clocks.  All durations and times are in microseconds unless named so. */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC  ((usec_t)1000000)

/* Time since boot, counting suspends; never goes back. */
usec_t clock_now(void);
/* Time since the Unix epoch. */
usec_t clock_wall(void);
/* CPU time that the process has used. */
usec_t clock_cpu(void);

#endif
