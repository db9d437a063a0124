#include "kernel/claims.h"
#include "base/hash.h"
#include "kernel/uuid7.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Clocks of hosts and callers add up to this beyond the retention. */
#define KEEP_MARGIN    (4 * UUID7_SKEW)
#define SWEEP_FRACTION 16
/* A slot of GLib's table has a pointer and a hash; at worst 3/4 are unused. */
#define SLOT_BYTES     (4 * (sizeof(void *) + sizeof(guint)))
#define ALLOC_OVERHEAD 16

enum state {
	STATE_REFUSED, /* up to bar; nothing was granted above it */
	STATE_GRANTED,
	STATE_SETTLED
};

/* Its first two fields are the key in the table. */
struct entry {
	uint8_t uuid[UUID7_BYTES];
	uint64_t place; /* hash of workspace and pipeline */
	uint64_t body_hash;
	uint64_t holder;
	uint64_t request; /* hash of the holder's request id */
	char *answer;     /* NULL: none is kept */
	uint32_t attempt; /* granted */
	uint32_t bar;     /* attempts up to this were refused */
	uint8_t state;
	uint8_t outcome;
};

struct claims {
	GHashTable *entries;
	size_t answer_bytes;
	usec_t old_before; /* keys made earlier are old; never goes back */
	usec_t swept;
};

static guint
entry_hash(gconstpointer p)
{
	const struct entry *e = p;
	struct str id = { (const char *)e->uuid, sizeof(e->uuid) };

	return (guint)hash_u64(id, e->place);
}

static gboolean
entry_equal(gconstpointer a, gconstpointer b)
{
	const struct entry *x = a;
	const struct entry *y = b;

	return x->place == y->place &&
	    memcmp(x->uuid, y->uuid, sizeof(x->uuid)) == 0;
}

static void
entry_free(gpointer p)
{
	struct entry *e = p;

	free(e->answer);
	free(e);
}

static bool
entry_id(const struct claim *cl, struct entry *id)
{
	uint64_t ws = hash_u64(cl->workspace, 0);

	*id = (struct entry){ .place = hash_u64(cl->pipeline, ws) };
	return uuid7_parse(cl->key, id->uuid);
}

static struct entry *
find(const struct claims *c, const struct claim *cl)
{
	struct entry id;

	if (!entry_id(cl, &id))
		return NULL;
	return g_hash_table_lookup(c->entries, &id);
}

struct claims *
claims_new(void)
{
	struct claims *c = xcalloc(1, sizeof(*c));

	c->entries =
	    g_hash_table_new_full(entry_hash, entry_equal, entry_free, NULL);
	return c;
}

void
claims_free(struct claims *c)
{
	if (c == NULL)
		return;
	g_hash_table_destroy(c->entries);
	free(c);
}

static usec_t
keep_from(const struct claims *c)
{
	return c->old_before - KEEP_MARGIN;
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer arg)
{
	const struct entry *e = key;
	struct claims *c = arg;

	(void)value;
	if (uuid7_time(e->uuid) >= keep_from(c))
		return FALSE;
	if (e->answer != NULL)
		c->answer_bytes -= strlen(e->answer) + 1;
	return TRUE;
}

void
claims_tick(struct claims *c, usec_t wall, usec_t retention)
{
	if (retention == 0)
		return;
	if (wall - retention > c->old_before)
		c->old_before = wall - retention;
	if (c->old_before - c->swept < retention / SWEEP_FRACTION)
		return;
	c->swept = c->old_before;
	g_hash_table_foreach_remove(c->entries, is_forgotten, c);
}

uint64_t
claims_conflict(const struct claim *cl)
{
	struct entry id;

	if (!entry_id(cl, &id))
		return 0;
	return hash_u64(
	    (struct str){ (const char *)id.uuid, sizeof(id.uuid) }, id.place);
}

uint32_t
claims_shard(const struct claim *cl, uint32_t n)
{
	return (uint32_t)(claims_conflict(cl) % n);
}

/* Whether the claim that the entry holds was granted to this delivery. */
static bool
is_same(const struct entry *e, const struct claim *cl)
{
	return e->holder == cl->holder && e->attempt == cl->attempt &&
	    e->request == hash_u64(cl->request_id, 0);
}

/* How a claim that another delivery holds stands. */
static enum claim_result
taken(const struct entry *e)
{
	if (e->state == STATE_SETTLED && e->outcome != OUTCOME_UNKNOWN)
		return CLAIM_TAKEN_DONE;
	return CLAIM_TAKEN;
}

static bool
decide_claim(
    const struct entry *e, const struct claim *cl, enum claim_result *r)
{
	*r = CLAIM_GRANTED;
	if (e == NULL)
		return true;
	if (e->body_hash != cl->body_hash)
		*r = CLAIM_REUSED;
	else if (cl->attempt <= e->bar)
		*r = CLAIM_BARRED;
	else if (e->state == STATE_REFUSED)
		return true;
	else if (!is_same(e, cl))
		*r = taken(e);
	return false;
}

static bool
decide_refusal(
    const struct entry *e, const struct claim *cl, enum claim_result *r)
{
	*r = CLAIM_REFUSED;
	if (e == NULL)
		return true;
	if (e->body_hash != cl->body_hash) {
		*r = CLAIM_REUSED;
		return false;
	}
	if (cl->attempt <= e->bar)
		return false;
	if (e->state == STATE_REFUSED ||
	    (e->state == STATE_GRANTED && is_same(e, cl)))
		return true;
	*r = taken(e);
	return false;
}

/* Whether the claim to be settled may stand in a newer head only. */
static bool
is_unseen(const struct entry *e, const struct claim *cl)
{
	return e == NULL || (e->state == STATE_REFUSED && cl->attempt > e->bar);
}

/*
 * The holder settles its own claim once.  Another may add that it completed,
 * as a service's look-up shows, while that is not known.  A claim that is not
 * seen here takes a record: if the head known here is old, the swap fails and
 * it is decided anew; else the record changes nothing.
 */
static bool
decide_settlement(
    const struct entry *e, const struct claim *cl, enum claim_result *r)
{
	bool open;

	*r = CLAIM_GRANTED;
	if (is_unseen(e, cl))
		return true;
	open = e->state == STATE_GRANTED ||
	    (e->state == STATE_SETTLED && e->outcome == OUTCOME_UNKNOWN &&
		cl->outcome == OUTCOME_COMPLETE);
	*r = is_same(e, cl) ? CLAIM_GRANTED : CLAIM_TAKEN;
	return open && (is_same(e, cl) || cl->outcome == OUTCOME_COMPLETE);
}

static bool
is_old(const struct claims *c, const struct claim *cl)
{
	struct entry id;

	return entry_id(cl, &id) && uuid7_time(id.uuid) < c->old_before;
}

bool
claims_decide(
    const struct claims *c, const struct claim *cl, struct claim_verdict *v)
{
	const struct entry *e = find(c, cl);
	bool record = false;

	*v = (struct claim_verdict){ .result = CLAIM_OLD };
	if (cl->step != CLAIM_STEP_SETTLE && is_old(c, cl))
		return false;
	switch (cl->step) {
	case CLAIM_STEP_CLAIM:
		record = decide_claim(e, cl, &v->result);
		break;
	case CLAIM_STEP_REFUSE:
		record = decide_refusal(e, cl, &v->result);
		break;
	case CLAIM_STEP_SETTLE:
		record = decide_settlement(e, cl, &v->result);
		break;
	}
	if (v->result == CLAIM_TAKEN_DONE) {
		v->outcome = (enum outcome)e->outcome;
		v->answer = str_from(e->answer);
	}
	if (v->result == CLAIM_TAKEN && e != NULL)
		v->holder = e->holder;
	return record;
}

/* The code of a denial: one above the result, as 0 lets a record in. */
static int
admit(void *arg, const json_t *payload)
{
	struct claim_verdict v;
	struct claim cl;

	if (!claim_unpack(payload, &cl))
		return CLAIM_UNAVAILABLE + 1;
	return claims_decide(arg, &cl, &v) ? 0 : (int)v.result + 1;
}

struct claim_verdict
claims_verdict(
    const struct claims *c, const struct claim *cl, const struct alog_done *d)
{
	struct claim_verdict v = { .result = CLAIM_UNAVAILABLE };
	const struct entry *e;

	if (d->result == ALOG_ACCEPTED)
		v.result = cl->step == CLAIM_STEP_REFUSE ? CLAIM_REFUSED
							 : CLAIM_GRANTED;
	if (d->result != ALOG_DENIED)
		return v;
	v.result = (enum claim_result)(d->code - 1);
	if (v.result != CLAIM_TAKEN_DONE)
		return v;
	e = find(c, cl);
	if (e == NULL || e->state != STATE_SETTLED) {
		v.result = CLAIM_TAKEN;
		return v;
	}
	v.outcome = (enum outcome)e->outcome;
	v.answer = str_from(e->answer);
	return v;
}

static struct entry *
find_or_add(struct claims *c, const struct claim *cl)
{
	struct entry *e = find(c, cl);

	if (e != NULL)
		return e;
	e = xcalloc(1, sizeof(*e));
	entry_id(cl, e);
	e->body_hash = cl->body_hash;
	g_hash_table_add(c->entries, e);
	return e;
}

static void
bar(struct entry *e, uint32_t attempt)
{
	if (attempt > e->bar)
		e->bar = attempt;
	if (e->state == STATE_GRANTED && e->attempt <= e->bar)
		e->state = STATE_REFUSED;
}

static void
settle(struct claims *c, struct entry *e, const struct claim *cl)
{
	if (cl->outcome == OUTCOME_NOT_RUN) {
		bar(e, cl->attempt);
		return;
	}
	e->state = STATE_SETTLED;
	e->outcome = (uint8_t)cl->outcome;
	if (cl->answer.n > 0 && e->answer == NULL) {
		e->answer = str_dup(cl->answer);
		c->answer_bytes += cl->answer.n + 1;
	}
}

static void
apply(void *arg, const json_t *payload, uint64_t serial)
{
	struct claims *c = arg;
	struct claim cl;
	struct entry *e;
	struct entry id;

	(void)serial;
	if (!claim_unpack(payload, &cl) || !entry_id(&cl, &id))
		return;
	e = cl.step == CLAIM_STEP_SETTLE ? find(c, &cl) : find_or_add(c, &cl);
	if (e == NULL)
		return;
	switch (cl.step) {
	case CLAIM_STEP_CLAIM:
		e->state = STATE_GRANTED;
		e->attempt = cl.attempt;
		e->holder = cl.holder;
		e->request = hash_u64(cl.request_id, 0);
		break;
	case CLAIM_STEP_REFUSE:
		bar(e, cl.attempt);
		break;
	case CLAIM_STEP_SETTLE:
		if (!is_unseen(e, &cl))
			settle(c, e, &cl);
		break;
	}
}

static usec_t
oldest_kept(void *arg)
{
	return keep_from(arg);
}

/* Claims of keys from up to the margin after dropped records may be gone. */
static void
dropped(void *arg, usec_t from)
{
	struct claims *c = arg;

	if (from > 0 && from + KEEP_MARGIN > c->old_before)
		c->old_before = from + KEEP_MARGIN;
}

const struct alog_ops claims_ops = {
	.admit = admit,
	.apply = apply,
	.keep_from = oldest_kept,
	.dropped = dropped,
};

size_t
claims_count(const struct claims *c)
{
	return g_hash_table_size(c->entries);
}

size_t
claims_entry_bytes(void)
{
	return sizeof(struct entry) + ALLOC_OVERHEAD + SLOT_BYTES;
}

size_t
claims_bytes(const struct claims *c)
{
	return claims_count(c) * claims_entry_bytes() + c->answer_bytes;
}

uint64_t
claims_writer(const uint64_t *ids, size_t n, uint32_t shard)
{
	struct str s = { (const char *)&shard, sizeof(shard) };
	uint64_t best = ids[0];

	for (size_t i = 1; i < n; i++) {
		uint64_t h = hash_u64(s, ids[i]);
		uint64_t top = hash_u64(s, best);

		if (h > top || (h == top && ids[i] > best))
			best = ids[i];
	}
	return best;
}
