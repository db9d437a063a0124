/*
 * Table-driven tests of the orders to the targets of one service, in virtual
 * time.
 *
 * Guards against loading a new version on too many targets at once, against
 * rolling out a version that fails to load, and against orders from a sender
 * without a valid lease.
 */
#include "kernel/orders.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define NUM_TARGETS   10
#define ORDER_TIMEOUT (5 * USEC_PER_SEC)
#define LEASE_TTL     (10 * USEC_PER_SEC)
#define LOAD_TIME     (4 * USEC_PER_SEC)
#define STEP          (500 * USEC_PER_MSEC)

/* A simulated target, which loads what it is ordered to. */
struct sim_target {
	char loading[MAX_NAME_BYTES + 1]; /* version, also when loaded */
	usec_t loaded_at;
	bool fails;
	bool loses_replies;
	uint64_t fencing; /* highest fencing number seen */
	int orders;
};

struct fixture {
	struct orders o;
	struct sim_target targets[NUM_TARGETS];
	usec_t now;
	size_t max_loading; /* most targets that loaded at the same time */
	usec_t first_order; /* time of the first order; 0: none */
	bool honours_fencing;
};

static void
fixture_init(struct fixture *f, enum fencing fencing, uint32_t cap)
{
	char addrs[NUM_TARGETS][MAX_ADDR_BYTES];
	const char *list[NUM_TARGETS];

	memset(f, 0, sizeof(*f));
	f->now = USEC_PER_SEC;
	f->honours_fencing = fencing == FENCING_HONOURED;
	orders_init(&f->o,
	    &(struct orders_opts){
		.loading_cap = cap,
		.fencing = fencing,
		.order_timeout = ORDER_TIMEOUT,
		.lease_ttl = LEASE_TTL,
	    });
	for (int i = 0; i < NUM_TARGETS; i++) {
		snprintf(addrs[i], sizeof(addrs[i]), "127.0.0.1:%d", i);
		list[i] = addrs[i];
	}
	orders_set_targets(&f->o, list, NUM_TARGETS);
}

static void
set_desired(struct fixture *f, const char *version)
{
	struct orders_state s = { .model = "m" };

	snprintf(s.version, sizeof(s.version), "%s", version);
	orders_set_desired(&f->o, &s);
}

static struct sim_target *
sim_target_at(struct fixture *f, const char *addr)
{
	return &f->targets[atoi(strchr(addr, ':') + 1)];
}

static void
answer_read(struct fixture *f, const struct orders_action *a)
{
	struct sim_target *t = sim_target_at(f, a->addr);
	struct orders_state s = { .model = "m", .version = "v1" };
	enum orders_report report = ORDERS_READY;

	if (t->loading[0] != '\0') {
		report = f->now < t->loaded_at ? ORDERS_LOADING
		    : t->fails                 ? ORDERS_FAILED
					       : ORDERS_READY;
		snprintf(s.version, sizeof(s.version), "%s", t->loading);
	}
	orders_on_report(&f->o, f->now, a->addr, report, &s);
}

static void
answer_order(struct fixture *f, const struct orders_action *a)
{
	struct sim_target *t = sim_target_at(f, a->addr);

	g_assert_true(orders_may_send(&f->o, a, f->now));
	if (f->honours_fencing && a->fencing < t->fencing) {
		orders_on_reply(&f->o, f->now, a->addr, ORDERS_FENCED);
		return;
	}
	if (f->first_order == 0)
		f->first_order = f->now;
	t->fencing = a->fencing;
	t->orders++;
	if (strcmp(t->loading, a->desired.version) != 0) {
		snprintf(
		    t->loading, sizeof(t->loading), "%s", a->desired.version);
		t->loaded_at = f->now + LOAD_TIME;
	}
	orders_on_reply(&f->o, f->now, a->addr,
	    t->loses_replies ? ORDERS_LOST : ORDERS_ACCEPTED);
}

static size_t
count_targets_loading(const struct fixture *f)
{
	size_t n = 0;

	for (int i = 0; i < NUM_TARGETS; i++)
		n += f->targets[i].loading[0] != '\0' &&
		    f->now < f->targets[i].loaded_at;
	return n;
}

static size_t
count_targets_serving(const struct fixture *f, const char *version)
{
	size_t n = 0;

	for (int i = 0; i < NUM_TARGETS; i++)
		n += strcmp(f->targets[i].loading, version) == 0 &&
		    !f->targets[i].fails && f->now >= f->targets[i].loaded_at;
	return n;
}

static void
run(struct fixture *f, usec_t time, bool renew)
{
	struct orders_action a;

	for (usec_t end = f->now + time; f->now < end; f->now += STEP) {
		if (renew)
			orders_set_lease(
			    &f->o, f->now, true, 7, f->now + LEASE_TTL);
		for (orders_next(&f->o, f->now, &a); a.kind != ORDERS_NOTHING;
		     orders_next(&f->o, f->now, &a)) {
			if (a.kind == ORDERS_READ)
				answer_read(f, &a);
			else
				answer_order(f, &a);
		}
		if (count_targets_loading(f) > f->max_loading)
			f->max_loading = count_targets_loading(f);
	}
}

static void
test_rollout(void)
{
	static const struct {
		const char *name;
		enum fencing fencing;
		uint32_t cap;
		size_t max_loading_expected;
		bool loses_replies;
	} cases[] = {
		{ "cap of 20 percent", FENCING_HONOURED, 20, 2, false },
		{ "at least one", FENCING_HONOURED, 1, 1, false },
		{ "fencing ignored", FENCING_IGNORED, 30, 3, false },
		{ "answers lost", FENCING_IGNORED, 20, 2, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f;

		g_test_message("%s", cases[i].name);
		fixture_init(&f, cases[i].fencing, cases[i].cap);
		for (int j = 0; j < NUM_TARGETS; j++)
			f.targets[j].loses_replies = cases[i].loses_replies;
		set_desired(&f, "v2");
		run(&f, 200 * USEC_PER_SEC, true);
		g_assert_cmpuint(
		    count_targets_serving(&f, "v2"), ==, NUM_TARGETS);
		g_assert_cmpuint(
		    f.max_loading, ==, cases[i].max_loading_expected);
		g_assert_cmpuint(f.o.changing, ==, 0);
		g_assert_cmpint(f.first_order, >=,
		    USEC_PER_SEC +
			(cases[i].fencing == FENCING_IGNORED
				? LEASE_TTL + ORDER_TIMEOUT
				: 0));
		for (int j = 0; j < NUM_TARGETS; j++)
			g_assert_cmpint(f.targets[j].orders, ==, 1);
		orders_free(&f.o);
	}
}

static void
test_failed_version(void)
{
	static const struct {
		const char *name;
		int failing;
		size_t max_serving; /* most targets that serve the failing
				       version */
	} cases[] = {
		{ "on the first target", -1, 0 },
		{ "on a later target", 5, 6 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f;
		struct buf line = { 0 };
		int orders = 0;

		g_test_message("%s", cases[i].name);
		fixture_init(&f, FENCING_HONOURED, 20);
		for (int j = 0; j < NUM_TARGETS; j++)
			f.targets[j].fails =
			    cases[i].failing < 0 || j == cases[i].failing;
		set_desired(&f, "v2");
		run(&f, 100 * USEC_PER_SEC, true);
		g_assert_cmpint(f.o.halt, ==, ORDERS_HALT_LOAD_FAILED);
		g_assert_true(orders_take_halt(&f.o, &line));
		g_assert_nonnull(strstr(line.p, "load-failed of m v2"));
		g_assert_false(orders_take_halt(&f.o, &line));
		g_assert_cmpuint(
		    count_targets_serving(&f, "v2"), <=, cases[i].max_serving);
		for (int j = 0; j < NUM_TARGETS; j++)
			orders += f.targets[j].orders;
		g_assert_cmpint(orders, <, NUM_TARGETS);

		/*
		 * A new lease holder reads the failure before it sends any
		 * order.
		 */
		orders_set_lease(&f.o, f.now, true, 6, f.now + LEASE_TTL);
		run(&f, 100 * USEC_PER_SEC, true);
		g_assert_cmpint(f.o.halt, ==, ORDERS_HALT_LOAD_FAILED);
		for (int j = 0; j < NUM_TARGETS; j++)
			orders -= f.targets[j].orders;
		g_assert_cmpint(orders, ==, 0);

		/* A different desired state ends the halt. */
		for (int j = 0; j < NUM_TARGETS; j++)
			f.targets[j].fails = false;
		set_desired(&f, "v3");
		run(&f, 100 * USEC_PER_SEC, true);
		g_assert_cmpuint(
		    count_targets_serving(&f, "v3"), ==, NUM_TARGETS);
		buf_free(&line);
		orders_free(&f.o);
	}
}

/* A sender that was paused until its lease expired must not send. */
static void
test_expired_lease(void)
{
	struct fixture f;
	struct orders_action a = { 0 };

	fixture_init(&f, FENCING_HONOURED, 20);
	set_desired(&f, "v2");
	orders_set_lease(&f.o, f.now, true, 7, f.now + LEASE_TTL);
	do {
		orders_next(&f.o, f.now, &a);
		if (a.kind == ORDERS_READ)
			answer_read(&f, &a);
	} while (a.kind == ORDERS_READ);
	g_assert_cmpint(a.kind, ==, ORDERS_SEND);
	g_assert_true(orders_may_send(&f.o, &a, f.now));
	f.now += LEASE_TTL;
	g_assert_false(orders_may_send(&f.o, &a, f.now));
	orders_on_reply(&f.o, f.now, a.addr, ORDERS_LOST);
	run(&f, 20 * USEC_PER_SEC, false);
	g_assert_cmpint(f.first_order, ==, 0);
	orders_free(&f.o);
}

/*
 * A new lease holder waits for the state of every target before the first
 * order, as the last target may report a failure.
 */
static void
test_reads_all_first(void)
{
	struct fixture f;
	struct orders_action a;
	struct orders_action last = { 0 };
	int reads = 0;

	fixture_init(&f, FENCING_HONOURED, 20);
	set_desired(&f, "v2");
	f.targets[NUM_TARGETS - 1].fails = true;
	snprintf(f.targets[NUM_TARGETS - 1].loading, MAX_NAME_BYTES, "v2");
	orders_set_lease(&f.o, f.now, true, 7, f.now + LEASE_TTL);
	for (orders_next(&f.o, f.now, &a); a.kind == ORDERS_READ;
	     orders_next(&f.o, f.now, &a)) {
		reads++;
		if (sim_target_at(&f, a.addr) == &f.targets[NUM_TARGETS - 1])
			last = a;
		else
			answer_read(&f, &a);
	}
	g_assert_cmpint(reads, ==, NUM_TARGETS);
	g_assert_cmpint(a.kind, ==, ORDERS_NOTHING);
	answer_read(&f, &last);
	g_assert_cmpint(f.o.halt, ==, ORDERS_HALT_LOAD_FAILED);
	orders_next(&f.o, f.now, &a);
	g_assert_cmpint(a.kind, ==, ORDERS_NOTHING);
	orders_free(&f.o);
}

/*
 * A sender stops when a target reports that it has seen a higher fencing
 * number.
 */
static void
test_fenced(void)
{
	struct fixture f;

	fixture_init(&f, FENCING_HONOURED, 20);
	for (int j = 0; j < NUM_TARGETS; j++)
		f.targets[j].fencing = 9;
	set_desired(&f, "v2");
	orders_set_lease(&f.o, f.now, true, 7, f.now + LEASE_TTL);
	run(&f, 5 * USEC_PER_SEC, false);
	g_assert_false(f.o.lease_held);
	g_assert_cmpint(f.first_order, ==, 0);
	orders_free(&f.o);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/orders/rollout", test_rollout);
	g_test_add_func("/orders/failed-version", test_failed_version);
	g_test_add_func("/orders/expired-lease", test_expired_lease);
	g_test_add_func("/orders/reads-all-first", test_reads_all_first);
	g_test_add_func("/orders/fenced", test_fenced);
	return g_test_run();
}
