/* Which group of engines a request asks for, and into how many they divide. */
#include "entry/placements_state.h"
#include "kernel/overload/spill.h"

#include <string.h>

static char *
count_key(const char *service, const char *domain)
{
	return g_strconcat(service, "\t", domain, NULL);
}

GArray *
placements_engine_domains(const struct placements *p, const char *service)
{
	GArray *v = g_array_new(FALSE, FALSE, sizeof(struct engine_domain));
	const GPtrArray *split = loads_domains(p->o.loads, service);
	struct engine_domain all = { "", loads_usable(p->o.loads, service) };

	for (guint i = 0; split != NULL && i < split->len; i++) {
		const struct loads_domain *d = split->pdata[i];
		struct engine_domain x = { d->name, d->targets };

		g_array_append_val(v, x);
	}
	if (split == NULL)
		g_array_append_val(v, all);
	return v;
}

uint32_t
placements_n_groups(const struct placements *p, const char *service,
    const struct engine_domain *d)
{
	g_autofree char *key = count_key(service, d->name);
	const struct engine_count *c =
	    g_hash_table_lookup(p->engine_counts, key);
	uint32_t engines = d->engines != NULL ? d->engines->len : 0;
	struct engine_group_id last = { .n = 1 };
	char name[ENGINE_GROUP_NAME_BYTES];

	if (c != NULL && c->engines > engines)
		engines = c->engines;
	g_strlcpy(last.domain, d->name, sizeof(last.domain));
	last.n = engine_groups_number(engines);
	last.index = last.n - 1;
	return engine_group_name(&last, name) ? last.n : 1;
}

static void
count_domain(struct placements *p, const char *service,
    const struct engine_domain *d, GHashTable *seen, usec_t now)
{
	char *key = count_key(service, d->name);
	struct engine_count *c = g_hash_table_lookup(p->engine_counts, key);

	if (c == NULL) {
		c = g_new0(struct engine_count, 1);
		g_hash_table_insert(p->engine_counts, g_strdup(key), c);
	}
	engine_count_set(c, d->engines != NULL ? d->engines->len : 0, now);
	g_hash_table_add(seen, key);
}

void
placements_count_engines(struct placements *p, usec_t now)
{
	g_autoptr(GHashTable) seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter it;
	gpointer key;
	gpointer c;

	for (guint i = 0; p->routes != NULL && i < p->routes->services->len;
	     i++) {
		const struct service *s = routes_service_at(p->routes, i);
		g_autoptr(GArray) domains = NULL;

		if (!s->has_engine)
			continue;
		domains = placements_engine_domains(p, s->name);
		for (guint k = 0; k < domains->len; k++)
			count_domain(p, s->name,
			    &g_array_index(domains, struct engine_domain, k),
			    seen, now);
	}
	g_hash_table_iter_init(&it, p->engine_counts);
	while (g_hash_table_iter_next(&it, &key, &c)) {
		/* The domain has lost all its engines. */
		if (!g_hash_table_contains(seen, key))
			engine_count_set(c, 0, now);
		if (((const struct engine_count *)c)->engines == 0)
			g_hash_table_iter_remove(&it);
	}
}

/* The groups that a request may ask, with the waits there. */
struct group_list {
	const struct placements *p;
	const char *service;
	usec_t now;
	GArray *names; /* char[ENGINE_GROUP_NAME_BYTES] */
	GArray *waits; /* struct spill_domain, without names */
};

static void
add_group(struct group_list *v, const struct engine_group_id *g)
{
	char name[ENGINE_GROUP_NAME_BYTES];
	struct spill_domain d = { .name = "" };

	engine_group_name(g, name);
	d.wait = stage_waits_get(&v->p->waits, v->service, name, 0, v->now);
	g_array_append_vals(v->names, name, 1);
	g_array_append_val(v->waits, d);
}

static void
add_groups(struct group_list *v, const struct engine_domain *d)
{
	struct engine_group_id g = {
		.n = placements_n_groups(v->p, v->service, d),
	};

	g_strlcpy(g.domain, d->name, sizeof(g.domain));
	for (; g.index < g.n; g.index++)
		add_group(v, &g);
}

/* Returns the group whose wait is clearly shorter than the preferred one's. */
static size_t
choose_group(const struct group_list *v, size_t first, size_t n, size_t home,
    uint64_t random)
{
	const struct spill_domain *all =
	    (const struct spill_domain *)(const void *)v->waits->data;
	size_t at = spill_choose(all + first, n, home - first, 0, random);

	/* The prompt's stage results don't have to cross domains. */
	if (at != home - first)
		return first + at;
	return spill_choose(all, v->waits->len, home, 0, random);
}

/* Chooses among all groups, as there may be shorter waits than at home's. */
static void
choose_by_wait(const struct placements *p, const struct placements_prompt *q,
    const GArray *domains, size_t at, uint32_t home,
    char out[ENGINE_GROUP_NAME_BYTES])
{
	struct group_list v = {
		.p = p,
		.service = q->service,
		.now = clock_now(),
		.names = g_array_new(FALSE, FALSE, ENGINE_GROUP_NAME_BYTES),
		.waits = g_array_new(FALSE, FALSE, sizeof(struct spill_domain)),
	};
	size_t first = 0;
	size_t n = 0;
	size_t chosen;

	for (guint i = 0; i < domains->len; i++) {
		guint before = v.names->len;

		add_groups(
		    &v, &g_array_index(domains, struct engine_domain, i));
		if (i == at) {
			first = before;
			n = v.names->len - before;
		}
	}
	chosen = choose_group(&v, first, n, first + home, q->random);
	g_strlcpy(out, v.names->data + chosen * ENGINE_GROUP_NAME_BYTES,
	    ENGINE_GROUP_NAME_BYTES);
	g_array_unref(v.names);
	g_array_unref(v.waits);
}

/*
 * The group of the engine that has affinity for the shared parts, or of any
 * one, so that a group gets prompts by its number of engines.
 */
static uint32_t
home_group(const struct placements_prompt *q, const struct engine_domain *d,
    uint32_t n)
{
	const struct target_load *t;

	if (n == 1 || d->engines == NULL || d->engines->len == 0)
		return 0;
	t = loads_affinity_target(d->engines, q->prefix);
	if (t == NULL)
		t = d->engines->pdata[q->random % d->engines->len];
	return engine_groups_index(t->group_hash, n);
}

static size_t
home_domain(const struct placements *p, const struct placements_prompt *q,
    const GArray *domains)
{
	struct spill_domain *v = g_new0(struct spill_domain, domains->len);
	const char *name = *q->home != '\0' ? q->home : p->o.loads->domain;
	size_t at;

	for (guint i = 0; i < domains->len; i++)
		v[i].name =
		    g_array_index(domains, struct engine_domain, i).name;
	at = spill_home(v, domains->len, name, q->random);
	g_free(v);
	return at;
}

void
placements_domain(const struct placements *p, const struct placements_prompt *q,
    char out[ENGINE_GROUP_NAME_BYTES])
{
	g_autoptr(GArray) domains = placements_engine_domains(p, q->service);
	struct engine_group_id g = { .n = 1 };
	const struct engine_domain *d;
	size_t at;

	*out = '\0';
	if (domains->len == 0)
		return;
	at = home_domain(p, q, domains);
	d = &g_array_index(domains, struct engine_domain, at);
	g.n = placements_n_groups(p, q->service, d);
	g.index = home_group(q, d, g.n);
	g_strlcpy(g.domain, d->name, sizeof(g.domain));
	engine_group_name(&g, out);
	if (stage_waits_get(&p->waits, q->service, out, 0, clock_now()) > 0)
		choose_by_wait(p, q, domains, at, g.index, out);
}

void
placements_target_domain(const struct placements *p,
    const struct target_load *t, char out[ENGINE_GROUP_NAME_BYTES])
{
	g_autoptr(GArray) domains =
	    placements_engine_domains(p, t->entry.service);
	bool split = loads_domains(p->o.loads, t->entry.service) != NULL;
	struct engine_group_id g = { .n = 1 };

	g_strlcpy(g.domain, split ? t->entry.domain : "", sizeof(g.domain));
	for (guint i = 0; i < domains->len; i++) {
		const struct engine_domain *d =
		    &g_array_index(domains, struct engine_domain, i);

		if (strcmp(d->name, g.domain) == 0)
			g.n = placements_n_groups(p, t->entry.service, d);
	}
	g.index = engine_groups_index(t->group_hash, g.n);
	engine_group_name(&g, out);
}
