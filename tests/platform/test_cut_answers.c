/*
 * Targets that break off their answers, also within the head, that end them
 * with the connection, or that answer the rest of a stream with an error: the
 * caller gets the whole answer of its request or a failure, never a part that
 * looks complete, and no byte of an error in a stream.
 *
 * Each case is played at a host with a path to the targets, and at one that has
 * its calls made by the other.
 */
#include "tests/platform/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define STORE_PORT   24300
#define TARGET_PORT  24301
/* The store of the host without a path, whose entries lead nowhere. */
#define CUT_STORE    24310
#define CUT_TARGET   24311
#define CUT_NOWHERE  24319
#define HOST_PORT    24320
#define N_HOSTS      2
#define READY_TIME_S 15
#define DEADLINE_MS  4000
#define N_EVENTS     6
#define N_WHOLE      100
/* An answer that is known to be hopeless doesn't wait for the deadline. */
#define HOPELESS_MS  1500

static struct fakeplat *platforms[N_HOSTS];
static struct harness_host hosts[N_HOSTS] = {
	{ .port = HOST_PORT, .id = "h1", .store_port = STORE_PORT },
	{ .port = HOST_PORT + 10,
	    .id = "h2",
	    .store_port = CUT_STORE,
	    .seed_port = HOST_PORT },
};

/* Broken answers to plain requests. */
static const struct {
	const char *behavior;
	bool complete; /* the answer has its end */
	int status;    /* of a complete answer */
} answers[] = {
	{ "cut-at-0" },
	{ "cut-at-2" },
	{ "cut-at-9" },
	{ "cut-at-17" },
	{ "cut-at-30" },
	{ "cut-at-70" },
	{ "cut-end-1" },
	{ "cut-end-9" },
	{ "reset-at-0" },
	{ "reset-at-2" },
	{ "reset-at-30" },
	{ "reset-end-1" },
	{ "reset-end-9" },
	{ "half" },
	/* Without a status it is no answer. */
	{ "status-000" },
	{ "status-600" },
	{ "status-_200" },
	{ "unsealed" },
	{ "nolength", true, 200 },
	{ "no-content", true, 204 },
	{ "500", true, 500 },
};

/* Answers to the rest of a stream. */
static const struct {
	const char *behavior;
	bool hopeless; /* all targets answer so */
} rests[] = {
	{ "break-answer-200" },
	{ "break-answer-204" },
	{ "break-answer-206" },
	{ "break-answer-302" },
	{ "break-answer-400" },
	{ "break-answer-404" },
	{ "break-answer-500" },
	{ "break-answer-503" },
	{ "break-answer-404-all", true },
	/* No event is left: the rest is an end. */
	{ "break-last" },
};

static struct fakeplat_attempt
attempt_of(const char *id)
{
	struct fakeplat_attempt a = { 0 };

	/* Calls of the second host arrive at the targets of the first. */
	fakeplat_get_attempt(platforms[0], id, &a);
	return a;
}

static void
check_answer(size_t i, int host, const char *path)
{
	bool safe = strcmp(path, "/safe/1") == 0;
	g_autofree char *id = g_strdup_printf(
	    "%s-%s-%d", safe ? "safe" : "once", answers[i].behavior, host);
	g_autofree char *q =
	    harness_format(&(struct harness_request){ .path = path,
		.id = id,
		.behavior = answers[i].behavior,
		.deadline_ms = DEADLINE_MS });
	int status = answers[i].complete ? answers[i].status : safe ? 200 : 502;
	struct harness_response a;

	harness_exchange(hosts[host].port, str_from(q), DEADLINE_MS + 1000, &a);
	g_test_message(
	    "%s: status %d, %u runs", id, a.status, attempt_of(id).runs);
	g_assert_cmpint(a.status, ==, status);
	g_assert_true(a.complete);
	if (status == 200)
		g_assert_cmpstr(a.body.p, ==, id);
	if (!safe)
		g_assert_cmpuint(attempt_of(id).runs, ==, 1);
	harness_response_free(&a);
}

/*
 * A part of an answer, or its connection's end, must not be taken for the whole
 * answer; an answer that ends with its connection is one.
 */
static void
test_answers(gconstpointer arg)
{
	int host = GPOINTER_TO_INT(arg);

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		check_answer(i, host, "/once/1");
		check_answer(i, host, "/safe/1");
	}
}

/* The body is the events of the stream up to the nth, each once. */
static void
check_events(const struct harness_response *a, const char *id, int n)
{
	g_autoptr(GString) want = g_string_new(NULL);

	for (int i = 1; i <= n; i++)
		g_string_append_printf(want, "id: %d\ndata: %s\n\n", i, id);
	g_assert_cmpstr(a->body.p, ==, want->str);
}

static gpointer
send_whole(gpointer arg)
{
	g_autofree char *id = g_strdup_printf("whole-%d", GPOINTER_TO_INT(arg));
	g_autofree char *q = harness_format(&(struct harness_request){
	    .path = "/stream/1", .id = id, .deadline_ms = DEADLINE_MS });
	struct harness_response a;

	harness_exchange(hosts[GPOINTER_TO_INT(arg) % N_HOSTS].port,
	    str_from(q), DEADLINE_MS + 1000, &a);
	g_assert_true(a.complete);
	harness_response_free(&a);
	return NULL;
}

/* Sends streams that are served at once: the retry quota grows with them. */
static void
raise_quota(int host)
{
	GThread *t[N_WHOLE];

	for (int i = 0; i < N_WHOLE; i++)
		t[i] = g_thread_new(
		    "whole", send_whole, GINT_TO_POINTER(i * N_HOSTS + host));
	for (int i = 0; i < N_WHOLE; i++)
		g_thread_join(t[i]);
}

/*
 * A stream has begun and breaks off, and the next target answers its rest with
 * an error: no byte of that reaches the caller, who gets the rest from another
 * target, or a stream that shows that it isn't complete.
 */
static void
test_rests(gconstpointer arg)
{
	int host = GPOINTER_TO_INT(arg);

	raise_quota(host);
	for (size_t i = 0; i < G_N_ELEMENTS(rests); i++) {
		g_autofree char *id =
		    g_strdup_printf("%s-%d", rests[i].behavior, host);
		g_autofree char *q = harness_format(
		    &(struct harness_request){ .path = "/stream/1",
			.id = id,
			.behavior = rests[i].behavior,
			.deadline_ms = DEADLINE_MS });
		struct harness_response a;
		usec_t start = clock_now();
		int took;

		harness_exchange(
		    hosts[host].port, str_from(q), DEADLINE_MS + 1000, &a);
		took = (int)((clock_now() - start) / USEC_PER_MSEC);
		g_test_message("%s: status %d, %s, %zu bytes, %d ms", id,
		    a.status, a.complete ? "complete" : "broken off", a.body.n,
		    took);
		g_assert_cmpint(a.status, ==, 200);
		g_assert_cmpint(a.complete, ==, !rests[i].hopeless);
		check_events(&a, id, rests[i].hopeless ? 2 : N_EVENTS);
		g_assert_cmpint(took, <, HOPELESS_MS);
		harness_response_free(&a);
	}
}

/*
 * An answer without a body, by its method, isn't followed by chunks: the
 * caller's connection would hold bytes that are no answer.
 */
static void
test_head_method(gconstpointer arg)
{
	static const char *const paths[] = { "/safe/1", "/stream/1" };
	int host = GPOINTER_TO_INT(arg);

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		g_autofree char *q = g_strdup_printf(
		    "HEAD %s HTTP/1.1\r\nHost: a.example\r\n"
		    "X-Attempt-Id: head-%zu-%d\r\nX-Api-Key: key-of-yard\r\n"
		    "X-Deadline-Ms: %d\r\nConnection: close\r\n\r\n",
		    paths[i], i, host, DEADLINE_MS);
		struct harness_response a;
		const char *end;

		harness_exchange(
		    hosts[host].port, str_from(q), DEADLINE_MS + 1000, &a);
		g_test_message("%s: %s", paths[i], a.raw.p);
		g_assert_cmpint(a.status, ==, 200);
		end = strstr(a.raw.p, "\r\n\r\n");
		g_assert_nonnull(end);
		g_assert_cmpstr(end, ==, "\r\n\r\n");
		harness_response_free(&a);
	}
}

static void
start_fleet(void)
{
	static const struct fakeplat_target targets[] = {
		{ "p1", "plain", "d1", TARGET_PORT },
		{ "p2", "plain", "d1", TARGET_PORT + 1 },
		{ "p3", "plain", "d1", TARGET_PORT + 2 },
		{ "e1", "engine", "d1", TARGET_PORT + 3 },
		{ "e2", "engine", "d1", TARGET_PORT + 4 },
		{ "e3", "engine", "d1", TARGET_PORT + 5 },
	};
	g_autofree char *config = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("cut-answers-XXXXXX", NULL);

	platforms[0] = fakeplat_start(STORE_PORT);
	platforms[1] = fakeplat_start(CUT_STORE);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		struct fakeplat_target o = targets[i];

		fakeplat_add_target(platforms[0], &o);
		o.port = (uint16_t)(CUT_TARGET + i);
		o.published_port = CUT_NOWHERE;
		fakeplat_add_target(platforms[1], &o);
	}
	for (int i = 0; i < N_HOSTS; i++) {
		fakeplat_put(platforms[i], "op/config", config);
		g_strlcpy(hosts[i].dir, dir, sizeof(hosts[i].dir));
		harness_start_host(&hosts[i]);
	}
	for (int i = 0; i < N_HOSTS; i++)
		g_assert_true(harness_wait_ready(&hosts[i], READY_TIME_S));
	g_usleep(USEC_PER_SEC);
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	signal(SIGPIPE, SIG_IGN);
	start_fleet();
	for (int i = 0; i < N_HOSTS; i++) {
		const char *way = i == 0 ? "direct" : "by-host";
		g_autofree char *plain =
		    g_strdup_printf("/cut-answers/%s", way);
		g_autofree char *stream =
		    g_strdup_printf("/cut-answers/rests-%s", way);
		g_autofree char *head =
		    g_strdup_printf("/cut-answers/head-%s", way);

		g_test_add_data_func(plain, GINT_TO_POINTER(i), test_answers);
		g_test_add_data_func(stream, GINT_TO_POINTER(i), test_rests);
		g_test_add_data_func(
		    head, GINT_TO_POINTER(i), test_head_method);
	}
	rc = g_test_run();
	for (int i = 0; i < N_HOSTS; i++) {
		kill(hosts[i].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[i]), ==, 0);
	}
	for (int i = 0; i < N_HOSTS; i++)
		fakeplat_stop(platforms[i]);
	return rc;
}
