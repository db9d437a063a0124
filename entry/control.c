#include "entry/control.h"
#include "base/log.h"
#include "entry/claimer.h"
#include "entry/fetcher.h"
#include "plat/conflog.h"
#include "plat/hosts.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-memb.h>

#define HOSTS_TIMEOUT  (2 * USEC_PER_SEC)
#define TICK           (20 * USEC_PER_MSEC)
#define ASK_PEER_EVERY (200 * USEC_PER_MSEC)
#define MAX_ENDPOINTS  8

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
	struct conf *conf;
	uint64_t refused; /* generation whose refusal was logged */
	bool draining;
	atomic_bool stopping;
	atomic_ullong kv_calls;
	atomic_ullong generation;
	usec_t hosts_at;
	usec_t asked_at; /* a peer for a document */
};

static void
put_in_force(struct control *c, struct conf *conf)
{
	struct buf n = { 0 };

	conf_unref(c->conf);
	c->conf = conf;
	claimer_retention(c->claimer, conf->fleet.claim_retention);
	atomic_store(&c->generation, conf->generation);
	snaps_publish(c->o.snaps,
	    &(struct snap){ .conf = conf, .draining = c->draining });
	traffic_conf(c->traffic, conf);
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

static void
on_hosts(void *arg, const struct listed_target *v, size_t n)
{
	struct control *c = arg;

	traffic_targets(c->traffic, v, n);
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
			claimer_letter(c->claimer, &m->letter, clock_now());
			break;
		case MAIL_FETCHED:
			if (m->fetched.found)
				conflog_offer(c->conflog, m->fetched.name,
				    m->fetched.revision,
				    str_of(&m->fetched.value), clock_now());
			break;
		case MAIL_DRAIN:
			c->draining = true;
			break;
		}
		mail_free(m);
	}
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
	c->fetcher = NULL;
	rpc_stop(c->rpc);
	c->rpc = NULL;
	atomic_store(&c->stopping, true);
	http_wake(c->loop);
	pthread_join(c->thread, NULL);
}

void
control_free(struct control *c)
{
	hosts_free(c->hosts);
	kv_free(c->kv);
	conflog_free(c->conflog);
	if (c->claimer != NULL)
		claimer_free(c->claimer);
	inbox_free(c->inbox);
	http_free(c->loop);
	conf_unref(c->conf);
	free(c);
}
