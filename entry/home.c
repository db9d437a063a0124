#include "entry/home.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/batch.h"
#include "kernel/room.h"
#include "platform/request.h"
#include "platform/stage.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT (300 * USEC_PER_MSEC) /* many times a round trip */
/* A call that takes so many times what it should is lost. */
#define CALL_PATIENCE   5
/* How long an answered ask is told again. */
#define KEEP_REPLY      (4 * USEC_PER_SEC)
/* Results that were used are freed together so often: room is short. */
#define FREE_EVERY      (40 * USEC_PER_MSEC)
/* Part of the room that is used: sizes are rough, and frees take their time. */
#define ROOM_SHARE      0.95
/* A call has fetched its inputs by then: links take a few ms a megabyte. */
#define FETCH_TIME      (80 * USEC_PER_MSEC)
/*
 * After a change of the hosts two homes may send to the same targets; a call
 * may then wait at its target, and its inputs are kept until it ends.
 */
#define UNSETTLED_TIME  (3 * USEC_PER_SEC)
/* Inputs are used so long before they expire at their makers. */
#define INPUT_MARGIN    (400 * USEC_PER_MSEC)
/* A piece that is late already waits so long for room; then it is refused. */
#define LATE_PATIENCE   (10 * USEC_PER_SEC)
#define MAX_PIECE_SENDS 3
/* A refused caller comes back when what waits now is done, spread by half. */
#define RETRY_SPREAD_MS 400

struct pool; /* the targets and waiting pieces of one service */

struct ask {
	char *key;  /* host and number */
	char *from; /* RPC address, or NULL */
	uint64_t number;
	struct pool *pool;
	struct buf id;
	struct buf piece_key;
	struct buf inputs;
	uint32_t stage;
	uint64_t bytes; /* of one result */
	uint32_t domain;
	usec_t deadline; /* of the start of its pieces' calls */
	uint32_t n;
	uint32_t left; /* pieces without a result */
	uint32_t in_calls;
	uint32_t started;  /* pieces that do not wait */
	usec_t fetched_at; /* when its inputs are not needed any more; 0: no */
	uint32_t pieces[PEER_PIECES_MAX];
	uint8_t sends[PEER_PIECES_MAX];
	struct piece_result results[PEER_PIECES_MAX];
	bool made[PEER_PIECES_MAX]; /* has its result */
	bool inputs_gone; /* at the deadline, which is not the caller's */
	bool replied;
	bool refused;
	bool moved;
	bool cancelled;
	bool released; /* its results are not wanted any more */
	uint32_t wait_ms;
	usec_t replied_at;
};

struct pool {
	struct home *home;
	char *service;
	struct batch batch;
	usec_t deadline_seen; /* earliest deadline that may be over */
};

struct stage_call {
	struct home *home;
	struct pool *pool;
	struct dial_call *dial;
	struct event *timer;
	char target_id[64];
	char addr[64];
	uint64_t bytes; /* reserved for its results */
	GArray *items;  /* struct batch_item; owner: struct ask */
	usec_t started;
	bool answered; /* its head came */
	int status;
	bool not_run;
};

struct used {
	struct buf handles;
	usec_t since;
};

struct home {
	struct home_opts o;
	struct routes *routes;
	GHashTable *pools; /* service -> struct pool */
	GHashTable *asks;  /* key -> struct ask */
	GHashTable *calls; /* struct stage_call */
	GHashTable *used;  /* address -> struct used */
	GHashTable *last;  /* target id -> hash of its last results */
	struct room room;
	usec_t unsettled_until;
	bool draining;
	struct home_counts counts;
	GPtrArray *unsaid; /* asks of this host that are answered */
	struct event *say; /* tells it from the loop, not from within its ask */
};

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
	routes_unref(h->routes);
	h->routes = routes_ref(routes);
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

static void
finish_ask(struct home *h, struct ask *a, usec_t now)
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

static uint32_t
usable_targets(
    struct home *h, const char *service, usec_t now, uint32_t *free_ones)
{
	const GPtrArray *all = loads_of(h->o.loads, service);
	uint32_t usable = 0;

	*free_ones = 0;
	for (guint i = 0; all != NULL && i < all->len; i++) {
		const struct target *t = all->pdata[i];

		if (now < t->aside_until)
			continue;
		usable++;
		if (t->in_flight == 0)
			(*free_ones)++;
	}
	return usable;
}

/*
 * Whether the pieces will be made in time; else the ask is refused.  Work that
 * has begun is not refused for want of room: its earlier stages would be lost.
 */
static bool
admit(struct home *h, struct ask *a, const struct batch_item *it, usec_t now)
{
	uint32_t free_ones;
	uint32_t usable = a->pool == NULL
	    ? 0
	    : usable_targets(h, a->pool->service, now, &free_ones);
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
		finish_ask(h, a, now);
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
		finish_ask(h, a, now);
		return;
	}
	for (; it.piece < a->n; it.piece++)
		batch_add(&p->batch, &it);
	if (from != NULL)
		send_reply(h, a);
	home_tick(h, now);
}

static void
set_result(struct home *h, const struct batch_item *it,
    const struct piece_result *res, usec_t now)
{
	struct ask *a = it->owner;

	if (res->outcome == PIECE_MADE)
		room_hold(&h->room, res->handle, a->bytes,
		    now + a->pool->batch.shape.keep);
	if (a->replied) {
		/* Nobody waits for it any more. */
		if (res->outcome == PIECE_MADE)
			home_release(h, str_from(res->handle));
		return;
	}
	a->results[it->piece] = *res;
	a->made[it->piece] = true;
	if (a->left > 0)
		a->left--;
	if (a->left == 0 || res->outcome != PIECE_MADE)
		finish_ask(h, a, now);
}

/* The call made nothing: its pieces wait again, or fail. */
static void
send_again(struct home *h, struct stage_call *k, bool counts, usec_t now)
{
	for (guint i = 0; i < k->items->len; i++) {
		struct batch_item it =
		    g_array_index(k->items, struct batch_item, i);
		struct ask *a = it.owner;

		if (a->replied)
			continue;
		if (counts && ++a->sends[it.piece] >= MAX_PIECE_SENDS) {
			set_result(h, &it,
			    &(struct piece_result){ .outcome = PIECE_FAILED },
			    now);
			continue;
		}
		h->counts.repeats += counts;
		a->started--;
		a->fetched_at = 0;
		batch_add(&k->pool->batch, &it);
	}
}

/* Frees an ask that is answered and held by no call. */
static void
let_go(struct home *h, GArray *items)
{
	(void)h;
	for (guint i = 0; i < items->len; i++) {
		struct ask *a =
		    g_array_index(items, struct batch_item, i).owner;

		a->in_calls--;
	}
}

static void
free_stage_call(struct stage_call *k)
{
	g_hash_table_remove(k->home->calls, k);
	room_unreserve(&k->home->room, k->addr, k->bytes);
	let_go(k->home, k->items);
	event_free(k->timer);
	g_array_unref(k->items);
	free(k);
}

/* Whether the results were already those of the target's last answer. */
static bool
is_repeated(struct home *h, const char *target, struct str body)
{
	uint64_t hash = hash_u64(body, 5);
	uint64_t *last = g_hash_table_lookup(h->last, target);

	if (last != NULL && *last == hash)
		return true;
	if (last == NULL) {
		last = g_new0(uint64_t, 1);
		g_hash_table_insert(h->last, g_strdup(target), last);
	}
	*last = hash;
	return false;
}

/* Reads the answer; false if it can't be one to this call. */
static bool
take_results(struct stage_call *k, struct evbuffer *body, usec_t now)
{
	size_t n = evbuffer_get_length(body);
	struct str text = { (const char *)evbuffer_pullup(body, -1), n };
	struct piece_result *v;
	bool ok = false;

	if (k->status != 200 || n == 0 ||
	    is_repeated(k->home, k->target_id, text))
		return false;
	v = xcalloc(k->items->len, sizeof(*v));
	ok = platform_stage_results(text, v, k->items->len);
	for (guint i = 0; ok && i < k->items->len; i++)
		set_result(k->home,
		    &g_array_index(k->items, struct batch_item, i), &v[i], now);
	free(v);
	return ok;
}

static void
note_target(struct stage_call *k, bool sound, usec_t now)
{
	struct target *t = loads_find(k->home->o.loads, k->target_id);

	if (t == NULL)
		return;
	loads_ended(t);
	if (sound)
		loads_sound(t);
	else
		loads_failed(t, now);
}

static void
end_call(struct stage_call *k, bool ok, bool not_run, const char *why)
{
	struct home *h = k->home;
	usec_t now = clock_now();

	note_target(k, ok, now);
	if (!ok) {
		LOG(LOG_LVL_NOTICE, "stage-call-failed",
		    { "target", str_from(k->target_id) },
		    { "service", str_from(k->pool->service) },
		    { "cause", str_from(why) });
		send_again(h, k, !not_run, now);
	} else {
		batch_measured(
		    &k->pool->batch, k->items->len, now - k->started);
	}
	free_stage_call(k);
	home_tick(h, now);
}

static void
on_head(struct stage_call *k, const struct httpmsg *m)
{
	struct answer_facts f;
	struct target *t = loads_find(k->home->o.loads, k->target_id);

	platform_answer(m, &f);
	k->status = m->parser.status_code;
	k->not_run = f.not_run;
	if (t != NULL && f.other_target)
		loads_left(k->home->o.loads, t);
}

static void
on_answer(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct stage_call *k = arg;

	switch (ev) {
	case DIAL_HEAD:
		on_head(k, m);
		return;
	case DIAL_BYTES:
		return;
	case DIAL_END:
		if (k->not_run)
			end_call(k, false, true, "the target is full");
		else
			end_call(k, take_results(k, m->body, clock_now()),
			    false, "the answer is not one to this call");
		return;
	case DIAL_UNSENT:
		end_call(k, false, true, "no connection");
		return;
	case DIAL_BROKEN:
	case DIAL_GARBLED:
		end_call(k, false, false, "the connection broke");
		return;
	}
}

static void
on_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct stage_call *k = arg;

	(void)fd;
	(void)what;
	dial_cancel(k->dial);
	end_call(k, false, false, "no answer in time");
}

static void
on_freed(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	(void)arg;
	(void)m;
	if (ev != DIAL_HEAD && ev != DIAL_BYTES && ev != DIAL_END)
		log_text(LOG_LVL_DEBUG, "free-failed",
		    "results expire by themselves");
}

static struct dial_call *
post(struct home *h, const struct target *t, const char *path, struct str body,
    dial_handler handler, void *arg)
{
	struct buf head = { 0 };
	struct evbuffer *b = evbuffer_new();
	struct dial_call *d;

	evbuffer_add(b, body.p, body.n);
	platform_own_head(&head, str_from(t->entry.addr), path,
	    str_from(t->entry.id), body.n);
	d = dial_start(h->o.dialer,
	    &(struct dial_opts){
		.addr = str_from(t->entry.addr),
		.head = str_of(&head),
		.body = b,
		.connect_timeout = CONNECT_TIMEOUT,
		.handler = handler,
		.arg = arg,
	    });
	evbuffer_free(b);
	buf_free(&head);
	return d;
}

/* Frees the used results at a target before its next call makes more. */
static void
flush_used(struct home *h, const struct target *t)
{
	struct used *u = g_hash_table_lookup(h->used, t->entry.addr);
	struct buf body = { 0 };

	if (u == NULL)
		return;
	platform_free_body(&body, str_of(&u->handles));
	post(h, t, PLATFORM_FREE_PATH, str_of(&body), on_freed, NULL);
	buf_free(&body);
	g_hash_table_remove(h->used, t->entry.addr);
}

static void
put_calls(struct stage_call *k, struct buf *body, usec_t now)
{
	struct piece_call *v = xcalloc(k->items->len, sizeof(*v));

	for (guint i = 0; i < k->items->len; i++) {
		const struct batch_item *it =
		    &g_array_index(k->items, struct batch_item, i);
		struct ask *a = it->owner;

		a->in_calls++;
		k->bytes += a->bytes;
		if (++a->started == a->n && a->inputs.n > 0 &&
		    now >= k->home->unsettled_until)
			a->fetched_at = now + FETCH_TIME;
		v[i] = (struct piece_call){
			.id = str_of(&a->id),
			.stage = a->stage,
			.piece = a->pieces[it->piece],
			.left = a->deadline - now,
			.key = str_of(&a->piece_key),
			.inputs = str_of(&a->inputs),
		};
	}
	platform_stage_body(body, v, k->items->len);
	free(v);
}

static void
start_call(
    struct home *h, struct pool *p, struct target *t, GArray *items, usec_t now)
{
	struct stage_call *k = xcalloc(1, sizeof(*k));
	struct buf body = { 0 };
	usec_t most = CALL_PATIENCE *
	    (usec_t)(p->batch.call_usec + p->batch.item_usec * items->len);
	struct timeval tv = { most / USEC_PER_SEC, most % USEC_PER_SEC };

	flush_used(h, t);
	k->home = h;
	k->pool = p;
	k->items = items;
	k->started = now;
	g_strlcpy(k->target_id, t->entry.id, sizeof(k->target_id));
	g_strlcpy(k->addr, t->entry.addr, sizeof(k->addr));
	k->timer = evtimer_new(h->o.base, on_call_timeout, k);
	put_calls(k, &body, now);
	room_reserve(&h->room, k->addr, k->bytes);
	g_hash_table_add(h->calls, k);
	loads_sent(t);
	h->counts.calls++;
	h->counts.pieces += items->len;
	k->dial = post(h, t, PLATFORM_STAGE_PATH, str_of(&body), on_answer, k);
	buf_free(&body);
	if (k->dial == NULL) {
		note_target(k, false, now);
		send_again(h, k, false, now);
		free_stage_call(k);
		return;
	}
	evtimer_add(k->timer, &tv);
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
 * Fills the next call of a target; with only_near nothing that is best made
 * in another failure domain.
 */
static void
serve_target(struct home *h, struct pool *p, struct target *t, bool only_near,
    usec_t now)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));
	uint32_t free_ones;

	usable_targets(h, p->service, now, &free_ones);
	batch_take(&p->batch, now, free_ones,
	    &(struct batch_target){
		.domain = domain_hash(t->entry.domain),
		.room = room_left(h, p, t->entry.addr, now),
		.only_near = only_near,
	    },
	    items);
	if (items->len > 0)
		start_call(h, p, t, items, now);
	else
		g_array_unref(items);
}

/* The time of an ask is over, or that of its inputs: these are made anew. */
static void
give_up(struct home *h, struct ask *a, uint32_t piece, usec_t now)
{
	a->refused = !a->inputs_gone;
	a->results[piece].outcome = PIECE_GONE;
	release_made(h, a);
	finish_ask(h, a, now);
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
static void
serve_pool(struct home *h, struct pool *p, usec_t now)
{
	const GPtrArray *all = loads_of(h->o.loads, p->service);

	drop_late(h, p, now);
	for (int pass = 0; all != NULL && pass < 2; pass++) {
		for (guint i = 0; i < all->len; i++) {
			struct target *t = all->pdata[i];

			if (p->batch.items->len == 0)
				return;
			if (t->in_flight == 0 && now >= t->aside_until)
				serve_target(h, p, t, pass == 0, now);
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

static void
sweep_asks(struct home *h, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, h->asks);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct ask *a = v;

		if (a->replied && a->in_calls == 0 &&
		    now - a->replied_at > KEEP_REPLY)
			g_hash_table_iter_remove(&it);
		else if (a->fetched_at != 0 && now >= a->fetched_at)
			release_inputs(h, a);
	}
}

static void
flush_old_used(struct home *h, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct pool *x = p;
		const GPtrArray *all = loads_of(h->o.loads, x->service);

		for (guint i = 0; all != NULL && i < all->len; i++) {
			const struct target *t = all->pdata[i];
			const struct used *u =
			    g_hash_table_lookup(h->used, t->entry.addr);

			if (u != NULL && now - u->since > FREE_EVERY)
				flush_used(h, t);
		}
	}
}

void
home_tick(struct home *h, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &p))
		serve_pool(h, p, now);
	sweep_asks(h, now);
	flush_old_used(h, now);
}

void
home_release(struct home *h, struct str handles)
{
	struct str one;

	while (handles.n > 0 && str_cut(&handles, ',', &one)) {
		struct str rest = one;
		struct str addr;
		struct used *u;
		g_autofree char *key = NULL;

		if (!str_cut(&rest, '/', &addr))
			continue;
		/* Also what another home has made, and not held here. */
		room_free_result(&h->room, one);
		key = g_strndup(addr.p, addr.n);
		u = g_hash_table_lookup(h->used, key);
		if (u == NULL) {
			u = xcalloc(1, sizeof(*u));
			u->since = clock_now();
			g_hash_table_insert(h->used, g_strdup(key), u);
		} else {
			buf_putc(&u->handles, ',');
		}
		buf_put(&u->handles, one);
	}
}

void
home_unsettle(struct home *h, usec_t now)
{
	h->unsettled_until = now + UNSETTLED_TIME;
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
		finish_ask(h, a, now);
	}
}

size_t
home_pending(const struct home *h)
{
	GHashTableIter it;
	gpointer v;
	size_t n = 0;

	g_hash_table_iter_init(&it, h->asks);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += !((const struct ask *)v)->replied;
	return n;
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
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, h->calls);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct stage_call *k = p;

		dial_cancel(k->dial);
		event_free(k->timer);
		g_array_unref(k->items);
		free(k);
	}
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
