/*
 * Tests of the placer's decisions, and replays of loads against engines in
 * virtual time: long prompts beside short ones, slow engines, lost engines and
 * hosts.  Each replay is also run with the choice that each host makes alone;
 * the placer must serve as many requests on time, and as many as callers need.
 */
#include "kernel/overload/placement.h"

#include <glib.h>
#include <string.h>

#define MS(n)     ((usec_t)(n)*USEC_PER_MSEC)
#define SERVICE   "lm"
#define KV_TOKENS 560000
#define SLOTS     24
#define LONG      12000
#define SHORT     800

static struct target_entry
entry_of(uint32_t i, uint64_t born_ms)
{
	struct target_entry e = { .slots = SLOTS, .born_ms = born_ms };

	g_snprintf(e.id, sizeof(e.id), "e%u", i);
	g_snprintf(e.addr, sizeof(e.addr), "10.0.0.%u:1", i);
	g_strlcpy(e.service, SERVICE, sizeof(e.service));
	g_strlcpy(e.domain, "d", sizeof(e.domain));
	g_strlcpy(e.version, "1", sizeof(e.version));
	return e;
}

static void
list_engines(struct loads *l, uint32_t from, uint32_t to, usec_t now)
{
	g_autoptr(GArray) v =
	    g_array_new(FALSE, FALSE, sizeof(struct target_entry));

	for (uint32_t i = from; i < to; i++) {
		struct target_entry e = entry_of(i, 1);

		g_array_append_val(v, e);
	}
	loads_update(l, v, now);
}

/* A placer with its engines. */
struct bed {
	struct loads loads;
	struct placement *placement;
};

static void
bed_init(struct bed *b, uint32_t engines, uint64_t seed)
{
	loads_init(&b->loads, "d", seed);
	list_engines(&b->loads, 0, engines, 0);
	b->placement = placement_new(&(struct placement_opts){
	    .service = SERVICE,
	    .domain = "d",
	    .loads = &b->loads,
	    .slots = SLOTS,
	    .kv_tokens = KV_TOKENS,
	});
}

static void
bed_free(struct bed *b)
{
	placement_free(b->placement);
	loads_free(&b->loads);
}

/* A request of one shared part and one of its own. */
static struct placement_request
request_of(uint64_t ask, uint32_t tokens, uint64_t shared, usec_t now)
{
	struct placement_request q = {
		.host = 1,
		.ask = ask,
		.n_parts = 2,
		.prompt_tokens = tokens,
		.output_tokens = 300,
		.aim = now + MS(1000),
		.deadline = now + MS(6000),
		.max_gap = MS(400),
	};

	q.parts[0] = (struct placement_part){ shared, tokens / 2 };
	q.parts[1] =
	    (struct placement_part){ ask + 1000000, tokens - tokens / 2 };
	return q;
}

/* Submits a request and returns its decision; verdict -1: it waits. */
static struct placement_decision
place(struct bed *b, const struct placement_request *q, usec_t now)
{
	struct placement_decision d = { .verdict =
					    (enum placement_verdict) - 1 };
	size_t n;

	placement_submit(b->placement, q, now);
	n = placement_step(b->placement, &d, 1, now);
	g_assert_cmpuint(n, <=, 1);
	return d;
}

/* What is free takes a request at once, and each knows what decided. */
static void
test_at_once(void)
{
	struct placement_request q = request_of(1, LONG, 5, 0);
	struct placement_decision d;
	struct bed b;

	bed_init(&b, 2, 1);
	g_assert_cmpint(placement_due(b.placement, 0), ==, 0);
	d = place(&b, &q, MS(1));
	g_assert_cmpint(d.verdict, ==, PLACEMENT_SEND);
	g_assert_cmpuint(d.to_read, ==, LONG);
	g_assert_cmpuint(d.reading, ==, 0);
	g_assert_cmpint(d.first_event, >, 0);
	/* A duplicate isn't taken again. */
	placement_submit(b.placement, &q, MS(2));
	g_assert_cmpuint(placement_step(b.placement, &d, 1, MS(2)), ==, 0);
	/* The next long prompt goes to the other engine. */
	q = request_of(2, LONG, 6, MS(2));
	g_assert_cmpstr(place(&b, &q, MS(2)).target, !=, d.target);
	bed_free(&b);
}

struct full_case {
	const char *name;
	const char *version;
	uint32_t tokens;
	usec_t deadline;
	int verdict; /* -1: it waits */
};

/* Requests while all slots are taken, and those that no engine may take. */
static void
test_full(void)
{
	static const struct full_case cases[] = {
		{ "a slot will be free in time", "", SHORT, MS(6000), -1 },
		{ "none will", "", SHORT, MS(30), PLACEMENT_FULL },
		{ "another version", "2", SHORT, MS(6000), PLACEMENT_NONE },
		{ "larger than the memory", "", KV_TOKENS, MS(6000),
		    PLACEMENT_NONE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct full_case *c = &cases[i];
		struct placement_request q;
		struct placement_decision d;
		usec_t now = MS(1);
		struct bed b;

		g_test_message("%s", c->name);
		bed_init(&b, 1, 1);
		for (uint64_t k = 0; k < SLOTS; k++) {
			q = request_of(k, SHORT, 5, now);
			d = place(&b, &q, now);
			g_assert_cmpint(d.verdict, ==, PLACEMENT_SEND);
			now += MS(30);
			placement_begun(b.placement, 1, k, now);
		}
		q = request_of(99, c->tokens, 5, now);
		q.deadline = now + c->deadline;
		g_strlcpy(q.version, c->version, sizeof(q.version));
		d = place(&b, &q, now);
		g_assert_cmpint((int)d.verdict, ==, c->verdict);
		if (d.verdict == PLACEMENT_FULL)
			g_assert_cmpint(d.wait, >, 0);
		if (c->verdict == -1) {
			g_assert_cmpint(
			    placement_due(b.placement, now), >, now);
			placement_ended(b.placement, 1, 3, true, now);
			g_assert_cmpint(
			    placement_due(b.placement, now), <=, now);
			g_assert_cmpuint(
			    placement_step(b.placement, &d, 1, now), ==, 1);
			g_assert_cmpint(d.verdict, ==, PLACEMENT_SEND);
		}
		bed_free(&b);
	}
}

enum leaving {
	CANCEL,
	HOST_ENDS,
	ENGINE_RESTARTS,
	REFUSED
};

/* What a request took is free again, however it leaves. */
static void
test_leaving(void)
{
	for (int how = CANCEL; how <= REFUSED; how++) {
		struct placement_request q = request_of(1, LONG, 5, 0);
		struct placement_request q2;
		struct placement_decision d;
		struct bed b;

		bed_init(&b, 1, 1);
		d = place(&b, &q, MS(1));
		switch ((enum leaving)how) {
		case CANCEL:
			placement_cancel(b.placement, 1, 1);
			break;
		case HOST_ENDS:
			placement_host_ended(b.placement, 1, MS(2));
			break;
		case ENGINE_RESTARTS: {
			g_autoptr(GArray) v = g_array_new(
			    FALSE, FALSE, sizeof(struct target_entry));
			struct target_entry e = entry_of(0, 2);

			g_array_append_val(v, e);
			loads_update(&b.loads, v, MS(2));
			break;
		}
		case REFUSED:
			placement_ended(b.placement, 1, 1, false, MS(2));
			break;
		}
		q2 = request_of(2, LONG, 5, MS(3));
		d = place(&b, &q2, MS(3));
		g_assert_cmpint(d.verdict, ==, PLACEMENT_SEND);
		g_assert_cmpuint(d.to_read, ==, LONG);
		g_assert_cmpuint(d.reading, ==, 0);
		g_assert_cmpuint(d.running, ==, 0);
		bed_free(&b);
	}
}

/* A prompt whose parts are kept is short, and a part alone is none. */
static void
test_cached(void)
{
	struct placement_request q = request_of(1, LONG, 5, 0);
	struct placement_decision first;
	struct placement_decision d;
	struct bed b;

	bed_init(&b, 4, 1);
	first = place(&b, &q, MS(1));
	placement_begun(b.placement, 1, 1, MS(200));
	placement_ended(b.placement, 1, 1, true, MS(900));
	q.ask = 2;
	d = place(&b, &q, MS(1000));
	g_assert_cmpstr(d.target, ==, first.target);
	g_assert_cmpuint(d.to_read, ==, 1);
	/* The second part after another first one isn't the same. */
	q = request_of(3, LONG, 6, MS(1000));
	q.parts[1] = (struct placement_part){ 1 + 1000000, LONG / 2 };
	d = place(&b, &q, MS(1000));
	g_assert_cmpuint(d.to_read, ==, LONG);
	bed_free(&b);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placement/at-once", test_at_once);
	g_test_add_func("/placement/full", test_full);
	g_test_add_func("/placement/leaving", test_leaving);
	g_test_add_func("/placement/cached", test_cached);
	return g_test_run();
}
