/* Reads the response to a request's call and passes it to the caller. */
#include "entry/forward_state.h"
#include "entry/relay_answer.h"
#include "base/log.h"
#include "kernel/answer_head.h"
#include "kernel/memory.h"
#include "kernel/run_promise.h"

#include <inttypes.h>

/* Failed connections after which the request is rejected. */
#define MAX_CONNECT_FAILURES 4
/*
 * The response to a caller that reads too slowly is aborted when more bytes
 * than this are unsent.
 */
#define MAX_BACKLOG          ((size_t)4 * 1024 * 1024)
#define MAX_INPUT_LOSSES     2
/*
 * The next event of a stream is wanted within this many of the longest pauses
 * that are on time.  A stream that pauses for longer is late already.
 */
#define EVENT_GAPS           4

/* Writes the header section of a streamed response; its events follow. */
static void
write_head(struct relay_request *r, const struct httpmsg *m)
{
	struct buf fields = { 0 };

	platform_response_fields(&fields, m);
	httpd_respond(r->httpd_req,
	    &(struct httpd_response){
		.status = r->response_status,
		.fields = fields.p,
		.chunked = true,
	    });
	buf_free(&fields);
	r->head_written = true;
}

/* Events have arrived: records the wait for them and limits the next one. */
static void
note_events(struct relay_request *r)
{
	struct relay_shared *s = r->shared;
	usec_t now = clock_now();
	bool first = r->last_event_at < r->sent_at;
	usec_t waited = now - (first ? r->sent_at : r->last_event_at);

	response_wait_answered(first ? &s->response_wait : &s->event_wait,
	    r->service->name, waited);
	if (r->events_at == 0)
		r->events_at = now;
	else if (now - r->last_event_at > r->longest_pause)
		r->longest_pause = now - r->last_event_at;
	r->last_event_at = now;
	if (first)
		forward_place_begun(r);
	resume_wait_reset(&r->resume_wait);
	forward_start_waiting(r, &s->event_wait,
	    EVENT_GAPS * r->route->max_event_gap, 0, r->deadline - now);
}

/* Notes once per call that the target answers the request. */
static void
note_answer(struct relay_request *r)
{
	if (r->answer_reported)
		return;
	r->answer_reported = true;
	crash_reports_answered(r->shared->crash_reports,
	    &(struct answered_request){
		.service = r->service->name,
		.parts = &r->parts.all,
		.content = r->parts.content,
		.own = r->parts.own,
	    });
}

/* The stream has its first event: it may go on only at this version. */
static void
note_version(struct relay_request *r)
{
	if (r->version[0] == '\0')
		g_strlcpy(r->version, r->call_version, sizeof(r->version));
	if (r->version[0] != '\0' && route_repeatable(r->route))
		relay_request_record(r);
}

/* Passes on the events that have arrived completely. */
static void
pass_events(struct relay_request *r, const struct httpmsg *m)
{
	size_t n = evbuffer_get_length(m->body);
	struct buf events = { 0 };
	struct evbuffer *out;

	if (n == 0)
		return;
	sse_feed(&r->sse,
	    (struct str){ (const char *)evbuffer_pullup(m->body, -1), n },
	    &events);
	evbuffer_drain(m->body, n);
	if (events.n == 0)
		return;
	if (r->events_at == 0)
		note_version(r);
	else
		relay_request_record_again(r);
	note_events(r);
	if (forward_call_events(r) >= CRASH_BEGUN_EVENTS)
		note_answer(r);
	if (!r->head_written) {
		write_head(r, m);
		stages_release(r);
		durations_record(&r->shared->durations, r->service->name,
		    clock_now() - r->sent_at);
	}
	forward_prompt_read(r);
	out = evbuffer_new();
	evbuffer_add(out, events.p, events.n);
	httpd_write(r->httpd_req, out);
	evbuffer_free(out);
	buf_free(&events);
}

static bool
is_success(const struct relay_request *r)
{
	return r->response_status >= 200 && r->response_status < 300;
}

/* Other successes, as 204, aren't a stream, nor the rest of one. */
static bool
is_stream(const struct relay_request *r)
{
	return r->route->kind == ROUTE_STREAM &&
	    r->response_status == HTTP_STATUS_OK && r->response.has_signature &&
	    !r->response.encoded;
}

/* Ends the call, whose answer can't be passed on. */
static void
end_call(struct relay_request *r, const char *cause, bool healthy)
{
	struct target_call *call = r->call;

	r->may_have_run = true;
	forward_call_ended(r, healthy);
	target_call_cancel(call);
	forward_lost(r, cause);
}

/* Ends the call if the head shows that what follows is no answer. */
static void
check_head(struct relay_request *r, const struct httpmsg *m)
{
	const char *cause = answer_head_fault(&(struct answer_head){
	    .is_stream = is_stream(r),
	    .has_length = m->body_allowed &&
		r->response_status != HTTP_STATUS_NOT_MODIFIED &&
		(m->parser.flags & F_CONTENTLENGTH) != 0,
	    .length = m->parser.content_length,
	    .content_type = httpmsg_get(m, STR("Content-Type")),
	});

	if (cause != NULL && !r->response.not_executed)
		end_call(r, cause, false);
}

static void
on_head(struct relay_request *r, const struct httpmsg *m)
{
	struct target_load *t = forward_target(r);

	platform_response_parse(m, &r->response);
	r->response_status = m->parser.status_code;
	if (!is_stream(r)) {
		forward_stop_waiting(r);
		response_wait_answered(&r->shared->response_wait,
		    r->service->name, clock_now() - r->sent_at);
	}
	r->executed = !r->response.not_executed;
	if (r->response.has_load)
		placements_reported(r->shared->placements, r->placement,
		    r->response.running, r->response.waiting,
		    r->response.slowness);
	if (r->executed && !is_stream(r))
		forward_place_begun(r);
	if (t != NULL && r->response.has_load)
		loads_report(t, r->response.running, r->response.waiting,
		    r->response.slowness, clock_now());
	if (t != NULL && r->response.misdirected)
		loads_mark_leaving(&r->shared->loads, t);
	else if (t != NULL)
		target_limits_answered(r->shared->target_limits, t,
		    &r->response, r->sent_at, false);
	check_head(r, m);
}

/* Why the bytes received so far are no answer, or NULL. */
static const char *
answer_fault(const struct relay_request *r, const struct httpmsg *m)
{
	if (is_stream(r))
		return sse_fault(&r->sse);
	return evbuffer_get_length(m->body) > MAX_ANSWER_BYTES
	    ? "the answer is too large"
	    : NULL;
}

/*
 * Makes the call again at the version where the stream has to begin; returns
 * false if it may begin here.
 */
static bool
begin_elsewhere(struct relay_request *r)
{
	struct target_call *call = r->call;
	struct str version = forward_call_version(r);

	if (r->events_at != 0 || version.n == 0 ||
	    str_eq(version, str_from(r->call_version)) || !forward_can_retry(r))
		return false;
	log_text(LOG_LVL_INFO, "begun-elsewhere",
	    "request %.*s: not at version %s, as streams of it can't be "
	    "recorded",
	    STR_FMT(r->info.id), r->call_version);
	forward_call_ended(r, true);
	target_call_cancel(call);
	r->may_have_run = true;
	sse_restart(&r->sse);
	forward_send(r);
	return true;
}

static void
on_body_data(struct relay_request *r, const struct httpmsg *m)
{
	const char *cause;

	if (is_stream(r)) {
		if (begin_elsewhere(r))
			return;
		pass_events(r, m);
		target_call_keeps(r->call, r->sse.partial.cap);
		if (!httpd_takes_more(r->httpd_req, false))
			target_call_pause(r->call, true);
	}
	cause = answer_fault(r, m);
	if (cause != NULL)
		end_call(r, cause, false);
	else if (is_stream(r) && httpd_backlog(r->httpd_req) > MAX_BACKLOG)
		end_call(r, "the caller reads too slowly", true);
}

static void
end_stream(struct relay_request *r, const struct httpmsg *m)
{
	struct httpd_request *q;

	pass_events(r, m);
	if (!sse_between_events(&r->sse) || r->sse.id_gap) {
		forward_call_ended(r, false);
		forward_lost(r, "the stream ends within an event");
		return;
	}
	/* The target may have crashed before it wrote anything. */
	if (forward_call_events(r) == 0 && !httpmsg_has_end(m)) {
		forward_call_ended(r, false);
		forward_lost(r, "the stream ends without an event");
		return;
	}
	forward_call_ended(r, true);
	if (forward_call_events(r) > 0)
		note_answer(r);
	if (!r->head_written)
		write_head(r, m);
	stream_resumes_end(
	    r->shared->stream_resumes, relay_stream_id(&r->info));
	q = r->httpd_req;
	relay_request_done(r, "complete");
	httpd_end(q);
}

/* Passes on a complete response that is not streamed. */
static void
pass_response(struct relay_request *r, const struct httpmsg *m)
{
	struct httpd_request *q = r->httpd_req;
	struct buf fields = { 0 };
	struct httpd_response a = {
		.status = r->response_status,
		.moved = m->body,
	};

	platform_response_fields(&fields, m);
	a.fields = fields.p;
	if (is_success(r))
		note_answer(r);
	relay_request_done(r, is_success(r) ? "complete" : "target-error");
	httpd_respond(q, &a);
	buf_free(&fields);
}

/* The target didn't answer with the rest of a stream that has begun. */
static void
on_resume_failed(struct relay_request *r)
{
	static const char cause[] = "the target that resumed the stream failed";

	if (r->response_status >= 300 && r->response_status < 500)
		forward_rest_rejected(r);
	if (forward_can_retry(r))
		forward_send(r);
	else
		forward_fail(r, ERR_TARGET_FAILED, cause);
}

/* The call was refused, as its inputs are gone. */
static void
on_inputs_lost(struct relay_request *r)
{
	static const char cause[] = "the inputs are lost again";

	if (r->input_losses++ < MAX_INPUT_LOSSES) {
		stages_restart(r);
	} else if (forward_goes_on(r)) {
		stages_drop(r);
		forward_fail(r, ERR_NO_TARGET, cause);
	} else {
		forward_refused(r, cause);
	}
}

/* The target states that it has not run the call. */
static void
on_refused(struct relay_request *r)
{
	forward_call_ended(r, r->response_status != 503);
	if (r->response_status == 409)
		on_inputs_lost(r);
	else
		forward_refused(r, "the target refused the call");
}

/* The target has answered the call, and may have run it. */
static void
on_answered(struct relay_request *r, const struct httpmsg *m)
{
	if (r->response.encoded ||
	    (is_success(r) && !r->response.has_signature)) {
		forward_call_ended(r, false);
		forward_lost(r, "the answer is not the target's");
		return;
	}
	if (is_stream(r)) {
		end_stream(r, m);
		return;
	}
	forward_call_ended(r, r->response_status < 500);
	if (r->head_written) {
		on_resume_failed(r);
		return;
	}
	if (r->response_status >= 500 && r->route->kind == ROUTE_IDEMPOTENT &&
	    forward_can_retry(r)) {
		forward_send(r);
		return;
	}
	pass_response(r, m);
}

static void
on_complete(struct relay_request *r, const struct httpmsg *m)
{
	enum run_response meaning =
	    run_promise_judge(r->response_status, r->response.not_executed);

	r->may_have_run = r->may_have_run || meaning != RUN_REFUSED;
	switch (meaning) {
	case RUN_REFUSED:
		on_refused(r);
		return;
	case RUN_ANSWERED:
		on_answered(r, m);
		return;
	case RUN_UNCERTAIN:
		forward_call_ended(r, false);
		forward_unanswered(r,
		    "the status says that the request was not run, but the "
		    "target doesn't state it");
		return;
	}
}

/* The connection of the call has ended before its answer. */
static void
on_broken(struct relay_request *r, enum dial_event ev)
{
	bool unread = ev == DIAL_BROKEN &&
	    target_call_unread(r->call) >= MEMORY_UNREAD_TIME;
	const char *cause = "the connection broke";

	r->may_have_run = true;
	r->way_lost = target_call_lost_way(r->call);
	if (r->way_lost)
		cause = "the host that made the call has ended";
	else if (unread)
		cause = "cut off while its answer wasn't read";
	r->shared->unread_calls += !r->way_lost && unread;
	forward_call_ended(r, r->way_lost || unread);
	forward_lost(r, cause);
}

void
forward_on_event(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct relay_request *r = arg;

	switch (ev) {
	case DIAL_HEAD:
		on_head(r, m);
		return;
	case DIAL_BODY:
		on_body_data(r, m);
		return;
	case DIAL_END:
		on_complete(r, m);
		return;
	case DIAL_UNSENT:
	case DIAL_UNCHECKED:
		log_text(LOG_LVL_INFO, "connect-failed",
		    "request %.*s: target %s of %s after %" PRId64 " ms",
		    STR_FMT(r->info.id), r->target_id, r->service->name,
		    (clock_now() - r->sent_at) / USEC_PER_MSEC);
		/* Without a call, this host had no connection for it. */
		forward_call_ended(
		    r, r->call == NULL || target_call_refused_cold(r->call));
		r->sends--;
		if (r->n_tried < MAX_CONNECT_FAILURES &&
		    forward_has_attempts(r))
			forward_send(r);
		else
			forward_fail(r, ERR_NO_TARGET, "no target accepts");
		return;
	case DIAL_BROKEN:
	case DIAL_BAD_RESPONSE:
		on_broken(r, ev);
		return;
	}
}
