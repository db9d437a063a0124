#include "entry/control.h"
#include "base/log.h"
#include "base/rng.h"
#include "entry/claimer.h"
#include "entry/fetcher.h"
#include "entry/fleet.h"
#include "entry/reconciler.h"
#include "entry/prober.h"
#include "entry/share_sync.h"
#include "plat/conflog.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-memb.h>

#define TICK                (20 * USEC_PER_MSEC)
#define PEER_FETCH_INTERVAL (200 * USEC_PER_MSEC)
/* Lets the watch deliver a newer generation before it is fetched. */
#define NEWER_CONFIG_DELAY  (300 * USEC_PER_MSEC)
/* Timeout for the state of a request at another sequoiad. */
#define FETCH_TIMEOUT       (1 * USEC_PER_SEC)
#define MAX_ENDPOINTS       8
/* Hex digits of the node hash that a request id begins with. */
#define NODE_DIGITS         8

struct control {
	struct control_opts o;
	struct traffic *traffic;
	pthread_t thread;
	struct http_loop *loop;
	struct inbox *inbox;
	struct rpc *rpc;
	struct fetcher *fetcher;
	struct kv *kv;
	struct conflog *conflog;
	struct claimer *claimer;
	struct fleet *fleet;
	struct share_sync *share_sync;
	struct reconciler *reconciler;
	struct prober *prober;
	struct conf *conf;
	uint64_t rejected_generation; /* last one logged as rejected */
	bool draining;
	atomic_bool stopping;
	usec_t flush_until;   /* set before stopping */
	pthread_mutex_t lock; /* guards report */
	struct control_report report;
	usec_t peer_fetch_at; /* last document fetch from a peer */
	/* When gossip reported a newer generation; 0: none. */
	usec_t newer_config_at;
};

static void
apply_conf(struct control *c, struct conf *conf)
{
	struct buf generation = { 0 };

	conf_unref(c->conf);
	c->conf = conf;
	claimer_set_retention(c->claimer, conf->fleet.claim_retention);
	proc_state_publish(
	    c->o.proc_state, &(struct proc_snapshot){ .conf = conf });
	traffic_set_conf(c->traffic, conf);
	fleet_set_generation(c->fleet, conf->generation, clock_now());
	reconciler_set_conf(c->reconciler, conf);
	fleet_notify_again(c->fleet);
	buf_printf(&generation, "%llu", (unsigned long long)conf->generation);
	LOG(LOG_LVL_NOTICE, "config-in-force",
	    { "generation", str_of(&generation) });
	buf_free(&generation);
}

/* Puts the newest complete generation in force, but never an older one. */
static void
on_conf(void *arg)
{
	struct control *c = arg;
	const struct confstate *s = conflog_state(c->conflog);
	struct err e = { 0 };
	struct conf *conf;

	if (s->generation == 0 || confstate_missing_body(s) != NULL ||
	    (c->conf != NULL && s->generation <= c->conf->generation) ||
	    s->generation == c->rejected_generation)
		return;
	conf = confstate_conf(s, &e);
	if (conf != NULL) {
		apply_conf(c, conf);
		return;
	}
	c->rejected_generation = s->generation;
	LOG(LOG_LVL_ERR, "config-refused", { "detail", str_from(e.text) });
}

static void
on_refused(void *arg, const struct err *e)
{
	(void)arg;
	LOG(LOG_LVL_ERR, "config-refused", { "detail", str_from(e->text) });
}

static void
on_deliver(void *arg, peer_letter *l)
{
	struct control *c = arg;
	struct inbox_msg *m = inbox_msg_new(INBOX_DATAGRAM);

	m->datagram = *l;
	memset(l, 0, sizeof(*l));
	inbox_put(c->inbox, m);
	http_wake(c->loop);
}

static void
fetch_value(struct control *c, const peer_query *q, peer_result *r)
{
	struct buf value = { 0 };
	uint64_t revision;

	r->found = conflog_read(c->conflog, q->name, &revision, &value);
	r->revision = revision;
	r->value.value_val = value.p;
	r->value.value_len = (u_int)value.n;
}

static void
fetch_record(struct control *c, const peer_query *q, peer_result *r)
{
	struct record *rec = record_find(
	    c->o.records, str_from(q->name), str_from(q->workspace));
	struct record_view v;
	struct buf out = { 0 };

	if (rec == NULL)
		return;
	record_wait(rec, SIZE_MAX, 0, &v);
	r->found = 1;
	r->ended = v.ended;
	r->outcome = (int)v.end.outcome;
	r->error = (int)v.end.error;
	r->retry_after = v.end.retry_after;
	r->detail = str_dup(str_from(v.end.detail));
	if (q->kind == PEER_GET_TRACE)
		record_trace(rec, &out);
	else if (v.ended)
		buf_put(&out, v.end.body);
	r->value.value_val = out.p;
	r->value.value_len = (u_int)out.n;
	record_unref(rec);
}

static void
on_fetch(void *arg, const peer_query *q, peer_result *r)
{
	struct control *c = arg;

	switch (q->kind) {
	case PEER_GET_VALUE:
		fetch_value(c, q, r);
		break;
	case PEER_GET_REQUEST:
	case PEER_GET_TRACE:
		fetch_record(c, q, r);
		break;
	}
}

static void
wake(void *arg)
{
	struct control *c = arg;

	http_wake(c->loop);
}

static void
on_decided(void *arg, const struct event_claim *ev)
{
	struct control *c = arg;

	traffic_claimed(c->traffic, ev);
}

static void
on_datagram(struct control *c, const peer_letter *l)
{
	usec_t now = clock_now();

	switch (l->body.kind) {
	case PEER_GOSSIP:
		fleet_receive(c->fleet, l, now);
		break;
	case PEER_CLAIM:
	case PEER_VERDICT:
		claimer_receive(c->claimer, l, now);
		break;
	case PEER_SHARE_REPORT:
	case PEER_SHARE_REPLY:
		share_sync_receive(c->share_sync, l, now);
		break;
	case PEER_PIECE_ASK:
	case PEER_PIECE_REPLY:
	case PEER_PIECE_FREE:
	case PEER_PIECE_FETCHED:
	case PEER_FEED:
	case PEER_CRASH:
	case PEER_ANSWERED:
	case PEER_QUARANTINE:
	case PEER_LIMIT:
	case PEER_SUSPECTS:
	case PEER_KNOWN:
	case PEER_STREAM:
	case PEER_STREAM_ASK:
	case PEER_STREAM_REPLY:
	case PEER_STREAM_RECORD:
	case PEER_STREAM_RECORDED:
	case PEER_STREAM_LOOK:
	case PEER_STREAM_FOUND:
	case PEER_STREAM_READING:
	case PEER_PLACE_ASK:
	case PEER_PLACE_REPLY:
	case PEER_PLACE_NEWS:
	case PEER_BRITTLE:
		break; /* sent only by hosts that relay by route */
	}
}

static void
begin_drain(struct control *c)
{
	c->draining = true;
	fleet_drain(c->fleet, clock_now());
	reconciler_release(c->reconciler);
}

static void
process_inbox(struct control *c)
{
	struct inbox_msg *m;

	while ((m = inbox_take(c->inbox)) != NULL) {
		switch (m->kind) {
		case INBOX_CLAIM:
			claimer_submit(c->claimer, m->action.kind,
			    &m->action.claim, clock_now());
			break;
		case INBOX_DATAGRAM:
			on_datagram(c, &m->datagram);
			break;
		case INBOX_FETCHED:
			if (m->fetched.found)
				conflog_receive(c->conflog, m->fetched.name,
				    m->fetched.revision,
				    str_of(&m->fetched.value), clock_now());
			break;
		case INBOX_TARGET_LEAVING:
			fleet_target_leaving(c->fleet, m->leaving.service,
			    m->leaving.addr, clock_now());
			break;
		case INBOX_DRAIN:
			begin_drain(c);
			break;
		case INBOX_VIEW:
			break; /* not sent to this thread */
		}
		inbox_msg_free(m);
	}
}

/* Fetches from a peer the documents that the watch has not delivered. */
static void
fetch_from_peer(struct control *c, usec_t now)
{
	const struct members *m = fleet_members(c->fleet);
	uint64_t have = conflog_state(c->conflog)->generation;
	char name[CONFLOG_NAME_BYTES] = "head";
	const char *addr;
	bool missing = conflog_missing(c->conflog, now, name);

	if (m->generation <= have)
		c->newer_config_at = 0;
	else if (c->newer_config_at == 0)
		c->newer_config_at = now;
	if (!missing &&
	    (c->newer_config_at == 0 ||
		now - c->newer_config_at < NEWER_CONFIG_DELAY))
		return;
	if (now - c->peer_fetch_at < PEER_FETCH_INTERVAL)
		return;
	addr = member_config_source(
	    m, missing ? have : m->generation, rng_entropy());
	if (addr != NULL &&
	    fetcher_request(c->fetcher, addr, name, PEER_REPLY_SILENCE))
		c->peer_fetch_at = now;
}

static void
on_targets(void *arg, const struct listed_target *v, size_t n)
{
	struct control *c = arg;

	traffic_set_targets(c->traffic, v, n);
	reconciler_set_targets(c->reconciler, v, n);
	prober_set_targets(c->prober, v, n);
}

/* Passes the live members to the modules that assign work by them. */
static void
on_members(void *arg, usec_t now)
{
	struct control *c = arg;
	struct members *m = fleet_members(c->fleet);
	size_t n;
	const char *const *ids = member_live(m, &n);
	struct claimer_member *v = xcalloc(n, sizeof(*v));
	struct str self = str_from(c->o.settings->id);
	size_t found = 0;

	for (size_t i = 0; i < n; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x == NULL)
			continue;
		v[found].id = hash_u64(str_from(ids[i]), 0);
		v[found].incarnation = x->incarnation;
		v[found++].rpc = member_rpc(x);
	}
	claimer_set_members(c->claimer, v, found, hash_u64(self, 0));
	conflog_set_watch(c->conflog, fleet_is_watcher(c->fleet));
	share_sync_set_members(
	    c->share_sync, m, fleet_listed_count(c->fleet), now);
	reconciler_set_members(c->reconciler, ids, n);
	prober_set_members(c->prober, ids, n);
	free(v);
}

static void
on_load(void *arg, const char *addr, uint32_t load, bool leaving)
{
	struct control *c = arg;

	traffic_set_load(c->traffic, addr, load, leaving);
}

/*
 * Handles another running process with this one's id and a newer incarnation:
 * logs it once and reports not ready, so that the load balancer stops routing
 * here.
 */
static void
on_superseded(struct control *c)
{
	if (c->draining || proc_state_superseded(c->o.proc_state))
		return;
	proc_state_supersede(c->o.proc_state);
	LOG(LOG_LVL_ERR, "id-taken", { "id", str_from(c->o.settings->id) },
	    { "remedy", STR("give each sequoiad a unique id, then restart") });
}

/* Updates the state that control_report copies. */
static void
update_report(struct control *c)
{
	struct claimer_counts counts = claimer_counts(c->claimer);

	pthread_mutex_lock(&c->lock);
	c->report.claims = counts;
	c->report.kv_calls = kv_calls(c->kv);
	c->report.generation = c->conf != NULL ? c->conf->generation : 0;
	pthread_mutex_unlock(&c->lock);
}

static void
tick(struct control *c, usec_t now)
{
	conflog_tick(c->conflog, now);
	claimer_tick(c->claimer, now);
	reconciler_tick(c->reconciler, now);
	fleet_tick(c->fleet, now,
	    c->conf != NULL ? c->conf->fleet.host_list_interval : USEC_PER_SEC);
	fetch_from_peer(c, now);
	if (fleet_members(c->fleet)->superseded)
		on_superseded(c);
	if (c->conf != NULL) {
		prober_tick(c->prober, c->conf, now);
		share_sync_tick(c->share_sync, c->conf, c->traffic,
		    fleet_members(c->fleet), now);
	}
	update_report(c);
}

static void
run_once(struct control *c)
{
	usec_t now = http_run(c->loop, TICK);

	process_inbox(c);
	tick(c, now);
}

/*
 * Runs on until all claims, refusals and settlements, also those of peers, are
 * decided, at most until flush_until.
 */
static void
flush(struct control *c)
{
	size_t left;

	do {
		run_once(c);
		left = claimer_counts(c->claimer).pending;
	} while (left > 0 && clock_now() < c->flush_until);
	if (left > 0)
		LOG(LOG_LVL_WARNING, "claims-not-kept",
		    { "remedy",
			STR("check that the key-value service responds") });
}

static void *
run(void *arg)
{
	struct control *c = arg;

	urcu_memb_register_thread();
	while (!atomic_load(&c->stopping))
		run_once(c);
	flush(c);
	fleet_leave(c->fleet, clock_now());
	urcu_memb_unregister_thread();
	return NULL;
}

static struct kv *
open_kv(struct control *c, const struct settings *s)
{
	const char *endpoints[MAX_ENDPOINTS];
	size_t n = 0;
	struct str rest = str_from(s->kv);
	struct str part;
	struct kv *kv;

	while (n < MAX_ENDPOINTS && str_cut(&rest, ' ', &part)) {
		if (part.n > 0)
			endpoints[n++] = str_dup(part);
	}
	kv = kv_new(&(struct kv_opts){
	    .loop = c->loop,
	    .endpoints = endpoints,
	    .n_endpoints = n,
	    .timeout = s->kv_timeout,
	    .local_addr = *s->kv_source != '\0' ? s->kv_source : NULL,
	    .memory = c->o.memory,
	});
	while (n > 0)
		free((char *)endpoints[--n]);
	return kv;
}

static struct rpc *
open_rpc(struct control *c, struct err *e)
{
	const struct settings *s = c->o.settings;

	return rpc_start(
	    &(struct rpc_opts){
		.id = s->id,
		.addr = s->rpc,
		.fleet_key = s->fleet_key,
		.incarnation = c->o.incarnation,
		.deliver = on_deliver,
		.fetch = on_fetch,
		.arg = c,
	    },
	    e);
}

struct control *
control_new(const struct control_opts *o, struct err *e)
{
	struct control *c = xcalloc(1, sizeof(*c));

	c->o = *o;
	pthread_mutex_init(&c->lock, NULL);
	c->loop = http_new();
	c->inbox = inbox_new();
	c->kv = open_kv(c, o->settings);
	c->conflog = conflog_new(&(struct conflog_opts){
	    .kv = c->kv,
	    .use_peers = true,
	    .incarnation = o->incarnation,
	    .changed = on_conf,
	    .rejected = on_refused,
	    .arg = c,
	});
	conflog_set_watch(c->conflog, true);
	c->rpc = open_rpc(c, e);
	if (c->rpc == NULL) {
		control_free(c);
		return NULL;
	}
	c->claimer = claimer_new(&(struct claimer_opts){
	    .kv = c->kv,
	    .rpc = c->rpc,
	    .incarnation = o->incarnation,
	    .decided = on_decided,
	    .arg = c,
	});
	c->fleet = fleet_new(&(struct fleet_opts){
	    .settings = o->settings,
	    .loop = c->loop,
	    .rpc = c->rpc,
	    .incarnation = o->incarnation,
	    .targets_changed = on_targets,
	    .members_changed = on_members,
	    .memory = o->memory,
	    .arg = c,
	});
	c->share_sync = share_sync_new(&(struct share_sync_opts){
	    .rpc = c->rpc,
	    .id = o->settings->id,
	    .incarnation = o->incarnation,
	    .now = clock_now(),
	});
	c->reconciler = reconciler_new(&(struct reconciler_opts){
	    .kv = c->kv,
	    .loop = c->loop,
	    .id = o->settings->id,
	    .memory = o->memory,
	});
	c->prober = prober_new(&(struct prober_opts){
	    .loop = c->loop,
	    .id = o->settings->id,
	    .seed = rng_entropy(),
	    .tally = o->tally,
	    .load_reported = on_load,
	    .memory = o->memory,
	    .arg = c,
	});
	c->fetcher = fetcher_start(&(struct fetcher_opts){
	    .rpc = c->rpc,
	    .inbox = c->inbox,
	    .memory = o->memory,
	    .wake = wake,
	    .arg = c,
	});
	return c;
}

void
control_start(struct control *c, struct traffic *t)
{
	c->traffic = t;
	pthread_create(&c->thread, NULL, run, c);
}

void
control_claim(void *arg, enum action_kind kind, const struct action_claim *a)
{
	struct control *c = arg;
	struct inbox_msg *m = inbox_msg_new(INBOX_CLAIM);

	m->action.kind = kind;
	m->action.claim = *a;
	m->action.claim.request_id = (struct buf){ 0 };
	m->action.claim.workspace = (struct buf){ 0 };
	m->action.claim.pipeline = (struct buf){ 0 };
	m->action.claim.answer = (struct buf){ 0 };
	buf_put(&m->action.claim.request_id, str_of(&a->request_id));
	buf_put(&m->action.claim.workspace, str_of(&a->workspace));
	buf_put(&m->action.claim.pipeline, str_of(&a->pipeline));
	buf_put(&m->action.claim.answer, str_of(&a->answer));
	inbox_put(c->inbox, m);
	http_wake(c->loop);
}

void
control_target_leaving(void *arg, const struct action_leaving *l)
{
	struct control *c = arg;
	struct inbox_msg *m = inbox_msg_new(INBOX_TARGET_LEAVING);

	m->leaving = *l;
	inbox_put(c->inbox, m);
	http_wake(c->loop);
}

void
control_drain(struct control *c)
{
	inbox_put(c->inbox, inbox_msg_new(INBOX_DRAIN));
	http_wake(c->loop);
}

void
control_report(struct control *c, struct control_report *out)
{
	pthread_mutex_lock(&c->lock);
	*out = c->report;
	pthread_mutex_unlock(&c->lock);
	out->rpc = rpc_counts(c->rpc);
	out->n_members = fleet_report(c->fleet, &out->members);
}

void
control_report_free(struct control_report *r)
{
	free(r->members);
}

int
control_fetch(struct control *c, const peer_query *q, peer_result *out)
{
	char addr[MAX_ADDR_BYTES];
	char node[NODE_DIGITS + 1];
	struct held held;
	int rc;

	snprintf(node, sizeof(node), "%s", q->name);
	if (!fleet_rpc_addr(
		c->fleet, (uint32_t)strtoul(node, NULL, 16), addr) ||
	    strcmp(addr, c->o.settings->rpc) == 0)
		return ERR_NOT_FOUND;
	held_init(&held,
	    &(struct held_opts){ .memory = c->o.memory, .use = MEMORY_STORE });
	rc = rpc_fetch(c->rpc,
	    &(struct rpc_fetch_opts){ .addr = addr,
		.query = q,
		.timeout = FETCH_TIMEOUT,
		.held = &held },
	    out);
	held_end(&held);
	if (rc == 0 && !out->found) {
		rpc_result_free(out);
		rc = ERR_NOT_FOUND;
	}
	return rc;
}

void
control_leave(struct control *c, usec_t until)
{
	c->flush_until = until;
	atomic_store(&c->stopping, true);
	http_wake(c->loop);
	if (c->traffic != NULL)
		pthread_join(c->thread, NULL);
}

void
control_stop(struct control *c)
{
	/* The control thread uses the fetcher until it ends. */
	fetcher_stop(c->fetcher);
	rpc_stop(c->rpc);
}

void
control_free(struct control *c)
{
	if (c->reconciler != NULL)
		reconciler_free(c->reconciler);
	if (c->prober != NULL)
		prober_free(c->prober);
	kv_free(c->kv);
	conflog_free(c->conflog);
	if (c->claimer != NULL) {
		claimer_free(c->claimer);
		fleet_free(c->fleet);
		share_sync_free(c->share_sync);
	}
	rpc_free(c->rpc);
	inbox_free(c->inbox);
	http_free(c->loop);
	conf_unref(c->conf);
	pthread_mutex_destroy(&c->lock);
	free(c);
}
