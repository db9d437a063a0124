#include "kernel/overload/prompt_cache.h"

struct cached_part {
	GList link; /* in prompt_cache.used; its data is the part */
	gint64 hash;
	uint32_t tokens;
};

void
prompt_cache_init(struct prompt_cache *c)
{
	*c = (struct prompt_cache){ 0 };
	c->parts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&c->used);
}

uint64_t
prompt_cache_hash(uint64_t sequence, uint64_t part)
{
	uint64_t x = (sequence ^ part) + 0x9e3779b97f4a7c15;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
	return x ^ (x >> 31);
}

static struct cached_part *
find(const struct prompt_cache *c, uint64_t hash)
{
	gint64 key = (gint64)hash;

	return g_hash_table_lookup(c->parts, &key);
}

size_t
prompt_cache_find(
    const struct prompt_cache *c, const struct prompt_prefix *v, size_t n)
{
	size_t i = 0;

	while (i < n && find(c, v[i].hash) != NULL)
		i++;
	return i;
}

static void
drop(struct prompt_cache *c, struct cached_part *p)
{
	c->tokens -= p->tokens;
	g_queue_unlink(&c->used, &p->link);
	g_hash_table_remove(c->parts, &p->hash);
}

static void
use(struct prompt_cache *c, const struct prompt_prefix *x)
{
	struct cached_part *p = find(c, x->hash);

	if (p == NULL) {
		p = g_new0(struct cached_part, 1);
		p->link.data = p;
		p->hash = (gint64)x->hash;
		p->tokens = x->tokens;
		c->tokens += p->tokens;
		g_hash_table_insert(c->parts, &p->hash, p);
	} else {
		g_queue_unlink(&c->used, &p->link);
	}
	g_queue_push_head_link(&c->used, &p->link);
}

void
prompt_cache_use(struct prompt_cache *c, const struct prompt_prefix *v,
    size_t n, uint64_t max_tokens)
{
	/* A part yields before those that it needs. */
	while (n-- > 0)
		use(c, &v[n]);
	while (c->used.length > 0 &&
	    (c->tokens > max_tokens || c->used.length > PROMPT_CACHE_MAX))
		drop(c, g_queue_peek_tail(&c->used));
}

void
prompt_cache_drop(struct prompt_cache *c, const struct prompt_prefix *v,
    size_t first, size_t n)
{
	while (n-- > first) {
		struct cached_part *p = find(c, v[n].hash);

		if (p != NULL)
			drop(c, p);
	}
}

void
prompt_cache_clear(struct prompt_cache *c)
{
	g_queue_init(&c->used);
	g_hash_table_remove_all(c->parts);
	c->tokens = 0;
}

void
prompt_cache_free(struct prompt_cache *c)
{
	g_hash_table_destroy(c->parts);
}
