/* The life of a caller's request in the relay: start, deadline, end. */
#include "entry/relay_request.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/relay_answer.h"
#include "entry/relay_stopping.h"
#include "kernel/run_promise.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Deadline budget of a request that states none. */
#define DEFAULT_DEADLINE_BUDGET (60 * USEC_PER_SEC)
#define CONTENT_HASH_SEED       29
/*
 * Retry-After without a configuration: by then the host has one, or the load
 * balancer has picked another host.
 */
#define NOT_READY_RETRY         (300 * USEC_PER_MSEC)
/* Retry-After when nobody knows a stream: another host may. */
#define RESUME_RETRY            (300 * USEC_PER_MSEC)

void
relay_request_free(struct relay_request *r)
{
	struct relay_shared *s = r->shared;

	stages_cancel(r);
	placements_ended(s->placements, r->placement, PLACEMENT_DROPPED);
	if (r->resume_search != NULL)
		stream_resumes_cancel(r->resume_search);
	if (r->recording != NULL)
		stream_resumes_leave_recording(r->recording);
	event_free(r->timer);
	if (r->response_timer != NULL)
		event_free(r->response_timer);
	sse_free(&r->sse);
	routes_unref(r->routes);
	g_queue_unlink(&s->requests, &r->link);
	atomic_fetch_sub(&s->busy, 1);
	free(r);
}

void
relay_request_uncork(struct relay_request *r)
{
	if (r->recording == NULL)
		return;
	stream_resumes_leave_recording(r->recording);
	r->recording = NULL;
	httpd_cork(r->httpd_req, false);
}

/*
 * Drops what is held back.  It must not reach the caller, who could resume the
 * stream at another version.
 */
static void
drop_held(struct relay_request *r)
{
	if (r->recording == NULL)
		return;
	stream_resumes_leave_recording(r->recording);
	r->recording = NULL;
	httpd_drop_held(r->httpd_req);
	r->head_written = false;
}

/* The wait for the record has ended. */
static void
on_record(void *arg, bool goes_on)
{
	struct relay_request *r = arg;

	if (goes_on) {
		r->recording = NULL;
		httpd_cork(r->httpd_req, false);
		return;
	}
	forward_cancel(r);
	r->may_have_run = true;
	relay_request_reject(r,
	    &(struct rejection){ ERR_TARGET_FAILED, 0,
		"the version of the stream can't be recorded" });
}

/* Has the version told and recorded; done may be NULL. */
static struct stream_recording *
record_version(struct relay_request *r, void (*done)(void *arg, bool goes_on))
{
	struct str id = relay_stream_id(&r->info);
	g_autofree char *text = g_strndup(id.p, id.n);
	struct stream_version v = { .id = text };

	r->recorded_at = clock_now();
	stream_resumes_begin(
	    r->shared->stream_resumes, id, r->service->name, r->version);
	g_strlcpy(v.service, r->service->name, sizeof(v.service));
	g_strlcpy(v.version, r->version, sizeof(v.version));
	return stream_resumes_record(r->shared->stream_resumes,
	    &(struct stream_recording_opts){ &v, r->deadline, done, r });
}

void
relay_request_record(struct relay_request *r)
{
	r->recording = record_version(r, on_record);
	if (r->recording != NULL)
		httpd_cork(r->httpd_req, true);
}

void
relay_request_record_again(struct relay_request *r)
{
	if (r->recorded_at != 0 &&
	    clock_now() - r->recorded_at >= STREAM_RENEW_TIME)
		record_version(r, NULL);
}

struct retry_quota *
relay_request_retry_quota(struct relay_request *r)
{
	GHashTable *all = r->shared->retry_quotas;
	struct retry_quota *x = g_hash_table_lookup(all, r->service->name);

	if (x == NULL) {
		x = xcalloc(1, sizeof(*x));
		g_hash_table_insert(
		    all, str_dup(str_from(r->service->name)), x);
	}
	return x;
}

/* What the caller is told if the request may have run. */
static struct rejection
adjust_rejection(const struct relay_request *r, const struct rejection *why)
{
	struct rejection out = *why;

	out.kind = run_promise_error(why->kind, r->may_have_run);
	if (r->may_have_run)
		out.retry_after = 0;
	return out;
}

bool
relay_quarantined(const struct relay_shared *s, const struct part_set *parts,
    struct rejection *why)
{
	int64_t now_ms = clock_wall() / USEC_PER_MSEC;
	const struct quarantine_entry *e = s->quarantine != NULL
	    ? quarantine_match(s->quarantine, parts, now_ms)
	    : NULL;

	if (e == NULL)
		return false;
	*why = (struct rejection){ ERR_QUARANTINED,
		(e->until_ms - now_ms) * USEC_PER_MSEC,
		"targets crash on this request or a part of its prompt" };
	return true;
}

void
relay_request_reject(struct relay_request *r, const struct rejection *why)
{
	struct rejection adjusted = adjust_rejection(r, why);

	drop_held(r);
	/* Other failures don't show how long requests take. */
	if (adjusted.kind == ERR_DEADLINE || r->head_written)
		relay_stopping_ended(r, false);
	r->shared->counts.rejected[-adjusted.kind]++;
	/* The caller of a quarantined request had better not come back. */
	if (why->kind != ERR_QUARANTINED)
		stages_rejected(r, &adjusted);
	relay_answer_log_rejection(
	    r->info.id, &adjusted, r->route->name, clock_now() - r->arrived);
	if (r->head_written)
		httpd_abort(r->httpd_req);
	else
		relay_answer_problem(r->httpd_req, r->info.id, &adjusted);
	relay_request_free(r);
}

void
relay_request_done(struct relay_request *r, const char *outcome)
{
	struct relay_counts *c = &r->shared->counts;
	usec_t took = clock_now() - r->arrived;

	relay_request_uncork(r);
	if (strcmp(outcome, "complete") == 0) {
		c->complete++;
		relay_stopping_ended(r, true);
	} else {
		c->failed++;
	}
	relay_histogram_add(&c->latency, took);
	relay_answer_log_end(r, outcome, took);
	relay_request_free(r);
}

static void
on_caller_closed(void *arg)
{
	struct relay_request *r = arg;

	LOG(LOG_LVL_INFO, "caller-gone", { "request", r->info.id });
	r->shared->counts.caller_gone++;
	relay_stopping_ended(r, false);
	relay_request_uncork(r);
	forward_cancel(r);
	relay_request_free(r);
}

/* The caller has taken some of what was written. */
static void
on_caller_took(void *arg)
{
	struct relay_request *r = arg;

	if (r->call != NULL && httpd_takes_more(r->httpd_req, true))
		target_call_pause(r->call, false);
}

/* The caller's deadline budget or the route's timeout has run out. */
static void
on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct relay_request *r = arg;
	bool sent = r->call != NULL || r->may_have_run;
	struct timeval now = { 0, 0 };

	(void)fd;
	(void)what;
	/* An answer that has arrived is passed on. */
	if (r->call != NULL &&
	    late_read_goes_on(
		&r->late_read, target_call_has_input(r->call), clock_now())) {
		if (target_call_is_held(r->call))
			now.tv_usec = DIAL_HELD_STEP;
		evtimer_add(r->timer, &now);
		return;
	}
	forward_cancel(r);
	relay_request_reject(r,
	    &(struct rejection){
		sent ? ERR_DEADLINE : ERR_NO_TIME, 0, "its time is over" });
}

static void
set_timer(struct relay_request *r, usec_t now)
{
	usec_t left = r->deadline > now ? r->deadline - now : 0;
	struct timeval tv = { left / USEC_PER_SEC, left % USEC_PER_SEC };

	r->timer = evtimer_new(r->shared->base, on_deadline, r);
	evtimer_add(r->timer, &tv);
}

static int
effective_rank(const struct route *route, const struct key_owner *key)
{
	return key != NULL && key->rank != RANK_NONE ? key->rank : route->rank;
}

static uint64_t
hash_content(const struct httpmsg *m, const struct request_info *info,
    const struct key_owner *caller_key)
{
	struct str body = { (const char *)evbuffer_pullup(m->body, -1),
		evbuffer_get_length(m->body) };
	uint64_t hash = hash_u64(httpmsg_url(m), CONTENT_HASH_SEED);

	hash = hash_u64(info->host, hash);
	if (caller_key != NULL)
		hash = hash_u64(str_from(caller_key->name), hash);
	return hash_u64(body, hash);
}

struct request_parts
relay_request_parts(const struct httpmsg *m, const struct request_info *info,
    const struct key_owner *caller_key)
{
	struct request_parts out = {
		.content = hash_content(m, info, caller_key),
		.own =
		    info->n_parts > 0 ? info->parts[info->n_parts - 1].hash : 0,
	};

	part_set_add(&out.all, out.content);
	for (size_t i = 0; i < info->n_parts; i++)
		part_set_add(&out.all, info->parts[i].hash);
	return out;
}

struct str
relay_stream_id(const struct request_info *info)
{
	return info->is_resume && info->resumes.n > 0 ? info->resumes
						      : info->id;
}

static void
log_resume(const struct request_info *info)
{
	char after[24];

	snprintf(after, sizeof(after), "%" PRIu64, info->last_event);
	LOG(LOG_LVL_INFO, "caller-resumes", { "request", info->id },
	    { "stream", info->resumes }, { "after_event", str_from(after) });
}

/* The place where the caller's stream may go on is known. */
static void
on_resume_place(void *arg, enum resume_place place, const char *version)
{
	struct relay_request *r = arg;

	r->resume_search = NULL;
	if (place == RESUME_NOWHERE) {
		relay_request_reject(r,
		    &(struct rejection){ ERR_NO_TARGET, RESUME_RETRY,
			"the version that began the stream is not known" });
		return;
	}
	if (place == RESUME_AT_VERSION)
		g_strlcpy(r->version, version, sizeof(r->version));
	stages_start(r);
}

/* Finds out where the caller's stream may go on before its stages run. */
static void
start_resume(struct relay_request *r)
{
	struct resume_search *s;

	log_resume(&r->info);
	s = stream_resumes_find(r->shared->stream_resumes,
	    &(struct resume_search_opts){
		.id = r->info.resumes,
		.service = r->service->name,
		.done = on_resume_place,
		.arg = r,
	    });
	if (s != NULL)
		r->resume_search = s;
}

usec_t
relay_request_budget(const struct route *route, const struct request_info *info)
{
	usec_t budget = info->deadline_budget > 0 ? info->deadline_budget
						  : DEFAULT_DEADLINE_BUDGET;

	return route->timeout > 0 && route->timeout < budget ? route->timeout
							     : budget;
}

bool
relay_request_admit(struct relay_shared *s, const struct routes *routes,
    const struct httpmsg *m, struct admission *out, struct rejection *why)
{
	struct request_info *info = &out->info;
	struct stopping_need need;

	out->route = NULL;
	out->caller_key = NULL;
	if (!platform_request_parse(m, info)) {
		*why = (struct rejection){ ERR_BAD_HEADER, 0,
			"the attempt's id or the counts of pieces are missing, "
			"malformed or over " G_STRINGIFY(ROUTE_MAX_PIECES) };
		return false;
	}
	if (routes == NULL) {
		*why = (struct rejection){ ERR_NOT_READY, NOT_READY_RETRY,
			"no configuration is known yet" };
		return false;
	}
	out->route = routes_find(routes, info->host, httpmsg_url(m));
	if (out->route == NULL &&
	    routes_is_invalid(routes, info->host, httpmsg_url(m))) {
		*why = (struct rejection){ ERR_NOT_READY, NOT_READY_RETRY,
			"the configuration of the route is invalid" };
		return false;
	}
	if (out->route == NULL) {
		*why = (struct rejection){ ERR_NO_PIPELINE, 0,
			"no route has this host and path" };
		return false;
	}
	out->caller_key = routes_key_owner(routes, info->key);
	if (routes->keyed && !out->route->open && out->caller_key == NULL) {
		*why = (struct rejection){ ERR_BAD_TOKEN, 0,
			"the key is not known" };
		return false;
	}
	out->parts = relay_request_parts(m, info, out->caller_key);
	if (relay_quarantined(s, &out->parts.all, why))
		return false;
	need = relay_stopping_need(s, out->route, info);
	if (!stopping_takes(&s->stopping, &need, clock_now())) {
		*why = (struct rejection){ ERR_DRAINING, RELAY_DRAINING_RETRY,
			"this host is stopping" };
		return false;
	}
	return true;
}

void
relay_request_init(struct relay_request *r, const struct relay_request_opts *o)
{
	const struct request_info *info = o->info;
	const struct route *route = o->route;

	r->shared = o->shared;
	r->httpd_req = o->httpd_req;
	r->info = *info;
	r->routes = routes_ref(o->routes);
	r->route = route;
	r->caller_key = o->caller_key;
	r->parts = *o->parts;
	r->service = routes_service_at(
	    r->routes, route_pick_service(route, relay_stream_id(info)));
	r->rank = effective_rank(route, o->caller_key);
	r->arrived = o->arrived;
	r->deadline = r->arrived + relay_request_budget(route, info);
}

void
relay_request_start(const struct relay_request_opts *o)
{
	struct relay_shared *s = o->shared;
	const struct request_info *info = o->info;
	const struct route *route = o->route;
	struct relay_request *r = xcalloc(1, sizeof(*r));

	relay_request_init(r, o);
	r->link.data = r;
	g_queue_push_tail_link(&s->requests, &r->link);
	atomic_fetch_add(&s->busy, 1);
	set_timer(r, clock_now());
	httpd_name(o->httpd_req, info->id, route->name);
	httpd_on_close(o->httpd_req, on_caller_closed, r);
	httpd_on_sent(o->httpd_req, on_caller_took);
	retry_quota_request(
	    relay_request_retry_quota(r), &s->quota_rule, clock_now());
	if (info->is_resume && route->kind == ROUTE_STREAM)
		start_resume(r);
	else
		stages_start(r);
}
