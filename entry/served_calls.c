/* Makes calls to targets for hosts that have no path to them. */
#include "entry/target_calls_state.h"
#include "base/log.h"
#include "kernel/memory.h"
#include "kernel/run_promise.h"
#include "platform/request.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Requests of other hosts that are older, or newer, are rejected. */
#define MAX_AGE     (30 * USEC_PER_SEC)
/* A response is aborted when more bytes than this are unsent. */
#define MAX_BACKLOG ((size_t)4 * 1024 * 1024)

/* A call that is made for another host. */
struct served_call {
	struct target_calls *calls;
	struct httpd_request *q;
	struct target_call *call;
	char target[64];
	bool head_written;
	bool has_body;            /* a part of the body has arrived */
	enum loads_result result; /* of the target, by the head */
	struct stopping_read stop_read;
	GList link;
};

static void
free_served(struct served_call *s)
{
	g_queue_unlink(&s->calls->served, &s->link);
	atomic_fetch_sub(s->calls->o.busy, 1);
	free(s);
}

static void
respond_failure(struct httpd_request *q, const char *failure)
{
	g_autofree char *fields =
	    g_strdup_printf(RESULT_FIELD ": %s\r\n", failure);

	httpd_respond(
	    q, &(struct httpd_response){ .status = 503, .fields = fields });
}

static void
write_served(struct served_call *s, const struct httpmsg *m)
{
	struct evbuffer *out = evbuffer_new();

	if (evbuffer_get_length(m->body) > 0)
		s->has_body = true;
	evbuffer_add_buffer(out, m->body);
	httpd_write(s->q, out);
	evbuffer_free(out);
}

/* The target is cold: the asker learns that, and sends the call elsewhere. */
static void
respond_cold(struct httpd_request *q, const struct target_load *t)
{
	usec_t left = t->cold.until - clock_now();
	g_autofree char *fields = g_strdup_printf(RESULT_FIELD
	    ": " NOT_SENT "\r\n" COLD_FIELD ": %" PRId64 "\r\n",
	    MAX(left, 0) / USEC_PER_MSEC);

	httpd_respond(
	    q, &(struct httpd_response){ .status = 503, .fields = fields });
}

/* Ends a call with a failure; result is that of its target. */
static void
fail_served_as(
    struct served_call *s, const char *failure, enum loads_result result)
{
	struct httpd_request *q = s->q;
	bool head_written = s->head_written;

	loads_ended(s->calls->o.loads, s->target, result, clock_now());
	free_served(s);
	if (head_written)
		httpd_abort(q);
	else
		respond_failure(q, failure);
}

static void
fail_served(struct served_call *s, const char *failure)
{
	fail_served_as(s, failure, LOADS_FAILED);
}

static void
end_served(struct served_call *s, const struct httpmsg *m)
{
	struct httpd_request *q = s->q;

	write_served(s, m);
	/*
	 * The chunks would hide that such an answer ends with its connection,
	 * so that a target that has crashed looks like one that is done.
	 */
	if (!httpmsg_has_end(m) && !s->has_body) {
		fail_served(s, BROKEN);
		return;
	}
	loads_ended(s->calls->o.loads, s->target, s->result, clock_now());
	free_served(s);
	httpd_end(q);
}

/* Notes what the response says of its target, as of a call of this host. */
static void
note_head(struct served_call *s, const struct httpmsg *m)
{
	struct target_load *t = loads_find(s->calls->o.loads, s->target);
	int status = (int)m->parser.status_code;
	struct response_info f;

	platform_response_parse(m, &f);
	if (t != NULL && f.has_load)
		loads_report(t, f.running, f.waiting, f.slowness, clock_now());
	switch (run_promise_judge(status, f.not_executed)) {
	case RUN_REFUSED:
		s->result = LOADS_OK;
		break;
	case RUN_ANSWERED:
		s->result = status < 500 ? LOADS_OK : LOADS_FAILED;
		break;
	case RUN_UNCERTAIN:
		s->result = LOADS_FAILED;
		break;
	}
}

/* Passes the head of the response on to the host that asked for the call. */
static void
write_served_head(struct served_call *s, const struct httpmsg *m)
{
	struct buf fields = { 0 };

	/* The field concerns this connection only. */
	buf_put(&fields,
	    STR(RESULT_FIELD ": " ANSWERED "\r\n"
			     "Connection: " RESULT_FIELD "\r\n"));
	platform_response_fields(&fields, m);
	httpd_respond(s->q,
	    &(struct httpd_response){
		.status = m->parser.status_code,
		.fields = fields.p,
		.chunked = true,
	    });
	buf_free(&fields);
	s->head_written = true;
}

static void
on_served_event(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct served_call *s = arg;
	struct target_call *k = s->call;

	switch (ev) {
	case DIAL_HEAD:
		note_head(s, m);
		write_served_head(s, m);
		return;
	case DIAL_BODY:
		write_served(s, m);
		if (!httpd_takes_more(s->q, false))
			target_call_pause(k, true);
		if (httpd_backlog(s->q) <= MAX_BACKLOG)
			return;
		fail_served(s, BROKEN);
		target_call_cancel(k);
		return;
	case DIAL_END:
		end_served(s, m);
		return;
	case DIAL_UNSENT:
	case DIAL_UNCHECKED:
		fail_served(s, NOT_SENT);
		return;
	case DIAL_BROKEN:
		fail_served_as(s, BROKEN,
		    target_call_unread(k) >= MEMORY_UNREAD_TIME ? LOADS_OK
								: LOADS_FAILED);
		return;
	case DIAL_BAD_RESPONSE:
		fail_served(s, BROKEN);
		return;
	}
}

/* The host that asked for the call has taken some of what was written. */
static void
on_sent(void *arg)
{
	struct served_call *s = arg;

	if (httpd_takes_more(s->q, true))
		target_call_pause(s->call, false);
}

/* The host that asked for the call has closed its connection. */
static void
on_asker_closed(void *arg)
{
	struct served_call *s = arg;
	struct target_call *k = s->call;

	loads_ended(s->calls->o.loads, s->target, LOADS_OK, clock_now());
	free_served(s);
	target_call_cancel(k);
}

struct call_query {
	char target[64];
	uint64_t sent_ms;
	uint64_t max_idle;  /* microseconds */
	uint64_t max_conns; /* idle connections */
	uint64_t head_only;
	uint64_t start; /* that the target must have had; 0: any */
	uint64_t cold;  /* the asker has counted it as sent to a cold target */
};

/* Reads a value of the query; false if it is malformed. */
static bool
read_value(struct call_query *out, struct str name, struct str value)
{
	const struct {
		const char *name;
		uint64_t max;
		uint64_t *out;
	} numbers[] = {
		{ "sent_ms", INT64_MAX / USEC_PER_MSEC, &out->sent_ms },
		{ "max_idle", INT64_MAX, &out->max_idle },
		{ "max_conns", UINT32_MAX, &out->max_conns },
		{ "head_only", 1, &out->head_only },
		{ "start", UINT64_MAX, &out->start },
		{ "cold", 1, &out->cold },
	};

	if (str_eq(name, STR("target"))) {
		if (value.n >= sizeof(out->target))
			return false;
		memcpy(out->target, value.p, value.n);
		out->target[value.n] = '\0';
	}
	for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		if (str_eq(name, str_from(numbers[i].name)) &&
		    (!str_parse_u64(value, numbers[i].out) ||
			*numbers[i].out > numbers[i].max))
			return false;
	}
	return true;
}

static bool
parse_query(struct str url, struct call_query *out)
{
	struct str part;
	struct str name;

	*out = (struct call_query){ 0 };
	str_cut(&url, '?', &part);
	while (url.n > 0 && str_cut(&url, '&', &part)) {
		if (!str_cut(&part, '=', &name) || !read_value(out, name, part))
			return false;
	}
	return *out->target != '\0';
}

static bool
is_authentic(const struct target_calls *x, const struct httpmsg *m,
    const struct call_query *query)
{
	struct str auth = httpmsg_get(m, STR(AUTH_FIELD));
	struct str id = httpmsg_get(m, STR(ID_FIELD));
	usec_t age = clock_wall() - (usec_t)query->sent_ms * USEC_PER_MSEC;
	char mac[HASH_HEX_LEN + 1];
	char received[HASH_HEX_LEN + 1] = { 0 };

	if (auth.n != HASH_HEX_LEN || age > MAX_AGE || age < -MAX_AGE)
		return false;
	if (id.p == NULL)
		id = STR("");
	target_calls_sign(x, httpmsg_url(m), id, STR(""), m->body, mac);
	memcpy(received, auth.p, HASH_HEX_LEN);
	return hash_equal(mac, received);
}

/* Why this host doesn't make a call to the target, or NULL. */
static const char *
find_obstacle(const struct target_calls *x, const struct target_load *t)
{
	if (x->stopping.signal_at != 0)
		return NO_PATH;
	if (t == NULL || !t->listed || t->leaving || t->entry.leaving ||
	    t->evacuated)
		return NOT_SENT;
	if (!paths_is_direct(&x->paths, t->entry.service))
		return NO_PATH;
	return clock_now() < t->rest_until ? AT_REST : NULL;
}

void
target_calls_serve(struct target_calls *x, struct httpd_request *q)
{
	const struct httpmsg *m = httpd_message(q);
	struct str id = httpmsg_get(m, STR(ID_FIELD));
	struct call_query query;
	struct target_load *t;
	const char *obstacle;
	struct served_call *s;
	struct dial_opts o;

	if (!parse_query(httpmsg_url(m), &query) ||
	    !is_authentic(x, m, &query)) {
		log_text(LOG_LVL_NOTICE, "call-not-authentic",
		    "a request for a call to a target isn't another host's");
		httpd_respond(q, &(struct httpd_response){ .status = 403 });
		return;
	}
	httpd_name(q, id.n > 0 ? id : STR(""), "");
	t = loads_find(x->o.loads, query.target);
	obstacle = find_obstacle(x, t);
	if (obstacle != NULL) {
		respond_failure(q, obstacle);
		return;
	}
	if (!loads_serve(t, query.cold != 0, clock_now())) {
		x->counts.cold_refused++;
		respond_cold(q, t);
		return;
	}
	s = xcalloc(1, sizeof(*s));
	s->calls = x;
	s->q = q;
	s->link.data = s;
	g_strlcpy(s->target, query.target, sizeof(s->target));
	g_queue_push_tail_link(&x->served, &s->link);
	atomic_fetch_add(x->o.busy, 1);
	x->counts.made_for_host++;
	httpd_on_close(q, on_asker_closed, s);
	httpd_on_sent(q, on_sent);
	o = (struct dial_opts){
		.addr = str_from(t->entry.addr),
		.shared_body = m->body,
		.call_id_name = platform_call_id_name(),
		.call_id = id.n > 0 ? id : STR(""),
		.head_only = query.head_only != 0,
		.connect_timeout = CONNECT_TIMEOUT,
		/* The asker can't know what this host's connections got. */
		.max_idle_time = id.n > 0 ? (usec_t)query.max_idle : 1,
		.max_idle_conns = (uint32_t)query.max_conns,
		.check = { .number = query.start },
		.handler = on_served_event,
		.arg = s,
	};
	s->call = target_call_new(x, t, &o);
	s->call->direct_only = true;
	if (!target_call_start_direct(s->call)) {
		target_call_free(s->call);
		fail_served(s, NOT_SENT);
	}
}

static void
note_cut(const struct served_call *s)
{
	s->calls->counts.stop_cut++;
	LOG_EACH(LOG_LVL_NOTICE, "served-call-cut",
	    { "call", httpmsg_get(httpd_message(s->q), STR(ID_FIELD)) },
	    { "target", str_from(s->target) },
	    { "cause",
		s->head_written
		    ? STR("its target was answering as the host exits")
		    : STR("its target has not answered as the host exits") });
}

/* Whether the call ends now, as the host exits. */
static bool
is_cut(struct served_call *s, usec_t now)
{
	static const struct stopping_request state = { .sent = true };
	const struct stopping *stopping = &s->calls->stopping;
	bool ends = s->head_written ? stopping_breaks_off(stopping, now)
				    : stopping_gives_up(stopping, &state, now);

	return ends &&
	    !stopping_reads_on(&s->stop_read,
		target_call_has_input(s->call) && !target_call_is_held(s->call),
		now);
}

void
target_calls_cut_served(struct target_calls *x, usec_t now)
{
	GList *next;

	for (GList *l = x->served.head; l != NULL; l = next) {
		struct served_call *s = l->data;
		struct target_call *k = s->call;

		next = l->next;
		if (!is_cut(s, now))
			continue;
		note_cut(s);
		fail_served_as(s, CUT, LOADS_OK);
		target_call_cancel(k);
	}
}

void
target_calls_end_served(struct target_calls *x)
{
	struct served_call *s;

	while ((s = g_queue_peek_head(&x->served)) != NULL) {
		note_cut(s);
		on_asker_closed(s);
	}
}
