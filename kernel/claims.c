#include "kernel/claims.h"
#include "base/hash.h"
#include "kernel/uuid7.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Clock skews of hosts and callers can add up to this beyond the retention. */
#define RETENTION_MARGIN (4 * UUID7_MAX_SKEW)
/* Old claims are dropped each 1/SWEEP_FRACTION of the retention. */
#define SWEEP_FRACTION   16
/* A slot of GLib's table: a pointer and a hash; at worst 3/4 are unused. */
#define SLOT_BYTES       (4 * (sizeof(void *) + sizeof(guint)))
#define ALLOC_OVERHEAD   16

enum state {
	/* Refused up to refused_up_to; no higher attempt was granted. */
	STATE_REFUSED,
	STATE_GRANTED,
	STATE_SETTLED
};

/* An entry of the table; its first two fields are the key. */
struct claim_entry {
	uint8_t uuid[UUID7_BYTES];
	uint64_t scope_hash; /* hash of workspace and pipeline */
	uint64_t body_hash;
	uint64_t holder;
	uint64_t request_hash;  /* hash of the holder's request id */
	char *answer;           /* NULL: none is kept */
	uint32_t attempt;       /* the granted attempt */
	uint32_t refused_up_to; /* attempts up to this were refused */
	uint8_t state;
	uint8_t outcome;
};

struct claims {
	GHashTable *entries;
	size_t answer_bytes;
	usec_t old_before; /* keys created earlier are old; never decreases */
	usec_t swept_at;
};

static guint
entry_hash(gconstpointer p)
{
	const struct claim_entry *e = p;
	struct str id = { (const char *)e->uuid, sizeof(e->uuid) };

	return (guint)hash_u64(id, e->scope_hash);
}

static gboolean
entry_equal(gconstpointer a, gconstpointer b)
{
	const struct claim_entry *x = a;
	const struct claim_entry *y = b;

	return x->scope_hash == y->scope_hash &&
	    memcmp(x->uuid, y->uuid, sizeof(x->uuid)) == 0;
}

static void
entry_free(gpointer p)
{
	struct claim_entry *e = p;

	free(e->answer);
	free(e);
}

static bool
entry_id(const struct claim *cl, struct claim_entry *id)
{
	uint64_t ws = hash_u64(cl->workspace, 0);

	*id = (struct claim_entry){ .scope_hash = hash_u64(cl->pipeline, ws) };
	return uuid7_parse(cl->key, id->uuid);
}

static struct claim_entry *
find(const struct claims *c, const struct claim *cl)
{
	struct claim_entry id;

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
	return c->old_before - RETENTION_MARGIN;
}

static gboolean
is_expired_claim(gpointer key, gpointer value, gpointer arg)
{
	const struct claim_entry *e = key;
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
	if (c->old_before - c->swept_at < retention / SWEEP_FRACTION)
		return;
	c->swept_at = c->old_before;
	g_hash_table_foreach_remove(c->entries, is_expired_claim, c);
}

uint64_t
claims_conflict_key(const struct claim *cl)
{
	struct claim_entry id;

	if (!entry_id(cl, &id))
		return 0;
	return hash_u64((struct str){ (const char *)id.uuid, sizeof(id.uuid) },
	    id.scope_hash);
}

uint32_t
claims_shard(const struct claim *cl, uint32_t n)
{
	return (uint32_t)(claims_conflict_key(cl) % n);
}

/* Whether the claim that the entry holds was granted to this delivery. */
static bool
is_same_delivery(const struct claim_entry *e, const struct claim *cl)
{
	return e->holder == cl->holder && e->attempt == cl->attempt &&
	    e->request_hash == hash_u64(cl->request_id, 0);
}

/* The result for a claim that another delivery holds. */
static enum claim_result
taken_result(const struct claim_entry *e)
{
	if (e->state == STATE_SETTLED && e->outcome != OUTCOME_UNKNOWN)
		return CLAIM_TAKEN_DONE;
	return CLAIM_TAKEN;
}

static bool
decide_claim(
    const struct claim_entry *e, const struct claim *cl, enum claim_result *r)
{
	*r = CLAIM_GRANTED;
	if (e == NULL)
		return true;
	if (e->body_hash != cl->body_hash)
		*r = CLAIM_REUSED;
	else if (cl->attempt <= e->refused_up_to)
		*r = CLAIM_BARRED;
	else if (e->state == STATE_REFUSED)
		return true;
	else if (!is_same_delivery(e, cl))
		*r = taken_result(e);
	return false;
}

static bool
decide_refusal(
    const struct claim_entry *e, const struct claim *cl, enum claim_result *r)
{
	*r = CLAIM_REFUSED;
	if (e == NULL)
		return true;
	if (e->body_hash != cl->body_hash) {
		*r = CLAIM_REUSED;
		return false;
	}
	if (cl->attempt <= e->refused_up_to)
		return false;
	if (e->state == STATE_REFUSED ||
	    (e->state == STATE_GRANTED && is_same_delivery(e, cl)))
		return true;
	*r = taken_result(e);
	return false;
}

/* Whether the claim to be settled may be only in a newer head. */
static bool
is_unknown_claim(const struct claim_entry *e, const struct claim *cl)
{
	return e == NULL ||
	    (e->state == STATE_REFUSED && cl->attempt > e->refused_up_to);
}

/*
 * The holder settles its own claim once.  While the outcome is not known,
 * another delivery may record that the call completed, as a look-up in the
 * service shows.  If the claim is not in the applied state, the settlement
 * takes a record: with an outdated head the swap fails and the settlement is
 * decided again, otherwise the record changes nothing.
 */
static bool
decide_settlement(
    const struct claim_entry *e, const struct claim *cl, enum claim_result *r)
{
	bool open;

	*r = CLAIM_GRANTED;
	if (is_unknown_claim(e, cl))
		return true;
	open = e->state == STATE_GRANTED ||
	    (e->state == STATE_SETTLED && e->outcome == OUTCOME_UNKNOWN &&
		cl->outcome == OUTCOME_COMPLETE);
	*r = is_same_delivery(e, cl) ? CLAIM_GRANTED : CLAIM_TAKEN;
	return open &&
	    (is_same_delivery(e, cl) || cl->outcome == OUTCOME_COMPLETE);
}

static bool
is_old(const struct claims *c, const struct claim *cl)
{
	struct claim_entry id;

	return entry_id(cl, &id) && uuid7_time(id.uuid) < c->old_before;
}

bool
claims_decide(
    const struct claims *c, const struct claim *cl, struct claim_verdict *v)
{
	const struct claim_entry *e = find(c, cl);
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

/* Returns 0 to admit the record, else the claim_result plus one. */
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
claims_verdict(const struct claims *c, const struct claim *cl,
    const struct alog_completion *d)
{
	struct claim_verdict v = { .result = CLAIM_UNAVAILABLE };
	const struct claim_entry *e;

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

static struct claim_entry *
find_or_add(struct claims *c, const struct claim *cl)
{
	struct claim_entry *e = find(c, cl);

	if (e != NULL)
		return e;
	e = xcalloc(1, sizeof(*e));
	entry_id(cl, e);
	e->body_hash = cl->body_hash;
	g_hash_table_add(c->entries, e);
	return e;
}

static void
refuse_attempts(struct claim_entry *e, uint32_t attempt)
{
	if (attempt > e->refused_up_to)
		e->refused_up_to = attempt;
	if (e->state == STATE_GRANTED && e->attempt <= e->refused_up_to)
		e->state = STATE_REFUSED;
}

static void
settle(struct claims *c, struct claim_entry *e, const struct claim *cl)
{
	if (cl->outcome == OUTCOME_NOT_RUN) {
		refuse_attempts(e, cl->attempt);
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
	struct claim_entry *e;
	struct claim_entry id;

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
		e->request_hash = hash_u64(cl.request_id, 0);
		break;
	case CLAIM_STEP_REFUSE:
		refuse_attempts(e, cl.attempt);
		break;
	case CLAIM_STEP_SETTLE:
		if (!is_unknown_claim(e, &cl))
			settle(c, e, &cl);
		break;
	}
}

static usec_t
oldest_kept(void *arg)
{
	return keep_from(arg);
}

/*
 * A host drops a claim only RETENTION_MARGIN after its key became old.  If it
 * dropped claims from before a time, keys from up to RETENTION_MARGIN later
 * are old as well.
 */
static void
dropped(void *arg, usec_t from)
{
	struct claims *c = arg;

	if (from > 0 && from + RETENTION_MARGIN > c->old_before)
		c->old_before = from + RETENTION_MARGIN;
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
	return sizeof(struct claim_entry) + ALLOC_OVERHEAD + SLOT_BYTES;
}

size_t
claims_bytes(const struct claims *c)
{
	return claims_count(c) * claims_entry_bytes() + c->answer_bytes;
}

uint64_t
claims_preferred_writer(const uint64_t *ids, size_t n, uint32_t shard)
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
