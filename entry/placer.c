#include "entry/placer_state.h"
#include "base/hash.h"
#include "base/log.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Time in which hosts tell a new placer what they have running. */
#define LEARN_TIME        (1 * USEC_PER_SEC)
/*
 * Hosts with calls list them each second, so if none has done so for this time,
 * another host has placed meanwhile.
 */
#define UNLISTED_TIME     (3 * USEC_PER_SEC)
/* The same, if there were no calls. */
#define UNUSED_TIME       (60 * USEC_PER_SEC)
/* A host that waits for a decision repeats its ask more often. */
#define ASK_LOST_TIME     (600 * USEC_PER_MSEC)
/* An ask that arrived so long ago has been given up. */
#define MAX_ASK_DELAY     (100 * USEC_PER_MSEC)
#define DECISIONS_AT_ONCE 16
/* Between two looks at the requests that wait. */
#define STEP_INTERVAL     (2 * USEC_PER_MSEC)
/* How long the wait that hosts are told is used. */
#define WAIT_TIME         (50 * USEC_PER_MSEC)
/* A host with calls that tells nothing for so long has ended. */
#define HOST_SILENT_TIME  (10 * USEC_PER_SEC)
/* How long it is remembered when a target was heard of. */
#define KNOWN_TIME        (60 * USEC_PER_SEC)

static void step(struct engine_pool *e, usec_t now);

static void
free_pool(gpointer p)
{
	struct engine_pool *e = p;

	event_free(e->timer);
	placement_free(e->placement);
	g_hash_table_destroy(e->calls);
	g_hash_table_destroy(e->known_at);
	g_hash_table_destroy(e->told_at);
	free(e->key);
	free(e);
}

struct placer *
placer_new(const struct placer_opts *o)
{
	struct placer *p = xcalloc(1, sizeof(*p));

	p->o = *o;
	p->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	p->hosts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return p;
}

static const struct service *
find_engine(const struct placer *p, const char *service)
{
	const struct service *s;
	int at = p->routes != NULL
	    ? routes_find_service(p->routes, str_from(service))
	    : -1;

	if (at < 0)
		return NULL;
	s = routes_service_at(p->routes, (uint32_t)at);
	return s->has_engine ? s : NULL;
}

static bool
same_engines(const struct service *a, const struct service *b)
{
	return a != NULL && b != NULL && a->engine.slots == b->engine.slots &&
	    a->engine.tokens == b->engine.tokens;
}

void
placer_set_routes(struct placer *p, struct routes *routes)
{
	struct routes *before = p->routes;
	GHashTableIter it;
	gpointer v;

	p->routes = routes_ref(routes);
	g_hash_table_iter_init(&it, p->pools);
	while (before != NULL && g_hash_table_iter_next(&it, NULL, &v)) {
		const struct engine_pool *e = v;
		int at = routes_find_service(before, str_from(e->service));

		if (at < 0 ||
		    !same_engines(routes_service_at(before, (uint32_t)at),
			find_engine(p, e->service)))
			g_hash_table_iter_remove(&it);
	}
	routes_unref(before);
}

static void
on_due(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	step(arg, clock_now());
}

/* Returns the pool, or NULL if this host doesn't know the service. */
static struct engine_pool *
pool_of(struct placer *p, const char *service, const char *domain,
    const struct engine_group_id *group, usec_t now)
{
	char *key = g_strconcat(service, "\t", domain, NULL);
	struct engine_pool *e = g_hash_table_lookup(p->pools, key);
	const struct service *s = find_engine(p, service);

	if (e != NULL || s == NULL) {
		free(key);
		return e;
	}
	e = xcalloc(1, sizeof(*e));
	e->placer = p;
	e->key = key;
	g_strlcpy(e->service, service, sizeof(e->service));
	g_strlcpy(e->domain, domain, sizeof(e->domain));
	e->placement = placement_new(&(struct placement_opts){
	    .service = e->service,
	    .domain = group->domain,
	    .groups = group->n,
	    .group = group->index,
	    .loads = p->o.loads,
	    .slots = s->engine.slots,
	    .kv_tokens = s->engine.tokens,
	});
	e->calls = placer_new_calls();
	e->known_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->told_at =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	e->learns_until = now + LEARN_TIME;
	e->timer = evtimer_new(p->o.base, on_due, e);
	g_hash_table_insert(p->pools, e->key, e);
	log_text(LOG_LVL_INFO, "placer-begins",
	    "this host places requests for %s in %s", service,
	    *domain != '\0' ? domain : "all domains");
	return e;
}

static uint32_t
in_ms(usec_t t)
{
	return t > 0 ? (uint32_t)(t / USEC_PER_MSEC) : 0;
}

static void
send_reply(struct placer *p, const char *from, const peer_place_reply *r)
{
	peer_body body = { .kind = PEER_PLACE_REPLY };

	if (*from == '\0') {
		p->o.reply(p->o.arg, r);
		return;
	}
	body.peer_body_u.place_reply = *r;
	rpc_send(p->o.rpc, from, &body);
}

/* Time since the last news of a target in ms; -1: there was none. */
static int
known_ms(const struct engine_pool *e, const char *target, usec_t now)
{
	const usec_t *at = g_hash_table_lookup(e->known_at, target);

	return at != NULL ? (int)((now - *at) / USEC_PER_MSEC) : -1;
}

/* Returns the shortest wait of a new prompt, whatever its length. */
static usec_t
new_wait(struct engine_pool *e, usec_t now)
{
	if (e->wait_at == 0 || now - e->wait_at >= WAIT_TIME) {
		e->wait = placement_wait(e->placement, 0, now);
		e->wait_at = now;
	}
	return e->wait;
}

static void
reply_decision(struct engine_pool *e, const struct placed_call *c, usec_t now)
{
	const struct placement_decision *d = &c->decision;
	peer_place_reply r = {
		.call = c->number,
		.service = e->service,
		.domain = e->domain,
		.verdict = (int)d->verdict,
		.target = (char *)d->target,
		.wait_ms = in_ms(new_wait(e, now)),
		.first_event_ms = in_ms(
		    d->verdict == PLACEMENT_FULL ? d->wait : d->first_event),
		.to_read = d->to_read,
		.reading = d->reading,
		.running = d->running,
		.age_ms = in_ms(now - c->heard_at),
		.known_ms = known_ms(e, d->target, now),
	};

	send_reply(e->placer, c->from, &r);
}

/* Answers that a request waits, or with call 0 that the placer is there. */
static void
reply_queued(struct engine_pool *e, const char *from, uint64_t call,
    bool tell_all, usec_t now)
{
	peer_place_reply r = {
		.call = call,
		.service = e->service,
		.domain = e->domain,
		.queued = true,
		.tell_all = tell_all,
		.verdict = PLACEMENT_NONE,
		.target = (char *)"",
		.wait_ms = in_ms(new_wait(e, now)),
		.known_ms = -1,
	};

	send_reply(e->placer, from, &r);
}

/* Leaves a request to the host that asks. */
static void
reply_none(
    struct placer *p, const char *from, uint64_t call, const peer_place_news *m)
{
	peer_place_reply r = {
		.call = call,
		.service = m->service,
		.domain = m->domain,
		.verdict = PLACEMENT_NONE,
		.target = (char *)"",
		.known_ms = -1,
	};

	p->counts.none++;
	send_reply(p, from, &r);
}

static void
take_decision(
    struct engine_pool *e, const struct placement_decision *d, usec_t now)
{
	struct placer_counts *n = &e->placer->counts;
	struct placed_call *c = placer_find_call(e, d->host, d->ask);

	if (c == NULL)
		return;
	c->decided = true;
	c->heard_at = now;
	c->decision = *d;
	n->placed += d->verdict == PLACEMENT_SEND;
	n->full += d->verdict == PLACEMENT_FULL;
	n->none += d->verdict == PLACEMENT_NONE;
	reply_decision(e, c, now);
	if (d->verdict != PLACEMENT_SEND)
		g_hash_table_remove(e->calls, c);
}

static void
set_timer(struct engine_pool *e, usec_t now)
{
	usec_t due = placement_due(e->placement, now);
	struct timeval tv;

	if (due == 0) {
		evtimer_del(e->timer);
		return;
	}
	if (due < e->stepped_at + STEP_INTERVAL)
		due = e->stepped_at + STEP_INTERVAL;
	due = due > now ? due - now : 0;
	tv = (struct timeval){ due / USEC_PER_SEC, due % USEC_PER_SEC };
	evtimer_add(e->timer, &tv);
}

/* Decides what can be decided, and waits for the rest. */
static void
step(struct engine_pool *e, usec_t now)
{
	struct placement_decision v[DECISIONS_AT_ONCE];
	size_t n;

	e->stepped_at = now;
	do {
		n = placement_step(e->placement, v, DECISIONS_AT_ONCE, now);
		for (size_t i = 0; i < n; i++)
			take_decision(e, &v[i], now);
	} while (n == DECISIONS_AT_ONCE);
	set_timer(e, now);
}

static void
read_ask(const peer_place_ask *m, struct placement_request *q, usec_t now)
{
	placer_read_size(&m->size, q);
	q->aim = now + (usec_t)m->aim_left_ms * USEC_PER_MSEC;
	q->deadline = now + (usec_t)m->left_ms * USEC_PER_MSEC;
	q->latest = now + (usec_t)m->latest_ms * USEC_PER_MSEC;
	q->max_gap = (usec_t)m->max_gap_ms * USEC_PER_MSEC;
	g_strlcpy(q->version, m->software, sizeof(q->version));
	g_strlcpy(q->input_domain, m->input_domain, sizeof(q->input_domain));
	q->input_bytes = m->input_bytes;
	q->n_tried = m->tried.tried_len;
	for (size_t i = 0; i < q->n_tried; i++)
		g_strlcpy(
		    q->tried[i], m->tried.tried_val[i], sizeof(q->tried[i]));
}

/* Asks the decision for a new call. */
static void
submit(struct engine_pool *e, const char *from, uint64_t host,
    const peer_place_ask *m, usec_t now)
{
	struct placement_request q = { .host = host, .ask = m->call };
	const struct placed_call *c;

	read_ask(m, &q, now);
	placer_add_call(e, from, host, m->call)->heard_at = now;
	placement_submit(e->placement, &q, now);
	step(e, now);
	c = placer_find_call(e, host, m->call);
	if (c == NULL || c->decided)
		return;
	e->placer->counts.queued++;
	reply_queued(e, from, m->call, false, now);
}

/* A host queries the state of calls that wait. */
static void
take_waiting(struct engine_pool *e, const char *from, uint64_t host,
    const peer_place_news *m, usec_t now)
{
	for (u_int i = 0; i < m->waiting.waiting_len; i++) {
		uint64_t number = m->waiting.waiting_val[i];
		struct placed_call *c = placer_find_call(e, host, number);

		if (c == NULL)
			reply_none(e->placer, from, number, m);
		else if (c->decided)
			reply_decision(e, c, now);
		else
			c->heard_at = now;
	}
}

static void
take_news(struct engine_pool *e, const char *from, uint64_t host,
    const peer_place_news *m, usec_t now)
{
	bool lacks = false;

	e->heard_at = now;
	g_hash_table_replace(e->told_at, g_memdup2(&host, sizeof(host)),
	    g_memdup2(&now, sizeof(now)));
	for (u_int i = 0; i < m->events.events_len; i++)
		placer_take_fact(e, host, &m->events.events_val[i].fact,
		    now -
			(usec_t)m->events.events_val[i].age_ms * USEC_PER_MSEC);
	if (m->listed)
		lacks = placer_take_list(e, host, m, now);
	take_waiting(e, from, host, m, now);
	if (lacks || m->waiting.waiting_len > 0)
		reply_queued(e, from, 0, lacks, now);
}

/* Whether the service has targets in the domain, as far as is known here. */
static bool
has_domain(const struct placer *p, const char *service, const char *domain)
{
	const GPtrArray *v = loads_domains(p->o.loads, service);

	if (*domain == '\0')
		return true;
	for (guint i = 0; v != NULL && i < v->len; i++) {
		const struct loads_domain *d = v->pdata[i];

		if (strcmp(d->name, domain) == 0)
			return true;
	}
	return false;
}

/* Finds the pool of a domain or of a group of a divided one, or NULL. */
static struct engine_pool *
find_pool(struct placer *p, const char *service, const char *domain, usec_t now)
{
	struct engine_group_id group = { .n = 1 };

	if (has_domain(p, service, domain))
		g_strlcpy(group.domain, domain, sizeof(group.domain));
	else if (!engine_group_parse(domain, &group) ||
	    !has_domain(p, service, group.domain))
		return NULL;
	return pool_of(p, service, domain, &group, now);
}

/* Answers an ask for a call. */
static void
answer(struct engine_pool *e, const char *from, uint64_t host,
    const peer_place_ask *m, usec_t now)
{
	struct placer *p = e->placer;
	usec_t delay = now - arrival_earliest(&p->arrival, now);
	struct placed_call *c = placer_find_call(e, host, m->call);

	if (c != NULL && c->decided) {
		reply_decision(e, c, now);
	} else if (c != NULL) {
		c->heard_at = now;
		reply_queued(e, from, m->call, false, now);
	} else if (now < e->learns_until || delay >= MAX_ASK_DELAY ||
	    p->draining) {
		reply_none(p, from, m->call, &m->news);
	} else {
		submit(e, from, host, m, now);
	}
}

void
placer_ask(struct placer *p, const char *from, uint64_t incarnation,
    const peer_place_ask *m)
{
	usec_t now = clock_now();
	struct engine_pool *e =
	    find_pool(p, m->news.service, m->news.domain, now);

	if (from == NULL)
		from = "";
	p->counts.asks++;
	if (e == NULL) {
		reply_none(p, from, m->call, &m->news);
		return;
	}
	take_news(e, from, incarnation, &m->news, now);
	if (m->call != 0)
		answer(e, from, incarnation, m, now);
	else
		reply_queued(e, from, 0, false, now);
	set_timer(e, now);
}

void
placer_news(struct placer *p, const char *from, uint64_t incarnation,
    const peer_place_news *m)
{
	usec_t now = clock_now();
	struct engine_pool *e = find_pool(p, m->service, m->domain, now);

	if (e == NULL)
		return;
	take_news(e, from != NULL ? from : "", incarnation, m, now);
	set_timer(e, now);
}

/* Gives the requests that wait back to their hosts. */
static void
leave_calls(struct engine_pool *e)
{
	peer_place_news m = { .service = e->service, .domain = e->domain };
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->calls);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		struct placed_call *c = v;

		if (c->decided)
			continue;
		placement_cancel(e->placement, c->host, c->number);
		reply_none(e->placer, c->from, c->number, &m);
		g_hash_table_iter_remove(&it);
	}
}

void
placer_drain(struct placer *p)
{
	GHashTableIter it;
	gpointer e;

	if (p->draining)
		return;
	p->draining = true;
	g_hash_table_iter_init(&it, p->pools);
	while (g_hash_table_iter_next(&it, NULL, &e))
		leave_calls(e);
}

/* Drops the calls of a host that has ended or restarted. */
static void
drop_host(struct engine_pool *e, uint64_t host, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	placement_host_ended(e->placement, host, now);
	g_hash_table_iter_init(&it, e->calls);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		if (((const struct placed_call *)v)->host == host)
			g_hash_table_iter_remove(&it);
	}
}

static void
drop_hosts(struct engine_pool *e, GHashTable *ended, usec_t now)
{
	GHashTableIter it;
	gpointer host;

	g_hash_table_iter_init(&it, ended);
	while (g_hash_table_iter_next(&it, &host, NULL))
		drop_host(e, *(const uint64_t *)host, now);
	set_timer(e, now);
}

void
placer_set_hosts(struct placer *p, const GArray *peers)
{
	/* Others aren't known yet, but may ask already. */
	g_autoptr(GHashTable) ended = p->hosts;
	GHashTableIter it;
	gpointer v;

	p->hosts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	for (guint i = 0; i < peers->len; i++) {
		const struct view_peer *x =
		    &g_array_index(peers, struct view_peer, i);

		g_hash_table_add(p->hosts,
		    g_memdup2(&x->incarnation, sizeof(x->incarnation)));
		g_hash_table_remove(ended, &x->incarnation);
	}
	g_hash_table_remove(ended, &p->o.incarnation);
	if (g_hash_table_size(ended) == 0)
		return;
	g_hash_table_iter_init(&it, p->pools);
	while (g_hash_table_iter_next(&it, NULL, &v))
		drop_hosts(v, ended, clock_now());
}

/* Cancels the asks whose hosts have stopped asking. */
static void
cancel_lost_asks(struct engine_pool *e, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->calls);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		const struct placed_call *c = v;

		if (c->decided || now - c->heard_at < ASK_LOST_TIME)
			continue;
		placement_cancel(e->placement, c->host, c->number);
		g_hash_table_iter_remove(&it);
	}
}

static gboolean
is_forgotten(gpointer key, gpointer at, gpointer now)
{
	(void)key;
	return *(const usec_t *)now - *(const usec_t *)at > KNOWN_TIME;
}

/* Drops the calls of hosts that don't list them any more. */
static void
drop_silent_hosts(struct engine_pool *e, usec_t now)
{
	GHashTableIter it;
	gpointer host;
	gpointer at;

	g_hash_table_iter_init(&it, e->told_at);
	while (g_hash_table_iter_next(&it, &host, &at)) {
		if (now - *(const usec_t *)at < HOST_SILENT_TIME)
			continue;
		drop_host(e, *(const uint64_t *)host, now);
		g_hash_table_iter_remove(&it);
	}
}

void
placer_tick(struct placer *p, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	arrival_earliest(&p->arrival, now);
	g_hash_table_iter_init(&it, p->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct engine_pool *e = v;

		cancel_lost_asks(e, now);
		drop_silent_hosts(e, now);
		g_hash_table_foreach_remove(e->known_at, is_forgotten, &now);
		if (now - e->heard_at > (g_hash_table_size(e->calls) > 0
						? UNLISTED_TIME
						: UNUSED_TIME))
			g_hash_table_iter_remove(&it);
		else
			set_timer(e, now);
	}
}

struct placer_counts
placer_counts(const struct placer *p)
{
	struct placer_counts n = p->counts;
	GHashTableIter it;
	GHashTableIter calls;
	gpointer v;

	g_hash_table_iter_init(&it, p->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct engine_pool *e = v;

		g_hash_table_iter_init(&calls, e->calls);
		while (g_hash_table_iter_next(&calls, &v, NULL)) {
			const struct placed_call *c = v;

			n.calls += c->decided;
			n.waiting += !c->decided;
		}
	}
	return n;
}

void
placer_free(struct placer *p)
{
	g_hash_table_destroy(p->pools);
	g_hash_table_destroy(p->hosts);
	routes_unref(p->routes);
	free(p);
}
