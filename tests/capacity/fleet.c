/*
 * Cost of membership: memory of the member table, and traffic, processor time
 * and convergence time of gossip, simulated in virtual time.
 */
#include "tests/capacity/capacity.h"
#include "kernel/gossip.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define DOMAINS        10
#define IDLE_ROUNDS    40
#define WATCHERS       32 /* members that watch the configuration log */
#define LOSS_ROUNDS    120
#define FLEET_SIZES    4
#define ROUNDS_PER_SEC ((double)USEC_PER_SEC / GOSSIP_INTERVAL)

static const size_t fleet_sizes[FLEET_SIZES] = { 9, 27, 200, 1400 };

static struct member_info
make_info(size_t i)
{
	struct member_info x = { .incarnation = 1, .generation = 1 };

	snprintf(x.id, sizeof(x.id), "entry-%04zu", i);
	snprintf(x.rpc, sizeof(x.rpc), "10.1.%zu.%zu:7000", i / 250, i % 250);
	snprintf(x.operators, sizeof(x.operators), "10.1.%zu.%zu:7001", i / 250,
	    i % 250);
	snprintf(x.domain, sizeof(x.domain), "domain-%zu", i % DOMAINS);
	return x;
}

/* Members that all know each other; one failure domain can be lost. */
struct fleet {
	struct gossip *v;
	size_t n;
	usec_t now;
	bool domain_lost; /* failure domain 0 neither sends nor receives */
	double bytes;     /* sent in the last round */
	double messages;  /* sent in the last round */
	double cpu;
};

static bool
is_up(const struct fleet *f, size_t i)
{
	return !f->domain_lost || i % DOMAINS != 0;
}

static size_t
index_of(const char *rpc)
{
	unsigned high;
	unsigned low;

	g_assert_cmpint(sscanf(rpc, "10.1.%u.%u:", &high, &low), ==, 2);
	return (size_t)high * 250 + low;
}

static void
deliver(struct fleet *f, const struct gossip_send *sends, size_t n)
{
	struct gossip_send *answers;

	if (n == 0)
		return;
	answers = xcalloc(GOSSIP_MAX_ANSWERS, sizeof(*answers));
	for (size_t i = 0; i < n; i++) {
		size_t to = index_of(sends[i].rpc);

		f->bytes += (double)gossip_message_bytes(&sends[i].m);
		f->messages++;
		if (is_up(f, to))
			deliver(f, answers,
			    gossip_receive(
				&f->v[to], f->now, &sends[i].m, answers));
	}
	free(answers);
}

static void
run_round(struct fleet *f)
{
	struct gossip_send *sends = xcalloc(GOSSIP_MAX_SENDS, sizeof(*sends));
	double before = cpu_usec();

	f->now += GOSSIP_INTERVAL;
	f->bytes = f->messages = 0;
	for (size_t i = 0; i < f->n; i++) {
		if (is_up(f, i))
			deliver(
			    f, sends, gossip_round(&f->v[i], f->now, sends));
	}
	f->cpu += cpu_usec() - before;
	free(sends);
}

static void
fleet_setup(struct fleet *f, size_t n)
{
	*f = (struct fleet){ .n = n, .now = USEC_PER_SEC };
	f->v = xcalloc(n, sizeof(*f->v));
	for (size_t i = 0; i < n; i++) {
		struct member_info self = make_info(i);

		gossip_init(&f->v[i], &self, i + 1, f->now);
		for (size_t j = 0; j < n; j++) {
			struct member_info other = make_info(j);

			if (j != i)
				member_update(&f->v[i].members, f->now, &other);
		}
	}
}

static void
fleet_teardown(struct fleet *f)
{
	for (size_t i = 0; i < f->n; i++)
		gossip_free(&f->v[i]);
	free(f->v);
}

/* Counts the members that still consider one of the lost domain up. */
static size_t
count_unaware(const struct fleet *f)
{
	size_t n_lost = (f->n + DOMAINS - 1) / DOMAINS;
	size_t n = 0;

	for (size_t i = 0; i < f->n; i++) {
		if (is_up(f, i) && f->v[i].members.n_up > f->n - n_lost)
			n++;
	}
	return n;
}

static void
lose_domain(struct fleet *f)
{
	double peak_rate = 0;
	int rounds = 0;

	f->domain_lost = true;
	for (int r = 1; r <= LOSS_ROUNDS; r++) {
		double rate;

		run_round(f);
		rate = f->bytes / (double)f->n * ROUNDS_PER_SEC;
		if (rate > peak_rate)
			peak_rate = rate;
		if (rounds == 0 && count_unaware(f) == 0)
			rounds = r;
	}
	record_point("gossip at most in the loss of a domain, B/s per sequoiad",
	    (double)f->n, peak_rate);
	record_point("until all know of the loss, s per sequoiad", (double)f->n,
	    rounds > 0 ? rounds / ROUNDS_PER_SEC : -1);
}

/*
 * Measures how long gossip takes to spread a new generation from the watchers
 * of the log to all members.
 */
static void
spread_generation(struct fleet *f)
{
	int rounds = 0;
	size_t n_reached = 0;

	for (size_t i = 0; i < f->n && i < WATCHERS; i++)
		member_set_generation(&f->v[i].members, f->now, 2);
	while (n_reached < f->n && rounds < LOSS_ROUNDS) {
		run_round(f);
		rounds++;
		n_reached = 0;
		for (size_t i = 0; i < f->n; i++) {
			struct members *m = &f->v[i].members;

			if (m->generation < 2)
				continue;
			n_reached++;
			member_set_generation(m, f->now, 2);
		}
	}
	record_point("until all have heard of a generation, s per sequoiad",
	    (double)f->n, rounds / ROUNDS_PER_SEC);
}

void
measure_gossip(void)
{
	for (size_t i = 0; i < FLEET_SIZES; i++) {
		double n = (double)fleet_sizes[i];
		double bytes = 0;
		double sent = 0;
		struct fleet f;

		fleet_setup(&f, fleet_sizes[i]);
		for (int r = 0; r < IDLE_ROUNDS; r++)
			run_round(&f);
		f.cpu = 0;
		for (int r = 0; r < IDLE_ROUNDS; r++) {
			run_round(&f);
			bytes += f.bytes;
			sent += f.messages;
		}
		bytes *= ROUNDS_PER_SEC / IDLE_ROUNDS / n;
		sent *= ROUNDS_PER_SEC / IDLE_ROUNDS / n;
		record_point("gossip in calm, B/s per sequoiad", n, bytes);
		record_point("messages in calm, 1/s per sequoiad", n, sent);
		record_point("time of gossip in calm, us/s per sequoiad", n,
		    f.cpu * ROUNDS_PER_SEC / IDLE_ROUNDS / n);
		spread_generation(&f);
		lose_domain(&f);
		fleet_teardown(&f);
	}
}

void
measure_members(void)
{
	for (size_t i = 1; i < FLEET_SIZES; i++) {
		struct member_info self = make_info(0);
		double before = heap_bytes();
		struct members t;

		member_init(&t, &self, 0);
		for (size_t j = 1; j < fleet_sizes[i]; j++) {
			struct member_info other = make_info(j);

			member_update(&t, 0, &other);
		}
		record_point("memory of the member table, B per peer",
		    (double)fleet_sizes[i], heap_bytes() - before);
		member_free(&t);
	}
}
