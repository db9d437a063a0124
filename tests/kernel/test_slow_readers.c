/*
 * Replays of streams whose callers read slowly, and of targets that cut off a
 * response of which nothing was read for two seconds.  Against a fault in which
 * a host that has room stops to read until a caller has taken all, so that the
 * target cuts off the stream of a caller that is slow but sound.
 */
#include "kernel/memory.h"

#define MS         USEC_PER_MSEC
#define MB         ((size_t)1024 * 1024)
#define KB         ((size_t)1024)
#define STEP       (10 * MS)
#define CUT_TIME   (2000 * MS)
#define END        (120 * 1000 * MS)
#define READ_BYTES MEMORY_LITTLE /* of one answer in one step */
#define MAX_READS  300

struct reader {
	struct memory_holder answer;
	struct memory_holder unsent;
	size_t left; /* at the target */
	size_t owed; /* to the caller, of what it takes in a second */
	size_t takes;
	usec_t read_at;
	bool paused;
	bool cut;
	bool broken_off;
	usec_t done_at; /* 0: not yet */
};

static const struct replay_case {
	const char *name;
	size_t host_mb;
	size_t n;
	size_t bytes; /* of each stream */
	size_t takes; /* bytes of each caller in a second */
	size_t max_cut;
	bool all_served;
} cases[] = {
	{ "one caller on a slow line", 120, 1, 1 * MB, 40 * KB, 0, true },
	{ "some of them", 120, 4, 700 * KB, 40 * KB, 0, true },
	{ "many with small answers", 120, 80, 200 * KB, 40 * KB, 0, true },
	{ "streams of more than the host holds", 120, 200, 4 * MB, 40 * KB, 0,
	    true },
	{ "callers that keep pace", 120, 8, 4 * MB, 700 * KB, 0, true },
	{ "callers that take nothing", 120, 200, 4 * MB, 0, 200 },
};

/* The host reads, and the caller takes, what they may in a step. */
static void
step(struct memory *m, struct reader *r, usec_t now)
{
	size_t n;

	r->owed += r->takes * (size_t)STEP / USEC_PER_SEC;
	n = MIN(r->owed, r->unsent.held);
	r->owed -= n;
	memory_release(m, &r->unsent, n);
	r->paused = !memory_reads_on(m, &r->unsent, r->paused);
	if (r->left > 0 && !r->paused &&
	    memory_may_read(m, &r->answer, READ_BYTES, now)) {
		n = MIN(r->left, READ_BYTES);
		r->left -= n;
		r->read_at = now;
		memory_complete(m, &r->answer);
		memory_hold(m, &r->unsent, n, now);
	}
	if (r->left > 0 && now - r->read_at >= CUT_TIME)
		r->cut = true;
	if (r->left == 0 && r->unsent.held == 0)
		r->done_at = now;
}

static void
end_reader(struct memory *m, struct reader *r)
{
	memory_leave(m, &r->answer);
	memory_leave(m, &r->unsent);
}

static bool
has_ended(const struct reader *r)
{
	return r->cut || r->broken_off || r->done_at > 0;
}

static void
run(struct memory *m, struct reader *readers, size_t n, usec_t now)
{
	struct memory_holder *slowest;

	while (memory_next(m, MEMORY_ANSWERS, now) != NULL)
		;
	if (memory_has_waiting(m, MEMORY_ANSWERS) &&
	    (slowest = memory_slowest(m, now)) != NULL) {
		struct reader *r = slowest->owner;

		r->broken_off = true;
		end_reader(m, r);
	}
	for (size_t i = 0; i < n; i++) {
		if (has_ended(&readers[i]))
			continue;
		step(m, &readers[i], now);
		if (has_ended(&readers[i]))
			end_reader(m, &readers[i]);
	}
	g_assert_cmpuint(m->pools[MEMORY_ANSWERS].committed, <=,
	    m->pools[MEMORY_ANSWERS].size);
	g_assert_cmpuint(
	    m->held[MEMORY_UNSENT], <=, m->pools[MEMORY_ANSWERS].size);
}

/* A small answer has room beside all slow ones, at once or soon. */
static usec_t
small_wait(struct memory *m, usec_t now)
{
	struct memory_holder h;
	bool may;

	memory_join(m, &h, MEMORY_ANSWER, NULL);
	may = memory_may_read(m, &h, MEMORY_LITTLE, now);
	memory_leave(m, &h);
	return may ? 0 : STEP;
}

static void
test_replays(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct replay_case *c = &cases[i];
		struct reader *readers = g_new0(struct reader, MAX_READS);
		struct memory m;
		size_t cut = 0;
		size_t served = 0;
		usec_t small = 0;

		memory_init(&m, memory_limit_of(c->host_mb * MB));
		for (size_t k = 0; k < c->n; k++) {
			struct reader *r = &readers[k];

			memory_join(&m, &r->answer, MEMORY_ANSWER, r);
			memory_join(&m, &r->unsent, MEMORY_UNSENT, r);
			r->left = c->bytes;
			r->takes = c->takes;
		}
		for (usec_t now = STEP; now < END; now += STEP) {
			run(&m, readers, c->n, now);
			small += small_wait(&m, now);
		}
		for (size_t k = 0; k < c->n; k++) {
			cut += readers[k].cut;
			served += readers[k].done_at > 0;
			end_reader(&m, &readers[k]);
		}
		g_test_message("%s: %zu served, %zu cut, %" G_GUINT64_FORMAT
			       " broken off, %" G_GINT64_FORMAT
			       " ms without room for a small answer",
		    c->name, served, cut, m.cut, (gint64)(small / MS));
		g_assert_cmpuint(cut, <=, c->max_cut);
		if (c->all_served)
			g_assert_cmpuint(served, ==, c->n);
		g_assert_cmpint(small, ==, 0);
		g_assert_cmpuint(m.total, ==, 0);
		g_free(readers);
	}
}

/* What is unsent beside the answer, and whether that is read on. */
static const struct {
	const char *name;
	size_t host_mb;
	size_t held;
	size_t others;
	bool waits; /* another answer has no room */
	bool paused;
	bool reads;
} bounds[] = {
	{ "little", 120, 60 * KB, 0, false, false, true },
	{ "much, of a host with room", 120, 1 * MB, 0, false, false, true },
	{ "as much as one may", 120, MEMORY_BACKLOG, 0, false, false, true },
	{ "more", 120, MEMORY_BACKLOG + 1, 0, false, false, false },
	{ "much, beside as much of others", 120, 1 * MB, 5 * MB, false, false,
	    false },
	{ "little, beside that", 120, MEMORY_SMALL, 5 * MB, false, false,
	    true },
	{ "much, while others wait", 120, 1 * MB, 0, true, false, false },
	{ "little, while others wait", 120, MEMORY_SMALL, 0, true, false,
	    true },
	{ "just below the bound, paused", 120, MEMORY_BACKLOG - 1, 0, false,
	    true, false },
	{ "a step below it, paused", 120, MEMORY_BACKLOG - MEMORY_LITTLE, 0,
	    false, true, true },
};

static void
test_bounds(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
		struct memory m;
		struct memory_holder h;
		struct memory_holder others;
		struct memory_holder waiting;

		memory_init(&m, memory_limit_of(bounds[i].host_mb * MB));
		memory_join(&m, &h, MEMORY_UNSENT, NULL);
		memory_join(&m, &others, MEMORY_UNSENT, NULL);
		memory_join(&m, &waiting, MEMORY_ANSWER, NULL);
		memory_hold(&m, &h, bounds[i].held, 0);
		memory_hold(&m, &others, bounds[i].others, 0);
		if (bounds[i].waits) {
			memory_hold(
			    &m, &waiting, m.pools[MEMORY_ANSWERS].size, 0);
			g_assert_false(memory_may_read(&m, &waiting, 0, 0));
		}
		g_test_message("%s", bounds[i].name);
		g_assert_cmpint(memory_reads_on(&m, &h, bounds[i].paused), ==,
		    bounds[i].reads);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/slow-readers/replays", test_replays);
	g_test_add_func("/slow-readers/bounds", test_bounds);
	return g_test_run();
}
