/*
 * The sockets of callers, which CivetWeb's interface does not show.
 *
 * A socket is found by its two ends among the descriptors of the process.
 * This is sound while the connection's worker holds it open, which is why a
 * caller of guard_find must be that worker, or hold the guard's lock while
 * the worker waits in guard_leave.  It costs a system call for each open
 * descriptor: it is meant for slow requests only.
 */
#ifndef ENTRY_GUARD_H
#define ENTRY_GUARD_H

#include "base/clock.h"

#include <civetweb.h>
#include <stdbool.h>

struct guard;

/* A body that is being read; lives on the worker's stack. */
struct guard_body {
	const struct mg_request_info *info;
	usec_t until;
	bool cut; /* its time ran out and its connection was cut */
	struct guard_body *next;
};

/* How a caller's end of the connection looks. */
enum guard_peer {
	PEER_THERE,
	PEER_SILENT, /* it will send no more; it may still read */
	PEER_GONE    /* it takes no answer */
};

struct guard *guard_new(void);
void guard_enter(struct guard *g, struct guard_body *b);
void guard_leave(struct guard *g, struct guard_body *b);
/* Ends reading from the connections whose body is overdue. */
void guard_sweep(struct guard *g, usec_t now);
/* The descriptor of the connection, or -1. */
int guard_find(const struct mg_request_info *info);
enum guard_peer guard_look(int fd);
void guard_free(struct guard *g);

#endif
