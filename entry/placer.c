#include "entry/placer.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/arrival.h"
#include "kernel/overload/placement.h"

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
/* Messages that are on their way may have passed a list of calls. */
#define LIST_MARGIN       (500 * USEC_PER_MSEC)
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

/* A call that a host asks for, or has made. */
struct placed_call {
	uint64_t host; /* incarnation */
	uint64_t number;
	char from[MAX_ADDR_BYTES]; /* RPC address; empty: this host */
	bool decided;
	bool begun;
	usec_t heard_at; /* last ask; once decided, the time of the decision */
	struct placement_decision decision;
};

/* The engines of a service in a failure domain. */
struct engine_pool {
	struct placer *placer;
	char *key;
	char service[64];
	char domain[64];
	struct placement *placement;
	GHashTable *calls;    /* set of struct placed_call */
	GHashTable *known_at; /* target id -> usec_t of the last news of it */
	GHashTable *told_at;  /* incarnation of a host -> usec_t of its news */
	usec_t stepped_at;
	usec_t wait; /* of a new prompt, as told to hosts */
	usec_t wait_at;
	usec_t learns_until;
	usec_t heard_at;
	struct event *timer;
};

struct placer {
	struct placer_opts o;
	struct routes *routes;
	GHashTable *pools; /* key -> struct engine_pool */
	GHashTable *hosts; /* set of the incarnations of the live hosts */
	struct arrival arrival;
	bool draining;
	struct placer_counts counts;
};

static void step(struct engine_pool *e, usec_t now);

static guint
hash_call(gconstpointer v)
{
	const struct placed_call *c = v;

	return (guint)(c->host * 31 + c->number);
}

static gboolean
equal_calls(gconstpointer a, gconstpointer b)
{
	const struct placed_call *x = a;
	const struct placed_call *y = b;

	return x->host == y->host && x->number == y->number;
}

static struct placed_call *
find_call(const struct engine_pool *e, uint64_t host, uint64_t number)
{
	return g_hash_table_lookup(
	    e->calls, &(struct placed_call){ .host = host, .number = number });
}

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
pool_of(struct placer *p, const char *service, const char *domain, usec_t now)
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
	    .domain = e->domain,
	    .loads = p->o.loads,
	    .slots = s->engine.slots,
	    .kv_tokens = s->engine.tokens,
	});
	e->calls = g_hash_table_new_full(hash_call, equal_calls, free, NULL);
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
	struct placed_call *c = find_call(e, d->host, d->ask);

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
read_size(const peer_prompt_size *m, struct placement_request *q)
{
	q->n_parts = m->parts.parts_len;
	for (size_t i = 0; i < q->n_parts; i++)
		q->parts[i] = (struct placement_part){
			.hash = m->parts.parts_val[i].hash,
			.tokens = m->parts.parts_val[i].tokens,
		};
	q->prompt_tokens = m->prompt_tokens;
	q->output_tokens = m->output_tokens;
	q->rank = m->rank;
}

static void
read_ask(const peer_place_ask *m, struct placement_request *q, usec_t now)
{
	read_size(&m->size, q);
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

static struct placed_call *
add_call(
    struct engine_pool *e, const char *from, uint64_t host, uint64_t number)
{
	struct placed_call *c = xcalloc(1, sizeof(*c));

	c->host = host;
	c->number = number;
	g_strlcpy(c->from, from, sizeof(c->from));
	g_hash_table_add(e->calls, c);
	return c;
}

/* Asks the decision for a new call. */
static void
submit(struct engine_pool *e, const char *from, uint64_t host,
    const peer_place_ask *m, usec_t now)
{
	struct placement_request q = { .host = host, .ask = m->call };
	const struct placed_call *c;

	read_ask(m, &q, now);
	add_call(e, from, host, m->call)->heard_at = now;
	placement_submit(e->placement, &q, now);
	step(e, now);
	c = find_call(e, host, m->call);
	if (c == NULL || c->decided)
		return;
	e->placer->counts.queued++;
	reply_queued(e, from, m->call, false, now);
}

static void
knows(struct engine_pool *e, const char *target, usec_t now)
{
	if (*target != '\0')
		g_hash_table_replace(e->known_at, g_strdup(target),
		    g_memdup2(&now, sizeof(now)));
}

static void
note_begun(struct engine_pool *e, struct placed_call *c, usec_t now)
{
	if (c == NULL || !c->decided || c->begun)
		return;
	c->begun = true;
	knows(e, c->decision.target, now);
	placement_begun(e->placement, c->host, c->number, now);
}

/* Ends a call as an event tells. */
static void
end_call(struct engine_pool *e, struct placed_call *c, peer_place_kind kind,
    usec_t now)
{
	if (c == NULL)
		return;
	if (!c->decided || kind == PEER_PLACE_CANCELLED)
		placement_cancel(e->placement, c->host, c->number);
	else
		placement_ended(e->placement, c->host, c->number,
		    kind == PEER_PLACE_COMPLETED, now);
	g_hash_table_remove(e->calls, c);
}

/* A host has sent a call by its own choice. */
static void
note_sent(
    struct engine_pool *e, uint64_t host, const peer_place_sent *m, usec_t now)
{
	struct placement_request q = {
		.host = host,
		.ask = m->call,
		.deadline = now + (usec_t)m->left_ms * USEC_PER_MSEC,
		.max_gap = (usec_t)m->max_gap_ms * USEC_PER_MSEC,
	};
	struct placed_call *c;

	if (find_call(e, host, m->call) != NULL)
		return;
	c = add_call(e, "", host, m->call);
	c->decided = true;
	c->heard_at = now;
	g_strlcpy(c->decision.target, m->target, sizeof(c->decision.target));
	read_size(&m->size, &q);
	placement_sent(e->placement, &q, m->target, now);
}

/* Takes what a host has learnt at a time. */
static void
take_fact(
    struct engine_pool *e, uint64_t host, const peer_place_fact *m, usec_t at)
{
	struct placed_call *c;

	switch (m->kind) {
	case PEER_PLACE_SENT:
		note_sent(e, host, &m->peer_place_fact_u.sent, at);
		return;
	case PEER_PLACE_REPORT:
		knows(e, m->peer_place_fact_u.report.target, at);
		placement_reported(e->placement,
		    m->peer_place_fact_u.report.target,
		    m->peer_place_fact_u.report.running,
		    m->peer_place_fact_u.report.waiting,
		    m->peer_place_fact_u.report.slowness, at);
		return;
	case PEER_PLACE_BEGUN:
	case PEER_PLACE_COMPLETED:
	case PEER_PLACE_LOST:
	case PEER_PLACE_CANCELLED:
		break;
	}
	c = find_call(e, host, m->peer_place_fact_u.call);
	if (m->kind == PEER_PLACE_BEGUN) {
		note_begun(e, c, at);
		return;
	}
	if (c != NULL && m->kind == PEER_PLACE_COMPLETED)
		knows(e, c->decision.target, at);
	end_call(e, c, m->kind, at);
}

/*
 * Compares the calls of a host with its list: the end of a call that it lacks,
 * and the begin of one, may have been lost on the way.  Returns whether the
 * list has calls that aren't known here.
 */
static bool
take_list(
    struct engine_pool *e, uint64_t host, const peer_place_news *m, usec_t now)
{
	g_autoptr(GHashTable) listed =
	    g_hash_table_new(g_int64_hash, g_int64_equal);
	g_autoptr(GPtrArray) gone = g_ptr_array_new();
	bool lacks = false;
	GHashTableIter it;
	gpointer v;

	for (u_int i = 0; i < m->calls.calls_len; i++) {
		peer_place_call *x = &m->calls.calls_val[i];
		struct placed_call *c = find_call(e, host, x->call);

		g_hash_table_add(listed, &x->call);
		if (c == NULL)
			lacks = true;
		else if (x->begun)
			note_begun(e, c, now);
	}
	g_hash_table_iter_init(&it, e->calls);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		struct placed_call *c = v;

		if (c->host == host && c->decided &&
		    now - c->heard_at > LIST_MARGIN &&
		    !g_hash_table_contains(listed, &c->number))
			g_ptr_array_add(gone, c);
	}
	for (guint i = 0; i < gone->len; i++) {
		struct placed_call *c = gone->pdata[i];

		e->placer->counts.lost_calls++;
		end_call(e, c,
		    c->begun ? PEER_PLACE_COMPLETED : PEER_PLACE_CANCELLED,
		    now);
	}
	return lacks;
}

/* A host queries the state of calls that wait. */
static void
take_waiting(struct engine_pool *e, const char *from, uint64_t host,
    const peer_place_news *m, usec_t now)
{
	for (u_int i = 0; i < m->waiting.waiting_len; i++) {
		uint64_t number = m->waiting.waiting_val[i];
		struct placed_call *c = find_call(e, host, number);

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
		take_fact(e, host, &m->events.events_val[i].fact,
		    now -
			(usec_t)m->events.events_val[i].age_ms * USEC_PER_MSEC);
	if (m->listed)
		lacks = take_list(e, host, m, now);
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

/* Answers an ask for a call. */
static void
answer(struct engine_pool *e, const char *from, uint64_t host,
    const peer_place_ask *m, usec_t now)
{
	struct placer *p = e->placer;
	usec_t delay = now - arrival_earliest(&p->arrival, now);
	struct placed_call *c = find_call(e, host, m->call);

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
	struct engine_pool *e = NULL;

	if (from == NULL)
		from = "";
	p->counts.asks++;
	if (has_domain(p, m->news.service, m->news.domain))
		e = pool_of(p, m->news.service, m->news.domain, now);
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
	struct engine_pool *e = NULL;

	if (has_domain(p, m->service, m->domain))
		e = pool_of(p, m->service, m->domain, now);
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
