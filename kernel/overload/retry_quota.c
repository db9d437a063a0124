#include "kernel/overload/retry_quota.h"

/*
 * Share of the quota that is used.  A restarted host doesn't know what it spent
 * before, and hosts may disagree on the number of live hosts.
 */
#define USABLE_SHARE 0.6

/* The slots cover the window and two partial slots, the first and the last. */
static int64_t
slot_number(const struct retry_quota_rule *rule, usec_t now)
{
	return now / (rule->window / (RETRY_QUOTA_SLOTS - 2));
}

static uint32_t
current_slot(
    struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now)
{
	int64_t at = slot_number(rule, now);
	uint32_t i = (uint32_t)(at % RETRY_QUOTA_SLOTS);

	if (r->slots[i].at != at) {
		r->slots[i].at = at;
		r->slots[i].requests = 0;
		r->slots[i].retries = 0;
	}
	return i;
}

void
retry_quota_request(
    struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now)
{
	r->slots[current_slot(r, rule, now)].requests++;
}

bool
retry_quota_spend(
    struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now)
{
	uint32_t i = current_slot(r, rule, now);
	int64_t oldest = slot_number(rule, now) - (RETRY_QUOTA_SLOTS - 1);
	uint32_t hosts = rule->hosts > 0 ? rule->hosts : 1;
	double requests = 0;
	double retries = 0;

	for (uint32_t k = 0; k < RETRY_QUOTA_SLOTS; k++) {
		if (r->slots[k].at < oldest)
			continue;
		requests += r->slots[k].requests;
		retries += r->slots[k].retries;
	}
	if (retries + 1 >
	    USABLE_SHARE * (rule->ratio * requests + rule->slack / hosts))
		return false;
	r->slots[i].retries++;
	return true;
}
