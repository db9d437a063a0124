#include "entry/asks.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/homes.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Many round trips between failure domains; the loss of one is made up. */
#define CONFIRM_TIMEOUT   (100 * USEC_PER_MSEC)
/* A confirmed ask is asked about so often. */
#define ASK_AGAIN         (1 * USEC_PER_SEC)
#define MAX_TRIES         3 /* without a word before another home is taken */
/* A home that did not confirm is not chosen for so long. */
#define SUSPECT_TIME      (2 * USEC_PER_SEC)
#define INCARNATION_SHIFT 24 /* asks of one start that are told apart */

struct asked {
	uint64_t number;
	struct peer_piece_ask body; /* strings are owned */
	ask_handler handler;
	void *arg;
	usec_t deadline;
	usec_t aim;
	char home[MAX_ADDR_BYTES]; /* RPC address; empty: this host */
	usec_t sent;
	bool held; /* not sent yet */
	bool confirmed;
	uint32_t tries;
};

struct peer {
	struct view_peer p;
	usec_t suspect_until;
};

struct asks {
	struct asks_opts o;
	struct home *home;
	usec_t settled;   /* when it is to know the other hosts */
	GArray *peers;    /* struct peer */
	GHashTable *open; /* number -> struct asked */
	uint64_t next;
};

static void
free_asked(gpointer p)
{
	struct asked *a = p;

	free(a->arg);
	free(a->body.service);
	free(a->body.id);
	free(a->body.key);
	free(a->body.inputs);
	free(a->body.domain);
	free(a->body.pieces.pieces_val);
	free(a);
}

struct asks *
asks_new(const struct asks_opts *o)
{
	struct asks *s = xcalloc(1, sizeof(*s));

	s->o = *o;
	s->peers = g_array_new(FALSE, TRUE, sizeof(struct peer));
	s->open = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_asked);
	s->settled = clock_now() + o->settle;
	s->next = o->incarnation << INCARNATION_SHIFT;
	return s;
}

void
asks_set_home(struct asks *s, struct home *h)
{
	s->home = h;
}

/* The host at an RPC address; empty for this one. */
static struct peer *
find_peer(struct asks *s, const char *rpc)
{
	for (guint i = 0; i < s->peers->len; i++) {
		struct peer *p = &g_array_index(s->peers, struct peer, i);

		if (*rpc != '\0' ? strcmp(p->p.rpc, rpc) == 0
				 : strcmp(p->p.id, s->o.self) == 0)
			return p;
	}
	return NULL;
}

void
asks_peers(struct asks *s, const GArray *peers)
{
	g_autoptr(GArray) before = s->peers;

	s->peers = g_array_new(FALSE, TRUE, sizeof(struct peer));
	for (guint i = 0; i < peers->len; i++) {
		struct peer p = { .p = g_array_index(
				      peers, struct view_peer, i) };

		g_array_append_val(s->peers, p);
	}
	for (guint i = 0; i < before->len; i++) {
		const struct peer *old = &g_array_index(before, struct peer, i);
		struct peer *p =
		    old->suspect_until != 0 ? find_peer(s, old->p.rpc) : NULL;

		if (p != NULL)
			p->suspect_until = old->suspect_until;
	}
}

/* The RPC address of the service's home; empty for this host. */
static const char *
choose_home(struct asks *s, const char *service, usec_t now)
{
	uint64_t seed = hash_u64(str_from(service), 3);
	const struct peer *best = NULL;
	double most = 0;

	for (guint i = 0; i < s->peers->len; i++) {
		const struct peer *p = &g_array_index(s->peers, struct peer, i);
		double w = homes_weight(
		    hash_u64(str_from(p->p.id), seed), p->p.capacity);

		if (now < p->suspect_until || (best != NULL && w <= most))
			continue;
		best = p;
		most = w;
	}
	if (best == NULL || strcmp(best->p.id, s->o.self) == 0)
		return "";
	return best->p.rpc;
}

static void
set_home(struct asks *s, struct asked *a, usec_t now)
{
	g_strlcpy(
	    a->home, choose_home(s, a->body.service, now), sizeof(a->home));
}

const char *
asks_home(struct asks *s, const char *service)
{
	return choose_home(s, service, clock_now());
}

static uint32_t
left_ms(usec_t until, usec_t now)
{
	return until > now ? (uint32_t)((until - now) / USEC_PER_MSEC) : 0;
}

static void
send_ask(struct asks *s, struct asked *a, usec_t now)
{
	peer_body body = { .kind = PEER_PIECE_ASK };

	a->sent = now;
	a->body.left_ms = left_ms(a->deadline, now);
	a->body.aim_left_ms = (int)((a->aim - now) / USEC_PER_MSEC);
	body.peer_body_u.piece_ask = a->body;
	if (*a->home != '\0')
		rpc_send(s->o.rpc, a->home, &body);
	else
		home_ask(s->home, NULL, &a->body);
}

uint64_t
asks_start(struct asks *s, const struct ask_opts *o)
{
	struct asked *a = xcalloc(1, sizeof(*a));
	usec_t now = clock_now();

	a->number = ++s->next;
	a->handler = o->handler;
	a->arg = o->arg;
	a->deadline = o->deadline;
	a->aim = o->aim;
	a->body.ask = a->number;
	a->body.service = str_dup(o->service);
	a->body.id = str_dup(o->id);
	a->body.key = str_dup(o->key);
	a->body.inputs = str_dup(o->inputs);
	a->body.stage = o->stage;
	a->body.rank = o->rank;
	a->body.bytes = o->bytes;
	a->body.domain = str_dup(o->domain);
	a->body.pieces.pieces_len = o->n;
	a->body.pieces.pieces_val = xcalloc(o->n, sizeof(u_int));
	for (uint32_t i = 0; i < o->n; i++)
		a->body.pieces.pieces_val[i] = i;
	g_hash_table_insert(s->open, &a->number, a);
	set_home(s, a, now);
	log_text(LOG_LVL_INFO, "stage-asked",
	    "request %s: stage %u, %u pieces of %s, home %s, made in %s",
	    a->body.id, o->stage, o->n, a->body.service,
	    *a->home != '\0' ? a->home : "here",
	    *a->body.domain != '\0' ? a->body.domain : "any domain");
	if (now < s->settled)
		a->held = true;
	else
		send_ask(s, a, now);
	return a->number;
}

void
asks_cancel(struct asks *s, uint64_t ask)
{
	struct asked *a = g_hash_table_lookup(s->open, &ask);

	if (a == NULL)
		return;
	a->body.cancelled = true;
	if (!a->held)
		send_ask(s, a, clock_now());
	g_hash_table_remove(s->open, &ask);
}

void
asks_release(struct asks *s, const char *service, struct str handles)
{
	g_autofree char *list = g_strndup(handles.p, handles.n);
	const char *home = choose_home(s, service, clock_now());
	peer_body body = { .kind = PEER_PIECE_FREE };

	if (handles.n == 0)
		return;
	if (*home == '\0') {
		home_release(s->home, handles);
		return;
	}
	body.peer_body_u.piece_free.service = (char *)service;
	body.peer_body_u.piece_free.handles = list;
	rpc_send(s->o.rpc, home, &body);
}

/* Sends an ask to the next home; the present one is passed over for a while. */
static void
move_on(struct asks *s, struct asked *a, usec_t now)
{
	struct peer *p = find_peer(s, a->home);

	if (p != NULL)
		p->suspect_until = now + SUSPECT_TIME;
	set_home(s, a, now);
	a->tries = 0;
	a->confirmed = false;
}

/* Results of a home that was given up meanwhile: another one made them too. */
static void
drop_made(struct asks *s, const char *from, const peer_piece_reply *r)
{
	peer_body body = { .kind = PEER_PIECE_FREE };
	struct buf handles = { 0 };

	for (u_int i = 0; i < r->made.made_len; i++) {
		if (handles.n > 0)
			buf_putc(&handles, ',');
		buf_put(&handles, str_from(r->made.made_val[i].handle));
	}
	body.peer_body_u.piece_free.service = "";
	body.peer_body_u.piece_free.handles = handles.p;
	if (handles.n > 0)
		rpc_send(s->o.rpc, from, &body);
	buf_free(&handles);
}

void
asks_reply(struct asks *s, const char *from, const peer_piece_reply *r)
{
	uint64_t number = r->ask;
	struct asked *a = g_hash_table_lookup(s->open, &number);
	ask_handler handler;
	void *arg;

	if (a == NULL)
		return;
	if (from != NULL && strcmp(from, a->home) != 0) {
		drop_made(s, from, r);
		return;
	}
	if (r->moved) {
		move_on(s, a, clock_now());
		send_ask(s, a, clock_now());
		return;
	}
	if (!r->refused && r->made.made_len == 0) {
		a->confirmed = true;
		a->tries = 0;
		return;
	}
	handler = a->handler;
	arg = a->arg;
	a->arg = NULL;
	g_hash_table_remove(s->open, &number);
	handler(arg, r);
	free(arg);
}

/* Sends an ask to its home, now that the other hosts are known. */
static void
send_held(struct asks *s, struct asked *a, usec_t now)
{
	a->held = false;
	set_home(s, a, now);
	send_ask(s, a, now);
}

bool
asks_tick(struct asks *s, usec_t now)
{
	GHashTableIter it;
	gpointer v;
	g_autoptr(GPtrArray) due = g_ptr_array_new();

	g_hash_table_iter_init(&it, s->open);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct asked *a = v;
		usec_t patience = a->confirmed ? ASK_AGAIN : CONFIRM_TIMEOUT;

		if (a->held ? now >= s->settled : now - a->sent >= patience)
			g_ptr_array_add(due, v);
	}
	for (guint i = 0; i < due->len; i++) {
		struct asked *a = due->pdata[i];

		if (a->held) {
			send_held(s, a, now);
			continue;
		}
		if (*a->home == '\0') {
			a->sent = now;
			continue;
		}
		if (a->tries >= MAX_TRIES) {
			const struct peer *p = find_peer(s, a->home);

			/* Said once, not for each ask that waits there. */
			if (p != NULL && now >= p->suspect_until)
				LOG(LOG_LVL_WARNING, "home-silent",
				    { "home", str_from(a->home) },
				    { "service", str_from(a->body.service) },
				    { "request", str_from(a->body.id) });
			move_on(s, a, now);
		}
		a->tries++;
		a->confirmed = false;
		send_ask(s, a, now);
	}
	return g_hash_table_size(s->open) > 0;
}

void
asks_free(struct asks *s)
{
	g_hash_table_destroy(s->open);
	g_array_unref(s->peers);
	free(s);
}
