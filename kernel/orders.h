/*
 * The plan of orders that brings the runners of one service to their wanted
 * state, held by the one sequoiad that has the service's lease.
 *
 * Invariants: nothing is sent without a lease that is in force at that time;
 * at most loading_cap percent of the runners (at least one) change at once,
 * and a new state is first tried on one; after a failure no further order
 * goes out until the wanted state changes.  An order names the whole wanted
 * end state, so a repeated one does no harm; a different one goes to a runner
 * only when its last order was answered or order_timeout has passed.  Where
 * fencing is ignored a new sender sends nothing before the old lease and the
 * longest order have passed.
 *
 * Times are of the clock that counts suspends.  A lease's end is counted from
 * the moment before it was asked for.
 */
#ifndef KERNEL_ORDERS_H
#define KERNEL_ORDERS_H

#include "kernel/conf.h"

#include <glib.h>

#define ORDERS_ADAPTERS 256 /* bytes */

/* What a runner serves or should serve. */
struct orders_state {
	char model[MAX_NAME_BYTES + 1];
	char version[MAX_NAME_BYTES + 1];
	char adapters[ORDERS_ADAPTERS]; /* sorted, separated by blanks */
	char role[MAX_NAME_BYTES + 1];  /* empty: any */
};

enum orders_report {
	ORDERS_READY,
	ORDERS_LOADING,
	ORDERS_FAILED, /* loading the state that it names has failed */
	ORDERS_SILENT  /* no answer to the reading */
};

enum orders_reply {
	ORDERS_ACCEPTED,
	ORDERS_FENCED,  /* the fencing number is old */
	ORDERS_REFUSED, /* the runner can't do it */
	ORDERS_LOST     /* no answer: it may have taken effect */
};

enum orders_phase {
	ORDERS_TARGET_UNKNOWN, /* to be read */
	ORDERS_TARGET_READING,
	ORDERS_TARGET_UP_TO_DATE,
	ORDERS_TARGET_OUTDATED,
	ORDERS_TARGET_ORDERED, /* the reply is awaited */
	ORDERS_TARGET_LOADING,
	ORDERS_TARGET_FAILED,
	ORDERS_TARGET_PHASES
};

enum orders_halt {
	ORDERS_HALT_NONE,
	ORDERS_HALT_LOAD_FAILED,
	ORDERS_HALT_REFUSED,
	ORDERS_HALT_TIMEOUT /* loading took longer than ORDERS_LOAD_TIMEOUT */
};

#define ORDERS_LOAD_TIMEOUT (15 * 60 * USEC_PER_SEC)

struct orders_target {
	char addr[MAX_ADDR_BYTES];
	enum orders_phase phase;
	bool changing;     /* an order of ours may still be at work */
	bool seen;         /* read, or found silent, since all were forgotten */
	usec_t read_at;    /* last reading */
	usec_t ordered_at; /* 0: no order */
	usec_t next_order_at; /* before it no different order may be sent */
};

struct orders_opts {
	uint32_t loading_cap; /* percent */
	enum fencing fencing;
	usec_t order_timeout;
	usec_t lease_ttl;
};

struct orders {
	struct orders_opts opts;
	struct orders_state wanted;
	struct orders_target *v;
	size_t n;
	GHashTable *by_addr; /* address -> index + 1 */
	size_t cursor;
	size_t counts[ORDERS_TARGET_PHASES];
	size_t changing;
	size_t unseen; /* no order goes out before all were read once */
	bool lease_held;
	uint64_t fencing; /* revision of the lease */
	usec_t lease_until;
	usec_t no_order_before; /* nothing is sent before */
	enum orders_halt halt;
	char halt_addr[MAX_ADDR_BYTES];
	bool halt_unreported; /* not yet taken by orders_take_halt */
};

enum orders_action_kind {
	ORDERS_NOTHING,
	ORDERS_READ,
	ORDERS_SEND
};

struct orders_action {
	enum orders_action_kind kind;
	char addr[MAX_ADDR_BYTES];
	struct orders_state wanted; /* SEND */
	uint64_t fencing;           /* SEND */
	usec_t not_after;           /* SEND: the lease's end */
	usec_t wake_at;             /* NOTHING: ask again by then */
};

void orders_init(struct orders *o, const struct orders_opts *opts);
/* The wanted state of a service, adapters sorted. */
void orders_wanted(const struct conf_service *s, struct orders_state *out);
/* Another wanted state lifts a halt. */
void orders_set_wanted(struct orders *o, const struct orders_state *wanted);
void orders_set_opts(struct orders *o, const struct orders_opts *opts);
/* The runners of the service that live; others are forgotten. */
void orders_set_targets(struct orders *o, const char *const *addrs, size_t n);
/* The lease as last renewed; held = false when it is lost or given up. */
void orders_set_lease(
    struct orders *o, usec_t now, bool held, uint64_t revision, usec_t until);
/* What to do next; call it until it says ORDERS_NOTHING. */
void orders_next(struct orders *o, usec_t now, struct orders_action *a);
/*
 * To be asked right before the bytes of an order go out.  An order that may
 * not be sent is reported as ORDERS_LOST.
 */
bool orders_may_send(
    const struct orders *o, const struct orders_action *a, usec_t now);
/* The answer to a reading; state may be NULL when silent. */
void orders_on_report(struct orders *o, usec_t now, const char *addr,
    enum orders_report report, const struct orders_state *state);
/* The answer to an order. */
void orders_on_reply(
    struct orders *o, usec_t now, const char *addr, enum orders_reply reply);
/* True once after each halt: a line for the log. */
bool orders_take_halt(struct orders *o, struct buf *line);
/* "load-failed", "refused", ... */
const char *orders_halt_name(enum orders_halt h);
void orders_free(struct orders *o);

#endif
