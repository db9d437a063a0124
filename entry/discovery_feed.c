#include "entry/discovery_state.h"
#include "kernel/feeders.h"
#include "platform/config.h"

#include <stdlib.h>
#include <string.h>

/* A host that follows the store tells the others at least so often. */
#define FEED_INTERVAL        (500 * USEC_PER_MSEC)
/* A host that hears of no one for so long follows the store itself. */
#define FEED_TIMEOUT         (1500 * USEC_PER_MSEC)
/* Larger values are fetched; a letter with some of them still fits. */
#define MAX_FEED_VALUE_BYTES 4000

static void
choose_feeders(struct discovery *s, struct feeders *out)
{
	struct members *m = fleet_members(s->fleet);
	size_t most;
	const char *const *ids = member_live(m, &most);
	struct feeder_host *v = xcalloc(most, sizeof(*v));
	size_t n = 0;

	for (size_t i = 0; i < most; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x != NULL)
			v[n++] = (struct feeder_host){ ids[i], x->capacity };
	}
	feeders_choose(out, v, n);
	free(v);
}

/* Sends a letter to the hosts that hear of the store from this one. */
static void
send_feed(struct discovery *s, const peer_body *body)
{
	struct members *m = fleet_members(s->fleet);
	const char *self = s->o.settings->id;
	struct feeders f;
	size_t n;
	const char *const *ids = member_live(m, &n);

	s->feed_sent_at = clock_now();
	choose_feeders(s, &f);
	if (f.all || !feeders_watches(&f, self))
		return;
	for (size_t i = 0; i < n; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x != NULL && feeders_feeds(&f, self, ids[i]))
			rpc_send(s->rpc, member_rpc(x), body);
	}
}

/* Changes that the store told this host of, for others. */
void
discovery_forward_batch(void *arg, int64_t after, const struct kv_changes *c)
{
	struct discovery *s = arg;
	peer_feed_item items[PEER_FEED_ITEMS];
	peer_body body = { .kind = PEER_FEED };
	peer_feed *f = &body.peer_body_u.feed;

	s->feed_gap = false;
	if (c->n == 0)
		return;
	memset(items, 0, sizeof(items));
	f->to = c->as_of;
	f->items.items_val = items;
	/* What does not fit shows as a gap, and is fetched. */
	f->from = c->n <= PEER_FEED_ITEMS ? after : c->as_of;
	f->items.items_len = c->n <= PEER_FEED_ITEMS ? (u_int)c->n : 0;
	for (u_int i = 0; i < f->items.items_len; i++) {
		const struct kv_change *x = &c->v[i];

		items[i].key = x->key.p;
		items[i].deleted = x->deleted;
		items[i].large = x->value.n > MAX_FEED_VALUE_BYTES;
		if (!items[i].large && !x->deleted) {
			items[i].value.value_val = x->value.p;
			items[i].value.value_len = (u_int)x->value.n;
		}
	}
	send_feed(s, &body);
}

/* Says that nothing has changed. */
void
discovery_feed_heartbeat(struct discovery *s, usec_t now)
{
	peer_body body = { .kind = PEER_FEED };
	int64_t revision = watcher_revision(s->watcher);

	if (s->store_unavailable || revision == 0 ||
	    now - s->feed_sent_at < FEED_INTERVAL)
		return;
	body.peer_body_u.feed.from = revision;
	body.peer_body_u.feed.to = revision;
	send_feed(s, &body);
}

/* Whether another host tells this one of the store. */
bool
discovery_has_feeder(struct discovery *s, usec_t now)
{
	struct feeders f;

	if (s->feed_gap || now - s->feed_received_at >= FEED_TIMEOUT)
		return false;
	choose_feeders(s, &f);
	return !feeders_watches(&f, s->o.settings->id);
}

void
discovery_on_feed(struct discovery *s, const peer_letter *l, usec_t now)
{
	const peer_feed *f = &l->body.peer_body_u.feed;
	int64_t known = watcher_revision(s->watcher);
	bool whole = known >= f->from;

	for (u_int i = 0; whole && i < f->items.items_len; i++)
		whole = !f->items.items_val[i].large ||
		    strcmp(f->items.items_val[i].key, PLATFORM_CONFIG_KEY) == 0;
	if (known == 0)
		return; /* the first reading is this host's own */
	s->feed_received_at = now;
	if (f->to <= known)
		return;
	if (!whole) {
		s->feed_gap = true;
		return;
	}
	for (u_int i = 0; i < f->items.items_len; i++) {
		const peer_feed_item *x = &f->items.items_val[i];

		if (x->large) {
			s->config_fetch_due = true;
			g_strlcpy(
			    s->config_holder, l->rpc, sizeof(s->config_holder));
			continue;
		}
		discovery_on_store_event(s,
		    x->deleted ? WATCHER_DELETE : WATCHER_PUT, str_from(x->key),
		    (struct str){ x->value.value_val, x->value.value_len });
	}
	watcher_set_revision(s->watcher, f->to);
}
