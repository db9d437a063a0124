#include "entry/placements_state.h"
#include "base/log.h"
#include "kernel/overload/spill.h"

#include <stdlib.h>
#include <string.h>

/* How often a placer gets a list of the calls. */
#define LIST_INTERVAL  (1 * USEC_PER_SEC)
/* How often the state of requests that wait at a placer is queried. */
#define QUERY_INTERVAL (100 * USEC_PER_MSEC)
#define UNUSED_TIME    (60 * USEC_PER_SEC)

static const char *const cause_names[PLACEMENT_CAUSES] = {
	[PLACEMENT_NOT_ASKED] = "not-asked",
	[PLACEMENT_BY_PLACER] = "placer",
	[PLACEMENT_NO_PLACER] = "no-placer",
	[PLACEMENT_NO_REPLY] = "no-reply",
	[PLACEMENT_TOO_LONG] = "too-long",
	[PLACEMENT_NO_DECISION] = "no-decision",
	[PLACEMENT_TOO_OLD] = "too-old",
	[PLACEMENT_VETOED] = "vetoed",
};

const char *
placement_cause_name(enum placement_cause c)
{
	return cause_names[c];
}

static void on_timer(evutil_socket_t fd, short what, void *arg);
static void on_own_asks(evutil_socket_t fd, short what, void *arg);

struct placements *
placements_new(const struct placements_opts *o)
{
	struct placements *p = xcalloc(1, sizeof(*p));

	p->o = *o;
	p->peers = g_array_new(FALSE, TRUE, sizeof(struct placer_peer));
	p->groups = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, placements_free_group);
	p->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	p->waiting = g_hash_table_new(NULL, NULL);
	p->engine_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	stage_waits_init(&p->waits);
	p->timer = evtimer_new(o->base, on_timer, p);
	p->own_asks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	p->own_event = event_new(o->base, -1, EV_PERSIST, on_own_asks, p);
	return p;
}

void
placements_set_placer(struct placements *p, struct placer *own)
{
	p->own = own;
}

void
placements_set_routes(struct placements *p, struct routes *routes)
{
	routes_unref(p->routes);
	p->routes = routes_ref(routes);
}

bool
placements_in_force(const struct placements *p)
{
	return p->o.min_hosts > 0 && p->peers->len >= p->o.min_hosts;
}

void
placements_wake_by(struct placements *p, usec_t at, usec_t now)
{
	struct timeval tv;
	usec_t left = at > now ? at - now : 0;

	if (p->timer_at != 0 && p->timer_at <= at)
		return;
	p->timer_at = at;
	tv = (struct timeval){ left / USEC_PER_SEC, left % USEC_PER_SEC };
	evtimer_add(p->timer, &tv);
}

static struct engine_call *
new_call(struct placements *p, struct engine_group *g,
    const struct placement_call_opts *o)
{
	struct engine_call *c = xcalloc(1, sizeof(*c));

	c->number = ++p->n_numbers;
	c->group = g;
	c->request = *o->request;
	c->request.host = p->o.incarnation;
	c->request.ask = c->number;
	g->n_calls++;
	g_hash_table_insert(p->calls, &c->number, c);
	return c;
}

static void
remove_call(struct placements *p, struct engine_call *c)
{
	c->group->n_calls--;
	g_hash_table_remove(p->waiting, c);
	g_hash_table_remove(p->calls, &c->number);
}

struct placements_view
placements_peek(const struct placements *p, const char *service,
    const char *domain, usec_t deadline)
{
	usec_t now = clock_now();
	const struct placer_peer *x =
	    placements_current(p, service, domain, now);
	struct placements_view v = { .cause = PLACEMENT_NO_PLACER };

	if (x == NULL)
		return v;
	v.is_self = placements_is_self(p, x);
	g_strlcpy(v.host, x->p.rpc, sizeof(v.host));
	if (placement_ask_time(deadline - now) > 0 &&
	    (v.is_self || placer_use(&x->host, now) == PLACER_WAIT))
		v.cause = PLACEMENT_BY_PLACER;
	return v;
}

uint64_t
placements_ask(struct placements *p, const struct placement_call_opts *o,
    enum placement_cause *cause)
{
	usec_t now = clock_now();
	struct engine_group *g = placements_group(p, o->service, o->domain);
	struct placer_peer *x = placements_choose(p, g, now);
	usec_t left = placement_ask_time(o->request->deadline - now);
	struct engine_call *c;

	*cause = PLACEMENT_NO_PLACER;
	if (x == NULL || left == 0)
		return 0;
	if (!g->is_self && placer_use(&x->host, now) != PLACER_WAIT) {
		placements_probe(p, g, x, now);
		return 0;
	}
	c = new_call(p, g, o);
	c->handler = o->handler;
	c->arg = o->arg;
	c->asked_at = now;
	c->sent_at = now;
	g_strlcpy(c->placer, g->placer, sizeof(c->placer));
	placement_ask_begin(&c->ask, now + left, now);
	g_hash_table_add(p->waiting, c);
	if (g->is_self) {
		g_array_append_val(p->own_asks, c->number);
		event_active(p->own_event, EV_TIMEOUT, 0);
	} else {
		placer_asked(&x->host, now);
		placements_send_ask(p, g, c, now);
	}
	placements_wake_by(p, c->ask.due, now);
	return c->number;
}

static void
on_own_asks(evutil_socket_t fd, short what, void *arg)
{
	struct placements *p = arg;
	g_autoptr(GArray) v = p->own_asks;

	(void)fd;
	(void)what;
	p->own_asks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (guint i = 0; i < v->len; i++) {
		uint64_t number = g_array_index(v, uint64_t, i);
		const struct engine_call *c =
		    g_hash_table_lookup(p->calls, &number);

		if (c != NULL && c->handler != NULL)
			placements_send_ask(p, c->group, c, clock_now());
	}
}

uint64_t
placements_sent(struct placements *p, const struct placement_call_opts *o,
    const char *target)
{
	struct engine_group *g = placements_group(p, o->service, o->domain);
	struct engine_call *c = new_call(p, g, o);

	placements_choose(p, g, clock_now());
	g_strlcpy(c->target, target, sizeof(c->target));
	placements_tell_sent(p, c);
	return c->number;
}

void
placements_begun(struct placements *p, uint64_t call)
{
	struct engine_call *c = g_hash_table_lookup(p->calls, &call);

	if (c == NULL || c->begun)
		return;
	c->begun = true;
	placements_add_call_fact(p, c, PEER_PLACE_BEGUN);
}

void
placements_ended(struct placements *p, uint64_t call, enum placement_end end)
{
	struct engine_call *c = g_hash_table_lookup(p->calls, &call);
	peer_place_kind kind = PEER_PLACE_CANCELLED;

	if (c == NULL)
		return;
	if (c->handler == NULL && end == PLACEMENT_READ)
		kind = PEER_PLACE_COMPLETED;
	else if (c->handler == NULL && end == PLACEMENT_LOST)
		kind = PEER_PLACE_LOST;
	placements_add_call_fact(p, c, kind);
	remove_call(p, c);
}

void
placements_reported(struct placements *p, uint64_t call, uint32_t running,
    uint32_t waiting, uint32_t slowness)
{
	const struct engine_call *c = g_hash_table_lookup(p->calls, &call);
	peer_place_fact f = { .kind = PEER_PLACE_REPORT };
	peer_place_report *m = &f.peer_place_fact_u.report;

	if (c == NULL)
		return;
	m->target = str_dup(str_from(c->target));
	m->running = running;
	m->waiting = waiting;
	m->slowness = slowness;
	placements_add_fact(p, c->group, &f);
}

void
placements_count(struct placements *p, enum placement_cause cause)
{
	p->counts.by_cause[cause]++;
}

/* Passes the result on; the call may be removed by that. */
static void
finish_ask(struct placements *p, struct engine_call *c,
    struct placement_result *result, usec_t now)
{
	placement_handler handler = c->handler;
	void *arg = c->arg;

	g_strlcpy(result->placed.host, c->placer, sizeof(result->placed.host));
	result->placed.waited = now - c->asked_at;
	c->handler = NULL;
	g_hash_table_remove(p->waiting, c);
	if (result->verdict != PLACEMENT_SEND)
		remove_call(p, c);
	handler(arg, result);
}

/* The host has to choose the target by itself, as the decision isn't used. */
static void
leave_to_host(
    struct placements *p, struct engine_call *c, enum placement_cause cause)
{
	struct placement_result r = {
		.verdict = PLACEMENT_NONE,
		.placed = { .cause = cause, .known = -1 },
	};

	placements_add_call_fact(p, c, PEER_PLACE_CANCELLED);
	finish_ask(p, c, &r, clock_now());
}

/* The wait that the placer has reported last. */
static usec_t
reported_wait(
    const struct placements *p, const struct engine_group *g, usec_t now)
{
	return stage_waits_get(&p->waits, g->service, g->domain, 0, now);
}

/* The placer has no room for the request before its host stops waiting. */
static void
finish_full(struct placements *p, struct engine_call *c,
    enum placement_cause cause, usec_t wait)
{
	struct placement_result r = {
		.verdict = PLACEMENT_FULL,
		.wait = wait,
		.placed = { .cause = cause, .known = -1 },
	};

	p->counts.full++;
	finish_ask(p, c, &r, clock_now());
}

static void
carry_out(
    struct placements *p, struct engine_call *c, const peer_place_reply *r)
{
	usec_t now = clock_now();
	struct placement_result result = {
		.verdict = PLACEMENT_SEND,
		.target = r->target,
		.placed = {
			.cause = PLACEMENT_BY_PLACER,
			.first_event =
			    (usec_t)r->first_event_ms * USEC_PER_MSEC,
			.to_read = r->to_read,
			.reading = r->reading,
			.running = r->running,
			.known = (usec_t)r->known_ms * USEC_PER_MSEC,
		},
	};

	if (!placement_ask_is_current(
		&c->ask, (usec_t)r->age_ms * USEC_PER_MSEC, now)) {
		leave_to_host(p, c, PLACEMENT_TOO_OLD);
		return;
	}
	g_strlcpy(c->target, r->target, sizeof(c->target));
	finish_ask(p, c, &result, now);
}

static void
take_decision(
    struct placements *p, struct engine_call *c, const peer_place_reply *r)
{
	switch (r->verdict) {
	case PLACEMENT_SEND:
		carry_out(p, c, r);
		return;
	case PLACEMENT_FULL:
		finish_full(p, c, PLACEMENT_BY_PLACER,
		    (usec_t)r->first_event_ms * USEC_PER_MSEC);
		return;
	default:
		leave_to_host(p, c, PLACEMENT_NO_DECISION);
		return;
	}
}

/* The placer has a call that waits. */
static void
note_queued(struct placements *p, struct engine_call *c, usec_t now)
{
	p->counts.queued += !c->ask.queued;
	placement_ask_queued(&c->ask, now);
	if (p->query_at == 0)
		p->query_at = now + QUERY_INTERVAL;
	placements_wake_by(p, p->query_at, now);
}

/* The placer is there: it has all calls that it was queried for. */
static void
note_alive(struct placements *p, struct engine_group *g, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->waiting);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		struct engine_call *c = v;

		if (c->group == g && c->ask.queued)
			placement_ask_queued(&c->ask, now);
	}
}

void
placements_reply(
    struct placements *p, const char *from, const peer_place_reply *r)
{
	uint64_t number = r->call;
	struct engine_call *c = g_hash_table_lookup(p->calls, &number);
	struct placer_peer *x =
	    from != NULL ? placements_find_peer(p, from) : NULL;
	struct engine_group *g = placements_group(p, r->service, r->domain);
	usec_t now = clock_now();

	if (x != NULL)
		placer_heard(&x->host, now);
	if (from != NULL && strcmp(from, g->placer) != 0)
		return;
	if (r->queued || r->verdict != PLACEMENT_NONE)
		stage_waits_report(&p->waits, g->service, g->domain, 0,
		    (usec_t)r->wait_ms * USEC_PER_MSEC, now);
	if (r->tell_all)
		placements_tell_all(p, g);
	if (r->call == 0)
		note_alive(p, g, now);
	if (c == NULL || c->handler == NULL || c->group != g)
		return;
	if (r->queued)
		note_queued(p, c, now);
	else
		take_decision(p, c, r);
}

/* The placer is silent: the host decides. */
static void
give_up(struct placements *p, struct engine_call *c, usec_t now)
{
	struct placer_peer *x = placements_find_peer(p, c->placer);

	if (x != NULL && !c->group->is_self &&
	    placer_unanswered(&x->host, c->sent_at, now)) {
		log_text(LOG_LVL_NOTICE, "placer-silent", "%s, of %s",
		    c->placer, c->group->service);
		c->group->chosen_at = 0;
	}
	leave_to_host(p, c, PLACEMENT_NO_REPLY);
}

static void
step_call(struct placements *p, struct engine_call *c, usec_t now)
{
	struct engine_group *g = c->group;
	enum placement_ask_step step = placement_ask_step(&c->ask, now);

	if (step != PLACEMENT_ASK_FULL && strcmp(c->placer, g->placer) != 0) {
		leave_to_host(p, c, PLACEMENT_NO_PLACER);
		return;
	}
	switch (step) {
	case PLACEMENT_ASK_FULL:
		/* It hasn't run, and may come back. */
		placements_add_call_fact(p, c, PEER_PLACE_CANCELLED);
		finish_full(p, c, PLACEMENT_TOO_LONG, reported_wait(p, g, now));
		break;
	case PLACEMENT_ASK_GIVE_UP:
		give_up(p, c, now);
		break;
	case PLACEMENT_ASK_AGAIN:
		c->sent_at = now;
		placements_send_ask(p, g, c, now);
		break;
	}
}

/* Queries the calls that wait at placers. */
static void
query(struct placements *p, usec_t now)
{
	g_autoptr(GPtrArray) groups = placements_groups(p);

	p->query_at = 0;
	for (guint i = 0; i < groups->len; i++)
		placements_query(p, groups->pdata[i], now);
}

/* Sets the timer by what is due next. */
static void
set_timer(struct placements *p, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	if (p->flush_at != 0)
		placements_wake_by(p, p->flush_at, now);
	g_hash_table_iter_init(&it, p->waiting);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		const struct engine_call *c = v;

		placements_wake_by(p, c->ask.due, now);
		if (c->ask.queued && p->query_at == 0)
			p->query_at = now + QUERY_INTERVAL;
	}
	if (p->query_at != 0)
		placements_wake_by(p, p->query_at, now);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct placements *p = arg;
	usec_t now = clock_now();
	g_autoptr(GArray) due = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer v;

	(void)fd;
	(void)what;
	p->timer_at = 0;
	if (p->flush_at != 0 && now >= p->flush_at)
		placements_flush(p);
	if (p->query_at != 0 && now >= p->query_at)
		query(p, now);
	g_hash_table_iter_init(&it, p->waiting);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		const struct engine_call *c = v;

		if (now >= c->ask.due)
			g_array_append_val(due, c->number);
	}
	for (guint i = 0; i < due->len; i++) {
		uint64_t number = g_array_index(due, uint64_t, i);
		struct engine_call *c = g_hash_table_lookup(p->calls, &number);

		if (c != NULL && c->handler != NULL)
			step_call(p, c, now);
	}
	set_timer(p, clock_now());
}

/* Whether a group was of a service or domain that is no more. */
static gboolean
is_unused(gpointer key, gpointer group, gpointer now)
{
	const struct engine_group *g = group;

	(void)key;
	return g->n_calls == 0 && !g->told_calls && g->events->len == 0 &&
	    *(const usec_t *)now - g->chosen_at > UNUSED_TIME;
}

void
placements_tick(struct placements *p, usec_t now)
{
	g_autoptr(GPtrArray) groups = NULL;

	if (!placements_in_force(p))
		return;
	placements_count_engines(p, now);
	placements_meet(p, now);
	groups = placements_groups(p);
	for (guint i = 0; i < groups->len; i++) {
		struct engine_group *g = groups->pdata[i];

		if ((g->n_calls > 0 || g->told_calls) &&
		    now - g->listed_at >= LIST_INTERVAL &&
		    placements_choose(p, g, now) != NULL)
			placements_send_list(p, g, now);
	}
	g_hash_table_foreach_remove(p->groups, is_unused, &now);
}

struct placements_counts
placements_counts(const struct placements *p)
{
	return p->counts;
}

void
placements_free(struct placements *p)
{
	g_hash_table_destroy(p->waiting);
	g_hash_table_destroy(p->calls);
	g_hash_table_destroy(p->groups);
	g_hash_table_destroy(p->engine_counts);
	stage_waits_free(&p->waits);
	routes_unref(p->routes);
	g_array_unref(p->peers);
	g_array_unref(p->own_asks);
	event_free(p->timer);
	event_free(p->own_event);
	free(p);
}
