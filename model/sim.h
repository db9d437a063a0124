/*
 * Plays a scenario in virtual time through the decisions of kernel/overload:
 * one coordinator for each stage service, its targets, and callers that come
 * back as told.
 *
 * No threads, no sockets, no clock: the same scenario, seed and policies give
 * the same result, byte for byte.  Engines have no limits here: a request is
 * served first_event_ms after its last stage.
 */
#ifndef MODEL_SIM_H
#define MODEL_SIM_H

#include "model/scenario.h"

/* Decisions that can be switched off, to see what each of them does. */
enum sim_policy {
	SIM_CHAIN = 1,    /* chain_check before each stage */
	SIM_HOPELESS = 2, /* batch_hopeless in the coordinator */
	SIM_QUOTA = 4,    /* a quota of repeated stage work */
	SIM_AGE = 8,      /* caller_age_estimate for callers that come back */
	SIM_LIMIT = 16,   /* stages end before the caller leaves */
	SIM_TARGET_SPEED = 64, /* target_speed_use for slow targets */
	SIM_ALL = 31 | SIM_TARGET_SPEED,
	/* The ages of callers are known, as no real host knows them. */
	SIM_TRUE_AGE = 32
};

struct sim_counts {
	uint32_t asked;   /* requests, without those that came back */
	uint32_t on_time; /* first event before the soft deadline */
	uint32_t late;
	uint32_t rejected;  /* ended for good with a rejection */
	uint32_t held;      /* of these, after three quarters of their time */
	usec_t reject_time; /* sum over all rejections, from the last arrival */
	uint32_t rejections;
};

struct sim_result {
	uint32_t n_windows;
	/* By the window of the first arrival, then by kind. */
	struct sim_counts (*windows)[MODEL_MAX_KINDS];
	struct sim_counts kinds[MODEL_MAX_KINDS];
	double work;        /* seconds of target time on pieces */
	double wasted;      /* of these, on results that no call used */
	uint32_t restarts;  /* chains that began again */
	uint32_t max_queue; /* most pieces that waited, all services */
};

void sim_run(
    const struct scenario *s, unsigned policies, struct sim_result *out);
void sim_result_free(struct sim_result *r);

#endif
