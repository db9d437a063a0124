/* Tests of where a stream may be resumed, by the versions of its service. */
#include "kernel/loads.h"
#include "kernel/reply_wait.h"
#include "kernel/stream_versions.h"

#include <string.h>

#define SECONDS(t) ((usec_t)(t)*USEC_PER_SEC)

enum step_kind {
	STEP_END,
	STEP_LIST,     /* text: the versions of the listed targets */
	STEP_STALE,    /* the same, while the store is away */
	STEP_CONFIRM,  /* the store confirms the list */
	STEP_BEGIN,    /* a stream begins here; text: id and version */
	STEP_TOLD,     /* another host tells of one */
	STEP_COMPLETE, /* text: id */
	STEP_DUE,      /* text: ids to be told to others, "": none */
	STEP_RESUME,   /* text: id; place: before others are asked */
	STEP_DECIDE    /* text: what the others reply; place: the decision */
};

struct step {
	enum step_kind kind;
	int at; /* seconds */
	const char *text;
	enum resume_place place;
};

static const struct version_case {
	const char *name;
	struct step steps[10];
} cases[] = {
	{ "one version for long: nothing is told, the others have to agree",
	    { { STEP_LIST, 0, "1", 0 }, { STEP_BEGIN, 70, "a1", 0 },
		{ STEP_DUE, 70, "", 0 }, { STEP_CONFIRM, 70, "", 0 },
		{ STEP_RESUME, 70, "b", RESUME_ASK },
		{ STEP_DECIDE, 70, "", RESUME_ANYWHERE },
		{ STEP_DECIDE, 70, "!", RESUME_LOOK_UP },
		{ STEP_DECIDE, 70, "m", RESUME_NOWHERE } } },
	{ "a list that was not confirmed lately does not count",
	    { { STEP_LIST, 0, "1", 0 }, { STEP_CONFIRM, 70, "", 0 },
		{ STEP_DECIDE, 72, "", RESUME_ANYWHERE },
		{ STEP_DECIDE, 73, "", RESUME_LOOK_UP },
		{ STEP_CONFIRM, 74, "", 0 },
		{ STEP_DECIDE, 74, "", RESUME_ANYWHERE } } },
	{ "a host that is alone looks up",
	    { { STEP_LIST, 0, "1", 0 }, { STEP_CONFIRM, 70, "", 0 },
		{ STEP_DECIDE, 70, "a", RESUME_LOOK_UP } } },
	{ "an unnamed stream can't be looked up",
	    { { STEP_LIST, 0, "1", 0 }, { STEP_CONFIRM, 70, "", 0 },
		{ STEP_DECIDE, 70, "u", RESUME_ANYWHERE },
		{ STEP_DECIDE, 70, "u!", RESUME_ANYWHERE },
		{ STEP_DECIDE, 70, "u0", RESUME_NOWHERE },
		{ STEP_DECIDE, 70, "um", RESUME_NOWHERE },
		{ STEP_DECIDE, 70, "ua", RESUME_ANYWHERE },
		{ STEP_DECIDE, 73, "ua", RESUME_NOWHERE } } },
	{ "a stream that is known goes on at its version",
	    { { STEP_LIST, 0, "12", 0 }, { STEP_BEGIN, 1, "a1", 0 },
		{ STEP_TOLD, 1, "b2", 0 },
		{ STEP_RESUME, 2, "a", RESUME_AT_VERSION },
		{ STEP_RESUME, 2, "b", RESUME_AT_VERSION } } },
	{ "several versions: streams are told, unknown ones asked about",
	    { { STEP_LIST, 0, "12", 0 }, { STEP_BEGIN, 70, "a1", 0 },
		{ STEP_DUE, 70, "a", 0 }, { STEP_DUE, 70, "", 0 },
		{ STEP_RESUME, 70, "b", RESUME_ASK },
		{ STEP_DECIDE, 70, "", RESUME_NOWHERE } } },
	{ "streams begun before the second version are told when it comes",
	    { { STEP_LIST, 0, "1", 0 }, { STEP_BEGIN, 70, "a1", 0 },
		{ STEP_BEGIN, 70, "b1", 0 }, { STEP_COMPLETE, 71, "b", 0 },
		{ STEP_LIST, 72, "12", 0 }, { STEP_DUE, 72, "a", 0 } } },
	{ "a version that has left counts for as long as its streams may last",
	    { { STEP_LIST, 0, "12", 0 }, { STEP_LIST, 100, "2", 0 },
		{ STEP_RESUME, 130, "b", RESUME_ASK },
		{ STEP_DECIDE, 130, "", RESUME_NOWHERE },
		{ STEP_LIST, 200, "2", 0 },
		{ STEP_DECIDE, 200, "", RESUME_ANYWHERE } } },
	{ "a host that has just started looks up",
	    { { STEP_LIST, 0, "2", 0 }, { STEP_RESUME, 1, "b", RESUME_ASK },
		{ STEP_DECIDE, 1, "", RESUME_LOOK_UP },
		{ STEP_DECIDE, 1, "m", RESUME_NOWHERE },
		{ STEP_DECIDE, 1, "m1", RESUME_AT_VERSION } } },
	{ "as long as not all have replied, it waits",
	    { { STEP_LIST, 0, "12", 0 }, { STEP_DECIDE, 1, ".", RESUME_ASK },
		{ STEP_DECIDE, 1, "!", RESUME_NOWHERE },
		{ STEP_DECIDE, 1, ".1", RESUME_AT_VERSION } } },
	{ "a host without the store has others look up",
	    { { STEP_LIST, 0, "1", 0 }, { STEP_LIST, 70, "1", 0 },
		{ STEP_STALE, 70, "1", 0 },
		{ STEP_RESUME, 71, "b", RESUME_ASK },
		{ STEP_DECIDE, 71, "", RESUME_LOOK_UP },
		{ STEP_DECIDE, 71, "!", RESUME_LOOK_UP },
		{ STEP_DECIDE, 71, "0", RESUME_LOOK_UP },
		{ STEP_LIST, 72, "1", 0 },
		{ STEP_DECIDE, 72, "", RESUME_ANYWHERE } } },
	{ "streams are forgotten",
	    { { STEP_LIST, 0, "12", 0 }, { STEP_BEGIN, 1, "a1", 0 },
		{ STEP_TOLD, 1, "b2", 0 }, { STEP_RESUME, 62, "a", RESUME_ASK },
		{ STEP_RESUME, 62, "b", RESUME_ASK } } },
};

static void
list(struct stream_versions *s, const char *versions, bool stale, usec_t now)
{
	g_autoptr(GArray) v =
	    g_array_new(FALSE, TRUE, sizeof(struct target_entry));

	for (; *versions != '\0'; versions++) {
		struct target_entry e = { .service = "s",
			.version = { *versions } };

		g_array_append_val(v, e);
	}
	stream_versions_list(s, v, stale, now);
	if (!stale)
		stream_versions_confirm(s, now);
}

/*
 * m: a host knows several versions; a digit: one knows the stream's; u: it is
 * unnamed.
 */
static enum resume_place
decide(struct stream_versions *s, const char *replies, usec_t now)
{
	struct resume_query q = { .n_asked = 3, .n_replied = 3 };
	bool timed_out = false;

	for (; *replies != '\0'; replies++) {
		switch (*replies) {
		case '.': /* one has not replied */
			q.n_replied = 2;
			break;
		case '!': /* nor will it */
			q.n_replied = 2;
			timed_out = true;
			break;
		case '0': /* none will */
			q.n_replied = 0;
			timed_out = true;
			break;
		case 'a': /* there are no others */
			q.n_asked = 0;
			q.n_replied = 0;
			break;
		case 'u':
			q.is_unnamed = true;
			break;
		case 'm':
			q.mixed = true;
			break;
		default:
			q.found = true;
			break;
		}
	}
	return stream_versions_decide(s, &q, "s", timed_out, now);
}

static void
check_due(struct stream_versions *s, const char *id, usec_t now)
{
	const struct stream_version *x = stream_versions_next_due(s, now);

	if (*id == '\0')
		g_assert_null(x);
	else
		g_assert_cmpstr(x->id, ==, id);
}

static void
run_step(struct stream_versions *s, const struct step *x)
{
	struct str id = { x->text, 1 };
	usec_t now = SECONDS(x->at);
	struct resume_query q;

	stream_versions_expire(s, now);
	switch (x->kind) {
	case STEP_LIST:
	case STEP_STALE:
		list(s, x->text, x->kind == STEP_STALE, now);
		break;
	case STEP_CONFIRM:
		stream_versions_confirm(s, now);
		break;
	case STEP_BEGIN:
	case STEP_TOLD:
		stream_versions_begin(
		    s, id, "s", x->text + 1, x->kind == STEP_BEGIN, now);
		break;
	case STEP_COMPLETE:
		stream_versions_end(s, id);
		break;
	case STEP_DUE:
		check_due(s, x->text, now);
		break;
	case STEP_RESUME:
		g_assert_cmpint(
		    stream_versions_resume(s, id, &q), ==, x->place);
		break;
	case STEP_DECIDE:
		g_assert_cmpint(decide(s, x->text, now), ==, x->place);
		break;
	case STEP_END:
		break;
	}
}

static void
test_cases(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct step *x = cases[i].steps;
		struct stream_versions s;

		g_test_message("%s", cases[i].name);
		stream_versions_init(&s, 0);
		for (; x->kind != STEP_END; x++)
			run_step(&s, x);
		stream_versions_free(&s);
	}
}

/* Whether the base version has targets enough for what is not recorded. */
static void
test_base_shares(void)
{
	static const struct {
		const char *name, *listed;
		bool begins, resumes;
	} shares[] = {
		{ "alone", "1", true, true },
		{ "half", "1122", true, true },
		{ "two in five", "11222", true, true },
		{ "a third", "122", true, false },
		{ "a quarter", "1222", false, false },
		{ "a sixth", "122222", false, false },
		{ "none left", "22", false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		g_autoptr(GHashTable) bases =
		    g_hash_table_new(g_str_hash, g_str_equal);
		struct stream_versions s;

		g_test_message("%s", shares[i].name);
		g_hash_table_insert(bases, "s", "1");
		stream_versions_init(&s, 0);
		list(&s, "1", false, 0);
		list(&s, shares[i].listed, false, SECONDS(1));
		g_assert_false(stream_versions_base_serves(&s, "s"));
		stream_versions_set_bases(&s, bases);
		g_assert_cmpint(
		    stream_versions_base_serves(&s, "s"), ==, shares[i].begins);
		g_assert_cmpstr(stream_versions_unrecorded(&s, "s"), ==,
		    shares[i].resumes ? "1" : NULL);
		stream_versions_free(&s);
	}
}

/* When a wait of 100 ms ends whose timer runs at these times. */
static void
test_reply_waits(void)
{
	static const struct {
		const char *name;
		int runs_ms[6]; /* 0: end */
		int end_ms;
	} waits[] = {
		{ "in time", { 100 }, 100 },
		{ "early", { 99, 100 }, 100 },
		{ "a little late", { 120 }, 120 },
		{ "after a standstill", { 400, 450 }, 450 },
		{ "after two", { 400, 600, 650 }, 650 },
		{ "of a host that stands still again and again",
		    { 200, 300, 400, 500, 600 }, 600 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(waits); i++) {
		struct reply_wait w;
		usec_t left =
		    reply_wait_begin(&w, 100 * USEC_PER_MSEC, SECONDS(7));
		const int *run = waits[i].runs_ms;

		g_test_message("%s", waits[i].name);
		g_assert_cmpint(left, ==, 100 * USEC_PER_MSEC);
		for (; *run != 0; run++) {
			left = reply_wait_left(
			    &w, SECONDS(7) + *run * USEC_PER_MSEC);
			g_assert_cmpint(left == 0, ==, *run == waits[i].end_ms);
		}
	}
}

/* A target of another version is not chosen, even if no other is left. */
static void
test_choice(void)
{
	struct target_entry e = { .id = "t", .service = "s", .version = "1" };
	struct loads_query q = { .service = "s", .version = STR("1") };
	g_autoptr(GArray) v = g_array_new(FALSE, TRUE, sizeof(e));
	struct loads l;

	g_array_append_val(v, e);
	loads_init(&l, "d", 1);
	loads_update(&l, v, 0);
	g_assert_nonnull(loads_choose(&l, &q, 0));
	q.version = STR("2");
	g_assert_null(loads_choose(&l, &q, 0));
	q.version = STR("");
	g_assert_nonnull(loads_choose(&l, &q, 0));
	loads_free(&l);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stream-versions/cases", test_cases);
	g_test_add_func("/stream-versions/reply-waits", test_reply_waits);
	g_test_add_func("/stream-versions/choice", test_choice);
	g_test_add_func("/stream-versions/base-shares", test_base_shares);
	return g_test_run();
}
