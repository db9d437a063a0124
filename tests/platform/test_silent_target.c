/*
 * Targets that send nothing for a while and go on, or fail, in the middle of a
 * stream, while the others take no request: the caller's answer goes on as soon
 * as a target has it.
 */
#include "tests/platform/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define STORE_PORT   24640
#define TARGET_PORT  24641
#define HOST_PORT    24650
#define READY_TIME_S 15
#define DEADLINE_MS  5000
#define EVENTS       6

/* What the other targets of the service do. */
enum others {
	NONE,
	HEALTHY,
	OTHER_VERSION,
	RESTING,
	RESETTING
};

struct silence_case {
	const char *name;
	const char *path;
	const char *behavior; /* fakeplat.c */
	enum others others;
	uint32_t max_runs;
	int deadline_ms; /* 0: DEADLINE_MS */
};

static const struct silence_case cases[] = {
	{ "alone", "/stream/1", "pause", NONE, 2 },
	{ "others-healthy", "/stream/1", "pause", HEALTHY, 2 },
	{ "others-of-another-version", "/stream/1", "pause", OTHER_VERSION, 2 },
	{ "others-at-rest", "/stream/1", "pause", RESTING, 2 },
	{ "others-refuse", "/stream/1", "pause-refuse-2", HEALTHY, 2 },
	{ "others-reset", "/stream/1", "pause", RESETTING, 3 },
	{ "unbegun-others-refuse", "/stream/1", "mute-refuse-1", HEALTHY, 2 },
	{ "unbegun-refused-thrice", "/stream/1", "mute-refuse-3", HEALTHY, 2 },
	{ "silent-twice", "/stream/1", "mute-twice-refuse-1", HEALTHY, 3,
	    8000 },
	{ "repeatable-others-refuse", "/safe/1", "mute-refuse-1", HEALTHY, 2 },
	{ "not-resumable", "/stream-once/1", "pause", HEALTHY, 1 },
	{ "broken-alone", "/stream/1", "break", NONE, 2 },
	{ "broken-others-refuse", "/stream/1", "break-refuse-2", HEALTHY, 2 },
	{ "broken-others-fail", "/stream/1", "break-500-2", HEALTHY, 2 },
	{ "broken-others-at-rest", "/stream/1", "break", RESTING, 2 },
	/* Attempts after about 160, 360, 760 and 1560 ms are refused. */
	{ "broken-refuses-long", "/stream/1", "break-refuse-4", NONE, 2, 3000 },
};

/* Streams with a stage that may be resumed. */
static const char staged_route[] =
    ",{\"Name\":\"staged-again\",\"Host\":\"a.example\",\"Prefix\":"
    "\"/stream/staged-again/\",\"Kind\":\"streaming\",\"TimeoutMs\":14000,"
    "\"SloMs\":500,\"Attempts\":2,\"Service\":\"engine\","
    "\"CanResume\":true,\"Stages\":[{\"Service\":\"pool\",\"After\":[],"
    "\"Bytes\":1000}]}";

static struct fakeplat *platform;
static struct harness_host host = {
	.port = HOST_PORT, .id = "h1", .store_port = STORE_PORT
};

/* The first target serves the first request, as the other is at rest. */
static void
set_others(const struct silence_case *t)
{
	fakeplat_set_rest(platform, "e2", t->others == RESTING ? "30" : NULL);
	fakeplat_stop_target(platform, "e2", t->others == RESETTING);
}

static void
check_events(const struct harness_response *a, const char *id)
{
	const char *p = a->body.p;

	for (int i = 1; i <= EVENTS; i++) {
		g_autofree char *event =
		    g_strdup_printf("id: %d\ndata: %s", i, id);

		p = p != NULL ? strstr(p, event) : NULL;
		g_assert_nonnull(p);
	}
}

static void
start_host(const struct fakeplat_target *targets, size_t n)
{
	g_autofree char *config = harness_config(1, staged_route);
	g_autofree char *dir = g_dir_make_tmp("silent-XXXXXX", NULL);

	g_strlcpy(host.dir, dir, sizeof(host.dir));
	platform = fakeplat_start(STORE_PORT);
	for (size_t i = 0; i < n; i++)
		fakeplat_add_target(platform, &targets[i]);
	fakeplat_put(platform, "op/config", config);
	harness_start_host(&host);
	g_assert_true(harness_wait_ready(&host, READY_TIME_S));
}

static void
stop_host(void)
{
	kill(host.pid, SIGTERM);
	g_assert_cmpint(harness_wait_exit(&host), ==, 0);
	fakeplat_stop(platform);
}

static void
test_silence(gconstpointer arg)
{
	const struct silence_case *t = arg;
	int deadline_ms = t->deadline_ms > 0 ? t->deadline_ms : DEADLINE_MS;
	const char *service =
	    g_str_has_prefix(t->path, "/safe") ? "plain" : "engine";
	struct fakeplat_target other = { "e2", service, "d1", TARGET_PORT + 1,
		.version = t->others == OTHER_VERSION ? "v2" : "v1" };
	g_autofree char *q =
	    harness_format(&(struct harness_request){ .path = t->path,
		.id = t->name,
		.behavior = t->behavior,
		.deadline_ms = deadline_ms });
	struct harness_response a;
	struct fakeplat_attempt s;
	g_autofree char *config = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("silent-XXXXXX", NULL);

	g_strlcpy(host.dir, dir, sizeof(host.dir));
	platform = fakeplat_start(STORE_PORT);
	fakeplat_add_target(platform,
	    &(struct fakeplat_target){
		"e1", service, "d1", TARGET_PORT, .version = "v1" });
	fakeplat_put(platform, "op/config", config);
	harness_start_host(&host);
	g_assert_true(harness_wait_ready(&host, READY_TIME_S));
	if (t->others != NONE) {
		fakeplat_add_target(platform, &other);
		set_others(t);
	}
	g_usleep(300000);
	harness_exchange(host.port, str_from(q), deadline_ms + 1000, &a);
	g_test_message("%s: status %d, %zu bytes", t->name, a.status, a.body.n);
	g_assert_cmpint(a.status, ==, 200);
	g_assert_true(a.complete);
	if (g_str_has_prefix(t->path, "/stream"))
		check_events(&a, t->name);
	g_assert_true(fakeplat_get_attempt(platform, t->name, &s));
	g_assert_cmpint(s.runs, <=, t->max_runs);
	harness_response_free(&a);
	stop_host();
}

/* The host's process stands still while its targets answer. */
struct pause_case {
	const char *name;
	const char *path;
	const char *behavior;
	int deadline_ms;
	int at_ms; /* from the request to the pause */
	int pause_ms;
	const char *extra_fields;
	uint32_t pieces; /* of stages */
};

static const struct pause_case pause_cases[] = {
	{ "stream", "/stream/1", NULL, 5000, 60, 2500 },
	{ "repeatable", "/safe/1", "slow", 6000, 1000, 1800 },
	{ "past-deadline", "/once/1", "slow", 2400, 1000, 1800 },
	{ "large-past-deadline", "/once/1", "slow-large", 2400, 1000, 1800 },
	{ "repeatable-past-deadline", "/safe/1", "slow", 2400, 1000, 1800 },
	{ "stage-call", "/stream/staged/1", NULL, 5000, 30, 1500,
	    "X-Pieces: 2,0\r\nX-Piece-Key: k\r\n", 2 },
};

struct pause_caller {
	const char *bytes;
	struct harness_response a;
};

static gpointer
run_caller(gpointer arg)
{
	struct pause_caller *x = arg;

	harness_exchange(
	    host.port, str_from(x->bytes), READY_TIME_S * 1000, &x->a);
	return NULL;
}

/*
 * Answers that arrive while the host stands still are passed on, and not asked
 * for again, though the timers of their requests are due as well.
 */
static void
test_pause(gconstpointer arg)
{
	const struct pause_case *t = arg;
	g_autofree char *q =
	    harness_format(&(struct harness_request){ .path = t->path,
		.id = t->name,
		.behavior = t->behavior,
		.extra_fields = t->extra_fields,
		.deadline_ms = t->deadline_ms });
	static const struct fakeplat_target targets[] = {
		{ "e1", "engine", "d1", TARGET_PORT },
		{ "e2", "engine", "d1", TARGET_PORT + 1 },
		{ "p1", "plain", "d1", TARGET_PORT + 2 },
		{ "p2", "plain", "d1", TARGET_PORT + 3 },
		{ "s1", "pool", "d1", TARGET_PORT + 4 },
		{ "s2", "pool", "d1", TARGET_PORT + 5 },
	};
	struct pause_caller x = { .bytes = q };
	struct fakeplat_attempt s;
	GThread *thread;
	uint32_t pieces;
	uint32_t calls;

	start_host(targets, G_N_ELEMENTS(targets));
	g_usleep(USEC_PER_SEC); /* stages wait for other hosts at first */
	thread = g_thread_new("caller", run_caller, &x);
	g_usleep((gulong)t->at_ms * 1000);
	kill(host.pid, SIGSTOP);
	g_usleep((gulong)t->pause_ms * 1000);
	kill(host.pid, SIGCONT);
	g_thread_join(thread);
	g_assert_cmpint(x.a.status, ==, 200);
	g_assert_true(x.a.complete);
	g_assert_true(fakeplat_get_attempt(platform, t->name, &s));
	g_assert_cmpint(s.arrivals, ==, 1);
	fakeplat_piece_counts(platform, &pieces, &calls);
	g_assert_cmpuint(pieces, ==, t->pieces);
	harness_response_free(&x.a);
	stop_host();
}

/* The only target of the stage fails after the stream has begun. */
struct inputs_case {
	const char *name;
	const char *behavior;
	enum others pool; /* HEALTHY, or from POOL_FAILS_MS to POOL_BACK_MS */
	uint32_t pieces;  /* made in all */
};

/* The stream begins at about 100 ms; "at-4" breaks it at about 700 ms. */
#define POOL_FAILS_MS 400
#define POOL_BACK_MS  1800

static const struct inputs_case inputs_cases[] = {
	{ "inputs-gone", "long-break-409-2", HEALTHY, 4 },
	{ "inputs-gone-no-stage", "long-break-at-4-409-2", NONE, 4 },
	{ "inputs-gone-at-rest", "long-break-at-4-409-2", RESTING, 4 },
	{ "inputs-gone-thrice", "long-break-at-4-409-4", HEALTHY, 8 },
};

static void
set_pool(enum others state)
{
	if (state == NONE)
		fakeplat_delete(platform, "servers/s1");
	else
		fakeplat_ready_target(platform, "s1");
	fakeplat_set_rest(platform, "s1", state == RESTING ? "1" : NULL);
}

/*
 * A stream is broken off, also later than callers wait for a first event, and
 * the inputs for its rest have to be made again, which may fail for a while.
 */
static void
test_inputs_gone(gconstpointer arg)
{
	static const struct fakeplat_target targets[] = {
		{ "e1", "engine", "d1", TARGET_PORT },
		{ "e2", "engine", "d1", TARGET_PORT + 1 },
		{ "s1", "pool", "d1", TARGET_PORT + 2 },
	};
	const struct inputs_case *t = arg;
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/stream/staged-again/1",
		.id = t->name,
		.behavior = t->behavior,
		.extra_fields = "X-Pieces: 2\r\nX-Piece-Key: k\r\n",
		.deadline_ms = 14000 });
	struct pause_caller x = { .bytes = q };
	GThread *thread;
	uint32_t pieces;
	uint32_t calls;

	start_host(targets, G_N_ELEMENTS(targets));
	g_usleep(USEC_PER_SEC); /* stages wait for other hosts at first */
	thread = g_thread_new("caller", run_caller, &x);
	g_usleep(POOL_FAILS_MS * USEC_PER_MSEC);
	set_pool(t->pool);
	g_usleep((POOL_BACK_MS - POOL_FAILS_MS) * USEC_PER_MSEC);
	set_pool(HEALTHY);
	g_thread_join(thread);
	fakeplat_piece_counts(platform, &pieces, &calls);
	g_test_message("status %d, %zu bytes, %u pieces made", x.a.status,
	    x.a.body.n, pieces);
	g_assert_cmpint(x.a.status, ==, 200);
	g_assert_true(x.a.complete);
	g_assert_cmpuint(pieces, ==, t->pieces);
	harness_response_free(&x.a);
	stop_host();
}

/*
 * The targets that a stream was sent to are gone, and its attempts are used up:
 * the others may take its rest.
 */
static void
test_tried_gone(void)
{
	static const struct fakeplat_target targets[] = {
		{ "e1", "engine", "d1", TARGET_PORT },
		{ "e2", "engine", "d1", TARGET_PORT + 1 },
	};
	/* Attempts until about 760 ms are refused; the next is at 1560 ms. */
	g_autofree char *q =
	    harness_format(&(struct harness_request){ .path = "/stream/1",
		.id = "tried-gone",
		.behavior = "break-refuse-4",
		.deadline_ms = DEADLINE_MS });
	struct pause_caller x = { .bytes = q };
	struct fakeplat_attempt s;
	GThread *thread;

	start_host(targets, G_N_ELEMENTS(targets));
	thread = g_thread_new("caller", run_caller, &x);
	g_usleep(900000);
	fakeplat_delete(platform, "servers/e1");
	fakeplat_delete(platform, "servers/e2");
	fakeplat_add_target(platform,
	    &(struct fakeplat_target){ "e3", "engine", "d1", TARGET_PORT + 2 });
	g_thread_join(thread);
	g_test_message("status %d, %zu bytes", x.a.status, x.a.body.n);
	g_assert_cmpint(x.a.status, ==, 200);
	g_assert_true(x.a.complete);
	check_events(&x.a, "tried-gone");
	g_assert_true(fakeplat_get_attempt(platform, "tried-gone", &s));
	g_assert_cmpstr(s.target, ==, "e3");
	harness_response_free(&x.a);
	stop_host();
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strdup_printf("/silent-target/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_silence);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(pause_cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/silent-target/host-pauses/%s", pause_cases[i].name);

		g_test_add_data_func(path, &pause_cases[i], test_pause);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(inputs_cases); i++) {
		g_autofree char *path =
		    g_strdup_printf("/silent-target/%s", inputs_cases[i].name);

		g_test_add_data_func(path, &inputs_cases[i], test_inputs_gone);
	}
	g_test_add_func("/silent-target/tried-gone", test_tried_gone);
	return g_test_run();
}
