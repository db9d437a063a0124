/*
 * Internal state of the placements: placements.c has the calls and asks of this
 * host, placement_groups.c the groups of engines and their placers,
 * placement_domains.c which group a request asks, placement_news.c the
 * messages.
 */
#ifndef ENTRY_PLACEMENTS_STATE_H
#define ENTRY_PLACEMENTS_STATE_H

#include "entry/placements.h"
#include "kernel/overload/placement_ask.h"

#include <event2/event.h>

struct placer_peer {
	struct view_peer p;
	struct placer_host host; /* points to the strings of p */
};

/*
 * The engines of a service in a domain, or a group of them, and the host that
 * places there.
 */
struct engine_group {
	char *key;
	char service[64];
	char domain[ENGINE_GROUP_NAME_BYTES]; /* or name of the group */
	bool has_placer;
	bool is_self;
	char placer[MAX_ADDR_BYTES]; /* RPC address */
	uint64_t incarnation;        /* of the placer */
	usec_t chosen_at;
	GArray *events; /* peer_place_event that wait to be sent */
	uint32_t n_calls;
	bool told_calls; /* the last list wasn't empty */
	usec_t listed_at;
};

struct engine_call {
	uint64_t number;
	struct engine_group *group;
	struct placement_request request;
	placement_handler handler; /* NULL: it isn't waited for */
	void *arg;
	struct placement_ask ask;
	usec_t asked_at;
	usec_t sent_at; /* the last message */
	char placer[MAX_ADDR_BYTES];
	char target[64]; /* empty: not known yet */
	bool begun;
};

struct placements {
	struct placements_opts o;
	struct placer *own;
	struct routes *routes;
	GArray *peers;       /* struct placer_peer */
	GHashTable *groups;  /* key -> struct engine_group */
	GHashTable *calls;   /* number -> struct engine_call */
	GHashTable *waiting; /* set of struct engine_call */
	/* Service and domain -> struct engine_count */
	GHashTable *engine_counts;
	struct stage_waits waits;
	uint64_t n_numbers;
	usec_t flush_at; /* 0: there are no news */
	usec_t query_at; /* of calls that wait; 0: there are none */
	usec_t timer_at; /* 0: it isn't set */
	struct event *timer;
	/* Numbers of calls to ask this host's own placer for. */
	GArray *own_asks;
	struct event *own_event;
	struct placements_counts counts;
};

/* Has the timer of news and asks run at a time, or before. */
void placements_wake_by(struct placements *p, usec_t at, usec_t now);

/* Returns the host with this RPC address, or NULL. */
struct placer_peer *placements_find_peer(
    const struct placements *p, const char *rpc);
struct engine_group *placements_group(
    struct placements *p, const char *service, const char *domain);
/*
 * Returns all groups (struct engine_group).  News to this host's own placer may
 * add one while they are gone through.
 */
GPtrArray *placements_groups(const struct placements *p);
void placements_free_group(gpointer group);
/* Returns an empty array of peer_place_event, which owns their strings. */
GArray *placements_new_events(void);
/* Returns the host that places for a group, or NULL. */
struct placer_peer *placements_choose(
    struct placements *p, struct engine_group *g, usec_t now);
/*
 * Returns the host that placements_choose would return for the group of a
 * service in a domain, whether or not there is such a group yet; or NULL.
 */
const struct placer_peer *placements_current(const struct placements *p,
    const char *service, const char *domain, usec_t now);
bool placements_is_self(
    const struct placements *p, const struct placer_peer *x);
/* Asks whether a placer answers, unless that was done a moment ago. */
void placements_probe(struct placements *p, struct engine_group *g,
    struct placer_peer *x, usec_t now);
/* Finds out whether the placers answer, before they are needed. */
void placements_meet(struct placements *p, usec_t now);

/* A failure domain with engines of a service; all of a service not split. */
struct engine_domain {
	const char *name;         /* empty: the service isn't split */
	const GPtrArray *engines; /* struct target_load */
};

/* Returns an array of struct engine_domain, which points into the loads. */
GArray *placements_engine_domains(
    const struct placements *p, const char *service);
/* Returns the number of groups into which a domain is divided; 1: it isn't. */
uint32_t placements_n_groups(const struct placements *p, const char *service,
    const struct engine_domain *d);
/* Notes how many engines the domains have; call it regularly. */
void placements_count_engines(struct placements *p, usec_t now);

/* Adds an item to the news, which takes over what it points to. */
void placements_add_fact(
    struct placements *p, struct engine_group *g, const peer_place_fact *f);
void placements_add_call_fact(
    struct placements *p, const struct engine_call *c, peer_place_kind kind);
/* Tells the placer of a call whose target this host has chosen. */
void placements_tell_sent(struct placements *p, struct engine_call *c);
/* Tells a new placer all calls, as it knows none. */
void placements_tell_all(struct placements *p, struct engine_group *g);
void placements_flush(struct placements *p);
/* Tells the placer which calls run. */
void placements_send_list(
    struct placements *p, struct engine_group *g, usec_t now);
/* Queries how the calls stand that wait at the placer of a group. */
void placements_query(struct placements *p, struct engine_group *g, usec_t now);
/* Sends an ask, with news, to a placer; without a call only to be answered. */
void placements_send_ask(struct placements *p, struct engine_group *g,
    const struct engine_call *c, usec_t now);

#endif
