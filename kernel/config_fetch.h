/*
 * From whom a host fetches a configuration that it has heard of.
 *
 * Load pattern: feeders announce a new version, and one of them loses power, is
 * cut off or stands still right after it.  A host that asked that one alone
 * would serve by the older version until several fetches have ended.  So it
 * keeps each host that tells it of the version, gives one that sends nothing up
 * early while there are others, asks any that is known to have the version
 * next, and the store, whose link all hosts share, last.  What it hears during
 * a fetch isn't lost with the end of that fetch.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_CONFIG_FETCH_H
#define KERNEL_CONFIG_FETCH_H

#include "base/clock.h"
#include "kernel/bounds.h"
#include "kernel/peer_replies.h"

#include <stdint.h>

#define CONFIG_SOURCES       4
/* How long a host may send nothing while others are left to ask. */
#define CONFIG_FETCH_SILENCE (500 * USEC_PER_MSEC)
/* Failed fetches from hosts before the store is read. */
#define CONFIG_FETCH_HOSTS   3

/* A zeroed one is valid: nothing is due. */
struct config_fetch {
	int64_t revision; /* of the last version that a feed told of */
	char sources[CONFIG_SOURCES][MAX_ADDR_BYTES]; /* not asked yet */
	size_t n;
	bool due;
	bool in_flight;
	uint32_t failures; /* in a row, since the store was read */
};

enum config_fetch_kind {
	CONFIG_FETCH_NONE, /* nothing is due */
	CONFIG_FETCH_HOST,
	CONFIG_FETCH_STORE
};

struct config_fetch_step {
	enum config_fetch_kind kind;
	char addr[MAX_ADDR_BYTES]; /* of the host */
	usec_t silence;            /* after which it is given up */
};

/* A feed tells that the host at addr has the configuration of a revision. */
void config_fetch_announced(
    struct config_fetch *f, int64_t revision, const char *addr);
/* The store was restored: its revisions are given out again. */
void config_fetch_restored(struct config_fetch *f);
/* Another host has a newer version: it is fetched unless a fetch is due. */
void config_fetch_wanted(struct config_fetch *f, const char *addr);
/*
 * Returns the next step; any: a host that is known to have a newer version than
 * this one, or NULL.
 */
struct config_fetch_step config_fetch_next(
    const struct config_fetch *f, const char *any);
/* The step was begun. */
void config_fetch_begun(
    struct config_fetch *f, const struct config_fetch_step *s);
/* It has ended; found: with a document. */
void config_fetch_ended(
    struct config_fetch *f, enum config_fetch_kind kind, bool found);

#endif
