#include "tests/platform/harness.h"
#include "plat/httpmsg.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define KEY        "key-of-yard"
#define START_TIME (2 * USEC_PER_SEC)

/*
 * Kills the host when the test process dies, so that a test that aborts leaves
 * no process behind.
 */
static void
kill_with_parent(gpointer arg)
{
	(void)arg;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Whether the process has blocked SIGTERM, to take it when it waits for it. */
static bool
blocks_sigterm(GPid pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	line = strstr(text, "SigBlk:");
	return line != NULL &&
	    (g_ascii_strtoull(line + strlen("SigBlk:"), NULL, 16) &
		1ULL << (SIGTERM - 1)) != 0;
}

/*
 * Until a process has taken over SIGTERM, the signal ends it: exit with status
 * 0 can be asked for only from then on.
 */
static void
wait_for_start(GPid pid)
{
	usec_t deadline = clock_now() + START_TIME;

	while (!blocks_sigterm(pid) && clock_now() < deadline)
		g_usleep(1000);
}

void
harness_start_host(struct harness_host *h)
{
	g_autofree char *ini = g_strdup_printf("%s/%s.ini", h->dir, h->id);
	g_autofree char *log = g_strdup_printf("%s/%s.log", h->dir, h->id);
	g_autofree char *memory = h->memory_mb > 0
	    ? g_strdup_printf("memory_mb = %d\n", h->memory_mb)
	    : g_strdup("");
	g_autofree char *placer = h->placer_min_hosts > 0
	    ? g_strdup_printf(
		  "[routes]\nplacer_min_hosts = %d\n", h->placer_min_hosts)
	    : g_strdup("");
	g_autofree char *text = g_strdup_printf(
	    "[sequoiad]\nid = %s\nlisten = 127.0.0.1:%u\n"
	    "operators = 127.0.0.1:%u\nrpc = 127.0.0.1:%u\n"
	    "failure_domain = d1\npeers = 127.0.0.1:%u\ndrain_ms = %d\n"
	    "grace_s = %.3f\n%s[platform]\nform = routes\nkv = 127.0.0.1:%u\n"
	    "%s[fleet]\nfleet_key = a fleet key of the tests\n",
	    h->id, h->port, h->port + 1, h->port + 2,
	    h->seed_port != 0 ? h->seed_port + 2 : h->port + 2,
	    h->grace_ms > 0 ? h->drain_ms : 500,
	    h->grace_ms > 0 ? h->grace_ms / 1000.0 : 4.7, memory, h->store_port,
	    placer);
	g_autoptr(GError) e = NULL;
	const char *old = h->old ? g_getenv("SEQUOIAD_OLD") : NULL;
	const char *program = old != NULL ? old : g_getenv("SEQUOIAD");
	const char *argv[] = { "/bin/sh", "-c",
		"exec \"$0\" \"$1\" >>\"$2\" 2>&1", program, ini, log, NULL };
	GPid pid;

	g_assert_true(g_file_set_contents(ini, text, -1, NULL));
	g_assert_true(g_spawn_async(NULL, (char **)argv, NULL,
	    G_SPAWN_DO_NOT_REAP_CHILD, kill_with_parent, NULL, &pid, &e));
	h->pid = pid;
	wait_for_start(pid);
}

bool
harness_wait_log(
    const struct harness_host *h, const char *text, int timeout_seconds)
{
	g_autofree char *path = g_strdup_printf("%s/%s.log", h->dir, h->id);
	usec_t deadline = clock_now() + timeout_seconds * USEC_PER_SEC;

	do {
		g_autofree char *log = NULL;

		if (g_file_get_contents(path, &log, NULL, NULL) &&
		    strstr(log, text) != NULL)
			return true;
		g_usleep(1000);
	} while (clock_now() < deadline);
	return false;
}

int
harness_wait_exit(struct harness_host *h)
{
	int status = 0;

	while (waitpid(h->pid, &status, 0) < 0 && errno == EINTR)
		;
	h->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

usec_t
harness_ended_at(const struct harness_host *h, usec_t term_at)
{
	usec_t now = clock_now();
#ifdef __SANITIZE_ADDRESS__
	static const char mark[] = "time=";
	g_autofree char *path = g_strdup_printf("%s/%s.log", h->dir, h->id);
	g_autofree char *log = NULL;
	g_autofree char *text = NULL;
	g_autoptr(GDateTime) t = NULL;
	char *line;
	const char *p;
	const char *options = g_getenv("ASAN_OPTIONS");
	usec_t at;

	if (options != NULL && strstr(options, "detect_leaks=0") != NULL)
		return now;
	if (!g_file_get_contents(path, &log, NULL, NULL) ||
	    (line = g_strrstr(log, "event=stopped")) == NULL)
		return now;
	*line = '\0';
	p = g_strrstr(log, mark);
	if (p == NULL)
		return now;
	p += strlen(mark);
	text = g_strndup(p, strcspn(p, " "));
	t = g_date_time_new_from_iso8601(text, NULL);
	if (t == NULL)
		return now;
	at = g_date_time_to_unix(t) * USEC_PER_SEC +
	    g_date_time_get_microsecond(t) + now - clock_wall();
	return at >= term_at ? at : now;
#else
	(void)h;
	(void)term_at;
	return now;
#endif
}

static int
connect_to(uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	close(fd);
	return -1;
}

/*
 * Reads until the deadline or the end of the connection; sets eof if the peer
 * closed the connection.
 */
static void
read_all(int fd, usec_t deadline, struct buf *out, bool *eof)
{
	char bytes[4096];

	for (;;) {
		usec_t remaining = deadline - clock_now();
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t n;

		if (remaining <= 0 ||
		    poll(&p, 1, (int)(remaining / USEC_PER_MSEC) + 1) < 1)
			return;
		n = read(fd, bytes, sizeof(bytes));
		if (n <= 0) {
			*eof = n == 0;
			return;
		}
		buf_put(out, (struct str){ bytes, (size_t)n });
	}
}

void
harness_exchange(uint16_t port, struct str bytes, int timeout_ms,
    struct harness_response *out)
{
	usec_t deadline = clock_now() + timeout_ms * USEC_PER_MSEC;
	struct buf received = { 0 };
	struct httpmsg m;
	struct evbuffer *in = evbuffer_new();
	bool eof = false;
	int fd = connect_to(port);

	memset(out, 0, sizeof(*out));
	httpmsg_init(&m, HTTP_RESPONSE, 65536);
	if (fd >= 0) {
		if (send(fd, bytes.p, bytes.n, MSG_NOSIGNAL) > 0)
			read_all(fd, deadline, &received, &eof);
		close(fd);
	}
	evbuffer_add(in, received.p, received.n);
	httpmsg_feed(&m, in);
	if (eof)
		httpmsg_eof(&m);
	if (m.state != HTTPMSG_HEAD && m.state != HTTPMSG_BAD)
		out->status = m.parser.status_code;
	else if (received.n > 12)
		out->status = atoi(received.p + 9);
	out->complete = m.state == HTTPMSG_DONE;
	buf_put(&out->body,
	    (struct str){ (const char *)evbuffer_pullup(m.body, -1),
		evbuffer_get_length(m.body) });
	out->raw = received;
	evbuffer_free(in);
	httpmsg_free(&m);
}

void
harness_response_free(struct harness_response *a)
{
	buf_free(&a->body);
	buf_free(&a->raw);
}

char *
harness_format(const struct harness_request *q)
{
	g_autofree char *behavior = q->behavior != NULL
	    ? g_strdup_printf("X-Test: %s\r\n", q->behavior)
	    : g_strdup("");
	const char *body = q->body != NULL ? q->body : "body";

	return g_strdup_printf("POST %s HTTP/1.1\r\nHost: a.example\r\n"
			       "X-Attempt-Id: %s\r\nX-Api-Key: %s\r\n"
			       "X-Deadline-Ms: %d\r\n%s%s%s"
			       "Content-Length: %zu\r\n\r\n%s",
	    q->path, q->id, q->api_key != NULL ? q->api_key : KEY,
	    q->deadline_ms > 0 ? q->deadline_ms : 5000, behavior,
	    q->extra_fields != NULL ? q->extra_fields : "",
	    q->keep_alive ? "" : "Connection: close\r\n", strlen(body), body);
}

bool
harness_wait_ready(const struct harness_host *h, int timeout_seconds)
{
	usec_t deadline = clock_now() + timeout_seconds * USEC_PER_SEC;

	while (clock_now() < deadline) {
		struct harness_response a;
		int status;

		harness_exchange(h->port + 1,
		    STR("GET /readyz HTTP/1.1\r\nHost: x\r\n"
			"Connection: close\r\n\r\n"),
		    1000, &a);
		status = a.status;
		harness_response_free(&a);
		if (status == 200)
			return true;
		g_usleep(50000);
	}
	return false;
}

char *
harness_config(int version, const char *extra_route)
{
#define R(name, prefix, kind, service, more)                                 \
	"{\"Name\":\"" name "\",\"Host\":\"a.example\",\"Prefix\":\"" prefix \
	"\",\"Kind\":\"" kind "\",\"TimeoutMs\":8000,\"SloMs\":1000,"        \
	"\"Attempts\":2,\"Service\":\"" service "\"" more "}"
	return g_strdup_printf(
	    "{\"Version\":%d,\"Routes\":[" R("safe", "/safe/", "idempotent",
		"plain", "") "," R("once", "/once/", "non_idempotent", "plain",
		"") "," R("stream", "/stream/", "streaming", "engine",
		",\"CanResume\":true") "," R("stream-once", "/stream-once/",
		"streaming", "engine",
		"") "," R("staged", "/stream/staged/", "streaming", "engine",
		",\"Stages\":[{\"Service\":\"pool\",\"After\":[],"
		"\"Bytes\":1000},{\"Service\":\"pool\",\"After\":[0],"
		"\"Bytes\":1000}]") "%s],"
				    "\"Services\":[{\"Name\":\"plain\","
				    "\"MaxConns\":99},{\"Name\":\"engine\","
				    "\"MaxConns\":99,\"Engine\":{\"Slots\":4,"
				    "\"KvTokens\":9000}},{\"Name\":\"pool\","
				    "\"MaxConns\":99,\"Pieces\":{\"Slots\":1,"
				    "\"Queue\":2,\"Batch\":8,\"CallMs\":60,"
				    "\"ItemMs\":4,\"HeadroomMb\":1,"
				    "\"HandleS\":4}}],\"Limits\":{"
				    "\"MaxHeaderBytes\":8192,"
				    "\"MaxBodyBytes\":10000,"
				    "\"HeaderTimeoutMs\":1000,"
				    "\"IdleTimeoutMs\":15000},\"Tenants\":[{"
				    "\"Name\":\"yard\",\"ApiKeys\":[\"" KEY
				    "\"]}]}",
	    version, extra_route != NULL ? extra_route : "");
#undef R
}
