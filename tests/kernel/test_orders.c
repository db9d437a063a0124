/* Tables of cases for the orders to the runners of one service. */
#include "kernel/orders.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define RUNNERS       10
#define ORDER_TIMEOUT (5 * USEC_PER_SEC)
#define LEASE_TTL     (10 * USEC_PER_SEC)
#define LOAD_TIME     (4 * USEC_PER_SEC)
#define STEP          (500 * USEC_PER_MSEC)

/* Runners that load what they are told; the model of an engine. */
struct engine {
	char loading[MAX_NAME_BYTES + 1];
	usec_t loaded_at;
	bool fails;
	bool loses_answers;
	uint64_t fencing; /* the highest seen */
	int orders;
};

struct world {
	struct orders o;
	struct engine engines[RUNNERS];
	usec_t now;
	size_t most_loading;
	usec_t first_order;
	bool honours;
};

static void
set_up(struct world *w, enum fencing fencing, uint32_t cap)
{
	char addrs[RUNNERS][MAX_ADDR_BYTES];
	const char *list[RUNNERS];

	memset(w, 0, sizeof(*w));
	w->now = USEC_PER_SEC;
	w->honours = fencing == FENCING_HONOURED;
	orders_init(&w->o,
	    &(struct orders_opts){
		.loading_cap = cap,
		.fencing = fencing,
		.order_timeout = ORDER_TIMEOUT,
		.lease_ttl = LEASE_TTL,
	    });
	for (int i = 0; i < RUNNERS; i++) {
		snprintf(addrs[i], sizeof(addrs[i]), "127.0.0.1:%d", i);
		list[i] = addrs[i];
	}
	orders_set_targets(&w->o, list, RUNNERS);
}

static void
want(struct world *w, const char *version)
{
	struct orders_state s = { .model = "m" };

	snprintf(s.version, sizeof(s.version), "%s", version);
	orders_set_desired(&w->o, &s);
}

static struct engine *
engine_at(struct world *w, const char *addr)
{
	return &w->engines[atoi(strchr(addr, ':') + 1)];
}

static void
answer_read(struct world *w, const struct orders_action *a)
{
	struct engine *x = engine_at(w, a->addr);
	struct orders_state s = { .model = "m", .version = "v1" };
	enum orders_report report = ORDERS_READY;

	if (x->loading[0] != '\0') {
		report = w->now < x->loaded_at ? ORDERS_LOADING
		    : x->fails                 ? ORDERS_FAILED
					       : ORDERS_READY;
		snprintf(s.version, sizeof(s.version), "%s", x->loading);
	}
	orders_on_report(&w->o, w->now, a->addr, report, &s);
}

static void
answer_order(struct world *w, const struct orders_action *a)
{
	struct engine *x = engine_at(w, a->addr);

	g_assert_true(orders_may_send(&w->o, a, w->now));
	if (w->honours && a->fencing < x->fencing) {
		orders_on_reply(&w->o, w->now, a->addr, ORDERS_FENCED);
		return;
	}
	if (w->first_order == 0)
		w->first_order = w->now;
	x->fencing = a->fencing;
	x->orders++;
	if (strcmp(x->loading, a->desired.version) != 0) {
		snprintf(
		    x->loading, sizeof(x->loading), "%s", a->desired.version);
		x->loaded_at = w->now + LOAD_TIME;
	}
	orders_on_reply(&w->o, w->now, a->addr,
	    x->loses_answers ? ORDERS_LOST : ORDERS_ACCEPTED);
}

static size_t
loading(const struct world *w)
{
	size_t n = 0;

	for (int i = 0; i < RUNNERS; i++)
		n += w->engines[i].loading[0] != '\0' &&
		    w->now < w->engines[i].loaded_at;
	return n;
}

static size_t
serving(const struct world *w, const char *version)
{
	size_t n = 0;

	for (int i = 0; i < RUNNERS; i++)
		n += strcmp(w->engines[i].loading, version) == 0 &&
		    !w->engines[i].fails && w->now >= w->engines[i].loaded_at;
	return n;
}

static void
run(struct world *w, usec_t time, bool renew)
{
	struct orders_action a;

	for (usec_t end = w->now + time; w->now < end; w->now += STEP) {
		if (renew)
			orders_set_lease(
			    &w->o, w->now, true, 7, w->now + LEASE_TTL);
		for (orders_next(&w->o, w->now, &a); a.kind != ORDERS_NOTHING;
		     orders_next(&w->o, w->now, &a)) {
			if (a.kind == ORDERS_READ)
				answer_read(w, &a);
			else
				answer_order(w, &a);
		}
		if (loading(w) > w->most_loading)
			w->most_loading = loading(w);
	}
}

static void
test_rolls(void)
{
	static const struct {
		const char *name;
		enum fencing fencing;
		uint32_t cap;
		size_t most;
		bool loses_answers;
	} cases[] = {
		{ "cap of 20 percent", FENCING_HONOURED, 20, 2, false },
		{ "at least one", FENCING_HONOURED, 1, 1, false },
		{ "fencing ignored", FENCING_IGNORED, 30, 3, false },
		{ "answers lost", FENCING_IGNORED, 20, 2, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world w;

		g_test_message("%s", cases[i].name);
		set_up(&w, cases[i].fencing, cases[i].cap);
		for (int j = 0; j < RUNNERS; j++)
			w.engines[j].loses_answers = cases[i].loses_answers;
		want(&w, "v2");
		run(&w, 200 * USEC_PER_SEC, true);
		g_assert_cmpuint(serving(&w, "v2"), ==, RUNNERS);
		g_assert_cmpuint(w.most_loading, ==, cases[i].most);
		g_assert_cmpuint(w.o.changing, ==, 0);
		g_assert_cmpint(w.first_order, >=,
		    USEC_PER_SEC +
			(cases[i].fencing == FENCING_IGNORED
				? LEASE_TTL + ORDER_TIMEOUT
				: 0));
		for (int j = 0; j < RUNNERS; j++)
			g_assert_cmpint(w.engines[j].orders, ==, 1);
		orders_free(&w.o);
	}
}

static void
test_failed_version(void)
{
	static const struct {
		const char *name;
		int failing;
		size_t most_served; /* of the failing version */
	} cases[] = {
		{ "on the first", -1, 0 },
		{ "on one later", 5, 6 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world w;
		struct buf line = { 0 };
		int orders = 0;

		g_test_message("%s", cases[i].name);
		set_up(&w, FENCING_HONOURED, 20);
		for (int j = 0; j < RUNNERS; j++)
			w.engines[j].fails =
			    cases[i].failing < 0 || j == cases[i].failing;
		want(&w, "v2");
		run(&w, 100 * USEC_PER_SEC, true);
		g_assert_cmpint(w.o.halt, ==, ORDERS_HALT_LOAD_FAILED);
		g_assert_true(orders_take_halt(&w.o, &line));
		g_assert_nonnull(strstr(line.p, "load-failed of m v2"));
		g_assert_false(orders_take_halt(&w.o, &line));
		g_assert_cmpuint(serving(&w, "v2"), <=, cases[i].most_served);
		for (int j = 0; j < RUNNERS; j++)
			orders += w.engines[j].orders;
		g_assert_cmpint(orders, <, RUNNERS);

		/* A new sender finds the failure before it orders anything. */
		orders_set_lease(&w.o, w.now, true, 6, w.now + LEASE_TTL);
		run(&w, 100 * USEC_PER_SEC, true);
		g_assert_cmpint(w.o.halt, ==, ORDERS_HALT_LOAD_FAILED);
		for (int j = 0; j < RUNNERS; j++)
			orders -= w.engines[j].orders;
		g_assert_cmpint(orders, ==, 0);

		/* Another version lifts the halt. */
		for (int j = 0; j < RUNNERS; j++)
			w.engines[j].fails = false;
		want(&w, "v3");
		run(&w, 100 * USEC_PER_SEC, true);
		g_assert_cmpuint(serving(&w, "v3"), ==, RUNNERS);
		buf_free(&line);
		orders_free(&w.o);
	}
}

/* The sender was paused past the end of its lease. */
static void
test_lapsed_lease(void)
{
	struct world w;
	struct orders_action a = { 0 };

	set_up(&w, FENCING_HONOURED, 20);
	want(&w, "v2");
	orders_set_lease(&w.o, w.now, true, 7, w.now + LEASE_TTL);
	do {
		orders_next(&w.o, w.now, &a);
		if (a.kind == ORDERS_READ)
			answer_read(&w, &a);
	} while (a.kind == ORDERS_READ);
	g_assert_cmpint(a.kind, ==, ORDERS_SEND);
	g_assert_true(orders_may_send(&w.o, &a, w.now));
	w.now += LEASE_TTL;
	g_assert_false(orders_may_send(&w.o, &a, w.now));
	orders_on_reply(&w.o, w.now, a.addr, ORDERS_LOST);
	run(&w, 20 * USEC_PER_SEC, false);
	g_assert_cmpint(w.first_order, ==, 0);
	orders_free(&w.o);
}

/* A new sender waits for the last answer: that one may be of a failure. */
static void
test_reads_all_first(void)
{
	struct world w;
	struct orders_action a;
	struct orders_action last = { 0 };
	int reads = 0;

	set_up(&w, FENCING_HONOURED, 20);
	want(&w, "v2");
	w.engines[RUNNERS - 1].fails = true;
	snprintf(w.engines[RUNNERS - 1].loading, MAX_NAME_BYTES, "v2");
	orders_set_lease(&w.o, w.now, true, 7, w.now + LEASE_TTL);
	for (orders_next(&w.o, w.now, &a); a.kind == ORDERS_READ;
	     orders_next(&w.o, w.now, &a)) {
		reads++;
		if (engine_at(&w, a.addr) == &w.engines[RUNNERS - 1])
			last = a;
		else
			answer_read(&w, &a);
	}
	g_assert_cmpint(reads, ==, RUNNERS);
	g_assert_cmpint(a.kind, ==, ORDERS_NOTHING);
	answer_read(&w, &last);
	g_assert_cmpint(w.o.halt, ==, ORDERS_HALT_LOAD_FAILED);
	orders_next(&w.o, w.now, &a);
	g_assert_cmpint(a.kind, ==, ORDERS_NOTHING);
	orders_free(&w.o);
}

/* An engine has seen a newer sender: the older one stops. */
static void
test_fenced(void)
{
	struct world w;

	set_up(&w, FENCING_HONOURED, 20);
	for (int j = 0; j < RUNNERS; j++)
		w.engines[j].fencing = 9;
	want(&w, "v2");
	orders_set_lease(&w.o, w.now, true, 7, w.now + LEASE_TTL);
	run(&w, 5 * USEC_PER_SEC, false);
	g_assert_false(w.o.lease_held);
	g_assert_cmpint(w.first_order, ==, 0);
	orders_free(&w.o);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/orders/rolls", test_rolls);
	g_test_add_func("/orders/failed-version", test_failed_version);
	g_test_add_func("/orders/lapsed-lease", test_lapsed_lease);
	g_test_add_func("/orders/reads-all-first", test_reads_all_first);
	g_test_add_func("/orders/fenced", test_fenced);
	return g_test_run();
}
