/*
 * Framing of an event stream (text/event-stream): splits it into complete
 * events and tracks their ids, so that a broken stream can be resumed after
 * the last event that was passed on.
 *
 * Load pattern: targets send what is no stream of events, without end and many
 * at once.  Each is known by the bytes that are no data of an event.
 */
#ifndef KERNEL_SSE_H
#define KERNEL_SSE_H

#include "base/str.h"

/* A longer event is not an answer. */
#define SSE_MAX_EVENT ((size_t)1024 * 1024)
/* Of all lines other than data, from one event with data to the next. */
#define SSE_MAX_OTHER ((size_t)64 * 1024)

struct sse {
	struct buf partial; /* incomplete event */
	size_t line;        /* start of its last, incomplete line */
	size_t scanned;     /* its bytes without a further line's end */
	bool has_data;      /* it has a line with data */
	size_t other;       /* bytes of other lines since the last data */
	uint64_t last_id;   /* id of the last complete event */
	uint64_t events;    /* number of complete events */
	bool has_id;
	bool id_gap; /* ids did not rise by one */
};

/* Appends the complete events in bytes to out. */
void sse_feed(struct sse *s, struct str bytes, struct buf *out);
/* Why the bytes so far are no stream of events, or NULL. */
const char *sse_fault(const struct sse *s);
/* Drops an incomplete event before another target continues the stream. */
void sse_restart(struct sse *s);
/* Whether no incomplete event is pending, so that the stream may end. */
bool sse_between_events(const struct sse *s);
void sse_free(struct sse *s);

#endif
