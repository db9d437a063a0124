/*
 * Route table: maps a request's host, path and API key to a route and its
 * services.
 *
 * A table is one version of the operators' configuration.  It is immutable once
 * frozen, shared between threads and reference counted.  A look-up costs a hash
 * and a linear search of the prefixes of one host.  Times are in microseconds.
 */
#ifndef KERNEL_ROUTES_H
#define KERNEL_ROUTES_H

#include "base/clock.h"
#include "base/str.h"

#include <glib.h>

#define ROUTE_MAX_STAGES 8
#define ROUTE_MAX_PIECES 1024 /* of one stage of a request */
#define RANK_NONE        (-1)

enum route_kind {
	ROUTE_IDEMPOTENT,
	ROUTE_ONCE,  /* a request runs at most once */
	ROUTE_STREAM /* as ROUTE_ONCE unless resumable */
};

/* A stage whose pieces are processed before the request itself can run. */
struct route_stage {
	uint32_t service;
	uint32_t after; /* bit i: it needs the results of stage i */
	uint64_t bytes; /* estimated size of one result */
	bool last;      /* no stage follows: the request takes its results */
};

struct route_share {
	uint32_t service;
	uint32_t weight;
};

struct route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	enum route_kind kind;
	bool resumable;
	bool open; /* no key is needed */
	uint32_t attempts;
	int rank; /* 0 is the most urgent */
	usec_t timeout;
	/*
	 * Soft deadline: time to the complete answer, or to the first event of
	 * a stream.
	 */
	usec_t objective;
	usec_t max_event_gap; /* longest pause between events that is on time */
	/* Callers abandon a stream without an event after this; 0: never. */
	usec_t first_event_limit;
	struct route_share *shares;
	size_t n_shares;
	struct route_stage stages[ROUTE_MAX_STAGES];
	size_t n_stages;
	/* The version that defines it, if it is invalid in the table's; or 0.
	 */
	uint64_t kept_from;
	bool invalid;
};

/* Capacity of a target of a stage service. */
struct pool_config {
	uint32_t slots;        /* concurrent calls */
	uint32_t queue;        /* calls that may wait */
	uint32_t batch;        /* pieces per call */
	usec_t call_cost;      /* cost of a call without its pieces */
	usec_t item_cost;      /* estimated cost of a piece */
	usec_t result_ttl;     /* time that a result is kept */
	uint64_t result_bytes; /* bytes for results */
};

struct engine_config {
	uint32_t slots;
	uint64_t tokens; /* tokens that fit into its memory */
};

struct service {
	char *name;
	uint32_t max_conns; /* of one target, from all callers */
	double cold_per_s;  /* requests a second to a cold target; 0: any */
	bool has_pool;
	bool has_engine;
	struct pool_config pool;
	struct engine_config engine;
};

struct key_owner {
	char *name;
	int rank; /* replaces the route's rank unless RANK_NONE */
};

struct routes {
	uint64_t version;
	GPtrArray *routes;  /* struct route */
	GPtrArray *invalid; /* struct route: name, host, prefix, or NULLs */
	GArray *services;   /* struct service */
	GPtrArray *owners;  /* struct key_owner: workspaces */
	/* host -> GPtrArray of struct route, longest prefix first */
	GHashTable *hosts;
	GHashTable *keys; /* struct str -> struct key_owner */
	bool keyed;       /* requests carry keys */
	int least_rank;   /* the largest of all routes and owners */
	/* Limits of a request's header section and body. */
	size_t head_bytes;
	size_t body_bytes;
	usec_t head_timeout;
	usec_t idle_timeout;
	gint refs;
};

struct routes *routes_new(void);
/* Adds r and takes ownership of it. */
void routes_add(struct routes *t, struct route *r);
/*
 * Adds a route that can't be used, and takes ownership of it.  Its name, and
 * its host and prefix, may be NULL.
 */
void routes_add_invalid(struct routes *t, struct route *r);
/* Returns the index of a service by name, or -1. */
int routes_find_service(const struct routes *t, struct str name);
void routes_add_key(struct routes *t, struct str key, struct key_owner *o);
/* Builds the indexes.  Nothing may be added afterwards. */
void routes_freeze(struct routes *t);
/*
 * Puts the last valid version of each invalid route in its place, with the
 * services that t lacks for it.  It is that with the same host and prefix or,
 * if these can't be read, with the same name.  before is the table in force; t
 * is frozen and not yet shared.
 */
void routes_keep_valid(struct routes *t, const struct routes *before);
struct routes *routes_ref(struct routes *t);
void routes_unref(struct routes *t);

/*
 * Returns the route with the longest prefix of the target's path, or NULL, also
 * if that route is invalid.  The target is that of the request line; its query
 * is ignored.
 */
const struct route *routes_find(
    const struct routes *t, struct str host, struct str target);
/* Whether the route with the longest prefix is invalid. */
bool routes_is_invalid(
    const struct routes *t, struct str host, struct str target);
/* Returns the owner of a key, or NULL.  Keys are compared in constant time. */
const struct key_owner *routes_key_owner(
    const struct routes *t, struct str key);
/* Returns the service that a request goes to; equal ids give the same one. */
uint32_t route_pick_service(const struct route *r, struct str id);
/* Whether a request that was sent may be sent again. */
bool route_repeatable(const struct route *r);
const struct service *routes_service_at(const struct routes *t, uint32_t i);
void route_free(struct route *r);

#endif
