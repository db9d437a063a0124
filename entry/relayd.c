#include "entry/relayd.h"
#include "base/log.h"
#include "entry/relay.h"
#include "entry/steward.h"

#include <unistd.h>

#define DRAIN_STEP (50 * USEC_PER_MSEC)

static void
on_view(void *arg, struct view *v)
{
	relay_view(arg, v);
}

static void
on_letter(void *arg, peer_letter *l)
{
	relay_letter(arg, l);
}

/*
 * Serves on until the balancer has looked away and no request is under way,
 * or until the grace is over.
 */
static void
drain(const struct settings *s, struct relay *r, struct steward *st)
{
	usec_t start = clock_now();

	LOG(LOG_LVL_NOTICE, "draining", { "id", str_from(s->id) });
	relay_drain(r);
	steward_drain(st);
	while (clock_now() - start < s->drain)
		usleep((useconds_t)DRAIN_STEP);
	relay_close(r, start + s->grace);
	do
		usleep((useconds_t)DRAIN_STEP);
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
	struct steward *st;

	if (r == NULL)
		return e->kind;
	st = steward_new(
	    &(struct steward_opts){
		.settings = s,
		.incarnation = incarnation,
		.view = on_view,
		.letter = on_letter,
		.arg = r,
	    },
	    e);
	if (st == NULL) {
		relay_free(r);
		return e->kind;
	}
	relay_start(r, st);
	steward_start(st);
	LOG(LOG_LVL_NOTICE, "started", { "listen", str_from(s->listen) },
	    { "failure_domain", str_from(s->failure_domain) });
	wait_for_end(set);
	drain(s, r, st);
	steward_stop(st);
	relay_stop(r);
	relay_free(r);
	steward_free(st);
	return 0;
}
