/*
 * What the files of a home share: home.c has the life of asks, home_calls.c
 * the calls to targets and the results at these.
 */
#ifndef ENTRY_HOME_STATE_H
#define ENTRY_HOME_STATE_H

#include "entry/home.h"
#include "kernel/batch.h"
#include "kernel/limits.h"
#include "kernel/room.h"
#include "platform/stage.h"

struct pool; /* the targets and waiting pieces of one service */

struct ask {
	char *key;  /* host and number */
	char *from; /* RPC address, or NULL */
	uint64_t number;
	struct pool *pool;
	struct buf id;
	struct buf piece_key;
	struct buf inputs;
	uint32_t stage;
	uint64_t bytes; /* of one result */
	uint32_t domain;
	usec_t deadline; /* of the start of its pieces' calls */
	uint32_t n;
	uint32_t left; /* pieces without a result */
	uint32_t in_calls;
	uint32_t started;  /* pieces that do not wait */
	usec_t fetched_at; /* when its inputs are not needed any more; 0: no */
	uint32_t pieces[PEER_PIECES_MAX];
	uint8_t sends[PEER_PIECES_MAX];
	struct piece_result results[PEER_PIECES_MAX];
	bool made[PEER_PIECES_MAX]; /* has its result */
	bool inputs_gone; /* at the deadline, which is not the caller's */
	bool replied;
	bool refused;
	bool moved;
	bool cancelled;
	bool released; /* its results are not wanted any more */
	uint32_t wait_ms;
	usec_t replied_at;
};

struct pool {
	struct home *home;
	char *service;
	struct batch batch;
	char owner[MAX_ADDR_BYTES]; /* its home, as this host sees it */
	usec_t unsettled_until;
};

struct stage_call {
	struct home *home;
	struct pool *pool;
	struct dial_call *dial;
	struct event *timer;
	char target_id[64];
	char addr[64];
	uint64_t bytes; /* reserved for its results */
	GArray *items;  /* struct batch_item; owner: struct ask */
	usec_t started;
	int status;
	bool not_run;
};

struct used {
	struct buf handles;
	usec_t since;
};

struct home {
	struct home_opts o;
	struct routes *routes;
	GHashTable *pools; /* service -> struct pool */
	GHashTable *asks;  /* key -> struct ask */
	GHashTable *calls; /* struct stage_call */
	GHashTable *used;  /* address -> struct used */
	GHashTable *last;  /* target id -> hash of its last results */
	struct room room;
	bool draining;
	struct home_counts counts;
	GPtrArray *unsaid; /* asks of this host that are answered */
	struct event *say; /* tells it from the loop, not from within its ask */
};

/* home.c: starts the calls for which a target is free. */
void home_serve(struct home *h, struct pool *p, usec_t now);
/* Answers the ask, once. */
void home_finish(struct home *h, struct ask *a, usec_t now);

/* home_calls.c: takes over items, an array of struct batch_item. */
void home_call(struct home *h, struct pool *p, struct target *t, GArray *items,
    usec_t now);
/* Frees used results that have waited long enough. */
void home_flush_used(struct home *h, usec_t now);
/* Cancels all calls. */
void home_end_calls(struct home *h);

#endif
