/*
 * Replies to many hosts that fetch a document at once, some of which read
 * nothing: the others get theirs before their fetches end.
 */
#include "kernel/peer_replies.h"

#include <glib.h>

#define MAX_RECEIVERS 300
#define STEP          (10 * USEC_PER_MSEC)

static const struct load_case {
	const char *name;
	unsigned int n;      /* receivers */
	unsigned int silent; /* the first of them read nothing */
	size_t bytes;        /* of the document */
	size_t per_second;   /* that each other receiver reads */
	usec_t latest;       /* all others have it by then */
} cases[] = {
	{ "one", 1, 0, 70000, 1250000, 100 * USEC_PER_MSEC },
	{ "nine, a busy link", 9, 0, 70000, 125000, 600 * USEC_PER_MSEC },
	{ "58 of one host", 58, 0, 70000, 125000, 600 * USEC_PER_MSEC },
	{ "half are silent", 58, 29, 70000, 125000, 600 * USEC_PER_MSEC },
	{ "more than are sent at once", 20, 0, 1000000, 1250000,
	    2500 * USEC_PER_MSEC },
	{ "the silent ones come first", 20, 8, 1000000, 1250000,
	    3000 * USEC_PER_MSEC },
	{ "small ones pass", 300, 200, 60000, 125000, 500 * USEC_PER_MSEC },
};

struct receiver {
	struct peer_replier state;
	size_t unsent;
	usec_t done_at; /* 0: not yet */
	bool closed;
};

static size_t
sum_unsent(const struct receiver *v, unsigned int n)
{
	size_t sum = 0;

	for (unsigned int i = 0; i < n; i++)
		sum += v[i].unsent;
	return sum;
}

static size_t
count_turns(const struct receiver *v, unsigned int n)
{
	size_t count = 0;

	for (unsigned int i = 0; i < n; i++)
		count += !v[i].closed && v[i].state.wait == PEER_WAIT_TURN;
	return count;
}

static void
begin(const struct load_case *x, struct receiver *v, usec_t now)
{
	for (unsigned int i = 0; i < x->n; i++) {
		if (v[i].closed || v[i].state.wait != PEER_WAIT_TURN ||
		    x->bytes > peer_replies_room(sum_unsent(v, x->n)))
			continue;
		v[i].state = (struct peer_replier){ PEER_WAIT_TAKEN, now, now };
		v[i].unsent = x->bytes;
	}
}

static void
take(const struct load_case *x, struct receiver *r, usec_t now)
{
	size_t n = x->per_second * STEP / USEC_PER_SEC;

	if (r->unsent == 0)
		return;
	r->unsent -= MIN(n, r->unsent);
	r->state.moved_at = now;
	if (r->unsent > 0)
		return;
	r->done_at = now;
	r->closed = true;
}

static void
test_load(gconstpointer p)
{
	const struct load_case *x = p;
	struct receiver v[MAX_RECEIVERS] = { 0 };
	usec_t start = USEC_PER_SEC;

	for (unsigned int i = 0; i < x->n; i++)
		v[i].state =
		    (struct peer_replier){ PEER_WAIT_TURN, start, start };
	for (usec_t now = start; now < start + 10 * USEC_PER_SEC; now += STEP) {
		begin(x, v, now);
		g_assert_cmpuint(sum_unsent(v, x->n), <,
		    PEER_REPLIES_UNSENT +
			MAX(x->bytes, x->n * PEER_REPLY_SMALL));
		for (unsigned int i = 0; i < x->n; i++) {
			if (i >= x->silent)
				take(x, &v[i], now);
			if (v[i].closed ||
			    !peer_replier_is_over(
				&v[i].state, count_turns(v, x->n), now))
				continue;
			v[i].closed = true;
			v[i].unsent = 0;
		}
	}
	for (unsigned int i = x->silent; i < x->n; i++) {
		g_assert_cmpint(v[i].done_at, !=, 0);
		g_assert_cmpint(v[i].done_at - start, <=, x->latest);
	}
}

static const struct over_case {
	const char *name;
	struct peer_replier state; /* times before now, in milliseconds */
	size_t n_turns;
	bool over;
} over[] = {
	{ "a query in time", { PEER_WAIT_QUERY, 1900, 1900 }, 0, false },
	{ "no query", { PEER_WAIT_QUERY, 2000, 2000 }, 0, true },
	{ "its turn in time", { PEER_WAIT_TURN, 1400, 1400 }, 1, false },
	{ "its fetch has ended", { PEER_WAIT_TURN, 1500, 1500 }, 1, true },
	{ "a pause", { PEER_WAIT_TAKEN, 3000, 1400 }, 0, false },
	{ "a pause that others wait for", { PEER_WAIT_TAKEN, 3000, 500 }, 1,
	    true },
	{ "slow, others wait", { PEER_WAIT_TAKEN, 9000, 400 }, 1, false },
	{ "silent", { PEER_WAIT_TAKEN, 3000, 1500 }, 0, true },
	{ "without an end", { PEER_WAIT_TAKEN, 10000, 10 }, 0, true },
};

static void
test_over(void)
{
	usec_t now = 60 * USEC_PER_SEC;

	for (size_t i = 0; i < G_N_ELEMENTS(over); i++) {
		struct peer_replier p = over[i].state;

		p.since = now - p.since * USEC_PER_MSEC;
		p.moved_at = now - p.moved_at * USEC_PER_MSEC;
		g_test_message("%s", over[i].name);
		g_assert_true(peer_replier_is_over(&p, over[i].n_turns, now) ==
		    over[i].over);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strconcat("/peer-replies/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_load);
	}
	g_test_add_func("/peer-replies/over", test_over);
	return g_test_run();
}
