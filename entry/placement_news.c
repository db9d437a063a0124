/* The messages to placers. */
#include "entry/placements_state.h"

#include <stdlib.h>

/* Time in which news are gathered. */
#define NEWS_DELAY (20 * USEC_PER_MSEC)

static u_int
ms_of(usec_t t)
{
	return (u_int)(t / USEC_PER_MSEC);
}

void
placements_add_fact(
    struct placements *p, struct engine_group *g, const peer_place_fact *f)
{
	usec_t now = clock_now();
	/* The age is the time of the event until it is sent. */
	peer_place_event e = { ms_of(now), *f };

	g_array_append_val(g->events, e);
	if (p->flush_at != 0)
		return;
	p->flush_at = now + NEWS_DELAY;
	placements_wake_by(p, p->flush_at, now);
}

void
placements_add_call_fact(
    struct placements *p, const struct engine_call *c, peer_place_kind kind)
{
	peer_place_fact f = { .kind = kind };

	f.peer_place_fact_u.call = c->number;
	placements_add_fact(p, c->group, &f);
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
void
placements_tell_sent(struct placements *p, struct engine_call *c)
{
	peer_place_fact f = { .kind = PEER_PLACE_SENT };
	peer_place_sent *m = &f.peer_place_fact_u.sent;

	m->call = c->number;
	m->target = str_dup(str_from(c->target));
	m->size = size_of(&c->request);
	m->left_ms = left_ms(c->request.deadline, clock_now());
	m->max_gap_ms = ms_of(c->request.max_gap);
	placements_add_fact(p, c->group, &f);
	if (c->begun)
		placements_add_call_fact(p, c, PEER_PLACE_BEGUN);
}

/* A new placer is told all calls, as it knows none. */
void
placements_tell_all(struct placements *p, struct engine_group *g)
{
	GHashTableIter it;
	gpointer v;

	g_array_set_size(g->events, 0);
	g_hash_table_iter_init(&it, p->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct engine_call *c = v;

		if (c->group == g && *c->target != '\0')
			placements_tell_sent(p, c);
	}
	g->listed_at = clock_now();
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
		placer_news(p->own, NULL, p->o.incarnation, m);
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
	g->events = placements_new_events();
	while (g->has_placer && events->len > 0) {
		peer_place_news m = { 0 };

		take_events(g, events, &m);
		send_news(p, g, &m);
		drop_events(events, &m);
	}
}

void
placements_flush(struct placements *p)
{
	g_autoptr(GPtrArray) groups = placements_groups(p);

	p->flush_at = 0;
	for (guint i = 0; i < groups->len; i++)
		flush_group(p, groups->pdata[i]);
}

void
placements_send_list(struct placements *p, struct engine_group *g, usec_t now)
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

void
placements_query(struct placements *p, struct engine_group *g, usec_t now)
{
	g_autoptr(GArray) waiting = g_array_new(FALSE, FALSE, sizeof(u_quad_t));
	peer_place_news m = { .service = g->service, .domain = g->domain };
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->waiting);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		struct engine_call *c = v;
		u_quad_t number = c->number;

		if (c->group != g || !c->ask.queued ||
		    waiting->len == PEER_PLACE_CALLS_MAX)
			continue;
		c->ask.seen_at = now;
		c->sent_at = now;
		g_array_append_val(waiting, number);
	}
	m.waiting.waiting_len = waiting->len;
	m.waiting.waiting_val = (u_quad_t *)(void *)waiting->data;
	if (waiting->len > 0)
		send_news(p, g, &m);
}

void
placements_send_ask(struct placements *p, struct engine_group *g,
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
		m->latest_ms = left_ms(c->ask.latest, now);
		m->max_gap_ms = ms_of(q->max_gap);
		m->software = (char *)q->version;
		m->input_domain = (char *)q->input_domain;
		m->input_bytes = q->input_bytes;
		for (size_t i = 0; i < q->n_tried; i++)
			tried[i] = (char *)q->tried[i];
		m->tried.tried_len = (u_int)q->n_tried;
		m->tried.tried_val = tried;
	}
	m->news.service = g->service;
	m->news.domain = g->domain;
	if (g->is_self) {
		placer_ask(p->own, NULL, p->o.incarnation, m);
	} else {
		/* A host that may not answer would lose the news. */
		if (c != NULL)
			take_events(g, g->events, &m->news);
		rpc_send(p->o.rpc, g->placer, &body);
		drop_events(g->events, &m->news);
	}
	free(m->size.parts.parts_val);
}
