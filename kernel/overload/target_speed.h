/*
 * Which calls a stage target takes that is slower than the others.
 *
 * Load pattern: some targets of a service take several times as long as the
 * others, while these have room left.  Pieces that a slow target takes are
 * late, though they would be on time if they waited for the next fast one.  So
 * a slow target gets pieces only when the fast ones have more than they can
 * take in the additional time of its calls, and then those that are the least
 * urgent. Now and then it gets a small call, which shows whether it is still
 * slow.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_OVERLOAD_TARGET_SPEED_H
#define KERNEL_OVERLOAD_TARGET_SPEED_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A zeroed one is that of a target without calls so far. */
struct target_speed {
	double slowness;    /* duration of its calls, in expected durations */
	usec_t measured_at; /* 0: never */
};

/* The usable targets of a service together. */
struct target_speeds {
	double typical; /* slowness of most targets */
	uint32_t fast;  /* targets that are not slow */
};

enum target_use {
	TARGET_USE,       /* like any other */
	TARGET_USE_LAST,  /* for the least urgent pieces */
	TARGET_USE_PROBE, /* for a few of the least urgent pieces */
	TARGET_LEAVE      /* its pieces wait for another target */
};

/* A call that was expected to take one time took another. */
void target_speed_record(
    struct target_speed *s, usec_t expected, usec_t took, usec_t now);
/*
 * Summarizes the targets of a service: the slowness of n that have had calls,
 * an array that is sorted, and the number of those without calls.
 */
struct target_speeds target_speeds_of(
    double *slowness, size_t n, uint32_t unmeasured);
/* Slowness of a target in relation to most others, at least 1. */
double target_speed_relative(
    const struct target_speed *s, const struct target_speeds *all);
bool target_speed_is_slow(
    const struct target_speed *s, const struct target_speeds *all);
/*
 * What a free target is to be used for.  call: expected duration of a call;
 * backlog: time in which the fast targets take all pieces that wait.
 */
enum target_use target_speed_use(const struct target_speed *s,
    const struct target_speeds *all, usec_t call, usec_t backlog, usec_t now);

#endif
