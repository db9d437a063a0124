/*
 * A host that can't reach the store takes what it lacks from another host. That
 * one may lag behind: a target whose entry the first host has seen removed must
 * not come back with the state of the other, neither while the store is away
 * nor after its return.
 */
#include "tests/platform/harness.h"
#include "tests/soak/proxy.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>

#define STORE_PORT      24700
#define TARGET_PORT     24701
#define HOST_PORT       24710
#define PROXY_PORT      24730 /* where a host reaches the store */
#define HOSTS           2
#define AHEAD           0 /* the host that callers use */
#define BEHIND          1
#define CALLERS         4
#define TIMEOUT_SECONDS 15
#define DEADLINE_MS     2000
#define CALL_PAUSE      (20 * USEC_PER_MSEC)
/* Hosts know of each other by then, and of a change in the store. */
#define SETTLE_TIME     (2500 * USEC_PER_MSEC)
#define NOTICE_TIME     (200 * USEC_PER_MSEC)
#define AWAY_TIME       (3 * USEC_PER_SEC)
#define RESTORE_TIME    (300 * USEC_PER_MSEC)
/* The listing of a restored store has begun by then, and takes longer. */
#define LISTING_TIME    (800 * USEC_PER_MSEC)
/* Changes before the restore, and after it. */
#define CHANGES         40
/* The platform's bounds StableMs and DrainMs. */
#define STABLE_TIME     (3 * USEC_PER_SEC)
#define DRAIN_TIME      (2 * USEC_PER_SEC)
#define COUNT_TIME      (4 * USEC_PER_SEC)

static const struct state_case {
	const char *name;
	bool era; /* the store names its era */
	/* The state is of before a restore, and arrives during the listing. */
	bool restored;
} cases[] = {
	{ "older-state", false, false },
	{ "older-state-era", true, false },
	{ "state-of-before-a-restore", true, true },
};

static struct fakeplat *platform;
static struct proxy *proxy;
static int links[HOSTS];
static struct harness_host hosts[HOSTS];
static atomic_bool stopping;

static void *
run_caller(void *arg)
{
	int number = *(const int *)arg;

	for (int n = 0; !atomic_load(&stopping); n++) {
		g_autofree char *id = g_strdup_printf("safe-%d-%d", number, n);
		g_autofree char *q = harness_format(&(struct harness_request){
		    .path = "/safe/1", .id = id, .deadline_ms = DEADLINE_MS });
		struct harness_response a;

		harness_exchange(
		    hosts[AHEAD].port, str_from(q), 2 * DEADLINE_MS, &a);
		harness_response_free(&a);
		g_usleep((gulong)CALL_PAUSE);
	}
	return NULL;
}

static void
start_fleet(void)
{
	g_autofree char *c = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("peer-state-XXXXXX", NULL);

	platform = fakeplat_start(STORE_PORT);
	proxy = proxy_start();
	fakeplat_add_target(platform,
	    &(struct fakeplat_target){ "stays", "plain", "d1", TARGET_PORT });
	fakeplat_put(platform, "op/config", c);
	for (int i = 0; i < HOSTS; i++) {
		struct harness_host *h = &hosts[i];

		h->port = (uint16_t)(HOST_PORT + 4 * i);
		h->store_port = (uint16_t)(PROXY_PORT + i);
		links[i] = proxy_link(proxy, h->store_port, STORE_PORT);
		h->seed_port = HOST_PORT;
		snprintf(h->id, sizeof(h->id), "h%d", i + 1);
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		harness_start_host(h);
		g_assert_true(harness_wait_ready(h, TIMEOUT_SECONDS));
	}
}

static void
make_changes(int n)
{
	for (int i = 0; i < n; i++)
		fakeplat_put(platform, "op/note", "{}");
}

static void
set_links(enum proxy_listen ahead, enum proxy_fault behind)
{
	proxy_set_listen(proxy, links[AHEAD], ahead);
	proxy_set_fault(proxy, links[BEHIND], behind);
}

/* The removal is in the store only, which is restored. */
static void
restore(const char *key)
{
	fakeplat_set_page_items(platform, 1);
	proxy_set_fault(proxy, links[AHEAD], PROXY_DELAY);
	fakeplat_copy_store(platform);
	make_changes(CHANGES);
	g_usleep((gulong)NOTICE_TIME);
	set_links(PROXY_REFUSE, PROXY_CUT_BOTH);
	kill(hosts[BEHIND].pid, SIGSTOP);
	fakeplat_restore_store(platform);
	fakeplat_delete(platform, key);
	make_changes(2 * CHANGES);
	proxy_reset(proxy, links[AHEAD]);
	g_usleep((gulong)RESTORE_TIME);
	proxy_set_listen(proxy, links[AHEAD], PROXY_ACCEPT);
	g_usleep((gulong)LISTING_TIME);
	kill(hosts[BEHIND].pid, SIGCONT);
	g_usleep((gulong)STABLE_TIME);
}

/* The host ahead has seen the removal, and loses the store. */
static void
cut(const char *name, const char *key)
{
	g_autofree char *gone =
	    g_strdup_printf("event=target-gone id=\"%s\"", name);

	set_links(PROXY_ACCEPT, PROXY_CUT_BOTH);
	g_usleep((gulong)NOTICE_TIME);
	fakeplat_delete(platform, key);
	g_assert_true(harness_wait_log(&hosts[AHEAD], gone, TIMEOUT_SECONDS));
	set_links(PROXY_REFUSE, PROXY_CUT_BOTH);
	proxy_reset(proxy, links[AHEAD]);
}

static void
run_case(gconstpointer arg)
{
	const struct state_case *x = arg;
	g_autofree char *key = g_strconcat("servers/", x->name, NULL);
	usec_t left_at;
	uint32_t n;

	if (x->era)
		fakeplat_name_era(platform);
	fakeplat_add_target(platform,
	    &(struct fakeplat_target){ x->name, "plain", "d1",
		(uint16_t)(TARGET_PORT + 1 + (x - cases)) });
	g_usleep((gulong)SETTLE_TIME);
	g_assert_cmpuint(fakeplat_arrivals(platform, x->name, 0), >, 0);
	if (x->restored)
		restore(key);
	else
		cut(x->name, key);
	left_at = clock_now();
	g_usleep((gulong)AWAY_TIME);
	set_links(PROXY_ACCEPT, PROXY_NONE);
	g_usleep((gulong)COUNT_TIME);
	n = fakeplat_arrivals(platform, x->name, left_at + DRAIN_TIME);
	g_test_message("%u requests too late", n);
	g_assert_cmpuint(n, ==, 0);
	g_assert_cmpuint(
	    fakeplat_arrivals(platform, "stays", left_at + DRAIN_TIME), >, 0);
}

static void
set_stores(enum proxy_listen how)
{
	for (int i = 0; i < HOSTS; i++) {
		proxy_set_listen(proxy, links[i], how);
		if (how != PROXY_ACCEPT)
			proxy_reset(proxy, links[i]);
	}
}

/*
 * A host takes the state of another one, which then loses the store too.  An
 * entry that lapses meanwhile still has its time to come back.
 */
static void
test_lapse(void)
{
	static const char key[] = "servers/lapses";
	g_autofree char *entry = NULL;
	usec_t back_at;
	uint32_t n;

	fakeplat_add_target(platform,
	    &(struct fakeplat_target){ "lapses", "plain", "d1",
		(uint16_t)(TARGET_PORT + 1 + G_N_ELEMENTS(cases)) });
	entry = fakeplat_get(platform, key);
	g_usleep((gulong)SETTLE_TIME);
	set_links(PROXY_REFUSE, PROXY_NONE);
	proxy_reset(proxy, links[AHEAD]);
	g_usleep((gulong)AWAY_TIME);
	set_stores(PROXY_REFUSE);
	fakeplat_delete(platform, key);
	g_usleep((gulong)NOTICE_TIME);
	set_stores(PROXY_ACCEPT);
	g_usleep((gulong)LISTING_TIME);
	back_at = clock_now();
	g_usleep((gulong)LISTING_TIME);
	n = fakeplat_arrivals(platform, "lapses", back_at);
	fakeplat_put(platform, key, entry);
	g_test_message("%u requests", n);
	g_assert_cmpuint(n, >, 0);
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
		    g_strconcat("/peer-state/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], run_case);
	}
	g_test_add_func("/peer-state/entry-lapses", test_lapse);
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
