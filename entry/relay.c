#include "entry/relay.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/rng.h"
#include "entry/inbox.h"
#include "entry/relay_answer.h"
#include "entry/relay_ops.h"
#include "entry/relay_request.h"
#include "entry/relay_stopping.h"
#include "entry/discovery.h"
#include "kernel/overload/start_hold.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/*
 * How long after start stage jobs are held back.  With the short gossip rounds
 * after a start, nearly all other hosts are known by then.
 */
#define PEER_WAIT_TIME     (500 * USEC_PER_MSEC)
/* Jobs are acknowledged within 100 ms, so two ticks find an overdue job. */
#define TICK_INTERVAL      (50 * USEC_PER_MSEC)
/* Tick interval while no job is pending. */
#define IDLE_TICK_INTERVAL (250 * USEC_PER_MSEC)
/* Limits until a configuration is in force. */
#define INITIAL_LIMITS          \
	((struct httpd_limits){ \
	    65536, 1 << 20, 5 * USEC_PER_SEC, 15 * USEC_PER_SEC })
/* Handles of the inputs of a call; a stage call has them for each piece. */
#define CALL_FIELDS_BYTES ((size_t)4 * 1024 * 1024)

struct relay {
	struct relay_opts o;
	struct relay_shared shared;
	struct held_runner *runner;
	struct httpd *httpd;
	struct httpd *ops_httpd;
	struct discovery *discovery;
	struct inbox *inbox;
	struct event *inbox_event;
	struct event *tick;
	struct view *view;
	struct start_hold start_hold;
	bool accepts; /* callers' connections */
	pthread_t thread;
	bool started;
	int wake_fd;
	atomic_bool finished; /* stopping, and no request can come any more */
	atomic_bool stopping;
};

static void
reject_early(struct relay *y, struct httpd_request *q, struct str id,
    const struct rejection *why)
{
	y->shared.counts.rejected[-why->kind]++;
	httpd_name(q, id, "");
	relay_answer_log_rejection(id, why, "", 0);
	relay_answer_problem(q, id, why);
}

static void
on_request(void *arg, struct httpd_request *q)
{
	struct relay *y = arg;
	struct routes *t = y->view != NULL ? y->view->routes : NULL;
	struct rejection why = { ERR_OK, 0, "" };
	struct admission a;
	const struct stopping *stopping = relay_stopping_look(&y->shared);

	y->shared.counts.arrived++;
	if (!relay_request_admit(&y->shared, t, httpd_message(q), &a, &why)) {
		if (why.kind == ERR_DRAINING)
			y->shared.counts.stop.refused++;
		reject_early(y, q, a.info.id, &why);
		return;
	}
	if (stopping->signal_at != 0)
		y->shared.counts.stop.taken++;
	relay_request_start(&(struct relay_request_opts){
	    .shared = &y->shared,
	    .httpd_req = q,
	    .arrived = httpd_arrived(q),
	    .info = &a.info,
	    .routes = t,
	    .route = a.route,
	    .caller_key = a.caller_key,
	    .parts = &a.parts,
	});
}

static void
on_no_room(void *arg, struct httpd_request *q)
{
	struct relay *y = arg;
	const struct httpmsg *m = httpd_message(q);
	struct request_info info = { 0 };
	struct rejection why = { ERR_MEMORY, 0,
		"this host has no room for the request" };

	y->shared.counts.arrived++;
	if (m->state != HTTPMSG_HEAD)
		platform_request_parse(m, &info);
	why.retry_after =
	    memory_retry_after(hash_u64(info.id, (uint64_t)httpd_arrived(q)));
	reject_early(y, q, info.id, &why);
}

/* Closes idle connections to targets that are no longer listed. */
static void
close_delisted(struct relay *y, const GArray *old_targets)
{
	for (guint i = 0; i < old_targets->len; i++) {
		const struct target_entry *old =
		    &g_array_index(old_targets, struct target_entry, i);

		if (!loads_is_there(&y->shared.loads, old))
			dial_close_idle(y->shared.dialer, str_from(old->addr));
	}
}

/*
 * Rejects the requests that are quarantined by now, also those whose targets
 * have not begun to answer: when they begin, they crash.
 */
static void
reject_quarantined(struct relay *y)
{
	GList *next;

	for (GList *l = y->shared.requests.head; l != NULL; l = next) {
		struct relay_request *r = l->data;
		struct rejection why;

		next = l->next;
		if (r->sse.events > 0 ||
		    !relay_quarantined(&y->shared, &r->parts.all, &why))
			continue;
		r->may_have_run = r->may_have_run || r->call != NULL;
		forward_cancel(r);
		relay_request_reject(r, &why);
	}
}

/* Rejects the requests that no target may take any more. */
static void
reject_evacuated(struct relay *y)
{
	GList *next;

	for (GList *l = y->shared.requests.head; l != NULL; l = next) {
		next = l->next;
		stages_reject_evacuated(l->data);
	}
}

static void
accept_callers(struct relay *y, usec_t now)
{
	char held[32];

	if (y->accepts)
		return;
	y->start_hold.arrived_at = discovery_arrived_at(y->discovery);
	if (!start_hold_is_over(&y->start_hold, now))
		return;
	y->accepts = true;
	httpd_accept(y->httpd, true);
	snprintf(held, sizeof(held), "%" PRId64,
	    (now - y->start_hold.started_at) / USEC_PER_MSEC);
	LOG(LOG_LVL_INFO, "accepting", { "held_ms", str_from(held) },
	    { "configured",
		y->start_hold.has_config ? STR("yes") : STR("no") });
}

static void
set_cold_rules(struct relay *y, const struct routes *t)
{
	GHashTable *rules =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (guint i = 0; i < t->services->len; i++) {
		const struct service *s = routes_service_at(t, i);
		struct target_cold_rule rule = {
			.per_s = s->cold_per_s,
			.over = y->o.settings->cold_over / 1000.0,
			.slack = y->o.settings->cold_slack / 1000.0,
		};

		if (rule.per_s > 0)
			g_hash_table_replace(rules, g_strdup(s->name),
			    g_memdup2(&rule, sizeof(rule)));
	}
	loads_set_cold_rules(&y->shared.loads, rules);
	y->shared.least_rank = t->least_rank;
}

static void
apply_view(struct relay *y, struct view *v)
{
	const struct routes *t = v->routes;

	log_text(LOG_LVL_INFO, "view-in-force",
	    "version %" PRIu64 ", %u targets, %u hosts, store %s",
	    t != NULL ? t->version : 0, v->targets->len, v->peers->len,
	    v->store_unavailable ? "away" : "answering");
	if (t != NULL && (y->view == NULL || y->view->routes != t))
		set_cold_rules(y, t);
	loads_set_evacuated(&y->shared.loads, v->evacuated, clock_now());
	loads_update(&y->shared.loads, v->targets, clock_now());
	stage_jobs_set_peers(y->shared.stage_jobs, v->peers, v->hosts_listed);
	target_limits_set_hosts(y->shared.target_limits, v->peers, clock_now());
	loads_set_hosts_listed(&y->shared.loads, v->hosts_listed, clock_now());
	target_calls_set_hosts(y->shared.target_calls, v->peers);
	placements_set_peers(y->shared.placements, v->peers);
	placer_set_hosts(y->shared.placer, v->peers);
	coordinator_hosts_changed(y->shared.coordinator, clock_now());
	y->shared.quota_rule.hosts = v->peers->len > 0 ? v->peers->len : 1;
	if (t != NULL) {
		httpd_set_limits(y->httpd,
		    &(struct httpd_limits){ t->head_bytes, t->body_bytes,
			t->head_timeout, t->idle_timeout });
		/* Calls of other hosts come as the body of a request. */
		httpd_set_limits(y->ops_httpd,
		    &(struct httpd_limits){ INITIAL_LIMITS.head_bytes,
			t->head_bytes + t->body_bytes + CALL_FIELDS_BYTES,
			INITIAL_LIMITS.head_timeout,
			INITIAL_LIMITS.idle_timeout });
		coordinator_set_routes(y->shared.coordinator, v->routes);
		y->start_hold.has_config = true;
		placer_set_routes(y->shared.placer, v->routes);
		placements_set_routes(y->shared.placements, v->routes);
	}
	if (y->view != NULL)
		close_delisted(y, y->view->targets);
	view_free(y->view);
	y->view = v;
	y->shared.evacuated = v->evacuated;
	y->shared.quarantine = &v->quarantine;
	crash_reports_set_view(y->shared.crash_reports, v);
	stream_resumes_set_view(y->shared.stream_resumes, v);
	if (v->quarantine.entries->len > 0)
		reject_quarantined(y);
	if (v->evacuated->len > 0)
		reject_evacuated(y);
	accept_callers(y, clock_now());
}

static void
handle_datagram(struct relay *y, const peer_letter *d)
{
	switch (d->body.kind) {
	case PEER_PIECE_ASK:
		coordinator_submit(y->shared.coordinator, d->rpc,
		    &d->body.peer_body_u.piece_ask);
		break;
	case PEER_PIECE_REPLY:
		stage_jobs_reply(y->shared.stage_jobs, d->rpc,
		    &d->body.peer_body_u.piece_reply);
		break;
	case PEER_PIECE_FREE:
		coordinator_release(y->shared.coordinator,
		    str_from(d->body.peer_body_u.piece_free.handles));
		break;
	case PEER_PIECE_FETCHED:
		coordinator_fetched(y->shared.coordinator,
		    str_from(d->body.peer_body_u.piece_fetched.handles));
		break;
	case PEER_SUSPECTS:
		crash_reports_asked(
		    y->shared.crash_reports, &d->body.peer_body_u.suspects);
		break;
	case PEER_STREAM:
	case PEER_STREAM_ASK:
	case PEER_STREAM_REPLY:
	case PEER_STREAM_RECORDED:
	case PEER_STREAM_FOUND:
	case PEER_STREAM_READING:
		stream_resumes_receive(y->shared.stream_resumes, d);
		break;
	case PEER_LIMIT:
	case PEER_BRITTLE:
		target_limits_receive(y->shared.target_limits, &d->body);
		break;
	case PEER_PLACE_ASK:
		placer_ask(y->shared.placer, d->rpc, d->incarnation,
		    &d->body.peer_body_u.place_ask);
		break;
	case PEER_PLACE_REPLY:
		placements_reply(y->shared.placements, d->rpc,
		    &d->body.peer_body_u.place_reply);
		break;
	case PEER_PLACE_NEWS:
		placer_news(y->shared.placer, d->rpc, d->incarnation,
		    &d->body.peer_body_u.place_news);
		break;
	case PEER_GOSSIP:
	case PEER_CLAIM:
	case PEER_VERDICT:
	case PEER_SHARE_REPORT:
	case PEER_SHARE_REPLY:
	case PEER_FEED:
	case PEER_CRASH:
	case PEER_ANSWERED:
	case PEER_QUARANTINE:
	case PEER_KNOWN:
	case PEER_STREAM_RECORD:
	case PEER_STREAM_LOOK:
		break; /* handled by the discovery thread */
	}
}

static void
on_inbox(evutil_socket_t fd, short what, void *arg)
{
	struct relay *y = arg;
	struct inbox_msg *m;
	uint64_t n;

	(void)what;
	if (read(fd, &n, sizeof(n)) < 0)
		return;
	while ((m = inbox_take(y->inbox)) != NULL) {
		relay_stopping_look(&y->shared);
		switch (m->kind) {
		case INBOX_VIEW:
			apply_view(y, m->view);
			m->view = NULL;
			break;
		case INBOX_DATAGRAM:
			handle_datagram(y, &m->datagram);
			break;
		case INBOX_DRAIN:
		case INBOX_CLAIM:
		case INBOX_FETCHED:
		case INBOX_TARGET_LEAVING:
			break; /* never sent to this thread */
		}
		inbox_msg_free(m);
	}
	relay_stopping_look(&y->shared);
	if (atomic_load(&y->stopping))
		event_base_loopbreak(y->shared.base);
}

static void
wake(struct relay *y)
{
	uint64_t one = 1;

	if (write(y->wake_fd, &one, sizeof(one)) < 0)
		log_text(LOG_LVL_ERR, "wake-failed",
		    "write to the relay's eventfd failed");
}

static void
stop_tick(struct relay *y, bool coordinates, usec_t now)
{
	const struct stopping *stopping = relay_stopping_look(&y->shared);
	enum stopping_partial partial;
	struct stopping_work work;

	if (stopping->signal_at == 0)
		return;
	placer_drain(y->shared.placer);
	relay_stopping_note(&y->shared);
	relay_stopping_give_up(&y->shared, now);
	/* What arrives later would not be taken. */
	partial = stopping_refuses_partial(stopping, now);
	if (partial != STOPPING_NONE)
		y->shared.counts.stop.refused +=
		    httpd_refuse_partial(y->httpd, partial == STOPPING_ALL);
	if (!stopping_is_drained(stopping, now))
		return;
	work = (struct stopping_work){
		.callers = !httpd_finish(y->httpd),
		.calls = atomic_load(&y->shared.busy) > 0,
		.stages = coordinates,
	};
	/* Answers to other hosts are on the operators' server. */
	if (stopping_may_end(stopping, &work, now) &&
	    httpd_finish(y->ops_httpd))
		atomic_store(&y->finished, true);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct relay *y = arg;
	usec_t now = clock_now();
	bool stops = relay_stopping_look(&y->shared)->signal_at != 0;
	bool waiting = stage_jobs_tick(y->shared.stage_jobs, now);
	bool coordinates = coordinator_tick(y->shared.coordinator, now);
	usec_t next;
	struct timeval tv;

	(void)fd;
	(void)what;
	y->start_hold.stopping = stops;
	accept_callers(y, now);
	stop_tick(y, coordinates, now);
	host_memory_tick(y->o.memory);
	dialer_sweep(y->shared.dialer, now);
	target_calls_tick(y->shared.target_calls, now);
	target_limits_tick(y->shared.target_limits, now);
	placements_tick(y->shared.placements, now);
	placer_tick(y->shared.placer, now);
	stream_resumes_tick(y->shared.stream_resumes, now);
	waiting = waiting || coordinates || stops || !y->accepts;
	next = waiting ? TICK_INTERVAL : IDLE_TICK_INTERVAL;
	tv = (struct timeval){ next / USEC_PER_SEC, next % USEC_PER_SEC };
	evtimer_add(y->tick, &tv);
}

static void
on_local_reply(void *arg, const peer_piece_reply *r)
{
	struct relay *y = arg;

	stage_jobs_reply(y->shared.stage_jobs, NULL, r);
}

static void
on_own_placement(void *arg, const peer_place_reply *r)
{
	struct relay *y = arg;

	placements_reply(y->shared.placements, NULL, r);
}

static void
on_path_lost(void *arg, const char *service)
{
	struct relay *y = arg;
	GList *next;

	for (GList *l = y->shared.requests.head; l != NULL; l = next) {
		struct relay_request *r = l->data;

		next = l->next;
		if (strcmp(r->service->name, service) == 0)
			forward_path_lost(r);
	}
	coordinator_path_lost(y->shared.coordinator, service);
}

static const char *
on_find_coordinator(void *arg, const char *service)
{
	struct relay *y = arg;

	const struct loads *l = &y->shared.loads;
	const char *domain = loads_domains(l, service) != NULL ? l->domain : "";

	return stage_jobs_coordinator(y->shared.stage_jobs, service, domain);
}

/* Reports fetched results to the coordinators of their producers' services. */
static void
on_inputs_fetched(void *arg, struct str handles)
{
	struct relay *y = arg;
	struct str one;

	while (handles.n > 0 && str_cut(&handles, ',', &one)) {
		struct str rest = one;
		struct str addr;
		const char *service;

		if (!str_cut(&rest, '/', &addr))
			continue;
		service = loads_service_at(&y->shared.loads, addr);
		if (*service != '\0')
			stage_jobs_fetched(y->shared.stage_jobs, service, one);
	}
}

static void
on_ops(void *arg, struct httpd_request *q)
{
	struct relay *y = arg;

	relay_ops_serve(
	    &(struct relay_ops){
		.shared = &y->shared,
		.httpd = y->httpd,
		.discovery = y->discovery,
		.memory = y->o.memory,
		.routes = y->view != NULL ? y->view->routes : NULL,
		.ready = y->view != NULL && y->view->routes != NULL &&
		    relay_stopping_look(&y->shared)->signal_at == 0,
	    },
	    q);
}

static int
open_servers(struct relay *y, struct err *e)
{
	const struct settings *s = y->o.settings;

	y->httpd = httpd_new(
	    &(struct httpd_opts){
		.base = y->shared.base,
		.addr = s->listen,
		.limits = INITIAL_LIMITS,
		.on_request = on_request,
		.on_no_room = on_no_room,
		.arg = y,
		.memory = y->o.memory,
		.runner = y->runner,
		.use = MEMORY_REQUEST,
	    },
	    e);
	if (y->httpd == NULL)
		return e->kind;
	y->shared.httpd = y->httpd;
	y->ops_httpd = httpd_new(
	    &(struct httpd_opts){
		.base = y->shared.base,
		.addr = s->operators,
		.limits = INITIAL_LIMITS,
		.on_request = on_ops,
		.arg = y,
		.memory = y->o.memory,
		.runner = y->runner,
		.use = MEMORY_PEER,
		.cut_event = "served-response-cut",
	    },
	    e);
	return y->ops_httpd != NULL ? 0 : e->kind;
}

struct relay *
relay_new(const struct relay_opts *o, struct err *e)
{
	struct relay *y = xcalloc(1, sizeof(*y));
	struct relay_shared *p = &y->shared;

	y->o = *o;
	g_queue_init(&y->shared.requests);
	p->base = event_base_new();
	p->dialer = dialer_new(p->base);
	y->runner = held_runner_new(o->memory, p->base);
	dialer_set_memory(p->dialer, o->memory, y->runner);
	p->stop_signal = o->stop_signal;
	p->drain = o->settings->drain;
	p->grace = o->settings->grace;
	p->quota_rule = (struct retry_quota_rule){
		.ratio = o->settings->retry_ratio / 1000.0,
		.slack = o->settings->retry_slack / 1000.0,
		.window = o->settings->retry_window,
		.hosts = 1,
	};
	loads_init(&p->loads, o->settings->failure_domain, rng_entropy());
	p->retry_quotas =
	    g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
	stages_init(p);
	durations_init(&p->durations);
	request_times_init(&p->request_times);
	response_wait_init(&p->response_wait);
	response_wait_init(&p->event_wait);
	y->inbox = inbox_new();
	y->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	y->inbox_event =
	    event_new(p->base, y->wake_fd, EV_READ | EV_PERSIST, on_inbox, y);
	event_add(y->inbox_event, NULL);
	y->tick = evtimer_new(p->base, on_tick, y);
	if (open_servers(y, e) != 0) {
		relay_free(y);
		return NULL;
	}
	return y;
}

static void *
run(void *arg)
{
	struct relay *y = arg;

	on_tick(-1, 0, y);
	event_base_dispatch(y->shared.base);
	return NULL;
}

void
relay_start(struct relay *y, struct discovery *d)
{
	struct relay_shared *p = &y->shared;

	y->discovery = d;
	p->stage_jobs = stage_jobs_new(&(struct stage_jobs_opts){
	    .rpc = discovery_rpc(d),
	    .self = y->o.settings->id,
	    .incarnation = y->o.incarnation,
	    .peer_wait =
		str_from(y->o.settings->peers).n > 0 ? PEER_WAIT_TIME : 0,
	    .waits = &p->stage_waits,
	    .loads = &p->loads,
	});
	p->target_limits = target_limits_new(&(struct target_limits_opts){
	    .loads = &p->loads,
	    .rpc = discovery_rpc(d),
	    .self = y->o.settings->id,
	});
	p->target_calls = target_calls_new(&(struct target_calls_opts){
	    .base = p->base,
	    .dialer = p->dialer,
	    .loads = &p->loads,
	    .target_limits = p->target_limits,
	    .self = y->o.settings->id,
	    .domain = y->o.settings->failure_domain,
	    .fleet_key = y->o.settings->fleet_key,
	    .busy = &p->busy,
	    .on_path_lost = on_path_lost,
	    .arg = y,
	});
	p->coordinator = coordinator_new(&(struct coordinator_opts){
	    .base = p->base,
	    .target_calls = p->target_calls,
	    .loads = &p->loads,
	    .target_limits = p->target_limits,
	    .rpc = discovery_rpc(d),
	    .reply = on_local_reply,
	    .find_coordinator = on_find_coordinator,
	    .inputs_fetched = on_inputs_fetched,
	    .arg = y,
	});
	stage_jobs_set_coordinator(p->stage_jobs, p->coordinator);
	p->placements = placements_new(&(struct placements_opts){
	    .base = p->base,
	    .rpc = discovery_rpc(d),
	    .loads = &p->loads,
	    .self = y->o.settings->id,
	    .incarnation = y->o.incarnation,
	    .min_hosts = y->o.settings->placer_min_hosts,
	});
	p->placer = placer_new(&(struct placer_opts){
	    .base = p->base,
	    .rpc = discovery_rpc(d),
	    .loads = &p->loads,
	    .incarnation = y->o.incarnation,
	    .reply = on_own_placement,
	    .arg = y,
	});
	placements_set_placer(p->placements, p->placer);
	p->crash_reports = crash_reports_new(&(struct crash_reports_opts){
	    .base = p->base,
	    .discovery = d,
	    .self = y->o.settings->id,
	    .self_rpc = y->o.settings->rpc,
	});
	p->stream_resumes = stream_resumes_new(&(struct stream_resumes_opts){
	    .base = p->base,
	    .discovery = d,
	    .self = y->o.settings->id,
	    .self_rpc = y->o.settings->rpc,
	});
	y->started = true;
	y->start_hold.started_at = clock_now();
	httpd_accept(y->httpd, false);
	pthread_create(&y->thread, NULL, run, y);
}

void
relay_set_view(struct relay *y, struct view *v)
{
	struct inbox_msg *m = inbox_msg_new(INBOX_VIEW);

	m->view = v;
	inbox_put(y->inbox, m);
	wake(y);
}

void
relay_receive(struct relay *y, peer_letter *d)
{
	struct inbox_msg *m = inbox_msg_new(INBOX_DATAGRAM);

	m->datagram = *d;
	memset(d, 0, sizeof(*d));
	inbox_put(y->inbox, m);
	wake(y);
}

void
relay_drain(struct relay *y)
{
	wake(y);
}

bool
relay_finished(const struct relay *y)
{
	return atomic_load(&((struct relay *)y)->finished);
}

void
relay_stop(struct relay *y)
{
	if (!y->started)
		return;
	atomic_store(&y->stopping, true);
	wake(y);
	pthread_join(y->thread, NULL);
	/* Before responses that are cut wait for their callers, too. */
	httpd_cut(y->httpd);
	httpd_cut(y->ops_httpd);
	y->shared.counts.stop.unsent = httpd_counts(y->httpd).cut;
	y->shared.counts.stop.served_unsent = httpd_counts(y->ops_httpd).cut;
	relay_stopping_cut(&y->shared);
	target_calls_stop(y->shared.target_calls);
	coordinator_cut(y->shared.coordinator);
	/* No thread reads what callers would still send. */
	httpd_free(y->httpd);
	y->httpd = NULL;
	relay_stopping_report(&y->shared);
}

void
relay_free(struct relay *y)
{
	struct relay_shared *p = &y->shared;

	if (p->target_calls != NULL)
		target_calls_stop(p->target_calls);
	if (y->httpd != NULL)
		httpd_free(y->httpd);
	if (y->ops_httpd != NULL)
		httpd_free(y->ops_httpd);
	if (p->coordinator != NULL)
		coordinator_free(p->coordinator);
	if (p->stage_jobs != NULL)
		stage_jobs_free(p->stage_jobs);
	if (p->placer != NULL)
		placer_free(p->placer);
	if (p->placements != NULL)
		placements_free(p->placements);
	if (p->crash_reports != NULL)
		crash_reports_free(p->crash_reports);
	if (p->stream_resumes != NULL)
		stream_resumes_free(p->stream_resumes);
	if (p->target_limits != NULL)
		target_limits_free(p->target_limits);
	dialer_free(p->dialer);
	if (p->target_calls != NULL)
		target_calls_free(p->target_calls);
	loads_free(&p->loads);
	g_hash_table_destroy(p->retry_quotas);
	durations_free(&p->durations);
	request_times_free(&p->request_times);
	response_wait_free(&p->response_wait);
	response_wait_free(&p->event_wait);
	stages_free(p);
	event_free(y->inbox_event);
	event_free(y->tick);
	held_runner_free(y->runner);
	/* Frees the objects that deferred callbacks still hold. */
	event_base_loop(p->base, EVLOOP_NONBLOCK);
	event_base_free(p->base);
	view_free(y->view);
	inbox_free(y->inbox);
	close(y->wake_fd);
	free(y);
}
