/*
 * What the parts of a sequoiad cost, as figures by size and the line through
 * them.  Memory is what the allocator has handed out; times are processor time.
 */
#ifndef TESTS_CAPACITY_H
#define TESTS_CAPACITY_H

#include "base/clock.h"
#include "kernel/conf.h"

/* One figure of a quantity, "what, unit per thing", at size x. */
void point(const char *what, double x, double y);
/* Bytes that the allocator has handed out. */
double heap_bytes(void);
/* Microseconds of processor time since start. */
double cpu_usec(void);
/* A configuration of that many workspaces around pipeline "p", four stages. */
struct conf *capacity_conf(size_t workspaces);

void measure_requests(void);
void measure_targets(void);
void measure_routing(void);
void measure_workspaces(void);
void measure_members(void);
void measure_gossip(void);
void measure_letters(void);
void measure_claims(void);
void measure_configuration(void);

#endif
