/*
 * A load scenario of the model, read from an INI file.
 *
 * [run]: seconds, window (s), seed, report_delay_ms.
 *
 * [service NAME]: targets, batch, call_ms, item_ms, result_bytes, ttl_ms.
 *
 * [kind NAME]: rate (1/s), soft_ms, deadline_ms, deadline_spread (callers wait
 * for up to this share less), rank, retries, patient (no: comes back at once),
 * first_event_ms, first_event_limit_ms (callers leave after this without an
 * event), stages (SERVICE:PIECES:BYTES ..., one after the other).
 *
 * [fault NAME]: at_s, for_s, and one of: kind, x (arrivals are multiplied);
 * service, slow, share (slow targets); service, crash = yes, share.
 *
 * All times are in microseconds once read.
 */
#ifndef MODEL_SCENARIO_H
#define MODEL_SCENARIO_H

#include "base/clock.h"
#include "base/err.h"
#include "kernel/routes.h"

#define MODEL_MAX_KINDS    8
#define MODEL_MAX_SERVICES 8
#define MODEL_MAX_FAULTS   16

struct model_service {
	char name[32];
	uint32_t targets;
	struct pool_config pool;
};

struct model_stage {
	uint32_t service;
	uint32_t pieces;
	uint64_t bytes;
};

struct model_kind {
	char name[32];
	double rate; /* requests per second */
	usec_t soft_deadline;
	usec_t deadline;
	double deadline_spread;
	usec_t first_event_limit; /* 0: callers wait until their deadline */
	uint32_t rank;
	uint32_t retries;
	bool impatient; /* comes back at once, whatever Retry-After says */
	usec_t first_event;
	struct model_stage stages[ROUTE_MAX_STAGES];
	uint32_t n_stages;
};

enum model_fault_type {
	MODEL_FAULT_BURST,
	MODEL_FAULT_SLOW,
	MODEL_FAULT_CRASH
};

struct model_fault {
	enum model_fault_type type;
	usec_t at;
	usec_t end;
	uint32_t index; /* of the kind or the service */
	double x;       /* factor of the arrivals or of the durations */
	double share;   /* of the targets */
};

struct scenario {
	usec_t length;
	usec_t window;
	uint64_t seed;
	usec_t report_delay; /* age of the waits that hosts know */
	struct model_service services[MODEL_MAX_SERVICES];
	uint32_t n_services;
	struct model_kind kinds[MODEL_MAX_KINDS];
	uint32_t n_kinds;
	struct model_fault faults[MODEL_MAX_FAULTS];
	uint32_t n_faults;
};

/*
 * Reads a scenario.  On failure returns ERR_CONFIG or ERR_IO and sets e to a
 * text with file, line, key, the value found and what to write instead.
 */
int scenario_read(struct scenario *s, const char *path, struct err *e);

#endif
