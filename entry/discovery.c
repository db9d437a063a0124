#include "entry/discovery_state.h"
#include "base/log.h"
#include "base/compress.h"
#include "base/rng.h"
#include "platform/config.h"
#include "platform/target.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Gossip has rounds of half a second; two steps find each in time. */
#define STEP                (250 * USEC_PER_MSEC)
/* A store that is silent for so long is away; below the drain bound of 2 s. */
#define WAIT                (1500 * USEC_PER_MSEC)
/* Other hosts are asked this often while the store does not answer. */
#define PEER_FETCH_INTERVAL (500 * USEC_PER_MSEC)
/* The name under which peers serve what they know. */
#define STATE_NAME          "state"
#define MAX_STATE_BYTES     ((size_t)64 * 1024 * 1024)
#define MAX_ENDPOINTS       1

static void
set_store_unavailable(struct discovery *s, bool away)
{
	s->store_unavailable = away;
	if (away)
		LOG(LOG_LVL_WARNING, "store-away",
		    { "remedy",
			STR("see whether the store answers this host") });
	else
		LOG(LOG_LVL_NOTICE, "store-back", { "cause", STR("answered") });
	pthread_mutex_lock(&s->lock);
	s->counts.store_unavailable = away;
	pthread_mutex_unlock(&s->lock);
	roster_set_store(&s->roster, away, clock_now());
	s->view_dirty = true;
}

static void
put_target(struct discovery *s, struct str key, struct str value)
{
	struct target_entry t;

	pthread_mutex_lock(&s->lock);
	g_hash_table_insert(s->target_values, g_strndup(key.p, key.n),
	    g_strndup(value.p, value.n));
	pthread_mutex_unlock(&s->lock);
	if (!platform_target_parse(key, value, &t)) {
		roster_remove(&s->roster, platform_target_id(key), clock_now());
		return;
	}
	if (t.leaving)
		LOG(LOG_LVL_INFO, "target-leaving", { "id", str_from(t.id) },
		    { "service", str_from(t.service) });
	roster_put(&s->roster, &t);
}

static void
drop_target(struct discovery *s, struct str key)
{
	g_autofree char *k = g_strndup(key.p, key.n);

	pthread_mutex_lock(&s->lock);
	g_hash_table_remove(s->target_values, k);
	pthread_mutex_unlock(&s->lock);
	LOG(LOG_LVL_INFO, "target-gone", { "id", platform_target_id(key) });
	roster_remove(&s->roster, platform_target_id(key), clock_now());
}

void
discovery_on_store_event(
    void *arg, enum watcher_event ev, struct str key, struct str value)
{
	struct discovery *s = arg;
	bool target = platform_target_id(key).n > 0;

	switch (ev) {
	case WATCHER_LIST_BEGIN:
		roster_begin(&s->roster);
		pthread_mutex_lock(&s->lock);
		g_hash_table_remove_all(s->target_values);
		pthread_mutex_unlock(&s->lock);
		break;
	case WATCHER_PUT:
		if (target)
			put_target(s, key, value);
		else if (str_eq(key, STR(PLATFORM_CONFIG_KEY)))
			discovery_config_from_store(s, value);
		break;
	case WATCHER_DELETE:
		if (target)
			drop_target(s, key);
		break;
	case WATCHER_LIST_END:
		roster_finish(&s->roster, clock_now());
		break;
	case WATCHER_UNAVAILABLE:
	case WATCHER_AVAILABLE:
		set_store_unavailable(s, ev == WATCHER_UNAVAILABLE);
		break;
	}
}

/* What this host knows, for one that the store turns away. */
static void
serve_state(struct discovery *s, peer_result *r)
{
	json_t *o;
	json_t *list = json_object();
	GHashTableIter it;
	gpointer k;
	gpointer v;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&it, s->target_values);
	while (g_hash_table_iter_next(&it, &k, &v))
		json_object_set_new(list, k, json_string(v));
	o = json_pack("{s:I, s:o, s:o}", "revision",
	    (json_int_t)s->counts.revision, "config",
	    json_stringn(
		s->config_text.n > 0 ? s->config_text.p : "", s->config_text.n),
	    "targets", list);
	r->found = !s->counts.store_unavailable && s->config_text.n > 0;
	pthread_mutex_unlock(&s->lock);
	if (r->found) {
		char *text = json_dumps(o, JSON_COMPACT);
		struct buf packed = { 0 };

		compress_text(str_from(text), &packed);
		r->value.value_val = packed.p;
		r->value.value_len = (u_int)packed.n;
		free(text);
	}
	json_decref(o);
}

static void
on_fetch(void *arg, const peer_query *q, peer_result *r)
{
	struct discovery *s = arg;

	if (q->kind != PEER_GET_VALUE)
		return;
	if (strcmp(q->name, CONFIG_NAME) == 0)
		discovery_serve_config(s, r);
	else if (strcmp(q->name, STATE_NAME) == 0)
		serve_state(s, r);
}

static void
on_deliver(void *arg, peer_letter *l)
{
	struct discovery *s = arg;
	struct inbox_msg *m;

	switch (l->body.kind) {
	case PEER_PIECE_ASK:
	case PEER_PIECE_REPLY:
	case PEER_PIECE_FREE:
		s->o.stage_datagram(s->o.arg, l);
		return;
	case PEER_GOSSIP:
	case PEER_CLAIM:
	case PEER_VERDICT:
	case PEER_SHARE_REPORT:
	case PEER_SHARE_REPLY:
	case PEER_FEED:
		break;
	}
	m = inbox_msg_new(INBOX_DATAGRAM);
	m->datagram = *l;
	memset(l, 0, sizeof(*l));
	inbox_put(s->inbox, m);
	http_wake(s->loop);
}

/* A peer's knowledge, which is as good as a whole reading. */
static void
apply_peer_state(struct discovery *s, struct str bytes)
{
	struct buf text = { 0 };
	json_t *o = decompress_text(bytes, MAX_STATE_BYTES, &text)
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
	discovery_queue_config(s, str_from(config), "another host");
	if (s->store_unavailable || revision > watcher_revision(s->watcher)) {
		roster_set_store(&s->roster, false, clock_now());
		roster_begin(&s->roster);
		json_object_foreach(json_object_get(o, "targets"), key, v)
		{
			if (json_is_string(v))
				put_target(s, str_from(key),
				    str_from(json_string_value(v)));
		}
		roster_finish(&s->roster, clock_now());
		if (!s->store_unavailable)
			watcher_set_revision(s->watcher, revision);
	}
	json_decref(o);
	buf_free(&text);
}

static void
process_inbox(struct discovery *s)
{
	struct inbox_msg *m;

	while ((m = inbox_take(s->inbox)) != NULL) {
		switch (m->kind) {
		case INBOX_DATAGRAM:
			if (m->datagram.body.kind == PEER_GOSSIP)
				fleet_receive(
				    s->fleet, &m->datagram, clock_now());
			else if (m->datagram.body.kind == PEER_FEED)
				discovery_on_feed(s, &m->datagram, clock_now());
			break;
		case INBOX_FETCHED:
			if (strcmp(m->fetched.name, CONFIG_NAME) == 0)
				discovery_on_config(s, m->fetched.found,
				    str_of(&m->fetched.value));
			else if (!m->fetched.found)
				LOG(LOG_LVL_NOTICE, "peer-silent",
				    { "detail", STR("no state came from it") });
			else
				apply_peer_state(s, str_of(&m->fetched.value));
			break;
		case INBOX_DRAIN:
			fleet_drain(s->fleet, clock_now());
			break;
		case INBOX_CLAIM:
		case INBOX_TARGET_LEAVING:
		case INBOX_VIEW:
			break; /* never sent to this thread */
		}
		inbox_msg_free(m);
	}
}

static void
fetch_from_peer(struct discovery *s, usec_t now)
{
	const char *addr;

	if (!s->store_unavailable ||
	    now - s->peer_fetch_at < PEER_FETCH_INTERVAL)
		return;
	addr = member_config_source(fleet_members(s->fleet),
	    s->routes != NULL ? s->routes->version : 1, rng_entropy());
	if (addr != NULL && fetcher_request(s->fetcher, addr, STATE_NAME))
		s->peer_fetch_at = now;
}

static GArray *
live_peers(struct discovery *s)
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
publish(struct discovery *s, usec_t now)
{
	struct view *v;

	if (!s->view_dirty && s->roster.version == s->published_roster)
		return;
	s->view_dirty = false;
	s->published_roster = s->roster.version;
	v = xcalloc(1, sizeof(*v));
	v->routes = routes_ref(s->routes);
	v->targets = roster_list(&s->roster);
	v->peers = live_peers(s);
	v->store_unavailable = s->store_unavailable;
	v->created_at = now;
	s->o.publish_view(s->o.arg, v);
}

static void
on_members(void *arg, usec_t now)
{
	struct discovery *s = arg;

	(void)now;
	s->view_dirty = true;
}

/* The host list of the platform's own form is not used here. */
static void
ignore_targets(void *arg, const struct listed_target *v, size_t n)
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
turn(struct discovery *s)
{
	usec_t now = clock_now();
	usec_t next = now + STEP;

	if (!discovery_has_feeder(s, now))
		next = earlier(next, watcher_tick(s->watcher, now));
	next = earlier(next, roster_tick(&s->roster, now));
	fleet_tick(s->fleet, now, USEC_PER_SEC);
	fetch_from_peer(s, now);
	discovery_apply_config(s, now);
	discovery_fetch_config(s, now);
	discovery_feed_heartbeat(s, now);
	publish(s, now);
	http_run(s->loop, next > now ? next - now : 0);
	process_inbox(s);
	discovery_apply_config(s, clock_now());
	publish(s, clock_now());
	pthread_mutex_lock(&s->lock);
	s->counts.store_calls = kv_calls(s->kv);
	s->counts.revision = watcher_revision(s->watcher);
	pthread_mutex_unlock(&s->lock);
}

static void *
run(void *arg)
{
	struct discovery *s = arg;

	while (!atomic_load(&s->stopping))
		turn(s);
	fleet_leave(s->fleet, clock_now());
	return NULL;
}

static void
wake(void *arg)
{
	struct discovery *s = arg;

	http_wake(s->loop);
}

static void
open_store(struct discovery *s)
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
	s->watcher = watcher_new(&(struct watcher_opts){
	    .kv = s->kv,
	    .prefix = STR(""),
	    .poll_timeout = WAIT,
	    .seed = rng_entropy(),
	    .handler = discovery_on_store_event,
	    .batch = discovery_forward_batch,
	    .arg = s,
	});
}

struct discovery *
discovery_new(const struct discovery_opts *o, struct err *e)
{
	struct discovery *s = xcalloc(1, sizeof(*s));

	s->o = *o;
	pthread_mutex_init(&s->lock, NULL);
	s->target_values =
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
		discovery_free(s);
		return NULL;
	}
	s->fleet = fleet_new(&(struct fleet_opts){
	    .settings = o->settings,
	    .loop = s->loop,
	    .rpc = s->rpc,
	    .incarnation = o->incarnation,
	    .targets_changed = ignore_targets,
	    .members_changed = on_members,
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
discovery_start(struct discovery *s)
{
	s->started = true;
	pthread_create(&s->thread, NULL, run, s);
}

struct rpc *
discovery_rpc(struct discovery *s)
{
	return s->rpc;
}

struct discovery_counts
discovery_counts(struct discovery *s)
{
	struct discovery_counts c;

	pthread_mutex_lock(&s->lock);
	c = s->counts;
	pthread_mutex_unlock(&s->lock);
	c.rpc = rpc_counts(s->rpc);
	return c;
}

void
discovery_drain(struct discovery *s)
{
	inbox_put(s->inbox, inbox_msg_new(INBOX_DRAIN));
	http_wake(s->loop);
}

void
discovery_stop(struct discovery *s)
{
	fetcher_stop(s->fetcher);
	atomic_store(&s->stopping, true);
	http_wake(s->loop);
	if (s->started)
		pthread_join(s->thread, NULL);
	rpc_stop(s->rpc);
}

void
discovery_free(struct discovery *s)
{
	if (s->fleet != NULL)
		fleet_free(s->fleet);
	kv_free(s->kv);
	watcher_free(s->watcher);
	inbox_free(s->inbox);
	http_free(s->loop);
	roster_free(&s->roster);
	routes_unref(s->routes);
	g_hash_table_destroy(s->target_values);
	buf_free(&s->config_text);
	buf_free(&s->queued_config);
	buf_free(&s->config_compressed);
	pthread_mutex_destroy(&s->lock);
	free(s);
}
