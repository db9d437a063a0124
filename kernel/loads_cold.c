/* What is known of cold targets, and the calls that they bear. */
#include "kernel/loads.h"

void
loads_set_hosts_listed(struct loads *l, bool listed, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	if (l->cold_hosts.listed == listed)
		return;
	l->cold_hosts.listed = listed;
	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct target_load *t = p;

		if (target_cold_is_bounded(&t->cold, now))
			target_cold_share(
			    &t->cold, t->entry.id, &l->cold_hosts);
	}
}

void
loads_set_cold_rules(struct loads *l, GHashTable *rules)
{
	g_hash_table_destroy(l->cold_rules);
	l->cold_rules = rules;
}

void
loads_cold(const struct loads *l, struct target_load *t, usec_t left,
    usec_t sent_at, usec_t now)
{
	if (left > 0)
		target_cold_share(&t->cold, t->entry.id, &l->cold_hosts);
	target_cold_answered(&t->cold, now + left, sent_at, now);
}

struct target_load *
loads_next_cold_change(struct loads *l, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	if (g_hash_table_size(l->cold_rules) == 0)
		return NULL;
	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct target_load *t = p;
		bool cold = t->listed && target_cold_is_cold(&t->cold, now);

		if (cold != t->cold_noted) {
			t->cold_noted = cold;
			return t;
		}
	}
	return NULL;
}

bool
loads_serve(struct target_load *t, bool counted, usec_t now)
{
	if (!target_cold_serves(&t->cold, counted, now))
		return false;
	t->in_flight++;
	t->sent_since++;
	target_limit_sent(&t->limit, now);
	return true;
}
