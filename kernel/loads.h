/*
 * What this host knows of the load of each target, and the choice among the
 * targets of a service.
 *
 * Reports ride on answers and are old when they come; so each target's load
 * is its last report and the calls of this host that were sent since.  Load
 * patterns: many hosts that read the same reports would all choose the same
 * target, so ties are broken at random and a prompt's shared parts decide
 * before small differences in load; a target that fails is set aside, unless
 * that would leave none.
 */
#ifndef KERNEL_LOADS_H
#define KERNEL_LOADS_H

#include "base/rng.h"
#include "kernel/roster.h"
#include "kernel/routes.h"

#define LOADS_MAX_TRIED 8

struct target_load {
	struct target_entry entry;
	bool listed;         /* in the newest view */
	bool leaving;        /* it said itself that it leaves, or is another */
	uint32_t in_flight;  /* calls of this host */
	uint32_t sent_since; /* since the last report */
	uint32_t reported;   /* running and waiting */
	usec_t reported_at;
	uint32_t failures; /* in a row */
	usec_t aside_until;
};

struct loads {
	GHashTable *by_id;   /* id -> struct target_load */
	GHashTable *by_addr; /* address -> listed struct target_load */
	GHashTable
	    *by_service; /* name -> GPtrArray of usable struct target_load */
	char domain[64]; /* of this host */
	struct rng rng;
};

struct loads_query {
	const char *service;
	bool engine;
	uint64_t prefix;        /* hash of the largest shared part; 0: none */
	uint32_t shared_tokens; /* that a target may have kept */
	struct str input_addr; /* where the first of its inputs lies; or empty */
	uint64_t input_bytes;
	struct str tried[LOADS_MAX_TRIED]; /* ids not to use again */
	size_t n_tried;
};

void loads_init(struct loads *l, const char *domain, uint64_t seed);
/* A newer list of targets; struct target_entry. */
void loads_update(struct loads *l, const GArray *targets);
/* The best target for a wish, or NULL if there is none to use. */
struct target_load *loads_choose(
    struct loads *l, const struct loads_query *w, usec_t now);
/* The domain of the target that keeps a prompt's shared parts, or "". */
const char *loads_affinity_domain(
    const struct loads *l, const struct loads_query *w);
/* The domain of the target at an address, or "". */
const char *loads_domain_at(const struct loads *l, struct str addr);
/* The service of the target at an address, or "". */
const char *loads_service_at(const struct loads *l, struct str addr);
struct target_load *loads_find(struct loads *l, const char *id);
/* Usable targets of a service; an array of struct target_load, or NULL. */
const GPtrArray *loads_usable(const struct loads *l, const char *service);

void loads_sent(struct target_load *t);
void loads_report(
    struct target_load *t, uint32_t running, uint32_t waiting, usec_t now);
enum loads_result {
	LOADS_OK,   /* an answer of its own came */
	LOADS_FULL, /* it took no call, as others have filled it; it is sound */
	LOADS_FAILED /* the call failed for its sake */
};
/* A call of this host is over; a target that is not known is passed over. */
void loads_ended(
    struct loads *l, const char *id, enum loads_result how, usec_t now);
/* What the latter two do to a target. */
void loads_full(struct target_load *t, usec_t now);
void loads_failed(struct target_load *t, usec_t now);
/*
 * How many idle connections a host keeps to a target that accepts so many of
 * all hosts together: its part, and one at the least; 0: any number.
 */
uint32_t loads_conn_share(uint32_t max_conns, uint32_t hosts);
/* It takes nothing new from now on. */
void loads_mark_leaving(struct loads *l, struct target_load *t);
void loads_free(struct loads *l);

#endif
