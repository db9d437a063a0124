/*
 * Which engine serves a prompt best, and whether now or a little later.
 *
 * The cost of an engine is the expected time until the first event, and what
 * the prompt costs the other requests there: the tokens that are read, and
 * pauses of streams that would be late by them.  An engine that can serve a
 * prompt on time comes before all that can't.  At an engine whose streams allow
 * only short pauses, one long prompt is read at a time.
 *
 * Durations with fractions are in milliseconds.
 */
#ifndef KERNEL_OVERLOAD_ENGINE_CHOICE_H
#define KERNEL_OVERLOAD_ENGINE_CHOICE_H

#include "kernel/overload/engine_load.h"

/* Predicted times may be too short by this factor. */
#define ENGINE_SAFETY 1.25

/* An engine and what it is doing, while decisions are taken. */
struct engine_view {
	struct engine_load *engine;
	const struct target_load *target;
	struct engine_state state;
	double longest_ms; /* of the prompts that are being read */
	double next_end_ms;
	uint32_t slots;
	/* Prompts that are held for it. */
	uint32_t n_awaited;
	double awaited_ms;
};

/* How a prompt would fare at an engine. */
struct engine_look {
	size_t view;
	double cost;
	double other_cost; /* without the time until its first event */
	double first_ms;   /* until its first event, once it is sent */
	double wait_ms;    /* until it is sent */
	double own_ms;     /* of reading it */
	uint32_t to_read;
	size_t n_cached;
};

/* The best engines for a prompt. */
struct engine_choice {
	bool eligible; /* some engine may take it, at some time */
	bool has_open;
	bool has_forced;
	bool has_next;
	struct engine_look open;   /* takes it now */
	struct engine_look forced; /* has a slot, but reads others */
	struct engine_look next; /* now or later; first_ms includes the wait */
};

struct engine_choice_opts {
	GArray *views; /* struct engine_view */
	const struct engine_norms *norms;
	uint64_t kv_tokens; /* memory of an engine; 0: unknown */
	struct rng *rng;    /* breaks ties */
};

/* Brings the state of an engine up to date; slots: if its entry names none. */
void engine_view_set(struct engine_view *v, const struct engine_norms *norms,
    uint32_t slots, usec_t now);
void engine_choose(const struct engine_choice_opts *o, const struct prompt *x,
    usec_t now, struct engine_choice *out);
usec_t engine_from_ms(double ms);

#endif
