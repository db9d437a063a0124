/* Memory and processor time that a request costs in the kernel, without I/O. */
#include "tests/capacity/capacity.h"
#include "kernel/kernel.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define TARGETS_PER_SERVICE 20
#define STEP                (100 * USEC_PER_MSEC)
#define TIMED_REQUESTS      2000
#define DOCUMENT_BYTES      1000

struct bench {
	struct kernel *k;
	struct actions actions;
	usec_t now;
	double cpu; /* spent in the kernel */
	uint64_t requests;
	struct buf document_text;
};

/* A call that the kernel has sent and the bench answers. */
struct open_call {
	uint64_t call;
	bool stream;
	char id[128];
};

static void
step(struct bench *b, const struct event *ev)
{
	double before = cpu_usec();

	kernel_step(b->k, b->now, ev, &b->actions);
	b->cpu += cpu_usec() - before;
}

static void
start(struct bench *b)
{
	static const char *const services[] = { "enc", "ret", "rer", "gen" };
	struct listed_target v[TARGETS_PER_SERVICE * G_N_ELEMENTS(services)] = {
		0
	};
	struct conf *c = capacity_conf(10);

	*b = (struct bench){ .now = USEC_PER_SEC };
	b->k = kernel_new(&(struct kernel_opts){ .seed = 1, .domain = "a" });
	for (size_t i = 0; i < DOCUMENT_BYTES; i++)
		buf_putc(&b->document_text, 'x');
	for (size_t i = 0; i < G_N_ELEMENTS(v); i++) {
		snprintf(v[i].service, sizeof(v[i].service), "%s",
		    services[i / TARGETS_PER_SERVICE]);
		snprintf(v[i].addr, sizeof(v[i].addr), "10.0.%zu.%zu:80",
		    i / TARGETS_PER_SERVICE, i % TARGETS_PER_SERVICE + 1);
		snprintf(v[i].domain, sizeof(v[i].domain), "a");
	}
	step(b, &(struct event){ .kind = EVENT_CONF, .conf = { c } });
	step(b,
	    &(struct event){
		.kind = EVENT_TARGETS, .targets = { v, G_N_ELEMENTS(v) } });
	conf_unref(c);
	actions_clear(&b->actions);
}

static void
stop(struct bench *b)
{
	kernel_free(b->k);
	actions_free(&b->actions);
	buf_free(&b->document_text);
}

/* Takes the last call from the kernel's actions; false if there is none. */
static bool
take_call(struct bench *b, struct open_call *a)
{
	bool found = false;

	for (size_t i = 0; i < b->actions.n; i++) {
		const struct action *x = &b->actions.v[i];
		const char *id;

		if (x->kind != ACTION_CALL)
			continue;
		a->call = x->call.call;
		a->stream = strcmp(x->call.path.p, "/v1/completions") == 0;
		id = strstr(x->call.body.p,
		    a->stream ? "\"request_id\":\"" : "\"call_id\":\"");
		g_assert_nonnull(id);
		id = strchr(id, ':') + 2;
		snprintf(a->id, sizeof(a->id), "%.*s",
		    (int)(strchr(id, '"') - id), id);
		found = true;
	}
	actions_clear(&b->actions);
	return found;
}

static void
feed_chunk(struct bench *b, const struct open_call *a, const char *text)
{
	step(b,
	    &(struct event){
		.kind = EVENT_CHUNK, .chunk = { a->call, str_from(text) } });
	actions_clear(&b->actions);
}

static void
feed_answer(struct bench *b, const struct open_call *a)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "{\"call_id\":\"%s\",\"load\":1,\"document\":{\"%c\":\"found\"}}",
	    a->id, (char)('a' + (int)(a->call % 26)));
	feed_chunk(b, a, text);
	step(b, &(struct event){ .kind = EVENT_END, .end = { a->call } });
}

static void
feed_tokens(struct bench *b, const struct open_call *a, size_t tokens)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "data: {\"id\":\"%s\",\"choices\":[{\"text\":\"word \"}]}\n\n",
	    a->id);
	for (size_t i = 0; i < tokens; i++)
		feed_chunk(b, a, text);
}

static void
feed_end(struct bench *b, const struct open_call *a)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "data: {\"id\":\"%s\",\"choices\":[{\"text\":\"\",\"finish_reason\""
	    ":\"stop\"}],\"load\":1}\n\ndata: [DONE]\n\n",
	    a->id);
	feed_chunk(b, a, text);
	step(b, &(struct event){ .kind = EVENT_END, .end = { a->call } });
	actions_clear(&b->actions);
}

static void
arrive(struct bench *b)
{
	char id[40];
	struct buf body = { 0 };

	snprintf(id, sizeof(id), "capacity-%" PRIu64, ++b->requests);
	buf_printf(&body, "{\"text\":\"%s\"}", b->document_text.p);
	step(b,
	    &(struct event){
		.kind = EVENT_ARRIVE,
		.arrive = {
		    .req = b->requests,
		    .id = str_from(id),
		    .workspace = STR("workspace-1"),
		    .pipeline = STR("p"),
		    .attempt = 1,
		    .stream = true,
		    .body = str_of(&body),
		},
	    });
	buf_free(&body);
}

/* Runs a new request up to its generation call, which stays open. */
static struct open_call
run_to_generation(struct bench *b)
{
	struct open_call a = { 0 };

	arrive(b);
	while (take_call(b, &a)) {
		step(b,
		    &(struct event){
			.kind = EVENT_HEAD, .head = { a.call, 200 } });
		if (a.stream)
			return a;
		feed_answer(b, &a);
	}
	g_assert_not_reached();
}

/*
 * Measures the memory of requests at their last stage with documents of 1,000
 * bytes and 100 tokens received.
 */
static void
measure_memory(void)
{
	static const size_t sizes[] = { 100, 400, 1600 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct bench b;
		double before;

		start(&b);
		before = heap_bytes();
		for (size_t j = 0; j < sizes[i]; j++) {
			struct open_call a = run_to_generation(&b);

			feed_tokens(&b, &a, 100);
		}
		g_assert_cmpuint(kernel_busy(b.k), ==, sizes[i]);
		record_point("memory of held requests, B per request",
		    (double)sizes[i], heap_bytes() - before);
		stop(&b);
	}
}

static void
measure_time(void)
{
	static const size_t tokens[] = { 8, 64, 256 };

	for (size_t i = 0; i < G_N_ELEMENTS(tokens); i++) {
		struct bench b;

		start(&b);
		b.cpu = 0;
		for (size_t j = 0; j < TIMED_REQUESTS; j++) {
			struct open_call a = run_to_generation(&b);

			feed_tokens(&b, &a, tokens[i]);
			feed_end(&b, &a);
			b.now += STEP;
		}
		g_assert_cmpuint(kernel_stats(b.k)->outcomes[OUTCOME_COMPLETE],
		    ==, TIMED_REQUESTS);
		record_point(
		    "time of a request through the kernel, us per token",
		    (double)tokens[i], b.cpu / TIMED_REQUESTS);
		stop(&b);
	}
}

void
measure_requests(void)
{
	measure_memory();
	measure_time();
}
