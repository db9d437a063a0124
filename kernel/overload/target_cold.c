#include "kernel/overload/target_cold.h"
#include "base/hash.h"

#include <math.h>
#include <string.h>

#define OWNER_SEED  43
#define PHASE_SEED  47
/* What the least urgent requests may cost more at a target that gets warm. */
#define WARMING_MS  100.0
/* Lists of hosts that may differ and yet keep the bound together. */
#define LISTS       2.0
/* Used part of what a cold target bears. */
#define USED_PART   0.9
/* A host's requests arrive at uneven distances: more than a second is kept. */
#define MIN_PERIOD  1.05
/* Time in which a host that starts has heard of the others. */
#define SETTLE_TIME (10 * USEC_PER_SEC)
/* Time in which the share of a target that is warm again doubles. */
#define DOUBLE_TIME (1 * USEC_PER_SEC)
/* A host that isn't listed any more may be cut off, and send, for this long. */
#define HOST_KEEP   (600 * USEC_PER_SEC)
/* Entries name the time left with delays: a change of less is none. */
#define SAME_TIME   (500 * USEC_PER_MSEC)

struct known_host {
	usec_t seen_at; /* last time that it was live */
	bool live;
};

void
target_cold_hosts_init(struct target_cold_hosts *h)
{
	h->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->self = NULL;
}

bool
target_cold_hosts_set(struct target_cold_hosts *h, const char *const *ids,
    size_t n, const char *self, usec_t now)
{
	bool changed = g_strcmp0(h->self, self) != 0;
	GHashTableIter it;
	gpointer v;

	if (h->self == NULL)
		h->since = now;
	g_free(h->self);
	h->self = g_strdup(self);
	g_hash_table_iter_init(&it, h->known);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct known_host *k = v;

		if (k->live)
			k->seen_at = now;
		k->live = false;
	}
	for (size_t i = 0; i < n; i++) {
		struct known_host *k = g_hash_table_lookup(h->known, ids[i]);

		if (k == NULL) {
			k = g_new0(struct known_host, 1);
			g_hash_table_insert(h->known, g_strdup(ids[i]), k);
			changed = true;
		}
		*k = (struct known_host){ now, true };
	}
	g_hash_table_iter_init(&it, h->known);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (now - ((struct known_host *)v)->seen_at > HOST_KEEP) {
			g_hash_table_iter_remove(&it);
			changed = true;
		}
	}
	return changed;
}

void
target_cold_hosts_free(struct target_cold_hosts *h)
{
	g_hash_table_destroy(h->known);
	g_free(h->self);
}

static double
unit(uint64_t hash)
{
	return (double)(hash >> 11) / 9007199254740992.0;
}

void
target_cold_share(struct target_cold *c, const char *target,
    const struct target_cold_hosts *hosts)
{
	uint64_t seed = hash_u64(str_from(target), OWNER_SEED);
	uint64_t own;
	GHashTableIter it;
	gpointer id;

	c->hosts = g_hash_table_size(hosts->known);
	c->rank = 0;
	c->owns_from = hosts->listed ? 0 : hosts->since + SETTLE_TIME;
	if (hosts->self == NULL)
		return;
	own = hash_u64(str_from(hosts->self), seed);
	c->phase = unit(hash_u64(str_from(hosts->self), seed + PHASE_SEED));
	g_hash_table_iter_init(&it, hosts->known);
	while (g_hash_table_iter_next(&it, &id, NULL))
		c->rank += hash_u64(str_from(id), seed) > own;
}

/* Requests in one second that the hosts of one list may send together. */
static double
budget(const struct target_cold_rule *r)
{
	return (r->per_s * r->over + r->slack) / LISTS;
}

static double
host_count(const struct target_cold *c)
{
	return c->hosts > 0 ? c->hosts : 1;
}

static double
owner_count(const struct target_cold *c)
{
	double n = floor(budget(&c->rule));

	return n < 1 ? 1 : fmin(n, host_count(c));
}

/* Seconds between two requests of one of n hosts that share the budget. */
static double
period(const struct target_cold_rule *r, double n)
{
	double slowest = n / (USED_PART * r->per_s);
	/*
	 * Within a second a host sends one request, or at most one more than
	 * its rate.
	 */
	double rate = budget(r) / n - 1;
	double bounded = rate > 1 ? 1 / rate : MIN_PERIOD;

	return fmax(slowest, bounded);
}

/* How many times the share while it was cold; infinite: its full share. */
static double
growth(const struct target_cold *c, usec_t now)
{
	if (now < c->until)
		return 1;
	if (c->rises_at == 0 || now - c->rises_at >= TARGET_COLD_WARM_TIME)
		return INFINITY;
	if (now <= c->rises_at)
		return 1;
	return exp2((double)(now - c->rises_at) / DOUBLE_TIME);
}

/* Time between two requests of this host, if it is an owner. */
static usec_t
host_period(const struct target_cold *c, bool alone, usec_t now)
{
	double n = alone ? 1 : owner_count(c);
	double many = alone ? 1 : host_count(c);
	double x = fmax(1, n * growth(c, now) / many);

	return (usec_t)(period(&c->rule, n) / x * USEC_PER_SEC);
}

/* Makes this host wait before its first request, unlike other hosts. */
static void
spread(struct target_cold *c, usec_t now)
{
	usec_t first;

	if (c->rule.per_s == 0)
		return;
	first = now + (usec_t)(c->phase * (double)host_period(c, false, now));
	if (first > c->next_at)
		c->next_at = first;
}

bool
target_cold_set(struct target_cold *c, usec_t until, usec_t now)
{
	bool was_cold = now < c->until;
	bool cold = now < until;
	usec_t change = until > c->until ? until - c->until : c->until - until;

	if (!cold && !was_cold)
		return false;
	if (cold && was_cold && change < SAME_TIME)
		return false;
	if (cold && until > c->until)
		c->known_at = now;
	c->until = cold ? until : now;
	c->rises_at = c->until;
	if (cold && !was_cold)
		spread(c, now);
	return cold != was_cold;
}

bool
target_cold_answered(
    struct target_cold *c, usec_t until, usec_t sent_at, usec_t now)
{
	if (until < c->until && sent_at <= c->known_at)
		return false;
	return target_cold_set(c, until, now);
}

void
target_cold_appeared(struct target_cold *c, usec_t now)
{
	if (now < c->until)
		return;
	c->rises_at = now;
	spread(c, now);
}

bool
target_cold_is_cold(const struct target_cold *c, usec_t now)
{
	return c->rule.per_s > 0 && now < c->until;
}

bool
target_cold_is_bounded(const struct target_cold *c, usec_t now)
{
	return c->rule.per_s > 0 && !isinf(growth(c, now));
}

usec_t
target_cold_owned_for(const struct target_cold *c, usec_t now)
{
	double rise;
	usec_t end;

	if (!target_cold_is_bounded(c, now))
		return 0;
	rise = log2(fmax(2, host_count(c) / owner_count(c))) * DOUBLE_TIME;
	end = MAX(c->until, c->rises_at) +
	    MIN((usec_t)rise, TARGET_COLD_WARM_TIME);
	return now < end ? end - now : 0;
}

bool
target_cold_allows(const struct target_cold *c, usec_t now)
{
	if (now < c->until && now < c->owns_from && c->rule.per_s > 0)
		return false;
	return !target_cold_is_bounded(c, now) ||
	    (c->rank < owner_count(c) * growth(c, now) && now >= c->next_at);
}

bool
target_cold_allows_alone(const struct target_cold *c, usec_t now)
{
	return !target_cold_is_bounded(c, now) || now >= c->next_at;
}

/*
 * Calls that hosts have counted are sent together by a host that has stood
 * still, so they are bounded here once more.
 */
static bool
serves_counted(struct target_cold *c, usec_t now)
{
	size_t most = (size_t)fmax(
	    1, fmin(floor(budget(&c->rule)), G_N_ELEMENTS(c->served_at)));
	usec_t *oldest = &c->served_at[c->n_served % most];

	if (c->n_served >= most &&
	    now - *oldest < (usec_t)(MIN_PERIOD * USEC_PER_SEC))
		return false;
	*oldest = now;
	c->n_served++;
	return true;
}

bool
target_cold_serves(struct target_cold *c, bool counted, usec_t now)
{
	if (!target_cold_is_cold(c, now))
		return true;
	if (counted)
		return serves_counted(c, now);
	if (!target_cold_allows(c, now))
		return false;
	target_cold_sent(c, false, now);
	return true;
}

void
target_cold_sent(struct target_cold *c, bool alone, usec_t now)
{
	if (target_cold_is_bounded(c, now))
		c->next_at = now + host_period(c, alone, now);
}

usec_t
target_cold_wait(const struct target_cold *c, usec_t now)
{
	double n = owner_count(c);

	if (!target_cold_is_bounded(c, now))
		return 0;
	return (
	    usec_t)(period(&c->rule, n) / (n * growth(c, now)) * USEC_PER_SEC);
}

double
target_cold_cost(
    const struct target_cold *c, const struct target_cold_choice *x, usec_t now)
{
	double owners;

	/* Hosts that are owners from later on would all be late at once. */
	if (!target_cold_is_bounded(c, now) || c->rank >= owner_count(c))
		return 0;
	owners = owner_count(c) * growth(c, now) / host_count(c);
	if ((double)(x->n - c->chosen) < (double)x->targets * fmin(owners, 1))
		return 0;
	return -(1 - x->urgency) * WARMING_MS;
}

void
target_cold_chosen(struct target_cold *c, const struct target_cold_choice *x)
{
	c->chosen = x->n;
}
