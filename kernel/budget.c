#include "kernel/budget.h"

#define MAX_EARNED  50.0 /* earned calls beyond this are lost */
#define START_CALLS 2.0

void
budget_init(struct budget *b)
{
	b->calls = START_CALLS;
}

void
budget_earn(struct budget *b, uint32_t percent)
{
	b->calls += percent / 100.0;
	if (b->calls > MAX_EARNED)
		b->calls = MAX_EARNED;
}

bool
budget_spend(struct budget *b, double reserve)
{
	if (b->calls < 1.0 + reserve)
		return false;
	b->calls -= 1.0;
	return true;
}

void
budget_return(struct budget *b)
{
	b->calls += 1.0;
}
