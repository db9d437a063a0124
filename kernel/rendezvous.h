/*
 * Weight of a host in rendezvous hashing for a service's coordinator.  A host's
 * chance grows with the fourth power of its capacity.
 *
 * Load pattern: a coordinator takes about 0.07 cores and a few Mbit/s at a
 * thousand pieces per second.  On the smallest hosts that is most of their
 * capacity: the whole service waits for them, and in a burst the hosts that
 * send them jobs consider them failed.  With nine small hosts to one that is
 * four times as large, the square of the capacity gives two in five services to
 * small hosts, the fourth power one in thirty.
 */
#ifndef KERNEL_RENDEZVOUS_H
#define KERNEL_RENDEZVOUS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rendezvous_host {
	const char *id;
	uint32_t capacity; /* thousandths of a core; 0: unknown */
};

/*
 * Returns the capacity of a host in thousandths of a core: its processor, or
 * what its link (thousandths of a Mbit/s) can keep busy, whichever is less.
 */
uint32_t rendezvous_capacity(uint32_t cpu, uint32_t link);
/*
 * Returns the weight of a host.  The hash is that of host and service; the
 * capacity is in thousandths of a core, 0 if unknown.
 */
double rendezvous_weight(uint64_t hash, uint32_t capacity);
/*
 * Whether a host may be chosen, given the largest capacity of all: one of less
 * than half of it is not, however its hash falls.
 */
bool rendezvous_is_large(uint32_t capacity, uint32_t largest);
/*
 * Writes the ids of the hosts with the largest weights for a purpose, which the
 * seed tells from others, at most max; returns their number.  The first is the
 * one with the largest weight.
 */
size_t rendezvous_choose(const struct rendezvous_host *v, size_t n,
    uint64_t seed, const char **out, size_t max);

#endif
