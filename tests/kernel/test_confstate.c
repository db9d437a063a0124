/* Tables of cases for the folded configuration log. */
#include "kernel/confstate.h"

#include <glib.h>

#define SERVICE   "[service s]\nkind = encode\ntargets = 127.0.0.1:1/d\n"
#define POLICY(n) "[policy]\nretries = " #n "\n"

struct text_file {
	const char *name;
	const char *body;
};

static void
fill(struct conffiles *f, const struct text_file *v)
{
	for (int i = 0; i < 4 && v[i].name != NULL; i++)
		conffiles_put(f, v[i].name, str_from(v[i].body));
}

static void
plan(const struct confstate *s, uint64_t base, const struct text_file *v,
    const char *change, struct confstate_plan *p)
{
	struct conffiles f = { 0 };

	fill(&f, v);
	confstate_plan(s,
	    &(struct confstate_apply){
		.base = base,
		.files = &f,
		.who = change,
		.when = 1000 * USEC_PER_SEC,
		.change_id = change,
	    },
	    p);
	conffiles_free(&f);
}

/* Appends what a plan says and gives the state its bodies. */
static void
take(struct confstate *s, const struct confstate_plan *p)
{
	json_t *j = confrecord_json(&p->record, true);

	g_assert_cmpint(confstate_fold(s, j, NULL), ==, 0);
	for (size_t i = 0; i < p->files.n; i++)
		confstate_body(
		    s, p->files.v[i].hash, str_of(&p->files.v[i].body));
	json_decref(j);
}

static void
apply(struct confstate *s, uint64_t base, const struct text_file *v,
    const char *change)
{
	struct confstate_plan p;

	plan(s, base, v, change, &p);
	g_assert_cmpstr(p.err.text, ==, "");
	g_assert_cmpint(p.verdict, ==, CONFSTATE_MERGED);
	take(s, &p);
	confstate_plan_free(&p);
}

static const struct text_file first[4] = {
	{ "10.ini", SERVICE },
	{ "20.ini", POLICY(1) },
};

/* The second operator started from generation 1, like the first one. */
static const struct {
	const char *name;
	struct text_file ann[4];
	struct text_file bob[4];
	enum confstate_verdict verdict;
	size_t files;
	const char *error;
} races[] = {
	{ "different files", { { "10.ini", SERVICE }, { "20.ini", POLICY(2) } },
	    { { "10.ini", SERVICE "concurrency = 3\n" },
		{ "20.ini", POLICY(1) } },
	    CONFSTATE_MERGED, 2, "" },
	{ "a new file beside a change",
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(2) } },
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(1) },
		{ "30.ini", POLICY(3) } },
	    CONFSTATE_MERGED, 3, "" },
	{ "the same file", { { "10.ini", SERVICE }, { "20.ini", POLICY(2) } },
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(3) } },
	    CONFSTATE_REFUSED, 0,
	    "20.ini was changed by ann at 1970-01-01T00:16:40Z "
	    "(generation 2)*changed it too*sequoiactl pull*" },
	{ "changed and removed",
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(2) } },
	    { { "10.ini", SERVICE } }, CONFSTATE_REFUSED, 0,
	    "20.ini was changed by ann*you removed it too*" },
	{ "removed and changed", { { "10.ini", SERVICE } },
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(3) } },
	    CONFSTATE_REFUSED, 0, "20.ini was removed by ann*" },
	{ "both the same way",
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(2) } },
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(2) } },
	    CONFSTATE_NOTHING, 2, "" },
	{ "the same new file",
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(1) },
		{ "30.ini", POLICY(2) } },
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(1) },
		{ "30.ini", POLICY(3) } },
	    CONFSTATE_REFUSED, 0, "30.ini was changed by ann*" },
	{ "the merged result is bad",
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(2) } },
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(1) },
		{ "30.ini", "[policy]\nretrys = 1\n" } },
	    CONFSTATE_REFUSED, 0, "30.ini:2*" },
	{ "other files are ignored",
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(2) } },
	    { { "10.ini", SERVICE }, { "20.ini", POLICY(1) },
		{ "notes.txt", "x" } },
	    CONFSTATE_NOTHING, 2, "" },
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
		g_assert_cmpint(p.verdict, ==, races[i].verdict);
		g_assert_true(
		    g_pattern_match_simple(races[i].error, p.err.text));
		g_assert_cmpuint(p.files.n, ==, races[i].files);
		if (p.verdict != CONFSTATE_NOTHING)
			take(&s, &p);
		g_assert_cmpuint(
		    s.generation, ==, p.verdict == CONFSTATE_MERGED ? 3 : 2);
		confstate_plan_free(&p);
		confstate_free(&s);
	}
}

/* The answer to an apply was lost; the same change is applied again. */
static void
test_lost_answer(void)
{
	struct confstate s = { 0 };
	struct confstate_plan p;
	static const struct text_file more[4] = {
		{ "10.ini", SERVICE },
		{ "20.ini", POLICY(2) },
	};

	apply(&s, 0, first, "one");
	apply(&s, 1, more, "two");
	plan(&s, 0, first, "one", &p);
	g_assert_cmpint(p.verdict, ==, CONFSTATE_ALREADY);
	g_assert_cmpuint(p.record.generation, ==, 1);
	g_assert_true(p.record.accepted);
	confstate_plan_free(&p);
	plan(&s, 9, more, "three", &p);
	g_assert_cmpint(p.verdict, ==, CONFSTATE_REFUSED);
	g_assert_cmpint(p.err.kind, ==, ERR_CONFLICT);
	take(&s, &p);
	confstate_plan_free(&p);
	plan(&s, 2, more, "three", &p);
	g_assert_cmpint(p.verdict, ==, CONFSTATE_ALREADY);
	g_assert_false(p.record.accepted);
	confstate_plan_free(&p);
	confstate_free(&s);
}

static void
test_fold(void)
{
	static const struct {
		const char *record;
		int rc;
		uint64_t generation;
	} cases[] = {
		{ "{'v':1,'generation':2,'who':'w','when':1,'change':'c',"
		  "'result':'accepted','files':[{'name':'20.ini',"
		  "'sha256':null,'was':null}],'keys':[]}",
		    0, 2 },
		{ "{'v':1,'generation':1,'who':'w','when':1,'change':'c',"
		  "'result':'accepted','files':[],'keys':[]}",
		    1, 1 },
		{ "{'v':1,'generation':3,'who':'w','when':1,'change':'c',"
		  "'result':'accepted','files':[],'keys':[]}",
		    ERR_NOT_READY, 1 },
		{ "{'v':2,'generation':2,'who':'w','when':1,'change':'c',"
		  "'result':'accepted','files':[],'keys':[]}",
		    ERR_CONFIG, 1 },
		{ "{'v':1,'generation':2,'who':'w','when':1,'change':'c',"
		  "'result':'staged','files':[],'keys':[]}",
		    ERR_CONFIG, 1 },
		{ "{'v':1,'generation':2,'who':'w','when':1,'change':'c',"
		  "'result':'accepted','files':[{'name':'20.ini',"
		  "'sha256':'12','was':null}],'keys':[]}",
		    ERR_CONFIG, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct confstate s = { 0 };
		struct err e = { 0 };
		g_autofree char *text =
		    g_strdelimit(g_strdup(cases[i].record), "'", '"');
		json_t *j = json_loads(text, 0, NULL);

		g_assert_nonnull(j);
		apply(&s, 0, first, "first");
		g_assert_cmpint(confstate_fold(&s, j, &e), ==, cases[i].rc);
		g_assert_cmpuint(s.generation, ==, cases[i].generation);
		g_assert_cmpuint(
		    s.files.n, ==, cases[i].generation == 1 ? 2 : 1);
		json_decref(j);
		confstate_free(&s);
	}
}

static void
test_snapshot(void)
{
	struct confstate s = { 0 };
	struct confstate t = { 0 };
	struct text_file v[4] = { { "10.ini", SERVICE } };
	json_t *old;
	json_t *j;
	struct conf *c;

	apply(&s, 0, first, "first");
	old = confstate_snapshot(&s);
	for (uint64_t g = 1; g < 40; g++) {
		g_autofree char *body =
		    g_strdup_printf("[policy]\nretries = %u\n", (int)(g % 3));
		g_autofree char *change = g_strdup_printf("c%u", (int)g);

		v[1] = (struct text_file){ "20.ini", body };
		if (g % 3 == 1)
			v[1].name = "15.ini";
		apply(&s, g, v, change);
	}
	j = confstate_snapshot(&s);
	g_assert_cmpint(confstate_restore(&t, j, NULL), ==, 0);
	g_assert_cmpint(confstate_restore(&t, old, NULL), ==, 1);
	g_assert_cmpuint(t.generation, ==, 40);
	g_assert_cmpuint(t.reach, ==, 40 - CONFSTATE_SNAPSHOT_HISTORY);
	g_assert_null(confstate_conf(&t, NULL));
	while (confstate_missing(&t) != NULL) {
		const struct conffile *m = confstate_missing(&t);

		g_assert_false(confstate_body(&t, m->hash, STR("other")));
		for (size_t i = 0; i < s.files.n; i++)
			confstate_body(
			    &t, s.files.v[i].hash, str_of(&s.files.v[i].body));
	}
	c = confstate_conf(&t, NULL);
	g_assert_cmpuint(c->generation, ==, 40);
	conf_unref(c);
	json_decref(old);
	json_decref(j);
	confstate_free(&s);
	confstate_free(&t);
}

static void
test_diff(void)
{
	struct conffiles a = { 0 };
	struct conffiles b = { 0 };
	struct confkeys keys = { 0 };
	struct buf out = { 0 };

	conffiles_put(&a, "20.ini", STR("[policy]\nretries = 1\nhedge = no\n"));
	conffiles_put(&b, "10.ini", STR("[policy]\nretries = 2\n"));
	conffiles_put(&b, "20.ini", STR("[policy]\nretries = 3\n"));
	g_assert_cmpint(conffiles_diff(&a, &b, &keys, NULL), ==, 0);
	confkeys_text(&keys, &out);
	g_assert_cmpstr(out.p, ==,
	    "[policy] hedge: no -> (not set)\n[policy] retries: 1 -> 3\n");
	buf_free(&out);
	confkeys_free(&keys);
	conffiles_free(&a);
	conffiles_free(&b);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/confstate/race", test_race);
	g_test_add_func("/confstate/lost-answer", test_lost_answer);
	g_test_add_func("/confstate/fold", test_fold);
	g_test_add_func("/confstate/snapshot", test_snapshot);
	g_test_add_func("/confstate/diff", test_diff);
	return g_test_run();
}
