/*
 * Fault soak: several sequoiad processes with a fake platform, callers that
 * send requests continuously, and random overlapping faults from outside.
 *
 *   Usage: soak [SEED [SECONDS [HOSTS [PORT]]]]
 *
 * With 16 hosts or more, some receive the changes of the store from other
 * hosts.  PORT is the first of 300 ports on loopback.  With an even seed the
 * work on hosts and targets is planned: no host is killed, no target stops
 * without notice, and connections to targets are not reset or cut; targets may
 * fall silent for a while.  With two seeds of three, one of the hosts places
 * the requests to engines, and may be lost or stand still like the others.
 *
 * Most callers keep their connections and go on sending until these close.
 * None of their whole requests may end with neither a complete answer nor a
 * refusal, unless judge.h excuses it; with planned work, this holds for answers
 * that have begun too.
 *
 * Some streams last longer than a host drains or than its grace period.  Hosts
 * get SIGTERM while others still drain, while they start, and while they stand
 * still, so that they handle it late.  What is sent after that is refused or
 * answered whole, as the targets take no longer than before; a cut of what was
 * sent sooner has a line in the host's log, and each stop one with its counts.
 * A host exits within its grace period.
 *
 * Meanwhile others send what takes much memory: answers without end, large
 * bodies, and answers that they take slowly.
 *
 * Checked during the run and after it: a host holds no more bytes than its
 * memory allows, and refuses no small request for that; a request that may run
 * once runs at most once; a request that was refused as not executed never ran;
 * a complete answer is that of its request, a stream of one software version;
 * the configuration version of a process never decreases; processes exit with
 * status 0 on SIGTERM.  After the faults every host serves every kind of
 * request with the newest configuration, a leaving target gets no calls, nor do
 * those of an evacuated domain, and SIGTERM aborts no answer.
 */
#include "tests/platform/load.h"
#include "tests/soak/soak.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_HOSTS    4     /* without the argument HOSTS */
#define DEFAULT_PORT     22900 /* without the argument PORT */
/* Offsets of the first port of each kind. */
#define TARGET_PORTS     10
#define TARGET_PROXIES   30
#define FLOOD_PORTS      45
#define HOST_PORTS       60
#define STORE_PROXIES    200 /* one for each host */
#define RECOVERY_SECONDS 15  /* until full service */
/*
 * Time after which a leaving target gets no calls: the platform's documented
 * limit plus the delay of the fake platform.
 */
/* The platform's bound EvacuateMs. */
#define EVACUATE_BOUND   (5 * USEC_PER_SEC)
#define DRAIN_BOUND      (2500 * USEC_PER_MSEC)
/* The platform's bound EvacuateMs. */
#define EVACUATE_BOUND   (5 * USEC_PER_SEC)
/*
 * The platform's bound for a target that names a limit of one request a second:
 * from LIMIT_DELAY on, at most LIMIT_ALLOWED requests in LIMIT_SPAN.
 */
#define LIMIT_DELAY      (3 * USEC_PER_SEC)
#define LIMIT_SPAN       (4 * USEC_PER_SEC)
#define LIMIT_ALLOWED    11
/*
 * The bound of the soak's configuration for a cold target, once the hosts have
 * read its entry.
 */
#define COLD_MS          6000
#define COLD_DELAY       (1 * USEC_PER_SEC)
#define COLD_ALLOWED     6
/* Of a check in which the soak's own process pauses. */
#define PAUSE_TRIES      3
#define EXIT_POLL        (10 * USEC_PER_MSEC)
#define STOP_GAP         (200 * USEC_PER_MSEC)
#define FED_HOSTS        16 /* from here on some get changes from others */
#define MEMORY_MB        160
#define RESTORED_CHANGES 500
/* Without disruption of the store, until its answers bind hosts. */
#define STABLE_TIME      (3 * USEC_PER_SEC)
#define WATCH_INTERVAL   (50 * USEC_PER_MSEC)
#define PAUSE_LIMIT      (500 * USEC_PER_MSEC)
/* A pause beyond this may disturb the callers' times. */
#define GAP_LIMIT        (100 * USEC_PER_MSEC)

struct soak soak = { .n_hosts = DEFAULT_HOSTS, .version = 1 };

static int first_port = DEFAULT_PORT;

/* Their ports are offsets. */
const struct fakeplat_target soak_targets[SOAK_TARGETS] = {
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

void
soak_report(const char *what, const char *id)
{
	atomic_fetch_add(&soak.violations, 1);
	printf("VIOLATION %s: %s\n", what, id);
	fflush(stdout);
}

/* Checks that the configuration version of a process does not decrease. */
static void
check_version(int i, const char *metrics)
{
	int64_t v = load_metric_in(metrics, "sequoia_config_version");

	if (v < 0)
		return;
	if ((uint64_t)v < atomic_load(&soak.last_versions[i]))
		soak_report(
		    "a configuration version decreased", soak.hosts[i].id);
	soak.last_versions[i] = (uint64_t)v;
}

/* A host that stands still or is being started doesn't answer. */
static void
check_host(int i)
{
	struct harness_response a;

	harness_exchange(soak.hosts[i].port + 1,
	    STR("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: "
		"close\r\n\r\n"),
	    500, &a);
	if (a.status == 200 && a.complete) {
		check_version(i, a.body.p);
		loads_check(i, a.body.p);
	}
	harness_response_free(&a);
}

/*
 * Returns whether a host serves every kind of request, and the newest route;
 * prints the request that it doesn't serve.
 */
static bool
serves_all(int i, int attempt)
{
	bool ok = true;

	for (size_t k = 0; ok && k <= SOAK_KINDS; k++) {
		bool newest = k == SOAK_KINDS;
		g_autofree char *id = g_strdup_printf("%s-end-%d-%d-%zu",
		    newest ? "v" : soak_kinds[k].prefix, i, attempt, k);
		g_autofree char *path = newest
		    ? g_strdup_printf("/v%d/", soak.version)
		    : g_strdup(soak_kinds[k].path);
		g_autofree char *q =
		    harness_format(&(struct harness_request){ .path = path,
			.id = id,
			.extra_fields =
			    newest ? NULL : soak_kinds[k].extra_fields });
		struct harness_response a;
		usec_t start = clock_now();

		harness_exchange(soak.hosts[i].port, str_from(q), 3000, &a);
		ok = a.status == 200 && a.complete;
		if (!ok)
			printf("%s: %s is not served: status %d after "
			       "%lld ms, %zu bytes\n",
			    soak.hosts[i].id, id, a.status,
			    (long long)((clock_now() - start) / USEC_PER_MSEC),
			    a.raw.n);
		harness_response_free(&a);
	}
	return ok;
}

/* Whether a host serves all by a time, and then once more. */
static bool
recovers(int i, usec_t deadline, int *attempts)
{
	while (!serves_all(i, (*attempts)++) && clock_now() < deadline)
		g_usleep(100000);
	return serves_all(i, (*attempts)++);
}

static void
check_recovery(void)
{
	usec_t start = clock_now();

	for (int i = 0; i < soak.n_hosts; i++) {
		int attempts = 0;
		bool ok = false;

		for (int k = 0; k < PAUSE_TRIES && !ok; k++) {
			ok = recovers(i,
			    start + RECOVERY_SECONDS * USEC_PER_SEC, &attempts);
			if (ok)
				break;
			g_usleep((gulong)(2 * WATCH_INTERVAL));
			if (!judge_paused(start, clock_now()))
				break;
			start = clock_now();
		}
		if (!ok)
			soak_report("a host does not serve all requests again",
			    soak.hosts[i].id);
	}
}

/* Changes after the copy, so that the store's revision goes back far. */
static void
copy_store(void)
{
	fakeplat_copy_store(soak.platform);
	for (int i = 0; i < RESTORED_CHANGES; i++) {
		g_autofree char *key = g_strdup_printf("op/note-%d", i);

		fakeplat_put(soak.platform, key, "{}");
	}
	g_usleep((gulong)USEC_PER_SEC);
}

/*
 * A target leaves; the store is restored before that, or after it from a copy
 * in which the target does not leave.
 */
static void
check_drain(void)
{
	bool before = soak.n_hosts >= FED_HOSTS;
	bool after = soak.planned && !before;
	usec_t drained_at = 0;

	for (int i = 0; i < PAUSE_TRIES; i++) {
		fakeplat_ready_target(soak.platform, "p1");
		g_usleep((gulong)USEC_PER_SEC);
		if (before || after)
			copy_store();
		if (before) {
			fakeplat_restore_store(soak.platform);
			g_usleep((gulong)STABLE_TIME);
		}
		drained_at = clock_now();
		fakeplat_drain_target(soak.platform, "p1");
		g_usleep((gulong)DRAIN_BOUND);
		if (after)
			fakeplat_restore_store(soak.platform);
		g_usleep((gulong)DRAIN_BOUND);
		/* A store that pauses tells the hosts late. */
		if (!judge_paused(drained_at, drained_at + DRAIN_BOUND))
			break;
	}
	if (fakeplat_last_call(soak.platform, "p1") > drained_at + DRAIN_BOUND)
		soak_report("a leaving target got a call", "p1");
	fakeplat_ready_target(soak.platform, "p1");
}

/*
 * A failure domain is evacuated: with many hosts, or in every second seed, the
 * store is then restored from a copy that lacks it.  Once it is taken back, its
 * targets are used again.
 */
static void
check_evacuation(void)
{
	static const char *const ids[] = { "p2", "e2", "s2" };
	usec_t at = 0;
	usec_t last = 0;

	for (int i = 0; i < PAUSE_TRIES; i++) {
		faults_evacuate(false);
		copy_store();
		at = clock_now();
		faults_evacuate(true);
		g_usleep((gulong)STABLE_TIME);
		if (soak.n_hosts >= FED_HOSTS || soak.planned)
			fakeplat_restore_store(soak.platform);
		g_usleep((gulong)EVACUATE_BOUND);
		if (!judge_paused(at, at + EVACUATE_BOUND))
			break;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		if (fakeplat_last_call(soak.platform, ids[i]) >
		    at + EVACUATE_BOUND)
			soak_report(
			    "a target of an evacuated domain got a call",
			    ids[i]);
	}
	faults_evacuate(true);
	faults_evacuate(false);
	at = clock_now();
	g_usleep((gulong)EVACUATE_BOUND);
	/* A service may have cheaper targets in the hosts' own domain. */
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		last = MAX(last, fakeplat_last_call(soak.platform, ids[i]));
	if (last < at)
		soak_report("an evacuated domain is not used again", "d2");
}

/* Limits that one target of each service names hold for all hosts together. */
static void
check_limits(void)
{
	static const char *const ids[] = { "p2", "e2", "s2" };
	usec_t since = clock_now();

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		fakeplat_set_limit(soak.platform, ids[i], "1");
	g_usleep((gulong)(LIMIT_DELAY + LIMIT_SPAN + USEC_PER_SEC));
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		uint32_t most = fakeplat_most_arrivals(
		    soak.platform, ids[i], since + LIMIT_DELAY, LIMIT_SPAN);

		if (most > LIMIT_ALLOWED) {
			printf("%s: %u requests in 4 s\n", ids[i], most);
			soak_report("a target got more than its limit", ids[i]);
		}
		fakeplat_set_limit(soak.platform, ids[i], NULL);
	}
}

/*
 * One target of each service becomes cold, while it is busy.  Two coordinators
 * may call the stage service's for a while.
 */
static void
check_cold(void)
{
	static const char *const ids[] = { "p3", "e3", "s3" };
	usec_t since = clock_now();

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		fakeplat_set_cold(soak.platform, ids[i], COLD_MS);
	g_usleep(COLD_MS * USEC_PER_MSEC);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		uint32_t most = fakeplat_most_arrivals(
		    soak.platform, ids[i], since + COLD_DELAY, USEC_PER_SEC);

		printf("%s: %u requests in 1 s while cold\n", ids[i], most);
		if (most > COLD_ALLOWED)
			soak_report("a cold target got too much", ids[i]);
	}
}

static void
start_all(void)
{
	char *dir = g_dir_make_tmp("soak-XXXXXX", NULL);

	printf("logs in %s\n", dir);
	soak.platform = fakeplat_start((uint16_t)first_port);
	/* Without it a host can miss a restore while it doesn't reach the
	 * store. */
	fakeplat_name_era(soak.platform);
	soak.proxy = proxy_start();
	for (int i = 0; i < SOAK_TARGETS; i++) {
		struct fakeplat_target t = soak_targets[i];

		/* The fake engines take any number of requests at once. */
		t.slots = 64;
		t.port = (uint16_t)(t.port + first_port);
		t.published_port = (uint16_t)(t.published_port + first_port);
		soak.target_links[i] =
		    proxy_link(soak.proxy, t.published_port, t.port);
		fakeplat_add_target(soak.platform, &t);
	}
	faults_put_config();
	for (int i = 0; i < soak.n_hosts; i++) {
		struct harness_host *h = &soak.hosts[i];

		h->port = (uint16_t)(first_port + HOST_PORTS + 4 * i);
		h->store_port = (uint16_t)(first_port + STORE_PROXIES + i);
		h->seed_port = (uint16_t)(first_port + HOST_PORTS);
		snprintf(h->id, sizeof(h->id), "h%d", i + 1);
		h->memory_mb = MEMORY_MB;
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		soak.store_links[i] =
		    proxy_link(soak.proxy, h->store_port, (uint16_t)first_port);
		/* With some seeds a host places the requests of all. */
		h->placer_min_hosts = soak.seed % 3 != 1 ? 2 : 0;
		harness_start_host(h);
	}
	for (int i = 0; i < soak.n_hosts; i++) {
		if (!harness_wait_ready(&soak.hosts[i], RECOVERY_SECONDS))
			soak_report(
			    "a host does not become ready", soak.hosts[i].id);
	}
	g_free(dir);
}

/*
 * Notes the times in which this process, which runs the platform's stand-in,
 * the proxy and the callers, did not run itself.
 */
static void *
watch_pauses(void *arg)
{
	usec_t start = clock_now();
	usec_t last = start;

	(void)arg;
	while (!atomic_load(&soak.stopping)) {
		usec_t now;

		g_usleep(WATCH_INTERVAL);
		/* Waits for the stand-in's lock, as its own thread does. */
		fakeplat_last_call(soak.platform, "p1");
		now = clock_now();
		if (now - last > WATCH_INTERVAL + GAP_LIMIT)
			judge_pause(last, now);
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

/* Waits for the exit of a host that has been told to stop. */
static void
await_exit(int i)
{
	if (harness_wait_exit(&soak.hosts[i]) != 0)
		soak_report(
		    "a process did not exit with status 0", soak.hosts[i].id);
	stops_end(i);
}

/*
 * Notes the exits of hosts for a time, as they come; returns whether no host is
 * left.
 */
static bool
await_exits(usec_t time)
{
	usec_t end = clock_now() + time;
	int left;

	do {
		left = 0;
		g_usleep((gulong)EXIT_POLL);
		for (int i = 0; i < soak.n_hosts; i++) {
			if (soak.hosts[i].pid == 0)
				continue;
			if (stops_has_exited(i))
				await_exit(i);
			else
				left++;
		}
	} while (left > 0 && clock_now() < end);
	return left == 0;
}

/* Stops the hosts one by one, or so that their stops overlap. */
static void
stop_all(void)
{
	bool overlap =
	    soak.planned || soak.n_hosts >= FED_HOSTS || soak.seed % 4 == 1;

	for (int i = 0; i < soak.n_hosts; i++) {
		stops_begin(i);
		if (!overlap)
			await_exit(i);
		else
			await_exits(STOP_GAP);
	}
	while (overlap && !await_exits(EXIT_POLL))
		;
	atomic_store(&soak.stopping, true);
}

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	int seconds = argc > 2 ? atoi(argv[2]) : 20;
	pthread_t watch;

	if (argc > 3 && atoi(argv[3]) > 0 && atoi(argv[3]) <= SOAK_MAX_HOSTS)
		soak.n_hosts = atoi(argv[3]);
	if (argc > 4)
		first_port = atoi(argv[4]);

	soak.seed = seed;
	soak.planned = seed % 2 == 0;

	signal(SIGPIPE, SIG_IGN);
	start_all();
	pthread_create(&watch, NULL, watch_pauses, NULL);
	loads_start(seed, (uint16_t)(first_port + FLOOD_PORTS));
	callers_start(seed);
	faults_run(seed, seconds, check_host);
	faults_put_config();
	check_recovery();
	atomic_store(&soak.faults_over, true);
	g_usleep(4 * USEC_PER_SEC);
	loads_stop();
	for (int i = 0; i < soak.n_hosts; i++)
		check_host(i);
	check_drain();
	check_evacuation();
	check_limits();
	check_cold();
	stop_all();
	callers_stop();
	pthread_join(watch, NULL);
	if (fakeplat_count_duplicates(soak.platform) > 0)
		soak_report("requests ran twice", "once");
	if (fakeplat_count_mixed(soak.platform) > 0)
		soak_report("results of another request", "stages");
	stops_report();
	callers_report(seed);
	proxy_stop(soak.proxy);
	fakeplat_stop(soak.platform);
	return atomic_load(&soak.violations) > 0;
}
