#include "entry/home_state.h"
#include "base/hash.h"
#include "base/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* How long an answered ask is told again. */
#define KEEP_REPLY      (4 * USEC_PER_SEC)
/* Part of the room that is used: sizes are rough, and frees take their time. */
#define ROOM_SHARE      0.95
/*
 * After a change of the hosts two homes may send to the same targets; a call
 * may then wait at its target, and its inputs are kept until it ends.
 */
#define UNSETTLED_TIME  (3 * USEC_PER_SEC)
/* Inputs are used so long before they expire at their makers. */
#define INPUT_MARGIN    (400 * USEC_PER_MSEC)
/* A piece that is late already waits so long for room; then it is refused. */
#define LATE_PATIENCE   (10 * USEC_PER_SEC)
/* A refused caller comes back when what waits now is done, spread by half. */
#define RETRY_SPREAD_MS 400

static void
free_ask(gpointer p)
{
	struct ask *a = p;

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
free_used(gpointer p)
{
	struct used *u = p;

	buf_free(&u->handles);
	free(u);
}

void
home_routes(struct home *h, struct routes *routes)
{
	GHashTableIter it;
	gpointer v;

	routes_unref(h->routes);
	h->routes = routes_ref(routes);
	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;
		int at = routes_service(routes, str_from(p->service));

		if (at >= 0 &&
		    routes_service_at(routes, (uint32_t)at)->has_pool)
			p->batch.shape =
			    routes_service_at(routes, (uint32_t)at)->pool;
	}
}

static struct pool *
pool_of(struct home *h, const char *service)
{
	struct pool *p = g_hash_table_lookup(h->pools, service);
	const struct service *s;
	int at;

	if (p != NULL || h->routes == NULL)
		return p;
	at = routes_service(h->routes, str_from(service));
	if (at < 0)
		return NULL;
	s = routes_service_at(h->routes, (uint32_t)at);
	if (!s->has_pool)
		return NULL;
	p = xcalloc(1, sizeof(*p));
	p->home = h;
	p->service = str_dup(str_from(service));
	batch_init(&p->batch, &s->pool);
	g_strlcpy(p->owner, h->o.owner(h->o.arg, service), sizeof(p->owner));
	p->unsettled_until = clock_now() + UNSETTLED_TIME;
	g_hash_table_insert(h->pools, p->service, p);
	return p;
}

/* Tells the asking host where the ask stands. */
static void
send_reply(struct home *h, const struct ask *a)
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
on_say(evutil_socket_t fd, short what, void *arg)
{
	struct home *h = arg;
	g_autoptr(GPtrArray) v = h->unsaid;

	(void)fd;
	(void)what;
	h->unsaid = g_ptr_array_new();
	for (guint i = 0; i < v->len; i++)
		send_reply(h, v->pdata[i]);
}

struct home *
home_new(const struct home_opts *o)
{
	struct home *h = xcalloc(1, sizeof(*h));

	h->o = *o;
	h->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	h->asks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_ask);
	h->calls = g_hash_table_new(NULL, NULL);
	h->used =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_used);
	h->last =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	room_init(&h->room);
	h->unsaid = g_ptr_array_new();
	h->say = event_new(o->base, -1, EV_PERSIST, on_say, h);
	return h;
}

/* Frees the results of an ask that is not answered with them. */
static void
release_made(struct home *h, struct ask *a)
{
	if (a->released)
		return;
	a->released = true;
	for (uint32_t i = 0; i < a->n; i++) {
		if (a->made[i] && a->results[i].outcome == PIECE_MADE)
			home_release(h, str_from(a->results[i].handle));
	}
}

void
home_finish(struct home *h, struct ask *a, usec_t now)
{
	if (a->replied)
		return;
	a->replied = true;
	a->replied_at = now;
	if (a->pool != NULL)
		batch_drop(&a->pool->batch, a);
	if (a->refused || a->moved || a->cancelled)
		release_made(h, a);
	if (a->cancelled)
		return;
	if (a->from != NULL) {
		send_reply(h, a);
		return;
	}
	g_ptr_array_add(h->unsaid, a);
	event_active(h->say, EV_TIMEOUT, 0);
}

static struct batch_item
make_item(struct ask *a, const peer_piece_ask *x, usec_t now)
{
	return (struct batch_item){
		.owner = a,
		.aim = now + (usec_t)x->aim_left_ms * USEC_PER_MSEC,
		.deadline = a->deadline,
		.rank = x->rank,
		.bytes = a->bytes,
		.domain = a->domain,
		.queued = now,
	};
}

static bool
is_free(const struct target *t, usec_t now)
{
	return t->in_flight == 0 && now >= t->aside_until;
}

static uint32_t
usable_targets(const GPtrArray *all, usec_t now)
{
	uint32_t n = 0;

	for (guint i = 0; all != NULL && i < all->len; i++)
		n += now >= ((const struct target *)all->pdata[i])->aside_until;
	return n;
}

/*
 * Whether the pieces will be made in time; else the ask is refused.  Work that
 * has begun is not refused for want of room: its earlier stages would be lost.
 */
static bool
admit(struct home *h, struct ask *a, const struct batch_item *it, usec_t now)
{
	uint32_t usable = a->pool == NULL
	    ? 0
	    : usable_targets(loads_of(h->o.loads, a->pool->service), now);
	usec_t wait = 0;

	if (usable > 0)
		wait = batch_expect(&a->pool->batch, usable, it, now) - now;
	if (usable > 0 && (a->inputs.n > 0 || now + wait < a->deadline))
		return true;
	a->refused = true;
	a->wait_ms = usable == 0
	    ? 1000
	    : (uint32_t)(wait / USEC_PER_MSEC / 2 +
		  hash_u64(str_of(&a->id), 0) % RETRY_SPREAD_MS);
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
inputs_expire(const peer_piece_ask *x, const struct pool *p, usec_t now)
{
	if (*x->inputs == '\0' || p == NULL)
		return INT64_MAX;
	return now + p->batch.shape.keep - INPUT_MARGIN;
}

/* When a piece that still waits is given up. */
static usec_t
latest_start(const peer_piece_ask *x, const struct pool *p, usec_t now)
{
	usec_t at = now + (usec_t)x->left_ms * USEC_PER_MSEC;
	usec_t late =
	    now + (usec_t)x->aim_left_ms * USEC_PER_MSEC + LATE_PATIENCE;

	if (late < now + LATE_PATIENCE / 2)
		late = now + LATE_PATIENCE / 2;
	if (late < at)
		at = late;
	if (inputs_expire(x, p, now) < at)
		at = inputs_expire(x, p, now);
	return at;
}

static struct ask *
new_ask(struct home *h, char *key, const char *from, const peer_piece_ask *x,
    struct pool *p, usec_t now)
{
	struct ask *a = xcalloc(1, sizeof(*a));

	a->key = key;
	a->from = from != NULL ? str_dup(str_from(from)) : NULL;
	a->number = x->ask;
	a->pool = p;
	a->stage = x->stage;
	a->bytes = x->bytes;
	a->domain = domain_hash(x->domain);
	a->deadline = latest_start(x, p, now);
	a->inputs_gone = a->deadline == inputs_expire(x, p, now);
	a->n = x->pieces.pieces_len;
	a->left = a->n;
	buf_put(&a->id, str_from(x->id));
	buf_put(&a->piece_key, str_from(x->key));
	buf_put(&a->inputs, str_from(x->inputs));
	memcpy(a->pieces, x->pieces.pieces_val, a->n * sizeof(a->pieces[0]));
	g_hash_table_insert(h->asks, a->key, a);
	return a;
}

static void
cancel_ask(struct home *h, struct ask *a, usec_t now)
{
	if (a == NULL)
		return;
	a->cancelled = true;
	if (a->replied)
		release_made(h, a); /* the reply crossed it */
	else
		home_finish(h, a, now);
}

void
home_ask(struct home *h, const char *from, const peer_piece_ask *x)
{
	usec_t now = clock_now();
	char *key = g_strdup_printf(
	    "%s/%" PRIu64, from != NULL ? from : "", (uint64_t)x->ask);
	struct ask *a = g_hash_table_lookup(h->asks, key);
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
			cancel_ask(h, a, now);
		else
			send_reply(h, a);
		return;
	}
	p = pool_of(h, x->service);
	a = new_ask(h, key, from, x, p, now);
	/* Its own asks come back only if there is no other home. */
	a->moved = h->draining && from != NULL;
	it = make_item(a, x, now);
	if (a->moved || !admit(h, a, &it, now)) {
		home_finish(h, a, now);
		return;
	}
	for (; it.piece < a->n; it.piece++)
		batch_add(&p->batch, &it);
	if (from != NULL)
		send_reply(h, a);
	home_serve(h, p, now);
}

/* Bytes that a target has for further results. */
static uint64_t
room_left(struct home *h, const struct pool *p, const char *addr, usec_t now)
{
	uint64_t room = (uint64_t)(ROOM_SHARE * (double)p->batch.shape.room);
	uint64_t used = room_used(&h->room, addr, now);

	return used < room ? room - used : 0;
}

/*
 * Fills the next call of a target, one of so many that are free; with
 * only_near nothing that is best made in another failure domain.  False if
 * there is nothing for it.
 */
static bool
serve_target(struct home *h, struct pool *p, struct target *t,
    uint32_t free_ones, bool only_near, usec_t now)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));

	batch_take(&p->batch, now, free_ones,
	    &(struct batch_target){
		.domain = domain_hash(t->entry.domain),
		.room = room_left(h, p, t->entry.addr, now),
		.only_near = only_near,
	    },
	    items);
	if (items->len == 0) {
		g_array_unref(items);
		return false;
	}
	home_call(h, p, t, items, now);
	return true;
}

/* The time of an ask is over, or that of its inputs: these are made anew. */
static void
give_up(struct home *h, struct ask *a, uint32_t piece, usec_t now)
{
	a->refused = !a->inputs_gone;
	a->results[piece].outcome = PIECE_GONE;
	release_made(h, a);
	home_finish(h, a, now);
}

/* Drops the asks whose time is over. */
static void
drop_late(struct home *h, struct pool *p, usec_t now)
{
	for (guint i = 0; i < p->batch.items->len;) {
		const struct batch_item *it =
		    &g_array_index(p->batch.items, struct batch_item, i);
		struct ask *a = it->owner;

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
home_serve(struct home *h, struct pool *p, usec_t now)
{
	const GPtrArray *all = loads_of(h->o.loads, p->service);
	uint32_t free_ones = 0;

	for (guint i = 0; all != NULL && i < all->len; i++)
		free_ones += is_free(all->pdata[i], now);
	for (int pass = 0; all != NULL && pass < 2; pass++) {
		for (guint i = 0; i < all->len; i++) {
			struct target *t = all->pdata[i];

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
release_inputs(struct home *h, struct ask *a)
{
	a->fetched_at = 0;
	h->o.fetched(h->o.arg, str_of(&a->inputs));
}

/* True while an ask is not answered. */
static bool
sweep_asks(struct home *h, usec_t now)
{
	GHashTableIter it;
	gpointer v;
	bool waiting = false;

	g_hash_table_iter_init(&it, h->asks);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct ask *a = v;

		waiting = waiting || !a->replied;
		if (a->replied && a->in_calls == 0 &&
		    now - a->replied_at > KEEP_REPLY)
			g_hash_table_iter_remove(&it);
		else if (a->fetched_at != 0 && now >= a->fetched_at)
			release_inputs(h, a);
	}
	return waiting;
}

bool
home_tick(struct home *h, usec_t now)
{
	GHashTableIter it;
	gpointer p;
	bool waiting;

	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		drop_late(h, p, now);
		home_serve(h, p, now);
	}
	waiting = sweep_asks(h, now);
	home_flush_used(h, now);
	return waiting;
}

void
home_unsettle(struct home *h, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;
		const char *owner = h->o.owner(h->o.arg, p->service);

		if (strcmp(owner, p->owner) == 0)
			continue;
		g_strlcpy(p->owner, owner, sizeof(p->owner));
		p->unsettled_until = now + UNSETTLED_TIME;
	}
}

void
home_drain(struct home *h)
{
	GHashTableIter it;
	gpointer v;
	usec_t now = clock_now();

	h->draining = true;
	g_hash_table_iter_init(&it, h->asks);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct ask *a = v;

		if (a->replied || a->started > 0)
			continue;
		a->moved = true;
		home_finish(h, a, now);
	}
}

struct home_counts
home_counts(const struct home *h)
{
	struct home_counts c = h->counts;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &p))
		c.waiting += ((const struct pool *)p)->batch.items->len;
	return c;
}

void
home_free(struct home *h)
{
	home_end_calls(h);
	g_hash_table_destroy(h->calls);
	g_hash_table_destroy(h->asks);
	g_hash_table_destroy(h->pools);
	g_hash_table_destroy(h->used);
	g_hash_table_destroy(h->last);
	event_free(h->say);
	g_ptr_array_unref(h->unsaid);
	room_clear(&h->room);
	routes_unref(h->routes);
	free(h);
}
