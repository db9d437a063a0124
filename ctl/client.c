#include "ctl/client.h"
#include "ctl/session.h"
#include "plat/http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WAIT_MOST (30 * USEC_PER_SEC)
#define WAIT_STEP (100 * USEC_PER_MSEC)
#define RUN_STEP  (20 * USEC_PER_MSEC)
#define GET_TIME  (2 * USEC_PER_SEC)

struct exchange {
	bool done;
	int status;
	struct buf *out;
	bool echo;
};

static void
on_http(void *arg, const struct http_event *ev)
{
	struct exchange *x = arg;

	switch (ev->kind) {
	case HTTP_HEAD:
		x->status = ev->status;
		break;
	case HTTP_CHUNK:
		buf_put(x->out, ev->bytes);
		if (x->echo) {
			fwrite(ev->bytes.p, 1, ev->bytes.n, stdout);
			fflush(stdout);
		}
		break;
	case HTTP_END:
		x->done = true;
		break;
	case HTTP_FAIL:
		x->done = true;
		x->status = 0;
		break;
	}
}

int
client_call(const struct client_request *rq, struct buf *out)
{
	struct http_loop *loop = http_new();
	struct exchange x = { .out = out, .echo = rq->echo };
	struct buf url = { 0 };

	buf_printf(&url, "http://%s%s", rq->addr, rq->path);
	http_start(loop,
	    &(struct http_opts){
		.method = rq->method,
		.url = url.p,
		.body = rq->body,
		.headers = rq->headers,
		.timeout = rq->timeout,
		.handler = on_http,
		.arg = &x,
	    });
	while (!x.done)
		http_run(loop, RUN_STEP);
	buf_free(&url);
	http_free(loop);
	return x.status;
}

json_t *
client_get(const char *addr, const char *path)
{
	struct buf out = { 0 };
	json_t *o = NULL;
	int status = client_call(
	    &(struct client_request){
		.method = "GET",
		.addr = addr,
		.path = path,
		.timeout = GET_TIME,
	    },
	    &out);

	if (status == 200)
		o = json_loadb(out.p, out.n, 0, NULL);
	buf_free(&out);
	return o;
}

/* Live members, and how many of them have the generation in force. */
static bool
count(const char *addr, uint64_t generation, size_t *live, size_t *have)
{
	json_t *o = client_get(addr, "/status");
	const json_t *members = json_object_get(o, "members");

	*live = *have = 0;
	for (size_t i = 0; i < json_array_size(members); i++) {
		const json_t *m = json_array_get(members, i);
		const char *state =
		    json_string_value(json_object_get(m, "state"));
		json_int_t g =
		    json_integer_value(json_object_get(m, "generation"));

		if (state == NULL ||
		    (strcmp(state, "live") != 0 &&
			strcmp(state, "draining") != 0))
			continue;
		++*live;
		if ((uint64_t)g >= generation)
			++*have;
	}
	json_decref(o);
	return *live > 0;
}

int
client_wait_generation(const char *addr, uint64_t generation)
{
	usec_t began = clock_now();
	size_t live = 0;
	size_t have = 0;

	while (clock_now() - began < WAIT_MOST) {
		if (count(addr, generation, &live, &have) && have == live) {
			printf("in force on %zu sequoiads after %.2f s\n", live,
			    (double)(clock_now() - began) / USEC_PER_SEC);
			return EXIT_DONE;
		}
		usleep(WAIT_STEP);
	}
	fprintf(stderr,
	    "sequoiactl: in force on %zu of %zu sequoiads so far: see "
	    "sequoiactl status\n",
	    have, live);
	return EXIT_UNREACHABLE;
}
