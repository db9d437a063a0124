#include "kernel/batch.h"

/*
 * Pieces that cost less than this share of a call's own cost are not split over
 * several calls.
 */
#define SPLIT_SHARE    0.25
/* Time that each rank adds to the sort time. */
#define RANK_STEP      (2000 * USEC_PER_MSEC)
/* Ranks that are added to a late piece. */
#define LATE_RANKS     6.0
/* Minimum share of the targets for less urgent pieces. */
#define MIN_SHARE      0.1
/* Time over which arrival rates are smoothed. */
#define RATE_SPAN      (2 * USEC_PER_SEC)
/* Time that a piece waits for a target in the domain of its inputs. */
#define LOCAL_WAIT     (200 * USEC_PER_MSEC)
/* Weight of a new sample in the moving average. */
#define AVERAGE_WEIGHT 0.1

void
batch_init(struct batch *b, const struct pool_config *config)
{
	b->items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));
	b->config = *config;
	b->call_usec = (double)config->call_cost;
	b->item_usec = (double)config->item_cost;
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
	g_array_append_vals(b->items, it, 1);
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

	return it->soft_deadline + (usec_t)(ranks * RANK_STEP) +
	    (is_remote(it, ctx->domain) ? LOCAL_WAIT : 0);
}

static gint
by_urgency(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct batch_item *x = a;
	const struct batch_item *y = b;
	const struct sort_ctx *ctx = arg;
	usec_t p = sort_time(x, ctx);
	usec_t q = sort_time(y, ctx);

	if (p != q)
		return p < q ? -1 : 1;
	if (x->owner != y->owner)
		return x->owner < y->owner ? -1 : 1;
	return x->piece < y->piece ? -1 : x->piece > y->piece;
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

void
batch_take(struct batch *b, usec_t now, uint32_t free_targets,
    const struct batch_target *t, GArray *out)
{
	uint32_t n = call_size(b, free_targets > 0 ? free_targets : 1);
	struct sort_ctx ctx = { now + call_duration(b, n), t->domain };
	uint64_t free_bytes = t->free_bytes;
	guint kept = 0;

	g_array_sort_with_data(b->items, by_urgency, &ctx);
	for (guint i = 0; i < b->items->len; i++) {
		struct batch_item it =
		    g_array_index(b->items, struct batch_item, i);

		if (out->len < n && it.bytes <= free_bytes &&
		    !(t->local_only && is_remote(&it, t->domain))) {
			free_bytes -= it.bytes;
			g_array_append_val(out, it);
		} else {
			g_array_index(b->items, struct batch_item, kept++) = it;
		}
	}
	g_array_set_size(b->items, kept);
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

usec_t
batch_estimate(const struct batch *b, uint32_t targets,
    const struct batch_item *it, usec_t now)
{
	struct sort_ctx ctx = { now + call_duration(b, 1), it->domain };
	double full_call =
	    (double)call_duration(b, b->config.batch) / USEC_PER_SEC;
	double capacity = targets * b->config.batch / full_call;
	double spare = capacity - rate_before(b, it->rank, now);
	usec_t own_time = sort_time(it, &ctx);
	uint32_t before = 0;

	for (guint i = 0; i < b->items->len; i++)
		before +=
		    sort_time(&g_array_index(b->items, struct batch_item, i),
			&ctx) < own_time;
	if (spare < MIN_SHARE * capacity)
		spare = MIN_SHARE * capacity;
	return now + call_duration(b, b->config.batch / 2) +
	    (usec_t)(before / spare * USEC_PER_SEC);
}

void
batch_record(struct batch *b, uint32_t n, usec_t duration)
{
	double expected = (double)call_duration(b, n);
	double factor = (double)duration / expected;

	if (expected <= 0)
		return;
	if (factor > 4)
		factor = 4; /* one slow target must not stop admission */
	b->call_usec *= 1 + AVERAGE_WEIGHT * (factor - 1);
	b->item_usec *= 1 + AVERAGE_WEIGHT * (factor - 1);
}

void
batch_free(struct batch *b)
{
	g_array_unref(b->items);
}
