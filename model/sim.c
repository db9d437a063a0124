#include "model/sim_state.h"
#include "base/hash.h"
#include "kernel/overload/chain.h"
#include "kernel/overload/retry_after.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define TICK            (50 * USEC_PER_MSEC)
#define INPUT_MARGIN    (400 * USEC_PER_MSEC)
/* Longest wait that a caller accepts before it comes back, of its time left. */
#define RETURN_SHARE    3
#define HELD_SHARE      0.75
#define MAX_STAGE_TRIES 3
#define REPEAT_RATIO    0.3
#define REPEAT_SLACK    10
#define REPEAT_WINDOW   (10 * USEC_PER_SEC)

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
add_due(struct sim *m, struct request *r, usec_t at, enum due_kind kind)
{
	struct due *d = g_new0(struct due, 1);

	d->at = at;
	d->request = r;
	d->kind = kind;
	d->attempt = r->attempts;
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

void
sim_format_handle(char *out, size_t n, uint32_t service, const struct result *x)
{
	snprintf(out, n, "%u.%u/%" PRIu64, service, x->target, x->serial);
}

const struct model_kind *
sim_kind(const struct sim *m, const struct request *r)
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

		sim_format_handle(handle, sizeof(handle), service, x);
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
		release(m, sim_kind(m, r)->stages[r->stage - 1].service,
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
	caller_age_rejected(&m->ages, sim_kind(m, r)->name, m->now);
	COUNT(m, r, rejections);
	count(m, r, offsetof(struct sim_counts, reject_time),
	    m->now - r->arrived);
	after = retry_after_within(after, left);
	if (sim_kind(m, r)->impatient)
		after = SIM_STEP;
	if (r->returns < sim_kind(m, r)->retries && left > 0) {
		r->returns++;
		add_due(m, r,
		    m->now +
			(after < left / RETURN_SHARE ? after
						     : left / RETURN_SHARE),
		    DUE_RETURN);
		return;
	}
	r->ended = true;
	COUNT(m, r, rejected);
	if ((double)(m->now - r->arrived) >
	    HELD_SHARE * (double)(r->deadline - r->arrived))
		COUNT(m, r, held);
}

static void
describe_chain(const struct sim *m, const struct request *r, struct chain *c)
{
	const struct model_kind *k = sim_kind(m, r);

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
			    &m->waits, s->name, "", k->rank, m->now),
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
	uint32_t service = sim_kind(m, r)->stages[r->stage].service;

	j->ended = true;
	batch_remove_owner(&m->pools[service].batch, j);
}

static void
refuse_job(struct sim *m, struct job *j, usec_t wait)
{
	struct request *r = j->request;

	end_job(m, j);
	release(m, sim_kind(m, r)->stages[r->stage].service, j->results, false);
	reject(m, r, wait);
}

void
sim_lose_inputs(struct sim *m, struct job *j)
{
	struct request *r = j->request;

	end_job(m, j);
	release(m, sim_kind(m, r)->stages[r->stage].service, j->results, false);
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
	const struct model_kind *k = sim_kind(m, r);

	return (struct batch_item){ .owner = j,
		.soft_deadline =
		    r->host_soft_deadline - chain_typical_after(c, r->stage),
		.deadline = j->deadline,
		.rank = k->rank,
		.bytes = k->stages[r->stage].bytes,
		.queued = m->now };
}

static usec_t
start_deadline(const struct sim *m, const struct request *r)
{
	usec_t limit = sim_kind(m, r)->first_event_limit;

	return chain_deadline(r->arrived,
	    (m->policies & SIM_LIMIT) != 0 ? limit : 0, r->deadline);
}

static void
submit_stage(struct sim *m, struct request *r)
{
	const struct model_kind *k = sim_kind(m, r);
	const struct model_stage *g = &k->stages[r->stage];
	struct pool *p = &m->pools[g->service];
	struct chain c;
	struct batch_item it;
	struct job *j;
	usec_t expiry;
	usec_t wait;

	describe_chain(m, r, &c);
	if ((m->policies & SIM_CHAIN) != 0 &&
	    chain_check(&c, start_deadline(m, r) - m->now, &wait) !=
		CHAIN_FITS) {
		reject(m, r, wait);
		return;
	}
	if (r->stage == k->n_stages) {
		add_due(m, r, m->now + k->first_event, DUE_FIRST_EVENT);
		return;
	}
	j = g_new0(struct job, 1);
	j->request = r;
	r->job = j;
	j->missing = g->pieces;
	j->results = g_array_new(FALSE, FALSE, sizeof(struct result));
	j->deadline = start_deadline(m, r) - chain_min_after(&c, r->stage) -
	    batch_min_duration(&p->batch);
	expiry = m->now + p->service->pool.result_ttl - INPUT_MARGIN;
	if (r->stage > 0 && expiry < j->deadline)
		j->deadline = expiry;
	g_ptr_array_add(m->jobs, j);
	it = make_item(m, r, j, &c);
	wait =
	    batch_estimate(&p->batch, sim_usable(m, p), &it, m->now) - m->now;
	report_wait(m, g->service, k->rank,
	    batch_least_wait(&p->batch, sim_usable(m, p), &it, m->now));
	if (sim_usable(m, p) == 0 ||
	    (r->stage == 0 &&
		!batch_admits(&p->batch, sim_usable(m, p), &it, m->now))) {
		j->ended = true;
		reject(m, r, wait);
		return;
	}
	for (; it.piece < g->pieces; it.piece++)
		batch_add(&p->batch, &it);
}

void
sim_finish_stage(struct sim *m, struct job *j)
{
	struct request *r = j->request;

	j->ended = true;
	release_inputs(m, r, true);
	g_array_append_vals(r->inputs, j->results->data, j->results->len);
	g_array_set_size(j->results, 0);
	r->stage++;
	submit_stage(m, r);
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

static usec_t
host_soft_deadline(struct sim *m, const struct request *r)
{
	const struct model_kind *k = sim_kind(m, r);
	usec_t age = 0;

	if ((m->policies & SIM_TRUE_AGE) != 0)
		return r->soft_deadline;
	if ((m->policies & SIM_AGE) != 0)
		age = caller_age_estimate(
		    &m->ages, k->name, r->deadline - m->now, m->now);
	return m->now + k->soft_deadline - age;
}

static void
arrive(struct sim *m, struct request *r)
{
	r->arrived = m->now;
	r->host_soft_deadline = host_soft_deadline(m, r);
	r->stage = 0;
	r->tries = 0;
	r->attempts++;
	if (sim_kind(m, r)->first_event_limit > 0)
		add_due(m, r, m->now + sim_kind(m, r)->first_event_limit,
		    DUE_LEAVE);
	retry_quota_request(&m->quota, &m->quota_rule, m->now);
	submit_stage(m, r);
}

static void
arrivals(struct sim *m)
{
	for (uint32_t k = 0; k < m->s->n_kinds; k++) {
		const struct model_kind *kind = &m->s->kinds[k];

		m->owed[k] += kind->rate * arrival_factor(m, k) *
		    (2 * rng_unit(&m->rng)) * SIM_STEP / USEC_PER_SEC;
		for (; m->owed[k] >= 1; m->owed[k]--) {
			struct request *r = g_new0(struct request, 1);

			r->kind = k;
			r->number = m->requests->len;
			r->first_arrival = m->now;
			r->soft_deadline = m->now + kind->soft_deadline;
			r->deadline = m->now +
			    (usec_t)((double)kind->deadline *
				(1 -
				    kind->deadline_spread * rng_unit(&m->rng)));
			r->inputs =
			    g_array_new(FALSE, FALSE, sizeof(struct result));
			g_ptr_array_add(m->requests, r);
			COUNT(m, r, asked);
			arrive(m, r);
		}
	}
}

/* A caller that has no event yet leaves; it may come back at once. */
static void
leave(struct sim *m, struct request *r)
{
	struct job *j = r->job;

	if (j == NULL || j->ended)
		return;
	end_job(m, j);
	release(m, sim_kind(m, r)->stages[r->stage].service, j->results, false);
	release_inputs(m, r, false);
	if (r->returns < sim_kind(m, r)->retries && m->now < r->deadline) {
		r->returns++;
		arrive(m, r);
		return;
	}
	r->ended = true;
	COUNT(m, r, rejected);
	COUNT(m, r, held);
}

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
		if (d.kind == DUE_RETURN) {
			arrive(m, r);
			continue;
		}
		if (d.kind == DUE_LEAVE) {
			if (d.attempt == r->attempts)
				leave(m, r);
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
			batch_hopeless(
			    &p->batch, sim_usable(m, p), m->now, owners);
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
		    "", x->rank, x->wait, x->at);
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
	caller_age_init(&m->ages);
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
	caller_age_free(&m->ages);
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
	for (; m.now < s->length; m.now += SIM_STEP) {
		apply_reports(&m);
		sim_crash_targets(&m);
		for (uint32_t i = 0; i < s->n_services; i++)
			sim_finish_calls(&m, i);
		handle_due(&m);
		arrivals(&m);
		if (m.now % TICK == 0)
			tick(&m);
		for (uint32_t i = 0; i < s->n_services; i++)
			sim_start_calls(&m, i);
	}
	close_sim(&m);
}

void
sim_result_free(struct sim_result *r)
{
	g_free(r->windows);
	r->windows = NULL;
}
