/*
 * What an engine is doing, as the placer of its failure domain knows it, and
 * how long it takes with one more request.
 *
 * Engines read prompts between the tokens of the requests that run there, so
 * time is predicted from tokens that are still to be read and from the rate at
 * which the engine has read them, not from the number of calls.  What others
 * have sent there is what the engine reports beyond the own requests.
 *
 * Times are in microseconds, durations with fractions in milliseconds.
 */
#ifndef KERNEL_OVERLOAD_ENGINE_LOAD_H
#define KERNEL_OVERLOAD_ENGINE_LOAD_H

#include "base/clock.h"
#include "kernel/overload/engine_speed.h"
#include "kernel/overload/placement.h"
#include "kernel/overload/prompt_cache.h"
#include "kernel/overload/target_pace.h"

enum prompt_state {
	PROMPT_WAITING, /* in the queue of the placer */
	PROMPT_READING, /* at an engine, without an event so far */
	PROMPT_RUNNING
};

/* A request, while it waits or is at an engine. */
struct prompt {
	struct placement_request request;
	struct prompt_prefix prefixes[PLACEMENT_MAX_PARTS];
	enum prompt_state state;
	struct engine_load *engine; /* NULL while it waits */
	usec_t submitted_at;
	usec_t placed_at;
	usec_t begun_at;
	size_t n_cached;  /* parts that the engine kept when it was placed */
	uint32_t to_read; /* tokens that the engine has to read */
	/* Times at a usual engine: of reading it, and those before it. */
	double read_ms;
	double before_ms;
	usec_t order;    /* key of the queue: the lowest one is first */
	uint64_t number; /* of its submission */
	bool late;       /* it can't be on time any more */
};

struct engine_load {
	char id[64];
	uint64_t born_ms;
	bool listed; /* in the newest list of usable engines */
	GPtrArray *prompts;
	struct prompt_cache cache;
	struct target_pace pace;
	struct engine_speed speed;
	uint32_t n_reading;
	double unread_ms;  /* of reading its prompts, at a usual engine */
	uint64_t memory;   /* tokens of prompts and outputs */
	usec_t read_until; /* when they are expected to be read */
	double recent_ms;  /* reading time of prompts lately sent there */
	usec_t recent_at;
	usec_t max_gap; /* shortest one of its streams; 0: none */
	uint32_t n_streams;
	uint32_t reported_running; /* by others */
	uint32_t reported_waiting;
	usec_t reported_at;
	uint32_t failures; /* pauses in a row */
	uint64_t failed_host;
	usec_t failed_at; /* 0: never */
	usec_t aside_until;
};

struct engine_load *engine_load_new(const char *id, uint64_t born_ms);
/* The prompt is sent to the engine. */
void engine_load_add(struct engine_load *e, const struct engine_norms *norms,
    struct prompt *p, uint64_t kv_tokens, usec_t now);
/* Its prompt is read.  Measures the rate of the engine. */
void engine_load_begun(struct engine_load *e, struct engine_norms *norms,
    struct prompt *p, usec_t now);
/* Its output is complete; to be removed next. */
void engine_load_completed(struct engine_load *e, struct engine_norms *norms,
    struct prompt *p, usec_t now);
/* It has left the engine. */
void engine_load_remove(struct engine_load *e, struct prompt *p, usec_t now);
void engine_load_reported(struct engine_load *e, uint32_t running,
    uint32_t waiting, uint32_t slowness, usec_t now);
/*
 * The engine refused or lost a request of a host.  It is set aside when two
 * hosts say so, as the fault may be that of one host's path.
 */
void engine_load_failed(struct engine_load *e, uint64_t host, usec_t now);

/* What the engine is doing at a moment, without regard to a request. */
struct engine_state {
	double slowness;  /* time that work takes, in times of a usual engine */
	double unread_ms; /* until all prompts there are read */
	/* Time of reading that streams there have lately met, or will. */
	double recent_ms;
	uint32_t active; /* requests there, also of others */
	uint64_t memory; /* tokens */
};

void engine_load_state(const struct engine_load *e,
    const struct engine_norms *norms, usec_t now, struct engine_state *out);
/* What is left of recent_ms after a time. */
double engine_load_recent(double recent_ms, usec_t time);
/* Expected time until a request there ends. */
double engine_load_next_end_ms(
    const struct engine_load *e, const struct engine_norms *norms, usec_t now);
/* Time of the longest prompt that is being read, at a usual engine. */
double engine_load_longest_ms(const struct engine_load *e);
void engine_load_free(struct engine_load *e);

#endif
