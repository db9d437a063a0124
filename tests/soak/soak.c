/*
 * A fault soak: several sequoiads as processes before a stand-in of the
 * platform, callers that never stop, and faults from outside in random
 * series that overlap.  Usage: soak [SEED [SECONDS [HOSTS]]]
 * With 16 hosts or more some hear of the store from others.
 *
 * Checked while it runs and after it: what may run once ran at most once; what
 * was refused with "not run" never ran; an answer that is whole is that of its
 * request; a host's configuration never goes back; processes end as they
 * should.  After the faults every host serves every kind again with the newest
 * configuration, a leaving target gets nothing, and a stop cuts nothing off.
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

#define MAX_HOSTS    24
#define FEW_HOSTS    4 /* unless the command line says more */
#define TARGETS      9
#define CALLERS      8
#define STORE_PORT   22900
#define TARGET_PORT  22910 /* and what its proxy listens on */
#define PROXY_PORT   22930
#define HOST_PORT    22960
#define LINK_PORT    23100 /* from hosts to the store */
#define CALM_SECONDS 15    /* within which all must be well after the faults */
/* The drain bound of the platform's pages, and the stand-in's own delay. */
#define DRAIN_BOUND  (2500 * USEC_PER_MSEC)
#define MAX_REFUSED  20000

struct caller {
	pthread_t thread;
	struct rng rng;
	int number;
};

static struct world *world;
static struct proxy *proxy;
static struct rig_host hosts[MAX_HOSTS];
static int n_hosts = FEW_HOSTS;
static int host_links[MAX_HOSTS]; /* to the store */
static int target_links[TARGETS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static atomic_bool stopping;
static atomic_bool calm; /* no fault is in force: nothing may be broken off */
static atomic_int violations;
static atomic_ulong sent;
static atomic_ulong complete;
static char (*refused)[32]; /* ids that were told "not run" */
static int n_refused;
static uint64_t versions[MAX_HOSTS]; /* seen of each process */
static int version = 1;

static const struct world_target targets[TARGETS] = {
	{ "p1", "plain", "d1", TARGET_PORT, PROXY_PORT },
	{ "p2", "plain", "d2", TARGET_PORT + 1, PROXY_PORT + 1 },
	{ "p3", "plain", "d1", TARGET_PORT + 2, PROXY_PORT + 2 },
	{ "e1", "engine", "d1", TARGET_PORT + 3, PROXY_PORT + 3 },
	{ "e2", "engine", "d2", TARGET_PORT + 4, PROXY_PORT + 4 },
	{ "e3", "engine", "d1", TARGET_PORT + 5, PROXY_PORT + 5 },
	{ "s1", "pool", "d1", TARGET_PORT + 6, PROXY_PORT + 6 },
	{ "s2", "pool", "d2", TARGET_PORT + 7, PROXY_PORT + 7 },
	{ "s3", "pool", "d1", TARGET_PORT + 8, PROXY_PORT + 8 },
};

static const struct {
	const char *path, *prefix, *more;
	bool stream, once;
} kinds[] = {
	{ "/safe/1", "safe", NULL, false, false },
	{ "/once/1", "once", NULL, false, true },
	{ "/stream/1", "s", NULL, true, false },
	{ "/stream-once/1", "once-s", NULL, true, true },
	{ "/stream/staged/1", "st", "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n",
	    true, false },
};
static const char *const scripts[] = { NULL, NULL, NULL, "cut", "half", "extra",
	"late", "refuse-once", "nolength" };

static void
violation(const char *what, const char *id)
{
	atomic_fetch_add(&violations, 1);
	printf("VIOLATION %s: %s\n", what, id);
	fflush(stdout);
}

static void
expected_body(const char *id, bool stream, struct buf *out)
{
	if (!stream) {
		buf_put(out, str_from(id));
		return;
	}
	for (int i = 1; i <= 6; i++)
		buf_printf(out, "id: %d\ndata: %s\n\n", i, id);
}

static bool
is_promise(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

static void
check_answer(
    const struct rig_answer *a, const char *id, size_t kind, bool in_calm)
{
	struct buf want = { 0 };

	expected_body(id, kinds[kind].stream, &want);
	if (a->status == 200 && a->whole) {
		atomic_fetch_add(&complete, 1);
		if (!str_eq(str_of(&a->body), str_of(&want)))
			violation("an answer is not the request's", id);
	}
	if (is_promise(a->status) && kinds[kind].once) {
		pthread_mutex_lock(&lock);
		if (n_refused < MAX_REFUSED)
			g_strlcpy(refused[n_refused++], id, 32);
		pthread_mutex_unlock(&lock);
	}
	if (in_calm && a->status == 200 && !a->whole)
		violation("an answer was cut off without a fault", id);
	if (a->status == 401 || a->status == 404 || a->status == 400)
		violation("a proper request was denied", id);
	buf_free(&want);
}

static void
call_once(struct caller *c, int n)
{
	size_t kind = rng_below(&c->rng, G_N_ELEMENTS(kinds));
	const char *script = kinds[kind].stream
	    ? (rng_below(&c->rng, 4) == 0 ? "break" : NULL)
	    : scripts[rng_below(&c->rng, G_N_ELEMENTS(scripts))];
	g_autofree char *id =
	    g_strdup_printf("%s-%d-%d", kinds[kind].prefix, c->number, n);
	g_autofree char *q = NULL;
	/* What was sent before may still be broken off by its target. */
	bool in_calm = atomic_load(&calm);
	struct rig_answer a;

	if (in_calm)
		script = NULL;
	q = rig_request(&(struct rig_request){ .path = kinds[kind].path,
	    .id = id,
	    .script = script,
	    .more = kinds[kind].more,
	    .deadline_ms = 2000 });
	atomic_fetch_add(&sent, 1);
	rig_talk(
	    hosts[rng_below(&c->rng, n_hosts)].port, str_from(q), 3000, &a);
	check_answer(&a, id, kind, in_calm);
	rig_answer_free(&a);
}

static void *
run_caller(void *arg)
{
	struct caller *c = arg;

	for (int n = 0; !atomic_load(&stopping); n++) {
		call_once(c, n);
		g_usleep(rng_below(&c->rng, 20000));
	}
	return NULL;
}

/* A process's configuration never goes back. */
static void
check_version(int i)
{
	struct rig_answer a;
	const char *at;
	uint64_t v;

	rig_talk(hosts[i].port + 1,
	    STR("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: "
		"close\r\n\r\n"),
	    500, &a);
	at = a.body.n > 0 ? strstr(a.body.p, "sequoia_config_version ") : NULL;
	if (at != NULL) {
		v = strtoull(at + strlen("sequoia_config_version "), NULL, 10);
		if (v < versions[i])
			violation("a configuration went back", hosts[i].id);
		versions[i] = v;
	}
	rig_answer_free(&a);
}

static void
put_config(void)
{
	g_autofree char *route = g_strdup_printf(
	    ",{\"Name\":\"v%d\",\"Host\":\"a.example\",\"Prefix\":\"/v%d/\","
	    "\"Kind\":\"idempotent\",\"TimeoutMs\":2000,\"SloMs\":100,"
	    "\"Attempts\":2,\"Service\":\"plain\"}",
	    version + 1, version + 1);
	g_autofree char *c = rig_config(++version, route);

	world_put(world, "op/config", c);
}

static void
restart_host(int i, int sig)
{
	int rc;

	kill(hosts[i].pid, sig);
	rc = rig_reap(&hosts[i]);
	if (sig == SIGTERM && rc != 0)
		violation("a process did not end as it should", hosts[i].id);
	versions[i] = 0;
	rig_start_host(&hosts[i]);
}

/* One fault, which may last; the next ones overlap it. */
static void
strike(struct rng *r)
{
	int h = (int)rng_below(r, n_hosts);
	int t = (int)rng_below(r, TARGETS);
	int link = rng_below(r, 2) == 0 ? host_links[h] : target_links[t];

	switch (rng_below(r, 14)) {
	case 0:
		proxy_reset(proxy, link);
		break;
	case 1:
		proxy_silence(proxy, link);
		break;
	case 2:
	case 3:
		proxy_set(proxy, link,
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
		world_store(world, (enum world_store)rng_below(r, 4));
		break;
	case 9:
		world_forget(world);
		break;
	case 10:
		world_drain_target(world, targets[t].id);
		break;
	case 11:
		world_stop_target(world, targets[t].id, true);
		break;
	default:
		put_config();
		break;
	}
}

static void
heal(struct rng *r, bool all)
{
	for (int i = 0; i < n_hosts; i++) {
		if (all || rng_below(r, 3) == 0)
			proxy_set(proxy, host_links[i], PROXY_NONE);
	}
	for (int i = 0; i < TARGETS; i++) {
		if (!all && rng_below(r, 3) != 0)
			continue;
		proxy_set(proxy, target_links[i], PROXY_NONE);
		world_stop_target(world, targets[i].id, false);
		world_ready_target(world, targets[i].id);
	}
	if (all || rng_below(r, 2) == 0)
		world_store(world, WORLD_STORE_OK);
}

/* Whether a host serves every kind, and the newest route. */
static bool
serves_all(int i, int round)
{
	bool ok = true;

	for (size_t k = 0; ok && k <= G_N_ELEMENTS(kinds); k++) {
		bool newest = k == G_N_ELEMENTS(kinds);
		g_autofree char *id = g_strdup_printf("%s-end-%d-%d-%zu",
		    newest ? "v" : kinds[k].prefix, i, round, k);
		g_autofree char *path = newest
		    ? g_strdup_printf("/v%d/", version)
		    : g_strdup(kinds[k].path);
		g_autofree char *q =
		    rig_request(&(struct rig_request){ .path = path,
			.id = id,
			.more = newest ? NULL : kinds[k].more });
		struct rig_answer a;

		rig_talk(hosts[i].port, str_from(q), 3000, &a);
		ok = a.status == 200 && a.whole;
		rig_answer_free(&a);
	}
	return ok;
}

static void
check_recovery(void)
{
	usec_t until = clock_now() + CALM_SECONDS * USEC_PER_SEC;

	for (int i = 0; i < n_hosts; i++) {
		int round = 0;

		while (!serves_all(i, round++) && clock_now() < until)
			g_usleep(100000);
		if (!serves_all(i, round))
			violation("a host does not serve again", hosts[i].id);
	}
}

static void
check_drain(void)
{
	usec_t told = clock_now();

	world_drain_target(world, "p1");
	g_usleep(2 * DRAIN_BOUND);
	if (world_last_call(world, "p1") > told + DRAIN_BOUND)
		violation("a leaving target got a call", "p1");
	world_ready_target(world, "p1");
}

static void
check_refused(void)
{
	for (int i = 0; i < n_refused; i++) {
		struct world_seen s;

		if (world_seen(world, refused[i], &s) && s.runs > 0)
			violation("told not run, and it ran", refused[i]);
	}
}

static void
open_all(void)
{
	char *dir = g_dir_make_tmp("soak-XXXXXX", NULL);

	printf("logs in %s\n", dir);
	refused = xcalloc(MAX_REFUSED, sizeof(*refused));
	world = world_start(STORE_PORT);
	proxy = proxy_start();
	for (int i = 0; i < TARGETS; i++) {
		target_links[i] =
		    proxy_link(proxy, targets[i].via, targets[i].port);
		world_add_target(world, &targets[i]);
	}
	put_config();
	for (int i = 0; i < n_hosts; i++) {
		struct rig_host *h = &hosts[i];

		h->port = (uint16_t)(HOST_PORT + 4 * i);
		h->store = (uint16_t)(LINK_PORT + i);
		h->seed = HOST_PORT;
		snprintf(h->id, sizeof(h->id), "h%d", i + 1);
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		host_links[i] = proxy_link(proxy, h->store, STORE_PORT);
		rig_start_host(h);
	}
	for (int i = 0; i < n_hosts; i++) {
		if (!rig_wait_ready(&hosts[i], CALM_SECONDS))
			violation("a host does not become ready", hosts[i].id);
	}
	g_free(dir);
}

static void
run_faults(uint64_t seed, int seconds)
{
	struct rng r;
	usec_t until = clock_now() + seconds * USEC_PER_SEC;

	rng_init(&r, seed);
	while (clock_now() < until) {
		strike(&r);
		if (rng_below(&r, 3) == 0)
			heal(&r, false);
		check_version((int)rng_below(&r, n_hosts));
		g_usleep(100000 + rng_below(&r, 400000));
	}
	heal(&r, true);
}

static void
stop_all(struct caller *callers)
{
	for (int i = 0; i < n_hosts; i++) {
		kill(hosts[i].pid, SIGTERM);
		if (rig_reap(&hosts[i]) != 0)
			violation(
			    "a process did not end as it should", hosts[i].id);
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

	if (argc > 3 && atoi(argv[3]) > 0 && atoi(argv[3]) <= MAX_HOSTS)
		n_hosts = atoi(argv[3]);

	signal(SIGPIPE, SIG_IGN);
	open_all();
	for (int i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		rng_init(&callers[i].rng, seed * 100 + (uint64_t)i);
		pthread_create(
		    &callers[i].thread, NULL, run_caller, &callers[i]);
	}
	run_faults(seed, seconds);
	put_config();
	check_recovery();
	atomic_store(&calm, true);
	g_usleep(4 * USEC_PER_SEC);
	check_drain();
	stop_all(callers);
	if (world_doubles(world) > 0)
		violation("requests ran twice", "once");
	check_refused();
	proxy_stop(proxy);
	world_stop(world);
	printf("seed %llu: %lu sent, %lu complete, %d refused, %d violations\n",
	    (unsigned long long)seed, atomic_load(&sent),
	    atomic_load(&complete), n_refused, atomic_load(&violations));
	free(refused);
	return atomic_load(&violations) > 0;
}
