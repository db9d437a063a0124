/*
 * Tests of the limits that targets name for themselves, and replays of a fleet
 * whose hosts learn of a limit by answers and by messages that may be lost.
 */
#include "base/rng.h"
#include "kernel/arrival.h"
#include "kernel/overload/target_limit.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define MSEC(t) ((usec_t)(t)*USEC_PER_MSEC)

enum step_kind {
	STEP_END,
	STEP_ANSWER, /* value: the limit that it names; sent: when it was sent
		      */
	STEP_TOLD,   /* value: the limit; sent: when it was named */
	STEP_SEND,   /* value: 1 if the request may be sent, and is; else 0 */
	STEP_TELLS   /* value: 1 if the host tells the others now */
};

struct step {
	enum step_kind kind;
	int at; /* milliseconds */
	double value;
	int sent;
};

/* With a limit of 2 one of one host may send 1.8 requests a second. */
static const struct {
	const char *name;
	struct step steps[16];
} cases[] = {
	{ "no limit",
	    { { STEP_SEND, 1000, 1, 0 }, { STEP_SEND, 1000, 1, 0 },
		{ STEP_TELLS, 1000, 0, 0 } } },
	{ "a limit holds from the answer that names it",
	    { { STEP_ANSWER, 1000, 2, 900 }, { STEP_SEND, 1000, 0, 0 },
		{ STEP_SEND, 1500, 0, 0 }, { STEP_SEND, 1560, 1, 0 },
		{ STEP_SEND, 1560, 0, 0 }, { STEP_SEND, 2120, 1, 0 } } },
	{ "a pause allows one request, not more",
	    { { STEP_ANSWER, 1000, 2, 900 }, { STEP_SEND, 9000, 1, 0 },
		{ STEP_SEND, 9000, 0, 0 } } },
	{ "an answer without a limit ends it",
	    { { STEP_ANSWER, 1000, 2, 900 }, { STEP_ANSWER, 2000, 0, 1700 },
		{ STEP_SEND, 2000, 1, 0 }, { STEP_SEND, 2000, 1, 0 } } },
	{ "unless the request was sent before the limit was known",
	    { { STEP_ANSWER, 1000, 2, 900 }, { STEP_ANSWER, 1010, 0, 900 },
		{ STEP_SEND, 1010, 0, 0 } } },
	{ "another host tells a limit, and its end",
	    { { STEP_TOLD, 1000, 2, 950 }, { STEP_SEND, 1000, 0, 0 },
		{ STEP_TOLD, 3000, 0, 2900 }, { STEP_SEND, 3000, 1, 0 } } },
	{ "what is told is older than the answer",
	    { { STEP_ANSWER, 1000, 2, 900 }, { STEP_ANSWER, 2000, 0, 1700 },
		{ STEP_TOLD, 2100, 2, 1900 }, { STEP_SEND, 2100, 1, 0 } } },
	{ "news are told at once, and again",
	    { { STEP_ANSWER, 1000, 2, 900 }, { STEP_TELLS, 1000, 1, 0 },
		{ STEP_TELLS, 1010, 0, 0 }, { STEP_ANSWER, 1100, 2, 1050 },
		{ STEP_TELLS, 2900, 0, 0 }, { STEP_TELLS, 3000, 1, 0 },
		{ STEP_ANSWER, 3500, 3, 3400 }, { STEP_TELLS, 3500, 1, 0 } } },
	{ "the end of a limit is told for a while",
	    { { STEP_ANSWER, 1000, 2, 900 }, { STEP_TELLS, 1000, 1, 0 },
		{ STEP_ANSWER, 2000, 0, 1700 }, { STEP_TELLS, 2000, 1, 0 },
		{ STEP_TELLS, 4000, 1, 0 }, { STEP_TELLS, 6000, 1, 0 },
		{ STEP_TELLS, 8000, 0, 0 } } },
	{ "not while another host has told it",
	    { { STEP_ANSWER, 1000, 2, 900 }, { STEP_TOLD, 1100, 2, 1050 },
		{ STEP_TELLS, 1100, 0, 0 }, { STEP_TELLS, 3100, 1, 0 } } },
};

static void
run_step(struct target_limit *l, const struct step *x)
{
	static const struct rendezvous_host host = { "h", 250 };
	const struct target_limit_hosts hosts = { &host, 1, "h" };
	usec_t now = MSEC(x->at);
	bool allowed;

	switch (x->kind) {
	case STEP_ANSWER:
		if (target_limit_answered(l, x->value, MSEC(x->sent), now))
			target_limit_share(l, "t", &hosts, now);
		break;
	case STEP_TOLD:
		if (target_limit_told(l, x->value, MSEC(x->sent), now))
			target_limit_share(l, "t", &hosts, now);
		break;
	case STEP_SEND:
		allowed = target_limit_allows(l, now);
		g_assert_cmpint(allowed, ==, x->value == 1);
		g_assert_cmpint(target_limit_wait(l, now) == 0, ==, allowed);
		if (allowed)
			target_limit_sent(l, now);
		break;
	case STEP_TELLS:
		g_assert_cmpint(target_limit_tells(l, now), ==, x->value == 1);
		break;
	case STEP_END:
		break;
	}
}

static void
test_cases(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct target_limit l = { 0 };

		g_test_message("%s", cases[i].name);
		for (const struct step *x = cases[i].steps; x->kind != STEP_END;
		     x++)
			run_step(&l, x);
	}
}

/*
 * A replay in virtual time: hosts that all would like to use one target, which
 * names a limit from LIMIT_AT to END_AT.  Checked as by the users: from
 * StableMs after the limit was named, in any 4 s, over the hosts that had got
 * an answer with it half a second before.
 */
#define MAX_HOSTS    300
#define MAX_ARRIVALS 200000
#define STEP         MSEC(10)
#define LIMIT_AT     MSEC(2000)
#define END_AT       MSEC(20000)
#define REPLAY_TIME  MSEC(30000)
#define STABLE_TIME  MSEC(3000)
#define TOLD_TIME    MSEC(500)
#define SPAN         MSEC(4000)
#define LATENCY      MSEC(2)

struct load_case {
	const char *name;
	double limit;
	int hosts;
	int requests;  /* a second, of all hosts, that want the target */
	int answer;    /* milliseconds until an answer begins, at most */
	int lost;      /* messages in a hundred */
	int disagree;  /* hosts that don't know a tenth of the others */
	int restart;   /* a host forgets all, each time this is over; or 0 */
	bool one_host; /* only the first host gets requests */
	double least_used; /* part of the limit that must be used */
};

static const struct load_case loads[] = {
	{ "nine hosts", 1, 9, 60, 300, 1, 0, 0, false, 0.5 },
	{ "slow answers", 1, 9, 60, 2500, 1, 0, 0, false, 0.5 },
	{ "a low limit", 0.2, 9, 60, 300, 1, 0, 0, false, 0.3 },
	{ "a high limit", 12, 9, 60, 300, 1, 0, 0, false, 0.5 },
	{ "a limit that no one reaches", 500, 9, 60, 300, 1, 0, 0, false, 0 },
	{ "lost messages", 1, 9, 60, 300, 30, 0, 0, false, 0.4 },
	{ "hosts that disagree", 1, 9, 60, 300, 1, 3, 0, false, 0.4 },
	{ "hosts that disagree, higher", 5, 30, 90, 300, 1, 10, 0, false, 0.4 },
	{ "restarts", 1, 9, 60, 300, 1, 0, 1000, false, 0.4 },
	{ "eighty hosts", 1, 80, 100, 300, 1, 0, 0, false, 0.5 },
	{ "three hundred hosts", 1, 300, 300, 300, 1, 0, 0, false, 0.4 },
	{ "three hundred hosts, higher", 8, 300, 300, 300, 1, 0, 0, false,
	    0.4 },
	{ "requests at one host", 1, 9, 60, 300, 1, 0, 0, true, 0 },
};

struct answer {
	usec_t at;
	usec_t sent_at;
	int host;
	uint32_t life; /* of the host when it sent the request */
	double named;
};

struct message {
	usec_t at;
	int host;
	double rate;
	usec_t named_at;
};

struct host {
	struct target_limit limit;
	struct rendezvous_host known[MAX_HOSTS];
	size_t n_known;
	usec_t told_at;      /* first answer with a limit; 0: none */
	usec_t excused_from; /* a restart; 0: none */
	uint32_t life;
};

struct replay {
	const struct load_case *load;
	struct rng rng;
	usec_t now;
	char names[MAX_HOSTS][8];
	struct host *hosts;
	GArray *answers;    /* struct answer */
	GArray *messages;   /* struct message */
	GArray *counted;    /* usec_t: arrivals from hosts that were told */
	uint32_t arrivals;  /* while the limit is in force and known */
	uint32_t after_end; /* in the last 5 s */
};

static void
set_share(struct replay *p, int i)
{
	const struct target_limit_hosts hosts = { p->hosts[i].known,
		p->hosts[i].n_known, p->names[i] };

	target_limit_share(&p->hosts[i].limit, "t", &hosts, p->now);
}

static void
tell(struct replay *p, int from)
{
	const struct target_limit *l = &p->hosts[from].limit;

	for (int i = 0; i < p->load->hosts; i++) {
		struct message m = { p->now + LATENCY, i, l->rate,
			l->named_at };

		if (i != from &&
		    rng_below(&p->rng, 100) >= (uint64_t)p->load->lost)
			g_array_append_val(p->messages, m);
	}
}

static void
send_request(struct replay *p)
{
	int i = p->load->one_host
	    ? 0
	    : (int)rng_below(&p->rng, (uint64_t)p->load->hosts);
	struct host *h = &p->hosts[i];
	struct answer a = { .host = i, .sent_at = p->now, .life = h->life };
	bool in_force = p->now >= LIMIT_AT && p->now < END_AT;

	if (!target_limit_allows(&h->limit, p->now))
		return;
	target_limit_sent(&h->limit, p->now);
	a.at = p->now + LATENCY +
	    (usec_t)rng_below(&p->rng, (uint64_t)MSEC(p->load->answer));
	a.named = a.at >= LIMIT_AT && a.at < END_AT ? p->load->limit : 0;
	g_array_append_val(p->answers, a);
	if (in_force && p->now >= LIMIT_AT + STABLE_TIME) {
		p->arrivals++;
		if (h->told_at != 0 && p->now >= h->told_at + TOLD_TIME)
			g_array_append_val(p->counted, p->now);
	}
	p->after_end += p->now >= REPLAY_TIME - MSEC(5000);
}

static void
take_answers(struct replay *p)
{
	for (guint k = 0; k < p->answers->len;) {
		struct answer a = g_array_index(p->answers, struct answer, k);
		struct host *h = &p->hosts[a.host];

		if (a.at > p->now) {
			k++;
			continue;
		}
		g_array_remove_index_fast(p->answers, k);
		if (a.life != h->life)
			continue;
		if (a.named > 0 && h->told_at == 0)
			h->told_at = p->now;
		if (target_limit_answered(
			&h->limit, a.named, a.sent_at, p->now))
			set_share(p, a.host);
	}
}

static void
take_messages(struct replay *p)
{
	for (guint k = 0; k < p->messages->len;) {
		struct message m =
		    g_array_index(p->messages, struct message, k);

		if (m.at > p->now) {
			k++;
			continue;
		}
		g_array_remove_index_fast(p->messages, k);
		if (target_limit_told(
			&p->hosts[m.host].limit, m.rate, m.named_at, p->now))
			set_share(p, m.host);
	}
}

static void
learn_hosts(struct replay *p, int i)
{
	struct host *h = &p->hosts[i];

	h->n_known = 0;
	for (int k = 0; k < p->load->hosts; k++) {
		if (k != i && i < p->load->disagree &&
		    rng_below(&p->rng, 10) == 0)
			continue;
		h->known[h->n_known++] =
		    (struct rendezvous_host){ p->names[k], 250 };
	}
}

/* A host that has restarted knows nothing; the users excuse what it sends. */
static void
restart(struct replay *p)
{
	struct host *h =
	    &p->hosts[rng_below(&p->rng, (uint64_t)p->load->hosts)];

	h->limit = (struct target_limit){ 0 };
	h->told_at = 0;
	h->life++;
}

static uint32_t
most_counted(const struct replay *p)
{
	uint32_t most = 0;
	guint first = 0;

	for (guint i = 0; i < p->counted->len; i++) {
		while (g_array_index(p->counted, usec_t, i) -
			g_array_index(p->counted, usec_t, first) >=
		    SPAN)
			first++;
		most = i - first + 1 > most ? i - first + 1 : most;
	}
	return most;
}

static void
run_replay(struct replay *p)
{
	const struct load_case *l = p->load;

	for (int i = 0; i < l->hosts; i++)
		learn_hosts(p, i);
	for (p->now = MSEC(10); p->now < REPLAY_TIME; p->now += STEP) {
		take_answers(p);
		take_messages(p);
		for (int i = 0; i < l->requests; i++) {
			if (rng_below(&p->rng, 100) == 0)
				send_request(p);
		}
		for (int i = 0; i < l->hosts; i++) {
			if (target_limit_tells(&p->hosts[i].limit, p->now))
				tell(p, i);
		}
		if (l->restart > 0 && p->now % MSEC(l->restart) == 0)
			restart(p);
	}
}

static void
check_replay(const struct replay *p)
{
	const struct load_case *l = p->load;
	double seconds =
	    (double)(END_AT - LIMIT_AT - STABLE_TIME) / (double)USEC_PER_SEC;
	uint32_t most = most_counted(p);

	g_test_message("%s: at most %u in 4 s, %u in all, %u after the end",
	    l->name, most, p->arrivals, p->after_end);
	g_assert_cmpuint(most, <=, (uint32_t)(1.5 * 4 * l->limit) + 5);
	g_assert_cmpfloat(p->arrivals, >=, l->least_used * l->limit * seconds);
	/* It is used as before within 5 s after the end of the limit. */
	if (!l->one_host)
		g_assert_cmpuint(
		    p->after_end, >=, (uint32_t)(5 * l->requests * 8 / 10));
}

static void
test_loads(void)
{
	static struct replay replay;
	struct replay *p = &replay;

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (uint64_t seed = 1; seed <= 3; seed++) {
			memset(p, 0, sizeof(*p));
			p->load = &loads[i];
			rng_init(&p->rng, seed);
			for (int k = 0; k < MAX_HOSTS; k++)
				snprintf(
				    p->names[k], sizeof(p->names[k]), "h%d", k);
			p->hosts = g_new0(struct host, MAX_HOSTS);
			p->answers =
			    g_array_new(FALSE, FALSE, sizeof(struct answer));
			p->messages =
			    g_array_new(FALSE, FALSE, sizeof(struct message));
			p->counted = g_array_new(FALSE, FALSE, sizeof(usec_t));
			run_replay(p);
			check_replay(p);
			g_array_unref(p->answers);
			g_array_unref(p->messages);
			g_array_unref(p->counted);
			g_free(p->hosts);
		}
	}
}

/*
 * What a host that stood still from 1000 ms on reads when it goes on, and what
 * it is told later: the newest of it holds in the end.
 */
static void
test_standstill(void)
{
	static const struct {
		const char *name;
		struct {
			int at;
			enum step_kind kind; /* STEP_END: a turn of the loop */
			double value;
			int age; /* of what it is told */
		} steps[8];
		double rate;
	} replays[] = {
		{ "told twice while it stands still",
		    { { 900 }, { 1000 }, { 3000, STEP_TOLD, 5, 0 },
			{ 3001, STEP_TOLD, 0, 100 }, { 3200 },
			{ 3400, STEP_TOLD, 0, 1500 } },
		    0 },
		{ "an answer that waited",
		    { { 900 }, { 1000 }, { 3000, STEP_ANSWER, 5, 0 }, { 3200 },
			{ 3400, STEP_TOLD, 0, 1500 } },
		    0 },
		{ "the tick comes first",
		    { { 900 }, { 1000 }, { 3000 }, { 3001, STEP_TOLD, 5, 0 },
			{ 3200 }, { 3400, STEP_TOLD, 0, 1500 } },
		    0 },
		{ "no standstill",
		    { { 900 }, { 1000 }, { 1250 }, { 1300, STEP_TOLD, 5, 0 },
			{ 1400, STEP_TOLD, 0, 200 } },
		    5 },
		{ "after the backlog",
		    { { 1000 }, { 3000 }, { 3051, STEP_TOLD, 5, 0 },
			{ 3060, STEP_TOLD, 0, 100 } },
		    5 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(replays); i++) {
		struct target_limit l = { 0 };
		struct arrival a = { 0 };

		g_test_message("%s", replays[i].name);
		for (size_t k = 0; replays[i].steps[k].at != 0; k++) {
			usec_t now = MSEC(replays[i].steps[k].at);
			usec_t arrived = arrival_earliest(&a, now);
			double value = replays[i].steps[k].value;

			if (replays[i].steps[k].kind == STEP_ANSWER)
				target_limit_answered(
				    &l, value, MSEC(950), arrived);
			else if (replays[i].steps[k].kind == STEP_TOLD)
				target_limit_told(&l, value,
				    arrived - MSEC(replays[i].steps[k].age),
				    now);
		}
		g_assert_cmpfloat(l.rate, ==, replays[i].rate);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/target-limit/cases", test_cases);
	g_test_add_func("/target-limit/loads", test_loads);
	g_test_add_func("/target-limit/standstill", test_standstill);
	return g_test_run();
}
