#include "model/sim.h"
#include "base/hash.h"
#include "base/rng.h"
#include "kernel/overload/batch.h"
#include "kernel/overload/chain.h"
#include "kernel/overload/result_space.h"
#include "kernel/overload/retry_after.h"
#include "kernel/overload/retry_quota.h"
#include "kernel/overload/stage_waits.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define STEP            (5 * USEC_PER_MSEC)
#define TICK            (50 * USEC_PER_MSEC)
#define INPUT_MARGIN    (400 * USEC_PER_MSEC)
/* Longest wait that a caller accepts before it comes back, of its time left. */
#define RETURN_SHARE    3
#define HELD_SHARE      0.75
#define MAX_STAGE_TRIES 3
#define REPEAT_RATIO    0.3
#define REPEAT_SLACK    10
#define REPEAT_WINDOW   (10 * USEC_PER_SEC)

struct result {
	uint32_t target;
	uint32_t incarnation; /* of the target that holds it */
	usec_t expires;
	uint64_t serial;
	double cost; /* seconds of target time */
};

struct request {
	uint32_t kind;
	uint64_t number;
	usec_t first_arrival;
	usec_t arrived;
	usec_t soft_deadline;
	usec_t deadline;
	uint32_t stage; /* in progress */
	uint32_t tries; /* jobs of this stage */
	uint32_t returns;
	GArray *inputs; /* struct result, of the stage before */
	bool ended;
};

struct job {
	struct request *request;
	uint32_t missing;
	GArray *results; /* struct result */
	usec_t deadline;
	bool input_expiry; /* the deadline is the expiry of the inputs */
	bool ended;
};

struct target {
	usec_t busy_until;
	usec_t down_until;
	uint32_t incarnation;
	usec_t started;
	usec_t give_up_at; /* the coordinator considers the call lost */
	GArray *items;     /* struct batch_item; NULL: no call */
};

struct pool {
	const struct model_service *service;
	struct batch batch;
	struct target *targets;
};

/* A time at which a caller comes back, or a request has its first event. */
struct due {
	usec_t at;
	struct request *request;
	bool first_event;
};

struct report {
	usec_t apply_at;
	uint32_t service;
	uint32_t rank;
	usec_t wait;
	usec_t at;
};

struct sim {
	const struct scenario *s;
	unsigned policies;
	struct sim_result *out;
	struct rng rng;
	usec_t now;
	struct pool pools[MODEL_MAX_SERVICES];
	struct result_space space;
	struct stage_waits waits;
	struct retry_quota quota;
	struct retry_quota_rule quota_rule;
	GQueue reports;  /* struct report */
	GSequence *due;  /* struct due, by time */
	GPtrArray *jobs; /* all, freed at the end */
	GPtrArray *requests;
	double owed[MODEL_MAX_KINDS]; /* fractions of arrivals */
	uint64_t serial;
};

static void submit_stage(struct sim *m, struct request *r);

static gint
by_time(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct due *x = a;
	const struct due *y = b;

	(void)arg;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->request->number < y->request->number ? -1 : 1;
}

static void
add_due(struct sim *m, struct request *r, usec_t at, bool first_event)
{
	struct due *d = g_new0(struct due, 1);

	d->at = at;
	d->request = r;
	d->first_event = first_event;
	g_sequence_insert_sorted(m->due, d, by_time, NULL);
}

/* Counts an end of a request in its window and in the total of its kind. */
static void
count(struct sim *m, const struct request *r, size_t offset, usec_t n)
{
	usec_t w = r->first_arrival / m->s->window;
	struct sim_counts *v[] = { &m->out->windows[w][r->kind],
		&m->out->kinds[r->kind] };

	for (int i = 0; i < 2; i++) {
		char *at = (char *)v[i] + offset;

		if (offset == offsetof(struct sim_counts, reject_time))
			*(usec_t *)(void *)at += n;
		else
			*(uint32_t *)(void *)at += (uint32_t)n;
	}
}

#define COUNT(m, r, field) count(m, r, offsetof(struct sim_counts, field), 1)

static void
format_address(char *out, size_t n, uint32_t service, uint32_t target)
{
	snprintf(out, n, "%u.%u", service, target);
}

static void
format_handle(char *out, size_t n, uint32_t service, const struct result *x)
{
	snprintf(out, n, "%u.%u/%" PRIu64, service, x->target, x->serial);
}

static const struct model_kind *
kind_of(const struct sim *m, const struct request *r)
{
	return &m->s->kinds[r->kind];
}

/* Frees results of a service; those that no call used count as wasted. */
static void
release(struct sim *m, uint32_t service, GArray *results, bool used)
{
	char handle[64];

	for (guint i = 0; i < results->len; i++) {
		const struct result *x =
		    &g_array_index(results, struct result, i);

		format_handle(handle, sizeof(handle), service, x);
		result_space_free_result(&m->space, str_from(handle));
		if (!used)
			m->out->wasted += x->cost;
	}
	g_array_set_size(results, 0);
}

static void
release_inputs(struct sim *m, struct request *r, bool used)
{
	if (r->stage > 0 && r->inputs->len > 0)
		release(m, kind_of(m, r)->stages[r->stage - 1].service,
		    r->inputs, used);
}

static void
reject(struct sim *m, struct request *r, usec_t wait)
{
	usec_t after = retry_after(wait,
	    hash_u64(
		(struct str){ (const char *)&r->number, sizeof(r->number) },
		0));
	usec_t left = r->deadline - m->now;

	release_inputs(m, r, false);
	COUNT(m, r, rejections);
	count(m, r, offsetof(struct sim_counts, reject_time),
	    m->now - r->arrived);
	if (kind_of(m, r)->impatient)
		after = STEP;
	if (r->returns < kind_of(m, r)->retries && left > 0) {
		r->returns++;
		add_due(m, r,
		    m->now +
			(after < left / RETURN_SHARE ? after
						     : left / RETURN_SHARE),
		    false);
		return;
	}
	r->ended = true;
	COUNT(m, r, rejected);
	if ((double)(m->now - r->arrived) >
	    HELD_SHARE * (double)(r->deadline - r->arrived))
		COUNT(m, r, held);
}

static uint32_t
usable(const struct sim *m, const struct pool *p)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->service->targets; i++)
		n += m->now >= p->targets[i].down_until;
	return n;
}

static void
describe_chain(const struct sim *m, const struct request *r, struct chain *c)
{
	const struct model_kind *k = kind_of(m, r);

	*c = (struct chain){ .n = k->n_stages,
		.min_first_event = k->first_event,
		.typical_first_event = k->first_event };
	for (uint32_t i = 0; i < k->n_stages; i++) {
		const struct model_service *s =
		    &m->s->services[k->stages[i].service];

		c->stages[i] = (struct chain_stage){ .needed = true,
			.done = i<r->stage, .after = i> 0 ? 1U << (i - 1) : 0,
			.min_time = s->pool.call_cost + s->pool.item_cost,
			.typical_time = s->pool.call_cost +
			    (usec_t)s->pool.batch * s->pool.item_cost,
			.wait = stage_waits_get(
			    &m->waits, s->name, k->rank, m->now),
			.result_ttl = s->pool.result_ttl };
	}
}

/* Whether a request may have stage work made once more. */
static bool
may_repeat(struct sim *m)
{
	return (m->policies & SIM_QUOTA) == 0 ||
	    retry_quota_spend(&m->quota, &m->quota_rule, m->now);
}

/* Starts the chain again after results were lost. */
static void
restart(struct sim *m, struct request *r)
{
	release_inputs(m, r, false);
	r->stage = 0;
	if (++r->tries >= MAX_STAGE_TRIES || !may_repeat(m)) {
		reject(m, r, r->deadline - m->now);
		return;
	}
	m->out->restarts++;
	submit_stage(m, r);
}

static void
end_job(struct sim *m, struct job *j)
{
	struct request *r = j->request;
	uint32_t service = kind_of(m, r)->stages[r->stage].service;

	j->ended = true;
	batch_remove_owner(&m->pools[service].batch, j);
}

static void
refuse_job(struct sim *m, struct job *j, usec_t wait)
{
	struct request *r = j->request;

	end_job(m, j);
	release(m, kind_of(m, r)->stages[r->stage].service, j->results, false);
	reject(m, r, wait);
}

static void
lose_inputs(struct sim *m, struct job *j)
{
	struct request *r = j->request;

	end_job(m, j);
	release(m, kind_of(m, r)->stages[r->stage].service, j->results, false);
	restart(m, r);
}

static void
report_wait(struct sim *m, uint32_t service, uint32_t rank, usec_t wait)
{
	struct report *x = g_new0(struct report, 1);

	*x = (struct report){ m->now + m->s->report_delay, service, rank, wait,
		m->now };
	g_queue_push_tail(&m->reports, x);
}

/* The soft deadline of a stage leaves the typical time of the later ones. */
static struct batch_item
make_item(const struct sim *m, const struct request *r, struct job *j,
    const struct chain *c)
{
	const struct model_kind *k = kind_of(m, r);

	return (struct batch_item){ .owner = j,
		.soft_deadline =
		    r->soft_deadline - chain_typical_after(c, r->stage),
		.deadline = j->deadline,
		.rank = k->rank,
		.bytes = k->stages[r->stage].bytes,
		.queued = m->now };
}

static void
submit_stage(struct sim *m, struct request *r)
{
	const struct model_kind *k = kind_of(m, r);
	const struct model_stage *g = &k->stages[r->stage];
	struct pool *p = &m->pools[g->service];
	struct chain c;
	struct batch_item it;
	struct job *j;
	usec_t expiry;
	usec_t wait;

	describe_chain(m, r, &c);
	if ((m->policies & SIM_CHAIN) != 0 &&
	    chain_check(&c, r->deadline - m->now, &wait) != CHAIN_FITS) {
		reject(m, r, wait);
		return;
	}
	if (r->stage == k->n_stages) {
		add_due(m, r, m->now + k->first_event, true);
		return;
	}
	j = g_new0(struct job, 1);
	j->request = r;
	j->missing = g->pieces;
	j->results = g_array_new(FALSE, FALSE, sizeof(struct result));
	j->deadline = r->deadline - chain_min_after(&c, r->stage) -
	    batch_min_duration(&p->batch);
	expiry = m->now + p->service->pool.result_ttl - INPUT_MARGIN;
	j->input_expiry = r->stage > 0 && expiry < j->deadline;
	if (j->input_expiry)
		j->deadline = expiry;
	g_ptr_array_add(m->jobs, j);
	it = make_item(m, r, j, &c);
	wait = batch_estimate(&p->batch, usable(m, p), &it, m->now) - m->now;
	report_wait(m, g->service, k->rank, wait);
	if (usable(m, p) == 0 ||
	    (r->stage == 0 && m->now + wait >= j->deadline)) {
		j->ended = true;
		reject(m, r, wait);
		return;
	}
	for (; it.piece < g->pieces; it.piece++)
		batch_add(&p->batch, &it);
}

/* Whether the inputs of a request are still at their producers. */
static bool
inputs_exist(const struct sim *m, const struct request *r)
{
	const struct pool *p;

	if (r->stage == 0)
		return true;
	p = &m->pools[kind_of(m, r)->stages[r->stage - 1].service];
	for (guint i = 0; i < r->inputs->len; i++) {
		const struct result *x =
		    &g_array_index(r->inputs, struct result, i);

		if (x->expires <= m->now ||
		    p->targets[x->target].incarnation != x->incarnation)
			return false;
	}
	return true;
}

static double
slowness(const struct sim *m, uint32_t service, uint32_t target)
{
	const struct model_service *s = &m->s->services[service];
	double x = 1;

	for (uint32_t i = 0; i < m->s->n_faults; i++) {
		const struct model_fault *f = &m->s->faults[i];

		if (f->type == MODEL_FAULT_SLOW && f->index == service &&
		    m->now >= f->at && m->now < f->end &&
		    target < f->share * s->targets)
			x *= f->x;
	}
	return x;
}

static uint64_t
reserved_bytes(const GArray *items)
{
	uint64_t n = 0;

	for (guint i = 0; i < items->len; i++)
		n += g_array_index(items, struct batch_item, i).bytes;
	return n;
}

/* A call without any piece that has its inputs is answered at once. */
static usec_t
call_time(
    const struct sim *m, uint32_t service, uint32_t target, const GArray *items)
{
	const struct pool_config *config = &m->s->services[service].pool;
	uint32_t n = 0;

	for (guint i = 0; i < items->len; i++) {
		const struct job *j =
		    g_array_index(items, struct batch_item, i).owner;

		n += !j->ended && inputs_exist(m, j->request);
	}
	if (n == 0)
		return STEP;
	return (usec_t)((double)(config->call_cost +
			    (usec_t)n * config->item_cost) *
	    slowness(m, service, target));
}

static void
start_call(struct sim *m, uint32_t service, uint32_t target, uint32_t n_free)
{
	struct pool *p = &m->pools[service];
	const struct pool_config *config = &p->service->pool;
	struct target *t = &p->targets[target];
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));
	char addr[32];
	uint64_t used;

	format_address(addr, sizeof(addr), service, target);
	used = result_space_used(&m->space, addr, m->now);
	batch_take(&p->batch, m->now, n_free,
	    &(struct batch_target){ .free_bytes = used < config->result_bytes
		    ? config->result_bytes - used
		    : 0 },
	    items);
	if (items->len == 0) {
		g_array_unref(items);
		return;
	}
	result_space_reserve(&m->space, addr, reserved_bytes(items));
	t->items = items;
	t->started = m->now;
	t->give_up_at = m->now + batch_call_timeout(&p->batch, items->len);
	t->busy_until = m->now + call_time(m, service, target, items);
}

static void
start_calls(struct sim *m, uint32_t service)
{
	struct pool *p = &m->pools[service];
	uint32_t n_free = 0;

	for (uint32_t i = 0; i < p->service->targets; i++)
		n_free += p->targets[i].items == NULL &&
		    m->now >= p->targets[i].down_until;
	for (uint32_t i = 0; i < p->service->targets && n_free > 0; i++) {
		struct target *t = &p->targets[i];

		if (t->items != NULL || m->now < t->down_until)
			continue;
		if (p->batch.items->len == 0)
			return;
		start_call(m, service, i, n_free--);
	}
}

static void
finish_stage(struct sim *m, struct job *j)
{
	struct request *r = j->request;

	j->ended = true;
	release_inputs(m, r, true);
	g_array_append_vals(r->inputs, j->results->data, j->results->len);
	g_array_set_size(j->results, 0);
	r->stage++;
	submit_stage(m, r);
}

/* Takes one piece of a call that ended; returns whether it was produced. */
static bool
take_piece(struct sim *m, uint32_t service, uint32_t target,
    const struct batch_item *it, double cost)
{
	struct pool *p = &m->pools[service];
	struct job *j = it->owner;
	struct result x = { .target = target,
		.incarnation = p->targets[target].incarnation,
		.expires = m->now + p->service->pool.result_ttl,
		.serial = ++m->serial,
		.cost = cost };
	char handle[64];

	if (j->ended) {
		m->out->work += cost;
		m->out->wasted += cost;
		return true;
	}
	if (!inputs_exist(m, j->request)) {
		lose_inputs(m, j);
		return false;
	}
	m->out->work += cost;
	format_handle(handle, sizeof(handle), service, &x);
	result_space_hold(&m->space, handle, it->bytes, x.expires);
	g_array_append_val(j->results, x);
	if (--j->missing == 0)
		finish_stage(m, j);
	return true;
}

/* Queues the pieces of a call again; its results stay until they expire. */
static void
requeue_call(struct sim *m, uint32_t service, const GArray *items)
{
	struct pool *p = &m->pools[service];

	for (guint i = 0; i < items->len; i++) {
		struct batch_item it =
		    g_array_index(items, struct batch_item, i);

		it.queued = m->now;
		if (!((struct job *)it.owner)->ended)
			batch_add(&p->batch, &it);
	}
}

/*
 * Gives up a call that the target still works on: the target takes no other
 * call until it is done, and keeps the results until they expire.
 */
static void
give_up_call(struct sim *m, uint32_t service, uint32_t target)
{
	struct pool *p = &m->pools[service];
	struct target *t = &p->targets[target];
	GArray *items = t->items;
	double took = (double)(t->busy_until - t->started) / USEC_PER_SEC;
	char addr[32];

	t->items = NULL;
	t->down_until = t->busy_until;
	m->out->work += took;
	m->out->wasted += took;
	format_address(addr, sizeof(addr), service, target);
	result_space_release(&m->space, addr, reserved_bytes(items));
	result_space_hold_lost(&m->space, addr, reserved_bytes(items),
	    t->busy_until + p->service->pool.result_ttl);
	requeue_call(m, service, items);
	g_array_unref(items);
}

/* Ends the call of a target; lost: the target crashed. */
static void
end_call(struct sim *m, uint32_t service, uint32_t target, bool lost)
{
	struct pool *p = &m->pools[service];
	struct target *t = &p->targets[target];
	GArray *items = t->items;
	char addr[32];
	usec_t took = m->now - t->started;
	uint32_t made = 0;

	t->items = NULL;
	format_address(addr, sizeof(addr), service, target);
	result_space_release(&m->space, addr, reserved_bytes(items));
	if (lost) {
		requeue_call(m, service, items);
		g_array_unref(items);
		return;
	}
	for (guint i = 0; i < items->len; i++)
		made += take_piece(m, service, target,
		    &g_array_index(items, struct batch_item, i),
		    (double)took / USEC_PER_SEC / items->len);
	batch_record(&p->batch, made, took);
	g_array_unref(items);
}

static void
finish_calls(struct sim *m, uint32_t service)
{
	struct pool *p = &m->pools[service];

	for (uint32_t i = 0; i < p->service->targets; i++) {
		const struct target *t = &p->targets[i];

		if (t->items != NULL && m->now >= t->busy_until)
			end_call(m, service, i, false);
		else if (t->items != NULL && m->now >= t->give_up_at)
			give_up_call(m, service, i);
	}
}

static void
crash_targets(struct sim *m)
{
	for (uint32_t i = 0; i < m->s->n_faults; i++) {
		const struct model_fault *f = &m->s->faults[i];
		struct pool *p = &m->pools[f->index];

		if (f->type != MODEL_FAULT_CRASH || m->now < f->at ||
		    m->now - STEP >= f->at)
			continue;
		for (uint32_t k = 0; k < f->share * p->service->targets; k++) {
			p->targets[k].incarnation++;
			p->targets[k].down_until = f->end;
			if (p->targets[k].items != NULL)
				end_call(m, f->index, k, true);
		}
	}
}

static double
arrival_factor(const struct sim *m, uint32_t kind)
{
	double x = 1;

	for (uint32_t i = 0; i < m->s->n_faults; i++) {
		const struct model_fault *f = &m->s->faults[i];

		if (f->type == MODEL_FAULT_BURST && f->index == kind &&
		    m->now >= f->at && m->now < f->end)
			x *= f->x;
	}
	return x;
}

static void
arrive(struct sim *m, struct request *r)
{
	r->arrived = m->now;
	r->stage = 0;
	r->tries = 0;
	retry_quota_request(&m->quota, &m->quota_rule, m->now);
	submit_stage(m, r);
}

static void
arrivals(struct sim *m)
{
	for (uint32_t k = 0; k < m->s->n_kinds; k++) {
		const struct model_kind *kind = &m->s->kinds[k];

		m->owed[k] += kind->rate * arrival_factor(m, k) *
		    (2 * rng_unit(&m->rng)) * STEP / USEC_PER_SEC;
		for (; m->owed[k] >= 1; m->owed[k]--) {
			struct request *r = g_new0(struct request, 1);

			r->kind = k;
			r->number = m->requests->len;
			r->first_arrival = m->now;
			r->soft_deadline = m->now + kind->soft_deadline;
			r->deadline = m->now + kind->deadline;
			r->inputs =
			    g_array_new(FALSE, FALSE, sizeof(struct result));
			g_ptr_array_add(m->requests, r);
			COUNT(m, r, asked);
			arrive(m, r);
		}
	}
}

/* First events and callers that come back. */
static void
handle_due(struct sim *m)
{
	while (!g_sequence_is_empty(m->due)) {
		GSequenceIter *it = g_sequence_get_begin_iter(m->due);
		struct due d = *(struct due *)g_sequence_get(it);
		struct request *r = d.request;

		if (d.at > m->now)
			return;
		g_sequence_remove(it);
		if (!d.first_event) {
			arrive(m, r);
			continue;
		}
		release_inputs(m, r, true);
		r->ended = true;
		if (m->now <= r->soft_deadline)
			COUNT(m, r, on_time);
		else
			COUNT(m, r, late);
	}
}

static void
end_overdue(struct sim *m, struct pool *p)
{
	for (guint i = 0; i < p->batch.items->len;) {
		struct batch_item *it =
		    &g_array_index(p->batch.items, struct batch_item, i);
		struct job *j = it->owner;

		if (m->now < it->deadline) {
			i++;
			continue;
		}
		if (j->input_expiry)
			lose_inputs(m, j);
		else
			refuse_job(m, j, 0);
		i = 0;
	}
}

static void
tick(struct sim *m)
{
	uint32_t waiting = 0;

	for (uint32_t i = 0; i < m->s->n_services; i++) {
		struct pool *p = &m->pools[i];
		g_autoptr(GPtrArray) owners = g_ptr_array_new();

		end_overdue(m, p);
		if ((m->policies & SIM_HOPELESS) != 0)
			batch_hopeless(&p->batch, usable(m, p), m->now, owners);
		for (guint k = 0; k < owners->len; k++) {
			struct job *j = owners->pdata[k];

			refuse_job(m, j, j->deadline - m->now);
		}
		waiting += p->batch.items->len;
	}
	if (waiting > m->out->max_queue)
		m->out->max_queue = waiting;
}

static void
apply_reports(struct sim *m)
{
	struct report *x;

	while ((x = g_queue_peek_head(&m->reports)) != NULL &&
	    x->apply_at <= m->now) {
		stage_waits_report(&m->waits, m->s->services[x->service].name,
		    x->rank, x->wait, x->at);
		g_free(g_queue_pop_head(&m->reports));
	}
}

static void
free_job(gpointer p)
{
	struct job *j = p;

	g_array_unref(j->results);
	g_free(j);
}

static void
free_request(gpointer p)
{
	struct request *r = p;

	g_array_unref(r->inputs);
	g_free(r);
}

static void
open_sim(struct sim *m, const struct scenario *s, unsigned policies,
    struct sim_result *out)
{
	*m = (struct sim){ .s = s, .policies = policies, .out = out };
	rng_init(&m->rng, s->seed);
	result_space_init(&m->space);
	stage_waits_init(&m->waits);
	m->quota_rule = (struct retry_quota_rule){ REPEAT_RATIO, REPEAT_SLACK,
		REPEAT_WINDOW, 1 };
	m->due = g_sequence_new(g_free);
	m->jobs = g_ptr_array_new_with_free_func(free_job);
	m->requests = g_ptr_array_new_with_free_func(free_request);
	g_queue_init(&m->reports);
	for (uint32_t i = 0; i < s->n_services; i++) {
		m->pools[i].service = &s->services[i];
		batch_init(&m->pools[i].batch, &s->services[i].pool);
		m->pools[i].targets =
		    g_new0(struct target, s->services[i].targets);
	}
}

static void
close_sim(struct sim *m)
{
	for (uint32_t i = 0; i < m->s->n_services; i++) {
		for (uint32_t k = 0; k < m->s->services[i].targets; k++) {
			if (m->pools[i].targets[k].items != NULL)
				g_array_unref(m->pools[i].targets[k].items);
		}
		g_free(m->pools[i].targets);
		batch_free(&m->pools[i].batch);
	}
	g_queue_clear_full(&m->reports, g_free);
	g_sequence_free(m->due);
	g_ptr_array_unref(m->jobs);
	g_ptr_array_unref(m->requests);
	stage_waits_free(&m->waits);
	result_space_free(&m->space);
}

void
sim_run(const struct scenario *s, unsigned policies, struct sim_result *out)
{
	struct sim m;

	*out = (struct sim_result){ 0 };
	out->n_windows = (uint32_t)(s->length / s->window) + 1;
	out->windows = g_malloc0(out->n_windows * sizeof(out->windows[0]));
	open_sim(&m, s, policies, out);
	for (; m.now < s->length; m.now += STEP) {
		apply_reports(&m);
		crash_targets(&m);
		for (uint32_t i = 0; i < s->n_services; i++)
			finish_calls(&m, i);
		handle_due(&m);
		arrivals(&m);
		if (m.now % TICK == 0)
			tick(&m);
		for (uint32_t i = 0; i < s->n_services; i++)
			start_calls(&m, i);
	}
	close_sim(&m);
}

void
sim_result_free(struct sim_result *r)
{
	g_free(r->windows);
	r->windows = NULL;
}
