/*
 * A host ended with SIGSEGV at its planned stop, as calls that free results
 * were in flight and timed out after what they use was freed.
 */
#include "tests/platform/harness.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define STORE_PORT      24730
#define TARGET_PORT     24731
#define HOST_PORT       24740
#define TIMEOUT_SECONDS 15
#define DEADLINE_MS     2000
#define N_CALLERS       12
#define STOPS           3
/*
 * Calls that free results time out after 5 s: those of the whole load do so
 * until the stop is over.
 */
#define LOAD_TIME       (6 * USEC_PER_SEC)

static const struct fakeplat_target targets[] = {
	{ "engine", "engine", "d1", TARGET_PORT },
	{ "p1", "pool", "d1", TARGET_PORT + 1 },
	{ "p2", "pool", "d1", TARGET_PORT + 2 },
	{ "p3", "pool", "d1", TARGET_PORT + 3 },
};

static struct fakeplat *platform;
static struct harness_host host;
static atomic_bool loading;
static atomic_uint n_served;

static void *
run_caller(void *arg)
{
	int number = *(const int *)arg;

	for (int n = 0; atomic_load(&loading); n++) {
		g_autofree char *id =
		    g_strdup_printf("s%d-%d-%d", (int)host.pid, number, n);
		g_autofree char *q = harness_format(
		    &(struct harness_request){ .path = "/stream/staged/1",
			.id = id,
			.extra_fields = "X-Pieces: 1,1\r\nX-Piece-Key: k\r\n",
			.deadline_ms = DEADLINE_MS });
		struct harness_response a;

		harness_exchange(host.port, str_from(q), 2 * DEADLINE_MS, &a);
		atomic_fetch_add(&n_served, a.status == 200 && a.complete);
		harness_response_free(&a);
	}
	return NULL;
}

static void
test_stop(void)
{
	pthread_t callers[N_CALLERS];
	int numbers[N_CALLERS];

	for (int stop = 0; stop < STOPS; stop++) {
		harness_start_host(&host);
		g_assert_true(harness_wait_ready(&host, TIMEOUT_SECONDS));
		atomic_store(&loading, true);
		for (int i = 0; i < N_CALLERS; i++) {
			numbers[i] = i;
			pthread_create(
			    &callers[i], NULL, run_caller, &numbers[i]);
		}
		g_usleep((gulong)LOAD_TIME);
		kill(host.pid, SIGTERM);
		atomic_store(&loading, false);
		for (int i = 0; i < N_CALLERS; i++)
			pthread_join(callers[i], NULL);
		g_assert_cmpint(harness_wait_exit(&host), ==, 0);
	}
	g_test_message("%u requests served", n_served);
	g_assert_cmpuint(n_served, >, 0);
	g_assert_cmpuint(fakeplat_freed_results(platform), >, 0);
	g_assert_false(harness_wait_log(&host, "calls-left", 0));
}

int
main(int argc, char **argv)
{
	g_autofree char *config = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("calls-at-exit-XXXXXX", NULL);
	int rc;

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_assert_nonnull(dir);
	platform = fakeplat_start(STORE_PORT);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		fakeplat_add_target(platform, &targets[i]);
	fakeplat_hang_frees(platform, true);
	fakeplat_put(platform, "op/config", config);
	host = (struct harness_host){
		.port = HOST_PORT, .id = "h1", .store_port = STORE_PORT
	};
	g_strlcpy(host.dir, dir, sizeof(host.dir));
	g_test_add_func("/calls-at-exit/frees", test_stop);
	rc = g_test_run();
	fakeplat_stop(platform);
	return rc;
}
