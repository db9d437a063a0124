#include "kernel/shares.h"
#include "base/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIN_INTERVAL   (1 * USEC_PER_SEC)
/* Change of the need, in percent, that is reported before the renewal. */
#define CHANGE_PERCENT 10
/* First reports are spread over 1/FIRST_SPREAD of the interval. */
#define FIRST_SPREAD   10

void
shares_init(
    struct shares *s, usec_t now, const char *self, uint64_t incarnation)
{
	*s = (struct shares){
		.number = incarnation,
		.known = 1,
		.since = now,
		.seen_at = now,
	};
	snprintf(s->self, sizeof(s->self), "%s", self);
}

void
shares_free(struct shares *s)
{
	for (size_t i = 0; i < s->n; i++)
		free(s->v[i].holders);
	free(s->v);
	free(s->departed);
	free(s->live);
	*s = (struct shares){ 0 };
}

/* Interval of reports if all known sequoiads report. */
static usec_t
max_interval(uint32_t known)
{
	usec_t t = (usec_t)known * USEC_PER_SEC / SHARES_REPORTS_PER_SEC;

	return t > MIN_INTERVAL ? t : MIN_INTERVAL;
}

usec_t
shares_ttl(uint32_t known)
{
	usec_t t = max_interval(known) * 3 / 2;

	return t > SHARES_TTL_MIN ? t : SHARES_TTL_MIN;
}

usec_t
shares_hold(uint32_t known)
{
	return shares_ttl(known) + SHARES_DETECT_TIME;
}

static uint32_t
even_floor(const struct shares *s)
{
	return SHARES_FLOOR / s->known;
}

static uint64_t
id_hash(const char *id)
{
	return hash_u64(str_from(id), 0);
}

/*
 * Updates the owner of a workspace; owned_since becomes the time at which this
 * process saw the change.
 */
static void
update_owner(const struct shares *s, struct shares_workspace *w, usec_t now)
{
	uint64_t seed = id_hash(w->name);
	uint64_t max_hash = 0;
	const char *best = "";

	for (uint32_t i = 0; i < s->n_live; i++) {
		uint64_t h = hash_u64(str_from(s->live[i]), seed);

		if (best[0] == '\0' || h > max_hash) {
			max_hash = h;
			best = s->live[i];
		}
	}
	if (strcmp(best, w->owner) == 0)
		return;
	snprintf(w->owner, sizeof(w->owner), "%s", best);
	w->owned_since = now;
	w->n_holders = 0;
	if (w->next_at > now + MIN_INTERVAL)
		w->next_at = now + MIN_INTERVAL;
	w->renew_at = w->next_at;
}

static int
compare_names(const void *key, const void *entry)
{
	const struct shares_workspace *w = entry;

	return str_cmp(*(const struct str *)key, str_from(w->name));
}

static struct shares_workspace *
find(const struct shares *s, struct str name)
{
	if (s->n == 0)
		return NULL;
	return bsearch(&name, s->v, s->n, sizeof(s->v[0]), compare_names);
}

/*
 * Time since which this process has owned a workspace that is new in its table.
 */
static usec_t
owned_since(const struct shares *s, const struct shares_workspace *w)
{
	uint64_t seed = id_hash(w->name);
	uint64_t own = hash_u64(str_from(s->self), seed);
	usec_t since = s->since;

	for (size_t i = 0; i < s->n_departed; i++) {
		const struct shares_departed *x = &s->departed[i];

		if (hash_u64(str_from(x->id), seed) > own && x->at > since)
			since = x->at;
	}
	return since;
}

static struct shares_workspace *
insert(struct shares *s, struct str name, usec_t now)
{
	struct shares_workspace *w;
	size_t i = s->n;
	usec_t spread = max_interval(s->known) / FIRST_SPREAD;

	s->v = xrealloc(s->v, s->n + 1, sizeof(s->v[0]));
	for (; i > 0 && str_cmp(name, str_from(s->v[i - 1].name)) < 0; i--)
		s->v[i] = s->v[i - 1];
	s->n++;
	w = &s->v[i];
	*w = (struct shares_workspace){ 0 };
	snprintf(w->name, sizeof(w->name), "%.*s", STR_FMT(name));
	update_owner(s, w, now);
	w->owned_since = owned_since(s, w);
	w->next_at =
	    now + (usec_t)(hash_u64(name, id_hash(s->self)) % (uint64_t)spread);
	w->renew_at = w->next_at;
	return w;
}

/*
 * Restarts the hold after a pause, as other owners may have granted this
 * process's part again meanwhile.
 */
static void
handle_pause(struct shares *s, usec_t now)
{
	if (s->seen_at > 0 && now - s->seen_at > SHARES_DETECT_TIME / 2) {
		s->part = 0;
		s->part_at = 0;
		s->since = now;
		for (size_t i = 0; i < s->n; i++)
			s->v[i].owned_since = now;
	}
	s->seen_at = now;
}

/* Lowers the part at once and raises it after the hold. */
static void
adjust_part(struct shares *s, usec_t now)
{
	if (s->n_live <= s->part) {
		s->part = s->n_live;
		s->part_at = 0;
		return;
	}
	if (s->part_at == 0) {
		s->part_at = now + shares_hold(s->known);
		s->part_next = s->n_live;
	}
	if (s->n_live < s->part_next)
		s->part_next = s->n_live;
	if (now < s->part_at)
		return;
	s->part = s->part_next;
	s->part_at = 0;
}

static void
expire_departed(struct shares *s, usec_t now)
{
	for (size_t i = s->n_departed; i > 0; i--) {
		if (now - s->departed[i - 1].at > shares_hold(s->known))
			s->departed[i - 1] = s->departed[--s->n_departed];
	}
}

/* Records the live sequoiads that are not among the sorted ids. */
static void
record_departed(struct shares *s, usec_t now, const char *const *ids, size_t n)
{
	size_t j = 0;

	expire_departed(s, now);
	for (size_t i = 0; i < s->n_live; i++) {
		struct shares_departed *x;

		while (j < n && strcmp(ids[j], s->live[i]) < 0)
			j++;
		if (j < n && strcmp(ids[j], s->live[i]) == 0)
			continue;
		s->departed = xrealloc(
		    s->departed, s->n_departed + 1, sizeof(*s->departed));
		x = &s->departed[s->n_departed++];
		memcpy(x->id, s->live[i], sizeof(x->id));
		x->at = now;
	}
}

void
shares_set_live(struct shares *s, usec_t now, const char *const *ids, size_t n,
    uint32_t known)
{
	handle_pause(s, now);
	record_departed(s, now, ids, n);
	s->live = xrealloc(s->live, n + 1, sizeof(s->live[0]));
	for (size_t i = 0; i < n; i++)
		snprintf(s->live[i], sizeof(s->live[i]), "%s", ids[i]);
	s->n_live = (uint32_t)n;
	s->known = known > n ? known : (uint32_t)n;
	if (s->known == 0)
		s->known = 1;
	adjust_part(s, now);
	for (size_t i = 0; i < s->n; i++)
		update_owner(s, &s->v[i], now);
}

void
shares_set_wanted(
    struct shares *s, usec_t now, struct str workspace, uint32_t ppm)
{
	struct shares_workspace *w = find(s, workspace);

	if (w == NULL && ppm <= even_floor(s))
		return;
	if (w == NULL)
		w = insert(s, workspace, now);
	w->wanted = ppm < SHARES_WANT_MAX ? ppm : SHARES_WANT_MAX;
}

static uint32_t
need(const struct shares *s, const struct shares_workspace *w)
{
	uint32_t base = even_floor(s);

	return w->wanted > base ? w->wanted - base : 0;
}

static uint32_t
held(const struct shares_workspace *w, usec_t now)
{
	return now < w->expires ? w->holding : 0;
}

static bool
is_due(const struct shares *s, const struct shares_workspace *w, usec_t now)
{
	uint32_t x = need(s, w);
	uint32_t change =
	    x > w->reported_need ? x - w->reported_need : w->reported_need - x;

	if (now < w->next_at ||
	    (x == 0 && w->reported_need == 0 && held(w, now) == 0))
		return false;
	return now >= w->renew_at ||
	    change > (uint64_t)w->reported_need * CHANGE_PERCENT / 100;
}

/*
 * Adds a claim to a report.  Lowers the held share to the need before reporting
 * it to the owner.
 */
static void
add_claim(struct shares *s, struct shares_workspace *w, usec_t now,
    struct shares_report *r)
{
	struct shares_claim *c = &r->v[r->n++];

	w->holding = held(w, now);
	w->reported_need = need(s, w);
	if (w->holding > w->reported_need)
		w->holding = w->reported_need;
	snprintf(c->workspace, sizeof(c->workspace), "%s", w->name);
	c->need = w->reported_need;
	c->holding = w->holding;
	w->number = r->number;
	w->sent_at = now;
	w->next_at = now + SHARES_REPLY_MAX;
	w->renew_at = w->next_at;
}

static bool
fill_report(struct shares *s, usec_t now, struct shares_report *r,
    char owner[MAX_NAME_BYTES + 1])
{
	r->n = 0;
	r->number = s->number + 1;
	snprintf(r->from, sizeof(r->from), "%s", s->self);
	for (size_t i = 0; i < s->n && r->n < SHARES_MAX_CLAIMS; i++) {
		struct shares_workspace *w = &s->v[i];

		if (w->owner[0] == '\0' || !is_due(s, w, now))
			continue;
		if (r->n == 0)
			snprintf(owner, MAX_NAME_BYTES + 1, "%s", w->owner);
		if (strcmp(owner, w->owner) == 0)
			add_claim(s, w, now, r);
	}
	if (r->n > 0)
		s->number++;
	return r->n > 0;
}

bool
shares_due(struct shares *s, usec_t now, struct shares_report *r,
    char owner[MAX_NAME_BYTES + 1])
{
	struct shares_reply own;

	handle_pause(s, now);
	adjust_part(s, now);
	while (fill_report(s, now, r, owner)) {
		if (strcmp(owner, s->self) != 0)
			return true;
		shares_receive(s, now, r, &own);
		shares_reply(s, now, &own);
	}
	return false;
}

static struct shares_holder *
find_holder(struct shares_workspace *w, uint64_t id)
{
	struct shares_holder *h;

	for (size_t i = 0; i < w->n_holders; i++) {
		if (w->holders[i].id == id)
			return &w->holders[i];
	}
	w->holders = xrealloc(w->holders, w->n_holders + 1, sizeof(*h));
	h = &w->holders[w->n_holders++];
	*h = (struct shares_holder){ .id = id };
	return h;
}

static void
drop_expired_grants(struct shares_workspace *w, usec_t now)
{
	for (size_t i = w->n_holders; i > 0; i--) {
		if (now >= w->holders[i - 1].until)
			w->holders[i - 1] = w->holders[--w->n_holders];
	}
}

/* Share of the limit that holder h may get now. */
static uint32_t
grant_for(const struct shares *s, const struct shares_workspace *w,
    const struct shares_holder *h)
{
	uint64_t part = (uint64_t)SHARES_POOL * s->part / s->known;
	uint64_t needs = 0;
	uint64_t others = 0;
	uint64_t fair = h->need;

	for (size_t i = 0; i < w->n_holders; i++) {
		needs += w->holders[i].need;
		if (&w->holders[i] != h)
			others += w->holders[i].reserved;
	}
	if (needs > part)
		fair = h->need * part / needs;
	if (others >= part)
		return 0;
	return (uint32_t)(fair < part - others ? fair : part - others);
}

/* Share that holder h keeps while a new owner or part is on hold. */
static uint32_t
renewal_for(const struct shares *s, const struct shares_workspace *w,
    const struct shares_holder *h, uint32_t holding)
{
	uint64_t part = (uint64_t)SHARES_POOL * s->n_live / s->known;
	uint64_t others = 0;

	for (size_t i = 0; i < w->n_holders; i++) {
		if (&w->holders[i] != h)
			others += w->holders[i].reserved;
	}
	if (others >= part)
		return 0;
	return holding < part - others ? holding : (uint32_t)(part - others);
}

static void
grant(struct shares *s, struct shares_workspace *w, usec_t now,
    const struct shares_report *r, const struct shares_claim *c,
    struct shares_reply *out)
{
	struct shares_holder *h;
	struct shares_grant *g;
	uint32_t ppm;

	drop_expired_grants(w, now);
	h = find_holder(w, id_hash(r->from));
	if (r->number <= h->number)
		return;
	h->number = r->number;
	h->need = c->need;
	h->reserved = c->holding;
	if (now - w->owned_since < shares_hold(s->known))
		ppm = renewal_for(s, w, h, c->holding);
	else
		ppm = grant_for(s, w, h);
	h->reserved = ppm > c->holding ? ppm : c->holding;
	h->until = now + shares_hold(s->known);
	g = &out->v[out->n++];
	snprintf(g->workspace, sizeof(g->workspace), "%s", w->name);
	g->ppm = ppm;
}

/*
 * Returns the milliseconds until a holder's next report.  Spreads reports so
 * that an owner receives a bounded number per second.
 */
static uint32_t
next_report(const struct shares *s)
{
	size_t reporters = 0;
	usec_t t;
	usec_t max = max_interval(s->known);

	for (size_t i = 0; i < s->n; i++)
		reporters += s->v[i].n_holders;
	t = (usec_t)reporters * USEC_PER_SEC / SHARES_REPORTS_PER_SEC;
	if (t < MIN_INTERVAL)
		t = MIN_INTERVAL;
	return (uint32_t)((t < max ? t : max) / USEC_PER_MSEC);
}

void
shares_receive(struct shares *s, usec_t now, const struct shares_report *r,
    struct shares_reply *out)
{
	handle_pause(s, now);
	adjust_part(s, now);
	*out = (struct shares_reply){
		.number = r->number,
		.ttl_ms = (uint32_t)(shares_ttl(s->known) / USEC_PER_MSEC),
	};
	for (size_t i = 0; i < r->n && i < SHARES_MAX_CLAIMS; i++) {
		struct str name = str_from(r->v[i].workspace);
		struct shares_workspace *w = find(s, name);

		if (w == NULL)
			w = insert(s, name, now);
		if (strcmp(w->owner, s->self) == 0)
			grant(s, w, now, r, &r->v[i], out);
	}
	out->next_ms = next_report(s);
}

void
shares_reply(struct shares *s, usec_t now, const struct shares_reply *r)
{
	for (size_t i = 0; i < r->n && i < SHARES_MAX_CLAIMS; i++) {
		struct shares_workspace *w =
		    find(s, str_from(r->v[i].workspace));
		usec_t ttl = (usec_t)r->ttl_ms * USEC_PER_MSEC;

		if (w == NULL || w->number != r->number ||
		    now - w->sent_at > SHARES_REPLY_MAX)
			continue;
		w->holding = r->v[i].ppm;
		w->expires = w->sent_at + ttl;
		w->next_at = w->sent_at + (usec_t)r->next_ms * USEC_PER_MSEC;
		w->renew_at = w->sent_at + ttl / 2;
		/* A share below the need is requested again. */
		if (w->holding < w->reported_need || w->renew_at < w->next_at)
			w->renew_at = w->next_at;
	}
}

uint32_t
shares_ppm(const struct shares *s, usec_t now, struct str workspace)
{
	const struct shares_workspace *w = find(s, workspace);
	uint32_t ppm = even_floor(s) + (w == NULL ? 0 : held(w, now));

	return ppm > 0 ? ppm : 1;
}
