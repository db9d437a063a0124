/*
 * Idempotency keys: UUIDs of version 7 (RFC 9562), which contain the time of
 * their creation.
 */
#ifndef KERNEL_UUID7_H
#define KERNEL_UUID7_H

#include "base/clock.h"
#include "base/err.h"

#define UUID7_BYTES    16
/* The tolerated clock skew between callers and hosts. */
#define UUID7_MAX_SKEW (60 * USEC_PER_SEC)

/* Parses the 36-character text form; false if it is no UUID of version 7. */
bool uuid7_parse(struct str key, uint8_t out[UUID7_BYTES]);
/* The creation time by the creator's clock, since the Unix epoch. */
usec_t uuid7_time(const uint8_t uuid[UUID7_BYTES]);
/*
 * Checks whether a key may be used at the given time since the Unix epoch.
 * Returns 0, ERR_KEY_BAD (no version 7, or more than UUID7_MAX_SKEW in the
 * future) or ERR_KEY_OLD (older than the retention).
 */
int uuid7_check(struct str key, usec_t wall, usec_t retention);

#endif
