/*
 * A target that names a limit of requests a second: several hosts, a fake
 * platform, and requests that need plain targets, engines and stage targets.
 */
#include "tests/platform/harness.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define STORE_PORT      21600
#define TARGET_PORT     21601
#define HOST_PORT       21620
#define HOSTS           4
#define CALLERS         9
#define TIMEOUT_SECONDS 15
#define DEADLINE_MS     3000
#define CALL_PAUSE      (30 * USEC_PER_MSEC)
/* The platform's bounds: StableMs, the span, and what it allows in it. */
#define STABLE_TIME     (3 * USEC_PER_SEC)
#define SPAN            (4 * USEC_PER_SEC)
#define ALLOWED(limit)  ((uint32_t)(1.5 * 4 * (limit)) + 5)
/* A limit that has ended is to be forgotten within this time. */
#define END_TIME        (5 * USEC_PER_SEC)

struct caller {
	pthread_t thread;
	int number;
};

static const struct {
	const char *path, *prefix, *extra_fields;
} kinds[] = {
	{ "/safe/1", "safe", "" },
	{ "/stream/1", "s", "" },
	{ "/stream/staged/1", "st", "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n" },
};

/* Three targets of each service; the first names the limits. */
static const struct fakeplat_target targets[] = {
	{ "p1", "plain", "d1", TARGET_PORT },
	{ "p2", "plain", "d1", TARGET_PORT + 1 },
	{ "p3", "plain", "d1", TARGET_PORT + 2 },
	{ "e1", "engine", "d1", TARGET_PORT + 3 },
	{ "e2", "engine", "d1", TARGET_PORT + 4 },
	{ "e3", "engine", "d1", TARGET_PORT + 5 },
	{ "s1", "pool", "d1", TARGET_PORT + 6 },
	{ "s2", "pool", "d1", TARGET_PORT + 7 },
	{ "s3", "pool", "d1", TARGET_PORT + 8 },
};
static const char *const limited[] = { "p1", "e1", "s1" };

static struct fakeplat *platform;
static struct harness_host hosts[HOSTS];
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

	harness_exchange(hosts[(c->number + n) % HOSTS].port, str_from(q),
	    2 * DEADLINE_MS, &a);
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
start_fleet(void)
{
	g_autofree char *c = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("target-limit-XXXXXX", NULL);

	platform = fakeplat_start(STORE_PORT);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		fakeplat_add_target(platform, &targets[i]);
	fakeplat_put(platform, "op/config", c);
	for (int i = 0; i < HOSTS; i++) {
		struct harness_host *h = &hosts[i];

		h->port = (uint16_t)(HOST_PORT + 4 * i);
		h->store_port = STORE_PORT;
		h->seed_port = HOST_PORT;
		snprintf(h->id, sizeof(h->id), "h%d", i + 1);
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		harness_start_host(h);
	}
	for (int i = 0; i < HOSTS; i++)
		g_assert_true(harness_wait_ready(&hosts[i], TIMEOUT_SECONDS));
}

/* Sets the limit of the first target of each service; NULL ends it. */
static usec_t
set_limits(const char *text)
{
	for (size_t i = 0; i < G_N_ELEMENTS(limited); i++)
		fakeplat_set_limit(platform, limited[i], text);
	return clock_now();
}

static void
clear_counts(void)
{
	atomic_store(&n_served, 0);
	atomic_store(&n_rejected, 0);
	atomic_store(&n_failed, 0);
}

static void
check_limits(double limit, usec_t since)
{
	uint32_t most[G_N_ELEMENTS(limited)];

	for (size_t i = 0; i < G_N_ELEMENTS(limited); i++) {
		most[i] = fakeplat_most_arrivals(
		    platform, limited[i], since + STABLE_TIME, SPAN);
		g_test_message(
		    "%s: at most %u requests in 4 s", limited[i], most[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(limited); i++) {
		g_assert_cmpuint(most[i], <=, ALLOWED(limit));
		g_assert_cmpuint(most[i], >, 0);
	}
}

static const struct {
	const char *text;
	double limit;
	bool restart; /* of a host, while the limit is in force */
} cases[] = {
	{ "1", 1, false },
	{ "2.5", 2.5, false },
	{ "0.5", 0.5, true },
};

/*
 * All hosts together keep to the limit, the others targets serve what the
 * limited ones can't, and a limit that has ended is forgotten.
 */
static void
test_fleet(void)
{
	g_usleep(USEC_PER_SEC);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		usec_t since = set_limits(cases[i].text);

		g_test_message("limit %s", cases[i].text);
		clear_counts();
		g_usleep((gulong)STABLE_TIME);
		if (cases[i].restart) {
			kill(hosts[1].pid, SIGTERM);
			g_assert_cmpint(harness_wait_exit(&hosts[1]), ==, 0);
			harness_start_host(&hosts[1]);
			g_assert_true(
			    harness_wait_ready(&hosts[1], TIMEOUT_SECONDS));
		}
		g_usleep((gulong)SPAN);
		check_limits(cases[i].limit, since);
		g_test_message("%u served, %u rejected, %u failed",
		    atomic_load(&n_served), atomic_load(&n_rejected),
		    atomic_load(&n_failed));
		if (!cases[i].restart) {
			g_assert_cmpuint(atomic_load(&n_rejected), ==, 0);
			g_assert_cmpuint(atomic_load(&n_failed), ==, 0);
		}
	}
	{
		usec_t ended = set_limits(NULL) + END_TIME;

		g_usleep((gulong)(END_TIME + SPAN / 2));
		for (size_t i = 0; i < G_N_ELEMENTS(limited); i++) {
			uint32_t n =
			    fakeplat_arrivals(platform, limited[i], ended);

			g_test_message(
			    "%s: %u requests after the end", limited[i], n);
			g_assert_cmpuint(n, >, ALLOWED(1) / 2);
		}
	}
}

/*
 * With a limit at all targets of a service, requests beyond it are rejected at
 * once with a time to come back.
 */
static void
test_all_limited(void)
{
	usec_t since;

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		if (strcmp(targets[i].service, "plain") == 0)
			fakeplat_set_limit(platform, targets[i].id, "1");
	}
	since = clock_now();
	clear_counts();
	g_usleep((gulong)(STABLE_TIME + SPAN));
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		uint32_t most = fakeplat_most_arrivals(
		    platform, targets[i].id, since + STABLE_TIME, SPAN);

		if (strcmp(targets[i].service, "plain") == 0)
			g_assert_cmpuint(most, <=, ALLOWED(1));
	}
	g_test_message("%u served, %u rejected, %u failed",
	    atomic_load(&n_served), atomic_load(&n_rejected),
	    atomic_load(&n_failed));
	g_assert_cmpuint(atomic_load(&n_rejected), >, 0);
	g_assert_cmpuint(atomic_load(&n_failed), ==, 0);
}

static void
stop_fleet(struct caller *v)
{
	atomic_store(&stopping, true);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(v[i].thread, NULL);
	for (int i = 0; i < HOSTS; i++) {
		kill(hosts[i].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[i]), ==, 0);
	}
	fakeplat_stop(platform);
}

int
main(int argc, char **argv)
{
	struct caller callers[CALLERS];
	int rc;

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	start_fleet();
	for (int i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		pthread_create(
		    &callers[i].thread, NULL, run_caller, &callers[i]);
	}
	g_test_add_func("/target-limit/fleet", test_fleet);
	g_test_add_func("/target-limit/all-limited", test_all_limited);
	rc = g_test_run();
	stop_fleet(callers);
	return rc;
}
