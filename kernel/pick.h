/* What balancing policies share: who may be chosen, and the better of two. */
#ifndef KERNEL_PICK_H
#define KERNEL_PICK_H

#include "kernel/plugin.h"
#include "kernel/targets.h"

/* Whether the target may get this call now. */
bool pick_eligible(const struct pick *p, int i);
/* A random target that may get the call, or -1. */
int pick_random(struct pick *p);
/* The better of two random targets, or -1. */
int pick_best_of_two(struct pick *p);

#endif
