/*
 * Placements: asks the placer of an engine service (entry/placer.h) where a
 * request of this host is sent, and tells it what becomes of the request.
 *
 * The placer of the engines in a failure domain is the first live host in a
 * rendezvous order (kernel/overload/placement_ask.h).  A request never depends
 * on it: without a reply in time the host chooses a target by itself, and tells
 * the placer which one.  News go with the next ask to the placer, or after a
 * short time; a list of this host's calls each second makes up for those that
 * were lost, and a new placer is told all calls.
 *
 * Runs on the relay's thread.  Times are in microseconds.
 */
#ifndef ENTRY_PLACEMENTS_H
#define ENTRY_PLACEMENTS_H

#include "entry/placer.h"
#include "kernel/overload/engine_groups.h"
#include "kernel/overload/placement.h"
#include "kernel/overload/stage_waits.h"

struct placements;

struct placements_opts {
	struct event_base *base;
	struct rpc *rpc;
	const struct loads *loads;
	const char *self;     /* id of this host */
	uint64_t incarnation; /* of this host */
	/* The fewest hosts with which placers are asked; 0: they never are. */
	uint32_t min_hosts;
};

/* Why a host has chosen a target by itself. */
enum placement_cause {
	PLACEMENT_NOT_ASKED,   /* not in force, or not a first call */
	PLACEMENT_BY_PLACER,   /* it hasn't */
	PLACEMENT_NO_PLACER,   /* none is known to answer */
	PLACEMENT_NO_REPLY,    /* in time */
	PLACEMENT_TOO_LONG,    /* it was queued for half of its time */
	PLACEMENT_NO_DECISION, /* the placer leaves it to the host */
	PLACEMENT_TOO_OLD,     /* the process stood still meanwhile */
	PLACEMENT_VETOED,      /* the host knows better than the placer */
	PLACEMENT_CAUSES
};

const char *placement_cause_name(enum placement_cause c);

enum placement_end {
	PLACEMENT_READ,   /* its target has read the prompt and is well */
	PLACEMENT_LOST,   /* its target has refused it or failed */
	PLACEMENT_DROPPED /* by this host or its caller */
};

/* How a call got its target, for the log. */
struct placed {
	enum placement_cause cause;
	char host[MAX_ADDR_BYTES]; /* RPC address of the placer; or empty */
	usec_t waited;             /* for the decision */
	usec_t first_event;        /* expected time until it */
	uint32_t to_read;
	uint32_t reading;
	uint32_t running;
	usec_t known; /* age of the placer's last news; negative: none */
};

/* What becomes of an ask. */
struct placement_result {
	enum placement_verdict verdict;
	const char *target; /* PLACEMENT_SEND */
	usec_t wait;        /* PLACEMENT_FULL */
	struct placed placed;
};

typedef void (*placement_handler)(
    void *arg, const struct placement_result *result);

struct placement_call_opts {
	const char *service;
	const char *domain; /* as placements_domain writes it */
	/* Host and number are set here. */
	const struct placement_request *request;
	/*
	 * Called once, unless the call is ended before; never from within
	 * placements_ask.
	 */
	placement_handler handler;
	void *arg;
};

struct placements_counts {
	uint64_t by_cause[PLACEMENT_CAUSES];
	uint64_t full;
	uint64_t queued;  /* asks that were not decided at once */
	uint64_t changes; /* of a placer */
	uint64_t news;    /* messages */
};

/* What decides whose placer a request asks. */
struct placements_prompt {
	const char *service;
	const char *home; /* failure domain; empty: this host's */
	uint64_t prefix;  /* hash of the shared parts; 0: there are none */
	uint64_t random;  /* of the request */
};

struct placements *placements_new(const struct placements_opts *o);
/* Sets this host's own placer. */
void placements_set_placer(struct placements *p, struct placer *own);
/* Sets the configuration in force. */
void placements_set_routes(struct placements *p, struct routes *routes);
/* Sets the live hosts, an array of struct view_peer. */
void placements_set_peers(struct placements *p, const GArray *peers);
/* Whether requests to engines are placed. */
bool placements_in_force(const struct placements *p);
/*
 * Writes the domain whose placer is asked: home, or another one where the wait
 * is clearly shorter; empty if the service isn't split.  Of a divided domain it
 * is the name of a group (kernel/overload/engine_groups.h): that of the engine
 * with affinity for the prompt's shared parts, or another one with a clearly
 * shorter wait, which goes before other domains.
 */
void placements_domain(const struct placements *p,
    const struct placements_prompt *q, char out[ENGINE_GROUP_NAME_BYTES]);
/* Writes the same of an engine of a service that a host has chosen by itself.
 */
void placements_target_domain(const struct placements *p,
    const struct target_load *t, char out[ENGINE_GROUP_NAME_BYTES]);
/*
 * Asks for the target of a call; returns the call's number, or 0 if the host
 * has to choose it by itself, with the cause in *cause.
 */
uint64_t placements_ask(struct placements *p,
    const struct placement_call_opts *o, enum placement_cause *cause);
/*
 * Notes a call that this host sends by its own choice, for which o has no
 * handler; returns its number.
 */
uint64_t placements_sent(struct placements *p,
    const struct placement_call_opts *o, const char *target);
/* The first event of a call has come. */
void placements_begun(struct placements *p, uint64_t call);
/*
 * A call has ended, or its decision isn't needed or not carried out.  Unknown
 * numbers are ignored.
 */
void placements_ended(
    struct placements *p, uint64_t call, enum placement_end end);
/* The target of a call has named its load. */
void placements_reported(struct placements *p, uint64_t call, uint32_t running,
    uint32_t waiting, uint32_t slowness);
void placements_count(struct placements *p, enum placement_cause cause);

/* Whom placements_ask would ask. */
struct placements_view {
	/* PLACEMENT_BY_PLACER, or why none would be asked. */
	enum placement_cause cause;
	bool is_self;              /* the placer is this host's own */
	char host[MAX_ADDR_BYTES]; /* RPC address of the placer; or empty */
};

/* Asks nobody and changes nothing. */
struct placements_view placements_peek(const struct placements *p,
    const char *service, const char *domain, usec_t deadline);
/*
 * Handles a reply. from: RPC address of the placer, or NULL for this host's
 * own.
 */
void placements_reply(
    struct placements *p, const char *from, const peer_place_reply *r);
void placements_tick(struct placements *p, usec_t now);
struct placements_counts placements_counts(const struct placements *p);
void placements_free(struct placements *p);

#endif
