#include "kernel/loads.h"
#include "base/hash.h"

#include <stdlib.h>
#include <string.h>

#define ASIDE_FIRST    (500 * USEC_PER_MSEC) /* a restart takes about as long */
#define FULL_PAUSE     (200 * USEC_PER_MSEC) /* a stage call takes longer */
#define ASIDE_MAX      (8 * USEC_PER_SEC)    /* of a target that stays broken */
/*
 * An engine reads some 100 tokens of a prompt in a millisecond, and holds up
 * all its other requests meanwhile: shared parts that are read again count
 * four times.
 */
#define TOKENS_PER_MS  25.0
/* What one more running request costs the others, in milliseconds. */
#define RUNNING_MS     4.0
/* What a request that waits for a slot costs, in milliseconds. */
#define WAITING_MS     40.0
/* A report is older than the calls that it tells of by then. */
#define REPORT_MAX_AGE (2 * USEC_PER_SEC)
/* Of fetching a megabyte from another failure domain, in milliseconds. */
#define REMOTE_MB_MS   6.0
/* Of a call into another failure domain: one way there and back. */
#define REMOTE_MS      2.0

void
loads_init(struct loads *l, const char *domain, uint64_t seed)
{
	*l = (struct loads){ 0 };
	g_strlcpy(l->domain, domain, sizeof(l->domain));
	rng_init(&l->rng, seed);
	l->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	l->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
	l->by_service = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
}

/* Lists the targets by address, and the usable ones by service, anew. */
static void
index_targets(struct loads *l)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_remove_all(l->by_addr);
	g_hash_table_remove_all(l->by_service);
	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct target_load *t = p;
		GPtrArray *same;

		if (t->listed)
			g_hash_table_insert(l->by_addr, t->entry.addr, t);
		if (!t->listed || t->leaving || t->entry.leaving)
			continue;
		same = g_hash_table_lookup(l->by_service, t->entry.service);
		if (same == NULL) {
			same = g_ptr_array_new();
			g_hash_table_insert(
			    l->by_service, g_strdup(t->entry.service), same);
		}
		g_ptr_array_add(same, t);
	}
}

void
loads_update(struct loads *l, const GArray *targets)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct target_load *)p)->listed = false;
	for (guint i = 0; i < targets->len; i++) {
		const struct target_entry *e =
		    &g_array_index(targets, struct target_entry, i);
		struct target_load *t = g_hash_table_lookup(l->by_id, e->id);

		if (t == NULL) {
			t = xcalloc(1, sizeof(*t));
			t->entry = *e;
			g_hash_table_insert(l->by_id, t->entry.id, t);
		}
		if (e->born_ms != t->entry.born_ms) {
			/* The same id started anew: nothing of before holds. */
			t->leaving = false;
			t->failures = 0;
			t->aside_until = 0;
		}
		t->entry = *e;
		t->listed = true;
	}
	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct target_load *t = p;

		if (!t->listed && t->in_flight == 0)
			g_hash_table_iter_remove(&it);
	}
	index_targets(l);
}

struct target_load *
loads_find(struct loads *l, const char *id)
{
	return g_hash_table_lookup(l->by_id, id);
}

const GPtrArray *
loads_usable(const struct loads *l, const char *service)
{
	return g_hash_table_lookup(l->by_service, service);
}

static bool
already_tried(const struct loads_query *w, const struct target_load *t)
{
	for (size_t i = 0; i < w->n_tried; i++) {
		if (str_eq(w->tried[i], str_from(t->entry.id)))
			return true;
	}
	return false;
}

static double
active(const struct target_load *t, usec_t now)
{
	double reported =
	    now - t->reported_at < REPORT_MAX_AGE ? t->reported : 0;
	double seen = reported + t->sent_since;

	return seen > t->in_flight ? seen : t->in_flight;
}

static const struct target_load *
target_at(const struct loads *l, struct str addr)
{
	char key[sizeof(((struct target_entry *)NULL)->addr)];

	if (addr.n >= sizeof(key))
		return NULL;
	memcpy(key, addr.p, addr.n);
	key[addr.n] = '\0';
	return g_hash_table_lookup(l->by_addr, key);
}

const char *
loads_domain_at(const struct loads *l, struct str addr)
{
	const struct target_load *t = target_at(l, addr);

	return t != NULL ? t->entry.domain : "";
}

const char *
loads_service_at(const struct loads *l, struct str addr)
{
	const struct target_load *t = target_at(l, addr);

	return t != NULL ? t->entry.service : "";
}

/* Rendezvous weight: which target keeps the parts that begin with prefix. */
static uint64_t
affinity(uint64_t prefix, const struct target_load *t)
{
	return hash_u64(str_from(t->entry.id), prefix);
}

static const struct target_load *
affinity_target(const GPtrArray *all, const struct loads_query *w)
{
	const struct target_load *best = NULL;

	for (guint i = 0; w->prefix != 0 && i < all->len; i++) {
		const struct target_load *t = all->pdata[i];

		if (best == NULL ||
		    affinity(w->prefix, t) > affinity(w->prefix, best))
			best = t;
	}
	return best;
}

const char *
loads_affinity_domain(const struct loads *l, const struct loads_query *w)
{
	const GPtrArray *all = loads_usable(l, w->service);
	const struct target_load *t =
	    all != NULL ? affinity_target(all, w) : NULL;

	return t != NULL ? t->entry.domain : "";
}

/* Predicted milliseconds until the answer begins, beside what is equal. */
static double
cost(const struct loads *l, const struct loads_query *w,
    const struct target_load *t, const struct target_load *kept,
    const char *near, usec_t now)
{
	double n = active(t, now);
	double slots = t->entry.slots > 0 ? t->entry.slots : 1;
	double ms = strcmp(t->entry.domain, l->domain) == 0 ? 0 : REMOTE_MS;

	if (!w->engine)
		return ms + 20.0 * n / slots;
	ms += n * RUNNING_MS;
	if (n >= slots)
		ms += (n - slots + 1) * WAITING_MS;
	if (t != kept)
		ms += w->shared_tokens / TOKENS_PER_MS;
	if (*near != '\0' && strcmp(near, t->entry.domain) != 0)
		ms += REMOTE_MB_MS * (double)w->input_bytes / 1e6;
	return ms;
}

static struct target_load *
choose_cheapest(struct loads *l, const struct loads_query *w,
    const GPtrArray *all, bool aside, usec_t now)
{
	const struct target_load *kept = affinity_target(all, w);
	const char *near =
	    w->input_addr.n > 0 ? loads_domain_at(l, w->input_addr) : "";
	struct target_load *best = NULL;
	double least = 0;

	for (guint i = 0; i < all->len; i++) {
		struct target_load *t = all->pdata[i];
		double c;

		if (already_tried(w, t) || (!aside && now < t->aside_until))
			continue;
		c = cost(l, w, t, kept, near, now) + rng_unit(&l->rng);
		if (best == NULL || c < least) {
			best = t;
			least = c;
		}
	}
	return best;
}

struct target_load *
loads_choose(struct loads *l, const struct loads_query *w, usec_t now)
{
	const GPtrArray *all = loads_usable(l, w->service);
	struct target_load *t;

	if (all == NULL)
		return NULL;
	t = choose_cheapest(l, w, all, false, now);
	return t != NULL ? t : choose_cheapest(l, w, all, true, now);
}

void
loads_sent(struct target_load *t)
{
	t->in_flight++;
	t->sent_since++;
}

void
loads_report(
    struct target_load *t, uint32_t running, uint32_t waiting, usec_t now)
{
	t->reported = running + waiting;
	t->reported_at = now;
	t->sent_since = 0;
}

void
loads_failed(struct target_load *t, usec_t now)
{
	usec_t aside = ASIDE_FIRST;

	for (uint32_t i = 0; i < t->failures && aside < ASIDE_MAX; i++)
		aside *= 2;
	t->failures++;
	t->aside_until = now + (aside < ASIDE_MAX ? aside : ASIDE_MAX);
}

void
loads_full(struct target_load *t, usec_t now)
{
	t->aside_until = now + FULL_PAUSE;
}

void
loads_ended(struct loads *l, const char *id, enum loads_result how, usec_t now)
{
	struct target_load *t = loads_find(l, id);

	if (t == NULL)
		return;
	if (t->in_flight > 0)
		t->in_flight--;
	switch (how) {
	case LOADS_OK:
		t->failures = 0;
		t->aside_until = 0;
		break;
	case LOADS_FULL:
		loads_full(t, now);
		break;
	case LOADS_FAILED:
		loads_failed(t, now);
		break;
	}
}

uint32_t
loads_conn_share(uint32_t max_conns, uint32_t hosts)
{
	uint32_t share = max_conns / (hosts > 0 ? hosts : 1);

	if (max_conns > 0 && share == 0)
		share = 1;
	return share;
}

void
loads_mark_leaving(struct loads *l, struct target_load *t)
{
	if (t->leaving)
		return;
	t->leaving = true;
	index_targets(l);
}

void
loads_free(struct loads *l)
{
	g_hash_table_destroy(l->by_service);
	g_hash_table_destroy(l->by_addr);
	g_hash_table_destroy(l->by_id);
}
