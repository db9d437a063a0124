/*
 * Requests that name many pieces of a stage: more than a message between hosts
 * holds, and more than the limit.  Each is served or refused, by every host,
 * whether it coordinates the stage or another one does, and no host ends.
 */
#include "tests/platform/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define STORE_PORT      24100
#define TARGET_PORT     24101
#define HOST_PORT       24120
#define N_HOSTS         3
#define TIMEOUT_SECONDS 15
#define DEADLINE_MS     8000
/*
 * Plays of a case, and the time that targets may lose in each: a call of one
 * piece takes 64 ms, and is given up after 320 ms.
 */
#define PLAYS           3
#define LOST_TIME       (256 * USEC_PER_MSEC)
/* After a failed play; hosts call targets that were too late again. */
#define REST_TIME       (3 * USEC_PER_SEC)
#define N_MUTE          4
/* Longer than a call needs to fetch its inputs. */
#define LONG_CALL_MS    300
#define N_LONG_JOB      600
#define N_INVENTED      30
#define INVENTED_PORT   25500 /* nothing listens there */
#define LIST_TIME       (5 * USEC_PER_SEC)
#define INVENTED_TIME   (20 * USEC_PER_SEC)
/* Far above that of the real hosts: any would be chosen first. */
#define INVENTED_SIZE   2000000000U
#define LONG            "0123456789abcdef0123456789abcdef0123456789abcdef"
#define LONGER          LONG LONG LONG

static const struct fakeplat_target targets[] = {
	{ "engine", "engine", "d1", TARGET_PORT },
	{ "s1", "pool", "d1", TARGET_PORT + 1 },
	{ "s2", "pool", "d1", TARGET_PORT + 2 },
	{ "s3", "pool", "d1", TARGET_PORT + 3 },
	/* Handles of this length fill the messages between hosts. */
	{ LONG, "pool", "d1", TARGET_PORT + 4 },
};

static const struct {
	const char *pieces; /* of two stages; the second needs the first */
	const char *id;     /* of the attempt, or its begin */
	const char *key;
	int status;
	uint32_t made;
	uint32_t inputs;
} cases[] = {
	{ "40,0", "p", "k", 200, 40, 0 },
	{ "0,40", "p", "k", 200, 40, 40 },
	{ "64,0", "p", "k", 200, 64, 0 },
	{ "64,64", "p", "k", 200, 128, 64 },
	{ "65,0", "p", "k", 200, 65, 0 },
	{ "0,65", "p", "k", 200, 65, 65 },
	{ "66,66", "p", "k", 200, 132, 66 },
	{ "200,3", "p", "k", 200, 203, 3 },
	/* The inputs of the second stage don't fit into a message. */
	{ "600,130", "p", "k", 200, 730, 130 },
	{ "0,1024", "p", "k", 200, 1024, 1024 },
	{ "1025,0", "p", "k", 400, 0, 0 },
	{ "1,1025", "p", "k", 400, 0, 0 },
	{ "4294967295,0", "p", "k", 400, 0, 0 },
	/* More than 32 and 64 bits: not 1 and not 0 pieces. */
	{ "4294967297,0", "p", "k", 400, 0, 0 },
	{ "18446744073709551616,0", "p", "k", 400, 0, 0 },
	/* An id and a key that are too long for messages between hosts. */
	{ "2,2", LONGER, "k", 200, 4, 2 },
	{ "2,2", "p", LONGER, 200, 4, 2 },
	/* An id and a key that aren't UTF-8, as the calls' bodies are. */
	{ "2,2", "p\xff", "k", 200, 4, 2 },
	{ "2,2", "p", "k\xff", 200, 4, 2 },
};

static struct fakeplat *platform;
static struct harness_host hosts[N_HOSTS];

/* What came of a case. */
struct outcome {
	int status;
	bool complete;
	uint32_t made;
	uint32_t inputs;
};

static struct outcome
play_case(size_t i, int host, int play)
{
	g_autofree char *id =
	    g_strdup_printf("%s-%zu-%d-%d", cases[i].id, i, host, play);
	g_autofree char *fields =
	    g_strdup_printf("X-Pieces: %s\r\nX-Piece-Key: %s\r\n",
		cases[i].pieces, cases[i].key);
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/stream/staged/1",
		.id = id,
		.extra_fields = fields,
		.deadline_ms = DEADLINE_MS });
	struct harness_response a;
	struct fakeplat_attempt s = { 0 };
	uint32_t before;
	uint32_t pieces;
	uint32_t calls;
	usec_t start = clock_now();

	g_test_message("%s at host %d", cases[i].pieces, host);
	fakeplat_piece_counts(platform, &before, &calls);
	harness_exchange(hosts[host].port, str_from(q), DEADLINE_MS + 1000, &a);
	fakeplat_piece_counts(platform, &pieces, &calls);
	fakeplat_get_attempt(platform, id, &s);
	g_test_message("status %d after %d ms", a.status,
	    (int)((clock_now() - start) / USEC_PER_MSEC));
	harness_response_free(&a);
	return (struct outcome){ a.status, a.complete, pieces - before,
		s.n_inputs };
}

static bool
is_expected(size_t i, const struct outcome *x)
{
	return x->status == cases[i].status && x->complete &&
	    x->made == cases[i].made && x->inputs == cases[i].inputs;
}

/*
 * Hosts rightly give a call up whose target takes five times as long as it
 * should.  So a play that fails while the targets' thread lost as much time is
 * repeated.
 */
static void
send_case(size_t i, int host)
{
	struct outcome x = { 0 };

	for (int play = 0; play < PLAYS; play++) {
		usec_t lost;

		fakeplat_lost_time(platform);
		x = play_case(i, host, play);
		lost = fakeplat_lost_time(platform);
		if (is_expected(i, &x) || lost < LOST_TIME)
			break;
		g_test_message(
		    "the targets lost %d ms", (int)(lost / USEC_PER_MSEC));
		g_usleep(REST_TIME);
	}
	g_assert_cmpint(x.status, ==, cases[i].status);
	g_assert_true(x.complete);
	g_assert_cmpuint(x.made, ==, cases[i].made);
	g_assert_cmpuint(x.inputs, ==, cases[i].inputs);
}

/* Sends a request that its target doesn't answer. */
static gpointer
send_mute(gpointer host)
{
	static gint number;
	g_autofree char *id =
	    g_strdup_printf("mute-%d", g_atomic_int_add(&number, 1));
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/stream/staged/1",
		.id = id,
		.behavior = "mute",
		.extra_fields = "X-Pieces: 1,2\r\nX-Piece-Key: k\r\n",
		.deadline_ms = DEADLINE_MS });
	struct harness_response a;

	harness_exchange(hosts[GPOINTER_TO_INT(host)].port, str_from(q),
	    DEADLINE_MS + 1000, &a);
	harness_response_free(&a);
	return NULL;
}

/* The hosts are still there and have reported no fault of memory. */
static void
check_hosts(void)
{
	for (int i = 0; i < N_HOSTS; i++) {
		g_assert_cmpint(kill(hosts[i].pid, 0), ==, 0);
		g_assert_true(harness_wait_ready(&hosts[i], 1));
	}
}

static void
test_pieces(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int host = 0; host < N_HOSTS; host++)
			send_case(i, host);
		check_hosts();
	}
}

static void
send_failing(int host)
{
	static int number;
	g_autofree char *id = g_strdup_printf("failing-%d-%d", host, number++);
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/stream/staged/1",
		.id = id,
		.extra_fields = "X-Pieces: 4,4\r\nX-Piece-Key: k\r\n",
		.deadline_ms = DEADLINE_MS });
	struct harness_response a;

	harness_exchange(hosts[host].port, str_from(q), DEADLINE_MS, &a);
	g_assert_cmpint(a.status, ==, 200);
	g_assert_true(a.complete);
	harness_response_free(&a);
}

/*
 * Targets fail single pieces, at the end of their call.  Only these are made
 * again, from the same inputs: they were freed by then, so that the whole chain
 * began anew.
 */
static void
test_failed_pieces(void)
{
	fakeplat_set_stage_time(platform, NULL, LONG_CALL_MS);
	for (uint32_t n = 0; n <= 3; n++) {
		uint32_t before;
		uint32_t made;
		uint32_t calls;

		fakeplat_piece_counts(platform, &before, &calls);
		fakeplat_fail_pieces(platform, n);
		send_failing((int)n % N_HOSTS);
		fakeplat_piece_counts(platform, &made, &calls);
		g_assert_cmpuint(made - before, ==, 4 + 4 + n);
	}
	fakeplat_set_stage_time(platform, NULL, 0);
}

/*
 * Hosts that another writer has put into the list never answer, as coordinators
 * or otherwise: requests are served, and the list has the real hosts again.
 */
static void
test_invented_hosts(void)
{
	g_autofree char *real = NULL;
	g_autofree char *now = NULL;
	g_autoptr(GString) list = NULL;
	usec_t start;

	/* Hosts write the list once it has been the same for 2 s. */
	g_usleep(LIST_TIME);
	start = clock_now();
	real = fakeplat_get(platform, "sequoia/hosts");
	list = g_string_new(real);
	for (int i = 0; i < N_INVENTED; i++)
		g_string_append_printf(list,
		    "i%d\t127.0.0.1:%d\t127.0.0.1:%d\td1\t1\t%u\n", i,
		    INVENTED_PORT + i, INVENTED_PORT + i, INVENTED_SIZE);
	fakeplat_put(platform, "sequoia/hosts", list->str);
	for (int n = 0; clock_now() - start < INVENTED_TIME; n++)
		send_case((size_t)n % 2, n % N_HOSTS);
	do {
		g_free(now);
		g_usleep(USEC_PER_SEC);
		now = fakeplat_get(platform, "sequoia/hosts");
	} while (
	    strcmp(now, real) != 0 && clock_now() - start < 3 * INVENTED_TIME);
	g_assert_cmpstr(now, ==, real);
	check_hosts();
}

/*
 * A host that stops with requests at their targets frees the results that they
 * were sent with: its messages to the coordinators went through memory that was
 * freed before.
 */
static void
test_stop_with_results(void)
{
	for (int host = 0; host < N_HOSTS; host += N_HOSTS - 1) {
		GThread *t[N_MUTE];

		for (int i = 0; i < N_MUTE; i++)
			t[i] = g_thread_new(
			    "mute", send_mute, GINT_TO_POINTER(host));
		g_usleep(USEC_PER_SEC);
		kill(hosts[host].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[host]), ==, 0);
		for (int i = 0; i < N_MUTE; i++)
			g_thread_join(t[i]);
	}
}

/* Pools with space for the results of all cases. */
static char *
make_config(int version, int batch)
{
	g_autofree char *text = harness_config(version, NULL);
	g_autofree char *calls = g_strdup_printf("\"Batch\":%d", batch);
	g_autoptr(GString) s = g_string_new(text);

	g_assert_cmpuint(g_string_replace(s, "\"Batch\":8", calls, 0), ==, 1);
	g_assert_cmpuint(
	    g_string_replace(s, "\"HeadroomMb\":1", "\"HeadroomMb\":9", 0), ==,
	    1);
	return g_string_free(g_steal_pointer(&s), FALSE);
}

static gpointer
send_long_job(gpointer host)
{
	g_autofree char *id = g_strdup_printf("long-%d", GPOINTER_TO_INT(host));
	g_autofree char *fields =
	    g_strdup_printf("X-Pieces: %d,0\r\nX-Piece-Key: k\r\n", N_LONG_JOB);
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/stream/staged/1",
		.id = id,
		.extra_fields = fields,
		.deadline_ms = DEADLINE_MS });
	struct harness_response a;

	harness_exchange(hosts[GPOINTER_TO_INT(host)].port, str_from(q),
	    DEADLINE_MS + 1000, &a);
	g_assert_cmpint(a.status, ==, 200);
	harness_response_free(&a);
	return NULL;
}

/* Of all targets with pieces but the first. */
static void
set_rests(const char *text)
{
	for (size_t i = 2; i < G_N_ELEMENTS(targets); i++)
		fakeplat_set_rest(platform, targets[i].id, text);
}

/*
 * A host that stops while it coordinates a stage for another host does so until
 * the stage has ended: no piece is produced again by its successor.
 */
static void
test_stop_of_coordinator(void)
{
	/* With one target and calls of any size, the second takes 2 s. */
	g_autofree char *config = make_config(2, N_LONG_JOB);

	fakeplat_put(platform, "op/config", config);
	set_rests("30");
	g_usleep(USEC_PER_SEC);
	for (int host = 0; host < N_HOSTS; host++) {
		int other = (host + 1) % N_HOSTS;
		uint32_t before;
		uint32_t pieces;
		uint32_t calls;
		GThread *t;

		fakeplat_piece_counts(platform, &before, &calls);
		t = g_thread_new(
		    "long-job", send_long_job, GINT_TO_POINTER(other));
		g_usleep(600000);
		kill(hosts[host].pid, SIGTERM);
		g_thread_join(t);
		fakeplat_piece_counts(platform, &pieces, &calls);
		g_test_message(
		    "host %d stops: %u pieces", host, pieces - before);
		g_assert_cmpuint(pieces - before, ==, N_LONG_JOB);
		g_assert_cmpint(harness_wait_exit(&hosts[host]), ==, 0);
		harness_start_host(&hosts[host]);
		g_assert_true(
		    harness_wait_ready(&hosts[host], TIMEOUT_SECONDS));
		g_usleep(2 * USEC_PER_SEC);
	}
	set_rests(NULL);
}

/* Sends a request with a piece of the new service; it is answered at once. */
static void
send_fresh(int host, const char *name, int status)
{
	g_autofree char *id = g_strdup_printf("fresh-%s-%d", name, host);
	g_autofree char *q =
	    harness_format(&(struct harness_request){ .path = "/stream/fresh/1",
		.id = id,
		.extra_fields = "X-Pieces: 2\r\nX-Piece-Key: k\r\n",
		.deadline_ms = DEADLINE_MS });
	struct harness_response a;
	struct fakeplat_attempt s = { 0 };
	usec_t start = clock_now();

	harness_exchange(hosts[host].port, str_from(q), DEADLINE_MS + 1000, &a);
	fakeplat_get_attempt(platform, id, &s);
	g_test_message("%s: status %d after %d ms", id, a.status,
	    (int)((clock_now() - start) / USEC_PER_MSEC));
	g_assert_cmpint(a.status, ==, status);
	g_assert_cmpint(clock_now() - start, <, USEC_PER_SEC);
	g_assert_cmpuint(s.runs, ==, status == 200);
	if (status == 503)
		g_assert_nonnull(strstr(a.raw.p, "\r\nRetry-After: "));
	harness_response_free(&a);
}

/*
 * A configuration names a stage service of which no target is there yet.  A
 * request that needs it is rejected as not run at once, by each host, and isn't
 * held until its deadline; once a target is there it is served.
 */
static void
test_new_service(void)
{
	static const char route[] =
	    ",{\"Name\":\"fresh\",\"Host\":\"a.example\",\"Prefix\":"
	    "\"/stream/fresh/\",\"Kind\":\"streaming\",\"TimeoutMs\":8000,"
	    "\"SloMs\":1000,\"Attempts\":2,\"Service\":\"engine\","
	    "\"Stages\":[{\"Service\":\"fresh\",\"After\":[],"
	    "\"Bytes\":1000}]}";
	static const char service[] =
	    "{\"Name\":\"fresh\",\"MaxConns\":99,\"Pieces\":{\"Slots\":1,"
	    "\"Queue\":2,\"Batch\":8,\"CallMs\":60,\"ItemMs\":4,"
	    "\"HeadroomMb\":1,\"HandleS\":4}},{\"Name\":\"plain\"";
	g_autofree char *text = harness_config(3, route);
	g_autoptr(GString) config = g_string_new(text);

	g_assert_cmpuint(
	    g_string_replace(config, "{\"Name\":\"plain\"", service, 0), ==, 1);
	fakeplat_put(platform, "op/config", config->str);
	g_usleep(USEC_PER_SEC);
	for (int host = 0; host < N_HOSTS; host++)
		send_fresh(host, "none", 503);
	fakeplat_add_target(platform,
	    &(struct fakeplat_target){ "f1", "fresh", "d1", TARGET_PORT + 5 });
	g_usleep(USEC_PER_SEC);
	for (int host = 0; host < N_HOSTS; host++)
		send_fresh(host, "one", 200);
}

static void
start_fleet(void)
{
	g_autofree char *config = make_config(1, 66);
	g_autofree char *dir = g_dir_make_tmp("stage-pieces-XXXXXX", NULL);

	platform = fakeplat_start(STORE_PORT);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		fakeplat_add_target(platform, &targets[i]);
	fakeplat_put(platform, "op/config", config);
	for (int i = 0; i < N_HOSTS; i++) {
		struct harness_host *h = &hosts[i];

		*h = (struct harness_host){
			.port = (uint16_t)(HOST_PORT + 10 * i),
			.store_port = STORE_PORT,
			.seed_port = HOST_PORT,
		};
		snprintf(h->id, sizeof(h->id), "h%d", i);
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		harness_start_host(h);
	}
	for (int i = 0; i < N_HOSTS; i++)
		g_assert_true(harness_wait_ready(&hosts[i], TIMEOUT_SECONDS));
	g_usleep(2 * USEC_PER_SEC);
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	signal(SIGPIPE, SIG_IGN);
	start_fleet();
	g_test_add_func("/stage-pieces/counts", test_pieces);
	g_test_add_func("/stage-pieces/failed-pieces", test_failed_pieces);
	g_test_add_func("/stage-pieces/invented-hosts", test_invented_hosts);
	g_test_add_func(
	    "/stage-pieces/stop-of-coordinator", test_stop_of_coordinator);
	g_test_add_func("/stage-pieces/new-service", test_new_service);
	g_test_add_func(
	    "/stage-pieces/stop-with-results", test_stop_with_results);
	rc = g_test_run();
	for (int i = 0; i < N_HOSTS; i++) {
		if (hosts[i].pid == 0)
			continue;
		kill(hosts[i].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[i]), ==, 0);
	}
	fakeplat_stop(platform);
	return rc;
}
