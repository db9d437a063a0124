/*
 * Evacuations of failure domains, learned in every way in which a host may come
 * late to one: as the store is cut off from it, those that feed it die, it
 * starts, or the store is restored from a copy without it.  From the platform's
 * bound on, the domain's targets must get no request and no stage call until
 * the evacuation is taken back, and must be used again then, also at a host
 * that learns the end from a listing only.
 */
#include "tests/platform/harness.h"
#include "tests/soak/proxy.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define STORE_PORT      23000
#define TARGET_PORT     23001
#define PROXY_PORT      23020
#define HOST_PORT       23050
#define HOSTS           18 /* some get the store's changes from others */
#define PORTS_PER_HOST  3
#define CALLERS         36
#define TIMEOUT_SECONDS 30
#define DEADLINE_MS     2000
#define CALL_PAUSE      (50 * USEC_PER_MSEC)
#define SETTLE_TIME     (3 * USEC_PER_SEC)
/* The platform's bounds EvacuateMs and, for paths that are cut, StableMs. */
#define EVACUATE_TIME   (5 * USEC_PER_SEC)
#define STABLE_TIME     (4 * USEC_PER_SEC)
#define WATCH_TIME      (2 * USEC_PER_SEC)
/* A request that can't be served is rejected within this time. */
#define REJECT_MS       500

enum trouble {
	TROUBLE_NONE,
	TROUBLE_CUT,       /* half of the hosts don't reach the store */
	TROUBLE_AWAY,      /* nobody does, once some have learned it */
	TROUBLE_KILL,      /* half of the hosts die, feeders among them */
	TROUBLE_RESTORE,   /* the store comes back without the item */
	TROUBLE_END_UNSEEN /* it is taken back while nobody sees the store */
};

static const struct evacuated_case {
	const char *name;
	enum trouble trouble;
} cases[] = {
	{ "written", TROUBLE_NONE },
	{ "cut-store", TROUBLE_CUT },
	{ "store-away", TROUBLE_AWAY },
	{ "feeders-die", TROUBLE_KILL },
	{ "taken-back-unseen", TROUBLE_END_UNSEEN },
	{ "restored", TROUBLE_RESTORE },
};

static const struct fakeplat_target targets[] = {
	{ "p1", "plain", "d1", TARGET_PORT },
	{ "p2", "plain", "d2", TARGET_PORT + 1 },
	{ "e1", "engine", "d1", TARGET_PORT + 2 },
	{ "e2", "engine", "d2", TARGET_PORT + 3 },
	{ "s1", "pool", "d1", TARGET_PORT + 4 },
	{ "s2", "pool", "d2", TARGET_PORT + 5 },
};

static const struct {
	const char *path, *prefix, *extra_fields;
} kinds[] = {
	{ "/safe/1", "safe", "" },
	{ "/once/1", "once", "" },
	{ "/stream/staged/1", "st", "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n" },
};

static struct fakeplat *platform;
static struct proxy *proxy;
static int links[HOSTS];
static struct harness_host hosts[HOSTS];
static atomic_bool stopping;

static int
send_request(int host, int kind, const char *id, struct harness_response *a)
{
	g_autofree char *q =
	    harness_format(&(struct harness_request){ .path = kinds[kind].path,
		.id = id,
		.extra_fields = kinds[kind].extra_fields,
		.deadline_ms = DEADLINE_MS });

	harness_exchange(hosts[host].port, str_from(q), 2 * DEADLINE_MS, a);
	return a->status;
}

static void *
run_caller(void *arg)
{
	int number = *(const int *)arg;
	int kind = number % (int)G_N_ELEMENTS(kinds);

	for (int n = 0; !atomic_load(&stopping); n++) {
		g_autofree char *id =
		    g_strdup_printf("%s-%d-%d", kinds[kind].prefix, number, n);
		struct harness_response a;

		send_request((number + n) % HOSTS, kind, id, &a);
		harness_response_free(&a);
		g_usleep((gulong)CALL_PAUSE);
	}
	return NULL;
}

static void
start_host(int i)
{
	struct harness_host *h = &hosts[i];

	h->port = (uint16_t)(HOST_PORT + PORTS_PER_HOST * i);
	h->store_port = (uint16_t)(PROXY_PORT + i);
	h->seed_port = HOST_PORT;
	snprintf(h->id, sizeof(h->id), "h%d", i);
	harness_start_host(h);
}

static void
wait_ready(void)
{
	for (int i = 0; i < HOSTS; i++)
		g_assert_true(harness_wait_ready(&hosts[i], TIMEOUT_SECONDS));
	g_usleep((gulong)SETTLE_TIME);
}

static void
set_stores(int first, enum proxy_listen how)
{
	for (int i = first; i < HOSTS; i++) {
		proxy_set_listen(proxy, links[i], how);
		if (how != PROXY_ACCEPT)
			proxy_reset(proxy, links[i]);
	}
}

/* Every second host dies and starts again; the rest go on. */
static void
kill_half(int odd)
{
	for (int i = odd; i < HOSTS; i += 2)
		kill(hosts[i].pid, SIGKILL);
	for (int i = odd; i < HOSTS; i += 2) {
		harness_wait_exit(&hosts[i]);
		start_host(i);
	}
}

static void
evacuate(const char *domain, bool begins)
{
	g_autofree char *key = g_strconcat("op/evacuate/", domain, NULL);

	if (begins)
		fakeplat_put(platform, key, "{}");
	else
		fakeplat_delete(platform, key);
}

/* Returns how many requests reached the domain's targets after a time. */
static uint32_t
count_arrivals(const char *domain, usec_t after)
{
	uint32_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		uint32_t k = fakeplat_arrivals(platform, targets[i].id, after);

		if (strcmp(targets[i].domain, domain) != 0)
			continue;
		g_test_message("%s: %u requests", targets[i].id, k);
		n += k;
	}
	return n;
}

/* Whether a host shows the domain as evacuated, and counts its targets. */
static bool
shows(int host, bool evacuated)
{
	static const char query[] =
	    "GET /status HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
	struct harness_response a;
	bool ok;

	harness_exchange(
	    hosts[host].port + 1, str_from(query), DEADLINE_MS, &a);
	ok = a.status == 200 && a.body.p != NULL &&
	    (strstr(a.body.p, "{\"failure_domain\":\"d2\"") != NULL) ==
		evacuated &&
	    (strstr(a.body.p, "\"evacuated_targets\":3") != NULL) == evacuated;
	harness_response_free(&a);
	return ok;
}

static usec_t
begin(enum trouble trouble)
{
	usec_t at;

	switch (trouble) {
	case TROUBLE_CUT:
		set_stores(HOSTS / 2, PROXY_REFUSE);
		g_usleep((gulong)STABLE_TIME);
		break;
	case TROUBLE_RESTORE:
		fakeplat_copy_store(platform);
		break;
	default:
		break;
	}
	evacuate("d2", true);
	at = clock_now();
	switch (trouble) {
	case TROUBLE_KILL:
		kill_half(0);
		kill_half(1);
		wait_ready();
		break;
	case TROUBLE_AWAY:
		g_usleep((gulong)(300 * USEC_PER_MSEC));
		set_stores(0, PROXY_REFUSE);
		break;
	case TROUBLE_RESTORE:
		g_usleep((gulong)SETTLE_TIME);
		fakeplat_restore_store(platform);
		break;
	default:
		break;
	}
	return at;
}

static void
run_case(gconstpointer arg)
{
	const struct evacuated_case *x = arg;
	usec_t at = begin(x->trouble);

	g_usleep((gulong)(EVACUATE_TIME + WATCH_TIME));
	g_assert_cmpuint(count_arrivals("d2", at + EVACUATE_TIME), ==, 0);
	g_assert_cmpuint(count_arrivals("d1", at + EVACUATE_TIME), >, 0);
	for (int i = 0; i < HOSTS; i++)
		g_assert_true(shows(i, true));
	if (x->trouble == TROUBLE_END_UNSEEN)
		set_stores(0, PROXY_REFUSE);
	if (x->trouble == TROUBLE_RESTORE)
		evacuate("d2", true);
	evacuate("d2", false);
	fakeplat_compact(platform);
	set_stores(0, PROXY_ACCEPT);
	g_usleep((gulong)EVACUATE_TIME);
	at = clock_now();
	g_usleep((gulong)WATCH_TIME);
	g_assert_cmpuint(count_arrivals("d2", at), >, 0);
	for (int i = 0; i < HOSTS; i++)
		g_assert_true(shows(i, false));
}

/* Nothing waits for targets that take nothing; odd keys change nothing. */
static void
test_all(void)
{
	usec_t at = clock_now();

	evacuate("", true);
	evacuate("d 1", true);
	evacuate("unknown", true);
	g_usleep((gulong)SETTLE_TIME);
	g_assert_cmpuint(count_arrivals("d1", at + USEC_PER_SEC), >, 0);
	g_assert_cmpuint(count_arrivals("d2", at + USEC_PER_SEC), >, 0);
	evacuate("d1", true);
	evacuate("d2", true);
	at = clock_now();
	g_usleep((gulong)EVACUATE_TIME);
	for (int i = 0; i < HOSTS * (int)G_N_ELEMENTS(kinds); i++) {
		g_autofree char *id = g_strdup_printf("all-%d", i);
		usec_t sent_at = clock_now();
		struct harness_response a;

		g_assert_cmpint(
		    send_request(i % HOSTS, i / HOSTS, id, &a), ==, 503);
		g_assert_nonnull(strstr(a.raw.p, "Retry-After"));
		g_assert_cmpint(
		    clock_now() - sent_at, <, REJECT_MS * USEC_PER_MSEC);
		harness_response_free(&a);
	}
	g_assert_cmpuint(count_arrivals("d1", at + EVACUATE_TIME), ==, 0);
	evacuate("d1", false);
	evacuate("d2", false);
	evacuate("unknown", false);
}

static void
start_fleet(void)
{
	g_autofree char *c = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("evacuated-XXXXXX", NULL);

	platform = fakeplat_start(STORE_PORT);
	fakeplat_name_era(platform);
	proxy = proxy_start();
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		fakeplat_add_target(platform, &targets[i]);
	fakeplat_put(platform, "op/config", c);
	g_test_message("logs in %s", dir);
	for (int i = 0; i < HOSTS; i++) {
		links[i] =
		    proxy_link(proxy, (uint16_t)(PROXY_PORT + i), STORE_PORT);
		g_strlcpy(hosts[i].dir, dir, sizeof(hosts[i].dir));
		start_host(i);
	}
	wait_ready();
}

int
main(int argc, char **argv)
{
	pthread_t callers[CALLERS];
	int numbers[CALLERS];
	int rc;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	signal(SIGPIPE, SIG_IGN);
	start_fleet();
	for (int i = 0; i < CALLERS; i++) {
		numbers[i] = i;
		pthread_create(&callers[i], NULL, run_caller, &numbers[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strconcat("/evacuated/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], run_case);
	}
	g_test_add_func("/evacuated/all-domains", test_all);
	rc = g_test_run();
	atomic_store(&stopping, true);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(callers[i], NULL);
	for (int i = 0; i < HOSTS; i++) {
		kill(hosts[i].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[i]), ==, 0);
	}
	proxy_stop(proxy);
	fakeplat_stop(platform);
	return rc;
}
