/*
 * Sends a request to a target, limits the wait for its response, and sends it
 * again where that is allowed.
 */
#include "entry/forward_state.h"
#include "entry/relay_answer.h"
#include "entry/relay_stopping.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/overload/retry_after.h"
#include "kernel/target_start.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * Covers many round trips between failure domains and takes up a quarter of a
 * short deadline.
 */
#define CONNECT_TIMEOUT       (150 * USEC_PER_MSEC)
/*
 * Targets may close idle connections without notice, and a call sent on such a
 * connection is lost.  A call that must not be repeated therefore only reuses a
 * connection that was used within this time.
 */
#define UNREPEATABLE_MAX_IDLE (300 * USEC_PER_MSEC)
/* Calls with less time left can't be answered over two network paths. */
#define MIN_TIME_LEFT         (8 * USEC_PER_MSEC)
/* Retry-After when targets refused a request. */
#define RETRY_AFTER           (300 * USEC_PER_MSEC)
/* Ranks of at least this value share the last engine priority. */
#define MAX_PRIORITY          9

static void on_no_response(evutil_socket_t fd, short what, void *arg);

struct target_load *
forward_target(struct relay_request *r)
{
	return loads_find(&r->shared->loads, r->target_id);
}

uint64_t
forward_call_events(const struct relay_request *r)
{
	return r->sse.events - r->events_before;
}

struct str
forward_call_version(const struct relay_request *r)
{
	const char *first = NULL;

	if (r->version[0] == '\0' && r->route->kind == ROUTE_STREAM &&
	    route_repeatable(r->route) && !r->info.is_resume)
		first = stream_resumes_first_version(
		    r->shared->stream_resumes, r->service->name);
	return str_from(first != NULL ? first : r->version);
}

/* What decides whether the start of the request's target matters. */
static struct target_start_call
start_query(const struct relay_request *r)
{
	return (struct target_start_call){
		.may_resume = r->route->kind == ROUTE_STREAM &&
		    route_repeatable(r->route),
		.reports = r->service->has_engine,
		.mixed = stream_resumes_mixed(
		    r->shared->stream_resumes, r->service->name),
		.has_version = r->version[0] != '\0',
	};
}

/* From 0, the least urgent of the configuration, to 1. */
static double
urgency(const struct relay_request *r)
{
	int least = r->shared->least_rank;

	return r->rank < least ? 1 - (double)MAX(r->rank, 0) / least : 0;
}

void
forward_query(const struct relay_request *r, struct loads_query *query)
{
	const struct request_info *info = &r->info;
	struct target_start_call start = start_query(r);
	struct str rest = str_of(&r->inputs);
	struct str addr = { NULL, 0 };

	*query = (struct loads_query){
		.service = r->service->name,
		.engine = r->service->has_engine,
		.version = forward_call_version(r),
		.sure_version = target_start_matters(&start),
		.n_tried = r->n_tried,
		.urgency = urgency(r),
		.max_gap = r->route->max_event_gap,
	};
	for (size_t i = 0; i < r->n_tried; i++)
		query->tried[i] = str_from(r->tried[i]);
	/*
	 * The last part is specific to the request; the part before it is
	 * shared.
	 */
	if (info->n_parts >= 2) {
		query->prefix = info->parts[info->n_parts - 2].hash;
		for (size_t i = 0; i + 1 < info->n_parts; i++)
			query->shared_tokens += info->parts[i].tokens;
	}
	if (rest.n > 0 && str_cut(&rest, '/', &addr))
		query->input_addr = addr;
	query->input_bytes = stages_input_bytes(r);
}

void
forward_stop_waiting(struct relay_request *r)
{
	if (r->response_timer != NULL)
		event_free(r->response_timer);
	r->response_timer = NULL;
}

static void
set_response_timer(struct relay_request *r, usec_t t)
{
	struct timeval tv = { t / USEC_PER_SEC, t % USEC_PER_SEC };

	if (r->response_timer == NULL)
		r->response_timer =
		    evtimer_new(r->shared->base, on_no_response, r);
	evtimer_add(r->response_timer, &tv);
}

bool
forward_goes_on(const struct relay_request *r)
{
	return r->head_written || r->given_up;
}

void
forward_rest_rejected(struct relay_request *r)
{
	for (size_t i = 0; i < r->n_tried; i++) {
		if (strcmp(r->tried[i], r->target_id) == 0)
			r->rejected_rest[i] = true;
	}
}

/* Sets the tried targets of a query to those that have rejected the rest. */
static size_t
query_rejected(const struct relay_request *r, struct loads_query *query)
{
	forward_query(r, query);
	query->n_tried = 0;
	for (size_t i = 0; i < r->n_tried; i++) {
		if (r->rejected_rest[i])
			query->tried[query->n_tried++] = str_from(r->tried[i]);
	}
	return query->n_tried;
}

/*
 * Whether no target that the request was sent to is there any more: these don't
 * count as attempts.
 */
static bool
tried_are_gone(const struct relay_request *r)
{
	for (size_t i = 0; i < r->n_tried; i++) {
		const struct target_load *t =
		    loads_find(&r->shared->loads, r->tried[i]);

		if (t != NULL && t->listed)
			return false;
	}
	return r->n_tried < LOADS_MAX_TRIED;
}

/* Whether a target that the request was sent to may take the rest yet. */
static bool
has_tried_target(const struct relay_request *r)
{
	for (size_t i = 0; i < r->n_tried; i++) {
		const struct target_load *t =
		    loads_find(&r->shared->loads, r->tried[i]);

		if (!r->rejected_rest[i] && t != NULL && t->listed)
			return true;
	}
	return false;
}

/* Whether each target that may be asked for the rest has rejected it. */
static bool
is_hopeless(const struct relay_request *r)
{
	struct loads_query query;

	if (query_rejected(r, &query) == 0)
		return false;
	if (forward_has_attempts(r) || tried_are_gone(r))
		return !loads_has_other(&r->shared->loads, &query);
	return !has_tried_target(r);
}

bool
forward_resume_later(struct relay_request *r, const char *cause)
{
	usec_t wait = resume_wait_next(&r->resume_wait,
	    &(struct resume_request){
		.begun = r->head_written,
		.given_up = r->given_up,
		.may_again = route_repeatable(r->route),
		.hopeless = is_hopeless(r),
		.left = r->deadline - clock_now() - MIN_TIME_LEFT,
	    });

	if (wait == 0)
		return false;
	log_text(LOG_LVL_INFO, "resume-waits",
	    "request %.*s: after %" PRIu64 " events, %s", STR_FMT(r->info.id),
	    r->sse.events, cause);
	sse_restart(&r->sse);
	set_response_timer(r, wait);
	return true;
}

void
forward_fail(struct relay_request *r, enum err_kind kind, const char *cause)
{
	if (!forward_resume_later(r, cause))
		relay_request_reject(
		    r, &(struct rejection){ kind, RETRY_AFTER, cause });
}

void
forward_prompt_read(struct relay_request *r)
{
	if (r->reading > 0)
		loads_read(&r->shared->loads, r->target_id, r->reading);
	r->reading = 0;
}

void
forward_call_ended(struct relay_request *r, bool healthy)
{
	r->call = NULL;
	forward_stop_waiting(r);
	forward_prompt_read(r);
	forward_place_ended(r, healthy);
	loads_ended(&r->shared->loads, r->target_id,
	    healthy ? LOADS_OK : LOADS_FAILED, clock_now());
}

bool
forward_has_attempts(const struct relay_request *r)
{
	return r->sends < r->route->attempts && r->n_tried < LOADS_MAX_TRIED &&
	    r->deadline - clock_now() > MIN_TIME_LEFT;
}

static bool
spend_retry(struct relay_request *r)
{
	return retry_quota_spend(
	    relay_request_retry_quota(r), &r->shared->quota_rule, clock_now());
}

bool
forward_can_retry(struct relay_request *r)
{
	return forward_has_attempts(r) && spend_retry(r);
}

void
forward_refused(struct relay_request *r, const char *cause)
{
	log_text(LOG_LVL_INFO, "call-refused",
	    "request %.*s: target %s, %s; it asks for a rest of %" PRId64 " ms",
	    STR_FMT(r->info.id), r->target_id, cause,
	    r->response.rest / USEC_PER_MSEC);
	if (forward_can_retry(r)) {
		forward_send(r);
		return;
	}
	forward_fail(r, ERR_NO_TARGET, cause);
}

void
forward_abort_stream(struct relay_request *r, const char *cause)
{
	struct httpd_request *q = r->httpd_req;

	if (r->recording != NULL) {
		relay_request_reject(
		    r, &(struct rejection){ ERR_ANSWER_LOST, 0, cause });
		return;
	}
	LOG(LOG_LVL_NOTICE, "stream-broken", { "request", r->info.id },
	    { "target", str_from(r->target_id) }, { "cause", str_from(cause) });
	relay_stopping_ended(r, false);
	relay_request_done(r, "broken-off");
	httpd_abort(q);
}

void
forward_unanswered(struct relay_request *r, const char *cause)
{
	/* A request that crashed its targets would crash the next, too. */
	bool suspect =
	    crash_reports_suspect(r->shared->crash_reports, r->parts.content);
	bool again =
	    route_repeatable(r->route) && !suspect && forward_can_retry(r);

	r->shared->lost_calls++;
	relay_answer_log_lost(r, cause, forward_call_events(r), again);
	if (again) {
		sse_restart(&r->sse);
		forward_send(r);
	} else if (suspect || !forward_resume_later(r, cause)) {
		if (r->head_written)
			forward_abort_stream(r, cause);
		else
			relay_request_reject(r,
			    &(struct rejection){
				ERR_ANSWER_LOST, RETRY_AFTER, cause });
	}
}

void
forward_lost(struct relay_request *r, const char *cause)
{
	const struct target_load *t = forward_target(r);

	if (t != NULL && !r->way_lost &&
	    forward_call_events(r) < CRASH_BEGUN_EVENTS)
		crash_reports_lost(r->shared->crash_reports,
		    &(struct lost_call){
			.target = r->target_id,
			.addr = t->entry.addr,
			.service = r->service->name,
			.parts = &r->parts.all,
		    });
	forward_unanswered(r, cause);
}

/*
 * Whether the call may be given up if it is silent: while there are attempts,
 * or when the request has come back to a target that may be lost after all.
 */
static bool
may_give_up(const struct relay_request *r)
{
	return r->sends < r->route->attempts ||
	    (r->given_up && r->sends > r->route->attempts);
}

void
forward_start_waiting(struct relay_request *r,
    const struct response_wait *times, usec_t objective, usec_t extra,
    usec_t left)
{
	usec_t limit = response_wait_limit(
	    times, r->service->name, objective, extra, left);

	if (limit == 0 || r->call == NULL || !route_repeatable(r->route) ||
	    !may_give_up(r))
		forward_stop_waiting(r);
	else
		set_response_timer(r, limit);
}

static void
put_head(
    struct relay_request *r, struct buf *head, usec_t left, size_t body_bytes)
{
	int priority = -1;

	if (r->service->has_engine)
		priority = r->rank < MAX_PRIORITY ? r->rank : MAX_PRIORITY;
	platform_call_head(head, httpd_message(r->httpd_req),
	    &(struct call_info){
		.remaining = left,
		.target_id = str_from(r->target_id),
		.workspace = r->caller_key != NULL
		    ? str_from(r->caller_key->name)
		    : STR(""),
		.inputs = str_of(&r->inputs),
		.priority = priority,
		.is_resume = r->sse.has_id || r->info.is_resume,
		.last_event =
		    r->sse.has_id ? r->sse.last_id : r->info.last_event,
	    },
	    body_bytes);
}

/*
 * Idle connections may be dropped or silent without notice, so a call is made
 * again on a new one.
 */
static usec_t
max_idle_time(const struct relay_request *r)
{
	if (r->sends > 1)
		return 1;
	return route_repeatable(r->route) ? 0 : UNREPEATABLE_MAX_IDLE;
}

static void
start_call(struct relay_request *r, struct target_load *t, usec_t left)
{
	const struct httpmsg *m = httpd_message(r->httpd_req);
	struct target_start_call start = start_query(r);
	size_t n = evbuffer_get_length(m->body);
	struct buf head = { 0 };

	put_head(r, &head, left, n);
	r->call = target_call_start(r->shared->target_calls, t,
	    &(struct dial_opts){
		.addr = str_from(t->entry.addr),
		.head = str_of(&head),
		.shared_body = m->body,
		.call_id_name = platform_call_id_name(),
		.call_id = r->info.id,
		.head_only = m->parser.method == HTTP_HEAD,
		.connect_timeout = CONNECT_TIMEOUT,
		.max_idle_time = max_idle_time(r),
		.max_idle_conns = loads_conn_share(
		    r->service->max_conns, r->shared->quota_rule.hosts),
		.check.number =
		    target_start_matters(&start) && t->seen_born_ms == 0
		    ? t->entry.born_ms
		    : 0,
		.handler = forward_on_event,
		.arg = r,
	    });
	buf_free(&head);
	forward_start_waiting(r, &r->shared->response_wait, r->route->objective,
	    response_wait_prompt(r->info.prompt_tokens), left);
}

/* Whether the request can be sent now, to a target that was chosen or NULL. */
static bool
can_send(const struct relay_request *r, const struct target_load *t, usec_t now)
{
	return t != NULL && r->deadline - now >= MIN_TIME_LEFT;
}

/* Why a request can't be sent to a target that was chosen, or NULL. */
static struct rejection
unsent(const struct relay_request *r, const struct target_load *t, usec_t now)
{
	usec_t wait =
	    loads_limit_wait(&r->shared->loads, r->service->name, now);

	if (t == NULL && wait > 0 && !forward_goes_on(r))
		return (struct rejection){ ERR_NO_TARGET,
			retry_after(wait, hash_u64(r->info.id, 0)),
			"the limits or rests of the targets forbid it" };
	return (struct rejection){ ERR_NO_TARGET, RETRY_AFTER,
		t == NULL ? "no target is left" : "no time is left" };
}

/* Rejects a request that can't be sent, unless it goes on later. */
static void
reject_unsent(struct relay_request *r, const struct target_load *t, usec_t now)
{
	struct rejection why = unsent(r, t, now);

	if (!forward_resume_later(r, why.cause))
		relay_request_reject(r, &why);
}

/*
 * Returns a target that the request was not sent to yet, or NULL, by
 * loads_choose or loads_peek; fills the query that it was chosen by.
 */
static struct target_load *
choose_by(const struct relay_request *r, struct loads_query *query,
    struct target_load *(*choose)(
	struct loads *, const struct loads_query *, usec_t),
    usec_t now)
{
	struct target_start_call start = start_query(r);
	struct target_load *t;

	forward_query(r, query);
	t = choose(&r->shared->loads, query, now);
	if (t != NULL || target_start_needed(&start))
		return t;
	query->sure_version = false;
	return choose(&r->shared->loads, query, now);
}

static struct target_load *
choose_target(struct relay_request *r, usec_t now)
{
	struct loads_query query;

	return choose_by(r, &query, loads_choose, now);
}

const struct target_load *
forward_peek(const struct relay_request *r, struct loads_query *query,
    struct rejection *why, usec_t now)
{
	const struct target_load *t = choose_by(r, query, loads_peek, now);

	if (can_send(r, t, now))
		return t;
	*why = unsent(r, t, now);
	return NULL;
}

/*
 * Returns a target that the request was sent to before the last, or also the
 * last, or NULL.
 */
static struct target_load *
choose_earlier(struct relay_request *r, bool with_last, usec_t now)
{
	struct loads_query query;
	size_t n = 0;

	forward_query(r, &query);
	query.again = true;
	for (size_t i = 0; i < query.n_tried; i++) {
		if (!r->rejected_rest[i] &&
		    (with_last ||
			!str_eq(query.tried[i], str_from(r->target_id))))
			query.tried[n++] = query.tried[i];
	}
	query.n_tried = n;
	return loads_choose(&r->shared->loads, &query, now);
}

/*
 * Returns a target that the request was sent to, or NULL; the last one only if
 * there is no other, as it has refused the request or failed.
 */
static struct target_load *
choose_tried(struct relay_request *r, usec_t now)
{
	struct target_load *t = choose_earlier(r, false, now);

	return t != NULL ? t : choose_earlier(r, true, now);
}

/*
 * Returns a target that the request was not sent to yet, or the last one if it
 * has not failed and no other is as good; or NULL.
 */
static struct target_load *
choose_next(struct relay_request *r, usec_t now)
{
	struct target_load *t = choose_target(r, now);
	struct target_load *last;
	struct loads_query query;

	if (!r->way_lost || (t != NULL && now >= t->aside_until))
		return t;
	forward_query(r, &query);
	query.again = true;
	query.tried[0] = str_from(r->target_id);
	query.n_tried = 1;
	last = loads_choose(&r->shared->loads, &query, now);
	return last != NULL ? last : t;
}

/* Returns a target for a request that goes on, or NULL. */
static struct target_load *
choose_resume_target(struct relay_request *r, usec_t now)
{
	struct target_load *t = forward_has_attempts(r) || tried_are_gone(r)
	    ? choose_target(r, now)
	    : NULL;

	return t != NULL ? t : choose_tried(r, now);
}

/* Returns a target for which a silent call is given up, or NULL. */
static struct target_load *
choose_instead(struct relay_request *r, usec_t now)
{
	struct target_load *t;

	if (forward_has_attempts(r))
		return choose_target(r, now);
	t = choose_earlier(r, false, now);
	return t != NULL && now >= t->aside_until ? t : NULL;
}

static bool
was_tried(const struct relay_request *r, const char *target)
{
	for (size_t i = 0; i < r->n_tried; i++) {
		if (strcmp(r->tried[i], target) == 0)
			return true;
	}
	return false;
}

/* Notes what the target reads of the prompt before the first event. */
static void
note_reading(struct relay_request *r, struct target_load *t)
{
	struct loads_query query;

	r->reading = 0;
	if (!r->service->has_engine)
		return;
	forward_query(r, &query);
	r->reading =
	    loads_reading(&r->shared->loads, t, &query, r->info.prompt_tokens);
}

static void
send_to(struct relay_request *r, struct target_load *t, usec_t now)
{
	usec_t left = r->deadline - now;

	g_strlcpy(r->target_id, t->entry.id, sizeof(r->target_id));
	if (r->n_tried < LOADS_MAX_TRIED && !was_tried(r, t->entry.id))
		g_strlcpy(
		    r->tried[r->n_tried++], t->entry.id, sizeof(r->tried[0]));
	g_strlcpy(r->call_version, t->entry.version, sizeof(r->call_version));
	r->sends++;
	r->way_lost = false;
	r->sent_at = now;
	if (r->first_sent_at == 0)
		r->first_sent_at = now;
	r->events_before = r->sse.events;
	r->answer_reported = false;
	r->executed = false;
	forward_place_sent(r, t);
	relay_answer_log_sent(r, t, left);
	loads_sent(t, now);
	note_reading(r, t);
	start_call(r, t, left);
	if (r->call == NULL)
		forward_on_event(r, DIAL_UNSENT, NULL);
}

/* Rejects a request of which a part is quarantined. */
static bool
reject_quarantined(struct relay_request *r)
{
	struct rejection why;

	if (!relay_quarantined(r->shared, &r->parts.all, &why))
		return false;
	relay_request_reject(r, &why);
	return true;
}

/* Whether the target takes the request that a placer has placed there. */
static bool
takes_placed(
    const struct relay_request *r, const struct target_load *t, usec_t now)
{
	struct target_start_call start = start_query(r);
	struct loads_query query;

	if (r->deadline - now < MIN_TIME_LEFT)
		return false;
	forward_query(r, &query);
	if (loads_takes(&r->shared->loads, &query, t, now))
		return true;
	query.sure_version = false;
	return !target_start_needed(&start) &&
	    loads_takes(&r->shared->loads, &query, t, now);
}

void
forward_send_placed(struct relay_request *r, const char *target)
{
	usec_t now = clock_now();
	struct target_load *t = loads_find(&r->shared->loads, target);

	if (reject_quarantined(r) || relay_stopping_refuse(r))
		return;
	if (t != NULL && takes_placed(r, t, now)) {
		send_to(r, t, now);
		return;
	}
	log_text(LOG_LVL_INFO, "placement-vetoed",
	    "request %.*s: not to target %s", STR_FMT(r->info.id), target);
	/* What this host knows of the target the placer may not know. */
	placements_ended(r->shared->placements, r->placement,
	    t == NULL || !t->listed || now < t->aside_until
		? PLACEMENT_LOST
		: PLACEMENT_DROPPED);
	r->placement = 0;
	r->placed.cause = PLACEMENT_VETOED;
	forward_send_here(r);
}

void
forward_send_here(struct relay_request *r)
{
	usec_t now = clock_now();
	struct target_load *t;

	if (reject_quarantined(r) || relay_stopping_refuse(r))
		return;
	t = choose_next(r, now);
	if (can_send(r, t, now))
		send_to(r, t, now);
	else
		reject_unsent(r, t, now);
}

/* Sends the request to a target that placers leave to its owners. */
static bool
send_to_owned(struct relay_request *r)
{
	usec_t now = clock_now();
	struct loads_query query;
	struct target_load *t;

	forward_query(r, &query);
	t = loads_choose_owned(&r->shared->loads, &query, now);
	if (!can_send(r, t, now))
		return false;
	r->placed = (struct placed){ .cause = PLACEMENT_NOT_ASKED };
	send_to(r, t, now);
	return true;
}

void
forward_send(struct relay_request *r)
{
	if (reject_quarantined(r) || relay_stopping_refuse(r))
		return;
	if (forward_is_placed(r) && send_to_owned(r))
		return;
	if (!forward_place(r))
		forward_send_here(r);
}

/*
 * Sends a request that goes on, or the rest of its stream, to a target, if one
 * takes it, after the stages that it needs again.
 */
static void
resume(struct relay_request *r)
{
	usec_t now = clock_now();
	struct target_load *t;

	forward_stop_waiting(r);
	if (reject_quarantined(r))
		return;
	r->placed = (struct placed){ .cause = PLACEMENT_NOT_ASKED };
	if (!stages_are_done(r)) {
		stages_resume(r);
		return;
	}
	t = choose_resume_target(r, now);
	if (t != NULL && spend_retry(r))
		send_to(r, t, now);
	else
		forward_fail(r, ERR_NO_TARGET, "no target takes the request");
}

/*
 * The response has not begun, or its next event has not come, in time: makes
 * the call again elsewhere, or goes on waiting if that is not possible.
 */
static void
on_no_response(evutil_socket_t fd, short what, void *arg)
{
	struct relay_request *r = arg;
	struct target_load *t = forward_target(r);
	struct target_call *call = r->call;
	bool begun = r->last_event_at >= r->sent_at;
	usec_t since = begun ? r->last_event_at : r->sent_at;
	usec_t now = clock_now();
	struct target_load *instead;

	(void)fd;
	(void)what;
	if (call == NULL) {
		resume(r);
		return;
	}
	if (target_call_has_input(call)) {
		set_response_timer(
		    r, target_call_is_held(call) ? DIAL_HELD_STEP : 0);
		return;
	}
	forward_stop_waiting(r);
	if (!may_give_up(r) || r->deadline - now <= MIN_TIME_LEFT)
		return;
	/* A target that may go on is not given up for none. */
	instead = choose_instead(r, now);
	if (instead == NULL || !spend_retry(r)) {
		set_response_timer(r, RESUME_WAIT_FIRST);
		return;
	}
	log_text(LOG_LVL_NOTICE, "call-silent",
	    "request %.*s: target %s sent nothing for %" PRId64 " ms",
	    STR_FMT(r->info.id), r->target_id, (now - since) / USEC_PER_MSEC);
	r->shared->silent_calls++;
	response_wait_given_up(
	    begun ? &r->shared->event_wait : &r->shared->response_wait,
	    r->service->name);
	if (t != NULL)
		dial_close_idle(r->shared->dialer, str_from(t->entry.addr));
	forward_call_ended(r, false);
	target_call_cancel(call);
	r->may_have_run = true;
	r->given_up = true;
	sse_restart(&r->sse);
	r->placed = (struct placed){ .cause = PLACEMENT_NOT_ASKED };
	if (!reject_quarantined(r))
		send_to(r, instead, now);
}

void
forward_start(struct relay_request *r)
{
	if (forward_goes_on(r))
		resume(r);
	else
		forward_send(r);
}

void
forward_cancel(struct relay_request *r)
{
	struct target_call *call = r->call;

	if (call == NULL)
		return;
	forward_call_ended(r, true);
	target_call_cancel(call);
}

void
forward_path_lost(struct relay_request *r)
{
	if (r->call != NULL && target_call_is_direct(r->call) &&
	    route_repeatable(r->route))
		on_no_response(-1, 0, r);
}
