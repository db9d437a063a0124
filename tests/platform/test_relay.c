/*
 * Tests of a sequoiad process that relays by route, with a fake platform: the
 * responses that callers get and the calls that targets receive.
 */
#include "tests/platform/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define STORE_PORT      21900
#define TARGET_PORT     21910
#define HOST_PORT       21930
#define TIMEOUT_SECONDS 15 /* for any expected event */
#define BARE_ANSWERS    24
/* Each answer is complete well before the deadline of its request, 5 s. */
#define ANSWER_TIME     (4500 * USEC_PER_MSEC)

static struct fakeplat *platform;
static struct harness_host host = {
	.port = HOST_PORT, .id = "h1", .store_port = STORE_PORT
};

struct relay_case {
	const char *path, *id, *behavior;
	int status;
	uint32_t runs;
	const char *body; /* NULL: any */
	bool incomplete;  /* the response is cut off */
};

#define EVENTS(id)                                                           \
	"id: 1\ndata: " id "\n\nid: 2\ndata: " id "\n\nid: 3\ndata: " id     \
	"\n\nid: 4\ndata: " id "\n\nid: 5\ndata: " id "\n\nid: 6\ndata: " id \
	"\n\n"

static const struct relay_case cases[] = {
	{ "/safe/1", "safe-1", NULL, 200, 1, "safe-1", false },
	{ "/once/1", "once-1", NULL, 200, 1, "once-1", false },
	/*
	 * Broken or unsigned responses: a call that may run once is not
	 * retried.
	 */
	{ "/safe/1", "safe-cut", "cut", 200, 2, "safe-cut", false },
	{ "/once/1", "once-cut", "cut", 502, 1, NULL, false },
	{ "/safe/1", "safe-half", "half", 200, 2, "safe-half", false },
	{ "/once/1", "once-half", "half", 502, 1, NULL, false },
	{ "/safe/1", "safe-open", "nolength", 200, 1, "safe-open", false },
	{ "/safe/1", "safe-extra", "extra", 200, 1, "safe-extra", false },
	{ "/safe/1", "safe-extra-2", NULL, 200, 1, "safe-extra-2", false },
	{ "/safe/1", "safe-odd", "unsealed", 200, 2, "safe-odd", false },
	{ "/once/1", "once-odd", "unsealed", 502, 1, NULL, false },
	/* Status 500 of a target is relayed, after a retry if that is safe. */
	{ "/safe/1", "safe-500", "500", 500, 2, "failed", false },
	{ "/once/1", "once-500", "500", 500, 1, "failed", false },
	/* Refused as not executed. */
	{ "/once/1", "once-no", "refuse", 503, 0, NULL, false },
	{ "/once/1", "once-again", "refuse-once", 200, 1, "once-again", false },
	/* A refusal without the call's id may be an earlier one's. */
	{ "/once/1", "once-other", "refuse-other", 502, 1, NULL, false },
	{ "/safe/1", "safe-other", "refuse-other", 200, 2, "safe-other",
	    false },
	/*
	 * Executed by the first call and refused by the second: the caller
	 * must not get status 503, which says that nothing was executed.
	 */
	{ "/safe/1", "safe-cut-refuse", "cut-refuse", 502, 1, NULL, false },
	/* A second response to the previous call arrives first. */
	{ "/safe/1", "safe-late", "late", 200, 1, "safe-late", false },
	{ "/safe/1", "safe-late-2", "late", 200, 1, "safe-late-2", false },
	{ "/safe/1", "safe-late-3", NULL, 200, 1, "safe-late-3", false },
	{ "/safe/1", "safe-late-4", NULL, 200, 1, "safe-late-4", false },
	/*
	 * A call without a response is made again if that is safe, on a new
	 * connection.
	 */
	{ "/safe/1", "safe-mute", "mute", 200, 2, "safe-mute", false },
	{ "/stream/1", "s-mute", "mute", 200, 2, EVENTS("s-mute"), false },
	/* A broken stream is resumed if its route can resume. */
	{ "/stream/1", "s-1", NULL, 200, 1, EVENTS("s-1"), false },
	{ "/stream/1", "s-2", "break", 200, 2, EVENTS("s-2"), false },
	{ "/stream/1", "s-stall", "stall", 200, 2, EVENTS("s-stall"), false },
	/* Bytes that are no event put nothing off. */
	{ "/stream/1", "s-drip", "drip", 200, 2, EVENTS("s-drip"), false },
	{ "/stream-once/1", "once-s", "break", 200, 1,
	    "id: 1\ndata: once-s\n\nid: 2\ndata: once-s\n\n", true },
	/*
	 * A stream without length and chunks ends with its connection, and is
	 * broken if that is within an event or before the first one.
	 */
	{ "/stream/1", "s-open", "open", 200, 1, EVENTS("s-open"), false },
	{ "/stream/1", "s-cut", "open-cut", 200, 2, EVENTS("s-cut"), false },
	{ "/stream/1", "s-empty", "open-empty", 200, 2, EVENTS("s-empty"),
	    false },
	{ "/stream-once/1", "once-c", "open-cut", 200, 1,
	    "id: 1\ndata: once-c\n\nid: 2\ndata: once-c\n\n", true },
	{ "/stream-once/1", "once-e", "open-empty", 502, 1, NULL, false },
	/* Bytes without end are not waited for, and are not an answer. */
	{ "/safe/1", "safe-e1", "endless-head", 200, 2, "safe-e1", false },
	{ "/safe/1", "safe-e2", "endless-body", 200, 2, "safe-e2", false },
	{ "/safe/1", "safe-e3", "endless-garbage", 200, 2, "safe-e3", false },
	{ "/safe/1", "safe-e4", "endless-interim", 200, 2, "safe-e4", false },
	{ "/once/1", "once-e1", "endless-head", 502, 1, NULL, false },
	{ "/once/1", "once-e2", "endless-body", 502, 1, NULL, false },
	{ "/once/1", "once-e4", "endless-interim", 502, 1, NULL, false },
	{ "/stream/1", "s-e", "endless", 200, 2, EVENTS("s-e"), false },
	{ "/stream-once/1", "once-se", "endless", 200, 1,
	    "id: 1\ndata: once-se\n\nid: 2\ndata: once-se\n\n", true },
};

static void
test_answers(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct relay_case *c = &cases[i];
		g_autofree char *q = harness_format(&(struct harness_request){
		    .path = c->path, .id = c->id, .behavior = c->behavior });
		struct harness_response a;
		struct fakeplat_attempt s;
		usec_t start;

		g_test_message("%s", c->id);
		start = clock_now();
		harness_exchange(
		    host.port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
		g_assert_cmpint(a.status, ==, c->status);
		g_assert_cmpint(a.complete, ==, !c->incomplete);
		g_assert_cmpint(clock_now() - start, <, ANSWER_TIME);
		if (c->body != NULL)
			g_assert_cmpstr(a.body.p, ==, c->body);
		if (c->status == 503)
			g_assert_nonnull(strstr(a.raw.p, "\r\nRetry-After: "));
		fakeplat_get_attempt(platform, c->id, &s);
		g_assert_cmpuint(s.runs, ==, c->runs);
		harness_response_free(&a);
	}
	g_assert_cmpuint(fakeplat_count_duplicates(platform), ==, 0);
}

/*
 * A target writes an earlier signed success once more, without the id that
 * responses echo: it must not be taken for the answer of a later request.
 */
static void
test_bare_answers(void)
{
	static const char *const paths[] = { "/safe/1", "/once/1" };

	for (int i = 0; i < BARE_ANSWERS; i++) {
		bool safe = i / 2 % 2 == 0;
		g_autofree char *id =
		    g_strdup_printf("%s-bare-%d", safe ? "safe" : "once", i);
		g_autofree char *q = harness_format(
		    &(struct harness_request){ .path = paths[!safe],
			.id = id,
			.behavior = i % 2 == 0 ? "late-bare" : NULL });
		struct harness_response a;

		harness_exchange(
		    host.port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
		g_test_message("%s: %d %s", id, a.status, a.body.p);
		if (safe || a.status != 502) {
			g_assert_cmpint(a.status, ==, 200);
			g_assert_cmpstr(a.body.p, ==, id);
		}
		harness_response_free(&a);
	}
	g_assert_cmpuint(fakeplat_count_duplicates(platform), ==, 0);
}

#define HOST_LINE \
	"Host: a.example\r\nX-Attempt-Id: w\r\nX-Api-Key: key-of-yard\r\n"

/* Requests that must not reach a target, and the status that refuses them. */
static void
test_refused_bytes(void)
{
	static const struct {
		const char *bytes;
		int status;
	} rows[] = {
		{ "POST /safe/ HTTP/1.1\r\n" HOST_LINE "Content-Length: 3\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		    400 },
		{ "POST /safe/ HTTP/1.1\r\n" HOST_LINE "Content-Length: 3\r\n"
		  "Content-Length: 4\r\n\r\nabcd",
		    400 },
		{ "POST /safe/ HTTP/1.1\r\n" HOST_LINE
		  "Content-Length: +3\r\n\r\nabc",
		    400 },
		{ "POST /safe/ HTTP/1.1\r\n" HOST_LINE
		  "Content-Length : 3\r\n\r\nabc",
		    400 },
		{ "POST /safe/ HTTP/1.1\r\n" HOST_LINE
		  "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		    400 },
		{ "POST /safe/ HTTP/1.1\r\n" HOST_LINE "X-A: b\r\n c\r\n"
		  "Content-Length: 0\r\n\r\n",
		    400 },
		{ "GET http://a.example/safe/ HTTP/1.1\r\n" HOST_LINE "\r\n",
		    400 },
		{ "GET /safe/ HTTP/1.1\r\n" HOST_LINE "Host: b\r\n\r\n", 400 },
		{ "GET /safe/ HTTP/1.1\r\nX-Attempt-Id: w\r\n\r\n", 400 },
		{ "GET /safe/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 400 },
		{ "POST /safe/ HTTP/1.1\r\n" HOST_LINE
		  "Content-Length: 10001\r\n\r\n",
		    413 },
		{ "GET /safe/ HTTP/1.1\r\nHost: a.example\r\n"
		  "X-Attempt-Id: w\r\nX-Api-Key: wrong\r\n\r\n",
		    401 },
		{ "GET /no/ HTTP/1.1\r\n" HOST_LINE "\r\n", 404 },
		{ "GET /safe HTTP/1.1\r\n" HOST_LINE "\r\n", 404 },
		/* A request that is never completed. */
		{ "POST /safe/ HTTP/1.1\r\n" HOST_LINE
		  "Content-Length: 9\r\n\r\nabc",
		    408 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct harness_response a;
		struct fakeplat_attempt s;

		g_test_message("%s", rows[i].bytes);
		harness_exchange(host.port, str_from(rows[i].bytes), 3000, &a);
		g_assert_cmpint(a.status, ==, rows[i].status);
		g_assert_false(fakeplat_get_attempt(platform, "w", &s));
		harness_response_free(&a);
	}
}

/*
 * Calls that aren't another host's are refused, whatever numbers they have: the
 * times are compared before the signature is.
 */
static void
test_foreign_calls(void)
{
	static const char *const queries[] = {
		"target=p1",
		"target=p1&sent_ms=0",
		"target=p1&sent_ms=9223372036854775807",
		"target=p1&sent_ms=18446744073709551615",
		"target=p1&sent_ms=1&max_idle=18446744073709551615",
		"target=p1&sent_ms=1&max_conns=4294967297",
		"sent_ms=1",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(queries); i++) {
		g_autofree char *bytes = g_strdup_printf(
		    "POST /calls?%s HTTP/1.1\r\nHost: x\r\n"
		    "Sequoia-Call-Auth: %064d\r\nConnection: close\r\n"
		    "Content-Length: 0\r\n\r\n",
		    queries[i], 0);
		struct harness_response a;

		g_test_message("%s", queries[i]);
		harness_exchange(host.port + 1, str_from(bytes), 2000, &a);
		g_assert_cmpint(a.status, ==, 403);
		harness_response_free(&a);
	}
}

static void
test_large_head(void)
{
	g_autofree char *pad = g_strnfill(9000, 'a');
	g_autofree char *q = g_strdup_printf(
	    "GET /safe/ HTTP/1.1\r\n" HOST_LINE "X-Pad: %s\r\n\r\n", pad);
	struct harness_response a;

	harness_exchange(host.port, str_from(q), 3000, &a);
	g_assert_cmpint(a.status, ==, 431);
	harness_response_free(&a);
}

/* Pipelined requests are answered one by one, in order. */
static void
test_pipelined(void)
{
	g_autofree char *one = harness_format(&(struct harness_request){
	    .path = "/safe/1", .id = "safe-p1", .keep_alive = true });
	g_autofree char *two = harness_format(
	    &(struct harness_request){ .path = "/safe/1", .id = "safe-p2" });
	g_autofree char *both = g_strconcat(one, two, NULL);
	struct harness_response a;
	const char *first;

	harness_exchange(host.port, str_from(both), TIMEOUT_SECONDS * 1000, &a);
	first = strstr(a.raw.p, "\r\n\r\nsafe-p1");
	g_assert_nonnull(first);
	g_assert_nonnull(strstr(first, "\r\n\r\nsafe-p2"));
	harness_response_free(&a);
}

/*
 * A target that dropped an idle connection without notice resets it at the
 * next request.  A call that may run once must not be sent on such a
 * connection.
 */
static void
test_dropped_idle(void)
{
	struct harness_response a;

	for (int i = 0; i < 12; i++) {
		g_autofree char *id = g_strdup_printf("safe-drop-%d", i);
		g_autofree char *q = harness_format(&(struct harness_request){
		    .path = "/safe/1", .id = id, .behavior = "drop-next" });

		harness_exchange(
		    host.port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
		g_assert_cmpint(a.status, ==, 200);
		harness_response_free(&a);
	}
	g_usleep(700000);
	for (int i = 0; i < 4; i++) {
		g_autofree char *id = g_strdup_printf("once-drop-%d", i);
		g_autofree char *q = harness_format(
		    &(struct harness_request){ .path = "/once/1", .id = id });

		harness_exchange(
		    host.port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
		g_assert_cmpint(a.status, ==, 200);
		harness_response_free(&a);
	}
}

/*
 * A target receives the caller's URL and fields unchanged, except for the
 * fields that only sequoiad may set.
 */
static void
test_head_at_target(void)
{
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/safe/a/../b%2f?x=%20",
		.id = "safe-head",
		.extra_fields =
		    "X-Tenant: forged\r\nX-Hold: h\r\nX-Mine: kept\r\n" });
	struct harness_response a;
	struct fakeplat_attempt s;

	harness_exchange(host.port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
	g_assert_cmpint(a.status, ==, 200);
	fakeplat_get_attempt(platform, "safe-head", &s);
	g_assert_true(g_str_has_prefix(s.head, "/safe/a/../b%2f?x=%20\n"));
	g_assert_nonnull(strstr(s.head, "\nX-Mine: kept"));
	g_assert_nonnull(strstr(s.head, "\nX-Tenant: yard"));
	g_assert_null(strstr(s.head, "forged"));
	g_assert_null(strstr(s.head, "X-Hold"));
	g_assert_null(strstr(s.head, "key-of-yard"));
	harness_response_free(&a);
}

static void
test_stages(void)
{
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/stream/staged/1",
		.id = "staged",
		.extra_fields = "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n" });
	struct harness_response a;
	struct fakeplat_attempt s;
	const char *inputs;
	uint32_t pieces;
	uint32_t calls;

	harness_exchange(host.port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
	g_assert_cmpint(a.status, ==, 200);
	g_assert_cmpstr(a.body.p, ==, EVENTS("staged"));
	fakeplat_get_attempt(platform, "staged", &s);
	inputs = strstr(s.head, "\nX-Inputs: ");
	g_assert_nonnull(inputs);
	/* Three handles: the results of the last stage. */
	for (int i = 0; i < 3; i++) {
		inputs = strstr(inputs, "127.0.0.1:");
		g_assert_nonnull(inputs);
		inputs++;
	}
	g_assert_null(strstr(inputs, "127.0.0.1:"));
	fakeplat_piece_counts(platform, &pieces, &calls);
	g_assert_cmpuint(pieces, ==, 5);
	g_assert_cmpuint(calls, ==, 2);
	harness_response_free(&a);
}

/*
 * A request that can't end in time is answered at its deadline, also while
 * bytes of its answer arrive.
 */
static void
test_deadline(void)
{
	static const struct harness_request slow_ones[] = {
		{ .path = "/once/1",
		    .id = "once-slow",
		    .behavior = "slow",
		    .deadline_ms = 300 },
		{ .path = "/once/1",
		    .id = "once-drip",
		    .behavior = "drip",
		    .deadline_ms = 300 },
		{ .path = "/safe/1",
		    .id = "safe-drip",
		    .behavior = "drip",
		    .deadline_ms = 300 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(slow_ones); i++) {
		g_autofree char *q = harness_format(&slow_ones[i]);
		struct harness_response a;
		usec_t start = clock_now();

		harness_exchange(
		    host.port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
		g_assert_cmpint(a.status, ==, 504);
		g_assert_cmpint(clock_now() - start, <, ANSWER_TIME);
		harness_response_free(&a);
	}
}

static bool
wait_until(bool (*condition)(void))
{
	for (int i = 0; i < TIMEOUT_SECONDS * 20; i++) {
		if (condition())
			return true;
		g_usleep(50000);
	}
	return false;
}

static bool
slow_call_is_cancelled(void)
{
	struct fakeplat_attempt s;

	fakeplat_get_attempt(platform, "once-gone", &s);
	return s.disconnected;
}

/* The call of a caller that disconnects is cancelled. */
static void
test_caller_gone(void)
{
	g_autofree char *q = harness_format(&(struct harness_request){
	    .path = "/once/1", .id = "once-gone", .behavior = "slow" });
	struct harness_response a;

	harness_exchange(host.port, str_from(q), 100, &a);
	g_assert_cmpint(a.status, ==, 0);
	g_assert_true(wait_until(slow_call_is_cancelled));
	harness_response_free(&a);
}

static bool
new_route_is_served(void)
{
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/new/1", .id = "safe-new" });
	struct harness_response a;
	int status;

	harness_exchange(host.port, str_from(q), 2000, &a);
	status = a.status;
	harness_response_free(&a);
	return status == 200;
}

/*
 * Callers are served while the store is unavailable; a configuration written
 * meanwhile is applied when it is available again.
 */
static void
test_store_faults(void)
{
	static const enum fakeplat_store_mode faults[] = {
		FAKEPLAT_STORE_SILENT, FAKEPLAT_STORE_BUSY, FAKEPLAT_STORE_RESET
	};
	static const char *const ids[] = { "safe-f0", "safe-f1", "safe-f2" };

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		g_autofree char *q = harness_format(&(struct harness_request){
		    .path = "/safe/1", .id = ids[i] });
		struct harness_response a;

		fakeplat_set_store_mode(platform, faults[i]);
		g_usleep(300000);
		harness_exchange(
		    host.port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
		g_assert_cmpint(a.status, ==, 200);
		harness_response_free(&a);
		fakeplat_set_store_mode(platform, FAKEPLAT_STORE_OK);
	}
	{
		g_autofree char *c = harness_config(2,
		    ",{\"Name\":\"new\",\"Host\":\"a.example\",\"Prefix\":"
		    "\"/new/\",\"Kind\":\"idempotent\",\"TimeoutMs\":2000,"
		    "\"SloMs\":100,\"Attempts\":2,\"Service\":\"plain\"}");

		fakeplat_set_store_mode(platform, FAKEPLAT_STORE_SILENT);
		fakeplat_put(platform, "op/config", c);
		fakeplat_set_store_mode(platform, FAKEPLAT_STORE_OK);
	}
	g_assert_true(wait_until(new_route_is_served));
	/* An older configuration and an invalid target entry are ignored. */
	{
		g_autofree char *old = harness_config(1, NULL);

		fakeplat_put(platform, "op/config", old);
		fakeplat_put(platform, "servers/odd", "{\"Service\":7}");
	}
	g_usleep(300000);
	g_assert_true(new_route_is_served());
}

/* Time by which a leaving target gets no more new calls. */
#define DRAIN_BOUND (2500 * USEC_PER_MSEC)
/* Calls are sent for this long without one that reaches the target. */
#define IDLE_TIME   (1000 * USEC_PER_MSEC)

static usec_t drained_at;

/* Sends a call and returns whether p1 has been without calls for IDLE_TIME. */
static bool
p1_gets_no_calls(void)
{
	static int n;
	g_autofree char *id = g_strdup_printf("safe-d%d", n++);
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/safe/1", .id = id });
	struct harness_response a;
	usec_t last;

	harness_exchange(host.port, str_from(q), 2000, &a);
	harness_response_free(&a);
	last = fakeplat_last_call(platform, "p1");
	return clock_now() - (last > drained_at ? last : drained_at) >
	    IDLE_TIME;
}

/*
 * A leaving target gets no new calls.  A call for a target whose address
 * another target has taken over is not executed.
 */
static void
test_leaving(void)
{
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = "/once/1", .id = "once-moved" });
	struct harness_response a;
	struct fakeplat_attempt s;

	drained_at = clock_now();
	fakeplat_drain_target(platform, "p1");
	g_assert_true(wait_until(p1_gets_no_calls));
	g_assert_cmpint(
	    fakeplat_last_call(platform, "p1"), <=, drained_at + DRAIN_BOUND);
	fakeplat_replace_target(platform, "p2", "p2-next");
	harness_exchange(host.port, str_from(q), TIMEOUT_SECONDS * 1000, &a);
	g_assert_cmpint(a.status, ==, 503);
	fakeplat_get_attempt(platform, "once-moved", &s);
	g_assert_cmpuint(s.runs, ==, 0);
	harness_response_free(&a);
}

#define N_STREAMS 8

struct stream_client {
	char id[16];
	bool staged;
	struct harness_response a;
};

static gpointer
run_stream(gpointer arg)
{
	struct stream_client *x = arg;
	g_autofree char *q = harness_format(&(struct harness_request){
	    .path = x->staged ? "/stream/staged/1" : "/stream/1",
	    .id = x->id,
	    .extra_fields =
		x->staged ? "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n" : NULL });

	harness_exchange(host.port, str_from(q), TIMEOUT_SECONDS * 1000, &x->a);
	return NULL;
}

/*
 * On SIGTERM the host completes all streams, including those that wait for a
 * stage whose coordinator it is.
 */
static void
test_stop(void)
{
	struct stream_client v[N_STREAMS] = { 0 };
	GThread *t[N_STREAMS];

	for (int i = 0; i < N_STREAMS; i++) {
		snprintf(v[i].id, sizeof(v[i].id), "s-stop-%d", i);
		v[i].staged = i > 0;
		t[i] = g_thread_new("stream", run_stream, &v[i]);
		g_usleep(10000);
	}
	kill(host.pid, SIGTERM);
	for (int i = 0; i < N_STREAMS; i++)
		g_thread_join(t[i]);
	for (int i = 0; i < N_STREAMS; i++) {
		g_assert_cmpint(v[i].a.status, ==, 200);
		g_assert_true(v[i].a.complete);
		g_assert_true(g_str_has_prefix(v[i].a.body.p, "id: 1\n"));
		harness_response_free(&v[i].a);
	}
	g_assert_cmpint(harness_wait_exit(&host), ==, 0);
}

static void
start_platform(void)
{
	static const struct fakeplat_target targets[] = {
		{ "p1", "plain", "d1", TARGET_PORT },
		{ "p2", "plain", "d1", TARGET_PORT + 1 },
		{ "e1", "engine", "d1", TARGET_PORT + 2 },
		{ "e2", "engine", "d1", TARGET_PORT + 3 },
		{ "s1", "pool", "d1", TARGET_PORT + 4 },
	};
	g_autofree char *c = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("relay-XXXXXX", NULL);

	g_strlcpy(host.dir, dir, sizeof(host.dir));
	platform = fakeplat_start(STORE_PORT);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		fakeplat_add_target(platform, &targets[i]);
	fakeplat_put(platform, "op/config", c);
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
	g_test_add_func("/relay/answers", test_answers);
	g_test_add_func("/relay/bare-answers", test_bare_answers);
	g_test_add_func("/relay/refused-bytes", test_refused_bytes);
	g_test_add_func("/relay/foreign-calls", test_foreign_calls);
	g_test_add_func("/relay/large-head", test_large_head);
	g_test_add_func("/relay/pipelined", test_pipelined);
	g_test_add_func("/relay/head-at-target", test_head_at_target);
	g_test_add_func("/relay/dropped-idle", test_dropped_idle);
	g_test_add_func("/relay/stages", test_stages);
	g_test_add_func("/relay/deadline", test_deadline);
	g_test_add_func("/relay/caller-gone", test_caller_gone);
	g_test_add_func("/relay/store-faults", test_store_faults);
	g_test_add_func("/relay/leaving", test_leaving);
	g_test_add_func("/relay/stop", test_stop);
	rc = g_test_run();
	fakeplat_stop(platform);
	return rc;
}
