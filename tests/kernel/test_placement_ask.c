/*
 * Replays what a host sees of a placer that is silent, slow, or of an earlier
 * build: whether it is waited for, when a request goes on without it, and when
 * another host places.
 */
#include "kernel/overload/placement_ask.h"

#include <glib.h>

#define MS USEC_PER_MSEC

enum event_kind {
	ASKED,
	HEARD,
	UNANSWERED /* the ask before */
};

struct event {
	enum event_kind kind;
	usec_t at;
};

static void
test_hosts(void)
{
	static const struct {
		const char *name;
		struct event events[8];
		usec_t at;
		enum placer_use use;
		bool suspect;
	} cases[] = {
		{ "never asked", { { 0 } }, 100 * MS, PLACER_PROBE, false },
		{ "just asked", { { ASKED, 90 * MS } }, 100 * MS, PLACER_SKIP,
		    false },
		{ "asked a while ago", { { ASKED, 90 * MS } }, 200 * MS,
		    PLACER_PROBE, false },
		{ "it answers", { { ASKED, 90 * MS }, { HEARD, 93 * MS } },
		    100 * MS, PLACER_WAIT, false },
		{ "idle for long", { { ASKED, 90 * MS }, { HEARD, 93 * MS } },
		    9000 * MS, PLACER_WAIT, false },
		{ "one ask is lost",
		    { { ASKED, 90 * MS }, { HEARD, 93 * MS },
			{ ASKED, 200 * MS }, { UNANSWERED, 230 * MS } },
		    240 * MS, PLACER_SKIP, false },
		{ "another one was answered since",
		    { { ASKED, 90 * MS }, { HEARD, 93 * MS },
			{ UNANSWERED, 121 * MS } },
		    130 * MS, PLACER_WAIT, false },
		{ "an earlier build",
		    { { ASKED, 90 * MS }, { UNANSWERED, 190 * MS },
			{ ASKED, 190 * MS }, { UNANSWERED, 290 * MS },
			{ ASKED, 290 * MS }, { UNANSWERED, 390 * MS } },
		    400 * MS, PLACER_PROBE, true },
		{ "three asks of the same moment are lost",
		    { { ASKED, 1000 * MS }, { HEARD, 1003 * MS },
			{ ASKED, 2000 * MS }, { UNANSWERED, 2030 * MS },
			{ UNANSWERED, 2031 * MS }, { UNANSWERED, 2032 * MS } },
		    2100 * MS, PLACER_PROBE, false },
		{ "silent, but heard lately",
		    { { ASKED, 90 * MS }, { HEARD, 93 * MS },
			{ ASKED, 200 * MS }, { UNANSWERED, 230 * MS },
			{ ASKED, 330 * MS }, { UNANSWERED, 430 * MS },
			{ ASKED, 430 * MS }, { UNANSWERED, 530 * MS } },
		    531 * MS, PLACER_PROBE, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct placer_host h = { .id = "a", .domain = "x" };
		usec_t asked_at = 0;

		g_test_message("%s", cases[i].name);
		for (size_t k = 0; k < G_N_ELEMENTS(cases[i].events) &&
		     cases[i].events[k].at != 0;
		     k++) {
			const struct event *e = &cases[i].events[k];

			switch (e->kind) {
			case ASKED:
				asked_at = e->at;
				placer_asked(&h, e->at);
				break;
			case HEARD:
				placer_heard(&h, e->at);
				break;
			case UNANSWERED:
				placer_unanswered(&h, asked_at, e->at);
				break;
			}
		}
		g_assert_true(suspicion_is_suspect(&h.suspicion, cases[i].at) ==
		    cases[i].suspect);
		if (!cases[i].suspect)
			g_assert_cmpint(
			    placer_use(&h, cases[i].at), ==, cases[i].use);
	}
}

/* What a request does that waits for an answer which comes late or never. */
static void
test_asks(void)
{
	static const struct {
		const char *name;
		usec_t latest;
		usec_t queued_at; /* 0: never */
		usec_t queued_again_at;
		uint32_t repeats;
		usec_t ended_at;
		bool full;
		usec_t stands_still_from; /* till it ends; 0: never */
	} cases[] = {
		{ "silent", 1000 * MS, 0, 0, 1, 30 * MS },
		{ "little time", 20 * MS, 0, 0, 1, 20 * MS },
		{ "silent after it was queued", 1000 * MS, 5 * MS, 0, 0,
		    255 * MS },
		{ "queued, the first answer is lost", 1000 * MS, 14 * MS, 0, 1,
		    264 * MS },
		{ "its state is told again", 1000 * MS, 5 * MS, 108 * MS, 0,
		    358 * MS },
		{ "queued for too long", 150 * MS, 5 * MS, 108 * MS, 0,
		    150 * MS, true },
		/* Its decision may have come, and not been read. */
		{ "stood still while it was queued", 150 * MS, 5 * MS, 0, 0,
		    900 * MS, false, 6 * MS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct placement_ask a;
		enum placement_ask_step step = PLACEMENT_ASK_AGAIN;
		uint32_t repeats = 0;
		usec_t now = 0;

		g_test_message("%s", cases[i].name);
		placement_ask_begin(&a, cases[i].latest, 0);
		for (now = 1; now <= 2000 * MS; now++) {
			if (now == cases[i].queued_at ||
			    now == cases[i].queued_again_at)
				placement_ask_queued(&a, now);
			if (now < a.due ||
			    (cases[i].stands_still_from != 0 &&
				now >= cases[i].stands_still_from &&
				now < cases[i].ended_at))
				continue;
			step = placement_ask_step(&a, now);
			if (step != PLACEMENT_ASK_AGAIN)
				break;
			repeats++;
		}
		g_assert_cmpuint(repeats, ==, cases[i].repeats);
		g_assert_cmpint(now, ==, cases[i].ended_at);
		g_assert_true((step == PLACEMENT_ASK_FULL) == cases[i].full);
	}
}

/* A process that stood still must not send by what was decided before. */
static void
test_age(void)
{
	static const struct {
		usec_t age;
		usec_t now;
		bool queued;
		bool current;
	} cases[] = {
		{ 0, 3 * MS, false, true },
		{ 99 * MS, 3 * MS, false, true },
		{ 100 * MS, 3 * MS, false, false },
		{ 0, 200 * MS, false, false },
		{ 0, 200 * MS, true, true },
		{ 0, 3000 * MS, true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct placement_ask a;

		placement_ask_begin(&a, 10000 * MS, 0);
		if (cases[i].queued)
			placement_ask_queued(&a, 5 * MS);
		g_assert_true(placement_ask_is_current(&a, cases[i].age,
				  cases[i].now) == cases[i].current);
	}
}

/*
 * Hosts with the same view choose the same placer, in its engines' domain, and
 * never a small host.
 */
static void
test_choice(void)
{
	struct placer_host v[12];
	g_autofree char *ids = g_malloc(12 * 8);
	size_t at;
	size_t next;

	for (size_t i = 0; i < G_N_ELEMENTS(v); i++) {
		g_snprintf(ids + 8 * i, 8, "h%zu", i);
		v[i] = (struct placer_host){
			.id = ids + 8 * i,
			.domain = i % 2 == 0 ? "x" : "y",
			.capacity = i < 4 ? 250 : 1000,
		};
	}
	at = placer_choose(v, G_N_ELEMENTS(v), "s", "x", 1);
	g_assert_cmpstr(v[at].domain, ==, "x");
	g_assert_cmpuint(v[at].capacity, ==, 1000);
	v[at].suspicion.until = 10;
	next = placer_choose(v, G_N_ELEMENTS(v), "s", "x", 1);
	g_assert_cmpuint(next, !=, at);
	g_assert_cmpstr(v[next].domain, ==, "x");
	g_assert_cmpuint(
	    placer_choose(v, G_N_ELEMENTS(v), "s", "x", 10), ==, at);
	/* A domain without hosts: any may place. */
	g_assert_cmpuint(
	    placer_choose(v, G_N_ELEMENTS(v), "s", "z", 1), <, G_N_ELEMENTS(v));
	g_assert_cmpuint(placer_choose(v, 0, "s", "x", 1), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placement-ask/hosts", test_hosts);
	g_test_add_func("/placement-ask/asks", test_asks);
	g_test_add_func("/placement-ask/age", test_age);
	g_test_add_func("/placement-ask/choice", test_choice);
	return g_test_run();
}
