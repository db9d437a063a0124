/*
 * Asks for pieces of stages, from the host that has the request to the home
 * of the stage's service.
 *
 * The home is the first of a rendezvous order of service and live hosts.  An
 * ask that is not confirmed in time is sent again, and after some tries goes
 * to the next host of the order; a piece that is made twice does no harm.  Asks
 * of a host that has just started wait until it knows the others: it would take
 * itself for every home.
 * Runs on the relay's loop.
 */
#ifndef ENTRY_STAGE_JOBS_H
#define ENTRY_STAGE_JOBS_H

#include "entry/coordinator.h"
#include "entry/view.h"

struct stage_jobs;

struct stage_jobs_opts {
	struct rpc *rpc;
	const char *self; /* id of this host */
	uint64_t incarnation;
	usec_t peer_wait; /* how long asks wait until other hosts are known */
};

/* Refused, or all pieces with their outcomes. */
typedef void (*stage_job_handler)(void *arg, const peer_piece_reply *r);

struct stage_job_opts {
	struct str service;
	struct str id;
	uint32_t stage;
	uint32_t n; /* pieces, numbered from 0 */
	struct str key;
	struct str inputs;
	usec_t deadline;
	usec_t soft_deadline; /* the results are late after that */
	uint32_t rank;
	uint64_t bytes;    /* of one result */
	struct str domain; /* where they are best made; or empty */
	/* Called once, unless the ask is cancelled; never from
	 * stage_jobs_submit. */
	stage_job_handler handler;
	void *arg; /* owned by the ask: freed with free() */
};

struct stage_jobs *stage_jobs_new(const struct stage_jobs_opts *o);
/* This host's own home. */
void stage_jobs_set_coordinator(struct stage_jobs *s, struct coordinator *h);
/* The live hosts; struct view_peer. */
void stage_jobs_set_peers(struct stage_jobs *s, const GArray *peers);
/* The RPC address of a service's home now; empty for this host. */
const char *stage_jobs_coordinator(struct stage_jobs *s, const char *service);
/* Returns the ask's number. */
uint64_t stage_jobs_submit(
    struct stage_jobs *s, const struct stage_job_opts *o);
void stage_jobs_cancel(struct stage_jobs *s, uint64_t ask);
/* Results that were used: handles by commas. */
void stage_jobs_release(
    struct stage_jobs *s, const char *service, struct str handles);
/* from: the RPC address of the home, or NULL for this host's own. */
void stage_jobs_reply(
    struct stage_jobs *s, const char *from, const peer_piece_reply *r);
/* Sends again what was not confirmed; false if nothing waits. */
bool stage_jobs_tick(struct stage_jobs *s, usec_t now);
void stage_jobs_free(struct stage_jobs *s);

#endif
