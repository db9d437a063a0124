/*
 * Load in virtual time against runners of known capacity: what is admitted
 * under overload is finished in time, and a flooding workspace harms nobody
 * but itself.
 */
#include "base/rng.h"
#include "kernel/kernel.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SECONDS      30
#define QUICK        4  /* runners, one call at once */
#define SLOW         10 /* runners, two calls at once */
#define QUICK_USEC   (20 * USEC_PER_MSEC)
#define SLOW_USEC    (200 * USEC_PER_MSEC)
#define PER_SECOND   100 /* what the slow runners can do */
#define MAX_CALLS    65536
#define MAX_REQS     65536
#define N_WORKSPACES 2

static const char *const workspaces[N_WORKSPACES] = { "yard", "flood" };

struct load_case {
	const char *name;
	double rate[N_WORKSPACES]; /* arrivals a second */
	double least_goodput;      /* complete in time a second, all together */
	double least_share;        /* of the first workspace's requests */
	double most_waste; /* calls of requests that were not complete */
	size_t slowed;     /* runners of stage two that take five times */
};

struct load {
	struct kernel *k;
	struct rng rng;
	usec_t now;
	usec_t end_at[MAX_CALLS]; /* 0: not under way */
	uint64_t first_open;
	uint64_t n_calls;
	uint8_t calls_of[MAX_REQS]; /* by request */
	uint8_t workspace_of[MAX_REQS];
	usec_t arrived[MAX_REQS];
	uint64_t n_reqs;
	unsigned sent[N_WORKSPACES];
	unsigned done[N_WORKSPACES]; /* complete and in time */
	unsigned wasted;
	struct actions actions;
	const struct load_case *c;
	char id[MAX_CALLS][32];
};

static usec_t
service_time(struct load *l, const struct action_call *a)
{
	bool slow = g_str_has_prefix(a->addr, "10.0.2.");
	double mean = (double)(slow ? SLOW_USEC : QUICK_USEC);
	unsigned runner = (unsigned)g_ascii_strtoull(a->addr + 7, NULL, 10);

	if (slow && runner < l->c->slowed)
		mean *= 5;
	return (usec_t)(mean * (0.5 + rng_unit(&l->rng)));
}

static void
act(struct load *l, const struct action *a)
{
	const char *id;

	switch (a->kind) {
	case ACTION_CALL:
		l->n_calls = a->call.call;
		g_assert_cmpuint(l->n_calls, <, MAX_CALLS);
		l->end_at[l->n_calls] = l->now + service_time(l, &a->call);
		l->calls_of[a->call.req]++;
		id = strstr(a->call.body.p, "\"call_id\":\"") + 11;
		g_strlcpy(l->id[l->n_calls], id,
		    MIN(sizeof(l->id[0]), strcspn(id, "\"") + 1));
		break;
	case ACTION_CANCEL:
		l->end_at[a->cancel.call] = 0;
		break;
	case ACTION_ANSWER:
		if (a->answer.outcome == OUTCOME_COMPLETE &&
		    l->now - l->arrived[a->answer.req] <= USEC_PER_SEC)
			l->done[l->workspace_of[a->answer.req]]++;
		else
			l->wasted += l->calls_of[a->answer.req];
		break;
	default:
		g_assert_not_reached();
	}
}

static void
step(struct load *l, const struct event *ev)
{
	kernel_step(l->k, l->now, ev, &l->actions);
	for (size_t i = 0; i < l->actions.n; i++)
		act(l, &l->actions.v[i]);
	actions_clear(&l->actions);
}

static void
arrive(struct load *l, unsigned workspace)
{
	char id[24];
	struct event ev = { .kind = EVENT_ARRIVE };

	ev.arrive.req = ++l->n_reqs;
	g_assert_cmpuint(l->n_reqs, <, MAX_REQS);
	g_snprintf(id, sizeof(id), "r%u", (unsigned)l->n_reqs);
	ev.arrive.id = str_from(id);
	ev.arrive.workspace = str_from(workspaces[workspace]);
	ev.arrive.pipeline = STR("both");
	ev.arrive.body = STR("{}");
	l->workspace_of[l->n_reqs] = (uint8_t)workspace;
	l->arrived[l->n_reqs] = l->now;
	l->sent[workspace]++;
	step(l, &ev);
}

static void
end_call(struct load *l, uint64_t call)
{
	struct event ev = { .kind = EVENT_HEAD };
	g_autofree char *text = g_strdup_printf(
	    "{\"call_id\": \"%s\", \"document\": {}}", l->id[call]);

	l->end_at[call] = 0;
	ev.head.call = call;
	ev.head.status = 200;
	step(l, &ev);
	ev = (struct event){ .kind = EVENT_CHUNK };
	ev.chunk.call = call;
	ev.chunk.bytes = str_from(text);
	step(l, &ev);
	ev = (struct event){ .kind = EVENT_END };
	ev.end.call = call;
	step(l, &ev);
}

/* Ends the calls that are due, in order of their numbers. */
static void
end_calls(struct load *l)
{
	while (l->first_open <= l->n_calls && l->end_at[l->first_open] == 0)
		l->first_open++;
	for (uint64_t i = l->first_open; i <= l->n_calls; i++) {
		if (l->end_at[i] != 0 && l->end_at[i] <= l->now)
			end_call(l, i);
	}
}

static void
list_targets(struct load *l)
{
	struct listed_target v[QUICK + SLOW] = { 0 };
	struct event ev = { .kind = EVENT_TARGETS };

	for (unsigned i = 0; i < QUICK + SLOW; i++) {
		bool quick = i < QUICK;

		g_strlcpy(v[i].service, quick ? "quick" : "slow",
		    sizeof(v[i].service));
		g_snprintf(v[i].addr, sizeof(v[i].addr), "10.0.%d.%u:80",
		    quick ? 1 : 2, quick ? i : i - QUICK);
	}
	ev.targets.v = v;
	ev.targets.n = QUICK + SLOW;
	step(l, &ev);
}

/* One millisecond at a time: Poisson arrivals, ends of calls, ticks. */
static void
run(struct load *l)
{
	static const struct event tick = { .kind = EVENT_TICK };
	usec_t next[N_WORKSPACES] = { 0 };

	while (l->now < SECONDS * USEC_PER_SEC || kernel_busy(l->k) > 0) {
		l->now += USEC_PER_MSEC;
		end_calls(l);
		for (unsigned w = 0; w < N_WORKSPACES; w++) {
			while (l->c->rate[w] > 0 && next[w] <= l->now &&
			    l->now < SECONDS * USEC_PER_SEC) {
				arrive(l, w);
				next[w] +=
				    (usec_t)(-log(1 - rng_unit(&l->rng)) /
					l->c->rate[w] * USEC_PER_SEC);
			}
		}
		if (l->now % DEFAULT_TICK_USEC == 0)
			step(l, &tick);
	}
}

static void
check(const struct load *l)
{
	double good = (double)(l->done[0] + l->done[1]) / SECONDS;
	double share = (double)l->done[0] / l->sent[0];
	double waste = (double)l->wasted / (double)l->n_calls;

	g_test_message("%s: %.1f/s in time, %.2f%% of the first workspace, "
		       "%.2f%% of calls wasted, %u of %u",
	    l->c->name, good, share * 100, waste * 100, l->done[0] + l->done[1],
	    l->sent[0] + l->sent[1]);
	g_assert_cmpfloat(good, >=, l->c->least_goodput);
	g_assert_cmpfloat(share, >=, l->c->least_share);
	g_assert_cmpfloat(waste, <=, l->c->most_waste);
}

static void
test_load(gconstpointer arg)
{
	struct ini set = { 0 };
	struct buf text = { 0 };
	struct event ev = { .kind = EVENT_CONF };

	g_assert_cmpint(
	    ini_slurp("tests/kernel/overload.ini", &text, NULL), ==, 0);
	g_assert_cmpint(
	    ini_add(&set, "overload.ini", str_of(&text), NULL), ==, 0);
	ev.conf.conf = conf_read(&set, 1, NULL);
	for (uint64_t seed = 1; seed <= 3; seed++) {
		struct load *l = g_new0(struct load, 1);

		l->c = arg;
		l->k = kernel_new(&(struct kernel_opts){ seed, "a" });
		l->first_open = 1;
		rng_init(&l->rng, seed);
		step(l, &ev);
		list_targets(l);
		run(l);
		check(l);
		kernel_free(l->k);
		actions_free(&l->actions);
		g_free(l);
	}
	conf_unref(ev.conf.conf);
	ini_free(&set);
	buf_free(&text);
}

int
main(int argc, char **argv)
{
	static const struct load_case cases[] = {
		{ "steady", { 70, 0 }, 0, 0.999, 0.01, 0 },
		{ "overload", { 150, 0 }, 0.95 * PER_SECOND, 0, 0.05, 0 },
		{ "flood", { 40, 400 }, 0.95 * PER_SECOND, 0.99, 0.05, 0 },
		{ "slow-runner", { 60, 0 }, 0, 0.995, 0.1, 1 },
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strdup_printf("/load/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_load);
	}
	return g_test_run();
}
