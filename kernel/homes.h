/*
 * The weight of a host in the choice of a service's home: rendezvous hashing in
 * which a host's chance grows with the square of its processor.
 *
 * Load pattern: a home takes some 0.07 cores at a thousand pieces a second.  On
 * the smallest hosts that is most of what they have, and the whole service
 * waits for them.
 */
#ifndef KERNEL_HOMES_H
#define KERNEL_HOMES_H

#include <stdint.h>

/*
 * What a host is told to have: its processor (thousandths of a core), or what
 * its link (thousandths of a Mbit/s) can keep busy.
 */
uint32_t homes_capacity(uint32_t cpu, uint32_t link);
/* hash: of host and service; capacity: thousandths of a core, 0: unknown. */
double homes_weight(uint64_t hash, uint32_t capacity);

#endif
