/*
 * Budget for retries and hedges: a first call earns a fraction of a call and an
 * extra call spends one.  Extra calls therefore stay below the configured
 * percentage, whatever fails.
 */
#ifndef KERNEL_BUDGET_H
#define KERNEL_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct budget {
	double calls;
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
