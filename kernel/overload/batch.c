#include "kernel/overload/batch.h"

/*
 * Pieces that cost less than this share of a call's own cost are not split over
 * several calls.
 */
#define SPLIT_SHARE         0.25
/* Time that each rank adds to the sort time. */
#define RANK_STEP           (2000 * USEC_PER_MSEC)
/* Ranks that are added to a late piece. */
#define LATE_RANKS          6.0
/* Pieces of a call that shows whether a target is still slow. */
#define PROBE_PIECES        4
/* Minimum share of the targets for less urgent pieces. */
#define MIN_SHARE           0.1
/* Time over which arrival rates are smoothed. */
#define RATE_SPAN           (2 * USEC_PER_SEC)
/*
 * Time that a piece waits for a target in the domain of its inputs, or for
 * another one than that which failed it.
 */
#define LOCAL_WAIT          (200 * USEC_PER_MSEC)
/* The measured costs are within this factor of the configured ones. */
#define MAX_COST_FACTOR     4.0
/* A call is lost after this many times its expected duration. */
#define CALL_TIMEOUT_FACTOR 5
/* Weight of a new sample in the moving average. */
#define AVERAGE_WEIGHT      0.1
/*
 * Share of the capacity that is surely left for less urgent pieces: how long
 * more urgent ones keep arriving is not known.
 */
#define SURE_MIN_SHARE      0.2
/*
 * A piece is hopeless if its turn comes too late even in this share of the
 * estimated wait: the estimate must be clearly over the time that is left.
 */
#define SURE_SHARE          0.75

void
batch_init(struct batch *b, const struct pool_config *config)
{
	b->items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));
	b->config = *config;
	b->call_usec = (double)config->call_cost;
	b->item_usec = (double)config->item_cost;
	b->throughput = (struct throughput){ 0 };
	b->pace = (struct call_pace){ 0 };
	b->last_owner = NULL;
	b->n_owners = 0;
}

/* Factor by which the arrival rates have decayed since the last arrival. */
static double
decay(const struct batch *b, usec_t now)
{
	double t = (double)(now - b->rates_at) / (double)RATE_SPAN;

	return t < 1 ? 1 - t : 0;
}

/* Updates the moving average of arriving pieces per second. */
static void
record_arrival(struct batch *b, const struct batch_item *it)
{
	uint32_t rank = it->rank < BATCH_RANKS ? it->rank : BATCH_RANKS - 1;
	double factor = decay(b, it->queued);

	for (uint32_t i = 0; i < BATCH_RANKS; i++)
		b->rates[i] *= factor;
	b->rates[rank] += (double)USEC_PER_SEC / (double)RATE_SPAN;
	b->rates_at = it->queued;
}

void
batch_add(struct batch *b, const struct batch_item *it)
{
	if (b->items->len == 0)
		throughput_idle(&b->throughput, it->queued);
	g_array_append_vals(b->items, it, 1);
	b->n_owners += it->owner != b->last_owner;
	b->last_owner = it->owner;
	g_array_index(b->items, struct batch_item, b->items->len - 1).order =
	    b->n_owners;
	record_arrival(b, it);
}

void
batch_remove_owner(struct batch *b, const void *owner)
{
	guint kept = 0;

	for (guint i = 0; i < b->items->len; i++) {
		struct batch_item it =
		    g_array_index(b->items, struct batch_item, i);

		if (it.owner != owner)
			g_array_index(b->items, struct batch_item, kept++) = it;
	}
	g_array_set_size(b->items, kept);
}

static usec_t
call_duration(const struct batch *b, uint32_t n)
{
	return (usec_t)(b->call_usec + b->item_usec * n);
}

/* Context of a comparison by sort_time(). */
struct sort_ctx {
	usec_t earliest; /* end of a call that starts now */
	uint32_t domain;
	bool least_urgent_first;
};

static bool
is_remote(const struct batch_item *it, uint32_t domain)
{
	return it->domain != 0 && it->domain != domain;
}

/* Time by which pieces are sorted. */
static usec_t
sort_time(const struct batch_item *it, const struct sort_ctx *ctx)
{
	double ranks =
	    it->rank + (it->soft_deadline < ctx->earliest ? LATE_RANKS : 0);

	usec_t time = it->soft_deadline + (usec_t)(ranks * RANK_STEP) +
	    (is_remote(it, ctx->domain) ? LOCAL_WAIT : 0) -
	    (it->avoid != 0 ? RANK_STEP : 0);

	return ctx->least_urgent_first ? -time : time;
}

/* A waiting piece with its sort time, which is computed once. */
struct sort_entry {
	usec_t time;
	uint32_t index; /* in the array of waiting pieces */
};

static bool
goes_before(const struct batch *b, const struct sort_entry *x,
    const struct sort_entry *y)
{
	const struct batch_item *p;
	const struct batch_item *q;

	if (x->time != y->time)
		return x->time < y->time;
	p = &g_array_index(b->items, struct batch_item, x->index);
	q = &g_array_index(b->items, struct batch_item, y->index);
	return p->order != q->order ? p->order < q->order : p->piece < q->piece;
}

static void
sift_down(const struct batch *b, struct sort_entry *heap, guint n, guint i)
{
	for (;;) {
		guint first = i;
		guint left = 2 * i + 1;
		struct sort_entry tmp;

		if (left < n && goes_before(b, &heap[left], &heap[first]))
			first = left;
		if (left + 1 < n &&
		    goes_before(b, &heap[left + 1], &heap[first]))
			first = left + 1;
		if (first == i)
			return;
		tmp = heap[i];
		heap[i] = heap[first];
		heap[first] = tmp;
		i = first;
	}
}

/*
 * Returns the waiting pieces as a heap, the most urgent on top; free with
 * g_free.  A call takes few of many pieces, so they are not sorted as a whole.
 */
static struct sort_entry *
heap_by_urgency(const struct batch *b, const struct sort_ctx *ctx)
{
	guint n = b->items->len;
	struct sort_entry *heap = g_new0(struct sort_entry, n);

	for (guint i = 0; i < n; i++)
		heap[i] =
		    (struct sort_entry){ sort_time(&g_array_index(b->items,
						       struct batch_item, i),
					     ctx),
			    i };
	for (guint i = n / 2; i-- > 0;)
		sift_down(b, heap, n, i);
	return heap;
}

/* Removes the most urgent piece from a heap of *n and returns its index. */
static uint32_t
heap_pop(const struct batch *b, struct sort_entry *heap, guint *n)
{
	uint32_t index = heap[0].index;

	heap[0] = heap[--*n];
	sift_down(b, heap, *n, 0);
	return index;
}

static uint32_t
call_size(const struct batch *b, uint32_t free_targets)
{
	uint32_t waiting = b->items->len;
	uint32_t min_size =
	    (uint32_t)(SPLIT_SHARE * b->call_usec / b->item_usec) + 1;
	uint32_t share = (waiting + free_targets - 1) / free_targets;

	if (share < min_size)
		share = min_size;
	if (share > b->config.batch)
		share = b->config.batch;
	return share < waiting ? share : waiting;
}

/* Removes the pieces whose owner is NULL. */
static void
compact(struct batch *b)
{
	guint kept = 0;

	for (guint i = 0; i < b->items->len; i++) {
		const struct batch_item *it =
		    &g_array_index(b->items, struct batch_item, i);

		if (it->owner == NULL)
			continue;
		if (kept != i)
			g_array_index(b->items, struct batch_item, kept) = *it;
		kept++;
	}
	g_array_set_size(b->items, kept);
}

usec_t
batch_remote_wait(const struct batch *b)
{
	return b->config.call_cost / 2;
}

/* Whether a piece waits for a target in the domain of its inputs. */
static bool
stays_near(const struct batch *b, const struct batch_item *it,
    const struct batch_target *t, usec_t now)
{
	usec_t wait =
	    t->local_only ? call_duration(b, b->config.batch) : t->remote_wait;

	return is_remote(it, t->domain) && now - it->queued < wait;
}

/* Whether a target with so much free space can take the piece now. */
static bool
fits(const struct batch *b, const struct batch_item *it,
    const struct batch_target *t, uint64_t free_bytes, usec_t now)
{
	return it->bytes <= free_bytes &&
	    !(it->avoid != 0 && it->avoid == t->id &&
		now - it->queued < LOCAL_WAIT) &&
	    !stays_near(b, it, t, now) &&
	    (t->slower_by == 0 || now + t->slower_by < it->deadline);
}

static bool
any_fits(const struct batch *b, const struct batch_target *t, usec_t now)
{
	for (guint i = 0; i < b->items->len; i++) {
		if (fits(b, &g_array_index(b->items, struct batch_item, i), t,
			t->free_bytes, now))
			return true;
	}
	return false;
}

/*
 * Returns how many pieces the time of a call could have served.  A call that
 * was not full because no more pieces waited for the target says that there is
 * capacity left, unless the target could not take some that did.
 */
static uint32_t
taken_capacity(const struct batch *b, uint32_t taken, bool short_of_room)
{
	if (short_of_room)
		return taken;
	return (uint32_t)(b->config.batch * (double)call_duration(b, taken) /
	    (double)call_duration(b, b->config.batch));
}

uint32_t
batch_calls(const struct batch *b, uint32_t targets, usec_t now)
{
	uint32_t full = b->items->len / b->config.batch;
	uint32_t due = call_pace_calls(&b->pace, targets, now);

	return due > full ? due : full;
}

usec_t
batch_next_call(const struct batch *b, uint32_t targets)
{
	return call_pace_due(&b->pace, targets);
}

uint32_t
batch_first_domain(const struct batch *b)
{
	const struct batch_item *first = NULL;

	for (guint i = 0; i < b->items->len; i++) {
		const struct batch_item *it =
		    &g_array_index(b->items, struct batch_item, i);

		if (first == NULL || it->queued < first->queued)
			first = it;
	}
	return first != NULL ? first->domain : 0;
}

void
batch_take(struct batch *b, usec_t now, uint32_t free_targets,
    const struct batch_target *t, GArray *out)
{
	uint32_t n = call_size(b, free_targets > 0 ? free_targets : 1);
	struct sort_ctx ctx = { now + call_duration(b, n), t->domain,
		t->use == TARGET_USE_LAST || t->use == TARGET_USE_PROBE };
	uint64_t free_bytes = t->free_bytes;
	guint left = b->items->len;
	struct sort_entry *heap;
	bool refused = false;

	if (t->use == TARGET_LEAVE || !any_fits(b, t, now))
		return;
	if (t->use == TARGET_USE_PROBE && n > PROBE_PIECES)
		n = PROBE_PIECES;
	heap = heap_by_urgency(b, &ctx);
	while (left > 0 && out->len < n) {
		struct batch_item *it = &g_array_index(
		    b->items, struct batch_item, heap_pop(b, heap, &left));

		if (!fits(b, it, t, free_bytes, now)) {
			refused = refused || !stays_near(b, it, t, now);
			continue;
		}
		free_bytes -= it->bytes;
		g_array_append_vals(out, it, 1);
		it->owner = NULL;
	}
	g_free(heap);
	compact(b);
	throughput_add(&b->throughput,
	    taken_capacity(b, out->len, refused && out->len < n), now);
	if (out->len > 0 && t->use == TARGET_USE)
		call_pace_begin(&b->pace, call_duration(b, out->len), now);
	if (b->items->len == 0)
		throughput_idle(&b->throughput, now);
}

/* Pieces per second that the targets can take. */
static double
capacity(const struct batch *b, uint32_t targets, usec_t now)
{
	double full_call =
	    (double)call_duration(b, b->config.batch) / USEC_PER_SEC;

	return throughput_rate(
	    &b->throughput, now, targets * b->config.batch / full_call);
}

/* Time in which a number of fast targets take all pieces that wait. */
static usec_t
backlog(const struct batch *b, uint32_t targets)
{
	usec_t full_call = call_duration(b, b->config.batch);

	if (targets == 0)
		return INT64_MAX;
	return b->items->len * full_call / (targets * b->config.batch);
}

void
batch_plan_speed(const struct batch *b, const struct target_speed *speed,
    const struct target_speeds *all, uint32_t free_targets, usec_t now,
    struct batch_target *t)
{
	usec_t call =
	    call_duration(b, call_size(b, free_targets > 0 ? free_targets : 1));
	double excess = target_speed_relative(speed, all) - 1;

	t->use = target_speed_use(speed, all, call, backlog(b, all->fast), now);
	if (t->use != TARGET_USE)
		t->slower_by = (usec_t)(excess * (double)call);
}

/* Arriving pieces per second that go before those of a rank. */
static double
rate_before(const struct batch *b, uint32_t rank, usec_t now)
{
	double sum = 0;

	for (uint32_t i = 0; i < rank && i < BATCH_RANKS; i++)
		sum += b->rates[i];
	return sum * decay(b, now);
}

/* Pieces per second that are left for a rank of the capacity all. */
static double
spare_rate(const struct batch *b, double all, uint32_t rank, double min_share,
    usec_t now)
{
	double spare = all - rate_before(b, rank, now);

	return spare > min_share * all ? spare : min_share * all;
}

/* Arrivals of the ranks before this one go before the piece. */
static uint32_t
rank_after(const struct batch_item *it, const struct sort_ctx *ctx)
{
	return it->soft_deadline < ctx->earliest ? BATCH_RANKS : it->rank;
}

void
batch_hopeless(struct batch *b, uint32_t targets, usec_t now, GPtrArray *owners)
{
	double per_second = capacity(b, targets > 0 ? targets : 1, now);
	struct sort_ctx ctx = { .earliest = now + call_duration(b, 1) };
	guint left = b->items->len;
	usec_t longest = (usec_t)(SURE_SHARE * left /
	    spare_rate(b, per_second, BATCH_RANKS, SURE_MIN_SHARE, now) *
	    USEC_PER_SEC);
	usec_t earliest = INT64_MAX;
	struct sort_entry *heap;
	uint32_t before = 0;

	for (guint i = 0; i < left; i++) {
		const struct batch_item *it =
		    &g_array_index(b->items, struct batch_item, i);

		if (it->deadline < earliest)
			earliest = it->deadline;
	}
	if (left == 0 || now + longest < earliest)
		return;
	heap = heap_by_urgency(b, &ctx);
	while (left > 0) {
		const struct batch_item *it = &g_array_index(
		    b->items, struct batch_item, heap_pop(b, heap, &left));
		usec_t wait = (usec_t)(SURE_SHARE * before /
		    spare_rate(b, per_second, rank_after(it, &ctx),
			SURE_MIN_SHARE, now) *
		    USEC_PER_SEC);
		bool known = owners->len > 0 &&
		    owners->pdata[owners->len - 1] == it->owner;

		if (!known && now + wait < it->deadline)
			before++;
		else if (!known)
			g_ptr_array_add(owners, it->owner);
	}
	g_free(heap);
}

usec_t
batch_min_duration(const struct batch *b)
{
	return call_duration(b, 1);
}

/* Number of waiting pieces that go before this one. */
static uint32_t
count_before(const struct batch *b, const struct batch_item *it, usec_t now)
{
	struct sort_ctx ctx = { .earliest = now + call_duration(b, 1),
		.domain = it->domain };
	usec_t own_time = sort_time(it, &ctx);
	uint32_t before = 0;

	for (guint i = 0; i < b->items->len; i++)
		before +=
		    sort_time(&g_array_index(b->items, struct batch_item, i),
			&ctx) < own_time;
	return before;
}

usec_t
batch_estimate(const struct batch *b, uint32_t targets,
    const struct batch_item *it, usec_t now)
{
	double spare =
	    spare_rate(b, capacity(b, targets, now), it->rank, MIN_SHARE, now);

	return now + call_duration(b, b->config.batch / 2) +
	    (usec_t)(count_before(b, it, now) / spare * USEC_PER_SEC);
}

static double
clamp(double v, double min, double max)
{
	return v < min ? min : v > max ? max : v;
}

void
batch_record(struct batch *b, uint32_t n, usec_t duration)
{
	double expected = (double)call_duration(b, n);
	double call = (double)b->config.call_cost;
	double item = (double)b->config.item_cost;
	double factor;

	if (n == 0 || expected <= 0)
		return;
	/* One slow target must not stop admission. */
	factor = clamp(
	    (double)duration / expected, 1 / MAX_COST_FACTOR, MAX_COST_FACTOR);
	factor = 1 + AVERAGE_WEIGHT * (factor - 1);
	b->call_usec = clamp(b->call_usec * factor, call / MAX_COST_FACTOR,
	    call * MAX_COST_FACTOR);
	b->item_usec = clamp(b->item_usec * factor, item / MAX_COST_FACTOR,
	    item * MAX_COST_FACTOR);
}

usec_t
batch_long_duration(const struct batch *b, uint32_t n)
{
	usec_t configured = b->config.call_cost + b->config.item_cost * n;
	usec_t measured = call_duration(b, n);

	return measured > configured ? measured : configured;
}

usec_t
batch_call_timeout(const struct batch *b, uint32_t n)
{
	return CALL_TIMEOUT_FACTOR * batch_long_duration(b, n);
}

usec_t
batch_least_wait(const struct batch *b, uint32_t targets,
    const struct batch_item *it, usec_t now)
{
	uint32_t before = count_before(b, it, now);

	return batch_min_duration(b) +
	    (usec_t)(before / capacity(b, targets, now) * USEC_PER_SEC);
}

bool
batch_admits(const struct batch *b, uint32_t targets,
    const struct batch_item *it, usec_t now)
{
	usec_t wait = batch_least_wait(b, targets, it, now);

	return now + (usec_t)(SURE_SHARE * (double)wait) < it->deadline;
}

void
batch_free(struct batch *b)
{
	g_array_unref(b->items);
}
