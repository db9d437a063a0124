/*
 * Tests that a dialer reads a response later when the host has no room for it,
 * without failing the call or blaming its target, and that a body shared by
 * several calls is sent whole by each.
 */
#include "plat/dial.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#define HEAD        "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 100000\r\n\r\n"
#define BODY_BYTES  ((size_t)100000)
#define REPLY_BYTES ((size_t)1024 * 1024)
#define POOL_BYTES  (MEMORY_MIN / 2)
#define WAIT_TIME   (300 * USEC_PER_MSEC)
#define END_TIME    (10 * USEC_PER_SEC)
/* Fewest bytes of a large response in one turn of the loop, on average. */
#define TURN_BYTES  ((size_t)16 * 1024)
/* Read before a response waits. */
#define FIRST_BYTES (2 * MEMORY_SMALL)

/* A target that answers each request with REPLY_BYTES. */
struct fixture {
	struct event_base *base;
	struct evconnlistener *listener;
	char addr[32];
	struct host_memory *memory;
	struct held_runner *runner;
	struct dialer *d;
	bool chunked;
	size_t n_requests;
	int n_ended;
	enum dial_event last;
	size_t received;
	size_t n_parts;
};

static void
reply(struct fixture *f, struct evbuffer *out)
{
	g_autofree char *body = g_strnfill(REPLY_BYTES, 'r');

	if (f->chunked)
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "%zx\r\n",
		    REPLY_BYTES);
	else
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
		    REPLY_BYTES);
	evbuffer_add(out, body, REPLY_BYTES);
	if (f->chunked)
		evbuffer_add_printf(out, "\r\n0\r\n\r\n");
}

static void
on_bytes(struct bufferevent *b, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(b);
	struct fixture *f = arg;

	while (evbuffer_get_length(in) >= sizeof(HEAD) - 1 + BODY_BYTES) {
		f->n_requests++;
		evbuffer_drain(in, sizeof(HEAD) - 1 + BODY_BYTES);
		reply(f, bufferevent_get_output(b));
	}
}

static void
on_end(struct bufferevent *b, short what, void *arg)
{
	(void)what;
	(void)arg;
	bufferevent_free(b);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct fixture *f = arg;
	struct bufferevent *b =
	    bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);

	(void)l;
	(void)sa;
	(void)len;
	bufferevent_set_max_single_write(b, REPLY_BYTES);
	bufferevent_setcb(b, on_bytes, NULL, on_end, f);
	bufferevent_enable(b, EV_READ | EV_WRITE);
}

static void
on_response(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct fixture *f = arg;

	f->n_parts += ev == DIAL_BODY;
	if (ev == DIAL_HEAD || ev == DIAL_BODY)
		return;
	f->n_ended++;
	f->last = ev;
	if (ev == DIAL_END)
		f->received = evbuffer_get_length(m->body);
}

static void
set_up(struct fixture *f, gconstpointer arg)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);

	f->chunked = GPOINTER_TO_INT(arg) != 0;
	f->base = event_base_new();
	f->listener = evconnlistener_new_bind(f->base, on_accept, f,
	    LEV_OPT_CLOSE_ON_FREE, -1, (struct sockaddr *)&sa, sizeof(sa));
	g_assert_nonnull(f->listener);
	getsockname(
	    evconnlistener_get_fd(f->listener), (struct sockaddr *)&sa, &len);
	g_snprintf(
	    f->addr, sizeof(f->addr), "127.0.0.1:%d", ntohs(sa.sin_port));
	f->memory = host_memory_new(MEMORY_MIN);
	f->runner = held_runner_new(f->memory, f->base);
	f->d = dialer_new(f->base);
	dialer_set_memory(f->d, f->memory, f->runner);
}

static void
tear_down(struct fixture *f, gconstpointer arg)
{
	(void)arg;
	dialer_free(f->d);
	g_assert_cmpuint(host_memory_counts(f->memory).total, ==, 0);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	held_runner_free(f->runner);
	host_memory_free(f->memory);
	evconnlistener_free(f->listener);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
}

static struct dial_call *
start(struct fixture *f, struct evbuffer *body, usec_t timeout)
{
	return dial_start(f->d,
	    &(struct dial_opts){
		.addr = str_from(f->addr),
		.head = STR(HEAD),
		.shared_body = body,
		.connect_timeout = 10 * USEC_PER_SEC,
		.timeout = timeout,
		.handler = on_response,
		.arg = f,
	    });
}

/* Runs the loop for a time, or until n calls have ended. */
static void
run(struct fixture *f, int n, usec_t t)
{
	usec_t end = clock_now() + t;

	while (f->n_ended < n && clock_now() < end) {
		event_base_loop(f->base, EVLOOP_NONBLOCK);
		g_usleep(500);
	}
}

static struct evbuffer *
make_body(void)
{
	g_autofree char *text = g_strnfill(BODY_BYTES, 'b');
	struct evbuffer *body = evbuffer_new();

	evbuffer_add(body, text, BODY_BYTES);
	return body;
}

/* Others hold all room: the call waits until they don't. */
static void
test_no_room(struct fixture *f, gconstpointer arg)
{
	struct evbuffer *body = make_body();
	usec_t since = clock_now();
	struct dial_call *k = start(f, body, 0);
	struct held others;

	(void)arg;
	g_assert_nonnull(k);
	held_init(&others,
	    &(struct held_opts){ .memory = f->memory, .use = MEMORY_ANSWER });
	held_add(&others, POOL_BYTES);
	run(f, 1, WAIT_TIME);
	g_assert_cmpint(f->n_ended, ==, 0);
	g_assert_true(dial_is_held(k));
	g_assert_true(dial_has_input(k));
	g_assert_cmpint(dial_waited(k), >, 0);
	g_assert_cmpint(dial_waited(k), <, clock_now() - since);
	g_assert_cmpuint(host_memory_counts(f->memory).by_use[MEMORY_ANSWER], <,
	    POOL_BYTES + FIRST_BYTES);
	g_assert_cmpuint(host_memory_counts(f->memory).waits, ==, 1);
	held_end(&others);
	run(f, 1, END_TIME);
	g_assert_cmpint(f->last, ==, DIAL_END);
	g_assert_cmpuint(f->received, ==, REPLY_BYTES);
	evbuffer_free(body);
}

/* The time of a call ends also while it waits. */
static void
test_time_over(struct fixture *f, gconstpointer arg)
{
	struct evbuffer *body = make_body();
	struct held others;

	(void)arg;
	g_assert_nonnull(start(f, body, WAIT_TIME));
	held_init(&others,
	    &(struct held_opts){ .memory = f->memory, .use = MEMORY_ANSWER });
	held_add(&others, POOL_BYTES);
	run(f, 1, END_TIME);
	g_assert_cmpint(f->n_ended, ==, 1);
	g_assert_cmpint(f->last, ==, DIAL_BROKEN);
	held_end(&others);
	evbuffer_free(body);
}

/* The owner of a call stops its reading. */
static void
test_pause(struct fixture *f, gconstpointer arg)
{
	struct evbuffer *body = make_body();
	struct dial_call *k = start(f, body, 0);

	(void)arg;
	dial_pause(k, true);
	run(f, 1, WAIT_TIME);
	g_assert_cmpint(f->n_ended, ==, 0);
	g_assert_true(dial_is_held(k));
	g_assert_cmpint(dial_unread(k), >=, WAIT_TIME);
	dial_pause(k, false);
	g_assert_cmpint(dial_unread(k), >=, WAIT_TIME);
	run(f, 1, END_TIME);
	g_assert_cmpint(f->last, ==, DIAL_END);
	g_assert_cmpuint(f->received, ==, REPLY_BYTES);
	evbuffer_free(body);
}

static void
test_shared_body(struct fixture *f, gconstpointer arg)
{
	struct evbuffer *body = make_body();

	(void)arg;
	g_assert_nonnull(start(f, body, 0));
	g_assert_nonnull(start(f, body, 0));
	run(f, 2, END_TIME);
	g_assert_cmpint(f->n_ended, ==, 2);
	g_assert_nonnull(start(f, body, 0));
	run(f, 3, END_TIME);
	g_assert_cmpint(f->n_ended, ==, 3);
	g_assert_cmpuint(f->n_requests, ==, 3);
	g_assert_cmpuint(evbuffer_get_length(body), ==, BODY_BYTES);
	evbuffer_free(body);
}

/* Each turn of the loop takes time: a large response needs few. */
static void
test_turns(struct fixture *f, gconstpointer arg)
{
	struct evbuffer *body = make_body();

	(void)arg;
	g_assert_nonnull(start(f, body, 0));
	run(f, 1, END_TIME);
	g_assert_cmpuint(f->received, ==, REPLY_BYTES);
	g_assert_cmpuint(f->n_parts, <=, REPLY_BYTES / TURN_BYTES);
	evbuffer_free(body);
}

int
main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(struct fixture *f, gconstpointer arg);
	} cases[] = {
		{ "no-room", test_no_room },
		{ "time-over", test_time_over },
		{ "pause", test_pause },
		{ "shared-body", test_shared_body },
		{ "turns", test_turns },
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int chunked = 0; chunked < 2; chunked++) {
			g_autofree char *path =
			    g_strdup_printf("/dial-room/%s/%s", cases[i].name,
				chunked != 0 ? "chunked" : "declared");

			g_test_add(path, struct fixture,
			    GINT_TO_POINTER(chunked), set_up, cases[i].run,
			    tear_down);
		}
	}
	return g_test_run();
}
