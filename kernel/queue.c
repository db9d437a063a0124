#include "kernel/queue.h"
#include "base/str.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
find_lane(const struct queue *q, const char *name)
{
	for (size_t i = 0; i < q->n_lanes; i++) {
		if (strcmp(q->lanes[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

static int
add_lane(struct queue *q, const char *name)
{
	struct queue_lane *l;

	q->lanes = xrealloc(q->lanes, q->n_lanes + 1, sizeof(*q->lanes));
	l = &q->lanes[q->n_lanes];
	memset(l, 0, sizeof(*l));
	snprintf(l->name, sizeof(l->name), "%s", name);
	l->nodes = g_sequence_new(NULL);
	return (int)q->n_lanes++;
}

static gint
by_order(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct queue_node *x = a;
	const struct queue_node *y = b;

	(void)arg;
	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

void
queue_push(struct queue *q, const struct queue_entry *e)
{
	int lane = find_lane(q, e->workspace);
	struct queue_lane *l;

	if (lane < 0)
		lane = add_lane(q, e->workspace);
	l = &q->lanes[lane];
	/* A lane that was empty has not saved up service for later. */
	if (l->n == 0 && l->vtime < q->vtime)
		l->vtime = q->vtime;
	l->weight = e->weight > 0 ? e->weight : 1;
	e->node->order = e->order;
	e->node->number = ++q->pushed;
	e->node->lane = (uint32_t)lane;
	e->node->waiting = true;
	e->node->at =
	    g_sequence_insert_sorted(l->nodes, e->node, by_order, NULL);
	l->n++;
	q->n++;
}

struct queue_node *
queue_peek(struct queue *q)
{
	const struct queue_lane *best = NULL;

	for (size_t i = 0; i < q->n_lanes; i++) {
		const struct queue_lane *l = &q->lanes[i];

		if (l->n > 0 && (best == NULL || l->vtime < best->vtime))
			best = l;
	}
	return best == NULL
	    ? NULL
	    : g_sequence_get(g_sequence_get_begin_iter(best->nodes));
}

void
queue_remove(struct queue *q, struct queue_node *n, bool served)
{
	struct queue_lane *l = &q->lanes[n->lane];

	g_sequence_remove(n->at);
	n->at = NULL;
	n->waiting = false;
	l->n--;
	q->n--;
	if (served) {
		q->vtime = l->vtime;
		l->vtime += 1.0 / l->weight;
	}
}

double
queue_ahead(const struct queue *q, const char *workspace, uint32_t weight)
{
	int own = find_lane(q, workspace);
	double turns = own < 0 ? 1.0 : (double)q->lanes[own].n + 1.0;
	double sum = turns - 1.0;

	for (size_t i = 0; i < q->n_lanes; i++) {
		const struct queue_lane *l = &q->lanes[i];
		double share = turns * l->weight / (weight > 0 ? weight : 1);

		if ((int)i != own)
			sum += share < (double)l->n ? share : (double)l->n;
	}
	return sum;
}

void
queue_free(struct queue *q)
{
	for (size_t i = 0; i < q->n_lanes; i++)
		g_sequence_free(q->lanes[i].nodes);
	free(q->lanes);
	*q = (struct queue){ 0 };
}
