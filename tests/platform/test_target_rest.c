/*
 * Targets that turn a host away with 503 and a Retry-After: within that time
 * the host sends them at most the two requests that the platform allows, while
 * other targets serve what it has.  One host, as each has a rest of its own.
 *
 * Then targets that say in their answers only that they leave.
 */
#include "tests/platform/harness.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define STORE_PORT      23700
#define TARGET_PORT     23701
#define HOST_PORT       23720
#define CALLERS         9
#define TIMEOUT_SECONDS 15
#define DEADLINE_MS     3000
#define CALL_PAUSE      (30 * USEC_PER_MSEC)
#define CASE_TIME       (5 * USEC_PER_SEC)
/* Requests that may reach a target while it rests. */
#define ALLOWED         2
/* The platform's bound DrainMs. */
#define DRAIN_TIME      (2 * USEC_PER_SEC)

static const struct {
	const char *path, *prefix, *extra_fields;
} kinds[] = {
	{ "/safe/1", "safe", "" },
	{ "/stream/1", "s", "" },
	{ "/stream/staged/1", "st", "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n" },
};

/* Two targets of each service; the first of each asks for rests. */
static const struct fakeplat_target targets[] = {
	{ "p1", "plain", "d1", TARGET_PORT },
	{ "p2", "plain", "d1", TARGET_PORT + 1 },
	{ "e1", "engine", "d1", TARGET_PORT + 2 },
	{ "e2", "engine", "d1", TARGET_PORT + 3 },
	{ "s1", "pool", "d1", TARGET_PORT + 4 },
	{ "s2", "pool", "d1", TARGET_PORT + 5 },
};

static const struct rest_case {
	const char *text;
	usec_t rest;
	bool all; /* also the second target of each service */
} cases[] = {
	{ "2", 2 * USEC_PER_SEC, false },
	{ "1.5", 1500 * USEC_PER_MSEC, false },
	{ "3", 3 * USEC_PER_SEC, true },
};

struct caller {
	pthread_t thread;
	int number;
};

static struct fakeplat *platform;
static struct harness_host host = { .port = HOST_PORT,
	.store_port = STORE_PORT,
	.seed_port = HOST_PORT,
	.id = "h1" };
static atomic_bool stopping;
static atomic_uint n_served;
static atomic_uint n_rejected; /* with 503 and Retry-After */
static atomic_uint n_failed;   /* otherwise */

static void
send_request(const struct caller *c, int n)
{
	size_t kind = (size_t)c->number % G_N_ELEMENTS(kinds);
	g_autofree char *id =
	    g_strdup_printf("%s-%d-%d", kinds[kind].prefix, c->number, n);
	g_autofree char *q =
	    harness_format(&(struct harness_request){ .path = kinds[kind].path,
		.id = id,
		.extra_fields = kinds[kind].extra_fields,
		.deadline_ms = DEADLINE_MS });
	struct harness_response a;

	harness_exchange(host.port, str_from(q), 2 * DEADLINE_MS, &a);
	if (a.status == 200 && a.complete)
		atomic_fetch_add(&n_served, 1);
	else if (a.status == 503 &&
	    strstr(a.raw.p, "\r\nRetry-After: ") != NULL)
		atomic_fetch_add(&n_rejected, 1);
	else
		atomic_fetch_add(&n_failed, 1);
	harness_response_free(&a);
}

static void *
run_caller(void *arg)
{
	const struct caller *c = arg;

	for (int n = 0; !atomic_load(&stopping); n++) {
		send_request(c, n);
		g_usleep((gulong)CALL_PAUSE);
	}
	return NULL;
}

static void
clear_counts(void)
{
	atomic_store(&n_served, 0);
	atomic_store(&n_rejected, 0);
	atomic_store(&n_failed, 0);
}

static void
set_rest(const struct rest_case *x, const char *text)
{
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		if (i % 2 == 0 || x->all)
			fakeplat_set_rest(platform, targets[i].id, text);
	}
}

static void
run_case(gconstpointer arg)
{
	const struct rest_case *x = arg;

	clear_counts();
	fakeplat_clear_refusals(platform);
	set_rest(x, x->text);
	g_usleep((gulong)CASE_TIME);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		uint32_t n =
		    fakeplat_rest_arrivals(platform, targets[i].id, x->rest);

		g_test_message("%s: at most %u requests in a rest of %s s",
		    targets[i].id, n, x->text);
		g_assert_cmpuint(n, <=, ALLOWED);
	}
	g_test_message("%u served, %u rejected, %u failed",
	    atomic_load(&n_served), atomic_load(&n_rejected),
	    atomic_load(&n_failed));
	g_assert_cmpuint(atomic_load(&n_failed), ==, 0);
	if (!x->all)
		g_assert_cmpuint(atomic_load(&n_rejected), ==, 0);
	/* After the last rest all is served again. */
	set_rest(x, NULL);
	g_usleep((gulong)x->rest);
	clear_counts();
	g_usleep((gulong)(CASE_TIME / 2));
	g_assert_cmpuint(atomic_load(&n_served), >, 0);
	g_assert_cmpuint(atomic_load(&n_rejected), ==, 0);
	g_assert_cmpuint(atomic_load(&n_failed), ==, 0);
}

/* A target whose answers say that it leaves gets nothing after DrainMs. */
static void
test_leaving(void)
{
	usec_t begun;

	clear_counts();
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i += 2)
		fakeplat_set_leaving(platform, targets[i].id, true);
	g_usleep((gulong)DRAIN_TIME);
	begun = clock_now();
	g_usleep((gulong)CASE_TIME / 2);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		uint32_t n = fakeplat_arrivals(platform, targets[i].id, begun);

		g_test_message("%s: %u requests", targets[i].id, n);
		if (i % 2 == 0)
			g_assert_cmpuint(n, ==, 0);
		else
			g_assert_cmpuint(n, >, 0);
	}
	g_assert_cmpuint(atomic_load(&n_rejected), ==, 0);
	g_assert_cmpuint(atomic_load(&n_failed), ==, 0);
}

static void
start_fleet(void)
{
	g_autofree char *c = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("target-rest-XXXXXX", NULL);

	platform = fakeplat_start(STORE_PORT);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		fakeplat_add_target(platform, &targets[i]);
	fakeplat_put(platform, "op/config", c);
	g_strlcpy(host.dir, dir, sizeof(host.dir));
	harness_start_host(&host);
	g_assert_true(harness_wait_ready(&host, TIMEOUT_SECONDS));
	g_usleep(USEC_PER_SEC);
}

int
main(int argc, char **argv)
{
	struct caller callers[CALLERS];
	int rc;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	signal(SIGPIPE, SIG_IGN);
	start_fleet();
	for (int i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		pthread_create(
		    &callers[i].thread, NULL, run_caller, &callers[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf("/target-rest/%s%s",
		    cases[i].text, cases[i].all ? "-all" : "");

		g_test_add_data_func(path, &cases[i], run_case);
	}
	g_test_add_func("/target-rest/leaving", test_leaving);
	rc = g_test_run();
	atomic_store(&stopping, true);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
	kill(host.pid, SIGTERM);
	g_assert_cmpint(harness_wait_exit(&host), ==, 0);
	fakeplat_stop(platform);
	return rc;
}
