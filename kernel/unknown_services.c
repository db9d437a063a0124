#include "kernel/unknown_services.h"

/* Without an answer for longer, senders take the coordinator for lost. */
#define SILENT_TIME (150 * USEC_PER_MSEC)
/* Senders that were told to wait ask again after this time. */
#define LATER_TIME  (1 * USEC_PER_SEC)
/* Names come from other hosts. */
#define MAX_NAMES   1024

void
unknown_services_init(struct unknown_services *u)
{
	u->asked =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	u->removed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static bool
has_stage_service(const struct routes *t, const char *name)
{
	int at = routes_find_service(t, str_from(name));

	return at >= 0 && routes_service_at(t, (uint32_t)at)->has_pool;
}

void
unknown_services_changed(struct unknown_services *u,
    const struct routes *before, const struct routes *after)
{
	g_hash_table_remove_all(u->asked);
	if (g_hash_table_size(u->removed) > MAX_NAMES)
		g_hash_table_remove_all(u->removed);
	for (guint i = 0; before != NULL && i < before->services->len; i++) {
		const struct service *s = routes_service_at(before, i);

		if (s->has_pool && !has_stage_service(after, s->name))
			g_hash_table_add(u->removed, g_strdup(s->name));
	}
}

enum unknown_answer
unknown_services_asked(
    struct unknown_services *u, const char *service, usec_t now)
{
	usec_t *first = g_hash_table_lookup(u->asked, service);

	if (g_hash_table_contains(u->removed, service) ||
	    (first == NULL && g_hash_table_size(u->asked) >= MAX_NAMES))
		return UNKNOWN_REFUSE;
	if (first == NULL) {
		first = g_new(usec_t, 1);
		*first = now;
		g_hash_table_insert(u->asked, g_strdup(service), first);
	}
	if (now - *first < SILENT_TIME)
		return UNKNOWN_NONE;
	return now - *first < LATER_TIME ? UNKNOWN_LATER : UNKNOWN_REFUSE;
}

void
unknown_services_free(struct unknown_services *u)
{
	g_hash_table_destroy(u->asked);
	g_hash_table_destroy(u->removed);
}
