/*
 * A stand-in of the platform on loopback: its store and its targets, on one
 * thread of the test's process.  Functions may be called from the test's
 * thread; each takes the world's lock.
 */
#ifndef TESTS_PLATFORM_WORLD_H
#define TESTS_PLATFORM_WORLD_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

#define WORLD_MAX_TARGETS 16

struct world;

enum world_store {
	WORLD_STORE_OK,
	WORLD_STORE_SILENT, /* takes calls and never answers */
	WORLD_STORE_BUSY,   /* 503 */
	WORLD_STORE_RESET
};

struct world_target {
	const char *id;
	const char *service;
	const char *domain;
	uint16_t port;
	uint16_t via; /* the port in its entry; 0: its own */
};

/* What a target has seen of one attempt. */
struct world_seen {
	uint32_t arrivals;
	uint32_t runs;
	char target[64]; /* of the last run */
	char head[2048]; /* of the last arrival */
	usec_t last;     /* when the last arrival came */
	bool gone;       /* its connection closed before the answer */
};

/* The store listens on port. */
struct world *world_start(uint16_t port);
void world_store(struct world *w, enum world_store mode);
void world_put(struct world *w, const char *key, const char *value);
void world_delete(struct world *w, const char *key);
/* Starts a target and enters it in the store. */
void world_add_target(struct world *w, const struct world_target *o);
/* Enters it as leaving, and as ready. */
void world_drain_target(struct world *w, const char *id);
void world_ready_target(struct world *w, const char *id);
/* When the last call to a target came. */
usec_t world_last_call(struct world *w, const char *id);
/* It answers nothing and resets its connections; and works again. */
void world_stop_target(struct world *w, const char *id, bool stopped);
/* Its id is another one from now on, at the same address. */
void world_replace_target(struct world *w, const char *id, const char *other);
/* False if no target has seen the attempt. */
bool world_seen(struct world *w, const char *attempt, struct world_seen *out);
/* Pieces that were made, and calls that made them. */
void world_pieces(struct world *w, uint32_t *pieces, uint32_t *calls);
/* The store has forgotten the changes before now. */
void world_forget(struct world *w);
/* Attempts that ran twice or more though their id begins with "once". */
uint32_t world_doubles(struct world *w);
void world_stop(struct world *w);

#endif
