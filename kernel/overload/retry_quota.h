/*
 * Quota of retried calls to a service, shared by the whole fleet.
 *
 * In any window the fleet may retry a ratio of its requests, plus a fixed
 * number (the slack).  Hosts exchange no messages for this: each host spends
 * the ratio of its own requests and an even share of the slack, so the sum
 * stays within the quota without coordination.  Load pattern: many calls fail
 * at once, and a retry for each would multiply the load on the remaining
 * targets.
 *
 * A struct retry_quota has no lock: one thread owns it.
 */
#ifndef KERNEL_OVERLOAD_RETRY_QUOTA_H
#define KERNEL_OVERLOAD_RETRY_QUOTA_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define RETRY_QUOTA_SLOTS 12

struct retry_quota_rule {
	double ratio; /* retries per request */
	double slack; /* additional retries of the whole fleet */
	usec_t window;
	uint32_t hosts; /* live hosts that share the slack; at least 1 */
};

struct retry_quota {
	struct {
		int64_t at; /* number of the time slot */
		uint32_t requests;
		uint32_t retries;
	} slots[RETRY_QUOTA_SLOTS];
};

/* Counts a request to the service. */
void retry_quota_request(
    struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now);
/* Whether a call may be retried now; if so, counts the retry. */
bool retry_quota_spend(
    struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now);

#endif
