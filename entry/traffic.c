#include "entry/traffic.h"
#include "entry/stop_signal.h"
#include "plat/held.h"
#include "plat/http.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-memb.h>
#include <urcu/wfcqueue.h>

#define REPORT_INTERVAL (200 * USEC_PER_MSEC)
/* Longest sleep of the event loop. */
#define MAX_WAIT        (200 * USEC_PER_MSEC)

struct message {
	struct cds_wfcq_node node;
	struct event ev;
	struct traffic_request rq; /* EVENT_ARRIVE */
	struct buf text; /* answer of a claim, address of a load report */
	struct listed_target *listed; /* EVENT_TARGETS */
	struct share *shares;         /* EVENT_SHARES */
	char (*names)[MAX_NAME_BYTES + 1];
	bool stop;
};

/* A kernel call and the HTTP call that carries it out. */
struct target_call {
	struct traffic *t;
	uint64_t call;
	uint64_t http;
	bool ignored; /* the kernel ignores further events */
};

struct traffic {
	struct traffic_opts o;
	pthread_t thread;
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	struct http_loop *loop;
	struct kernel *kernel;
	struct actions actions;
	struct held results;      /* counts those of stages, in the kernel */
	GHashTable *target_calls; /* kernel call -> struct target_call, owned */
	bool stopping;
	bool told_to_stop; /* the kernel */
	atomic_size_t busy;
	pthread_mutex_t report_lock;
	struct traffic_report report;
};

static void step(struct traffic *t, usec_t now, const struct event *ev);
static void look_for_stop(struct traffic *t, usec_t now);

static void
on_http(void *arg, const struct http_event *ev)
{
	struct target_call *c = arg;
	struct traffic *t = c->t;
	struct event out = { .kind = EVENT_HEAD };
	uint64_t call = c->call;

	/* What has ended makes room for requests that wait. */
	look_for_stop(t, http_read_until(t->loop));
	if (c->ignored) {
		if (ev->kind == HTTP_END || ev->kind == HTTP_FAIL)
			g_hash_table_remove(t->target_calls, &call);
		return;
	}
	switch (ev->kind) {
	case HTTP_HEAD:
		out.head.call = c->call;
		out.head.status = ev->status;
		break;
	case HTTP_CHUNK:
		out.kind = EVENT_CHUNK;
		out.chunk.call = c->call;
		out.chunk.bytes = ev->bytes;
		break;
	case HTTP_WAIT:
		out.kind = EVENT_WAIT;
		out.wait.call = c->call;
		out.wait.waits = ev->waits;
		break;
	case HTTP_END:
		out.kind = EVENT_END;
		out.end.call = c->call;
		g_hash_table_remove(t->target_calls, &out.end.call);
		break;
	case HTTP_FAIL:
		out.kind = EVENT_FAIL;
		out.fail.call = c->call;
		out.fail.why = ev->fail.why == HTTP_CONNECT ? FAILURE_CONNECT
		    : ev->fail.why == HTTP_TIMEOUT          ? FAILURE_TIMEOUT
							    : FAILURE_BROKEN;
		g_hash_table_remove(t->target_calls, &out.fail.call);
		break;
	}
	step(t, http_read_until(t->loop), &out);
}

static void
start_target_call(struct traffic *t, const struct action_call *a)
{
	struct target_call *c = xcalloc(1, sizeof(*c));
	struct buf url = { 0 };

	c->t = t;
	c->call = a->call;
	buf_printf(&url, "http://%s%s", a->addr, a->path.p);
	c->http = http_start(t->loop,
	    &(struct http_opts){
		.method = method_name(a->method),
		.url = url.p,
		.body = str_of(&a->body),
		.timeout = a->no_resend ? 0 : a->timeout,
		.max_bytes = MAX_ANSWER_BYTES,
		.fresh = a->new_conn || a->no_resend,
		.memory = t->o.memory,
		.use = MEMORY_ANSWER,
		.handler = on_http,
		.arg = c,
	    });
	g_hash_table_insert(t->target_calls, &c->call, c);
	buf_free(&url);
}

static void
cancel_target_call(struct traffic *t, uint64_t call, bool answer_complete)
{
	struct target_call *c = g_hash_table_lookup(t->target_calls, &call);

	if (c == NULL)
		return;
	if (answer_complete) {
		c->ignored = true;
		return;
	}
	http_cancel(t->loop, c->http);
	g_hash_table_remove(t->target_calls, &call);
}

static void
finish_record(struct traffic *t, const struct action_answer *a)
{
	struct record_end end = {
		.outcome = a->outcome,
		.error = a->error,
		.retry_after = a->retry_after,
		.body = str_of(&a->body),
		.trace = str_of(&a->trace),
	};

	memcpy(end.detail, a->detail, sizeof(end.detail));
	record_finish(t->o.records, a->req, &end);
}

static void
run_action(struct traffic *t, const struct action *a)
{
	switch (a->kind) {
	case ACTION_CALL:
		start_target_call(t, &a->call);
		break;
	case ACTION_CANCEL:
		cancel_target_call(
		    t, a->cancel.call, a->cancel.answer_complete);
		break;
	case ACTION_CLAIM:
	case ACTION_REFUSE:
	case ACTION_SETTLE:
		t->o.claim(t->o.arg, a->kind, &a->claim);
		break;
	case ACTION_CHUNK:
		record_add_chunk(
		    t->o.records, a->chunk.req, str_of(&a->chunk.text));
		break;
	case ACTION_ANSWER:
		finish_record(t, &a->answer);
		break;
	case ACTION_LEAVING:
		t->o.target_leaving(t->o.arg, &a->leaving);
		break;
	}
}

/*
 * Advances the kernel with an event and runs its actions.  Actions never call
 * back into step, so one list suffices.
 */
static void
step(struct traffic *t, usec_t now, const struct event *ev)
{
	kernel_step(t->kernel, now, ev, &t->actions);
	for (size_t i = 0; i < t->actions.n; i++)
		run_action(t, &t->actions.v[i]);
	actions_clear(&t->actions);
	held_set(&t->results, kernel_result_bytes(t->kernel));
	atomic_store(&t->busy, kernel_busy(t->kernel));
}

static void
free_message(struct message *m)
{
	buf_free(&m->rq.id);
	buf_free(&m->rq.workspace);
	buf_free(&m->rq.pipeline);
	buf_free(&m->rq.key);
	buf_free(&m->rq.body);
	buf_free(&m->text);
	if (m->ev.kind == EVENT_CONF)
		conf_unref(m->ev.conf.conf);
	free(m->listed);
	free(m->shares);
	free(m->names);
	free(m);
}

static void
post(struct traffic *t, struct message *m)
{
	cds_wfcq_node_init(&m->node);
	cds_wfcq_enqueue(&t->head, &t->tail, &m->node);
	http_wake(t->loop);
}

static void
handle_messages(struct traffic *t)
{
	struct cds_wfcq_node *n;

	while ((n = __cds_wfcq_dequeue_blocking(&t->head, &t->tail)) != NULL) {
		struct message *m = caa_container_of(n, struct message, node);

		if (m->stop)
			t->stopping = true;
		else
			step(t, clock_now(), &m->ev);
		free_message(m);
	}
}

static void
copy_limits(const struct limits *l, struct traffic_report *r)
{
	r->limits = xcalloc(l->n, sizeof(*r->limits));
	r->n_limits = l->n;
	for (size_t i = 0; i < l->n; i++) {
		struct traffic_limit *x = &r->limits[i];

		memcpy(x->workspace, l->v[i].workspace, sizeof(x->workspace));
		x->arrived = l->v[i].arrived;
		x->tokens = l->v[i].charged;
		x->in_flight = l->v[i].in_flight;
		x->share = l->v[i].share;
	}
}

static void
write_report(struct traffic *t)
{
	const struct targets *ts = kernel_targets(t->kernel);
	struct traffic_report r = {
		.stats = *kernel_stats(t->kernel),
		.targets = xcalloc(ts->n, sizeof(*r.targets)),
		.busy = kernel_busy(t->kernel),
		.at = clock_now(),
	};

	for (size_t i = 0; i < ts->n; i++) {
		struct traffic_target *x = &r.targets[r.n_targets];

		if (ts->v[i].state == TARGET_GONE)
			continue;
		x->t = ts->v[i];
		memcpy(x->service, ts->services[x->t.service].name,
		    sizeof(x->service));
		r.n_targets++;
	}
	copy_limits(kernel_limits(t->kernel), &r);
	pthread_mutex_lock(&t->report_lock);
	traffic_report_free(&t->report);
	t->report = r;
	pthread_mutex_unlock(&t->report_lock);
}

/* Called before what has arrived meanwhile is handled. */
static void
look_for_stop(struct traffic *t, usec_t now)
{
	struct event ev = { .kind = EVENT_STOP };
	usec_t at;

	if (t->told_to_stop)
		return;
	at = stop_signal_look(t->o.stop_signal);
	if (at == 0)
		return;
	t->told_to_stop = true;
	ev.stop = stopping_plan(at, t->o.drain, t->o.grace);
	ev.stop.seen_at = clock_now();
	step(t, now, &ev);
}

static void *
run(void *arg)
{
	struct traffic *t = arg;
	usec_t ticked = 0;
	usec_t reported = 0;

	urcu_memb_register_thread();
	while (!t->stopping) {
		usec_t now = clock_now();
		usec_t wait = kernel_next_tick(t->kernel, now) - now;

		now = http_run(t->loop, wait < MAX_WAIT ? wait : MAX_WAIT);
		look_for_stop(t, now);
		/* Messages advance the kernel past what has been read. */
		if (now - ticked >= DEFAULT_TICK_USEC) {
			ticked = now;
			step(t, now, &(struct event){ .kind = EVENT_TICK });
		}
		handle_messages(t);
		if (now - reported >= REPORT_INTERVAL) {
			reported = now;
			write_report(t);
			records_sweep(t->o.records, now);
		}
	}
	write_report(t);
	urcu_memb_unregister_thread();
	return NULL;
}

struct traffic *
traffic_new(const struct traffic_opts *o)
{
	struct traffic *t = xcalloc(1, sizeof(*t));

	t->o = *o;
	cds_wfcq_init(&t->head, &t->tail);
	t->loop = http_new();
	held_init(&t->results,
	    &(struct held_opts){ .memory = o->memory, .use = MEMORY_ANSWER });
	t->kernel = kernel_new(
	    &(struct kernel_opts){ .seed = o->seed, .domain = o->domain });
	t->target_calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	pthread_mutex_init(&t->report_lock, NULL);
	return t;
}

void
traffic_start(struct traffic *t)
{
	pthread_create(&t->thread, NULL, run, t);
}

void
traffic_arrive(struct traffic *t, struct traffic_request *r)
{
	struct message *m = xcalloc(1, sizeof(*m));

	m->rq = *r;
	*r = (struct traffic_request){ 0 };
	m->ev.kind = EVENT_ARRIVE;
	m->ev.arrive = (struct event_arrive){
		.req = m->rq.req,
		.id = str_of(&m->rq.id),
		.workspace = str_of(&m->rq.workspace),
		.pipeline = str_of(&m->rq.pipeline),
		.key = str_of(&m->rq.key),
		.attempt = m->rq.attempt,
		.timeout = m->rq.timeout,
		.wall = clock_wall(),
		.stream = m->rq.stream,
		.body = str_of(&m->rq.body),
	};
	post(t, m);
}

void
traffic_caller_gone(struct traffic *t, uint64_t req)
{
	struct message *m = xcalloc(1, sizeof(*m));

	m->ev.kind = EVENT_CALLER_GONE;
	m->ev.gone.req = req;
	post(t, m);
}

void
traffic_set_conf(struct traffic *t, struct conf *c)
{
	struct message *m = xcalloc(1, sizeof(*m));

	m->ev.kind = EVENT_CONF;
	m->ev.conf.conf = conf_ref(c);
	post(t, m);
}

void
traffic_set_targets(struct traffic *t, const struct listed_target *v, size_t n)
{
	struct message *m = xcalloc(1, sizeof(*m));

	m->listed = xcalloc(n, sizeof(*v));
	if (n > 0)
		memcpy(m->listed, v, n * sizeof(*v));
	m->ev.kind = EVENT_TARGETS;
	m->ev.targets.v = m->listed;
	m->ev.targets.n = n;
	post(t, m);
}

void
traffic_claimed(struct traffic *t, const struct event_claim *c)
{
	struct message *m = xcalloc(1, sizeof(*m));

	buf_put(&m->text, c->answer);
	m->ev.kind = EVENT_CLAIM;
	m->ev.claim = *c;
	m->ev.claim.answer = str_of(&m->text);
	post(t, m);
}

void
traffic_set_shares(
    struct traffic *t, uint32_t sequoiads, const struct share *v, size_t n)
{
	struct message *m = xcalloc(1, sizeof(*m));

	m->shares = xcalloc(n, sizeof(*v));
	m->names = xcalloc(n, sizeof(*m->names));
	for (size_t i = 0; i < n; i++) {
		size_t len = v[i].workspace.n < MAX_NAME_BYTES
		    ? v[i].workspace.n
		    : MAX_NAME_BYTES;

		memcpy(m->names[i], v[i].workspace.p, len);
		m->shares[i].workspace = (struct str){ m->names[i], len };
		m->shares[i].ppm = v[i].ppm;
	}
	m->ev.kind = EVENT_SHARES;
	m->ev.shares.sequoiads = sequoiads;
	m->ev.shares.v = m->shares;
	m->ev.shares.n = n;
	post(t, m);
}

void
traffic_set_load(
    struct traffic *t, const char *addr, uint32_t load, bool leaving)
{
	struct message *m = xcalloc(1, sizeof(*m));

	buf_put(&m->text, str_from(addr));
	m->ev.kind = EVENT_LOAD;
	m->ev.load.addr = str_of(&m->text);
	m->ev.load.load = load;
	m->ev.load.leaving = leaving;
	post(t, m);
}

void
traffic_drain(struct traffic *t)
{
	struct message *m = xcalloc(1, sizeof(*m));

	m->ev.kind = EVENT_DRAIN;
	post(t, m);
}

size_t
traffic_busy(struct traffic *t)
{
	return atomic_load(&t->busy);
}

/* Copies an array of n items; never returns NULL. */
static void *
copy_of(const void *v, size_t n, size_t size)
{
	void *p = xcalloc(n, size);

	if (n > 0)
		memcpy(p, v, n * size);
	return p;
}

void
traffic_report(struct traffic *t, struct traffic_report *out)
{
	pthread_mutex_lock(&t->report_lock);
	*out = t->report;
	out->targets =
	    copy_of(t->report.targets, out->n_targets, sizeof(*out->targets));
	out->limits =
	    copy_of(t->report.limits, out->n_limits, sizeof(*out->limits));
	pthread_mutex_unlock(&t->report_lock);
}

void
traffic_report_free(struct traffic_report *r)
{
	free(r->targets);
	free(r->limits);
	*r = (struct traffic_report){ 0 };
}

void
traffic_stop(struct traffic *t)
{
	struct message *m = xcalloc(1, sizeof(*m));

	m->stop = true;
	post(t, m);
	pthread_join(t->thread, NULL);
}

void
traffic_free(struct traffic *t)
{
	handle_messages(t);
	g_hash_table_destroy(t->target_calls);
	http_free(t->loop);
	held_end(&t->results);
	kernel_free(t->kernel);
	actions_free(&t->actions);
	traffic_report_free(&t->report);
	pthread_mutex_destroy(&t->report_lock);
	free(t);
}
