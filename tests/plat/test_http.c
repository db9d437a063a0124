/*
 * An answer without end fails its call: it would take all memory, as the
 * users of http collect an answer before they read it.  So does one whose heads
 * go on.  Many answers at once wait for room, and each is read completely.
 *
 * After a standstill of the process past a timeout, what arrived meanwhile is
 * read before the call is judged, by http and by whoever runs its loop.
 */
#include "plat/held.h"
#include "plat/http.h"
#include "plat/kv.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define MAX_BYTES     ((size_t)1024 * 1024)
/* What the server sends at most. */
#define ENDLESS_BYTES ((size_t)64 * 1024 * 1024)
#define CHUNK         ((size_t)64 * 1024)
/* What is on its way between the server and a call. */
#define SOCKET_BYTES  ((size_t)16 * 1024 * 1024)
#define MAX_CALLS     40
#define CALLS         100
#define CALL_TIME     (2 * USEC_PER_SEC)
#define LOOP_WAIT     (5 * USEC_PER_SEC)
#define STANDSTILL    (600 * USEC_PER_MSEC)
/* While one of libcurl's timers is due, it reads all sockets. */
#define CURL_TIMERS   (300 * USEC_PER_MSEC)
/* A connection that found the backlog full is tried again after 1 s. */
#define CONNECT_RETRY (1500 * USEC_PER_MSEC)

struct server {
	struct event_base *base;
	const char *head;
	const char *piece; /* of the body; NULL: zeros */
	size_t body_bytes; /* to be sent on each connection */
	bool closes;       /* its connections after the body */
	size_t sent;
};

struct conn {
	struct server *server;
	size_t sent;
	bool begun;
};

static void
on_writable(struct bufferevent *b, void *arg)
{
	static const char zeros[1024];
	struct conn *c = arg;
	struct server *s = c->server;
	struct evbuffer *out = bufferevent_get_output(b);
	size_t n = s->piece != NULL ? strlen(s->piece) : sizeof(zeros);

	while (c->begun && c->sent < s->body_bytes &&
	    evbuffer_get_length(out) < CHUNK) {
		evbuffer_add(out, s->piece != NULL ? s->piece : zeros, n);
		c->sent += n;
		s->sent += n;
	}
	if (s->closes && c->begun && evbuffer_get_length(out) == 0)
		shutdown(bufferevent_getfd(b), SHUT_WR);
}

static void
on_request(struct bufferevent *b, void *arg)
{
	struct conn *c = arg;
	const char *head = c->server->head;
	struct evbuffer *in = bufferevent_get_input(b);

	evbuffer_drain(in, evbuffer_get_length(in));
	evbuffer_add(bufferevent_get_output(b), head, strlen(head));
	c->begun = true;
}

static void
on_closed(struct bufferevent *b, short what, void *arg)
{
	(void)what;
	bufferevent_free(b);
	g_free(arg);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct server *s = arg;
	struct bufferevent *b =
	    bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);
	struct conn *c = g_new0(struct conn, 1);

	c->server = s;
	(void)l;
	(void)sa;
	(void)len;
	bufferevent_setcb(b, on_request, on_writable, on_closed, c);
	bufferevent_enable(b, EV_READ | EV_WRITE);
}

struct result {
	size_t bytes;
	bool ended;
	bool failed;
	bool waits;
	size_t n_waits;
};

static void
on_event(void *arg, const struct http_event *ev)
{
	struct result *r = arg;

	if (ev->kind == HTTP_CHUNK)
		r->bytes += ev->bytes.n;
	if (ev->kind == HTTP_WAIT) {
		r->waits = ev->waits;
		r->n_waits++;
	}
	r->failed = ev->kind == HTTP_FAIL;
	r->ended = r->failed || ev->kind == HTTP_END;
}

static struct evconnlistener *
start_server(struct server *s, char **url)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);
	struct evconnlistener *l = evconnlistener_new_bind(s->base, on_accept,
	    s, LEV_OPT_CLOSE_ON_FREE, -1, (struct sockaddr *)&sa, sizeof(sa));

	g_assert_nonnull(l);
	getsockname(evconnlistener_get_fd(l), (struct sockaddr *)&sa, &len);
	*url = g_strdup_printf("http://127.0.0.1:%d/", ntohs(sa.sin_port));
	return l;
}

static void
test_endless(void)
{
	static const struct {
		const char *name, *head;
		size_t body_bytes;
		size_t max_bytes;
		bool fails;
		const char *piece;
	} cases[] = {
		{ "as long as the limit",
		    "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n",
		    MAX_BYTES, MAX_BYTES, false },
		{ "longer",
		    "HTTP/1.1 200 OK\r\nContent-Length: 1049600\r\n\r\n",
		    MAX_BYTES + 1024, MAX_BYTES, true },
		{ "longer, within a larger limit",
		    "HTTP/1.1 200 OK\r\nContent-Length: 1049600\r\n\r\n",
		    MAX_BYTES + 1024, 2 * MAX_BYTES, false },
		{ "without end", "HTTP/1.1 200 OK\r\n\r\n", ENDLESS_BYTES,
		    MAX_BYTES, true },
		{ "a length over the limit, and no byte of it",
		    "HTTP/1.1 200 OK\r\n"
		    "Content-Length: 900000000000000\r\n\r\n",
		    0, MAX_BYTES, true },
		{ "fields without end", "HTTP/1.1 200 OK\r\n", ENDLESS_BYTES,
		    MAX_BYTES, true, "X-Field: abcdefgh\r\n" },
		{ "a field without end", "HTTP/1.1 200 OK\r\nX-Field: ",
		    ENDLESS_BYTES, MAX_BYTES, true, "abcdefgh" },
		{ "a status line without end", "HTTP/1.1 200 ", ENDLESS_BYTES,
		    MAX_BYTES, true, "abcdefgh" },
		{ "interim responses without end",
		    "HTTP/1.1 102 Processing\r\n\r\n", ENDLESS_BYTES, MAX_BYTES,
		    true, "HTTP/1.1 102 Processing\r\n\r\n" },
		{ "trailers without end",
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "0\r\n",
		    ENDLESS_BYTES, MAX_BYTES, true, "X-Field: abcdefgh\r\n" },
		{ "a chunk size without end",
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		    ENDLESS_BYTES, MAX_BYTES, true, "11111111" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct server s = { .base = event_base_new(),
			.head = cases[i].head,
			.piece = cases[i].piece,
			.body_bytes = cases[i].body_bytes };
		g_autofree char *url = NULL;
		struct evconnlistener *l = start_server(&s, &url);
		struct http_loop *loop = http_new();
		struct result r = { 0 };

		g_test_message("%s", cases[i].name);
		http_start(loop,
		    &(struct http_opts){ .url = url,
			.timeout = 20 * USEC_PER_SEC,
			.max_bytes = cases[i].max_bytes,
			.handler = on_event,
			.arg = &r });
		while (!r.ended && s.sent < ENDLESS_BYTES) {
			http_run(loop, USEC_PER_MSEC);
			event_base_loop(s.base, EVLOOP_NONBLOCK);
		}
		g_assert_true(r.ended);
		g_assert_cmpint(r.failed, ==, cases[i].fails);
		g_assert_cmpuint(s.sent, <=, SOCKET_BYTES);
		if (cases[i].fails)
			g_assert_cmpuint(r.bytes, <=, MAX_BYTES);
		else
			g_assert_cmpuint(r.bytes, ==, cases[i].body_bytes);
		http_free(loop);
		event_base_loop(s.base, EVLOOP_NONBLOCK);
		evconnlistener_free(l);
		event_base_free(s.base);
	}
}

/* What has no status fails, and is not taken for a response. */
static void
test_status(void)
{
	static const struct {
		const char *head;
		bool fails;
	} cases[] = {
		{ "HTTP/1.1 200 OK", false },
		{ "HTTP/1.1 599", false },
		{ "HTTP/1.1 000 OK", true },
		{ "HTTP/1.1 099 OK", true },
		{ "HTTP/1.1 600 OK", true },
		{ "HTTP/1.1 20 OK", true },
		{ "HTTP/1.1 2000 OK", true },
		{ "HTTP/1.1  200 OK", true },
		{ "HTTP/1.1 2 00 OK", true },
		{ "HTTP/1.1 +200 OK", true },
		{ "HTTP/1.1 -200 OK", true },
		{ "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 OK", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *head = g_strdup_printf(
		    "%s\r\nContent-Length: 0\r\n\r\n", cases[i].head);
		struct server s = { .base = event_base_new(), .head = head };
		g_autofree char *url = NULL;
		struct evconnlistener *l = start_server(&s, &url);
		struct http_loop *loop = http_new();
		struct result r = { 0 };

		http_start(loop,
		    &(struct http_opts){ .url = url,
			.timeout = 20 * USEC_PER_SEC,
			.max_bytes = MAX_BYTES,
			.handler = on_event,
			.arg = &r });
		while (!r.ended) {
			http_run(loop, USEC_PER_MSEC);
			event_base_loop(s.base, EVLOOP_NONBLOCK);
		}
		g_test_message("%s: %s", cases[i].head,
		    r.failed ? "failed" : "a response");
		g_assert_cmpint(r.failed, ==, cases[i].fails);
		http_free(loop);
		event_base_loop(s.base, EVLOOP_NONBLOCK);
		evconnlistener_free(l);
		event_base_free(s.base);
	}
}

struct room_case {
	const char *name;
	int calls;
	const char *head;
	size_t body_bytes;
	bool closes;
	bool streamed;
	bool fails;
	bool waits;
};

static const struct room_case rooms[] = {
	{ .name = "declared lengths",
	    .calls = MAX_CALLS,
	    .head = "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n",
	    .body_bytes = MAX_BYTES,
	    .waits = true },
	{ .name = "unknown lengths",
	    .calls = 10,
	    .head = "HTTP/1.1 200 OK\r\n\r\n",
	    .body_bytes = MAX_BYTES,
	    .closes = true,
	    .waits = true },
	{ .name = "small answers",
	    .calls = MAX_CALLS,
	    .head = "HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n",
	    .body_bytes = 1024 },
	{ .name = "without end",
	    .calls = 10,
	    .head = "HTTP/1.1 200 OK\r\n\r\n",
	    .body_bytes = ENDLESS_BYTES,
	    .fails = true,
	    .waits = true },
	{ .name = "streams",
	    .calls = 2,
	    .head = "HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n",
	    .body_bytes = 16 * MAX_BYTES,
	    .streamed = true },
};

/* All that is held stays within the bound, and each call ends as it should. */
static void
test_room(gconstpointer arg)
{
	const struct room_case *x = arg;
	struct host_memory *m = host_memory_new(MEMORY_MIN);
	struct server s = { .base = event_base_new(),
		.head = x->head,
		.body_bytes = x->body_bytes,
		.closes = x->closes };
	g_autofree char *url = NULL;
	struct evconnlistener *l = start_server(&s, &url);
	struct http_loop *loop = http_new();
	struct result r[MAX_CALLS] = { 0 };
	usec_t end = clock_now() + 20 * USEC_PER_SEC;
	struct held_counts c;

	for (int i = 0; i < x->calls; i++)
		http_start(loop,
		    &(struct http_opts){ .url = url,
			.max_bytes = MAX_ANSWER_BYTES,
			.memory = m,
			.use = MEMORY_ANSWER,
			.streamed = x->streamed,
			.handler = on_event,
			.arg = &r[i] });
	while (http_active(loop) > 0 && clock_now() < end) {
		http_run(loop, USEC_PER_MSEC);
		event_base_loop(s.base, EVLOOP_NONBLOCK);
	}
	c = host_memory_counts(m);
	g_assert_cmpuint(http_active(loop), ==, 0);
	for (int i = 0; i < x->calls; i++) {
		g_assert_cmpint(r[i].failed, ==, x->fails);
		if (!x->fails)
			g_assert_cmpuint(r[i].bytes, ==, x->body_bytes);
	}
	/* Half of the bound is for answers. */
	g_assert_cmpuint(c.highest, <=, MEMORY_MIN / 2);
	g_assert_cmpuint(c.total, ==, 0);
	g_assert_cmpint(c.waits > 0, ==, x->waits);
	http_free(loop);
	event_base_loop(s.base, EVLOOP_NONBLOCK);
	evconnlistener_free(l);
	event_base_free(s.base);
	host_memory_free(m);
}

struct paused_case {
	const char *name;
	usec_t timeout; /* of the call; 0: none */
	bool resumes;   /* the room becomes free */
	bool closes;    /* the server, while the call waits */
};

static const struct paused_case paused[] = {
	{ "resumed", 0, true, false },
	{ "resumed after the end of the connection", 0, true, true },
	{ "timeout", 700 * USEC_PER_MSEC, false, false },
	{ "timeout after the end of the connection", 700 * USEC_PER_MSEC, false,
	    true },
};

/* A call that waits for room takes no bytes and no time of the processor. */
static void
test_paused(gconstpointer arg)
{
	const struct paused_case *x = arg;
	struct host_memory *m = host_memory_new(MEMORY_MIN);
	struct server s = { .base = event_base_new(),
		.head = "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n",
		.body_bytes = MAX_BYTES,
		.closes = x->closes };
	g_autofree char *url = NULL;
	struct evconnlistener *l = start_server(&s, &url);
	struct http_loop *loop = http_new();
	struct result r = { 0 };
	struct held other;
	usec_t until = clock_now() + 500 * USEC_PER_MSEC;
	usec_t cpu = clock_cpu();

	held_init(
	    &other, &(struct held_opts){ .memory = m, .use = MEMORY_ANSWER });
	held_add(&other, MEMORY_MIN / 2);
	http_start(loop,
	    &(struct http_opts){ .url = url,
		.timeout = x->timeout,
		.max_bytes = MAX_BYTES,
		.memory = m,
		.use = MEMORY_ANSWER,
		.handler = on_event,
		.arg = &r });
	while (clock_now() < until) {
		http_run(loop, USEC_PER_SEC);
		event_base_loop(s.base, EVLOOP_NONBLOCK);
	}
	g_assert_cmpuint(r.bytes, ==, 0);
	g_assert_false(r.ended);
	g_assert_true(r.waits);
	g_assert_cmpint(clock_cpu() - cpu, <, 200 * USEC_PER_MSEC);
	if (x->resumes)
		held_end(&other);
	until = clock_now() + 5 * USEC_PER_SEC;
	while (!r.ended && clock_now() < until) {
		http_run(loop, USEC_PER_MSEC);
		event_base_loop(s.base, EVLOOP_NONBLOCK);
	}
	g_assert_true(r.ended);
	g_assert_cmpint(r.waits, ==, !x->resumes);
	g_assert_cmpint(r.failed, ==, !x->resumes);
	g_assert_cmpuint(r.bytes, ==, x->resumes ? MAX_BYTES : 0);
	g_assert_cmpuint(r.n_waits, ==, x->resumes ? 2 : 1);
	held_end(&other);
	g_assert_cmpuint(host_memory_counts(m).total, ==, 0);
	http_free(loop);
	event_base_loop(s.base, EVLOOP_NONBLOCK);
	evconnlistener_free(l);
	event_base_free(s.base);
	host_memory_free(m);
}

/* What a watch holds of its head doesn't keep other replies from being read. */
static void
test_beside_watch(void)
{
	struct host_memory *m = host_memory_new(MEMORY_MIN);
	struct server s = { .base = event_base_new(),
		.head = "HTTP/1.1 200 OK\r\n\r\n",
		.body_bytes = 5120,
		.closes = true };
	g_autofree char *url = NULL;
	struct evconnlistener *l = start_server(&s, &url);
	struct http_loop *loop = http_new();
	struct result r = { 0 };
	struct held watch;
	usec_t until = clock_now() + 2 * USEC_PER_SEC;

	held_init(
	    &watch, &(struct held_opts){ .memory = m, .use = MEMORY_STORE });
	held_add(&watch, 200);
	http_start(loop,
	    &(struct http_opts){ .url = url,
		.max_bytes = MAX_ANSWER_BYTES,
		.memory = m,
		.use = MEMORY_STORE,
		.handler = on_event,
		.arg = &r });
	while (!r.ended && clock_now() < until) {
		http_run(loop, USEC_PER_MSEC);
		event_base_loop(s.base, EVLOOP_NONBLOCK);
	}
	g_assert_true(r.ended);
	g_assert_false(r.failed);
	g_assert_cmpuint(r.bytes, ==, 5120);
	held_end(&watch);
	http_free(loop);
	event_base_loop(s.base, EVLOOP_NONBLOCK);
	evconnlistener_free(l);
	event_base_free(s.base);
	host_memory_free(m);
}

/*
 * Each of many short replies of unknown length would wait for the room of the
 * largest that there may be.
 */
static void
test_short_unknown(void)
{
	struct host_memory *m = host_memory_new(MEMORY_MIN);
	struct server s = { .base = event_base_new(),
		.head = "HTTP/1.1 200 OK\r\n\r\n",
		.body_bytes = 2048 };
	g_autofree char *url = NULL;
	struct evconnlistener *l = start_server(&s, &url);
	struct http_loop *loop = http_new();
	struct result r[20] = { 0 };
	usec_t until = clock_now() + 2 * USEC_PER_SEC;
	bool all = false;

	for (size_t i = 0; i < G_N_ELEMENTS(r); i++)
		http_start(loop,
		    &(struct http_opts){ .url = url,
			.max_bytes = MAX_ANSWER_BYTES,
			.memory = m,
			.use = MEMORY_ANSWER,
			.handler = on_event,
			.arg = &r[i] });
	/* The server doesn't close, so that all of them stay open. */
	while (!all && clock_now() < until) {
		http_run(loop, USEC_PER_MSEC);
		event_base_loop(s.base, EVLOOP_NONBLOCK);
		all = true;
		for (size_t i = 0; i < G_N_ELEMENTS(r); i++)
			all = all && r[i].bytes == s.body_bytes;
	}
	g_assert_true(all);
	http_free(loop);
	event_base_loop(s.base, EVLOOP_NONBLOCK);
	evconnlistener_free(l);
	event_base_free(s.base);
	host_memory_free(m);
}

static void
on_watch(void *arg, const struct kv_watch_event *w)
{
	*(bool *)arg = w->closed;
}

/* A line of a watch that doesn't end closes the watch. */
static void
test_watch_line(void)
{
	struct host_memory *m = host_memory_new(MEMORY_MIN);
	struct server s = { .base = event_base_new(),
		.head = "HTTP/1.1 200 OK\r\n\r\n",
		.body_bytes = ENDLESS_BYTES };
	g_autofree char *url = NULL;
	struct evconnlistener *l = start_server(&s, &url);
	struct http_loop *loop = http_new();
	g_autofree char *endpoint = g_strndup(
	    url + strlen("http://"), strlen(url) - strlen("http:///"));
	const char *endpoints[] = { endpoint };
	struct kv *kv = kv_new(&(struct kv_opts){ .loop = loop,
	    .endpoints = endpoints,
	    .n_endpoints = 1,
	    .timeout = USEC_PER_SEC,
	    .memory = m });
	bool closed = false;

	kv_watch(kv, STR("key"), 1, on_watch, &closed);
	while (!closed && s.sent < ENDLESS_BYTES) {
		http_run(loop, USEC_PER_MSEC);
		event_base_loop(s.base, EVLOOP_NONBLOCK);
	}
	g_assert_true(closed);
	g_assert_cmpuint(host_memory_counts(m).highest, <=, MEMORY_MIN / 8);
	g_assert_cmpuint(host_memory_counts(m).total, ==, 0);
	kv_free(kv);
	http_free(loop);
	event_base_loop(s.base, EVLOOP_NONBLOCK);
	evconnlistener_free(l);
	event_base_free(s.base);
	host_memory_free(m);
}

/* More calls are answered while the loop doesn't run than it reads at once. */
static void
test_many_answers(void)
{
	struct server s = { .base = event_base_new(),
		.head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
	g_autofree char *url = NULL;
	struct evconnlistener *l = start_server(&s, &url);
	struct http_loop *loop = http_new();
	struct result r[CALLS] = { 0 };
	int answered = 0;

	for (int i = 0; i < CALLS; i++)
		http_start(loop,
		    &(struct http_opts){ .url = url,
			.timeout = CALL_TIME,
			.max_bytes = MAX_BYTES,
			.handler = on_event,
			.arg = &r[i] });
	for (int i = 0; i < CALLS; i++)
		http_run(loop, USEC_PER_MSEC);
	for (int i = 0; i < CALLS; i++) {
		event_base_loop(s.base, EVLOOP_NONBLOCK);
		g_usleep(USEC_PER_MSEC);
	}
	g_usleep((gulong)CALL_TIME);
	while (http_active(loop) > 0)
		http_run(loop, USEC_PER_MSEC);
	for (int i = 0; i < CALLS; i++)
		answered += r[i].ended && !r[i].failed;
	g_assert_cmpint(answered, ==, CALLS);
	http_free(loop);
	event_base_loop(s.base, EVLOOP_NONBLOCK);
	evconnlistener_free(l);
	event_base_free(s.base);
}

struct stop_case {
	const char *name;
	usec_t timeout;         /* of the call; 0: none */
	usec_t connect_timeout; /* 0: one second */
	usec_t judged_after;    /* by who runs the loop; 0: not judged */
	bool at_connect;        /* stands still while it connects */
	const char *head;       /* sent in the standstill; NULL: nothing */
	size_t body_bytes;
	bool ends_conn;
	bool answered;
	bool kept;       /* on the connection of another call */
	bool in_handler; /* stands still in the handler of another call */
};

static const struct stop_case stops[] = {
	{ "answer", 300 * USEC_PER_MSEC, 0, 0, false,
	    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", 100, false,
	    true },
	{ "answer of several reads", 300 * USEC_PER_MSEC, 0, 0, false,
	    "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", 60000, false,
	    true },
	{ "answer on a kept connection", 300 * USEC_PER_MSEC, 0, 0, false,
	    "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", 60000, false,
	    true, true },
	{ "answer up to the end of the connection", 300 * USEC_PER_MSEC, 0, 0,
	    false, "HTTP/1.1 200 OK\r\n\r\n", 60000, true, true },
	{ "answer, judged after http_run", 0, 0, 300 * USEC_PER_MSEC, false,
	    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", 100, false,
	    true },
	{ .name = "answer, judged after a stop in a handler",
	    .judged_after = 600 * USEC_PER_MSEC,
	    .head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
	    .body_bytes = 100,
	    .answered = true,
	    .in_handler = true },
	{ .name = "no answer, judged after http_run",
	    .judged_after = 300 * USEC_PER_MSEC },
	{ "connection", 0, 300 * USEC_PER_MSEC, 0, true,
	    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", 100, false,
	    true },
	{ "part of an answer", 300 * USEC_PER_MSEC, 0, 0, false,
	    "HTTP/1.1 200 OK\r\nContent-Length: 60001\r\n\r\n", 60000, false,
	    false },
	{ "no answer", 300 * USEC_PER_MSEC, 0, 0, false, NULL, 0, false,
	    false },
};

static void
stop_at_end(void *arg, const struct http_event *ev)
{
	on_event(arg, ev);
	if (ev->kind == HTTP_END)
		raise(SIGSTOP);
}

/* Makes a call; the exit status tells whether it was answered. */
static void
run_call(const struct stop_case *x, const char *url)
{
	struct http_loop *loop = http_new();
	struct result r = { 0 };
	struct result other = { 0 };
	usec_t start = clock_now();
	bool late = false;

	if (x->in_handler)
		http_start(loop,
		    &(struct http_opts){ .url = url,
			.max_bytes = MAX_BYTES,
			.handler = stop_at_end,
			.arg = &other });
	if (x->kept) {
		http_start(loop,
		    &(struct http_opts){ .url = url,
			.max_bytes = MAX_BYTES,
			.handler = on_event,
			.arg = &r });
		while (!r.ended)
			http_run(loop, USEC_PER_SEC);
		r = (struct result){ 0 };
	}
	http_start(loop,
	    &(struct http_opts){ .url = url,
		.timeout = x->timeout,
		.max_bytes = MAX_BYTES,
		.connect_timeout = x->connect_timeout,
		.handler = on_event,
		.arg = &r });
	if (x->at_connect) {
		http_run(loop, 0);
		raise(SIGSTOP);
	}
	while (!r.ended && !late) {
		usec_t now = http_run(loop, LOOP_WAIT);

		late = x->judged_after > 0 && now - start > x->judged_after;
	}
	_exit(r.ended && !r.failed && r.bytes == x->body_bytes ? 0 : 1);
}

static void
send_answer(const struct stop_case *x, int fd)
{
	static const char body[MAX_BYTES];

	g_assert_cmpint(
	    write(fd, x->head, strlen(x->head)), ==, (ssize_t)strlen(x->head));
	g_assert_cmpint(
	    write(fd, body, x->body_bytes), ==, (ssize_t)x->body_bytes);
	if (x->ends_conn)
		shutdown(fd, SHUT_WR);
}

static void
test_standstill(gconstpointer arg)
{
	const struct stop_case *x = arg;
	struct sockaddr_in sa = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int other = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_autofree char *url = NULL;
	char request[1024];
	int status = 0;
	int fd = -1;
	int first = -1;
	usec_t resumed;
	pid_t pid;

	g_assert_cmpint(
	    bind(listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(listener, x->in_handler ? 1 : 0), ==, 0);
	getsockname(listener, (struct sockaddr *)&sa, &len);
	url = g_strdup_printf("http://127.0.0.1:%d/", ntohs(sa.sin_port));
	if (x->at_connect)
		g_assert_cmpint(
		    connect(other, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	pid = fork();
	if (pid == 0)
		run_call(x, url);
	if (!x->at_connect) {
		fd = accept(listener, NULL, NULL);
		g_assert_cmpint(read(fd, request, sizeof(request)), >, 0);
		if (x->kept) {
			send_answer(x, fd);
			g_assert_cmpint(
			    read(fd, request, sizeof(request)), >, 0);
		}
		if (x->in_handler) {
			first = fd;
			fd = accept(listener, NULL, NULL);
			g_assert_cmpint(
			    read(fd, request, sizeof(request)), >, 0);
			g_usleep((gulong)CURL_TIMERS);
			send_answer(x, first);
		} else {
			kill(pid, SIGSTOP);
		}
	}
	waitpid(pid, &status, WUNTRACED);
	g_assert_true(WIFSTOPPED(status));
	if (x->at_connect) {
		close(accept(listener, NULL, NULL));
		g_usleep((gulong)CONNECT_RETRY);
		fd = accept(listener, NULL, NULL);
	}
	if (x->head != NULL)
		send_answer(x, fd);
	g_usleep((gulong)STANDSTILL);
	kill(pid, SIGCONT);
	resumed = clock_now();
	g_assert_cmpint(waitpid(pid, &status, 0), ==, pid);
	g_assert_cmpint(clock_now() - resumed, <, LOOP_WAIT);
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, x->answered ? 0 : 1);
	close(first);
	close(fd);
	close(other);
	close(listener);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/http/endless", test_endless);
	g_test_add_func("/http/status", test_status);
	g_test_add_func("/http/many-answers", test_many_answers);
	g_test_add_func("/http/watch-line", test_watch_line);
	g_test_add_func("/http/beside-watch", test_beside_watch);
	g_test_add_func("/http/short-unknown", test_short_unknown);
	for (size_t i = 0; i < G_N_ELEMENTS(rooms); i++) {
		g_autofree char *path =
		    g_strdup_printf("/http/room/%s", rooms[i].name);

		g_test_add_data_func(path, &rooms[i], test_room);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(paused); i++) {
		g_autofree char *path =
		    g_strdup_printf("/http/paused/%s", paused[i].name);

		g_test_add_data_func(path, &paused[i], test_paused);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(stops); i++) {
		g_autofree char *path =
		    g_strdup_printf("/http/standstill/%s", stops[i].name);

		g_test_add_data_func(path, &stops[i], test_standstill);
	}
	return g_test_run();
}
