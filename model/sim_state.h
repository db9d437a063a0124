/*
 * State of a simulation: sim.c has the requests and their callers, sim_calls.c
 * the calls of the coordinators to their targets.
 */
#ifndef MODEL_SIM_STATE_H
#define MODEL_SIM_STATE_H

#include "base/rng.h"
#include "kernel/overload/batch.h"
#include "kernel/overload/caller_age.h"
#include "kernel/overload/result_space.h"
#include "kernel/overload/retry_quota.h"
#include "kernel/overload/stage_waits.h"
#include "model/sim.h"

/* Virtual time between two steps. */
#define SIM_STEP (5 * USEC_PER_MSEC)

struct result {
	uint32_t target;
	uint32_t incarnation; /* of the target that holds it */
	usec_t expires;
	uint64_t serial;
	double cost; /* seconds of target time */
};

struct request {
	uint32_t kind;
	uint64_t number;
	usec_t first_arrival;
	usec_t arrived;
	usec_t soft_deadline;
	usec_t host_soft_deadline; /* as the host assumes it */
	usec_t deadline;
	uint32_t stage; /* in progress */
	uint32_t tries; /* jobs of this stage */
	uint32_t returns;
	uint32_t attempts;
	struct job *job; /* last one */
	GArray *inputs;  /* struct result, of the stage before */
	bool ended;
};

struct job {
	struct request *request;
	uint32_t missing;
	GArray *results; /* struct result */
	usec_t deadline;
	bool ended;
};

struct target {
	usec_t busy_until;
	usec_t down_until;
	uint32_t incarnation;
	usec_t started;
	usec_t give_up_at; /* the coordinator considers the call lost */
	struct target_speed speed;
	bool known_slow; /* at the start of its call */
	GArray *items;   /* struct batch_item; NULL: no call */
};

struct pool {
	const struct model_service *service;
	struct batch batch;
	struct target *targets;
};

enum due_kind {
	DUE_FIRST_EVENT,
	DUE_RETURN, /* of a rejected caller */
	DUE_LEAVE   /* of a caller that has no event yet */
};

struct due {
	usec_t at;
	struct request *request;
	enum due_kind kind;
	uint32_t attempt; /* of the caller */
};

struct report {
	usec_t apply_at;
	uint32_t service;
	uint32_t rank;
	usec_t wait;
	usec_t at;
};

struct sim {
	const struct scenario *s;
	unsigned policies;
	struct sim_result *out;
	struct rng rng;
	usec_t now;
	struct pool pools[MODEL_MAX_SERVICES];
	struct result_space space;
	struct stage_waits waits;
	struct caller_age ages;
	struct retry_quota quota;
	struct retry_quota_rule quota_rule;
	GQueue reports;  /* struct report */
	GSequence *due;  /* struct due, by time */
	GPtrArray *jobs; /* all, freed at the end */
	GPtrArray *requests;
	double owed[MODEL_MAX_KINDS]; /* fractions of arrivals */
	uint64_t serial;
};

/* Targets of a pool that are not down (sim_calls.c). */
uint32_t sim_usable(const struct sim *m, const struct pool *p);
/* Starts calls to all free targets of a service (sim_calls.c). */
void sim_start_calls(struct sim *m, uint32_t service);
/* Ends the calls that are done or given up (sim_calls.c). */
void sim_finish_calls(struct sim *m, uint32_t service);
/* Crashes the targets whose fault begins in this step (sim_calls.c). */
void sim_crash_targets(struct sim *m);

const struct model_kind *sim_kind(const struct sim *m, const struct request *r);
/* Writes the name of a result, for the accounting of result space (sim.c). */
void sim_format_handle(
    char *out, size_t n, uint32_t service, const struct result *x);
/* Starts the next stage of a request whose job is done (sim.c). */
void sim_finish_stage(struct sim *m, struct job *j);
/* Ends a job whose inputs are gone, and starts its chain again (sim.c). */
void sim_lose_inputs(struct sim *m, struct job *j);

#endif
