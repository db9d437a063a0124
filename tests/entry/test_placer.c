/*
 * Tests of the placer and of the hosts that ask it: what it answers while it
 * learns, when datagrams are lost or late, and when hosts end; and that a
 * request is never held by a placer that is silent, paused or replaced; and
 * which placer is asked where a domain has many engines.
 */
#include "entry/placements.h"
#include "platform/config.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SELF       "127.0.0.1:25690" /* also stands for the placer */
#define LEARN_TIME 1100000           /* a bit longer than placers learn */
#define MS         USEC_PER_MSEC

static const char config[] =
    "{\"Version\":1,\"Routes\":[],\"Services\":[{\"Name\":\"e\","
    "\"MaxConns\":9,\"Engine\":{\"Slots\":4,\"KvTokens\":9000}},"
    "{\"Name\":\"plain\",\"MaxConns\":9}],"
    "\"Limits\":{\"MaxHeaderBytes\":8192,\"MaxBodyBytes\":10000,"
    "\"HeaderTimeoutMs\":1000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}";

struct fixture {
	struct event_base *base;
	struct loads loads;
	struct rpc *rpc;
	struct placer *placer;
	struct placements *placements;
	GArray *replies; /* peer_place_reply, to asks that have no address */
	/* Of the messages that the host has sent. */
	GMutex lock;
	uint32_t n_asks; /* also those without a call */
	uint32_t n_sent; /* calls whose targets the host has told */
	uint32_t n_listed;
	/* Of the request. */
	uint32_t n_results;
	struct placement_result result;
	char target[64];
};

static void
on_reply(void *arg, const peer_place_reply *r)
{
	struct fixture *g = arg;
	peer_place_reply copy = *r;

	copy.target = (char *)g_intern_string(r->target);
	g_array_append_val(g->replies, copy);
}

/* The placer of the test is this process: it only counts. */
static void
on_letter(void *arg, peer_letter *l)
{
	struct fixture *g = arg;
	const peer_place_news *news = NULL;

	g_mutex_lock(&g->lock);
	if (l->body.kind == PEER_PLACE_ASK) {
		g->n_asks++;
		news = &l->body.peer_body_u.place_ask.news;
	} else if (l->body.kind == PEER_PLACE_NEWS) {
		news = &l->body.peer_body_u.place_news;
	}
	for (u_int i = 0; news != NULL && i < news->events.events_len; i++)
		g->n_sent +=
		    news->events.events_val[i].fact.kind == PEER_PLACE_SENT;
	g->n_listed += news != NULL && news->listed;
	g_mutex_unlock(&g->lock);
}

static void
ignore_query(void *arg, const peer_query *q, peer_result *r)
{
	(void)arg;
	(void)q;
	(void)r;
}

static void
add_targets(struct fixture *g)
{
	struct target_entry t = { .service = "e", .domain = "d", .slots = 4 };
	g_autoptr(GArray) v = g_array_new(FALSE, TRUE, sizeof(t));

	for (int i = 0; i < 2; i++) {
		snprintf(t.id, sizeof(t.id), "t%d", i);
		snprintf(t.addr, sizeof(t.addr), "127.0.0.1:%d", 25600 + i);
		g_array_append_val(v, t);
	}
	loads_update(&g->loads, v, clock_now());
}

static void
open_fixture(struct fixture *g)
{
	struct err e;
	struct routes *routes = platform_config_parse(str_from(config), &e);

	memset(g, 0, sizeof(*g));
	g_mutex_init(&g->lock);
	g->base = event_base_new();
	g->replies = g_array_new(FALSE, TRUE, sizeof(peer_place_reply));
	loads_init(&g->loads, "d", 1);
	add_targets(g);
	g->rpc = rpc_start(
	    &(struct rpc_opts){
		.id = "b",
		.addr = SELF,
		.fleet_key = "key",
		.deliver = on_letter,
		.fetch = ignore_query,
		.arg = g,
	    },
	    &e);
	g_assert_nonnull(g->rpc);
	g->placer = placer_new(&(struct placer_opts){
	    .base = g->base,
	    .rpc = g->rpc,
	    .loads = &g->loads,
	    .incarnation = 1,
	    .reply = on_reply,
	    .arg = g,
	});
	placer_set_routes(g->placer, routes);
	routes_unref(routes);
	g->placements = placements_new(&(struct placements_opts){
	    .base = g->base,
	    .rpc = g->rpc,
	    .loads = &g->loads,
	    .self = "a",
	    .incarnation = 1,
	    .min_hosts = 1,
	});
	placements_set_placer(g->placements, g->placer);
}

static void
close_fixture(struct fixture *g)
{
	placements_free(g->placements);
	placer_free(g->placer);
	rpc_stop(g->rpc);
	rpc_free(g->rpc);
	loads_free(&g->loads);
	g_array_unref(g->replies);
	event_base_free(g->base);
	g_mutex_clear(&g->lock);
}

/* Sets the live hosts: the other one, with this incarnation. */
static void
set_hosts(struct fixture *g, uint64_t incarnation)
{
	struct view_peer p = { .id = "b",
		.rpc = SELF,
		.domain = "d",
		.capacity = 1000,
		.incarnation = incarnation };
	g_autoptr(GArray) v = g_array_new(FALSE, TRUE, sizeof(p));

	g_array_append_val(v, p);
	placements_set_peers(g->placements, v);
}

static void
run_for(struct fixture *g, usec_t t)
{
	usec_t end = clock_now() + t;

	while (clock_now() < end) {
		event_base_loop(g->base, EVLOOP_NONBLOCK);
		g_usleep(500);
	}
}

static void
on_result(void *arg, const struct placement_result *r)
{
	struct fixture *g = arg;

	g->n_results++;
	g->result = *r;
	g_strlcpy(
	    g->target, r->target != NULL ? r->target : "", sizeof(g->target));
}

static struct placement_request
request(void)
{
	return (struct placement_request){
		.parts = { { 7, 300 }, { 8, 100 } },
		.n_parts = 2,
		.prompt_tokens = 400,
		.output_tokens = 50,
		.aim = clock_now() + USEC_PER_SEC,
		.deadline = clock_now() + 2 * USEC_PER_SEC,
	};
}

static uint64_t
ask(struct fixture *g, enum placement_cause *cause)
{
	struct placement_request q = request();

	return placements_ask(g->placements,
	    &(struct placement_call_opts){
		.service = "e",
		.domain = "",
		.request = &q,
		.handler = on_result,
		.arg = g,
	    },
	    cause);
}

static void
answer(
    struct fixture *g, uint64_t call, bool queued, int verdict, uint32_t age_ms)
{
	placements_reply(g->placements, SELF,
	    &(peer_place_reply){
		.call = call,
		.service = (char *)"e",
		.domain = (char *)"",
		.queued = queued,
		.verdict = verdict,
		.target = (char *)"t0",
		.age_ms = age_ms,
	    });
}

/* The other host has answered: requests wait for it from now on. */
static void
find_placer(struct fixture *g)
{
	enum placement_cause cause;

	set_hosts(g, 2);
	g_assert_cmpuint(ask(g, &cause), ==, 0);
	g_assert_cmpint(cause, ==, PLACEMENT_NO_PLACER);
	run_for(g, 20 * MS);
	answer(g, 0, true, 0, 0);
}

static int
verdict_of(char c)
{
	switch (c) {
	case 'f':
		return PLACEMENT_FULL;
	case 'n':
		return PLACEMENT_NONE;
	case 'x':
		return 77;
	default:
		return PLACEMENT_SEND;
	}
}

/*
 * What a request gets, whatever the placer does.  The script: q queued, d a
 * decision, o one that is old, f full, n none, e the request is dropped; a
 * digit waits for so many times 10 ms.
 */
static void
test_asks(void)
{
	static const struct {
		const char *name;
		const char *script;
		uint32_t n_results;
		enum placement_verdict verdict;
		enum placement_cause cause;
	} cases[] = {
		{ "at once", "d", 1, PLACEMENT_SEND, PLACEMENT_BY_PLACER },
		{ "twice", "dd", 1, PLACEMENT_SEND, PLACEMENT_BY_PLACER },
		{ "queued", "q5d", 1, PLACEMENT_SEND, PLACEMENT_BY_PLACER },
		{ "full", "f", 1, PLACEMENT_FULL, PLACEMENT_BY_PLACER },
		{ "left to the host", "n", 1, PLACEMENT_NONE,
		    PLACEMENT_NO_DECISION },
		{ "lost", "9", 1, PLACEMENT_NONE, PLACEMENT_NO_REPLY },
		{ "after it was given up", "9d", 1, PLACEMENT_NONE,
		    PLACEMENT_NO_REPLY },
		{ "paused after it was queued", "q999d", 1, PLACEMENT_NONE,
		    PLACEMENT_NO_REPLY },
		{ "an old decision", "o", 1, PLACEMENT_NONE,
		    PLACEMENT_TOO_OLD },
		{ "an unknown verdict", "x", 1, PLACEMENT_NONE,
		    PLACEMENT_NO_DECISION },
		{ "queued, and the placer is there", "q9a9a9a9d", 1,
		    PLACEMENT_SEND, PLACEMENT_BY_PLACER },
		{ "queued for half of its time", "q9a9a9a9a9a9a9a9a9a9a9a9a9",
		    1, PLACEMENT_FULL, PLACEMENT_TOO_LONG },
		{ "dropped", "e9d", 0, 0, 0 },
		{ "dropped in the queue", "qe9d", 0, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture g;
		enum placement_cause cause;
		uint64_t call;

		g_test_message("%s", cases[i].name);
		open_fixture(&g);
		find_placer(&g);
		call = ask(&g, &cause);
		g_assert_cmpuint(call, !=, 0);
		for (const char *s = cases[i].script; *s != '\0'; s++) {
			if (*s == 'e')
				placements_ended(
				    g.placements, call, PLACEMENT_DROPPED);
			else if (g_ascii_isdigit(*s))
				run_for(&g, (*s - '0') * 10 * MS);
			else if (*s == 'a')
				answer(&g, 0, true, 0, 0);
			else
				answer(&g, call, *s == 'q', verdict_of(*s),
				    *s == 'o' ? 500 : 0);
		}
		g_assert_cmpuint(g.n_results, ==, cases[i].n_results);
		if (g.n_results > 0) {
			g_assert_cmpint(g.result.verdict, ==, cases[i].verdict);
			g_assert_cmpint(
			    g.result.placed.cause, ==, cases[i].cause);
		}
		placements_ended(g.placements, call, PLACEMENT_READ);
		close_fixture(&g);
	}
}

/*
 * An earlier build drops the asks: no request waits for it, and it is asked
 * ever less often.  A new placer is told the calls that run.
 */
static void
test_news(void)
{
	struct fixture g;
	struct placement_request q = request();
	struct placement_call_opts o = {
		.service = "e", .domain = "", .request = &q
	};
	enum placement_cause cause;

	open_fixture(&g);
	set_hosts(&g, 2);
	for (int i = 0; i < 50; i++) {
		g_assert_cmpuint(ask(&g, &cause), ==, 0);
		run_for(&g, 20 * MS);
	}
	g_mutex_lock(&g.lock);
	g_assert_cmpuint(g.n_asks, >=, 1);
	g_assert_cmpuint(g.n_asks, <=, 3);
	g_mutex_unlock(&g.lock);
	set_hosts(&g, 3);
	for (int i = 0; i < 3; i++)
		placements_sent(g.placements, &o, "t0");
	run_for(&g, 50 * MS);
	set_hosts(&g, 4);
	placements_tick(g.placements, clock_now());
	run_for(&g, 50 * MS);
	placements_tick(g.placements, clock_now() + 2 * USEC_PER_SEC);
	run_for(&g, 50 * MS);
	g_mutex_lock(&g.lock);
	g_assert_cmpuint(g.n_sent, ==, 6);
	g_assert_cmpuint(g.n_listed, ==, 1);
	g_mutex_unlock(&g.lock);
	close_fixture(&g);
}

static void
ask_placer(struct fixture *g, uint64_t host, uint64_t call)
{
	static peer_part parts[] = { { 7, 300 }, { 8, 100 } };

	placer_ask(g->placer, NULL, host,
	    &(peer_place_ask){
		.call = call,
		.size = { { G_N_ELEMENTS(parts), parts }, 400, 50, 0 },
		.aim_left_ms = 1000,
		.left_ms = 5000,
		.software = (char *)"",
		.input_domain = (char *)"",
		.news = { .service = (char *)"e", .domain = (char *)"" },
	    });
}

static void
tell_placer(
    struct fixture *g, uint64_t host, peer_place_kind kind, uint64_t call)
{
	peer_place_event e = { .fact.kind = kind };
	peer_place_news m = { .service = (char *)"e",
		.domain = (char *)"",
		.events = { 1, &e } };

	e.fact.peer_place_fact_u.call = call;
	placer_news(g->placer, NULL, host, &m);
}

static const peer_place_reply *
last_reply(const struct fixture *g)
{
	return &g_array_index(
	    g->replies, peer_place_reply, g->replies->len - 1);
}

/* Time passes for the placer, whose thread doesn't stand still. */
static void
pass_time(struct fixture *g, usec_t t)
{
	usec_t end = clock_now() + t;

	while (clock_now() < end) {
		g_usleep(20000);
		placer_tick(g->placer, clock_now());
	}
}

static void
test_placer(void)
{
	struct fixture g;
	peer_place_call running = { 5, true };
	peer_place_news list = { .service = (char *)"e",
		.domain = (char *)"",
		.listed = true,
		.calls = { 1, &running } };
	peer_place_reply first;
	g_autoptr(GArray) hosts =
	    g_array_new(FALSE, TRUE, sizeof(struct view_peer));
	struct view_peer host = { .incarnation = 21 };

	open_fixture(&g);
	/* A new placer leaves the first asks to the hosts. */
	ask_placer(&g, 20, 1);
	g_assert_cmpint(last_reply(&g)->verdict, ==, PLACEMENT_NONE);
	pass_time(&g, LEARN_TIME);
	ask_placer(&g, 20, 4);
	first = *last_reply(&g);
	g_assert_cmpint(first.verdict, ==, PLACEMENT_SEND);
	g_assert_cmpint(first.known_ms, ==, -1);
	/* A repeated ask gets the same answer, and is not placed twice. */
	ask_placer(&g, 20, 4);
	g_assert_cmpstr(last_reply(&g)->target, ==, first.target);
	g_assert_cmpuint(placer_counts(g.placer).calls, ==, 1);
	tell_placer(&g, 20, PEER_PLACE_BEGUN, 4);
	/* The same prompt goes where its parts are cached by now. */
	ask_placer(&g, 20, 5);
	g_assert_cmpstr(last_reply(&g)->target, ==, first.target);
	g_assert_cmpint(last_reply(&g)->known_ms, >=, 0);
	g_assert_cmpuint(last_reply(&g)->to_read, <, 400);
	/* The end of call 4 was lost; the list lacks it. */
	placer_news(g.placer, NULL, 20, &list);
	g_assert_cmpuint(placer_counts(g.placer).calls, ==, 2);
	pass_time(&g, LEARN_TIME / 2);
	placer_news(g.placer, NULL, 20, &list);
	g_assert_cmpuint(placer_counts(g.placer).calls, ==, 1);
	g_assert_cmpuint(placer_counts(g.placer).lost_calls, ==, 1);
	tell_placer(&g, 20, PEER_PLACE_COMPLETED, 5);
	/* Of two hosts with calls, one ends. */
	ask_placer(&g, 20, 6);
	ask_placer(&g, 21, 6);
	g_array_append_val(hosts, host);
	host.incarnation = 20;
	g_array_append_val(hosts, host);
	placer_set_hosts(g.placer, hosts);
	g_assert_cmpuint(placer_counts(g.placer).calls, ==, 2);
	g_array_set_size(hosts, 1);
	placer_set_hosts(g.placer, hosts);
	g_assert_cmpuint(placer_counts(g.placer).calls, ==, 1);
	/* Unused for long: another host may have placed meanwhile. */
	placer_tick(g.placer, clock_now() + 60 * USEC_PER_SEC);
	ask_placer(&g, 21, 7);
	g_assert_cmpint(last_reply(&g)->verdict, ==, PLACEMENT_NONE);
	close_fixture(&g);
}

/* Sets n engines in domain a, and some in domain b. */
static void
set_engines(struct fixture *g, int n, int n_b)
{
	struct target_entry t = { .service = "e", .slots = 4 };
	g_autoptr(GArray) v = g_array_new(FALSE, TRUE, sizeof(t));

	for (int i = 0; i < n + n_b; i++) {
		snprintf(t.id, sizeof(t.id), "t%d", i);
		snprintf(t.addr, sizeof(t.addr), "127.0.0.1:%d", 20000 + i);
		g_strlcpy(t.domain, i < n ? "a" : "b", sizeof(t.domain));
		g_array_append_val(v, t);
	}
	loads_update(&g->loads, v, clock_now());
}

static const char *
domain_of(const struct fixture *g, uint64_t prefix, uint64_t random)
{
	char name[ENGINE_GROUP_NAME_BYTES];

	placements_domain(g->placements,
	    &(struct placements_prompt){
		.service = "e",
		.home = "a",
		.prefix = prefix,
		.random = random,
	    },
	    name);
	return g_intern_string(name);
}

/*
 * Which placer is asked by the number of engines: that of the domain, as
 * earlier builds do, unless it is divided.
 */
static void
test_division(void)
{
	static const struct {
		int engines, engines_b;
		const char *names[5]; /* of the groups */
	} cases[] = {
		{ 2, 0, { "" } },
		{ 64, 0, { "" } },
		{ 65, 0, { "#0/2", "#1/2" } },
		{ 64, 10, { "a" } },
		{ 65, 10, { "a#0/2", "a#1/2" } },
		{ 200, 10, { "a#0/4", "a#1/4", "a#2/4", "a#3/4" } },
		/* Some are lost. */
		{ 60, 10, { "a#0/4", "a#1/4", "a#2/4", "a#3/4" } },
	};
	struct fixture g;
	struct err e;
	struct routes *routes = platform_config_parse(str_from(config), &e);

	open_fixture(&g);
	set_hosts(&g, 2);
	placements_set_routes(g.placements, routes);
	routes_unref(routes);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bool seen[G_N_ELEMENTS(cases[i].names)] = { false };

		g_test_message(
		    "%d and %d engines", cases[i].engines, cases[i].engines_b);
		set_engines(&g, cases[i].engines, cases[i].engines_b);
		placements_tick(g.placements, clock_now());
		for (uint64_t k = 1; k < 200; k++) {
			const char *name = domain_of(&g, k, k);
			size_t at = 0;

			while (cases[i].names[at] != NULL &&
			    strcmp(cases[i].names[at], name) != 0)
				at++;
			g_assert_nonnull(cases[i].names[at]);
			seen[at] = true;
			/* Prompts with the same parts meet. */
			g_assert_cmpstr(domain_of(&g, k, k + 7), ==, name);
		}
		for (size_t k = 0; cases[i].names[k] != NULL; k++)
			g_assert_true(seen[k]);
	}
	close_fixture(&g);
}

static void
report_wait(struct fixture *g, const char *name, uint32_t ms)
{
	placements_reply(g->placements, NULL,
	    &(peer_place_reply){
		.service = (char *)"e",
		.domain = (char *)name,
		.queued = true,
		.target = (char *)"",
		.wait_ms = ms,
	    });
}

/* A long wait is left for another group, and only then for another domain. */
static void
test_group_waits(void)
{
	struct fixture g;
	const char *home;
	const char *other;

	open_fixture(&g);
	set_hosts(&g, 2);
	set_engines(&g, 100, 10);
	home = domain_of(&g, 5, 5);
	other = strcmp(home, "a#0/2") == 0 ? "a#1/2" : "a#0/2";
	report_wait(&g, home, 200);
	g_assert_cmpstr(domain_of(&g, 5, 5), ==, home);
	report_wait(&g, home, 3000);
	g_assert_cmpstr(domain_of(&g, 5, 5), ==, other);
	report_wait(&g, other, 3000);
	g_assert_cmpstr(domain_of(&g, 5, 5), ==, "b");
	report_wait(&g, "b", 3000);
	g_assert_cmpstr(domain_of(&g, 5, 5), ==, home);
	close_fixture(&g);
}

/* Asks the placer of a domain or group by its name; returns the verdict. */
static int
ask_group(struct fixture *g, const char *name, uint64_t call)
{
	placer_ask(g->placer, NULL, 20,
	    &(peer_place_ask){
		.call = call,
		.size = { { 0, NULL }, 400, 50, 0 },
		.aim_left_ms = 1000,
		.left_ms = 5000,
		.software = (char *)"",
		.input_domain = (char *)"",
		.news = { .service = (char *)"e", .domain = (char *)name },
	    });
	return last_reply(g)->verdict;
}

/*
 * A placer places on the engines of the group that is named, whatever number of
 * groups its own list of engines would give.  A name that it doesn't know is
 * left to the host, as earlier builds do with all groups.
 */
static void
test_group_names(void)
{
	static const struct {
		const char *name;
		bool placed;
	} cases[] = {
		{ "a", true },
		{ "a#0/2", true },
		{ "a#1/2", true },
		{ "a#3/4", true },
		{ "#0/2", true },
		{ "c", false },
		{ "c#0/2", false },
		{ "a#2/2", false },
		{ "a#0/3", false },
		{ "a#", false },
	};
	struct fixture g;
	char name[ENGINE_GROUP_NAME_BYTES];
	struct engine_group_id id;

	open_fixture(&g);
	set_engines(&g, 100, 10);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		ask_group(&g, cases[i].name, 1);
	pass_time(&g, LEARN_TIME);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct target_load *t;

		g_test_message("%s", cases[i].name);
		g_assert_cmpint(ask_group(&g, cases[i].name, 2 + i), ==,
		    cases[i].placed ? PLACEMENT_SEND : PLACEMENT_NONE);
		g_assert_cmpstr(last_reply(&g)->domain, ==, cases[i].name);
		if (!cases[i].placed)
			continue;
		t = loads_find(&g.loads, last_reply(&g)->target);
		if (engine_group_parse(cases[i].name, &id))
			g_assert_true(engine_group_has(&id, t->group_hash));
		/* The host tells the same group of its calls there. */
		placements_target_domain(g.placements, t, name);
		if (id.n == 2 && *id.domain != '\0')
			g_assert_cmpstr(name, ==, cases[i].name);
	}
	close_fixture(&g);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placer/asks", test_asks);
	g_test_add_func("/placer/news", test_news);
	g_test_add_func("/placer/placer", test_placer);
	g_test_add_func("/placer/division", test_division);
	g_test_add_func("/placer/group-waits", test_group_waits);
	g_test_add_func("/placer/group-names", test_group_names);
	return g_test_run();
}
