#include "entry/discovery_state.h"
#include "base/log.h"
#include "kernel/feeders.h"
#include "platform/config.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A feeder sends a datagram, possibly empty, at least this often. */
#define FEED_INTERVAL        (500 * USEC_PER_MSEC)
/* A receiver that gets no feed for this time watches the store itself. */
#define FEED_TIMEOUT         (1500 * USEC_PER_MSEC)
/* Larger values are not sent; receivers fetch them. */
#define MAX_FEED_VALUE_BYTES 4000
/* A restore of the store is announced for this time, as datagrams get lost. */
#define ANNOUNCE_TIME        (2 * USEC_PER_SEC)
/* Receivers list the store after a random part of this time. */
#define LISTING_SPREAD       (500 * USEC_PER_MSEC)

static void
choose_feeders(struct discovery *d, struct feeders *out)
{
	struct members *m = fleet_members(d->fleet);
	size_t n_live;
	const char *const *ids = member_live(m, &n_live);
	struct rendezvous_host *v = xcalloc(n_live, sizeof(*v));
	size_t n = 0;

	for (size_t i = 0; i < n_live; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x != NULL)
			v[n++] =
			    (struct rendezvous_host){ ids[i], x->capacity };
	}
	feeders_choose(out, v, n);
	free(v);
}

/* Sends a feed datagram to the receivers of this host, if it is a feeder. */
static void
send_feed(struct discovery *d, const peer_body *body)
{
	struct members *m = fleet_members(d->fleet);
	const char *self = d->o.settings->id;
	struct feeders f;
	size_t n;
	const char *const *ids = member_live(m, &n);

	d->feed_sent_at = clock_now();
	choose_feeders(d, &f);
	if (f.all || !feeders_watches(&f, self))
		return;
	for (size_t i = 0; i < n; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x != NULL && feeders_feeds(&f, self, ids[i]))
			rpc_send(d->rpc, member_rpc(x), body);
	}
}

void
discovery_write_feed(peer_feed *f, peer_feed_item items[PEER_FEED_ITEMS],
    int64_t after, const struct kv_changes *c)
{
	u_int n = 0;

	memset(items, 0, PEER_FEED_ITEMS * sizeof(items[0]));
	f->to = c->as_of;
	f->items.items_val = items;
	/* A batch that is too large appears as a gap: receivers then poll. */
	f->from = c->n <= PEER_FEED_ITEMS ? after : c->as_of;
	for (size_t i = 0; i < c->n && c->n <= PEER_FEED_ITEMS; i++) {
		const struct kv_change *x = &c->v[i];

		/*
		 * Receivers learn of other hosts by gossip, and read recorded
		 * streams when they need them.  No key of this fleet is longer
		 * than the message's.
		 */
		if (x->key.n > PEER_KEY_MAX ||
		    str_eq(str_of(&x->key), STR(HOSTS_KEY)) ||
		    discovery_is_stream_record(str_of(&x->key)))
			continue;
		items[n].key = x->key.p;
		items[n].deleted = x->deleted;
		items[n].large = x->value.n > MAX_FEED_VALUE_BYTES;
		if (!items[n].large && !x->deleted) {
			items[n].value.value_val = x->value.p;
			items[n].value.value_len = (u_int)x->value.n;
		}
		n++;
	}
	f->items.items_len = n;
	if (xdr_sizeof((xdrproc_t)xdr_peer_feed, f) <= RPC_MAX_BODY_BYTES)
		return;
	f->from = c->as_of;
	f->items.items_len = 0;
}

void
discovery_forward_batch(void *arg, int64_t after, const struct kv_changes *c)
{
	struct discovery *d = arg;
	peer_feed_item items[PEER_FEED_ITEMS];
	peer_body body = { .kind = PEER_FEED };

	d->feed_gap = false;
	d->confirmed_at = clock_now();
	if (c->n == 0)
		return;
	discovery_write_feed(&body.peer_body_u.feed, items, after, c);
	send_feed(d, &body);
}

void
discovery_announce_restore(struct discovery *d, usec_t now)
{
	d->announce_until = now + ANNOUNCE_TIME;
	d->announced_at = 0;
}

/*
 * A datagram whose revisions go back announces that the store was restored: its
 * receiver lists the store anew.  The difference tells one restore from
 * another: it is the store's era or, if that isn't known, a count.  Receivers
 * that don't know this take it for a gap, or for an old datagram.
 */
void
discovery_feed_heartbeat(struct discovery *d, usec_t now)
{
	peer_body body = { .kind = PEER_FEED };
	int64_t revision = watcher_revision(d->watcher);
	uint64_t era = watcher_era(d->watcher);
	bool announces = now < d->announce_until;
	usec_t sent_at = announces ? d->announced_at : d->feed_sent_at;

	if (d->store_unavailable || revision == 0 ||
	    now - sent_at < FEED_INTERVAL)
		return;
	body.peer_body_u.feed.from = revision;
	body.peer_body_u.feed.to = revision;
	if (announces) {
		d->announced_at = now;
		body.peer_body_u.feed.from +=
		    (int64_t)(era != 0 ? era : d->restores);
	}
	send_feed(d, &body);
}

bool
discovery_is_first_feeder(struct discovery *d)
{
	struct feeders f;
	const char *self = d->o.settings->id;
	const char *const *live;
	size_t n;

	choose_feeders(d, &f);
	if (!f.all)
		return f.n > 0 && strcmp(f.ids[0], self) == 0;
	live = member_live(fleet_members(d->fleet), &n);
	return n > 0 && strcmp(live[0], self) == 0;
}

bool
discovery_has_feeder(struct discovery *d, usec_t now)
{
	struct feeders f;

	if (d->feed_gap || watcher_revision(d->watcher) == 0 ||
	    now - d->feed_received_at >= FEED_TIMEOUT)
		return false;
	choose_feeders(d, &f);
	return !feeders_watches(&f, d->o.settings->id);
}

/* Handles a datagram that announces a restore of the store. */
static void
on_announcement(struct discovery *d, const peer_letter *l)
{
	const peer_feed *f = &l->body.peer_body_u.feed;
	uint64_t number = (uint64_t)f->from - (uint64_t)f->to;
	g_autofree char *sender =
	    g_strdup_printf("%s/%" PRIu64, l->from, (uint64_t)l->incarnation);
	uint64_t *last = g_hash_table_lookup(d->announced, sender);

	if (watcher_era(d->watcher) >= number ||
	    (last != NULL && *last == number))
		return;
	if (last == NULL) {
		last = g_new(uint64_t, 1);
		g_hash_table_insert(
		    d->announced, g_steal_pointer(&sender), last);
	}
	*last = number;
	watcher_restored(d->watcher, LISTING_SPREAD);
}

/* A feed tells that its sender has a new configuration. */
static void
note_config(struct discovery *d, const peer_letter *l)
{
	const peer_feed *f = &l->body.peer_body_u.feed;

	log_text(LOG_LVL_INFO, "config-heard",
	    "revision %" PRId64 " from the feed of %s%s", (int64_t)f->to,
	    l->rpc, d->config_fetch.in_flight ? ", during a fetch" : "");
	config_fetch_announced(&d->config_fetch, f->to, l->rpc);
}

static bool
is_large_config(const peer_feed_item *x)
{
	return x->large && strcmp(x->key, PLATFORM_CONFIG_KEY) == 0;
}

static void
apply_feed(struct discovery *d, const peer_letter *l)
{
	const peer_feed *f = &l->body.peer_body_u.feed;

	d->applying_feed = true;
	for (u_int i = 0; i < f->items.items_len; i++) {
		const peer_feed_item *x = &f->items.items_val[i];

		if (is_large_config(x))
			note_config(d, l);
		else
			discovery_on_store_event(d,
			    x->deleted ? WATCHER_DELETE : WATCHER_PUT,
			    str_from(x->key),
			    (struct str){
				x->value.value_val, x->value.value_len });
	}
	d->applying_feed = false;
	watcher_set_revision(d->watcher, f->to);
}

/* The other feeder of this host may have what the first one told of. */
static void
note_other_source(struct discovery *d, const peer_letter *l)
{
	const peer_feed *f = &l->body.peer_body_u.feed;

	for (u_int i = 0; i < f->items.items_len; i++) {
		if (is_large_config(&f->items.items_val[i]))
			config_fetch_announced(&d->config_fetch, f->to, l->rpc);
	}
}

/* Whether all values are there, or can be fetched from other hosts. */
static bool
has_values(const peer_feed *f)
{
	for (u_int i = 0; i < f->items.items_len; i++) {
		const peer_feed_item *x = &f->items.items_val[i];

		if (x->large && !is_large_config(x))
			return false;
	}
	return true;
}

void
discovery_on_feed(struct discovery *d, const peer_letter *l, usec_t now)
{
	const peer_feed *f = &l->body.peer_body_u.feed;

	switch (feeders_judge(
	    watcher_revision(d->watcher), f->from, f->to, has_values(f))) {
	case FEED_APPLY:
		d->feed_received_at = now;
		apply_feed(d, l);
		d->confirmed_at = now;
		break;
	case FEED_CURRENT:
		note_other_source(d, l);
		d->feed_received_at = now;
		d->confirmed_at = now;
		break;
	case FEED_BEHIND:
		break;
	case FEED_GAP:
		d->feed_received_at = now;
		d->feed_gap = true;
		break;
	case FEED_RESTORED:
		on_announcement(d, l);
		break;
	}
}
