#include "tests/load/caller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATIENCE (3 * USEC_PER_SEC) /* after the deadline */

struct callers {
	struct callers_opts o;
	struct rng rng;
	GArray *gaps;
	size_t busy;
};

/* A request under way. */
struct caller {
	struct callers *all;
	struct result res;
	char marker[32];
	usec_t planned;
	usec_t token_at; /* when the last token came */
	unsigned refusals;
	struct buf body; /* of the answer, or the lines not yet read */
	struct buf text; /* tokens of a stream so far */
	struct buf last; /* data of a stream's last event */
	bool at_token;   /* the event under way is a token */
};

static void try_host(struct caller *c);

const char *
verdict_name(enum verdict v)
{
	static const char *const names[GOT_KINDS] = { "whole", "mixed_up",
		"short", "not_run", "failed", "unknown", "broken", "silence",
		"no_host" };

	return names[v];
}

/* A UUID of version 7 (RFC 9562). */
static void
draw_key(struct callers *all, char out[CALLER_KEY_BYTES])
{
	uint64_t ms = (uint64_t)(clock_wall() / USEC_PER_MSEC);
	uint64_t r = rng_u64(&all->rng);

	snprintf(out, CALLER_KEY_BYTES, "%08x-%04x-7%03x-8%03x-%012llx",
	    (unsigned)(ms >> 16), (unsigned)(ms & 0xffff),
	    (unsigned)(r & 0xfff), (unsigned)((r >> 12) & 0xfff),
	    (unsigned long long)(rng_u64(&all->rng) >> 16));
}

/* Whether the text is "MARKER t1 t2 ..." with all its tokens. */
static enum verdict
check_text(const struct caller *c, const char *text)
{
	const struct mix *m = c->res.r.mix;
	struct buf want = { 0 };
	enum verdict v = GOT_MIXED;
	struct str got = str_from(text);

	for (uint32_t i = 0; i < m->tokens; i++) {
		if (i == 0 && m->marked)
			buf_printf(&want, "%s ", c->marker);
		else
			buf_printf(&want, "t%u ", i);
	}
	if (str_eq(got, str_of(&want)))
		v = GOT_WHOLE;
	else if (str_has_prefix(str_of(&want), got))
		v = GOT_SHORT;
	buf_free(&want);
	return v;
}

static enum verdict
check_answer(const struct caller *c, const json_t *answer)
{
	const struct mix *m = c->res.r.mix;
	const char *text =
	    json_string_value(json_object_get(answer, m->output));
	const char *key = json_string_value(
	    json_object_get(json_object_get(answer, m->effect), "key"));
	enum verdict v = GOT_WHOLE;

	if (*m->output != '\0')
		v = text != NULL ? check_text(c, text) : GOT_SHORT;
	if (v == GOT_WHOLE && *m->effect != '\0') {
		if (key == NULL)
			v = GOT_SHORT;
		else if (strcmp(key, c->res.key) != 0)
			v = GOT_MIXED;
	}
	if (v == GOT_WHOLE && c->res.r.stream && *m->output != '\0' &&
	    (text == NULL || !str_eq(str_of(&c->text), str_from(text))))
		v = GOT_SHORT;
	return v;
}

static void
copy_member(char *out, size_t cap, const json_t *o, const char *key)
{
	const char *t = json_string_value(json_object_get(o, key));

	snprintf(out, cap, "%s", t != NULL ? t : "");
}

/* What the final JSON object says. */
static enum verdict
judge(struct caller *c, struct str body)
{
	json_t *o = json_loadb(body.n > 0 ? body.p : "", body.n, 0, NULL);
	const char *told = json_string_value(json_object_get(o, "outcome"));
	enum verdict v = GOT_SHORT;

	copy_member(c->res.id, sizeof(c->res.id), o, "request_id");
	copy_member(c->res.error, sizeof(c->res.error), o, "title");
	if (told == NULL)
		v = GOT_SHORT;
	else if (strcmp(told, "complete") == 0)
		v = check_answer(c, json_object_get(o, "answer"));
	else if (strcmp(told, "not-run") == 0)
		v = GOT_NOT_RUN;
	else if (strcmp(told, "failed") == 0)
		v = GOT_FAILED;
	else if (strcmp(told, "unknown") == 0)
		v = GOT_UNKNOWN;
	json_decref(o);
	return v;
}

static void
take_token(struct caller *c, struct str data)
{
	usec_t now = clock_now();
	json_t *o = json_loadb(data.p, data.n, 0, NULL);
	json_t *t = json_object_get(o, "text");

	buf_put(&c->text,
	    (struct str){ json_string_value(t), json_string_length(t) });
	json_decref(o);
	if (c->token_at == 0) {
		c->res.first = now - c->planned + 2 * c->all->o.client;
	} else {
		usec_t gap = now - c->token_at;

		g_array_append_val(c->all->gaps, gap);
	}
	c->token_at = now;
}

/* Takes the whole lines of a stream that have come. */
static void
take_lines(struct caller *c)
{
	struct str rest = str_of(&c->body);
	struct str line;
	size_t used = 0;

	while (rest.n > 0 && memchr(rest.p, '\n', rest.n) != NULL) {
		str_cut(&rest, '\n', &line);
		used += line.n + 1;
		if (str_has_prefix(line, STR("event: "))) {
			c->at_token = str_eq(line, STR("event: token"));
		} else if (str_has_prefix(line, STR("data: "))) {
			line.p += 6;
			line.n -= 6;
			buf_clear(&c->last);
			if (c->at_token)
				take_token(c, line);
			else
				buf_put(&c->last, line);
		}
	}
	buf_drop(&c->body, used);
}

static void
end(struct caller *c, enum verdict v)
{
	struct callers *all = c->all;
	struct result res = c->res;

	res.verdict = v;
	res.taken = clock_now() - c->planned + 2 * all->o.client;
	buf_free(&c->body);
	buf_free(&c->text);
	buf_free(&c->last);
	free(c);
	all->busy--;
	all->o.ended(all->o.arg, &res);
}

static void
on_http(void *arg, const struct http_event *ev)
{
	struct caller *c = arg;
	bool lines;

	switch (ev->kind) {
	case HTTP_HEAD:
		return;
	case HTTP_CHUNK:
		buf_put(&c->body, ev->bytes);
		lines = c->res.r.stream && *c->body.p != '{';
		if (lines)
			take_lines(c);
		return;
	case HTTP_END:
		end(c, judge(c, str_of(c->last.n > 0 ? &c->last : &c->body)));
		return;
	case HTTP_FAIL:
		break;
	}
	switch (ev->fail.why) {
	case HTTP_CONNECT:
		fleet_refused(c->all->o.fleet, c->res.host, clock_now());
		c->refusals++;
		try_host(c);
		return;
	case HTTP_BROKEN:
		end(c, GOT_BROKEN);
		return;
	case HTTP_TIMEOUT:
		end(c, GOT_SILENCE);
		return;
	}
}

static void
write_body(const struct caller *c, struct buf *out)
{
	const struct mix *m = c->res.r.mix;
	struct buf text = { 0 };

	plan_text(&c->res.r, &text);
	buf_printf(out, "{\"text\":\"%s\",\"%s\":\"marker=%s and more\"}",
	    text.p, m->field, c->marker);
	buf_free(&text);
}

/*
 * On a connection of its own: on one used before, libcurl may send a request
 * a second time by itself, which would hide what was lost.
 */
static void
post(struct caller *c)
{
	const struct mix *m = c->res.r.mix;
	struct callers *all = c->all;
	struct buf url = { 0 };
	struct buf body = { 0 };
	char auth[128];
	char key[64];
	const char *headers[4] = { auth };
	size_t n = 1;

	snprintf(auth, sizeof(auth), "Authorization: Bearer %s", m->token);
	snprintf(key, sizeof(key), "Idempotency-Key: %s", c->res.key);
	if (*m->effect != '\0')
		headers[n++] = key;
	if (c->res.r.stream)
		headers[n++] = "Accept: text/event-stream";
	buf_printf(&url, "http://%s/v1/pipelines/%s",
	    fleet_rpc_addr(all->o.fleet, c->res.host, false), m->pipeline);
	write_body(c, &body);
	http_start(all->o.loop,
	    &(struct http_opts){
		.method = "POST",
		.url = url.p,
		.body = str_of(&body),
		.headers = headers,
		.timeout = m->deadline + PATIENCE,
		.fresh = true,
		.handler = on_http,
		.arg = c,
	    });
	buf_free(&url);
	buf_free(&body);
}

static void
try_host(struct caller *c)
{
	struct fleet *f = c->all->o.fleet;

	c->res.host =
	    c->refusals < fleet_size(f) ? fleet_pick(f, clock_now()) : -1;
	if (c->res.host < 0)
		end(c, GOT_NO_HOST);
	else
		post(c);
}

struct callers *
callers_new(const struct callers_opts *o)
{
	struct callers *all = xcalloc(1, sizeof(*all));

	all->o = *o;
	rng_init(&all->rng, o->seed ^ (uint64_t)clock_wall());
	all->gaps = g_array_new(FALSE, FALSE, sizeof(usec_t));
	return all;
}

void
callers_send(struct callers *all, const struct planned *r, usec_t at)
{
	struct caller *c = xcalloc(1, sizeof(*c));

	c->all = all;
	c->planned = at;
	c->res.r = *r;
	c->res.lag = clock_now() - at;
	snprintf(c->marker, sizeof(c->marker), "m%llx-%u",
	    (unsigned long long)all->o.seed, r->number);
	if (*r->mix->effect != '\0')
		draw_key(all, c->res.key);
	all->busy++;
	try_host(c);
}

size_t
callers_busy(const struct callers *c)
{
	return c->busy;
}

const GArray *
callers_gaps(const struct callers *c)
{
	return c->gaps;
}

void
callers_free(struct callers *c)
{
	g_array_free(c->gaps, TRUE);
	free(c);
}
