#include "entry/web.h"
#include "entry/server.h"
#include "entry/web_request.h"
#include "kernel/uuid7.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PIPELINES STR("/v1/pipelines/")
#define REQUESTS  STR("/v1/requests/")

struct web {
	struct web_opts o;
	struct mg_context *ctx;
	struct connfd_reads *connfd_reads;
	struct in_progress_list in_progress;
	atomic_uint busy;
	atomic_uint connections;
};

int
web_request_refuse(
    struct web_request *wr, enum err_kind kind, const char *detail)
{
	atomic_fetch_add(&wr->o->tally->refused[-kind], 1);
	wr->reply.close = wr->reply.close || !wr->drained;
	return reply_refuse(&wr->reply, kind, detail);
}

static bool
is_method(const struct web_request *wr, const char *method)
{
	return strcmp(wr->info->request_method, method) == 0;
}

/*
 * Checks everything that can be checked without the body; returns 0 or an error
 * number.  From here on, a refusal of a keyed request no longer says not-run:
 * an earlier delivery of the key may have run, and refusals are not stored.
 */
static int
check_pipeline(struct web_request *wr, struct str name)
{
	const struct conf_pipeline *p;
	const char *key = mg_get_header(wr->conn, "Idempotency-Key");
	const char *what;
	int rc;

	if (!is_method(wr, "POST")) {
		wr->reply.allow = "POST";
		return ERR_METHOD;
	}
	wr->reply.keyed = key != NULL;
	rc = web_request_authorize(wr);
	if (rc != 0)
		return rc;
	p = conf_pipeline(wr->conf, name);
	if (p == NULL || !conf_grants(p, wr->workspace))
		return ERR_NO_PIPELINE;
	wr->reply.keyed = key != NULL && p->needs_key;
	wr->reply.sunset = conf_sunset(wr->conf, p, &what);
	if (!p->needs_key)
		return 0;
	if (key == NULL)
		return ERR_KEY_MISSING;
	return uuid7_check(
	    str_from(key), clock_wall(), wr->conf->fleet.claim_retention);
}

static int
post_pipeline(struct web_request *wr, struct str pipeline)
{
	struct traffic_request rq = { 0 };
	struct buf detail = { 0 };
	struct record *r;
	bool streamed;
	int status;
	int rc = check_pipeline(wr, pipeline);

	held_init(&wr->body,
	    &(struct held_opts){
		.memory = wr->o->memory, .use = MEMORY_REQUEST });
	if (rc == 0)
		rc = web_request_read(wr, pipeline, &rq, &detail);
	if (rc == ERR_KEY_BAD)
		wr->reply.keyed = false;
	if (rc != 0) {
		status =
		    web_request_refuse(wr, rc, detail.n > 0 ? detail.p : "");
		goto out;
	}
	streamed = rq.stream;
	r = record_new(wr->o->records, str_from(wr->workspace->name));
	wr->reply.request_id = record_id(r);
	rq.req = record_handle(r);
	buf_put(&rq.id, str_from(record_id(r)));
	traffic_arrive(wr->o->traffic, &rq);
	status = web_request_serve(wr, r, 0, streamed);
	record_unref(r);
out:
	held_end(&wr->body);
	buf_free(&rq.body);
	buf_free(&rq.key);
	buf_free(&detail);
	return status;
}

static int
get_trace(const struct web_request *wr, struct record *r)
{
	struct buf body = { 0 };

	buf_printf(&body, "{\"request_id\":\"%s\",\"trace\":", record_id(r));
	record_trace(r, &body);
	buf_putc(&body, '}');
	reply_json(&wr->reply, 200, str_of(&body));
	buf_free(&body);
	return 200;
}

static int
get_running(const struct web_request *wr, struct record *r)
{
	struct buf body = { 0 };

	buf_printf(
	    &body, "{\"request_id\":\"%s\",\"outcome\":null}", record_id(r));
	reply_json(&wr->reply, 202, str_of(&body));
	buf_free(&body);
	return 202;
}

/* Answers with the trace, stream or result of a request. */
static int
show_request(struct web_request *wr, struct record *r, struct str part)
{
	struct record_view view;
	size_t seen;

	if (str_eq(part, STR("trace")))
		return get_trace(wr, r);
	if (part.n > 0)
		return web_request_refuse(
		    wr, ERR_NOT_FOUND, "write ID or ID/trace");
	if (web_request_wants_stream(wr)) {
		if (!web_request_last_event_id(wr, &seen))
			return web_request_refuse(wr, ERR_BAD_HEADER,
			    "Last-Event-ID: write the last event's number");
		return web_request_serve(wr, r, seen, true);
	}
	record_wait(r, SIZE_MAX, 0, &view);
	return view.ended ? reply_end(&wr->reply, &view.end)
			  : get_running(wr, r);
}

/*
 * Answers with the state of a request as reported by the sequoiad that has it.
 */
static int
reply_from_peer(struct web_request *wr, const char *id, const peer_query *query,
    peer_result *result)
{
	struct str value = { result->value.value_val, result->value.value_len };
	struct record_end end = {
		.outcome = (enum outcome)result->outcome,
		.error = (enum err_kind)result->error,
		.retry_after = result->retry_after,
		.body = value,
	};
	struct buf body = { 0 };
	int status = 200;

	snprintf(end.detail, sizeof(end.detail), "%s", result->detail);
	wr->reply.request_id = id;
	if (query->kind == PEER_GET_REQUEST && result->ended)
		return reply_end(&wr->reply, &end);
	buf_printf(&body, "{\"request_id\":\"%s\",", id);
	if (query->kind == PEER_GET_TRACE) {
		buf_put(&body, STR("\"trace\":"));
		buf_put(&body, value);
	} else {
		buf_put(&body, STR("\"outcome\":null"));
		status = 202;
	}
	buf_putc(&body, '}');
	reply_json(&wr->reply, status, str_of(&body));
	buf_free(&body);
	return status;
}

/*
 * Fetches the state of a request from the sequoiad that issued the id.  A
 * stream is only available at that sequoiad.
 */
static int
show_from_peer(struct web_request *wr, struct str id, struct str part)
{
	char text[RECORD_ID_BYTES];
	peer_query query = {
		.kind = str_eq(part, STR("trace")) ? PEER_GET_TRACE
						   : PEER_GET_REQUEST,
		.name = text,
		.workspace = wr->workspace->name,
	};
	peer_result result;
	int status;
	int rc;

	if (id.n >= sizeof(text))
		return web_request_refuse(wr, ERR_NOT_FOUND, "");
	snprintf(text, sizeof(text), "%.*s", STR_FMT(id));
	rc = control_fetch(wr->o->control, &query, &result);
	if (rc != 0)
		return web_request_refuse(wr, rc, "");
	status = reply_from_peer(wr, text, &query, &result);
	wr->reply.request_id = "";
	rpc_result_free(&result);
	wr->reply.request_id = "";
	return status;
}

static int
get_request(struct web_request *wr, struct str rest)
{
	struct record *r;
	struct str id;
	int status;
	int rc;

	wr->reply.about_other = true;
	if (!is_method(wr, "GET")) {
		wr->reply.allow = "GET";
		return web_request_refuse(wr, ERR_METHOD, "GET");
	}
	wr->drained = wr->info->content_length <= 0;
	rc = web_request_authorize(wr);
	if (rc != 0)
		return web_request_refuse(wr, rc, "");
	str_cut(&rest, '/', &id);
	r = record_find(wr->o->records, id, str_from(wr->workspace->name));
	if (r == NULL)
		return show_from_peer(wr, id, rest);
	wr->reply.request_id = record_id(r);
	status = show_request(wr, r, rest);
	record_unref(r);
	return status;
}

static struct str
path_after(struct str path, struct str prefix)
{
	return (struct str){ path.p + prefix.n, path.n - prefix.n };
}

/*
 * Keeps connections open while workers are available.  A draining process, or
 * one with more than 3/4 of its workers taken, closes each connection after its
 * response.
 */
static bool
must_close(struct web *w)
{
	return proc_state_draining(w->o.proc_state) ||
	    atomic_load(&w->connections) > w->o.settings->workers / 4 * 3;
}

static struct web_request
new_web_request(struct web *w, struct mg_connection *conn)
{
	return (struct web_request){
		.o = &w->o,
		.connfd_reads = w->connfd_reads,
		.in_progress = &w->in_progress,
		.conn = conn,
		.info = mg_get_request_info(conn),
		.reply = { .conn = conn,
		    .request_id = "",
		    .close = must_close(w) },
	};
}

static int
on_request(struct mg_connection *conn, void *arg)
{
	struct web *w = arg;
	struct web_request wr = new_web_request(w, conn);
	struct str path = str_from(wr.info->local_uri);
	int status;

	atomic_fetch_add(&w->busy, 1);
	in_progress_begin(&w->in_progress, &wr.progress);
	if (str_has_prefix(path, PIPELINES))
		status = post_pipeline(&wr, path_after(path, PIPELINES));
	else if (str_has_prefix(path, REQUESTS))
		status = get_request(&wr, path_after(path, REQUESTS));
	else
		status = web_request_refuse(&wr, ERR_NOT_FOUND,
		    "write /v1/pipelines/NAME or /v1/requests/ID");
	conf_unref(wr.conf);
	in_progress_end(&w->in_progress, &wr.progress);
	atomic_fetch_sub(&w->busy, 1);
	return status;
}

/* Answers a request that CivetWeb can't parse; the rest of it is not read. */
static int
on_unreadable(struct mg_connection *conn, int status, const char *message)
{
	struct web *w = mg_get_user_data(mg_get_context(conn));
	struct web_request wr = new_web_request(w, conn);
	enum err_kind kind = ERR_BAD_HEADER;

	if (status == 413 || status == 431)
		kind = ERR_TOO_LARGE;
	else if (status == 408)
		kind = ERR_SLOW_BODY;
	web_request_refuse(&wr, kind, message);
	return 0;
}

static int
on_connection(const struct mg_connection *conn, void **data)
{
	struct web *w = mg_get_user_data(mg_get_context(conn));

	(void)data;
	atomic_fetch_add(&w->connections, 1);
	return 0;
}

static void
on_close(const struct mg_connection *conn)
{
	struct web *w = mg_get_user_data(mg_get_context(conn));

	atomic_fetch_sub(&w->connections, 1);
}

static void
free_web(struct web *w)
{
	in_progress_free(&w->in_progress);
	connfd_free(w->connfd_reads);
	free(w);
}

struct web *
web_start(const struct web_opts *o, struct err *e)
{
	struct web *w = xcalloc(1, sizeof(*w));
	struct mg_callbacks cb = {
		.init_thread = proc_state_thread_begin,
		.exit_thread = proc_state_thread_end,
		.http_error = on_unreadable,
		.init_connection = on_connection,
		.connection_closed = on_close,
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
	w->connfd_reads = connfd_new();
	in_progress_init(&w->in_progress);
	w->ctx = mg_start(&cb, w, options);
	if (w->ctx == NULL) {
		err_set(e, ERR_SETTING,
		    "[sequoiad] listen = %s: can't listen there: write an own "
		    "address with a free port",
		    o->settings->listen);
		free_web(w);
		return NULL;
	}
	mg_set_request_handler(w->ctx, "/", on_request, w);
	return w;
}

void
web_sweep(struct web *w, usec_t now)
{
	connfd_sweep(w->connfd_reads, now);
}

unsigned
web_busy(struct web *w)
{
	return atomic_load(&w->busy);
}

unsigned
web_log_cut(struct web *w, usec_t signal_at)
{
	return in_progress_log_cut(&w->in_progress, signal_at);
}

bool
web_stop(struct web *w, usec_t until)
{
	if (!server_stop(w->ctx, w->o.settings->listen, until))
		return false;
	free_web(w);
	return true;
}
