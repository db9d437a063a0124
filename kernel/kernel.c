#include "kernel/kernel.h"
#include "kernel/admit.h"
#include "kernel/flow.h"
#include "kernel/request_stopping.h"
#include "kernel/timeouts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Interval at which ticks serve all queues: load reports age and targets return
 * to service without an event.
 */
#define QUEUE_RECHECK_INTERVAL (20 * USEC_PER_MSEC)

static void
free_stage(gpointer p)
{
	free(p);
}

static void
free_service(gpointer p)
{
	struct service_state *s = p;

	queue_free(&s->queue);
	free(s);
}

static void
free_request(gpointer p)
{
	flow_free(p);
}

struct stage_stats *
state_stage(struct kernel *k, const struct conf_pipeline *p, size_t stage)
{
	char name[2 * MAX_NAME_BYTES + 2];
	struct stage_stats *st;

	snprintf(name, sizeof(name), "%s.%s", p->name, p->stages[stage].name);
	st = g_hash_table_lookup(k->stages, name);
	if (st == NULL) {
		st = xcalloc(1, sizeof(*st));
		budget_init(&st->budget);
		g_hash_table_insert(k->stages, g_strdup(name), st);
	}
	return st;
}

struct service_state *
state_service(struct kernel *k, const struct conf_service *s)
{
	struct service_state *st = g_hash_table_lookup(k->services, s->name);

	if (st == NULL) {
		st = xcalloc(1, sizeof(*st));
		g_hash_table_insert(k->services, g_strdup(s->name), st);
	}
	return st;
}

const struct conf_stage *
state_current_stage(const struct request *rq)
{
	return &rq->pipeline->stages[rq->stage];
}

bool
state_effect_unknown(const struct request *rq)
{
	return (rq->effect_sent || rq->claim == CLAIM_EARLIER) &&
	    !rq->effect_done;
}

struct histogram *
state_first_output(const struct request *rq)
{
	struct stage_stats *st = rq->stats[rq->stage];

	return state_current_stage(rq)->service->kind->streams
	    ? &st->first_token
	    : &st->call_time;
}

uint32_t
state_service_index(struct kernel *k, const struct conf_service *s)
{
	return targets_service(&k->targets,
	    str_from(*s->list_name != '\0' ? s->list_name : s->name));
}

void
state_skip_expected(struct request *rq, size_t n)
{
	for (; rq->stages_passed < rq->stages_expected && rq->stages_passed < n;
	     rq->stages_passed++)
		queue_unexpect(&rq->services[rq->stages_passed]->queue,
		    rq->lanes[rq->stages_passed]);
}

void
state_trace(const struct kernel *k, struct request *rq, enum trace_kind kind,
    const char *why, const char *addr)
{
	trace_add(&rq->trace, k->now - rq->arrived,
	    (struct trace_entry_opts){
		kind, state_current_stage(rq)->name, why, addr });
}

/* Returns the call, or NULL and counts a late event if it was closed. */
static struct call *
find_call(struct kernel *k, uint64_t id)
{
	struct call *c = g_hash_table_lookup(k->calls, &id);

	if (c == NULL)
		k->stats.late_events++;
	return c;
}

static void
on_conf(struct kernel *k, struct conf *c)
{
	conf_unref(k->conf);
	k->conf = conf_ref(c);
	targets_conf(&k->targets, c);
}

static void
on_shares(struct kernel *k, const struct event *ev)
{
	k->limits.sequoiads = ev->shares.sequoiads;
	for (size_t i = 0; i < ev->shares.n; i++)
		limit_set_share(
		    &k->limits, ev->shares.v[i].workspace, ev->shares.v[i].ppm);
}

static void
on_load(struct kernel *k, const struct event *ev)
{
	int i = targets_find(&k->targets, ev->load.addr);

	if (i < 0)
		return;
	targets_record_load(&k->targets, i, ev->load.load, k->now);
	if (ev->load.leaving)
		call_target_leaving(k, i);
	else
		targets_clear_leaving(&k->targets, i);
}

/* Copies the handles because checking a request may end it and others. */
static void
check_requests(struct kernel *k)
{
	guint n = g_hash_table_size(k->requests);
	uint64_t *handles = xcalloc(n, sizeof(*handles));
	GHashTableIter it;
	gpointer key;
	guint i = 0;

	g_hash_table_iter_init(&it, k->requests);
	while (g_hash_table_iter_next(&it, &key, NULL))
		handles[i++] = *(uint64_t *)key;
	for (i = 0; i < n; i++) {
		struct request *rq =
		    g_hash_table_lookup(k->requests, &handles[i]);

		if (rq != NULL)
			timeouts_check(k, rq);
	}
	free(handles);
}

static void
on_call(struct kernel *k, const struct event *ev)
{
	struct call *c;

	switch (ev->kind) {
	case EVENT_HEAD:
		c = find_call(k, ev->head.call);
		if (c != NULL)
			c->status = ev->head.status;
		break;
	case EVENT_CHUNK:
		c = find_call(k, ev->chunk.call);
		if (c != NULL)
			flow_answer(k, c, ev->chunk.bytes, false);
		break;
	case EVENT_END:
		c = find_call(k, ev->end.call);
		if (c != NULL)
			flow_answer(k, c, (struct str){ NULL, 0 }, true);
		break;
	case EVENT_WAIT:
		c = find_call(k, ev->wait.call);
		if (c != NULL)
			call_wait(k, c, ev->wait.waits);
		break;
	case EVENT_FAIL:
		c = find_call(k, ev->fail.call);
		if (c != NULL)
			flow_fail(k, c, ev->fail.why);
		break;
	default:
		break;
	}
}

static void
mark_all_queues(struct kernel *k)
{
	k->slot_freed = true;
	k->check_all_queues = true;
}

struct kernel *
kernel_new(const struct kernel_opts *o)
{
	struct kernel *k = xcalloc(1, sizeof(*k));

	k->seed = o->seed;
	k->domain = str_dup(str_from(o->domain));
	rng_init(&k->rng, o->seed);
	k->limits.sequoiads = 1;
	request_times_init(&k->times);
	k->requests = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_request);
	k->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	k->stages =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stage);
	k->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_service);
	return k;
}

void
kernel_step(
    struct kernel *k, usec_t now, const struct event *ev, struct actions *out)
{
	struct request *rq = NULL;

	if (now > k->now)
		k->now = now;
	k->out = out;
	switch (ev->kind) {
	case EVENT_ARRIVE:
		admit_arrive(k, &ev->arrive);
		break;
	case EVENT_CALLER_GONE:
		rq = g_hash_table_lookup(k->requests, &ev->gone.req);
		if (rq != NULL)
			flow_caller_gone(k, rq);
		break;
	case EVENT_CLAIM:
		rq = g_hash_table_lookup(k->requests, &ev->claim.req);
		if (rq != NULL)
			flow_claim(k, rq, &ev->claim);
		break;
	case EVENT_HEAD:
	case EVENT_CHUNK:
	case EVENT_END:
	case EVENT_WAIT:
	case EVENT_FAIL:
		on_call(k, ev);
		break;
	case EVENT_CONF:
		mark_all_queues(k);
		on_conf(k, ev->conf.conf);
		break;
	case EVENT_TARGETS:
		mark_all_queues(k);
		targets_update(
		    &k->targets, ev->targets.v, ev->targets.n, k->now);
		break;
	case EVENT_LOAD:
		mark_all_queues(k);
		on_load(k, ev);
		break;
	case EVENT_SHARES:
		on_shares(k, ev);
		break;
	case EVENT_DRAIN:
		k->draining = true;
		break;
	case EVENT_STOP:
		request_stopping_begin(k, &ev->stop);
		break;
	case EVENT_TICK:
		if (k->now - k->rechecked_at >= QUEUE_RECHECK_INTERVAL) {
			mark_all_queues(k);
			k->rechecked_at = k->now;
		}
		check_requests(k);
		break;
	}
	flow_serve_queues(k);
	k->out = NULL;
}

usec_t
kernel_next_tick(const struct kernel *k, usec_t now)
{
	if (g_hash_table_size(k->requests) == 0)
		return now + USEC_PER_SEC;
	return now + DEFAULT_TICK_USEC;
}

size_t
kernel_busy(const struct kernel *k)
{
	return g_hash_table_size(k->requests);
}

const struct kernel_stats *
kernel_stats(const struct kernel *k)
{
	return &k->stats;
}

const struct targets *
kernel_targets(const struct kernel *k)
{
	return &k->targets;
}

struct limits *
kernel_limits(struct kernel *k)
{
	return &k->limits;
}

size_t
kernel_result_bytes(const struct kernel *k)
{
	return k->result_bytes;
}

void
kernel_free(struct kernel *k)
{
	g_hash_table_destroy(k->calls);
	g_hash_table_destroy(k->requests);
	g_hash_table_destroy(k->stages);
	g_hash_table_destroy(k->services);
	request_times_free(&k->times);
	targets_free(&k->targets);
	limit_free(&k->limits);
	conf_unref(k->conf);
	free(k->domain);
	free(k);
}
