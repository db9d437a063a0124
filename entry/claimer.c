#include "entry/claimer.h"
#include "base/hash.h"
#include "kernel/claims.h"
#include "plat/logio.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEAL_BYTES            (16 * 1024)
#define BATCH_BYTES           (128 * 1024)
#define FORWARD_TIMEOUT       (200 * USEC_PER_MSEC) /* then the next way is tried */
#define PENDING_TIMEOUT       (2 * USEC_PER_SEC) /* after the writer's receipt */
#define MAX_FORWARDS          2 /* of a shard that are asked before the own swap */
#define SETTLE_RETRY_INTERVAL (2 * USEC_PER_SEC)
#define SETTLE_TIMEOUT        (120 * USEC_PER_SEC)
#define TAKEN_WAIT            (2 * USEC_PER_SEC) /* for a running delivery's end */
#define TAKEN_WAIT_NOT_LIVE                               \
	(500 * USEC_PER_MSEC) /* if its host is not known \
			       */
#define TAKEN_REFRESH_INTERVAL (200 * USEC_PER_MSEC)
#define OUTAGE_THRESHOLD       (1 * USEC_PER_SEC) /* of a silent service */
#define OUTAGE_CLAIM_TIMEOUT                             \
	(300 * USEC_PER_MSEC) /* that a claim then waits \
			       */
#define EXPIRE_INTERVAL (1 * USEC_PER_SEC)
#define SHARD_KEY       "sequoia/claims/%02u"

enum claim_op_state {
	CLAIM_OP_FORWARDED, /* the writer's verdict is awaited */
	CLAIM_OP_APPENDED,  /* the own log's completion is awaited */
	CLAIM_OP_WAITING    /* taken by a delivery that may end soon */
};

/* One claim, refusal or settlement on its way to a decision. */
struct claim_op {
	uint64_t number;
	enum claim_op_state state;
	struct claim claim; /* its strings point into text */
	struct buf text[5];
	uint64_t req; /* of the kernel; 0: a peer's or an own settlement */
	uint64_t peer_number;      /* of the peer's ask */
	char peer[MAX_ADDR_BYTES]; /* empty: not a peer's */
	usec_t asked_at;
	usec_t until;      /* then it is unavailable */
	usec_t step_until; /* then the next way is tried */
	unsigned writers;  /* of the shard that were asked */
	bool abandoned;    /* the asker has been told unavailable */
	bool forwarded;    /* the writer may append it, however late */
};

struct shard {
	struct claimer *c;
	struct claims *claims;
	struct logio *io;
};

struct claimer {
	struct claimer_opts o;
	struct shard shards[CLAIM_SHARDS];
	GHashTable *ops; /* number -> struct claim_op, owned */
	uint64_t last_number;
	usec_t now;
	usec_t retention;
	usec_t expired_at;
	usec_t refreshed_at;
	uint64_t self;
	uint64_t *ids;
	struct claimer_member *members;
	char (*addrs)[MAX_ADDR_BYTES];
	size_t n_members;
	struct claimer_counts counts;
};

static void append(struct claimer *c, struct claim_op *a);
static void on_done(void *arg, const struct alog_completion *d);

static void
free_op(gpointer p)
{
	struct claim_op *a = p;

	for (size_t i = 0; i < 5; i++)
		buf_free(&a->text[i]);
	free(a);
}

static struct str
keep(struct buf *b, struct str s)
{
	buf_put(b, s);
	return str_of(b);
}

/* An ask with an own copy of the claim. */
static struct claim_op *
new_op(struct claimer *c, const struct claim *cl, usec_t patience)
{
	struct claim_op *a = xcalloc(1, sizeof(*a));

	a->number = ++c->last_number;
	a->claim = *cl;
	a->claim.workspace = keep(&a->text[0], cl->workspace);
	a->claim.pipeline = keep(&a->text[1], cl->pipeline);
	a->claim.key = keep(&a->text[2], cl->key);
	a->claim.request_id = keep(&a->text[3], cl->request_id);
	a->claim.answer = keep(&a->text[4], cl->answer);
	a->asked_at = c->now;
	a->until = c->now + patience;
	g_hash_table_insert(c->ops, &a->number, a);
	return a;
}

/* Starts to read a shard's log when the first claim needs it. */
static void
open_shard(struct claimer *c, struct shard *s)
{
	char key[64];

	snprintf(key, sizeof(key), SHARD_KEY, (unsigned)(s - c->shards));
	s->claims = claims_new();
	claims_tick(s->claims, clock_wall(), c->retention);
	s->io = logio_new(&(struct logio_opts){
	    .kv = c->o.kv,
	    .log = {
	        .key = key,
	        .incarnation = c->o.incarnation,
	        .seal_bytes = SEAL_BYTES,
	        .batch_bytes = BATCH_BYTES,
	        .ops = &claims_ops,
	        .arg = s->claims,
	    },
	    .done = on_done,
	    .arg = s,
	});
}

static struct shard *
shard_of(struct claimer *c, const struct claim *cl)
{
	struct shard *s = &c->shards[claims_shard(cl, CLAIM_SHARDS)];

	if (s->io == NULL)
		open_shard(c, s);
	return s;
}

static void
send_verdict(struct claimer *c, const struct claim_op *a, int result,
    const struct claim_verdict *v)
{
	peer_body b = { .kind = PEER_VERDICT };
	peer_verdict *p = &b.peer_body_u.verdict;

	p->ask = a->peer_number;
	p->result = result;
	p->outcome = (int)v->outcome;
	p->answer.answer_val = (char *)v->answer.p;
	p->answer.answer_len = (u_int)v->answer.n;
	rpc_send(c->o.rpc, a->peer, &b);
}

static void
tell(struct claimer *c, const struct claim_op *a, const struct claim_verdict *v)
{
	if (*a->peer != '\0') {
		send_verdict(c, a, (int)v->result, v);
		return;
	}
	if (a->req == 0)
		return;
	if (v->result == CLAIM_UNAVAILABLE)
		c->counts.unavailable++;
	c->o.decided(c->o.arg,
	    &(struct event_claim){
		.req = a->req,
		.result = v->result,
		.outcome = v->outcome,
		.answer = v->answer,
	    });
}

/* A claim that was granted too late to be used bars its attempt. */
static void
settle_not_run(struct claimer *c, const struct claim_op *a)
{
	struct claim cl = a->claim;

	cl.step = CLAIM_STEP_SETTLE;
	cl.outcome = OUTCOME_NOT_RUN;
	cl.answer = (struct str){ NULL, 0 };
	append(c, new_op(c, &cl, SETTLE_TIMEOUT));
}

static void
finish(struct claimer *c, struct claim_op *a, const struct claim_verdict *v)
{
	g_hash_table_steal(c->ops, &a->number);
	if (!a->abandoned)
		tell(c, a, v);
	else if (*a->peer == '\0' && a->claim.step == CLAIM_STEP_CLAIM &&
	    v->result == CLAIM_GRANTED)
		settle_not_run(c, a);
	free_op(a);
}

static bool
is_live(const struct claimer *c, uint64_t incarnation)
{
	for (size_t i = 0; i < c->n_members; i++) {
		if (c->members[i].incarnation == incarnation)
			return true;
	}
	return false;
}

/*
 * Whether the decision should wait for the end of the delivery that holds the
 * claim.  Waits start at the first such decision and are bounded.
 */
static bool
waits(struct claimer *c, struct claim_op *a, const struct claim_verdict *v)
{
	if (a->claim.step != CLAIM_STEP_CLAIM || v->result != CLAIM_TAKEN)
		return false;
	if (a->state != CLAIM_OP_WAITING) {
		a->state = CLAIM_OP_WAITING;
		a->step_until = c->now +
		    (is_live(c, v->holder) ? TAKEN_WAIT : TAKEN_WAIT_NOT_LIVE);
	}
	return c->now < a->step_until && c->now < a->until;
}

/* Decides by the folded state, or appends a record. */
static void
append(struct claimer *c, struct claim_op *a)
{
	struct shard *s = shard_of(c, &a->claim);
	struct claim_verdict v;
	json_t *payload;

	if (!claims_decide(s->claims, &a->claim, &v)) {
		if (!waits(c, a, &v))
			finish(c, a, &v);
		return;
	}
	a->state = CLAIM_OP_APPENDED;
	c->counts.appended++;
	payload = claim_pack(&a->claim);
	if (alog_append(logio_log(s->io), a->number,
		claims_conflict_key(&a->claim), clock_wall(), payload) != 0) {
		v.result = CLAIM_UNAVAILABLE;
		finish(c, a, &v);
	}
	json_decref(payload);
	logio_pump(s->io, c->now);
}

static void
on_done(void *arg, const struct alog_completion *d)
{
	struct shard *s = arg;
	struct claim_op *a = g_hash_table_lookup(s->c->ops, &d->tag);
	struct claim_verdict v;

	if (a == NULL)
		return;
	v = claims_verdict(s->claims, &a->claim, d);
	if (v.result == CLAIM_TAKEN && !a->abandoned) {
		append(s->c, a);
		return;
	}
	finish(s->c, a, &v);
}

/*
 * The RPC address of the shard's first writer or, for rank 1, of the one that
 * would follow it; NULL if that is this process or nobody.
 */
static const char *
writer_addr(const struct claimer *c, uint32_t shard, unsigned rank)
{
	uint64_t *ids;
	uint64_t id;
	size_t n = c->n_members;

	if (n <= rank)
		return NULL;
	ids = xcalloc(n, sizeof(*ids));
	memcpy(ids, c->ids, n * sizeof(*ids));
	id = claims_preferred_writer(ids, n, shard);
	for (; rank > 0; rank--) {
		size_t i = 0;

		while (ids[i] != id)
			i++;
		ids[i] = ids[--n];
		id = claims_preferred_writer(ids, n, shard);
	}
	free(ids);
	for (size_t i = 0; i < c->n_members; i++) {
		if (c->ids[i] == id)
			return id == c->self ? NULL : c->addrs[i];
	}
	return NULL;
}

static void
forward(struct claimer *c, struct claim_op *a, const char *addr)
{
	peer_body b = { .kind = PEER_CLAIM };
	peer_claim *p = &b.peer_body_u.claim;

	p->ask = a->number;
	p->step = (int)a->claim.step;
	p->workspace = a->text[0].p;
	p->pipeline = a->text[1].p;
	p->key = a->text[2].p;
	p->request_id = a->text[3].p;
	p->attempt = a->claim.attempt;
	p->body_hash = a->claim.body_hash;
	p->holder = a->claim.holder;
	p->outcome = (int)a->claim.outcome;
	p->answer.answer_val = a->text[4].p;
	p->answer.answer_len = (u_int)a->text[4].n;
	p->patience_ms = (u_int)((a->until - c->now) / USEC_PER_MSEC);
	a->state = CLAIM_OP_FORWARDED;
	a->forwarded = true;
	a->step_until = c->now +
	    (a->claim.step == CLAIM_STEP_SETTLE ? SETTLE_RETRY_INTERVAL
						: FORWARD_TIMEOUT);
	c->counts.forwarded++;
	rpc_send(c->o.rpc, addr, &b);
}

/* Asks the next writer of the shard, or swaps the head itself. */
static void
forward_or_append(struct claimer *c, struct claim_op *a)
{
	uint32_t shard = claims_shard(&a->claim, CLAIM_SHARDS);
	const char *addr = a->writers < MAX_FORWARDS
	    ? writer_addr(c, shard, a->writers)
	    : NULL;

	if (addr == NULL) {
		append(c, a);
		return;
	}
	a->writers++;
	forward(c, a, addr);
}

static enum claim_step
step_of(enum action_kind kind)
{
	switch (kind) {
	case ACTION_REFUSE:
		return CLAIM_STEP_REFUSE;
	case ACTION_SETTLE:
		return CLAIM_STEP_SETTLE;
	default:
		return CLAIM_STEP_CLAIM;
	}
}

/*
 * Says unavailable.  What may still get into the log is followed to its end,
 * so that a claim that nobody uses does not stand.
 */
static void
give_up(struct claimer *c, struct claim_op *a)
{
	struct claim_verdict v = { .result = CLAIM_UNAVAILABLE };
	struct shard *s = shard_of(c, &a->claim);

	if (a->state == CLAIM_OP_WAITING) {
		v.result = CLAIM_TAKEN;
		finish(c, a, &v);
		return;
	}
	if (a->state == CLAIM_OP_APPENDED && !a->forwarded &&
	    alog_cancel(logio_log(s->io), a->number)) {
		finish(c, a, &v);
		return;
	}
	if (!a->abandoned)
		tell(c, a, &v);
	a->abandoned = true;
	a->until = c->now + SETTLE_TIMEOUT;
	if (a->state == CLAIM_OP_FORWARDED)
		append(c, a);
}

/* Whether a claim has no prospect, as the service has been silent for long. */
static bool
is_outage(struct claimer *c, const struct claim_op *a)
{
	return a->state == CLAIM_OP_APPENDED &&
	    a->claim.step != CLAIM_STEP_SETTLE &&
	    c->now - a->asked_at >= OUTAGE_CLAIM_TIMEOUT &&
	    logio_outage(shard_of(c, &a->claim)->io, c->now) >=
	    OUTAGE_THRESHOLD;
}

static void
tick_op(struct claimer *c, struct claim_op *a)
{
	if (a->abandoned) {
		if (c->now >= a->until && a->state != CLAIM_OP_APPENDED)
			finish(c, a,
			    &(struct claim_verdict){
				.result = CLAIM_UNAVAILABLE });
		return;
	}
	if (c->now >= a->until || is_outage(c, a)) {
		give_up(c, a);
		return;
	}
	if (a->state == CLAIM_OP_WAITING)
		append(c, a);
	else if (a->state == CLAIM_OP_FORWARDED && c->now >= a->step_until)
		forward_or_append(c, a);
}

/* While asks wait for another delivery's end, its log is read again. */
static void
refresh_waiting(struct claimer *c)
{
	GHashTableIter it;
	gpointer p;

	if (c->now - c->refreshed_at < TAKEN_REFRESH_INTERVAL)
		return;
	c->refreshed_at = c->now;
	g_hash_table_iter_init(&it, c->ops);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct claim_op *a = p;

		if (a->state == CLAIM_OP_WAITING)
			alog_refresh(logio_log(shard_of(c, &a->claim)->io));
	}
}

static void
tick_ops(struct claimer *c)
{
	guint n = g_hash_table_size(c->ops);
	uint64_t *all = xcalloc(n, sizeof(*all));
	GHashTableIter it;
	gpointer key;
	guint i = 0;

	g_hash_table_iter_init(&it, c->ops);
	while (g_hash_table_iter_next(&it, &key, NULL))
		all[i++] = *(uint64_t *)key;
	for (i = 0; i < n; i++) {
		struct claim_op *a = g_hash_table_lookup(c->ops, &all[i]);

		if (a != NULL)
			tick_op(c, a);
	}
	free(all);
}

struct claimer *
claimer_new(const struct claimer_opts *o)
{
	struct claimer *c = xcalloc(1, sizeof(*c));

	c->o = *o;
	c->now = clock_now();
	c->ops =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_op);
	for (unsigned i = 0; i < CLAIM_SHARDS; i++)
		c->shards[i].c = c;
	return c;
}

void
claimer_set_retention(struct claimer *c, usec_t retention)
{
	c->retention = retention;
	c->expired_at = 0;
}

void
claimer_set_members(
    struct claimer *c, const struct claimer_member *v, size_t n, uint64_t self)
{
	c->self = self;
	c->n_members = n;
	c->ids = xrealloc(c->ids, n, sizeof(*c->ids));
	c->members = xrealloc(c->members, n, sizeof(*c->members));
	c->addrs = xrealloc(c->addrs, n, sizeof(*c->addrs));
	for (size_t i = 0; i < n; i++) {
		c->ids[i] = v[i].id;
		c->members[i] = v[i];
		snprintf(c->addrs[i], sizeof(c->addrs[i]), "%s", v[i].rpc);
		c->members[i].rpc = c->addrs[i];
	}
}

void
claimer_submit(struct claimer *c, enum action_kind kind,
    const struct action_claim *x, usec_t now)
{
	struct claim cl = {
		.step = step_of(kind),
		.workspace = str_of(&x->workspace),
		.pipeline = str_of(&x->pipeline),
		.key = str_from(x->key),
		.attempt = x->attempt,
		.body_hash = x->body_hash,
		.holder = c->o.incarnation,
		.request_id = str_of(&x->request_id),
		.outcome = x->outcome,
		.answer = str_of(&x->answer),
	};
	struct claim_op *a;

	c->now = now;
	c->counts.submitted++;
	if (cl.answer.n > MAX_CLAIM_ANSWER_BYTES)
		cl.answer.n = 0;
	a = new_op(c, &cl, kind == ACTION_SETTLE ? SETTLE_TIMEOUT : x->timeout);
	a->req = kind == ACTION_SETTLE ? 0 : x->req;
	forward_or_append(c, a);
}

static void
on_peer_claim(struct claimer *c, const peer_letter *l)
{
	const peer_claim *p = &l->body.peer_body_u.claim;
	struct claim cl = {
		.step = (enum claim_step)p->step,
		.workspace = str_from(p->workspace),
		.pipeline = str_from(p->pipeline),
		.key = str_from(p->key),
		.attempt = p->attempt,
		.body_hash = p->body_hash,
		.holder = p->holder,
		.request_id = str_from(p->request_id),
		.outcome = (enum outcome)p->outcome,
		.answer = { p->answer.answer_val, p->answer.answer_len },
	};
	uint64_t number;
	struct claim_op *a;

	if (p->step < CLAIM_STEP_CLAIM || p->step > CLAIM_STEP_SETTLE ||
	    p->outcome < OUTCOME_COMPLETE || p->outcome > OUTCOME_UNKNOWN)
		return;
	a = new_op(c, &cl, (usec_t)p->patience_ms * USEC_PER_MSEC);
	a->peer_number = p->ask;
	snprintf(a->peer, sizeof(a->peer), "%s", l->rpc);
	number = a->number;
	append(c, a);
	if (g_hash_table_contains(c->ops, &number))
		send_verdict(c, a, PEER_PENDING,
		    &(struct claim_verdict){ .outcome = OUTCOME_UNKNOWN });
}

static void
on_peer_verdict(struct claimer *c, const peer_letter *l)
{
	const peer_verdict *p = &l->body.peer_body_u.verdict;
	uint64_t number = p->ask;
	struct claim_op *a = g_hash_table_lookup(c->ops, &number);
	struct claim_verdict v = {
		.result = (enum claim_result)p->result,
		.outcome = (enum outcome)p->outcome,
		.answer = { p->answer.answer_val, p->answer.answer_len },
	};

	if (a == NULL || a->state != CLAIM_OP_FORWARDED)
		return;
	if (p->result == PEER_PENDING)
		a->step_until = c->now + PENDING_TIMEOUT;
	if (p->result < CLAIM_GRANTED || p->result > CLAIM_UNAVAILABLE)
		return;
	if (v.result == CLAIM_UNAVAILABLE)
		append(c, a);
	else
		finish(c, a, &v);
}

void
claimer_receive(struct claimer *c, const peer_letter *l, usec_t now)
{
	c->now = now;
	if (l->body.kind == PEER_CLAIM)
		on_peer_claim(c, l);
	else if (l->body.kind == PEER_VERDICT)
		on_peer_verdict(c, l);
}

void
claimer_tick(struct claimer *c, usec_t now)
{
	usec_t wall = clock_wall();
	bool expire =
	    now - c->expired_at >= EXPIRE_INTERVAL && c->retention > 0;

	c->now = now;
	if (expire)
		c->expired_at = now;
	for (unsigned i = 0; i < CLAIM_SHARDS; i++) {
		if (c->shards[i].io == NULL)
			continue;
		if (expire)
			claims_tick(c->shards[i].claims, wall, c->retention);
		logio_tick(c->shards[i].io, now);
	}
	refresh_waiting(c);
	tick_ops(c);
}

struct claimer_counts
claimer_counts(const struct claimer *c)
{
	struct claimer_counts n = c->counts;

	n.pending = g_hash_table_size(c->ops);
	for (unsigned i = 0; i < CLAIM_SHARDS; i++) {
		struct alog_counts x;

		if (c->shards[i].io == NULL)
			continue;
		x = alog_counts(logio_log(c->shards[i].io));
		n.kv_requests += x.requests;
		n.swaps += x.swaps;
		n.conflicts += x.conflicts;
		n.claims += claims_count(c->shards[i].claims);
		n.bytes += claims_bytes(c->shards[i].claims);
	}
	return n;
}

void
claimer_free(struct claimer *c)
{
	for (unsigned i = 0; i < CLAIM_SHARDS; i++) {
		if (c->shards[i].io != NULL)
			logio_free(c->shards[i].io);
		claims_free(c->shards[i].claims);
	}
	g_hash_table_destroy(c->ops);
	free(c->ids);
	free(c->members);
	free(c->addrs);
	free(c);
}
