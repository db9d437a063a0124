/*
 * Internal state of the coordinator: coordinator.c has the life cycle of jobs,
 * coordinator_calls.c the calls to targets and the results stored there,
 * coordinator_stop.c what a stop of the host does to the jobs.
 */
#ifndef ENTRY_COORDINATOR_STATE_H
#define ENTRY_COORDINATOR_STATE_H

#include "entry/coordinator.h"
#include "kernel/late_read.h"
#include "kernel/overload/batch.h"
#include "kernel/bounds.h"
#include "kernel/overload/result_frees.h"
#include "kernel/overload/result_space.h"
#include "kernel/overload/retry_quota.h"
#include "kernel/recent_set.h"
#include "kernel/unknown_services.h"
#include "platform/stage.h"

/* Handles are known for longer than the connections that they came on live. */
#define HANDLE_MEMORY (60 * USEC_PER_SEC)

struct pool; /* waiting pieces of one service */

struct job_piece {
	uint32_t number;
	uint8_t sends; /* failed calls */
	bool has_result;
	struct piece_result result;
};

struct coordinator_job {
	char *key;  /* sender's address and job number */
	char *from; /* RPC address, or NULL */
	uint64_t number;
	struct pool *pool;
	struct buf id;
	struct buf piece_key;
	struct buf inputs;
	uint32_t stage;
	uint64_t bytes; /* size of one result */
	uint32_t domain;
	usec_t deadline; /* latest start of the calls for the job's pieces */
	struct job_piece *pieces;
	uint32_t n;        /* length of pieces */
	uint32_t missing;  /* pieces without a result */
	uint32_t in_calls; /* pieces in calls in flight */
	uint32_t started;  /* pieces in a call or done */
	usec_t calls_end;  /* expected end of its calls, also of past ones */
	/* Time at which the inputs can be released; 0: not set. */
	usec_t release_inputs_at;
	bool replied;
	bool refused;
	bool moved;    /* answered: the next coordinator has to take the job */
	bool repeated; /* the answer of a moved job was sent twice */
	bool stays;    /* no other coordinator takes it */
	bool cancelled;
	bool released;    /* the results have been released */
	uint32_t wait_ms; /* of a refused job: time until a retry */
	usec_t replied_at;
};

struct pool {
	struct coordinator *coordinator;
	char *service;
	struct batch batch;
	struct retry_quota repeats; /* of pieces that targets failed to make */
	/* RPC address of the service's coordinator in this host's view. */
	char coordinator_addr[MAX_ADDR_BYTES];
	usec_t handover_until;
	usec_t earliest_end;     /* in a stop, of a call that begins next */
	struct event *next_call; /* when the next call is due */
	/* Since the last report of the pool's load. */
	usec_t reported_at;
	uint32_t calls;
	uint32_t pieces;
};

struct batch_call {
	struct coordinator *coordinator;
	struct pool *pool;
	struct target_call *dial;
	struct event *timer;
	char target_id[64];
	char addr[64];
	uint64_t bytes; /* result space reserved for the call */
	GArray *items;  /* struct batch_item; owner: struct coordinator_job */
	usec_t started;
	usec_t expected; /* how long it takes */
	usec_t timeout;  /* from the time at which the call is written */
	uint32_t n_made; /* pieces with a result */
	bool slow;       /* its target was known to be slow */
	int status;
	bool not_run;
	struct late_read late_read;
};

struct coordinator {
	struct coordinator_opts o;
	struct routes *routes;
	struct unknown_services unknown;
	GHashTable *pools; /* service -> struct pool */
	GHashTable *jobs;  /* key -> struct coordinator_job */
	GHashTable *calls; /* struct batch_call */
	struct result_frees frees;
	GHashTable *free_calls;     /* struct free_call, in flight */
	GHashTable *last_responses; /* target id -> hash of the last response */
	struct recent_set handles;  /* hashes of those that were returned */
	struct result_space result_space; /* of all targets */
	struct stopping stopping;
	usec_t started;
	struct coordinator_counts counts;
	/* Jobs of this host (struct coordinator_job) to be answered. */
	GPtrArray *local_replies;
	/*
	 * Sends the local replies from the event loop, not from within
	 * coordinator_submit.
	 */
	struct event *local_reply_event;
};

/* The targets of a pool when calls are started. */
struct pool_targets {
	const GPtrArray *all;
	struct target_speeds speeds;
	uint32_t fast_free; /* that are free and not slow */
	/* A piece waits whose domain has no target. */
	bool any_domain;
};

struct pool_targets coordinator_pool_targets(
    const struct coordinator *c, const struct pool *p, usec_t now);
/* Starts calls to all free targets while pieces wait (coordinator.c). */
void coordinator_start_calls(struct coordinator *c, struct pool *p, usec_t now);
/* Targets of the pool that this coordinator calls (coordinator.c). */
const GPtrArray *coordinator_targets(
    const struct coordinator *c, const struct pool *p);
/* Answers the job unless that has been done (coordinator.c). */
void coordinator_finish_job(
    struct coordinator *c, struct coordinator_job *j, usec_t now);

/* Marks a job as refused; wait: expected time until it would be done. */
void coordinator_refuse_job(
    struct coordinator *c, struct coordinator_job *j, usec_t wait);

/*
 * Whether a call of the pool's pieces to a target of this slowness begins now:
 * it would end before the host's exit (coordinator_stop.c).
 */
bool coordinator_begins_call(const struct coordinator *c, const struct pool *p,
    double slowness, usec_t now);
/* Sends the state of a job to the host that submitted it (coordinator.c). */
void coordinator_reply(struct coordinator *c, const struct coordinator_job *j);
/*
 * Hands back the jobs that would last beyond the exit.  Returns whether answers
 * of such jobs have to be sent once more.
 */
bool coordinator_stop_tick(struct coordinator *c, usec_t now);

/*
 * Sends a call for items, an array of struct batch_item that it takes over, to
 * a target that is slower than others by the factor slowness
 * (coordinator_calls.c).
 */
void coordinator_call(struct coordinator *c, struct pool *p,
    struct target_load *t, double slowness, GArray *items, usec_t now);
/* Sends the frees of results that have waited long enough. */
void coordinator_flush_frees(struct coordinator *c, usec_t now);
/* Counts a new piece towards the quota of repeated ones. */
void coordinator_count_piece(struct pool *p, usec_t now);
/* Hash of a target's id; never 0. */
uint32_t coordinator_target_hash(const char *id);
/* Space for results that the pool's calls may use at a target. */
uint64_t coordinator_usable_space(const struct pool *p);
/* Whether this host can have the pool's targets called. */
bool coordinator_has_way(const struct coordinator *c, const struct pool *p);
/*
 * Gives the jobs of a pool whose targets this host can't have called to the
 * next coordinator, except those with pieces in calls.
 */
void coordinator_move_jobs(struct coordinator *c, struct pool *p, usec_t now);
/* Cancels all calls. */
void coordinator_cancel_calls(struct coordinator *c);

#endif
