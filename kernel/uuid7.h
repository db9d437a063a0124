/* Keys that are UUIDs of version 7 (RFC 9562) and so carry their own time. */
#ifndef KERNEL_UUID7_H
#define KERNEL_UUID7_H

#include "base/clock.h"
#include "base/err.h"

#define UUID7_BYTES    16
/* How far clocks of callers and hosts may be apart. */
#define UUID7_MAX_SKEW (60 * USEC_PER_SEC)

/* Reads the 36-character text form; false if it is no UUID of version 7. */
bool uuid7_parse(struct str key, uint8_t out[UUID7_BYTES]);
/* When it was made, by the clock of who made it; since the Unix epoch. */
usec_t uuid7_time(const uint8_t uuid[UUID7_BYTES]);
/*
 * Whether a key may be used at the given time: 0, ERR_KEY_BAD (no version 7,
 * or from further ahead than UUID7_MAX_SKEW) or ERR_KEY_OLD.
 */
int uuid7_check(struct str key, usec_t wall, usec_t retention);

#endif
