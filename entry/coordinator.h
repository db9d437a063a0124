/*
 * The home of a stage service: collects the pieces that hosts ask for into
 * full calls to the service's targets.
 *
 * Each ask is answered once, when all its pieces are made or one can't be;
 * an ask that comes again is told where it stands.  Runs on the relay's loop.
 */
#ifndef ENTRY_COORDINATOR_H
#define ENTRY_COORDINATOR_H

#include "entry/rpc.h"
#include "kernel/loads.h"
#include "plat/dial.h"

struct coordinator;

struct coordinator_opts {
	struct event_base *base;
	struct dialer *dialer;
	struct loads *loads;
	struct rpc *rpc;
	/* The reply to an ask of this host's own. */
	void (*reply)(void *arg, const peer_piece_reply *r);
	/* Who is the home of a service now; empty for this host. */
	const char *(*find_coordinator)(void *arg, const char *service);
	/* Results of another service that were fetched by this home's calls. */
	void (*inputs_fetched)(void *arg, struct str handles);
	void *arg;
};

struct coordinator_counts {
	uint64_t calls;
	uint64_t pieces;
	uint64_t refused; /* asks */
	uint64_t retries; /* pieces that were sent again */
	uint64_t waiting; /* pieces, now */
};

struct coordinator *coordinator_new(const struct coordinator_opts *o);
/* The configuration in force, for the shapes of services. */
void coordinator_set_routes(struct coordinator *h, struct routes *routes);
/* from: the asking host's RPC address, or NULL for this host. */
void coordinator_submit(
    struct coordinator *h, const char *from, const peer_piece_ask *x);
/* Results that were used; they are freed with the next call to their maker. */
void coordinator_release(struct coordinator *h, struct str handles);
/* Drops what is late, forgets what is over; false if nothing waits. */
bool coordinator_tick(struct coordinator *h, usec_t now);
/*
 * The hosts have changed: where the home of a service has moved, another host
 * may still act as its home for a while.
 */
void coordinator_hosts_changed(struct coordinator *h, usec_t now);
/* This host is leaving: what has not begun goes to the next home. */
void coordinator_drain(struct coordinator *h);
struct coordinator_counts coordinator_counts(const struct coordinator *h);
void coordinator_free(struct coordinator *h);

#endif
