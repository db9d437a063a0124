/*
 * The budget of repeated calls to a service, shared by the whole fleet.
 *
 * In any window the fleet may send a share of its requests once more, and a
 * fixed number beside.  Without a message between hosts: each host spends the
 * share of its own requests and an equal part of the fixed number, so the sum
 * holds whatever each host hears.  Load pattern: many calls fail at once, and
 * a retry for each would multiply the load on what is left.
 */
#ifndef KERNEL_RETRY_QUOTA_H
#define KERNEL_RETRY_QUOTA_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define RETRY_QUOTA_SLOTS 12

struct retry_quota_rule {
	double ratio; /* repeats for each request */
	double slack; /* repeats beside, of the whole fleet */
	usec_t window;
	uint32_t hosts; /* that share the slack; at least 1 */
};

struct retry_quota {
	struct {
		int64_t at; /* number of the slot's time */
		uint32_t requests;
		uint32_t repeats;
	} slots[RETRY_QUOTA_SLOTS];
};

/* A request to the service came. */
void retry_quota_request(
    struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now);
/* Whether a call may be repeated now; if so it is counted. */
bool retry_quota_spend(
    struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now);

#endif
