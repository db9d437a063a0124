#include "kernel/overload/stage_waits.h"

struct queue_waits {
	struct {
		usec_t wait;
		usec_t at;
	} ranks[STAGE_WAITS_RANKS];
};

void
stage_waits_init(struct stage_waits *w)
{
	w->by_queue =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static char *
queue_key(const char *service, const char *domain)
{
	return g_strconcat(service, "\t", domain, NULL);
}

static uint32_t
slot_of(uint32_t rank)
{
	return rank < STAGE_WAITS_RANKS ? rank : STAGE_WAITS_RANKS - 1;
}

void
stage_waits_report(struct stage_waits *w, const char *service,
    const char *domain, uint32_t rank, usec_t wait, usec_t now)
{
	g_autofree char *key = queue_key(service, domain);
	struct queue_waits *s = g_hash_table_lookup(w->by_queue, key);

	if (s == NULL) {
		s = g_new0(struct queue_waits, 1);
		g_hash_table_insert(w->by_queue, g_strdup(key), s);
	}
	s->ranks[slot_of(rank)].wait = wait;
	s->ranks[slot_of(rank)].at = now;
}

usec_t
stage_waits_get(const struct stage_waits *w, const char *service,
    const char *domain, uint32_t rank, usec_t now)
{
	g_autofree char *key = queue_key(service, domain);
	const struct queue_waits *s = g_hash_table_lookup(w->by_queue, key);
	usec_t left;

	if (s == NULL)
		return 0;
	left =
	    s->ranks[slot_of(rank)].wait - (now - s->ranks[slot_of(rank)].at);
	return left > 0 ? left : 0;
}

void
stage_waits_free(struct stage_waits *w)
{
	g_hash_table_destroy(w->by_queue);
}
