/*
 * The limit that a target names for itself: requests a second from all hosts
 * together.
 *
 * Load pattern: a target in need names a limit in its answers.  To each host it
 * looks idle, and a rate that every host keeps by itself lets as many times the
 * limit through as there are hosts.  So only a few hosts, the owners, send to
 * it, chosen by rendezvous hashing, and each uses an even part of the limit;
 * the others use other targets.  The hosts may disagree on the owners for a
 * while, so the parts are somewhat less than the limit.
 *
 * Only answers show that a limit has changed or ended, and only owners get any.
 * So an owner tells all hosts what the target has named to it; usually only the
 * first one does, as the others wait for it.  A host that has heard nothing for
 * long tries a request.
 *
 * Times are in microseconds.  A struct target_limit has no lock.
 */
#ifndef KERNEL_OVERLOAD_TARGET_LIMIT_H
#define KERNEL_OVERLOAD_TARGET_LIMIT_H

#include "base/clock.h"
#include "kernel/rendezvous.h"

#include <stdbool.h>

#define TARGET_LIMIT_MAX_OWNERS 32

/* A zeroed one has no limit. */
struct target_limit {
	double rate;     /* requests a second from all hosts; 0: none */
	usec_t named_at; /* last time that the target is known to have */
	double share;    /* requests a second of this host; 0: not an owner */
	double tokens;   /* requests that this host might send at filled_at */
	usec_t filled_at;
	bool only_here; /* no other host sends to the target */
	uint32_t rank;  /* among the owners */
	usec_t silence; /* without news for so long, a request is tried */
	usec_t tried_at;
	bool has_news;  /* an answer named what no host was told */
	usec_t told_at; /* last time that a host told the others */
};

/* The hosts that may send to limited targets, and which one this is. */
struct target_limit_hosts {
	const struct rendezvous_host *v;
	size_t n;
	const char *self;
};

/* Sets what this host may send to a target, after a change of rate or hosts. */
void target_limit_share(struct target_limit *l, const char *target,
    const struct target_limit_hosts *hosts, usec_t now);
/*
 * An answer to a request that was sent at a time named the rate; 0: it named
 * none.  arrived: the earliest time at which it may have come.  Returns whether
 * the rate has changed.
 */
bool target_limit_answered(
    struct target_limit *l, double rate, usec_t sent_at, usec_t arrived);
/*
 * Another host tells what the target named at a time.  Returns whether the rate
 * has changed.
 */
bool target_limit_told(
    struct target_limit *l, double rate, usec_t named_at, usec_t now);
/* Whether this host may send a request now. */
bool target_limit_allows(const struct target_limit *l, usec_t now);
/* Counts a request that is sent. */
void target_limit_sent(struct target_limit *l, usec_t now);
/* Expected time until some host may send a request, with this one's share. */
usec_t target_limit_wait(const struct target_limit *l, usec_t now);
/* Whether this host is to tell the others now; if so, notes that it does. */
bool target_limit_tells(struct target_limit *l, usec_t now);
/* Whether the limit has ended, and the hosts have been told. */
bool target_limit_is_over(const struct target_limit *l, usec_t now);

#endif
