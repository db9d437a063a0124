/*
 * Balancing in turn regardless of load: the baseline that measurements compare
 * the other policies with.
 */
#include "kernel/pick.h"

static int
choose(struct pick *p)
{
	struct service_targets *s = &p->targets->services[p->service];

	p->reason = "next in turn";
	for (size_t j = 0; j < s->n; j++) {
		int i = (int)s->members[s->next++ % s->n];

		if (pick_eligible(p, i))
			return i;
	}
	return -1;
}

static struct balance_ops round_robin = { "round-robin", choose, NULL };
BALANCE_REGISTER(round_robin)
