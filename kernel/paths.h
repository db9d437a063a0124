/*
 * Whether this host has a path to the targets of a service, and by way of which
 * other host it calls them if it has none.
 *
 * Load pattern: some hosts, at times most of a failure domain, lose their paths
 * to all targets for seconds, while callers, the store and the other hosts
 * still reach them.  New connections hang or are refused, and open ones fall
 * silent, are reset, or live on.  To such a host all targets look as if they
 * had failed one by one; setting them aside leaves it none.  So connections
 * that fail at several targets, with none that succeeds in between, are blamed
 * on the path, and calls are made by way of hosts that have one.  A service
 * that is silent is tested with a connection, since calls on open connections
 * don't tell a lost path from slow targets.  A lost path is tested until a
 * connection succeeds.
 *
 * A struct paths has no lock: one thread owns it.  Times are in microseconds.
 */
#ifndef KERNEL_PATHS_H
#define KERNEL_PATHS_H

#include "base/clock.h"
#include "base/rng.h"
#include "kernel/bounds.h"

#include <glib.h>
#include <stdbool.h>

/* Another host, by way of which calls can be made. */
struct path_host {
	char id[MAX_NAME_BYTES + 1];
	char addr[MAX_ADDR_BYTES]; /* where it takes calls */
	char domain[MAX_NAME_BYTES + 1];
	uint64_t incarnation; /* changes when the host restarts */
	usec_t unreachable_until;
};

struct paths {
	GHashTable *services; /* name -> struct path_service */
	GArray *hosts;        /* struct path_host */
	char domain[MAX_NAME_BYTES + 1];
	struct rng rng;
	/* The paths to several services are lost, so that all count as lost. */
	bool lost;
};

void paths_init(struct paths *p, const char *domain, uint64_t seed);
/* Sets the other hosts, an array of struct path_host. */
void paths_set_hosts(struct paths *p, const GArray *hosts);

/*
 * A connection to a target has been made.  Returns whether the path to its
 * service is back by that.
 */
bool paths_connected(struct paths *p, const char *service, usec_t now);
/*
 * A connection to a target has failed.  n_targets: usable ones of the service.
 * Returns whether the path to the service is lost by that.
 */
bool paths_failed(struct paths *p, const char *service, const char *target,
    size_t n_targets, usec_t now);
/* A call on a direct connection begins; bytes of an answer arrive; it ends. */
void paths_call_begins(struct paths *p, const char *service, usec_t now);
void paths_call_heard(struct paths *p, const char *service, usec_t now);
void paths_call_ends(struct paths *p, const char *service, usec_t now);

/* Whether calls to the service are to be made on direct connections. */
bool paths_is_direct(const struct paths *p, const char *service);
/* Whether direct calls to the service wait, and none has heard anything. */
bool paths_is_silent(const struct paths *p, const char *service, usec_t now);
/*
 * Returns to how many targets of the service a connection is to be tried now,
 * and notes that they are.
 */
size_t paths_tests_due(struct paths *p, const char *service, usec_t now);
/*
 * Returns a host by way of which a call to the service can be made, one of this
 * host's failure domain if possible; NULL: none is known to be usable.  Valid
 * until the hosts are set.
 */
const struct path_host *paths_choose_host(
    struct paths *p, const char *service, usec_t now);
/* The host can't be reached. */
void paths_host_failed(struct paths *p, const char *id, usec_t now);
/* The host has no room for the call. */
void paths_host_full(struct paths *p, const char *id, usec_t now);
/* The host makes no calls for others. */
void paths_host_unable(struct paths *p, const char *id, usec_t now);
/* The host has no path to the service either. */
void paths_host_without(
    struct paths *p, const char *id, const char *service, usec_t now);
/*
 * None of the hosts that were tried has made a call to the service, or one has.
 */
void paths_no_host(struct paths *p, const char *service);
void paths_host_called(struct paths *p, const char *service);
/*
 * Whether this host can have calls to the service made: on direct connections,
 * or by way of a host that hasn't been found unable.
 */
bool paths_has_way(const struct paths *p, const char *service);
void paths_free(struct paths *p);

#endif
