#include "kernel/memory_state.h"

/*
 * Time between two looks at the receivers after which this host has been
 * standing still, or nobody was waiting: what they took isn't known.
 */
#define LOOK_PAUSE      (250 * USEC_PER_MSEC)
/* Part of a pool, in eighths, below which what is unsent holds up nobody. */
#define UNSENT_EIGHTHS  1
/* Part, in eighths, that answers beyond MEMORY_SMALL each may have unsent. */
#define BACKLOG_EIGHTHS 2
/* How far below the bound a paused answer is read on. */
#define RESUME_BYTES    MEMORY_LITTLE
/* How long holders wait until the slowest receiver is broken off. */
#define SLOW_WAIT       (500 * USEC_PER_MSEC)
/* Freed memory that is worth returning, and the pause between returns. */
#define TRIM_BYTES      ((size_t)8 * 1024 * 1024)
#define TRIM_PAUSE      (1 * USEC_PER_SEC)
/* Time without waiting holders after which the room is enough again. */
#define ENOUGH_TIME     (1 * USEC_PER_SEC)

static usec_t
oldest_wait(struct memory_share *s, usec_t now)
{
	GQueue *lines[] = { &s->little, &s->medium, &s->large };
	usec_t since = now;

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		const struct memory_holder *h = g_queue_peek_head(lines[i]);

		if (h != NULL)
			since = MIN(since, h->waits_since);
	}
	return now - since;
}

/* Whether a receiver took almost nothing, as far as that is known. */
static bool
is_slow(struct memory_holder *h, bool paused, usec_t now)
{
	if (paused || now - h->moved_since >= MOVE_TIME) {
		bool slow = !paused && h->moved < MOVE_BYTES;
		bool hung = !paused && h->moved < HUNG_BYTES;

		memory_start_moving(h, now);
		h->slow = slow;
		h->hung = hung;
	}
	return h->slow && h->moved < MOVE_BYTES;
}

bool
memory_reads_on(
    const struct memory *m, const struct memory_holder *h, bool paused)
{
	size_t part = m->pools[MEMORY_ANSWERS].size / 8 * BACKLOG_EIGHTHS;
	size_t left = part - MIN(part, m->held[MEMORY_UNSENT]);
	size_t limit = CLAMP(left, MEMORY_SMALL, MEMORY_BACKLOG);

	if (memory_has_waiting(m, MEMORY_ANSWERS))
		limit = MEMORY_SMALL;
	return h->held <= limit - (paused ? RESUME_BYTES : 0);
}

/* Whether its receiver has stalled, and breaking it off frees some room. */
static bool
is_stalled(const struct memory_holder *h)
{
	return h->hung && h->moved < HUNG_BYTES && h->held >= MEMORY_SMALL;
}

/* Whether a is broken off before b. */
static bool
is_before(const struct memory_holder *a, const struct memory_holder *b)
{
	if (is_stalled(a) != is_stalled(b))
		return is_stalled(a);
	return a->held > b->held;
}

struct memory_holder *
memory_slowest(struct memory *m, usec_t now)
{
	struct memory_share *s = &m->pools[MEMORY_ANSWERS];
	struct memory_holder *slowest = NULL;
	size_t least = s->size / 8 * UNSENT_EIGHTHS;
	size_t slow = 0;
	bool paused = now - m->looked_at > LOOK_PAUSE;
	bool wanted = !paused && oldest_wait(s, now) >= SLOW_WAIT &&
	    m->held[MEMORY_UNSENT] >= least;

	m->looked_at = now;

	for (GList *l = m->unsent.head; l != NULL; l = l->next) {
		struct memory_holder *h = l->data;

		if (h->held == 0 || !is_slow(h, paused, now))
			continue;
		slow += h->held;
		if (slowest == NULL || is_before(h, slowest))
			slowest = h;
	}
	/* Few bytes hold up nobody: others may have taken the room. */
	if (!wanted || slowest == NULL ||
	    (slowest->held < MEMORY_SMALL && slow < least))
		return NULL;
	memory_start_moving(slowest, now);
	m->cut++;
	return slowest;
}

bool
memory_trim_due(struct memory *m, usec_t now)
{
	if (m->peak - m->total < TRIM_BYTES || m->total > m->peak / 2 ||
	    now - m->trimmed_at < TRIM_PAUSE)
		return false;
	m->peak = m->total;
	m->trimmed_at = now;
	return true;
}

enum memory_change
memory_change(struct memory *m, usec_t now)
{
	bool waiting = false;

	for (int i = 0; i < MEMORY_POOLS; i++)
		waiting = waiting || memory_has_waiting(m, (enum memory_pool)i);
	if (waiting)
		m->short_at = now;
	if (waiting && !m->is_short) {
		m->is_short = true;
		return MEMORY_SHORT;
	}
	if (m->is_short && now - m->short_at >= ENOUGH_TIME) {
		m->is_short = false;
		return MEMORY_ENOUGH;
	}
	return MEMORY_SAME;
}
