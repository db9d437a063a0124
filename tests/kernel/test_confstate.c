/*
 * Table-driven tests of the state of the configuration log.
 *
 * Guards against lost changes when two operators change the configuration at
 * the same time, and against records that this build cannot read.
 */
#include "kernel/confstate.h"

#include <glib.h>

#define SERVICE   "[service s]\nkind = encode\ntargets = 127.0.0.1:1/d\n"
#define POLICY(n) "[policy]\nretries = " #n "\n"
#define N_FILES   5

/* File names; an array of N_FILES texts has the contents, NULL for no file. */
static const char *const names[N_FILES] = { "10.ini", "20.ini", "30.ini",
	"notes.txt", "15.ini" };

static void
put_files(struct conffiles *f, const char *const texts[N_FILES])
{
	for (size_t i = 0; i < N_FILES; i++) {
		if (texts[i] != NULL)
			conffiles_put(f, names[i], str_from(texts[i]));
	}
}

static void
plan(const struct confstate *s, uint64_t base, const char *const texts[N_FILES],
    const char *change, struct confstate_plan *p)
{
	struct conffiles f = { 0 };

	put_files(&f, texts);
	confstate_plan(s,
	    &(struct confstate_proposal){
		.base = base,
		.files = &f,
		.who = change,
		.when = 1000 * USEC_PER_SEC,
		.change_id = change,
	    },
	    p);
	conffiles_free(&f);
}

/* Applies the record of a plan and sets the bodies of its files. */
static void
apply_plan(struct confstate *s, const struct confstate_plan *p)
{
	json_auto_t *j = confrecord_json(&p->record, true);

	g_assert_cmpint(confstate_apply_record(s, j, NULL), ==, 0);
	for (size_t i = 0; i < p->files.n; i++)
		confstate_set_body(
		    s, p->files.v[i].hash, str_of(&p->files.v[i].body));
}

static void
apply(struct confstate *s, uint64_t base, const char *const texts[N_FILES],
    const char *change)
{
	struct confstate_plan p;

	plan(s, base, texts, change, &p);
	g_assert_cmpstr(p.err.text, ==, "");
	g_assert_cmpint(p.result, ==, CONFSTATE_MERGED);
	apply_plan(s, &p);
	confstate_plan_free(&p);
}

static const char *const first[N_FILES] = { SERVICE, POLICY(1) };

/* Both operators start from generation 1; ann applies first, then bob. */
static const struct {
	const char *name;
	const char *ann[N_FILES];
	const char *bob[N_FILES];
	enum confstate_plan_result expected;
	size_t files;
	const char *error;
} races[] = {
	{ "different files", { SERVICE, POLICY(2) },
	    { SERVICE "concurrency = 3\n", POLICY(1) }, CONFSTATE_MERGED, 2,
	    "" },
	{ "a new file beside a change", { SERVICE, POLICY(2) },
	    { SERVICE, POLICY(1), POLICY(3) }, CONFSTATE_MERGED, 3, "" },
	{ "the same file", { SERVICE, POLICY(2) }, { SERVICE, POLICY(3) },
	    CONFSTATE_REFUSED, 0,
	    "20.ini was changed by ann at 1970-01-01T00:16:40Z "
	    "(generation 2)*changed it too*sequoiactl pull*" },
	{ "changed and removed", { SERVICE, POLICY(2) }, { SERVICE },
	    CONFSTATE_REFUSED, 0,
	    "20.ini was changed by ann*you removed it too*" },
	{ "removed and changed", { SERVICE }, { SERVICE, POLICY(3) },
	    CONFSTATE_REFUSED, 0, "20.ini was removed by ann*" },
	{ "both make the same change", { SERVICE, POLICY(2) },
	    { SERVICE, POLICY(2) }, CONFSTATE_UNCHANGED, 2, "" },
	{ "the same new file", { SERVICE, POLICY(1), POLICY(2) },
	    { SERVICE, POLICY(1), POLICY(3) }, CONFSTATE_REFUSED, 0,
	    "30.ini was changed by ann*" },
	{ "the merged result is invalid", { SERVICE, POLICY(2) },
	    { SERVICE, POLICY(1), "[policy]\nretrys = 1\n" }, CONFSTATE_REFUSED,
	    0, "30.ini:2*" },
	{ "files that are not .ini are ignored", { SERVICE, POLICY(2) },
	    { SERVICE, POLICY(1), NULL, "x" }, CONFSTATE_UNCHANGED, 2, "" },
};

static void
test_race(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(races); i++) {
		struct confstate s = { 0 };
		struct confstate_plan p;

		g_test_message("%s", races[i].name);
		apply(&s, 0, first, "first");
		apply(&s, 1, races[i].ann, "ann");
		plan(&s, 1, races[i].bob, "bob", &p);
		g_assert_cmpint(p.result, ==, races[i].expected);
		g_assert_true(
		    g_pattern_match_simple(races[i].error, p.err.text));
		g_assert_cmpuint(p.files.n, ==, races[i].files);
		if (p.result != CONFSTATE_UNCHANGED)
			apply_plan(&s, &p);
		g_assert_cmpuint(
		    s.generation, ==, p.result == CONFSTATE_MERGED ? 3 : 2);
		confstate_plan_free(&p);
		confstate_free(&s);
	}
}

/*
 * The response to an apply was lost, so the operator applies the same change
 * again.
 */
static void
test_lost_response(void)
{
	struct confstate s = { 0 };
	struct confstate_plan p;
	static const char *const more[N_FILES] = { SERVICE, POLICY(2) };

	apply(&s, 0, first, "one");
	apply(&s, 1, more, "two");
	plan(&s, 0, first, "one", &p);
	g_assert_cmpint(p.result, ==, CONFSTATE_DUPLICATE);
	g_assert_cmpuint(p.record.generation, ==, 1);
	g_assert_true(p.record.accepted);
	confstate_plan_free(&p);
	plan(&s, 9, more, "three", &p);
	g_assert_cmpint(p.result, ==, CONFSTATE_REFUSED);
	g_assert_cmpint(p.err.kind, ==, ERR_CONFLICT);
	apply_plan(&s, &p);
	confstate_plan_free(&p);
	plan(&s, 2, more, "three", &p);
	g_assert_cmpint(p.result, ==, CONFSTATE_DUPLICATE);
	g_assert_false(p.record.accepted);
	confstate_plan_free(&p);
	confstate_free(&s);
}

/* Records as JSON, with ' in place of ". */
#define RECORD(v, generation, result, files)                         \
	"{'v':" v ",'generation':" generation ",'who':'w','when':1," \
	"'change':'c','result':'" result "','files':[" files "],'keys':[]}"
#define FILE_OF(sha256) "{'name':'20.ini','sha256':" sha256 ",'was':null}"

static void
test_apply_record(void)
{
	static const struct {
		const char *record;
		int rc;
		uint64_t generation;
	} cases[] = {
		{ RECORD("1", "2", "accepted", FILE_OF("null")), 0, 2 },
		{ RECORD("1", "1", "accepted", ""), 1, 1 },
		{ RECORD("1", "3", "accepted", ""), ERR_NOT_READY, 1 },
		{ RECORD("2", "2", "accepted", ""), ERR_CONFIG, 1 },
		{ RECORD("1", "2", "staged", ""), ERR_CONFIG, 1 },
		{ RECORD("1", "2", "accepted", FILE_OF("'12'")), ERR_CONFIG,
		    1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct confstate s = { 0 };
		struct err e = { 0 };
		g_autofree char *text =
		    g_strdelimit(g_strdup(cases[i].record), "'", '"');
		json_auto_t *j = json_loads(text, 0, NULL);

		g_assert_nonnull(j);
		apply(&s, 0, first, "first");
		g_assert_cmpint(
		    confstate_apply_record(&s, j, &e), ==, cases[i].rc);
		g_assert_cmpuint(s.generation, ==, cases[i].generation);
		g_assert_cmpuint(
		    s.files.n, ==, cases[i].generation == 1 ? 2 : 1);
		confstate_free(&s);
	}
}

static void
test_snapshot(void)
{
	struct confstate s = { 0 };
	struct confstate t = { 0 };
	const char *texts[N_FILES] = { SERVICE };
	json_auto_t *old = NULL;
	json_auto_t *j = NULL;
	struct conf *c;

	apply(&s, 0, first, "first");
	old = confstate_snapshot(&s);
	for (uint64_t g = 1; g < 40; g++) {
		g_autofree char *body =
		    g_strdup_printf("[policy]\nretries = %u\n", (int)(g % 3));
		g_autofree char *change = g_strdup_printf("c%u", (int)g);

		texts[1] = g % 3 == 1 ? NULL : body;
		texts[4] = g % 3 == 1 ? body : NULL;
		apply(&s, g, texts, change);
	}
	j = confstate_snapshot(&s);
	g_assert_cmpint(confstate_restore(&t, j, NULL), ==, 0);
	g_assert_cmpint(confstate_restore(&t, old, NULL), ==, 1);
	g_assert_cmpuint(t.generation, ==, 40);
	g_assert_cmpuint(t.oldest_base, ==, 40 - CONFSTATE_SNAPSHOT_HISTORY);
	g_assert_null(confstate_conf(&t, NULL));
	while (confstate_missing_body(&t) != NULL) {
		const struct conffile *m = confstate_missing_body(&t);

		g_assert_false(confstate_set_body(&t, m->hash, STR("other")));
		for (size_t i = 0; i < s.files.n; i++)
			confstate_set_body(
			    &t, s.files.v[i].hash, str_of(&s.files.v[i].body));
	}
	c = confstate_conf(&t, NULL);
	g_assert_cmpuint(c->generation, ==, 40);
	conf_unref(c);
	confstate_free(&s);
	confstate_free(&t);
}

static void
test_diff(void)
{
	struct conffiles a = { 0 };
	struct conffiles b = { 0 };
	struct confdiff keys = { 0 };
	struct buf out = { 0 };

	conffiles_put(&a, "20.ini", STR("[policy]\nretries = 1\nhedge = no\n"));
	conffiles_put(&b, "10.ini", STR("[policy]\nretries = 2\n"));
	conffiles_put(&b, "20.ini", STR("[policy]\nretries = 3\n"));
	g_assert_cmpint(conffiles_diff(&a, &b, &keys, NULL), ==, 0);
	confdiff_format(&keys, &out);
	g_assert_cmpstr(out.p, ==,
	    "[policy] hedge: no -> (not set)\n[policy] retries: 1 -> 3\n");
	buf_free(&out);
	confdiff_free(&keys);
	conffiles_free(&a);
	conffiles_free(&b);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/confstate/race", test_race);
	g_test_add_func("/confstate/lost-response", test_lost_response);
	g_test_add_func("/confstate/apply-record", test_apply_record);
	g_test_add_func("/confstate/snapshot", test_snapshot);
	g_test_add_func("/confstate/diff", test_diff);
	return g_test_run();
}
