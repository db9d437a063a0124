/*
 * The weight of a host in the choice of a service's home: rendezvous hashing in
 * which a host's chance grows with the fourth power of its capacity.
 *
 * Load pattern: a home takes some 0.07 cores and a few Mbit/s at a thousand
 * pieces a second.  On the smallest hosts that is most of what they have: the
 * whole service waits for them, and in a burst they look lost to those who ask.
 * In a fleet of nine small hosts to one that is four times as large, the square
 * gives two in five homes to small hosts, the fourth power one in thirty.
 */
#ifndef KERNEL_RENDEZVOUS_H
#define KERNEL_RENDEZVOUS_H

#include <stdint.h>

/*
 * What a host is told to have: its processor (thousandths of a core), or what
 * its link (thousandths of a Mbit/s) can keep busy.
 */
uint32_t rendezvous_capacity(uint32_t cpu, uint32_t link);
/* hash: of host and service; capacity: thousandths of a core, 0: unknown. */
double rendezvous_weight(uint64_t hash, uint32_t capacity);

#endif
