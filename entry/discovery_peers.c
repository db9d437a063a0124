#include "entry/discovery_state.h"
#include "base/compress.h"
#include "base/log.h"
#include "base/rng.h"

#include <jansson.h>
#include <stdlib.h>

/* Interval of state fetches from peers while the store is unavailable. */
#define PEER_FETCH_INTERVAL (500 * USEC_PER_MSEC)
#define MAX_STATE_BYTES     ((size_t)64 * 1024 * 1024)

/* Returns a JSON object of a table of strings. */
static json_t *
string_map(GHashTable *t)
{
	json_t *o = json_object();
	GHashTableIter it;
	gpointer k;
	gpointer v;

	g_hash_table_iter_init(&it, t);
	while (g_hash_table_iter_next(&it, &k, &v))
		json_object_set_new(o, k, json_string(v));
	return o;
}

void
discovery_serve_state(struct discovery *d, peer_result *r)
{
	json_t *o;

	pthread_mutex_lock(&d->lock);
	o = json_pack("{s:I, s:I, s:o, s:o, s:o, s:o}", "revision",
	    (json_int_t)d->counts.revision, "era", (json_int_t)d->counts.era,
	    "config",
	    json_stringn(
		d->config_text.n > 0 ? d->config_text.p : "", d->config_text.n),
	    "targets", string_map(d->target_values), "quarantine",
	    string_map(d->quarantine_values), "evacuations",
	    string_map(d->evacuated_since));
	/* Without a revision, the store is being listed. */
	r->found = !d->counts.store_unavailable && !d->counts.in_grace &&
	    d->counts.revision != 0 && d->config_text.n > 0;
	pthread_mutex_unlock(&d->lock);
	if (r->found) {
		char *text = json_dumps(o, JSON_COMPACT);
		struct buf compressed = { 0 };

		compress_text(str_from(text), &compressed);
		r->value.value_val = compressed.p;
		r->value.value_len = (u_int)compressed.n;
		free(text);
	}
	json_decref(o);
}

/*
 * Whether a peer's state, up to a position in the store, is to be taken: once
 * the store answers, it is the source, and changes that were seen aren't seen
 * again.
 */
static bool
is_wanted(const struct discovery *d, const struct store_position *p)
{
	struct store_position own = watcher_position(d->watcher);

	return d->store_unavailable && store_position_covers(p, &own) &&
	    store_position_covers(p, &d->peer_position);
}

/* Replaces the targets by those of a peer's state. */
static void
take_targets(struct discovery *d, json_t *targets)
{
	const char *key;
	json_t *v;

	roster_set_store_unavailable(&d->roster, false, clock_now());
	roster_begin(&d->roster);
	json_object_foreach(targets, key, v)
	{
		if (json_is_string(v))
			discovery_put_target(
			    d, str_from(key), str_from(json_string_value(v)));
	}
	roster_finish(&d->roster, clock_now());
}

bool
discovery_read_document(struct discovery *d, struct str bytes, size_t max_bytes,
    struct held *held, struct buf *text)
{
	held_init(held,
	    &(struct held_opts){ .memory = d->o.memory, .use = MEMORY_STORE });
	if (!decompress_text(bytes, MIN(max_bytes, held_largest(held)), text))
		return false;
	held_add(held, text->n);
	return true;
}

void
discovery_take_state(struct discovery *d, struct str bytes)
{
	struct held held;
	struct buf text = { 0 };
	json_t *o =
	    discovery_read_document(d, bytes, MAX_STATE_BYTES, &held, &text)
	    ? json_loadb(text.p, text.n, 0, NULL)
	    : NULL;
	const char *config = json_string_value(json_object_get(o, "config"));
	struct store_position p = {
		.era = (uint64_t)json_integer_value(json_object_get(o, "era")),
		.revision = json_integer_value(json_object_get(o, "revision")),
	};
	const char *key;
	json_t *v;

	if (config == NULL) {
		log_text(LOG_LVL_WARNING, "peer-state",
		    "the state from a peer is too large or cannot be parsed");
		goto out;
	}
	discovery_queue_config(d, str_from(config), "another host");
	json_object_foreach(json_object_get(o, "quarantine"), key, v)
	{
		if (json_is_string(v))
			discovery_read_quarantine(d, str_from(key),
			    str_from(json_string_value(v)), false);
	}
	if (is_wanted(d, &p)) {
		discovery_take_evacuations(
		    d, json_object_get(o, "evacuations"), &p);
		take_targets(d, json_object_get(o, "targets"));
		d->peer_position = p;
	}
out:
	json_decref(o);
	buf_free(&text);
	held_end(&held);
}

void
discovery_fetch_state(struct discovery *d, usec_t now)
{
	const char *addr;

	if (!d->store_unavailable ||
	    now - d->peer_fetch_at < PEER_FETCH_INTERVAL)
		return;
	addr = state_source_choose(&d->state_source,
	    member_config_source(fleet_members(d->fleet),
		d->routes != NULL ? d->routes->version : 1, rng_entropy()));
	if (addr == NULL ||
	    !fetcher_request(d->fetcher, addr, STATE_NAME, PEER_REPLY_SILENCE))
		return;
	state_source_asked(&d->state_source, addr);
	d->peer_fetch_at = now;
}
