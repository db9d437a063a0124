#include "entry/claimer.h"
#include "base/hash.h"
#include "kernel/claims.h"
#include "plat/logio.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEAL_BYTES             (16 * 1024)
#define BATCH_BYTES            (128 * 1024)
/* Time for a writer's first reply before the next writer is tried. */
#define FORWARD_TIMEOUT        (200 * USEC_PER_MSEC)
/* Time for a writer's verdict after it has replied PEER_PENDING. */
#define PENDING_TIMEOUT        (2 * USEC_PER_SEC)
/* Writers of a shard that are tried before this process appends itself. */
#define MAX_FORWARDS           2
#define SETTLE_RETRY_INTERVAL  (2 * USEC_PER_SEC)
#define SETTLE_TIMEOUT         (120 * USEC_PER_SEC)
/* Time to wait for the end of a delivery that holds the claim. */
#define TAKEN_WAIT             (2 * USEC_PER_SEC)
/* Shorter wait if the holder of the claim is not a live sequoiad. */
#define TAKEN_WAIT_NOT_LIVE    (500 * USEC_PER_MSEC)
#define TAKEN_REFRESH_INTERVAL (200 * USEC_PER_MSEC)
/* Time without a response from the key-value service that is an outage. */
#define OUTAGE_THRESHOLD       (1 * USEC_PER_SEC)
/* Time after which a claim is reported as unavailable during an outage. */
#define OUTAGE_CLAIM_TIMEOUT   (300 * USEC_PER_MSEC)
#define EXPIRE_INTERVAL        (1 * USEC_PER_SEC)
#define SHARD_KEY              "sequoia/claims/%02u"

enum claim_op_state {
	CLAIM_OP_FORWARDED, /* waiting for the writer's verdict */
	CLAIM_OP_APPENDED,  /* waiting for the completion of a local append */
	CLAIM_OP_WAITING    /* taken by a delivery that may end soon */
};

/* A claim, refusal or settlement that is not decided yet. */
struct claim_op {
	uint64_t number;
	enum claim_op_state state;
	struct claim claim; /* its strings point into text */
	struct buf text[5];
	uint64_t req;     /* kernel request; 0: from a peer, or a settlement */
	uint64_t peer_op; /* the peer's number of the operation */
	char peer[MAX_ADDR_BYTES]; /* RPC address; empty: submitted locally */
	usec_t started_at;
	usec_t deadline;      /* after it the operation is unavailable */
	usec_t step_deadline; /* end of the current state's wait */
	unsigned n_forwards;  /* writers that it was forwarded to */
	bool timed_out;       /* the submitter was sent unavailable */
	bool forwarded;       /* a writer may still append it at any time */
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

static void decide_or_append(struct claimer *c, struct claim_op *op);
static void on_done(void *arg, const struct alog_completion *d);

static void
free_op(gpointer p)
{
	struct claim_op *op = p;

	for (size_t i = 0; i < 5; i++)
		buf_free(&op->text[i]);
	free(op);
}

static struct str
copy_text(struct buf *b, struct str s)
{
	buf_put(b, s);
	return str_of(b);
}

/* Creates an operation with a copy of the claim. */
static struct claim_op *
new_op(struct claimer *c, const struct claim *cl, usec_t timeout)
{
	struct claim_op *op = xcalloc(1, sizeof(*op));

	op->number = ++c->last_number;
	op->claim = *cl;
	op->claim.workspace = copy_text(&op->text[0], cl->workspace);
	op->claim.pipeline = copy_text(&op->text[1], cl->pipeline);
	op->claim.key = copy_text(&op->text[2], cl->key);
	op->claim.request_id = copy_text(&op->text[3], cl->request_id);
	op->claim.answer = copy_text(&op->text[4], cl->answer);
	op->started_at = c->now;
	op->deadline = c->now + timeout;
	g_hash_table_insert(c->ops, &op->number, op);
	return op;
}

/* Opens a shard's log; called when the first operation needs it. */
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
get_shard(struct claimer *c, const struct claim *cl)
{
	struct shard *s = &c->shards[claims_shard(cl, CLAIM_SHARDS)];

	if (s->io == NULL)
		open_shard(c, s);
	return s;
}

static void
send_verdict(struct claimer *c, const struct claim_op *op, int result,
    const struct claim_verdict *v)
{
	peer_body b = { .kind = PEER_VERDICT };
	peer_verdict *p = &b.peer_body_u.verdict;

	p->ask = op->peer_op;
	p->result = result;
	p->outcome = (int)v->outcome;
	p->answer.answer_val = (char *)v->answer.p;
	p->answer.answer_len = (u_int)v->answer.n;
	rpc_send(c->o.rpc, op->peer, &b);
}

static void
report_verdict(
    struct claimer *c, const struct claim_op *op, const struct claim_verdict *v)
{
	if (*op->peer != '\0') {
		send_verdict(c, op, (int)v->result, v);
		return;
	}
	if (op->req == 0)
		return;
	if (v->result == CLAIM_UNAVAILABLE)
		c->counts.unavailable++;
	c->o.decided(c->o.arg,
	    &(struct event_claim){
		.req = op->req,
		.result = v->result,
		.outcome = v->outcome,
		.answer = v->answer,
	    });
}

/*
 * Settles a claim that was granted too late to be used, so that a higher
 * attempt may be granted.
 */
static void
settle_not_run(struct claimer *c, const struct claim_op *op)
{
	struct claim cl = op->claim;

	cl.step = CLAIM_STEP_SETTLE;
	cl.outcome = OUTCOME_NOT_RUN;
	cl.answer = (struct str){ NULL, 0 };
	decide_or_append(c, new_op(c, &cl, SETTLE_TIMEOUT));
}

static void
finish(struct claimer *c, struct claim_op *op, const struct claim_verdict *v)
{
	g_hash_table_steal(c->ops, &op->number);
	if (!op->timed_out)
		report_verdict(c, op, v);
	else if (*op->peer == '\0' && op->claim.step == CLAIM_STEP_CLAIM &&
	    v->result == CLAIM_GRANTED)
		settle_not_run(c, op);
	free_op(op);
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
 * Whether the operation should wait for the end of the delivery that holds the
 * claim.  The wait starts at the first such decision and is bounded.
 */
static bool
should_wait(
    struct claimer *c, struct claim_op *op, const struct claim_verdict *v)
{
	if (op->claim.step != CLAIM_STEP_CLAIM || v->result != CLAIM_TAKEN)
		return false;
	if (op->state != CLAIM_OP_WAITING) {
		op->state = CLAIM_OP_WAITING;
		op->step_deadline = c->now +
		    (is_live(c, v->holder) ? TAKEN_WAIT : TAKEN_WAIT_NOT_LIVE);
	}
	return c->now < op->step_deadline && c->now < op->deadline;
}

/* Decides by the claims that are already in the log, or appends a record. */
static void
decide_or_append(struct claimer *c, struct claim_op *op)
{
	struct shard *s = get_shard(c, &op->claim);
	struct claim_verdict v;
	json_t *payload;

	if (!claims_decide(s->claims, &op->claim, &v)) {
		if (!should_wait(c, op, &v))
			finish(c, op, &v);
		return;
	}
	op->state = CLAIM_OP_APPENDED;
	c->counts.appended++;
	payload = claim_pack(&op->claim);
	if (alog_append(logio_log(s->io), op->number,
		claims_conflict_key(&op->claim), clock_wall(), payload) != 0) {
		v.result = CLAIM_UNAVAILABLE;
		finish(c, op, &v);
	}
	json_decref(payload);
	logio_pump(s->io, c->now);
}

static void
on_done(void *arg, const struct alog_completion *d)
{
	struct shard *s = arg;
	struct claim_op *op = g_hash_table_lookup(s->c->ops, &d->tag);
	struct claim_verdict v;

	if (op == NULL)
		return;
	v = claims_verdict(s->claims, &op->claim, d);
	if (v.result == CLAIM_TAKEN && !op->timed_out) {
		decide_or_append(s->c, op);
		return;
	}
	finish(s->c, op, &v);
}

/*
 * The RPC address of the shard's preferred writer or, for rank 1, of the next
 * one in rendezvous order; NULL if there is none or it is this process.
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
forward(struct claimer *c, struct claim_op *op, const char *addr)
{
	peer_body b = { .kind = PEER_CLAIM };
	peer_claim *p = &b.peer_body_u.claim;

	p->ask = op->number;
	p->step = (int)op->claim.step;
	p->workspace = op->text[0].p;
	p->pipeline = op->text[1].p;
	p->key = op->text[2].p;
	p->request_id = op->text[3].p;
	p->attempt = op->claim.attempt;
	p->body_hash = op->claim.body_hash;
	p->holder = op->claim.holder;
	p->outcome = (int)op->claim.outcome;
	p->answer.answer_val = op->text[4].p;
	p->answer.answer_len = (u_int)op->text[4].n;
	p->patience_ms = (u_int)((op->deadline - c->now) / USEC_PER_MSEC);
	op->state = CLAIM_OP_FORWARDED;
	op->forwarded = true;
	op->step_deadline = c->now +
	    (op->claim.step == CLAIM_STEP_SETTLE ? SETTLE_RETRY_INTERVAL
						 : FORWARD_TIMEOUT);
	c->counts.forwarded++;
	rpc_send(c->o.rpc, addr, &b);
}

/* Forwards to the next writer of the shard, or appends locally. */
static void
forward_or_append(struct claimer *c, struct claim_op *op)
{
	uint32_t shard = claims_shard(&op->claim, CLAIM_SHARDS);
	const char *addr = op->n_forwards < MAX_FORWARDS
	    ? writer_addr(c, shard, op->n_forwards)
	    : NULL;

	if (addr == NULL) {
		decide_or_append(c, op);
		return;
	}
	op->n_forwards++;
	forward(c, op, addr);
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
 * Ends an operation at its deadline or in an outage: as taken if it waits for
 * another delivery, else as unavailable.  If a record of it may still get into
 * the log, the operation is kept, so that a claim granted later is settled as
 * not run.
 */
static void
time_out(struct claimer *c, struct claim_op *op)
{
	struct claim_verdict v = { .result = CLAIM_UNAVAILABLE };
	struct shard *s = get_shard(c, &op->claim);

	if (op->state == CLAIM_OP_WAITING) {
		v.result = CLAIM_TAKEN;
		finish(c, op, &v);
		return;
	}
	if (op->state == CLAIM_OP_APPENDED && !op->forwarded &&
	    alog_cancel(logio_log(s->io), op->number)) {
		finish(c, op, &v);
		return;
	}
	if (!op->timed_out)
		report_verdict(c, op, &v);
	op->timed_out = true;
	op->deadline = c->now + SETTLE_TIMEOUT;
	if (op->state == CLAIM_OP_FORWARDED)
		decide_or_append(c, op);
}

/* Whether to fail an operation early, as the key-value service is down. */
static bool
is_outage(struct claimer *c, const struct claim_op *op)
{
	return op->state == CLAIM_OP_APPENDED &&
	    op->claim.step != CLAIM_STEP_SETTLE &&
	    c->now - op->started_at >= OUTAGE_CLAIM_TIMEOUT &&
	    logio_outage(get_shard(c, &op->claim)->io, c->now) >=
	    OUTAGE_THRESHOLD;
}

static void
tick_op(struct claimer *c, struct claim_op *op)
{
	if (op->timed_out) {
		if (c->now >= op->deadline && op->state != CLAIM_OP_APPENDED)
			finish(c, op,
			    &(struct claim_verdict){
				.result = CLAIM_UNAVAILABLE });
		return;
	}
	if (c->now >= op->deadline || is_outage(c, op)) {
		time_out(c, op);
		return;
	}
	if (op->state == CLAIM_OP_WAITING)
		decide_or_append(c, op);
	else if (op->state == CLAIM_OP_FORWARDED && c->now >= op->step_deadline)
		forward_or_append(c, op);
}

/* Rereads the logs of operations that wait for another delivery's end. */
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
		const struct claim_op *op = p;

		if (op->state == CLAIM_OP_WAITING)
			alog_refresh(logio_log(get_shard(c, &op->claim)->io));
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
		struct claim_op *op = g_hash_table_lookup(c->ops, &all[i]);

		if (op != NULL)
			tick_op(c, op);
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
	struct claim_op *op;

	c->now = now;
	c->counts.submitted++;
	if (cl.answer.n > MAX_CLAIM_ANSWER_BYTES)
		cl.answer.n = 0;
	op =
	    new_op(c, &cl, kind == ACTION_SETTLE ? SETTLE_TIMEOUT : x->timeout);
	op->req = kind == ACTION_SETTLE ? 0 : x->req;
	forward_or_append(c, op);
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
	struct claim_op *op;

	if (p->step < CLAIM_STEP_CLAIM || p->step > CLAIM_STEP_SETTLE ||
	    p->outcome < OUTCOME_COMPLETE || p->outcome > OUTCOME_UNKNOWN)
		return;
	op = new_op(c, &cl, (usec_t)p->patience_ms * USEC_PER_MSEC);
	op->peer_op = p->ask;
	snprintf(op->peer, sizeof(op->peer), "%s", l->rpc);
	number = op->number;
	decide_or_append(c, op);
	if (g_hash_table_contains(c->ops, &number))
		send_verdict(c, op, PEER_PENDING,
		    &(struct claim_verdict){ .outcome = OUTCOME_UNKNOWN });
}

static void
on_peer_verdict(struct claimer *c, const peer_letter *l)
{
	const peer_verdict *p = &l->body.peer_body_u.verdict;
	uint64_t number = p->ask;
	struct claim_op *op = g_hash_table_lookup(c->ops, &number);
	struct claim_verdict v = {
		.result = (enum claim_result)p->result,
		.outcome = (enum outcome)p->outcome,
		.answer = { p->answer.answer_val, p->answer.answer_len },
	};

	if (op == NULL || op->state != CLAIM_OP_FORWARDED)
		return;
	if (p->result == PEER_PENDING)
		op->step_deadline = c->now + PENDING_TIMEOUT;
	if (p->result < CLAIM_GRANTED || p->result > CLAIM_UNAVAILABLE)
		return;
	if (v.result == CLAIM_UNAVAILABLE)
		decide_or_append(c, op);
	else
		finish(c, op, &v);
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
