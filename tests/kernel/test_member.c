/*
 * Tests of the membership table, and of gossip in small fleets in virtual time
 * with message loss.
 *
 * Guards against outdated state that replaces newer state, against live members
 * that are declared gone because of lost messages, pauses, or missing messages
 * while this process was paused, and against gossip whose cost grows with the
 * fleet.
 */
#include "kernel/gossip.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOMAINS      4
#define MAX_FLEET    200
#define LOSS_PERCENT 10
#define PORT_BASE    1000
/* Short names for the tables below. */
#define LIVE         MEMBER_LIVE
#define SUSPECT      MEMBER_SUSPECT
#define GONE         MEMBER_GONE
#define LEFT         MEMBER_LEFT

static struct member_info
info(const char *id, uint64_t incarnation, enum member_state state)
{
	struct member_info x = {
		.incarnation = incarnation,
		.state = state,
	};

	snprintf(x.id, sizeof(x.id), "%s", id);
	snprintf(x.rpc, sizeof(x.rpc), "127.0.0.1:%s", id + 1);
	snprintf(x.operators, sizeof(x.operators), "127.0.1.1:%s", id + 1);
	snprintf(
	    x.domain, sizeof(x.domain), "domain-%d", atoi(id + 1) % DOMAINS);
	return x;
}

static void
test_update(void)
{
	static const struct {
		const char *name;
		const char *id;
		uint64_t incarnation;
		enum member_state state;
		bool applied;
		uint64_t after_incarnation;
		enum member_state after;
	} cases[] = {
		{ "repeated update", "n2", 10, LIVE, false, 10, LIVE },
		{ "suspected", "n2", 10, SUSPECT, true, 10, SUSPECT },
		{ "suspected in an older incarnation", "n2", 9, GONE, false, 10,
		    LIVE },
		{ "live does not replace gone", "n3", 10, LIVE, false, 10,
		    GONE },
		{ "live in a higher incarnation replaces gone", "n3", 11, LIVE,
		    true, 11, LIVE },
		{ "left replaces gone", "n3", 10, LEFT, true, 10, LEFT },
		{ "own suspicion is refuted", "n1", 10, SUSPECT, true, 11,
		    LIVE },
		{ "own state, older incarnation", "n1", 9, GONE, false, 10,
		    LIVE },
		{ "own id, newer incarnation", "n1", 12, LIVE, false, 10,
		    LIVE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct members t;
		struct member_info x = info("n1", 10, MEMBER_LIVE);
		const struct member *m;

		g_test_message("%s", cases[i].name);
		member_init(&t, &x, 0);
		x = info("n2", 10, MEMBER_LIVE);
		g_assert_true(member_update(&t, 0, &x));
		x = info("n3", 10, MEMBER_LIVE);
		g_assert_true(member_update(&t, 0, &x));
		x = info("n3", 10, MEMBER_GONE);
		g_assert_true(member_update(&t, 0, &x));
		x = info(cases[i].id, cases[i].incarnation, cases[i].state);
		g_assert_true(member_update(&t, 1, &x) == cases[i].applied);
		m = member_find(&t, cases[i].id);
		g_assert_cmpuint(
		    m->incarnation, ==, cases[i].after_incarnation);
		g_assert_cmpint(m->state, ==, cases[i].after);
		g_assert_true(t.superseded == (cases[i].incarnation == 12));
		member_free(&t);
	}
}

/* A host may come back with another size; news of before don't undo that. */
static void
test_capacity(void)
{
	static const struct {
		uint64_t incarnation;
		uint32_t capacity, after;
	} cases[] = {
		{ 10, 0, 250 },
		{ 10, 500, 500 },
		{ 11, 500, 500 },
		{ 9, 500, 250 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct members t;
		struct member_info x = info("n1", 10, MEMBER_LIVE);

		member_init(&t, &x, 0);
		x = info("n2", 10, MEMBER_LIVE);
		x.capacity = 250;
		member_update(&t, 0, &x);
		x.incarnation = cases[i].incarnation;
		x.capacity = cases[i].capacity;
		member_update(&t, 1, &x);
		g_assert_cmpuint(
		    member_find(&t, "n2")->capacity, ==, cases[i].after);
		member_free(&t);
	}
}

/*
 * A restart that is too short to be noticed as a failure is passed on, as what
 * others know of the old process is out of date; a denial is not.
 */
static void
test_restart(void)
{
	static const struct {
		const char *name;
		uint64_t incarnation;
		bool passed_on;
	} cases[] = {
		{ "denied that it is gone", 11, false },
		{ "restarted", 10 + (1 << 20), true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct members t;
		struct member_info x = info("n1", 10, MEMBER_LIVE);
		uint64_t version;

		g_test_message("%s", cases[i].name);
		member_init(&t, &x, 0);
		x = info("n2", 10, MEMBER_LIVE);
		g_assert_true(member_update(&t, 0, &x));
		version = t.version;
		x = info("n2", cases[i].incarnation, MEMBER_LIVE);
		g_assert_true(member_update(&t, 1, &x));
		g_assert_true((t.version > version) == cases[i].passed_on);
		member_free(&t);
	}
}

static void
test_live_list(void)
{
	static const char *const ids[] = { "n5", "n3", "n9", "n1", "n7" };
	struct members t;
	struct member_info x = info("n4", 1, MEMBER_LIVE);
	size_t n;
	uint64_t version;

	member_init(&t, &x, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		x = info(ids[i], 1, MEMBER_LIVE);
		member_update(&t, 0, &x);
	}
	for (size_t i = 1; i < 6; i++)
		g_assert_cmpstr(
		    member_live(&t, &n)[i - 1], <, member_live(&t, &n)[i]);
	g_assert_cmpuint(n, ==, 6);
	version = t.version;
	x = info("n5", 1, MEMBER_SUSPECT);
	member_update(&t, 0, &x);
	g_assert_cmpuint(t.version, ==, version);
	x = info("n3", 1, MEMBER_DRAINING);
	member_update(&t, 0, &x);
	x = info("n9", 1, MEMBER_LEFT);
	member_update(&t, 0, &x);
	member_live(&t, &n);
	g_assert_cmpuint(n, ==, 4);
	g_assert_cmpuint(t.version, >, version);
	g_assert_cmpuint(member_count_known(&t), ==, 5);
	for (int i = 0; i < 10; i++)
		member_sweep(&t, MEMBER_LEFT_RETENTION + 1);
	g_assert_null(member_find(&t, "n9"));
	g_assert_cmpuint(member_count_known(&t), ==, 5);
	/*
	 * Bytes of an entry, its texts (64) and its places in the two indexes
	 * (8 + 32).
	 */
	g_assert_cmpuint(sizeof(struct member) + 64 + 8 + 32, <=, MEMBER_BYTES);
	member_free(&t);
}

struct datagram {
	int to;
	struct gossip_message m;
};

struct fleet {
	struct gossip v[MAX_FLEET];
	bool down[MAX_FLEET]; /* crashed or paused */
	int partition[MAX_FLEET];
	int n;
	usec_t now;
	struct rng rng;
	GArray *datagrams;
	uint64_t bytes;
	uint64_t messages;
};

static void
send_all(struct fleet *f, int from, const struct gossip_send *out, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		int to = atoi(strchr(out[i].rpc, ':') + 1) - PORT_BASE;
		struct datagram d = { to, out[i].m };
		size_t bytes = gossip_message_bytes(&out[i].m);

		g_assert_cmpuint(bytes, <=, GOSSIP_PAGE_BYTES);
		f->bytes += bytes;
		f->messages++;
		if (f->partition[to] == f->partition[from] && !f->down[to] &&
		    rng_below(&f->rng, 100) >= LOSS_PERCENT)
			g_array_append_val(f->datagrams, d);
	}
}

/*
 * Runs a round of every running member and delivers datagrams until none is
 * left.
 */
static void
run_fleet_round(struct fleet *f)
{
	static struct gossip_send out[GOSSIP_MAX_SENDS];

	for (int i = 0; i < f->n; i++) {
		if (!f->down[i])
			send_all(
			    f, i, out, gossip_round(&f->v[i], f->now, out));
	}
	while (f->datagrams->len > 0) {
		GArray *now = f->datagrams;

		f->datagrams =
		    g_array_new(FALSE, FALSE, sizeof(struct datagram));
		for (guint i = 0; i < now->len; i++) {
			const struct datagram *d =
			    &g_array_index(now, struct datagram, i);

			send_all(f, d->to, out,
			    gossip_receive(&f->v[d->to], f->now, &d->m, out));
		}
		g_array_free(now, TRUE);
	}
	f->now += GOSSIP_INTERVAL;
}

static void
run_fleet_rounds(struct fleet *f, int n)
{
	for (int i = 0; i < n; i++)
		run_fleet_round(f);
}

static void
start(struct fleet *f, int i, uint64_t incarnation)
{
	static const char *const contacts[] = { "127.0.0.1:1000",
		"127.0.0.1:1001", "127.0.0.1:1002" };
	char id[16];
	struct member_info x;

	snprintf(id, sizeof(id), "n%d", PORT_BASE + i);
	x = info(id, incarnation, MEMBER_LIVE);
	gossip_init(&f->v[i], &x, (uint64_t)i + 1, f->now);
	gossip_set_contacts(&f->v[i], contacts, G_N_ELEMENTS(contacts));
}

static struct fleet *
fleet_new(int n, uint64_t seed)
{
	struct fleet *f = xcalloc(1, sizeof(*f));

	f->n = n;
	f->now = 100 * USEC_PER_SEC;
	rng_init(&f->rng, seed);
	f->datagrams = g_array_new(FALSE, FALSE, sizeof(struct datagram));
	for (int i = 0; i < n; i++)
		start(f, i, 1);
	return f;
}

static void
fleet_free(struct fleet *f)
{
	for (int i = 0; i < f->n; i++)
		gossip_free(&f->v[i]);
	g_array_free(f->datagrams, TRUE);
	free(f);
}

/* The number of running members whose list of live members has this size. */
static int
count_seeing(struct fleet *f, size_t live)
{
	int count = 0;

	for (int i = 0; i < f->n; i++) {
		size_t n;

		member_live(&f->v[i].members, &n);
		count += !f->down[i] && n == live;
	}
	return count;
}

/*
 * Runs rounds until all running members see this many live ones; fails after
 * bound rounds.
 */
static int
run_until_seeing(struct fleet *f, int live, int bound)
{
	int n_rounds = 0;

	while (count_seeing(f, (size_t)live) < live && n_rounds < bound) {
		run_fleet_round(f);
		n_rounds++;
	}
	g_assert_cmpint(count_seeing(f, (size_t)live), ==, live);
	return n_rounds;
}

static const struct {
	int n;
	int max_join;   /* rounds until every member knows all others */
	int max_spread; /* rounds until an update has reached every member */
	int max_detect; /* rounds until all see a crashed member as gone */
} sizes[] = {
	{ 9, 60, 8, 28 },
	{ 27, 80, 10, 30 },
	{ 200, 160, 14, 34 },
};

static void
check_spread(struct fleet *f, int bound)
{
	int n_reached = 0;
	int n_rounds = 0;

	member_set_generation(&f->v[1].members, f->now, 7);
	gossip_leaving(&f->v[2], f->now, "lm", "127.0.0.1:9");
	while (n_reached < 2 * f->n && n_rounds < bound) {
		run_fleet_round(f);
		n_rounds++;
		n_reached = 0;
		for (int i = 0; i < f->n; i++) {
			n_reached += f->v[i].members.generation == 7;
			n_reached += f->v[i].n_leaving == 1;
		}
	}
	g_test_message(
	    "%d sequoiads: updates everywhere in %d rounds", f->n, n_rounds);
	g_assert_cmpint(n_reached, ==, 2 * f->n);
	for (int i = 0; i < f->n; i++)
		g_assert_cmpstr(member_config_source(&f->v[i].members, 7, 5),
		    ==, "127.0.0.1:1001");
}

static void
test_fleet(void)
{
	for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
		struct fleet *f = fleet_new(sizes[k].n, k + 1);
		int n = f->n;

		g_test_message("%d sequoiads: joined in %d rounds", n,
		    run_until_seeing(f, n, sizes[k].max_join));
		check_spread(f, sizes[k].max_spread);

		/*
		 * Message loss alone makes no member gone; bytes per round are
		 * bounded.
		 */
		run_fleet_rounds(f, 40);
		f->bytes = 0;
		f->messages = 0;
		for (int i = 0; i < 60; i++) {
			run_fleet_round(f);
			g_assert_cmpint(count_seeing(f, (size_t)n), ==, n);
		}
		g_test_message("%d sequoiads: %d bytes in %.1f messages sent "
			       "a round and node",
		    n, (int)(f->bytes / 60 / (uint64_t)n),
		    (double)f->messages / 60 / n);
		g_assert_cmpuint(
		    f->bytes / 60 / (uint64_t)n, <=, 8 * GOSSIP_BYTES);

		f->down[3] = true;
		g_test_message("%d sequoiads: one gone in %d rounds", n,
		    run_until_seeing(f, n - 1, sizes[k].max_detect));

		/* The crashed member restarts with a higher incarnation. */
		f->down[3] = false;
		gossip_free(&f->v[3]);
		start(f, 3, 2);
		run_until_seeing(f, n, sizes[k].max_join);
		fleet_free(f);
	}
}

static void
test_paused(void)
{
	struct fleet *f = fleet_new(27, 5);

	run_fleet_rounds(f, 80);
	f->down[4] = true;
	run_fleet_rounds(f, 60);
	g_assert_cmpint(count_seeing(f, 26), ==, 26);
	f->down[5] = true;
	run_fleet_rounds(f, 60);
	g_assert_cmpint(count_seeing(f, 25), ==, 25);

	/*
	 * Member 4 resumes and still lists member 5 as live; no other member
	 * adopts that state.
	 */
	f->down[4] = false;
	for (int i = 0; i < 40; i++) {
		run_fleet_round(f);
		for (int j = 0; j < f->n; j++) {
			const struct member *m =
			    member_find(&f->v[j].members, "n1005");

			if (j != 4 && j != 5)
				g_assert_cmpint(m->state, ==, MEMBER_GONE);
		}
	}
	g_assert_cmpint(count_seeing(f, 26), ==, 26);
	g_assert_cmpuint(f->v[4].members.self->incarnation, >, 1);
	fleet_free(f);
}

/* A pause of this process does not make other members unresponsive. */
static void
test_unresponsive(void)
{
	static const struct {
		const char *name;
		int rounds;
		usec_t pause;
		enum member_state state;
	} cases[] = {
		{ "probed just now", 2, 0, LIVE },
		{ "unanswered for long", 8, 0, SUSPECT },
		{ "a pause", 2, 60 * USEC_PER_SEC, LIVE },
		{ "confirmed", 24, 0, GONE },
		{ "a pause while suspect", 8, 60 * USEC_PER_SEC, SUSPECT },
	};
	static struct gossip_send out[GOSSIP_MAX_SENDS];

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct gossip g;
		struct member_info x = info("n1", 1, MEMBER_LIVE);
		usec_t now = USEC_PER_SEC;

		g_test_message("%s", cases[i].name);
		gossip_init(&g, &x, 1, now);
		x = info("n2", 1, MEMBER_LIVE);
		member_update(&g.members, now, &x);
		for (int k = 0; k < cases[i].rounds; k++) {
			gossip_round(&g, now, out);
			now += GOSSIP_INTERVAL;
		}
		gossip_round(&g, now + cases[i].pause, out);
		g_assert_cmpint(
		    member_find(&g.members, "n2")->state, ==, cases[i].state);
		gossip_free(&g);
	}
}

static void
test_partition(void)
{
	struct fleet *f = fleet_new(27, 6);

	run_fleet_rounds(f, 80);
	for (int i = 0; i < 10; i++)
		f->partition[i] = 1;
	run_fleet_rounds(f, 60);
	g_assert_cmpint(count_seeing(f, 10), ==, 10);
	g_assert_cmpint(count_seeing(f, 17), ==, 17);
	g_assert_cmpuint(member_count_known(&f->v[0].members), ==, 27);
	for (int i = 0; i < 10; i++)
		f->partition[i] = 0;
	run_fleet_rounds(f, 80);
	g_assert_cmpint(count_seeing(f, 27), ==, 27);
	fleet_free(f);
}

static void
test_departure(void)
{
	struct fleet *f = fleet_new(9, 7);

	run_fleet_rounds(f, 60);
	member_drain(&f->v[2].members, f->now);
	run_fleet_rounds(f, 10);
	g_assert_cmpint(count_seeing(f, 8), ==, 9);
	member_leave(&f->v[2].members, f->now);
	run_fleet_rounds(f, 10);
	f->down[2] = true;
	run_fleet_rounds(f, 30);
	for (int i = 0; i < 9; i++)
		g_assert_true(f->down[i] ||
		    member_find(&f->v[i].members, "n1002")->state ==
			MEMBER_LEFT);
	/* The gossip that a target is leaving ends after LEAVING_TTL. */
	gossip_leaving(&f->v[0], f->now, "lm", "127.0.0.1:9");
	run_fleet_rounds(f, 8);
	g_assert_cmpuint(f->v[5].n_leaving, ==, 1);
	run_fleet_rounds(f, (int)(LEAVING_TTL / GOSSIP_INTERVAL) + 2);
	for (int i = 0; i < 9; i++)
		g_assert_true(f->down[i] || f->v[i].n_leaving == 0);
	fleet_free(f);
}

/*
 * The only contact of a fleet is stopped as planned and comes back: it knows
 * nobody else, so the others must look for it.
 */
static void
test_returned_contact(void)
{
	static const char *const contacts[] = { "127.0.0.1:1000" };
	struct fleet *f = fleet_new(3, 8);

	for (int i = 0; i < f->n; i++)
		gossip_set_contacts(&f->v[i], contacts, 1);
	run_until_seeing(f, 3, 60);
	member_leave(&f->v[0].members, f->now);
	run_fleet_rounds(f, 10);
	f->down[0] = true;
	g_assert_cmpint(count_seeing(f, 2), ==, 2);
	f->down[0] = false;
	gossip_free(&f->v[0]);
	start(f, 0, 2);
	gossip_set_contacts(&f->v[0], contacts, 1);
	run_until_seeing(f, 3, 10);
	fleet_free(f);
}

/*
 * The only contact of a fleet is away for good, as planned, when the fleet is
 * cut in two: the parts must find each other by their gone members, whether the
 * contact is still known or forgotten.
 */
static void
test_partition_without_contact(void)
{
	static const char *const contacts[] = { "127.0.0.1:1000" };
	static const int rounds_away[] = { 10,
		(int)(MEMBER_LEFT_RETENTION / GOSSIP_INTERVAL) + 10 };

	for (size_t k = 0; k < G_N_ELEMENTS(rounds_away); k++) {
		struct fleet *f = fleet_new(9, 9);

		for (int i = 0; i < f->n; i++)
			gossip_set_contacts(&f->v[i], contacts, 1);
		run_until_seeing(f, 9, 60);
		member_leave(&f->v[0].members, f->now);
		run_fleet_rounds(f, 10);
		f->down[0] = true;
		run_fleet_rounds(f, rounds_away[k]);
		for (int i = 1; i < 5; i++)
			f->partition[i] = 1;
		run_fleet_rounds(f, 60);
		g_assert_cmpint(count_seeing(f, 4), ==, 8);
		for (int i = 1; i < 5; i++)
			f->partition[i] = 0;
		run_until_seeing(f, 8, 40);
		fleet_free(f);
	}
}

/* A message of one member to another. */
static struct gossip_message
message_from(const struct member_info *from)
{
	return (struct gossip_message){ .self = *from, .up = 3 };
}

/*
 * A member that asked for a probe and has been removed before its answer came:
 * the answer was reported to freed memory.
 */
static void
test_removed_requester(void)
{
	struct member_info self = info("n1", 10, LIVE);
	struct member_info requester = info("n2", 10, LIVE);
	struct member_info subject = info("n3", 10, LIVE);
	struct gossip_send *out = g_new0(struct gossip_send, GOSSIP_MAX_SENDS);
	struct gossip_message m;
	struct gossip g;
	usec_t now = MEMBER_LEFT_RETENTION - USEC_PER_SEC;

	gossip_init(&g, &self, 1, 0);
	g_assert_true(member_update(&g.members, 0, &requester));
	g_assert_true(member_update(&g.members, 0, &subject));
	requester.state = LEFT;
	g_assert_true(member_update(&g.members, 0, &requester));
	m = message_from(&requester);
	g_strlcpy(m.check, subject.id, sizeof(m.check));
	g_assert_cmpuint(gossip_receive(&g, now, &m, out), ==, 1);
	for (int i = 0; i < 4; i++) {
		now += GOSSIP_INTERVAL + 100 * USEC_PER_MSEC;
		gossip_round(&g, now, out);
	}
	g_assert_null(member_find(&g.members, requester.id));
	m = message_from(&subject);
	g_assert_cmpuint(gossip_receive(&g, now, &m, out), ==, 0);
	gossip_free(&g);
	g_free(out);
}

/*
 * Hosts whose names take up all of a message: the size that was left wrapped,
 * and messages had any number of members.
 */
static void
test_long_names(void)
{
	struct member_info self = info("n1", 10, LIVE);
	struct gossip_send *out = g_new0(struct gossip_send, GOSSIP_MAX_SENDS);
	struct gossip g;
	size_t n;
	size_t n_infos = 0;

	memset(self.id, 'x', sizeof(self.id) - 1);
	memset(self.rpc, 'r', sizeof(self.rpc) - 1);
	memset(self.operators, 'o', sizeof(self.operators) - 1);
	memset(self.domain, 'd', sizeof(self.domain) - 1);
	gossip_init(&g, &self, 1, 0);
	member_set_generation(&g.members, 0, 2);
	for (int i = 0; i < MAX_FLEET; i++) {
		g_autofree char *id = g_strdup_printf("n%d", i);
		struct member_info x = info(id, 10, LIVE);

		g_assert_true(member_update(&g.members, 0, &x));
	}
	n = gossip_round(&g, USEC_PER_SEC, out);
	g_assert_cmpuint(n, >, 0);
	for (size_t i = 0; i < n; i++) {
		g_assert_cmpuint(
		    gossip_message_bytes(&out[i].m), <=, GOSSIP_DIFF_BYTES);
		n_infos += out[i].m.n_infos;
	}
	g_assert_cmpuint(n_infos, >, 0);
	gossip_free(&g);
	g_free(out);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member/update", test_update);
	g_test_add_func("/member/capacity", test_capacity);
	g_test_add_func("/member/restart", test_restart);
	g_test_add_func("/member/live-list", test_live_list);
	g_test_add_func("/member/fleet", test_fleet);
	g_test_add_func("/member/paused", test_paused);
	g_test_add_func("/member/unresponsive", test_unresponsive);
	g_test_add_func("/member/partition", test_partition);
	g_test_add_func("/member/departure", test_departure);
	g_test_add_func("/member/returned-contact", test_returned_contact);
	g_test_add_func("/member/partition-without-contact",
	    test_partition_without_contact);
	g_test_add_func("/member/removed-requester", test_removed_requester);
	g_test_add_func("/member/long-names", test_long_names);
	return g_test_run();
}
