/*
 * Targets whose entries lapse and come back, as after a restore of the store
 * from an older copy: what a host had learned of them still holds.
 */
#include "kernel/feeders.h"
#include "kernel/loads.h"
#include "kernel/store_position.h"

#define SEC USEC_PER_SEC

enum news {
	NEWS_LEAVING,  /* an answer says that the target leaves */
	NEWS_REST,     /* an answer asks for a rest of 10 s */
	NEWS_LIMIT,    /* an answer names a limit of no requests */
	NEWS_DRAINING, /* a newer entry says that the target leaves */
	NEWS_NONE
};

static const struct relisted_case {
	const char *name;
	enum news news;
	usec_t missing;     /* time without an entry; 0: it was there always */
	uint64_t born, seq; /* of the entry that comes back; before: 5, 20 */
	usec_t after;       /* time from then on */
	bool usable;
} cases[] = {
	{ "leaving", NEWS_LEAVING, 2 * SEC, 5, 18, 60 * SEC, false },
	{ "leaving, newer entry", NEWS_LEAVING, 2 * SEC, 5, 25, SEC, false },
	{ "leaving, no seq", NEWS_LEAVING, 2 * SEC, 5, 0, SEC, false },
	{ "leaving, no birth", NEWS_LEAVING, 2 * SEC, 0, 25, SEC, false },
	{ "leaving, born anew", NEWS_LEAVING, 2 * SEC, 6, 1, 1, true },
	{ "leaving, born before", NEWS_LEAVING, 0, 4, 25, 60 * SEC, false },
	{ "leaving, never missing", NEWS_LEAVING, 0, 5, 18, SEC, false },
	{ "left long ago", NEWS_LEAVING, 600 * SEC, 5, 25, 1, true },
	{ "rest", NEWS_REST, 2 * SEC, 5, 25, SEC, false },
	{ "rest is over", NEWS_REST, 2 * SEC, 5, 25, 9 * SEC, true },
	{ "rest, born anew", NEWS_REST, 2 * SEC, 6, 1, 1, true },
	{ "rest, born before", NEWS_REST, 2 * SEC, 4, 25, 5 * SEC, false },
	{ "limit", NEWS_LIMIT, 2 * SEC, 5, 25, SEC, false },
	{ "limit, born anew", NEWS_LIMIT, 2 * SEC, 6, 1, 1, true },
	{ "draining", NEWS_DRAINING, 0, 5, 20, 60 * SEC, false },
	{ "draining, missing", NEWS_DRAINING, SEC, 5, 20, 60 * SEC, false },
	{ "draining, newer entry", NEWS_DRAINING, 0, 5, 25, 1, true },
	{ "draining, no seq", NEWS_DRAINING, 0, 5, 0, 1, true },
	{ "draining, born anew", NEWS_DRAINING, 0, 6, 1, 1, true },
	{ "draining, born before", NEWS_DRAINING, 0, 4, 25, 60 * SEC, false },
	{ "born before", NEWS_NONE, 0, 4, 25, SEC, false },
	{ "born before, still there", NEWS_NONE, 0, 4, 25, 3 * SEC, true },
	{ "gone", NEWS_NONE, 2 * SEC, 5, 18, SEC, false },
	{ "gone, still there", NEWS_NONE, 2 * SEC, 5, 18, 3 * SEC, true },
	{ "lapsed", NEWS_NONE, 2 * SEC, 5, 25, 1, true },
	{ "lapsed, no seq", NEWS_NONE, 2 * SEC, 5, 0, 1, true },
	{ "older entry, never missing", NEWS_NONE, 0, 5, 18, 1, true },
};

static void
list(struct loads *l, uint64_t born, uint64_t seq, bool leaving, usec_t now)
{
	g_autoptr(GArray) v =
	    g_array_new(FALSE, TRUE, sizeof(struct target_entry));
	struct target_entry e = { .id = "i-1",
		.service = "s",
		.addr = "10.0.0.1:80",
		.slots = 4,
		.born_ms = born,
		.seq = seq,
		.leaving = leaving };

	g_array_append_val(v, e);
	loads_update(l, v, now);
}

static void
learn(struct loads *l, enum news news, usec_t now)
{
	struct target_load *t = loads_find(l, "i-1");

	switch (news) {
	case NEWS_LEAVING:
		loads_mark_leaving(l, t);
		break;
	case NEWS_REST:
		loads_rest(t, 10 * SEC, now);
		break;
	case NEWS_LIMIT:
		target_limit_answered(&t->limit, 1e-6, now, now);
		loads_limit_changed(l, t, now);
		break;
	case NEWS_DRAINING:
		list(l, 5, 21, true, now);
		break;
	case NEWS_NONE:
		break;
	}
}

static void
test_relisted(void)
{
	static const struct rendezvous_host host = { "h1", 250 };
	struct loads_query q = { .service = "s" };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct relisted_case *x = &cases[i];
		g_autoptr(GArray) none =
		    g_array_new(FALSE, TRUE, sizeof(struct target_entry));
		struct loads l;
		usec_t now = SEC;

		loads_init(&l, "d", 1);
		loads_set_hosts(&l, &host, 1, "h1", now);
		list(&l, 5, 20, false, now);
		learn(&l, x->news, now);
		if (x->missing > 0) {
			loads_update(&l, none, now);
			now += x->missing;
			loads_update(&l, none, now);
		}
		list(&l, x->born, x->seq, false, now);
		now += x->after;
		list(&l, x->born, x->seq, false, now);
		g_test_message("%s", x->name);
		g_assert_cmpint(
		    loads_choose(&l, &q, now) != NULL, ==, x->usable);
		loads_free(&l);
	}
}

/* What other hosts tell of a target that has restarted since is dropped. */
static void
test_told(void)
{
	static const struct rendezvous_host host = { "h1", 250 };
	static const struct {
		usec_t said; /* since the restart */
		uint64_t born;
		bool counts;
	} tellings[] = {
		{ -SEC, 5, true },
		{ -SEC, 6, false },
		{ SEC, 6, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(tellings); i++) {
		struct brittle_answer a = { .target = "i-1", .refusals = 9 };
		struct target_load *t;
		struct loads l;
		usec_t now = 9 * SEC;
		usec_t said_at = now + tellings[i].said;

		loads_init(&l, "d", 1);
		loads_set_hosts(&l, &host, 1, "h1", now);
		list(&l, 5, 20, false, now);
		list(&l, tellings[i].born, 1, false, now);
		t = loads_find(&l, "i-1");
		g_assert_cmpint(loads_limit_told(t, 1, said_at, now + 2 * SEC),
		    ==, tellings[i].counts);
		loads_brittle_told(&l, t, &a, said_at);
		g_assert_cmpint(
		    t->brittle.refusals > 0, ==, tellings[i].counts);
		loads_free(&l);
	}
}

/*
 * Feeds of changes, as the receivers of a restored store get them: one that is
 * dropped must not count as a sign that the feed is current.
 */
static void
test_feed(void)
{
	static const struct {
		int64_t known, from, to;
		bool complete;
		enum feed_use use;
	} feeds[] = {
		{ 100, 100, 102, true, FEED_APPLY },
		{ 100, 98, 102, true, FEED_APPLY },
		{ 100, 100, 102, false, FEED_GAP },
		{ 100, 101, 102, true, FEED_GAP },
		{ 100, 102, 102, true, FEED_GAP },
		{ 100, 100, 100, true, FEED_CURRENT },
		{ 100, 90, 100, true, FEED_CURRENT },
		{ 100, 60, 60, true, FEED_BEHIND },
		{ 100, 60, 65, true, FEED_BEHIND },
		{ 0, 60, 65, true, FEED_BEHIND },
		{ 100, 62, 60, true, FEED_RESTORED },
		{ 100, 102, 100, true, FEED_RESTORED },
		{ 0, 62, 60, true, FEED_RESTORED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(feeds); i++)
		g_assert_cmpint(feeders_judge(feeds[i].known, feeds[i].from,
				    feeds[i].to, feeds[i].complete),
		    ==, feeds[i].use);
}

/* States of other hosts, as a host takes them that can't reach the store. */
static void
test_position(void)
{
	static const struct {
		struct store_position theirs, own;
		bool covers;
	} positions[] = {
		{ { 0, 100 }, { 0, 0 }, true },
		{ { 0, 100 }, { 0, 100 }, true },
		{ { 0, 99 }, { 0, 100 }, false },
		{ { 2, 99 }, { 2, 100 }, false },
		{ { 2, 100 }, { 2, 99 }, true },
		{ { 3, 60 }, { 2, 100 }, true },
		{ { 2, 100 }, { 3, 60 }, false },
		{ { 2, 100 }, { 3, 0 }, false },
		{ { 2, 100 }, { 0, 60 }, true },
		{ { 0, 60 }, { 2, 100 }, false },
		{ { 0, 200 }, { 2, 100 }, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(positions); i++)
		g_assert_cmpint(store_position_covers(
				    &positions[i].theirs, &positions[i].own),
		    ==, positions[i].covers);
}

/*
 * Whether a target that a restored store lacks is listed, by the time since the
 * restore at which its entry was found missing and at which it is asked for.
 */
static void
test_grace(void)
{
	static const struct {
		bool restored;
		usec_t missing_at, listed_at;
		bool listed;
	} graces[] = {
		{ true, 0, SEC, true },
		{ true, 0, 3 * SEC, false },
		{ true, 3 * SEC, 3 * SEC, false },
		{ false, 0, 0, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(graces); i++) {
		struct target_entry e = { .id = "i-1", .service = "s" };
		struct roster r;
		usec_t now = SEC;
		g_autoptr(GArray) v = NULL;

		roster_init(&r);
		roster_put(&r, &e);
		if (graces[i].restored)
			roster_store_restored(&r, now);
		roster_begin(&r);
		roster_finish(&r, now + graces[i].missing_at);
		roster_tick(&r, now + graces[i].listed_at);
		v = roster_list(&r);
		g_assert_cmpint(v->len == 1, ==, graces[i].listed);
		roster_free(&r);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/restored-store/relisted", test_relisted);
	g_test_add_func("/restored-store/told", test_told);
	g_test_add_func("/restored-store/feed", test_feed);
	g_test_add_func("/restored-store/position", test_position);
	g_test_add_func("/restored-store/grace", test_grace);
	return g_test_run();
}
