#include "entry/steward_state.h"
#include "kernel/feeders.h"
#include "platform/config.h"

#include <stdlib.h>
#include <string.h>

/* A host that follows the store tells the others at least so often. */
#define FEED_EVERY       (500 * USEC_PER_MSEC)
/* A host that hears of no one for so long follows the store itself. */
#define FEED_SILENCE     (1500 * USEC_PER_MSEC)
/* Larger values are fetched; a letter with some of them still fits. */
#define FEED_VALUE_BYTES 4000

static void
choose_feeders(struct steward *s, struct feeders *out)
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
send_feed(struct steward *s, const peer_body *body)
{
	struct members *m = fleet_members(s->fleet);
	const char *self = s->o.settings->id;
	struct feeders f;
	size_t n;
	const char *const *ids = member_live(m, &n);

	s->feed_at = clock_now();
	choose_feeders(s, &f);
	if (f.all || !feeders_follows(&f, self))
		return;
	for (size_t i = 0; i < n; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x != NULL && feeders_feeds(&f, self, ids[i]))
			rpc_send(s->rpc, member_rpc(x), body);
	}
}

/* Changes that the store told this host of, for others. */
void
steward_on_batch(void *arg, int64_t after, const struct kv_changes *c)
{
	struct steward *s = arg;
	peer_feed_item items[PEER_FEED_ITEMS];
	peer_body body = { .kind = PEER_FEED };
	peer_feed *f = &body.peer_body_u.feed;

	s->behind = false;
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
		items[i].large = x->value.n > FEED_VALUE_BYTES;
		if (!items[i].large && !x->deleted) {
			items[i].value.value_val = x->value.p;
			items[i].value.value_len = (u_int)x->value.n;
		}
	}
	send_feed(s, &body);
}

/* Says that nothing has changed. */
void
steward_feed_tick(struct steward *s, usec_t now)
{
	peer_body body = { .kind = PEER_FEED };
	int64_t revision = follow_revision(s->follow);

	if (s->away || revision == 0 || now - s->feed_at < FEED_EVERY)
		return;
	body.peer_body_u.feed.from = revision;
	body.peer_body_u.feed.to = revision;
	send_feed(s, &body);
}

/* Whether another host tells this one of the store. */
bool
steward_is_fed(struct steward *s, usec_t now)
{
	struct feeders f;

	if (s->behind || now - s->fed_at >= FEED_SILENCE)
		return false;
	choose_feeders(s, &f);
	return !feeders_follows(&f, s->o.settings->id);
}

void
steward_take_feed(struct steward *s, const peer_letter *l, usec_t now)
{
	const peer_feed *f = &l->body.peer_body_u.feed;
	int64_t known = follow_revision(s->follow);
	bool whole = known >= f->from;

	for (u_int i = 0; whole && i < f->items.items_len; i++)
		whole = !f->items.items_val[i].large ||
		    strcmp(f->items.items_val[i].key, PLATFORM_CONFIG_KEY) == 0;
	if (known == 0)
		return; /* the first reading is this host's own */
	s->fed_at = now;
	if (f->to <= known)
		return;
	if (!whole) {
		s->behind = true;
		return;
	}
	for (u_int i = 0; i < f->items.items_len; i++) {
		const peer_feed_item *x = &f->items.items_val[i];

		if (x->large) {
			s->config_wanted = true;
			g_strlcpy(
			    s->config_holder, l->rpc, sizeof(s->config_holder));
			continue;
		}
		steward_on_store(s, x->deleted ? FOLLOW_GONE : FOLLOW_PUT,
		    str_from(x->key),
		    (struct str){ x->value.value_val, x->value.value_len });
	}
	follow_adopt(s->follow, f->to);
}
