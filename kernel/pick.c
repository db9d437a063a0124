#include "kernel/pick.h"

#include <string.h>

/* Random draws before a linear search of the service's targets. */
#define MAX_DRAWS 6

bool
pick_eligible(const struct pick *p, int i)
{
	const struct target *x = &p->targets->v[i];

	if (x->state != TARGET_LIVE || x->aside_until > p->now)
		return false;
	if (x->on_probation && x->aside_until != 0 && x->in_flight > 0)
		return false;
	if (p->concurrency > 0 &&
	    targets_estimated_load(x, p->now) >= (double)p->concurrency)
		return false;
	for (size_t j = 0; j < p->n_avoid; j++) {
		if (p->avoid[j] == i)
			return false;
	}
	return true;
}

int
pick_random(struct pick *p)
{
	const struct service_targets *s = &p->targets->services[p->service];
	size_t start;

	if (s->n == 0)
		return -1;
	for (int d = 0; d < MAX_DRAWS; d++) {
		int i = (int)s->members[rng_below(p->rng, s->n)];

		if (pick_eligible(p, i))
			return i;
	}
	start = rng_below(p->rng, s->n);
	for (size_t j = 0; j < s->n; j++) {
		int i = (int)s->members[(start + j) % s->n];

		if (pick_eligible(p, i))
			return i;
	}
	return -1;
}

/* Cost of a target; half a call more if it is in another failure domain. */
static double
cost(const struct pick *p, int i)
{
	const struct target *x = &p->targets->v[i];
	double c = targets_cost(x, p->now);

	if (p->policy->prefer_domain != 0 && p->domain != NULL &&
	    strcmp(x->domain, p->domain) != 0)
		c += 0.5;
	return c;
}

int
pick_best_of_two(struct pick *p)
{
	int a = pick_random(p);
	int b;

	if (a < 0)
		return -1;
	b = pick_random(p);
	if (b == a)
		b = pick_random(p);
	return cost(p, b) < cost(p, a) ? b : a;
}
