/*
 * Functions that balancing policies share: which targets are eligible, and the
 * choice of the better of two random targets.  Targets are named by their index
 * in the target table.
 */
#ifndef KERNEL_PICK_H
#define KERNEL_PICK_H

#include "kernel/plugin.h"
#include "kernel/targets.h"

/* Whether the target may get this call now. */
bool pick_eligible(const struct pick *p, int i);
/* Returns a random eligible target, or -1. */
int pick_random(struct pick *p);
/* Returns the better of two random eligible targets, or -1. */
int pick_best_of_two(struct pick *p);

#endif
