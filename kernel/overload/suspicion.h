/*
 * Whether a host that did not answer may be chosen to coordinate.
 *
 * Load pattern: a coordinator is killed, or slow under load, while every other
 * host has jobs waiting at it.  Replaced by some hosts and not by others, it
 * has a second coordinator beside it that sends calls to the same targets.  So
 * a host that was heard lately is not replaced, a silent one is not chosen for
 * a time that is the same for all hosts, however many jobs wait at it, and one
 * that has restarted is not blamed for the silence before.
 *
 * A host that answers, but has no path to the targets of a service, doesn't
 * coordinate that service for a while.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_OVERLOAD_SUSPICION_H
#define KERNEL_OVERLOAD_SUSPICION_H

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>

struct suspicion {
	uint64_t incarnation; /* changes when the host restarts */
	usec_t until;         /* the host is not chosen until then */
	usec_t length;        /* of the last suspicion; 0: heard since */
	usec_t heard_at;      /* 0: never */
};

/* The host answered. */
void suspicion_heard(struct suspicion *s, usec_t now);
/*
 * A job that was sent to this incarnation of the host was not answered.
 * Returns whether the host becomes suspect by that.
 */
bool suspicion_unanswered(
    struct suspicion *s, uint64_t incarnation, usec_t now);
/* Whether the host must not be chosen. */
bool suspicion_is_suspect(const struct suspicion *s, usec_t now);
/* Whether the host was heard so lately that it must not be replaced. */
bool suspicion_is_alive(const struct suspicion *s, usec_t now);

/* Which services hosts don't coordinate, as they gave jobs of them back. */
struct declined {
	GHashTable *until; /* hash of service and host -> usec_t */
};

void declined_init(struct declined *d);
/* This incarnation of the host has given a job of the service back. */
void declined_add(struct declined *d, const char *service, const char *host,
    uint64_t incarnation, usec_t now);
/* Whether the host must not be chosen for the service. */
bool declined_has(const struct declined *d, const char *service,
    const char *host, uint64_t incarnation, usec_t now);
void declined_free(struct declined *d);

#endif
