#include "kernel/overload/placement_ask.h"
#include "base/hash.h"
#include "kernel/overload/engine_groups.h"
#include "kernel/rendezvous.h"

#include <string.h>

/* Several round trips between failure domains. */
#define REPEAT_TIME    (12 * USEC_PER_MSEC)
/* A request waits no longer for a silent placer. */
#define SILENT_TIME    (30 * USEC_PER_MSEC)
/* Two lost queries of the state of queued requests, and some delay. */
#define QUEUED_SILENT  (250 * USEC_PER_MSEC)
/* Interval of the asks to a host that doesn't answer. */
#define PROBE_INTERVAL (100 * USEC_PER_MSEC)
/* Asks without an answer, each sent twice, before another host places. */
#define MAX_UNANSWERED 3
/* The state of the engines is another one after this time. */
#define MAX_AGE        (100 * USEC_PER_MSEC)
/* Twice the interval at which the state of queued requests is queried. */
#define MAX_UNSEEN     (200 * USEC_PER_MSEC)
/* Of a request's time; the rest is enough for the host's own choice. */
#define WAIT_SHARE     0.5
#define MIN_WAIT       (50 * USEC_PER_MSEC)
#define SEED           5

static bool
may_place(const struct placer_host *h, const char *domain, usec_t now)
{
	return !suspicion_is_suspect(&h->suspicion, now) &&
	    (*domain == '\0' || strcmp(h->domain, domain) == 0);
}

/* Returns the largest capacity of the hosts that may place; 0: none may. */
static uint32_t
largest_capacity(
    const struct placer_host *v, size_t n, const char *domain, usec_t now)
{
	uint32_t largest = 0;

	for (size_t i = 0; i < n; i++) {
		if (may_place(&v[i], domain, now) && v[i].capacity > largest)
			largest = v[i].capacity;
	}
	return largest;
}

size_t
placer_choose(const struct placer_host *v, size_t n, const char *service,
    const char *domain, usec_t now)
{
	uint64_t seed =
	    hash_u64(str_from(domain), hash_u64(str_from(service), SEED));
	uint32_t largest = largest_capacity(v, n, domain, now);
	size_t best = n;
	double best_weight = 0;
	struct engine_group_id group;

	if (largest == 0 && engine_group_parse(domain, &group)) {
		domain = group.domain;
		largest = largest_capacity(v, n, domain, now);
	}
	if (largest == 0 && *domain != '\0') {
		domain = "";
		largest = largest_capacity(v, n, domain, now);
	}
	for (size_t i = 0; i < n; i++) {
		double weight;

		if (!may_place(&v[i], domain, now) ||
		    !rendezvous_is_large(v[i].capacity, largest))
			continue;
		weight = rendezvous_weight(
		    hash_u64(str_from(v[i].id), seed), v[i].capacity);
		if (best < n && weight <= best_weight)
			continue;
		best = i;
		best_weight = weight;
	}
	return best;
}

enum placer_use
placer_use(const struct placer_host *h, usec_t now)
{
	if (h->suspicion.heard_at != 0 && h->unanswered == 0)
		return PLACER_WAIT;
	return h->asked_at == 0 || now - h->asked_at >= PROBE_INTERVAL
	    ? PLACER_PROBE
	    : PLACER_SKIP;
}

void
placer_asked(struct placer_host *h, usec_t now)
{
	h->asked_at = now;
}

void
placer_heard(struct placer_host *h, usec_t now)
{
	suspicion_heard(&h->suspicion, now);
	h->unanswered = 0;
}

bool
placer_unanswered(struct placer_host *h, usec_t asked_at, usec_t now)
{
	if (h->suspicion.heard_at >= asked_at || asked_at < h->counted_at)
		return false;
	h->counted_at = now;
	h->unanswered++;
	if (h->unanswered < MAX_UNANSWERED ||
	    suspicion_is_alive(&h->suspicion, now))
		return false;
	h->unanswered = 0;
	h->suspicion.heard_at = 0;
	return suspicion_unanswered(
	    &h->suspicion, h->suspicion.incarnation, now);
}

static usec_t
earliest(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

usec_t
placement_ask_time(usec_t left)
{
	usec_t wait = (usec_t)(WAIT_SHARE * (double)left);

	return wait >= MIN_WAIT ? wait : 0;
}

/* One that wasn't looked at shows that the process stood still. */
static bool
was_looked_at(const struct placement_ask *a, usec_t now)
{
	return now - a->seen_at < MAX_UNSEEN;
}

void
placement_ask_begin(struct placement_ask *a, usec_t latest, usec_t now)
{
	*a = (struct placement_ask){
		.heard_at = now,
		.seen_at = now,
		.latest = latest,
		.due = earliest(now + REPEAT_TIME, latest),
	};
}

void
placement_ask_queued(struct placement_ask *a, usec_t now)
{
	a->queued = true;
	a->heard_at = now;
	a->seen_at = now;
	a->due = earliest(now + QUEUED_SILENT, a->latest);
}

enum placement_ask_step
placement_ask_step(struct placement_ask *a, usec_t now)
{
	usec_t silent = a->queued ? QUEUED_SILENT : SILENT_TIME;

	if (now >= a->latest && a->queued && was_looked_at(a, now))
		return PLACEMENT_ASK_FULL;
	if (now >= a->latest || now - a->heard_at >= silent)
		return PLACEMENT_ASK_GIVE_UP;
	a->due = earliest(a->heard_at + silent, a->latest);
	return PLACEMENT_ASK_AGAIN;
}

bool
placement_ask_is_current(const struct placement_ask *a, usec_t age, usec_t now)
{
	return age < MAX_AGE && was_looked_at(a, now);
}
