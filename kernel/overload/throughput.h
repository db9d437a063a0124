/*
 * Measured rate at which a queue is served while work waits in it.
 *
 * Load pattern: the nominal capacity of a queue's servers says little about
 * how fast it drains when some of them are slow, or have no space for results.
 * While work waits all the time, the rate at which it is taken is the capacity.
 *
 * The rate covers the last complete time slots without an idle moment.  Times
 * are in microseconds.  A struct throughput belongs to one thread; a zeroed one
 * is valid.
 */
#ifndef KERNEL_OVERLOAD_THROUGHPUT_H
#define KERNEL_OVERLOAD_THROUGHPUT_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define THROUGHPUT_SLOTS 10

struct throughput {
	struct {
		int64_t at;    /* number of the time slot, from 1 */
		uint32_t done; /* units of work taken */
		bool idle;     /* the queue was empty at some time */
	} slots[THROUGHPUT_SLOTS];
};

/* Counts n units of work that were taken from the queue. */
void throughput_add(struct throughput *t, uint32_t n, usec_t now);
/* Notes that the queue is, or until now was, empty. */
void throughput_idle(struct throughput *t, usec_t now);
/*
 * Returns the measured units per second, or nominal while the queue has been
 * busy for too short a time.
 */
double throughput_rate(const struct throughput *t, usec_t now, double nominal);

#endif
