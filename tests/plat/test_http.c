/*
 * An answer without end fails its call: it would take all memory, as the
 * users of http collect an answer before they read it.
 */
#include "plat/http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#define MAX_BYTES     ((size_t)1024 * 1024)
/* What the server sends at most. */
#define ENDLESS_BYTES ((size_t)64 * 1024 * 1024)
#define CHUNK         ((size_t)64 * 1024)

struct server {
	struct event_base *base;
	const char *head;
	size_t body_bytes; /* to be sent */
	size_t sent;
	bool begun;
};

static void
on_writable(struct bufferevent *b, void *arg)
{
	static const char zeros[1024];
	struct server *s = arg;
	struct evbuffer *out = bufferevent_get_output(b);

	while (s->begun && s->sent < s->body_bytes &&
	    evbuffer_get_length(out) < CHUNK) {
		evbuffer_add(out, zeros, sizeof(zeros));
		s->sent += sizeof(zeros);
	}
}

static void
on_request(struct bufferevent *b, void *arg)
{
	struct server *s = arg;
	struct evbuffer *in = bufferevent_get_input(b);

	evbuffer_drain(in, evbuffer_get_length(in));
	evbuffer_add(bufferevent_get_output(b), s->head, strlen(s->head));
	s->begun = true;
}

static void
on_closed(struct bufferevent *b, short what, void *arg)
{
	(void)what;
	(void)arg;
	bufferevent_free(b);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct server *s = arg;
	struct bufferevent *b =
	    bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);

	(void)l;
	(void)sa;
	(void)len;
	bufferevent_setcb(b, on_request, on_writable, on_closed, s);
	bufferevent_enable(b, EV_READ | EV_WRITE);
}

struct result {
	size_t bytes;
	bool ended;
	bool failed;
};

static void
on_event(void *arg, const struct http_event *ev)
{
	struct result *r = arg;

	if (ev->kind == HTTP_CHUNK)
		r->bytes += ev->bytes.n;
	r->failed = ev->kind == HTTP_FAIL;
	r->ended = r->failed || ev->kind == HTTP_END;
}

static void
test_endless(void)
{
	static const struct {
		const char *name, *head;
		size_t body_bytes;
		size_t max_bytes; /* 0: no limit */
		bool fails;
	} cases[] = {
		{ "as long as the limit",
		    "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n",
		    MAX_BYTES, MAX_BYTES, false },
		{ "longer",
		    "HTTP/1.1 200 OK\r\nContent-Length: 1049600\r\n\r\n",
		    MAX_BYTES + 1024, MAX_BYTES, true },
		{ "longer, without a limit",
		    "HTTP/1.1 200 OK\r\nContent-Length: 1049600\r\n\r\n",
		    MAX_BYTES + 1024, 0, false },
		{ "without end", "HTTP/1.1 200 OK\r\n\r\n", ENDLESS_BYTES,
		    MAX_BYTES, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct server s = { .base = event_base_new(),
			.head = cases[i].head,
			.body_bytes = cases[i].body_bytes };
		struct sockaddr_in sa = { .sin_family = AF_INET,
			.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
		socklen_t len = sizeof(sa);
		struct evconnlistener *l = evconnlistener_new_bind(s.base,
		    on_accept, &s, LEV_OPT_CLOSE_ON_FREE, -1,
		    (struct sockaddr *)&sa, sizeof(sa));
		struct http_loop *loop = http_new();
		g_autofree char *url = NULL;
		struct result r = { 0 };

		g_test_message("%s", cases[i].name);
		g_assert_nonnull(l);
		getsockname(
		    evconnlistener_get_fd(l), (struct sockaddr *)&sa, &len);
		url =
		    g_strdup_printf("http://127.0.0.1:%d/", ntohs(sa.sin_port));
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
		g_assert_cmpint(r.failed, ==, cases[i].fails);
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

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http/endless", test_endless);
	return g_test_run();
}
