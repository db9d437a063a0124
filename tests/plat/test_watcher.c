/*
 * The reply to a poll that arrives after a feed has brought later changes: its
 * changes are older, and must not undo them.
 */
#include "plat/http.h"
#include "plat/watcher.h"
#include "tests/platform/fakeplat.h"

#define STORE_PORT   24770
#define POLL_TIME    (1 * USEC_PER_SEC)
#define CALL_TIMEOUT (500 * USEC_PER_MSEC)
/* The store has written its reply by then. */
#define REPLY_TIME   (200 * USEC_PER_MSEC)
#define WAIT_TIME    (5 * USEC_PER_SEC)

static const struct late_case {
	const char *name;
	int64_t fed; /* revisions beyond the poll's that a feed has brought */
	bool delivered;
} cases[] = {
	{ "no feed", 0, true },
	{ "later changes fed", 2, false },
	{ "the same change fed", 1, false },
};

struct seen {
	bool listed;
	bool polled;
	uint32_t puts;
};

static void
on_event(void *arg, enum watcher_event ev, struct str key, struct str value)
{
	struct seen *s = arg;

	(void)value;
	s->listed = s->listed || ev == WATCHER_LIST_END;
	if (ev == WATCHER_PUT && str_eq(key, STR("op/late")))
		s->puts++;
}

static void
on_batch(void *arg, int64_t after, const struct kv_changes *c)
{
	struct seen *s = arg;

	(void)after;
	(void)c;
	s->polled = true;
}

static void
run_until(
    struct http_loop *loop, struct watcher *w, const bool *done, usec_t time)
{
	usec_t end = clock_now() + time;

	while (!*done && clock_now() < end) {
		watcher_tick(w, clock_now());
		http_run(loop, 10 * USEC_PER_MSEC);
	}
}

static void
run_case(gconstpointer arg)
{
	static const char endpoint[] = "127.0.0.1:24770";
	const struct late_case *x = arg;
	const char *endpoints[] = { endpoint };
	struct fakeplat *platform = fakeplat_start(STORE_PORT);
	struct http_loop *loop = http_new();
	struct seen seen = { 0 };
	bool never = false;
	struct kv *kv = kv_new(&(struct kv_opts){ .loop = loop,
	    .endpoints = endpoints,
	    .n_endpoints = G_N_ELEMENTS(endpoints),
	    .timeout = CALL_TIMEOUT,
	    .form = KV_FORM_PLATFORM });
	struct watcher *w = watcher_new(&(struct watcher_opts){ .kv = kv,
	    .prefix = STR(""),
	    .poll_timeout = POLL_TIME,
	    .seed = 1,
	    .handler = on_event,
	    .batch = on_batch,
	    .arg = &seen });

	fakeplat_put(platform, "op/other", "{}");
	run_until(loop, w, &seen.listed, WAIT_TIME);
	g_assert_true(seen.listed);
	/* The poll is under way. */
	run_until(loop, w, &never, POLL_TIME);
	watcher_set_revision(w, watcher_revision(w) + x->fed);
	seen.polled = false;
	fakeplat_put(platform, "op/late", "{}");
	g_usleep((gulong)REPLY_TIME);
	for (int64_t i = 1; i < x->fed; i++)
		fakeplat_put(platform, "op/other", "{}");
	run_until(loop, w, &seen.polled, WAIT_TIME);
	g_assert_cmpint(seen.puts > 0, ==, x->delivered);
	watcher_free(w);
	kv_free(kv);
	http_free(loop);
	fakeplat_stop(platform);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strconcat("/watcher/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], run_case);
	}
	return g_test_run();
}
