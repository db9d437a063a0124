/* The groups of engines, and the hosts that place there. */
#include "entry/placements_state.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/* How often the choice of a placer is checked. */
#define CHOICE_TIME (250 * USEC_PER_MSEC)

struct placer_peer *
placements_find_peer(const struct placements *p, const char *rpc)
{
	for (guint i = 0; i < p->peers->len; i++) {
		struct placer_peer *x =
		    &g_array_index(p->peers, struct placer_peer, i);

		if (strcmp(x->p.rpc, rpc) == 0)
			return x;
	}
	return NULL;
}

void
placements_set_peers(struct placements *p, const GArray *peers)
{
	g_autoptr(GArray) before = p->peers;
	GHashTableIter it;
	gpointer v;

	p->peers = g_array_new(FALSE, TRUE, sizeof(struct placer_peer));
	g_array_set_size(p->peers, peers->len);
	for (guint i = 0; i < peers->len; i++) {
		struct placer_peer *x =
		    &g_array_index(p->peers, struct placer_peer, i);

		x->p = g_array_index(peers, struct view_peer, i);
		x->host = (struct placer_host){
			.id = x->p.id,
			.domain = x->p.domain,
			.capacity = x->p.capacity,
			.suspicion.incarnation = x->p.incarnation,
		};
	}
	for (guint i = 0; i < before->len; i++) {
		const struct placer_peer *old =
		    &g_array_index(before, struct placer_peer, i);
		struct placer_peer *x = old->host.asked_at != 0
		    ? placements_find_peer(p, old->p.rpc)
		    : NULL;

		if (x == NULL || x->p.incarnation != old->p.incarnation)
			continue;
		x->host.suspicion = old->host.suspicion;
		x->host.unanswered = old->host.unanswered;
		x->host.asked_at = old->host.asked_at;
	}
	g_hash_table_iter_init(&it, p->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct engine_group *)v)->chosen_at = 0;
}

static void
free_event(gpointer e)
{
	xdr_free((xdrproc_t)xdr_peer_place_event, e);
}

GArray *
placements_new_events(void)
{
	GArray *v = g_array_new(FALSE, TRUE, sizeof(peer_place_event));

	g_array_set_clear_func(v, free_event);
	return v;
}

void
placements_free_group(gpointer p)
{
	struct engine_group *g = p;

	g_array_unref(g->events);
	free(g->key);
	free(g);
}

GPtrArray *
placements_groups(const struct placements *p)
{
	GPtrArray *v = g_ptr_array_new();
	GHashTableIter it;
	gpointer g;

	g_hash_table_iter_init(&it, p->groups);
	while (g_hash_table_iter_next(&it, NULL, &g))
		g_ptr_array_add(v, g);
	return v;
}

static char *
group_key(const char *service, const char *domain)
{
	return g_strconcat(service, "\t", domain, NULL);
}

struct engine_group *
placements_group(struct placements *p, const char *service, const char *domain)
{
	char *key = group_key(service, domain);
	struct engine_group *g = g_hash_table_lookup(p->groups, key);

	if (g != NULL) {
		free(key);
		return g;
	}
	g = xcalloc(1, sizeof(*g));
	g->key = key;
	g_strlcpy(g->service, service, sizeof(g->service));
	g_strlcpy(g->domain, domain, sizeof(g->domain));
	g->events = placements_new_events();
	g_hash_table_insert(p->groups, g->key, g);
	return g;
}

/* Returns the peer that places for a group by now, or NULL. */
static struct placer_peer *
find_placer(const struct placements *p, const char *service, const char *domain,
    usec_t now)
{
	struct placer_host *v = g_new(struct placer_host, p->peers->len + 1);
	size_t at;

	for (guint i = 0; i < p->peers->len; i++)
		v[i] = g_array_index(p->peers, struct placer_peer, i).host;
	at = placer_choose(v, p->peers->len, service, domain, now);
	g_free(v);
	return at < p->peers->len
	    ? &g_array_index(p->peers, struct placer_peer, at)
	    : NULL;
}

bool
placements_is_self(const struct placements *p, const struct placer_peer *x)
{
	return strcmp(x->p.id, p->o.self) == 0;
}

/* Whether the choice of a group's placer need not be checked yet. */
static bool
is_chosen(const struct engine_group *g, usec_t now)
{
	return g->chosen_at != 0 && now - g->chosen_at < CHOICE_TIME;
}

/* Returns the placer that was chosen last, or NULL. */
static struct placer_peer *
chosen_placer(const struct placements *p, const struct engine_group *g)
{
	return g->has_placer ? placements_find_peer(p, g->placer) : NULL;
}

const struct placer_peer *
placements_current(const struct placements *p, const char *service,
    const char *domain, usec_t now)
{
	g_autofree char *key = group_key(service, domain);
	const struct engine_group *g = g_hash_table_lookup(p->groups, key);

	return g != NULL && is_chosen(g, now)
	    ? chosen_placer(p, g)
	    : find_placer(p, service, domain, now);
}

/* Returns the peer that places for a group, or NULL. */
struct placer_peer *
placements_choose(struct placements *p, struct engine_group *g, usec_t now)
{
	struct placer_peer *x;

	if (is_chosen(g, now))
		return chosen_placer(p, g);
	x = find_placer(p, g->service, g->domain, now);
	g->chosen_at = now;
	g->has_placer = x != NULL;
	if (x == NULL ||
	    (strcmp(x->p.rpc, g->placer) == 0 &&
		x->p.incarnation == g->incarnation))
		return x;
	p->counts.changes += *g->placer != '\0';
	g_strlcpy(g->placer, x->p.rpc, sizeof(g->placer));
	g->incarnation = x->p.incarnation;
	g->is_self = placements_is_self(p, x);
	log_text(LOG_LVL_INFO, "placer-chosen", "of %s in %s: %s", g->service,
	    *g->domain != '\0' ? g->domain : "all domains",
	    g->is_self ? "this host" : g->placer);
	placements_tell_all(p, g);
	return x;
}

/* Asks whether a placer answers, unless that was done a moment ago. */
void
placements_probe(struct placements *p, struct engine_group *g,
    struct placer_peer *x, usec_t now)
{
	if (placer_use(&x->host, now) != PLACER_PROBE)
		return;
	/* The last one is silent, too. */
	if (x->host.asked_at != 0 &&
	    placer_unanswered(&x->host, x->host.asked_at, now)) {
		log_text(LOG_LVL_NOTICE, "placer-silent", "%s, of %s", x->p.rpc,
		    g->service);
		g->chosen_at = 0;
		return;
	}
	placer_asked(&x->host, now);
	placements_send_ask(p, g, NULL, now);
}

/* Finds out whether the placer of a group answers, before it is needed. */
static void
meet_placer(
    struct placements *p, const char *service, const char *domain, usec_t now)
{
	struct engine_group *g = placements_group(p, service, domain);
	struct placer_peer *x = placements_choose(p, g, now);

	if (x != NULL && !g->is_self &&
	    placer_use(&x->host, now) != PLACER_WAIT)
		placements_probe(p, g, x, now);
}

static void
meet_domain(struct placements *p, const char *service,
    const struct engine_domain *d, usec_t now)
{
	struct engine_group_id g = { .n = placements_n_groups(p, service, d) };
	char name[ENGINE_GROUP_NAME_BYTES];

	g_strlcpy(g.domain, d->name, sizeof(g.domain));
	for (; g.index < g.n; g.index++) {
		engine_group_name(&g, name);
		meet_placer(p, service, name, now);
	}
}

void
placements_meet(struct placements *p, usec_t now)
{
	for (guint i = 0; p->routes != NULL && i < p->routes->services->len;
	     i++) {
		const struct service *s = routes_service_at(p->routes, i);
		g_autoptr(GArray) domains = NULL;

		if (!s->has_engine)
			continue;
		domains = placements_engine_domains(p, s->name);
		for (guint k = 0; k < domains->len; k++)
			meet_domain(p, s->name,
			    &g_array_index(domains, struct engine_domain, k),
			    now);
	}
}
