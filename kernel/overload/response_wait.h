/*
 * How long a call waits for its response to begin before it is given up and
 * made again at another target, by service.
 *
 * Load patterns: open connections go silent without a reset while new ones
 * work, or a target never answers part of its calls although its health check
 * is good.  Without a limit such a call waits until its caller leaves.  In a
 * burst, however, all calls wait for long, and a long prompt takes longer than
 * others before its first event; a limit that is too short repeats work that is
 * still in progress.  So the limit follows the times
 * that calls of the service have lately taken and how much these differ, and it
 * doubles with each call that is given up, until one is answered in time.
 *
 * Times are in microseconds.  The table belongs to one thread.
 */
#ifndef KERNEL_OVERLOAD_RESPONSE_WAIT_H
#define KERNEL_OVERLOAD_RESPONSE_WAIT_H

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>

struct response_wait {
	GHashTable *by_service; /* name -> struct response_times */
};

void response_wait_init(struct response_wait *w);
/* The response to a call began after the given time. */
void response_wait_answered(
    struct response_wait *w, const char *service, usec_t time);
/* A call was given up. */
void response_wait_given_up(struct response_wait *w, const char *service);
/*
 * Returns how long a call waits whose answer is wanted within objective, and
 * that needs extra more than others of the service; 0 if it waits until its
 * deadline, as too little of time_left would be left for another call.
 */
usec_t response_wait_limit(const struct response_wait *w, const char *service,
    usec_t objective, usec_t extra, usec_t time_left);
/* A call that is made, and its response, which may take up to limit. */
struct response_call {
	usec_t started;
	usec_t written; /* 0: it is being written */
	usec_t limit;
	usec_t waited; /* time in which the response waited for room */
	bool held;     /* it waits, or did so just now */
};

/*
 * Returns when the wait for a response ends.  The time in which a busy host
 * writes a large call, or has no room for its response, isn't the target's; but
 * a target that doesn't read the call holds it for no more than twice the
 * limit, and one whose response trickles is not excused by short waits.
 */
usec_t response_wait_end(const struct response_call *c, usec_t now);
/* Longest time in which an engine reads a prompt. */
usec_t response_wait_prompt(uint32_t tokens);
void response_wait_free(struct response_wait *w);

#endif
