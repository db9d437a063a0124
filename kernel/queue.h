/*
 * Weighted fair queue of the calls that wait for a service.  Each workspace has
 * a lane; lanes are served by weight (virtual time), and the earliest deadline
 * goes first within a lane.  A lane that stays below its share may use some of
 * it later, in a burst.  Without fairness there is one lane, served in order of
 * arrival.
 *
 * Times are in microseconds.  Nodes are owned by the caller.  A queue has no
 * lock: one thread owns it.
 */
#ifndef KERNEL_QUEUE_H
#define KERNEL_QUEUE_H

#include "base/clock.h"
#include "kernel/bounds.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Embedded in the queued object. */
struct queue_node {
	usec_t order;    /* the smallest goes first within the lane */
	uint64_t number; /* order of insertion, breaks ties */
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
	size_t expected; /* requests still at earlier stages */
	double gap; /* average time between two served nodes while some wait */
	usec_t served_at; /* last service; -1: empty since then */
};

struct queue {
	struct queue_lane *lanes;
	size_t n_lanes;
	size_t n;
	double vtime; /* virtual time of the lane served last */
	uint64_t pushed;
};

/* Returns the workspace's lane.  A new lane is added and never removed. */
uint32_t queue_lane(struct queue *q, const char *workspace, uint32_t weight);
/*
 * Begin and end counting a request as expected: it will need the service at a
 * later stage.
 */
void queue_expect(struct queue *q, uint32_t lane);
void queue_unexpect(struct queue *q, uint32_t lane);
void queue_push(
    struct queue *q, uint32_t lane, struct queue_node *n, usec_t order);
/* Returns the next node to serve without removing it, or NULL. */
struct queue_node *queue_peek(struct queue *q);
/* Removes a node that is served now and charges its lane for it. */
void queue_serve(struct queue *q, struct queue_node *n, usec_t now);
/* Removes a node that is not served. */
void queue_remove(struct queue *q, struct queue_node *n);
/* Updates a moving average of gaps; 0 means that there is no sample yet. */
void queue_average_gap(double *gap, usec_t newest);
/* Number of waiting and expected requests of the lane. */
size_t queue_size(const struct queue *q, uint32_t lane);
/* Number of requests that would be served before a new one of the lane. */
double queue_ahead(const struct queue *q, uint32_t lane);
/*
 * Time that a new request of the lane would wait until the waiting and expected
 * requests before it are served, if one call ends per gap.
 */
usec_t queue_backlog(const struct queue *q, uint32_t lane, double gap);
void queue_free(struct queue *q);

#endif
