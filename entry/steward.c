#include "entry/steward.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/pack.h"
#include "base/rng.h"
#include "entry/fetcher.h"
#include "entry/fleet.h"
#include "entry/inbox.h"
#include "kernel/feeders.h"
#include "plat/follow.h"
#include "platform/config.h"
#include "platform/target.h"

#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* Gossip has rounds of half a second; two steps find each in time. */
#define STEP             (250 * USEC_PER_MSEC)
/* A store that is silent for so long is away; below the drain bound of 2 s. */
#define WAIT             (1500 * USEC_PER_MSEC)
/* Other hosts are asked this often while the store does not answer. */
#define ASK_PEER_EVERY   (500 * USEC_PER_MSEC)
/* A host that follows the store tells the others at least so often. */
#define FEED_EVERY       (500 * USEC_PER_MSEC)
/* A host that hears of no one for so long follows the store itself. */
#define FEED_SILENCE     (1500 * USEC_PER_MSEC)
/* Larger values are fetched; a letter with some of them still fits. */
#define FEED_VALUE_BYTES 4000
/* Reading configurations pauses so many times what the last one took. */
#define READ_SHARE       3
/* But not longer: they are to be in force within 2 s. */
#define READ_PAUSE       (500 * USEC_PER_MSEC)
/* The name under which peers serve what they know. */
#define STATE_NAME       "state"
/* And the configuration alone, packed. */
#define CONFIG_NAME      "config"
#define FROM_STORE       "the store"
/* Fetches from other hosts before the store is asked. */
#define CONFIG_TRIES     3
/* For the ways by which a configuration comes as a rule. */
#define RUMOUR_PATIENCE  (700 * USEC_PER_MSEC)
#define MAX_STATE_BYTES  ((size_t)64 * 1024 * 1024)
#define MAX_CONFIG_BYTES ((size_t)16 * 1024 * 1024)
#define MAX_ENDPOINTS    1

struct steward {
	struct steward_opts o;
	pthread_t thread;
	bool started;
	atomic_bool stopping;
	struct http_loop *loop;
	struct kv *kv;
	struct follow *follow;
	struct inbox *inbox;
	struct rpc *rpc;
	struct fetcher *fetcher;
	struct fleet *fleet;
	struct roster roster;
	struct routes *routes;
	bool away;              /* the store does not answer this host */
	bool changed;           /* a newer view is due */
	struct buf config_next; /* is to be read; empty: none */
	const char *config_source;
	usec_t config_at;   /* when one was read */
	usec_t config_cost; /* what that took */
	uint64_t roster_seen;
	usec_t asked_at;
	uint32_t config_failures; /* fetches in a row */
	usec_t rumour_at;    /* when a newer version was heard of; 0: none */
	bool config_wanted;  /* a newer one is to be read at the store */
	bool config_reading; /* that is under way */
	char config_holder[MAX_ADDR_BYTES]; /* a host that has it */
	struct buf config_packed; /* under the lock; empty: to be made */
	bool behind;    /* a wait at the store will bring what is missing */
	usec_t fed_at;  /* when another host last told of the store */
	usec_t feed_at; /* when this one last told others */
	pthread_mutex_t lock; /* of the following */
	struct buf config_text;
	GHashTable *target_texts; /* key -> value as it stands in the store */
	struct steward_counts counts;
};

/* What other hosts may fetch, also before it is read here. */
static void
serve_config(struct steward *s, struct str text)
{
	pthread_mutex_lock(&s->lock);
	buf_clear(&s->config_text);
	buf_put(&s->config_text, text);
	buf_clear(&s->config_packed);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Keeps the newest text of the configuration.  Versions that come in quick
 * succession are not read one by one: a large one takes a small host a tenth
 * of a second.
 */
static void
note_config(struct steward *s, struct str text, const char *source)
{
	buf_clear(&s->config_next);
	buf_put(&s->config_next, text);
	s->config_source = source;
}

/* Puts a configuration in force unless it is older. */
static void
take_config(struct steward *s, struct str text, const char *source)
{
	struct err e = { 0 };
	struct routes *r = platform_config(text, &e);

	if (r == NULL) {
		LOG(LOG_LVL_ERR, "config-refused",
		    { "detail", str_from(e.text) });
		return;
	}
	if (s->routes != NULL && r->version <= s->routes->version) {
		routes_unref(r);
		return;
	}
	log_text(LOG_LVL_NOTICE, "config-in-force",
	    "version %" PRIu64 " from %s, %u routes", r->version, source,
	    r->routes->len);
	routes_unref(s->routes);
	s->routes = r;
	s->changed = true;
	if (strcmp(source, FROM_STORE) != 0)
		serve_config(s, text);
	pthread_mutex_lock(&s->lock);
	s->counts.version = r->version;
	pthread_mutex_unlock(&s->lock);
	fleet_generation(s->fleet, r->version, clock_now());
}

static void
note_away(struct steward *s, bool away)
{
	s->away = away;
	if (away)
		LOG(LOG_LVL_WARNING, "store-away",
		    { "remedy",
			STR("see whether the store answers this host") });
	else
		LOG(LOG_LVL_NOTICE, "store-back", { "cause", STR("answered") });
	pthread_mutex_lock(&s->lock);
	s->counts.store_away = away;
	pthread_mutex_unlock(&s->lock);
	roster_store(&s->roster, away, clock_now());
	s->changed = true;
}

static void
put_target(struct steward *s, struct str key, struct str value)
{
	struct target_entry t;

	pthread_mutex_lock(&s->lock);
	g_hash_table_insert(s->target_texts, g_strndup(key.p, key.n),
	    g_strndup(value.p, value.n));
	pthread_mutex_unlock(&s->lock);
	if (!platform_target(key, value, &t)) {
		roster_remove(&s->roster, platform_target_id(key), clock_now());
		return;
	}
	if (t.leaving)
		LOG(LOG_LVL_INFO, "target-leaving", { "id", str_from(t.id) },
		    { "service", str_from(t.service) });
	roster_put(&s->roster, &t);
}

static void
drop_target(struct steward *s, struct str key)
{
	g_autofree char *k = g_strndup(key.p, key.n);

	pthread_mutex_lock(&s->lock);
	g_hash_table_remove(s->target_texts, k);
	pthread_mutex_unlock(&s->lock);
	LOG(LOG_LVL_INFO, "target-gone", { "id", platform_target_id(key) });
	roster_remove(&s->roster, platform_target_id(key), clock_now());
}

static void
on_config(struct steward *s, struct str text)
{
	serve_config(s, text);
	note_config(s, text, FROM_STORE);
}

static void
on_store(void *arg, enum follow_event ev, struct str key, struct str value)
{
	struct steward *s = arg;
	bool target = platform_target_id(key).n > 0;

	switch (ev) {
	case FOLLOW_BEGIN:
		roster_begin(&s->roster);
		pthread_mutex_lock(&s->lock);
		g_hash_table_remove_all(s->target_texts);
		pthread_mutex_unlock(&s->lock);
		break;
	case FOLLOW_PUT:
		if (target)
			put_target(s, key, value);
		else if (str_eq(key, STR(PLATFORM_CONFIG_KEY)))
			on_config(s, value);
		break;
	case FOLLOW_GONE:
		if (target)
			drop_target(s, key);
		break;
	case FOLLOW_FINISH:
		roster_finish(&s->roster, clock_now());
		break;
	case FOLLOW_AWAY:
	case FOLLOW_BACK:
		note_away(s, ev == FOLLOW_AWAY);
		break;
	}
}

/* The live hosts; freed with g_free, the ids are the members' own. */
static struct feeder_host *
live_hosts(struct steward *s, size_t *n)
{
	struct members *m = fleet_members(s->fleet);
	size_t most;
	const char *const *ids = member_live(m, &most);
	struct feeder_host *v = g_new0(struct feeder_host, most + 1);

	*n = 0;
	for (size_t i = 0; i < most; i++) {
		const struct member *x = member_find(m, ids[i]);

		if (x != NULL)
			v[(*n)++] = (struct feeder_host){ ids[i], x->capacity };
	}
	return v;
}

/* Sends a letter to the hosts that hear of the store from this one. */
static void
send_feed(struct steward *s, const peer_body *body)
{
	struct members *m = fleet_members(s->fleet);
	const char *self = s->o.settings->id;
	size_t n;
	g_autofree struct feeder_host *v = live_hosts(s, &n);

	s->feed_at = clock_now();
	if (n < FEEDERS_LEAST || !feeders_follows(v, n, self))
		return;
	for (size_t i = 0; i < n; i++) {
		if (feeders_feeds(v, n, self, v[i].id))
			rpc_send(
			    s->rpc, member_rpc(member_find(m, v[i].id)), body);
	}
}

/* Changes that the store told this host of, for others. */
static void
on_batch(void *arg, int64_t after, const struct kv_changes *c)
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
static void
feed_tick(struct steward *s, usec_t now)
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
static bool
is_fed(struct steward *s, usec_t now)
{
	size_t n;
	g_autofree struct feeder_host *v = NULL;

	if (s->behind || now - s->fed_at >= FEED_SILENCE)
		return false;
	v = live_hosts(s, &n);
	return !feeders_follows(v, n, s->o.settings->id);
}

static void take_packed_config(struct steward *s, bool found, struct str bytes);
static void on_store(
    void *arg, enum follow_event ev, struct str key, struct str value);

static void
take_feed(struct steward *s, const peer_letter *l, usec_t now)
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
		on_store(s, x->deleted ? FOLLOW_GONE : FOLLOW_PUT,
		    str_from(x->key),
		    (struct str){ x->value.value_val, x->value.value_len });
	}
	follow_adopt(s->follow, f->to);
}

/* The configuration, packed once for all that ask. */
static void
give_config(struct steward *s, peer_result *r)
{
	pthread_mutex_lock(&s->lock);
	if (s->config_packed.n == 0 && s->config_text.n > 0)
		pack(str_of(&s->config_text), &s->config_packed);
	r->found = s->config_packed.n > 0;
	if (r->found) {
		r->value.value_val = xcalloc(1, s->config_packed.n);
		memcpy(
		    r->value.value_val, s->config_packed.p, s->config_packed.n);
		r->value.value_len = (u_int)s->config_packed.n;
	}
	pthread_mutex_unlock(&s->lock);
}

/* What this host knows, for one that the store turns away. */
static void
on_fetch(void *arg, const peer_query *q, peer_result *r)
{
	struct steward *s = arg;
	json_t *o;
	json_t *list = json_object();
	GHashTableIter it;
	gpointer k;
	gpointer v;

	if (q->kind == PEER_GET_VALUE && strcmp(q->name, CONFIG_NAME) == 0)
		give_config(s, r);
	if (q->kind != PEER_GET_VALUE || strcmp(q->name, STATE_NAME) != 0) {
		json_decref(list);
		return;
	}
	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&it, s->target_texts);
	while (g_hash_table_iter_next(&it, &k, &v))
		json_object_set_new(list, k, json_string(v));
	o = json_pack("{s:I, s:o, s:o}", "revision",
	    (json_int_t)s->counts.revision, "config",
	    json_stringn(
		s->config_text.n > 0 ? s->config_text.p : "", s->config_text.n),
	    "targets", list);
	r->found = !s->counts.store_away && s->config_text.n > 0;
	pthread_mutex_unlock(&s->lock);
	if (r->found) {
		char *text = json_dumps(o, JSON_COMPACT);
		struct buf packed = { 0 };

		pack(str_from(text), &packed);
		r->value.value_val = packed.p;
		r->value.value_len = (u_int)packed.n;
		free(text);
	}
	json_decref(o);
}

static void
on_deliver(void *arg, peer_letter *l)
{
	struct steward *s = arg;
	struct mail *m;

	switch (l->body.kind) {
	case PEER_PIECE_ASK:
	case PEER_PIECE_REPLY:
	case PEER_PIECE_FREE:
		s->o.letter(s->o.arg, l);
		return;
	case PEER_GOSSIP:
	case PEER_CLAIM:
	case PEER_VERDICT:
	case PEER_SHARE_REPORT:
	case PEER_SHARE_REPLY:
	case PEER_FEED:
		break;
	}
	m = mail_new(MAIL_LETTER);
	m->letter = *l;
	memset(l, 0, sizeof(*l));
	inbox_put(s->inbox, m);
	http_wake(s->loop);
}

/* A peer's knowledge, which is as good as a whole reading. */
static void
take_state(struct steward *s, struct str bytes)
{
	struct buf text = { 0 };
	json_t *o = unpack(bytes, MAX_STATE_BYTES, &text)
	    ? json_loadb(text.p, text.n, 0, NULL)
	    : NULL;
	const char *config = json_string_value(json_object_get(o, "config"));
	int64_t revision = json_integer_value(json_object_get(o, "revision"));
	const char *key;
	json_t *v;

	if (config == NULL) {
		log_text(LOG_LVL_WARNING, "peer-state", "not readable");
		json_decref(o);
		buf_free(&text);
		return;
	}
	note_config(s, str_from(config), "another host");
	if (s->away || revision > follow_revision(s->follow)) {
		roster_store(&s->roster, false, clock_now());
		roster_begin(&s->roster);
		json_object_foreach(json_object_get(o, "targets"), key, v)
		{
			if (json_is_string(v))
				put_target(s, str_from(key),
				    str_from(json_string_value(v)));
		}
		roster_finish(&s->roster, clock_now());
		if (!s->away)
			follow_adopt(s->follow, revision);
	}
	json_decref(o);
	buf_free(&text);
}

static void
take_mail(struct steward *s)
{
	struct mail *m;

	while ((m = inbox_take(s->inbox)) != NULL) {
		switch (m->kind) {
		case MAIL_LETTER:
			if (m->letter.body.kind == PEER_GOSSIP)
				fleet_letter(s->fleet, &m->letter, clock_now());
			else if (m->letter.body.kind == PEER_FEED)
				take_feed(s, &m->letter, clock_now());
			break;
		case MAIL_FETCHED:
			if (strcmp(m->fetched.name, CONFIG_NAME) == 0)
				take_packed_config(s, m->fetched.found,
				    str_of(&m->fetched.value));
			else if (!m->fetched.found)
				LOG(LOG_LVL_NOTICE, "peer-silent",
				    { "detail", STR("no state came from it") });
			else
				take_state(s, str_of(&m->fetched.value));
			break;
		case MAIL_DRAIN:
			fleet_drain(s->fleet, clock_now());
			break;
		case MAIL_CLAIM:
		case MAIL_LEFT:
		case MAIL_VIEW:
			break; /* never sent to this thread */
		}
		mail_free(m);
	}
}

static void
ask_peer(struct steward *s, usec_t now)
{
	const char *addr;

	if (!s->counts.store_away || now - s->asked_at < ASK_PEER_EVERY)
		return;
	addr = member_source(fleet_members(s->fleet),
	    s->routes != NULL ? s->routes->version : 1, rng_entropy());
	if (addr != NULL && fetcher_ask(s->fetcher, addr, STATE_NAME))
		s->asked_at = now;
}

static GArray *
live_peers(struct steward *s)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct view_peer));
	struct members *m = fleet_members(s->fleet);
	size_t n;
	const char *const *ids = member_live(m, &n);

	for (size_t i = 0; i < n; i++) {
		const struct member *x = member_find(m, ids[i]);
		struct view_peer p = { 0 };

		if (x == NULL)
			continue;
		g_strlcpy(p.id, ids[i], sizeof(p.id));
		g_strlcpy(p.rpc, member_rpc(x), sizeof(p.rpc));
		p.capacity = x->capacity;
		g_array_append_val(out, p);
	}
	return out;
}

static void
publish(struct steward *s, usec_t now)
{
	struct view *v;

	if (!s->changed && s->roster.version == s->roster_seen)
		return;
	s->changed = false;
	s->roster_seen = s->roster.version;
	v = xcalloc(1, sizeof(*v));
	v->routes = routes_ref(s->routes);
	v->targets = roster_list(&s->roster);
	v->peers = live_peers(s);
	v->store_away = s->away;
	v->made = now;
	s->o.view(s->o.arg, v);
}

static void
on_members(void *arg, usec_t now)
{
	struct steward *s = arg;

	(void)now;
	s->changed = true;
}

/* The host list of the platform's own form is not used here. */
static void
on_listed(void *arg, const struct listed_target *v, size_t n)
{
	(void)arg;
	(void)v;
	(void)n;
}

/*
 * Reads the configuration that came last.  After one that took long the next
 * waits, so that reading takes a quarter of the time at the most.
 */
static void
read_config(struct steward *s, usec_t now)
{
	usec_t pause = READ_SHARE * s->config_cost;

	if (s->config_next.n == 0 ||
	    now - s->config_at < (pause < READ_PAUSE ? pause : READ_PAUSE))
		return;
	take_config(s, str_of(&s->config_next), s->config_source);
	buf_clear(&s->config_next);
	s->config_at = clock_now();
	s->config_cost = s->config_at - now;
}

static void
on_config_item(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct steward *s = arg;

	s->config_reading = false;
	if (st == KV_OK && c->n > 0) {
		note_config(s, str_of(&c->v[0].value), FROM_STORE);
		return;
	}
	/* The own wait finds out whether the store is away. */
	s->behind = true;
	s->config_wanted = true;
}

/* The configuration has come from another host; else the store has it. */
static void
take_packed_config(struct steward *s, bool found, struct str bytes)
{
	struct buf text = { 0 };

	s->config_reading = false;
	s->config_holder[0] = '\0';
	if (found && unpack(bytes, MAX_CONFIG_BYTES, &text)) {
		s->config_failures = 0;
		note_config(s, str_of(&text), "another host");
	} else {
		s->config_wanted = true;
		if (++s->config_failures < CONFIG_TRIES)
			g_strlcpy(s->config_holder,
			    fleet_members(s->fleet)->holder,
			    sizeof(s->config_holder));
	}
	buf_free(&text);
}

/* Others have had a newer configuration in force for a while. */
static void
hear_rumour(struct steward *s, usec_t now)
{
	const struct members *m = fleet_members(s->fleet);
	uint64_t mine = s->routes != NULL ? s->routes->version : 0;

	if (m->generation <= mine) {
		s->rumour_at = 0;
	} else if (s->rumour_at == 0) {
		s->rumour_at = now;
	} else if (now - s->rumour_at > RUMOUR_PATIENCE) {
		s->rumour_at = now;
		s->config_wanted = true;
		g_strlcpy(
		    s->config_holder, m->holder, sizeof(s->config_holder));
	}
}

/*
 * Gets a large configuration from the host that told of it, packed, or else
 * from the store.  Load pattern: versions of 800 KB in quick succession; read
 * by every host they fill the store's link for seconds.  Of several only the
 * newest is read.
 */
static void
fetch_config(struct steward *s, usec_t now)
{
	hear_rumour(s, now);
	if (!s->config_wanted || s->config_reading || s->config_next.n > 0)
		return;
	if (s->config_holder[0] != '\0') {
		if (!fetcher_ask(s->fetcher, s->config_holder, CONFIG_NAME))
			return; /* it is busy; again at the next step */
		s->config_wanted = false;
		s->config_reading = true;
		return;
	}
	s->config_wanted = false;
	s->config_reading = true;
	kv_read(s->kv, STR(PLATFORM_CONFIG_KEY), on_config_item, s);
}

static usec_t
earlier(usec_t a, usec_t b)
{
	return b != 0 && b < a ? b : a;
}

static void
turn(struct steward *s)
{
	usec_t now = clock_now();
	usec_t next = now + STEP;

	if (!is_fed(s, now))
		next = earlier(next, follow_tick(s->follow, now));
	next = earlier(next, roster_tick(&s->roster, now));
	fleet_tick(s->fleet, now, USEC_PER_SEC);
	ask_peer(s, now);
	read_config(s, now);
	fetch_config(s, now);
	feed_tick(s, now);
	publish(s, now);
	http_run(s->loop, next > now ? next - now : 0);
	take_mail(s);
	read_config(s, clock_now());
	publish(s, clock_now());
	pthread_mutex_lock(&s->lock);
	s->counts.store_calls = kv_calls(s->kv);
	s->counts.revision = follow_revision(s->follow);
	pthread_mutex_unlock(&s->lock);
}

static void *
run(void *arg)
{
	struct steward *s = arg;

	while (!atomic_load(&s->stopping))
		turn(s);
	fleet_leave(s->fleet, clock_now());
	return NULL;
}

static void
wake(void *arg)
{
	struct steward *s = arg;

	http_wake(s->loop);
}

static void
open_store(struct steward *s)
{
	const char *endpoints[MAX_ENDPOINTS] = { s->o.settings->kv };

	s->kv = kv_new(&(struct kv_opts){
	    .loop = s->loop,
	    .endpoints = endpoints,
	    .n_endpoints = MAX_ENDPOINTS,
	    .timeout = s->o.settings->kv_timeout,
	    .form = KV_FORM_PLATFORM,
	});
	/* One wait for configuration and targets: each call is counted. */
	s->follow = follow_new(&(struct follow_opts){
	    .kv = s->kv,
	    .prefix = STR(""),
	    .wait = WAIT,
	    .seed = rng_entropy(),
	    .handler = on_store,
	    .batch = on_batch,
	    .arg = s,
	});
}

struct steward *
steward_new(const struct steward_opts *o, struct err *e)
{
	struct steward *s = xcalloc(1, sizeof(*s));

	s->o = *o;
	pthread_mutex_init(&s->lock, NULL);
	s->target_texts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	roster_init(&s->roster);
	s->loop = http_new();
	s->inbox = inbox_new();
	open_store(s);
	s->rpc = rpc_start(
	    &(struct rpc_opts){
		.id = o->settings->id,
		.addr = o->settings->rpc,
		.fleet_key = o->settings->fleet_key,
		.incarnation = o->incarnation,
		.deliver = on_deliver,
		.fetch = on_fetch,
		.arg = s,
	    },
	    e);
	if (s->rpc == NULL) {
		steward_free(s);
		return NULL;
	}
	s->fleet = fleet_new(&(struct fleet_opts){
	    .settings = o->settings,
	    .loop = s->loop,
	    .rpc = s->rpc,
	    .incarnation = o->incarnation,
	    .targets = on_listed,
	    .members = on_members,
	    .arg = s,
	});
	s->fetcher = fetcher_start(&(struct fetcher_opts){
	    .rpc = s->rpc,
	    .inbox = s->inbox,
	    .wake = wake,
	    .arg = s,
	});
	return s;
}

void
steward_start(struct steward *s)
{
	s->started = true;
	pthread_create(&s->thread, NULL, run, s);
}

struct rpc *
steward_rpc(struct steward *s)
{
	return s->rpc;
}

struct steward_counts
steward_counts(struct steward *s)
{
	struct steward_counts c;

	pthread_mutex_lock(&s->lock);
	c = s->counts;
	pthread_mutex_unlock(&s->lock);
	c.rpc = rpc_counts(s->rpc);
	return c;
}

void
steward_drain(struct steward *s)
{
	inbox_put(s->inbox, mail_new(MAIL_DRAIN));
	http_wake(s->loop);
}

void
steward_stop(struct steward *s)
{
	fetcher_stop(s->fetcher);
	atomic_store(&s->stopping, true);
	http_wake(s->loop);
	if (s->started)
		pthread_join(s->thread, NULL);
	rpc_stop(s->rpc);
}

void
steward_free(struct steward *s)
{
	if (s->fleet != NULL)
		fleet_free(s->fleet);
	kv_free(s->kv);
	follow_free(s->follow);
	inbox_free(s->inbox);
	http_free(s->loop);
	roster_free(&s->roster);
	routes_unref(s->routes);
	g_hash_table_destroy(s->target_texts);
	buf_free(&s->config_text);
	buf_free(&s->config_next);
	buf_free(&s->config_packed);
	pthread_mutex_destroy(&s->lock);
	free(s);
}
