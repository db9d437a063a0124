/*
 * The offered load: the mix of requests of a deployment and, drawn from a seed,
 * the arrival time and content of each request.  Arrivals are a Poisson
 * process.  README.md lists the keys of the INI file.
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
	const char *token;   /* of the workspace */
	const char *field;   /* key of the body that holds the marker */
	const char *output;  /* key of the generated text; "": none */
	const char *effect;  /* stage whose answer echoes the key; "": none */
	const char *calls;   /* services that a request calls, in order */
	const char *service; /* service of the effect: the last of calls */
	uint32_t weight;     /* share of the arrivals */
	uint32_t text_min;   /* bytes of the shared text */
	uint32_t text_max;
	uint32_t stream_percent; /* percentage of requests for a stream */
	uint32_t tokens;         /* length of the generated text */
	usec_t deadline;
	bool marked; /* the generated text begins with the marker */
};

/* A request to be sent. */
struct planned_request {
	usec_t at; /* time since the start */
	const struct mix *mix;
	uint32_t prefix; /* requests of one prefix share their text */
	uint32_t number; /* makes the marker unique */
	bool stream;
	bool warm_up; /* arrives during the warm-up: not counted */
};

/* A period in which the arrival rate is multiplied by factor. */
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
	usec_t length; /* of the run, without the warm-up */
	struct surge surge;
	struct rng rng;
};

/* Reads an INI file; ends the program if a key is missing or invalid. */
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
