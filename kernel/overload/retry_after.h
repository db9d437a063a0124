/*
 * When a rejected caller should come back.
 *
 * Load pattern: a burst is rejected within a short time.  If all callers come
 * back after the same time, they are the next burst; so the times are spread,
 * by a hash of the request's id.  A caller that comes back before the expected
 * wait has passed finds the same queue and is rejected again.  But a caller
 * that is told to come back when its time is over can't come back at all, so
 * the time is within what it has left.
 */
#ifndef KERNEL_OVERLOAD_RETRY_AFTER_H
#define KERNEL_OVERLOAD_RETRY_AFTER_H

#include "base/clock.h"

#include <stdint.h>

/* wait: expected time until a request like this would be served. */
usec_t retry_after(usec_t wait, uint64_t id_hash);
/* Limits a time to come back after to half of what the caller has left. */
usec_t retry_after_within(usec_t after, usec_t time_left);

#endif
