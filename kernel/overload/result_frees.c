#include "kernel/overload/result_frees.h"

#define SWEEP_INTERVAL (1 * USEC_PER_SEC)

static void
free_entry(gpointer p)
{
	struct result_frees_entry *x = p;

	buf_free(&x->handles);
	g_free(x);
}

void
result_frees_init(struct result_frees *f)
{
	f->by_addr =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
	f->swept_at = 0;
}

void
result_frees_add(struct result_frees *f, struct str handle, usec_t now)
{
	struct str rest = handle;
	struct str addr;
	struct result_frees_entry *x;
	g_autofree char *key = NULL;

	if (!str_cut(&rest, '/', &addr) || rest.n == 0)
		return;
	key = g_strndup(addr.p, addr.n);
	x = g_hash_table_lookup(f->by_addr, key);
	if (x == NULL) {
		x = g_new0(struct result_frees_entry, 1);
		x->oldest = now;
		g_hash_table_insert(f->by_addr, g_steal_pointer(&key), x);
	} else {
		buf_putc(&x->handles, ',');
	}
	buf_put(&x->handles, handle);
}

const struct result_frees_entry *
result_frees_find(const struct result_frees *f, const char *addr)
{
	return g_hash_table_lookup(f->by_addr, addr);
}

void
result_frees_sent(struct result_frees *f, const char *addr)
{
	g_hash_table_remove(f->by_addr, addr);
}

void
result_frees_expire(struct result_frees *f, usec_t now)
{
	GHashTableIter it;
	gpointer x;

	if (now - f->swept_at < SWEEP_INTERVAL)
		return;
	f->swept_at = now;
	g_hash_table_iter_init(&it, f->by_addr);
	while (g_hash_table_iter_next(&it, NULL, &x)) {
		if (now - ((struct result_frees_entry *)x)->oldest >
		    RESULT_FREES_KEEP_TIME)
			g_hash_table_iter_remove(&it);
	}
}

void
result_frees_free(struct result_frees *f)
{
	g_hash_table_destroy(f->by_addr);
}
