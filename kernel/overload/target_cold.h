/*
 * Targets that are cold after a start: they run slowly for a time, bear few
 * requests a second and crash at more.
 *
 * Load patterns: a failure domain comes back whole beside a burst, and its
 * targets look idle to every host, so the hosts' queues would all be sent to
 * them at once; a release restarts half of the targets; a target becomes cold
 * while it is busy.
 *
 * The bound is one for all hosts together, and hosts may not hear each other.
 * So the owners alone send to a cold target, each at most one request in a
 * period, which is a little more than a second if there are as many hosts as
 * that needs.  Which hosts are owners follows from the target's id and the
 * hosts that are known, not from messages.  Owners by two different lists of
 * hosts keep the bound together, as each list uses half of it.  A host that has
 * fallen silent stays in the list: if it is only cut off, it still sends.
 *
 * A target that is warm again, and one that is listed anew, gets its full share
 * over some time: the number of owners doubles each second, and when all hosts
 * are owners, the rate of each.  If a service has no other target, any host may
 * send to one that is warm again (kernel/loads.c).
 *
 * A host without a path to a target has its calls made by another host.  Each
 * is counted once: by the host that asks if it knows that the target is cold,
 * else by the one that makes the call, as one of its own.
 *
 * Not covered: what is sent before a host learns that a target has become cold.
 *
 * Times are in microseconds.  A struct target_cold has no lock.
 */
#ifndef KERNEL_OVERLOAD_TARGET_COLD_H
#define KERNEL_OVERLOAD_TARGET_COLD_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>
#include <stdbool.h>

/* How long a target's share rises after it has become warm. */
#define TARGET_COLD_WARM_TIME  (6 * USEC_PER_SEC)
/* Longer times are not taken for a target's own. */
#define TARGET_COLD_MAX_TIME   (600 * USEC_PER_SEC)
/* Calls in about a second that a host makes to a cold target for others. */
#define TARGET_COLD_MAX_SERVED 32

/* What a cold target of a service bears.  A zeroed one sets no bound. */
struct target_cold_rule {
	double per_s; /* requests a second; 0: no bound */
	double over;  /* at most so many times per_s ... */
	double slack; /* ... and so many requests more, in one second */
};

/* The hosts that may send to targets. */
struct target_cold_hosts {
	GHashTable *known; /* id -> struct known_host */
	char *self;
	usec_t since; /* when this host first heard of any */
	bool listed;  /* the list of the fleet's hosts has been read */
};

/* A zeroed one is of a target that is warm. */
struct target_cold {
	struct target_cold_rule rule;
	usec_t until;    /* it is cold until then; 0: it never was */
	usec_t known_at; /* when this host last learned of a later until */
	/* Its share rises from then on; 0: it has its full share. */
	usec_t rises_at;
	usec_t next_at; /* earliest time of this host's next request */
	double phase;  /* of a period, at which this host's first one is sent */
	uint32_t rank; /* of this host among the owners */
	uint32_t hosts;
	uint64_t chosen; /* target_cold_choice.n when it was chosen last */
	/* Before, this host knows few others, and would take itself for an
	 * owner of a cold target. */
	usec_t owns_from;
	/* Calls for hosts that had counted them, as a ring of n_served. */
	usec_t served_at[TARGET_COLD_MAX_SERVED];
	uint64_t n_served;
};

void target_cold_hosts_init(struct target_cold_hosts *h);
/* Sets the live hosts; returns whether the known ones have changed. */
bool target_cold_hosts_set(struct target_cold_hosts *h, const char *const *ids,
    size_t n, const char *self, usec_t now);
void target_cold_hosts_free(struct target_cold_hosts *h);

/* Sets this host's rank for a target, after a change of the hosts. */
void target_cold_share(struct target_cold *c, const char *target,
    const struct target_cold_hosts *hosts);
/*
 * The target says that it is cold until a time; one that isn't after now says
 * that it is warm.  Returns whether that differs from what was known.
 */
bool target_cold_set(struct target_cold *c, usec_t until, usec_t now);
/*
 * The same in an answer to a request that was sent at a time; 0: it may be an
 * answer to another request.  One that may have been written before what is
 * known doesn't end the cold time.
 */
bool target_cold_answered(
    struct target_cold *c, usec_t until, usec_t sent_at, usec_t now);
/* The target is listed anew or taken back: its share rises from now on. */
void target_cold_appeared(struct target_cold *c, usec_t now);
/* Whether it is cold, and its service has a bound. */
bool target_cold_is_cold(const struct target_cold *c, usec_t now);
/* Whether what may be sent to it is bounded now: it is cold, or has been. */
bool target_cold_is_bounded(const struct target_cold *c, usec_t now);
/*
 * How long yet only owners choose it by themselves and placers leave it out:
 * until all hosts are owners, and at least for a second of the rise.
 */
usec_t target_cold_owned_for(const struct target_cold *c, usec_t now);
/* Whether this host may send a request now. */
bool target_cold_allows(const struct target_cold *c, usec_t now);
/* The same if no other host sends to the target. */
bool target_cold_allows_alone(const struct target_cold *c, usec_t now);
/*
 * Whether this host may make a call for another one, which it counts then;
 * counted: the other host has done so, as it knows that the target is cold.
 */
bool target_cold_serves(struct target_cold *c, bool counted, usec_t now);
/* Counts a request that is sent; alone: no other host sends to the target. */
void target_cold_sent(struct target_cold *c, bool alone, usec_t now);
/* A request that chooses among the targets of a service. */
struct target_cold_choice {
	double urgency; /* from 0 to 1 */
	uint64_t n;     /* choices of this host for the service so far */
	size_t targets; /* of the service */
};

/*
 * What the target costs the request beside others, in milliseconds.  Few hosts
 * send to a target that gets warm.  So each of them sends more: while it has
 * chosen the target less often than one of the service's would be by all hosts,
 * the target costs less, most of all for what is least urgent.
 */
double target_cold_cost(const struct target_cold *c,
    const struct target_cold_choice *x, usec_t now);
/* Notes that the request has chosen the target. */
void target_cold_chosen(
    struct target_cold *c, const struct target_cold_choice *x);
/* Expected time until some host may send a request, or 0. */
usec_t target_cold_wait(const struct target_cold *c, usec_t now);

#endif
