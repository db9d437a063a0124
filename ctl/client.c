#include "ctl/client.h"
#include "ctl/session.h"
#include "plat/http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WAIT_TIMEOUT       (30 * USEC_PER_SEC)
#define WAIT_POLL_INTERVAL (100 * USEC_PER_MSEC)
#define LOOP_STEP          (20 * USEC_PER_MSEC)
#define GET_TIMEOUT        (2 * USEC_PER_SEC)
#define MAX_RESPONSE_BYTES ((size_t)64 * 1024 * 1024)

struct http_call {
	bool done;
	int status;
	struct buf *out;
	bool echo;
};

static void
on_http(void *arg, const struct http_event *ev)
{
	struct http_call *call = arg;

	switch (ev->kind) {
	case HTTP_HEAD:
		call->status = ev->status;
		break;
	case HTTP_CHUNK:
		buf_put(call->out, ev->bytes);
		if (call->echo) {
			fwrite(ev->bytes.p, 1, ev->bytes.n, stdout);
			fflush(stdout);
		}
		break;
	case HTTP_WAIT:
		break;
	case HTTP_END:
		call->done = true;
		break;
	case HTTP_FAIL:
		call->done = true;
		call->status = 0;
		break;
	}
}

int
client_call(const struct client_request *rq, struct buf *out)
{
	struct http_loop *loop = http_new();
	struct http_call call = { .out = out, .echo = rq->echo };
	struct buf url = { 0 };

	buf_printf(&url, "http://%s%s", rq->addr, rq->path);
	http_start(loop,
	    &(struct http_opts){
		.method = rq->method,
		.url = url.p,
		.body = rq->body,
		.headers = rq->headers,
		.timeout = rq->timeout,
		.max_bytes = MAX_RESPONSE_BYTES,
		.handler = on_http,
		.arg = &call,
	    });
	while (!call.done)
		http_run(loop, LOOP_STEP);
	buf_free(&url);
	http_free(loop);
	return call.status;
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
		.timeout = GET_TIMEOUT,
	    },
	    &out);

	if (status == 200)
		o = json_loadb(out.p, out.n, 0, NULL);
	buf_free(&out);
	return o;
}

/*
 * Counts the live and draining members and how many of them have the generation
 * in force.  Returns false if there are none or the status can't be read.
 */
static bool
count_members(
    const char *addr, uint64_t generation, size_t *live, size_t *updated)
{
	json_t *o = client_get(addr, "/status");
	const json_t *members = json_object_get(o, "members");

	*live = *updated = 0;
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
			++*updated;
	}
	json_decref(o);
	return *live > 0;
}

int
client_wait_generation(const char *addr, uint64_t generation)
{
	usec_t start = clock_now();
	size_t live = 0;
	size_t updated = 0;

	while (clock_now() - start < WAIT_TIMEOUT) {
		if (count_members(addr, generation, &live, &updated) &&
		    updated == live) {
			printf("in force on %zu sequoiads after %.2f s\n", live,
			    (double)(clock_now() - start) / USEC_PER_SEC);
			return EXIT_DONE;
		}
		usleep(WAIT_POLL_INTERVAL);
	}
	fprintf(stderr,
	    "sequoiactl: in force on %zu of %zu sequoiads so far: see "
	    "sequoiactl status\n",
	    updated, live);
	return EXIT_UNREACHABLE;
}
