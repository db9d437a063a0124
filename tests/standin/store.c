#include "tests/standin/store.h"

#define HISTORY_MAX 200000U
#define FIRST_LEASE 7587862094000000000LL

struct lease {
	int64_t id;
	int64_t ttl_s;
	usec_t due;
};

static GTree *items;
static GPtrArray *history;
static GHashTable *leases;
static int64_t revision = 1;
static int64_t oldest = 1;
static int64_t last_lease = FIRST_LEASE;
static bool changed;

static int
compare_keys(const void *a, const void *b, void *arg)
{
	(void)arg;
	return g_bytes_compare(a, b);
}

static void
clear_item(void *p)
{
	struct item *it = p;

	g_bytes_unref(it->key);
	g_bytes_unref(it->value);
}

static void
release_item(void *p)
{
	g_rc_box_release_full(p, clear_item);
}

void
store_init(void)
{
	items = g_tree_new_full(
	    compare_keys, NULL, (GDestroyNotify)g_bytes_unref, release_item);
	history = g_ptr_array_new_with_free_func(release_item);
	leases =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

int64_t
store_revision(void)
{
	return revision;
}

const struct item *
store_get(GBytes *key)
{
	return g_tree_lookup(items, key);
}

bool
store_in_range(GBytes *k, GBytes *key, GBytes *end)
{
	gsize n;
	const char *p = g_bytes_get_data(end, &n);
	bool open = n == 1 && p[0] == '\0';

	if (n == 0)
		return g_bytes_equal(k, key);
	return g_bytes_compare(k, key) >= 0 &&
	    (open || g_bytes_compare(k, end) < 0);
}

GPtrArray *
store_range(GBytes *key, GBytes *end)
{
	GPtrArray *out = g_ptr_array_new();
	GTreeNode *n = g_tree_lower_bound(items, key);

	for (; n != NULL && store_in_range(g_tree_node_key(n), key, end);
	     n = g_tree_node_next(n))
		g_ptr_array_add(out, g_tree_node_value(n));
	return out;
}

static void
remember(struct item *it)
{
	unsigned half = HISTORY_MAX / 2;

	if (history->len >= HISTORY_MAX) {
		const struct item *last = history->pdata[half - 1];

		oldest = last->modified + 1;
		g_ptr_array_remove_range(history, 0, half);
	}
	g_ptr_array_add(history, it);
	changed = true;
}

void
store_put(GBytes *key, GBytes *value, int64_t lease)
{
	const struct item *old = store_get(key);
	struct item *it = g_rc_box_new0(struct item);

	it->key = g_bytes_ref(key);
	it->value = g_bytes_ref(value);
	it->modified = revision + 1;
	it->created = old != NULL ? old->created : it->modified;
	it->version = old != NULL ? old->version + 1 : 1;
	it->lease = lease;
	remember(it);
	g_tree_replace(items, g_bytes_ref(key), g_rc_box_acquire(it));
}

void
store_delete(GBytes *key)
{
	struct item *it;

	if (store_get(key) == NULL)
		return;
	it = g_rc_box_new0(struct item);
	it->key = g_bytes_ref(key);
	it->value = g_bytes_new(NULL, 0);
	it->modified = revision + 1;
	it->deleted = true;
	remember(it);
	g_tree_remove(items, it->key);
}

bool
store_commit(void)
{
	bool was = changed;

	if (was)
		revision++;
	changed = false;
	return was;
}

const GPtrArray *
store_history(int64_t from, unsigned *first)
{
	unsigned i = history->len;

	while (i > 0 &&
	    ((const struct item *)history->pdata[i - 1])->modified >= from)
		i--;
	*first = i;
	return history;
}

int64_t
store_oldest(void)
{
	return oldest;
}

int64_t
store_grant(int64_t id, int64_t ttl_s)
{
	struct lease *l;

	if (id == 0)
		id = ++last_lease;
	if (store_has_lease(id))
		return 0;
	l = g_new0(struct lease, 1);
	l->id = id;
	l->ttl_s = ttl_s > 0 ? ttl_s : 1;
	l->due = clock_now() + l->ttl_s * USEC_PER_SEC;
	g_hash_table_insert(leases, &l->id, l);
	return id;
}

int64_t
store_keep(int64_t id)
{
	struct lease *l = g_hash_table_lookup(leases, &id);

	if (l == NULL)
		return 0;
	l->due = clock_now() + l->ttl_s * USEC_PER_SEC;
	return l->ttl_s;
}

bool
store_has_lease(int64_t id)
{
	return g_hash_table_contains(leases, &id);
}

/* Deletes the keys that hang on a lease. */
static void
delete_keys_of(int64_t id)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new();
	GTreeNode *n = g_tree_node_first(items);
	unsigned i;

	for (; n != NULL; n = g_tree_node_next(n)) {
		const struct item *it = g_tree_node_value(n);

		if (it->lease == id)
			g_ptr_array_add(keys, it->key);
	}
	for (i = 0; i < keys->len; i++)
		store_delete(keys->pdata[i]);
}

bool
store_revoke(int64_t id)
{
	if (!g_hash_table_remove(leases, &id))
		return false;
	delete_keys_of(id);
	store_commit();
	return true;
}

bool
store_expire(usec_t now)
{
	GHashTableIter it;
	struct lease *l;
	bool any = false;

	g_hash_table_iter_init(&it, leases);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l)) {
		if (l->due > now)
			continue;
		any = store_revoke(l->id);
		g_hash_table_iter_init(&it, leases);
	}
	return any;
}
