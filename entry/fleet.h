/*
 * The fleet as this sequoiad sees it: the other sequoiads, the host list, and
 * the targets that are leaving.
 *
 * All functions belong to the control thread (on a host that relays by route:
 * the discovery thread), except fleet_report and fleet_rpc_addr, which may be
 * called from any thread.
 */
#ifndef ENTRY_FLEET_H
#define ENTRY_FLEET_H

#include "entry/rpc.h"
#include "entry/settings.h"
#include "kernel/event.h"
#include "kernel/member.h"
#include "plat/http.h"

struct host_memory;
struct fleet;

struct fleet_opts {
	const struct settings *settings;
	struct http_loop *loop;
	struct rpc *rpc;
	uint64_t incarnation;
	/*
	 * The targets have changed.  Those that gossip reports as leaving are
	 * marked as such.
	 */
	void (*targets_changed)(
	    void *arg, const struct listed_target *v, size_t n);
	/* The live sequoiads have changed. */
	void (*members_changed)(void *arg, usec_t now);
	struct host_memory *memory; /* or NULL */
	void *arg;
};

struct fleet *fleet_new(const struct fleet_opts *o);
/* Polls the host list every interval and runs the gossip rounds. */
void fleet_tick(struct fleet *f, usec_t now, usec_t interval);
/* Handles a PEER_GOSSIP datagram. */
void fleet_receive(struct fleet *f, const peer_letter *l, usec_t now);
/* Announces the configuration generation that this process has in force. */
void fleet_set_generation(struct fleet *f, uint64_t generation, usec_t now);
/* Announces that this process drains. */
void fleet_drain(struct fleet *f, usec_t now);
/* Announces to some peers at once that this process leaves the fleet. */
void fleet_leave(struct fleet *f, usec_t now);
/* Calls both callbacks at the next tick, as after a change. */
void fleet_notify_again(struct fleet *f);
/* Spreads by gossip that a target is leaving. */
void fleet_target_leaving(
    struct fleet *f, const char *service, const char *addr, usec_t now);
/* The number of sequoiads in the host list. */
uint32_t fleet_listed_count(const struct fleet *f);
struct members *fleet_members(struct fleet *f);
/* Whether this process is one of the few that watch the configuration log. */
bool fleet_is_watcher(struct fleet *f);

/* Copies all members into *v, to be freed with free; returns their number. */
size_t fleet_report(struct fleet *f, struct member_info **v);
/*
 * Finds the RPC address of the member with this node hash, which request ids
 * begin with (see records_opts.node).  Returns false if no such member is up.
 */
bool fleet_rpc_addr(struct fleet *f, uint32_t node, char out[MAX_ADDR_BYTES]);
void fleet_free(struct fleet *f);

#endif
