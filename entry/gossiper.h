/*
 * Drives the gossip protocol of kernel/gossip: runs its rounds, sends and
 * receives its datagrams.
 *
 * Not thread safe: struct fleet serializes the calls under its lock.
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
	usec_t now; /* the time of creation */
};

struct gossiper *gossiper_new(const struct gossiper_opts *o);
/* Sets the sequoiads of the host list, in addition to the settings' peers. */
void gossiper_set_contacts(
    struct gossiper *g, const char *const *addrs, size_t n);
/* Announces the configuration generation that this process has in force. */
void gossiper_set_generation(
    struct gossiper *g, uint64_t generation, usec_t now);
/* Announces that this process drains. */
void gossiper_drain(struct gossiper *g, usec_t now);
/* Announces to some peers at once that this process leaves the fleet. */
void gossiper_leave(struct gossiper *g, usec_t now);
/* Spreads that a target is leaving. */
void gossiper_target_leaving(
    struct gossiper *g, const char *service, const char *addr, usec_t now);
/* Handles a PEER_GOSSIP datagram. */
void gossiper_receive(struct gossiper *g, const peer_letter *l, usec_t now);
void gossiper_tick(struct gossiper *g, usec_t now);
struct gossip *gossiper_state(struct gossiper *g);
void gossiper_free(struct gossiper *g);

#endif
