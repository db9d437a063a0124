#include "kernel/batch.h"

/* Fewer pieces than this share of a call's own cost are not split up. */
#define SPLIT_SHARE 0.25
/* Rank shifts the order by so much: a less urgent one waits for others. */
#define RANK_STEP   (2000 * USEC_PER_MSEC)
/* A piece waits so long for a target where its inputs are. */
#define NEAR_STEP   (200 * USEC_PER_MSEC)
/* Weight of a new measurement in the running mean. */
#define SMOOTH      0.1

void
batch_init(struct batch *b, const struct pool_shape *shape)
{
	b->items = g_array_new(FALSE, FALSE, sizeof(struct batch_item));
	b->shape = *shape;
	b->call_usec = (double)shape->call;
	b->item_usec = (double)shape->item;
}

void
batch_add(struct batch *b, const struct batch_item *it)
{
	g_array_append_vals(b->items, it, 1);
}

void
batch_drop(struct batch *b, const void *owner)
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
is_far(const struct batch_item *it, uint32_t domain)
{
	return it->domain != 0 && it->domain != domain;
}

static usec_t
due(const struct batch_item *it, const struct order *o)
{
	return it->aim + it->rank * RANK_STEP +
	    (is_far(it, o->domain) ? NEAR_STEP : 0);
}

/* On time before late; then by the time left, shifted by rank. */
static gint
by_urgency(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct batch_item *x = a;
	const struct batch_item *y = b;
	const struct order *o = arg;
	bool x_late = x->aim < o->earliest;
	bool y_late = y->aim < o->earliest;
	usec_t p = due(x, o);
	usec_t q = due(y, o);

	if (x_late != y_late)
		return x_late ? 1 : -1;
	if (x_late && x->progress != y->progress)
		return x->progress > y->progress ? -1 : 1;
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
	if (share > b->shape.batch)
		share = b->shape.batch;
	return share < waiting ? share : waiting;
}

void
batch_take(struct batch *b, usec_t now, uint32_t free_targets,
    const struct batch_target *t, GArray *out)
{
	uint32_t n = call_size(b, free_targets > 0 ? free_targets : 1);
	struct order o = { now + call_time(b, n), t->domain };
	uint64_t room = t->room;
	guint kept = 0;

	g_array_sort_with_data(b->items, by_urgency, &o);
	for (guint i = 0; i < b->items->len; i++) {
		struct batch_item it =
		    g_array_index(b->items, struct batch_item, i);

		if (out->len < n && it.bytes <= room &&
		    !(t->only_near && is_far(&it, t->domain))) {
			room -= it.bytes;
			g_array_append_val(out, it);
		} else {
			g_array_index(b->items, struct batch_item, kept++) = it;
		}
	}
	g_array_set_size(b->items, kept);
}

usec_t
batch_wait(const struct batch *b, uint32_t targets, uint32_t pieces)
{
	uint32_t n = b->items->len + pieces;
	double rounds;

	if (targets == 0)
		return 3600 * USEC_PER_SEC;
	rounds = (double)n / ((double)b->shape.batch * targets);
	if (rounds < 1)
		return call_time(b, (n + targets - 1) / targets);
	return (usec_t)(rounds * (double)call_time(b, b->shape.batch));
}

void
batch_measured(struct batch *b, uint32_t n, usec_t took)
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
