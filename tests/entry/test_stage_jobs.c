/* Asks of a host that has just started wait until it knows the others. */
#include "entry/stage_jobs.h"

#include <stdlib.h>
#include <string.h>

#define SETTLE (3600 * USEC_PER_SEC) /* longer than any run of this test */

struct rig {
	struct event_base *base;
	struct loads loads;
	struct coordinator *coordinator;
	struct stage_jobs *asks;
	int replies;
};

/* The argument of an ask, which owns it. */
struct waiter {
	struct rig *rig;
};

static void
on_reply(void *arg, const peer_piece_reply *r)
{
	struct waiter *w = arg;

	g_assert_true(r->refused);
	w->rig->replies++;
}

static void
on_local(void *arg, const peer_piece_reply *r)
{
	stage_jobs_reply(((struct rig *)arg)->asks, NULL, r);
}

static const char *
on_find_coordinator(void *arg, const char *service)
{
	(void)arg;
	(void)service;
	return "";
}

static void
on_fetched(void *arg, struct str handles)
{
	(void)arg;
	(void)handles;
}

/* A host without routes: its home refuses what it is asked for. */
static void
open_rig(struct rig *g, usec_t settle)
{
	memset(g, 0, sizeof(*g));
	g->base = event_base_new();
	loads_init(&g->loads, "", 1);
	g->coordinator = coordinator_new(&(struct coordinator_opts){
	    .base = g->base,
	    .loads = &g->loads,
	    .reply = on_local,
	    .find_coordinator = on_find_coordinator,
	    .inputs_fetched = on_fetched,
	    .arg = g,
	});
	g->asks = stage_jobs_new(&(struct stage_jobs_opts){
	    .self = "a", .incarnation = 1, .peer_wait = settle });
	stage_jobs_set_coordinator(g->asks, g->coordinator);
}

static void
close_rig(struct rig *g)
{
	stage_jobs_free(g->asks);
	coordinator_free(g->coordinator);
	loads_free(&g->loads);
	event_base_free(g->base);
}

static uint64_t
ask(struct rig *g)
{
	struct waiter *w = xcalloc(1, sizeof(*w));

	w->rig = g;
	return stage_jobs_submit(g->asks,
	    &(struct stage_job_opts){
		.service = STR("s"),
		.id = STR("r-1"),
		.n = 1,
		.key = STR("k"),
		.deadline = clock_now() + 2 * SETTLE,
		.soft_deadline = clock_now() + 2 * SETTLE,
		.handler = on_reply,
		.arg = w,
	    });
}

static void
test_settle(void)
{
	static const struct {
		const char *name;
		usec_t settle;
		bool cancelled;
		usec_t later;     /* the tick */
		uint64_t at_once; /* asks that the home has seen */
		uint64_t after;
	} cases[] = {
		{ "alone", 0, false, 0, 1, 1 },
		{ "not settled", SETTLE, false, SETTLE / 2, 0, 0 },
		{ "settled", SETTLE, false, SETTLE + USEC_PER_SEC, 0, 1 },
		{ "cancelled", SETTLE, true, SETTLE + USEC_PER_SEC, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rig g;
		uint64_t number;

		g_test_message("%s", cases[i].name);
		open_rig(&g, cases[i].settle);
		number = ask(&g);
		g_assert_cmpuint(coordinator_counts(g.coordinator).refused, ==,
		    cases[i].at_once);
		if (cases[i].cancelled)
			stage_jobs_cancel(g.asks, number);
		stage_jobs_tick(g.asks, clock_now() + cases[i].later);
		g_assert_cmpuint(coordinator_counts(g.coordinator).refused, ==,
		    cases[i].after);
		event_base_loop(g.base, EVLOOP_NONBLOCK);
		g_assert_cmpint(g.replies, ==, (int)cases[i].after);
		close_rig(&g);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/asks/settle", test_settle);
	return g_test_run();
}
