/*
 * Budget for the extra calls of a stage: retries and hedges.  A first call
 * earns a fraction of an extra call, and an extra call spends a whole one, so
 * extra calls stay below the configured percentage however many calls fail.
 */
#ifndef KERNEL_BUDGET_H
#define KERNEL_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct budget {
	double calls; /* extra calls that may be sent now */
};

/* Starts with a small reserve so that the first failures can be retried. */
void budget_init(struct budget *b);
/* Counts a first call. */
void budget_earn(struct budget *b, uint32_t percent);
/*
 * Whether the budget has an extra call and would keep the reserve.  If so,
 * spends the call.
 */
bool budget_spend(struct budget *b, double reserve);
/* Returns a spent call that could not be sent. */
void budget_return(struct budget *b);

#endif
