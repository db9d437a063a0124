/*
 * What is offered: the mix of a deployment and, drawn from a seed, when each
 * request arrives and what it holds.  README.md lists the keys of its file.
 */
#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

#include "base/clock.h"
#include "base/rng.h"
#include "tests/settings.h"

struct mix {
	const char *pipeline;
	const char *workspace;
	const char *token;
	const char *field;
	const char *output;
	const char *effect;
	const char *calls;
	const char *service; /* of the effect: the last of the calls */
	uint32_t weight;
	uint32_t text_min;
	uint32_t text_max;
	uint32_t stream_percent;
	uint32_t tokens;
	usec_t deadline;
	bool marked;
};

struct planned {
	usec_t at; /* after the start */
	const struct mix *mix;
	uint32_t prefix;
	uint32_t number;
	bool stream;
	bool warm; /* arrives while the fleet warms up: not judged */
};

/* A time in which arrivals are a multiple of what they are else. */
struct surge {
	const char *workspace; /* "": of all */
	double factor;
	usec_t from;
	usec_t to;
};

struct plan {
	struct ini ini;
	struct mix *mixes;
	size_t n_mixes;
	uint32_t prefixes;
	double rate;   /* arrivals a second without a surge */
	usec_t client; /* one way */
	usec_t warm;
	usec_t length; /* after the warm-up */
	struct surge surge;
	struct rng rng;
};

/* Reads deployment and run; ends the program when they are not whole. */
void plan_read(struct plan *p, const char *path);
/* Draws all arrivals in order of time; freed by the caller. */
struct planned *plan_draw(struct plan *p, size_t *n);
/* Draws one request that arrives at a time. */
void plan_one(struct plan *p, usec_t at, uint32_t n, struct planned *out);
/* The text that all requests of a prefix share. */
void plan_text(const struct planned *r, struct buf *out);
void plan_free(struct plan *p);

#endif
