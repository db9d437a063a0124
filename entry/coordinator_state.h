/*
 * What the files of a home share: home.c has the life of asks, home_calls.c
 * the calls to targets and the results at these.
 */
#ifndef ENTRY_COORDINATOR_STATE_H
#define ENTRY_COORDINATOR_STATE_H

#include "entry/coordinator.h"
#include "kernel/batch.h"
#include "kernel/bounds.h"
#include "kernel/result_space.h"
#include "platform/stage.h"

struct pool; /* the targets and waiting pieces of one service */

struct coordinator_job {
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
	uint32_t missing; /* pieces without a result */
	uint32_t in_calls;
	uint32_t started;         /* pieces that do not wait */
	usec_t release_inputs_at; /* when its inputs are not needed any more; 0:
				     no */
	uint32_t pieces[PEER_PIECES_MAX];
	uint8_t sends[PEER_PIECES_MAX];
	struct piece_result results[PEER_PIECES_MAX];
	bool has_result[PEER_PIECES_MAX]; /* has its result */
	bool input_expiry; /* at the deadline, which is not the caller's */
	bool replied;
	bool refused;
	bool moved;
	bool cancelled;
	bool released; /* its results are not wanted any more */
	uint32_t wait_ms;
	usec_t replied_at;
};

struct pool {
	struct coordinator *coordinator;
	char *service;
	struct batch batch;
	char coordinator_addr[MAX_ADDR_BYTES]; /* its home, as this host sees it
						*/
	usec_t handover_until;
};

struct batch_call {
	struct coordinator *coordinator;
	struct pool *pool;
	struct dial_call *dial;
	struct event *timer;
	char target_id[64];
	char addr[64];
	uint64_t bytes; /* reserved for its results */
	GArray *items;  /* struct batch_item; owner: struct coordinator_job */
	usec_t started;
	int status;
	bool not_run;
};

struct pending_frees {
	struct buf handles;
	usec_t oldest;
};

struct coordinator {
	struct coordinator_opts o;
	struct routes *routes;
	GHashTable *pools;         /* service -> struct pool */
	GHashTable *asks;          /* key -> struct coordinator_job */
	GHashTable *calls;         /* struct batch_call */
	GHashTable *pending_frees; /* address -> struct pending_frees */
	GHashTable *last_answers;  /* target id -> hash of its last results */
	struct result_space result_space;
	bool draining;
	struct coordinator_counts counts;
	GPtrArray *local_replies; /* asks of this host that are answered */
	struct event *local_reply_event; /* tells it from the loop, not from
					    within its ask */
};

/* home.c: starts the calls for which a target is free. */
void coordinator_start_calls(struct coordinator *h, struct pool *p, usec_t now);
/* Answers the ask, once. */
void coordinator_finish_job(
    struct coordinator *h, struct coordinator_job *a, usec_t now);

/* home_calls.c: takes over items, an array of struct batch_item. */
void coordinator_call(struct coordinator *h, struct pool *p,
    struct target_load *t, GArray *items, usec_t now);
/* Frees used results that have waited long enough. */
void coordinator_flush_frees(struct coordinator *h, usec_t now);
/* Cancels all calls. */
void coordinator_cancel_calls(struct coordinator *h);

#endif
