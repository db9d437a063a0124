/*
 * A sequoiad that relays by route, as a process, before a stand-in of the
 * platform: what callers get and what targets see.
 */
#include "tests/platform/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define STORE_PORT  21900
#define TARGET_PORT 21910
#define HOST_PORT   21930
#define PATIENCE    15 /* seconds, for what must come about */

static struct world *world;
static struct rig_host host = {
	.port = HOST_PORT, .id = "h1", .store = STORE_PORT
};

struct relay_case {
	const char *path, *id, *script;
	int status;
	uint32_t runs;
	const char *body; /* NULL: any */
	bool broken;      /* the answer is not whole */
};

#define EVENTS(id)                                                           \
	"id: 1\ndata: " id "\n\nid: 2\ndata: " id "\n\nid: 3\ndata: " id     \
	"\n\nid: 4\ndata: " id "\n\nid: 5\ndata: " id "\n\nid: 6\ndata: " id \
	"\n\n"

static const struct relay_case cases[] = {
	{ "/safe/1", "safe-1", NULL, 200, 1, "safe-1", false },
	{ "/once/1", "once-1", NULL, 200, 1, "once-1", false },
	/* No answer: what may run once is not sent again. */
	{ "/safe/1", "safe-cut", "cut", 200, 2, "safe-cut", false },
	{ "/once/1", "once-cut", "cut", 502, 1, NULL, false },
	{ "/safe/1", "safe-half", "half", 200, 2, "safe-half", false },
	{ "/once/1", "once-half", "half", 502, 1, NULL, false },
	{ "/safe/1", "safe-open", "nolength", 200, 1, "safe-open", false },
	{ "/safe/1", "safe-extra", "extra", 200, 1, "safe-extra", false },
	{ "/safe/1", "safe-extra-2", NULL, 200, 1, "safe-extra-2", false },
	{ "/safe/1", "safe-odd", "unsealed", 200, 2, "safe-odd", false },
	{ "/once/1", "once-odd", "unsealed", 502, 1, NULL, false },
	/* A target's own failure is passed on, or tried once more. */
	{ "/safe/1", "safe-500", "500", 500, 2, "failed", false },
	{ "/once/1", "once-500", "500", 500, 1, "failed", false },
	/* Refused without running. */
	{ "/once/1", "once-no", "refuse", 503, 0, NULL, false },
	{ "/once/1", "once-again", "refuse-once", 200, 1, "once-again", false },
	/* It ran once, and was then refused: that is no "not run". */
	{ "/safe/1", "safe-cut-refuse", "cut-refuse", 502, 1, NULL, false },
	/* An answer that comes again before the next one. */
	{ "/safe/1", "safe-late", "late", 200, 1, "safe-late", false },
	{ "/safe/1", "safe-late-2", "late", 200, 1, "safe-late-2", false },
	{ "/safe/1", "safe-late-3", NULL, 200, 1, "safe-late-3", false },
	{ "/safe/1", "safe-late-4", NULL, 200, 1, "safe-late-4", false },
	/* Streams. */
	{ "/stream/1", "s-1", NULL, 200, 1, EVENTS("s-1"), false },
	{ "/stream/1", "s-2", "break", 200, 2, EVENTS("s-2"), false },
	{ "/stream-once/1", "once-s", "break", 200, 1,
	    "id: 1\ndata: once-s\n\nid: 2\ndata: once-s\n\n", true },
};

static void
test_answers(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct relay_case *c = &cases[i];
		g_autofree char *q = rig_request(&(struct rig_request){
		    .path = c->path, .id = c->id, .script = c->script });
		struct rig_answer a;
		struct world_seen s;

		g_test_message("%s", c->id);
		rig_talk(host.port, str_from(q), PATIENCE * 1000, &a);
		g_assert_cmpint(a.status, ==, c->status);
		g_assert_cmpint(a.whole, ==, !c->broken);
		if (c->body != NULL)
			g_assert_cmpstr(a.body.p, ==, c->body);
		if (c->status == 503)
			g_assert_nonnull(strstr(a.head.p, "\r\nRetry-After: "));
		world_seen(world, c->id, &s);
		g_assert_cmpuint(s.runs, ==, c->runs);
		rig_answer_free(&a);
	}
	g_assert_cmpuint(world_doubles(world), ==, 0);
}

#define HOST_LINE \
	"Host: a.example\r\nX-Attempt-Id: w\r\nX-Api-Key: key-of-yard\r\n"

/* Bytes that must reach no target, and the status that refuses them. */
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
		/* A request that never becomes whole. */
		{ "POST /safe/ HTTP/1.1\r\n" HOST_LINE
		  "Content-Length: 9\r\n\r\nabc",
		    408 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct rig_answer a;
		struct world_seen s;

		g_test_message("%s", rows[i].bytes);
		rig_talk(host.port, str_from(rows[i].bytes), 3000, &a);
		g_assert_cmpint(a.status, ==, rows[i].status);
		g_assert_false(world_seen(world, "w", &s));
		rig_answer_free(&a);
	}
}

static void
test_large_head(void)
{
	g_autofree char *pad = g_strnfill(9000, 'a');
	g_autofree char *q = g_strdup_printf(
	    "GET /safe/ HTTP/1.1\r\n" HOST_LINE "X-Pad: %s\r\n\r\n", pad);
	struct rig_answer a;

	rig_talk(host.port, str_from(q), 3000, &a);
	g_assert_cmpint(a.status, ==, 431);
	rig_answer_free(&a);
}

/* Requests sent ahead are answered one by one, in order. */
static void
test_pipelined(void)
{
	g_autofree char *one = rig_request(&(struct rig_request){
	    .path = "/safe/1", .id = "safe-p1", .keep = true });
	g_autofree char *two = rig_request(
	    &(struct rig_request){ .path = "/safe/1", .id = "safe-p2" });
	g_autofree char *both = g_strconcat(one, two, NULL);
	struct rig_answer a;
	const char *first;

	rig_talk(host.port, str_from(both), PATIENCE * 1000, &a);
	first = strstr(a.head.p, "\r\n\r\nsafe-p1");
	g_assert_nonnull(first);
	g_assert_nonnull(strstr(first, "\r\n\r\nsafe-p2"));
	rig_answer_free(&a);
}

/*
 * Targets that drop idle connections without notice reset what comes next on
 * them: what may run once does not go there.
 */
static void
test_dropped_idle(void)
{
	struct rig_answer a;

	for (int i = 0; i < 12; i++) {
		g_autofree char *id = g_strdup_printf("safe-drop-%d", i);
		g_autofree char *q = rig_request(&(struct rig_request){
		    .path = "/safe/1", .id = id, .script = "drop-next" });

		rig_talk(host.port, str_from(q), PATIENCE * 1000, &a);
		g_assert_cmpint(a.status, ==, 200);
		rig_answer_free(&a);
	}
	g_usleep(700000);
	for (int i = 0; i < 4; i++) {
		g_autofree char *id = g_strdup_printf("once-drop-%d", i);
		g_autofree char *q = rig_request(
		    &(struct rig_request){ .path = "/once/1", .id = id });

		rig_talk(host.port, str_from(q), PATIENCE * 1000, &a);
		g_assert_cmpint(a.status, ==, 200);
		rig_answer_free(&a);
	}
}

/* What the target sees: the caller's bytes, and our fields in their place. */
static void
test_head_at_target(void)
{
	g_autofree char *q =
	    rig_request(&(struct rig_request){ .path = "/safe/a/../b%2f?x=%20",
		.id = "safe-head",
		.more = "X-Tenant: forged\r\nX-Hold: h\r\nX-Mine: kept\r\n" });
	struct rig_answer a;
	struct world_seen s;

	rig_talk(host.port, str_from(q), PATIENCE * 1000, &a);
	g_assert_cmpint(a.status, ==, 200);
	world_seen(world, "safe-head", &s);
	g_assert_true(g_str_has_prefix(s.head, "/safe/a/../b%2f?x=%20\n"));
	g_assert_nonnull(strstr(s.head, "\nX-Mine: kept"));
	g_assert_nonnull(strstr(s.head, "\nX-Tenant: yard"));
	g_assert_null(strstr(s.head, "forged"));
	g_assert_null(strstr(s.head, "X-Hold"));
	g_assert_null(strstr(s.head, "key-of-yard"));
	rig_answer_free(&a);
}

static void
test_stages(void)
{
	g_autofree char *q =
	    rig_request(&(struct rig_request){ .path = "/stream/staged/1",
		.id = "staged",
		.more = "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n" });
	struct rig_answer a;
	struct world_seen s;
	const char *inputs;
	uint32_t pieces;
	uint32_t calls;

	rig_talk(host.port, str_from(q), PATIENCE * 1000, &a);
	g_assert_cmpint(a.status, ==, 200);
	g_assert_cmpstr(a.body.p, ==, EVENTS("staged"));
	world_seen(world, "staged", &s);
	inputs = strstr(s.head, "\nX-Inputs: ");
	g_assert_nonnull(inputs);
	/* Three handles: those of the stage that no other follows. */
	for (int i = 0; i < 3; i++) {
		inputs = strstr(inputs, "127.0.0.1:");
		g_assert_nonnull(inputs);
		inputs++;
	}
	g_assert_null(strstr(inputs, "127.0.0.1:"));
	world_pieces(world, &pieces, &calls);
	g_assert_cmpuint(pieces, ==, 5);
	g_assert_cmpuint(calls, ==, 2);
	rig_answer_free(&a);
}

/* A request that can't end in time has its answer at its deadline. */
static void
test_deadline(void)
{
	g_autofree char *q =
	    rig_request(&(struct rig_request){ .path = "/once/1",
		.id = "once-slow",
		.script = "slow",
		.deadline_ms = 300 });
	struct rig_answer a;

	rig_talk(host.port, str_from(q), PATIENCE * 1000, &a);
	g_assert_cmpint(a.status, ==, 504);
	rig_answer_free(&a);
}

static bool
eventually(bool (*holds)(void))
{
	for (int i = 0; i < PATIENCE * 20; i++) {
		if (holds())
			return true;
		g_usleep(50000);
	}
	return false;
}

static bool
slow_call_is_gone(void)
{
	struct world_seen s;

	world_seen(world, "once-gone", &s);
	return s.gone;
}

/* A caller that closes ends its call. */
static void
test_caller_gone(void)
{
	g_autofree char *q = rig_request(&(struct rig_request){
	    .path = "/once/1", .id = "once-gone", .script = "slow" });
	struct rig_answer a;

	rig_talk(host.port, str_from(q), 100, &a);
	g_assert_cmpint(a.status, ==, 0);
	g_assert_true(eventually(slow_call_is_gone));
	rig_answer_free(&a);
}

static bool
new_route_is_served(void)
{
	g_autofree char *q = rig_request(
	    &(struct rig_request){ .path = "/new/1", .id = "safe-new" });
	struct rig_answer a;
	int status;

	rig_talk(host.port, str_from(q), 2000, &a);
	status = a.status;
	rig_answer_free(&a);
	return status == 200;
}

/* The store's faults change nothing for callers; what is new comes after. */
static void
test_store_faults(void)
{
	static const enum world_store faults[] = { WORLD_STORE_SILENT,
		WORLD_STORE_BUSY, WORLD_STORE_RESET };
	static const char *const ids[] = { "safe-f0", "safe-f1", "safe-f2" };

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		g_autofree char *q = rig_request(
		    &(struct rig_request){ .path = "/safe/1", .id = ids[i] });
		struct rig_answer a;

		world_store(world, faults[i]);
		g_usleep(300000);
		rig_talk(host.port, str_from(q), PATIENCE * 1000, &a);
		g_assert_cmpint(a.status, ==, 200);
		rig_answer_free(&a);
		world_store(world, WORLD_STORE_OK);
	}
	{
		g_autofree char *c = rig_config(2,
		    ",{\"Name\":\"new\",\"Host\":\"a.example\",\"Prefix\":"
		    "\"/new/\",\"Kind\":\"idempotent\",\"TimeoutMs\":2000,"
		    "\"SloMs\":100,\"Attempts\":2,\"Service\":\"plain\"}");

		world_store(world, WORLD_STORE_SILENT);
		world_put(world, "op/config", c);
		world_store(world, WORLD_STORE_OK);
	}
	g_assert_true(eventually(new_route_is_served));
	/* An older version never comes back, nor one that can't be read. */
	{
		g_autofree char *old = rig_config(1, NULL);

		world_put(world, "op/config", old);
		world_put(world, "servers/odd", "{\"Service\":7}");
	}
	g_usleep(300000);
	g_assert_true(new_route_is_served());
}

static bool
only_second_serves(void)
{
	static int n;

	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("safe-d%d", n++);
		g_autofree char *q = rig_request(
		    &(struct rig_request){ .path = "/safe/1", .id = id });
		struct rig_answer a;
		struct world_seen s;

		rig_talk(host.port, str_from(q), 2000, &a);
		rig_answer_free(&a);
		world_seen(world, id, &s);
		if (strcmp(s.target, "p2") != 0)
			return false;
	}
	return true;
}

/* A leaving target gets nothing new; one whose address was taken neither. */
static void
test_leaving(void)
{
	g_autofree char *q = rig_request(
	    &(struct rig_request){ .path = "/once/1", .id = "once-moved" });
	struct rig_answer a;
	struct world_seen s;

	world_drain_target(world, "p1");
	g_assert_true(eventually(only_second_serves));
	world_replace_target(world, "p2", "p2-next");
	rig_talk(host.port, str_from(q), PATIENCE * 1000, &a);
	g_assert_cmpint(a.status, ==, 503);
	world_seen(world, "once-moved", &s);
	g_assert_cmpuint(s.runs, ==, 0);
	rig_answer_free(&a);
}

#define AT_STOP 8

struct stopped {
	char id[16];
	bool staged;
	struct rig_answer a;
};

static gpointer
run_stream(gpointer arg)
{
	struct stopped *x = arg;
	g_autofree char *q = rig_request(&(struct rig_request){
	    .path = x->staged ? "/stream/staged/1" : "/stream/1",
	    .id = x->id,
	    .more =
		x->staged ? "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n" : NULL });

	rig_talk(host.port, str_from(q), PATIENCE * 1000, &x->a);
	return NULL;
}

/* A stop cuts nothing off, also not what waits for a stage at this host. */
static void
test_stop(void)
{
	struct stopped v[AT_STOP] = { 0 };
	GThread *t[AT_STOP];

	for (int i = 0; i < AT_STOP; i++) {
		snprintf(v[i].id, sizeof(v[i].id), "s-stop-%d", i);
		v[i].staged = i > 0;
		t[i] = g_thread_new("stream", run_stream, &v[i]);
		g_usleep(10000);
	}
	kill(host.pid, SIGTERM);
	for (int i = 0; i < AT_STOP; i++)
		g_thread_join(t[i]);
	for (int i = 0; i < AT_STOP; i++) {
		g_assert_cmpint(v[i].a.status, ==, 200);
		g_assert_true(v[i].a.whole);
		g_assert_true(g_str_has_prefix(v[i].a.body.p, "id: 1\n"));
		rig_answer_free(&v[i].a);
	}
	g_assert_cmpint(rig_reap(&host), ==, 0);
}

static void
open_world(void)
{
	static const struct world_target targets[] = {
		{ "p1", "plain", "d1", TARGET_PORT },
		{ "p2", "plain", "d1", TARGET_PORT + 1 },
		{ "e1", "engine", "d1", TARGET_PORT + 2 },
		{ "e2", "engine", "d1", TARGET_PORT + 3 },
		{ "s1", "pool", "d1", TARGET_PORT + 4 },
	};
	g_autofree char *c = rig_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("relay-XXXXXX", NULL);

	g_strlcpy(host.dir, dir, sizeof(host.dir));
	world = world_start(STORE_PORT);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		world_add_target(world, &targets[i]);
	world_put(world, "op/config", c);
	rig_start_host(&host);
	g_assert_true(rig_wait_ready(&host, PATIENCE));
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	open_world();
	g_test_add_func("/relay/answers", test_answers);
	g_test_add_func("/relay/refused-bytes", test_refused_bytes);
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
	world_stop(world);
	return rc;
}
