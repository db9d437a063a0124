/* The calls to engines that a placer knows, as hosts tell of them. */
#include "entry/placer_state.h"

#include <stdlib.h>
#include <string.h>

/* Messages that are on their way may have passed a list of calls. */
#define LIST_MARGIN (500 * USEC_PER_MSEC)

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

GHashTable *
placer_new_calls(void)
{
	return g_hash_table_new_full(hash_call, equal_calls, free, NULL);
}

struct placed_call *
placer_find_call(const struct engine_pool *e, uint64_t host, uint64_t number)
{
	return g_hash_table_lookup(
	    e->calls, &(struct placed_call){ .host = host, .number = number });
}

void
placer_read_size(const peer_prompt_size *m, struct placement_request *q)
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

struct placed_call *
placer_add_call(
    struct engine_pool *e, const char *from, uint64_t host, uint64_t number)
{
	struct placed_call *c = xcalloc(1, sizeof(*c));

	c->host = host;
	c->number = number;
	g_strlcpy(c->from, from, sizeof(c->from));
	g_hash_table_add(e->calls, c);
	return c;
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

	if (placer_find_call(e, host, m->call) != NULL)
		return;
	c = placer_add_call(e, "", host, m->call);
	c->decided = true;
	c->heard_at = now;
	g_strlcpy(c->decision.target, m->target, sizeof(c->decision.target));
	placer_read_size(&m->size, &q);
	placement_sent(e->placement, &q, m->target, now);
}

void
placer_take_fact(
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
	c = placer_find_call(e, host, m->peer_place_fact_u.call);
	if (m->kind == PEER_PLACE_BEGUN) {
		note_begun(e, c, at);
		return;
	}
	if (c != NULL && m->kind == PEER_PLACE_COMPLETED)
		knows(e, c->decision.target, at);
	end_call(e, c, m->kind, at);
}

bool
placer_take_list(
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
		struct placed_call *c = placer_find_call(e, host, x->call);

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
