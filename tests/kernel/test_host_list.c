/*
 * The list of hosts in the store: a host that starts knows the fleet from it,
 * whatever it contains never replaces what gossip has said, and it is written
 * seldom.
 */
#include "kernel/host_list.h"

#include <stdio.h>
#include <string.h>

#define FLEET 295
#define SEC   USEC_PER_SEC

static struct member_info
host(int i, uint64_t incarnation)
{
	struct member_info x = { .incarnation = incarnation,
		.capacity = i % 16 == 0 ? 500 : 120 };

	snprintf(x.id, sizeof(x.id), "front-%03d", i);
	snprintf(x.rpc, sizeof(x.rpc), "10.0.%d.%d:8369", i / 50, i % 50);
	snprintf(x.domain, sizeof(x.domain), "domain-%d", i % 6);
	return x;
}

static void
init_fleet(struct members *t, int n, uint64_t incarnation)
{
	struct member_info self = host(0, incarnation);

	member_init(t, &self, 0);
	for (int i = 1; i < n; i++) {
		struct member_info x = host(i, incarnation);

		g_assert_true(member_update(t, 0, &x));
	}
}

/* Power returns to all hosts: each knows all others from its first listing. */
static void
test_start(void)
{
	struct members old, t;
	struct member_info self = host(7, 200);
	struct host_list_counts n;
	struct buf text = { 0 };
	size_t live;

	init_fleet(&old, FLEET, 100);
	host_list_write(&old, &text);
	member_init(&t, &self, 0);
	n = host_list_read(&t, str_of(&text), 5 * SEC);
	g_assert_cmpuint(n.learned, ==, FLEET - 1);
	g_assert_cmpuint(n.malformed, ==, 0);
	member_live(&t, &live);
	g_assert_cmpuint(live, ==, FLEET);
	g_assert_cmpuint(member_find(&t, "front-016")->capacity, ==, 500);
	g_assert_cmpstr(
	    member_rpc(member_find(&t, "front-051")), ==, "10.0.1.1:8369");
	/* The others must not be gossiped as if they were news. */
	g_assert_cmpuint(t.joins.length, ==, 0);
	/* A member that has restarted since replaces its entry. */
	self = host(51, 300);
	g_assert_true(member_update(&t, 6 * SEC, &self));
	g_assert_cmpuint(member_find(&t, "front-051")->incarnation, ==, 300);
	buf_free(&text);
	member_free(&t);
	member_free(&old);
}

/* What is known from gossip stays, a gone member too. */
static void
test_known(void)
{
	struct members old, t;
	struct member_info x;
	struct buf text = { 0 };
	size_t live;

	init_fleet(&old, 4, 100);
	host_list_write(&old, &text);
	init_fleet(&t, 3, 50);
	x = host(2, 50);
	x.state = MEMBER_GONE;
	g_assert_true(member_update(&t, SEC, &x));
	g_assert_cmpuint(
	    host_list_read(&t, str_of(&text), 2 * SEC).learned, ==, 1);
	member_live(&t, &live);
	g_assert_cmpuint(live, ==, 3);
	g_assert_cmpint(member_find(&t, "front-002")->state, ==, MEMBER_GONE);
	buf_free(&text);
	member_free(&t);
	member_free(&old);
}

static void
test_malformed(void)
{
	static const char *const lines[] = { "h1", "\t\t\t\t\t",
		"h1\t10.0.0.1:1\t\td\tx\t5", "h1\t10.0.0.1:1\t\td\t5\t-1",
		"h1\t10.0.0.1:1\t\td\t5\t5\tmore", "h1\t\t\td\t5\t5",
		"h1\t10.0.0.1:1\t\td\t5\t99999999999",
		"h1\t10.0.0.1:1\t\td\t18446744073709551615\t5",
		"\x01\xff\xfe" };
	struct members t;

	init_fleet(&t, 1, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		struct host_list_counts n =
		    host_list_read(&t, str_from(lines[i]), SEC);

		g_test_message("%s", lines[i]);
		g_assert_cmpuint(n.learned, ==, 0);
		g_assert_cmpuint(n.malformed, ==, 1);
	}
	member_free(&t);
}

/* Returns how often the list is written in a span of time, well or not. */
static int
count_writes(struct host_list_writer *w, struct members *t, usec_t from,
    usec_t to, bool ok)
{
	int n = 0;

	for (usec_t now = from; now < to; now += SEC / 4) {
		struct buf text = { 0 };

		if (host_list_due(w, t, now, &text)) {
			n++;
			host_list_written(w, ok);
		}
		buf_free(&text);
	}
	return n;
}

static void
test_writes(void)
{
	struct host_list_writer w = { 0 };
	struct members t;
	struct member_info x;
	struct buf text = { 0 };

	init_fleet(&t, 20, 1);
	g_assert_cmpint(count_writes(&w, &t, SEC, 2 * SEC, true), ==, 0);
	/* Writes that fail are repeated, every 5 s. */
	g_assert_cmpint(count_writes(&w, &t, 2 * SEC, 20 * SEC, false), ==, 4);
	g_assert_cmpint(count_writes(&w, &t, 20 * SEC, 60 * SEC, true), ==, 1);
	/* A restart alone changes nothing that lasts. */
	x = host(3, 2);
	g_assert_true(member_update(&t, 60 * SEC, &x));
	g_assert_cmpint(count_writes(&w, &t, 60 * SEC, 70 * SEC, true), ==, 0);
	/* A new host does; one write for several. */
	for (int i = 20; i < 30; i++) {
		x = host(i, 1);
		g_assert_true(member_update(&t, 70 * SEC, &x));
	}
	g_assert_cmpint(count_writes(&w, &t, 70 * SEC, 90 * SEC, true), ==, 1);
	/* A host that takes over the writing knows what is stored. */
	w = (struct host_list_writer){ 0 };
	host_list_write(&t, &text);
	host_list_stored(&w, str_of(&text));
	g_assert_cmpint(count_writes(&w, &t, 90 * SEC, 120 * SEC, true), ==, 0);
	buf_free(&text);
	member_free(&t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/host-list/start", test_start);
	g_test_add_func("/host-list/known", test_known);
	g_test_add_func("/host-list/malformed", test_malformed);
	g_test_add_func("/host-list/writes", test_writes);
	return g_test_run();
}
