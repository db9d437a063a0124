/*
 * Framing of an event stream (text/event-stream): splits it into complete
 * events and tracks their ids, so that a broken stream can be resumed after
 * the last event that was passed on.
 */
#ifndef KERNEL_SSE_H
#define KERNEL_SSE_H

#include "base/str.h"

struct sse {
	struct buf partial; /* incomplete event */
	uint64_t last_id;   /* id of the last complete event */
	uint64_t events;    /* number of complete events */
	bool has_id;
	bool id_gap; /* ids did not rise by one */
};

/* Appends the complete events in bytes to out. */
void sse_feed(struct sse *s, struct str bytes, struct buf *out);
/* Drops an incomplete event before another target continues the stream. */
void sse_restart(struct sse *s);
/* Whether no incomplete event is pending, so that the stream may end. */
bool sse_between_events(const struct sse *s);
void sse_free(struct sse *s);

#endif
