/*
 * Targets that say that they are brittle: one that has to turn more than a
 * number of requests away in a second, for want of room, falls over.
 *
 * Load pattern: in a burst all hosts send to the targets that report the lowest
 * load, find them full, and go on.  To each host its own refusals look few.  So
 * while a target says that it is brittle, all hosts together have no more calls
 * at it than it has slots: each host has an even part of them, or, in fleets
 * with more hosts than slots, some hosts have one each, chosen by rendezvous
 * hashing.  The first host that learns of it tells the others: until each had
 * learned by itself, they would all have been refused.  Hosts may disagree on
 * the fleet for a while; so a host that is refused pauses long enough that the
 * refusals of all hosts stay below the number.  Only answers show that a target
 * is not brittle any more, and hosts without a part get none: after a while
 * they try a call, each at its own time.
 *
 * Times are in microseconds.  A struct target_brittle has no lock.
 */
#ifndef KERNEL_OVERLOAD_TARGET_BRITTLE_H
#define KERNEL_OVERLOAD_TARGET_BRITTLE_H

#include "kernel/overload/target_limit.h"

/* A zeroed one is not brittle. */
struct target_brittle {
	uint32_t refusals; /* in a second, that it bears; 0: not brittle */
	usec_t said_at;
	usec_t silence; /* a call is tried when nothing was said for so long */
	uint32_t share; /* calls in flight that this host may have */
	usec_t pause_until;
};

/* What an answer of a target says. */
struct brittle_answer {
	const char *target; /* id */
	uint32_t slots;     /* of the target; 0: not known */
	uint32_t refusals;  /* that it bears in a second; 0: not brittle */
	bool refused;       /* for want of room */
	usec_t sent_at;     /* of the request */
};

/* Returns whether the other hosts are to be told. */
bool target_brittle_answered(struct target_brittle *b,
    const struct brittle_answer *a, const struct target_limit_hosts *hosts,
    usec_t now);
/* Another host tells what the target said at a time. */
void target_brittle_told(struct target_brittle *b,
    const struct brittle_answer *a, const struct target_limit_hosts *hosts,
    usec_t said_at);
/* Whether this host may send a call, with some of its calls in flight. */
bool target_brittle_allows(
    const struct target_brittle *b, uint32_t in_flight, usec_t now);

#endif
