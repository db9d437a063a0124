/*
 * Which parts of prompts an engine is expected to keep in its memory.
 *
 * A part counts only if all parts before it are kept too, so it is known by the
 * hash of the whole sequence up to it.  The engine drops the least recently
 * used parts when its memory is full; so does this.
 *
 * A struct prompt_cache has no lock.
 */
#ifndef KERNEL_OVERLOAD_PROMPT_CACHE_H
#define KERNEL_OVERLOAD_PROMPT_CACHE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Parts that are tracked for one engine at most. */
#define PROMPT_CACHE_MAX 4096

struct prompt_cache {
	GHashTable *parts; /* hash of the sequence -> struct cached_part */
	GQueue used;       /* struct cached_part, the last used one first */
	uint64_t tokens;
};

/* The end of a sequence of parts: its hash, and the tokens of its last part. */
struct prompt_prefix {
	uint64_t hash;
	uint32_t tokens;
};

void prompt_cache_init(struct prompt_cache *c);
/* Hash of a sequence that goes on with a part. */
uint64_t prompt_cache_hash(uint64_t sequence, uint64_t part);
/* Returns how many of the n prefixes of a prompt are kept. */
size_t prompt_cache_find(
    const struct prompt_cache *c, const struct prompt_prefix *v, size_t n);
/*
 * The prompt is read: its parts are kept, as the last used ones.  Parts yield
 * until there are at most max_tokens.
 */
void prompt_cache_use(struct prompt_cache *c, const struct prompt_prefix *v,
    size_t n, uint64_t max_tokens);
/* Drops the parts of a prompt that wasn't read, beginning with one. */
void prompt_cache_drop(struct prompt_cache *c, const struct prompt_prefix *v,
    size_t first, size_t n);
void prompt_cache_clear(struct prompt_cache *c);
void prompt_cache_free(struct prompt_cache *c);

#endif
