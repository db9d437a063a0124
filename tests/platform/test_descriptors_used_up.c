/*
 * A host that had no descriptor left for a call to a target ended with SIGSEGV,
 * and with it all streams that it served.
 */
#include "tests/platform/harness.h"

#include <dirent.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>

#define STORE_PORT      24700
#define TARGET_PORT     24701
#define HOST_PORT       24710
#define TIMEOUT_SECONDS 15
#define DEADLINE_MS     3000
#define N_CALLERS       24

/* Descriptors that are left before the callers come. */
static const struct descriptors_case {
	const char *name;
	const char *path;
	unsigned int left;
} cases[] = {
	{ "none", "/safe/1", 0 },
	{ "one", "/safe/1", 1 },
	{ "one-stream", "/stream/1", 1 },
	{ "some", "/safe/1", 8 },
	{ "some-streams", "/stream/1", 8 },
	{ "some-once", "/once/1", 8 },
	{ "half-of-the-callers", "/stream/1", N_CALLERS / 2 },
	{ "enough-for-the-callers-alone", "/stream/1", N_CALLERS },
};

static struct fakeplat *platform;
static struct harness_host host;
static const struct descriptors_case *playing;
static atomic_uint n_true; /* 200, or a refusal that says not run */

static rlim_t
count_descriptors(void)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", host.pid);
	DIR *dir = opendir(path);
	rlim_t n = 0;

	g_assert_nonnull(dir);
	while (readdir(dir) != NULL)
		n++;
	closedir(dir);
	return n - 2; /* without . and .. */
}

static void
limit_descriptors(rlim_t n)
{
	struct rlimit l;

	g_assert_cmpint(prlimit(host.pid, RLIMIT_NOFILE, NULL, &l), ==, 0);
	l.rlim_cur = MIN(n, l.rlim_max);
	g_assert_cmpint(prlimit(host.pid, RLIMIT_NOFILE, &l, NULL), ==, 0);
}

static int
exchange(const char *path, const char *id)
{
	g_autofree char *q = harness_format(&(struct harness_request){
	    .path = path, .id = id, .deadline_ms = DEADLINE_MS });
	struct harness_response a;
	int status;

	harness_exchange(host.port, str_from(q), 2 * DEADLINE_MS, &a);
	status = a.status == 200 && !a.complete ? 0 : a.status;
	harness_response_free(&a);
	return status;
}

static void *
run_caller(void *arg)
{
	g_autofree char *id = g_strdup_printf("%s-%s-%d",
	    strcmp(playing->path, "/once/1") == 0 ? "once" : "safe",
	    playing->name, *(const int *)arg);
	int status = exchange(playing->path, id);

	if (status == 200 || status == 503)
		atomic_fetch_add(&n_true, 1);
	return NULL;
}

static void
run_case(gconstpointer p)
{
	const struct descriptors_case *x = p;
	pthread_t callers[N_CALLERS];
	int numbers[N_CALLERS];
	g_autofree char *id = g_strconcat("after-", x->name, NULL);
	usec_t until;
	int status = 0;

	playing = x;
	atomic_store(&n_true, 0);
	limit_descriptors(count_descriptors() + x->left);
	for (int i = 0; i < N_CALLERS; i++) {
		numbers[i] = i;
		pthread_create(&callers[i], NULL, run_caller, &numbers[i]);
	}
	for (int i = 0; i < N_CALLERS; i++)
		pthread_join(callers[i], NULL);
	g_assert_cmpint(waitpid(host.pid, NULL, WNOHANG), ==, 0);
	limit_descriptors(RLIM_INFINITY);
	until = clock_now() + TIMEOUT_SECONDS * USEC_PER_SEC;
	while (status != 200 && clock_now() < until) {
		status = exchange("/safe/1", id);
		if (status != 200)
			g_usleep(100 * USEC_PER_MSEC);
	}
	g_assert_cmpint(status, ==, 200);
	g_test_message("%u of %d callers were answered", n_true, N_CALLERS);
	g_assert_cmpuint(fakeplat_count_duplicates(platform), ==, 0);
}

int
main(int argc, char **argv)
{
	g_autofree char *config = harness_config(1, NULL);
	static const struct fakeplat_target targets[] = {
		{ "plain1", "plain", "d1", TARGET_PORT },
		{ "plain2", "plain", "d1", TARGET_PORT + 1 },
		{ "engine1", "engine", "d1", TARGET_PORT + 2 },
		{ "engine2", "engine", "d1", TARGET_PORT + 3 },
	};
	g_autofree char *dir = g_dir_make_tmp("descriptors-XXXXXX", NULL);
	int rc;

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	platform = fakeplat_start(STORE_PORT);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		fakeplat_add_target(platform, &targets[i]);
	fakeplat_put(platform, "op/config", config);
	host = (struct harness_host){
		.port = HOST_PORT, .id = "h1", .store_port = STORE_PORT
	};
	g_assert_nonnull(dir);
	g_strlcpy(host.dir, dir, sizeof(host.dir));
	harness_start_host(&host);
	g_assert_true(harness_wait_ready(&host, TIMEOUT_SECONDS));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strconcat("/descriptors-used-up/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], run_case);
	}
	rc = g_test_run();
	kill(host.pid, SIGTERM);
	g_assert_cmpint(harness_wait_exit(&host), ==, 0);
	fakeplat_stop(platform);
	return rc;
}
