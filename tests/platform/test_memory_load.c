/*
 * Many answers without end, large bodies or slow callers at once: each is
 * within its own limits, and all together are bounded by the memory of the
 * host, which would be killed with the requests of all its callers.
 *
 * Beside each load, callers with small requests are served all the time.  In a
 * build without sanitizers the resident memory of each host is measured, and in
 * each build the bytes that it counts itself.
 *
 *   Usage: test_memory_load [HOSTS [PORT]]
 */
#include "tests/platform/flood.h"
#include "tests/platform/load.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* The first of 200 ports on loopback; the others are offsets. */
#define DEFAULT_PORT  26300
#define TARGET_PORT   1
/* The store of the host without a path, whose entries lead nowhere. */
#define CUT_STORE     10
#define CUT_TARGET    11
#define CUT_NOWHERE   19
#define HOST_PORT     20
#define FLOOD_PORT    40
#define N_HOSTS       2
#define READY_TIME_S  15
#define MEMORY_MB     160
#define DEADLINE_MS   3000
#define ATTEMPTS      2
/* An answer that is known to be none doesn't wait for a time-out. */
#define AT_ONCE       (1 * USEC_PER_SEC)
#define MAX_LATENESS  (500 * USEC_PER_MSEC)
#define MAX_LOAD      300
#define FLOOD_TARGETS 2 /* of each case */
#define BODY_BYTES    ((size_t)4 * 1024 * 1024)
#define BYTES_4MB     "bytes-4194304"
#define EVENTS_4MB    "events-4096"
#define SLOW_BYTES    ((size_t)240 * 1024)
#define SLOW_240KB    "slow-245760"
#define SLOW_300KB    "slow-307200"
#define SLOW_400KB    "slow-409600"
/* Of slow answers, which take four to seven seconds each. */
#define SLOW_DEADLINE 8000
#define LONG_DEADLINE 12000
/* What one connection may read beyond the bound. */
#define READ_BYTES    ((int64_t)16 * 1024)
/* Of what is still held, and still resident, after a load. */
#define REST_BYTES    ((int64_t)1024 * 1024)
#define REST_KB       ((size_t)40 * 1024)
#define REST_TIME     (6 * USEC_PER_SEC)
#define BYTES_MS      1500
#define STORE_TIME    (2 * USEC_PER_SEC)

static struct fakeplat *platforms[N_HOSTS];
static struct flood *flood;
static int n_hosts = N_HOSTS;
static struct load_memory started[N_HOSTS];
/* The most connections of a load so far: the highest count is over all. */
static size_t most_conns;
static struct harness_host hosts[N_HOSTS];
static int first_port = DEFAULT_PORT;

static const char slow_reads[] = "reads-slowly";

/* Each has a route and a service of its own. */
static const struct load_case {
	const char *name;
	const char *kind;
	const char *behavior; /* of the targets */
	size_t n;
	size_t body_bytes;
	enum load_take take;
	int host;
	bool endless; /* none is answered, as no target has an answer */
	size_t answer_bytes;
	size_t min_served; /* of those with an end */
	int deadline_ms;   /* 0: DEADLINE_MS */
	bool at_once;      /* the first bytes show that it is no answer */
	bool resumed;      /* streams that are cut off go on elsewhere */
	bool uncut;        /* its target is read on, and doesn't cut it off */
} cases[] = {
#define ONCE   "non_idempotent"
#define SAFE   "idempotent"
#define STREAM "streaming"
	{ "body", ONCE, "body", 120, .endless = true },
	{ "body-safe", SAFE, "body", 120, .endless = true },
	{ "body-by-host", ONCE, "body", 120, .host = 1, .endless = true },
	{ "body-stream", STREAM, "body", 120, .endless = true },
	{ "body-500", ONCE, "body-500", 120, .endless = true },
	{ "body-503", ONCE, "body-503", 120, .endless = true },
	{ "chunked", ONCE, "chunked", 120, .endless = true },
	{ "declared", ONCE, "declared", 120, .endless = true },
	{ "head", ONCE, "head", 120, .endless = true },
	{ "fields", ONCE, "fields", 120, .endless = true },
	{ "status", ONCE, "status", 120, .endless = true },
	{ "interim", ONCE, "interim", 120, .endless = true },
	{ "chunk-size", ONCE, "chunk-size", 120, .endless = true },
	{ "extension", ONCE, "extension", 120, .endless = true },
	{ "trailers", ONCE, "trailers", 120, .endless = true },
	{ "event", STREAM, "event", 120, .endless = true },
	{ "event-by-host", STREAM, "event", 120, .host = 1, .endless = true },
	{ "event-lines", STREAM, "event-lines", 120, .endless = true },
	{ "comments", STREAM, "comments", 120, .endless = true },
	{ "unknown", STREAM, "unknown", 120, .endless = true },
	{ "events-declared", STREAM, "events-declared", 120, .endless = true },
	{ "page", STREAM, "page", 120, .endless = true },
	{ "6-declared", ONCE, "declared", 6, .endless = true, .at_once = true },
	{ "6-declared-safe", SAFE, "declared", 6, .endless = true,
	    .at_once = true },
	{ "6-stream-body", STREAM, "body", 6, .endless = true,
	    .at_once = true },
	{ "6-event", STREAM, "event", 6, .endless = true, .at_once = true },
	{ "6-event-lines", STREAM, "event-lines", 6, .endless = true,
	    .at_once = true },
	{ "6-comments", STREAM, "comments", 6, .endless = true,
	    .at_once = true },
	{ "6-unknown", STREAM, "unknown", 6, .endless = true, .at_once = true },
	{ "6-events-declared", STREAM, "events-declared", 6, .endless = true,
	    .at_once = true },
	{ "6-page", STREAM, "page", 6, .endless = true, .at_once = true },
	{ "30-bodies", ONCE, NULL, 30, BODY_BYTES, .min_served = 4 },
	{ "120-bodies", ONCE, NULL, 120, BODY_BYTES, .min_served = 4 },
	{ "30-bodies-by-host", ONCE, NULL, 30, BODY_BYTES, .host = 1,
	    .min_served = 2 },
	/* Their targets read 80 KB a second. */
	{ "slow-uploads", ONCE, slow_reads, 20, 240 * 1024, .min_served = 20,
	    .deadline_ms = SLOW_DEADLINE },
	{ "120-slow-uploads", ONCE, slow_reads, 120, BODY_BYTES },
	{ "120-answers", ONCE, BYTES_4MB, 120, .answer_bytes = BODY_BYTES,
	    .min_served = 30 },
	{ "30-answers-by-host", ONCE, BYTES_4MB, 30, .host = 1,
	    .answer_bytes = BODY_BYTES, .min_served = 8 },
	{ "slow-answers", ONCE, SLOW_240KB, 20, .answer_bytes = SLOW_BYTES,
	    .min_served = 20, .deadline_ms = SLOW_DEADLINE },
	{ "slow-300KB", ONCE, SLOW_300KB, 20, .answer_bytes = 300 * 1024,
	    .min_served = 20, .deadline_ms = SLOW_DEADLINE },
	{ "slow-400KB", ONCE, SLOW_400KB, 20, .answer_bytes = 400 * 1024,
	    .min_served = 20, .deadline_ms = LONG_DEADLINE },
	/* 117 have room at once, and take 8 seconds. */
	{ "300-paced-answers", ONCE, "paced-245760", 300,
	    .answer_bytes = SLOW_BYTES, .min_served = 80,
	    .deadline_ms = LONG_DEADLINE },
	{ "bodies-and-answers", ONCE, BYTES_4MB, 60, BODY_BYTES,
	    .answer_bytes = BODY_BYTES, .min_served = 4 },
	{ "slow-callers", ONCE, BYTES_4MB, 200, 0, LOAD_TAKE_SLOWLY,
	    .answer_bytes = BODY_BYTES },
	{ "slow-streams", STREAM, EVENTS_4MB, 2, 0, LOAD_TAKE_SLOWLY,
	    .answer_bytes = BODY_BYTES, .deadline_ms = SLOW_DEADLINE,
	    .uncut = true },
	{ "slow-streams-by-host", STREAM, EVENTS_4MB, 2, 0, LOAD_TAKE_SLOWLY,
	    .host = 1, .answer_bytes = BODY_BYTES, .deadline_ms = SLOW_DEADLINE,
	    .uncut = true },
	{ "200-slow-streams", STREAM, EVENTS_4MB, 200, 0, LOAD_TAKE_SLOWLY,
	    .answer_bytes = BODY_BYTES, .deadline_ms = SLOW_DEADLINE,
	    .resumed = true },
	{ "callers-that-take-nothing", ONCE, BYTES_4MB, 200, 0, LOAD_TAKE_NONE,
	    .answer_bytes = BODY_BYTES },
#undef ONCE
#undef SAFE
#undef STREAM
};

static char *
format_config(void)
{
	GString *s = g_string_new("{\"Version\":1,\"Routes\":[");

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_string_append_printf(s,
		    "{\"Name\":\"%s\",\"Host\":\"a.example\","
		    "\"Prefix\":\"/%s/\",\"Kind\":\"%s\",\"TimeoutMs\":%d,"
		    "\"SloMs\":1000,\"Attempts\":%d,\"Service\":\"%s\"},",
		    cases[i].name, cases[i].name, cases[i].kind,
		    MAX(cases[i].deadline_ms, SLOW_DEADLINE), ATTEMPTS,
		    cases[i].name);
	g_string_append(s,
	    "{\"Name\":\"safe\",\"Host\":\"a.example\",\"Prefix\":\"/safe/\","
	    "\"Kind\":\"idempotent\",\"TimeoutMs\":8000,\"SloMs\":1000,"
	    "\"Attempts\":2,\"Service\":\"plain\"},"
	    "{\"Name\":\"once\",\"Host\":\"a.example\",\"Prefix\":\"/once/\","
	    "\"Kind\":\"non_idempotent\",\"TimeoutMs\":8000,\"SloMs\":1000,"
	    "\"Attempts\":2,\"Service\":\"plain\"}],\"Services\":[");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_string_append_printf(
		    s, "{\"Name\":\"%s\",\"MaxConns\":999},", cases[i].name);
	g_string_append_printf(s,
	    "{\"Name\":\"plain\",\"MaxConns\":99}],\"Limits\":{"
	    "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":%zu,"
	    "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000},"
	    "\"Tenants\":[{\"Name\":\"yard\","
	    "\"ApiKeys\":[\"key-of-yard\"]}]}",
	    BODY_BYTES);
	return g_string_free(s, FALSE);
}

/* The bytes that the host may hold, with those of its last reads. */
static int64_t
limit_of(const struct harness_host *h)
{
	int64_t limit = load_metric(h, "sequoia_memory_limit_bytes");

	/* A connection of the caller and one of the target for each. */
	return limit + (int64_t)most_conns * 2 * READ_BYTES;
}

static void
check_peak(int i)
{
	const struct harness_host *h = &hosts[i];
	struct load_memory m = load_memory_of(h->pid);
	int64_t highest = load_metric(h, "sequoia_memory_held_highest_bytes");

	g_test_message("%s: peak %zu KB, now %zu KB, %lld bytes held at most",
	    h->id, m.peak, m.now, (long long)highest);
	if (!m.sanitized)
		g_assert_cmpuint(m.peak, <, (size_t)MEMORY_MB * 1024);
	g_assert_cmpint(highest, >, 0);
	g_assert_cmpint(highest, <=, limit_of(h));
}

/* What was held is free again, and back at the system. */
static void
check_rest(int i)
{
	usec_t deadline = clock_now() + REST_TIME;
	size_t max = started[i].now + REST_KB;
	struct load_memory m;
	int64_t held;

	for (;;) {
		m = load_memory_of(hosts[i].pid);
		held = load_metric(&hosts[i], "sequoia_memory_held_bytes");
		if (held < 0 || clock_now() > deadline ||
		    (held <= REST_BYTES && (m.sanitized || m.now <= max)))
			break;
		g_usleep(100000);
	}
	if (!m.sanitized)
		g_assert_cmpuint(m.now, <=, max);
	g_assert_cmpint(held, >=, 0);
	g_assert_cmpint(held, <=, REST_BYTES);
}

/* Small requests at each host, beside a load. */
struct sound {
	struct load_sound *at[N_HOSTS];
};

static struct sound
begin(const char *name)
{
	struct sound s;

	for (int i = 0; i < n_hosts; i++) {
		g_autofree char *id = g_strdup_printf("%s-%d", name, i);

		load_memory_reset(hosts[i].pid);
		s.at[i] = load_sound_start(&(struct load_sound_opts){
		    .port = hosts[i].port,
		    .prefix = id,
		    .pids = { hosts[0].pid, i > 0 ? hosts[i].pid : 0 },
		});
	}
	return s;
}

static void
end(struct sound *s, size_t n)
{
	most_conns = MAX(most_conns, n);
	for (int i = 0; i < n_hosts; i++) {
		struct load_sound_counts t = load_sound_stop(s->at[i]);

		g_test_message(
		    "%s: %u of %u small requests served, %u while the machine "
		    "didn't run a host, longest %lld ms, last other status %d "
		    "%s",
		    hosts[i].id, t.served, t.sent, t.not_run,
		    (long long)(t.longest / USEC_PER_MSEC), t.other_status,
		    t.other);
		g_assert_cmpuint(t.sent, >, 0);
		g_assert_cmpuint(t.served, >, 0);
		g_assert_cmpuint(t.served + t.not_run, ==, t.sent);
	}
	for (int i = 0; i < n_hosts; i++)
		check_peak(i);
	for (int i = 0; i < n_hosts; i++)
		check_rest(i);
}

static void
check_result(const struct load_case *c, const struct load_request *q,
    const struct load_result *a)
{
	usec_t max = c->at_once ? AT_ONCE
				: q->deadline_ms * USEC_PER_MSEC + MAX_LATENESS;
	bool slow = q->take != LOAD_TAKE_ALL;
	uint32_t arrivals = flood_arrivals(flood, q->id);

	/* A caller that reads slowly ends its own request. */
	if (!slow && (!a->ended || a->took > max)) {
		g_test_message("%s: status %d after %lld ms", q->id, a->status,
		    (long long)(a->took / USEC_PER_MSEC));
		g_assert_true(a->ended);
		g_assert_cmpint(a->took, <=, max);
	}
	if (!slow)
		g_assert_cmpint(a->status, !=, 0);
	if (a->status == 503) {
		g_assert_true(a->retry_after);
		g_assert_cmpuint(arrivals, ==, 0);
	}
	if (a->status == 200 && a->complete) {
		g_assert_false(c->endless);
		g_assert_cmpuint(a->body_bytes, ==,
		    c->answer_bytes > 0 ? c->answer_bytes : strlen(q->id));
	}
	if (c->uncut) {
		g_assert_cmpuint(flood_cuts(flood, q->id), ==, 0);
		g_assert_cmpuint(arrivals, ==, 1);
		g_assert_cmpuint(a->body_bytes, >, 0);
	}
	if (strcmp(c->kind, "idempotent") != 0 && !c->resumed)
		g_assert_cmpuint(arrivals, <=, 1);
	else if (c->at_once)
		g_assert_cmpuint(arrivals, ==, ATTEMPTS);
}

static void
check_results(const struct load_case *c, const struct load_request *q,
    const struct load_result *a)
{
	size_t served = 0;
	size_t refused = 0;
	size_t failed = 0;
	usec_t longest = 0;

	for (size_t i = 0; i < c->n; i++) {
		check_result(c, &q[i], &a[i]);
		served += a[i].status == 200 && a[i].complete;
		refused += a[i].status == 503;
		failed += a[i].status == 502 || a[i].status == 504;
		longest = MAX(longest, a[i].took);
	}
	g_test_message("%zu requests: %zu served, %zu refused, %zu failed, "
		       "longest %lld ms",
	    c->n, served, refused, failed,
	    (long long)(longest / USEC_PER_MSEC));
	g_assert_cmpuint(served, >=, c->min_served);
}

static void
test_load(gconstpointer arg)
{
	const struct load_case *c = arg;
	struct load_request *q = xcalloc(c->n, sizeof(*q));
	struct load_result *a = xcalloc(c->n, sizeof(*a));
	g_autofree char *path = g_strdup_printf("/%s/1", c->name);
	struct sound sound;

	if (!c->at_once)
		sound = begin(c->name);
	for (size_t i = 0; i < c->n; i++) {
		q[i] = (struct load_request){
			.port = hosts[c->host].port,
			.path = path,
			.behavior = c->behavior,
			.body_bytes = c->body_bytes,
			.deadline_ms =
			    c->deadline_ms > 0 ? c->deadline_ms : DEADLINE_MS,
			.take = c->take,
		};
		g_snprintf(q[i].id, sizeof(q[i].id), "load-%s-%zu", c->name, i);
	}
	load_run(q, a, c->n);
	if (!c->at_once)
		end(&sound, c->n);
	check_results(c, q, a);
	free(a);
	free(q);
}

/* Connections that send bytes beside the small requests. */
static const struct bytes_case {
	const char *name;
	const char *begin;
	const char *repeats;
	size_t conns;
	size_t bytes;
	uint16_t offset; /* of the port: 1 operators, 2 other hosts */
} bytes_cases[] = {
	{ "half-heads", "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Pad: ",
	    "x", 2000, 15000 },
	{ "half-bodies",
	    "POST /once/1 HTTP/1.1\r\nHost: a.example\r\n"
	    "X-Attempt-Id: half\r\nX-Api-Key: key-of-yard\r\n"
	    "X-Deadline-Ms: 4000\r\nContent-Length: 4000000\r\n\r\n",
	    "x", 200, 3999999 },
	{ "pipelined",
	    "POST /once/1 HTTP/1.1\r\nHost: a.example\r\n"
	    "X-Attempt-Id: piped\r\nX-Api-Key: key-of-yard\r\n"
	    "X-Deadline-Ms: 4000\r\nX-Test: slow\r\n"
	    "Content-Length: 0\r\n\r\n",
	    "GET /once/1 HTTP/1.1\r\nHost: a.example\r\n"
	    "X-Api-Key: key-of-yard\r\n\r\n",
	    200, BODY_BYTES },
	{ "operators-heads",
	    "GET /metrics HTTP/1.1\r\nHost: a.example\r\nX-Pad: ", "x", 200,
	    BODY_BYTES, 1 },
	{ "operators-bodies",
	    "POST /reload HTTP/1.1\r\nHost: a.example\r\n"
	    "Content-Length: 9000000\r\n\r\n",
	    "x", 200, BODY_BYTES, 1 },
	/* One record of 2 GB. */
	{ "records-of-a-host", "\x7f\xff\xff\xff", "x", 200, BODY_BYTES, 2 },
};

static void
test_bytes(gconstpointer arg)
{
	const struct bytes_case *c = arg;
	struct sound sound = begin(c->name);
	size_t n = load_bytes_run(&(struct load_bytes){
	    .port = (uint16_t)(hosts[0].port + c->offset),
	    .conns = c->conns,
	    .begin = c->begin,
	    .repeats = c->repeats,
	    .bytes = c->bytes,
	    .hold_ms = BYTES_MS,
	});

	g_test_message("%zu bytes on %zu connections", n, c->conns);
	end(&sound, c->conns);
}

/*
 * The store answers without end, for a while.  Without the other host, whose
 * store leads nowhere: its entries would be taken from it.
 */
static void
test_store(void)
{
	struct sound sound = begin("store");

	fakeplat_set_store_mode(platforms[0], FAKEPLAT_STORE_ENDLESS);
	fakeplat_put(platforms[0], "op/note", "{}");
	g_usleep((gulong)STORE_TIME);
	fakeplat_set_store_mode(platforms[0], FAKEPLAT_STORE_OK);
	end(&sound, 1);
}

static const char *
group_of(const struct load_case *c)
{
	if (c->at_once)
		return "at-once";
	if (c->uncut || c->resumed || c->behavior == slow_reads)
		return "slow";
	if (!c->endless)
		return "callers";
	return strcmp(c->kind, "streaming") == 0 ? "streams" : "answers";
}

static void
put_flood_targets(struct fakeplat *plat, bool reached)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases) * FLOOD_TARGETS; i++) {
		g_autofree char *key = g_strdup_printf("servers/f%zu", i);
		g_autofree char *value = g_strdup_printf(
		    "{\"Service\":\"%s\",\"Addr\":\"127.0.0.1:%zu\","
		    "\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":400,"
		    "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,"
		    "\"born\":1}",
		    cases[i / FLOOD_TARGETS].name,
		    (size_t)first_port +
			(reached ? FLOOD_PORT + i : CUT_NOWHERE));

		fakeplat_put(plat, key, value);
	}
}

static uint16_t
port_at(int offset)
{
	return (uint16_t)(first_port + offset);
}

static void
start_fleet(void)
{
	static const struct fakeplat_target targets[] = {
		{ "p1", "plain", "d1" },
		{ "p2", "plain", "d1" },
		{ "p3", "plain", "d1" },
	};
	g_autofree char *config = format_config();
	g_autofree char *dir = g_dir_make_tmp("memory-XXXXXX", NULL);

	platforms[0] = fakeplat_start(port_at(0));
	platforms[1] = fakeplat_start(port_at(CUT_STORE));
	flood = flood_start(
	    port_at(FLOOD_PORT), G_N_ELEMENTS(cases) * FLOOD_TARGETS);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		struct fakeplat_target o = targets[i];

		o.port = port_at(TARGET_PORT + (int)i);
		fakeplat_add_target(platforms[0], &o);
		o.port = port_at(CUT_TARGET + (int)i);
		o.published_port = port_at(CUT_NOWHERE);
		fakeplat_add_target(platforms[1], &o);
	}
	for (int i = 0; i < n_hosts; i++) {
		put_flood_targets(platforms[i], i == 0);
		fakeplat_put(platforms[i], "op/config", config);
		hosts[i].port = port_at(HOST_PORT + 10 * i);
		hosts[i].store_port = port_at(i == 0 ? 0 : CUT_STORE);
		hosts[i].seed_port = i == 0 ? 0 : port_at(HOST_PORT);
		hosts[i].memory_mb = MEMORY_MB;
		g_snprintf(hosts[i].id, sizeof(hosts[i].id), "h%d", i + 1);
		g_strlcpy(hosts[i].dir, dir, sizeof(hosts[i].dir));
		harness_start_host(&hosts[i]);
	}
	for (int i = 0; i < n_hosts; i++)
		g_assert_true(harness_wait_ready(&hosts[i], READY_TIME_S));
	g_usleep(USEC_PER_SEC);
	for (int i = 0; i < n_hosts; i++)
		started[i] = load_memory_of(hosts[i].pid);
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		n_hosts = CLAMP(atoi(argv[1]), 1, N_HOSTS);
	if (argc > 2)
		first_port = atoi(argv[2]);
	signal(SIGPIPE, SIG_IGN);
	start_fleet();
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/memory/%s/%s", group_of(&cases[i]), cases[i].name);

		g_test_add_data_func(path, &cases[i], test_load);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(bytes_cases); i++) {
		g_autofree char *path =
		    g_strdup_printf("/memory/bytes/%s", bytes_cases[i].name);

		g_test_add_data_func(path, &bytes_cases[i], test_bytes);
	}
	g_test_add_func("/memory/store/endless", test_store);
	rc = g_test_run();
	for (int i = 0; i < n_hosts; i++) {
		kill(hosts[i].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[i]), ==, 0);
	}
	for (int i = 0; i < n_hosts; i++)
		fakeplat_stop(platforms[i]);
	flood_stop(flood);
	return rc;
}
