/*
 * The same as test_reset_answers for the client of pipelines, which sends
 * bodies with a length only.
 */
#include "plat/http.h"
#include "tests/plat/reset_server.h"

#define END_TIME (5 * USEC_PER_SEC)

struct result {
	struct reset_server *server;
	bool ended;
	bool complete;
};

static void
on_http(void *arg, const struct http_event *ev)
{
	struct result *r = arg;

	if (ev->kind == HTTP_CHUNK)
		g_atomic_int_set(&r->server->client_has_part, 1);
	r->complete = ev->kind == HTTP_END;
	r->ended = ev->kind == HTTP_END || ev->kind == HTTP_FAIL;
}

static void
test_http(void)
{
	for (size_t i = 0; i < N_RESET_CASES; i++) {
		struct http_loop *l = http_new();
		char *body = g_malloc0(UPLOAD_BYTES);
		struct reset_server s;
		struct result r = { &s, false, false };
		g_autofree char *url = NULL;

		reset_server_open(&s, &reset_cases[i], UPLOAD_BYTES);
		url = g_strdup_printf("http://%s/", s.addr);
		http_start(l,
		    &(struct http_opts){
			.url = url,
			.body = { body, UPLOAD_BYTES },
			.timeout = END_TIME,
			.max_bytes = UPLOAD_BYTES,
			.handler = on_http,
			.arg = &r,
		    });
		while (!r.ended)
			http_run(l, USEC_PER_SEC);
		g_test_message("%s: %s", reset_cases[i].name,
		    r.complete ? "complete" : "broken");
		g_assert_cmpint(r.complete, ==, reset_cases[i].complete);
		reset_server_close(&s);
		http_free(l);
		g_free(body);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reset-http", test_http);
	return g_test_run();
}
