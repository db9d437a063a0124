/*
 * Simulates load in virtual time on targets of known capacity.
 *
 * Guards against an overload that wastes capacity on requests which then miss
 * their deadline, and against a workspace that floods the service and so takes
 * capacity from others.
 */
#include "base/rng.h"
#include "kernel/kernel.h"
#include "tests/kernel/testconf.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SECONDS        30
#define NUM_QUICK      4  /* targets of one call at a time */
#define NUM_SLOW       10 /* targets of two calls at a time */
#define NUM_TARGETS    (NUM_QUICK + NUM_SLOW)
#define QUICK_USEC     (20 * USEC_PER_MSEC)
#define SLOW_USEC      (200 * USEC_PER_MSEC)
#define SLOW_CAPACITY  100 /* calls per second of all slow targets */
#define MAX_NODES      9
#define MAX_REQS       65536
#define N_WORKSPACES   2
#define MIN_GOODPUT    (0.95 * SLOW_CAPACITY)
/* Configurations with and without the setting concurrency of the services. */
#define CONF_LIMITED   "tests/kernel/overload.ini"
#define CONF_UNLIMITED "tests/kernel/unknown.ini"

static const char *const workspaces[N_WORKSPACES] = { "yard", "flood" };

struct load_case {
	const char *name;
	const char *conf;
	unsigned nodes;            /* sequoiads that share the targets */
	unsigned deadline;         /* seconds */
	double rate[N_WORKSPACES]; /* arrivals per second */
	double min_goodput;        /* completions in time per second */
	double min_share;          /* complete in time, first workspace */
	double max_waste;          /* share of calls for requests not in time */
	size_t n_slowed; /* targets of stage two that take five times as long */
};

/* A call at a target, running or waiting. */
struct job {
	unsigned node;
	uint64_t call;
	usec_t end_at; /* 0: waiting */
	char id[32];
};

/* A simulated fleet of sequoiads and targets under load. */
struct load_sim {
	struct kernel *nodes[MAX_NODES];
	GArray *jobs[NUM_TARGETS]; /* struct job, in order of arrival */
	struct rng rng;
	usec_t now;
	uint8_t calls_of[MAX_REQS]; /* number of calls, by request */
	uint8_t workspace_of[MAX_REQS];
	usec_t arrived[MAX_REQS];
	uint64_t n_reqs;
	unsigned sent[N_WORKSPACES];
	unsigned done[N_WORKSPACES]; /* complete in time */
	unsigned done_in_window; /* complete in time while requests arrive */
	unsigned calls;
	unsigned n_wasted;
	const struct load_case *c;
};

static usec_t
service_time(struct load_sim *l, unsigned idx)
{
	double mean = (double)(idx < NUM_QUICK ? QUICK_USEC : SLOW_USEC);

	if (idx >= NUM_QUICK && idx - NUM_QUICK < l->c->n_slowed)
		mean *= 5;
	return (usec_t)(mean * (0.5 + rng_unit(&l->rng)));
}

static void
add_job(struct load_sim *l, unsigned node, const struct action_call *a)
{
	unsigned idx = (unsigned)g_ascii_strtoull(a->addr + 5, NULL, 10);
	const char *id = strstr(a->body.p, "\"call_id\":\"") + 11;
	struct job j = { .node = node, .call = a->call };

	g_strlcpy(j.id, id, MIN(sizeof(j.id), strcspn(id, "\"") + 1));
	g_array_append_val(l->jobs[idx], j);
	l->calls_of[a->req]++;
	l->calls++;
}

static void
drop_job(struct load_sim *l, unsigned node, uint64_t call)
{
	for (unsigned t = 0; t < NUM_TARGETS; t++) {
		for (guint i = 0; i < l->jobs[t]->len; i++) {
			const struct job *j =
			    &g_array_index(l->jobs[t], struct job, i);

			if (j->node == node && j->call == call) {
				g_array_remove_index(l->jobs[t], i);
				return;
			}
		}
	}
}

/* Counts a request as done, or its calls as wasted. */
static void
count_answer(struct load_sim *l, const struct action_answer *a)
{
	if (a->outcome != OUTCOME_COMPLETE ||
	    l->now - l->arrived[a->req] > l->c->deadline * USEC_PER_SEC) {
		l->n_wasted += l->calls_of[a->req];
		return;
	}
	l->done[l->workspace_of[a->req]]++;
	l->done_in_window += l->now <= SECONDS * USEC_PER_SEC;
}

static void
handle_action(struct load_sim *l, unsigned node, const struct action *a)
{
	switch (a->kind) {
	case ACTION_CALL:
		add_job(l, node, &a->call);
		break;
	case ACTION_CANCEL:
		drop_job(l, node, a->cancel.call);
		break;
	case ACTION_ANSWER:
		count_answer(l, &a->answer);
		break;
	default:
		g_assert_not_reached();
	}
}

static void
step(struct load_sim *l, unsigned node, const struct event *ev)
{
	struct actions actions = { 0 };

	kernel_step(l->nodes[node], l->now, ev, &actions);
	for (size_t i = 0; i < actions.n; i++)
		handle_action(l, node, &actions.v[i]);
	actions_free(&actions);
}

static void
arrive(struct load_sim *l, unsigned workspace)
{
	char id[24];
	struct event ev = { .kind = EVENT_ARRIVE };

	ev.arrive.req = ++l->n_reqs;
	g_assert_cmpuint(l->n_reqs, <, MAX_REQS);
	g_snprintf(id, sizeof(id), "r%u", (unsigned)l->n_reqs);
	ev.arrive.id = str_from(id);
	ev.arrive.workspace = str_from(workspaces[workspace]);
	ev.arrive.pipeline = STR("both");
	ev.arrive.timeout = l->c->deadline * USEC_PER_SEC;
	ev.arrive.body = STR("{}");
	l->workspace_of[l->n_reqs] = (uint8_t)workspace;
	l->arrived[l->n_reqs] = l->now;
	l->sent[workspace]++;
	step(l, (unsigned)rng_below(&l->rng, l->c->nodes), &ev);
}

static void
end_job(struct load_sim *l, unsigned idx, guint at)
{
	struct job j = g_array_index(l->jobs[idx], struct job, at);
	g_autofree char *text = NULL;

	g_array_remove_index(l->jobs[idx], at);
	text = g_strdup_printf(
	    "{\"call_id\": \"%s\", \"load\": %u, \"document\": {}}", j.id,
	    l->jobs[idx]->len + 1);
	step(l, j.node,
	    &(struct event){ .kind = EVENT_HEAD, .head = { j.call, 200 } });
	step(l, j.node,
	    &(struct event){
		.kind = EVENT_CHUNK, .chunk = { j.call, str_from(text) } });
	step(
	    l, j.node, &(struct event){ .kind = EVENT_END, .end = { j.call } });
}

/* Ends the calls of a target that are due and starts waiting ones. */
static void
run_target(struct load_sim *l, unsigned idx)
{
	GArray *jobs = l->jobs[idx];
	guint slots = idx < NUM_QUICK ? 1 : 2;

	for (guint i = 0; i < MIN(jobs->len, slots);) {
		struct job *j = &g_array_index(jobs, struct job, i);

		if (j->end_at == 0)
			j->end_at = l->now + service_time(l, idx);
		if (j->end_at <= l->now) {
			end_job(l, idx, i);
			i = 0;
		} else {
			i++;
		}
	}
}

static void
list_targets(struct load_sim *l, unsigned node)
{
	struct listed_target v[NUM_TARGETS] = { 0 };

	for (unsigned i = 0; i < NUM_TARGETS; i++) {
		g_strlcpy(v[i].service, i < NUM_QUICK ? "quick" : "slow",
		    sizeof(v[i].service));
		g_snprintf(v[i].addr, sizeof(v[i].addr), "10.0.%u.1:80", i);
	}
	step(l, node,
	    &(struct event){
		.kind = EVENT_TARGETS, .targets = { v, NUM_TARGETS } });
}

static bool
busy(const struct load_sim *l)
{
	for (unsigned i = 0; i < l->c->nodes; i++) {
		if (kernel_busy(l->nodes[i]) > 0)
			return true;
	}
	return l->now < SECONDS * USEC_PER_SEC;
}

/* Advances by one millisecond: arrivals (a Poisson process), targets, ticks. */
static void
advance_msec(struct load_sim *l, usec_t next[N_WORKSPACES])
{
	static const struct event tick = { .kind = EVENT_TICK };

	l->now += USEC_PER_MSEC;
	for (unsigned w = 0; w < N_WORKSPACES; w++) {
		while (l->c->rate[w] > 0 && next[w] <= l->now &&
		    l->now < SECONDS * USEC_PER_SEC) {
			arrive(l, w);
			next[w] += (usec_t)(-log(1 - rng_unit(&l->rng)) /
			    l->c->rate[w] * USEC_PER_SEC);
		}
	}
	for (unsigned t = 0; t < NUM_TARGETS; t++)
		run_target(l, t);
	for (unsigned i = 0; i < l->c->nodes; i++) {
		if (l->now % DEFAULT_TICK_USEC == 0)
			step(l, i, &tick);
	}
}

static void
check(const struct load_sim *l)
{
	double goodput = (double)l->done_in_window / SECONDS;
	double share = (double)l->done[0] / l->sent[0];
	double waste = (double)l->n_wasted / l->calls;

	g_test_message("%s: %.1f/s in time, %.2f%% of the first workspace, "
		       "%.2f%% of calls wasted, %u of %u",
	    l->c->name, goodput, share * 100, waste * 100,
	    l->done[0] + l->done[1], l->sent[0] + l->sent[1]);
	g_assert_cmpfloat(goodput, >=, l->c->min_goodput);
	g_assert_cmpfloat(share, >=, l->c->min_share);
	g_assert_cmpfloat(waste, <=, l->c->max_waste);
}

static void
run(const struct load_case *c, struct conf *conf, uint64_t seed)
{
	struct load_sim *l = g_new0(struct load_sim, 1);
	struct event ev = { .kind = EVENT_CONF, .conf = { conf } };
	usec_t next[N_WORKSPACES] = { 0 };

	l->c = c;
	rng_init(&l->rng, seed);
	for (unsigned t = 0; t < NUM_TARGETS; t++)
		l->jobs[t] = g_array_new(false, false, sizeof(struct job));
	for (unsigned i = 0; i < c->nodes; i++) {
		l->nodes[i] =
		    kernel_new(&(struct kernel_opts){ seed + i, "a" });
		step(l, i, &ev);
		list_targets(l, i);
	}
	while (busy(l))
		advance_msec(l, next);
	check(l);
	for (unsigned i = 0; i < c->nodes; i++)
		kernel_free(l->nodes[i]);
	for (unsigned t = 0; t < NUM_TARGETS; t++)
		g_array_free(l->jobs[t], true);
	g_free(l);
}

static void
test_load(gconstpointer arg)
{
	const struct load_case *c = arg;
	struct conf *conf = testconf_read(c->conf);

	for (uint64_t seed = 1; seed <= 3; seed++)
		run(c, conf, seed);
	conf_unref(conf);
}

int
main(int argc, char **argv)
{
	static const struct load_case cases[] = {
		{ "steady", CONF_LIMITED, 1, 1, { 70 }, 0, 0.999, 0.01 },
		{ "overload", CONF_LIMITED, 1, 1, { 150 }, MIN_GOODPUT, 0,
		    0.05 },
		{ "flood", CONF_LIMITED, 1, 1, { 40, 400 }, MIN_GOODPUT, 0.99,
		    0.05 },
		{ "slow-target", CONF_LIMITED, 1, 1, { 60 }, 0, 0.995, 0.1, 1 },
		{ "fleet-steady", CONF_LIMITED, 9, 1, { 70 }, 0, 0.999, 0.01 },
		{ "fleet-overload", CONF_LIMITED, 9, 1, { 150 }, MIN_GOODPUT, 0,
		    0.05 },
		{ "fleet-flood", CONF_LIMITED, 9, 5, { 40, 400 }, MIN_GOODPUT,
		    0.99, 0.05 },
		{ "unknown-steady", CONF_UNLIMITED, 9, 1, { 70 }, 0, 0.999,
		    0.01 },
		{ "unknown-overload", CONF_UNLIMITED, 9, 5, { 150 },
		    MIN_GOODPUT, 0, 0.05 },
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
		    g_strdup_printf("/load/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_load);
	}
	return g_test_run();
}
