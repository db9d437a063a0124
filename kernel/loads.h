/*
 * Loads of the targets as this host knows them, and the choice of a target for
 * a call.
 *
 * Load reports come with answers and are old when they arrive; a target's load
 * is its last report plus this host's calls sent since.  Load patterns: hosts
 * that read the same reports would all choose the same target, so ties are
 * broken at random, and a target that may have cached a prompt's shared parts
 * is preferred unless its load is much higher.  A target that fails is set
 * aside, unless that would leave none.  A target that turns requests away looks
 * idle, so it would be chosen again at once: if it asks this host for a rest,
 * it gets nothing until then.
 *
 * A struct loads has no locks: one thread owns it.  Times are in microseconds.
 */
#ifndef KERNEL_LOADS_H
#define KERNEL_LOADS_H

#include "base/rng.h"
#include "kernel/evacuations.h"
#include "kernel/overload/target_brittle.h"
#include "kernel/overload/target_cold.h"
#include "kernel/overload/target_limit.h"
#include "kernel/overload/target_pace.h"
#include "kernel/overload/target_speed.h"
#include "kernel/roster.h"
#include "kernel/routes.h"

#define LOADS_MAX_TRIED 8
/* Longer than a target goes on after its entry was removed. */
#define LOADS_KEEP_TIME (300 * USEC_PER_SEC)

/* A target and its load as this host knows it. */
struct target_load {
	struct target_entry entry;
	uint64_t born_ms;  /* latest start that an entry named; 0: none did */
	usec_t restart_at; /* when an entry named a later start; 0: none did */
	/*
	 * Another start than the entry's that the target has reported; 0: none.
	 */
	uint64_t seen_born_ms;
	bool listed;        /* in the newest target list */
	usec_t unlisted_at; /* when that ended; 0: it hasn't */
	/*
	 * The target reported that it is leaving, or another target now has its
	 * address.
	 */
	bool leaving;
	bool evacuated;      /* its failure domain is (kernel/evacuations.h) */
	uint64_t group_hash; /* kernel/overload/engine_groups.h */
	uint32_t in_flight;  /* calls of this host */
	uint32_t sent_since; /* calls of this host since the last report */
	uint32_t reported;   /* running and waiting calls in the last report */
	usec_t reported_at;
	struct target_pace pace;
	uint64_t unread;           /* prompt tokens of this host's calls */
	struct target_speed speed; /* of its stage calls */
	uint32_t failures;         /* in a row */
	struct target_limit limit;
	struct target_brittle brittle;
	struct target_cold cold;
	usec_t cold_read_at; /* read_at of the entry that cold is from */
	bool cold_noted;     /* as loads_next_cold_change() returned it */
	bool bad_limit;      /* its last answer named a malformed one */
	bool bad_cold;       /* its last answer named a malformed cold time */
	usec_t aside_until;
	/* The target has asked this host for no request until then. */
	usec_t rest_until;
};

struct loads {
	GHashTable *by_id;   /* id -> struct target_load */
	GHashTable *by_addr; /* address -> listed struct target_load */
	/* name -> GPtrArray of usable struct target_load */
	GHashTable *by_service;
	GHashTable *evacuated; /* names of failure domains */
	/* name -> GPtrArray of those that would be usable but for these */
	GHashTable *withheld;
	/* name -> GPtrArray of struct loads_domain, sorted by name */
	GHashTable *domains;
	char domain[64]; /* of this host */
	struct rng rng;
	/* The live hosts, among which limits of targets are shared. */
	GPtrArray *host_ids;
	struct target_limit_hosts hosts;
	struct target_cold_hosts cold_hosts;
	/* service -> struct target_cold_rule, of those with a bound */
	GHashTable *cold_rules;
	uint64_t n_chosen; /* choices of targets of such services */
};

/* The usable targets of a service in one failure domain. */
struct loads_domain {
	char name[64];
	GPtrArray *targets; /* struct target_load */
};

/* What bars a target from a call. */
enum loads_bar {
	LOADS_FREE,
	LOADS_UNLISTED,  /* it is missing in the newest list */
	LOADS_LEAVING,   /* it takes no new calls */
	LOADS_EVACUATED, /* its failure domain is */
	LOADS_TRIED,     /* the request was sent to it, or wasn't */
	LOADS_VERSION,   /* its software has another version, or is unsure */
	LOADS_RESTING,   /* it has asked for no request until later */
	LOADS_BRITTLE,   /* it bears no more calls or refusals now */
	LOADS_COLD,      /* it bears few requests until it is warm */
	LOADS_LIMITED,   /* by the limit that it names */
	LOADS_ASIDE,     /* after failures: used if there are no others */
	LOADS_BARS
};

/* A target of a service, as the choice for a call sees it. */
struct loads_option {
	const struct target_load *target;
	enum loads_bar bar;
	double cost;       /* in milliseconds; without the random part */
	double active;     /* calls that it is taken to have */
	usec_t report_age; /* negative: it has not reported */
	usec_t free_in;    /* resting or set aside: until its end; else 0 */
};

/* What a call needs from its target. */
struct loads_query {
	const char *service;
	bool engine;            /* the service's targets are model engines */
	uint64_t prefix;        /* hash of the largest shared part; 0: none */
	uint32_t shared_tokens; /* tokens that a target may have cached */
	double urgency;         /* 0 to 1; target_cold_cost() */
	usec_t max_gap; /* longest pause between events that is on time */
	struct str input_addr; /* address of the first input; may be empty */
	uint64_t input_bytes;
	struct str version; /* of the target's software; empty: any */
	bool sure_version;  /* its entry must be that of its last start */
	struct str tried[LOADS_MAX_TRIED]; /* ids of targets */
	size_t n_tried;
	bool again; /* only targets that were tried, else only others */
};

void loads_init(struct loads *l, const char *domain, uint64_t seed);
/*
 * Updates the targets from a newer list of struct target_entry.
 *
 * A list may be older than one before it: entries lapse while the store is
 * unavailable, and a store that is restored from a copy lists what was there
 * some seconds ago.  So what is known of a target holds until it has been
 * missing for LOADS_KEEP_TIME, or restarts.  An entry that isn't newer than the
 * one that said that the target leaves doesn't end that; and if a target was
 * missing and is listed with an entry that isn't newer, it is used only if that
 * is still there after ROSTER_GRACE_TIME.
 */
void loads_update(struct loads *l, const GArray *targets, usec_t now);
/* Sets the live hosts; self is the id of this one. */
void loads_set_hosts(struct loads *l, const struct rendezvous_host *v, size_t n,
    const char *self, usec_t now);
/* Whether the hosts are those of the list in the store, and newer ones. */
void loads_set_hosts_listed(struct loads *l, bool listed, usec_t now);
/*
 * Sets the services whose cold targets bear few requests, for the lists that
 * come after: service -> struct target_cold_rule, which l takes over.
 */
void loads_set_cold_rules(struct loads *l, GHashTable *rules);
/* An answer of the target says for how long it is cold; target_cold.h. */
void loads_cold(const struct loads *l, struct target_load *t, usec_t left,
    usec_t sent_at, usec_t now);
/*
 * Returns a target that has become cold, or isn't any more, since this last
 * returned it; or NULL.
 */
struct target_load *loads_next_cold_change(struct loads *l, usec_t now);
/*
 * Sets the evacuations in force (struct evacuation): the targets of their
 * failure domains are not usable meanwhile, without exception.  The share of
 * those that are usable again rises from now on.
 */
void loads_set_evacuated(
    struct loads *l, const GArray *evacuations, usec_t now);
/*
 * Whether the service has no usable target because the domains of those that it
 * has are evacuated.
 */
bool loads_is_evacuated(const struct loads *l, const char *service);
/* The targets that would be usable if their domains weren't evacuated. */
size_t loads_withheld(const struct loads *l);
/* Whether no target has been listed so far. */
bool loads_is_empty(const struct loads *l);
/*
 * Returns the target with the lowest cost, or NULL if the service has none.
 * Targets that are set aside are used only if there are no others.
 */
struct target_load *loads_choose(
    struct loads *l, const struct loads_query *q, usec_t now);
/*
 * The same for a request that a placer could place: returns a target only if it
 * is cold or its share rises, so that placers leave it to its owners.
 */
struct target_load *loads_choose_owned(
    struct loads *l, const struct loads_query *q, usec_t now);
/*
 * What loads_choose would return now.  Changes nothing, so that later choices
 * are as without it.
 */
struct target_load *loads_peek(
    struct loads *l, const struct loads_query *q, usec_t now);
/*
 * Returns all targets of the query's service that are known, usable or not, as
 * struct loads_option, by id.
 */
GArray *loads_explain(
    const struct loads *l, const struct loads_query *q, usec_t now);
const char *loads_bar_name(enum loads_bar b);
/*
 * Whether the service has a usable target of the version that was not tried,
 * also one that takes no calls now.
 */
bool loads_has_other(const struct loads *l, const struct loads_query *q);
/*
 * Returns which of some targets has affinity for the shared parts of a prompt,
 * of which prefix is the hash, or NULL.
 */
const struct target_load *loads_affinity_target(
    const GPtrArray *targets, uint64_t prefix);
/* Domain of the target with affinity for the prompt's shared parts, or "". */
const char *loads_affinity_domain(
    const struct loads *l, const struct loads_query *q);
/*
 * Domain in which the call had best be made, as far as that depends on its
 * inputs and shared parts; this host's if they don't matter.
 */
const char *loads_home_domain(
    const struct loads *l, const struct loads_query *q);
/* Whether loads_choose may choose the target, also if others are better. */
bool loads_takes(const struct loads *l, const struct loads_query *q,
    const struct target_load *t, usec_t now);
/* Domain of the target at an address, or "". */
const char *loads_domain_at(const struct loads *l, struct str addr);
/* Service of the target at an address, or "". */
const char *loads_service_at(const struct loads *l, struct str addr);
struct target_load *loads_find(struct loads *l, const char *id);
/*
 * Whether the target of an entry is still listed at the entry's address.  If it
 * isn't, connections to that address may reach another target by now.
 */
bool loads_is_there(struct loads *l, const struct target_entry *e);
/* Usable targets of a service as struct target_load, or NULL. */
const GPtrArray *loads_usable(const struct loads *l, const char *service);
/*
 * The domains of a service that is split by failure domain (struct
 * loads_domain), or NULL if it is not split (kernel/overload/spill.h).
 */
const GPtrArray *loads_domains(const struct loads *l, const char *service);
/*
 * Usable targets of a service for a coordinator in a domain: those of the
 * domain if the service is split and has targets there, else all.
 */
const GPtrArray *loads_usable_in(
    const struct loads *l, const char *service, const char *domain);

/*
 * Time until a target of the service may be sent a request, if the limits or
 * rests of all of them forbid it now; else 0.
 */
usec_t loads_limit_wait(const struct loads *l, const char *service, usec_t now);
/*
 * The limit of the target has changed, or what this host may use of it
 * (kernel/overload/target_limit.h).
 */
void loads_limit_changed(
    const struct loads *l, struct target_load *t, usec_t now);

/* Counts a call that was sent to the target. */
void loads_sent(struct target_load *t, usec_t now);
/*
 * The same for a call that is made for another host, unless the target is cold
 * and bears no more; counted: as in target_cold_serves().
 */
bool loads_serve(struct target_load *t, bool counted, usec_t now);
/* The same for a host that alone calls the target. */
void loads_sent_alone(struct target_load *t, usec_t now);
/* Counts a request of such a host that is no call. */
void loads_spend_alone(struct target_load *t, usec_t now);
/*
 * Records a load report: calls running and waiting at the target, and how long
 * work takes there (100: as usual; 0: it doesn't say).
 */
void loads_report(struct target_load *t, uint32_t running, uint32_t waiting,
    uint32_t slowness, usec_t now);
/*
 * A call brings an engine a prompt of so many tokens.  Returns those that it
 * probably doesn't keep, which it reads until loads_read() or the end of the
 * call.
 */
uint32_t loads_reading(const struct loads *l, struct target_load *t,
    const struct loads_query *q, uint32_t tokens);
/* They are read.  Unknown ids are ignored. */
void loads_read(struct loads *l, const char *id, uint32_t tokens);
enum loads_result {
	LOADS_OK,    /* the target is healthy and answered */
	LOADS_FULL,  /* refused: full of other hosts' calls, but healthy */
	LOADS_FAILED /* the call failed because of the target */
};
/* Ends the accounting of a call of this host.  Unknown ids are ignored. */
void loads_ended(
    struct loads *l, const char *id, enum loads_result result, usec_t now);
/* Set a target aside, as loads_ended() does on LOADS_FULL and LOADS_FAILED. */
void loads_full(struct target_load *t, usec_t now);
void loads_failed(struct target_load *t, usec_t now);
/* Uses a target again that was set aside. */
void loads_unset_aside(struct target_load *t);
/*
 * Number of idle connections that a host keeps to a target that accepts
 * max_conns from all hosts together: an even share, at least 1.  0 means any
 * number.
 */
uint32_t loads_conn_share(uint32_t max_conns, uint32_t hosts);
/*
 * The target has turned a request of this host away and wants none for a time.
 * Unlike a target that is set aside, it isn't used as a last resort either.
 */
void loads_rest(struct target_load *t, usec_t time, usec_t now);
/* Whether a limit, or that the target is cold, bounds what may be sent to it.
 */
bool loads_is_limited(const struct target_load *t, usec_t now);
/*
 * Whether the target's limit and rest, its state if it is brittle and its time
 * to become warm allow a request of this host now.
 */
bool loads_allows(const struct target_load *t, usec_t now);
/* The same for a host that alone calls the target, one call after the other. */
bool loads_allows_alone(const struct target_load *t, usec_t now);
/*
 * An answer of a target says, or doesn't say, that it is brittle; returns
 * whether the other hosts are to be told.
 */
bool loads_brittle(const struct loads *l, struct target_load *t,
    const struct brittle_answer *a, usec_t now);
/*
 * Another host tells what limit a target named at a time (target_limit.h); it
 * doesn't count if the target has restarted since.
 */
bool loads_limit_told(
    struct target_load *t, double rate, usec_t named_at, usec_t now);
/* Another host tells what the target said at a time. */
void loads_brittle_told(const struct loads *l, struct target_load *t,
    const struct brittle_answer *a, usec_t said_at);
/*
 * The target has reported a start that isn't its entry's: its version is
 * unknown until its entry names another start.
 */
void loads_saw_start(struct target_load *t, uint64_t born_ms);
/* Marks a target that takes no new calls from now on. */
void loads_mark_leaving(struct loads *l, struct target_load *t);
void loads_free(struct loads *l);

#endif
