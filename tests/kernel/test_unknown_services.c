/*
 * Replays jobs for a stage service that a coordinator doesn't know, beside
 * changes of the configuration: a host that is behind refuses none of a new
 * service, and all of one that was removed.
 */
#include "kernel/unknown_services.h"

#define MS USEC_PER_MSEC

enum step_kind {
	END,
	ASK,
	KNOW,  /* a configuration with the service */
	PLAIN, /* one in which it has no pool */
	LACK   /* one without it */
};

static const struct replay {
	const char *name;
	struct {
		enum step_kind kind;
		usec_t at;
		enum unknown_answer answer;
	} steps[8];
} replays[] = {
	{ "a sender that is ahead",
	    { { LACK, 0, 0 }, { ASK, 10 * MS, UNKNOWN_NONE },
		{ ASK, 110 * MS, UNKNOWN_NONE },
		{ ASK, 210 * MS, UNKNOWN_LATER },
		{ ASK, 1210 * MS, UNKNOWN_REFUSE } } },
	{ "many senders",
	    { { LACK, 0, 0 }, { ASK, 10 * MS, UNKNOWN_NONE },
		{ ASK, 700 * MS, UNKNOWN_LATER },
		{ ASK, 1700 * MS, UNKNOWN_REFUSE },
		{ ASK, 60000 * MS, UNKNOWN_REFUSE } } },
	{ "again after a change",
	    { { LACK, 0, 0 }, { ASK, 10 * MS, UNKNOWN_NONE },
		{ ASK, 2000 * MS, UNKNOWN_REFUSE }, { LACK, 3000 * MS, 0 },
		{ ASK, 3010 * MS, UNKNOWN_NONE } } },
	{ "removed",
	    { { KNOW, 0, 0 }, { LACK, 1000 * MS, 0 },
		{ ASK, 1001 * MS, UNKNOWN_REFUSE }, { LACK, 2000 * MS, 0 },
		{ ASK, 2001 * MS, UNKNOWN_REFUSE } } },
	{ "stages no more",
	    { { KNOW, 0, 0 }, { PLAIN, 1000 * MS, 0 },
		{ ASK, 1001 * MS, UNKNOWN_REFUSE } } },
	{ "no configuration yet", { { ASK, 10 * MS, UNKNOWN_NONE } } },
};

static struct routes *
configuration(enum step_kind kind)
{
	struct routes *t = routes_new();
	struct service s = { .name = g_strdup("s"), .has_pool = kind == KNOW };

	if (kind == LACK)
		g_free(s.name);
	else
		g_array_append_val(t->services, s);
	routes_freeze(t);
	return t;
}

static void
test_replays(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(replays); i++) {
		struct unknown_services u;
		struct routes *t = NULL;

		g_test_message("%s", replays[i].name);
		unknown_services_init(&u);
		for (size_t k = 0; replays[i].steps[k].kind != END; k++) {
			enum step_kind kind = replays[i].steps[k].kind;
			struct routes *next;

			if (kind == ASK) {
				g_assert_cmpint(unknown_services_asked(&u, "s",
						    replays[i].steps[k].at),
				    ==, replays[i].steps[k].answer);
				continue;
			}
			next = configuration(kind);
			unknown_services_changed(&u, t, next);
			routes_unref(t);
			t = next;
		}
		routes_unref(t);
		unknown_services_free(&u);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/unknown_services/replays", test_replays);
	return g_test_run();
}
