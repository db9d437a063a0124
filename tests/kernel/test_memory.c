/*
 * Replays loads that exceed the memory of a host, although each item is within
 * its own limit: the sum stays within the bound, small items don't wait, and
 * large ones end one after the other.
 */
#include "kernel/memory.h"

#define MS          USEC_PER_MSEC
#define MB          ((size_t)1024 * 1024)
#define KB          ((size_t)1024)
#define READ_BYTES  (16 * KB) /* of one connection in one step */
#define STEP        (1 * MS)
#define MAX_HOLDERS 2048
#define HOST_MB     260

struct load {
	enum memory_use use;
	size_t n;
	size_t bytes;  /* of each item */
	bool declared; /* its length */
	/* Time from the complete item until it is forgotten. */
	usec_t kept;
	size_t read_bytes; /* in one step; 0: READ_BYTES */
	usec_t until;      /* no item of these waits at the end */
	usec_t max_wait;   /* of each in one piece */
	size_t min_done;   /* of these at that time; 0: all */
	usec_t every;      /* pause before each begins; 0: all at once */
};

struct item {
	const struct load *load;
	struct memory_holder holder;
	usec_t begins_at;
	usec_t done_at; /* complete; 0: not yet */
	bool gone;
};

static const struct {
	const char *name;
	size_t host_mb;
	struct load loads[3];
} cases[] = {
	/* 4 at a time, each for 0.52 s. */
	{ "answers without end, beside small ones", HOST_MB,
	    { { MEMORY_ANSWER, 120, MEMORY_ITEM, false, 0, 0, 16000 * MS,
		  16000 * MS },
		{ MEMORY_ANSWER, 100, 8 * KB, false, 0, 0, 10 * MS, 0 } } },
	{ "large answers beside medium ones", HOST_MB,
	    { { MEMORY_ANSWER, 60, 8 * MB, true, 0, 0, 7000 * MS, 7000 * MS },
		{ MEMORY_ANSWER, 60, 300 * KB, true, 0, 0, 300 * MS,
		    300 * MS } } },
	{ "answers without end on the smallest host", 64,
	    { { MEMORY_ANSWER, 20, MEMORY_ITEM, false, 0, 0, 11000 * MS,
		  11000 * MS },
		{ MEMORY_ANSWER, 100, 8 * KB, false, 0, 0, 10 * MS, 0 } } },
	{ "answers that trickle don't keep their room", HOST_MB,
	    { { MEMORY_ANSWER, 5, 4 * MB, false, 0, 32, 0, 60000 * MS },
		{ MEMORY_ANSWER, 20, 2 * MB, true, 0, 0, 6000 * MS,
		    6000 * MS } } },
	{ "requests of 4 MB, answered at once", HOST_MB,
	    { { MEMORY_REQUEST, 30, 4 * MB, true, 20 * MS, 0, 2000 * MS,
		  2000 * MS },
		{ MEMORY_REQUEST, 100, 1 * KB, true, 20 * MS, 0, 10 * MS,
		    0 } } },
	{ "requests that are not answered leave room for answers", HOST_MB,
	    { { MEMORY_REQUEST, 120, 4 * MB, true, 60000 * MS, 0, 0,
		  60000 * MS },
		{ MEMORY_ANSWER, 20, 2 * MB, false, 0, 0, 1000 * MS,
		    1000 * MS } } },
	/* Each takes 2.9 s, and its caller waits for 8 s. */
	{ "answers of medium size from slow targets", 160,
	    { { MEMORY_ANSWER, 20, 200 * KB, false, 0, 70, 8000 * MS,
		8000 * MS } } },
	/* Two whole ones at a time, and a part that goes on: 2.3 s each. */
	{ "answers beyond the first part from slow targets", 160,
	    { { MEMORY_ANSWER, 20, 300 * KB, false, 0, 105, 13500 * MS,
		13500 * MS } } },
	/* 5.3 and 7 s each, and 1.6 s; their callers wait for 8 and 3 s. */
	{ "20 of 300 KB at 57 KB/s", 160,
	    { { MEMORY_ANSWER, 20, 300 * KB, false, 0, 57, 8000 * MS,
		8000 * MS } } },
	{ "20 of 400 KB at 57 KB/s", 160,
	    { { MEMORY_ANSWER, 20, 400 * KB, false, 0, 57, 8000 * MS,
		8000 * MS } } },
	{ "20 of 400 KB at 250 KB/s, beside large ones", HOST_MB,
	    { { MEMORY_ANSWER, 20, 400 * KB, false, 0, 250, 3000 * MS,
		  3000 * MS },
		{ MEMORY_ANSWER, 20, 2 * MB, true, 0, 0, 3000 * MS,
		    3000 * MS } } },
	{ "many answers of medium size", 160,
	    { { MEMORY_ANSWER, 150, 400 * KB, false, 0, 0, 3000 * MS,
		3000 * MS } } },
	/* Their first bytes alone are more than the pool has. */
	{ "more answers of medium size than have room at once", HOST_MB,
	    { { MEMORY_ANSWER, 700, 100 * KB, false, 0, 0, 2000 * MS,
		  2000 * MS },
		{ MEMORY_ANSWER, 100, 8 * KB, false, 0, 0, 10 * MS, 0 } } },
	{ "the same at a smaller host", 160,
	    { { MEMORY_ANSWER, 1000, 100 * KB, false, 0, 0, 4500 * MS,
		4500 * MS } } },
	{ "the same on the smallest host", 64,
	    { { MEMORY_ANSWER, 200, 100 * KB, false, 0, 0, 2000 * MS,
		2000 * MS } } },
	{ "answers of unknown length that need more than a part", 160,
	    { { MEMORY_ANSWER, 400, 400 * KB, false, 0, 0, 8000 * MS,
		8000 * MS } } },
	{ "requests of unknown length on the smallest host", 64,
	    { { MEMORY_REQUEST, 200, 100 * KB, false, 0, 0, 8000 * MS,
		8000 * MS } } },
	/* 13 have room at once, and need 51 s. */
	{ "more slow answers than have room", 160,
	    { { MEMORY_ANSWER, 60, 2 * MB, true, 0, 40, 60000 * MS, 60000 * MS,
		  12 },
		{ MEMORY_ANSWER, 20, 2 * MB, true, 0, 0, 6000 * MS, 6000 * MS,
		    0, 250 * MS } } },
	{ "slow answers of unknown length beside large ones", 160,
	    { { MEMORY_ANSWER, 12, 400 * KB, false, 0, 57, 8000 * MS,
		  8000 * MS },
		{ MEMORY_ANSWER, 60, 4 * MB, true, 0, 0, 8000 * MS,
		    8000 * MS } } },
	/* The flow has more than the pool at once. */
	{ "two of 400 KB beside a flow of 20 KB", 64,
	    { { MEMORY_REQUEST, 3, 400 * KB, true, 20 * MS, 0, 5000 * MS,
		  600 * MS, 0, 1700 * MS },
		{ MEMORY_REQUEST, 1900, 20 * KB, true, 1500 * MS, 0, 9000 * MS,
		    9000 * MS, 0, 3 * MS } } },
	{ "replies of the store", HOST_MB,
	    { { MEMORY_STORE, 8, 2 * MB, false, 0, 0, 2000 * MS,
		2000 * MS } } },
};

struct replay {
	struct memory memory;
	struct item items[MAX_HOLDERS];
	size_t n;
	size_t overshoot; /* that the connections read at most beyond a check */
};

static void
start(struct replay *r, const struct load *l)
{
	for (size_t i = 0; i < l->n; i++) {
		struct item *x = &r->items[r->n++];

		x->load = l;
		x->begins_at = (usec_t)i * l->every;
		memory_join(&r->memory, &x->holder, l->use, x);
		r->overshoot += READ_BYTES;
	}
}

static void
run_item(struct replay *r, struct item *x, usec_t now)
{
	const struct load *l = x->load;
	size_t n = l->read_bytes > 0 ? l->read_bytes : READ_BYTES;

	if (x->gone || now < x->begins_at)
		return;
	if (x->done_at > 0) {
		x->gone = now >= x->done_at + l->kept;
		if (x->gone)
			memory_leave(&r->memory, &x->holder);
		return;
	}
	if (x->holder.waiting) {
		g_assert_cmpint(now - x->holder.waits_since, <=, l->max_wait);
		return;
	}
	if (!memory_may_read(
		&r->memory, &x->holder, l->declared ? l->bytes : 0, now))
		return;
	memory_hold(
	    &r->memory, &x->holder, MIN(n, l->bytes - x->holder.held), now);
	if (x->holder.held < l->bytes)
		return;
	memory_complete(&r->memory, &x->holder);
	x->done_at = now;
}

static void
check(const struct replay *r)
{
	g_assert_cmpuint(r->memory.total, <=, r->memory.limit + r->overshoot);
	for (int i = 0; i < MEMORY_POOLS; i++)
		g_assert_cmpuint(r->memory.pools[i].committed, <=,
		    r->memory.pools[i].size + r->overshoot);
}

static void
check_done(const struct replay *r, const struct load *l)
{
	size_t done = 0;

	for (size_t i = 0; i < r->n; i++)
		done += r->items[i].load == l && r->items[i].done_at > 0;
	g_assert_cmpuint(done, >=, l->min_done > 0 ? l->min_done : l->n);
}

static void
test_loads(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct replay *r = g_new0(struct replay, 1);
		usec_t end = 0;

		g_test_message("%s", cases[i].name);
		memory_init(&r->memory, memory_limit_of(cases[i].host_mb * MB));
		for (size_t k = 0; k < G_N_ELEMENTS(cases[i].loads); k++) {
			start(r, &cases[i].loads[k]);
			end = MAX(end, cases[i].loads[k].until);
		}
		for (usec_t now = STEP; now <= end; now += STEP) {
			for (int p = 0; p < MEMORY_POOLS; p++) {
				while (memory_next(&r->memory,
					   (enum memory_pool)p, now) != NULL)
					;
			}
			for (size_t k = 0; k < r->n; k++)
				run_item(r, &r->items[k], now);
			check(r);
			for (size_t k = 0; k < G_N_ELEMENTS(cases[i].loads);
			     k++) {
				if (cases[i].loads[k].until == now)
					check_done(r, &cases[i].loads[k]);
			}
		}
		g_free(r);
	}
}

struct receiver {
	size_t held;
	size_t takes; /* bytes in each 100 ms */
};

static const struct {
	const char *name;
	bool wanted; /* answers wait for room */
	struct receiver receivers[3];
	int cut; /* index of the first that is broken off; -1: none */
} receiver_cases[] = {
	{ "nobody waits", false, { { 8 * MB, 0 } }, -1 },
	{ "the largest that takes nothing", true,
	    { { 4 * MB, 0 }, { 8 * MB, 0 }, { 2 * MB, 0 } }, 1 },
	{ "one that takes its answer is not broken off", true,
	    { { 8 * MB, 64 * KB }, { 4 * MB, 64 * KB } }, -1 },
	{ "a slow one, not a larger fast one", true,
	    { { 8 * MB, 64 * KB }, { 4 * MB, 1 * KB } }, 1 },
	{ "a stalled one before a larger one that takes a little", true,
	    { { 8 * MB, 1 * KB }, { 4 * MB, 0 } }, 1 },
	{ "the same, although it takes a byte now and then", true,
	    { { 8 * MB, 1 * KB }, { 4 * MB, 20 } }, 1 },
	{ "a stalled one whose end frees nothing", true,
	    { { 8 * MB, 1 * KB }, { 20 * KB, 0 } }, 0 },
	{ "one with few bytes beside large ones that are taken", true,
	    { { 8 * MB, 64 * KB }, { 20 * KB, 0 }, { 8 * MB, 64 * KB } }, -1 },
	{ "short answers, which hold up nobody", true,
	    { { 176, 0 }, { 1 * KB, 0 }, { 60 * KB, 0 } }, -1 },
};

static int
first_cut(struct memory *m, struct memory_holder *holders, size_t i)
{
	for (usec_t now = 0; now < 2000 * MS; now += 100 * MS) {
		const struct memory_holder *h = memory_slowest(m, now);

		if (h != NULL)
			return (int)(h - holders);
		for (size_t k = 0; k < 3; k++)
			memory_release(m, &holders[k],
			    receiver_cases[i].receivers[k].takes);
	}
	return -1;
}

/* Callers that don't take their answers hold up those of all others. */
static void
test_receivers(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(receiver_cases); i++) {
		struct memory m;
		struct memory_holder holders[3];
		struct memory_holder waiting;

		g_test_message("%s", receiver_cases[i].name);
		memory_init(&m, memory_limit_of(HOST_MB * MB));
		for (size_t k = 0; k < 3; k++) {
			memory_join(&m, &holders[k], MEMORY_UNSENT, NULL);
			memory_hold(&m, &holders[k],
			    receiver_cases[i].receivers[k].held, 0);
		}
		memory_join(&m, &waiting, MEMORY_ANSWER, NULL);
		if (receiver_cases[i].wanted) {
			memory_hold(
			    &m, &waiting, m.pools[MEMORY_ANSWERS].size, 0);
			g_assert_false(memory_may_read(&m, &waiting, 0, 0));
		}
		g_assert_cmpint(
		    first_cut(&m, holders, i), ==, receiver_cases[i].cut);
	}
}

/* Many slow receivers with few bytes each are broken off, too. */
static void
test_many_receivers(void)
{
	static struct memory_holder holders[200];
	struct memory m;
	struct memory_holder waiting;

	memory_init(&m, memory_limit_of(HOST_MB * MB));
	for (size_t i = 0; i < G_N_ELEMENTS(holders); i++) {
		memory_join(&m, &holders[i], MEMORY_UNSENT, NULL);
		memory_hold(&m, &holders[i], 40 * KB + i, 0);
	}
	memory_join(&m, &waiting, MEMORY_ANSWER, NULL);
	memory_hold(&m, &waiting, m.pools[MEMORY_ANSWERS].size, 0);
	g_assert_false(memory_may_read(&m, &waiting, 0, 0));
	for (usec_t now = 0; now < 500 * MS; now += 100 * MS)
		g_assert_null(memory_slowest(&m, now));
	g_assert_true(memory_slowest(&m, 500 * MS) ==
	    &holders[G_N_ELEMENTS(holders) - 1]);
}

/* In a standstill of this host no receiver can take anything. */
static void
test_standstill(void)
{
	struct memory m;
	struct memory_holder unsent;
	struct memory_holder waiting;
	usec_t now = 0;

	memory_init(&m, memory_limit_of(HOST_MB * MB));
	memory_join(&m, &unsent, MEMORY_UNSENT, NULL);
	memory_hold(&m, &unsent, 8 * MB, 0);
	memory_join(&m, &waiting, MEMORY_ANSWER, NULL);
	memory_hold(&m, &waiting, m.pools[MEMORY_ANSWERS].size, 0);
	g_assert_false(memory_may_read(&m, &waiting, 0, 0));
	g_assert_null(memory_slowest(&m, now));
	now += 700 * MS;
	for (usec_t end = now + 500 * MS; now < end; now += 10 * MS)
		g_assert_null(memory_slowest(&m, now));
	g_assert_true(memory_slowest(&m, now) == &unsent);
}

/* A request is refused at once by a full pool, or after it has waited. */
static void
test_refusals(void)
{
	struct memory m;
	struct memory_holder large;
	struct memory_holder small;
	size_t size;

	memory_init(&m, memory_limit_of(HOST_MB * MB));
	size = m.pools[MEMORY_REQUESTS].size;
	memory_join(&m, &large, MEMORY_REQUEST, NULL);
	memory_join(&m, &small, MEMORY_REQUEST, NULL);
	memory_hold(&m, &large, size - size / 16, 0);
	g_assert_false(memory_may_read(&m, &large, 0, 0));
	g_assert_false(memory_refuses(&m, &large, 0));
	g_assert_false(memory_refuses(&m, &small, 0));
	g_assert_true(memory_refuses(&m, &large, MEMORY_REQUEST_WAIT));
	memory_hold(&m, &large, size / 16 + 16, 0);
	g_assert_true(memory_refuses(&m, &small, 0));
	memory_leave(&m, &large);
	g_assert_false(memory_refuses(&m, &small, 0));
	g_assert_cmpuint(m.refused, ==, 2);
	g_assert_true(memory_fits(&m, MEMORY_REQUEST, 4 * MB));
	g_assert_true(memory_fits(&m, MEMORY_ANSWER, MAX_ANSWER_BYTES));
	g_assert_false(memory_fits(&m, MEMORY_REQUEST, size));
	memory_init(&m, memory_limit_of(0));
	g_assert_true(memory_fits(&m, MEMORY_REQUEST, MEMORY_ITEM));
	g_assert_true(memory_fits(&m, MEMORY_ANSWER, MEMORY_ITEM));
}

/* Requests without a declared length that are read at the same time. */
static const struct {
	const char *name;
	size_t host_mb;
	size_t n;
	size_t bytes; /* of each */
	size_t min_served;
} together_cases[] = {
	{ "two that have room together", 160, 2, 8 * MB, 2 },
	{ "two that exceed the pool together", 160, 2, 12 * MB, 1 },
	{ "three of them", 160, 3, 12 * MB, 1 },
	{ "two at a larger host", HOST_MB, 2, 20 * MB, 1 },
	{ "one that exceeds the pool", 160, 1, 24 * MB, 0 },
};

/*
 * Each is refused after it has waited for long.  Those that began to wait
 * together aren't all refused, as one has the room that another leaves.
 */
static void
test_together(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(together_cases); i++) {
		size_t bytes = together_cases[i].bytes;
		struct memory_holder h[3];
		bool ended[3] = { false };
		size_t served = 0;
		struct memory m;

		g_test_message("%s", together_cases[i].name);
		memory_init(
		    &m, memory_limit_of(together_cases[i].host_mb * MB));
		for (size_t k = 0; k < together_cases[i].n; k++)
			memory_join(&m, &h[k], MEMORY_REQUEST, NULL);
		for (usec_t now = STEP; now < 5000 * MS; now += STEP) {
			while (memory_next(&m, MEMORY_REQUESTS, now) != NULL)
				;
			for (size_t k = 0; k < together_cases[i].n; k++) {
				if (ended[k])
					continue;
				if (memory_may_read(&m, &h[k], 0, now))
					memory_hold(&m, &h[k], READ_BYTES, now);
				if (h[k].held >= bytes)
					served++;
				else if (!h[k].waiting ||
				    !memory_refuses(&m, &h[k], now))
					continue;
				ended[k] = true;
				memory_leave(&m, &h[k]);
			}
		}
		g_assert_cmpuint(served, >=, together_cases[i].min_served);
		g_assert_cmpuint(m.refused, ==, together_cases[i].n - served);
		g_assert_cmpuint(m.total, ==, 0);
	}
}

static const struct {
	enum memory_use use;
	size_t body_bytes;
	bool refused;
} complete_cases[] = {
	{ MEMORY_REQUEST, 0, true },
	{ MEMORY_REQUEST, 1, true },
	{ MEMORY_PEER, 0, false },
	{ MEMORY_PEER, 1, false },
	{ MEMORY_PEER, MEMORY_SMALL, true },
};

/* Operators look at a host also while it is short of memory. */
static void
test_complete_requests(void)
{
	struct memory m;
	struct memory_holder full;

	memory_init(&m, memory_limit_of(HOST_MB * MB));
	memory_join(&m, &full, MEMORY_REQUEST, NULL);
	memory_hold(&m, &full, m.pools[MEMORY_REQUESTS].size, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(complete_cases); i++) {
		struct memory_holder h;

		memory_join(&m, &h, complete_cases[i].use, NULL);
		memory_hold(&m, &h, 1 * KB + complete_cases[i].body_bytes, 0);
		g_assert_cmpint(memory_refuses_complete(
				    &m, &h, complete_cases[i].body_bytes, 0),
		    ==, complete_cases[i].refused);
		memory_leave(&m, &h);
	}
	g_assert_cmpuint(m.refused, ==, 3);
}

static void
test_names(void)
{
	for (int i = 0; i < MEMORY_USES; i++)
		g_assert_nonnull(memory_use_name((enum memory_use)i));
	g_assert_cmpuint(memory_keep_of(64 * MB), ==, 16 * MB);
}

/* What is complete, although its holder waits, has no place in the line. */
static void
test_complete(void)
{
	struct memory m;
	struct memory_holder full;
	struct memory_holder h;

	memory_init(&m, memory_limit_of(HOST_MB * MB));
	memory_join(&m, &full, MEMORY_ANSWER, NULL);
	memory_join(&m, &h, MEMORY_ANSWER, NULL);
	memory_hold(&m, &full, m.pools[MEMORY_ANSWERS].size, 0);
	g_assert_false(memory_may_read(&m, &h, 0, 0));
	memory_complete(&m, &h);
	g_assert_false(memory_has_waiting(&m, MEMORY_ANSWERS));
	memory_leave(&m, &full);
	g_assert_null(memory_next(&m, MEMORY_ANSWERS, 0));
}

/* The waits of an item are summed, and end with it. */
static void
test_waited(void)
{
	struct memory m;
	struct memory_holder full;
	struct memory_holder h;
	usec_t now = 0;

	memory_init(&m, memory_limit_of(HOST_MB * MB));
	memory_join(&m, &h, MEMORY_ANSWER, NULL);
	for (int i = 1; i <= 2; i++) {
		memory_join(&m, &full, MEMORY_ANSWER, NULL);
		memory_hold(&m, &full, m.pools[MEMORY_ANSWERS].size, now);
		g_assert_false(memory_may_read(&m, &h, 2 * MB, now));
		now += 100 * MS;
		g_assert_cmpint(memory_waited(&h, now), ==, i * 100 * MS);
		memory_leave(&m, &full);
		g_assert_true(memory_next(&m, MEMORY_ANSWERS, now) == &h);
		now += 50 * MS;
		g_assert_cmpint(memory_waited(&h, now), ==, i * 100 * MS);
		memory_hold(&m, &h, memory_room(&h), now);
	}
	memory_complete(&m, &h);
	g_assert_cmpint(memory_waited(&h, now), ==, 0);
}

/* Freed memory is returned, not more than once a second. */
static void
test_trims(void)
{
	struct memory m;
	struct memory_holder h;

	memory_init(&m, memory_limit_of(HOST_MB * MB));
	memory_join(&m, &h, MEMORY_ANSWER, NULL);
	g_assert_false(memory_trim_due(&m, 5000 * MS));
	memory_hold(&m, &h, 40 * MB, 5000 * MS);
	g_assert_false(memory_trim_due(&m, 5000 * MS));
	memory_release(&m, &h, 30 * MB);
	g_assert_true(memory_trim_due(&m, 5000 * MS));
	g_assert_false(memory_trim_due(&m, 5000 * MS));
	memory_release(&m, &h, 10 * MB);
	g_assert_false(memory_trim_due(&m, 5500 * MS));
	g_assert_true(memory_trim_due(&m, 6000 * MS));
	g_assert_cmpuint(m.highest, ==, 40 * MB);
}

/*
 * The first bytes of many large items, or many items of medium size, whose
 * holders then wait for room, leave some to small requests.
 */
static void
test_first_bytes(void)
{
	static const size_t needs[] = { 4 * MB, 0, 32 * 1024 };
	static struct memory_holder holders[1000];

	for (size_t i = 0; i < G_N_ELEMENTS(needs); i++) {
		struct memory_holder small;
		struct memory m;

		memory_init(&m, memory_limit_of(HOST_MB * MB));
		for (size_t k = 0; k < G_N_ELEMENTS(holders); k++) {
			memory_join(&m, &holders[k], MEMORY_REQUEST, NULL);
			if (memory_may_read(&m, &holders[k], needs[i], 0))
				memory_hold(&m, &holders[k], MEMORY_SMALL, 0);
		}
		g_assert_true(memory_has_waiting(&m, MEMORY_REQUESTS));
		memory_join(&m, &small, MEMORY_REQUEST, NULL);
		memory_hold(&m, &small, 1024, 0);
		g_assert_true(memory_may_read(&m, &small, 2048, 0));
		g_assert_false(memory_refuses(&m, &small, 0));
	}
}

/* Little items don't wait for larger ones that wait before them. */
static void
test_little(void)
{
	struct memory m;
	struct memory_holder held;
	struct memory_holder rest;
	struct memory_holder medium;
	struct memory_holder little;
	size_t size;

	memory_init(&m, memory_limit_of(HOST_MB * MB));
	size = m.pools[MEMORY_ANSWERS].size;
	memory_join(&m, &held, MEMORY_ANSWER, NULL);
	memory_join(&m, &rest, MEMORY_ANSWER, NULL);
	memory_join(&m, &medium, MEMORY_ANSWER, NULL);
	memory_join(&m, &little, MEMORY_ANSWER, NULL);
	memory_hold(&m, &held, size - size / 16, 0);
	g_assert_false(memory_may_read(&m, &medium, MEMORY_MEDIUM, 0));
	memory_hold(&m, &rest, size / 16, 0);
	g_assert_false(memory_may_read(&m, &little, MEMORY_LITTLE, 0));
	memory_leave(&m, &rest);
	g_assert_true(memory_next(&m, MEMORY_ANSWERS, 0) == &little);
}

/* Requests of callers fill the pool: small calls of other hosts have room. */
static void
test_peers(void)
{
	struct memory m;
	struct memory_holder callers;
	struct memory_holder call;
	struct memory_holder calls;
	struct memory_holder large;
	size_t size;

	memory_init(&m, memory_limit_of(HOST_MB * MB));
	size = m.pools[MEMORY_REQUESTS].size;
	memory_join(&m, &callers, MEMORY_REQUEST, NULL);
	memory_join(&m, &call, MEMORY_PEER, NULL);
	memory_join(&m, &calls, MEMORY_PEER, NULL);
	memory_join(&m, &large, MEMORY_PEER, NULL);
	memory_hold(&m, &callers, size, 0);
	memory_hold(&m, &call, 2048, 0);
	g_assert_false(memory_refuses(&m, &call, 0));
	memory_hold(&m, &large, MEMORY_SMALL, 0);
	g_assert_true(memory_refuses(&m, &large, 0));
	g_assert_false(memory_refuses(&m, &call, 0));
	memory_hold(&m, &calls, size / 16, 0);
	g_assert_true(memory_refuses(&m, &call, 0));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/memory/loads", test_loads);
	g_test_add_func("/memory/receivers", test_receivers);
	g_test_add_func("/memory/many-receivers", test_many_receivers);
	g_test_add_func("/memory/standstill", test_standstill);
	g_test_add_func("/memory/refusals", test_refusals);
	g_test_add_func("/memory/together", test_together);
	g_test_add_func("/memory/complete-requests", test_complete_requests);
	g_test_add_func("/memory/names", test_names);
	g_test_add_func("/memory/first-bytes", test_first_bytes);
	g_test_add_func("/memory/little", test_little);
	g_test_add_func("/memory/peers", test_peers);
	g_test_add_func("/memory/complete", test_complete);
	g_test_add_func("/memory/waited", test_waited);
	g_test_add_func("/memory/trims", test_trims);
	return g_test_run();
}
