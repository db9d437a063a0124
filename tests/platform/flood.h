/*
 * Targets on loopback, served by one thread of the test process, whose answers
 * are large, or have no end.
 *
 * The X-Test field of a request is the form of its answer; flood.c lists them.
 * Without it the answer is the request's id.
 */
#ifndef TESTS_PLATFORM_FLOOD_H
#define TESTS_PLATFORM_FLOOD_H

#include <stddef.h>
#include <stdint.h>

struct flood;

/* Listens on n ports from this one on. */
struct flood *flood_start(uint16_t port, size_t n);
/* Returns how often a request with this id arrived whole. */
uint32_t flood_arrivals(struct flood *f, const char *id);
/* How often an answer to it was cut off, as its receiver took nothing. */
uint32_t flood_cuts(struct flood *f, const char *id);
void flood_stop(struct flood *f);

#endif
