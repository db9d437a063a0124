/*
 * The home of a stage service: collects the pieces that hosts ask for into
 * full calls to the service's targets.
 *
 * Each ask is answered once, when all its pieces are made or one can't be;
 * an ask that comes again is told where it stands.  Runs on the relay's loop.
 */
#ifndef ENTRY_HOME_H
#define ENTRY_HOME_H

#include "entry/rpc.h"
#include "kernel/loads.h"
#include "plat/dial.h"

struct home;

struct home_opts {
	struct event_base *base;
	struct dialer *dialer;
	struct loads *loads;
	struct rpc *rpc;
	/* The reply to an ask of this host's own. */
	void (*reply)(void *arg, const peer_piece_reply *r);
	/* Who is the home of a service now; empty for this host. */
	const char *(*owner)(void *arg, const char *service);
	/* Results of another service that were fetched by this home's calls. */
	void (*fetched)(void *arg, struct str handles);
	void *arg;
};

struct home_counts {
	uint64_t calls;
	uint64_t pieces;
	uint64_t refused; /* asks */
	uint64_t repeats; /* pieces that were sent again */
	uint64_t waiting; /* pieces, now */
};

struct home *home_new(const struct home_opts *o);
/* The configuration in force, for the shapes of services. */
void home_routes(struct home *h, struct routes *routes);
/* from: the asking host's RPC address, or NULL for this host. */
void home_ask(struct home *h, const char *from, const peer_piece_ask *x);
/* Results that were used; they are freed with the next call to their maker. */
void home_release(struct home *h, struct str handles);
/* Drops what is late, forgets what is over; false if nothing waits. */
bool home_tick(struct home *h, usec_t now);
/*
 * The hosts have changed: where the home of a service has moved, another host
 * may still act as its home for a while.
 */
void home_unsettle(struct home *h, usec_t now);
/* This host is leaving: what has not begun goes to the next home. */
void home_drain(struct home *h);
struct home_counts home_counts(const struct home *h);
void home_free(struct home *h);

#endif
