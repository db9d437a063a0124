#include "kernel/overload/target_limit.h"
#include "base/hash.h"

#include <string.h>

#define OWNER_SEED      29
/* Owners for each request a second of the limit. */
#define OWNERS_PER_RATE 2.0
/* Used part of the limit: hosts may disagree on the owners. */
#define USED_PART       0.9
/* Requests that an owner may send at once after a pause. */
#define MAX_TOKENS      1.0
/* Interval in which the limit of a target is told. */
#define TELL_INTERVAL   (2 * USEC_PER_SEC)
/* An owner tells what none of a lower rank has told for this much longer. */
#define RANK_DELAY      (1 * USEC_PER_SEC)
/* How long the end of a limit is told again. */
#define TELL_END_TIME   (5 * USEC_PER_SEC)
/* Without news for this time, and longer in large fleets, a request is tried.
 */
#define SILENCE_TIME    (60 * USEC_PER_SEC)
/* Part of the limit that such requests of all hosts may take. */
#define SILENCE_PART    0.5

static size_t
owner_count(double rate, size_t n_hosts)
{
	double wanted = OWNERS_PER_RATE * rate;

	if (wanted < 1)
		return 1;
	if (wanted > (double)n_hosts)
		wanted = (double)n_hosts;
	return wanted < TARGET_LIMIT_MAX_OWNERS ? (size_t)wanted
						: TARGET_LIMIT_MAX_OWNERS;
}

static void
fill(struct target_limit *l, usec_t now)
{
	if (now > l->filled_at)
		l->tokens +=
		    l->share * (double)(now - l->filled_at) / USEC_PER_SEC;
	if (l->tokens > MAX_TOKENS)
		l->tokens = MAX_TOKENS;
	l->filled_at = now;
}

static void
set_share(struct target_limit *l, double share, usec_t now)
{
	fill(l, now);
	if (l->share == 0)
		l->tokens = 0;
	l->share = share;
}

void
target_limit_share(struct target_limit *l, const char *target,
    const struct target_limit_hosts *hosts, usec_t now)
{
	const char *ids[TARGET_LIMIT_MAX_OWNERS];
	uint64_t seed = hash_u64(str_from(target), OWNER_SEED);
	size_t n;

	l->rank = 0;
	if (l->rate == 0 || l->only_here || hosts->n == 0) {
		set_share(l, USED_PART * l->rate, now);
		return;
	}
	n = rendezvous_choose(
	    hosts->v, hosts->n, seed, ids, owner_count(l->rate, hosts->n));
	while (l->rank < n && strcmp(ids[l->rank], hosts->self) != 0)
		l->rank++;
	set_share(l, l->rank < n ? USED_PART * l->rate / (double)n : 0, now);
	/* The hosts try at different times. */
	l->silence = SILENCE_TIME +
	    (usec_t)((double)(hash_u64(str_from(hosts->self), seed) %
			 hosts->n) *
		USEC_PER_SEC / (SILENCE_PART * l->rate));
}

static void
set_rate(struct target_limit *l, double rate, usec_t named_at)
{
	l->rate = rate;
	l->named_at = named_at;
}

bool
target_limit_answered(
    struct target_limit *l, double rate, usec_t sent_at, usec_t arrived)
{
	double before = l->rate;

	if (rate == 0 && before == 0)
		return false;
	/* An answer from before the limit may arrive after one that names it.
	 */
	if (rate == 0 && sent_at <= l->named_at)
		return false;
	set_rate(l, rate, arrived);
	if (rate != before)
		l->has_news = true;
	return rate != before;
}

bool
target_limit_told(
    struct target_limit *l, double rate, usec_t named_at, usec_t now)
{
	double before = l->rate;

	if (named_at <= l->named_at)
		return false;
	set_rate(l, rate, named_at);
	l->has_news = false;
	l->told_at = now;
	return rate != before;
}

bool
target_limit_allows(const struct target_limit *l, usec_t now)
{
	if (l->rate == 0)
		return true;
	if (l->share == 0)
		return now - l->named_at > l->silence &&
		    now - l->tried_at > l->silence;
	return l->tokens +
	    l->share * (double)(now - l->filled_at) / USEC_PER_SEC >=
	    1;
}

void
target_limit_sent(struct target_limit *l, usec_t now)
{
	if (l->rate == 0)
		return;
	if (l->share == 0)
		l->tried_at = now;
	fill(l, now);
	l->tokens -= 1;
}

usec_t
target_limit_wait(const struct target_limit *l, usec_t now)
{
	double missing;

	if (l->rate == 0)
		return 0;
	if (l->share == 0)
		return (usec_t)(USEC_PER_SEC / l->rate);
	missing = 1 - l->tokens -
	    l->share * (double)(now - l->filled_at) / USEC_PER_SEC;
	return missing > 0 ? (usec_t)(missing / l->share * USEC_PER_SEC) : 0;
}

bool
target_limit_is_over(const struct target_limit *l, usec_t now)
{
	return l->rate == 0 && now - l->named_at >= TELL_END_TIME;
}

bool
target_limit_tells(struct target_limit *l, usec_t now)
{
	bool in_force = l->rate > 0 && l->share > 0;
	bool ended = l->rate == 0 && !target_limit_is_over(l, now);
	usec_t pause = TELL_INTERVAL + l->rank * RANK_DELAY;

	if (l->only_here)
		return false;
	if (!l->has_news && ((!in_force && !ended) || now - l->told_at < pause))
		return false;
	l->has_news = false;
	l->told_at = now;
	return true;
}
