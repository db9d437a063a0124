#include "kernel/overload/engine_groups.h"
#include "base/hash.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Longer than the targets of a domain take to restart one after the other. */
#define HOLD_TIME  (300 * USEC_PER_SEC)
#define MAX_GROUPS 1024
#define SEED       47

void
engine_count_set(struct engine_count *c, uint32_t engines, usec_t now)
{
	if (engines < c->engines && now - c->counted_at < HOLD_TIME)
		return;
	c->engines = engines;
	c->counted_at = now;
}

uint32_t
engine_groups_number(uint32_t engines)
{
	uint32_t n = 1;

	while (n < MAX_GROUPS && engines > n * ENGINE_GROUP_MAX)
		n *= 2;
	return n;
}

uint64_t
engine_groups_hash(const char *id)
{
	return hash_u64(str_from(id), SEED);
}

uint32_t
engine_groups_index(uint64_t hash, uint32_t n)
{
	return (uint32_t)(hash & (n - 1));
}

bool
engine_group_has(const struct engine_group_id *g, uint64_t hash)
{
	return engine_groups_index(hash, g->n) == g->index;
}

bool
engine_group_name(
    const struct engine_group_id *g, char out[ENGINE_GROUP_NAME_BYTES])
{
	int len = g->n > 1
	    ? snprintf(out, ENGINE_GROUP_NAME_BYTES, "%s#%" PRIu32 "/%" PRIu32,
		  g->domain, g->index, g->n)
	    : snprintf(out, ENGINE_GROUP_NAME_BYTES, "%s", g->domain);

	return len >= 0 && len < ENGINE_GROUP_NAME_BYTES;
}

bool
engine_group_parse(const char *name, struct engine_group_id *out)
{
	const char *at = strrchr(name, '#');
	char again[ENGINE_GROUP_NAME_BYTES];
	size_t n = at != NULL ? (size_t)(at - name) : 0;

	*out = (struct engine_group_id){ .n = 1 };
	if (at == NULL || n >= sizeof(out->domain) ||
	    sscanf(at, "#%" SCNu32 "/%" SCNu32, &out->index, &out->n) != 2)
		return false;
	memcpy(out->domain, name, n);
	/* Only names as engine_group_name writes them. */
	return out->n > 1 && out->n <= MAX_GROUPS &&
	    (out->n & (out->n - 1)) == 0 && out->index < out->n &&
	    engine_group_name(out, again) && strcmp(again, name) == 0;
}
