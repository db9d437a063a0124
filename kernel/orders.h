/*
 * Plans the orders that bring the targets of one service to their desired
 * state.  Only the sequoiad that holds the service's lease sends orders.
 *
 * Invariants:
 *  - No order is sent without a lease that is valid at that time.
 *  - At most loading_cap percent of the targets (at least one) change at once,
 *    and a new state is first tried on one target.
 *  - After a failure no further order is sent until the desired state changes
 *    or the lease is acquired again.
 *  - An order names the complete desired state, so that it may be repeated.  A
 *    different order is sent to a target only after its last order was
 *    answered or order_timeout has passed.
 *  - Where fencing is ignored, a new lease holder sends nothing until the
 *    previous lease and the longest order must have ended.
 *
 * Times are from clock_now(), which counts suspends.  A lease's end is
 * calculated from the time before the lease was requested.  There is no lock:
 * one thread uses a struct orders.
 */
#ifndef KERNEL_ORDERS_H
#define KERNEL_ORDERS_H

#include "kernel/conf.h"

#include <glib.h>

#define ORDERS_ADAPTERS 256 /* bytes */

/* The state that a target serves or should serve. */
struct orders_state {
	char model[MAX_NAME_BYTES + 1];
	char version[MAX_NAME_BYTES + 1];
	char adapters[ORDERS_ADAPTERS]; /* sorted, separated by spaces */
	char role[MAX_NAME_BYTES + 1];  /* empty: any */
};

enum orders_report {
	ORDERS_READY,
	ORDERS_LOADING,
	ORDERS_FAILED,   /* loading the reported state has failed */
	ORDERS_NO_ANSWER /* no answer to the state read */
};

enum orders_reply {
	ORDERS_ACCEPTED,
	ORDERS_FENCED,  /* the fencing number is outdated */
	ORDERS_REFUSED, /* the target can't serve the state */
	ORDERS_LOST     /* no answer: the order may have taken effect */
};

enum orders_phase {
	ORDERS_TARGET_UNKNOWN, /* its state has to be read */
	ORDERS_TARGET_READING,
	ORDERS_TARGET_UP_TO_DATE,
	ORDERS_TARGET_OUTDATED,
	ORDERS_TARGET_ORDERED, /* an order is in flight */
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
	bool changing;     /* an order may still be taking effect */
	bool seen;         /* read since the desired state or lease changed */
	usec_t read_at;    /* last state read or reply */
	usec_t ordered_at; /* time of the last order; 0: none */
	usec_t next_order_at; /* earliest time for a different order */
};

struct orders_opts {
	uint32_t loading_cap; /* percent of the targets */
	enum fencing fencing;
	usec_t order_timeout;
	usec_t lease_ttl;
};

struct orders {
	struct orders_opts opts;
	struct orders_state desired;
	struct orders_target *v;
	size_t n;
	GHashTable *by_addr; /* address -> index + 1 */
	size_t cursor;       /* index of the target to check next */
	size_t counts[ORDERS_TARGET_PHASES];
	size_t changing;
	size_t unseen; /* targets not read yet; no order is sent before 0 */
	bool lease_held;
	uint64_t fencing; /* fencing number: the lease's revision */
	usec_t lease_until;
	usec_t no_order_before;
	enum orders_halt halt;
	char halt_addr[MAX_ADDR_BYTES];
	bool halt_unreported; /* not yet taken by orders_take_halt() */
};

enum orders_action_kind {
	ORDERS_NOTHING,
	ORDERS_READ,
	ORDERS_SEND
};

struct orders_action {
	enum orders_action_kind kind;
	char addr[MAX_ADDR_BYTES];
	struct orders_state desired; /* ORDERS_SEND */
	uint64_t fencing;            /* ORDERS_SEND: fencing number */
	usec_t not_after;            /* ORDERS_SEND: end of the lease */
	usec_t wake_at; /* ORDERS_NOTHING: latest time of the next call */
};

void orders_init(struct orders *o, const struct orders_opts *opts);
/* The desired state of a service from its configuration. */
void orders_desired_state(
    const struct conf_service *s, struct orders_state *out);
/* Sets the desired state; a different state ends a halt. */
void orders_set_desired(struct orders *o, const struct orders_state *desired);
void orders_set_opts(struct orders *o, const struct orders_opts *opts);
/* Sets the live targets of the service; removes all others. */
void orders_set_targets(struct orders *o, const char *const *addrs, size_t n);
/* Sets the lease as last renewed; held is false if it is lost or released. */
void orders_set_lease(
    struct orders *o, usec_t now, bool held, uint64_t revision, usec_t until);
/* Takes the next action; to be called until it returns ORDERS_NOTHING. */
void orders_next(struct orders *o, usec_t now, struct orders_action *a);
/*
 * Whether an order may still be sent; to be checked immediately before sending
 * it.  An order that may not be sent is reported as ORDERS_LOST.
 */
bool orders_may_send(
    const struct orders *o, const struct orders_action *a, usec_t now);
/* Processes the result of a state read; state may be NULL without an answer. */
void orders_on_report(struct orders *o, usec_t now, const char *addr,
    enum orders_report report, const struct orders_state *state);
/* Processes the reply to an order. */
void orders_on_reply(
    struct orders *o, usec_t now, const char *addr, enum orders_reply reply);
/* Writes a log line and returns true, once for each halt. */
bool orders_take_halt(struct orders *o, struct buf *line);
/* The reason code of a halt: "load-failed", "refused" ... */
const char *orders_halt_name(enum orders_halt h);
void orders_free(struct orders *o);

#endif
