#include "kernel/recent_set.h"

void
recent_set_init(struct recent_set *s, usec_t span)
{
	*s = (struct recent_set){ .span = span };
	s->newer =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	s->older =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void
drop_old(struct recent_set *s, usec_t now)
{
	GHashTable *emptied = s->older;

	if (now - s->since <= s->span)
		return;
	g_hash_table_remove_all(emptied);
	/* All of the newer ones are too old, too. */
	if (now - s->since > 2 * s->span)
		g_hash_table_remove_all(s->newer);
	s->older = s->newer;
	s->newer = emptied;
	s->since = now;
}

bool
recent_set_add(struct recent_set *s, uint64_t hash, usec_t now)
{
	drop_old(s, now);
	if (g_hash_table_contains(s->older, &hash) ||
	    g_hash_table_contains(s->newer, &hash))
		return false;
	g_hash_table_add(s->newer, g_memdup2(&hash, sizeof(hash)));
	return true;
}

void
recent_set_free(struct recent_set *s)
{
	g_hash_table_destroy(s->newer);
	g_hash_table_destroy(s->older);
}
