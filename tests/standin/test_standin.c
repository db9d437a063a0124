/*
 * Table tests of the stand-in's key-value store: versions of keys, ranges,
 * leases and the history of changes.
 */
#include "tests/standin/store.h"

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

		if (cases[i].delete)
			store_delete(cases[i].key);
		else
			store_put(cases[i].key, "x", 0);
		g_assert_true(store_commit());
		it = store_get(cases[i].key);
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

	store_put("w/c", "x", 0);
	store_put("w/a", "x", 0);
	store_put("w/b", "x", 0);
	store_commit();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct str end = { cases[i].end, cases[i].end_n };
		g_autoptr(GPtrArray) found = store_range(cases[i].key, end);

		g_assert_cmpuint(found->len, ==, cases[i].found);
	}
}

static void
test_lease(void)
{
	static const struct {
		usec_t after;
		bool exists;
	} cases[] = {
		{ 0, true },
		{ 9 * USEC_PER_SEC, true },
		{ 3600 * USEC_PER_SEC, false },
	};
	int64_t id = store_grant(10);
	usec_t now = clock_now();

	store_put("l/a", "x", id);
	store_put("l/b", "x", 0);
	store_commit();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_assert_true(
		    store_expire(now + cases[i].after) != cases[i].exists);
		g_assert_true((store_get("l/a") != NULL) == cases[i].exists);
		g_assert_nonnull(store_get("l/b"));
	}
	g_assert_cmpint(store_renew(id), ==, 0);
}

/* The history from a revision on has all later changes in order. */
static void
test_history(void)
{
	int64_t from = store_revision() + 1, last = 0;
	const GPtrArray *h;
	unsigned first;

	store_put("h/a", "x", 0);
	store_put("h/b", "x", 0);
	store_commit();
	store_put("h/a", "y", 0);
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
