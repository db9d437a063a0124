/*
 * Who follows the platform's store itself, and who hears of it from whom.
 *
 * In a small fleet every host follows the store.  In a larger one FEEDERS_MAX
 * hosts do, and tell the others: the calls to the store then do not grow with
 * the fleet.  Each other host has FEEDERS_PER_HOST of them, by rendezvous
 * hashing over the live hosts; hosts that disagree on who lives only feed one
 * twice, or leave one to follow the store by itself.
 */
#ifndef KERNEL_FEEDERS_H
#define KERNEL_FEEDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FEEDERS_MAX       6
#define FEEDERS_PER_HOST  2
/* Smaller fleets are not worth the delay of another host. */
#define FEEDERS_MIN_FLEET 16

struct feeder_host {
	const char *id;
	uint32_t capacity; /* larger hosts are chosen first (kernel/homes.h) */
};

/* The hosts that follow the store; ids are those of the live hosts. */
struct feeders {
	bool all; /* a small fleet */
	const char *ids[FEEDERS_MAX];
	size_t n;
};

/* Chooses them among the live hosts. */
void feeders_choose(struct feeders *f, const struct feeder_host *v, size_t n);
/* Whether a host follows the store itself. */
bool feeders_watches(const struct feeders *f, const char *id);
/* Whether a host that follows the store tells another one of it. */
bool feeders_feeds(
    const struct feeders *f, const char *feeder, const char *fed);

#endif
