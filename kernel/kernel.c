#include "kernel/kernel.h"
#include "kernel/admit.h"
#include "kernel/flow.h"
#include "kernel/watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time brings room, too: loads age and targets return to service. */
#define LOOK_INTERVAL (20 * USEC_PER_MSEC)

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
state_at(const struct request *rq)
{
	return &rq->pipeline->stages[rq->stage];
}

bool
state_effect_open(const struct request *rq)
{
	return (rq->effect_sent || rq->claim == CLAIM_FOREIGN) &&
	    !rq->effect_done;
}

struct quant *
state_first_sign(const struct request *rq)
{
	struct stage_stats *st = rq->stats[rq->stage];

	return state_at(rq)->service->kind->streams ? &st->first : &st->whole;
}

uint32_t
state_listed(struct kernel *k, const struct conf_service *s)
{
	return targets_service(
	    &k->targets, str_from(*s->listed != '\0' ? s->listed : s->name));
}

void
state_reach(struct request *rq, size_t n)
{
	for (; rq->reached < rq->expected && rq->reached < n; rq->reached++)
		queue_expect_less(
		    &rq->services[rq->reached]->queue, rq->lanes[rq->reached]);
}

void
state_note(const struct kernel *k, struct request *rq, enum note_kind kind,
    const char *why, const char *addr)
{
	trace_add(&rq->trace, k->now - rq->arrived,
	    (struct note_opts){ kind, state_at(rq)->name, why, addr });
}

/* The call, or NULL and a count when it was given up before. */
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
	targets_loaded(&k->targets, i, ev->load.load, k->now);
	if (ev->load.leaving)
		call_left(k, i);
	else
		targets_staying(&k->targets, i);
}

/* Requests may end while the others are looked at, so handles are copied. */
static void
tick_all(struct kernel *k)
{
	guint n = g_hash_table_size(k->requests);
	uint64_t *all = xcalloc(n, sizeof(*all));
	GHashTableIter it;
	gpointer key;
	guint i = 0;

	g_hash_table_iter_init(&it, k->requests);
	while (g_hash_table_iter_next(&it, &key, NULL))
		all[i++] = *(uint64_t *)key;
	for (i = 0; i < n; i++) {
		struct request *rq = g_hash_table_lookup(k->requests, &all[i]);

		if (rq != NULL)
			watch_request(k, rq);
	}
	free(all);
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
room_anywhere(struct kernel *k)
{
	k->room = true;
	k->room_anywhere = true;
}

struct kernel *
kernel_new(const struct kernel_opts *o)
{
	struct kernel *k = xcalloc(1, sizeof(*k));

	k->seed = o->seed;
	k->domain = str_dup(str_from(o->domain));
	rng_init(&k->rng, o->seed);
	k->limits.sequoiads = 1;
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
	case EVENT_GONE:
		rq = g_hash_table_lookup(k->requests, &ev->gone.req);
		if (rq != NULL)
			flow_gone(k, rq);
		break;
	case EVENT_CLAIM:
		rq = g_hash_table_lookup(k->requests, &ev->claim.req);
		if (rq != NULL)
			flow_claim(k, rq, &ev->claim);
		break;
	case EVENT_HEAD:
	case EVENT_CHUNK:
	case EVENT_END:
	case EVENT_FAIL:
		on_call(k, ev);
		break;
	case EVENT_CONF:
		room_anywhere(k);
		on_conf(k, ev->conf.conf);
		break;
	case EVENT_TARGETS:
		room_anywhere(k);
		targets_update(
		    &k->targets, ev->targets.v, ev->targets.n, k->now);
		break;
	case EVENT_LOAD:
		room_anywhere(k);
		on_load(k, ev);
		break;
	case EVENT_SHARES:
		on_shares(k, ev);
		break;
	case EVENT_DRAIN:
		k->draining = true;
		break;
	case EVENT_TICK:
		if (k->now - k->looked_at >= LOOK_INTERVAL) {
			room_anywhere(k);
			k->looked_at = k->now;
		}
		tick_all(k);
		break;
	}
	flow_pump(k);
	k->out = NULL;
}

usec_t
kernel_wake(const struct kernel *k, usec_t now)
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

void
kernel_free(struct kernel *k)
{
	g_hash_table_destroy(k->calls);
	g_hash_table_destroy(k->requests);
	g_hash_table_destroy(k->stages);
	g_hash_table_destroy(k->services);
	targets_free(&k->targets);
	limit_free(&k->limits);
	conf_unref(k->conf);
	free(k->domain);
	free(k);
}
