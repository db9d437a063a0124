#include "kernel/overload/target_brittle.h"
#include "base/hash.h"

#include <string.h>

#define OWNER_SEED   43
/* Without an answer for this time, and longer in large fleets, a call is tried.
 */
#define SILENCE_TIME (10 * USEC_PER_SEC)
/* Part of the refusals that such calls of all hosts may cause. */
#define SILENCE_PART 0.25
/* Shortest pause after a refusal. */
#define MIN_PAUSE    (1 * USEC_PER_SEC)
/* The refusals of all hosts stay below the number by this factor. */
#define PAUSE_FACTOR 2

/* Number of hosts that have a part of the target's slots. */
static size_t
owner_count(
    const struct brittle_answer *a, const struct target_limit_hosts *hosts)
{
	size_t max = a->slots < TARGET_LIMIT_MAX_OWNERS
	    ? a->slots
	    : TARGET_LIMIT_MAX_OWNERS;

	if (hosts->n <= a->slots || max == 0)
		return hosts->n;
	return max;
}

/* Returns the part of the target's slots that this host may use. */
static uint32_t
share_of(const struct brittle_answer *a, const struct target_limit_hosts *hosts)
{
	const char *ids[TARGET_LIMIT_MAX_OWNERS];
	size_t n = owner_count(a, hosts);

	if (n == 0)
		return a->slots > 0 ? a->slots : 1;
	if (n == hosts->n)
		return a->slots >= n ? a->slots / (uint32_t)n : 1;
	n = rendezvous_choose(hosts->v, hosts->n,
	    hash_u64(str_from(a->target), OWNER_SEED), ids, n);
	for (size_t i = 0; i < n; i++) {
		if (strcmp(ids[i], hosts->self) == 0)
			return a->slots / (uint32_t)n;
	}
	return 0;
}

static void
note_said(struct target_brittle *b, const struct brittle_answer *a,
    const struct target_limit_hosts *hosts, usec_t said_at)
{
	b->refusals = a->refusals;
	b->said_at = said_at;
	b->share = share_of(a, hosts);
	b->silence = SILENCE_TIME;
	/* The hosts try at different times. */
	if (hosts->n > 0)
		b->silence +=
		    (usec_t)((double)(hash_u64(str_from(hosts->self),
					  hash_u64(str_from(a->target),
					      OWNER_SEED)) %
				 hosts->n) *
			USEC_PER_SEC / (SILENCE_PART * a->refusals));
}

bool
target_brittle_answered(struct target_brittle *b,
    const struct brittle_answer *a, const struct target_limit_hosts *hosts,
    usec_t now)
{
	uint32_t before = b->refusals;
	usec_t pause;

	/* An answer from before may arrive after one that says so. */
	if (a->refusals == 0 && a->sent_at <= b->said_at)
		return false;
	if (a->refusals == 0) {
		*b = (struct target_brittle){ .said_at = now };
		return before != 0;
	}
	note_said(b, a, hosts, now);
	if (a->refused) {
		pause = PAUSE_FACTOR * (usec_t)owner_count(a, hosts) *
		    USEC_PER_SEC / a->refusals;
		b->pause_until = now + (pause < MIN_PAUSE ? MIN_PAUSE : pause);
	}
	return b->refusals != before;
}

void
target_brittle_told(struct target_brittle *b, const struct brittle_answer *a,
    const struct target_limit_hosts *hosts, usec_t said_at)
{
	if (said_at <= b->said_at)
		return;
	if (a->refusals > 0)
		note_said(b, a, hosts, said_at);
	else
		*b = (struct target_brittle){ .said_at = said_at };
}

bool
target_brittle_allows(
    const struct target_brittle *b, uint32_t in_flight, usec_t now)
{
	if (b->refusals == 0)
		return true;
	if (now - b->said_at >= b->silence)
		return in_flight == 0;
	return now >= b->pause_until && in_flight < b->share;
}
