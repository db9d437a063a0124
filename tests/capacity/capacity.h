/*
 * Measurements of what the parts of a sequoiad cost: figures at several sizes
 * and a line fitted to them.  Memory is what the allocator has handed out;
 * times are processor time.
 */
#ifndef TESTS_CAPACITY_H
#define TESTS_CAPACITY_H

#include "base/clock.h"
#include "kernel/conf.h"

/* Records the figure y at size x of a quantity "NAME, UNIT per THING". */
void record_point(const char *what, double x, double y);
/* Returns the bytes that the allocator has handed out. */
double heap_bytes(void);
/* Returns the processor time since the start, in microseconds. */
double cpu_usec(void);
/* Returns a configuration with workspaces and a four-stage pipeline "p". */
struct conf *capacity_conf(size_t workspaces);

void measure_requests(void);
void measure_targets(void);
void measure_routing(void);
void measure_workspaces(void);
void measure_members(void);
void measure_gossip(void);
void measure_datagrams(void);
void measure_claims(void);
void measure_placer(void);
void measure_configuration(void);

#endif
