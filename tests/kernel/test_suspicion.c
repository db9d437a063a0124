/*
 * Replays what hosts see of a coordinator that falls silent, with many jobs
 * waiting at it: how long it is suspect and whether it may be replaced.
 */
#include "kernel/overload/suspicion.h"

#include <glib.h>

#define MS USEC_PER_MSEC

enum event_kind {
	HEARD,
	UNANSWERED, /* a job sent to the incarnation */
	RESTARTED   /* with this incarnation, as stage_jobs_set_peers does */
};

struct event {
	enum event_kind kind;
	usec_t at;
	uint64_t incarnation;
};

static void
apply(struct suspicion *s, const struct event *e)
{
	switch (e->kind) {
	case HEARD:
		suspicion_heard(s, e->at);
		break;
	case UNANSWERED:
		suspicion_unanswered(s, e->incarnation, e->at);
		break;
	case RESTARTED:
		*s = (struct suspicion){ .incarnation = e->incarnation };
		break;
	}
}

static void
test_replays(void)
{
	static const struct {
		const char *name;
		struct event events[6];
		size_t n;
		usec_t at;
		bool suspect, alive;
	} cases[] = {
		{ "not heard so far", { { 0 } }, 0, 1000 * MS, false, false },
		{ "heard lately", { { HEARD, 600 * MS, 1 } }, 1, 1000 * MS,
		    false, true },
		{ "heard long ago", { { HEARD, 100 * MS, 1 } }, 1, 1000 * MS,
		    false, false },
		{ "silent", { { UNANSWERED, 1000 * MS, 1 } }, 1, 2900 * MS,
		    true, false },
		{ "chosen again", { { UNANSWERED, 1000 * MS, 1 } }, 1,
		    3000 * MS, false, false },
		{ "many jobs at once count once",
		    { { UNANSWERED, 1000 * MS, 1 },
			{ UNANSWERED, 1000 * MS, 1 },
			{ UNANSWERED, 1010 * MS, 1 },
			{ UNANSWERED, 1200 * MS, 1 } },
		    4, 3000 * MS, false, false },
		{ "silent again",
		    { { UNANSWERED, 1000 * MS, 1 },
			{ UNANSWERED, 3500 * MS, 1 } },
		    2, 7000 * MS, true, false },
		{ "heard in between",
		    { { UNANSWERED, 1000 * MS, 1 }, { HEARD, 3200 * MS, 1 },
			{ UNANSWERED, 3500 * MS, 1 } },
		    3, 6000 * MS, false, false },
		{ "silent for long",
		    { { UNANSWERED, 1000 * MS, 1 },
			{ UNANSWERED, 4000 * MS, 1 },
			{ UNANSWERED, 9000 * MS, 1 },
			{ UNANSWERED, 18000 * MS, 1 } },
		    4, 26000 * MS, false, false },
		{ "restarted; a job from before was not answered",
		    { { UNANSWERED, 1000 * MS, 1 }, { RESTARTED, 1100 * MS, 2 },
			{ UNANSWERED, 1200 * MS, 1 } },
		    3, 1300 * MS, false, false },
		{ "restarted and silent",
		    { { RESTARTED, 1100 * MS, 2 },
			{ UNANSWERED, 1500 * MS, 2 } },
		    2, 1600 * MS, true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct suspicion s = { .incarnation = 1 };

		g_test_message("%s", cases[i].name);
		for (size_t k = 0; k < cases[i].n; k++)
			apply(&s, &cases[i].events[k]);
		g_assert_cmpint(suspicion_is_suspect(&s, cases[i].at), ==,
		    cases[i].suspect);
		g_assert_cmpint(
		    suspicion_is_alive(&s, cases[i].at), ==, cases[i].alive);
	}
}

/* A host that gives jobs of a service back isn't chosen for it, for a while. */
static void
test_declined(void)
{
	struct declined d;

	declined_init(&d);
	g_assert_false(declined_has(&d, "a", "h", 1, 0));
	declined_add(&d, "a", "h", 1, 1000 * MS);
	g_assert_true(declined_has(&d, "a", "h", 1, 2900 * MS));
	g_assert_false(declined_has(&d, "b", "h", 1, 2900 * MS));
	g_assert_false(declined_has(&d, "a", "i", 1, 2900 * MS));
	g_assert_false(declined_has(&d, "a", "h", 1, 3000 * MS));
	declined_add(&d, "a", "h", 1, 3000 * MS);
	g_assert_true(declined_has(&d, "a", "h", 1, 4000 * MS));
	/* It has restarted. */
	g_assert_false(declined_has(&d, "a", "h", 2, 4000 * MS));
	declined_free(&d);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/suspicion", test_replays);
	g_test_add_func("/suspicion/declined", test_declined);
	return g_test_run();
}
