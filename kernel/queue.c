#include "kernel/queue.h"
#include "base/str.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Unused turns that an empty lane keeps. */
#define MAX_CREDIT_TURNS 8.0
/* Waiting nodes from which on a lane's own gap is used. */
#define MIN_GAP_NODES    4
/* Weight of the newest gap in a moving average. */
#define GAP_WEIGHT       0.05

void
queue_average_gap(double *gap, usec_t newest)
{
	if (*gap <= 0)
		*gap = (double)newest;
	else
		*gap += ((double)newest - *gap) * GAP_WEIGHT;
}

static uint32_t
add_lane(struct queue *q, const char *name)
{
	struct queue_lane *l;

	q->lanes = xrealloc(q->lanes, q->n_lanes + 1, sizeof(*q->lanes));
	l = &q->lanes[q->n_lanes];
	memset(l, 0, sizeof(*l));
	snprintf(l->name, sizeof(l->name), "%s", name);
	l->nodes = g_sequence_new(NULL);
	l->served_at = -1;
	return (uint32_t)q->n_lanes++;
}

uint32_t
queue_lane(struct queue *q, const char *workspace, uint32_t weight)
{
	uint32_t i = 0;

	while (i < q->n_lanes && strcmp(q->lanes[i].name, workspace) != 0)
		i++;
	if (i == q->n_lanes)
		i = add_lane(q, workspace);
	q->lanes[i].weight = weight > 0 ? weight : 1;
	return i;
}

void
queue_expect(struct queue *q, uint32_t lane)
{
	q->lanes[lane].expected++;
}

void
queue_unexpect(struct queue *q, uint32_t lane)
{
	q->lanes[lane].expected--;
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

static double
lane_size(const struct queue_lane *l)
{
	return (double)l->n + (double)l->expected;
}

/* Virtual time of the lane's next turn; limits the credit of an empty lane. */
static double
lane_start(const struct queue *q, const struct queue_lane *l)
{
	double min_vtime = q->vtime - MAX_CREDIT_TURNS / l->weight;

	if (l->n > 0 || l->vtime > min_vtime)
		return l->vtime;
	return min_vtime;
}

void
queue_push(struct queue *q, uint32_t lane, struct queue_node *n, usec_t order)
{
	struct queue_lane *l = &q->lanes[lane];

	l->vtime = lane_start(q, l);
	n->order = order;
	n->number = ++q->pushed;
	n->lane = lane;
	n->waiting = true;
	n->iter = g_sequence_insert_sorted(l->nodes, n, by_order, NULL);
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
queue_remove(struct queue *q, struct queue_node *n)
{
	struct queue_lane *l = &q->lanes[n->lane];

	g_sequence_remove(n->iter);
	n->iter = NULL;
	n->waiting = false;
	l->n--;
	q->n--;
	if (l->n == 0)
		l->served_at = -1;
}

void
queue_serve(struct queue *q, struct queue_node *n, usec_t now)
{
	struct queue_lane *l = &q->lanes[n->lane];

	if (l->served_at >= 0)
		queue_average_gap(&l->gap, now - l->served_at);
	l->served_at = now;
	q->vtime = l->vtime;
	l->vtime += 1.0 / l->weight;
	queue_remove(q, n);
}

size_t
queue_size(const struct queue *q, uint32_t lane)
{
	return q->lanes[lane].n + q->lanes[lane].expected;
}

double
queue_ahead(const struct queue *q, uint32_t lane)
{
	const struct queue_lane *own = &q->lanes[lane];
	double sum = lane_size(own);
	double turn = lane_start(q, own) + sum / own->weight;

	for (uint32_t i = 0; i < q->n_lanes; i++) {
		const struct queue_lane *l = &q->lanes[i];
		double before =
		    floor((turn - lane_start(q, l)) * l->weight) + 1;

		if (i == lane || before <= 0)
			continue;
		sum += before < lane_size(l) ? before : lane_size(l);
	}
	return sum;
}

usec_t
queue_backlog(const struct queue *q, uint32_t lane, double gap)
{
	const struct queue_lane *l = &q->lanes[lane];
	double by_turns = queue_ahead(q, lane) * gap;
	double by_lane = l->n >= MIN_GAP_NODES ? lane_size(l) * l->gap : 0;

	/*
	 * The lane's own gaps, unlike the turns, include the effect of requests
	 * that arrive in the meantime.
	 */
	return (usec_t)(by_lane > by_turns ? by_lane : by_turns);
}

void
queue_free(struct queue *q)
{
	for (size_t i = 0; i < q->n_lanes; i++)
		g_sequence_free(q->lanes[i].nodes);
	free(q->lanes);
	*q = (struct queue){ 0 };
}
