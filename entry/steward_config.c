#include "entry/steward_state.h"
#include "base/log.h"
#include "base/pack.h"
#include "platform/config.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Reading configurations pauses so many times what the last one took. */
#define READ_SHARE       3
/* But not longer: they are to be in force within 2 s. */
#define READ_PAUSE       (500 * USEC_PER_MSEC)
/* Fetches from other hosts before the store is asked. */
#define CONFIG_TRIES     3
/* For the ways by which a configuration comes as a rule. */
#define RUMOUR_PATIENCE  (700 * USEC_PER_MSEC)
#define MAX_CONFIG_BYTES ((size_t)16 * 1024 * 1024)

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
void
steward_note_config(struct steward *s, struct str text, const char *source)
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

void
steward_store_config(struct steward *s, struct str text)
{
	serve_config(s, text);
	steward_note_config(s, text, FROM_STORE);
}

/* The configuration, packed once for all that ask. */
void
steward_give_config(struct steward *s, peer_result *r)
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

/*
 * Reads the configuration that came last.  After one that took long the next
 * waits, so that reading takes a quarter of the time at the most.
 */
void
steward_read_config(struct steward *s, usec_t now)
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
		steward_note_config(s, str_of(&c->v[0].value), FROM_STORE);
		return;
	}
	/* The own wait finds out whether the store is away. */
	s->behind = true;
	s->config_wanted = true;
}

/* The configuration has come from another host; else the store has it. */
void
steward_packed_config(struct steward *s, bool found, struct str bytes)
{
	struct buf text = { 0 };

	s->config_reading = false;
	s->config_holder[0] = '\0';
	if (found && unpack(bytes, MAX_CONFIG_BYTES, &text)) {
		s->config_failures = 0;
		steward_note_config(s, str_of(&text), "another host");
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
void
steward_fetch_config(struct steward *s, usec_t now)
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
