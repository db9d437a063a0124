#include "entry/web.h"
#include "base/log.h"
#include "entry/reply.h"
#include "kernel/answer.h"

#include <civetweb.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-memb.h>

#define PIPELINES      "/v1/pipelines/"
#define REQUESTS       "/v1/requests/"
#define WAIT_STEP      (200 * USEC_PER_MSEC)
#define READER_GRACE   (2 * USEC_PER_SEC)
#define MAX_ATTEMPT    1000000U
#define MAX_TIMEOUT_MS 3600000U

struct web {
	struct web_opts o;
	struct mg_context *ctx;
};

/* One caller's request while its worker serves it. */
struct visit {
	struct web *w;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	struct conf *conf;
	const struct conf_workspace *workspace;
	struct reply reply;
};

static int
refuse(const struct visit *v, enum err_kind kind, const char *detail)
{
	return reply_refuse(&v->reply, kind, detail);
}

/* Finds the workspace by the bearer token; 0 or an error number. */
static int
authorize(struct visit *v)
{
	const char *auth = mg_get_header(v->conn, "Authorization");

	v->conf = snaps_conf(v->w->o.snaps);
	if (v->conf == NULL)
		return ERR_NOT_READY;
	if (auth == NULL || strncmp(auth, "Bearer ", 7) != 0)
		return ERR_BAD_TOKEN;
	v->workspace = conf_token(v->conf, str_trim(str_from(auth + 7)));
	return v->workspace != NULL ? 0 : ERR_BAD_TOKEN;
}

/* Reads a header that holds a whole number; absent: 0. */
static bool
number_header(
    struct mg_connection *conn, const char *name, uint64_t most, uint64_t *out)
{
	const char *text = mg_get_header(conn, name);

	*out = 0;
	if (text == NULL)
		return true;
	return str_u64(str_from(text), out) && *out > 0 && *out <= most;
}

/* Reads the whole body; 0 or an error number. */
static int
read_body(const struct visit *v, struct buf *out)
{
	const struct settings *s = v->w->o.settings;
	usec_t until = clock_now() + s->body_timeout;
	char part[8192];
	int n;

	if (v->info->content_length > (long long)s->max_body)
		return ERR_TOO_LARGE;
	while ((n = mg_read(v->conn, part, sizeof(part))) > 0) {
		buf_put(out, (struct str){ part, (size_t)n });
		if (out->n > s->max_body)
			return ERR_TOO_LARGE;
		if (clock_now() > until)
			return ERR_SLOW_BODY;
	}
	if (v->info->content_length >= 0 &&
	    out->n < (size_t)v->info->content_length)
		return ERR_SLOW_BODY;
	return 0;
}

static bool
wants_stream(struct mg_connection *conn)
{
	const char *accept = mg_get_header(conn, "Accept");

	return accept != NULL && strstr(accept, "text/event-stream") != NULL;
}

/* Fills a request from the headers; 0 or an error number with detail. */
static int
read_request(const struct visit *v, struct str pipeline,
    struct traffic_request *rq, const char **detail)
{
	const char *key = mg_get_header(v->conn, "Idempotency-Key");
	uint64_t attempt;
	uint64_t timeout;
	int rc;

	*detail = "";
	if (!number_header(v->conn, "Sequoia-Attempt", MAX_ATTEMPT, &attempt)) {
		*detail = "Sequoia-Attempt: write a whole number from 1";
		return ERR_BAD_HEADER;
	}
	if (!number_header(
		v->conn, "Sequoia-Timeout-Ms", MAX_TIMEOUT_MS, &timeout)) {
		*detail = "Sequoia-Timeout-Ms: write a whole number from 1";
		return ERR_BAD_HEADER;
	}
	if (key != NULL && strlen(key) > MAX_KEY_BYTES) {
		*detail = "Idempotency-Key: longer than a UUID";
		return ERR_KEY_BAD;
	}
	rc = read_body(v, &rq->body);
	if (rc != 0)
		return rc;
	if (key != NULL)
		buf_put(&rq->key, str_from(key));
	buf_put(&rq->pipeline, pipeline);
	buf_put(&rq->workspace, str_from(v->workspace->name));
	rq->attempt = (uint32_t)attempt;
	rq->timeout = (usec_t)timeout * USEC_PER_MSEC;
	rq->stream = wants_stream(v->conn);
	return 0;
}

static bool
send_piece(const struct visit *v, struct record *r, size_t i)
{
	struct buf text = { 0 };
	struct buf data = { 0 };
	bool ok;

	record_read(r, i, &text);
	answer_dump(json_pack("{s:s%}", "text", text.p, text.n), &data);
	ok = reply_event(&v->reply, i + 1, "token", str_of(&data));
	buf_free(&text);
	buf_free(&data);
	return ok;
}

static bool
send_end(
    const struct visit *v, struct record *r, const struct record_view *view)
{
	struct buf data = { 0 };
	bool complete = view->end.outcome == OUTCOME_COMPLETE;
	bool ok;

	if (complete)
		reply_complete_body(record_id(r), &view->end, &data);
	else
		reply_problem_body(record_id(r), &view->end, &data);
	ok = reply_event(&v->reply, view->pieces + 1,
	    complete ? "answer" : "problem", str_of(&data));
	buf_free(&data);
	return ok;
}

/* Streams from piece number seen on; false when the caller has gone. */
static bool
stream(const struct visit *v, struct record *r, size_t seen)
{
	struct record_view view;
	bool ok = reply_stream_head(&v->reply);

	while (ok) {
		record_wait(r, seen, WAIT_STEP, &view);
		for (; ok && seen < view.pieces; seen++)
			ok = send_piece(v, r, seen);
		if (ok && view.ended)
			return send_end(v, r, &view);
		if (ok && seen == view.pieces)
			ok = mg_write(v->conn, ":\n\n", 3) > 0;
	}
	return false;
}

static int
wait_whole(const struct visit *v, struct record *r)
{
	struct record_view view;

	do {
		record_wait(r, SIZE_MAX, WAIT_STEP, &view);
	} while (!view.ended);
	return reply_end(&v->reply, &view.end);
}

/* Writes the answer; a caller that has gone may come back for a while. */
static int
serve(const struct visit *v, struct record *r, size_t seen, bool streamed)
{
	struct record_view view;
	int status = 200;
	bool gone = false;

	record_enter(r);
	if (streamed)
		gone = !stream(v, r, seen);
	else
		status = wait_whole(v, r);
	if (gone)
		record_wait(r, SIZE_MAX, READER_GRACE, &view);
	if (record_leave(r) && gone && !view.ended)
		traffic_gone(v->w->o.traffic, record_handle(r));
	return status;
}

static usec_t
sunset_of(const struct visit *v, struct str pipeline)
{
	const struct conf_pipeline *p = conf_pipeline(v->conf, pipeline);
	usec_t fleet = v->conf->fleet.sunset;

	if (p == NULL || p->sunset == 0)
		return fleet;
	return fleet != 0 && fleet < p->sunset ? fleet : p->sunset;
}

static int
post_pipeline(struct visit *v, struct str pipeline)
{
	struct traffic_request rq = { 0 };
	const char *detail;
	struct record *r;
	bool streamed;
	int status;
	int rc;

	if (strcmp(v->info->request_method, "POST") != 0)
		return refuse(v, ERR_METHOD, "POST");
	rc = authorize(v);
	if (rc != 0)
		return refuse(v, rc, "");
	v->reply.sunset = sunset_of(v, pipeline);
	rc = read_request(v, pipeline, &rq, &detail);
	if (rc != 0) {
		buf_free(&rq.body);
		return refuse(v, rc, detail);
	}
	streamed = rq.stream;
	r = record_new(v->w->o.records, str_from(v->workspace->name));
	v->reply.request_id = record_id(r);
	rq.req = record_handle(r);
	buf_put(&rq.id, str_from(record_id(r)));
	traffic_arrive(v->w->o.traffic, &rq);
	status = serve(v, r, 0, streamed);
	record_put(r);
	return status;
}

static int
get_trace(const struct visit *v, struct record *r)
{
	struct buf body = { 0 };

	buf_printf(&body, "{\"request_id\":\"%s\",\"trace\":", record_id(r));
	record_trace(r, &body);
	buf_putc(&body, '}');
	reply_json(v->conn, 200, str_of(&body));
	buf_free(&body);
	return 200;
}

static int
get_running(const struct visit *v, struct record *r)
{
	struct buf body = { 0 };

	buf_printf(
	    &body, "{\"request_id\":\"%s\",\"outcome\":null}", record_id(r));
	reply_json(v->conn, 202, str_of(&body));
	buf_free(&body);
	return 202;
}

static int
get_request(struct visit *v, struct str rest)
{
	struct record_view view;
	struct record *r;
	struct str id;
	uint64_t seen;
	int status;
	int rc = authorize(v);

	if (rc != 0)
		return refuse(v, rc, "");
	str_cut(&rest, '/', &id);
	r = record_find(v->w->o.records, id, str_from(v->workspace->name));
	if (r == NULL)
		return refuse(v, ERR_NOT_FOUND, "");
	v->reply.request_id = record_id(r);
	record_wait(r, SIZE_MAX, 0, &view);
	if (str_eq(rest, STR("trace"))) {
		status = get_trace(v, r);
	} else if (wants_stream(v->conn)) {
		number_header(v->conn, "Last-Event-ID", SIZE_MAX, &seen);
		status = serve(v, r, seen, true);
	} else if (view.ended) {
		status = reply_end(&v->reply, &view.end);
	} else {
		status = get_running(v, r);
	}
	record_put(r);
	return status;
}

static int
on_request(struct mg_connection *conn, void *arg)
{
	struct visit v = {
		.w = arg,
		.conn = conn,
		.info = mg_get_request_info(conn),
		.reply = { conn, "", 0 },
	};
	struct str path = str_from(v.info->local_uri);
	int status;

	if (str_prefix(path, STR(PIPELINES))) {
		path.p += sizeof(PIPELINES) - 1;
		path.n -= sizeof(PIPELINES) - 1;
		status = post_pipeline(&v, path);
	} else if (str_prefix(path, STR(REQUESTS))) {
		path.p += sizeof(REQUESTS) - 1;
		path.n -= sizeof(REQUESTS) - 1;
		status = get_request(&v, path);
	} else {
		status = refuse(&v, ERR_NOT_FOUND, "no such path");
	}
	conf_unref(v.conf);
	return status;
}

static void *
on_thread(const struct mg_context *ctx, int kind)
{
	(void)ctx;
	(void)kind;
	urcu_memb_register_thread();
	return NULL;
}

static void
on_thread_end(const struct mg_context *ctx, int kind, void *arg)
{
	(void)ctx;
	(void)kind;
	(void)arg;
	urcu_memb_unregister_thread();
}

struct web *
web_start(const struct web_opts *o, struct err *e)
{
	struct web *w = xcalloc(1, sizeof(*w));
	struct mg_callbacks cb = {
		.init_thread = on_thread,
		.exit_thread = on_thread_end,
	};
	char workers[16];
	char body_ms[24];
	const char *options[] = { "listening_ports", o->settings->listen,
		"num_threads", workers, "request_timeout_ms", body_ms,
		"enable_keep_alive", "yes", "keep_alive_timeout_ms", "5000",
		"tcp_nodelay", "1", NULL };

	snprintf(workers, sizeof(workers), "%u", o->settings->workers);
	snprintf(body_ms, sizeof(body_ms), "%lld",
	    (long long)(o->settings->body_timeout / USEC_PER_MSEC));
	w->o = *o;
	w->ctx = mg_start(&cb, w, options);
	if (w->ctx == NULL) {
		err_set(e, ERR_SETTING,
		    "[sequoiad] listen = %s: can't listen there: write an own "
		    "address with a free port",
		    o->settings->listen);
		free(w);
		return NULL;
	}
	mg_set_request_handler(w->ctx, "/", on_request, w);
	return w;
}

void
web_stop(struct web *w)
{
	mg_stop(w->ctx);
	free(w);
}
