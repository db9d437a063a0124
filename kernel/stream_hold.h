/*
 * How long the first events of a stream are held back while its record is late
 * (kernel/stream_records.h).
 *
 * Load pattern: the store goes away while streams of another version than the
 * base begin.  Later ones begin at the base version, but the targets of these
 * have made events.  If those reached their callers without a record, and all
 * hosts were lost then, the streams would go on at the base version.  So they
 * are held back, and ended early enough for their callers to come again.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_STREAM_HOLD_H
#define KERNEL_STREAM_HOLD_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

struct stream_hold {
	usec_t begun_at;
	usec_t deadline;   /* of the request */
	uint32_t n_failed; /* hosts that did not record the stream */
};

enum stream_hold_action {
	STREAM_HOLD,
	STREAM_RELEASE, /* the caller gets the events */
	STREAM_DROP     /* the caller gets a failure and none of the events */
};

/*
 * Decides about a stream whose record is late.  may_release: the base version
 * has too few targets to begin all streams, and the store says that streams of
 * the service may have no record (struct stream_gaps).
 */
enum stream_hold_action stream_hold_decide(
    const struct stream_hold *h, bool may_release, usec_t now);

#endif
