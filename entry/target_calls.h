/*
 * Calls to targets, on direct connections or by way of another host
 * (kernel/paths.h).
 *
 * A host without a path to a target sends the bytes of the call to another
 * host, to the address where that serves operators, in a POST that is
 * authenticated with an HMAC under the fleet key.  The other host makes the
 * call and returns the target's response.  It says so if it has sent nothing.
 * A call is sent to its target at most once, on either way.
 *
 * A call that needs the start that its target's entry names is sent on a
 * connection over which the target has reported that start
 * (kernel/target_start.h); without such a connection it ends with DIAL_UNSENT.
 *
 * Runs on the relay's thread.
 */
#ifndef ENTRY_TARGET_CALLS_H
#define ENTRY_TARGET_CALLS_H

#include "entry/httpd.h"
#include "entry/target_limits.h"
#include "entry/view.h"
#include "kernel/loads.h"
#include "kernel/run_promise.h"
#include "kernel/stopping.h"
#include "plat/dial.h"

#include <stdatomic.h>

/* URL of calls that other hosts make by way of this one. */
#define TARGET_CALLS_URL "/calls"

struct target_calls;
struct target_call;

struct target_calls_opts {
	struct event_base *base;
	struct dialer *dialer;
	struct loads *loads;
	struct target_limits *target_limits;
	const char *self; /* id of this host */
	const char *domain;
	const char *fleet_key;
	atomic_size_t *busy; /* counts the calls of other hosts in progress */
	/*
	 * The path to a service has been lost, and direct calls to it that are
	 * in progress have heard nothing for a while.  May cancel calls.
	 */
	void (*on_path_lost)(void *arg, const char *service);
	void *arg;
};

struct target_calls_counts {
	uint64_t sent_by_host;  /* calls made by way of another host */
	uint64_t made_for_host; /* calls made for another host */
	uint64_t cold_refused;  /* not made, as the target is cold */
	uint64_t paths_lost;    /* how often a path was lost */
	uint64_t stop_cut;      /* calls for hosts that the exit ended */
	/*
	 * Responses with a status that promises that nothing was run, by
	 * whether they state that besides.
	 */
	uint64_t promises[RUN_PROMISES][2];
};

struct target_calls *target_calls_new(const struct target_calls_opts *o);
/* Sets the live hosts, an array of struct view_peer. */
void target_calls_set_hosts(struct target_calls *x, const GArray *peers);
/*
 * The host stops: it makes no further calls for other hosts, and ends those
 * that would last until its exit a little before that.
 */
void target_calls_drain(
    struct target_calls *x, const struct stopping *stopping);
/*
 * Starts a call to a target; o is as for dial_start, with the target's address;
 * of its check only the number is set, to the start that the target must have
 * had, or 0.  Returns NULL if no connection could be started.
 */
struct target_call *target_call_start(struct target_calls *x,
    const struct target_load *t, const struct dial_opts *o);
/* Ends a call; its handler is not called again. */
void target_call_cancel(struct target_call *k);
/* As dial_has_input. */
bool target_call_has_input(const struct target_call *k);
/* As dial_written_at, of the call to the target or to another host. */
usec_t target_call_written_at(const struct target_call *k);
/* As dial_is_held, dial_unread, dial_waited, dial_pause and dial_keeps. */
bool target_call_is_held(const struct target_call *k);
usec_t target_call_unread(const struct target_call *k);
usec_t target_call_waited(const struct target_call *k);
void target_call_pause(struct target_call *k, bool paused);
void target_call_keeps(struct target_call *k, size_t n);
/* As dial_confirm. */
void target_call_confirm(struct target_call *k);
/* As paths_has_way. */
bool target_calls_has_way(const struct target_calls *x, const char *service);
/* Whether the call is made on a direct connection. */
bool target_call_is_direct(const struct target_call *k);
/*
 * In the handler of DIAL_BROKEN: whether the call was made by way of a host
 * that has ended or was lost, and nothing has come from the target, which may
 * have run it.
 */
bool target_call_lost_way(const struct target_call *k);
/*
 * Whether another host hasn't made the call as its target is cold: the target
 * has done nothing wrong.
 */
bool target_call_refused_cold(const struct target_call *k);
/* Serves a request of another host for a call, on TARGET_CALLS_URL. */
void target_calls_serve(struct target_calls *x, struct httpd_request *q);
/* Tests paths, and ends calls for other hosts; call it regularly. */
void target_calls_tick(struct target_calls *x, usec_t now);
struct target_calls_counts target_calls_counts(const struct target_calls *x);
/* Ends the calls for other hosts and all tests of paths. */
void target_calls_stop(struct target_calls *x);
/* It has been stopped, and the dialer has been freed. */
void target_calls_free(struct target_calls *x);

#endif
