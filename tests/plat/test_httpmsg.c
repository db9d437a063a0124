/*
 * Tests of the HTTP/1.1 parser: tables of complete, incomplete and invalid
 * messages.
 */
#include "plat/addr.h"
#include "plat/httpmsg.h"

#include <glib.h>
#include <string.h>

#define R "POST /p HTTP/1.1\r\nHost: h\r\n"

struct message_case {
	const char *text;
	enum httpmsg_state state;
	const char *body;
	size_t rest; /* bytes of the next message */
};

static const struct message_case requests[] = {
	{ R "Content-Length: 2\r\n\r\nhi", HTTPMSG_DONE, "hi", 0 },
	{ R "Content-Length: 2\r\n\r\nhiGET", HTTPMSG_DONE, "hi", 3 },
	{ R "Content-Length: 2\r\n\r\nh", HTTPMSG_BODY, "h", 0 },
	{ R "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	    HTTPMSG_DONE, "hi", 0 },
	{ R "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-T: 1\r\n\r\n",
	    HTTPMSG_DONE, "hi", 0 },
	{ R "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", HTTPMSG_BODY, "hi",
	    0 },
	/* Ambiguous messages, which two parsers could split differently. */
	{ R "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    HTTPMSG_BAD, NULL, 0 },
	{ R "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", HTTPMSG_BAD,
	    NULL, 0 },
	{ R "Content-Length: +2\r\n\r\nhi", HTTPMSG_BAD, NULL, 0 },
	{ R "Content-Length: 2x\r\n\r\nhi", HTTPMSG_BAD, NULL, 0 },
	{ R "Content-Length : 2\r\n\r\nhi", HTTPMSG_BAD, NULL, 0 },
	{ R "Transfer-Encoding: chunked\r\n\r\nzz\r\n", HTTPMSG_BAD, NULL, 0 },
	{ R "X-A: b\r\n c\r\n\r\n", HTTPMSG_BAD, NULL, 0 },
	{ R "X-A: b\r\n\tc\r\n\r\n", HTTPMSG_BAD, NULL, 0 },
	{ "\r\n\r\n" R "X-A: b\r\n c\r\n\r\n", HTTPMSG_BAD, NULL, 0 },
	{ "\n\n" R "X-A: b\r\n c\r\n\r\n", HTTPMSG_BAD, NULL, 0 },
	{ "\r\n\r\n" R "Content-Length: 2\r\n\r\nhi", HTTPMSG_DONE, "hi", 0 },
	{ R "Content-Length: 5\r\n\r\n\n a\r\n", HTTPMSG_DONE, "\n a\r\n", 0 },
	{ "GET /p HTTP/9.9\r\n\r\n", HTTPMSG_BAD, NULL, 0 },
	{ "odd\r\n\r\n", HTTPMSG_BAD, NULL, 0 },
	{ "GET /a/../b%2f?x HTTP/1.1\r\nHost: h\r\n\r\n", HTTPMSG_DONE, "", 0 },
	{ "GET /p HTTP/1.1\r\nHo", HTTPMSG_HEAD, "", 0 },
};

#define STATUS(s) "HTTP/1.1" s "\r\nContent-Length: 2\r\n\r\nhi"

static const struct message_case responses[] = {
	{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", HTTPMSG_DONE, "hi",
	    0 },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi extra", HTTPMSG_DONE,
	    "hi", 6 },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
	  "Content-Length: 0\r\n\r\n",
	    HTTPMSG_DONE, "", 0 },
	{ "HTTP/1.1 204 No\r\n\r\n", HTTPMSG_DONE, "", 0 },
	/* A response without a length ends with its connection. */
	{ "HTTP/1.1 200 OK\r\n\r\nhi", HTTPMSG_BODY, "hi", 0 },
	{ "\x01\x02 no answer", HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" 599 X"), HTTPMSG_DONE, "hi", 0 },
	{ STATUS(" 200"), HTTPMSG_DONE, "hi", 0 },
	{ "\r\n" STATUS(" 200 OK"), HTTPMSG_DONE, "hi", 0 },
	/* What has no status is no response, nor an interim one. */
	{ STATUS(" 000 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" 099 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" 600 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" 999 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" 20 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" 2000 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" 0200 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS("  200 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" 2 00 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" +200 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" -200 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" 200x OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS("\t200 OK"), HTTPMSG_BAD, NULL, 0 },
	{ STATUS(" "), HTTPMSG_BAD, NULL, 0 },
	{ "HTTP/1.1 100 Continue\r\n\r\n" STATUS(" 000 OK"), HTTPMSG_BAD, NULL,
	    0 },
};

static void
check(const struct message_case *c, enum http_parser_type type, size_t step)
{
	struct evbuffer *in = evbuffer_new();
	struct httpmsg m;
	size_t n = strlen(c->text);

	httpmsg_init(&m, type, 8192);
	for (size_t off = 0; off < n; off += step) {
		evbuffer_add(
		    in, c->text + off, n - off < step ? n - off : step);
		httpmsg_feed(&m, in);
	}
	if (m.state != c->state)
		g_test_message("in steps of %zu: %s", step, c->text);
	g_assert_cmpint(m.state, ==, c->state);
	if (c->body != NULL) {
		size_t len = evbuffer_get_length(m.body);

		g_assert_cmpuint(len, ==, strlen(c->body));
		if (len > 0)
			g_assert_cmpmem(
			    evbuffer_pullup(m.body, -1), len, c->body, len);
		g_assert_cmpuint(evbuffer_get_length(in), ==, c->rest);
	}
	evbuffer_free(in);
	httpmsg_free(&m);
}

static void
test_messages(void)
{
	for (size_t step = 1; step < 200; step++) {
		for (size_t i = 0; i < G_N_ELEMENTS(requests); i++)
			check(&requests[i], HTTP_REQUEST, step);
		for (size_t i = 0; i < G_N_ELEMENTS(responses); i++)
			check(&responses[i], HTTP_RESPONSE, step);
	}
}

/* The end of the connection completes only a response without a length. */
static void
test_eof(void)
{
	static const struct {
		const char *text;
		enum httpmsg_state state;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\n\r\nhi", HTTPMSG_DONE },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
		    HTTPMSG_BAD },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nhi\r\n",
		    HTTPMSG_BAD },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct evbuffer *in = evbuffer_new();
		struct httpmsg m;

		httpmsg_init(&m, HTTP_RESPONSE, 8192);
		evbuffer_add(in, cases[i].text, strlen(cases[i].text));
		httpmsg_feed(&m, in);
		httpmsg_eof(&m);
		g_assert_cmpint(m.state, ==, cases[i].state);
		evbuffer_free(in);
		httpmsg_free(&m);
	}
}

static void
test_limits(void)
{
	struct evbuffer *in = evbuffer_new();
	struct httpmsg m;

	httpmsg_init(&m, HTTP_REQUEST, 100);
	evbuffer_add_printf(in, "GET /%0200d", 1);
	httpmsg_feed(&m, in);
	g_assert_cmpint(m.state, ==, HTTPMSG_BAD);
	g_assert_true(m.head_too_large);
	httpmsg_free(&m);
	evbuffer_drain(in, evbuffer_get_length(in));
	httpmsg_init(&m, HTTP_REQUEST, 1 << 20);
	evbuffer_add_printf(in, "GET / HTTP/1.1\r\n");
	for (int i = 0; i <= HTTPMSG_MAX_FIELDS; i++)
		evbuffer_add_printf(in, "A: b\r\n");
	evbuffer_add_printf(in, "\r\n");
	httpmsg_feed(&m, in);
	g_assert_cmpint(m.state, ==, HTTPMSG_BAD);
	g_assert_true(m.head_too_large);
	httpmsg_free(&m);
	evbuffer_free(in);
}

/*
 * Parts of a response that are not its body and have no end: each is malformed
 * after a bounded number of bytes, at whatever size they arrive.
 */
static void
test_without_end(void)
{
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	static const struct {
		const char *name;
		const char *begin, *unit;
	} cases[] = {
		{ "bytes", "", "x" },
		{ "blank lines", "", "\r\n" },
		{ "status line", "HTTP/1.1 200 ", "x" },
		{ "field", "HTTP/1.1 200 OK\r\nX-Pad: ", "x" },
		{ "field name", "HTTP/1.1 200 OK\r\n", "x" },
		{ "fields", "HTTP/1.1 200 OK\r\n", "X-Pad: x\r\n" },
		{ "interim responses", "", "HTTP/1.1 102 X\r\n\r\n" },
		{ "chunk size", CHUNKED, "0" },
		{ "chunk extension", CHUNKED "1;", "x" },
		{ "extension after a chunk", CHUNKED "1\r\nx\r\n1;", "x" },
		{ "trailer field", CHUNKED "0\r\nX-Pad: ", "x" },
		{ "trailer fields", CHUNKED "0\r\n", "X-Pad: x\r\n" },
	};
#undef CHUNKED
	static const size_t steps[] = { 1, 1000, 16384 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(steps); k++) {
			g_autoptr(GString) text = g_string_new(cases[i].begin);
			struct evbuffer *in = evbuffer_new();
			struct httpmsg m;
			size_t fed = 0;

			httpmsg_init(&m, HTTP_RESPONSE, 65536);
			while (m.state != HTTPMSG_BAD && fed < 1 << 20) {
				while (text->len < steps[k])
					g_string_append(text, cases[i].unit);
				evbuffer_add(in, text->str, steps[k]);
				g_string_erase(text, 0, (gssize)steps[k]);
				httpmsg_feed(&m, in);
				fed += steps[k];
			}
			g_test_message("%s, %zu at once: %zu bytes",
			    cases[i].name, steps[k], fed);
			g_assert_cmpint(m.state, ==, HTTPMSG_BAD);
			g_assert_cmpuint(fed, <=, 100 * 1024);
			evbuffer_free(in);
			httpmsg_free(&m);
		}
	}
}

static void
test_addr(void)
{
	static const struct {
		const char *text;
		bool ok;
	} cases[] = { { "127.0.0.1:80", true }, { "10.1.2.3:65535", true },
		{ "127.0.0.1", false }, { "127.0.0.1:", false },
		{ "127.0.0.1:65536", false }, { "host:80", false },
		{ "127.0.0.1:8x", false }, { ":80", false }, { "", false },
		{ "127.0.0.1127.0.0.1:80", false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct sockaddr_in a;

		g_assert_cmpint(
		    addr_parse(str_from(cases[i].text), &a), ==, cases[i].ok);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/messages", test_messages);
	g_test_add_func("/eof", test_eof);
	g_test_add_func("/limits", test_limits);
	g_test_add_func("/without-end", test_without_end);
	g_test_add_func("/addr", test_addr);
	return g_test_run();
}
