/* The calls of the model's coordinators to their targets. */
#include "model/sim_state.h"

#include <inttypes.h>
#include <stdio.h>

static void
format_address(char *out, size_t n, uint32_t service, uint32_t target)
{
	snprintf(out, n, "%u.%u", service, target);
}

uint32_t
sim_usable(const struct sim *m, const struct pool *p)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->service->targets; i++)
		n += m->now >= p->targets[i].down_until;
	return n;
}

/* Whether the inputs of a request are still at their producers. */
static bool
inputs_exist(const struct sim *m, const struct request *r)
{
	const struct pool *p;

	if (r->stage == 0)
		return true;
	p = &m->pools[sim_kind(m, r)->stages[r->stage - 1].service];
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
		return SIM_STEP;
	return (usec_t)((double)(config->call_cost +
			    (usec_t)n * config->item_cost) *
	    slowness(m, service, target));
}

static struct target_speeds
speeds_of(const struct sim *m, const struct pool *p)
{
	g_autofree double *slowness = g_new0(double, p->service->targets);
	uint32_t unmeasured = 0;
	size_t n = 0;

	for (uint32_t i = 0; i < p->service->targets; i++) {
		if (m->now < p->targets[i].down_until)
			continue;
		if (p->targets[i].speed.measured_at != 0)
			slowness[n++] = p->targets[i].speed.slowness;
		else
			unmeasured++;
	}
	return target_speeds_of(slowness, n, unmeasured);
}

static void
start_call(struct sim *m, uint32_t service, uint32_t target,
    const struct target_speeds *speeds, uint32_t n_free)
{
	struct pool *p = &m->pools[service];
	const struct pool_config *config = &p->service->pool;
	struct target *t = &p->targets[target];
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));
	struct batch_target take = { 0 };
	char addr[32];
	uint64_t used;

	format_address(addr, sizeof(addr), service, target);
	used = result_space_used(&m->space, addr, m->now);
	if (used < config->result_bytes)
		take.free_bytes = config->result_bytes - used;
	if (m->policies & SIM_TARGET_SPEED)
		batch_plan_speed(
		    &p->batch, &t->speed, speeds, n_free, m->now, &take);
	batch_take(&p->batch, m->now, n_free, &take, items);
	if (items->len == 0) {
		g_array_unref(items);
		return;
	}
	result_space_reserve(&m->space, addr, reserved_bytes(items));
	t->items = items;
	t->started = m->now;
	t->known_slow = take.use != TARGET_USE;
	t->give_up_at = m->now + batch_call_timeout(&p->batch, items->len);
	if (t->known_slow)
		t->give_up_at = m->now +
		    (usec_t)(target_speed_relative(&t->speed, speeds) *
			(double)batch_call_timeout(&p->batch, items->len));
	t->busy_until = m->now + call_time(m, service, target, items);
}

static bool
is_slow(const struct sim *m, const struct target *t,
    const struct target_speeds *speeds)
{
	return (m->policies & SIM_TARGET_SPEED) &&
	    target_speed_is_slow(&t->speed, speeds);
}

void
sim_start_calls(struct sim *m, uint32_t service)
{
	struct pool *p = &m->pools[service];
	struct target_speeds speeds = speeds_of(m, p);
	uint32_t n_free = 0; /* that are not slow */

	for (uint32_t i = 0; i < p->service->targets; i++) {
		const struct target *t = &p->targets[i];

		n_free += t->items == NULL && m->now >= t->down_until &&
		    !is_slow(m, t, &speeds);
	}
	for (uint32_t i = 0; i < p->service->targets; i++) {
		struct target *t = &p->targets[i];

		if (t->items != NULL || m->now < t->down_until)
			continue;
		if (p->batch.items->len == 0)
			return;
		start_call(m, service, i, &speeds, n_free > 0 ? n_free : 1);
		if (n_free > 0 && !is_slow(m, t, &speeds))
			n_free--;
	}
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
		sim_lose_inputs(m, j);
		return false;
	}
	m->out->work += cost;
	sim_format_handle(handle, sizeof(handle), service, &x);
	result_space_hold(&m->space, handle, it->bytes, x.expires);
	g_array_append_val(j->results, x);
	if (--j->missing == 0)
		sim_finish_stage(m, j);
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
	target_speed_record(&t->speed,
	    p->service->pool.call_cost +
		p->service->pool.item_cost * items->len,
	    m->now - t->started, m->now);
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
	if (!t->known_slow)
		batch_record(&p->batch, made, took);
	if (made > 0)
		target_speed_record(&t->speed,
		    p->service->pool.call_cost +
			p->service->pool.item_cost * made,
		    took, m->now);
	g_array_unref(items);
}

void
sim_finish_calls(struct sim *m, uint32_t service)
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

void
sim_crash_targets(struct sim *m)
{
	for (uint32_t i = 0; i < m->s->n_faults; i++) {
		const struct model_fault *f = &m->s->faults[i];
		struct pool *p = &m->pools[f->index];

		if (f->type != MODEL_FAULT_CRASH || m->now < f->at ||
		    m->now - SIM_STEP >= f->at)
			continue;
		for (uint32_t k = 0; k < f->share * p->service->targets; k++) {
			p->targets[k].incarnation++;
			p->targets[k].down_until = f->end;
			if (p->targets[k].items != NULL)
				end_call(m, f->index, k, true);
		}
	}
}
