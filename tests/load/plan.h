/*
 * The offered load: the mix of requests of a deployment and, drawn from a seed,
 * arrival time and content of each request.  Arrivals are a Poisson process.
 * README.md lists the keys of the file.
 */
#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

#include "base/clock.h"
#include "base/rng.h"
#include "tests/settings.h"

/* A [mix NAME] section: one kind of request. */
struct mix {
	const char *pipeline;
	const char *workspace;
	const char *token;
	const char *field;
	const char *output;
	const char *effect;
	const char *calls;
	const char *service; /* service of the effect: the last of calls */
	uint32_t weight;
	uint32_t text_min;
	uint32_t text_max;
	uint32_t stream_percent;
	uint32_t tokens;
	usec_t deadline;
	bool marked;
};

struct planned_request {
	usec_t at; /* time since the start */
	const struct mix *mix;
	uint32_t prefix;
	uint32_t number;
	bool stream;
	bool warm_up; /* arrives during the warm-up: not counted */
};

/* A period in which arrivals are a multiple of their usual number. */
struct surge {
	const char *workspace; /* "": all workspaces */
	double factor;
	usec_t from;
	usec_t to;
};

struct plan {
	struct ini ini;
	struct mix *mixes;
	size_t n_mixes;
	uint32_t prefixes;
	double rate;         /* arrivals per second without a surge */
	usec_t client_delay; /* one-way delay */
	usec_t warm_up;
	usec_t length; /* of the run after the warm-up */
	struct surge surge;
	struct rng rng;
};

/* Reads deployment and run; ends the program if a key is missing or wrong. */
void plan_read(struct plan *p, const char *path);
/* Draws all arrivals in order of time; the caller frees the array. */
struct planned_request *plan_draw(struct plan *p, size_t *n);
/* Draws request number n, which arrives at the time at. */
void plan_draw_one(
    struct plan *p, usec_t at, uint32_t n, struct planned_request *out);
/* Appends the text that all requests of the same prefix share. */
void plan_text(const struct planned_request *r, struct buf *out);
void plan_free(struct plan *p);

#endif
