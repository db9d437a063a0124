#include "entry/relayd.h"
#include "base/log.h"
#include "entry/relay.h"
#include "entry/discovery.h"
#include "entry/exit_guard.h"
#include "entry/stop_signal.h"
#include "kernel/stopping.h"
#include "plat/held.h"

#include <inttypes.h>
#include <stdio.h>
#include <unistd.h>

#define DRAIN_POLL_INTERVAL (50 * USEC_PER_MSEC)

static void
on_view(void *arg, struct view *v)
{
	relay_set_view(arg, v);
}

static void
on_datagram(void *arg, peer_letter *l)
{
	relay_receive(arg, l);
}

/* Time between two looks for signals. */
#define LOOK_INTERVAL (50 * USEC_PER_MSEC)

/* Blocks until the signal to stop arrives; returns its earliest time. */
static usec_t
wait_for_stop(struct stop_signal *stop)
{
	static const struct timespec now = { 0, 0 };
	sigset_t reload;
	usec_t at;

	sigemptyset(&reload);
	sigaddset(&reload, SIGHUP);
	while ((at = stop_signal_wait(stop, LOOK_INTERVAL)) == 0) {
		if (sigtimedwait(&reload, NULL, &now) == SIGHUP)
			LOG(LOG_LVL_NOTICE, "reload",
			    { "detail",
				STR("settings are only read at start") });
	}
	return at;
}

/*
 * Keeps serving until the load balancer has stopped routing here (drain_ms), no
 * request is in flight and the store has what this host found out, or until the
 * grace period (grace_s) is nearly over.
 */
static void
drain(const struct settings *settings, struct relay *r, struct discovery *d,
    usec_t signal_at)
{
	struct stopping s =
	    stopping_plan(signal_at, settings->drain, settings->grace);
	struct stopping_wait wait = { 0 };
	char late[32];

	exit_guard_start(s.forced_at);
	relay_drain(r);
	discovery_drain(d);
	snprintf(late, sizeof(late), "%" PRId64,
	    (clock_now() - signal_at) / USEC_PER_MSEC);
	LOG(LOG_LVL_NOTICE, "draining", { "id", str_from(settings->id) },
	    { "late_ms", str_from(late) });
	while ((!relay_finished(r) || !discovery_finish(d)) &&
	    !stopping_is_over(&s, &wait, clock_now()))
		usleep((useconds_t)DRAIN_POLL_INTERVAL);
	if (relay_finished(r) && !discovery_finish(d))
		log_text(LOG_LVL_WARNING, "stop-unsaved",
		    "the store has not confirmed what this host found out");
}

int
relayd_run(const struct settings *s, uint64_t incarnation,
    struct stop_signal *stop, struct err *e)
{
	struct host_memory *m = host_memory_open(s->memory_mb);
	struct relay *r =
	    relay_new(&(struct relay_opts){ s, incarnation, m, stop }, e);
	struct discovery *d;

	if (r == NULL) {
		host_memory_free(m);
		return e->kind;
	}
	d = discovery_new(
	    &(struct discovery_opts){
		.settings = s,
		.incarnation = incarnation,
		.memory = m,
		.publish_view = on_view,
		.relay_datagram = on_datagram,
		.arg = r,
	    },
	    e);
	if (d == NULL) {
		relay_free(r);
		host_memory_free(m);
		return e->kind;
	}
	relay_start(r, d);
	discovery_start(d);
	LOG(LOG_LVL_NOTICE, "started", { "listen", str_from(s->listen) },
	    { "failure_domain", str_from(s->failure_domain) });
	drain(s, r, d, wait_for_stop(stop));
	relay_stop(r);
	discovery_stop(d);
	relay_free(r);
	discovery_free(d);
	host_memory_free(m);
	return 0;
}
