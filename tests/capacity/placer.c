/* What a placer costs: bytes of its messages, and processor time a request. */
#include "tests/capacity/capacity.h"
#include "entry/placer.h"
#include "kernel/overload/placement.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>

#define REQUESTS     20000
#define PER_ENGINE   8 /* requests that run at an engine at a time */
#define PROMPT_PARTS 4
#define LEARN_TIME   1100000
#define TICK         100000

struct placing {
	struct placer *placer;
	const char *domain; /* or name of a group (engine_groups.h) */
	peer_place_reply reply;
};

static void
on_reply(void *arg, const peer_place_reply *r)
{
	((struct placing *)arg)->reply = *r;
}

static void
add_engines(struct loads *l, size_t n)
{
	struct target_entry t = { .service = "e", .domain = "d", .slots = 16 };
	g_autoptr(GArray) v = g_array_new(FALSE, TRUE, sizeof(t));

	for (size_t i = 0; i < n; i++) {
		snprintf(t.id, sizeof(t.id), "engine-%zu", i);
		snprintf(t.addr, sizeof(t.addr), "10.1.0.1:%zu", 1000 + i);
		g_array_append_val(v, t);
	}
	loads_update(l, v, clock_now());
}

static void
set_engine_service(struct placer *p)
{
	struct routes *t = routes_new();
	struct service s = { .name = str_dup(STR("e")),
		.has_engine = true,
		.engine = { 16, 400000 } };

	g_array_append_val(t->services, s);
	routes_freeze(t);
	placer_set_routes(p, t);
	routes_unref(t);
}

static void
ask(struct placing *x, uint64_t call)
{
	peer_part parts[PROMPT_PARTS];

	for (u_int i = 0; i < PROMPT_PARTS; i++)
		parts[i] =
		    (peer_part){ i + 1 < PROMPT_PARTS ? call % 200 + i : call,
			    300 };
	placer_ask(x->placer, NULL, 7,
	    &(peer_place_ask){
		.call = call,
		.size = { { PROMPT_PARTS, parts }, 1200, 100, 0 },
		.aim_left_ms = 2000,
		.left_ms = 8000,
		.max_gap_ms = 400,
		.software = (char *)"",
		.input_domain = (char *)"",
		.news = { .service = (char *)"e", .domain = (char *)x->domain },
	    });
}

static void
tell(struct placing *x, peer_place_kind kind, uint64_t call)
{
	peer_place_event e = { .fact.kind = kind };
	peer_place_news m = { .service = (char *)"e",
		.domain = (char *)x->domain,
		.events = { 1, &e } };

	e.fact.peer_place_fact_u.call = call;
	placer_news(x->placer, NULL, 7, &m);
}

static void
measure_engines(const char *what, const char *domain, size_t n)
{
	struct event_base *base = event_base_new();
	struct loads loads;
	struct placing x = { .domain = domain };
	usec_t end = clock_now() + LEARN_TIME;
	uint64_t running = n * PER_ENGINE;
	double begun;

	loads_init(&loads, "d", 1);
	add_engines(&loads, n);
	x.placer = placer_new(&(struct placer_opts){ .base = base,
	    .loads = &loads,
	    .incarnation = 7,
	    .reply = on_reply,
	    .arg = &x });
	set_engine_service(x.placer);
	ask(&x, 0);
	while (clock_now() < end) {
		g_usleep(TICK);
		placer_tick(x.placer, clock_now());
	}
	ask(&x, 1);
	if (x.reply.verdict != PLACEMENT_SEND) {
		fprintf(stderr, "the placer doesn't decide\n");
		exit(1);
	}
	begun = cpu_usec();
	for (uint64_t i = 2; i <= REQUESTS; i++) {
		ask(&x, i);
		tell(&x, PEER_PLACE_BEGUN, i);
		if (i > running)
			tell(&x, PEER_PLACE_COMPLETED, i - running);
	}
	record_point(what, (double)n, (cpu_usec() - begun) / REQUESTS);
	placer_free(x.placer);
	loads_free(&loads);
	event_base_free(base);
}

void
measure_placer(void)
{
	static const char one[] =
	    "a placed request at its placer, us per engine";
	static const char groups[] =
	    "a placed request at the placer of a group, us per engine";

	measure_engines(one, "", 8);
	measure_engines(one, "", 28);
	measure_engines(one, "", 64);
	measure_engines(one, "", 256);
	/* The same number in a group, on average. */
	measure_engines(groups, "#0/2", 128);
	measure_engines(groups, "#0/8", 512);
}
