/*
 * The calls that wait for a service: a lane for each workspace, served by
 * weight (virtual time), the earliest deadline first within a lane.  Without
 * fairness there is one lane, served in order of arrival.
 */
#ifndef KERNEL_QUEUE_H
#define KERNEL_QUEUE_H

#include "base/clock.h"
#include "kernel/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Embedded in what waits. */
struct queue_node {
	usec_t order;    /* smaller goes first within the lane */
	uint64_t number; /* the earlier one goes first among equals */
	GSequenceIter *at;
	uint32_t lane;
	bool waiting;
};

struct queue_lane {
	char name[MAX_NAME_BYTES + 1];
	double vtime; /* service received, divided by weight */
	uint32_t weight;
	GSequence *nodes;
	size_t n;
};

struct queue {
	struct queue_lane *lanes;
	size_t n_lanes;
	size_t n;
	double vtime; /* of the lane served last */
	uint64_t pushed;
};

struct queue_entry {
	struct queue_node *node;
	const char *workspace;
	uint32_t weight;
	usec_t order;
};

void queue_push(struct queue *q, const struct queue_entry *e);
/* The node to serve next, still in the queue, or NULL. */
struct queue_node *queue_peek(struct queue *q);
/* Takes a node out; served: its lane is charged for it. */
void queue_remove(struct queue *q, struct queue_node *n, bool served);
/* How many would be served before a new entry of the workspace. */
double queue_ahead(
    const struct queue *q, const char *workspace, uint32_t weight);
void queue_free(struct queue *q);

#endif
