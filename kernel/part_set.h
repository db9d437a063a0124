/*
 * Sets of the parts of requests: those of a prompt, each known by the hash of
 * its id, and the content, known by the hash of URL, host, workspace and body.
 * Sorted, without duplicates.  A zeroed set is empty and valid.
 */
#ifndef KERNEL_PART_SET_H
#define KERNEL_PART_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PART_SET_MAX 32

struct part_set {
	uint64_t v[PART_SET_MAX];
	size_t n;
};

/* Adds a part; parts beyond PART_SET_MAX are left out. */
void part_set_add(struct part_set *s, uint64_t part);
bool part_set_has(const struct part_set *s, uint64_t part);
/* Whether s has all parts of sub. */
bool part_set_includes(const struct part_set *s, const struct part_set *sub);
bool part_set_equal(const struct part_set *a, const struct part_set *b);
/* Keeps only the parts that are also in other. */
void part_set_intersect(struct part_set *s, const struct part_set *other);
/* Removes the parts that are in other; returns whether there were any. */
bool part_set_subtract(struct part_set *s, const struct part_set *other);

#endif
