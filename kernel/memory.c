#include "kernel/memory_state.h"

/* Part of a host's memory, in eighths; buffers and parsers take more. */
#define HOST_EIGHTHS     3
/* Part that ended requests may take, in eighths. */
#define KEEP_EIGHTHS     2
/* Parts of the bound that the pools get, in eighths. */
#define REQUESTS_EIGHTHS 3
#define ANSWERS_EIGHTHS  4
#define CONTROL_EIGHTHS  1
/* Part of a pool that large items leave to others, in sixteenths. */
#define LARGE_LEAVES     2
/* Part that medium ones leave to small ones. */
#define MEDIUM_LEAVES    1
/* Part that items of unknown length may take bit by bit. */
#define PARTIAL_PART     1
/* Reserved in that part first; then MEMORY_MEDIUM. */
#define PART_BYTES       (MEMORY_MEDIUM / 2)
/* Part of a pool, in sixteenths, that small calls of other hosts may take. */
#define PEERS_PART       1
/* With fewer bytes in MOVE_TIME, an item of unknown length is read slowly. */
#define SLOW_BYTES       ((size_t)256 * 1024)
/* How long smaller items pass the first of medium size that waits. */
#define PASS_TIME        (100 * USEC_PER_MSEC)
/* Shortest, and half the longest Retry-After. */
#define RETRY_AFTER      (500 * USEC_PER_MSEC)

enum memory_pool
memory_pool_of(enum memory_use use)
{
	switch (use) {
	case MEMORY_REQUEST:
	case MEMORY_PEER:
		return MEMORY_REQUESTS;
	case MEMORY_ANSWER:
	case MEMORY_UNSENT:
		return MEMORY_ANSWERS;
	case MEMORY_STORE:
	case MEMORY_PROBE:
	case MEMORY_USES:
		break;
	}
	return MEMORY_CONTROL;
}

const char *
memory_use_name(enum memory_use use)
{
	static const char *const names[MEMORY_USES] = {
		[MEMORY_REQUEST] = "request",
		[MEMORY_PEER] = "peer",
		[MEMORY_ANSWER] = "answer",
		[MEMORY_UNSENT] = "unsent",
		[MEMORY_STORE] = "store",
		[MEMORY_PROBE] = "probe",
	};

	return names[use];
}

static struct memory_share *
share_of(struct memory *m, const struct memory_holder *h)
{
	return &m->pools[memory_pool_of(h->use)];
}

static void
init_share(struct memory_share *s, size_t size)
{
	s->size = size;
	g_queue_init(&s->little);
	g_queue_init(&s->medium);
	g_queue_init(&s->large);
	g_queue_init(&s->reserved);
}

void
memory_init(struct memory *m, size_t limit)
{
	*m = (struct memory){ .limit = limit };
	init_share(&m->pools[MEMORY_REQUESTS], limit / 8 * REQUESTS_EIGHTHS);
	init_share(&m->pools[MEMORY_ANSWERS], limit / 8 * ANSWERS_EIGHTHS);
	init_share(&m->pools[MEMORY_CONTROL], limit / 8 * CONTROL_EIGHTHS);
	g_queue_init(&m->unsent);
}

size_t
memory_limit_of(size_t host_bytes)
{
	return MAX(host_bytes / 8 * HOST_EIGHTHS, MEMORY_MIN);
}

size_t
memory_keep_of(size_t limit)
{
	return limit / 8 * KEEP_EIGHTHS;
}

static GQueue *
list_of(struct memory *m, const struct memory_holder *h)
{
	return h->use == MEMORY_UNSENT ? &m->unsent : &share_of(m, h)->reserved;
}

/* Adds a holder to the reservations or the unsent, or removes it. */
static void
set_listed(struct memory *m, struct memory_holder *h, bool listed)
{
	if (listed && !h->listed)
		g_queue_push_tail_link(list_of(m, h), &h->listed_link);
	else if (!listed && h->listed)
		g_queue_unlink(list_of(m, h), &h->listed_link);
	h->listed = listed;
}

void
memory_join(
    struct memory *m, struct memory_holder *h, enum memory_use use, void *owner)
{
	*h = (struct memory_holder){
		.use = use, .most = MEMORY_ITEM, .owner = owner
	};
	h->line_link.data = h;
	h->listed_link.data = h;
	if (use == MEMORY_UNSENT)
		set_listed(m, h, true);
}

static size_t
commitment(const struct memory_holder *h)
{
	return MAX(h->held, h->reserved);
}

/* Sets what a holder holds and has reserved. */
static void
set_bytes(
    struct memory *m, struct memory_holder *h, size_t held, size_t reserved)
{
	struct memory_share *s = share_of(m, h);

	s->committed -= commitment(h);
	s->parts[h->part] -= commitment(h);
	m->held[h->use] = m->held[h->use] - h->held + held;
	m->total = m->total - h->held + held;
	h->held = held;
	h->reserved = reserved;
	s->committed += commitment(h);
	s->parts[h->part] += commitment(h);
	m->peak = MAX(m->peak, m->total);
	m->highest = MAX(m->highest, m->total);
}

static void
set_part(struct memory *m, struct memory_holder *h, enum memory_part part)
{
	struct memory_share *s = share_of(m, h);

	s->parts[h->part] -= commitment(h);
	h->part = part;
	s->parts[h->part] += commitment(h);
}

static void
stop_reading(struct memory_holder *h, usec_t now)
{
	if (h->reads_since > 0)
		h->read_time += now - h->reads_since;
	h->reads_since = 0;
}

static usec_t
reading_time(const struct memory_holder *h, usec_t now)
{
	return h->read_time + (h->reads_since > 0 ? now - h->reads_since : 0);
}

/* Whether the item was read with fewer bytes in each MOVE_TIME so far. */
static bool
is_slower(const struct memory_holder *h, size_t bytes, usec_t now)
{
	return (uint64_t)h->read * MOVE_TIME <
	    (uint64_t)bytes * (uint64_t)reading_time(h, now);
}

/* Whether it would lose a reservation. */
static bool
is_idle(const struct memory_holder *h, usec_t now)
{
	return reading_time(h, now) >= MOVE_TIME &&
	    is_slower(h, MOVE_BYTES, now);
}

static void
stop_waiting(struct memory_holder *h)
{
	if (h->waiting)
		g_queue_unlink(h->line, &h->line_link);
	h->waiting = false;
}

/* Items don't wait for larger ones, which may use less of the pool. */
static GQueue *
line_of(struct memory_share *s, const struct memory_holder *h)
{
	if (h->need > MEMORY_MEDIUM)
		return &s->large;
	return h->need > MEMORY_LITTLE ? &s->medium : &s->little;
}

/* Others wait in front of those that would not use the room. */
static void
add_to_line(struct memory_holder *h, usec_t now)
{
	GList *last = h->line->tail;

	while (!is_idle(h, now) && last != NULL && is_idle(last->data, now))
		last = last->prev;
	if (last != NULL)
		g_queue_insert_after_link(h->line, last, &h->line_link);
	else
		g_queue_push_head_link(h->line, &h->line_link);
}

static void
start_waiting(struct memory *m, struct memory_holder *h, usec_t now)
{
	stop_reading(h, now);
	h->line = line_of(share_of(m, h), h);
	h->waiting = true;
	h->waits_since = now;
	m->waits++;
	add_to_line(h, now);
}

void
memory_leave(struct memory *m, struct memory_holder *h)
{
	stop_waiting(h);
	set_listed(m, h, false);
	set_bytes(m, h, 0, 0);
	h->part = MEMORY_WHOLE;
}

void
memory_start_moving(struct memory_holder *h, usec_t now)
{
	h->moved = 0;
	h->moved_since = now;
	h->slow = false;
	h->hung = false;
}

void
memory_hold(struct memory *m, struct memory_holder *h, size_t n, usec_t now)
{
	if (h->use == MEMORY_UNSENT && h->held == 0)
		memory_start_moving(h, now);
	if (h->use != MEMORY_UNSENT) {
		h->moved += n;
		h->read += n;
	}
	set_bytes(m, h, h->held + n, h->reserved);
}

void
memory_release(struct memory *m, struct memory_holder *h, size_t n)
{
	n = MIN(n, h->held);
	if (h->use == MEMORY_UNSENT)
		h->moved += n;
	set_bytes(m, h, h->held - n, h->reserved);
}

/* Part of a pool for items of a size. */
static size_t
usable(const struct memory_share *s, const struct memory_holder *h)
{
	size_t leaves = 0;

	if (h->need > MEMORY_MEDIUM)
		leaves = LARGE_LEAVES;
	else if (h->need > MEMORY_LITTLE)
		leaves = MEDIUM_LEAVES;
	return s->size - s->size / 16 * leaves;
}

/* What is reserved at once: the first bytes of an unknown item one by one. */
static size_t
next_bytes(const struct memory_holder *h)
{
	return h->whole ? h->need : MIN(h->held + MEMORY_LITTLE, h->need);
}

static void
set_reserved(struct memory *m, struct memory_holder *h, size_t n,
    enum memory_part part, usec_t now)
{
	set_part(m, h, part);
	set_bytes(m, h, h->held, n);
	set_listed(m, h, true);
	memory_start_moving(h, now);
}

/* Part of a pool that all items may have, however large. */
static size_t
large_size(const struct memory_share *s)
{
	return s->size - s->size / 16 * LARGE_LEAVES;
}

/* Room for parts of items, beside that of a whole one, so that they can end. */
static size_t
parts_size(const struct memory_share *s)
{
	size_t large = large_size(s);

	return MIN(
	    s->size / 16 * PARTIAL_PART, large - MIN(large, MEMORY_ITEM));
}

/* What holders other than h have of items of which a part has room. */
static size_t
others_part(const struct memory_share *s, const struct memory_holder *h,
    enum memory_part part)
{
	return s->parts[part] - (h->part == part ? commitment(h) : 0);
}

/*
 * What the parts of items may have beyond parts_size, together with the first
 * bytes: it leaves room for a whole item of that size.
 */
static size_t
spare_size(const struct memory_share *s, size_t whole)
{
	size_t large = large_size(s) - parts_size(s);

	return large - MIN(large, whole);
}

/* What of n bytes of parts is beyond parts_size. */
static size_t
beyond_parts(const struct memory_share *s, size_t n)
{
	return n - MIN(n, parts_size(s));
}

static void
drop_reservation(struct memory *m, struct memory_holder *h)
{
	set_listed(m, h, false);
	set_bytes(m, h, h->held, 0);
}

/*
 * Whether a holder can lose its reservation: what it keeps then leaves room for
 * a whole item, so that not all wait for each other.  The waits of requests
 * end soon.
 */
static bool
can_drop(const struct memory_share *s, const struct memory_holder *h)
{
	size_t kept = s->parts[MEMORY_FIRST] + h->held;

	return memory_pool_of(h->use) != MEMORY_ANSWERS ||
	    h->part != MEMORY_WHOLE ||
	    (kept <= spare_size(s, MEMORY_ITEM) / 2 &&
		kept + beyond_parts(s, s->parts[MEMORY_MORE]) <=
		    spare_size(s, MEMORY_ITEM));
}

/*
 * Takes the reservations of those that read fewer bytes in MOVE_TIME, for
 * others.
 */
static void
drop_idle(struct memory *m, struct memory_share *s, size_t bytes, usec_t now)
{
	GList *next;

	for (GList *l = s->reserved.head; l != NULL; l = next) {
		struct memory_holder *h = l->data;
		size_t least = bytes;

		next = l->next;
		if (now - h->moved_since < MOVE_TIME)
			continue;
		/* A part is small, and needed until its item ends. */
		if (h->part == MEMORY_MORE)
			least = HUNG_BYTES;
		if (h->moved < least && can_drop(s, h)) {
			if (h->part == MEMORY_WHOLE)
				set_part(m, h, MEMORY_FIRST);
			drop_reservation(m, h);
		}
		memory_start_moving(h, now);
	}
}

/* Whether a part has room, beside those of others. */
static bool
part_fits(const struct memory_share *s, const struct memory_holder *h, size_t n)
{
	size_t parts = others_part(s, h, MEMORY_MORE) + n;

	/* So that one can go on to MEMORY_MEDIUM. */
	return parts + MEMORY_MEDIUM - n <= parts_size(s);
}

/* The same with what is spare. */
static bool
part_fits_spare(
    const struct memory_share *s, const struct memory_holder *h, size_t n)
{
	size_t beyond = beyond_parts(s, others_part(s, h, MEMORY_MORE) + n);
	size_t spare = spare_size(s, MEMORY_ITEM);

	return beyond <= spare / 2 &&
	    beyond + others_part(s, h, MEMORY_FIRST) <= spare;
}

/* Reserves the next part of an item of unknown length. */
static bool
reserve_part(struct memory *m, struct memory_holder *h, usec_t now)
{
	struct memory_share *s = share_of(m, h);
	bool slow = is_slower(h, SLOW_BYTES, now);
	size_t n = h->held < PART_BYTES ? PART_BYTES : MEMORY_MEDIUM;

	if (slow && part_fits_spare(s, h, MEMORY_MEDIUM))
		n = MEMORY_MEDIUM;
	else if (!part_fits(s, h, n))
		return false;
	if (h->declared || h->held < MEMORY_SMALL || n <= h->held ||
	    n > h->need || s->committed - commitment(h) + n > usable(s, h))
		return false;
	set_reserved(m, h, n, MEMORY_MORE, now);
	return true;
}

/*
 * Whether the next of the first bytes of an item of unknown length leave room
 * for a whole one, as otherwise each may wait for what the others hold.  Half
 * of what they may have is for those up to MEMORY_LITTLE.
 */
static bool
leaves_whole(const struct memory_share *s, const struct memory_holder *h)
{
	size_t first = others_part(s, h, MEMORY_FIRST) + h->held;
	size_t beyond = beyond_parts(s, s->parts[MEMORY_MORE]);
	size_t size = spare_size(s, h->most);

	if (h->held >= MEMORY_LITTLE)
		return first + MEMORY_LITTLE <= size / 2 &&
		    first + MEMORY_LITTLE + beyond <= size;
	return first + MEMORY_LITTLE + beyond <= size;
}

/* Whether there is room for an item, or its next bytes. */
static bool
fits_now(const struct memory_share *s, const struct memory_holder *h)
{
	size_t others = s->committed - commitment(h);
	size_t size = usable(s, h);

	if (!h->declared && h->whole) {
		others -= MIN(others_part(s, h, MEMORY_MORE), parts_size(s));
		size -= parts_size(s);
	}
	return others + next_bytes(h) <= size;
}

/*
 * Whether no other of its line is to have room before it.  Smaller items pass
 * the first of medium size for a while only, as a flow of them would use all
 * room as it becomes free.
 */
static bool
is_first(struct memory_share *s, const struct memory_holder *h, usec_t now)
{
	GQueue *line = line_of(s, h);
	const struct memory_holder *head = g_queue_peek_head(line);

	if (line == &s->little || head == NULL || head == h)
		return true;
	return line == &s->medium && now - head->waits_since < PASS_TIME;
}

/* Reserves room for the item, or its next bytes, if there is. */
static bool
reserve(struct memory *m, struct memory_holder *h, usec_t now)
{
	struct memory_share *s = share_of(m, h);
	bool first = is_first(s, h, now);

	if (is_slower(h, SLOW_BYTES, now) && reserve_part(m, h, now))
		return true;
	if (first && fits_now(s, h)) {
		set_reserved(m, h, next_bytes(h),
		    h->whole ? MEMORY_WHOLE : MEMORY_FIRST, now);
		return true;
	}
	if (reserve_part(m, h, now))
		return true;
	if (first)
		drop_idle(m, s, is_idle(h, now) ? HUNG_BYTES : MOVE_BYTES, now);
	return false;
}

static bool
has_room(struct memory *m, struct memory_holder *h, usec_t now)
{
	return h->held < h->reserved || reserve(m, h, now);
}

bool
memory_may_read(
    struct memory *m, struct memory_holder *h, size_t need, usec_t now)
{
	if (h->waiting)
		return false;
	if (h->reads_since == 0)
		h->reads_since = now;
	h->declared = need > 0;
	h->whole = h->declared || h->held >= MEMORY_SMALL ||
	    !leaves_whole(share_of(m, h), h);
	if (!h->declared)
		need = h->whole ? h->most : MIN(MEMORY_SMALL, h->most);
	h->need = need;
	/* It goes on beyond what was declared. */
	if (h->need <= h->held)
		h->need = h->held + MEMORY_SMALL;
	if (has_room(m, h, now))
		return true;
	start_waiting(m, h, now);
	return false;
}

usec_t
memory_waited(const struct memory_holder *h, usec_t now)
{
	return h->waited + (h->waiting ? now - h->waits_since : 0);
}

size_t
memory_room(const struct memory_holder *h)
{
	return h->reserved - MIN(h->reserved, h->held);
}

/* Returns the first of a line if it has room. */
static struct memory_holder *
next_of(struct memory *m, GQueue *line, usec_t now)
{
	struct memory_holder *h = g_queue_peek_head(line);

	return h != NULL && has_room(m, h, now) ? h : NULL;
}

/* Returns one that waits for room for a whole item and can have a part. */
static struct memory_holder *
next_part(struct memory *m, struct memory_share *s, usec_t now)
{
	for (GList *l = s->large.head; l != NULL; l = l->next) {
		struct memory_holder *h = l->data;

		if (reserve_part(m, h, now))
			return h;
	}
	return NULL;
}

struct memory_holder *
memory_next(struct memory *m, enum memory_pool pool, usec_t now)
{
	struct memory_share *s = &m->pools[pool];
	struct memory_holder *next = next_of(m, &s->little, now);

	if (next == NULL)
		next = next_of(m, &s->medium, now);
	/* Of those that wait longest for their bytes. */
	if (next == NULL)
		next = next_part(m, s, now);
	if (next == NULL)
		next = next_of(m, &s->large, now);
	if (next == NULL)
		return NULL;
	next->waited = memory_waited(next, now);
	stop_waiting(next);
	next->reads_since = now;
	return next;
}

void
memory_complete(struct memory *m, struct memory_holder *h)
{
	stop_waiting(h);
	h->waited = 0;
	h->read = 0;
	h->read_time = 0;
	h->reads_since = 0;
	if (h->reserved > 0)
		drop_reservation(m, h);
	set_part(m, h, MEMORY_WHOLE);
}

bool
memory_has_waiting(const struct memory *m, enum memory_pool pool)
{
	const struct memory_share *s = &m->pools[pool];

	return s->little.length > 0 || s->medium.length > 0 ||
	    s->large.length > 0;
}

size_t
memory_largest(const struct memory *m, enum memory_use use)
{
	return large_size(&m->pools[memory_pool_of(use)]);
}

bool
memory_fits(const struct memory *m, enum memory_use use, size_t n)
{
	return n <= memory_largest(m, use);
}

bool
memory_can_grow(const struct memory *m, enum memory_use use, size_t n)
{
	const struct memory_share *s = &m->pools[memory_pool_of(use)];

	return n < MEMORY_ITEM ||
	    n + MEMORY_SMALL <= large_size(s) - parts_size(s);
}

/* Whether it is a small call of another host, and such calls have room. */
static bool
has_peers_part(const struct memory *m, const struct memory_holder *h)
{
	const struct memory_share *s = &m->pools[MEMORY_REQUESTS];

	return h->use == MEMORY_PEER && h->held <= MEMORY_LITTLE &&
	    m->held[MEMORY_PEER] <= s->size / 16 * PEERS_PART;
}

/* Whether memory_next is to return it, as room has become free just now. */
static bool
is_next(const struct memory_share *s, const struct memory_holder *h)
{
	return g_queue_peek_head(h->line) == h && fits_now(s, h);
}

bool
memory_refuses(struct memory *m, struct memory_holder *h, usec_t now)
{
	const struct memory_share *s = share_of(m, h);
	size_t leaves = h->held > MEMORY_LITTLE ? MEDIUM_LEAVES : 0;
	bool refused = h->waiting
	    ? s->committed >= s->size ||
		(now - h->waits_since >= MEMORY_REQUEST_WAIT && !is_next(s, h))
	    : s->committed >= s->size - s->size / 16 * leaves;

	if (!h->waiting && has_peers_part(m, h))
		refused = false;
	if (refused)
		m->refused++;
	return refused;
}

bool
memory_refuses_complete(
    struct memory *m, struct memory_holder *h, size_t body_bytes, usec_t now)
{
	if (h->use == MEMORY_PEER && body_bytes == 0)
		return false;
	return memory_refuses(m, h, now);
}

usec_t
memory_retry_after(uint64_t salt)
{
	return RETRY_AFTER + (usec_t)(salt % RETRY_AFTER);
}
