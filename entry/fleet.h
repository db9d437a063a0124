/*
 * The fleet as this sequoiad sees it: the other sequoiads, the host list, and
 * the targets that are leaving.
 *
 * All functions belong to the control thread but fleet_report and
 * fleet_rpc_addr, which may be called from any.
 */
#ifndef ENTRY_FLEET_H
#define ENTRY_FLEET_H

#include "entry/rpc.h"
#include "entry/settings.h"
#include "kernel/event.h"
#include "kernel/member.h"
#include "plat/http.h"

struct fleet;

struct fleet_opts {
	const struct settings *settings;
	struct http_loop *loop;
	struct rpc *rpc;
	uint64_t incarnation;
	/* The targets have changed; what gossip says of them is in it. */
	void (*targets_changed)(
	    void *arg, const struct listed_target *v, size_t n);
	/* The live sequoiads have changed. */
	void (*members_changed)(void *arg, usec_t now);
	void *arg;
};

struct fleet *fleet_new(const struct fleet_opts *o);
/* Reads the host list every interval, and gossips. */
void fleet_tick(struct fleet *f, usec_t now, usec_t interval);
/* PEER_GOSSIP */
void fleet_receive(struct fleet *f, const peer_letter *l, usec_t now);
/* This process has a generation in force, drains, or says goodbye. */
void fleet_set_generation(struct fleet *f, uint64_t generation, usec_t now);
void fleet_drain(struct fleet *f, usec_t now);
void fleet_leave(struct fleet *f, usec_t now);
/* Targets and members are told once more, as if they had changed. */
void fleet_notify_again(struct fleet *f);
/* A target said that it is leaving: others are told. */
void fleet_target_leaving(
    struct fleet *f, const char *service, const char *addr, usec_t now);
/* How many sequoiads the host list shows. */
uint32_t fleet_listed_count(const struct fleet *f);
struct members *fleet_members(struct fleet *f);
/* Whether this process is among the few that watch the configuration log. */
bool fleet_is_watcher(struct fleet *f);

/* A copy of what is known of all members; *v is freed with free. */
size_t fleet_report(struct fleet *f, struct member_info **v);
/*
 * The RPC address of the member whose id has this hash, as it stands in
 * request ids (see records_opts.node); false if none is up.
 */
bool fleet_rpc_addr(struct fleet *f, uint32_t node, char out[MAX_ADDR_BYTES]);
void fleet_free(struct fleet *f);

#endif
