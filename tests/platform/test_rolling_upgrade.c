/*
 * Hosts that are replaced one after the other by a newer build, while callers
 * keep using open connections, the configuration changes, and targets of a new
 * version replace the old ones.
 *
 *   Usage: test_rolling_upgrade [HOSTS [PORT]]
 *
 * All hosts begin with the program of SEQUOIAD_OLD and are replaced by that of
 * SEQUOIAD (tests/platform/harness.h).  With 16 hosts or more, some receive the
 * changes of the store from other hosts.  PORT is the first one on loopback.
 */
#include "plat/httpmsg.h"
#include "tests/platform/harness.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_PORT  25300
#define DEFAULT_HOSTS 4
#define MAX_HOSTS     20
#define TARGET_PORTS  1 /* offset of the first one */
#define HOST_PORTS    20
#define PORTS_OF_HOST 4
#define CALLERS       18
#define READY_TIME_S  15
#define DEADLINE_MS   3000
#define GRACE_TIME    (4700 * USEC_PER_MSEC) /* grace_s of the harness */
#define CALL_PAUSE    (5 * USEC_PER_MSEC)
#define STALL_READ_MS 250
#define STREAM_EVENTS 6
#define BREAK_EVERY   4
/* The platform's bounds: LossSlackMs, ConfigMs, DrainMs. */
#define LOSS_SLACK    (200 * USEC_PER_MSEC)
#define CONFIG_TIME   (2 * USEC_PER_SEC)
#define DRAIN_TIME    (2 * USEC_PER_SEC)
/* How long a target that leaves serves after that. */
#define LEAVE_TIME    (500 * USEC_PER_MSEC)
/* A request that was refused must not run by then either. */
#define LATE_RUN_TIME (2 * USEC_PER_SEC)

enum kind {
	SAFE,
	ONCE,
	STREAM,  /* resumed by its host */
	RESUMED, /* by its caller, at another host */
	STAGED,
	CONFIGURED, /* on routes that the new configuration changes */
	KINDS
};

/* An id that begins with "once" may run once only. */
static const struct {
	const char *path, *prefix, *extra_fields;
} kinds[KINDS] = {
	[SAFE] = { "/safe/1", "safe", NULL },
	[ONCE] = { "/once/1", "once", NULL },
	[STREAM] = { "/stream/1", "stream", NULL },
	[RESUMED] = { "/stream/1", "resumed", NULL },
	[STAGED] = { "/stream/staged/1", "once-staged",
	    "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n" },
	[CONFIGURED] = { NULL, "configured", NULL },
};

/* Each old target is replaced by the new one beside it. */
static const struct {
	const char *service, *old, *new;
} targets[] = {
	{ "engine", "e1", "e4" },
	{ "plain", "p1", "p3" },
	{ "engine", "e2", "e5" },
	{ "pool", "s1", "s3" },
	{ "engine", "e3", "e6" },
	{ "plain", "p2", "p4" },
};

#define EXTRA_ROUTE(name, service)                                           \
	",{\"Name\":\"" name "\",\"Host\":\"a.example\",\"Prefix\":\"/" name \
	"/\",\"Kind\":\"idempotent\",\"TimeoutMs\":8000,\"SloMs\":1000,"     \
	"\"Attempts\":2,\"Service\":\"" service "\"}"

/* The routes that the new configuration removes, moves or adds. */
static const struct {
	const char *path;
	char old, new; /* first letter of the targets' ids; 0: no route */
} changes[] = {
	{ "/removed/1", 'p', 0 },
	{ "/moved/1", 'p', 'e' },
	{ "/added/1", 0, 'p' },
};

/* A request that a caller waits for. */
struct request {
	const char *id;
	size_t route; /* in changes */
	usec_t sent;
	bool breaks;     /* its target breaks the stream off */
	bool configured; /* the host had the new configuration before */
};

struct caller {
	pthread_t thread;
	int number;
	enum kind kind;
	int host;
	uint32_t start; /* of the host, when the connection was opened */
	int fd;         /* -1: none */
	struct evbuffer *in;
	struct httpmsg m;
	GPtrArray *refused; /* ids of requests that must not have run */
	unsigned int sent, served, failures;
};

static struct fakeplat *platform;
static struct harness_host hosts[MAX_HOSTS];
static atomic_uint starts[MAX_HOSTS];
/* Start of a host at which the new configuration was seen in force. */
static atomic_uint configured[MAX_HOSTS];
static int n_hosts = DEFAULT_HOSTS;
static int first_port = DEFAULT_PORT;
static atomic_bool stopping;
static _Atomic(usec_t) config_put_at;

static void
fail(struct caller *c, const char *id, const char *what)
{
	c->failures++;
	g_test_message("%s at %s: %s", id, hosts[c->host].id, what);
}

static void
close_conn(struct caller *c)
{
	if (c->fd < 0)
		return;
	close(c->fd);
	c->fd = -1;
	evbuffer_free(c->in);
	httpmsg_free(&c->m);
}

/* Connects to the next host that accepts; false if none does. */
static bool
open_conn(struct caller *c)
{
	for (int i = 0; i < n_hosts; i++) {
		struct sockaddr_in sa = { .sin_family = AF_INET,
			.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

		c->host = (c->host + 1) % n_hosts;
		c->start = atomic_load(&starts[c->host]);
		sa.sin_port = htons(hosts[c->host].port);
		c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (connect(c->fd, (struct sockaddr *)&sa, sizeof(sa)) == 0) {
			c->in = evbuffer_new();
			httpmsg_init(&c->m, HTTP_RESPONSE, 65536);
			return true;
		}
		close(c->fd);
		c->fd = -1;
	}
	return false;
}

/* Reads an answer until it is complete, or the connection or the time ends. */
static void
read_answer(struct caller *c, usec_t deadline)
{
	bool open = true;

	httpmsg_reset(&c->m);
	while (open && c->m.state < HTTPMSG_DONE && clock_now() < deadline) {
		struct pollfd p = { .fd = c->fd, .events = POLLIN };

		if (poll(&p, 1, 50) < 1)
			continue;
		open = evbuffer_read(c->in, c->fd, 65536) > 0;
		httpmsg_feed(&c->m, c->in);
	}
}

/* Returns the body so far, to be freed with g_free. */
static char *
copy_body(struct caller *c)
{
	size_t n = evbuffer_get_length(c->m.body);

	return g_strndup((const char *)evbuffer_pullup(c->m.body, -1), n);
}

/*
 * Checks that a stream has its events in order, from the first one or one that
 * follows, and of one version.  Returns the number of the last one.
 */
static int
check_events(struct caller *c, const char *id, const char *body, int last)
{
	bool old = strstr(body, "@old\n") != NULL;
	bool new = strstr(body, "@new\n") != NULL;
	const char *p = body;

	if (old && new)
		fail(c, id, "events of two versions");
	while ((p = strstr(p, "id: ")) != NULL && strstr(p, "\n\n") != NULL) {
		p += strlen("id: ");
		if (atoi(p) != ++last)
			fail(c, id, "events out of order");
	}
	return last;
}

static void
check_lost(struct caller *c, const struct request *q)
{
	struct fakeplat_attempt a;
	g_autofree char *what = NULL;
	usec_t after = clock_now() - q->sent;

	fakeplat_get_attempt(platform, q->id, &a);
	if (q->breaks || (a.runs == 0 && after < LOSS_SLACK))
		return; /* the target broke off, or it crossed the close */
	what = g_strdup_printf("no answer: %u runs, %d bytes, after %d ms",
	    a.runs, (int)evbuffer_get_length(c->m.body),
	    (int)(after / USEC_PER_MSEC));
	fail(c, q->id, what);
}

/* What a host does on a changed route must not go back. */
static void
check_config(struct caller *c, const struct request *q)
{
	usec_t put_at = atomic_load(&config_put_at);
	struct fakeplat_attempt a;
	int status = c->m.parser.status_code;
	char seen;

	if (status != 404 && status != 200)
		return;
	fakeplat_get_attempt(platform, q->id, &a);
	seen = status == 404 ? 0 : a.target[0];
	if (seen == changes[q->route].new &&put_at != 0) {
		atomic_store(&configured[c->host], c->start);
		return;
	}
	if (seen != changes[q->route].old)
		fail(c, q->id, "as no configuration allows");
	else if (q->configured)
		fail(c, q->id, "the configuration went back");
	else if (put_at != 0 && q->sent > put_at + CONFIG_TIME)
		fail(c, q->id, "as only the old configuration allows");
}

static void
check_answer(struct caller *c, const struct request *q)
{
	int status = c->m.parser.status_code;

	if (status == 503 || status == 429 || status == 408 || status == 421) {
		if (g_str_has_prefix(q->id, "once"))
			g_ptr_array_add(c->refused, g_strdup(q->id));
		return;
	}
	c->served += status == 200;
	if (c->kind == CONFIGURED) {
		check_config(c, q);
	} else if (status == 404 || status == 401 || status == 403) {
		fail(c, q->id, "denied");
	} else if (status == 200 && (c->kind == STREAM || c->kind == STAGED)) {
		g_autofree char *body = copy_body(c);

		if (check_events(c, q->id, body, 0) != STREAM_EVENTS)
			fail(c, q->id, "events are missing");
	}
}

/* Sends the next request on the connection that the caller keeps. */
static void
send_request(struct caller *c, int n)
{
	size_t route = (size_t)n % G_N_ELEMENTS(changes);
	g_autofree char *id =
	    g_strdup_printf("%s-%d-%d", kinds[c->kind].prefix, c->number, n);
	struct request q = { .id = id,
		.route = route,
		.breaks = c->kind == STREAM && n % BREAK_EVERY == 0 };
	g_autofree char *text = harness_format(&(struct harness_request){
	    .path = c->kind == CONFIGURED ? changes[route].path
					  : kinds[c->kind].path,
	    .id = id,
	    .behavior = q.breaks ? "break" : NULL,
	    .extra_fields = kinds[c->kind].extra_fields,
	    .deadline_ms = DEADLINE_MS,
	    .keep_alive = true });
	size_t len = strlen(text);

	if (c->fd < 0 && !open_conn(c))
		return;
	q.configured = atomic_load(&configured[c->host]) == c->start;
	if (send(c->fd, text, len, MSG_NOSIGNAL) != (ssize_t)len) {
		close_conn(c);
		return;
	}
	q.sent = clock_now();
	c->sent++;
	read_answer(c, q.sent + 2 * DEADLINE_MS * USEC_PER_MSEC);
	if (c->m.state == HTTPMSG_DONE) {
		check_answer(c, &q);
		return;
	}
	check_lost(c, &q);
	close_conn(c);
}

/* Begins a stream that stalls, and resumes it at another host. */
static void
resume_stream(struct caller *c, int n)
{
	g_autofree char *id = g_strdup_printf("resumed-%d-%d", c->number, n);
	g_autofree char *again = g_strconcat(id, "-again", NULL);
	g_autofree char *fields =
	    g_strdup_printf("Last-Event-Id: 2\r\nResumes: %s\r\n", id);
	g_autofree char *first =
	    harness_format(&(struct harness_request){ .path = "/stream/1",
		.id = id,
		.behavior = "stall",
		.deadline_ms = DEADLINE_MS });
	g_autofree char *second =
	    harness_format(&(struct harness_request){ .path = "/stream/1",
		.id = again,
		.extra_fields = fields,
		.deadline_ms = DEADLINE_MS });
	struct harness_response a, b;
	struct buf both = { 0 };

	c->host = (c->host + 1) % n_hosts;
	harness_exchange(
	    hosts[c->host].port, str_from(first), STALL_READ_MS, &a);
	buf_put(&both, str_of(&a.body));
	if (a.status == 200 && check_events(c, id, both.p, 0) == 2) {
		c->sent++;
		c->host = (c->host + 1) % n_hosts;
		harness_exchange(
		    hosts[c->host].port, str_from(second), 2 * DEADLINE_MS, &b);
		if (b.status == 200) {
			buf_put(&both, str_of(&b.body));
			c->served += b.complete &&
			    check_events(c, again, both.p, 0) == STREAM_EVENTS;
		}
		harness_response_free(&b);
	}
	buf_free(&both);
	harness_response_free(&a);
}

static void *
run_caller(void *arg)
{
	struct caller *c = arg;

	for (int n = 0; !atomic_load(&stopping); n++) {
		if (c->kind == RESUMED)
			resume_stream(c, n);
		else
			send_request(c, n);
		g_usleep(CALL_PAUSE);
	}
	close_conn(c);
	return NULL;
}

/* Replaces the old targets one after the other. */
static void *
release_targets(void *arg)
{
	usec_t drained[G_N_ELEMENTS(targets)];

	(void)arg;
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		g_autofree char *key =
		    g_strconcat("servers/", targets[i].old, NULL);

		fakeplat_ready_target(platform, targets[i].new);
		g_usleep(LEAVE_TIME);
		fakeplat_drain_target(platform, targets[i].old);
		drained[i] = clock_now();
		g_usleep(DRAIN_TIME + LEAVE_TIME);
		fakeplat_delete(platform, key);
		fakeplat_stop_target(platform, targets[i].old, true);
	}
	g_usleep(DRAIN_TIME);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		g_assert_cmpuint(fakeplat_arrivals(platform, targets[i].old,
				     drained[i] + DRAIN_TIME),
		    ==, 0);
	return NULL;
}

static void
start_host(struct harness_host *h)
{
	/* Callers that connect from here on reach the new process. */
	atomic_fetch_add(&starts[h - hosts], 1);
	harness_start_host(h);
	g_assert_true(harness_wait_ready(h, READY_TIME_S));
}

static void
start_fleet(void)
{
	g_autofree char *config = harness_config(
	    1, EXTRA_ROUTE("removed", "plain") EXTRA_ROUTE("moved", "plain"));
	g_autofree char *dir = g_dir_make_tmp("rolling-XXXXXX", NULL);

	platform = fakeplat_start((uint16_t)first_port);
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(targets); i++) {
		bool new = i >= G_N_ELEMENTS(targets);
		size_t at = i % G_N_ELEMENTS(targets);
		const char *id = new ? targets[at].new : targets[at].old;
		g_autofree char *key = g_strconcat("servers/", id, NULL);

		fakeplat_add_target(platform,
		    &(struct fakeplat_target){ .id = id,
			.service = targets[at].service,
			.domain = "d1",
			.port = (uint16_t)(first_port + TARGET_PORTS + (int)i),
			.version = new ? "new" : "old" });
		if (new)
			fakeplat_delete(platform, key);
	}
	fakeplat_add_target(platform,
	    &(struct fakeplat_target){ .id = "s2",
		.service = "pool",
		.domain = "d1",
		.port = (uint16_t)(first_port + HOST_PORTS - 1) });
	fakeplat_put(platform, "op/config", config);
	for (int i = 0; i < n_hosts; i++) {
		struct harness_host *h = &hosts[i];

		h->port =
		    (uint16_t)(first_port + HOST_PORTS + PORTS_OF_HOST * i);
		h->store_port = (uint16_t)first_port;
		h->seed_port = (uint16_t)(first_port + HOST_PORTS);
		h->old = true;
		snprintf(h->id, sizeof(h->id), "h%d", i + 1);
		g_strlcpy(h->dir, dir, sizeof(h->dir));
		start_host(h);
	}
	g_test_message("logs in %s", dir);
	g_usleep(USEC_PER_SEC);
}

static void
stop_host(struct harness_host *h)
{
	usec_t now = clock_now();

	kill(h->pid, SIGTERM);
	g_assert_cmpint(harness_wait_exit(h), ==, 0);
	g_assert_cmpint(clock_now() - now, <, GRACE_TIME + USEC_PER_SEC);
}

static void
change_config(void)
{
	g_autofree char *config = harness_config(
	    2, EXTRA_ROUTE("moved", "engine") EXTRA_ROUTE("added", "plain"));

	/* Hosts may act on it before the call returns. */
	atomic_store(&config_put_at, clock_now());
	fakeplat_put(platform, "op/config", config);
}

/* Returns how many of the requests that were refused have run. */
static unsigned int
count_false_refusals(const struct caller *c)
{
	unsigned int n = 0;

	for (guint i = 0; i < c->refused->len; i++) {
		struct fakeplat_attempt a;

		fakeplat_get_attempt(platform, c->refused->pdata[i], &a);
		if (a.runs == 0)
			continue;
		n++;
		g_test_message(
		    "%s: refused and run", (const char *)c->refused->pdata[i]);
	}
	return n;
}

static void
check_callers(struct caller *v)
{
	unsigned int sent[KINDS] = { 0 };
	unsigned int served[KINDS] = { 0 };

	for (int i = 0; i < CALLERS; i++) {
		sent[v[i].kind] += v[i].sent;
		served[v[i].kind] += v[i].served;
		g_assert_cmpuint(v[i].failures, ==, 0);
		g_assert_cmpuint(count_false_refusals(&v[i]), ==, 0);
	}
	for (int i = 0; i < KINDS; i++) {
		g_test_message(
		    "%s: %u of %u served", kinds[i].prefix, served[i], sent[i]);
		/* Of the changed routes, a third has none. */
		g_assert_cmpuint(
		    (i == CONFIGURED ? 3 : 2) * served[i], >=, sent[i]);
	}
	g_assert_cmpuint(fakeplat_count_duplicates(platform), ==, 0);
	g_assert_cmpuint(fakeplat_count_mixed(platform), ==, 0);
}

static void
test_upgrade(void)
{
	struct caller callers[CALLERS] = { 0 };
	pthread_t release;

	start_fleet();
	for (int i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		*c = (struct caller){ .number = i,
			.kind = i % KINDS,
			.host = i % n_hosts,
			.fd = -1,
			.refused = g_ptr_array_new_with_free_func(g_free) };
		pthread_create(&c->thread, NULL, run_caller, c);
	}
	for (int i = 0; i < n_hosts; i++) {
		struct harness_host *h = &hosts[i];

		if (i == n_hosts / 4)
			pthread_create(&release, NULL, release_targets, NULL);
		if (i == n_hosts / 2)
			change_config();
		stop_host(h);
		h->old = false;
		start_host(h);
	}
	pthread_join(release, NULL);
	atomic_store(&stopping, true);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
	g_usleep(LATE_RUN_TIME);
	check_callers(callers);
	for (int i = 0; i < CALLERS; i++)
		g_ptr_array_unref(callers[i].refused);
	for (int i = 0; i < n_hosts; i++)
		stop_host(&hosts[i]);
	fakeplat_stop(platform);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		n_hosts = CLAMP(atoi(argv[1]), 2, MAX_HOSTS);
	if (argc > 2)
		first_port = atoi(argv[2]);
	signal(SIGPIPE, SIG_IGN);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/rolling-upgrade", test_upgrade);
	return g_test_run();
}
