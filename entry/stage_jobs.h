/*
 * Stage jobs: requests for the pieces of one stage of a request, sent to the
 * coordinator of the stage's service.
 *
 * The coordinator is the first live host in the rendezvous order of the
 * service.  A job that is not acknowledged in time is sent again, and after
 * some attempts goes to the next host in the order; producing a piece twice is
 * harmless.  The pieces of a job are requested in parts of at most
 * PEER_PIECES_MAX, as many as a message holds; a job whose inputs don't fit
 * into a message is coordinated by this host itself.  A host that has just
 * started holds its jobs back until it knows the other hosts, as it would
 * otherwise choose itself as the coordinator of every service.
 *
 * Runs on the relay's thread.  Times are in microseconds.
 */
#ifndef ENTRY_STAGE_JOBS_H
#define ENTRY_STAGE_JOBS_H

#include "entry/coordinator.h"
#include "entry/view.h"
#include "kernel/overload/stage_waits.h"

struct stage_jobs;

struct stage_jobs_opts {
	struct rpc *rpc;
	const char *self; /* id of this host */
	uint64_t incarnation;
	usec_t peer_wait; /* how long jobs are held back after the start */
	struct stage_waits *waits; /* takes the coordinators' reports */
	const struct loads *loads; /* tells which services are split */
};

/* Called with the reply: a refusal, or the outcomes of all pieces. */
typedef void (*stage_job_handler)(void *arg, const peer_piece_reply *r);

struct stage_job_opts {
	struct str service;
	/* Domain of the coordinator, of a service that is split; else empty. */
	struct str coordinator_domain;
	struct str id;
	uint32_t stage;
	uint32_t n; /* number of pieces; they are numbered from 0 */
	struct str key;
	struct str inputs;
	usec_t deadline;
	usec_t soft_deadline; /* later results count as late */
	uint32_t rank;
	uint64_t bytes;    /* size of one result */
	struct str domain; /* preferred failure domain, or empty */
	/*
	 * Called once, unless the job is cancelled; never from within
	 * stage_jobs_submit.
	 */
	stage_job_handler handler;
	void *arg; /* owned by the job, which calls free() on it */
};

struct stage_jobs *stage_jobs_new(const struct stage_jobs_opts *o);
/* Sets this host's own coordinator. */
void stage_jobs_set_coordinator(struct stage_jobs *s, struct coordinator *c);
/* Sets the live hosts, an array of struct view_peer. */
void stage_jobs_set_peers(
    struct stage_jobs *s, const GArray *peers, bool complete);
/*
 * Returns the RPC address of a service's current coordinator, in a domain if
 * that is not empty; empty for this host.
 */
const char *stage_jobs_coordinator(
    struct stage_jobs *s, const char *service, const char *domain);
/* Returns the number of the job. */
uint64_t stage_jobs_submit(
    struct stage_jobs *s, const struct stage_job_opts *o);
void stage_jobs_cancel(struct stage_jobs *s, uint64_t job_number);
/* Frees results that were used; handles are separated by commas. */
void stage_jobs_release(
    struct stage_jobs *s, const char *service, struct str handles);
/*
 * The calls that use these results have fetched them: their space is used for
 * others if it is needed.
 */
void stage_jobs_fetched(
    struct stage_jobs *s, const char *service, struct str handles);
/*
 * Handles a reply. from: RPC address of the coordinator that sent it, or NULL
 * for this host's own.
 */
void stage_jobs_reply(
    struct stage_jobs *s, const char *from, const peer_piece_reply *r);
/* Resends unacknowledged jobs; returns whether any job is pending. */
bool stage_jobs_tick(struct stage_jobs *s, usec_t now);
void stage_jobs_free(struct stage_jobs *s);

#endif
