/*
 * Targets that answer before they have read the whole call and reset the
 * connection: an answer that would end with its connection must not be taken
 * for complete.  The reset is reported once, to whichever of reading and
 * writing comes first; after that the connection looks closed in order.
 */
#include "plat/dial.h"
#include "tests/plat/reset_server.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>

#define SMALL_BYTES 1000
#define CHUNK_BYTES 4096
#define END_TIME    (5 * USEC_PER_SEC)

enum framing {
	BY_LENGTH,
	IN_CHUNKS
};

struct result {
	struct reset_server *server;
	bool ended;
	bool complete;
};

static void
on_call(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct result *r = arg;

	(void)m;
	switch (ev) {
	case DIAL_HEAD:
	case DIAL_BODY:
		g_atomic_int_set(&r->server->client_has_part, 1);
		break;
	case DIAL_END:
		r->complete = true;
		r->ended = true;
		break;
	default:
		r->ended = true;
		break;
	}
}

static void
put_upload(struct evbuffer *out, enum framing f, size_t n)
{
	static const char chunk[CHUNK_BYTES];
	size_t i;

	if (f == BY_LENGTH)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", n);
	else
		evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
	for (i = 0; i < n; i += MIN(CHUNK_BYTES, n - i)) {
		size_t k = MIN(CHUNK_BYTES, n - i);

		if (f == IN_CHUNKS)
			evbuffer_add_printf(out, "%zx\r\n", k);
		evbuffer_add(out, chunk, k);
		if (f == IN_CHUNKS)
			evbuffer_add_printf(out, "\r\n");
	}
	if (f == IN_CHUNKS)
		evbuffer_add_printf(out, "0\r\n\r\n");
}

static void
dial_case(const struct answer_case *c, enum framing f, size_t n)
{
	static const char head[] = "POST / HTTP/1.1\r\nHost: t\r\n";
	struct event_base *base = event_base_new();
	struct dialer *d = dialer_new(base);
	struct evbuffer *upload = evbuffer_new();
	struct reset_server s;
	struct result r = { &s, false, false };

	put_upload(upload, f, n);
	reset_server_open(&s, c,
	    evbuffer_get_length(upload) -
		(size_t)evbuffer_search(upload, "\r\n\r\n", 4, NULL).pos - 4);
	g_assert_nonnull(dial_start(d,
	    &(struct dial_opts){
		.addr = str_from(s.addr),
		.head = STR(head),
		.body = upload,
		.connect_timeout = END_TIME,
		.timeout = END_TIME,
		.handler = on_call,
		.arg = &r,
	    }));
	while (!r.ended)
		event_base_loop(base, EVLOOP_ONCE);
	g_test_message("%s, %s of %zu bytes: %s", c->name,
	    f == BY_LENGTH ? "length" : "chunks", n,
	    r.complete ? "complete" : "broken");
	g_assert_cmpint(r.complete, ==, c->complete);
	reset_server_close(&s);
	evbuffer_free(upload);
	dialer_free(d);
	event_base_loop(base, EVLOOP_NONBLOCK);
	event_base_free(base);
}

static void
test_dial(void)
{
	for (size_t i = 0; i < N_RESET_CASES; i++) {
		for (int f = BY_LENGTH; f <= IN_CHUNKS; f++) {
			dial_case(&reset_cases[i], f, UPLOAD_BYTES);
			if (reset_cases[i].ending != RESET_BEFORE)
				dial_case(&reset_cases[i], f, SMALL_BYTES);
		}
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reset-answers", test_dial);
	return g_test_run();
}
