#include "entry/coordinator_state.h"
#include "base/hash.h"
#include "base/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* How long an answered ask is told again. */
#define REPLY_RETENTION       (4 * USEC_PER_SEC)
/* Part of the room that is used: sizes are rough, and frees take their time. */
#define USABLE_SPACE_FRACTION 0.95
/*
 * After a change of the hosts two homes may send to the same targets; a call
 * may then wait at its target, and its inputs are kept until it ends.
 */
#define HANDOVER_TIME         (3 * USEC_PER_SEC)
/* Inputs are used so long before they expire at their makers. */
#define INPUT_MARGIN          (400 * USEC_PER_MSEC)
/* A piece that is late already waits so long for room; then it is refused. */
#define LATE_WAIT             (10 * USEC_PER_SEC)
/* A refused caller comes back when what waits now is done, spread by half. */
#define RETRY_JITTER_MS       400

static void
free_op(gpointer p)
{
	struct coordinator_job *a = p;

	free(a->key);
	free(a->from);
	buf_free(&a->id);
	buf_free(&a->piece_key);
	buf_free(&a->inputs);
	free(a);
}

static void
free_pool(gpointer p)
{
	struct pool *x = p;

	batch_free(&x->batch);
	free(x->service);
	free(x);
}

static void
free_pending_frees(gpointer p)
{
	struct pending_frees *u = p;

	buf_free(&u->handles);
	free(u);
}

void
coordinator_set_routes(struct coordinator *h, struct routes *routes)
{
	GHashTableIter it;
	gpointer v;

	routes_unref(h->routes);
	h->routes = routes_ref(routes);
	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;
		int at = routes_find_service(routes, str_from(p->service));

		if (at >= 0 &&
		    routes_service_at(routes, (uint32_t)at)->has_pool)
			p->batch.shape =
			    routes_service_at(routes, (uint32_t)at)->pool;
	}
}

static struct pool *
pool_of(struct coordinator *h, const char *service)
{
	struct pool *p = g_hash_table_lookup(h->pools, service);
	const struct service *s;
	int at;

	if (p != NULL || h->routes == NULL)
		return p;
	at = routes_find_service(h->routes, str_from(service));
	if (at < 0)
		return NULL;
	s = routes_service_at(h->routes, (uint32_t)at);
	if (!s->has_pool)
		return NULL;
	p = xcalloc(1, sizeof(*p));
	p->coordinator = h;
	p->service = str_dup(str_from(service));
	batch_init(&p->batch, &s->pool);
	g_strlcpy(p->coordinator_addr, h->o.find_coordinator(h->o.arg, service),
	    sizeof(p->coordinator_addr));
	p->handover_until = clock_now() + HANDOVER_TIME;
	g_hash_table_insert(h->pools, p->service, p);
	return p;
}

/* Tells the asking host where the ask stands. */
static void
send_reply(struct coordinator *h, const struct coordinator_job *a)
{
	peer_piece_made made[PEER_PIECES_MAX];
	peer_body body = { .kind = PEER_PIECE_REPLY };
	peer_piece_reply *r = &body.peer_body_u.piece_reply;

	r->ask = a->number;
	r->refused = a->refused;
	r->moved = a->moved;
	r->wait_ms = a->wait_ms;
	r->made.made_val = made;
	for (uint32_t i = 0; a->replied && !a->refused && !a->moved && i < a->n;
	     i++) {
		made[i].piece = a->pieces[i];
		made[i].outcome = (int)a->results[i].outcome;
		made[i].handle = (char *)a->results[i].handle;
		r->made.made_len++;
	}
	if (a->from != NULL)
		rpc_send(h->o.rpc, a->from, &body);
	else
		h->o.reply(h->o.arg, r);
}

static void
on_local_replies(evutil_socket_t fd, short what, void *arg)
{
	struct coordinator *h = arg;
	g_autoptr(GPtrArray) v = h->local_replies;

	(void)fd;
	(void)what;
	h->local_replies = g_ptr_array_new();
	for (guint i = 0; i < v->len; i++)
		send_reply(h, v->pdata[i]);
}

struct coordinator *
coordinator_new(const struct coordinator_opts *o)
{
	struct coordinator *h = xcalloc(1, sizeof(*h));

	h->o = *o;
	h->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	h->asks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_op);
	h->calls = g_hash_table_new(NULL, NULL);
	h->pending_frees = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_pending_frees);
	h->last_answers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	result_space_init(&h->result_space);
	h->local_replies = g_ptr_array_new();
	h->local_reply_event =
	    event_new(o->base, -1, EV_PERSIST, on_local_replies, h);
	return h;
}

/* Frees the results of an ask that is not answered with them. */
static void
release_made(struct coordinator *h, struct coordinator_job *a)
{
	if (a->released)
		return;
	a->released = true;
	for (uint32_t i = 0; i < a->n; i++) {
		if (a->has_result[i] && a->results[i].outcome == PIECE_DONE)
			coordinator_release(h, str_from(a->results[i].handle));
	}
}

void
coordinator_finish_job(
    struct coordinator *h, struct coordinator_job *a, usec_t now)
{
	if (a->replied)
		return;
	a->replied = true;
	a->replied_at = now;
	if (a->pool != NULL)
		batch_remove_owner(&a->pool->batch, a);
	if (a->refused || a->moved || a->cancelled)
		release_made(h, a);
	if (a->cancelled)
		return;
	if (a->from != NULL) {
		send_reply(h, a);
		return;
	}
	g_ptr_array_add(h->local_replies, a);
	event_active(h->local_reply_event, EV_TIMEOUT, 0);
}

static struct batch_item
new_item(struct coordinator_job *a, const peer_piece_ask *x, usec_t now)
{
	return (struct batch_item){
		.owner = a,
		.soft_deadline = now + (usec_t)x->aim_left_ms * USEC_PER_MSEC,
		.deadline = a->deadline,
		.rank = x->rank,
		.bytes = a->bytes,
		.domain = a->domain,
		.queued = now,
	};
}

static bool
is_free(const struct target_load *t, usec_t now)
{
	return t->in_flight == 0 && now >= t->aside_until;
}

static uint32_t
count_usable(const GPtrArray *all, usec_t now)
{
	uint32_t n = 0;

	for (guint i = 0; all != NULL && i < all->len; i++)
		n += now >=
		    ((const struct target_load *)all->pdata[i])->aside_until;
	return n;
}

/*
 * Whether the pieces will be made in time; else the ask is refused.  Work that
 * has begun is not refused for want of room: its earlier stages would be lost.
 */
static bool
admit(struct coordinator *h, struct coordinator_job *a,
    const struct batch_item *it, usec_t now)
{
	uint32_t usable = a->pool == NULL
	    ? 0
	    : count_usable(loads_usable(h->o.loads, a->pool->service), now);
	usec_t wait = 0;

	if (usable > 0)
		wait = batch_estimate(&a->pool->batch, usable, it, now) - now;
	if (usable > 0 && (a->inputs.n > 0 || now + wait < a->deadline))
		return true;
	a->refused = true;
	a->wait_ms = usable == 0
	    ? 1000
	    : (uint32_t)(wait / USEC_PER_MSEC / 2 +
		  hash_u64(str_of(&a->id), 0) % RETRY_JITTER_MS);
	h->counts.refused++;
	log_text(LOG_LVL_INFO, "stage-refused",
	    "request %.*s: %u pieces wait, %u usable targets, %" PRId64
	    " ms until they are made",
	    STR_FMT(str_of(&a->id)),
	    a->pool != NULL ? a->pool->batch.items->len : 0, usable,
	    wait / USEC_PER_MSEC);
	return false;
}

/* 0 is anywhere. */
static uint32_t
domain_hash(const char *domain)
{
	return *domain != '\0' ? (uint32_t)hash_u64(str_from(domain), 9) | 1
			       : 0;
}

/* When the inputs of a piece may be gone at their makers. */
static usec_t
input_expiry(const peer_piece_ask *x, const struct pool *p, usec_t now)
{
	if (*x->inputs == '\0' || p == NULL)
		return INT64_MAX;
	return now + p->batch.shape.result_ttl - INPUT_MARGIN;
}

/* When a piece that still waits is given up. */
static usec_t
latest_start(const peer_piece_ask *x, const struct pool *p, usec_t now)
{
	usec_t at = now + (usec_t)x->left_ms * USEC_PER_MSEC;
	usec_t late = now + (usec_t)x->aim_left_ms * USEC_PER_MSEC + LATE_WAIT;

	if (late < now + LATE_WAIT / 2)
		late = now + LATE_WAIT / 2;
	if (late < at)
		at = late;
	if (input_expiry(x, p, now) < at)
		at = input_expiry(x, p, now);
	return at;
}

static struct coordinator_job *
new_op(struct coordinator *h, char *key, const char *from,
    const peer_piece_ask *x, struct pool *p, usec_t now)
{
	struct coordinator_job *a = xcalloc(1, sizeof(*a));

	a->key = key;
	a->from = from != NULL ? str_dup(str_from(from)) : NULL;
	a->number = x->ask;
	a->pool = p;
	a->stage = x->stage;
	a->bytes = x->bytes;
	a->domain = domain_hash(x->domain);
	a->deadline = latest_start(x, p, now);
	a->input_expiry = a->deadline == input_expiry(x, p, now);
	a->n = x->pieces.pieces_len;
	a->missing = a->n;
	buf_put(&a->id, str_from(x->id));
	buf_put(&a->piece_key, str_from(x->key));
	buf_put(&a->inputs, str_from(x->inputs));
	memcpy(a->pieces, x->pieces.pieces_val, a->n * sizeof(a->pieces[0]));
	g_hash_table_insert(h->asks, a->key, a);
	return a;
}

static void
cancel_job(struct coordinator *h, struct coordinator_job *a, usec_t now)
{
	if (a == NULL)
		return;
	a->cancelled = true;
	if (a->replied)
		release_made(h, a); /* the reply crossed it */
	else
		coordinator_finish_job(h, a, now);
}

void
coordinator_submit(
    struct coordinator *h, const char *from, const peer_piece_ask *x)
{
	usec_t now = clock_now();
	char *key = g_strdup_printf(
	    "%s/%" PRIu64, from != NULL ? from : "", (uint64_t)x->ask);
	struct coordinator_job *a = g_hash_table_lookup(h->asks, key);
	struct batch_item it;
	struct pool *p;

	if (a != NULL && a->moved && from == NULL) {
		/* It has come back: there is no other home. */
		g_hash_table_remove(h->asks, key);
		a = NULL;
	}
	if (a != NULL || x->cancelled) {
		free(key);
		if (x->cancelled)
			cancel_job(h, a, now);
		else
			send_reply(h, a);
		return;
	}
	p = pool_of(h, x->service);
	a = new_op(h, key, from, x, p, now);
	/* Its own asks come back only if there is no other home. */
	a->moved = h->draining && from != NULL;
	it = new_item(a, x, now);
	if (a->moved || !admit(h, a, &it, now)) {
		coordinator_finish_job(h, a, now);
		return;
	}
	for (; it.piece < a->n; it.piece++)
		batch_add(&p->batch, &it);
	if (from != NULL)
		send_reply(h, a);
	coordinator_start_calls(h, p, now);
}

/* Bytes that a target has for further results. */
static uint64_t
room_left(
    struct coordinator *h, const struct pool *p, const char *addr, usec_t now)
{
	uint64_t room = (uint64_t)(USABLE_SPACE_FRACTION *
	    (double)p->batch.shape.result_bytes);
	uint64_t used = result_space_used(&h->result_space, addr, now);

	return used < room ? room - used : 0;
}

/*
 * Fills the next call of a target, one of so many that are free; with
 * only_near nothing that is best made in another failure domain.  False if
 * there is nothing for it.
 */
static bool
serve_target(struct coordinator *h, struct pool *p, struct target_load *t,
    uint32_t free_ones, bool only_near, usec_t now)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));

	batch_take(&p->batch, now, free_ones,
	    &(struct batch_target){
		.domain = domain_hash(t->entry.domain),
		.free_bytes = room_left(h, p, t->entry.addr, now),
		.local_only = only_near,
	    },
	    items);
	if (items->len == 0) {
		g_array_unref(items);
		return false;
	}
	coordinator_call(h, p, t, items, now);
	return true;
}

/* The time of an ask is over, or that of its inputs: these are made anew. */
static void
give_up(struct coordinator *h, struct coordinator_job *a, uint32_t piece,
    usec_t now)
{
	a->refused = !a->input_expiry;
	a->results[piece].outcome = PIECE_INPUT_LOST;
	release_made(h, a);
	coordinator_finish_job(h, a, now);
}

/* Drops the asks whose time is over. */
static void
refuse_overdue(struct coordinator *h, struct pool *p, usec_t now)
{
	for (guint i = 0; i < p->batch.items->len;) {
		const struct batch_item *it =
		    &g_array_index(p->batch.items, struct batch_item, i);
		struct coordinator_job *a = it->owner;

		if (now < it->deadline) {
			i++;
			continue;
		}
		give_up(h, a, it->piece, now); /* removes all its pieces */
		i = 0;
	}
}

/*
 * Serves each target that is free, first with what lies near it: so what has
 * a free target in its own failure domain does not go to another one.
 */
void
coordinator_start_calls(struct coordinator *h, struct pool *p, usec_t now)
{
	const GPtrArray *all = loads_usable(h->o.loads, p->service);
	uint32_t free_ones = 0;

	for (guint i = 0; all != NULL && i < all->len; i++)
		free_ones += is_free(all->pdata[i], now);
	for (int pass = 0; all != NULL && pass < 2; pass++) {
		for (guint i = 0; i < all->len; i++) {
			struct target_load *t = all->pdata[i];

			if (p->batch.items->len == 0)
				return;
			if (is_free(t, now) &&
			    serve_target(h, p, t, free_ones, pass == 0, now))
				free_ones--;
		}
	}
}

/* All calls that take them have fetched the inputs of an ask. */
static void
release_inputs(struct coordinator *h, struct coordinator_job *a)
{
	a->release_inputs_at = 0;
	h->o.inputs_fetched(h->o.arg, str_of(&a->inputs));
}

/* True while an ask is not answered. */
static bool
sweep_jobs(struct coordinator *h, usec_t now)
{
	GHashTableIter it;
	gpointer v;
	bool waiting = false;

	g_hash_table_iter_init(&it, h->asks);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct coordinator_job *a = v;

		waiting = waiting || !a->replied;
		if (a->replied && a->in_calls == 0 &&
		    now - a->replied_at > REPLY_RETENTION)
			g_hash_table_iter_remove(&it);
		else if (a->release_inputs_at != 0 &&
		    now >= a->release_inputs_at)
			release_inputs(h, a);
	}
	return waiting;
}

bool
coordinator_tick(struct coordinator *h, usec_t now)
{
	GHashTableIter it;
	gpointer p;
	bool waiting;

	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		refuse_overdue(h, p, now);
		coordinator_start_calls(h, p, now);
	}
	waiting = sweep_jobs(h, now);
	coordinator_flush_frees(h, now);
	return waiting;
}

void
coordinator_hosts_changed(struct coordinator *h, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;
		const char *owner = h->o.find_coordinator(h->o.arg, p->service);

		if (strcmp(owner, p->coordinator_addr) == 0)
			continue;
		g_strlcpy(
		    p->coordinator_addr, owner, sizeof(p->coordinator_addr));
		p->handover_until = now + HANDOVER_TIME;
	}
}

void
coordinator_drain(struct coordinator *h)
{
	GHashTableIter it;
	gpointer v;
	usec_t now = clock_now();

	h->draining = true;
	g_hash_table_iter_init(&it, h->asks);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct coordinator_job *a = v;

		if (a->replied || a->started > 0)
			continue;
		a->moved = true;
		coordinator_finish_job(h, a, now);
	}
}

struct coordinator_counts
coordinator_counts(const struct coordinator *h)
{
	struct coordinator_counts c = h->counts;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &p))
		c.waiting += ((const struct pool *)p)->batch.items->len;
	return c;
}

void
coordinator_free(struct coordinator *h)
{
	coordinator_cancel_calls(h);
	g_hash_table_destroy(h->calls);
	g_hash_table_destroy(h->asks);
	g_hash_table_destroy(h->pools);
	g_hash_table_destroy(h->pending_frees);
	g_hash_table_destroy(h->last_answers);
	event_free(h->local_reply_event);
	g_ptr_array_unref(h->local_replies);
	result_space_free(&h->result_space);
	routes_unref(h->routes);
	free(h);
}
