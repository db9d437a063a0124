/*
 * Messages between hosts with the most and the longest that they are filled
 * from: one that doesn't fit is not sent, and its news are lost.
 */
#include "entry/discovery_state.h"
#include "kernel/crash_suspects.h"
#include "kernel/roster.h"

#include <stdlib.h>
#include <string.h>

/* The longest datagram that is sent, without the head of the call. */
#define DATAGRAM_BYTES 64900

static char *
text(size_t n)
{
	return g_strnfill(n, 'x');
}

static bool
fits(const peer_body *body)
{
	g_autofree char *id = text(MAX_NAME_BYTES);
	g_autofree char *bytes = g_malloc(DATAGRAM_BYTES);
	peer_letter l = { .from = id, .rpc = id, .body = *body };
	XDR x;
	bool ok;

	xdrmem_create(&x, bytes, DATAGRAM_BYTES, XDR_ENCODE);
	ok = xdr_peer_letter(&x, &l) != 0;
	xdr_destroy(&x);
	return ok;
}

static void
test_targets(void)
{
	g_autofree char *id = text(sizeof((struct target_entry){ 0 }.id) - 1);
	g_autofree uint64_t *parts = g_new0(uint64_t, PART_SET_MAX);
	peer_prompt calls[CRASH_MAX_CALLS];
	uint64_t known[PEER_KNOWN_MAX] = { 0 };
	const struct {
		const char *name;
		peer_body body;
	} cases[] = {
		{ "limit",
		    { .kind = PEER_LIMIT,
			.peer_body_u.limit = { .target = id } } },
		{ "brittle",
		    { .kind = PEER_BRITTLE,
			.peer_body_u.brittle = { .target = id } } },
		{ "crash",
		    { .kind = PEER_CRASH,
			.peer_body_u.crash = { .target = id,
			    .calls = { CRASH_MAX_CALLS, calls },
			    .known = { PEER_KNOWN_MAX, known } } } },
		{ "stream",
		    { .kind = PEER_STREAM,
			.peer_body_u.stream = { .id = id,
			    .service = id,
			    .software = id } } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		calls[i].parts.parts_len = PART_SET_MAX;
		calls[i].parts.parts_val = parts;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("%s", cases[i].name);
		g_assert_true(fits(&cases[i].body));
	}
}

/* An ask takes the news along, and a list may name many calls. */
static void
test_placing(void)
{
	g_autofree char *id = text(sizeof((struct target_entry){ 0 }.id) - 1);
	g_autofree char *domain = text(PEER_NAME_MAX);
	g_autofree peer_place_event *events =
	    g_new0(peer_place_event, PEER_PLACE_EVENTS_MAX);
	g_autofree peer_place_call *calls =
	    g_new0(peer_place_call, PEER_PLACE_CALLS_MAX);
	peer_part parts[PEER_PARTS_MAX] = { 0 };
	peer_prompt_size size = { .parts = { PEER_PARTS_MAX, parts } };
	char *tried[PEER_TRIED_MAX];
	peer_place_news news = { .service = id,
		.domain = domain,
		.events = { PEER_PLACE_EVENTS_MAX, events } };
	peer_body ask = { .kind = PEER_PLACE_ASK };
	peer_body list = { .kind = PEER_PLACE_NEWS };

	for (size_t i = 0; i < PEER_PLACE_EVENTS_MAX; i++) {
		events[i].fact.kind = PEER_PLACE_SENT;
		events[i].fact.peer_place_fact_u.sent =
		    (peer_place_sent){ .target = id, .size = size };
	}
	for (size_t i = 0; i < PEER_TRIED_MAX; i++)
		tried[i] = id;
	ask.peer_body_u.place_ask = (peer_place_ask){ .size = size,
		.software = id,
		.input_domain = domain,
		.tried = { PEER_TRIED_MAX, tried },
		.news = news };
	g_assert_true(fits(&ask));
	news.listed = true;
	news.calls.calls_len = PEER_PLACE_CALLS_MAX;
	news.calls.calls_val = calls;
	list.peer_body_u.place_news = news;
	g_assert_true(fits(&list));
}

/* A batch of changes that doesn't fit is sent as a gap: receivers poll. */
static void
test_feed(void)
{
	static const struct {
		size_t n;
		size_t key_bytes;
		size_t value_bytes;
		bool is_gap;
		u_int sent;
	} cases[] = {
		{ 1, 20, 200, false, 1 },
		{ 64, 70, 300, false, 64 },
		{ 65, 20, 200, true, 0 },
		{ 64, 20, 4000, true, 0 },
		/* Not one of this fleet's keys. */
		{ 2, 257, 10, false, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct kv_changes c = { .n = cases[i].n, .as_of = 9 };
		peer_feed_item items[PEER_FEED_ITEMS];
		peer_body body = { .kind = PEER_FEED };
		const peer_feed *f = &body.peer_body_u.feed;
		g_autofree char *key = text(cases[i].key_bytes);
		g_autofree char *value = text(cases[i].value_bytes);

		c.v = xcalloc(c.n, sizeof(*c.v));
		for (size_t k = 0; k < c.n; k++) {
			buf_put(&c.v[k].key, str_from(key));
			buf_put(&c.v[k].value, str_from(value));
		}
		discovery_write_feed(&body.peer_body_u.feed, items, 3, &c);
		g_assert_true(fits(&body));
		g_assert_cmpint(f->from, ==, cases[i].is_gap ? 9 : 3);
		g_assert_cmpint(f->to, ==, 9);
		g_assert_cmpuint(f->items.items_len, ==, cases[i].sent);
		for (size_t k = 0; k < c.n; k++) {
			buf_free(&c.v[k].key);
			buf_free(&c.v[k].value);
		}
		free(c.v);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/messages/targets", test_targets);
	g_test_add_func("/messages/placing", test_placing);
	g_test_add_func("/messages/feed", test_feed);
	return g_test_run();
}
