/*
 * The coordinator of a stage service: batches the pieces that all hosts request
 * into calls to the service's targets.
 *
 * Each job is answered once, when all its pieces are done or one has failed; a
 * job that is received again is answered with its current state.  Runs on the
 * relay's thread.  Times are in microseconds.
 */
#ifndef ENTRY_COORDINATOR_H
#define ENTRY_COORDINATOR_H

#include "entry/rpc.h"
#include "entry/target_calls.h"
#include "entry/target_limits.h"
#include "kernel/loads.h"
#include "kernel/stopping.h"
#include "plat/dial.h"

struct coordinator;

struct coordinator_opts {
	struct event_base *base;
	struct target_calls *target_calls;
	struct loads *loads;
	struct target_limits *target_limits;
	struct rpc *rpc;
	/* Receives the reply to a job of this host. */
	void (*reply)(void *arg, const peer_piece_reply *r);
	/*
	 * Returns the RPC address of a service's current coordinator; empty for
	 * this host.
	 */
	const char *(*find_coordinator)(void *arg, const char *service);
	/*
	 * Called with results, also of other services, once this coordinator's
	 * calls have fetched them as inputs.
	 */
	void (*inputs_fetched)(void *arg, struct str handles);
	void *arg;
};

struct coordinator_counts {
	uint64_t calls;
	uint64_t slow_calls; /* to targets known to be slow */
	uint64_t pieces;
	uint64_t refused;          /* jobs */
	uint64_t retries;          /* pieces sent again in another call */
	uint64_t failed;           /* pieces that targets failed to make */
	uint64_t inputs_gone;      /* pieces whose inputs were gone */
	uint64_t reclaimed;        /* fetched results that gave way to others */
	uint64_t waiting;          /* pieces that wait for a call now */
	uint64_t stop_handed_back; /* jobs that would outlast this host */
	uint64_t stop_cut;         /* jobs that were left at its exit */
};

struct coordinator *coordinator_new(const struct coordinator_opts *o);
/*
 * Sets the configuration in force, which has the batch parameters of the
 * services.
 */
void coordinator_set_routes(struct coordinator *c, struct routes *routes);
/*
 * Takes a job of a host, which may be new, resent or cancelled. from: the
 * host's RPC address, or NULL for this host.
 */
void coordinator_submit(
    struct coordinator *c, const char *from, const peer_piece_ask *msg);
/* Queues used results to be freed with the next call to their producer. */
void coordinator_release(struct coordinator *c, struct str handles);
/*
 * The calls that use these results have fetched them.  They are kept while
 * their space isn't needed, as such a call may fail.
 */
void coordinator_fetched(struct coordinator *c, struct str handles);
/*
 * Refuses overdue jobs, starts calls and forgets jobs answered long ago;
 * returns whether any job is pending.
 */
bool coordinator_tick(struct coordinator *c, usec_t now);
/*
 * The set of live hosts has changed: where the coordinator of a service has
 * moved, the previous one may be active for a while longer.
 */
void coordinator_hosts_changed(struct coordinator *c, usec_t now);
/*
 * The host stops: jobs that have not begun, or would last beyond its exit, go
 * to the next coordinator.
 */
void coordinator_drain(struct coordinator *c, const struct stopping *stopping);
/*
 * The path to a service is lost: its direct calls, which are silent, are made
 * again.
 */
void coordinator_path_lost(struct coordinator *c, const char *service);
/*
 * Hands back the jobs of other hosts that are left when this host exits, and
 * logs them.
 */
void coordinator_cut(struct coordinator *c);
struct coordinator_counts coordinator_counts(const struct coordinator *c);
void coordinator_free(struct coordinator *c);

#endif
