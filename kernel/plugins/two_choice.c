/* Balancing by the less loaded of two random targets. */
#include "kernel/pick.h"

static int
choose(struct pick *p)
{
	p->reason = "less loaded of two";
	return pick_best_of_two(p);
}

static struct balance_ops two_choice = { "two-choice", choose, NULL };
BALANCE_REGISTER(two_choice)
