#include "entry/control.h"
#include "base/log.h"
#include "base/rng.h"
#include "entry/claimer.h"
#include "entry/fetcher.h"
#include "entry/gossiper.h"
#include "entry/orderer.h"
#include "entry/sharer.h"
#include "plat/conflog.h"
#include "plat/hosts.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-memb.h>

#define HOSTS_TIMEOUT    (2 * USEC_PER_SEC)
#define TICK             (20 * USEC_PER_MSEC)
#define ASK_PEER_EVERY   (200 * USEC_PER_MSEC)
#define RUMOUR_PATIENCE  (300 * USEC_PER_MSEC) /* for the own watch */
#define SEQUOIAD_SERVICE "sequoiad"            /* in the host list */
#define WATCHERS         32 /* sequoiads that watch the log themselves */
#define MAX_ENDPOINTS    8

struct control {
	struct control_opts o;
	struct traffic *traffic;
	pthread_t thread;
	struct http_loop *loop;
	struct inbox *inbox;
	struct rpc *rpc;
	struct fetcher *fetcher;
	struct kv *kv;
	struct hosts *hosts;
	struct conflog *conflog;
	struct claimer *claimer;
	struct gossiper *gossiper;
	struct sharer *sharer;
	struct orderer *orderer;
	struct conf *conf;
	uint64_t refused; /* generation whose refusal was logged */
	bool draining;
	atomic_bool stopping;
	atomic_ullong kv_calls;
	atomic_ullong generation;
	usec_t hosts_at;
	usec_t asked_at;       /* a peer for a document */
	usec_t behind_since;   /* a newer generation was heard of; 0: no */
	uint64_t members_seen; /* version of the member table */
	uint64_t leaving_seen; /* version of the list of leaving targets */
	struct listed_target *listed; /* last reading of the host list */
	size_t n_listed;
};

static void
put_in_force(struct control *c, struct conf *conf)
{
	struct buf n = { 0 };

	conf_unref(c->conf);
	c->conf = conf;
	claimer_retention(c->claimer, conf->fleet.claim_retention);
	atomic_store(&c->generation, conf->generation);
	snaps_publish(c->o.snaps, &(struct snap){ .conf = conf });
	traffic_conf(c->traffic, conf);
	gossiper_generation(c->gossiper, conf->generation, clock_now());
	orderer_conf(c->orderer, conf);
	orderer_targets(c->orderer, c->listed, c->n_listed);
	c->members_seen = UINT64_MAX;
	buf_printf(&n, "%llu", (unsigned long long)conf->generation);
	LOG(LOG_LVL_NOTICE, "config-in-force", { "generation", str_of(&n) });
	buf_free(&n);
}

/* Puts the newest whole generation in force; an older one never. */
static void
on_conf(void *arg)
{
	struct control *c = arg;
	const struct confstate *s = conflog_state(c->conflog);
	struct err e = { 0 };
	struct conf *conf;

	if (s->generation == 0 || confstate_missing(s) != NULL ||
	    (c->conf != NULL && s->generation <= c->conf->generation) ||
	    s->generation == c->refused)
		return;
	conf = confstate_conf(s, &e);
	if (conf != NULL) {
		put_in_force(c, conf);
		return;
	}
	c->refused = s->generation;
	LOG(LOG_LVL_ERR, "config-refused", { "detail", str_from(e.text) });
}

static void
on_refused(void *arg, const struct err *e)
{
	(void)arg;
	LOG(LOG_LVL_ERR, "config-refused", { "detail", str_from(e->text) });
}

/* A target that others have seen leaving is leaving here too. */
static bool
is_left(const struct gossip *g, const struct listed_target *x)
{
	for (size_t i = 0; i < g->n_leaving; i++) {
		if (strcmp(g->leaving[i].addr, x->addr) == 0 &&
		    strcmp(g->leaving[i].service, x->service) == 0)
			return true;
	}
	return false;
}

/* Hands the host list on, with what gossip tells of leaving targets. */
static void
hand_on_targets(struct control *c)
{
	const struct gossip *g = gossiper_state(c->gossiper);
	struct listed_target *v = xcalloc(c->n_listed, sizeof(*v));
	size_t n = 0;

	c->leaving_seen = g->leaving_version;
	for (size_t i = 0; i < c->n_listed; i++) {
		if (strcmp(c->listed[i].service, SEQUOIAD_SERVICE) == 0)
			continue;
		v[n] = c->listed[i];
		if (is_left(g, &v[n]))
			v[n].state = TARGET_LEAVING;
		n++;
	}
	traffic_targets(c->traffic, v, n);
	orderer_targets(c->orderer, v, n);
	free(v);
}

/* Tells others of targets that the list shows leaving, and of sequoiads. */
static void
on_hosts(void *arg, const struct listed_target *v, size_t n)
{
	struct control *c = arg;
	const char **peers = xcalloc(n, sizeof(*peers));
	size_t n_peers = 0;

	free(c->listed);
	c->listed = xcalloc(n, sizeof(*v));
	c->n_listed = n;
	for (size_t i = 0; i < n; i++) {
		c->listed[i] = v[i];
		if (strcmp(v[i].service, SEQUOIAD_SERVICE) == 0)
			peers[n_peers++] = v[i].addr;
		else if (v[i].state == TARGET_LEAVING)
			gossiper_leaving(
			    c->gossiper, v[i].service, v[i].addr, clock_now());
	}
	gossiper_listed(c->gossiper, peers, n_peers);
	free(peers);
	hand_on_targets(c);
}

static void
on_deliver(void *arg, peer_letter *l)
{
	struct control *c = arg;
	struct mail *m = mail_new(MAIL_LETTER);

	m->letter = *l;
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
	record_put(rec);
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
on_letter(struct control *c, const peer_letter *l)
{
	usec_t now = clock_now();

	switch (l->body.kind) {
	case PEER_GOSSIP:
		gossiper_letter(c->gossiper, l, now);
		break;
	case PEER_CLAIM:
	case PEER_VERDICT:
		claimer_letter(c->claimer, l, now);
		break;
	case PEER_SHARE_REPORT:
	case PEER_SHARE_REPLY:
		sharer_letter(c->sharer, l, now);
		break;
	}
}

static void
start_drain(struct control *c)
{
	c->draining = true;
	gossiper_drain(c->gossiper, clock_now());
	orderer_release(c->orderer);
}

static void
take_mail(struct control *c)
{
	struct mail *m;

	while ((m = inbox_take(c->inbox)) != NULL) {
		switch (m->kind) {
		case MAIL_CLAIM:
			claimer_ask(c->claimer, m->action.kind,
			    &m->action.claim, clock_now());
			break;
		case MAIL_LETTER:
			on_letter(c, &m->letter);
			break;
		case MAIL_FETCHED:
			if (m->fetched.found)
				conflog_offer(c->conflog, m->fetched.name,
				    m->fetched.revision,
				    str_of(&m->fetched.value), clock_now());
			break;
		case MAIL_DRAIN:
			start_drain(c);
			break;
		}
		mail_free(m);
	}
}

/* Asks a peer for what the own watch has not brought for a while. */
static void
ask_peer(struct control *c, usec_t now)
{
	const struct members *m = &gossiper_state(c->gossiper)->members;
	uint64_t have = conflog_state(c->conflog)->generation;
	char name[CONFLOG_NAME_BYTES] = "head";
	const char *addr;
	bool missing = conflog_missing(c->conflog, now, name);

	if (m->generation <= have)
		c->behind_since = 0;
	else if (c->behind_since == 0)
		c->behind_since = now;
	if (!missing &&
	    (c->behind_since == 0 || now - c->behind_since < RUMOUR_PATIENCE))
		return;
	if (now - c->asked_at < ASK_PEER_EVERY)
		return;
	addr = member_source(m, missing ? have : m->generation, rng_entropy());
	if (addr != NULL && fetcher_ask(c->fetcher, addr, name))
		c->asked_at = now;
}

/* Whether this process is among the few that watch the log themselves. */
static bool
is_watcher(const struct control *c, const char *const *ids, size_t n)
{
	uint64_t mine = hash_u64(str_from(c->o.settings->id), 1);
	size_t before = 0;

	for (size_t i = 0; i < n; i++) {
		if (hash_u64(str_from(ids[i]), 1) < mine)
			before++;
	}
	return before < WATCHERS;
}

/* The live members have changed: writers, shares and watchers follow. */
static void
on_members(struct control *c, usec_t now)
{
	struct members *m = &gossiper_state(c->gossiper)->members;
	size_t n;
	const char *const *ids = member_live(m, &n);
	struct claimer_member *v = xcalloc(n, sizeof(*v));
	struct str self = str_from(c->o.settings->id);
	size_t found = 0;

	c->members_seen = m->version;
	for (size_t i = 0; i < n; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x == NULL)
			continue;
		v[found].id = hash_u64(str_from(ids[i]), 0);
		v[found].incarnation = x->incarnation;
		v[found++].rpc = member_rpc(x);
	}
	claimer_members(c->claimer, v, found, hash_u64(self, 0));
	conflog_follow(c->conflog, is_watcher(c, ids, n));
	sharer_members(c->sharer, m, now);
	orderer_members(c->orderer, ids, n);
	free(v);
}

static void
tick_fleet(struct control *c, usec_t now)
{
	struct gossip *g = gossiper_state(c->gossiper);

	gossiper_tick(c->gossiper, now);
	if (g->members.version != c->members_seen)
		on_members(c, now);
	if (g->leaving_version != c->leaving_seen)
		hand_on_targets(c);
	ask_peer(c, now);
	if (c->conf != NULL)
		sharer_tick(c->sharer, c->conf, c->traffic, &g->members, now);
}

static void
tick(struct control *c, usec_t now)
{
	usec_t interval =
	    c->conf != NULL ? c->conf->fleet.host_list_interval : USEC_PER_SEC;

	if (now - c->hosts_at >= interval) {
		c->hosts_at = now;
		hosts_read(c->hosts);
	}
	conflog_tick(c->conflog, now);
	claimer_tick(c->claimer, now);
	orderer_tick(c->orderer, now);
	tick_fleet(c, now);
	atomic_store(&c->kv_calls, kv_calls(c->kv));
}

static void *
run(void *arg)
{
	struct control *c = arg;

	urcu_memb_register_thread();
	while (!atomic_load(&c->stopping)) {
		http_run(c->loop, TICK);
		take_mail(c);
		tick(c, clock_now());
	}
	gossiper_leave(c->gossiper, clock_now());
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
	c->loop = http_new();
	c->inbox = inbox_new();
	c->kv = open_kv(c, o->settings);
	c->hosts = hosts_new(&(struct hosts_opts){
	    .loop = c->loop,
	    .addr = o->settings->hosts,
	    .timeout = HOSTS_TIMEOUT,
	    .changed = on_hosts,
	    .arg = c,
	});
	c->conflog = conflog_new(&(struct conflog_opts){
	    .kv = c->kv,
	    .incarnation = o->incarnation,
	    .changed = on_conf,
	    .refused = on_refused,
	    .arg = c,
	});
	conflog_follow(c->conflog, true);
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
	c->gossiper = gossiper_new(&(struct gossiper_opts){
	    .settings = o->settings,
	    .rpc = c->rpc,
	    .incarnation = o->incarnation,
	    .seed = rng_entropy(),
	    .now = clock_now(),
	});
	c->sharer = sharer_new(&(struct sharer_opts){
	    .rpc = c->rpc,
	    .id = o->settings->id,
	    .incarnation = o->incarnation,
	    .now = clock_now(),
	});
	c->orderer = orderer_new(&(struct orderer_opts){
	    .kv = c->kv,
	    .loop = c->loop,
	    .id = o->settings->id,
	});
	c->members_seen = UINT64_MAX;
	c->fetcher = fetcher_start(&(struct fetcher_opts){
	    .rpc = c->rpc,
	    .inbox = c->inbox,
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
	struct mail *m = mail_new(MAIL_CLAIM);

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
control_drain(struct control *c)
{
	inbox_put(c->inbox, mail_new(MAIL_DRAIN));
	http_wake(c->loop);
}

struct control_report
control_report(struct control *c)
{
	return (struct control_report){
		.rpc = rpc_counts(c->rpc),
		.kv_calls = atomic_load(&c->kv_calls),
		.generation = atomic_load(&c->generation),
	};
}

int
control_fetch(struct control *c, const peer_query *q, peer_result *out)
{
	(void)c;
	(void)q;
	(void)out;
	return ERR_NOT_FOUND;
}

void
control_stop(struct control *c)
{
	fetcher_stop(c->fetcher);
	atomic_store(&c->stopping, true);
	http_wake(c->loop);
	if (c->traffic != NULL)
		pthread_join(c->thread, NULL);
	rpc_stop(c->rpc);
}

void
control_free(struct control *c)
{
	if (c->orderer != NULL)
		orderer_free(c->orderer);
	hosts_free(c->hosts);
	kv_free(c->kv);
	conflog_free(c->conflog);
	if (c->claimer != NULL) {
		claimer_free(c->claimer);
		gossiper_free(c->gossiper);
		sharer_free(c->sharer);
	}
	free(c->listed);
	inbox_free(c->inbox);
	http_free(c->loop);
	conf_unref(c->conf);
	free(c);
}
