#include "entry/discovery_state.h"
#include "base/log.h"
#include "base/rng.h"
#include "kernel/stopping.h"
#include "platform/config.h"
#include "platform/target.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Longest sleep: half a gossip round, so that no round starts late. */
#define MAX_LOOP_SLEEP      (250 * USEC_PER_MSEC)
/*
 * Longest and shortest time that the store holds a long poll open.  In between,
 * the poll and its call's timeout end within the time that a leaving target
 * leaves (target_drain_ms), as a silent store shows only then.
 */
#define POLL_TIME_MAX       (1500 * USEC_PER_MSEC)
#define POLL_TIME_MIN       (500 * USEC_PER_MSEC)
/* Interval in which parts are looked at that wait for replies of the hosts. */
#define SUSPECTS_INTERVAL   (50 * USEC_PER_MSEC)
#define MAX_ENDPOINTS       1
/*
 * Shortest time between views that differ in their hosts only: when the whole
 * fleet starts, gossip brings news of it every few milliseconds.
 */
#define HOSTS_VIEW_INTERVAL (100 * USEC_PER_MSEC)

static void
set_store_unavailable(struct discovery *d, bool unavailable)
{
	d->store_unavailable = unavailable;
	if (unavailable)
		LOG(LOG_LVL_WARNING, "store-away",
		    { "remedy",
			STR("check that the store is reachable from this "
			    "host") });
	else
		LOG(LOG_LVL_NOTICE, "store-back", { "cause", STR("answered") });
	pthread_mutex_lock(&d->lock);
	d->counts.store_unavailable = unavailable;
	pthread_mutex_unlock(&d->lock);
	roster_set_store_unavailable(&d->roster, unavailable, clock_now());
	if (!unavailable) {
		/* The roster may have been told so by another host's state. */
		roster_store_restored(&d->roster, clock_now());
		quarantine_store_back(&d->quarantine, clock_now());
	}
	d->view_dirty = true;
}

/* Peers that can't reach the store get no such entry either. */
static void
reject_target(struct discovery *d, struct str key, struct str value)
{
	g_autofree char *k = g_strndup(key.p, key.n);

	roster_reject(&d->roster, platform_target_id(key), value);
	pthread_mutex_lock(&d->lock);
	g_hash_table_remove(d->target_values, k);
	d->counts.rejected_entries++;
	pthread_mutex_unlock(&d->lock);
}

void
discovery_put_target(struct discovery *d, struct str key, struct str value)
{
	struct str id = platform_target_id(key);
	struct target_entry t;

	/* Each value of an entry is logged and counted once. */
	if (roster_is_rejected(&d->roster, id, value))
		return;
	if (!platform_target_parse(key, value, &t)) {
		reject_target(d, key, value);
		return;
	}
	pthread_mutex_lock(&d->lock);
	g_hash_table_insert(d->target_values, g_strndup(key.p, key.n),
	    g_strndup(value.p, value.n));
	pthread_mutex_unlock(&d->lock);
	if (t.leaving)
		LOG(LOG_LVL_INFO, "target-leaving", { "id", str_from(t.id) },
		    { "service", str_from(t.service) });
	t.read_at = clock_now();
	roster_put(&d->roster, &t);
}

static void
remove_target(struct discovery *d, struct str key)
{
	g_autofree char *k = g_strndup(key.p, key.n);

	pthread_mutex_lock(&d->lock);
	g_hash_table_remove(d->target_values, k);
	pthread_mutex_unlock(&d->lock);
	LOG(LOG_LVL_INFO, "target-gone", { "id", platform_target_id(key) });
	roster_remove(&d->roster, platform_target_id(key), clock_now());
}

static void
on_restored(struct discovery *d)
{
	d->restores++;
	d->restored = true;
	d->hosts.stored = 0;
	d->peer_position = (struct store_position){ 0 };
	config_fetch_restored(&d->config_fetch);
	roster_store_restored(&d->roster, clock_now());
	log_text(LOG_LVL_NOTICE, "store-restored",
	    "the store continues from an older copy, era %" PRIu64
	    ": it is listed anew",
	    watcher_era(d->watcher));
}

void
discovery_on_store_event(
    void *arg, enum watcher_event ev, struct str key, struct str value)
{
	struct discovery *d = arg;
	bool target = platform_target_id(key).n > 0;

	switch (ev) {
	case WATCHER_RESTORED:
		on_restored(d);
		break;
	case WATCHER_LIST_BEGIN:
		d->listing = true;
		roster_begin(&d->roster);
		evacuations_list_begin(&d->evacuations, EVACUATION_STORE);
		quarantine_list_begin(&d->quarantine, clock_now());
		pthread_mutex_lock(&d->lock);
		g_hash_table_remove_all(d->target_values);
		pthread_mutex_unlock(&d->lock);
		break;
	case WATCHER_PUT:
		if (target)
			discovery_put_target(d, key, value);
		else if (str_eq(key, STR(PLATFORM_CONFIG_KEY)))
			discovery_config_from_store(d, value);
		else if (str_eq(key, STR(HOSTS_KEY)))
			discovery_read_hosts(d, value);
		else if (!discovery_evacuation_item(d, key, false) &&
		    !discovery_stream_item(d, key, value))
			discovery_quarantine_item(d, key, value, false);
		break;
	case WATCHER_DELETE:
		if (target)
			remove_target(d, key);
		else if (!discovery_evacuation_item(d, key, true))
			discovery_quarantine_item(d, key, STR(""), true);
		break;
	case WATCHER_LIST_END:
		d->listing = false;
		roster_finish(&d->roster, clock_now());
		d->confirmed_at = clock_now();
		discovery_evacuations_listed(d);
		discovery_streams_listed(d);
		if (d->restored) {
			discovery_announce_restore(d, clock_now());
			d->view_dirty = true;
		}
		d->restored = false;
		/* In a large fleet the next changes come from a feeder. */
		if (d->feed_received_at == 0)
			d->feed_received_at = clock_now();
		break;
	case WATCHER_UNAVAILABLE:
	case WATCHER_AVAILABLE:
		set_store_unavailable(d, ev == WATCHER_UNAVAILABLE);
		break;
	}
}

static void
on_fetch(void *arg, const peer_query *q, peer_result *r)
{
	struct discovery *d = arg;

	if (q->kind != PEER_GET_VALUE)
		return;
	if (strcmp(q->name, CONFIG_NAME) == 0)
		discovery_serve_config(d, r);
	else if (strcmp(q->name, STATE_NAME) == 0)
		discovery_serve_state(d, r);
}

static void
on_deliver(void *arg, peer_letter *l)
{
	struct discovery *d = arg;
	struct inbox_msg *m;

	switch (l->body.kind) {
	case PEER_PIECE_ASK:
	case PEER_PIECE_REPLY:
	case PEER_PIECE_FREE:
	case PEER_PIECE_FETCHED:
	case PEER_LIMIT:
	case PEER_BRITTLE:
	case PEER_STREAM:
	case PEER_STREAM_ASK:
	case PEER_STREAM_REPLY:
	case PEER_STREAM_RECORDED:
	case PEER_STREAM_FOUND:
	case PEER_STREAM_READING:
	case PEER_PLACE_ASK:
	case PEER_PLACE_REPLY:
	case PEER_PLACE_NEWS:
		d->o.relay_datagram(d->o.arg, l);
		return;
	case PEER_GOSSIP:
	case PEER_CLAIM:
	case PEER_VERDICT:
	case PEER_SHARE_REPORT:
	case PEER_SHARE_REPLY:
	case PEER_FEED:
	case PEER_CRASH:
	case PEER_ANSWERED:
	case PEER_QUARANTINE:
	case PEER_SUSPECTS:
	case PEER_KNOWN:
	case PEER_STREAM_RECORD:
	case PEER_STREAM_LOOK:
		break;
	}
	m = inbox_msg_new(INBOX_DATAGRAM);
	m->datagram = *l;
	memset(l, 0, sizeof(*l));
	inbox_put(d->inbox, m);
	http_wake(d->loop);
}

static void
process_inbox(struct discovery *d)
{
	struct inbox_msg *m;

	while ((m = inbox_take(d->inbox)) != NULL) {
		switch (m->kind) {
		case INBOX_DATAGRAM:
			if (m->datagram.body.kind == PEER_GOSSIP)
				fleet_receive(
				    d->fleet, &m->datagram, clock_now());
			else if (m->datagram.body.kind == PEER_FEED)
				discovery_on_feed(d, &m->datagram, clock_now());
			else if (!discovery_on_streams(d, &m->datagram))
				discovery_on_quarantine(d, &m->datagram);
			break;
		case INBOX_FETCHED:
			if (strcmp(m->fetched.name, STATE_NAME) == 0)
				state_source_replied(&d->state_source,
				    !m->fetched.replied    ? STATE_LATE
					: m->fetched.found ? STATE_FOUND
							   : STATE_NONE);
			if (strcmp(m->fetched.name, CONFIG_NAME) == 0)
				discovery_on_config(d, m->fetched.found,
				    str_of(&m->fetched.value));
			else if (!m->fetched.found)
				LOG(LOG_LVL_NOTICE, "peer-silent",
				    { "detail",
					STR("the peer did not return its "
					    "state") });
			else
				discovery_take_state(
				    d, str_of(&m->fetched.value));
			break;
		case INBOX_DRAIN:
			fleet_drain(d->fleet, clock_now());
			break;
		case INBOX_CLAIM:
		case INBOX_TARGET_LEAVING:
		case INBOX_VIEW:
			break; /* not sent to this thread */
		}
		inbox_msg_free(m);
	}
}

static GArray *
live_peers(struct discovery *d)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct view_peer));
	struct members *m = fleet_members(d->fleet);
	size_t n;
	const char *const *ids = member_live(m, &n);

	for (size_t i = 0; i < n; i++) {
		const struct member *x = member_find(m, ids[i]);
		struct view_peer p = { 0 };

		if (x == NULL)
			continue;
		g_strlcpy(p.id, ids[i], sizeof(p.id));
		g_strlcpy(p.rpc, member_rpc(x), sizeof(p.rpc));
		g_strlcpy(
		    p.operators, member_operators(x), sizeof(p.operators));
		g_strlcpy(p.domain, m->domains[x->domain], sizeof(p.domain));
		p.capacity = x->capacity;
		p.incarnation = x->incarnation;
		g_array_append_val(out, p);
	}
	return out;
}

static void
publish(struct discovery *d, usec_t now)
{
	struct view *v;

	discovery_update_evacuations(d, now);
	if (!d->view_dirty && d->roster.version == d->published_roster &&
	    d->evacuations.version == d->published_evacuations &&
	    (!d->hosts_dirty ||
		now - d->view_published_at < HOSTS_VIEW_INTERVAL))
		return;
	d->view_dirty = false;
	d->hosts_dirty = false;
	d->view_published_at = now;
	d->published_roster = d->roster.version;
	d->published_evacuations = d->evacuations.version;
	v = xcalloc(1, sizeof(*v));
	v->routes = routes_ref(d->routes);
	v->targets = roster_list(&d->roster);
	v->evacuated = evacuations_list(&d->evacuations);
	v->peers = live_peers(d);
	v->hosts_listed = d->hosts_listed;
	v->store_unavailable = d->store_unavailable;
	v->restores = d->restored ? d->view_restores : d->restores;
	d->view_restores = v->restores;
	v->quarantine = quarantine_copy(&d->quarantine);
	discovery_copy_streams(d, v);
	v->created_at = now;
	d->o.publish_view(d->o.arg, v);
}

static void
on_members(void *arg, usec_t now)
{
	struct discovery *d = arg;

	(void)now;
	d->hosts_dirty = true;
}

/* A host that relays by route takes its targets from the store only. */
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

/* Whether what this host found out must still be written. */
static bool
has_to_save(struct discovery *d)
{
	struct stopping_facts f = {
		.undecided = d->crashes_reported || d->suspects_waiting,
		.unsent = discovery_quarantine_unsent(d),
		.writing = kv_writes(d->kv) > 0,
		.has_store = !d->store_unavailable,
	};

	return stopping_saves(&f);
}

static void
note_arrival(struct discovery *d)
{
	usec_t at = watcher_arrived_at(d->watcher);

	/* After the response it stays, until what it brought is published. */
	if (at != 0)
		atomic_store(&d->published_arrived_at, at);
}

static void
run_once(struct discovery *d)
{
	/* Before the datagrams that may have been sent until then. */
	bool finishing = atomic_load(&d->finishing);
	usec_t now = http_read_until(d->loop);
	usec_t next = now + MAX_LOOP_SLEEP;

	/* Only a call of its own shows a host that the store is back. */
	if (d->store_unavailable || !discovery_has_feeder(d, now))
		next = earlier(next, watcher_tick(d->watcher, now));
	next = earlier(next, roster_tick(&d->roster, now));
	fleet_tick(d->fleet, now, USEC_PER_SEC);
	discovery_fetch_state(d, now);
	discovery_apply_config(d, now);
	discovery_fetch_config(d, now);
	discovery_feed_heartbeat(d, now);
	discovery_write_hosts(d, now);
	discovery_send_quarantine(d, now);
	discovery_update_bases(d, now);
	discovery_record_streams(d, now);
	publish(d, now);
	next = earlier(next, discovery_record_due(d));
	if (d->suspects_waiting)
		next = earlier(next, now + SUSPECTS_INTERVAL);
	if (d->hosts_dirty)
		next =
		    earlier(next, d->view_published_at + HOSTS_VIEW_INTERVAL);
	now = http_run(d->loop, next > now ? next - now : 0);
	note_arrival(d);
	process_inbox(d);
	discovery_record_streams(d, now);
	discovery_look_up_streams(d);
	discovery_blame_parts(d);
	discovery_apply_config(d, now);
	discovery_send_quarantine(d, now);
	publish(d, now);
	atomic_store(&d->published_confirmed_at, d->confirmed_at);
	if (finishing && !has_to_save(d))
		atomic_store(&d->finished, true);
	pthread_mutex_lock(&d->lock);
	d->counts.store_calls = kv_calls(d->kv);
	d->counts.revision = watcher_revision(d->watcher);
	d->counts.era = watcher_era(d->watcher);
	d->counts.in_grace = roster_in_grace(&d->roster, now);
	pthread_mutex_unlock(&d->lock);
}

static void *
run(void *arg)
{
	struct discovery *d = arg;

	while (!atomic_load(&d->stopping))
		run_once(d);
	fleet_leave(d->fleet, clock_now());
	return NULL;
}

static void
wake(void *arg)
{
	struct discovery *d = arg;

	http_wake(d->loop);
}

static usec_t
poll_time(const struct settings *s)
{
	usec_t t = s->target_drain - s->kv_timeout;

	if (t > POLL_TIME_MAX)
		return POLL_TIME_MAX;
	return t > POLL_TIME_MIN ? t : POLL_TIME_MIN;
}

static void
open_store(struct discovery *d)
{
	const char *endpoints[MAX_ENDPOINTS] = { d->o.settings->kv };

	d->kv = kv_new(&(struct kv_opts){
	    .loop = d->loop,
	    .endpoints = endpoints,
	    .n_endpoints = MAX_ENDPOINTS,
	    .timeout = d->o.settings->kv_timeout,
	    .form = KV_FORM_PLATFORM,
	    .memory = d->o.memory,
	});
	/* One long poll covers configuration and targets, to save calls. */
	d->watcher = watcher_new(&(struct watcher_opts){
	    .kv = d->kv,
	    .prefix = STR(""),
	    .poll_timeout = poll_time(d->o.settings),
	    .seed = rng_entropy(),
	    .handler = discovery_on_store_event,
	    .batch = discovery_forward_batch,
	    .arg = d,
	});
}

struct discovery *
discovery_new(const struct discovery_opts *o, struct err *e)
{
	struct discovery *d = xcalloc(1, sizeof(*d));

	d->o = *o;
	pthread_mutex_init(&d->lock, NULL);
	d->target_values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->evacuated_since =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->quarantine_values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->announced =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	roster_init(&d->roster);
	evacuations_init(&d->evacuations);
	quarantine_init(&d->quarantine);
	d->suspects = discovery_new_suspects();
	d->streams = discovery_new_streams();
	d->loop = http_new();
	d->inbox = inbox_new();
	open_store(d);
	d->rpc = rpc_start(
	    &(struct rpc_opts){
		.id = o->settings->id,
		.addr = o->settings->rpc,
		.fleet_key = o->settings->fleet_key,
		.incarnation = o->incarnation,
		.deliver = on_deliver,
		.fetch = on_fetch,
		.arg = d,
	    },
	    e);
	if (d->rpc == NULL) {
		discovery_free(d);
		return NULL;
	}
	d->fleet = fleet_new(&(struct fleet_opts){
	    .settings = o->settings,
	    .loop = d->loop,
	    .rpc = d->rpc,
	    .incarnation = o->incarnation,
	    .targets_changed = ignore_targets,
	    .members_changed = on_members,
	    .arg = d,
	});
	d->fetcher = fetcher_start(&(struct fetcher_opts){
	    .rpc = d->rpc,
	    .inbox = d->inbox,
	    .memory = o->memory,
	    .wake = wake,
	    .arg = d,
	});
	return d;
}

void
discovery_start(struct discovery *d)
{
	d->started = true;
	pthread_create(&d->thread, NULL, run, d);
}

struct rpc *
discovery_rpc(struct discovery *d)
{
	return d->rpc;
}

struct discovery_counts
discovery_counts(struct discovery *d)
{
	struct discovery_counts c;

	pthread_mutex_lock(&d->lock);
	c = d->counts;
	pthread_mutex_unlock(&d->lock);
	c.rpc = rpc_counts(d->rpc);
	return c;
}

usec_t
discovery_confirmed_at(struct discovery *d)
{
	return atomic_load(&d->published_confirmed_at);
}

usec_t
discovery_arrived_at(const struct discovery *d)
{
	return atomic_load(&((struct discovery *)d)->published_arrived_at);
}

void
discovery_receive(struct discovery *d, peer_letter *l)
{
	on_deliver(d, l);
}

void
discovery_drain(struct discovery *d)
{
	inbox_put(d->inbox, inbox_msg_new(INBOX_DRAIN));
	http_wake(d->loop);
}

bool
discovery_finish(struct discovery *d)
{
	if (!atomic_exchange(&d->finishing, true))
		http_wake(d->loop);
	return atomic_load(&d->finished);
}

void
discovery_stop(struct discovery *d)
{
	atomic_store(&d->stopping, true);
	http_wake(d->loop);
	if (d->started)
		pthread_join(d->thread, NULL);
	/* The discovery thread uses the fetcher until it ends. */
	fetcher_stop(d->fetcher);
	rpc_stop(d->rpc);
}

void
discovery_free(struct discovery *d)
{
	if (d->fleet != NULL)
		fleet_free(d->fleet);
	rpc_free(d->rpc);
	kv_free(d->kv);
	watcher_free(d->watcher);
	inbox_free(d->inbox);
	http_free(d->loop);
	roster_free(&d->roster);
	routes_unref(d->routes);
	g_hash_table_destroy(d->announced);
	g_hash_table_destroy(d->evacuated_since);
	g_hash_table_destroy(d->target_values);
	g_hash_table_destroy(d->quarantine_values);
	evacuations_free(&d->evacuations);
	quarantine_free(&d->quarantine);
	g_hash_table_destroy(d->suspects);
	discovery_free_streams(d->streams);
	buf_free(&d->config_text);
	config_queue_clear(&d->queued_configs);
	buf_free(&d->config_in_force);
	buf_free(&d->config_compressed);
	pthread_mutex_destroy(&d->lock);
	free(d);
}
