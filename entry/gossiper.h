/*
 * Carries gossip between sequoiads: rounds by time, letters in and out, and
 * what the control thread needs to know of the fleet.
 */
#ifndef ENTRY_GOSSIPER_H
#define ENTRY_GOSSIPER_H

#include "entry/rpc.h"
#include "entry/settings.h"
#include "kernel/gossip.h"

struct gossiper;

struct gossiper_opts {
	const struct settings *settings;
	struct rpc *rpc;
	uint64_t incarnation;
	uint64_t seed;
	usec_t now;
};

struct gossiper *gossiper_new(const struct gossiper_opts *o);
/* Addresses of sequoiads in the host list, beside those of the settings. */
void gossiper_set_contacts(
    struct gossiper *g, const char *const *addrs, size_t n);
void gossiper_set_generation(
    struct gossiper *g, uint64_t generation, usec_t now);
void gossiper_drain(struct gossiper *g, usec_t now);
/* Says goodbye to some others. */
void gossiper_leave(struct gossiper *g, usec_t now);
/* A target said that it is leaving. */
void gossiper_target_leaving(
    struct gossiper *g, const char *service, const char *addr, usec_t now);
void gossiper_receive(struct gossiper *g, const peer_letter *l, usec_t now);
void gossiper_tick(struct gossiper *g, usec_t now);
struct gossip *gossiper_state(struct gossiper *g);
void gossiper_free(struct gossiper *g);

#endif
