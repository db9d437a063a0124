/*
 * Gathers the reports of crashed targets, decides which parts of prompts are
 * quarantined (kernel/crash_suspects.h), and keeps these the same at all hosts
 * and in the store (kernel/quarantine.h).
 */
#include "entry/discovery_state.h"
#include "base/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ITEM_PREFIX "sequoia/quarantine/"

/* Rank of this host among the collectors; CRASH_COLLECTORS: it is none. */
static uint32_t
collector_rank(struct discovery *d)
{
	struct members *m = fleet_members(d->fleet);
	size_t n_live;
	const char *const *ids = member_live(m, &n_live);
	struct rendezvous_host *v = xcalloc(n_live, sizeof(*v));
	const char *chosen[CRASH_COLLECTORS];
	size_t n = 0;
	uint32_t rank = 0;

	for (size_t i = 0; i < n_live; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x != NULL)
			v[n++] =
			    (struct rendezvous_host){ ids[i], x->capacity };
	}
	n = crash_collectors(v, n, d->o.settings->id, chosen);
	while (rank < n && strcmp(chosen[rank], d->o.settings->id) != 0)
		rank++;
	free(v);
	return rank < n ? rank : CRASH_COLLECTORS;
}

static void
free_suspects(gpointer p)
{
	crash_suspects_free(p);
	g_free(p);
}

GHashTable *
discovery_new_suspects(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_suspects);
}

/* Returns the suspects of a service, which are empty at first. */
static struct crash_suspects *
suspects_of(struct discovery *d, const char *service)
{
	struct crash_suspects *s = g_hash_table_lookup(d->suspects, service);

	if (s == NULL) {
		s = g_new(struct crash_suspects, 1);
		crash_suspects_init(s);
		g_hash_table_insert(d->suspects, g_strdup(service), s);
	}
	return s;
}

/* Publishes a change to the relay and to the peers that fetch the state. */
static void
quarantine_changed(struct discovery *d)
{
	const struct quarantine *q = &d->quarantine;

	pthread_mutex_lock(&d->lock);
	g_hash_table_remove_all(d->quarantine_values);
	for (guint i = 0; i < q->entries->len; i++) {
		const struct quarantine_entry *e =
		    &g_array_index(q->entries, struct quarantine_entry, i);
		struct buf value = { 0 };

		quarantine_write(e, &value);
		g_hash_table_insert(
		    d->quarantine_values, g_strdup(e->id), g_strdup(value.p));
		buf_free(&value);
	}
	pthread_mutex_unlock(&d->lock);
	d->view_dirty = true;
}

static void
log_quarantine(const struct quarantine_entry *e, const char *source)
{
	struct buf value = { 0 };

	quarantine_write(e, &value);
	if (e->parts.n == 0)
		log_text(LOG_LVL_NOTICE, "quarantine-lifted", "%s, %s", e->id,
		    source);
	else
		log_text(LOG_LVL_WARNING, "parts-quarantined",
		    "%s, %s: %zu parts, for %" PRId64 " s: %s", e->id, source,
		    e->parts.n, e->length_ms / 1000, value.p);
	buf_free(&value);
}

void
discovery_read_quarantine(
    struct discovery *d, struct str id, struct str value, bool from_store)
{
	g_autofree char *text = g_strndup(id.p, id.n);

	switch (quarantine_read(
	    &d->quarantine, id, value, from_store, clock_now())) {
	case QUARANTINE_UNCHANGED:
		break;
	case QUARANTINE_MALFORMED:
		log_text(LOG_LVL_WARNING, "quarantine-malformed",
		    "%s from %s: \"%.*s\" is not version, end, length and "
		    "parts; ignored",
		    text, from_store ? FROM_STORE : "another host",
		    STR_FMT(value));
		break;
	case QUARANTINE_CHANGED:
		log_quarantine(quarantine_find(&d->quarantine, id),
		    from_store ? FROM_STORE : "another host");
		quarantine_changed(d);
		break;
	}
}

void
discovery_quarantine_item(
    struct discovery *d, struct str key, struct str value, bool deleted)
{
	if (!str_has_prefix(key, STR(ITEM_PREFIX)))
		return;
	key.p += sizeof(ITEM_PREFIX) - 1;
	key.n -= sizeof(ITEM_PREFIX) - 1;
	if (!deleted) {
		discovery_read_quarantine(d, key, value, true);
	} else if (quarantine_delete(&d->quarantine, key)) {
		log_text(LOG_LVL_NOTICE, "quarantine-lifted",
		    "%.*s, deleted in the store", STR_FMT(key));
		quarantine_changed(d);
	}
}

static void
read_prompt(const peer_prompt *p, struct part_set *out)
{
	*out = (struct part_set){ 0 };
	for (u_int i = 0; i < p->parts.parts_len; i++)
		part_set_add(out, p->parts.parts_val[i]);
}

static void
begin_quarantine(struct discovery *d, const struct part_set *parts,
    int64_t first_ms, const char *why)
{
	log_quarantine(quarantine_begin(&d->quarantine, parts, first_ms,
			   clock_wall() / USEC_PER_MSEC, clock_now()),
	    why);
	quarantine_changed(d);
}

/*
 * Adds a call that was lost with its target, unless it explains the crash: its
 * parts are quarantined, or were until lately and are again from now on.
 */
static void
add_crash_call(
    struct discovery *d, const char *target, const struct part_set *parts)
{
	struct crash_suspects *s =
	    suspects_of(d, roster_service(&d->roster, target));
	int64_t now_ms = clock_wall() / USEC_PER_MSEC;
	const struct quarantine_entry *ended =
	    quarantine_match_ended(&d->quarantine, parts, now_ms);

	if (ended != NULL) {
		struct part_set again = ended->parts;

		begin_quarantine(
		    d, &again, ended->length_ms, "crashed a target again");
	}
	if (quarantine_match(&d->quarantine, parts, now_ms) != NULL)
		crash_suspects_explain(s, target, clock_now());
	else
		crash_suspects_add(s, target, parts, clock_now());
}

static void
on_crash(struct discovery *d, const peer_crash *c)
{
	struct crash_suspects *s =
	    suspects_of(d, roster_service(&d->roster, c->target));
	struct part_set parts;

	for (u_int i = 0; i < c->known.known_len; i++) {
		parts = (struct part_set){ { c->known.known_val[i] }, 1 };
		crash_suspects_known(s, &parts);
	}
	log_text(LOG_LVL_NOTICE, "target-crashed",
	    "%s, with %u calls that had no answer", c->target,
	    c->calls.calls_len);
	for (u_int i = 0; i < c->calls.calls_len; i++) {
		read_prompt(&c->calls.calls_val[i], &parts);
		add_crash_call(d, c->target, &parts);
	}
	d->crashes_reported = true;
}

static void
send_to_others(struct discovery *d, const peer_body *body)
{
	struct members *m = fleet_members(d->fleet);
	size_t n;
	const char *const *ids = member_live(m, &n);

	for (size_t i = 0; i < n; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x != NULL && strcmp(ids[i], d->o.settings->id) != 0)
			rpc_send(d->rpc, member_rpc(x), body);
	}
}

/* Asks all hosts, also this one, which of the parts they know. */
static void
ask_hosts(
    struct discovery *d, const char *service, const struct part_set *parts)
{
	peer_letter l = { .body.kind = PEER_SUSPECTS };
	peer_suspects *q = &l.body.peer_body_u.suspects;
	peer_prompt *p = &q->parts;

	q->service = str_dup(str_from(service));
	p->parts.parts_val = xcalloc(parts->n, sizeof(parts->v[0]));
	memcpy(p->parts.parts_val, parts->v, parts->n * sizeof(parts->v[0]));
	p->parts.parts_len = (u_int)parts->n;
	send_to_others(d, &l.body);
	l.from = str_dup(str_from(d->o.settings->id));
	l.rpc = str_dup(str_from(d->o.settings->rpc));
	d->o.relay_datagram(d->o.arg, &l);
	xdr_free((xdrproc_t)xdr_peer_letter, (char *)&l);
}

static void
blame_parts_of(
    struct discovery *d, const char *service, struct crash_suspects *s)
{
	uint32_t rank = collector_rank(d);
	usec_t now = clock_now();
	struct part_set parts;
	struct crash_blame b;

	while (crash_suspects_ask(s, rank, now, &parts))
		ask_hosts(d, service, &parts);
	while (crash_suspects_blame(s, now, &b)) {
		g_autofree char *why = g_strdup_printf("%u targets crashed%s",
		    b.crashes, b.known ? ", parts were answered before" : "");

		begin_quarantine(d, &b.parts,
		    b.known ? QUARANTINE_KNOWN_MS : QUARANTINE_FIRST_MS, why);
	}
	d->suspects_waiting = d->suspects_waiting || s->waiting;
}

void
discovery_blame_parts(struct discovery *d)
{
	GHashTableIter it;
	gpointer service;
	gpointer s;

	if (!d->crashes_reported && !d->suspects_waiting)
		return;
	d->crashes_reported = false;
	d->suspects_waiting = false;
	g_hash_table_iter_init(&it, d->suspects);
	while (g_hash_table_iter_next(&it, &service, &s))
		blame_parts_of(d, service, s);
}

static void
on_answered(struct discovery *d, const peer_prompt *p)
{
	struct part_set parts;
	GHashTableIter it;
	gpointer s;

	read_prompt(p, &parts);
	g_hash_table_iter_init(&it, d->suspects);
	while (g_hash_table_iter_next(&it, NULL, &s))
		crash_suspects_answered(s, &parts);
	if (!quarantine_answered(&d->quarantine, &parts, clock_now()))
		return;
	log_text(LOG_LVL_NOTICE, "quarantine-narrowed",
	    "targets have answered on %zu parts", parts.n);
	quarantine_changed(d);
}

static void
on_known(struct discovery *d, const char *from, const peer_known *k)
{
	struct crash_suspects *s = suspects_of(d, k->service);
	struct call_counts calls = { k->answered, k->lost };
	struct part_set parts;

	read_prompt(&k->parts, &parts);
	crash_suspects_known(s, &parts);
	crash_suspects_calls(s, from, &calls);
}

static void
on_suspects(struct discovery *d, peer_letter *l)
{
	const peer_suspects *q = &l->body.peer_body_u.suspects;
	struct part_set parts;

	read_prompt(&q->parts, &parts);
	crash_suspects_asked(suspects_of(d, q->service), &parts, clock_now());
	d->suspects_waiting = true;
	d->o.relay_datagram(d->o.arg, l);
}

void
discovery_on_quarantine(struct discovery *d, peer_letter *l)
{
	const peer_body *body = &l->body;

	switch (body->kind) {
	case PEER_CRASH:
		on_crash(d, &body->peer_body_u.crash);
		break;
	case PEER_ANSWERED:
		on_answered(d, &body->peer_body_u.answered);
		break;
	case PEER_QUARANTINE:
		discovery_read_quarantine(d,
		    str_from(body->peer_body_u.quarantine.id),
		    str_from(body->peer_body_u.quarantine.value), false);
		break;
	case PEER_SUSPECTS:
		on_suspects(d, l);
		break;
	case PEER_KNOWN:
		on_known(d, l->from, &body->peer_body_u.known);
		break;
	case PEER_GOSSIP:
	case PEER_CLAIM:
	case PEER_VERDICT:
	case PEER_SHARE_REPORT:
	case PEER_SHARE_REPLY:
	case PEER_PIECE_ASK:
	case PEER_PIECE_REPLY:
	case PEER_PIECE_FREE:
	case PEER_PIECE_FETCHED:
	case PEER_FEED:
	case PEER_LIMIT:
	case PEER_STREAM:
	case PEER_STREAM_ASK:
	case PEER_STREAM_REPLY:
	case PEER_STREAM_RECORD:
	case PEER_STREAM_RECORDED:
	case PEER_STREAM_LOOK:
	case PEER_STREAM_FOUND:
	case PEER_STREAM_READING:
	case PEER_PLACE_ASK:
	case PEER_PLACE_REPLY:
	case PEER_PLACE_NEWS:
	case PEER_BRITTLE:
		break; /* not about quarantined parts */
	}
}

/* Sends an entry to all other hosts, and to the store if that answers. */
static void
send_entry(struct discovery *d, const struct quarantine_entry *e)
{
	peer_body body = { .kind = PEER_QUARANTINE };
	struct buf value = { 0 };

	quarantine_write(e, &value);
	body.peer_body_u.quarantine.id = (char *)e->id;
	body.peer_body_u.quarantine.value = value.p;
	send_to_others(d, &body);
	if (!d->store_unavailable) {
		g_autofree char *key = g_strconcat(ITEM_PREFIX, e->id, NULL);

		kv_put_item(d->kv, str_from(key), str_of(&value), NULL, NULL);
	}
	buf_free(&value);
}

/* Forgets entries that have ended long ago. */
static void
forget_ended(struct discovery *d, bool delete_stored)
{
	const struct quarantine_entry *e;

	while ((e = quarantine_next_ended(
		    &d->quarantine, clock_wall() / USEC_PER_MSEC)) != NULL) {
		g_autofree char *key = g_strconcat(ITEM_PREFIX, e->id, NULL);

		if (delete_stored)
			kv_delete_item(d->kv, str_from(key), NULL, NULL);
		quarantine_delete(&d->quarantine, str_from(e->id));
		quarantine_changed(d);
	}
}

bool
discovery_quarantine_unsent(struct discovery *d)
{
	return quarantine_has_unsent(&d->quarantine) &&
	    collector_rank(d) < CRASH_COLLECTORS;
}

void
discovery_send_quarantine(struct discovery *d, usec_t now)
{
	const struct quarantine_entry *e;
	uint32_t rank;

	if (d->quarantine.entries->len == 0)
		return;
	rank = collector_rank(d);
	forget_ended(d, rank == 0 && !d->store_unavailable);
	if (rank == CRASH_COLLECTORS)
		return;
	while ((e = quarantine_next_due(&d->quarantine, rank, now)) != NULL)
		send_entry(d, e);
}
