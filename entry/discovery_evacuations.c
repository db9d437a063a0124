#include "entry/discovery_state.h"
#include "base/log.h"
#include "platform/evacuation.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static bool
has_targets(const struct discovery *d, const char *domain)
{
	g_autoptr(GArray) v = roster_list(&d->roster);

	for (guint i = 0; i < v->len; i++) {
		if (strcmp(g_array_index(v, struct target_entry, i).domain,
			domain) == 0)
			return true;
	}
	return false;
}

static void
put(struct discovery *d, const char *domain, const struct evacuation_origin *o)
{
	switch (evacuations_put(&d->evacuations, domain, o, clock_now())) {
	case EVACUATION_KNOWN:
		return;
	case EVACUATION_TOO_MANY:
		log_text(LOG_LVL_ERR, "evacuation-refused",
		    "%s: %d domains are evacuated already", domain,
		    EVACUATIONS_MAX);
		return;
	case EVACUATION_BEGINS:
		break;
	}
	log_text(LOG_LVL_NOTICE, "evacuation-begins",
	    "%s, from %s, after revision %" PRId64 ", %" PRId64 " ms old",
	    domain, evacuation_source_name(o->source), o->revision,
	    o->age / USEC_PER_MSEC);
	/* A listing names the evacuations first. */
	if (!d->listing && !has_targets(d, domain))
		log_text(LOG_LVL_WARNING, "evacuation-without-targets",
		    "no target is in %s; one that comes there gets nothing",
		    domain);
}

bool
discovery_evacuation_item(struct discovery *d, struct str key, bool deleted)
{
	struct evacuation_origin o = {
		.source = d->applying_feed ? EVACUATION_FEED : EVACUATION_STORE,
		.revision = watcher_revision(d->watcher),
	};
	char domain[EVACUATION_DOMAIN_BYTES];

	if (!platform_is_evacuation(key))
		return false;
	if (!platform_evacuation_parse(key, domain))
		return true;
	if (deleted)
		evacuations_remove(&d->evacuations, domain);
	else
		put(d, domain, &o);
	return true;
}

static void
end_listing(struct discovery *d, enum evacuation_source source, bool restored)
{
	usec_t now = clock_now();

	evacuations_list_end(&d->evacuations, source, restored, now);
	for (guint i = 0; i < d->evacuations.v->len; i++) {
		const struct evacuation *x =
		    &g_array_index(d->evacuations.v, struct evacuation, i);

		if (x->missing_since == now)
			log_text(LOG_LVL_WARNING, "evacuation-missing",
			    "%s: the store, restored from an older copy, lacks "
			    "it; it stays for %" PRId64 " s",
			    x->domain, EVACUATION_KEEP_TIME / USEC_PER_SEC);
		else if (!x->ended && !has_targets(d, x->domain))
			log_text(LOG_LVL_WARNING, "evacuation-without-targets",
			    "no target is in %s", x->domain);
	}
}

void
discovery_evacuations_listed(struct discovery *d)
{
	end_listing(d, EVACUATION_STORE, d->restored);
}

/* Sets what hosts get that can't reach the store. */
static void
set_served(struct discovery *d, usec_t now)
{
	usec_t wall = clock_wall();

	pthread_mutex_lock(&d->lock);
	g_hash_table_remove_all(d->evacuated_since);
	for (guint i = 0; i < d->evacuations.v->len; i++) {
		const struct evacuation *x =
		    &g_array_index(d->evacuations.v, struct evacuation, i);

		g_hash_table_insert(d->evacuated_since, g_strdup(x->domain),
		    g_strdup_printf(
			"%" PRId64, (wall - (now - x->since)) / USEC_PER_MSEC));
	}
	pthread_mutex_unlock(&d->lock);
}

void
discovery_update_evacuations(struct discovery *d, usec_t now)
{
	struct evacuation x;

	evacuations_tick(&d->evacuations, now);
	if (d->evacuations.version == d->published_evacuations)
		return;
	while (evacuations_take_ended(&d->evacuations, &x))
		log_text(LOG_LVL_NOTICE, "evacuation-ends",
		    "%s, known from %s, after revision %" PRId64 ", %" PRId64
		    " ms old%s",
		    x.domain, evacuation_source_name(x.origin.source),
		    watcher_revision(d->watcher),
		    (now - x.since) / USEC_PER_MSEC,
		    x.missing_since != 0 ? ", missing in a restored store"
					 : "");
	set_served(d, now);
}

void
discovery_take_evacuations(
    struct discovery *d, const json_t *domains, const struct store_position *p)
{
	usec_t wall = clock_wall();
	const char *domain;
	json_t *v;

	if (!json_is_object(domains))
		return;
	evacuations_list_begin(&d->evacuations, EVACUATION_HOST);
	json_object_foreach((json_t *)domains, domain, v)
	{
		const char *text = json_string_value(v);
		usec_t since = (text != NULL ? atoll(text) : 0) * USEC_PER_MSEC;
		struct evacuation_origin o = {
			.source = EVACUATION_HOST,
			.revision = p->revision,
			.age = since > 0 && since < wall ? wall - since : 0,
		};

		if (*domain == '\0' ||
		    strlen(domain) >= EVACUATION_DOMAIN_BYTES)
			log_text(LOG_LVL_WARNING, "evacuation-refused",
			    "\"%s\" from another host names no domain", domain);
		else
			put(d, domain, &o);
	}
	end_listing(d, EVACUATION_HOST, p->era > watcher_era(d->watcher));
}
