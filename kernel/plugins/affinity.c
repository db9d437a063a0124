/*
 * Balancing by prompt prefix: a call goes to the first target in the prefix's
 * rendezvous order, or to the second while the first costs more than the better
 * of two random targets by more than the policy's imbalance.  If both do, load
 * outweighs affinity.  So a prefix is cached on at most two targets.
 */
#include "kernel/pick.h"

#define MIX_ADDR   0x9e3779b97f4a7c15U
#define MIX_PREFIX 0xd1b54a32d192ed03U

/* Rendezvous weight of an address hash for a prefix. */
static uint64_t
mix(uint64_t addr, uint64_t prefix)
{
	unsigned __int128 m =
	    (unsigned __int128)(addr ^ MIX_ADDR) * (prefix ^ MIX_PREFIX);

	return (uint64_t)m ^ (uint64_t)(m >> 64);
}

/* Finds the first two eligible targets in rendezvous order. */
static void
first_two(const struct pick *p, int out[2])
{
	const struct service_targets *s = &p->targets->services[p->service];
	uint64_t best[2] = { 0, 0 };

	out[0] = out[1] = -1;
	for (size_t j = 0; j < s->n; j++) {
		int i = (int)s->members[j];
		uint64_t h = mix(p->targets->v[i].hash, p->affinity);

		if ((out[1] >= 0 && h <= best[1]) || !pick_eligible(p, i))
			continue;
		if (out[0] < 0 || h > best[0]) {
			out[1] = out[0];
			best[1] = best[0];
			out[0] = i;
			best[0] = h;
		} else {
			out[1] = i;
			best[1] = h;
		}
	}
}

static int
choose_affinity(struct pick *p)
{
	static const char *const reasons[] = { "prefix holder",
		"second prefix holder" };
	int pair[2];
	int other = pick_best_of_two(p);
	double max_cost;

	p->reason = "less loaded of two";
	if (p->affinity == 0 || other < 0)
		return other;
	first_two(p, pair);
	max_cost =
	    targets_cost(&p->targets->v[other], p->now) + p->policy->imbalance;
	for (int i = 0; i < 2 && pair[i] >= 0; i++) {
		if (targets_cost(&p->targets->v[pair[i]], p->now) <= max_cost) {
			p->reason = reasons[i];
			return pair[i];
		}
	}
	p->reason = "prefix holders too busy";
	return other;
}

static struct balance_ops affinity = { "affinity", choose_affinity, NULL };
BALANCE_REGISTER(affinity)

/* Affinity for calls with a prefix, the better of two for others. */
static struct balance_ops automatic = { "auto", choose_affinity, NULL };
BALANCE_REGISTER(automatic)
