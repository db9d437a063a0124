#include "entry/coordinator_state.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/overload/retry_after.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * How long an answered job is kept, to repeat the answer when it is received
 * again.
 */
#define REPLY_RETENTION       (4 * USEC_PER_SEC)
/*
 * Fraction of the result space that is used: result sizes are estimates, and
 * frees take time.
 */
#define USABLE_SPACE_FRACTION 0.95
/*
 * After a change of the hosts, two coordinators may send calls to the same
 * targets.  A call may then wait at its target, so its inputs are kept until it
 * ends.
 */
#define HANDOVER_TIME         (3 * USEC_PER_SEC)
/*
 * Inputs are not used within this time before they expire at their producers.
 */
#define INPUT_MARGIN          (400 * USEC_PER_MSEC)
/*
 * How long a piece past its soft deadline waits for result space before it is
 * refused.
 */
#define LATE_WAIT             (10 * USEC_PER_SEC)
/* Interval of the log lines on the load of a service's queue. */
#define LOAD_REPORT_TIME      (1 * USEC_PER_SEC)
/* A target with less than this part of its result space is called full. */
#define FULL_PART             10
/* Time within which a host that starts learns the targets. */
#define START_TIME            (1 * USEC_PER_SEC)
/* Retry-After while a service has no usable target. */
#define NO_TARGET_RETRY       (1 * USEC_PER_SEC)

static void
free_coordinator_job(gpointer p)
{
	struct coordinator_job *j = p;

	free(j->key);
	free(j->from);
	free(j->pieces);
	buf_free(&j->id);
	buf_free(&j->piece_key);
	buf_free(&j->inputs);
	free(j);
}

static void
free_pool(gpointer p)
{
	struct pool *pool = p;

	event_free(pool->next_call);
	batch_free(&pool->batch);
	free(pool->service);
	free(pool);
}

void
coordinator_set_routes(struct coordinator *c, struct routes *routes)
{
	GHashTableIter it;
	gpointer v;

	unknown_services_changed(&c->unknown, c->routes, routes);
	routes_unref(c->routes);
	c->routes = routes_ref(routes);
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;
		int at = routes_find_service(routes, str_from(p->service));

		if (at >= 0 &&
		    routes_service_at(routes, (uint32_t)at)->has_pool)
			p->batch.config =
			    routes_service_at(routes, (uint32_t)at)->pool;
	}
}

static void
on_next_call(evutil_socket_t fd, short what, void *arg)
{
	struct pool *p = arg;

	(void)fd;
	(void)what;
	coordinator_start_calls(p->coordinator, p, clock_now());
}

static struct pool *
pool_of(struct coordinator *c, const char *service)
{
	struct pool *p = g_hash_table_lookup(c->pools, service);
	const struct service *s;
	int at;

	if (p != NULL || c->routes == NULL)
		return p;
	at = routes_find_service(c->routes, str_from(service));
	if (at < 0)
		return NULL;
	s = routes_service_at(c->routes, (uint32_t)at);
	if (!s->has_pool)
		return NULL;
	p = xcalloc(1, sizeof(*p));
	p->coordinator = c;
	p->service = str_dup(str_from(service));
	p->next_call = evtimer_new(c->o.base, on_next_call, p);
	batch_init(&p->batch, &s->pool);
	g_strlcpy(p->coordinator_addr, c->o.find_coordinator(c->o.arg, service),
	    sizeof(p->coordinator_addr));
	p->handover_until = clock_now() + HANDOVER_TIME;
	g_hash_table_insert(c->pools, p->service, p);
	return p;
}

void
coordinator_reply(struct coordinator *c, const struct coordinator_job *j)
{
	peer_piece_made *made = xcalloc(j->n, sizeof(*made));
	peer_body body = { .kind = PEER_PIECE_REPLY };
	peer_piece_reply *r = &body.peer_body_u.piece_reply;

	r->ask = j->number;
	r->refused = j->refused;
	r->moved = j->moved;
	r->wait_ms = j->wait_ms;
	r->made.made_val = made;
	for (uint32_t i = 0; j->replied && !j->refused && !j->moved && i < j->n;
	     i++) {
		made[i].piece = j->pieces[i].number;
		made[i].outcome = (int)j->pieces[i].result.outcome;
		made[i].handle = j->pieces[i].result.handle;
		r->made.made_len++;
	}
	if (j->from != NULL)
		rpc_send(c->o.rpc, j->from, &body);
	else
		c->o.reply(c->o.arg, r);
	free(made);
}

static void
on_local_replies(evutil_socket_t fd, short what, void *arg)
{
	struct coordinator *c = arg;
	g_autoptr(GPtrArray) v = c->local_replies;

	(void)fd;
	(void)what;
	c->local_replies = g_ptr_array_new();
	for (guint i = 0; i < v->len; i++)
		coordinator_reply(c, v->pdata[i]);
}

struct coordinator *
coordinator_new(const struct coordinator_opts *o)
{
	struct coordinator *c = xcalloc(1, sizeof(*c));

	c->o = *o;
	c->started = clock_now();
	unknown_services_init(&c->unknown);
	c->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	c->jobs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, free_coordinator_job);
	c->calls = g_hash_table_new(NULL, NULL);
	result_frees_init(&c->frees);
	c->free_calls = g_hash_table_new(NULL, NULL);
	c->last_responses =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	recent_set_init(&c->handles, HANDLE_MEMORY);
	result_space_init(&c->result_space);
	c->local_replies = g_ptr_array_new();
	c->local_reply_event =
	    event_new(o->base, -1, EV_PERSIST, on_local_replies, c);
	return c;
}

/* Releases the results of a job that is not answered with them. */
static void
release_results(struct coordinator *c, struct coordinator_job *j)
{
	if (j->released)
		return;
	j->released = true;
	for (uint32_t i = 0; i < j->n; i++) {
		const struct job_piece *x = &j->pieces[i];

		if (x->has_result && x->result.outcome == PIECE_DONE)
			coordinator_release(c, str_from(x->result.handle));
	}
}

void
coordinator_finish_job(
    struct coordinator *c, struct coordinator_job *j, usec_t now)
{
	if (j->replied)
		return;
	j->replied = true;
	j->replied_at = now;
	if (j->pool != NULL)
		batch_remove_owner(&j->pool->batch, j);
	if (j->refused || j->moved || j->cancelled)
		release_results(c, j);
	if (j->cancelled)
		return;
	if (j->from != NULL) {
		coordinator_reply(c, j);
		return;
	}
	g_ptr_array_add(c->local_replies, j);
	event_active(c->local_reply_event, EV_TIMEOUT, 0);
}

static struct batch_item
new_item(struct coordinator_job *j, const peer_piece_ask *msg, usec_t now)
{
	return (struct batch_item){
		.owner = j,
		.soft_deadline = now + (usec_t)msg->aim_left_ms * USEC_PER_MSEC,
		.deadline = j->deadline,
		.rank = msg->rank,
		.bytes = j->bytes,
		.domain = j->domain,
		.queued = now,
	};
}

static bool
is_free(const struct target_load *t, usec_t now)
{
	return t->in_flight == 0 && now >= t->aside_until &&
	    loads_allows_alone(t, now);
}

/*
 * Targets that take calls one after the other; those with a limit or at rest if
 * there is no other.
 */
static uint32_t
count_usable(const GPtrArray *all, usec_t now)
{
	uint32_t n = 0;
	uint32_t n_limited = 0;

	for (guint i = 0; all != NULL && i < all->len; i++) {
		const struct target_load *t = all->pdata[i];

		if (now < t->aside_until)
			continue;
		if (loads_is_limited(t, now) || now < t->rest_until)
			n_limited++;
		else
			n++;
	}
	return n > 0 ? n : n_limited;
}

void
coordinator_refuse_job(
    struct coordinator *c, struct coordinator_job *j, usec_t wait)
{
	j->refused = true;
	j->wait_ms = (uint32_t)(retry_after(wait, hash_u64(str_of(&j->id), 0)) /
	    USEC_PER_MSEC);
	c->counts.refused++;
}

const GPtrArray *
coordinator_targets(const struct coordinator *c, const struct pool *p)
{
	return loads_usable_in(c->o.loads, p->service, c->o.loads->domain);
}

/*
 * Returns whether the pieces will be done in time; otherwise marks the job as
 * refused.  A job with inputs is not refused for lack of capacity, because the
 * work of its earlier stages would be lost.
 */
static bool
admit_job(struct coordinator *c, struct coordinator_job *j,
    const struct batch_item *it, usec_t now)
{
	uint32_t usable = j->pool == NULL
	    ? 0
	    : count_usable(coordinator_targets(c, j->pool), now);
	usec_t wait = 0;

	if (usable > 0)
		wait = batch_estimate(&j->pool->batch, usable, it, now) - now;
	if (usable > 0)
		j->wait_ms = (uint32_t)(batch_least_wait(
					    &j->pool->batch, usable, it, now) /
		    USEC_PER_MSEC);
	if (usable > 0 &&
	    (j->inputs.n > 0 || batch_admits(&j->pool->batch, usable, it, now)))
		return true;
	coordinator_refuse_job(c, j, usable > 0 ? wait : NO_TARGET_RETRY);
	log_text(LOG_LVL_INFO, "stage-refused",
	    "request %.*s: %u pieces wait, %u usable targets, %" PRId64
	    " ms until they are done",
	    STR_FMT(str_of(&j->id)),
	    j->pool != NULL ? j->pool->batch.items->len : 0, usable,
	    wait / USEC_PER_MSEC);
	return false;
}

/* Hash of a failure domain's name; 0 for any domain. */
static uint32_t
domain_hash(const char *domain)
{
	return *domain != '\0' ? (uint32_t)hash_u64(str_from(domain), 9) | 1
			       : 0;
}

/* Returns when the inputs of a piece may have expired at their producers. */
static usec_t
input_expiry(const peer_piece_ask *msg, const struct pool *p, usec_t now)
{
	if (*msg->inputs == '\0' || p == NULL)
		return INT64_MAX;
	return now + p->batch.config.result_ttl - INPUT_MARGIN;
}

/* Returns the latest time at which the call of a piece may start. */
static usec_t
latest_start(const peer_piece_ask *msg, const struct pool *p, usec_t now)
{
	usec_t latest = now + (usec_t)msg->left_ms * USEC_PER_MSEC -
	    (p != NULL ? batch_min_duration(&p->batch) : 0);
	usec_t late_limit =
	    now + (usec_t)msg->aim_left_ms * USEC_PER_MSEC + LATE_WAIT;

	if (late_limit < now + LATE_WAIT / 2)
		late_limit = now + LATE_WAIT / 2;
	if (late_limit < latest)
		latest = late_limit;
	if (input_expiry(msg, p, now) < latest)
		latest = input_expiry(msg, p, now);
	return latest;
}

static struct coordinator_job *
new_job(struct coordinator *c, char *key, const char *from,
    const peer_piece_ask *msg, struct pool *p, usec_t now)
{
	struct coordinator_job *j = xcalloc(1, sizeof(*j));

	j->key = key;
	j->from = from != NULL ? str_dup(str_from(from)) : NULL;
	j->number = msg->ask;
	j->pool = p;
	j->stage = msg->stage;
	j->bytes = msg->bytes;
	j->domain = domain_hash(msg->domain);
	j->deadline = latest_start(msg, p, now);
	j->n = msg->pieces.pieces_len;
	j->missing = j->n;
	buf_put(&j->id, str_from(msg->id));
	buf_put(&j->piece_key, str_from(msg->key));
	buf_put(&j->inputs, str_from(msg->inputs));
	j->pieces = xcalloc(j->n, sizeof(j->pieces[0]));
	for (uint32_t i = 0; i < j->n; i++)
		j->pieces[i].number = msg->pieces.pieces_val[i];
	g_hash_table_insert(c->jobs, j->key, j);
	return j;
}

static void
cancel_job(struct coordinator *c, struct coordinator_job *j, usec_t now)
{
	if (j == NULL)
		return;
	j->cancelled = true;
	if (j->replied)
		release_results(c, j); /* the cancellation crossed the reply */
	else
		coordinator_finish_job(c, j, now);
}

/* Whether this host has just started and knows no targets yet. */
static bool
is_starting(const struct coordinator *c, usec_t now)
{
	return now - c->started < START_TIME && loads_is_empty(c->o.loads);
}

/*
 * Whether a job for an unknown service is refused; else its sender tries again,
 * as the service may be in a configuration that is on its way.
 */
static bool
refuses_unknown(struct coordinator *c, const char *from,
    const peer_piece_ask *msg, usec_t now)
{
	peer_body body = { .kind = PEER_PIECE_REPLY };

	switch (unknown_services_asked(&c->unknown, msg->service, now)) {
	case UNKNOWN_NONE:
		return false;
	case UNKNOWN_LATER:
		body.peer_body_u.piece_reply.ask = msg->ask;
		rpc_send(c->o.rpc, from, &body);
		return false;
	case UNKNOWN_REFUSE:
		break;
	}
	return true;
}

void
coordinator_submit(
    struct coordinator *c, const char *from, const peer_piece_ask *msg)
{
	usec_t now = clock_now();
	char *key = g_strdup_printf(
	    "%s/%" PRIu64, from != NULL ? from : "", (uint64_t)msg->ask);
	struct coordinator_job *j = g_hash_table_lookup(c->jobs, key);
	struct batch_item it;
	struct pool *p;
	bool stays = false;

	if (j != NULL && j->moved && from == NULL && !msg->cancelled) {
		/* The job has come back: there is no other coordinator. */
		g_hash_table_remove(c->jobs, key);
		j = NULL;
		stays = true;
	}
	if (j != NULL || msg->cancelled) {
		free(key);
		if (msg->cancelled)
			cancel_job(c, j, now);
		else
			coordinator_reply(c, j);
		return;
	}
	if (msg->pieces.pieces_len == 0 ||
	    (from != NULL && is_starting(c, now))) {
		free(key); /* the sender will try again */
		return;
	}
	p = pool_of(c, msg->service);
	if (p == NULL && from != NULL && !refuses_unknown(c, from, msg, now)) {
		free(key);
		return;
	}
	j = new_job(c, key, from, msg, p, now);
	/*
	 * This host's own jobs reach it during its drain only if there is no
	 * other coordinator.
	 */
	j->stays = stays;
	j->moved = (c->stopping.signal_at != 0 && from != NULL) ||
	    (p != NULL && !stays && !coordinator_has_way(c, p));
	it = new_item(j, msg, now);
	if (j->moved || !admit_job(c, j, &it, now)) {
		coordinator_finish_job(c, j, now);
		return;
	}
	for (; it.piece < j->n; it.piece++) {
		coordinator_count_piece(p, now);
		batch_add(&p->batch, &it);
	}
	if (from != NULL)
		coordinator_reply(c, j);
	coordinator_start_calls(c, p, now);
}

uint64_t
coordinator_usable_space(const struct pool *p)
{
	return (uint64_t)(USABLE_SPACE_FRACTION *
	    (double)p->batch.config.result_bytes);
}

/*
 * Returns the result space of a target in bytes that is free, or is once the
 * fetched results there have given way.
 */
static uint64_t
free_result_bytes(
    struct coordinator *c, const struct pool *p, const char *addr, usec_t now)
{
	uint64_t usable = coordinator_usable_space(p);
	uint64_t used = result_space_used(&c->result_space, addr, now) -
	    result_space_fetched_bytes(&c->result_space, addr);

	return used < usable ? usable - used : 0;
}

static bool
any_free(const GPtrArray *all, usec_t now)
{
	for (guint i = 0; all != NULL && i < all->len; i++) {
		if (is_free(all->pdata[i], now))
			return true;
	}
	return false;
}

struct pool_targets
coordinator_pool_targets(
    const struct coordinator *c, const struct pool *p, usec_t now)
{
	struct pool_targets x = { .all = coordinator_targets(c, p) };
	guint len = x.all != NULL ? x.all->len : 0;
	g_autofree double *slowness = g_new0(double, len + 1);
	uint32_t unmeasured = 0;
	size_t n = 0;

	for (guint i = 0; i < len; i++) {
		const struct target_load *t = x.all->pdata[i];

		if (now < t->aside_until)
			continue;
		if (t->speed.measured_at != 0)
			slowness[n++] = t->speed.slowness;
		else
			unmeasured++;
	}
	x.speeds = target_speeds_of(slowness, n, unmeasured);
	for (guint i = 0; i < len; i++) {
		const struct target_load *t = x.all->pdata[i];

		x.fast_free += is_free(t, now) &&
		    !target_speed_is_slow(&t->speed, &x.speeds);
	}
	return x;
}

/*
 * Starts the next call to a free target, one of so many; with local_only,
 * without pieces that prefer another failure domain.  Returns false if there is
 * nothing to send.
 */
static bool
serve_target(struct coordinator *c, struct pool *p, struct target_load *t,
    const struct pool_targets *x, uint32_t calls, bool local_only, usec_t now)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));
	struct batch_target take = {
		.id = coordinator_target_hash(t->entry.id),
		.domain = domain_hash(t->entry.domain),
		.free_bytes = free_result_bytes(c, p, t->entry.addr, now),
		.local_only = local_only,
		.remote_wait = x->any_domain ? 0 : batch_remote_wait(&p->batch),
	};
	double slowness;

	calls = MIN(calls, x->fast_free);
	batch_plan_speed(&p->batch, &t->speed, &x->speeds, calls, now, &take);
	slowness = take.use == TARGET_USE
	    ? 1
	    : target_speed_relative(&t->speed, &x->speeds);
	if (coordinator_begins_call(c, p, slowness, now))
		batch_take(&p->batch, now, calls, &take, items);
	if (items->len == 0) {
		g_array_unref(items);
		return false;
	}
	coordinator_call(c, p, t, slowness, items, now);
	return true;
}

/* Refuses the jobs whose turn can't come before their deadline. */
static void
refuse_hopeless(struct coordinator *c, struct pool *p, usec_t now)
{
	g_autoptr(GPtrArray) owners = g_ptr_array_new();

	batch_hopeless(&p->batch, count_usable(coordinator_targets(c, p), now),
	    now, owners);
	for (guint i = 0; i < owners->len; i++) {
		struct coordinator_job *j = owners->pdata[i];

		log_text(LOG_LVL_INFO, "stage-hopeless",
		    "request %.*s: %u pieces wait, latest start in %" PRId64
		    " ms",
		    STR_FMT(str_of(&j->id)), p->batch.items->len,
		    (j->deadline - now) / USEC_PER_MSEC);
		coordinator_refuse_job(c, j, j->deadline - now);
		coordinator_finish_job(c, j, now);
	}
}

/*
 * Refuses the jobs whose deadline has passed, also if it was the expiry of
 * their inputs: a chain that began again would meet the same queue.
 */
static void
refuse_overdue(struct coordinator *c, struct pool *p, usec_t now)
{
	for (guint i = 0; i < p->batch.items->len;) {
		const struct batch_item *it =
		    &g_array_index(p->batch.items, struct batch_item, i);
		struct coordinator_job *j = it->owner;

		if (now < it->deadline) {
			i++;
			continue;
		}
		coordinator_refuse_job(c, j, 0);
		coordinator_finish_job(c, j, now); /* removes all its pieces */
		i = 0;
	}
}

/* Has coordinator_start_calls called when the next call is due. */
static void
wait_for_next_call(struct pool *p, const struct pool_targets *x, usec_t now)
{
	usec_t due = batch_next_call(&p->batch, x->speeds.fast);
	struct timeval t = { 0 };

	if (p->batch.items->len == 0 || due <= now)
		return;
	t.tv_sec = (due - now) / USEC_PER_SEC;
	t.tv_usec = (due - now) % USEC_PER_SEC;
	evtimer_add(p->next_call, &t);
}

/* The targets that get a call in a pass over all free ones. */
enum call_pass {
	PASS_FIRST, /* in the domain of the piece that has waited longest */
	PASS_LOCAL, /* all, with pieces that don't prefer another domain */
	PASS_ANY,
	PASSES
};

/* Whether a domain has a target that isn't set aside. */
static bool
has_target_in(const struct pool_targets *x, uint32_t domain, usec_t now)
{
	for (guint i = 0; x->all != NULL && i < x->all->len; i++) {
		const struct target_load *t = x->all->pdata[i];

		if (domain_hash(t->entry.domain) == domain &&
		    now >= t->aside_until)
			return true;
	}
	return false;
}

static bool
is_in_pass(const struct target_load *t, enum call_pass pass, uint32_t first)
{
	return pass != PASS_FIRST || domain_hash(t->entry.domain) == first;
}

/*
 * Starts the calls that are due.  Pieces wait for a while for a target in the
 * failure domain that they prefer, and then go to any.
 */
void
coordinator_start_calls(struct coordinator *c, struct pool *p, usec_t now)
{
	struct pool_targets x;
	int pass = PASS_FIRST;
	uint32_t first;
	uint32_t calls;

	if (p->batch.items->len == 0 ||
	    !any_free(coordinator_targets(c, p), now))
		return;
	x = coordinator_pool_targets(c, p, now);
	first = batch_first_domain(&p->batch);
	calls = batch_calls(&p->batch, x.speeds.fast, now);
	/* A piece without a target in its domain doesn't wait for one. */
	x.any_domain = first != 0 && !has_target_in(&x, first, now);
	if (x.any_domain)
		pass = PASS_ANY;
	for (; pass < PASSES; pass++) {
		for (guint i = 0; x.all != NULL && i < x.all->len; i++) {
			struct target_load *t = x.all->pdata[i];

			if (calls == 0 || p->batch.items->len == 0)
				break;
			if (!is_free(t, now) || !is_in_pass(t, pass, first) ||
			    !serve_target(
				c, p, t, &x, calls, pass != PASS_ANY, now) ||
			    target_speed_is_slow(&t->speed, &x.speeds))
				continue;
			x.fast_free -= x.fast_free > 0;
			calls = calls > 1
			    ? calls - 1
			    : batch_calls(&p->batch, x.speeds.fast, now);
		}
	}
	wait_for_next_call(p, &x, now);
}

/*
 * Releases the inputs of a job, as all calls that use them have fetched them.
 */
static void
release_inputs(struct coordinator *c, struct coordinator_job *j)
{
	j->release_inputs_at = 0;
	c->o.inputs_fetched(c->o.arg, str_of(&j->inputs));
}

/*
 * Forgets old jobs and releases inputs; returns whether any job is unanswered.
 */
static bool
sweep_jobs(struct coordinator *c, usec_t now)
{
	GHashTableIter it;
	gpointer v;
	bool waiting = false;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct coordinator_job *j = v;

		waiting = waiting || !j->replied;
		if (j->replied && j->in_calls == 0 &&
		    now - j->replied_at > REPLY_RETENTION)
			g_hash_table_iter_remove(&it);
		else if (j->release_inputs_at != 0 &&
		    now >= j->release_inputs_at)
			release_inputs(c, j);
	}
	return waiting;
}

/* Logs the load of a pool in which pieces wait. */
static void
report_load(struct coordinator *c, struct pool *p, usec_t now)
{
	struct pool_targets x;
	const GPtrArray *all;
	uint32_t busy = 0;
	uint32_t aside = 0;
	uint32_t full = 0;
	uint32_t slow = 0;

	if (now - p->reported_at < LOAD_REPORT_TIME)
		return;
	p->reported_at = now;
	x = coordinator_pool_targets(c, p, now);
	all = x.all;
	for (guint i = 0; all != NULL && i < all->len; i++) {
		const struct target_load *t = all->pdata[i];

		slow += target_speed_is_slow(&t->speed, &x.speeds);
		if (t->in_flight > 0)
			busy++;
		else if (now < t->aside_until)
			aside++;
		else if (free_result_bytes(c, p, t->entry.addr, now) <
		    p->batch.config.result_bytes / FULL_PART)
			full++;
	}
	if (p->batch.items->len > 0)
		log_text(LOG_LVL_INFO, "stage-load",
		    "service %s: %u pieces wait; %u targets, %u busy, %u set "
		    "aside, %u without space, %u slow; %u calls with %u pieces "
		    "since the last report",
		    p->service, p->batch.items->len, all != NULL ? all->len : 0,
		    busy, aside, full, slow, p->calls, p->pieces);
	p->calls = 0;
	p->pieces = 0;
}

bool
coordinator_tick(struct coordinator *c, usec_t now)
{
	GHashTableIter it;
	gpointer p;
	bool repeats = coordinator_stop_tick(c, now);
	bool waiting;

	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		coordinator_move_jobs(c, p, now);
		refuse_overdue(c, p, now);
		refuse_hopeless(c, p, now);
		report_load(c, p, now);
		coordinator_start_calls(c, p, now);
	}
	waiting = sweep_jobs(c, now) || repeats;
	coordinator_flush_frees(c, now);
	return waiting;
}

void
coordinator_hosts_changed(struct coordinator *c, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;
		const char *addr = c->o.find_coordinator(c->o.arg, p->service);

		if (strcmp(addr, p->coordinator_addr) == 0)
			continue;
		g_strlcpy(
		    p->coordinator_addr, addr, sizeof(p->coordinator_addr));
		p->handover_until = now + HANDOVER_TIME;
	}
}

struct coordinator_counts
coordinator_counts(const struct coordinator *c)
{
	struct coordinator_counts counts = c->counts;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &p))
		counts.waiting += ((const struct pool *)p)->batch.items->len;
	return counts;
}

void
coordinator_free(struct coordinator *c)
{
	coordinator_cancel_calls(c);
	g_hash_table_destroy(c->calls);
	g_hash_table_destroy(c->jobs);
	g_hash_table_destroy(c->pools);
	result_frees_free(&c->frees);
	g_hash_table_destroy(c->free_calls);
	g_hash_table_destroy(c->last_responses);
	event_free(c->local_reply_event);
	g_ptr_array_unref(c->local_replies);
	result_space_free(&c->result_space);
	recent_set_free(&c->handles);
	unknown_services_free(&c->unknown);
	routes_unref(c->routes);
	free(c);
}
