/* Tables of cases for the stand-in's key-value memory. */
#include <string.h>

#include "tests/standin/store.h"

static GBytes *
bytes(const char *text)
{
	return g_bytes_new(text, strlen(text));
}

static void
put(const char *key, const char *value, int64_t lease)
{
	g_autoptr(GBytes) k = bytes(key);
	g_autoptr(GBytes) v = bytes(value);

	store_put(k, v, lease);
}

static const struct item *
get(const char *key)
{
	g_autoptr(GBytes) k = bytes(key);

	return store_get(k);
}

static void
test_versions(void)
{
	static const struct {
		const char *key;
		bool delete;
		int64_t created, modified, version;
	} cases[] = {
		{ "v/a", false, 1, 1, 1 },
		{ "v/a", false, 1, 2, 2 },
		{ "v/b", false, 3, 3, 1 },
		{ "v/a", true, 0, 0, 0 },
		{ "v/a", false, 5, 5, 1 },
	};
	int64_t base = store_revision();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct item *it;
		g_autoptr(GBytes) k = bytes(cases[i].key);

		if (cases[i].delete)
			store_delete(k);
		else
			put(cases[i].key, "x", 0);
		g_assert_true(store_commit());
		it = get(cases[i].key);
		g_assert_true((it == NULL) == cases[i].delete);
		if (it == NULL)
			continue;
		g_assert_cmpint(it->created, ==, base + cases[i].created);
		g_assert_cmpint(it->modified, ==, base + cases[i].modified);
		g_assert_cmpint(it->version, ==, cases[i].version);
	}
	g_assert_false(store_commit());
}

static void
test_ranges(void)
{
	static const struct {
		const char *key, *end;
		size_t end_n;
		unsigned found;
	} cases[] = {
		{ "w/a", "", 0, 1 },
		{ "w/", "", 0, 0 },
		{ "w/", "w0", 2, 3 },
		{ "w/b", "w/c", 3, 1 },
		{ "w/b", "\0", 1, 2 },
		{ "w/d", "\0", 1, 0 },
	};

	put("w/c", "x", 0);
	put("w/a", "x", 0);
	put("w/b", "x", 0);
	store_commit();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GBytes) k = bytes(cases[i].key);
		g_autoptr(GBytes) end =
		    g_bytes_new(cases[i].end, cases[i].end_n);
		g_autoptr(GPtrArray) found = store_range(k, end);

		g_assert_cmpuint(found->len, ==, cases[i].found);
	}
}

static void
test_lease(void)
{
	static const struct {
		usec_t after;
		bool lives;
	} cases[] = {
		{ 0, true },
		{ 9 * USEC_PER_SEC, true },
		{ 3600 * USEC_PER_SEC, false },
	};
	int64_t id = store_grant(0, 10);
	usec_t now = clock_now();

	put("l/a", "x", id);
	put("l/b", "x", 0);
	store_commit();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_assert_true(
		    store_expire(now + cases[i].after) != cases[i].lives);
		g_assert_true((get("l/a") != NULL) == cases[i].lives);
		g_assert_nonnull(get("l/b"));
	}
	g_assert_cmpint(store_keep(id), ==, 0);
}

/* A history read from a revision on has all changes since, in order. */
static void
test_history(void)
{
	int64_t from = store_revision() + 1, last = 0;
	const GPtrArray *h;
	unsigned first;

	put("h/a", "x", 0);
	put("h/b", "x", 0);
	store_commit();
	put("h/a", "y", 0);
	store_commit();
	h = store_history(from, &first);
	g_assert_cmpuint(h->len - first, ==, 3);
	for (unsigned i = 0; i < h->len; i++) {
		const struct item *it = h->pdata[i];

		g_assert_cmpint(it->modified, >=, last);
		last = it->modified;
	}
	store_history(last + 1, &first);
	g_assert_cmpuint(first, ==, h->len);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	store_init();
	g_test_add_func("/standin/versions", test_versions);
	g_test_add_func("/standin/ranges", test_ranges);
	g_test_add_func("/standin/lease", test_lease);
	g_test_add_func("/standin/history", test_history);
	return g_test_run();
}
