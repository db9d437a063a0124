#include "kernel/store_position.h"

bool
store_position_covers(
    const struct store_position *p, const struct store_position *q)
{
	if (q->era != 0 && p->era != q->era)
		return p->era > q->era;
	return p->revision >= q->revision;
}
