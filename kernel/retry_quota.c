#include "kernel/retry_quota.h"

/*
 * Part of the budget that is spent: a host that starts anew does not know
 * what its predecessor spent, and hosts may count more live ones than others.
 */
#define USABLE_SHARE 0.6

/* A window covers all slots but two, the first and last of which are partial.
 */
static int64_t
slot_of(const struct retry_quota_rule *rule, usec_t now)
{
	return now / (rule->window / (RETRY_QUOTA_SLOTS - 2));
}

static uint32_t
place(struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now)
{
	int64_t at = slot_of(rule, now);
	uint32_t i = (uint32_t)(at % RETRY_QUOTA_SLOTS);

	if (r->slots[i].at != at) {
		r->slots[i].at = at;
		r->slots[i].requests = 0;
		r->slots[i].repeats = 0;
	}
	return i;
}

void
retry_quota_request(
    struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now)
{
	r->slots[place(r, rule, now)].requests++;
}

bool
retry_quota_spend(
    struct retry_quota *r, const struct retry_quota_rule *rule, usec_t now)
{
	uint32_t i = place(r, rule, now);
	int64_t oldest = slot_of(rule, now) - (RETRY_QUOTA_SLOTS - 1);
	uint32_t hosts = rule->hosts > 0 ? rule->hosts : 1;
	double requests = 0;
	double repeats = 0;

	for (uint32_t k = 0; k < RETRY_QUOTA_SLOTS; k++) {
		if (r->slots[k].at < oldest)
			continue;
		requests += r->slots[k].requests;
		repeats += r->slots[k].repeats;
	}
	if (repeats + 1 >
	    USABLE_SHARE * (rule->ratio * requests + rule->slack / hosts))
		return false;
	r->slots[i].repeats++;
	return true;
}
