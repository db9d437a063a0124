#include "kernel/orders.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOADING_POLL_INTERVAL   (1 * USEC_PER_SEC)
#define UNANSWERED_INTERVAL     (2 * USEC_PER_SEC)
#define TARGET_RECHECK_INTERVAL (30 * USEC_PER_SEC) /* if up to date */
#define MAX_SLEEP               (1 * USEC_PER_SEC)

void
orders_init(struct orders *o, const struct orders_opts *opts)
{
	*o = (struct orders){ .opts = *opts };
	o->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
}

void
orders_free(struct orders *o)
{
	g_hash_table_destroy(o->by_addr);
	free(o->v);
	*o = (struct orders){ 0 };
}

static int
compare_names(const void *a, const void *b)
{
	const char *const *x = a;
	const char *const *y = b;

	return strcmp(*x, *y);
}

void
orders_desired_state(const struct conf_service *s, struct orders_state *out)
{
	const char **sorted = xcalloc(s->adapters.n + 1, sizeof(char *));
	struct buf joined = { 0 };

	for (size_t i = 0; i < s->adapters.n; i++)
		sorted[i] = s->adapters.v[i];
	qsort(sorted, s->adapters.n, sizeof(char *), compare_names);
	for (size_t i = 0; i < s->adapters.n; i++)
		buf_printf(&joined, "%s%s", i > 0 ? " " : "", sorted[i]);
	*out = (struct orders_state){ 0 };
	snprintf(out->model, sizeof(out->model), "%s", s->model);
	snprintf(out->version, sizeof(out->version), "%s", s->version);
	snprintf(out->adapters, sizeof(out->adapters), "%.*s",
	    STR_FMT(str_of(&joined)));
	snprintf(out->role, sizeof(out->role), "%s", s->role);
	buf_free(&joined);
	free(sorted);
}

static bool
satisfies(const struct orders_state *desired, const struct orders_state *have)
{
	return strcmp(desired->model, have->model) == 0 &&
	    strcmp(desired->version, have->version) == 0 &&
	    strcmp(desired->adapters, have->adapters) == 0 &&
	    (desired->role[0] == '\0' ||
		strcmp(desired->role, have->role) == 0);
}

static void
set_phase(struct orders *o, struct orders_target *t, enum orders_phase phase)
{
	o->counts[t->phase]--;
	o->counts[phase]++;
	t->phase = phase;
}

static void
set_changing(struct orders *o, struct orders_target *t, bool changing)
{
	if (t->changing == changing)
		return;
	t->changing = changing;
	if (changing)
		o->changing++;
	else
		o->changing--;
}

/* Requires that all targets are read again before the next order. */
static void
forget_states(struct orders *o)
{
	o->unseen = o->n;
	for (size_t i = 0; i < o->n; i++) {
		o->v[i].read_at = 0;
		o->v[i].seen = false;
		set_phase(o, &o->v[i], ORDERS_TARGET_UNKNOWN);
	}
}

void
orders_set_desired(struct orders *o, const struct orders_state *desired)
{
	if (satisfies(desired, &o->desired) && satisfies(&o->desired, desired))
		return;
	o->desired = *desired;
	o->halt = ORDERS_HALT_NONE;
	o->halt_unreported = false;
	forget_states(o);
}

void
orders_set_opts(struct orders *o, const struct orders_opts *opts)
{
	o->opts = *opts;
}

void
orders_set_targets(struct orders *o, const char *const *addrs, size_t n)
{
	struct orders_target *v = xcalloc(n + 1, sizeof(*v));

	memset(o->counts, 0, sizeof(o->counts));
	o->changing = 0;
	o->unseen = 0;
	for (size_t i = 0; i < n; i++) {
		size_t old_index =
		    GPOINTER_TO_SIZE(g_hash_table_lookup(o->by_addr, addrs[i]));

		if (old_index > 0)
			v[i] = o->v[old_index - 1];
		else
			snprintf(v[i].addr, sizeof(v[i].addr), "%s", addrs[i]);
		o->counts[v[i].phase]++;
		o->changing += v[i].changing ? 1 : 0;
		o->unseen += v[i].seen ? 0 : 1;
	}
	g_hash_table_remove_all(o->by_addr);
	for (size_t i = 0; i < n; i++)
		g_hash_table_insert(
		    o->by_addr, v[i].addr, GSIZE_TO_POINTER(i + 1));
	free(o->v);
	o->v = v;
	o->n = n;
	o->cursor = 0;
}

void
orders_set_lease(
    struct orders *o, usec_t now, bool held, uint64_t revision, usec_t until)
{
	bool is_new = held && (!o->lease_held || revision != o->fencing);

	o->lease_held = held;
	if (!held)
		return;
	o->fencing = revision;
	o->lease_until = until;
	if (!is_new)
		return;
	o->no_order_before = now;
	if (o->opts.fencing == FENCING_IGNORED)
		o->no_order_before += o->opts.lease_ttl + o->opts.order_timeout;
	o->halt = ORDERS_HALT_NONE;
	forget_states(o);
}

static size_t
max_changing(const struct orders *o)
{
	size_t limit = o->n * o->opts.loading_cap / 100;

	/* A state that no target serves yet is tried on one target. */
	if (o->counts[ORDERS_TARGET_UP_TO_DATE] == 0)
		return 1;
	return limit > 0 ? limit : 1;
}

/* The time of a target's next state read, by its phase. */
static usec_t
read_due(const struct orders *o, const struct orders_target *t)
{
	switch (t->phase) {
	case ORDERS_TARGET_UNKNOWN:
		return t->read_at == 0 ? 0 : t->read_at + UNANSWERED_INTERVAL;
	case ORDERS_TARGET_READING:
	case ORDERS_TARGET_ORDERED:
		return (t->phase == ORDERS_TARGET_READING ? t->read_at
							  : t->ordered_at) +
		    o->opts.order_timeout;
	case ORDERS_TARGET_LOADING:
		return t->read_at + LOADING_POLL_INTERVAL;
	case ORDERS_TARGET_UP_TO_DATE:
	case ORDERS_TARGET_OUTDATED:
	case ORDERS_TARGET_FAILED:
	case ORDERS_TARGET_PHASES:
		break;
	}
	return t->read_at + TARGET_RECHECK_INTERVAL;
}

static bool
may_order(const struct orders *o, const struct orders_target *t, usec_t now)
{
	return t->phase == ORDERS_TARGET_OUTDATED &&
	    o->halt == ORDERS_HALT_NONE && o->unseen == 0 &&
	    now >= o->no_order_before && now >= t->next_order_at &&
	    o->changing < max_changing(o);
}

static void
send_order(struct orders *o, struct orders_target *t, usec_t now,
    struct orders_action *a)
{
	set_phase(o, t, ORDERS_TARGET_ORDERED);
	set_changing(o, t, true);
	t->ordered_at = now;
	t->next_order_at = now + o->opts.order_timeout;
	a->kind = ORDERS_SEND;
	a->desired = o->desired;
	a->fencing = o->fencing;
	a->not_after = o->lease_until;
}

static bool
next_action(struct orders *o, struct orders_target *t, usec_t now,
    struct orders_action *a)
{
	usec_t due = read_due(o, t);

	if (may_order(o, t, now)) {
		send_order(o, t, now, a);
	} else if (now >= due) {
		a->kind = ORDERS_READ;
		t->read_at = now;
		/* A loading target stays in this phase while it is read. */
		if (t->phase != ORDERS_TARGET_LOADING)
			set_phase(o, t, ORDERS_TARGET_READING);
	} else {
		if (due < a->wake_at)
			a->wake_at = due;
		return false;
	}
	snprintf(a->addr, sizeof(a->addr), "%s", t->addr);
	return true;
}

void
orders_next(struct orders *o, usec_t now, struct orders_action *a)
{
	*a = (struct orders_action){ .wake_at = now + MAX_SLEEP };
	if (!o->lease_held || now >= o->lease_until)
		return;
	for (size_t i = 0; i < o->n; i++) {
		struct orders_target *t = &o->v[o->cursor];

		o->cursor = (o->cursor + 1) % o->n;
		if (next_action(o, t, now, a))
			return;
	}
}

bool
orders_may_send(
    const struct orders *o, const struct orders_action *a, usec_t now)
{
	return o->lease_held && o->fencing == a->fencing &&
	    now < a->not_after && satisfies(&o->desired, &a->desired);
}

static struct orders_target *
find_by_addr(const struct orders *o, const char *addr)
{
	size_t i = GPOINTER_TO_SIZE(g_hash_table_lookup(o->by_addr, addr));

	return i == 0 ? NULL : &o->v[i - 1];
}

static void
halt_orders(struct orders *o, struct orders_target *t, enum orders_halt reason)
{
	set_phase(o, t, ORDERS_TARGET_FAILED);
	set_changing(o, t, false);
	if (o->halt != ORDERS_HALT_NONE)
		return;
	o->halt = reason;
	o->halt_unreported = true;
	snprintf(o->halt_addr, sizeof(o->halt_addr), "%s", t->addr);
}

static void
on_loading_report(struct orders *o, struct orders_target *t, usec_t now)
{
	if (t->ordered_at > 0 && now - t->ordered_at > ORDERS_LOAD_TIMEOUT) {
		halt_orders(o, t, ORDERS_HALT_TIMEOUT);
		return;
	}
	set_phase(o, t, ORDERS_TARGET_LOADING);
	/* The order may also be one of an earlier lease holder. */
	set_changing(o, t, true);
}

static void
on_no_answer(struct orders *o, struct orders_target *t, usec_t now)
{
	if (t->phase != ORDERS_TARGET_LOADING)
		set_phase(o, t, ORDERS_TARGET_UNKNOWN);
	if (now - t->ordered_at > ORDERS_LOAD_TIMEOUT)
		set_changing(o, t, false);
}

/* Whether a target may not have started a recent order yet. */
static bool
is_start_pending(
    const struct orders *o, const struct orders_target *t, usec_t now)
{
	return t->changing && now < t->ordered_at + o->opts.order_timeout;
}

void
orders_on_report(struct orders *o, usec_t now, const char *addr,
    enum orders_report report, const struct orders_state *state)
{
	struct orders_target *t = find_by_addr(o, addr);

	if (t == NULL || t->phase == ORDERS_TARGET_ORDERED)
		return;
	if (!t->seen) {
		t->seen = true;
		o->unseen--;
	}
	switch (report) {
	case ORDERS_NO_ANSWER:
		on_no_answer(o, t, now);
		return;
	case ORDERS_LOADING:
		on_loading_report(o, t, now);
		return;
	case ORDERS_FAILED:
		if (satisfies(&o->desired, state)) {
			halt_orders(o, t, ORDERS_HALT_LOAD_FAILED);
			return;
		}
		break;
	case ORDERS_READY:
		if (satisfies(&o->desired, state)) {
			set_changing(o, t, false);
			t->next_order_at = now;
			set_phase(o, t, ORDERS_TARGET_UP_TO_DATE);
			return;
		}
		break;
	}
	if (is_start_pending(o, t, now)) {
		set_phase(o, t, ORDERS_TARGET_LOADING);
		return;
	}
	set_changing(o, t, false);
	set_phase(o, t, ORDERS_TARGET_OUTDATED);
}

void
orders_on_reply(
    struct orders *o, usec_t now, const char *addr, enum orders_reply reply)
{
	struct orders_target *t = find_by_addr(o, addr);

	if (t == NULL)
		return;
	if (reply != ORDERS_LOST)
		t->next_order_at = now;
	switch (reply) {
	case ORDERS_ACCEPTED:
		if (t->phase == ORDERS_TARGET_ORDERED)
			set_phase(o, t, ORDERS_TARGET_LOADING);
		t->read_at = now;
		break;
	case ORDERS_FENCED:
		o->lease_held = false;
		set_changing(o, t, false);
		set_phase(o, t, ORDERS_TARGET_UNKNOWN);
		break;
	case ORDERS_REFUSED:
		halt_orders(o, t, ORDERS_HALT_REFUSED);
		break;
	case ORDERS_LOST:
		set_phase(o, t, ORDERS_TARGET_UNKNOWN);
		t->read_at = now;
		break;
	}
}

const char *
orders_halt_name(enum orders_halt h)
{
	static const char *const names[] = {
		[ORDERS_HALT_NONE] = "none",
		[ORDERS_HALT_LOAD_FAILED] = "load-failed",
		[ORDERS_HALT_REFUSED] = "refused",
		[ORDERS_HALT_TIMEOUT] = "load-timeout",
	};

	return names[h];
}

bool
orders_take_halt(struct orders *o, struct buf *line)
{
	if (!o->halt_unreported)
		return false;
	o->halt_unreported = false;
	buf_printf(line,
	    "orders halted: %s of %s %s on %s; %zu of %zu targets have it; "
	    "check the target, then set another version or the old one",
	    orders_halt_name(o->halt), o->desired.model, o->desired.version,
	    o->halt_addr, o->counts[ORDERS_TARGET_UP_TO_DATE], o->n);
	return true;
}
