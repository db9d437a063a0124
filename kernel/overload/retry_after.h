/*
 * When a rejected caller should come back.
 *
 * Load pattern: a burst is rejected within a short time.  If all callers come
 * back after the same time, they are the next burst; so the times are spread,
 * by a hash of the request's id.  A caller that comes back before the expected
 * wait has passed finds the same queue and is rejected again.
 */
#ifndef KERNEL_OVERLOAD_RETRY_AFTER_H
#define KERNEL_OVERLOAD_RETRY_AFTER_H

#include "base/clock.h"

#include <stdint.h>

/* wait: expected time until a request like this would be served. */
usec_t retry_after(usec_t wait, uint64_t id_hash);

#endif
