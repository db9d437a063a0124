#include "kernel/part_set.h"

#include <string.h>

/* Index of the first part that is not less than the given one. */
static size_t
position(const struct part_set *s, uint64_t part)
{
	size_t i = 0;

	while (i < s->n && s->v[i] < part)
		i++;
	return i;
}

bool
part_set_has(const struct part_set *s, uint64_t part)
{
	size_t i = position(s, part);

	return i < s->n && s->v[i] == part;
}

void
part_set_add(struct part_set *s, uint64_t part)
{
	size_t i = position(s, part);

	if ((i < s->n && s->v[i] == part) || s->n == PART_SET_MAX)
		return;
	memmove(&s->v[i + 1], &s->v[i], (s->n - i) * sizeof(s->v[0]));
	s->v[i] = part;
	s->n++;
}

bool
part_set_includes(const struct part_set *s, const struct part_set *sub)
{
	for (size_t i = 0; i < sub->n; i++) {
		if (!part_set_has(s, sub->v[i]))
			return false;
	}
	return true;
}

bool
part_set_equal(const struct part_set *a, const struct part_set *b)
{
	return a->n == b->n && memcmp(a->v, b->v, a->n * sizeof(a->v[0])) == 0;
}

/* Keeps the parts whose membership of other is as given. */
static bool
keep(struct part_set *s, const struct part_set *other, bool members)
{
	size_t n = 0;
	bool changed;

	for (size_t i = 0; i < s->n; i++) {
		if (part_set_has(other, s->v[i]) == members)
			s->v[n++] = s->v[i];
	}
	changed = n != s->n;
	s->n = n;
	return changed;
}

void
part_set_intersect(struct part_set *s, const struct part_set *other)
{
	keep(s, other, true);
}

bool
part_set_subtract(struct part_set *s, const struct part_set *other)
{
	return keep(s, other, false);
}
