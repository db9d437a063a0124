/*
 * The sockets of callers, which CivetWeb's interface does not show.
 *
 * A socket is found by its two ends among the descriptors of the process.
 * This is sound while the connection's worker holds it open, which is why a
 * caller of connfd_find must be that worker, or hold the guard's lock while
 * the worker waits in connfd_end_read.  It costs a system call for each open
 * descriptor: it is meant for slow requests only.
 */
#ifndef ENTRY_CONNFD_H
#define ENTRY_CONNFD_H

#include "base/clock.h"

#include <civetweb.h>
#include <stdbool.h>

struct connfd_reads;

/* A body that is being read; lives on the worker's stack. */
struct connfd_read {
	const struct mg_request_info *info;
	usec_t deadline;
	bool shut_down; /* its time ran out and its connection was cut */
	struct connfd_read *next;
};

/* How a caller's end of the connection looks. */
enum connfd_peer_state {
	CONNFD_OPEN,
	CONNFD_HALF_CLOSED, /* it will send no more; it may still read */
	CONNFD_CLOSED       /* it takes no answer */
};

struct connfd_reads *connfd_new(void);
void connfd_begin_read(struct connfd_reads *g, struct connfd_read *b);
void connfd_end_read(struct connfd_reads *g, struct connfd_read *b);
/* Ends reading from the connections whose body is overdue. */
void connfd_sweep(struct connfd_reads *g, usec_t now);
/* The descriptor of the connection, or -1. */
int connfd_find(const struct mg_request_info *info);
enum connfd_peer_state connfd_state(int fd);
void connfd_free(struct connfd_reads *g);

#endif
