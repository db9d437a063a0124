/*
 * A host that is out of step while targets of another version join: streams
 * begin on these at another host, break, and are resumed at the host that
 * lists one version only.  A stream must have events of one version only.
 */
#include "tests/platform/harness.h"
#include "tests/soak/proxy.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define STORE_PORT      24400
#define HOST_PORT       24410
#define PROXY_PORT      24440 /* where a host reaches the store */
#define TARGET_PORT     24450
#define HOSTS           4
#define BEGIN_HOST      0 /* where the streams begin */
#define STREAMS         8
#define TIMEOUT_SECONDS 15
#define DEADLINE_MS     3000
/* Two events of a stalled stream arrive by then, even if its recorder fails. */
#define STALL_READ_MS   700
/* Hosts in step know of a changed target by then. */
#define LIST_TIME       (400 * USEC_PER_MSEC)
/* Hosts know of each other, and of the store's return, by then. */
#define SETTLE_TIME     (2500 * USEC_PER_MSEC)
/* For so long a host reckons with versions that had left when it started. */
#define WARM_UP_TIME    (61 * USEC_PER_SEC)

enum fault {
	STOPPED,
	CUT_FROM_STORE,
	RESTARTED
};

static const struct stale_case {
	const char *name;
	enum fault fault;  /* of the host where the streams are resumed */
	usec_t time;       /* how long it is stopped before that */
	bool target_dies;  /* else: the host where they began is killed */
	bool others_stand; /* the other hosts stand still */
} cases[] = {
	{ "stopped-for-1s", STOPPED, 1 * USEC_PER_SEC, false, false },
	{ "stopped-for-4s", STOPPED, 4 * USEC_PER_SEC, false, false },
	{ "stopped-without-others", STOPPED, 2 * USEC_PER_SEC, false, true },
	{ "stopped-and-the-target-dies", STOPPED, 1 * USEC_PER_SEC, true,
	    false },
	{ "without-the-store", CUT_FROM_STORE, 0, false, false },
	{ "without-store-and-others", CUT_FROM_STORE, 0, false, true },
	{ "restarted", RESTARTED, 0, false, false },
};

struct stream {
	GThread *thread;
	const struct stale_case *x;
	int number;
	bool again; /* it is resumed again */
	char id[64];
	bool old; /* has events of the old version */
	bool new; /* has events of the new version */
	bool complete;
	int status; /* of the last answer */
};

static struct fakeplat *platform;
static struct proxy *proxy;
static struct harness_host hosts[HOSTS];
static char names[G_N_ELEMENTS(cases)][3][8]; /* service, old, new target */

static int
number_of(const struct stale_case *x)
{
	return (int)(x - cases);
}

/*
 * Returns the host that is out of step, where the streams are resumed: each in
 * turn, as one records the streams of all.
 */
static int
stale_host(const struct stale_case *x)
{
	return 1 + number_of(x) % (HOSTS - 1);
}

static void
add_target(int i, const char *version, uint16_t port)
{
	bool new = strcmp(version, "new") == 0;

	fakeplat_add_target(platform,
	    &(struct fakeplat_target){ .id = names[i][new ? 2 : 1],
		.service = names[i][0],
		.domain = "d1",
		.port = port,
		.version = version });
	if (new) {
		g_autofree char *key =
		    g_strconcat("servers/", names[i][2], NULL);

		fakeplat_delete(platform, key);
	}
}

/* A service for each case, as versions are remembered for a minute. */
static char *
add_services(void)
{
	static const char services_begin[] = "\"Services\":[";
	g_autoptr(GString) routes = g_string_new(NULL);
	g_autoptr(GString) services = g_string_new(services_begin);
	g_autofree char *c = NULL;
	g_auto(GStrv) parts = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint16_t port = (uint16_t)(TARGET_PORT + 2 * i);

		snprintf(names[i][0], sizeof(names[i][0]), "s%zu", i);
		snprintf(names[i][1], sizeof(names[i][1]), "o%zu", i);
		snprintf(names[i][2], sizeof(names[i][2]), "n%zu", i);
		add_target((int)i, "old", port);
		add_target((int)i, "new", port + 1);
		g_string_append_printf(routes,
		    ",{\"Name\":\"%s\",\"Host\":\"a.example\","
		    "\"Prefix\":\"/stream/%s/\",\"Kind\":\"streaming\","
		    "\"TimeoutMs\":8000,\"SloMs\":1000,\"Attempts\":2,"
		    "\"CanResume\":true,\"Service\":\"%s\"}",
		    names[i][0], names[i][0], names[i][0]);
		g_string_append_printf(services,
		    "{\"Name\":\"%s\",\"MaxConns\":99},", names[i][0]);
	}
	c = harness_config(1, routes->str);
	parts = g_strsplit(c, services_begin, 2);
	return g_strjoin(services->str, parts[0], parts[1], NULL);
}

static void
start_host(struct harness_host *h)
{
	harness_start_host(h);
	g_assert_true(harness_wait_ready(h, TIMEOUT_SECONDS));
}

static void
start_fleet(void)
{
	g_autofree char *dir = g_dir_make_tmp("stale-hosts-XXXXXX", NULL);
	g_autofree char *c = NULL;

	platform = fakeplat_start(STORE_PORT);
	proxy = proxy_start();
	c = add_services();
	fakeplat_put(platform, "op/config", c);
	for (int i = 0; i < HOSTS; i++) {
		struct harness_host *h = &hosts[i];

		h->port = (uint16_t)(HOST_PORT + 4 * i);
		h->store_port = (uint16_t)(PROXY_PORT + i);
		proxy_link(proxy, h->store_port, STORE_PORT);
		h->seed_port = HOST_PORT;
		snprintf(h->id, sizeof(h->id), "h%d", i + 1);
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		start_host(h);
	}
	g_usleep((gulong)WARM_UP_TIME);
}

static void
read_answer(struct stream *s, const struct harness_response *a)
{
	if (a->body.n > 0) {
		s->old = s->old || strstr(a->body.p, "@old") != NULL;
		s->new = s->new || strstr(a->body.p, "@new") != NULL;
	}
	s->complete = a->status == 200 && a->complete;
	s->status = a->status;
}

static void
send_stream(struct stream *s, struct harness_request *q, int host, int wait_ms)
{
	g_autofree char *path =
	    g_strdup_printf("/stream/%s/1", names[number_of(s->x)][0]);
	g_autofree char *bytes = NULL;
	struct harness_response a;

	q->path = path;
	q->deadline_ms = DEADLINE_MS;
	bytes = harness_format(q);
	harness_exchange(hosts[host].port, str_from(bytes), wait_ms, &a);
	read_answer(s, &a);
	harness_response_free(&a);
}

static gpointer
begin_stream(gpointer arg)
{
	struct stream *s = arg;

	snprintf(s->id, sizeof(s->id), "s-%d-%d", number_of(s->x), s->number);
	send_stream(s,
	    &(struct harness_request){ .id = s->id, .behavior = "stall" },
	    BEGIN_HOST, STALL_READ_MS);
	return NULL;
}

static gpointer
resume_stream(gpointer arg)
{
	struct stream *s = arg;
	g_autofree char *id =
	    g_strconcat(s->id, s->again ? "-third" : "-second", NULL);
	g_autofree char *fields =
	    g_strdup_printf("Last-Event-Id: 2\r\nResumes: %s\r\n", s->id);

	send_stream(s,
	    &(struct harness_request){ .id = id, .extra_fields = fields },
	    stale_host(s->x), 2 * DEADLINE_MS);
	return NULL;
}

static void
start_all(struct stream *v, GThreadFunc run)
{
	for (int i = 0; i < STREAMS; i++)
		v[i].thread = g_thread_new(NULL, run, &v[i]);
}

static void
join_all(struct stream *v)
{
	for (int i = 0; i < STREAMS; i++)
		g_thread_join(v[i].thread);
}

static void
signal_others(const struct stale_case *x, int signal_number)
{
	for (int i = 0; i < HOSTS; i++) {
		if (i != BEGIN_HOST && i != stale_host(x))
			kill(hosts[i].pid, signal_number);
	}
}

static void
begin_fault(const struct stale_case *x)
{
	switch (x->fault) {
	case STOPPED:
		kill(hosts[stale_host(x)].pid, SIGSTOP);
		break;
	case CUT_FROM_STORE:
		proxy_set_fault(proxy, stale_host(x), PROXY_CUT_BOTH);
		break;
	case RESTARTED:
		kill(hosts[stale_host(x)].pid, SIGKILL);
		harness_wait_exit(&hosts[stale_host(x)]);
		break;
	}
}

static void
break_streams(const struct stale_case *x)
{
	if (x->target_dies) {
		fakeplat_stop_target(platform, names[number_of(x)][2], true);
	} else {
		kill(hosts[BEGIN_HOST].pid, SIGKILL);
		harness_wait_exit(&hosts[BEGIN_HOST]);
	}
	if (x->others_stand)
		signal_others(x, SIGSTOP);
}

/* The callers come to the host as it goes on. */
static void
resume_all(const struct stale_case *x, struct stream *v)
{
	if (x->fault == RESTARTED)
		start_host(&hosts[stale_host(x)]);
	start_all(v, resume_stream);
	if (x->fault == STOPPED) {
		g_usleep((gulong)(100 * USEC_PER_MSEC));
		kill(hosts[stale_host(x)].pid, SIGCONT);
	}
	join_all(v);
}

static void
end_fault(const struct stale_case *x)
{
	proxy_set_fault(proxy, stale_host(x), PROXY_NONE);
	signal_others(x, SIGCONT);
	if (x->target_dies)
		fakeplat_stop_target(platform, names[number_of(x)][2], false);
	else
		start_host(&hosts[BEGIN_HOST]);
	g_usleep((gulong)SETTLE_TIME);
}

static void
check(const struct stream *v, bool all)
{
	/* A host may call a target that dies before it knows of that. */
	bool may_fail = v[0].x->target_dies && !all;
	int mixed = 0;
	int complete = 0;
	int rejected = 0;
	int new = 0;

	for (int i = 0; i < STREAMS; i++) {
		mixed += v[i].old && v[i].new;
		complete += v[i].complete;
		rejected +=
		    v[i].status == 503 || (may_fail && v[i].status == 502);
		new += v[i].new;
	}
	g_test_message("%d streams of two versions, %d complete, %d rejected, "
		       "%d with events of the new version",
	    mixed, complete, rejected, new);
	g_assert_cmpint(mixed, ==, 0);
	g_assert_cmpint(complete + rejected, ==, STREAMS);
	g_assert_cmpint(new, >, 0);
	if (all)
		g_assert_cmpint(complete, ==, STREAMS);
}

static void
run_case(gconstpointer arg)
{
	const struct stale_case *x = arg;
	struct stream v[STREAMS];

	for (int i = 0; i < STREAMS; i++)
		v[i] = (struct stream){ .x = x, .number = i };
	begin_fault(x);
	fakeplat_ready_target(platform, names[number_of(x)][2]);
	g_usleep((gulong)LIST_TIME);
	start_all(v, begin_stream);
	join_all(v);
	if (x->time > 0)
		g_usleep((gulong)x->time);
	break_streams(x);
	resume_all(x, v);
	check(v, false);
	end_fault(x);
	for (int i = 0; i < STREAMS; i++)
		v[i].again = !v[i].complete;
	for (int i = 0; i < STREAMS; i++) {
		if (v[i].again)
			resume_stream(&v[i]);
	}
	check(v, true);
}

static void
stop_fleet(void)
{
	for (int i = 0; i < HOSTS; i++) {
		kill(hosts[i].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[i]), ==, 0);
	}
	proxy_stop(proxy);
	fakeplat_stop(platform);
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	start_fleet();
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strdup_printf("/stale-hosts/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], run_case);
	}
	rc = g_test_run();
	stop_fleet();
	return rc;
}
