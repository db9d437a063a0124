/*
 * The calls that wait for a service: a lane for each workspace, served by
 * weight (virtual time), the earliest deadline first within a lane.  A lane
 * that stays below its share may use some of it later, in a burst.  Without
 * fairness there is one lane, served in order of arrival.
 */
#ifndef KERNEL_QUEUE_H
#define KERNEL_QUEUE_H

#include "base/clock.h"
#include "kernel/bounds.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Embedded in what waits. */
struct queue_node {
	usec_t order;    /* smaller goes first within the lane */
	uint64_t number; /* the earlier one goes first among equals */
	GSequenceIter *iter;
	uint32_t lane;
	bool waiting;
};

struct queue_lane {
	char name[MAX_NAME_BYTES + 1];
	double vtime; /* service received, divided by weight */
	uint32_t weight;
	GSequence *nodes;
	size_t n;
	size_t expected;  /* that are still at earlier stages */
	double gap;       /* time between two of its nodes, while some wait */
	usec_t served_at; /* -1: it has been empty since */
};

struct queue {
	struct queue_lane *lanes;
	size_t n_lanes;
	size_t n;
	double vtime; /* of the lane served last */
	uint64_t pushed;
};

/* The workspace's lane; it is added if new, and then stays. */
uint32_t queue_lane(struct queue *q, const char *workspace, uint32_t weight);
/* A request of the lane will need the service later, or no longer. */
void queue_expect(struct queue *q, uint32_t lane);
void queue_unexpect(struct queue *q, uint32_t lane);
void queue_push(
    struct queue *q, uint32_t lane, struct queue_node *n, usec_t order);
/* The node to serve next, still in the queue, or NULL. */
struct queue_node *queue_peek(struct queue *q);
/* Takes a node out that is served now: its lane is charged for it. */
void queue_serve(struct queue *q, struct queue_node *n, usec_t now);
/* Takes a node out that is given up. */
void queue_remove(struct queue *q, struct queue_node *n);
/* Takes the newest gap into a moving average; 0: none was seen yet. */
void queue_average_gap(double *gap, usec_t newest);
/* How many of the lane wait or are expected. */
size_t queue_size(const struct queue *q, uint32_t lane);
/* How many would be served before a new one of the lane. */
double queue_ahead(const struct queue *q, uint32_t lane);
/*
 * Time until those before a new one of the lane are served, waiting and
 * expected ones, when the service ends a call in every gap.
 */
usec_t queue_backlog(const struct queue *q, uint32_t lane, double gap);
void queue_free(struct queue *q);

#endif
