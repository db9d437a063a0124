#include "kernel/batch.h"

/* Fewer pieces than this share of a call's own cost are not split up. */
#define SPLIT_SHARE 0.25
/* Each rank counts as so much more time until a piece is late. */
#define RANK_STEP   (2000 * USEC_PER_MSEC)
/* Ranks that a piece loses by being late. */
#define LATE_RANKS  6.0
/* Share of the targets that is left to less urgent pieces at the least. */
#define MIN_SHARE   0.1
/* Time over which rates of arrival are smoothed. */
#define RATE_SPAN   (2 * USEC_PER_SEC)
/* A piece waits so long for a target where its inputs are. */
#define LOCAL_WAIT  (200 * USEC_PER_MSEC)
/* Weight of a new measurement in the running mean. */
#define SMOOTH      0.1

void
batch_init(struct batch *b, const struct pool_config *shape)
{
	b->items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));
	b->config = *shape;
	b->call_usec = (double)shape->call_cost;
	b->item_usec = (double)shape->item_cost;
}

/* Rates of arrival fade with the time since they were counted. */
static double
fade(const struct batch *b, usec_t now)
{
	double t = (double)(now - b->rates_at) / (double)RATE_SPAN;

	return t < 1 ? 1 - t : 0;
}

/* An exponential mean of the pieces that come in a second. */
static void
note_arrival(struct batch *b, const struct batch_item *it)
{
	uint32_t rank = it->rank < BATCH_RANKS ? it->rank : BATCH_RANKS - 1;
	double keep = fade(b, it->queued);

	for (uint32_t i = 0; i < BATCH_RANKS; i++)
		b->rates[i] *= keep;
	b->rates[rank] += (double)USEC_PER_SEC / (double)RATE_SPAN;
	b->rates_at = it->queued;
}

void
batch_add(struct batch *b, const struct batch_item *it)
{
	g_array_append_vals(b->items, it, 1);
	note_arrival(b, it);
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
call_time(const struct batch *b, uint32_t n)
{
	return (usec_t)(b->call_usec + b->item_usec * n);
}

/* For whom and when the order is made. */
struct order {
	usec_t earliest; /* a call that starts now ends then */
	uint32_t domain;
};

static bool
is_remote(const struct batch_item *it, uint32_t domain)
{
	return it->domain != 0 && it->domain != domain;
}

/* When its turn is due, in comparison with others. */
static usec_t
due(const struct batch_item *it, const struct order *o)
{
	double ranks =
	    it->rank + (it->soft_deadline < o->earliest ? LATE_RANKS : 0);

	return it->soft_deadline + (usec_t)(ranks * RANK_STEP) +
	    (is_remote(it, o->domain) ? LOCAL_WAIT : 0);
}

static gint
by_urgency(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct batch_item *x = a;
	const struct batch_item *y = b;
	const struct order *o = arg;
	usec_t p = due(x, o);
	usec_t q = due(y, o);

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
	uint32_t least =
	    (uint32_t)(SPLIT_SHARE * b->call_usec / b->item_usec) + 1;
	uint32_t share = (waiting + free_targets - 1) / free_targets;

	if (share < least)
		share = least;
	if (share > b->config.batch)
		share = b->config.batch;
	return share < waiting ? share : waiting;
}

void
batch_take(struct batch *b, usec_t now, uint32_t free_targets,
    const struct batch_target *t, GArray *out)
{
	uint32_t n = call_size(b, free_targets > 0 ? free_targets : 1);
	struct order o = { now + call_time(b, n), t->domain };
	uint64_t room = t->free_bytes;
	guint kept = 0;

	g_array_sort_with_data(b->items, by_urgency, &o);
	for (guint i = 0; i < b->items->len; i++) {
		struct batch_item it =
		    g_array_index(b->items, struct batch_item, i);

		if (out->len < n && it.bytes <= room &&
		    !(t->local_only && is_remote(&it, t->domain))) {
			room -= it.bytes;
			g_array_append_val(out, it);
		} else {
			g_array_index(b->items, struct batch_item, kept++) = it;
		}
	}
	g_array_set_size(b->items, kept);
}

/* Pieces a second that come and go before those of a rank. */
static double
rate_before(const struct batch *b, uint32_t rank, usec_t now)
{
	double sum = 0;

	for (uint32_t i = 0; i < rank && i < BATCH_RANKS; i++)
		sum += b->rates[i];
	return sum * fade(b, now);
}

usec_t
batch_estimate(const struct batch *b, uint32_t targets,
    const struct batch_item *it, usec_t now)
{
	struct order o = { now + call_time(b, 1), it->domain };
	double full = (double)call_time(b, b->config.batch) / USEC_PER_SEC;
	double can = targets * b->config.batch / full;
	double left = can - rate_before(b, it->rank, now);
	usec_t mine = due(it, &o);
	uint32_t before = 0;

	for (guint i = 0; i < b->items->len; i++)
		before += due(&g_array_index(b->items, struct batch_item, i),
			      &o) < mine;
	if (left < MIN_SHARE * can)
		left = MIN_SHARE * can;
	return now + call_time(b, b->config.batch / 2) +
	    (usec_t)(before / left * USEC_PER_SEC);
}

void
batch_record(struct batch *b, uint32_t n, usec_t took)
{
	double expected = (double)call_time(b, n);
	double factor = (double)took / expected;

	if (expected <= 0)
		return;
	if (factor > 4)
		factor = 4; /* one slow target must not stop admission */
	b->call_usec *= 1 + SMOOTH * (factor - 1);
	b->item_usec *= 1 + SMOOTH * (factor - 1);
}

void
batch_free(struct batch *b)
{
	g_array_unref(b->items);
}
