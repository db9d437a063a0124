/*
 * Which engine takes a request, and when: the decision of the one host, the
 * placer, that places the requests of all hosts on the engines of a service in
 * one failure domain.
 *
 * Load pattern: many hosts in front of many engines.  Each host alone sends so
 * few requests to an engine that it knows its load from reports that are
 * seconds old, or not at all, and long prompts meet at engines by chance: the
 * streams that run there pause while they are read.  The placer knows which
 * prompts it has sent where, how much of them is still to be read, and which
 * shared parts an engine holds.  A prompt waits here, not at an engine, while
 * an engine that can read it in time is about to be free; a long prompt lets
 * shorter ones pass within its own slack, and no longer.
 *
 * A struct placement has no lock, makes no I/O and reads no clock.  Times are
 * in microseconds.
 */
#ifndef KERNEL_OVERLOAD_PLACEMENT_H
#define KERNEL_OVERLOAD_PLACEMENT_H

#include "kernel/loads.h"

#define PLACEMENT_MAX_PARTS 32

struct placement;

/* A part of a prompt; the order matters, as a part is cached only after all
 * parts before it. */
struct placement_part {
	uint64_t hash;
	uint32_t tokens;
};

struct placement_request {
	uint64_t host; /* incarnation of the host that asks */
	uint64_t ask;  /* its number of the request */
	struct placement_part parts[PLACEMENT_MAX_PARTS];
	size_t n_parts;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint32_t rank;   /* 0 is the most urgent */
	usec_t aim;      /* the first event is late after this */
	usec_t deadline; /* the caller leaves at this */
	usec_t
	    latest; /* the host waits no longer for a decision; 0: deadline */
	usec_t max_gap;   /* longest pause between events that is on time */
	char version[64]; /* of the target's software; empty: any */
	char input_domain[64]; /* where its inputs are; empty: it has none */
	uint64_t input_bytes;
	char tried[LOADS_MAX_TRIED][64]; /* targets that it is not sent to */
	size_t n_tried;
};

enum placement_verdict {
	PLACEMENT_SEND, /* to the target */
	PLACEMENT_FULL, /* it can't be served in time: try after wait */
	PLACEMENT_NONE  /* no target may be used; the host decides by itself */
};

struct placement_decision {
	uint64_t host;
	uint64_t ask;
	enum placement_verdict verdict;
	char target[64];
	usec_t wait;        /* PLACEMENT_FULL */
	usec_t first_event; /* expected time until it, from now */
	uint32_t to_read;   /* tokens of its prompt that aren't cached there */
	uint32_t reading;   /* tokens that the target reads before it */
	uint32_t running;   /* requests that run there */
};

struct placement_opts {
	const char *service;
	const char *domain;  /* empty: all */
	struct loads *loads; /* usable targets, their limits and pauses */
	uint32_t slots;      /* of an engine */
	uint64_t kv_tokens;  /* memory of an engine */
	/* Of a divided domain (kernel/overload/engine_groups.h); 0: it isn't.
	 */
	uint32_t groups;
	uint32_t group; /* whose engines are placed on */
};

struct placement *placement_new(const struct placement_opts *o);
/* Takes a request; one that is known already is not taken again. */
void placement_submit(
    struct placement *p, const struct placement_request *q, usec_t now);
/*
 * A host has sent a request to a target by its own choice: it runs there as if
 * it had been placed.
 */
void placement_sent(struct placement *p, const struct placement_request *q,
    const char *target, usec_t now);
/* Drops a request that waits, or forgets one that was placed. */
void placement_cancel(struct placement *p, uint64_t host, uint64_t ask);
/*
 * Decides on requests that wait; returns the number of decisions, at most max.
 * To be called until it returns less.
 */
size_t placement_step(struct placement *p, struct placement_decision *out,
    size_t max, usec_t now);
/* Returns when placement_step has something to decide; 0: nothing waits. */
usec_t placement_due(const struct placement *p, usec_t now);
/* The first event of a placed request has come: its prompt is read. */
void placement_begun(
    struct placement *p, uint64_t host, uint64_t ask, usec_t now);
/*
 * A placed request has ended.  completed: the engine keeps its parts; else it
 * was refused or lost, and the engine may not have read them.
 */
void placement_ended(struct placement *p, uint64_t host, uint64_t ask,
    bool completed, usec_t now);
/*
 * An answer of a target that was sent at a time says how many requests run and
 * wait there, and how long work takes there (100: as usual; 0: it doesn't say).
 */
void placement_reported(struct placement *p, const char *target,
    uint32_t running, uint32_t waiting, uint32_t slowness, usec_t now);
/* A host has ended: what it had placed runs no longer. */
void placement_host_ended(struct placement *p, uint64_t host, usec_t now);
/* Shortest wait of a new prompt of so many tokens, as told to hosts. */
usec_t placement_wait(const struct placement *p, uint32_t tokens, usec_t now);
void placement_free(struct placement *p);

#endif
