#include "entry/relayd.h"
#include "base/log.h"
#include "entry/relay.h"
#include "entry/discovery.h"

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

/*
 * Serves on until the balancer has looked away and no request is under way,
 * or until the grace is over.
 */
static void
drain(const struct settings *s, struct relay *r, struct discovery *st)
{
	usec_t start = clock_now();

	LOG(LOG_LVL_NOTICE, "draining", { "id", str_from(s->id) });
	relay_drain(r);
	discovery_drain(st);
	while (clock_now() - start < s->drain)
		usleep((useconds_t)DRAIN_POLL_INTERVAL);
	relay_set_exit_time(r, start + s->grace);
	do
		usleep((useconds_t)DRAIN_POLL_INTERVAL);
	while (relay_busy(r) > 0 && clock_now() - start < s->grace);
}

/* Blocks until a signal asks for the end. */
static void
wait_for_end(const sigset_t *set)
{
	int sig;

	while (sigwait(set, &sig) == 0 && sig == SIGHUP)
		LOG(LOG_LVL_NOTICE, "reload",
		    { "detail", STR("settings hold until the next start") });
}

int
relayd_run(const struct settings *s, uint64_t incarnation, const sigset_t *set,
    struct err *e)
{
	struct relay *r = relay_new(&(struct relay_opts){ s, incarnation }, e);
	struct discovery *st;

	if (r == NULL)
		return e->kind;
	st = discovery_new(
	    &(struct discovery_opts){
		.settings = s,
		.incarnation = incarnation,
		.publish_view = on_view,
		.stage_datagram = on_datagram,
		.arg = r,
	    },
	    e);
	if (st == NULL) {
		relay_free(r);
		return e->kind;
	}
	relay_start(r, st);
	discovery_start(st);
	LOG(LOG_LVL_NOTICE, "started", { "listen", str_from(s->listen) },
	    { "failure_domain", str_from(s->failure_domain) });
	wait_for_end(set);
	drain(s, r, st);
	discovery_stop(st);
	relay_stop(r);
	relay_free(r);
	discovery_free(st);
	return 0;
}
