/* Trace of a request: each decision with its time and reason. */
#ifndef KERNEL_TRACE_H
#define KERNEL_TRACE_H

#include "base/clock.h"
#include "base/str.h"
#include "kernel/bounds.h"

enum trace_kind {
	TRACE_ARRIVED,
	TRACE_REFUSED,
	TRACE_QUEUED,
	TRACE_CLAIM_ASKED,
	TRACE_CLAIM_DECIDED,
	TRACE_CALLED,
	TRACE_RETRIED,
	TRACE_HEDGED,
	TRACE_RESUMED,
	TRACE_LOOKED_UP,
	TRACE_CALL_FAILED,
	TRACE_CALL_CANCELLED,
	TRACE_STAGE_DONE,
	TRACE_CALLER_GONE,
	TRACE_ENDED
};

struct trace_entry {
	usec_t at; /* microseconds since arrival */
	enum trace_kind kind;
	const char *stage; /* may be NULL */
	const char *why;   /* static text; may be NULL */
	char addr[MAX_ADDR_BYTES];
};

struct trace {
	struct trace_entry v[MAX_TRACE_ENTRIES];
	uint32_t n;
	uint32_t dropped; /* entries beyond MAX_TRACE_ENTRIES */
};

struct trace_entry_opts {
	enum trace_kind kind;
	const char *stage;
	const char *why;
	const char *addr;
};

/* Adds an entry, or counts it as dropped if the trace is full. */
void trace_add(struct trace *t, usec_t at, struct trace_entry_opts o);
/* Writes a JSON array with an object for each entry. */
void trace_write(const struct trace *t, struct buf *out);
const char *trace_kind_name(enum trace_kind kind);

#endif
