#include "entry/discovery_state.h"
#include "base/log.h"
#include "base/compress.h"
#include "platform/config.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Reading configurations pauses so many times what the last one took. */
#define APPLY_PAUSE_FACTOR 3
/* But not longer: they are to be in force within 2 s. */
#define MAX_APPLY_PAUSE    (500 * USEC_PER_MSEC)
/* Fetches from other hosts before the store is asked. */
#define MAX_CONFIG_FETCHES 3
/* For the ways by which a configuration comes as a rule. */
#define NEWER_CONFIG_DELAY (700 * USEC_PER_MSEC)
#define MAX_CONFIG_BYTES   ((size_t)16 * 1024 * 1024)

/* What other hosts may fetch, also before it is read here. */
static void
set_served_config(struct discovery *s, struct str text)
{
	pthread_mutex_lock(&s->lock);
	buf_clear(&s->config_text);
	buf_put(&s->config_text, text);
	buf_clear(&s->config_compressed);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Keeps the newest text of the configuration.  Versions that come in quick
 * succession are not read one by one: a large one takes a small host a tenth
 * of a second.
 */
void
discovery_queue_config(struct discovery *s, struct str text, const char *source)
{
	buf_clear(&s->queued_config);
	buf_put(&s->queued_config, text);
	s->queued_source = source;
}

/* Puts a configuration in force unless it is older. */
static void
apply_config(struct discovery *s, struct str text, const char *source)
{
	struct err e = { 0 };
	struct routes *r = platform_config_parse(text, &e);

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
	s->view_dirty = true;
	if (strcmp(source, FROM_STORE) != 0)
		set_served_config(s, text);
	pthread_mutex_lock(&s->lock);
	s->counts.version = r->version;
	pthread_mutex_unlock(&s->lock);
	fleet_set_generation(s->fleet, r->version, clock_now());
}

void
discovery_config_from_store(struct discovery *s, struct str text)
{
	set_served_config(s, text);
	discovery_queue_config(s, text, FROM_STORE);
}

/* The configuration, packed once for all that ask. */
void
discovery_serve_config(struct discovery *s, peer_result *r)
{
	pthread_mutex_lock(&s->lock);
	if (s->config_compressed.n == 0 && s->config_text.n > 0)
		compress_text(str_of(&s->config_text), &s->config_compressed);
	r->found = s->config_compressed.n > 0;
	if (r->found) {
		r->value.value_val = xcalloc(1, s->config_compressed.n);
		memcpy(r->value.value_val, s->config_compressed.p,
		    s->config_compressed.n);
		r->value.value_len = (u_int)s->config_compressed.n;
	}
	pthread_mutex_unlock(&s->lock);
}

/*
 * Reads the configuration that came last.  After one that took long the next
 * waits, so that reading takes a quarter of the time at the most.
 */
void
discovery_apply_config(struct discovery *s, usec_t now)
{
	usec_t pause = APPLY_PAUSE_FACTOR * s->config_apply_time;

	if (s->queued_config.n == 0 ||
	    now - s->config_applied_at <
		(pause < MAX_APPLY_PAUSE ? pause : MAX_APPLY_PAUSE))
		return;
	apply_config(s, str_of(&s->queued_config), s->queued_source);
	buf_clear(&s->queued_config);
	s->config_applied_at = clock_now();
	s->config_apply_time = s->config_applied_at - now;
}

static void
on_config_item(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct discovery *s = arg;

	s->config_fetch_pending = false;
	if (st == KV_OK && c->n > 0) {
		discovery_queue_config(s, str_of(&c->v[0].value), FROM_STORE);
		return;
	}
	/* The own wait finds out whether the store is away. */
	s->feed_gap = true;
	s->config_fetch_due = true;
}

/* The configuration has come from another host; else the store has it. */
void
discovery_on_config(struct discovery *s, bool found, struct str bytes)
{
	struct buf text = { 0 };

	s->config_fetch_pending = false;
	s->config_holder[0] = '\0';
	if (found && decompress_text(bytes, MAX_CONFIG_BYTES, &text)) {
		s->config_fetch_failures = 0;
		discovery_queue_config(s, str_of(&text), "another host");
	} else {
		s->config_fetch_due = true;
		if (++s->config_fetch_failures < MAX_CONFIG_FETCHES)
			g_strlcpy(s->config_holder,
			    fleet_members(s->fleet)->holder,
			    sizeof(s->config_holder));
	}
	buf_free(&text);
}

/* Others have had a newer configuration in force for a while. */
static void
check_newer_config(struct discovery *s, usec_t now)
{
	const struct members *m = fleet_members(s->fleet);
	uint64_t mine = s->routes != NULL ? s->routes->version : 0;

	if (m->generation <= mine) {
		s->newer_config_at = 0;
	} else if (s->newer_config_at == 0) {
		s->newer_config_at = now;
	} else if (now - s->newer_config_at > NEWER_CONFIG_DELAY) {
		s->newer_config_at = now;
		s->config_fetch_due = true;
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
void
discovery_fetch_config(struct discovery *s, usec_t now)
{
	check_newer_config(s, now);
	if (!s->config_fetch_due || s->config_fetch_pending ||
	    s->queued_config.n > 0)
		return;
	if (s->config_holder[0] != '\0') {
		if (!fetcher_request(s->fetcher, s->config_holder, CONFIG_NAME))
			return; /* it is busy; again at the next step */
		s->config_fetch_due = false;
		s->config_fetch_pending = true;
		return;
	}
	s->config_fetch_due = false;
	s->config_fetch_pending = true;
	kv_get_item(s->kv, STR(PLATFORM_CONFIG_KEY), on_config_item, s);
}
