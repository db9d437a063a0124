/*
 * Balancing by prompt prefix: the first two targets of a rendezvous order of
 * the prefix share its calls, so that a prefix is kept on two runners and not
 * on all.  When both are busier than a random choice by more than the bound,
 * load goes before affinity.
 */
#include "kernel/pick.h"

#define MIX_ADDR   0x9e3779b97f4a7c15U
#define MIX_PREFIX 0xd1b54a32d192ed03U

/* Places an address hash in the order of a prefix. */
static uint64_t
mix(uint64_t addr, uint64_t prefix)
{
	unsigned __int128 m =
	    (unsigned __int128)(addr ^ MIX_ADDR) * (prefix ^ MIX_PREFIX);

	return (uint64_t)m ^ (uint64_t)(m >> 64);
}

/* The two best of the rendezvous order among those that may be chosen. */
static void
first_two(const struct pick *p, int out[2])
{
	const struct service_targets *s = &p->targets->services[p->service];
	uint64_t best[2] = { 0, 0 };

	out[0] = out[1] = -1;
	for (size_t j = 0; j < s->n; j++) {
		int i = (int)s->members[j];
		uint64_t h = mix(p->targets->v[i].hash, p->affinity);

		if ((out[1] >= 0 && h <= best[1]) || !pick_may(p, i))
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
	int pair[2];
	int other = pick_two(p);
	double a;
	double b;

	p->reason = "less loaded of two";
	if (p->affinity == 0 || other < 0)
		return other;
	first_two(p, pair);
	a = targets_cost(&p->targets->v[pair[0]], p->now);
	b = pair[1] < 0 ? a : targets_cost(&p->targets->v[pair[1]], p->now);
	if (b + p->policy->imbalance < a)
		pair[0] = pair[1];
	a = targets_cost(&p->targets->v[pair[0]], p->now);
	if (targets_cost(&p->targets->v[other], p->now) + p->policy->imbalance <
	    a) {
		p->reason = "prefix holder too busy";
		return other;
	}
	p->reason = "prefix holder";
	return pair[0];
}

static struct balance_ops affinity = { "affinity", choose_affinity, NULL };
BALANCE_REGISTER(affinity)

/* Affinity where calls have a prefix, two choices elsewhere. */
static struct balance_ops automatic = { "auto", choose_affinity, NULL };
BALANCE_REGISTER(automatic)
