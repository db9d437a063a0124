#include "kernel/targets.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_HALF_LIFE      (1 * USEC_PER_SEC)
#define FAIL_WEIGHT         0.2F /* weight of the newest call */
#define FAIL_RATE_MAX       0.4F /* a target is set aside from here on */
#define ASIDE_FIRST         (1 * USEC_PER_SEC)
#define ASIDE_MAX_DOUBLINGS 4 /* set aside for at most 16 s */
#define NEW_CONN_TIME       (5 * USEC_PER_SEC)
#define LEAVING_HOLD        (30 * USEC_PER_SEC)
#define SLOW_WEIGHT         0.2  /* weight of the newest call */
#define SLOW_MAX            20.0 /* bound of one call's ratio */
#define SLOW_MIN            1.5  /* smaller ratios are noise */
#define SLOW_HALF_LIFE      (10 * USEC_PER_SEC)

/*
 * Failures in a row after which a target is set aside, by how the last one
 * failed.
 */
static const uint32_t fail_threshold[] = {
	[FAULT_ANSWER] = 3,
	[FAULT_CLOSED] = 1,
	[FAULT_UNREACHABLE] = 1,
};

static int
find_first(const struct targets *t, const char *addr)
{
	if (t->by_addr == NULL)
		return -1;
	return GPOINTER_TO_INT(g_hash_table_lookup(t->by_addr, addr)) - 1;
}

static int
find_in_service(const struct targets *t, uint32_t service, const char *addr)
{
	int i = find_first(t, addr);

	while (i >= 0 && t->v[i].service != service)
		i = t->v[i].next_same_addr;
	return i;
}

static void
set_first(struct targets *t, const char *addr, int i)
{
	if (t->by_addr == NULL)
		t->by_addr = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
	if (i < 0)
		g_hash_table_remove(t->by_addr, addr);
	else
		g_hash_table_replace(
		    t->by_addr, g_strdup(addr), GINT_TO_POINTER(i + 1));
}

static void
unlink_addr(struct targets *t, int removed)
{
	const char *addr = t->v[removed].addr;
	int i = find_first(t, addr);

	if (i == removed) {
		set_first(t, addr, t->v[removed].next_same_addr);
		return;
	}
	while (t->v[i].next_same_addr != removed)
		i = t->v[i].next_same_addr;
	t->v[i].next_same_addr = t->v[removed].next_same_addr;
}

/* Returns the index of an unused entry, or of a new one. */
static uint32_t
alloc_index(struct targets *t)
{
	if (t->n_free_slots > 0)
		return t->free_slots[--t->n_free_slots];
	if (t->n == t->cap) {
		t->cap = t->cap > 0 ? 2 * t->cap : 16;
		t->v = xrealloc(t->v, t->cap, sizeof(*t->v));
	}
	return (uint32_t)t->n++;
}

static void
free_index(struct targets *t, uint32_t i)
{
	if (t->n_free_slots == t->free_slots_cap) {
		t->free_slots_cap =
		    t->free_slots_cap > 0 ? 2 * t->free_slots_cap : 16;
		t->free_slots = xrealloc(
		    t->free_slots, t->free_slots_cap, sizeof(*t->free_slots));
	}
	t->free_slots[t->n_free_slots++] = i;
}

static uint32_t
add_target(struct targets *t, uint32_t service, const char *addr)
{
	struct service_targets *s = &t->services[service];
	uint32_t i = alloc_index(t);
	struct target *x = &t->v[i];

	memset(x, 0, sizeof(*x));
	snprintf(x->addr, sizeof(x->addr), "%s", addr);
	x->hash = hash_u64(str_from(x->addr), 0);
	x->service = service;
	x->slowness = 1.0F;
	x->next_same_addr = find_first(t, x->addr);
	set_first(t, x->addr, (int)i);
	if (s->n == s->cap) {
		s->cap = s->cap > 0 ? 2 * s->cap : 16;
		s->members = xrealloc(s->members, s->cap, sizeof(*s->members));
	}
	x->member = (uint32_t)s->n;
	s->members[s->n++] = i;
	return i;
}

static void
return_to_service(struct targets *t, struct target *x)
{
	if (x->aside_until != 0) {
		x->aside_until = 0;
		t->services[x->service].n_aside--;
	}
}

/* Removes a target; its entry is reused once its calls have ended. */
static void
remove_target(struct targets *t, uint32_t i)
{
	struct target *x = &t->v[i];
	struct service_targets *s = &t->services[x->service];

	x->state = TARGET_GONE;
	return_to_service(t, x);
	unlink_addr(t, (int)i);
	s->members[x->member] = s->members[--s->n];
	t->v[s->members[x->member]].member = x->member;
	if (x->in_flight == 0)
		free_index(t, i);
}

static struct target *
upsert_target(struct targets *t, const struct listed_target *l)
{
	char addr[MAX_ADDR_BYTES];
	uint32_t service = targets_service(t, str_from(l->service));
	int i;

	snprintf(addr, sizeof(addr), "%s", l->addr);
	i = find_in_service(t, service, addr);
	if (i < 0)
		i = (int)add_target(t, service, addr);
	snprintf(t->v[i].domain, sizeof(t->v[i].domain), "%s", l->domain);
	return &t->v[i];
}

/* Removes targets that neither configuration nor host list name. */
static void
drop_unlisted(struct targets *t)
{
	for (size_t s = 0; s < t->n_services; s++) {
		struct service_targets *st = &t->services[s];

		for (size_t i = st->n; i-- > 0;) {
			const struct target *x = &t->v[st->members[i]];

			if (!x->fixed && !x->listed)
				remove_target(t, st->members[i]);
		}
	}
}

static bool
may_set_aside(const struct service_targets *s, const struct conf_policy *p)
{
	return p->set_aside != 0 &&
	    (s->n_aside + 1) * 100 <= s->n * (size_t)p->set_aside_cap;
}

uint32_t
targets_service(struct targets *t, struct str listed)
{
	struct service_targets *s;

	for (size_t i = 0; i < t->n_services; i++) {
		if (str_eq(str_from(t->services[i].name), listed))
			return (uint32_t)i;
	}
	t->services = xrealloc(t->services, t->n_services + 1, sizeof(*s));
	s = &t->services[t->n_services];
	memset(s, 0, sizeof(*s));
	snprintf(s->name, sizeof(s->name), "%.*s", STR_FMT(listed));
	return (uint32_t)t->n_services++;
}

void
targets_update(
    struct targets *t, const struct listed_target *v, size_t n, usec_t now)
{
	for (size_t i = 0; i < t->n; i++) {
		struct target *x = &t->v[i];

		x->listed = false;
		if (x->fixed && x->state != TARGET_GONE)
			x->state = x->leaving_until > now ? TARGET_LEAVING
							  : TARGET_LIVE;
	}
	for (size_t i = 0; i < n; i++) {
		struct target *x;

		if (v[i].state == TARGET_GONE)
			continue;
		x = upsert_target(t, &v[i]);
		x->listed = true;
		x->state = v[i].state;
		if (x->leaving_until > now)
			x->state = TARGET_LEAVING;
	}
	drop_unlisted(t);
}

/* Parses IP:PORT/FAILURE-DOMAIN and adds the target. */
static struct target *
put_fixed(struct targets *t, const struct conf_service *s, const char *text)
{
	struct listed_target l = { .state = TARGET_LIVE };
	struct str rest = str_from(text);
	struct str addr = { NULL, 0 };

	str_cut(&rest, '/', &addr);
	snprintf(l.service, sizeof(l.service), "%s",
	    *s->list_name != '\0' ? s->list_name : s->name);
	snprintf(l.addr, sizeof(l.addr), "%.*s", STR_FMT(addr));
	snprintf(l.domain, sizeof(l.domain), "%.*s", STR_FMT(rest));
	return upsert_target(t, &l);
}

void
targets_conf(struct targets *t, const struct conf *c)
{
	for (size_t i = 0; i < t->n; i++)
		t->v[i].fixed = false;
	for (size_t i = 0; i < c->n_services; i++) {
		const struct conf_service *s = c->services[i];

		for (size_t j = 0; j < s->targets.n; j++)
			put_fixed(t, s, s->targets.v[j])->fixed = true;
	}
	drop_unlisted(t);
}

/* Slowness of the target, which decays towards 1. */
static double
slowness(const struct target *x, usec_t now)
{
	double age = (double)(now - x->slowness_at) / SLOW_HALF_LIFE;

	return 1 + ((double)x->slowness - 1) * exp2(-age);
}

void
targets_started(struct targets *t, int i)
{
	t->v[i].in_flight++;
	t->v[i].calls++;
}

void
targets_ended(struct targets *t, int i)
{
	struct target *x = &t->v[i];

	x->in_flight--;
	if (x->in_flight == 0 && x->state == TARGET_GONE)
		free_index(t, (uint32_t)i);
}

void
targets_succeeded(struct targets *t, int i, usec_t now)
{
	struct target *x = &t->v[i];

	x->fail_rate -= x->fail_rate * FAIL_WEIGHT;
	x->fails_in_row = 0;
	/*
	 * A call sent before the target was set aside says nothing about its
	 * current state.
	 */
	if (x->aside_until > now)
		return;
	x->on_probation = false;
	if (x->aside_until != 0) {
		return_to_service(t, x);
		x->fail_rate = 0;
	} else if (x->aside_count > 0) {
		x->aside_count--;
	}
}

void
targets_failed(struct targets *t, int i, usec_t now,
    const struct conf_policy *p, enum target_fault fault)
{
	struct target *x = &t->v[i];
	struct service_targets *s = &t->services[x->service];
	uint32_t step;

	x->fail_rate += (1 - x->fail_rate) * FAIL_WEIGHT;
	x->fails_in_row++;
	x->new_conn_until = now + NEW_CONN_TIME;
	/* Calls sent before the target was set aside don't extend that time. */
	if (x->aside_until > now || x->state == TARGET_GONE)
		return;
	if (x->fails_in_row < fail_threshold[fault] &&
	    x->fail_rate < FAIL_RATE_MAX && !x->on_probation)
		return;
	if (x->aside_until == 0) {
		if (!may_set_aside(s, p))
			return;
		s->n_aside++;
	}
	step = x->aside_count < ASIDE_MAX_DOUBLINGS ? x->aside_count
						    : ASIDE_MAX_DOUBLINGS;
	x->aside_until = now + (ASIDE_FIRST << step);
	x->aside_count++;
	x->on_probation = true;
}

void
targets_record_load(struct targets *t, int i, uint32_t load, usec_t now)
{
	struct target *x = &t->v[i];

	x->other_load = load > x->in_flight ? (float)(load - x->in_flight) : 0;
	x->loaded_at = now;
}

void
targets_record_time(struct targets *t, int i, double ratio, usec_t now)
{
	struct target *x = &t->v[i];
	double old = slowness(x, now);

	if (ratio > SLOW_MAX)
		ratio = SLOW_MAX;
	x->slowness = (float)(old + (ratio - old) * SLOW_WEIGHT);
	x->slowness_at = now;
}

bool
targets_mark_leaving(struct targets *t, int i, usec_t now)
{
	bool changed = t->v[i].leaving_until <= now;

	for (i = find_first(t, t->v[i].addr); i >= 0;
	     i = t->v[i].next_same_addr) {
		t->v[i].state = TARGET_LEAVING;
		t->v[i].leaving_until = now + LEAVING_HOLD;
	}
	return changed;
}

void
targets_clear_leaving(struct targets *t, int i)
{
	for (i = find_first(t, t->v[i].addr); i >= 0;
	     i = t->v[i].next_same_addr)
		t->v[i].leaving_until = 0;
}

int
targets_find(const struct targets *t, struct str addr)
{
	char text[MAX_ADDR_BYTES];

	if (addr.n >= sizeof(text))
		return -1;
	snprintf(text, sizeof(text), "%.*s", STR_FMT(addr));
	return find_first(t, text);
}

double
targets_estimated_load(const struct target *x, usec_t now)
{
	double age = (double)(now - x->loaded_at) / LOAD_HALF_LIFE;

	return x->in_flight + (double)x->other_load * exp2(-age);
}

double
targets_cost(const struct target *x, usec_t now)
{
	double slow = slowness(x, now);

	return (targets_estimated_load(x, now) + 1) *
	    (slow > SLOW_MIN ? slow : 1);
}

void
targets_free(struct targets *t)
{
	for (size_t i = 0; i < t->n_services; i++)
		free(t->services[i].members);
	if (t->by_addr != NULL)
		g_hash_table_destroy(t->by_addr);
	free(t->services);
	free(t->free_slots);
	free(t->v);
	*t = (struct targets){ 0 };
}
