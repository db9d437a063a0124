#include "tests/load/direct.h"
#include "tests/load/samples.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT (20 * USEC_PER_SEC)

/* Durations of one way: direct, or through a sequoiad. */
struct path_times {
	GArray *first_token;
	GArray *token_gap;
	GArray *complete;
};

/* A call whose tokens are timed; each event with text counts as a token. */
struct timed_call {
	struct pending_fetch fetch; /* must be the first member */
	struct path_times *times;
	usec_t began;
	usec_t last_token_at;
};

static void
time_tokens(struct pending_fetch *f, struct str bytes)
{
	struct timed_call *x = (struct timed_call *)f;
	usec_t now = clock_now();
	usec_t d = now - (x->last_token_at != 0 ? x->last_token_at : x->began);
	struct buf b = { 0 };

	buf_put(&b, bytes);
	if (b.n > 0 && strstr(b.p, "\"text\":\"") != NULL &&
	    strstr(b.p, "\"stop\"") == NULL &&
	    strstr(b.p, "event: answer") == NULL) {
		if (x->last_token_at == 0)
			g_array_append_val(x->times->first_token, d);
		else
			g_array_append_val(x->times->token_gap, d);
		x->last_token_at = now;
	}
	buf_free(&b);
}

static void
timed_call_run(struct http_loop *l, struct timed_call *x, const char *url,
    const char *const *headers, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	fetch_run(&x->fetch, l,
	    (struct http_opts){
		.method = "POST",
		.url = url,
		.body = str_from(text),
		.headers = headers,
		.timeout = CALL_TIMEOUT,
	    });
	free(text);
	json_decref(body);
}

static json_t *
make_document(struct plan *p, uint32_t n)
{
	struct planned_request r;
	struct buf text = { 0 };
	json_t *o;

	plan_draw_one(p, 0, n, &r);
	r.mix = &p->mixes[0];
	/* All requests share a text, which is soon in each prefix cache. */
	r.prefix = 0;
	plan_text(&r, &text);
	o = json_pack("{s:s, s:s}", "text", text.p, r.mix->field,
	    "marker=direct and more");
	buf_free(&text);
	return o;
}

/* Returns the body of a call in the format of docs/PIPELINES.md. */
static json_t *
make_call(const struct mix *m, const char *kind, json_t *document)
{
	char *passages;
	json_t *o;

	if (strcmp(kind, "generate") != 0)
		return json_pack("{s:s, s:s, s:s, s:s, s:O}", "call_id", "d.1",
		    "request_id", "d", "pipeline", m->pipeline, "stage", kind,
		    "document", document);
	passages =
	    json_dumps(json_object_get(document, "passages"), JSON_COMPACT);
	o = json_pack("{s:s, s:s++, s:i, s:b, s:s, s:s}", "model", "direct",
	    "prompt", passages, "\n",
	    json_string_value(json_object_get(document, m->field)),
	    "max_tokens", (int)m->tokens, "stream", 1, "cache_salt",
	    m->workspace, "request_id", "d.1");
	free(passages);
	return o;
}

/* Sends one request directly to the first target of each service. */
static void
send_direct(struct plan *p, struct http_loop *l, json_t *document,
    struct path_times *times)
{
	struct str rest = str_from(p->mixes[0].calls);
	struct str part;
	usec_t began = clock_now();
	usec_t d;

	while (str_cut(&rest, ' ', &part)) {
		struct timed_call x = { .times = times, .began = began };
		char section[64];
		char url[128];
		const char *kind;
		bool stream;
		json_t *answer;

		snprintf(
		    section, sizeof(section), "target %.*s", STR_FMT(part));
		kind = settings_text(&p->ini, section, "kind", NULL);
		stream = strcmp(kind, "generate") == 0;
		x.fetch.chunk = stream ? time_tokens : NULL;
		snprintf(url, sizeof(url), "http://%s/v1/%s",
		    settings_text(&p->ini, section, "listen", NULL),
		    stream ? "completions" : kind);
		timed_call_run(
		    l, &x, url, NULL, make_call(&p->mixes[0], kind, document));
		answer = json_loadb(x.fetch.body.p, x.fetch.body.n, 0, NULL);
		json_object_update(
		    document, json_object_get(answer, "document"));
		json_decref(answer);
		buf_free(&x.fetch.body);
	}
	d = clock_now() - began;
	g_array_append_val(times->complete, d);
}

static void
send_through_sequoiad(struct plan *p, struct http_loop *l, json_t *document,
    struct path_times *times)
{
	const struct mix *m = &p->mixes[0];
	struct timed_call x = { { .chunk = time_tokens }, times, clock_now(),
		0 };
	char auth[128];
	char url[128];
	const char *const headers[] = { auth, "Accept: text/event-stream",
		NULL };
	usec_t d;

	snprintf(auth, sizeof(auth), "Authorization: Bearer %s", m->token);
	snprintf(url, sizeof(url), "http://%s.1:%u/v1/pipelines/%s",
	    settings_text(&p->ini, "run", "net", "127.0.0"),
	    (unsigned)settings_number(&p->ini, "run", "port", NULL),
	    m->pipeline);
	timed_call_run(l, &x, url, headers, json_incref(document));
	buf_free(&x.fetch.body);
	d = clock_now() - x.began;
	g_array_append_val(times->complete, d);
}

static json_t *
summarize(GArray *v)
{
	static const struct quantile qs[] = { { "p50_ms", 0.5 },
		{ "p95_ms", 0.95 } };
	json_t *o = samples_quantiles(v, qs, G_N_ELEMENTS(qs));

	json_object_set_new(o, "n", json_integer(v->len));
	g_array_free(v, TRUE);
	return o;
}

json_t *
direct_measure(struct plan *p, struct http_loop *loop, uint32_t n)
{
	struct path_times paths[2];
	json_t *all[2];

	for (int k = 0; k < 2; k++)
		paths[k] = (struct path_times){ g_array_new(FALSE, FALSE,
						    sizeof(usec_t)),
			g_array_new(FALSE, FALSE, sizeof(usec_t)),
			g_array_new(FALSE, FALSE, sizeof(usec_t)) };
	for (uint32_t i = 0; i < 2 * n; i++) {
		json_t *document = make_document(p, i);

		if (i % 2 == 0)
			send_direct(p, loop, document, &paths[0]);
		else
			send_through_sequoiad(p, loop, document, &paths[1]);
		json_decref(document);
	}
	for (int k = 0; k < 2; k++)
		all[k] = json_pack("{s:o, s:o, s:o}", "first_token",
		    summarize(paths[k].first_token), "between_tokens",
		    summarize(paths[k].token_gap), "whole",
		    summarize(paths[k].complete));
	return json_pack("{s:o, s:o}", "direct", all[0], "path", all[1]);
}
