#include "entry/stage_jobs.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/rendezvous.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Many round trips between failure domains; the loss of one is made up. */
#define ACK_TIMEOUT       (100 * USEC_PER_MSEC)
/* A confirmed ask is asked about so often. */
#define STATUS_INTERVAL   (1 * USEC_PER_SEC)
#define MAX_UNACKED_SENDS 3 /* without a word before another home is taken */
/* A home that did not confirm is not chosen for so long. */
#define SUSPECT_DURATION  (2 * USEC_PER_SEC)
#define INCARNATION_SHIFT 24 /* asks of one start that are told apart */

struct pending_job {
	uint64_t number;
	struct peer_piece_ask body; /* strings are owned */
	stage_job_handler handler;
	void *arg;
	usec_t deadline;
	usec_t soft_deadline;
	char coordinator[MAX_ADDR_BYTES]; /* RPC address; empty: this host */
	usec_t sent_at;
	bool deferred; /* not sent yet */
	bool acked;
	uint32_t tries;
};

struct peer {
	struct view_peer p;
	usec_t suspect_until;
};

struct stage_jobs {
	struct stage_jobs_opts o;
	struct coordinator *coordinator;
	usec_t peer_wait_end; /* when it is to know the other hosts */
	GArray *peers;        /* struct peer */
	GHashTable *open;     /* number -> struct pending_job */
	uint64_t next;
};

static void
free_pending_job(gpointer p)
{
	struct pending_job *a = p;

	free(a->arg);
	free(a->body.service);
	free(a->body.id);
	free(a->body.key);
	free(a->body.inputs);
	free(a->body.domain);
	free(a->body.pieces.pieces_val);
	free(a);
}

struct stage_jobs *
stage_jobs_new(const struct stage_jobs_opts *o)
{
	struct stage_jobs *s = xcalloc(1, sizeof(*s));

	s->o = *o;
	s->peers = g_array_new(FALSE, TRUE, sizeof(struct peer));
	s->open = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_pending_job);
	s->peer_wait_end = clock_now() + o->peer_wait;
	s->next = o->incarnation << INCARNATION_SHIFT;
	return s;
}

void
stage_jobs_set_coordinator(struct stage_jobs *s, struct coordinator *h)
{
	s->coordinator = h;
}

/* The host at an RPC address; empty for this one. */
static struct peer *
find_peer(struct stage_jobs *s, const char *rpc)
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
stage_jobs_set_peers(struct stage_jobs *s, const GArray *peers)
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
choose_coordinator(struct stage_jobs *s, const char *service, usec_t now)
{
	uint64_t seed = hash_u64(str_from(service), 3);
	const struct peer *best = NULL;
	double most = 0;

	for (guint i = 0; i < s->peers->len; i++) {
		const struct peer *p = &g_array_index(s->peers, struct peer, i);
		double w = rendezvous_weight(
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
assign_coordinator(struct stage_jobs *s, struct pending_job *a, usec_t now)
{
	g_strlcpy(a->coordinator, choose_coordinator(s, a->body.service, now),
	    sizeof(a->coordinator));
}

const char *
stage_jobs_coordinator(struct stage_jobs *s, const char *service)
{
	return choose_coordinator(s, service, clock_now());
}

static uint32_t
left_ms(usec_t until, usec_t now)
{
	return until > now ? (uint32_t)((until - now) / USEC_PER_MSEC) : 0;
}

static void
send_job(struct stage_jobs *s, struct pending_job *a, usec_t now)
{
	peer_body body = { .kind = PEER_PIECE_ASK };

	a->sent_at = now;
	a->body.left_ms = left_ms(a->deadline, now);
	a->body.aim_left_ms = (int)((a->soft_deadline - now) / USEC_PER_MSEC);
	body.peer_body_u.piece_ask = a->body;
	if (*a->coordinator != '\0')
		rpc_send(s->o.rpc, a->coordinator, &body);
	else
		coordinator_submit(s->coordinator, NULL, &a->body);
}

uint64_t
stage_jobs_submit(struct stage_jobs *s, const struct stage_job_opts *o)
{
	struct pending_job *a = xcalloc(1, sizeof(*a));
	usec_t now = clock_now();

	a->number = ++s->next;
	a->handler = o->handler;
	a->arg = o->arg;
	a->deadline = o->deadline;
	a->soft_deadline = o->soft_deadline;
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
	assign_coordinator(s, a, now);
	log_text(LOG_LVL_INFO, "stage-asked",
	    "request %s: stage %u, %u pieces of %s, home %s, made in %s",
	    a->body.id, o->stage, o->n, a->body.service,
	    *a->coordinator != '\0' ? a->coordinator : "here",
	    *a->body.domain != '\0' ? a->body.domain : "any domain");
	if (now < s->peer_wait_end)
		a->deferred = true;
	else
		send_job(s, a, now);
	return a->number;
}

void
stage_jobs_cancel(struct stage_jobs *s, uint64_t ask)
{
	struct pending_job *a = g_hash_table_lookup(s->open, &ask);

	if (a == NULL)
		return;
	a->body.cancelled = true;
	if (!a->deferred)
		send_job(s, a, clock_now());
	g_hash_table_remove(s->open, &ask);
}

void
stage_jobs_release(
    struct stage_jobs *s, const char *service, struct str handles)
{
	g_autofree char *list = g_strndup(handles.p, handles.n);
	const char *coordinator = choose_coordinator(s, service, clock_now());
	peer_body body = { .kind = PEER_PIECE_FREE };

	if (handles.n == 0)
		return;
	if (*coordinator == '\0') {
		coordinator_release(s->coordinator, handles);
		return;
	}
	body.peer_body_u.piece_free.service = (char *)service;
	body.peer_body_u.piece_free.handles = list;
	rpc_send(s->o.rpc, coordinator, &body);
}

/* Sends an ask to the next home; the present one is passed over for a while. */
static void
fail_over(struct stage_jobs *s, struct pending_job *a, usec_t now)
{
	struct peer *p = find_peer(s, a->coordinator);

	if (p != NULL)
		p->suspect_until = now + SUSPECT_DURATION;
	assign_coordinator(s, a, now);
	a->tries = 0;
	a->acked = false;
}

/* Results of a home that was given up meanwhile: another one made them too. */
static void
release_stray_results(
    struct stage_jobs *s, const char *from, const peer_piece_reply *r)
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
stage_jobs_reply(
    struct stage_jobs *s, const char *from, const peer_piece_reply *r)
{
	uint64_t number = r->ask;
	struct pending_job *a = g_hash_table_lookup(s->open, &number);
	stage_job_handler handler;
	void *arg;

	if (a == NULL)
		return;
	if (from != NULL && strcmp(from, a->coordinator) != 0) {
		release_stray_results(s, from, r);
		return;
	}
	if (r->moved) {
		fail_over(s, a, clock_now());
		send_job(s, a, clock_now());
		return;
	}
	if (!r->refused && r->made.made_len == 0) {
		a->acked = true;
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
send_deferred(struct stage_jobs *s, struct pending_job *a, usec_t now)
{
	a->deferred = false;
	assign_coordinator(s, a, now);
	send_job(s, a, now);
}

bool
stage_jobs_tick(struct stage_jobs *s, usec_t now)
{
	GHashTableIter it;
	gpointer v;
	g_autoptr(GPtrArray) due = g_ptr_array_new();

	g_hash_table_iter_init(&it, s->open);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct pending_job *a = v;
		usec_t patience = a->acked ? STATUS_INTERVAL : ACK_TIMEOUT;

		if (a->deferred ? now >= s->peer_wait_end
				: now - a->sent_at >= patience)
			g_ptr_array_add(due, v);
	}
	for (guint i = 0; i < due->len; i++) {
		struct pending_job *a = due->pdata[i];

		if (a->deferred) {
			send_deferred(s, a, now);
			continue;
		}
		if (*a->coordinator == '\0') {
			a->sent_at = now;
			continue;
		}
		if (a->tries >= MAX_UNACKED_SENDS) {
			const struct peer *p = find_peer(s, a->coordinator);

			/* Said once, not for each ask that waits there. */
			if (p != NULL && now >= p->suspect_until)
				LOG(LOG_LVL_WARNING, "home-silent",
				    { "home", str_from(a->coordinator) },
				    { "service", str_from(a->body.service) },
				    { "request", str_from(a->body.id) });
			fail_over(s, a, now);
		}
		a->tries++;
		a->acked = false;
		send_job(s, a, now);
	}
	return g_hash_table_size(s->open) > 0;
}

void
stage_jobs_free(struct stage_jobs *s)
{
	g_hash_table_destroy(s->open);
	g_array_unref(s->peers);
	free(s);
}
