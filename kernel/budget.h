/*
 * The budget that retries and hedges draw on: every first call earns a share
 * of one call, every extra call spends one.  Extra calls therefore stay below
 * the percentage, whatever fails.
 */
#ifndef KERNEL_BUDGET_H
#define KERNEL_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct budget {
	double calls;
};

/* A small reserve, so that the first failures can be retried. */
void budget_init(struct budget *b);
/* A first call was sent. */
void budget_earn(struct budget *b, uint32_t percent);
/* Whether an extra call may be sent and leave the rest; if so it is paid. */
bool budget_spend(struct budget *b, double rest);
/* A call that was paid for could not be sent. */
void budget_return(struct budget *b);

#endif
