/*
 * Fault soak: several sequoiad processes with a fake platform, callers that
 * send requests continuously, and random overlapping faults from outside.
 *
 *   Usage: soak [SEED [SECONDS [HOSTS [PORT]]]]
 *
 * With 16 hosts or more, some receive the changes of the store from other
 * hosts.  PORT is the first of 300 ports on loopback.
 *
 * Checked during the run and after it: a request that may run once runs at
 * most once; a request that was refused as not executed never ran; a complete
 * answer is that of its request, a stream of one software version; the
 * configuration version of a process never decreases; processes exit with
 * status 0 on SIGTERM.  After the faults every host serves every kind of
 * request with the newest configuration, a leaving target gets no calls, and
 * SIGTERM aborts no answer.
 */
#include "base/rng.h"
#include "tests/platform/harness.h"
#include "tests/soak/proxy.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAX_HOSTS        24
#define DEFAULT_HOSTS    4 /* without the argument HOSTS */
#define TARGETS          9
#define CALLERS          8
#define DEFAULT_PORT     22900 /* without the argument PORT */
/* Offsets of the first port of each kind. */
#define TARGET_PORTS     10
#define TARGET_PROXIES   30
#define HOST_PORTS       60
#define STORE_PROXIES    200 /* one for each host */
#define RECOVERY_SECONDS 15  /* until full service */
/*
 * Time after which a leaving target gets no calls: the platform's documented
 * limit plus the delay of the fake platform.
 */
#define DRAIN_BOUND      (2500 * USEC_PER_MSEC)
/*
 * The platform's bound for a target that names a limit of one request a second:
 * from LIMIT_DELAY on, at most LIMIT_ALLOWED requests in LIMIT_SPAN.
 */
#define LIMIT_DELAY      (3 * USEC_PER_SEC)
#define LIMIT_SPAN       (4 * USEC_PER_SEC)
#define LIMIT_ALLOWED    11
#define MAX_REFUSED      20000
#define WATCH_INTERVAL   (50 * USEC_PER_MSEC)
#define PAUSE_LIMIT      (500 * USEC_PER_MSEC)

struct caller {
	pthread_t thread;
	struct rng rng;
	int number;
};

static struct fakeplat *platform;
static struct proxy *proxy;
static struct harness_host hosts[MAX_HOSTS];
static int n_hosts = DEFAULT_HOSTS;
static int store_links[MAX_HOSTS]; /* from each host to the store */
static int target_links[TARGETS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static atomic_bool stopping;
/* No fault is active: no answer may be aborted. */
static atomic_bool faults_over;
static atomic_int violations;
static atomic_ulong sent;
static atomic_ulong complete;
/* Ids of the requests that were refused as not executed. */
static char (*refused_ids)[32];
static int n_refused_ids;
/* The last configuration version that each process reported. */
static uint64_t last_versions[MAX_HOSTS];
static int version = 1;
static int first_port = DEFAULT_PORT;

/* Software versions of engines. */
static const char *const versions[] = { "v1", "v2" };

/* Their ports are offsets. */
static const struct fakeplat_target targets[TARGETS] = {
	{ "p1", "plain", "d1", TARGET_PORTS, TARGET_PROXIES },
	{ "p2", "plain", "d2", TARGET_PORTS + 1, TARGET_PROXIES + 1 },
	{ "p3", "plain", "d1", TARGET_PORTS + 2, TARGET_PROXIES + 2 },
	{ "e1", "engine", "d1", TARGET_PORTS + 3, TARGET_PROXIES + 3, "v1" },
	{ "e2", "engine", "d2", TARGET_PORTS + 4, TARGET_PROXIES + 4, "v2" },
	{ "e3", "engine", "d1", TARGET_PORTS + 5, TARGET_PROXIES + 5, "v1" },
	{ "s1", "pool", "d1", TARGET_PORTS + 6, TARGET_PROXIES + 6 },
	{ "s2", "pool", "d2", TARGET_PORTS + 7, TARGET_PROXIES + 7 },
	{ "s3", "pool", "d1", TARGET_PORTS + 8, TARGET_PROXIES + 8 },
};

static const struct {
	const char *path, *prefix, *extra_fields;
	bool stream, non_idempotent;
} kinds[] = {
	{ "/safe/1", "safe", NULL, false, false },
	{ "/once/1", "once", NULL, false, true },
	{ "/stream/1", "s", NULL, true, false },
	{ "/stream-once/1", "once-s", NULL, true, true },
	{ "/stream/staged/1", "st", "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n",
	    true, false },
};
static const char *const limits[] = { "0.5", "1", "4.5", "x" };
static const char *const behaviors[] = { NULL, NULL, NULL, "cut", "half",
	"extra", "late", "refuse-once", "nolength" };

static void
report_violation(const char *what, const char *id)
{
	atomic_fetch_add(&violations, 1);
	printf("VIOLATION %s: %s\n", what, id);
	fflush(stdout);
}

/* Whether a body is that of the request, if a stream of one version. */
static bool
is_expected(const struct buf *body, const char *id, bool stream)
{
	bool expected = false;

	if (!stream)
		return str_eq(str_of(body), str_from(id));
	for (size_t v = 0; v < G_N_ELEMENTS(versions); v++) {
		struct buf out = { 0 };

		for (int i = 1; i <= 6; i++)
			buf_printf(&out, "id: %d\ndata: %s@%s\n\n", i, id,
			    versions[v]);
		expected = expected || str_eq(str_of(body), str_of(&out));
		buf_free(&out);
	}
	return expected;
}

/* Whether the status guarantees that the request was not executed. */
static bool
is_not_executed(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

static void
check_answer(const struct harness_response *a, const char *id, size_t kind,
    bool no_faults)
{
	if (a->status == 200 && a->complete) {
		atomic_fetch_add(&complete, 1);
		if (!is_expected(&a->body, id, kinds[kind].stream))
			report_violation("an answer is that of another request "
					 "or of two versions",
			    id);
	}
	if (is_not_executed(a->status) && kinds[kind].non_idempotent) {
		pthread_mutex_lock(&lock);
		if (n_refused_ids < MAX_REFUSED)
			g_strlcpy(refused_ids[n_refused_ids++], id, 32);
		pthread_mutex_unlock(&lock);
	}
	if (no_faults && a->status == 200 && !a->complete)
		report_violation("an answer was cut off without a fault", id);
	if (a->status == 401 || a->status == 404 || a->status == 400)
		report_violation("a valid request was refused", id);
}

static void
send_request(struct caller *c, int n)
{
	size_t kind = rng_below(&c->rng, G_N_ELEMENTS(kinds));
	const char *behavior = kinds[kind].stream
	    ? (rng_below(&c->rng, 4) == 0 ? "break" : NULL)
	    : behaviors[rng_below(&c->rng, G_N_ELEMENTS(behaviors))];
	g_autofree char *id =
	    g_strdup_printf("%s-%d-%d", kinds[kind].prefix, c->number, n);
	g_autofree char *q = NULL;
	/*
	 * A request sent before the faults ended may still be aborted by its
	 * target.
	 */
	bool no_faults = atomic_load(&faults_over);
	struct harness_response a;

	if (no_faults)
		behavior = NULL;
	q = harness_format(&(struct harness_request){ .path = kinds[kind].path,
	    .id = id,
	    .behavior = behavior,
	    .extra_fields = kinds[kind].extra_fields,
	    .deadline_ms = 2000 });
	atomic_fetch_add(&sent, 1);
	harness_exchange(
	    hosts[rng_below(&c->rng, n_hosts)].port, str_from(q), 3000, &a);
	check_answer(&a, id, kind, no_faults);
	harness_response_free(&a);
}

static void *
run_caller(void *arg)
{
	struct caller *c = arg;

	for (int n = 0; !atomic_load(&stopping); n++) {
		send_request(c, n);
		g_usleep(rng_below(&c->rng, 20000));
	}
	return NULL;
}

/* Checks that the configuration version of a process does not decrease. */
static void
check_version(int i)
{
	struct harness_response a;
	const char *line;
	uint64_t v;

	harness_exchange(hosts[i].port + 1,
	    STR("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: "
		"close\r\n\r\n"),
	    500, &a);
	line =
	    a.body.n > 0 ? strstr(a.body.p, "sequoia_config_version ") : NULL;
	if (line != NULL) {
		v = strtoull(
		    line + strlen("sequoia_config_version "), NULL, 10);
		if (v < last_versions[i])
			report_violation(
			    "a configuration version decreased", hosts[i].id);
		last_versions[i] = v;
	}
	harness_response_free(&a);
}

static void
put_config(void)
{
	g_autofree char *route = g_strdup_printf(
	    ",{\"Name\":\"v%d\",\"Host\":\"a.example\",\"Prefix\":\"/v%d/\","
	    "\"Kind\":\"idempotent\",\"TimeoutMs\":2000,\"SloMs\":100,"
	    "\"Attempts\":2,\"Service\":\"plain\"}",
	    version + 1, version + 1);
	g_autofree char *c = harness_config(++version, route);

	fakeplat_put(platform, "op/config", c);
}

static void
restart_host(int i, int sig)
{
	int rc;

	kill(hosts[i].pid, sig);
	rc = harness_wait_exit(&hosts[i]);
	if (sig == SIGTERM && rc != 0)
		report_violation(
		    "a process did not exit with status 0", hosts[i].id);
	last_versions[i] = 0;
	harness_start_host(&hosts[i]);
}

/*
 * Injects one random fault.  Some faults last until clear_faults, so that
 * faults overlap.
 */
static void
inject_fault(struct rng *r)
{
	int h = (int)rng_below(r, n_hosts);
	int t = (int)rng_below(r, TARGETS);
	int link = rng_below(r, 2) == 0 ? store_links[h] : target_links[t];

	switch (rng_below(r, 15)) {
	case 0:
		proxy_reset(proxy, link);
		break;
	case 1:
		proxy_silence(proxy, link);
		break;
	case 2:
	case 3:
		proxy_set_fault(proxy, link,
		    (enum proxy_fault)(1 + rng_below(r, PROXY_FAULTS - 1)));
		break;
	case 4:
		restart_host(h, SIGKILL);
		break;
	case 5:
		restart_host(h, SIGTERM);
		break;
	case 6:
		kill(hosts[h].pid, SIGSTOP);
		g_usleep(rng_below(r, 1500000));
		kill(hosts[h].pid, SIGCONT);
		break;
	case 7:
		kill(hosts[h].pid, SIGHUP);
		break;
	case 8:
		fakeplat_set_store_mode(
		    platform, (enum fakeplat_store_mode)rng_below(r, 4));
		break;
	case 9:
		fakeplat_compact(platform);
		break;
	case 10:
		fakeplat_drain_target(platform, targets[t].id);
		break;
	case 11:
		fakeplat_stop_target(platform, targets[t].id, true);
		break;
	case 12:
		fakeplat_set_limit(platform, targets[t].id,
		    limits[rng_below(r, G_N_ELEMENTS(limits))]);
		break;
	default:
		put_config();
		break;
	}
}

/* Clears some of the lasting faults at random, or all of them. */
static void
clear_faults(struct rng *r, bool all)
{
	for (int i = 0; i < n_hosts; i++) {
		if (all || rng_below(r, 3) == 0)
			proxy_set_fault(proxy, store_links[i], PROXY_NONE);
	}
	for (int i = 0; i < TARGETS; i++) {
		if (!all && rng_below(r, 3) != 0)
			continue;
		proxy_set_fault(proxy, target_links[i], PROXY_NONE);
		fakeplat_stop_target(platform, targets[i].id, false);
		fakeplat_ready_target(platform, targets[i].id);
		fakeplat_set_limit(platform, targets[i].id, NULL);
	}
	if (all || rng_below(r, 2) == 0)
		fakeplat_set_store_mode(platform, FAKEPLAT_STORE_OK);
}

/*
 * Returns whether a host serves every kind of request, and the newest route;
 * prints the request that it doesn't serve.
 */
static bool
serves_all(int i, int attempt)
{
	bool ok = true;

	for (size_t k = 0; ok && k <= G_N_ELEMENTS(kinds); k++) {
		bool newest = k == G_N_ELEMENTS(kinds);
		g_autofree char *id = g_strdup_printf("%s-end-%d-%d-%zu",
		    newest ? "v" : kinds[k].prefix, i, attempt, k);
		g_autofree char *path = newest
		    ? g_strdup_printf("/v%d/", version)
		    : g_strdup(kinds[k].path);
		g_autofree char *q = harness_format(&(struct harness_request){
		    .path = path,
		    .id = id,
		    .extra_fields = newest ? NULL : kinds[k].extra_fields });
		struct harness_response a;
		usec_t start = clock_now();

		harness_exchange(hosts[i].port, str_from(q), 3000, &a);
		ok = a.status == 200 && a.complete;
		if (!ok)
			printf("%s: %s is not served: status %d after "
			       "%lld ms, %zu bytes\n",
			    hosts[i].id, id, a.status,
			    (long long)((clock_now() - start) / USEC_PER_MSEC),
			    a.raw.n);
		harness_response_free(&a);
	}
	return ok;
}

static void
check_recovery(void)
{
	usec_t deadline = clock_now() + RECOVERY_SECONDS * USEC_PER_SEC;

	for (int i = 0; i < n_hosts; i++) {
		int attempt = 0;

		while (!serves_all(i, attempt++) && clock_now() < deadline)
			g_usleep(100000);
		if (!serves_all(i, attempt))
			report_violation(
			    "a host does not serve all requests again",
			    hosts[i].id);
	}
}

static void
check_drain(void)
{
	usec_t drained_at = clock_now();

	fakeplat_drain_target(platform, "p1");
	g_usleep(2 * DRAIN_BOUND);
	if (fakeplat_last_call(platform, "p1") > drained_at + DRAIN_BOUND)
		report_violation("a leaving target got a call", "p1");
	fakeplat_ready_target(platform, "p1");
}

/* Limits that one target of each service names hold for all hosts together. */
static void
check_limits(void)
{
	static const char *const ids[] = { "p2", "e2", "s2" };
	usec_t since = clock_now();

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		fakeplat_set_limit(platform, ids[i], "1");
	g_usleep((gulong)(LIMIT_DELAY + LIMIT_SPAN + USEC_PER_SEC));
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		uint32_t most = fakeplat_most_arrivals(
		    platform, ids[i], since + LIMIT_DELAY, LIMIT_SPAN);

		if (most > LIMIT_ALLOWED) {
			printf("%s: %u requests in 4 s\n", ids[i], most);
			report_violation(
			    "a target got more than its limit", ids[i]);
		}
		fakeplat_set_limit(platform, ids[i], NULL);
	}
}

static void
check_refused(void)
{
	for (int i = 0; i < n_refused_ids; i++) {
		struct fakeplat_attempt s;

		if (fakeplat_get_attempt(platform, refused_ids[i], &s) &&
		    s.runs > 0)
			report_violation(
			    "refused as not executed, but executed",
			    refused_ids[i]);
	}
}

static void
start_all(void)
{
	char *dir = g_dir_make_tmp("soak-XXXXXX", NULL);

	printf("logs in %s\n", dir);
	refused_ids = xcalloc(MAX_REFUSED, sizeof(*refused_ids));
	platform = fakeplat_start((uint16_t)first_port);
	proxy = proxy_start();
	for (int i = 0; i < TARGETS; i++) {
		struct fakeplat_target t = targets[i];

		t.port = (uint16_t)(t.port + first_port);
		t.published_port = (uint16_t)(t.published_port + first_port);
		target_links[i] = proxy_link(proxy, t.published_port, t.port);
		fakeplat_add_target(platform, &t);
	}
	put_config();
	for (int i = 0; i < n_hosts; i++) {
		struct harness_host *h = &hosts[i];

		h->port = (uint16_t)(first_port + HOST_PORTS + 4 * i);
		h->store_port = (uint16_t)(first_port + STORE_PROXIES + i);
		h->seed_port = (uint16_t)(first_port + HOST_PORTS);
		snprintf(h->id, sizeof(h->id), "h%d", i + 1);
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		store_links[i] =
		    proxy_link(proxy, h->store_port, (uint16_t)first_port);
		harness_start_host(h);
	}
	for (int i = 0; i < n_hosts; i++) {
		if (!harness_wait_ready(&hosts[i], RECOVERY_SECONDS))
			report_violation(
			    "a host does not become ready", hosts[i].id);
	}
	g_free(dir);
}

/*
 * Reports the times in which this process, which runs the platform's stand-in,
 * the proxy and the callers, did not run itself.  A play with such a pause
 * after the faults shows answers cut off, as the targets were silent.
 */
static void *
watch_pauses(void *arg)
{
	usec_t start = clock_now();
	usec_t last = start;

	(void)arg;
	while (!atomic_load(&stopping)) {
		usec_t now;

		g_usleep(WATCH_INTERVAL);
		now = clock_now();
		if (now - last > PAUSE_LIMIT)
			printf("PAUSE: the soak's process did not run for "
			       "%lld ms, from %lld ms after its start\n",
			    (long long)((now - last) / USEC_PER_MSEC),
			    (long long)((last - start) / USEC_PER_MSEC));
		fflush(stdout);
		last = now;
	}
	return NULL;
}

static void
run_faults(uint64_t seed, int seconds)
{
	struct rng r;
	usec_t deadline = clock_now() + seconds * USEC_PER_SEC;

	rng_init(&r, seed);
	while (clock_now() < deadline) {
		inject_fault(&r);
		if (rng_below(&r, 3) == 0)
			clear_faults(&r, false);
		check_version((int)rng_below(&r, n_hosts));
		g_usleep(100000 + rng_below(&r, 400000));
	}
	clear_faults(&r, true);
}

static void
stop_all(struct caller *callers)
{
	for (int i = 0; i < n_hosts; i++) {
		kill(hosts[i].pid, SIGTERM);
		if (harness_wait_exit(&hosts[i]) != 0)
			report_violation("a process did not exit with status 0",
			    hosts[i].id);
	}
	atomic_store(&stopping, true);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
}

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	int seconds = argc > 2 ? atoi(argv[2]) : 20;
	struct caller callers[CALLERS];
	pthread_t watch;

	if (argc > 3 && atoi(argv[3]) > 0 && atoi(argv[3]) <= MAX_HOSTS)
		n_hosts = atoi(argv[3]);
	if (argc > 4)
		first_port = atoi(argv[4]);

	signal(SIGPIPE, SIG_IGN);
	start_all();
	for (int i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		rng_init(&callers[i].rng, seed * 100 + (uint64_t)i);
		pthread_create(
		    &callers[i].thread, NULL, run_caller, &callers[i]);
	}
	pthread_create(&watch, NULL, watch_pauses, NULL);
	run_faults(seed, seconds);
	put_config();
	check_recovery();
	atomic_store(&faults_over, true);
	g_usleep(4 * USEC_PER_SEC);
	check_drain();
	check_limits();
	stop_all(callers);
	pthread_join(watch, NULL);
	if (fakeplat_count_duplicates(platform) > 0)
		report_violation("requests ran twice", "once");
	check_refused();
	proxy_stop(proxy);
	fakeplat_stop(platform);
	printf("seed %llu: %lu sent, %lu complete, %d refused, %d violations\n",
	    (unsigned long long)seed, atomic_load(&sent),
	    atomic_load(&complete), n_refused_ids, atomic_load(&violations));
	free(refused_ids);
	return atomic_load(&violations) > 0;
}
