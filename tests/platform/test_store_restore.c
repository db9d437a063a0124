/*
 * The store comes back from a copy some seconds old: its revision goes back and
 * what was written since is gone.  Hosts must not use targets again that they
 * know to leave, and must learn what changes from then on, also those that get
 * the changes of the store from other hosts.
 */
#include "tests/platform/harness.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define STORE_PORT      24500
#define TARGET_PORT     24501
#define HOST_PORT       24520
#define PORTS_PER_HOST  3
#define HOSTS           18 /* some get the store's changes from others */
#define CALLERS         36
#define TIMEOUT_SECONDS 30
#define DEADLINE_MS     3000
#define CALL_PAUSE      (30 * USEC_PER_MSEC)
/* Until all hosts have seen what a target or the store says. */
#define NOTICE_TIME     (1500 * USEC_PER_MSEC)
#define AWAY_TIME       (300 * USEC_PER_MSEC)
/* The calls that wait end, then the feeds are silent, then all hosts ask. */
#define LONG_AWAY_TIME  (5 * USEC_PER_SEC)
/* Hosts have written again by then what the store doesn't have. */
#define REWRITE_TIME    (6 * USEC_PER_SEC)
#define WATCH_TIME      (2 * USEC_PER_SEC)
/* The item is looked at each second. */
#define GAPS_TIME       (3 * USEC_PER_SEC)
#define GAPS_KEY        "sequoia/streams/gaps"
/* The platform's bounds StableMs and DrainMs. */
#define STABLE_TIME     (3 * USEC_PER_SEC)
#define DRAIN_TIME      (2 * USEC_PER_SEC)
/* Changes before the restore that are lost, or after it. */
#define CHANGES         40

enum departure {
	LEAVES_IN_ANSWERS, /* says so before the restore, its entry is removed
			    */
	LEAVES_DRAINING,   /* its entry says so before the restore */
	LEAVES_AFTER,      /* its entry is removed after the restore */
	LEAVES_AWAY        /* and before hosts reach the store again */
};

static const struct restore_case {
	const char *name;
	enum departure departure;
	bool one_host; /* the others haven't started yet */
} cases[] = {
	{ "leaving-target", LEAVES_IN_ANSWERS, true },
	{ "draining-target", LEAVES_DRAINING, true },
	{ "removed-target", LEAVES_AFTER, false },
	{ "removed-target-era", LEAVES_AFTER, false },
	{ "revisions-given-again-era", LEAVES_AWAY, false },
};

struct caller {
	pthread_t thread;
	int number;
};

static struct fakeplat *platform;
static struct harness_host hosts[HOSTS + 1];
static atomic_bool stopping;
static atomic_int n_hosts;
static uint32_t n_changes;

static void *
run_caller(void *arg)
{
	const struct caller *c = arg;

	for (int n = 0; !atomic_load(&stopping); n++) {
		int h = c->number % atomic_load(&n_hosts);
		g_autofree char *id =
		    g_strdup_printf("safe-%d-%d", c->number, n);
		g_autofree char *q = harness_format(&(struct harness_request){
		    .path = "/safe/1", .id = id, .deadline_ms = DEADLINE_MS });
		struct harness_response a;

		harness_exchange(
		    hosts[h].port, str_from(q), 2 * DEADLINE_MS, &a);
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
	h->store_port = STORE_PORT;
	h->seed_port = HOST_PORT;
	snprintf(h->id, sizeof(h->id), "h%d", i);
	if (i > 0)
		g_strlcpy(h->dir, hosts[0].dir, sizeof(h->dir));
	harness_start_host(h);
}

static void
start_fleet(int n)
{
	if (n <= atomic_load(&n_hosts))
		return;
	for (int i = atomic_load(&n_hosts); i < n; i++)
		start_host(i);
	for (int i = atomic_load(&n_hosts); i < n; i++)
		g_assert_true(harness_wait_ready(&hosts[i], TIMEOUT_SECONDS));
	g_usleep(3 * USEC_PER_SEC);
	atomic_store(&n_hosts, n);
}

static void
make_changes(void)
{
	for (int i = 0; i < CHANGES; i++) {
		g_autofree char *key =
		    g_strdup_printf("op/note-%u", n_changes++);

		fakeplat_put(platform, key, "{}");
	}
}

static void
restore(const struct restore_case *x, const char *key)
{
	fakeplat_set_store_mode(platform, FAKEPLAT_STORE_RESET);
	fakeplat_restore_store(platform);
	if (x->departure == LEAVES_AWAY) {
		fakeplat_delete(platform, key);
		make_changes();
		make_changes();
	}
	g_usleep((gulong)AWAY_TIME);
	fakeplat_set_store_mode(platform, FAKEPLAT_STORE_OK);
}

static void
run_case(gconstpointer arg)
{
	const struct restore_case *x = arg;
	const char *id = x->name;
	g_autofree char *key = g_strconcat("servers/", id, NULL);
	usec_t left_at;
	uint32_t n;

	if (g_str_has_suffix(x->name, "-era"))
		fakeplat_name_era(platform);
	start_fleet(x->one_host ? 1 : HOSTS);
	fakeplat_add_target(platform,
	    &(struct fakeplat_target){
		id, "plain", "d1", (uint16_t)(TARGET_PORT + 1 + (x - cases)) });
	g_usleep((gulong)NOTICE_TIME);
	g_assert_cmpuint(fakeplat_arrivals(platform, id, 0), >, 0);
	fakeplat_copy_store(platform);
	make_changes();
	fakeplat_set_leaving(platform, id, x->departure == LEAVES_IN_ANSWERS);
	if (x->departure == LEAVES_DRAINING)
		fakeplat_drain_target(platform, id);
	left_at = clock_now();
	g_usleep((gulong)NOTICE_TIME);
	if (x->departure == LEAVES_IN_ANSWERS) {
		fakeplat_delete(platform, key);
		g_usleep((gulong)NOTICE_TIME);
	}
	restore(x, key);
	if (x->departure == LEAVES_AFTER) {
		g_usleep((gulong)WATCH_TIME);
		fakeplat_delete(platform, key);
	}
	/* What the store acknowledges before it is stable doesn't bind. */
	if (x->departure == LEAVES_AWAY)
		g_usleep((gulong)STABLE_TIME);
	if (x->departure == LEAVES_AFTER || x->departure == LEAVES_AWAY)
		left_at = clock_now();
	g_usleep((gulong)(DRAIN_TIME + WATCH_TIME));
	n = fakeplat_arrivals(platform, id, left_at + DRAIN_TIME);
	g_test_message("%u requests too late", n);
	g_assert_cmpuint(n, ==, 0);
	g_assert_cmpuint(
	    fakeplat_arrivals(platform, "stays", left_at + DRAIN_TIME), >, 0);
	fakeplat_delete(platform, key);
}

static int
request_status(const struct harness_host *h, const char *path)
{
	g_autofree char *q = harness_format(
	    &(struct harness_request){ .path = path, .id = "safe-config" });
	struct harness_response a;
	int status;

	harness_exchange(h->port, str_from(q), DEADLINE_MS, &a);
	status = a.status;
	harness_response_free(&a);
	return status;
}

/*
 * The restored store has an older configuration.  A host that starts then must
 * get the one that the others have acknowledged from these.
 */
static void
test_config(void)
{
	g_autofree char *newer = harness_config(2,
	    ",{\"Name\":\"new\",\"Host\":\"a.example\",\"Prefix\":\"/new/\","
	    "\"Kind\":\"idempotent\",\"TimeoutMs\":8000,\"SloMs\":1000,"
	    "\"Attempts\":2,\"Service\":\"plain\"}");

	start_fleet(1);
	fakeplat_copy_store(platform);
	fakeplat_put(platform, "op/config", newer);
	g_usleep((gulong)NOTICE_TIME);
	g_assert_cmpint(request_status(&hosts[0], "/new/1"), ==, 200);
	restore(&cases[0], "");
	g_usleep((gulong)WATCH_TIME);
	g_assert_cmpint(request_status(&hosts[0], "/new/1"), ==, 200);
	start_host(HOSTS);
	g_assert_true(harness_wait_ready(&hosts[HOSTS], TIMEOUT_SECONDS));
	g_usleep((gulong)(DRAIN_TIME + WATCH_TIME));
	g_assert_cmpint(request_status(&hosts[HOSTS], "/new/1"), ==, 200);
}

static bool
takes_store_for_away(const struct harness_host *h)
{
	struct harness_response a;
	bool away;

	harness_exchange(h->port + 1,
	    STR("GET /metrics HTTP/1.1\r\nHost: h\r\n"
		"Connection: close\r\n\r\n"),
	    DEADLINE_MS, &a);
	g_assert_cmpint(a.status, ==, 200);
	away = strstr(a.body.p, "\nsequoia_store_away 0") == NULL;
	harness_response_free(&a);
	return away;
}

/*
 * All hosts ask a store that is away for longer than a feed may be silent. Once
 * it is back, those that are fed again must notice it, too.
 */
static void
test_away(void)
{
	start_fleet(HOSTS);
	fakeplat_set_store_mode(platform, FAKEPLAT_STORE_RESET);
	g_usleep((gulong)LONG_AWAY_TIME);
	for (int i = 0; i < HOSTS; i++)
		g_assert_true(takes_store_for_away(&hosts[i]));
	fakeplat_set_store_mode(platform, FAKEPLAT_STORE_OK);
	g_usleep((gulong)STABLE_TIME);
	for (int i = 0; i < HOSTS; i++)
		g_assert_false(takes_store_for_away(&hosts[i]));
}

/* The copy is of before the hosts' start: they write theirs again. */
static void
test_rewritten(void)
{
	static const char *const keys[] = { "sequoia/hosts", "sequoia/versions",
		"sequoia/quarantine/0123456789abcdef" };
	g_autofree char *quarantine =
	    g_strdup_printf("1\t%" PRId64 "\t600000\t0123456789abcdef",
		clock_wall() / USEC_PER_MSEC + 600000);
	char *values[G_N_ELEMENTS(keys)];

	g_usleep((gulong)REWRITE_TIME);
	fakeplat_put(platform, keys[2], quarantine);
	g_usleep((gulong)NOTICE_TIME);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		values[i] = fakeplat_get(platform, keys[i]);
		g_assert_nonnull(values[i]);
	}
	restore(&cases[0], "");
	g_usleep((gulong)REWRITE_TIME);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		g_autofree char *now = fakeplat_get(platform, keys[i]);

		g_assert_cmpstr(now, ==, values[i]);
		g_free(values[i]);
	}
}

/* Writes the item of the gaps with one of a service, noted at a second. */
static void
put_gaps(int64_t second, const char *service)
{
	g_autofree char *value = g_strdup_printf(
	    "1 %" PRId64 "\n%s  %" PRId64 " v1\n", second, service, second);

	fakeplat_put(platform, GAPS_KEY, value);
}

static bool
has_gap(const char *service)
{
	g_autofree char *name = g_strdup_printf("\n%s  ", service);
	g_autofree char *value = fakeplat_get(platform, GAPS_KEY);

	return value != NULL && strstr(value, name) != NULL;
}

/*
 * The services whose streams may have no record are noted in the store.  It is
 * restored from a copy without that item, an older one takes its place, or one
 * that can't be read: hosts write again what they know, or all would take such
 * streams for those of the base version after their loss.
 */
static void
test_gaps(void)
{
	int64_t second = clock_wall() / USEC_PER_SEC;

	start_fleet(1);
	fakeplat_copy_store(platform);
	put_gaps(second, "newer");
	g_usleep((gulong)NOTICE_TIME);
	restore(&cases[0], "");
	g_assert_false(has_gap("newer"));
	g_usleep((gulong)GAPS_TIME);
	g_assert_true(has_gap("newer"));
	put_gaps(second - 5, "older");
	g_usleep((gulong)GAPS_TIME);
	g_assert_true(has_gap("newer"));
	g_assert_false(has_gap("older"));
	fakeplat_put(platform, GAPS_KEY, "1 99999999999999\n");
	g_usleep((gulong)GAPS_TIME);
	g_assert_true(has_gap("newer"));
}

static void
start_platform(void)
{
	g_autofree char *c = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("store-restore-XXXXXX", NULL);

	platform = fakeplat_start(STORE_PORT);
	fakeplat_add_target(platform,
	    &(struct fakeplat_target){ "stays", "plain", "d1", TARGET_PORT });
	fakeplat_put(platform, "op/config", c);
	fakeplat_copy_store(platform);
	g_strlcpy(hosts[0].dir, dir, sizeof(hosts[0].dir));
	start_fleet(1);
}

int
main(int argc, char **argv)
{
	struct caller callers[CALLERS];
	int rc;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	signal(SIGPIPE, SIG_IGN);
	start_platform();
	for (int i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		pthread_create(
		    &callers[i].thread, NULL, run_caller, &callers[i]);
	}
	g_test_add_func("/store-restore/written-again", test_rewritten);
	g_test_add_func("/store-restore/configuration", test_config);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strconcat("/store-restore/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], run_case);
	}
	g_test_add_func("/store-restore/gaps", test_gaps);
	g_test_add_func("/store-restore/away", test_away);
	rc = g_test_run();
	atomic_store(&stopping, true);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
	for (int i = 0; i <= HOSTS; i++) {
		if (hosts[i].pid == 0)
			continue;
		kill(hosts[i].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[i]), ==, 0);
	}
	fakeplat_stop(platform);
	return rc;
}
