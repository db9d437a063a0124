/*
 * Framing of an event stream (text/event-stream): cuts it into whole events
 * and follows their ids, so that a stream that breaks off can be resumed
 * behind the last event that was passed on.
 */
#ifndef KERNEL_SSE_H
#define KERNEL_SSE_H

#include "base/str.h"

struct sse {
	struct buf partial; /* of an event that is not whole */
	uint64_t last_id;   /* of the last whole event */
	uint64_t events;    /* whole ones */
	bool has_id;
	bool id_gap; /* ids did not rise by one */
};

/* Adds the whole events in bytes to out. */
void sse_feed(struct sse *s, struct str bytes, struct buf *out);
/* Another target goes on: what is left of an event is dropped. */
void sse_restart(struct sse *s);
/* Whether the stream may end here. */
bool sse_between_events(const struct sse *s);
void sse_free(struct sse *s);

#endif
