/*
 * The placer's state, for placer.c, which answers hosts, and placer_calls.c,
 * which notes the calls that they tell of.
 */
#ifndef ENTRY_PLACER_STATE_H
#define ENTRY_PLACER_STATE_H

#include "entry/placer.h"
#include "kernel/arrival.h"
#include "kernel/overload/engine_groups.h"
#include "kernel/overload/placement.h"

/* A call that a host asks for, or has made. */
struct placed_call {
	uint64_t host; /* incarnation */
	uint64_t number;
	char from[MAX_ADDR_BYTES]; /* RPC address; empty: this host */
	bool decided;
	bool begun;
	usec_t heard_at; /* last ask; once decided, the time of the decision */
	struct placement_decision decision;
};

/* The engines of a service in a failure domain, or a group of them. */
struct engine_pool {
	struct placer *placer;
	char *key;
	char service[64];
	char domain[64]; /* or name of a group (engine_groups.h) */
	struct placement *placement;
	GHashTable *calls;    /* set of struct placed_call */
	GHashTable *known_at; /* target id -> usec_t of the last news of it */
	GHashTable *told_at;  /* incarnation of a host -> usec_t of its news */
	usec_t stepped_at;
	usec_t wait; /* of a new prompt, as told to hosts */
	usec_t wait_at;
	usec_t learns_until;
	usec_t heard_at;
	struct event *timer;
};

struct placer {
	struct placer_opts o;
	struct routes *routes;
	GHashTable *pools; /* key -> struct engine_pool */
	GHashTable *hosts; /* set of the incarnations of the live hosts */
	struct arrival arrival;
	bool draining;
	struct placer_counts counts;
};

/* Returns an empty table for the calls of a pool. */
GHashTable *placer_new_calls(void);
struct placed_call *placer_find_call(
    const struct engine_pool *e, uint64_t host, uint64_t number);
/* from: RPC address of the host; empty: this host. */
struct placed_call *placer_add_call(
    struct engine_pool *e, const char *from, uint64_t host, uint64_t number);
void placer_read_size(const peer_prompt_size *m, struct placement_request *q);
/* Takes what a host has learnt at a time. */
void placer_take_fact(
    struct engine_pool *e, uint64_t host, const peer_place_fact *m, usec_t at);
/*
 * Compares the calls of a host with its list: the end of a call that it lacks,
 * and the begin of one, may have been lost on the way.  Returns whether the
 * list has calls that aren't known here.
 */
bool placer_take_list(
    struct engine_pool *e, uint64_t host, const peer_place_news *m, usec_t now);

#endif
