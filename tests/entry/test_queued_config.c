/*
 * Configurations that arrive while another one waits to be applied: the newest
 * is applied, and other hosts get no older one.
 */
#include "entry/discovery_state.h"

#include <stdlib.h>
#include <string.h>

static const struct queue_case {
	const char *name;
	const char *first, *second; /* documents; s: that of a version */
	bool first_from_store, second_from_store;
	const char *queued, *served; /* "": none is served yet */
} cases[] = {
	{ "newer, of another host", "6", "7", true, false, "7", "6" },
	{ "older, of another host", "7", "6", true, false, "7", "7" },
	{ "older, of a second host", "7", "6", false, false, "7", "" },
	{ "bad, of another host", "7", "x", true, false, "7", "7" },
	{ "newer, from the store", "6", "7", false, true, "7", "7" },
	{ "older, from the store", "7", "6", false, true, "7", "" },
	{ "bad, from the store", "7", "x", false, true, "7", "" },
	{ "after a bad one", "x", "7", true, false, "7", "x" },
	{ "the store's next", "6", "7", true, true, "7", "7" },
};

static char *
document(const char *version)
{
	return g_strdup_printf("{\"Version\":%s,\"Services\":[],\"Routes\":[],"
			       "\"Limits\":{\"MaxHeaderBytes\":9000,"
			       "\"MaxBodyBytes\":9000,\"HeaderTimeoutMs\":1000,"
			       "\"IdleTimeoutMs\":1000}}",
	    version);
}

static void
deliver(struct discovery *d, const char *version, bool from_store)
{
	g_autofree char *text = document(version);

	if (from_store)
		discovery_config_from_store(d, str_from(text));
	else
		discovery_queue_config(d, str_from(text), "another host");
}

static void
assert_version(const struct buf *b, const char *version)
{
	g_autofree char *found =
	    b->n > 0 ? g_strndup(b->p + strlen("{\"Version\":"), 1) : NULL;

	g_assert_cmpstr(found != NULL ? found : "", ==, version);
}

static void
test_queue(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct queue_case *x = &cases[i];
		struct discovery d = { 0 };

		g_test_message("%s", x->name);
		pthread_mutex_init(&d.lock, NULL);
		deliver(&d, x->first, x->first_from_store);
		deliver(&d, x->second, x->second_from_store);
		assert_version(
		    &config_queue_newest(&d.queued_configs)->text, x->queued);
		assert_version(&d.config_text, x->served);
		config_queue_clear(&d.queued_configs);
		buf_free(&d.config_text);
		buf_free(&d.config_compressed);
		pthread_mutex_destroy(&d.lock);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/queued-config/queue", test_queue);
	return g_test_run();
}
