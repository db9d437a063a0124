/*
 * Hosts that lose their paths to all targets, while callers, store and the
 * other hosts still reach them: from StableMs after the cut began, first
 * attempts at them are to be served at least two thirds as often as elsewhere.
 *
 * There are two groups of hosts.  Each has a store of its own, whose entries
 * name the targets by the addresses of the group's proxy.
 *
 * With SEQUOIAD_OLD (tests/platform/harness.h) some hosts run that program,
 * which may make no calls for others; at those that are cut off nothing is
 * counted.  SEQUOIAD_OLD_HOSTS has a bit for each of them.
 */
#include "tests/platform/harness.h"
#include "tests/soak/proxy.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GROUPS          2
#define GROUP_HOSTS     2
#define HOSTS           (GROUPS * GROUP_HOSTS)
#define STORE_PORT      23400
#define HOST_PORT       23410
#define TARGET_PORT     23440
#define PROXY_PORT      23460
#define GROUP_PORTS     20 /* between the ports of two groups */
#define CALLERS         16
#define TIMEOUT_SECONDS 15
#define DEADLINE_MS     2000
#define CALL_PAUSE      (30 * USEC_PER_MSEC)
/* The platform's bound StableMs, and how long is counted after it. */
#define STABLE_TIME     (3 * USEC_PER_SEC)
#define COUNT_TIME      (4 * USEC_PER_SEC)
#define HEAL_TIME       (3 * USEC_PER_SEC)
#define STREAMS         16
/* A stalled stream is read for this long: its two events arrive by then. */
#define STALL_READ_MS   400
#define NEW_ENGINE      "e3"

static const struct {
	const char *path, *prefix, *extra_fields;
} kinds[] = {
	{ "/safe/1", "safe", "" },
	{ "/once/1", "once", "" },
	{ "/stream/1", "s", "" },
	{ "/stream/staged/1", "st", "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n" },
};

static const struct {
	const char *id, *service;
} targets[] = {
	{ "p1", "plain" },
	{ "p2", "plain" },
	{ "p3", "plain" },
	{ "e1", "engine" },
	{ "e2", "engine" },
	{ "e3", "engine" },
	{ "s1", "pool" },
	{ "s2", "pool" },
	{ "s3", "pool" },
};
#define TARGETS G_N_ELEMENTS(targets)

/* What becomes of the connections that are open when the cut begins. */
enum open_conns {
	OPEN_SILENT,
	OPEN_RESET,
	OPEN_LIVE
};

/* One group holds the coordinator of the stage service. */
static const struct cut_case {
	const char *name;
	int group;
	enum proxy_listen listen;
	enum open_conns open;
} cases[] = {
	{ "silent-1", 0, PROXY_HANG, OPEN_SILENT },
	{ "silent-2", 1, PROXY_HANG, OPEN_SILENT },
	{ "reset-1", 0, PROXY_REFUSE, OPEN_RESET },
	{ "reset-2", 1, PROXY_REFUSE, OPEN_RESET },
	{ "live-1", 0, PROXY_REFUSE, OPEN_LIVE },
	{ "live-2", 1, PROXY_HANG, OPEN_LIVE },
};

struct caller {
	pthread_t thread;
	int number;
};

struct host_counts {
	atomic_uint sent;
	atomic_uint served;
};

static struct fakeplat *stores[GROUPS];
static struct proxy *proxy;
static int links[GROUPS][TARGETS];
static struct harness_host hosts[HOSTS];
static struct host_counts counts[HOSTS];
static atomic_bool counting;
static atomic_bool stopping;

static void
send_request(const struct caller *c, int n)
{
	size_t kind = (size_t)c->number % G_N_ELEMENTS(kinds);
	int host = (c->number / (int)G_N_ELEMENTS(kinds) + n) % HOSTS;
	struct host_counts *counts_of = &counts[host];
	bool counted = atomic_load(&counting);
	g_autofree char *id =
	    g_strdup_printf("%s-%d-%d", kinds[kind].prefix, c->number, n);
	g_autofree char *q =
	    harness_format(&(struct harness_request){ .path = kinds[kind].path,
		.id = id,
		.extra_fields = kinds[kind].extra_fields,
		.deadline_ms = DEADLINE_MS });
	struct harness_response a;

	harness_exchange(hosts[host].port, str_from(q), DEADLINE_MS, &a);
	if (counted) {
		atomic_fetch_add(&counts_of->sent, 1);
		if (a.status == 200 && a.complete)
			atomic_fetch_add(&counts_of->served, 1);
	}
	harness_response_free(&a);
}

static void *
run_caller(void *arg)
{
	const struct caller *c = arg;

	for (int n = 0; !atomic_load(&stopping); n++) {
		send_request(c, n);
		g_usleep((gulong)CALL_PAUSE);
	}
	return NULL;
}

/*
 * The targets of the first group are those that all proxies lead to; those of
 * the other groups only write entries.
 */
static void
start_group(int group, const char *config)
{
	stores[group] = fakeplat_start((uint16_t)(STORE_PORT + group));
	for (size_t i = 0; i < TARGETS; i++) {
		uint16_t at = (uint16_t)(PROXY_PORT + GROUP_PORTS * group + i);

		links[group][i] =
		    proxy_link(proxy, at, (uint16_t)(TARGET_PORT + i));
		fakeplat_add_target(stores[group],
		    &(struct fakeplat_target){ .id = targets[i].id,
			.service = targets[i].service,
			.domain = "d1",
			.port = (uint16_t)(group == 0 ? TARGET_PORT + i
						      : PROXY_PORT +
				    GROUP_PORTS * (GROUPS + group) + i),
			.published_port = at });
	}
	fakeplat_put(stores[group], "op/config", config);
}

static void
start_fleet(void)
{
	g_autofree char *c = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("cut-hosts-XXXXXX", NULL);
	const char *old = g_getenv("SEQUOIAD_OLD") != NULL
	    ? g_getenv("SEQUOIAD_OLD_HOSTS")
	    : NULL;

	proxy = proxy_start();
	for (int i = 0; i < GROUPS; i++)
		start_group(i, c);
	for (int i = 0; i < HOSTS; i++) {
		struct harness_host *h = &hosts[i];

		h->port = (uint16_t)(HOST_PORT + 4 * i);
		h->store_port = (uint16_t)(STORE_PORT + i / GROUP_HOSTS);
		h->seed_port = HOST_PORT;
		h->old = old != NULL && (atoi(old) >> i & 1) != 0;
		snprintf(h->id, sizeof(h->id), "h%d", i + 1);
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		harness_start_host(h);
	}
	g_test_message("logs in %s", dir);
	for (int i = 0; i < HOSTS; i++)
		g_assert_true(harness_wait_ready(&hosts[i], TIMEOUT_SECONDS));
	g_usleep(USEC_PER_SEC);
}

static void
cut(const struct cut_case *x)
{
	for (size_t i = 0; i < TARGETS; i++) {
		int link = links[x->group][i];

		proxy_set_listen(proxy, link, x->listen);
		switch (x->open) {
		case OPEN_SILENT:
			proxy_silence(proxy, link);
			break;
		case OPEN_RESET:
			proxy_reset(proxy, link);
			break;
		case OPEN_LIVE:
			break;
		}
	}
}

static void
heal(const struct cut_case *x)
{
	for (size_t i = 0; i < TARGETS; i++)
		proxy_set_listen(proxy, links[x->group][i], PROXY_ACCEPT);
}

/* Returns the share of the requests that the hosts of a group served. */
static double
share_served(int group, bool is_cut)
{
	unsigned int sent = 0;
	unsigned int served = 0;

	for (int i = group * GROUP_HOSTS; i < (group + 1) * GROUP_HOSTS; i++) {
		g_test_message("%s%s%s: %u of %u served", hosts[i].id,
		    hosts[i].old ? ", old" : "", is_cut ? ", cut off" : "",
		    atomic_load(&counts[i].served),
		    atomic_load(&counts[i].sent));
		if (hosts[i].old && is_cut)
			continue;
		sent += atomic_load(&counts[i].sent);
		served += atomic_load(&counts[i].served);
	}
	return sent > 0 ? (double)served / sent : 1;
}

static void
run_case(gconstpointer arg)
{
	const struct cut_case *x = arg;
	double served[GROUPS];
	int other = 1 - x->group;

	for (int i = 0; i < HOSTS; i++) {
		atomic_store(&counts[i].sent, 0);
		atomic_store(&counts[i].served, 0);
	}
	cut(x);
	g_usleep((gulong)STABLE_TIME);
	atomic_store(&counting, true);
	g_usleep((gulong)COUNT_TIME);
	atomic_store(&counting, false);
	/* The last ones that count end by then. */
	g_usleep((gulong)(DEADLINE_MS * USEC_PER_MSEC));
	heal(x);
	for (int i = 0; i < GROUPS; i++)
		served[i] = share_served(i, i == x->group);
	g_usleep((gulong)HEAL_TIME);
	/* The users' alert: over a tenth of the requests aren't served. */
	g_assert_cmpfloat(served[other], >=, 0.9);
	g_assert_cmpfloat(served[x->group], >=, served[other] * 2 / 3);
	g_assert_cmpuint(fakeplat_count_duplicates(stores[0]), ==, 0);
}

/* Engines of another version serve beside the others. */
static void
publish_versions(void)
{
	for (int i = 0; i < GROUPS; i++) {
		for (size_t n = 0; n < TARGETS; n++) {
			const char *id = targets[n].id;

			if (*id != 'e')
				continue;
			fakeplat_restart_target(stores[i], id,
			    strcmp(id, NEW_ENGINE) == 0 ? "new" : "old");
			fakeplat_ready_target(stores[i], id);
		}
	}
	g_usleep((gulong)HEAL_TIME);
}

/* Sends a request for a stream; adds to what the caller has of it. */
static void
read_stream(int host, const char *id, bool resumes, struct buf *got)
{
	g_autofree char *attempt = g_strconcat(id, resumes ? "-2" : "", NULL);
	g_autofree char *fields = resumes
	    ? g_strdup_printf("Last-Event-Id: 2\r\nResumes: %s\r\n", id)
	    : g_strdup("");
	g_autofree char *q =
	    harness_format(&(struct harness_request){ .path = "/stream/1",
		.id = attempt,
		.behavior = resumes ? NULL : "stall",
		.extra_fields = fields,
		.deadline_ms = DEADLINE_MS });
	struct harness_response a;

	harness_exchange(hosts[host].port, str_from(q),
	    resumes ? DEADLINE_MS : STALL_READ_MS, &a);
	buf_put(got, str_of(&a.body));
	harness_response_free(&a);
}

static bool
has_version(const struct buf *got, const char *version)
{
	return got->n > 0 && strstr(got->p, version) != NULL;
}

/*
 * The hosts that call targets by way of others begin streams, and resume them
 * when the targets have restarted with another version, before their entries
 * arrive.
 */
static void
run_restart_case(void)
{
	const struct cut_case *x = &cases[3];
	int first = x->group * GROUP_HOSTS;
	struct buf got[STREAMS] = { 0 };
	int begun = 0;
	int mixed = 0;

	publish_versions();
	cut(x);
	g_usleep((gulong)STABLE_TIME);
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("r-%d", i);

		read_stream(first, id, false, &got[i]);
		begun += has_version(&got[i], "@old");
	}
	for (size_t n = 0; n < TARGETS; n++) {
		if (*targets[n].id == 'e')
			fakeplat_restart_target(
			    stores[0], targets[n].id, "new");
	}
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("r-%d", i);

		read_stream(first + 1, id, true, &got[i]);
		mixed += has_version(&got[i], "@old") &&
		    has_version(&got[i], "@new");
		buf_free(&got[i]);
	}
	heal(x);
	g_test_message(
	    "%d streams of the old version, %d of two", begun, mixed);
	g_assert_cmpint(begun, >=, STREAMS / 4);
	g_assert_cmpint(mixed, ==, 0);
}

static void
stop_fleet(struct caller *v)
{
	atomic_store(&stopping, true);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(v[i].thread, NULL);
	for (int i = 0; i < HOSTS; i++) {
		kill(hosts[i].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[i]), ==, 0);
	}
	proxy_stop(proxy);
	for (int i = 0; i < GROUPS; i++)
		fakeplat_stop(stores[i]);
}

int
main(int argc, char **argv)
{
	struct caller callers[CALLERS];
	int rc;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	signal(SIGPIPE, SIG_IGN);
	start_fleet();
	for (int i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		pthread_create(
		    &callers[i].thread, NULL, run_caller, &callers[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strdup_printf("/cut-hosts/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], run_case);
	}
	g_test_add_func("/cut-hosts/restarted-targets", run_restart_case);
	rc = g_test_run();
	stop_fleet(callers);
	return rc;
}
