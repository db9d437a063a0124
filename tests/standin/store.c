#include "tests/standin/store.h"

#include <string.h>

/* As large as etcd's lease ids, which a double can't represent. */
#define FIRST_LEASE_ID 7587862094000000000LL

struct lease {
	int64_t id;
	int64_t ttl_s;
	usec_t expires_at;
};

static GTree *items;
static GPtrArray *history;
static GHashTable *leases;
static int64_t revision = 1;
static int64_t last_lease_id = FIRST_LEASE_ID;

void
store_init(void)
{
	items = g_tree_new((GCompareFunc)strcmp);
	history = g_ptr_array_new();
	leases =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

int64_t
store_revision(void)
{
	return revision;
}

const struct item *
store_get(const char *key)
{
	return g_tree_lookup(items, key);
}

static bool
in_range(const char *k, const char *key, struct str end)
{
	if (end.n == 0)
		return strcmp(k, key) == 0;
	return str_eq(end, STR("\0")) || str_cmp(str_from(k), end) < 0;
}

GPtrArray *
store_range(const char *key, struct str end)
{
	GPtrArray *out = g_ptr_array_new();
	GTreeNode *n = g_tree_lower_bound(items, key);

	for (; n != NULL && in_range(g_tree_node_key(n), key, end);
	     n = g_tree_node_next(n))
		g_ptr_array_add(out, g_tree_node_value(n));
	return out;
}

static struct item *
add_version(const char *key, const char *value)
{
	struct item *it = g_new0(struct item, 1);

	it->key = g_strdup(key);
	it->value = g_strdup(value);
	it->modified = revision + 1;
	g_ptr_array_add(history, it);
	return it;
}

void
store_put(const char *key, const char *value, int64_t lease)
{
	const struct item *old = store_get(key);
	struct item *it = add_version(key, value);

	it->created = old != NULL ? old->created : it->modified;
	it->version = old != NULL ? old->version + 1 : 1;
	it->lease = lease;
	g_tree_replace(items, it->key, it);
}

void
store_delete(const char *key)
{
	if (g_tree_remove(items, key))
		add_version(key, "")->deleted = true;
}

bool
store_commit(void)
{
	unsigned first;
	bool changed = store_history(revision + 1, &first)->len > first;

	revision += changed;
	return changed;
}

const GPtrArray *
store_history(int64_t from, unsigned *first)
{
	const struct item *const *v = (void *)history->pdata;
	unsigned i = history->len;

	while (i > 0 && v[i - 1]->modified >= from)
		i--;
	*first = i;
	return history;
}

int64_t
store_grant(int64_t ttl_s)
{
	struct lease *l = g_new0(struct lease, 1);

	l->id = ++last_lease_id;
	l->ttl_s = MAX(ttl_s, 1);
	g_hash_table_insert(leases, &l->id, l);
	store_renew(l->id);
	return l->id;
}

int64_t
store_renew(int64_t id)
{
	struct lease *l = g_hash_table_lookup(leases, &id);

	if (l == NULL)
		return 0;
	l->expires_at = clock_now() + l->ttl_s * USEC_PER_SEC;
	return l->ttl_s;
}

bool
store_has_lease(int64_t id)
{
	return g_hash_table_contains(leases, &id);
}

bool
store_revoke(int64_t id)
{
	g_autoptr(GPtrArray) all = store_range("", STR("\0"));
	unsigned i;

	if (!g_hash_table_remove(leases, &id))
		return false;
	for (i = 0; i < all->len; i++) {
		const struct item *it = all->pdata[i];

		if (it->lease == id)
			store_delete(it->key);
	}
	store_commit();
	return true;
}

bool
store_expire(usec_t now)
{
	GHashTableIter it;
	struct lease *l;
	bool expired = false;

	g_hash_table_iter_init(&it, leases);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l)) {
		if (l->expires_at > now)
			continue;
		expired = store_revoke(l->id);
		g_hash_table_iter_init(&it, leases);
	}
	return expired;
}
