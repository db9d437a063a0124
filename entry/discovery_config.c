#include "entry/discovery_state.h"
#include "base/log.h"
#include "base/compress.h"
#include "base/rng.h"
#include "platform/config.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Pause before the next configuration, as a multiple of the last apply time. */
#define APPLY_PAUSE_FACTOR 3
/* Upper bound of the pause: a configuration must be in force within 2 s. */
#define MAX_APPLY_PAUSE    (500 * USEC_PER_MSEC)
/* Lets the watch or the feed deliver a newer version before it is fetched. */
#define NEWER_CONFIG_DELAY (700 * USEC_PER_MSEC)
#define MAX_CONFIG_BYTES   ((size_t)16 * 1024 * 1024)

/* Sets the text that peers may fetch, possibly before it is applied here. */
static void
set_served_config(struct discovery *d, struct str text)
{
	pthread_mutex_lock(&d->lock);
	buf_clear(&d->config_text);
	buf_put(&d->config_text, text);
	buf_clear(&d->config_compressed);
	pthread_mutex_unlock(&d->lock);
}

/* Returns the version of a configuration; 0: it can't be used. */
static uint64_t
version_of(struct str text)
{
	struct err e = { 0 };
	struct routes *r = platform_config_parse(text, &e);
	uint64_t version = r != NULL ? r->version : 0;

	if (r == NULL)
		LOG(LOG_LVL_ERR, "config-refused",
		    { "detail", str_from(e.text) });
	routes_unref(r);
	return version;
}

/*
 * Whether the queued configuration stays.  The store's changes come in their
 * order; what is read elsewhere may be older than what has come meanwhile.
 */
static bool
is_queued_newer(const struct discovery *d, struct str text, const char *source)
{
	const struct queued_config *queued =
	    config_queue_newest(&d->queued_configs);

	if (queued == NULL ||
	    (strcmp(source, FROM_STORE) == 0 &&
		strcmp(queued->source, FROM_STORE) == 0))
		return false;
	return version_of(text) < version_of(str_of(&queued->text));
}

bool
discovery_queue_config(struct discovery *d, struct str text, const char *source)
{
	if (is_queued_newer(d, text, source))
		return false;
	config_queue_put(&d->queued_configs, text, source);
	return true;
}

/* Logs the routes of which an older version stays, and those without one. */
static void
log_invalid_routes(const struct routes *t)
{
	for (guint i = 0; i < t->routes->len; i++) {
		const struct route *r = t->routes->pdata[i];

		if (r->kept_from != 0)
			log_text(LOG_LVL_WARNING, "route-kept",
			    "%s is invalid in version %" PRIu64
			    "; that of version %" PRIu64 " stays",
			    r->name, t->version, r->kept_from);
	}
	for (guint i = 0; i < t->invalid->len; i++) {
		const struct route *r = t->invalid->pdata[i];

		if (r->host != NULL && r->prefix != NULL &&
		    routes_is_invalid(
			t, str_from(r->host), str_from(r->prefix)))
			log_text(LOG_LVL_WARNING, "route-invalid",
			    "%s%s is invalid in version %" PRIu64
			    "; its requests are rejected",
			    r->host, r->prefix, t->version);
	}
}

/*
 * Parses a configuration and puts it in force if its version is newer; returns
 * whether it is in force.  served: peers get it already.
 */
static bool
apply_config(
    struct discovery *d, struct str text, const char *source, bool served)
{
	struct err e = { 0 };
	struct routes *r = platform_config_parse(text, &e);

	if (r == NULL) {
		LOG(LOG_LVL_ERR, "config-refused",
		    { "detail", str_from(e.text) });
		/* Peers that start now need the one that is in force. */
		if (strcmp(source, FROM_STORE) == 0)
			set_served_config(d, str_of(&d->config_in_force));
		return false;
	}
	if (d->routes != NULL && r->version <= d->routes->version) {
		routes_unref(r);
		return false;
	}
	log_text(LOG_LVL_NOTICE, "config-in-force",
	    "version %" PRIu64 " from %s, %u routes", r->version, source,
	    r->routes->len);
	if (d->routes != NULL)
		routes_keep_valid(r, d->routes);
	log_invalid_routes(r);
	routes_unref(d->routes);
	d->routes = r;
	buf_clear(&d->config_in_force);
	buf_put(&d->config_in_force, text);
	d->view_dirty = true;
	if (!served)
		set_served_config(d, text);
	pthread_mutex_lock(&d->lock);
	d->counts.version = r->version;
	pthread_mutex_unlock(&d->lock);
	fleet_set_generation(d->fleet, r->version, clock_now());
	return true;
}

/* Whether a configuration is older than the one in force. */
static bool
is_older(const struct discovery *d, struct str text)
{
	struct err e = { 0 };
	struct routes *r = platform_config_parse(text, &e);
	bool older = r != NULL && r->version < d->routes->version;

	if (older)
		log_text(LOG_LVL_NOTICE, "config-older",
		    "the store lists version %" PRIu64 ", %" PRIu64
		    " is in force and stays",
		    r->version, d->routes->version);
	routes_unref(r);
	return older;
}

void
discovery_config_from_store(struct discovery *d, struct str text)
{
	if (text.n == 0) {
		LOG(LOG_LVL_ERR, "config-refused",
		    { "detail", STR("the value in the store is empty") });
		return;
	}
	/* A restored store may list one of before; peers get the newer one. */
	if (d->listing && d->routes != NULL && is_older(d, text))
		return;
	if (discovery_queue_config(d, text, FROM_STORE))
		set_served_config(d, text);
}

/* Compresses the configuration once for all peers that fetch it. */
void
discovery_serve_config(struct discovery *d, peer_result *r)
{
	pthread_mutex_lock(&d->lock);
	if (d->config_compressed.n == 0 && d->config_text.n > 0)
		compress_text(str_of(&d->config_text), &d->config_compressed);
	r->found = d->config_compressed.n > 0;
	if (r->found) {
		r->value.value_val = xcalloc(1, d->config_compressed.n);
		memcpy(r->value.value_val, d->config_compressed.p,
		    d->config_compressed.n);
		r->value.value_len = (u_int)d->config_compressed.n;
	}
	pthread_mutex_unlock(&d->lock);
}

/*
 * Pauses after each application in proportion to its duration, so that
 * applying configurations takes at most a quarter of the thread's time.
 */
void
discovery_apply_config(struct discovery *d, usec_t now)
{
	usec_t pause = APPLY_PAUSE_FACTOR * d->config_apply_time;
	struct queued_config next;
	bool in_force = false;
	bool newest = true;

	if (config_queue_newest(&d->queued_configs) == NULL ||
	    now - d->config_applied_at <
		(pause < MAX_APPLY_PAUSE ? pause : MAX_APPLY_PAUSE))
		return;
	while (!in_force && config_queue_take(&d->queued_configs, &next)) {
		in_force = apply_config(d, str_of(&next.text), next.source,
		    newest && strcmp(next.source, FROM_STORE) == 0);
		buf_free(&next.text);
		newest = false;
	}
	config_queue_clear(&d->queued_configs);
	d->config_applied_at = clock_now();
	d->config_apply_time = d->config_applied_at - now;
}

static void
on_config_item(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct discovery *d = arg;
	bool found = st == KV_OK && c->n > 0 && c->v[0].value.n > 0;

	config_fetch_ended(&d->config_fetch, CONFIG_FETCH_STORE, found);
	if (found)
		discovery_queue_config(d, str_of(&c->v[0].value), "a read");
	else
		/* The watcher's long poll detects whether the store is away. */
		d->feed_gap = true;
}

void
discovery_on_config(struct discovery *d, bool found, struct str bytes)
{
	struct held held = { 0 };
	struct buf text = { 0 };

	found = found &&
	    discovery_read_document(d, bytes, MAX_CONFIG_BYTES, &held, &text);
	config_fetch_ended(&d->config_fetch, CONFIG_FETCH_HOST, found);
	if (found)
		discovery_queue_config(d, str_of(&text), "another host");
	buf_free(&text);
	held_end(&held);
}

/* Makes a fetch due NEWER_CONFIG_DELAY after gossip reports a newer version. */
static void
check_newer_config(struct discovery *d, usec_t now)
{
	const struct members *m = fleet_members(d->fleet);
	uint64_t current = d->routes != NULL ? d->routes->version : 0;

	if (m->generation <= current) {
		d->newer_config_at = 0;
	} else if (d->newer_config_at == 0) {
		d->newer_config_at = now;
	} else if (now - d->newer_config_at > NEWER_CONFIG_DELAY) {
		log_text(LOG_LVL_INFO, "config-heard",
		    "version %" PRIu64 " at %s, by gossip%s", m->generation,
		    m->holder,
		    d->config_fetch.in_flight ? ", during a fetch" : "");
		d->newer_config_at = now;
		config_fetch_wanted(&d->config_fetch, m->holder);
	}
}

/* A host that has a newer version than this one, or NULL. */
static const char *
any_source(struct discovery *d)
{
	uint64_t current = d->routes != NULL ? d->routes->version : 0;

	return member_config_source(
	    fleet_members(d->fleet), current + 1, rng_entropy());
}

/*
 * Fetches the newest configuration, compressed, from a host that has it, or
 * from the store.  Load pattern: versions of 800 KB in quick succession, which
 * would saturate the store's link for seconds if every host read them there.
 */
void
discovery_fetch_config(struct discovery *d, usec_t now)
{
	struct config_fetch_step s;

	check_newer_config(d, now);
	if (!d->config_fetch.due || d->queued_configs.n > 0)
		return;
	s = config_fetch_next(&d->config_fetch, any_source(d));
	switch (s.kind) {
	case CONFIG_FETCH_NONE:
		return;
	case CONFIG_FETCH_HOST:
		if (!fetcher_request(
			d->fetcher, s.addr, CONFIG_NAME, s.silence))
			return; /* another fetch is in flight: retried later */
		break;
	case CONFIG_FETCH_STORE:
		kv_get_item(d->kv, STR(PLATFORM_CONFIG_KEY), on_config_item, d);
		break;
	}
	config_fetch_begun(&d->config_fetch, &s);
}
