#include "entry/steward_state.h"
#include "base/log.h"
#include "base/pack.h"
#include "base/rng.h"
#include "platform/config.h"
#include "platform/target.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Gossip has rounds of half a second; two steps find each in time. */
#define STEP            (250 * USEC_PER_MSEC)
/* A store that is silent for so long is away; below the drain bound of 2 s. */
#define WAIT            (1500 * USEC_PER_MSEC)
/* Other hosts are asked this often while the store does not answer. */
#define ASK_PEER_EVERY  (500 * USEC_PER_MSEC)
/* The name under which peers serve what they know. */
#define STATE_NAME      "state"
#define MAX_STATE_BYTES ((size_t)64 * 1024 * 1024)
#define MAX_ENDPOINTS   1

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

void
steward_on_store(
    void *arg, enum follow_event ev, struct str key, struct str value)
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
			steward_store_config(s, value);
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

/* What this host knows, for one that the store turns away. */
static void
give_state(struct steward *s, peer_result *r)
{
	json_t *o;
	json_t *list = json_object();
	GHashTableIter it;
	gpointer k;
	gpointer v;

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
on_fetch(void *arg, const peer_query *q, peer_result *r)
{
	struct steward *s = arg;

	if (q->kind != PEER_GET_VALUE)
		return;
	if (strcmp(q->name, CONFIG_NAME) == 0)
		steward_give_config(s, r);
	else if (strcmp(q->name, STATE_NAME) == 0)
		give_state(s, r);
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
	steward_note_config(s, str_from(config), "another host");
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
				steward_take_feed(s, &m->letter, clock_now());
			break;
		case MAIL_FETCHED:
			if (strcmp(m->fetched.name, CONFIG_NAME) == 0)
				steward_packed_config(s, m->fetched.found,
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

	if (!s->away || now - s->asked_at < ASK_PEER_EVERY)
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

	if (!steward_is_fed(s, now))
		next = earlier(next, follow_tick(s->follow, now));
	next = earlier(next, roster_tick(&s->roster, now));
	fleet_tick(s->fleet, now, USEC_PER_SEC);
	ask_peer(s, now);
	steward_read_config(s, now);
	steward_fetch_config(s, now);
	steward_feed_tick(s, now);
	publish(s, now);
	http_run(s->loop, next > now ? next - now : 0);
	take_mail(s);
	steward_read_config(s, clock_now());
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
	    .handler = steward_on_store,
	    .batch = steward_on_batch,
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
