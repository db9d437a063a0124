#include "kernel/routes.h"
#include "base/hash.h"

#include <stdlib.h>
#include <string.h>

#define SPLIT_SEED 7 /* seed of the hash that splits requests by weight */

struct key {
	struct str text;
	char bytes[];
};

static guint
hash_key(gconstpointer p)
{
	const struct key *k = p;

	return (guint)hash_u64(k->text, 1);
}

/* Compares keys in time that does not depend on where they differ. */
static gboolean
same_key(gconstpointer a, gconstpointer b)
{
	const struct key *x = a;
	const struct key *y = b;
	unsigned char diff = 0;

	if (x->text.n != y->text.n)
		return FALSE;
	for (size_t i = 0; i < x->text.n; i++)
		diff |= (unsigned char)(x->text.p[i] ^ y->text.p[i]);
	return diff == 0;
}

static void
free_service(gpointer p)
{
	free(((struct service *)p)->name);
}

static void
free_key_owner(gpointer p)
{
	struct key_owner *o = p;

	free(o->name);
	free(o);
}

void
route_free(struct route *r)
{
	free(r->name);
	free(r->host);
	free(r->prefix);
	free(r->shares);
	free(r);
}

static void
free_route(gpointer p)
{
	route_free(p);
}

static void
free_hosts(gpointer p)
{
	g_ptr_array_unref(p);
}

struct routes *
routes_new(void)
{
	struct routes *t = xcalloc(1, sizeof(*t));

	t->routes = g_ptr_array_new_with_free_func(free_route);
	t->invalid = g_ptr_array_new_with_free_func(free_route);
	t->services = g_array_new(FALSE, TRUE, sizeof(struct service));
	g_array_set_clear_func(t->services, free_service);
	t->owners = g_ptr_array_new_with_free_func(free_key_owner);
	t->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_hosts);
	t->keys = g_hash_table_new_full(hash_key, same_key, free, NULL);
	t->refs = 1;
	return t;
}

void
routes_add(struct routes *t, struct route *r)
{
	g_ptr_array_add(t->routes, r);
}

void
routes_add_invalid(struct routes *t, struct route *r)
{
	r->invalid = true;
	g_ptr_array_add(t->invalid, r);
}

int
routes_find_service(const struct routes *t, struct str name)
{
	for (guint i = 0; i < t->services->len; i++) {
		if (str_eq(str_from(routes_service_at(t, i)->name), name))
			return (int)i;
	}
	return -1;
}

const struct service *
routes_service_at(const struct routes *t, uint32_t i)
{
	return &g_array_index(t->services, struct service, i);
}

void
routes_add_key(struct routes *t, struct str key, struct key_owner *o)
{
	struct key *k = xcalloc(1, sizeof(*k) + key.n + 1);

	memcpy(k->bytes, key.p, key.n);
	k->text = (struct str){ k->bytes, key.n };
	g_hash_table_insert(t->keys, k, o);
}

static gint
longest_first(gconstpointer a, gconstpointer b)
{
	const struct route *x = *(struct route *const *)a;
	const struct route *y = *(struct route *const *)b;
	size_t n = strlen(x->prefix);
	size_t m = strlen(y->prefix);

	return n < m ? 1 : n > m ? -1 : 0;
}

static void
mark_last_stages(struct route *r)
{
	uint32_t followed = 0;

	for (size_t i = 0; i < r->n_stages; i++)
		followed |= r->stages[i].after;
	for (size_t i = 0; i < r->n_stages; i++)
		r->stages[i].last = (followed >> i & 1) == 0;
}

static void
index_route(struct routes *t, struct route *r)
{
	GPtrArray *host_routes = g_hash_table_lookup(t->hosts, r->host);

	if (host_routes == NULL) {
		host_routes = g_ptr_array_new();
		g_hash_table_insert(t->hosts, r->host, host_routes);
	}
	g_ptr_array_add(host_routes, r);
}

static void
note_least_rank(struct routes *t)
{
	t->least_rank = 0;
	for (guint i = 0; i < t->routes->len; i++)
		t->least_rank = MAX(t->least_rank,
		    ((const struct route *)t->routes->pdata[i])->rank);
	for (guint i = 0; i < t->owners->len; i++)
		t->least_rank = MAX(t->least_rank,
		    ((const struct key_owner *)t->owners->pdata[i])->rank);
}

void
routes_freeze(struct routes *t)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_remove_all(t->hosts);
	for (guint i = 0; i < t->routes->len; i++) {
		mark_last_stages(t->routes->pdata[i]);
		index_route(t, t->routes->pdata[i]);
	}
	note_least_rank(t);
	/* After the valid ones, which the stable sort leaves in front. */
	for (guint i = 0; i < t->invalid->len; i++) {
		struct route *r = t->invalid->pdata[i];

		if (r->host != NULL && r->prefix != NULL)
			index_route(t, r);
	}
	g_hash_table_iter_init(&it, t->hosts);
	while (g_hash_table_iter_next(&it, NULL, &v))
		g_ptr_array_sort(v, longest_first);
}

static const struct route *
find_by_place(const struct routes *t, const struct route *r)
{
	for (guint i = 0; i < t->routes->len; i++) {
		const struct route *x = t->routes->pdata[i];

		if (strcmp(x->host, r->host) == 0 &&
		    strcmp(x->prefix, r->prefix) == 0)
			return x;
	}
	return NULL;
}

static const struct route *
find_by_name(const struct routes *t, const char *name)
{
	for (guint i = 0; name != NULL && i < t->routes->len; i++) {
		const struct route *x = t->routes->pdata[i];

		if (strcmp(x->name, name) == 0)
			return x;
	}
	return NULL;
}

/* Returns the index in t of a service of before, which is added if needed. */
static uint32_t
keep_service(
    struct routes *t, const struct routes *before, uint32_t i, bool for_stage)
{
	struct service old = *routes_service_at(before, i);
	int at = routes_find_service(t, str_from(old.name));
	struct service *s;

	if (at < 0) {
		old.name = str_dup(str_from(old.name));
		g_array_append_val(t->services, old);
		return t->services->len - 1;
	}
	s = &g_array_index(t->services, struct service, at);
	if (for_stage && !s->has_pool) {
		s->has_pool = true;
		s->pool = old.pool;
	}
	return (uint32_t)at;
}

static void
keep_route(
    struct routes *t, const struct routes *before, const struct route *old)
{
	struct route *r = xcalloc(1, sizeof(*r));

	*r = *old;
	if (r->kept_from == 0)
		r->kept_from = before->version;
	r->name = str_dup(str_from(old->name));
	r->host = str_dup(str_from(old->host));
	r->prefix = str_dup(str_from(old->prefix));
	r->shares = xcalloc(old->n_shares, sizeof(*r->shares));
	for (size_t i = 0; i < old->n_shares; i++)
		r->shares[i] = (struct route_share){
			keep_service(t, before, old->shares[i].service, false),
			old->shares[i].weight,
		};
	for (size_t i = 0; i < old->n_stages; i++)
		r->stages[i].service =
		    keep_service(t, before, old->stages[i].service, true);
	routes_add(t, r);
}

void
routes_keep_valid(struct routes *t, const struct routes *before)
{
	if (t->invalid->len == 0)
		return;
	for (guint i = 0; i < t->invalid->len; i++) {
		const struct route *r = t->invalid->pdata[i];
		const struct route *old = r->host != NULL && r->prefix != NULL
		    ? find_by_place(before, r)
		    : find_by_name(before, r->name);

		if (old != NULL && find_by_place(t, old) == NULL)
			keep_route(t, before, old);
	}
	routes_freeze(t);
}

struct routes *
routes_ref(struct routes *t)
{
	if (t != NULL)
		g_atomic_int_inc(&t->refs);
	return t;
}

void
routes_unref(struct routes *t)
{
	if (t == NULL || !g_atomic_int_dec_and_test(&t->refs))
		return;
	g_hash_table_destroy(t->hosts);
	g_hash_table_destroy(t->keys);
	g_ptr_array_unref(t->routes);
	g_ptr_array_unref(t->invalid);
	g_ptr_array_unref(t->owners);
	g_array_unref(t->services);
	free(t);
}

static const struct route *
find_longest(const struct routes *t, struct str host, struct str target)
{
	const char *query = memchr(target.p, '?', target.n);
	const char *port = memchr(host.p, ':', host.n);
	g_autofree char *name = NULL;
	const GPtrArray *host_routes;

	if (query != NULL)
		target.n = (size_t)(query - target.p);
	if (port != NULL)
		host.n = (size_t)(port - host.p);
	name = g_ascii_strdown(host.p, (gssize)host.n);
	host_routes = g_hash_table_lookup(t->hosts, name);
	for (guint i = 0; host_routes != NULL && i < host_routes->len; i++) {
		const struct route *r = host_routes->pdata[i];

		if (str_has_prefix(target, str_from(r->prefix)))
			return r;
	}
	return NULL;
}

const struct route *
routes_find(const struct routes *t, struct str host, struct str target)
{
	const struct route *r = find_longest(t, host, target);

	return r != NULL && !r->invalid ? r : NULL;
}

bool
routes_is_invalid(const struct routes *t, struct str host, struct str target)
{
	const struct route *r = find_longest(t, host, target);

	return r != NULL && r->invalid;
}

const struct key_owner *
routes_key_owner(const struct routes *t, struct str key)
{
	struct key k = { .text = key };

	if (key.p == NULL || key.n == 0)
		return NULL;
	return g_hash_table_lookup(t->keys, &k);
}

uint32_t
route_pick_service(const struct route *r, struct str id)
{
	uint64_t total = 0;
	uint64_t at;
	size_t i = 0;

	for (size_t k = 0; k < r->n_shares; k++)
		total += r->shares[k].weight;
	if (total == 0)
		return r->shares[0].service;
	at = hash_u64(id, SPLIT_SEED) % total;
	while (at >= r->shares[i].weight)
		at -= r->shares[i++].weight;
	return r->shares[i].service;
}

bool
route_repeatable(const struct route *r)
{
	switch (r->kind) {
	case ROUTE_IDEMPOTENT:
		return true;
	case ROUTE_ONCE:
		return false;
	case ROUTE_STREAM:
		return r->resumable;
	}
	return false;
}
