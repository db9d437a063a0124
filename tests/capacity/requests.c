/* What a request costs in the kernel, without I/O. */
#include "tests/capacity/capacity.h"
#include "kernel/kernel.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define RUNNERS    20 /* of each service */
#define STEP       (100 * USEC_PER_MSEC)
#define TIMED      2000 /* requests */
#define NOTE_BYTES 1000

struct bench {
	struct kernel *k;
	struct actions actions;
	usec_t now;
	double cpu; /* spent in the kernel */
	uint64_t requests;
	struct buf note;
};

/* An answer's events wait here until the kernel's step is over. */
struct answer {
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
	struct listed_target v[RUNNERS * G_N_ELEMENTS(services)] = { 0 };
	struct conf *c = capacity_conf(10);

	*b = (struct bench){ .now = USEC_PER_SEC };
	b->k = kernel_new(&(struct kernel_opts){ .seed = 1, .domain = "a" });
	for (size_t i = 0; i < NOTE_BYTES; i++)
		buf_putc(&b->note, 'x');
	for (size_t i = 0; i < G_N_ELEMENTS(v); i++) {
		snprintf(v[i].service, sizeof(v[i].service), "%s",
		    services[i / RUNNERS]);
		snprintf(v[i].addr, sizeof(v[i].addr), "10.0.%zu.%zu:80",
		    i / RUNNERS, i % RUNNERS + 1);
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
	buf_free(&b->note);
}

/* Takes the call out of the kernel's actions; false if there is none. */
static bool
take_call(struct bench *b, struct answer *a)
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
feed(struct bench *b, const struct answer *a, const char *text)
{
	step(b,
	    &(struct event){
		.kind = EVENT_CHUNK, .chunk = { a->call, str_from(text) } });
	actions_clear(&b->actions);
}

static void
feed_whole(struct bench *b, const struct answer *a)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "{\"call_id\":\"%s\",\"load\":1,\"document\":{\"%c\":\"found\"}}",
	    a->id, (char)('a' + (int)(a->call % 26)));
	feed(b, a, text);
	step(b, &(struct event){ .kind = EVENT_END, .end = { a->call } });
}

static void
feed_tokens(struct bench *b, const struct answer *a, size_t tokens)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "data: {\"id\":\"%s\",\"choices\":[{\"text\":\"word \"}]}\n\n",
	    a->id);
	for (size_t i = 0; i < tokens; i++)
		feed(b, a, text);
}

static void
feed_end(struct bench *b, const struct answer *a)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "data: {\"id\":\"%s\",\"choices\":[{\"text\":\"\",\"finish_reason\""
	    ":\"stop\"}],\"load\":1}\n\ndata: [DONE]\n\n",
	    a->id);
	feed(b, a, text);
	step(b, &(struct event){ .kind = EVENT_END, .end = { a->call } });
	actions_clear(&b->actions);
}

static void
arrive(struct bench *b)
{
	char id[40];
	struct buf body = { 0 };

	snprintf(id, sizeof(id), "capacity-%" PRIu64, ++b->requests);
	buf_printf(&body, "{\"text\":\"%s\"}", b->note.p);
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

/* Brings a request to its generation call, which is left open. */
static struct answer
to_generation(struct bench *b)
{
	struct answer a = { 0 };

	arrive(b);
	while (take_call(b, &a)) {
		step(b,
		    &(struct event){
			.kind = EVENT_HEAD, .head = { a.call, 200 } });
		if (a.stream)
			return a;
		feed_whole(b, &a);
	}
	g_assert_not_reached();
}

/* Requests at their last stage, documents of 1,000 bytes, 100 tokens so far. */
static void
measure_held(void)
{
	static const size_t held[] = { 100, 400, 1600 };

	for (size_t i = 0; i < G_N_ELEMENTS(held); i++) {
		struct bench b;
		double before;

		start(&b);
		before = heap_bytes();
		for (size_t j = 0; j < held[i]; j++) {
			struct answer a = to_generation(&b);

			feed_tokens(&b, &a, 100);
		}
		g_assert_cmpuint(kernel_busy(b.k), ==, held[i]);
		point("memory of held requests, B per request", (double)held[i],
		    heap_bytes() - before);
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
		for (size_t j = 0; j < TIMED; j++) {
			struct answer a = to_generation(&b);

			feed_tokens(&b, &a, tokens[i]);
			feed_end(&b, &a);
			b.now += STEP;
		}
		g_assert_cmpuint(
		    kernel_stats(b.k)->outcomes[OUTCOME_COMPLETE], ==, TIMED);
		point("time of a request through the kernel, us per token",
		    (double)tokens[i], b.cpu / TIMED);
		stop(&b);
	}
}

void
measure_requests(void)
{
	measure_held();
	measure_time();
}
