#include "entry/placements.h"
#include "base/log.h"
#include "kernel/overload/placement_ask.h"
#include "kernel/overload/spill.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Time in which news are gathered. */
#define NEWS_DELAY    (20 * USEC_PER_MSEC)
/* How often a placer gets a list of the calls. */
#define LIST_INTERVAL (1 * USEC_PER_SEC)
/* How often the choice of a placer is checked. */
#define CHOICE_TIME   (250 * USEC_PER_MSEC)
/*
 * Share of the caller's time in which a decision is waited for: the rest is
 * enough for the host's own choice.
 */
#define WAIT_SHARE    0.5
/* A wait for the placer that is ended by another cause. */
#define MIN_WAIT      (50 * USEC_PER_MSEC)

struct placer_peer {
	struct view_peer p;
	struct placer_host host; /* points to the strings of p */
};

/* The engines of a service in a domain, and the host that places there. */
struct engine_group {
	char *key;
	char service[64];
	char domain[64];
	bool has_placer;
	bool is_self;
	char placer[MAX_ADDR_BYTES]; /* RPC address */
	uint64_t incarnation;        /* of the placer */
	usec_t chosen_at;
	GArray *events; /* peer_place_event that wait to be sent */
	uint32_t n_calls;
	bool told_calls; /* the last list wasn't empty */
	usec_t listed_at;
};

struct engine_call {
	uint64_t number;
	struct engine_group *group;
	struct placement_request request;
	placement_handler handler; /* NULL: it isn't waited for */
	void *arg;
	struct placement_ask ask;
	usec_t asked_at;
	usec_t sent_at; /* the last message */
	char placer[MAX_ADDR_BYTES];
	char target[64]; /* empty: not known yet */
	bool begun;
};

struct placements {
	struct placements_opts o;
	struct placer *own;
	struct routes *routes;
	GArray *peers;       /* struct placer_peer */
	GHashTable *groups;  /* key -> struct engine_group */
	GHashTable *calls;   /* number -> struct engine_call */
	GHashTable *waiting; /* set of struct engine_call */
	struct stage_waits waits;
	uint64_t n_numbers;
	usec_t flush_at; /* 0: there are no news */
	struct event *timer;
	/* Numbers of calls to ask this host's own placer for. */
	GArray *own_asks;
	struct event *own_event;
	struct placements_counts counts;
};

static const char *const cause_names[PLACEMENT_CAUSES] = {
	[PLACEMENT_NOT_ASKED] = "not-asked",
	[PLACEMENT_BY_PLACER] = "placer",
	[PLACEMENT_NO_PLACER] = "no-placer",
	[PLACEMENT_NO_REPLY] = "no-reply",
	[PLACEMENT_NO_DECISION] = "no-decision",
	[PLACEMENT_TOO_OLD] = "too-old",
	[PLACEMENT_VETOED] = "vetoed",
};

const char *
placement_cause_name(enum placement_cause c)
{
	return cause_names[c];
}

static void
free_event(gpointer e)
{
	xdr_free((xdrproc_t)xdr_peer_place_event, e);
}

static GArray *
new_events(void)
{
	GArray *v = g_array_new(FALSE, TRUE, sizeof(peer_place_event));

	g_array_set_clear_func(v, free_event);
	return v;
}

static void
free_group(gpointer p)
{
	struct engine_group *g = p;

	g_array_unref(g->events);
	free(g->key);
	free(g);
}

static void on_timer(evutil_socket_t fd, short what, void *arg);
static void on_own_asks(evutil_socket_t fd, short what, void *arg);

struct placements *
placements_new(const struct placements_opts *o)
{
	struct placements *p = xcalloc(1, sizeof(*p));

	p->o = *o;
	p->peers = g_array_new(FALSE, TRUE, sizeof(struct placer_peer));
	p->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_group);
	p->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	p->waiting = g_hash_table_new(NULL, NULL);
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

static struct placer_peer *
find_peer(const struct placements *p, const char *rpc)
{
	for (guint i = 0; i < p->peers->len; i++) {
		struct placer_peer *x =
		    &g_array_index(p->peers, struct placer_peer, i);

		if (strcmp(x->p.rpc, rpc) == 0)
			return x;
	}
	return NULL;
}

void
placements_set_peers(struct placements *p, const GArray *peers)
{
	g_autoptr(GArray) before = p->peers;
	GHashTableIter it;
	gpointer v;

	p->peers = g_array_new(FALSE, TRUE, sizeof(struct placer_peer));
	g_array_set_size(p->peers, peers->len);
	for (guint i = 0; i < peers->len; i++) {
		struct placer_peer *x =
		    &g_array_index(p->peers, struct placer_peer, i);

		x->p = g_array_index(peers, struct view_peer, i);
		x->host = (struct placer_host){
			.id = x->p.id,
			.domain = x->p.domain,
			.capacity = x->p.capacity,
			.suspicion.incarnation = x->p.incarnation,
		};
	}
	for (guint i = 0; i < before->len; i++) {
		const struct placer_peer *old =
		    &g_array_index(before, struct placer_peer, i);
		struct placer_peer *x =
		    old->host.asked_at != 0 ? find_peer(p, old->p.rpc) : NULL;

		if (x == NULL || x->p.incarnation != old->p.incarnation)
			continue;
		x->host.suspicion = old->host.suspicion;
		x->host.unanswered = old->host.unanswered;
		x->host.asked_at = old->host.asked_at;
	}
	g_hash_table_iter_init(&it, p->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct engine_group *)v)->chosen_at = 0;
}

bool
placements_in_force(const struct placements *p)
{
	return p->o.min_hosts > 0 && p->peers->len >= p->o.min_hosts;
}

const char *
placements_domain(const struct placements *p, const char *service,
    const char *home, uint64_t random)
{
	const GPtrArray *domains = loads_domains(p->o.loads, service);
	struct spill_domain *v;
	size_t at = 0;

	if (domains == NULL || domains->len == 0)
		return "";
	if (*home == '\0')
		home = p->o.loads->domain;
	v = g_new0(struct spill_domain, domains->len);
	for (guint i = 0; i < domains->len; i++) {
		const struct loads_domain *d = domains->pdata[i];

		v[i].name = d->name;
		v[i].wait = stage_waits_get(
		    &p->waits, service, d->name, 0, clock_now());
		if (strcmp(d->name, home) == 0)
			at = i;
	}
	at = spill_choose(v, domains->len, at, 0, random);
	g_free(v);
	return ((const struct loads_domain *)domains->pdata[at])->name;
}

static struct engine_group *
group_of(struct placements *p, const char *service, const char *domain)
{
	char *key = g_strconcat(service, "\t", domain, NULL);
	struct engine_group *g = g_hash_table_lookup(p->groups, key);

	if (g != NULL) {
		free(key);
		return g;
	}
	g = xcalloc(1, sizeof(*g));
	g->key = key;
	g_strlcpy(g->service, service, sizeof(g->service));
	g_strlcpy(g->domain, domain, sizeof(g->domain));
	g->events = new_events();
	g_hash_table_insert(p->groups, g->key, g);
	return g;
}

static usec_t
earliest(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

static void
set_timer(struct placements *p, usec_t now)
{
	usec_t due = p->flush_at != 0 ? p->flush_at : INT64_MAX;
	struct timeval tv;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->waiting);
	while (g_hash_table_iter_next(&it, &v, NULL))
		due = earliest(due, ((const struct engine_call *)v)->ask.due);
	if (due == INT64_MAX)
		return;
	due = due > now ? due - now : 0;
	tv = (struct timeval){ due / USEC_PER_SEC, due % USEC_PER_SEC };
	evtimer_add(p->timer, &tv);
}

static u_int
ms_of(usec_t t)
{
	return (u_int)(t / USEC_PER_MSEC);
}

static void
add_fact(struct placements *p, struct engine_group *g, const peer_place_fact *f)
{
	usec_t now = clock_now();
	/* The age is the time of the event until it is sent. */
	peer_place_event e = { ms_of(now), *f };

	g_array_append_val(g->events, e);
	if (p->flush_at != 0)
		return;
	p->flush_at = now + NEWS_DELAY;
	set_timer(p, now);
}

static void
add_call_fact(
    struct placements *p, const struct engine_call *c, peer_place_kind kind)
{
	peer_place_fact f = { .kind = kind };

	f.peer_place_fact_u.call = c->number;
	add_fact(p, c->group, &f);
}

static u_int
left_ms(usec_t until, usec_t now)
{
	return until > now ? ms_of(until - now) : 0;
}

/* Fills the size of a request; the parts are allocated. */
static peer_prompt_size
size_of(const struct placement_request *q)
{
	peer_prompt_size m = {
		.parts.parts_len = (u_int)q->n_parts,
		.parts.parts_val = xcalloc(q->n_parts + 1, sizeof(peer_part)),
		.prompt_tokens = q->prompt_tokens,
		.output_tokens = q->output_tokens,
		.rank = q->rank,
	};

	for (size_t i = 0; i < q->n_parts; i++)
		m.parts.parts_val[i] =
		    (peer_part){ q->parts[i].hash, q->parts[i].tokens };
	return m;
}

/* Tells the placer of a call whose target this host has chosen. */
static void
tell_sent(struct placements *p, struct engine_call *c)
{
	peer_place_fact f = { .kind = PEER_PLACE_SENT };
	peer_place_sent *m = &f.peer_place_fact_u.sent;

	m->call = c->number;
	m->target = str_dup(str_from(c->target));
	m->size = size_of(&c->request);
	m->left_ms = left_ms(c->request.deadline, clock_now());
	m->max_gap_ms = ms_of(c->request.max_gap);
	add_fact(p, c->group, &f);
	if (c->begun)
		add_call_fact(p, c, PEER_PLACE_BEGUN);
}

/* A new placer is told all calls, as it knows none. */
static void
tell_all(struct placements *p, struct engine_group *g)
{
	GHashTableIter it;
	gpointer v;

	g_array_set_size(g->events, 0);
	g_hash_table_iter_init(&it, p->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct engine_call *c = v;

		if (c->group == g && *c->target != '\0')
			tell_sent(p, c);
	}
	g->listed_at = clock_now();
}

/* Returns the peer that places for a group by now, or NULL. */
static struct placer_peer *
find_placer(struct placements *p, const struct engine_group *g, usec_t now)
{
	struct placer_host *v = g_new(struct placer_host, p->peers->len + 1);
	size_t at;

	for (guint i = 0; i < p->peers->len; i++)
		v[i] = g_array_index(p->peers, struct placer_peer, i).host;
	at = placer_choose(v, p->peers->len, g->service, g->domain, now);
	g_free(v);
	return at < p->peers->len
	    ? &g_array_index(p->peers, struct placer_peer, at)
	    : NULL;
}

/* Returns the peer that places for a group, or NULL. */
static struct placer_peer *
choose_placer(struct placements *p, struct engine_group *g, usec_t now)
{
	struct placer_peer *x;

	if (g->chosen_at != 0 && now - g->chosen_at < CHOICE_TIME)
		return g->has_placer ? find_peer(p, g->placer) : NULL;
	x = find_placer(p, g, now);
	g->chosen_at = now;
	g->has_placer = x != NULL;
	if (x == NULL ||
	    (strcmp(x->p.rpc, g->placer) == 0 &&
		x->p.incarnation == g->incarnation))
		return x;
	p->counts.changes += *g->placer != '\0';
	g_strlcpy(g->placer, x->p.rpc, sizeof(g->placer));
	g->incarnation = x->p.incarnation;
	g->is_self = strcmp(x->p.id, p->o.self) == 0;
	log_text(LOG_LVL_INFO, "placer-chosen", "of %s in %s: %s", g->service,
	    *g->domain != '\0' ? g->domain : "all domains",
	    g->is_self ? "this host" : g->placer);
	tell_all(p, g);
	return x;
}

/*
 * Puts the first events into the news, as many as a message holds.  They are to
 * be dropped once it is sent.
 */
static void
take_events(struct engine_group *g, GArray *events, peer_place_news *m)
{
	u_int now = ms_of(clock_now());

	m->service = g->service;
	m->domain = g->domain;
	m->events.events_len = MIN(events->len, PEER_PLACE_EVENTS_MAX);
	m->events.events_val = (peer_place_event *)(void *)events->data;
	for (u_int i = 0; i < m->events.events_len; i++) {
		peer_place_event *e = &m->events.events_val[i];

		e->age_ms = now - e->age_ms;
	}
}

static void
drop_events(GArray *events, const peer_place_news *m)
{
	if (m->events.events_len > 0)
		g_array_remove_range(events, 0, m->events.events_len);
}

static void
send_news(
    struct placements *p, struct engine_group *g, const peer_place_news *m)
{
	peer_body body = { .kind = PEER_PLACE_NEWS };

	p->counts.news++;
	if (g->is_self) {
		placer_news(p->own, p->o.incarnation, m);
		return;
	}
	body.peer_body_u.place_news = *m;
	rpc_send(p->o.rpc, g->placer, &body);
}

static void
flush_group(struct placements *p, struct engine_group *g)
{
	/* This host's own placer may cause further events. */
	g_autoptr(GArray) events = NULL;

	if (g->events->len == 0)
		return;
	events = g->events;
	g->events = new_events();
	while (g->has_placer && events->len > 0) {
		peer_place_news m = { 0 };

		take_events(g, events, &m);
		send_news(p, g, &m);
		drop_events(events, &m);
	}
}

static void
flush(struct placements *p)
{
	GHashTableIter it;
	gpointer v;

	p->flush_at = 0;
	g_hash_table_iter_init(&it, p->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		flush_group(p, v);
}

/* Tells the placer which calls run. */
static void
send_list(struct placements *p, struct engine_group *g, usec_t now)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(peer_place_call));
	peer_place_news m = { .listed = true };
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct engine_call *c = v;
		peer_place_call x = { c->number, c->begun };

		if (c->group == g && *c->target != '\0')
			g_array_append_val(list, x);
	}
	g->listed_at = now;
	if (list->len > PEER_PLACE_CALLS_MAX ||
	    (list->len == 0 && !g->told_calls))
		return;
	g->told_calls = list->len > 0;
	flush_group(p, g);
	m.service = g->service;
	m.domain = g->domain;
	m.calls.calls_len = list->len;
	m.calls.calls_val = (peer_place_call *)(void *)list->data;
	send_news(p, g, &m);
}

/* Sends an ask, with news, to a placer; without a call only to be answered. */
static void
send_ask(struct placements *p, struct engine_group *g,
    const struct engine_call *c, usec_t now)
{
	peer_body body = { .kind = PEER_PLACE_ASK };
	peer_place_ask *m = &body.peer_body_u.place_ask;
	char *tried[LOADS_MAX_TRIED];

	m->software = (char *)"";
	m->input_domain = (char *)"";
	if (c != NULL) {
		const struct placement_request *q = &c->request;

		m->call = c->number;
		m->size = size_of(q);
		m->aim_left_ms = (int)((q->aim - now) / USEC_PER_MSEC);
		m->left_ms = left_ms(q->deadline, now);
		m->max_gap_ms = ms_of(q->max_gap);
		m->software = (char *)q->version;
		m->input_domain = (char *)q->input_domain;
		m->input_bytes = q->input_bytes;
		for (size_t i = 0; i < q->n_tried; i++)
			tried[i] = (char *)q->tried[i];
		m->tried.tried_len = (u_int)q->n_tried;
		m->tried.tried_val = tried;
	}
	if (g->is_self) {
		m->news.service = g->service;
		m->news.domain = g->domain;
		placer_ask(p->own, NULL, p->o.incarnation, m);
	} else {
		take_events(g, g->events, &m->news);
		rpc_send(p->o.rpc, g->placer, &body);
		drop_events(g->events, &m->news);
	}
	free(m->size.parts.parts_val);
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

/* Asks whether a placer answers, unless that was done a moment ago. */
static void
probe(struct placements *p, struct engine_group *g, struct placer_peer *x,
    usec_t now)
{
	if (placer_use(&x->host, now) != PLACER_PROBE)
		return;
	/* The last one is silent, too. */
	if (x->host.asked_at != 0 &&
	    placer_unanswered(&x->host, x->host.asked_at, now)) {
		log_text(LOG_LVL_NOTICE, "placer-silent", "%s, of %s", x->p.rpc,
		    g->service);
		g->chosen_at = 0;
		return;
	}
	placer_asked(&x->host, now);
	send_ask(p, g, NULL, now);
}

uint64_t
placements_ask(struct placements *p, const struct placement_call_opts *o,
    enum placement_cause *cause)
{
	usec_t now = clock_now();
	struct engine_group *g = group_of(p, o->service, o->domain);
	struct placer_peer *x = choose_placer(p, g, now);
	usec_t left =
	    (usec_t)(WAIT_SHARE * (double)(o->request->deadline - now));
	struct engine_call *c;

	*cause = PLACEMENT_NO_PLACER;
	if (x == NULL || left < MIN_WAIT)
		return 0;
	if (!g->is_self && placer_use(&x->host, now) != PLACER_WAIT) {
		probe(p, g, x, now);
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
		send_ask(p, g, c, now);
	}
	set_timer(p, now);
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
			send_ask(p, c->group, c, clock_now());
	}
}

uint64_t
placements_sent(struct placements *p, const struct placement_call_opts *o,
    const char *target)
{
	struct engine_group *g = group_of(p, o->service, o->domain);
	struct engine_call *c = new_call(p, g, o);

	choose_placer(p, g, clock_now());
	g_strlcpy(c->target, target, sizeof(c->target));
	tell_sent(p, c);
	return c->number;
}

void
placements_begun(struct placements *p, uint64_t call)
{
	struct engine_call *c = g_hash_table_lookup(p->calls, &call);

	if (c == NULL || c->begun)
		return;
	c->begun = true;
	add_call_fact(p, c, PEER_PLACE_BEGUN);
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
	add_call_fact(p, c, kind);
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
	add_fact(p, c->group, &f);
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

	add_call_fact(p, c, PEER_PLACE_CANCELLED);
	finish_ask(p, c, &r, clock_now());
}

static void
take_decision(
    struct placements *p, struct engine_call *c, const peer_place_reply *r)
{
	usec_t now = clock_now();
	struct placement_result result = {
		.verdict = (enum placement_verdict)r->verdict,
		.target = r->target,
		.wait = (usec_t)r->wait_ms * USEC_PER_MSEC,
		.placed = {
			.cause = r->verdict == PLACEMENT_NONE
			    ? PLACEMENT_NO_DECISION
			    : PLACEMENT_BY_PLACER,
			.first_event =
			    (usec_t)r->first_event_ms * USEC_PER_MSEC,
			.to_read = r->to_read,
			.reading = r->reading,
			.running = r->running,
			.known = (usec_t)r->known_ms * USEC_PER_MSEC,
		},
	};

	if (r->verdict != PLACEMENT_NONE)
		stage_waits_report(&p->waits, c->group->service,
		    c->group->domain, 0, result.wait, now);
	if (r->verdict == PLACEMENT_SEND &&
	    !placement_ask_is_current(
		&c->ask, (usec_t)r->age_ms * USEC_PER_MSEC, now)) {
		leave_to_host(p, c, PLACEMENT_TOO_OLD);
		return;
	}
	if (r->verdict == PLACEMENT_SEND)
		g_strlcpy(c->target, r->target, sizeof(c->target));
	p->counts.full += r->verdict == PLACEMENT_FULL;
	finish_ask(p, c, &result, now);
}

void
placements_reply(
    struct placements *p, const char *from, const peer_place_reply *r)
{
	uint64_t number = r->call;
	struct engine_call *c = g_hash_table_lookup(p->calls, &number);
	struct placer_peer *x = from != NULL ? find_peer(p, from) : NULL;
	usec_t now = clock_now();

	if (x != NULL)
		placer_heard(&x->host, now);
	if (c == NULL || c->handler == NULL ||
	    (from != NULL && strcmp(from, c->placer) != 0))
		return;
	if (!r->queued) {
		take_decision(p, c, r);
		return;
	}
	p->counts.queued += !c->ask.queued;
	placement_ask_queued(&c->ask, now);
	set_timer(p, now);
}

/* The placer is silent, or another one by now: the host decides. */
static void
give_up(struct placements *p, struct engine_call *c, usec_t now)
{
	struct placer_peer *x = find_peer(p, c->placer);

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

	if (strcmp(c->placer, g->placer) != 0 ||
	    placement_ask_step(&c->ask, now) == PLACEMENT_ASK_GIVE_UP) {
		give_up(p, c, now);
		return;
	}
	c->sent_at = now;
	send_ask(p, g, c, now);
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
	if (p->flush_at != 0 && now >= p->flush_at)
		flush(p);
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

/* Finds out whether the placer of a domain answers, before it is needed. */
static void
meet_placer(
    struct placements *p, const char *service, const char *domain, usec_t now)
{
	struct engine_group *g = group_of(p, service, domain);
	struct placer_peer *x = choose_placer(p, g, now);

	if (x != NULL && !g->is_self &&
	    placer_use(&x->host, now) != PLACER_WAIT)
		probe(p, g, x, now);
}

static void
meet_placers(struct placements *p, usec_t now)
{
	for (guint i = 0; p->routes != NULL && i < p->routes->services->len;
	     i++) {
		const struct service *s = routes_service_at(p->routes, i);
		const GPtrArray *domains = loads_domains(p->o.loads, s->name);

		if (!s->has_engine)
			continue;
		if (domains == NULL)
			meet_placer(p, s->name, "", now);
		for (guint k = 0; domains != NULL && k < domains->len; k++) {
			const struct loads_domain *d = domains->pdata[k];

			meet_placer(p, s->name, d->name, now);
		}
	}
}

void
placements_tick(struct placements *p, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	if (!placements_in_force(p))
		return;
	meet_placers(p, now);
	g_hash_table_iter_init(&it, p->groups);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct engine_group *g = v;

		if ((g->n_calls > 0 || g->told_calls) &&
		    now - g->listed_at >= LIST_INTERVAL &&
		    choose_placer(p, g, now) != NULL)
			send_list(p, g, now);
	}
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
	stage_waits_free(&p->waits);
	routes_unref(p->routes);
	g_array_unref(p->peers);
	g_array_unref(p->own_asks);
	event_free(p->timer);
	event_free(p->own_event);
	free(p);
}
