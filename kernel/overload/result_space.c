#include "kernel/overload/result_space.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Interval in which results expire that nobody asks for. */
#define SWEEP_INTERVAL (1 * USEC_PER_SEC)

struct held_result {
	uint64_t bytes;
	usec_t expires;
	uint64_t fetched; /* in the order in which they were; 0: not */
};

struct producer {
	uint64_t reserved;
	uint64_t held_bytes;
	uint64_t fetched_bytes; /* of the held ones */
	usec_t oldest;       /* at or before the earliest expiry of a result */
	GHashTable *results; /* handle -> struct held_result */
};

static void
free_producer(gpointer data)
{
	struct producer *p = data;

	g_hash_table_destroy(p->results);
	free(p);
}

void
result_space_init(struct result_space *r)
{
	r->producers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_producer);
	r->n_lost = 0;
	r->n_fetched = 0;
	r->swept_at = 0;
}

/* Returns the producer, which is added if it isn't known. */
static struct producer *
add_producer(struct result_space *r, const char *addr)
{
	struct producer *p = g_hash_table_lookup(r->producers, addr);

	if (p != NULL)
		return p;
	p = xcalloc(1, sizeof(*p));
	p->results =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(r->producers, g_strdup(addr), p);
	return p;
}

/* Returns the address part of a handle; free with g_free. */
static char *
address_of(struct str handle)
{
	struct str addr = handle;

	str_cut(&handle, '/', &addr);
	return g_strndup(addr.p, addr.n);
}

/* Takes a result that is about to be removed out of the sums. */
static void
forget(struct producer *p, const struct held_result *h)
{
	p->held_bytes -= h->bytes;
	if (h->fetched != 0)
		p->fetched_bytes -= h->bytes;
}

static void
expire_results(struct producer *p, usec_t now)
{
	GHashTableIter it;
	gpointer v;

	if (now < p->oldest)
		return;
	p->oldest = INT64_MAX;
	g_hash_table_iter_init(&it, p->results);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct held_result *h = v;

		if (h->expires > now) {
			if (h->expires < p->oldest)
				p->oldest = h->expires;
			continue;
		}
		forget(p, h);
		g_hash_table_iter_remove(&it);
	}
}

static bool
is_empty(const struct producer *p)
{
	return p->reserved == 0 && g_hash_table_size(p->results) == 0;
}

static void
sweep(struct result_space *r, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	if (now - r->swept_at < SWEEP_INTERVAL)
		return;
	r->swept_at = now;
	g_hash_table_iter_init(&it, r->producers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		expire_results(p, now);
		if (is_empty(p))
			g_hash_table_iter_remove(&it);
	}
}

uint64_t
result_space_used(struct result_space *r, const char *addr, usec_t now)
{
	struct producer *p;

	sweep(r, now);
	p = g_hash_table_lookup(r->producers, addr);
	if (p == NULL)
		return 0;
	expire_results(p, now);
	return p->reserved + p->held_bytes;
}

void
result_space_reserve(struct result_space *r, const char *addr, uint64_t bytes)
{
	add_producer(r, addr)->reserved += bytes;
}

void
result_space_release(struct result_space *r, const char *addr, uint64_t bytes)
{
	struct producer *p = g_hash_table_lookup(r->producers, addr);

	if (p != NULL)
		p->reserved -= bytes < p->reserved ? bytes : p->reserved;
}

void
result_space_hold_lost(
    struct result_space *r, const char *addr, uint64_t bytes, usec_t expires)
{
	g_autofree char *handle =
	    g_strdup_printf("%s/?%" PRIu64, addr, ++r->n_lost);

	result_space_hold(r, handle, bytes, expires);
}

void
result_space_hold(
    struct result_space *r, const char *handle, uint64_t bytes, usec_t expires)
{
	g_autofree char *addr = address_of(str_from(handle));
	struct producer *p = add_producer(r, addr);
	struct held_result *h = g_new0(struct held_result, 1);

	if (g_hash_table_contains(p->results, handle))
		result_space_free_result(r, str_from(handle));
	h->bytes = bytes;
	h->expires = expires;
	p->held_bytes += bytes;
	if (g_hash_table_size(p->results) == 0 || expires < p->oldest)
		p->oldest = expires;
	g_hash_table_insert(p->results, g_strdup(handle), h);
}

bool
result_space_free_result(struct result_space *r, struct str handle)
{
	g_autofree char *addr = address_of(handle);
	g_autofree char *key = g_strndup(handle.p, handle.n);
	struct producer *p = g_hash_table_lookup(r->producers, addr);
	const struct held_result *h =
	    p != NULL ? g_hash_table_lookup(p->results, key) : NULL;

	if (h == NULL)
		return false;
	forget(p, h);
	g_hash_table_remove(p->results, key);
	return true;
}

void
result_space_fetched(struct result_space *r, struct str handle)
{
	g_autofree char *addr = address_of(handle);
	g_autofree char *key = g_strndup(handle.p, handle.n);
	struct producer *p = g_hash_table_lookup(r->producers, addr);
	struct held_result *h =
	    p != NULL ? g_hash_table_lookup(p->results, key) : NULL;

	if (h == NULL)
		return;
	if (h->fetched == 0)
		p->fetched_bytes += h->bytes;
	h->fetched = ++r->n_fetched;
}

uint64_t
result_space_fetched_bytes(const struct result_space *r, const char *addr)
{
	const struct producer *p = g_hash_table_lookup(r->producers, addr);

	return p != NULL ? p->fetched_bytes : 0;
}

/* A fetched result, as it is sorted. */
struct fetched_entry {
	uint64_t fetched;
	const char *handle;
};

static int
by_fetched(const void *a, const void *b)
{
	const struct fetched_entry *x = a;
	const struct fetched_entry *y = b;

	return (x->fetched > y->fetched) - (x->fetched < y->fetched);
}

/* Returns the fetched results, first those that were fetched first. */
static GArray *
fetched_results(const struct producer *p)
{
	GArray *v = g_array_new(FALSE, FALSE, sizeof(struct fetched_entry));
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, p->results);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct held_result *h = value;
		struct fetched_entry x = { h->fetched, key };

		if (h->fetched != 0)
			g_array_append_val(v, x);
	}
	g_array_sort(v, by_fetched);
	return v;
}

uint32_t
result_space_reclaim(struct result_space *r, const char *addr, uint64_t limit,
    usec_t now, struct buf *out)
{
	g_autoptr(GArray) v = NULL;
	struct producer *p;
	guint n = 0;

	if (result_space_used(r, addr, now) <= limit ||
	    result_space_fetched_bytes(r, addr) == 0)
		return 0;
	p = g_hash_table_lookup(r->producers, addr);
	v = fetched_results(p);
	while (n < v->len && p->reserved + p->held_bytes > limit) {
		const char *handle =
		    g_array_index(v, struct fetched_entry, n++).handle;

		if (out->n > 0)
			buf_putc(out, ',');
		buf_put(out, str_from(handle));
		forget(p, g_hash_table_lookup(p->results, handle));
		g_hash_table_remove(p->results, handle);
	}
	return n;
}

void
result_space_free(struct result_space *r)
{
	g_hash_table_destroy(r->producers);
}
