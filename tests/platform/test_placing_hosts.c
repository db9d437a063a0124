/*
 * A fleet in which one host places the requests of all on the engines: it
 * stands still and answers seconds later, is killed, or stops, while the others
 * go on sending.  No request may be held by it, fail, or run twice.
 */
#include "tests/platform/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define STORE_PORT      24800
#define TARGET_PORT     24801
#define HOST_PORT       24820
#define HOSTS           4
#define TARGETS         3
#define TIMEOUT_SECONDS 15
#define DEADLINE_MS     4000
/* A stream of the fake engine takes a small part of this. */
#define LATE_TIME       (1500 * USEC_PER_MSEC)
#define INTERVAL        (20 * USEC_PER_MSEC)

static struct fakeplat *platform;
static struct harness_host hosts[HOSTS];
static int n_requests;

static void
start_fleet(void)
{
	static const char *const ids[TARGETS] = { "e1", "e2", "e3" };
	g_autofree char *dir = g_dir_make_tmp("placing-hosts-XXXXXX", NULL);
	g_autofree char *c = harness_config(1, NULL);

	platform = fakeplat_start(STORE_PORT);
	fakeplat_put(platform, "op/config", c);
	for (int i = 0; i < TARGETS; i++)
		fakeplat_add_target(platform,
		    &(struct fakeplat_target){ .id = ids[i],
			.service = "engine",
			.domain = "d1",
			.port = (uint16_t)(TARGET_PORT + i) });
	for (int i = 0; i < HOSTS; i++) {
		struct harness_host *h = &hosts[i];

		h->port = (uint16_t)(HOST_PORT + 4 * i);
		h->store_port = STORE_PORT;
		h->seed_port = HOST_PORT;
		h->placer_min_hosts = 2;
		snprintf(h->id, sizeof(h->id), "h%d", i + 1);
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		harness_start_host(h);
		g_assert_true(harness_wait_ready(h, TIMEOUT_SECONDS));
	}
}

static char *
log_of(const struct harness_host *h)
{
	g_autofree char *path = g_strdup_printf("%s/%s.log", h->dir, h->id);
	char *log = NULL;

	g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
	return log;
}

/* How the host's calls since a place in its log got their targets. */
static int
count_calls(const struct harness_host *h, size_t from, const char *placed)
{
	g_autofree char *log = log_of(h);
	g_autofree char *text = g_strdup_printf("placed=\"%s", placed);
	int n = 0;

	for (const char *p = log + from; (p = strstr(p, text)) != NULL; p++)
		n++;
	return n;
}

static size_t
log_size(const struct harness_host *h)
{
	g_autofree char *log = log_of(h);

	return strlen(log);
}

/* Sends a stream that may run once; it has to be complete, and in time. */
static void
send_stream(const struct harness_host *h)
{
	g_autofree char *id = g_strdup_printf("p-%d", ++n_requests);
	g_autofree char *q = harness_format(&(struct harness_request){
	    .path = "/stream-once/1", .id = id, .deadline_ms = DEADLINE_MS });
	struct fakeplat_attempt a;
	struct harness_response r;
	usec_t begun = clock_now();

	harness_exchange(h->port, str_from(q), DEADLINE_MS, &r);
	g_assert_cmpint(r.status, ==, 200);
	g_assert_true(r.complete);
	g_assert_cmpint(clock_now() - begun, <, LATE_TIME);
	harness_response_free(&r);
	g_assert_true(fakeplat_get_attempt(platform, id, &a));
	g_assert_cmpuint(a.runs, ==, 1);
}

/* Sends streams to the hosts in turn, but not to one (-1: to all). */
static void
send_for(usec_t t, int not_to)
{
	usec_t end = clock_now() + t;

	for (int i = 0; clock_now() < end; i++) {
		if (i % HOSTS != not_to)
			send_stream(&hosts[i % HOSTS]);
		g_usleep((gulong)INTERVAL);
	}
}

/* Returns the host that places, as another host sees it. */
static int
find_placer(int seen_by)
{
	g_autofree char *log = log_of(&hosts[seen_by]);
	const char *p = g_strrstr(log, "event=placer-chosen");

	g_assert_nonnull(p);
	for (int i = 0; i < HOSTS; i++) {
		g_autofree char *rpc =
		    g_strdup_printf(": 127.0.0.1:%d\"", hosts[i].port + 2);
		const char *end = strchr(p, '\n');
		g_autofree char *line =
		    g_strndup(p, end != NULL ? (gsize)(end - p) : strlen(p));

		if (strstr(line, rpc) != NULL)
			return i;
	}
	return seen_by;
}

/* Returns how many of the calls since these places the placer decided. */
static int
count_placed(const size_t *from, int not_of, const char *placed)
{
	int n = 0;

	for (int i = 0; i < HOSTS; i++) {
		if (i != not_of)
			n += count_calls(&hosts[i], from[i], placed);
	}
	return n;
}

static void
mark_logs(size_t *from)
{
	for (int i = 0; i < HOSTS; i++)
		from[i] = log_size(&hosts[i]);
}

static void
test_calm(void)
{
	size_t from[HOSTS];

	send_for(2500 * USEC_PER_MSEC, -1);
	mark_logs(from);
	send_for(1000 * USEC_PER_MSEC, -1);
	g_assert_cmpint(count_placed(from, -1, "by "), >, 0);
	g_assert_cmpint(count_placed(from, -1, "here"), ==, 0);
}

/*
 * The placer gets a signal: it stands still for a time, or ends and is started
 * again.
 */
static void
run_loss(int signal_number)
{
	int placer = find_placer(0);
	struct harness_host *h = &hosts[placer];
	bool ends = signal_number != SIGSTOP;
	size_t from[HOSTS];

	mark_logs(from);
	kill(h->pid, signal_number);
	send_for(4 * USEC_PER_SEC, placer);
	/* Another one places by then. */
	g_assert_cmpint(count_placed(from, placer, "here"), >, 0);
	mark_logs(from);
	send_for(1 * USEC_PER_SEC, placer);
	g_assert_cmpint(count_placed(from, placer, "by "), >, 0);
	if (ends) {
		g_assert_cmpint(harness_wait_exit(h), ==,
		    signal_number == SIGTERM ? 0 : -1);
		harness_start_host(h);
	} else {
		kill(h->pid, SIGCONT);
	}
	send_for(1 * USEC_PER_SEC, placer);
	g_assert_true(harness_wait_ready(h, TIMEOUT_SECONDS));
	send_for(5 * USEC_PER_SEC, -1);
	mark_logs(from);
	send_for(1 * USEC_PER_SEC, -1);
	g_assert_cmpint(count_placed(from, -1, "by "), >, 0);
}

static void
test_paused(void)
{
	run_loss(SIGSTOP);
}

static void
test_killed(void)
{
	run_loss(SIGKILL);
}

static void
test_stopped(void)
{
	run_loss(SIGTERM);
}

static void
stop_fleet(void)
{
	for (int i = 0; i < HOSTS; i++) {
		kill(hosts[i].pid, SIGTERM);
		g_assert_cmpint(harness_wait_exit(&hosts[i]), ==, 0);
	}
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
	g_test_add_func("/placing-hosts/calm", test_calm);
	g_test_add_func("/placing-hosts/paused", test_paused);
	g_test_add_func("/placing-hosts/killed", test_killed);
	g_test_add_func("/placing-hosts/stopped", test_stopped);
	rc = g_test_run();
	stop_fleet();
	return rc;
}
