/*
 * The asking side of a placer (kernel/overload/placement.h): which host places
 * the requests for a service, whether it is waited for, and when a request goes
 * on without its decision.
 *
 * Load pattern: the placer is killed, stands still, or runs an earlier build,
 * while every host has requests for it.  Each of them would be late by its
 * silence, so a request waits only for a host that has answered this one and
 * owes no answer; any other is asked without waiting until it answers, and the
 * host chooses by itself meanwhile.  A process that stood still doesn't act on
 * a decision of before.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_OVERLOAD_PLACEMENT_ASK_H
#define KERNEL_OVERLOAD_PLACEMENT_ASK_H

#include "kernel/overload/suspicion.h"

#include <stddef.h>

/* A live host, which may place requests. */
struct placer_host {
	const char *id;
	const char *domain;
	uint32_t capacity; /* thousandths of a core; 0: unknown */
	struct suspicion suspicion;
	uint32_t unanswered; /* asks in a row */
	usec_t asked_at;
	usec_t counted_at; /* when the last one was counted */
};

/*
 * Returns the index of the host that places the requests for the targets of a
 * service in a domain (empty: all) or a group of a divided one
 * (kernel/overload/engine_groups.h), or n if there is none.  The groups of a
 * domain are spread over its hosts by a hash; two may have the same one.
 */
size_t placer_choose(const struct placer_host *v, size_t n, const char *service,
    const char *domain, usec_t now);

enum placer_use {
	PLACER_WAIT,  /* ask it and wait for the reply */
	PLACER_PROBE, /* ask whether it answers, and don't wait */
	PLACER_SKIP   /* it was asked a moment ago and hasn't answered */
};

enum placer_use placer_use(const struct placer_host *h, usec_t now);
void placer_asked(struct placer_host *h, usec_t now);
/* The host has answered. */
void placer_heard(struct placer_host *h, usec_t now);
/*
 * An ask of a time was not answered; returns whether the host becomes suspect
 * by that, so that another one places.  Asks that were on their way at the same
 * time count once.
 */
bool placer_unanswered(struct placer_host *h, usec_t asked_at, usec_t now);

/* A request that waits for the placer. */
struct placement_ask {
	usec_t
	    heard_at;   /* since then no answer; at first the time of the ask */
	usec_t latest;  /* it goes on without a decision then */
	usec_t due;     /* of the next placement_ask_step */
	usec_t seen_at; /* when the process looked at it last */
	bool queued;    /* the placer has it, and decides later */
};

enum placement_ask_step {
	PLACEMENT_ASK_AGAIN,
	PLACEMENT_ASK_GIVE_UP, /* the placer is silent, or this process was */
	PLACEMENT_ASK_FULL     /* its placer has had no room for it in time */
};

/*
 * For how long a request waits for a decision that has so much time left; 0: it
 * isn't worth asking.
 */
usec_t placement_ask_time(usec_t left);

/* The request was sent to the placer. */
void placement_ask_begin(struct placement_ask *a, usec_t latest, usec_t now);
/*
 * The placer has answered that it decides later, or that it still has the
 * request.
 */
void placement_ask_queued(struct placement_ask *a, usec_t now);
/* What to do when the ask is due. */
enum placement_ask_step placement_ask_step(struct placement_ask *a, usec_t now);
/* Whether a decision that the placer made so long ago may be carried out. */
bool placement_ask_is_current(
    const struct placement_ask *a, usec_t age, usec_t now);

#endif
