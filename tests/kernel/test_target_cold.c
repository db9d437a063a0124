/*
 * Tests of what hosts send to cold targets, and replays of a fleet: a domain
 * that comes back cold beside a burst, targets that become cold while they are
 * busy, a release of half of the targets, and hosts that don't hear each other.
 */
#include "base/rng.h"
#include "kernel/loads.h"
#include "kernel/overload/placement.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MSEC(t)     ((usec_t)(t)*USEC_PER_MSEC)
#define MAX_HOSTS   300
#define MAX_TARGETS 60
#define STEP        MSEC(5)
#define RUN_TIME    MSEC(1000)
#define LIST        MSEC(250) /* how often a host hears of the targets */
#define MAX_SENT    60000
#define PREFIXES    1000

static const struct target_cold_rule rule = { 18, 1.5, 5 };

enum view {
	VIEW_ALL,     /* each host knows all */
	VIEW_LOST,    /* each has known all, and hears none any more */
	VIEW_HALVES,  /* each half of the hosts has never heard of the other */
	VIEW_STARTED, /* each has just started, and knows nobody */
	VIEW_JOINED,  /* half of the hosts doesn't know the last ten yet */
};

/* A fleet whose hosts send at once what they get to the targets. */
struct replay {
	const char *name;
	size_t n_hosts;
	size_t n_targets;
	enum view view;
	size_t n_cold;   /* targets that become cold, the first ones */
	bool restarted;  /* they are missing for two seconds before */
	int stagger;     /* milliseconds from one to the next */
	int per_s;       /* requests of all hosts */
	int burst_per_s; /* from the time that the first ones are cold */
	enum trait {
		NO_TRAIT,
		BY_WAY,     /* every second host has its calls made by others */
		BLIND,      /* and doesn't hear that targets are cold */
		TAKEN_BACK, /* not cold: their domain was evacuated */
		AGAIN,      /* they become cold once more while warm */
		PLACED      /* the first host places all requests */
	} trait;
};

static const struct replay replays[] = {
	{ "a domain comes back cold beside a burst", 74, 60, VIEW_ALL, 15, true,
	    0, 250, 1000 },
	{ "a large fleet", 295, 60, VIEW_ALL, 15, true, 0, 250, 2000 },
	{ "few hosts", 3, 8, VIEW_ALL, 2, true, 0, 60, 300 },
	{ "one host", 1, 4, VIEW_ALL, 1, true, 0, 30, 150 },
	{ "targets become cold while they are busy", 74, 60, VIEW_ALL, 20,
	    false, 0, 800, 800 },
	{ "a release of half of the targets", 74, 60, VIEW_ALL, 30, true, 500,
	    500, 500 },
	{ "hosts that hear nobody any more", 74, 60, VIEW_LOST, 15, true, 0,
	    250, 1000 },
	{ "halves that never heard of each other", 74, 60, VIEW_HALVES, 15,
	    true, 0, 250, 1000 },
	{ "hosts that have just started", 74, 60, VIEW_STARTED, 15, true, 0,
	    250, 1000 },
	{ "hosts that half of the fleet doesn't know yet", 74, 60, VIEW_JOINED,
	    15, true, 0, 250, 1000 },
	{ "calls for other hosts", 37, 30, VIEW_ALL, 8, true, 0, 120, 500,
	    BY_WAY },
	{ "calls for hosts that don't know", 37, 30, VIEW_ALL, 8, true, 0, 120,
	    1400, BLIND },
	{ "a domain is taken back beside a burst", 37, 30, VIEW_ALL, 8, false,
	    0, 120, 1800, TAKEN_BACK },
	{ "few hosts, a domain is taken back", 3, 8, VIEW_ALL, 2, false, 0, 60,
	    500, TAKEN_BACK },
	{ "cold again while busy", 37, 30, VIEW_ALL, 10, true, 0, 400, 400,
	    AGAIN },
	{ "a domain comes back cold beside a placer", 37, 30, VIEW_ALL, 8, true,
	    0, 120, 500, PLACED },
};

#define COLD_AT   MSEC(5000)
#define COLD_TIME MSEC(3000)
#define AGAIN_AT  (COLD_TIME + MSEC(2000)) /* after the first time */
#define END       MSEC(22000)

struct fleet {
	struct loads hosts[MAX_HOSTS];
	struct rng rng;
	usec_t sent_at[MAX_TARGETS][MAX_SENT];
	size_t sent[MAX_TARGETS];
	usec_t cold_at[MAX_TARGETS];
	uint32_t running[MAX_TARGETS];
	GQueue calls; /* struct call, in the order of their ends */
	size_t refused;
	struct placement *placement; /* or NULL */
	uint64_t n_asks;
	size_t vetoed; /* placed, but not taken by the host */
};

struct call {
	usec_t ends_at;
	struct loads *host;
	size_t target;
	uint64_t ask;
};

static void
set_hosts(const struct replay *r, struct fleet *f, size_t i)
{
	static char ids[MAX_HOSTS][24];
	struct rendezvous_host v[MAX_HOSTS];
	size_t n = 0;

	for (size_t k = 0; k < r->n_hosts; k++) {
		if ((r->view == VIEW_HALVES && k % 2 != i % 2) ||
		    (r->view == VIEW_STARTED && k != i) ||
		    (r->view == VIEW_JOINED && i % 2 == 0 && k != i &&
			k + 10 >= r->n_hosts))
			continue;
		snprintf(ids[k], sizeof(ids[k]), "h%zu", k);
		v[n++] = (struct rendezvous_host){ ids[k], 250 };
	}
	loads_set_hosts(&f->hosts[i], v, n, ids[i], 0);
	if (r->view == VIEW_LOST) {
		v[0].id = ids[i];
		loads_set_hosts(&f->hosts[i], v, 1, ids[i], MSEC(1));
	}
}

/* Whether the calls of the host are made by others. */
static bool
is_without_path(
    const struct replay *r, const struct fleet *f, const struct loads *l)
{
	return (r->trait == BY_WAY || r->trait == BLIND) &&
	    (l - f->hosts) % 2 == 1;
}

static void
evacuate(struct loads *l, bool evacuated, usec_t now)
{
	static const struct evacuation cold = { .domain = "cold" };
	g_autoptr(GArray) v =
	    g_array_new(FALSE, TRUE, sizeof(struct evacuation));

	if (evacuated)
		g_array_append_val(v, cold);
	loads_set_evacuated(l, v, now);
}

static void
list_targets(
    const struct replay *r, struct fleet *f, struct loads *l, usec_t now)
{
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct target_entry));

	for (size_t i = 0; i < r->n_targets; i++) {
		struct target_entry e = { .slots = 64, .seq = 1 };

		snprintf(e.id, sizeof(e.id), "t%zu", i);
		snprintf(e.addr, sizeof(e.addr), "10.0.0.%zu:80", i);
		g_strlcpy(e.service, "s", sizeof(e.service));
		if (i < r->n_cold)
			g_strlcpy(e.domain, "cold", sizeof(e.domain));
		if (r->trait == TAKEN_BACK ||
		    (r->trait == BLIND && is_without_path(r, f, l))) {
			;
		} else if (r->trait == AGAIN && i < r->n_cold &&
		    now >= f->cold_at[i] + AGAIN_AT) {
			e.seq = 3;
			e.cold_left = COLD_TIME;
			e.read_at = f->cold_at[i] + AGAIN_AT;
		} else if (i < r->n_cold && now >= f->cold_at[i]) {
			e.seq = 2;
			e.cold_left = COLD_TIME;
			e.read_at = f->cold_at[i];
		} else if (i < r->n_cold && r->restarted &&
		    now >= f->cold_at[i] - MSEC(2000)) {
			continue;
		}
		g_array_append_val(all, e);
	}
	if (r->trait == TAKEN_BACK)
		evacuate(l, now >= COLD_AT - MSEC(2000) && now < COLD_AT, now);
	loads_update(l, all, now);
	g_array_unref(all);
}

static GHashTable *
new_rules(void)
{
	GHashTable *rules =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	g_hash_table_insert(
	    rules, g_strdup("s"), g_memdup2(&rule, sizeof(rule)));
	return rules;
}

/* Ends what has run; the reports are what hosts know of targets. */
static void
end_calls(struct fleet *f, usec_t now)
{
	struct call *c;

	while ((c = g_queue_peek_head(&f->calls)) != NULL &&
	    (now < 0 || now >= c->ends_at)) {
		char id[24];
		struct target_load *t;

		snprintf(id, sizeof(id), "t%zu", c->target);
		f->running[c->target]--;
		loads_ended(c->host, id, LOADS_OK, c->ends_at);
		if (f->placement != NULL)
			placement_ended(f->placement,
			    (uint64_t)(c->host - f->hosts) + 1, c->ask, true,
			    c->ends_at);
		t = loads_find(c->host, id);
		loads_report(t, f->running[c->target], 0, 0, c->ends_at);
		g_free(g_queue_pop_head(&f->calls));
	}
}

static struct placement_request
request_of(struct fleet *f, const struct loads *l, usec_t now)
{
	return (struct placement_request){
		.host = (uint64_t)(l - f->hosts) + 1,
		.ask = ++f->n_asks,
		.prompt_tokens = 300,
		.output_tokens = 100,
		.aim = now + MSEC(4000),
		.deadline = now + MSEC(8000),
	};
}

/* The call of a host is made, by way of another if it has no path. */
static bool
make_call(const struct replay *r, struct fleet *f, struct loads *l,
    struct target_load *t, uint64_t ask, usec_t now)
{
	size_t i = (size_t)strtoul(t->entry.id + 1, NULL, 10);
	bool counted = target_cold_is_cold(&t->cold, now);
	struct call *call;

	loads_sent(t, now);
	if (is_without_path(r, f, l)) {
		size_t way = (size_t)(rng_unit(&f->rng) * (double)r->n_hosts);
		struct target_load *there =
		    loads_find(&f->hosts[way & ~(size_t)1], t->entry.id);

		if (!there->listed || !loads_serve(there, counted, now)) {
			loads_ended(l, t->entry.id, LOADS_FAILED, now);
			loads_cold(l, t,
			    there->listed ? there->cold.until - now : 0, 0,
			    now);
			return false;
		}
		loads_ended(
		    &f->hosts[way & ~(size_t)1], t->entry.id, LOADS_OK, now);
	}
	g_assert_cmpuint(f->sent[i], <, MAX_SENT);
	f->sent_at[i][f->sent[i]++] = now;
	f->running[i]++;
	call = g_new(struct call, 1);
	*call = (struct call){ now + RUN_TIME, l, i, ask };
	g_queue_push_tail(&f->calls, call);
	return true;
}

/* The host chooses by itself, again if the call isn't made. */
static void
send_one(const struct replay *r, struct fleet *f, struct loads *l,
    struct loads_query *q, usec_t now)
{
	struct target_load *t;

	while (q->n_tried < LOADS_MAX_TRIED &&
	    (t = loads_choose(l, q, now)) != NULL) {
		if (make_call(r, f, l, t, 0, now))
			return;
		q->tried[q->n_tried++] = str_from(t->entry.id);
	}
	f->refused++;
}

/* Carries out what the placer has decided. */
static void
send_placed(const struct replay *r, struct fleet *f, usec_t now)
{
	struct placement_decision d;

	while (placement_step(f->placement, &d, 1, now) > 0) {
		struct loads *l = &f->hosts[d.host - 1];
		struct loads_query q = { .service = "s", .engine = true };
		struct target_load *t = loads_find(l, d.target);

		if (d.verdict == PLACEMENT_SEND && loads_takes(l, &q, t, now)) {
			make_call(r, f, l, t, d.ask, now);
			continue;
		}
		f->vetoed += d.verdict == PLACEMENT_SEND;
		if (d.verdict == PLACEMENT_SEND)
			placement_ended(
			    f->placement, d.host, d.ask, false, now);
		send_one(r, f, l, &q, now);
	}
}

static void
send_some(const struct replay *r, struct fleet *f, usec_t now)
{
	int per_s = now < COLD_AT ? r->per_s : r->burst_per_s;
	double due = per_s * (double)STEP / USEC_PER_SEC;
	int n = (int)due + (rng_unit(&f->rng) < due - (int)due);

	while (n-- > 0) {
		struct loads *l =
		    &f->hosts[(size_t)(rng_unit(&f->rng) * (double)r->n_hosts)];
		struct loads_query q = {
			.service = "s",
			.engine = true,
			.urgency = n % 2,
			/* It costs as much as three running requests. */
			.prefix = 1 + (uint64_t)(rng_unit(&f->rng) * PREFIXES),
			.shared_tokens = 300,
		};
		struct placement_request x = request_of(f, l, now);
		struct target_load *t;

		if (f->placement == NULL) {
			send_one(r, f, l, &q, now);
			continue;
		}
		t = loads_choose_owned(l, &q, now);
		if (t != NULL) {
			make_call(r, f, l, t, x.ask, now);
			placement_sent(f->placement, &x, t->entry.id, now);
		} else {
			placement_submit(f->placement, &x, now);
		}
	}
	if (f->placement != NULL)
		send_placed(r, f, now);
}

/* The most requests in a second of a span, which is open at its end. */
static size_t
most_in_second(const struct fleet *f, size_t i, usec_t from, usec_t to)
{
	size_t most = 0;
	size_t a = 0;

	for (size_t b = 0; b < f->sent[i] && f->sent_at[i][b] < to; b++) {
		while (f->sent_at[i][a] < from ||
		    f->sent_at[i][b] - f->sent_at[i][a] >= USEC_PER_SEC) {
			if (a >= b)
				break;
			a++;
		}
		if (f->sent_at[i][b] >= from && b - a + 1 > most)
			most = b - a + 1;
	}
	return most;
}

static size_t
count(const struct fleet *f, size_t i, usec_t from, usec_t to)
{
	size_t n = 0;

	for (size_t k = 0; k < f->sent[i]; k++)
		n += f->sent_at[i][k] >= from && f->sent_at[i][k] < to;
	return n;
}

static void
check(const struct replay *r, const struct fleet *f)
{
	double bound = rule.per_s * rule.over + rule.slack;
	double usual = (double)r->burst_per_s / (double)r->n_targets;
	usec_t cold_time = r->trait == TAKEN_BACK ? 0 : COLD_TIME;
	size_t cold = 0;
	size_t warm = 0;
	size_t others = 0;

	for (size_t i = 0; i < r->n_cold; i++) {
		usec_t at = f->cold_at[i];
		size_t most = most_in_second(f, i, at, at + cold_time);
		/* A second in which its share rises, and one after that. */
		size_t first =
		    count(f, i, at + cold_time, at + cold_time + USEC_PER_SEC);

		g_test_message(
		    "t%zu: %zu while cold, %zu in a second, then %zu", i,
		    count(f, i, at, at + COLD_TIME), most, first);
		g_assert_cmpuint(most, <=, (size_t)bound);
		if (r->trait == AGAIN)
			g_assert_cmpuint(most_in_second(f, i, at + AGAIN_AT,
					     at + AGAIN_AT + COLD_TIME),
			    <=, (size_t)bound);
		g_assert_cmpuint(first, <=, (size_t)(2 * bound));
		cold += count(f, i, at, at + COLD_TIME);
		warm += count(f, i, END - 3 * USEC_PER_SEC, END);
	}
	for (size_t i = r->n_cold; i < r->n_targets; i++)
		others += count(f, i, END - 3 * USEC_PER_SEC, END);
	g_test_message("%zu refused, %zu vetoed", f->refused, f->vetoed);
	g_assert_cmpuint(f->refused, ==, 0);
	/* Neither empty beside full ones while cold ... */
	g_assert_cmpfloat((double)cold / (double)r->n_cold, >=,
	    r->view == VIEW_STARTED ? 0
				    : MIN(rule.per_s, usual) / 2 *
		    (double)cold_time / USEC_PER_SEC);
	/* ... nor once they are warm. */
	g_assert_cmpfloat((double)warm / (double)r->n_cold, >=,
	    0.7 * (double)others / (double)(r->n_targets - r->n_cold));
}

static void
run_replay(gconstpointer arg)
{
	const struct replay *r = arg;
	struct fleet *f = xcalloc(1, sizeof(*f));

	rng_init(&f->rng, 7);
	for (size_t i = 0; i < r->n_cold; i++)
		f->cold_at[i] = COLD_AT + (usec_t)i % 8 * MSEC(r->stagger);
	for (size_t i = 0; i < r->n_hosts; i++)
		loads_init(&f->hosts[i], "d", i + 1);
	for (size_t i = 0; i < r->n_hosts; i++) {
		set_hosts(r, f, i);
		loads_set_hosts_listed(
		    &f->hosts[i], r->view != VIEW_STARTED, 0);
		loads_set_cold_rules(&f->hosts[i], new_rules());
	}
	if (r->trait == PLACED)
		f->placement = placement_new(&(struct placement_opts){
		    .service = "s",
		    .domain = "",
		    .loads = &f->hosts[0],
		    .slots = 64,
		});
	for (usec_t now = 0; now < END; now += STEP) {
		for (size_t i = 0; i < r->n_hosts; i++) {
			if (now == 0 || (now + (usec_t)i * STEP) % LIST == 0)
				list_targets(r, f, &f->hosts[i], now);
		}
		end_calls(f, now);
		send_some(r, f, now);
	}
	end_calls(f, -1);
	check(r, f);
	if (f->placement != NULL)
		placement_free(f->placement);
	for (size_t i = 0; i < r->n_hosts; i++)
		loads_free(&f->hosts[i]);
	free(f);
}

enum step_kind {
	STEP_END,
	STEP_COLD, /* value: milliseconds for which the target says it is cold
		    */
	STEP_APPEARS,
	STEP_WARM, /* value: when that was sent whose answer says so */
	/* value: of 100 calls at once for others that count them, those made */
	STEP_SERVE,
	STEP_SERVE_OWN, /* the same, for others that don't */
	STEP_SEND,      /* value: 1 if a request may be sent, and is; else 0 */
	STEP_ALONE,     /* the same for a host that alone sends to the target */
	/* value: at most so many are sent in the next second, and not much less
	 */
	STEP_COUNT
};

struct step {
	enum step_kind kind;
	int at; /* milliseconds */
	int value;
};

/* One host, which may send 15 requests a second to a cold target. */
static const struct {
	const char *name;
	double per_s;
	struct step steps[10];
} cases[] = {
	{ "a warm target takes any number", 18, { { STEP_COUNT, 1000, 200 } } },
	{ "a cold one does not", 18,
	    { { STEP_COLD, 1000, 3000 }, { STEP_COUNT, 1000, 15 },
		{ STEP_COUNT, 2500, 15 } } },
	{ "nor does a pause add up", 18,
	    { { STEP_COLD, 1000, 8000 }, { STEP_COUNT, 7000, 15 } } },
	{ "its share rises until it has all", 18,
	    { { STEP_COLD, 1000, 3000 }, { STEP_COUNT, 4000, 22 },
		{ STEP_COUNT, 6000, 86 }, { STEP_COUNT, 10000, 200 } } },
	{ "it is cold again", 18,
	    { { STEP_COLD, 1000, 3000 }, { STEP_COUNT, 6000, 86 },
		{ STEP_COLD, 7000, 3000 }, { STEP_COUNT, 7000, 15 } } },
	{ "it says that it is warm before", 18,
	    { { STEP_COLD, 1000, 9000 }, { STEP_COLD, 2000, 0 },
		{ STEP_COUNT, 2000, 22 }, { STEP_COUNT, 8000, 200 } } },
	{ "the share of one that appears rises", 18,
	    { { STEP_APPEARS, 1000, 0 }, { STEP_COUNT, 1000, 22 },
		{ STEP_COUNT, 7000, 200 } } },
	{ "a service without a bound", 0,
	    { { STEP_COLD, 1000, 3000 }, { STEP_COUNT, 1000, 200 } } },
	{ "an answer ends it", 18,
	    { { STEP_COLD, 1000, 8000 }, { STEP_WARM, 2000, 1500 },
		{ STEP_COUNT, 8500, 200 } } },
	{ "but none to what was sent before", 18,
	    { { STEP_COLD, 1000, 8000 }, { STEP_WARM, 2000, 900 },
		{ STEP_COUNT, 7500, 15 } } },
	{ "a host that stood still, with calls for others", 18,
	    { { STEP_COLD, 1000, 3000 }, { STEP_SERVE, 2000, 16 },
		{ STEP_SERVE, 2900, 0 }, { STEP_SERVE, 3100, 16 },
		{ STEP_SERVE, 4100, 100 } } },
	{ "calls for others that don't know", 18,
	    { { STEP_COLD, 1000, 3000 }, { STEP_SERVE_OWN, 2000, 1 },
		{ STEP_SERVE_OWN, 2001, 0 }, { STEP_SERVE_OWN, 2100, 1 } } },
	{ "alone", 18,
	    { { STEP_COLD, 1000, 3000 }, { STEP_ALONE, 1200, 1 },
		{ STEP_ALONE, 1260, 0 }, { STEP_ALONE, 1270, 1 } } },
};

static int
send_for_a_second(struct target_cold *c, usec_t now)
{
	int n = 0;

	for (usec_t t = now; t < now + USEC_PER_SEC; t += STEP) {
		if (!target_cold_allows(c, t))
			continue;
		target_cold_sent(c, false, t);
		n++;
	}
	return n;
}

static void
run_step(struct target_cold *c, const struct step *x)
{
	usec_t now = MSEC(x->at);
	bool alone = x->kind == STEP_ALONE;
	bool allowed;
	int n;

	switch (x->kind) {
	case STEP_COLD:
		target_cold_set(c, now + MSEC(x->value), now);
		break;
	case STEP_APPEARS:
		target_cold_appeared(c, now);
		break;
	case STEP_WARM:
		target_cold_answered(c, now, MSEC(x->value), now);
		break;
	case STEP_SERVE:
	case STEP_SERVE_OWN:
		n = 0;
		for (int i = 0; i < 100; i++)
			n += target_cold_serves(c, x->kind == STEP_SERVE, now);
		g_assert_cmpint(n, ==, x->value);
		break;
	case STEP_SEND:
	case STEP_ALONE:
		allowed = alone ? target_cold_allows_alone(c, now)
				: target_cold_allows(c, now);
		g_assert_cmpint(allowed, ==, x->value);
		if (allowed)
			target_cold_sent(c, alone, now);
		break;
	case STEP_COUNT:
		n = send_for_a_second(c, now);
		g_assert_cmpint(n, <=, x->value);
		g_assert_cmpint(n, >=, x->value * 4 / 5);
		break;
	case STEP_END:
		break;
	}
}

static void
test_cases(void)
{
	static const char *const ids[] = { "h" };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct target_cold_hosts hosts;
		struct target_cold c = { .rule = rule };

		g_test_message("%s", cases[i].name);
		c.rule.per_s = cases[i].per_s;
		target_cold_hosts_init(&hosts);
		hosts.listed = true;
		target_cold_hosts_set(&hosts, ids, 1, "h", 0);
		target_cold_share(&c, "t", &hosts);
		for (const struct step *x = cases[i].steps; x->kind != STEP_END;
		     x++)
			run_step(&c, x);
		target_cold_hosts_free(&hosts);
	}
}

/*
 * A target that is warm again takes the calls of all hosts if the service has
 * no other, and only those of its owners while it is cold or another is free.
 */
static void
test_last_resort(void)
{
	static const struct {
		const char *name;
		size_t n_targets; /* the first was cold until COLD_TIME */
		usec_t at;        /* since it became cold */
		size_t min_hosts; /* that may send a call to it */
		size_t max_hosts;
		bool set_aside;
	} resorts[] = {
		{ "cold", 1, COLD_TIME - MSEC(10), 1, 16 },
		{ "warm, alone", 1, COLD_TIME + MSEC(10), MAX_HOSTS,
		    MAX_HOSTS },
		{ "warm, alone, set aside", 1, COLD_TIME + MSEC(10), MAX_HOSTS,
		    MAX_HOSTS, true },
		{ "warm, beside another", 2, COLD_TIME + MSEC(10), 0, 16 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(resorts); i++) {
		struct replay r = { .n_hosts = MAX_HOSTS,
			.n_targets = resorts[i].n_targets,
			.n_cold = 1 };
		struct fleet *f = xcalloc(1, sizeof(*f));
		size_t n = 0;

		f->cold_at[0] = COLD_AT;
		g_test_message("%s", resorts[i].name);
		for (size_t k = 0; k < MAX_HOSTS; k++) {
			struct loads *l = &f->hosts[k];
			struct loads_query q = { .service = "s" };
			struct target_load *t;

			loads_init(l, "d", k + 1);
			set_hosts(&r, f, k);
			loads_set_hosts_listed(l, true, 0);
			loads_set_cold_rules(l, new_rules());
			list_targets(&r, f, l, COLD_AT);
			if (resorts[i].set_aside)
				loads_failed(loads_find(l, "t0"),
				    COLD_AT + resorts[i].at);
			t = loads_choose(l, &q, COLD_AT + resorts[i].at);
			n += t != NULL && strcmp(t->entry.id, "t0") == 0;
			loads_free(l);
		}
		free(f);
		g_assert_cmpuint(n, >=, resorts[i].min_hosts);
		g_assert_cmpuint(n, <=, resorts[i].max_hosts);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/target_cold/cases", test_cases);
	g_test_add_func("/target_cold/last-resort", test_last_resort);
	for (size_t i = 0; i < G_N_ELEMENTS(replays); i++) {
		g_autofree char *path =
		    g_strdup_printf("/target_cold/%s", replays[i].name);

		g_test_add_data_func(path, &replays[i], run_replay);
	}
	return g_test_run();
}
