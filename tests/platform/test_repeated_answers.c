/*
 * Targets that write an earlier answer once more on a kept connection, before
 * the answer to its next call: no piece and no request gets a result of another
 * request.
 */
#include "tests/platform/harness.h"

#include <signal.h>
#include <stdatomic.h>

#define STORE_PORT      24300
#define TARGET_PORT     24310
#define HOST_PORT       24330
#define UNUSED_PORT     24350
#define NO_PORT         24360 /* nothing listens there */
#define TIMEOUT_SECONDS 15
#define CALLERS         4
#define PLAY_TIME       (5 * USEC_PER_SEC)

static struct fakeplat *platform;
/* Entries with addresses at which no target listens. */
static struct fakeplat *unreachable;
static struct harness_host host = {
	.port = HOST_PORT, .id = "h1", .store_port = STORE_PORT
};
/* It has no path to the targets, and is the coordinator while it runs. */
static struct harness_host cut_host = { .port = HOST_PORT + 4,
	.id = "h3",
	.store_port = STORE_PORT + 1,
	.seed_port = HOST_PORT };
/* Where callers send their requests. */
static const struct harness_host *entry_host = &host;
static atomic_bool stopping;
static atomic_uint n_served;

static gpointer
run_caller(gpointer arg)
{
	int number = GPOINTER_TO_INT(arg);

	for (int n = 0; !atomic_load(&stopping); n++) {
		g_autofree char *id = g_strdup_printf("st-%d-%d", number, n);
		g_autofree char *q = harness_format(&(struct harness_request){
		    .path = "/stream/staged/1",
		    .id = id,
		    .extra_fields = "X-Pieces: 8,8\r\nX-Piece-Key: pk\r\n" });
		struct harness_response a;

		harness_exchange(
		    entry_host->port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
		if (a.status == 200 && a.complete)
			atomic_fetch_add(&n_served, 1);
		harness_response_free(&a);
	}
	return NULL;
}

/* Callers are served from the results of their own requests only. */
static void
play(enum fakeplat_repeat repeat)
{
	uint32_t before = fakeplat_count_mixed(platform);
	GThread *t[CALLERS];

	fakeplat_set_repeat(platform, "s1", repeat);
	fakeplat_set_repeat(platform, "s2", repeat);
	atomic_store(&stopping, false);
	atomic_store(&n_served, 0);
	for (int i = 0; i < CALLERS; i++)
		t[i] = g_thread_new("caller", run_caller, GINT_TO_POINTER(i));
	g_usleep(PLAY_TIME);
	atomic_store(&stopping, true);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(t[i]);
	g_test_message("%u served, %u mixed", atomic_load(&n_served),
	    fakeplat_count_mixed(platform) - before);
	g_assert_cmpuint(fakeplat_count_mixed(platform), ==, before);
	g_assert_cmpuint(atomic_load(&n_served), >=, CALLERS);
}

static void
test_refusal(void)
{
	play(FAKEPLAT_REPEAT_REFUSAL);
}

static void
test_results(void)
{
	play(FAKEPLAT_REPEAT_RESULTS);
}

/* The calls of a host without a path are made by way of another one. */
static void
test_by_host(void)
{
	g_strlcpy(cut_host.dir, host.dir, sizeof(cut_host.dir));
	harness_start_host(&cut_host);
	g_assert_true(harness_wait_ready(&cut_host, TIMEOUT_SECONDS));
	entry_host = &cut_host;
	g_usleep(2 * USEC_PER_SEC);
	play(FAKEPLAT_REPEAT_REFUSAL);
	play(FAKEPLAT_REPEAT_RESULTS);
	kill(cut_host.pid, SIGTERM);
	harness_wait_exit(&cut_host);
}

static void
start_platform(void)
{
	static const struct {
		const char *id, *service;
	} targets[] = {
		{ "p1", "plain" },
		{ "e1", "engine" },
		{ "s1", "pool" },
		{ "s2", "pool" },
	};
	g_autofree char *c = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("repeated-XXXXXX", NULL);

	g_strlcpy(host.dir, dir, sizeof(host.dir));
	platform = fakeplat_start(STORE_PORT);
	unreachable = fakeplat_start(STORE_PORT + 1);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		struct fakeplat_target t = { .id = targets[i].id,
			.service = targets[i].service,
			.domain = "d1",
			.port = (uint16_t)(TARGET_PORT + i) };

		fakeplat_add_target(platform, &t);
		t.port = (uint16_t)(UNUSED_PORT + i);
		t.published_port = (uint16_t)(NO_PORT + i);
		fakeplat_add_target(unreachable, &t);
	}
	fakeplat_put(platform, "op/config", c);
	fakeplat_put(unreachable, "op/config", c);
	harness_start_host(&host);
	g_assert_true(harness_wait_ready(&host, TIMEOUT_SECONDS));
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	start_platform();
	g_test_add_func("/repeated-answers/refusal", test_refusal);
	g_test_add_func("/repeated-answers/results", test_results);
	g_test_add_func("/repeated-answers/by-host", test_by_host);
	rc = g_test_run();
	kill(host.pid, SIGTERM);
	harness_wait_exit(&host);
	fakeplat_stop(platform);
	fakeplat_stop(unreachable);
	return rc;
}
