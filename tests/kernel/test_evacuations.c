/*
 * Evacuated failure domains, by the ways in which hosts learn of them late, and
 * what the choice of targets does meanwhile: a host that loses an evacuation
 * sends to targets that must get nothing, one that keeps it leaves them idle.
 */
#include "kernel/evacuations.h"
#include "kernel/loads.h"

#include <string.h>

#define SEC USEC_PER_SEC

/*
 * Steps: p puts domain a, P puts b, r removes a; [ and ] begin and finish a
 * listing, } finishes that of a restored store; ( h ) are [ p ] of the state of
 * another host; k passes the time that a missing one is kept, s a second.
 */
static const struct evacuation_case {
	const char *name;
	const char *steps;
	const char *in_force;
} cases[] = {
	{ "written", "p", "a" },
	{ "written and removed", "pr", "" },
	{ "removed and written again", "prp", "a" },
	{ "removal of an unknown one", "r", "" },
	{ "written twice", "pp", "a" },
	{ "written twice and removed", "ppr", "" },
	{ "first listing", "[p]", "a" },
	{ "listed again", "p[p]", "a" },
	{ "holds during a listing", "p[", "a" },
	{ "a listing that fails halfway", "p[[p]", "a" },
	{ "removed unseen", "p[]", "" },
	{ "another was removed unseen", "pP[P]", "b" },
	{ "removed during a listing", "p[pr]", "" },
	{ "the copy lacks it", "p[}", "a" },
	{ "the copy lacks it, later listing", "p[}[]", "a" },
	{ "the copy lacks it, restored twice", "p[}s[}", "a" },
	{ "the copy lacks it, removed later", "p[}r", "" },
	{ "the copy lacks it for long", "p[}k", "" },
	{ "the copy lacks it, listed for long", "p[}s[]k", "" },
	{ "the copy lacks it, written again", "p[}pk", "a" },
	{ "written again and removed unseen", "p[}p[]", "" },
	{ "the copy has it", "p[p}k", "a" },
	{ "the copy has one that was removed", "pr[p}", "a" },
	{ "told by a host", "(h)", "a" },
	{ "a host knows that it was removed", "p()", "" },
	{ "told by a host, listed", "(h)[p]", "a" },
	{ "told by a host, removed since", "(h)[]", "" },
	{ "told during a listing without it", "[(h)]", "" },
	{ "told during a listing with it", "[p(h)]", "a" },
	{ "a host knows the removal during a listing", "[p()]", "" },
	{ "time alone", "pk", "a" },
};

static void
step(struct evacuations *e, char c, usec_t *now)
{
	static const struct evacuation_origin store = { 0 };
	static const struct evacuation_origin host = { EVACUATION_HOST, 0, 0 };
	bool state = c == '(' || c == ')';
	enum evacuation_source source =
	    state ? EVACUATION_HOST : EVACUATION_STORE;

	switch (c) {
	case 'p':
	case 'P':
		evacuations_put(e, c == 'p' ? "a" : "b", &store, *now);
		break;
	case 'h':
		evacuations_put(e, "a", &host, *now);
		break;
	case 'r':
		evacuations_remove(e, "a");
		break;
	case '[':
	case '(':
		evacuations_list_begin(e, source);
		break;
	case ']':
	case '}':
	case ')':
		evacuations_list_end(e, source, c == '}', *now);
		break;
	case 'k':
		*now += EVACUATION_KEEP_TIME;
		break;
	case 's':
		*now += SEC;
		break;
	}
	evacuations_tick(e, *now);
}

static void
test_steps(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct evacuation_case *x = &cases[i];
		struct evacuations e;
		struct evacuation ended;
		usec_t now = SEC;
		size_t n = strlen(x->in_force);

		g_test_message("%s", x->name);
		evacuations_init(&e);
		for (const char *s = x->steps; *s != '\0'; s++)
			step(&e, *s, &now);
		g_assert_cmpuint(evacuations_count(&e), ==, n);
		g_assert_cmpint(evacuations_has(&e, "a"), ==,
		    strchr(x->in_force, 'a') != NULL);
		g_assert_cmpint(evacuations_has(&e, "b"), ==,
		    strchr(x->in_force, 'b') != NULL);
		while (evacuations_take_ended(&e, &ended))
			g_assert_cmpint(ended.domain[0], !=, '\0');
		g_assert_cmpuint(e.v->len, ==, n);
		evacuations_free(&e);
	}
}

static void
test_bound(void)
{
	struct evacuation_origin o = { .source = EVACUATION_HOST,
		.age = 3 * SEC };
	struct evacuations e;

	evacuations_init(&e);
	for (int i = 0; i <= EVACUATIONS_MAX; i++) {
		g_autofree char *name = g_strdup_printf("d%d", i);

		g_assert_cmpint(evacuations_put(&e, name, &o, 9 * SEC), ==,
		    i < EVACUATIONS_MAX ? EVACUATION_BEGINS
					: EVACUATION_TOO_MANY);
	}
	g_assert_cmpint(
	    g_array_index(e.v, struct evacuation, 0).since, ==, 6 * SEC);
	evacuations_free(&e);
}

#define PER_DOMAIN 6 /* targets: enough for a split service */

static void
list_targets(struct loads *l, const char *domains)
{
	g_autoptr(GArray) v =
	    g_array_new(FALSE, TRUE, sizeof(struct target_entry));

	for (const char *d = domains; *d != '\0'; d++) {
		for (int i = 0; i < PER_DOMAIN; i++) {
			struct target_entry e = { .service = "s", .slots = 4 };

			g_snprintf(e.id, sizeof(e.id), "%c%d", *d, i);
			g_snprintf(
			    e.addr, sizeof(e.addr), "10.0.%d.%d:80", *d, i);
			g_snprintf(e.domain, sizeof(e.domain), "%c", *d);
			g_array_append_val(v, e);
		}
	}
	loads_update(l, v, SEC);
}

static void
evacuate(struct loads *l, const char *domains)
{
	g_autoptr(GArray) v =
	    g_array_new(FALSE, TRUE, sizeof(struct evacuation));

	for (const char *d = domains; *d != '\0'; d++) {
		struct evacuation x = { .domain = { *d } };

		g_array_append_val(v, x);
	}
	loads_set_evacuated(l, v, SEC);
}

static const struct choice_case {
	const char *name;
	const char *targets;   /* domains that have targets */
	const char *evacuated; /* before these are listed */
	const char *later;     /* afterwards */
	const char *used;      /* domains that are used then */
	guint split;           /* domains of the split service; 0: not split */
	bool turned_away;      /* the service's domains are all evacuated */
} choices[] = {
	{ "none", "ab", "", "", "ab", 2, false },
	{ "home", "ab", "", "a", "b", 1, false },
	{ "other", "ab", "", "b", "a", 1, false },
	{ "taken back", "abc", "a", "", "abc", 3, false },
	{ "before its targets come", "abc", "c", "c", "ab", 2, false },
	{ "without targets", "ab", "z", "z", "ab", 2, false },
	{ "all", "ab", "", "ab", "", 0, true },
	{ "all that have targets", "a", "a", "a", "", 0, true },
	{ "no targets at all", "", "a", "a", "", 0, false },
};

static void
test_choice(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(choices); i++) {
		const struct choice_case *x = &choices[i];
		struct loads_query q = { .service = "s" };
		const GPtrArray *split;
		struct loads l;

		g_test_message("%s", x->name);
		loads_init(&l, "a", 1);
		evacuate(&l, x->evacuated);
		list_targets(&l, x->targets);
		evacuate(&l, x->later);
		for (int k = 0; k < 100; k++) {
			struct target_load *t = loads_choose(&l, &q, SEC);

			g_assert_cmpint(t != NULL, ==, *x->used != '\0');
			if (t == NULL)
				break;
			g_assert_nonnull(strchr(x->used, t->entry.domain[0]));
			loads_failed(t, SEC); /* also if all are set aside */
		}
		split = loads_domains(&l, "s");
		g_assert_cmpuint(split != NULL ? split->len : 0, ==, x->split);
		g_assert_cmpint(
		    loads_is_evacuated(&l, "s"), ==, x->turned_away);
		g_assert_cmpuint(loads_withheld(&l), ==,
		    PER_DOMAIN * (strlen(x->targets) - strlen(x->used)));
		loads_free(&l);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuations/steps", test_steps);
	g_test_add_func("/evacuations/bound", test_bound);
	g_test_add_func("/evacuations/choice", test_choice);
	return g_test_run();
}
