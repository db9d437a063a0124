/*
 * The placer: decides for all hosts which engine takes a request, for the
 * engines of a service in one failure domain (kernel/overload/placement.h).
 *
 * A host places because others ask it to (entry/placements.h); two hosts that
 * both place only know less each.  What it knows is lost with it: a host that
 * begins to place a service answers for a short time that each host decides by
 * itself, and learns from their news meanwhile.
 *
 * Runs on the relay's thread.  Times are in microseconds.
 */
#ifndef ENTRY_PLACER_H
#define ENTRY_PLACER_H

#include "entry/rpc.h"
#include "entry/view.h"
#include "kernel/loads.h"

struct event_base;
struct placer;

struct placer_opts {
	struct event_base *base;
	struct rpc *rpc;
	struct loads *loads;
	uint64_t incarnation; /* of this host */
	/* Receives the replies to this host's own asks. */
	void (*reply)(void *arg, const peer_place_reply *r);
	void *arg;
};

struct placer_counts {
	uint64_t asks;
	uint64_t placed;
	uint64_t queued; /* that were not decided at once */
	uint64_t full;
	uint64_t none;
	uint64_t lost_calls; /* of which the end was not told */
	uint64_t waiting;    /* now */
	uint64_t calls;      /* that run now, as far as is known */
};

struct placer *placer_new(const struct placer_opts *o);
void placer_set_routes(struct placer *p, struct routes *routes);
/* Sets the live hosts, an array of struct view_peer. */
void placer_set_hosts(struct placer *p, const GArray *peers);
/*
 * A host asks, or repeats its ask. from: its RPC address, or NULL for this
 * host; incarnation: that of the host.
 */
void placer_ask(struct placer *p, const char *from, uint64_t incarnation,
    const peer_place_ask *m);
/* A host tells what it has learnt of the engines; from: as in placer_ask. */
void placer_news(struct placer *p, const char *from, uint64_t incarnation,
    const peer_place_news *m);
/*
 * The host stops: it decides nothing more, and gives the requests that wait
 * back to their hosts.
 */
void placer_drain(struct placer *p);
/* Forgets what hosts no longer ask for; call it regularly. */
void placer_tick(struct placer *p, usec_t now);
struct placer_counts placer_counts(const struct placer *p);
void placer_free(struct placer *p);

#endif
