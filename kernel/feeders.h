/*
 * Choice of the hosts that watch the platform's store, and of those that feed
 * each other host.
 *
 * In a small fleet every host watches the store.  In a larger one FEEDERS_MAX
 * hosts do and forward the changes to the others, so the calls to the store
 * don't grow with the fleet.  Each other host has FEEDERS_PER_HOST feeders, by
 * rendezvous hashing over the live hosts.  Hosts that disagree on the live
 * hosts only feed a host twice, or leave it to watch the store itself.
 */
#ifndef KERNEL_FEEDERS_H
#define KERNEL_FEEDERS_H

#include "kernel/rendezvous.h"

#define FEEDERS_MAX       6
#define FEEDERS_PER_HOST  2
/* In smaller fleets the delay through another host is not worthwhile. */
#define FEEDERS_MIN_FLEET 16

/* Hosts that watch the store.  The ids point to those of the live hosts. */
struct feeders {
	bool all; /* small fleet: all hosts watch the store */
	const char *ids[FEEDERS_MAX];
	size_t n;
};

/* Chooses the feeders among the live hosts. */
void feeders_choose(
    struct feeders *f, const struct rendezvous_host *v, size_t n);
/* Whether a host watches the store itself. */
bool feeders_watches(const struct feeders *f, const char *id);
/* Whether feeder watches the store and forwards its changes to receiver. */
bool feeders_feeds(
    const struct feeders *f, const char *feeder, const char *receiver);

/* What a receiver does with the changes after one revision up to another. */
enum feed_use {
	FEED_APPLY,
	FEED_CURRENT, /* nothing new */
	/*
	 * Nothing new, nor a sign that the feed is current: the feeder lags, or
	 * the store was restored from an older copy and its revisions went
	 * back.
	 */
	FEED_BEHIND,
	FEED_GAP,     /* changes are missing: they are read from the store */
	FEED_RESTORED /* announces a restore: the store is listed anew */
};

/*
 * known is the revision up to which the receiver knows all changes, 0 if it
 * hasn't listed the store; complete is set if no change lacks its value.
 */
enum feed_use feeders_judge(
    int64_t known, int64_t from, int64_t to, bool complete);

#endif
