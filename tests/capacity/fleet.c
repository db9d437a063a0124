/* What is known of other sequoiads, and gossip in virtual time. */
#include "tests/capacity/capacity.h"
#include "kernel/gossip.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define DOMAINS      10
#define CALM_ROUNDS  40
#define WATCHERS     32 /* of the log, as in entry/ */
#define LOSS_ROUNDS  120
#define FLEET_SIZES  4
#define ROUNDS_A_SEC ((double)USEC_PER_SEC / GOSSIP_INTERVAL)

static const size_t sizes[FLEET_SIZES] = { 9, 27, 200, 1400 };

static struct member_info
info(size_t i)
{
	struct member_info x = { .incarnation = 1, .generation = 1 };

	snprintf(x.id, sizeof(x.id), "entry-%04zu", i);
	snprintf(x.rpc, sizeof(x.rpc), "10.1.%zu.%zu:7000", i / 250, i % 250);
	snprintf(x.operators, sizeof(x.operators), "10.1.%zu.%zu:7001", i / 250,
	    i % 250);
	snprintf(x.domain, sizeof(x.domain), "domain-%zu", i % DOMAINS);
	return x;
}

/* A fleet whose members know each other; one domain can be cut off. */
struct fleet {
	struct gossip *v;
	size_t n;
	usec_t now;
	bool lost; /* members of domain 0 */
	double bytes;
	double messages;
	double cpu;
};

static bool
is_up(const struct fleet *f, size_t i)
{
	return !f->lost || i % DOMAINS != 0;
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
fleet_start(struct fleet *f, size_t n)
{
	*f = (struct fleet){ .n = n, .now = USEC_PER_SEC };
	f->v = xcalloc(n, sizeof(*f->v));
	for (size_t i = 0; i < n; i++) {
		struct member_info self = info(i);

		gossip_init(&f->v[i], &self, i + 1, f->now);
		for (size_t j = 0; j < n; j++) {
			struct member_info other = info(j);

			if (j != i)
				member_update(&f->v[i].members, f->now, &other);
		}
	}
}

static void
fleet_stop(struct fleet *f)
{
	for (size_t i = 0; i < f->n; i++)
		gossip_free(&f->v[i]);
	free(f->v);
}

/* How many believe somebody of the lost domain up. */
static size_t
unaware(const struct fleet *f)
{
	size_t lost = (f->n + DOMAINS - 1) / DOMAINS;
	size_t n = 0;

	for (size_t i = 0; i < f->n; i++) {
		if (is_up(f, i) && f->v[i].members.n_up > f->n - lost)
			n++;
	}
	return n;
}

static void
lose_domain(struct fleet *f)
{
	double most = 0;
	int rounds = 0;

	f->lost = true;
	for (int r = 1; r <= LOSS_ROUNDS; r++) {
		double each;

		run_round(f);
		each = f->bytes / (double)f->n * ROUNDS_A_SEC;
		if (each > most)
			most = each;
		if (rounds == 0 && unaware(f) == 0)
			rounds = r;
	}
	point("gossip at most in the loss of a domain, B/s per sequoiad",
	    (double)f->n, most);
	point("until all know of the loss, s per sequoiad", (double)f->n,
	    rounds > 0 ? rounds / ROUNDS_A_SEC : -1);
}

/* A new generation that the watchers of the log have, until all know of it. */
static void
spread_generation(struct fleet *f)
{
	int rounds = 0;
	size_t heard = 0;

	for (size_t i = 0; i < f->n && i < WATCHERS; i++)
		member_set_generation(&f->v[i].members, f->now, 2);
	while (heard < f->n && rounds < LOSS_ROUNDS) {
		run_round(f);
		rounds++;
		heard = 0;
		for (size_t i = 0; i < f->n; i++) {
			struct members *m = &f->v[i].members;

			if (m->generation < 2)
				continue;
			heard++;
			member_set_generation(m, f->now, 2);
		}
	}
	point("until all have heard of a generation, s per sequoiad",
	    (double)f->n, rounds / ROUNDS_A_SEC);
}

void
measure_gossip(void)
{
	for (size_t i = 0; i < FLEET_SIZES; i++) {
		double n = (double)sizes[i];
		double bytes = 0;
		double sent = 0;
		struct fleet f;

		fleet_start(&f, sizes[i]);
		for (int r = 0; r < CALM_ROUNDS; r++)
			run_round(&f);
		f.cpu = 0;
		for (int r = 0; r < CALM_ROUNDS; r++) {
			run_round(&f);
			bytes += f.bytes;
			sent += f.messages;
		}
		bytes *= ROUNDS_A_SEC / CALM_ROUNDS / n;
		sent *= ROUNDS_A_SEC / CALM_ROUNDS / n;
		point("gossip in calm, B/s per sequoiad", n, bytes);
		point("messages in calm, 1/s per sequoiad", n, sent);
		point("time of gossip in calm, us/s per sequoiad", n,
		    f.cpu * ROUNDS_A_SEC / CALM_ROUNDS / n);
		spread_generation(&f);
		lose_domain(&f);
		fleet_stop(&f);
	}
}

void
measure_members(void)
{
	for (size_t i = 1; i < FLEET_SIZES; i++) {
		struct member_info self = info(0);
		double before = heap_bytes();
		struct members t;

		member_init(&t, &self, 0);
		for (size_t j = 1; j < sizes[i]; j++) {
			struct member_info other = info(j);

			member_update(&t, 0, &other);
		}
		point("memory of the member table, B per peer",
		    (double)sizes[i], heap_bytes() - before);
		member_free(&t);
	}
}
