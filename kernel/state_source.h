/*
 * Which host a host asks for its state while the store doesn't answer it.
 *
 * Load pattern: all hosts of a large fleet start at once, and few get an answer
 * of the store.  A host that asked any other each time would hardly find one of
 * those again, and would miss that targets leave.  So the last that had a
 * state is asked every second time.  It may lag behind, so any is asked in
 * between.  As many ask the few that have one, a reply may be late: a host is
 * forgotten once two in a row have not come.
 */
#ifndef KERNEL_STATE_SOURCE_H
#define KERNEL_STATE_SOURCE_H

#include "kernel/bounds.h"

#include <stdbool.h>
#include <stdint.h>

/* A zeroed one is valid. */
struct state_source {
	char asked[MAX_ADDR_BYTES]; /* address of the host asked last */
	char known[MAX_ADDR_BYTES]; /* the last that had a state; or empty */
	bool known_next;
	uint32_t n_late; /* replies in a row that known has not sent in time */
};

enum state_reply {
	STATE_FOUND, /* the host had a state */
	STATE_NONE,
	STATE_LATE /* no reply came in time */
};

/* Returns the address to ask; any: that of any host, or NULL. */
const char *state_source_choose(const struct state_source *s, const char *any);
/* A host was asked. */
void state_source_asked(struct state_source *s, const char *addr);
/* What came of it. */
void state_source_replied(struct state_source *s, enum state_reply reply);

#endif
