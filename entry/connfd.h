/*
 * Descriptors of callers' connections, which CivetWeb's interface does not
 * expose: ends overdue reads and finds out whether a caller has disconnected.
 *
 * A descriptor is found among those of the process by the addresses of both
 * ends.  It stays valid only while the connection's worker holds it open.
 * connfd_find must therefore be called by that worker, or with the lock of
 * struct connfd_reads held, for which the worker waits in connfd_end_read.  It
 * costs a system call for each open descriptor, so it is meant for slow
 * requests only.
 *
 * connfd_begin_read, connfd_end_read and connfd_sweep may be called from any
 * thread.
 */
#ifndef ENTRY_CONNFD_H
#define ENTRY_CONNFD_H

#include "base/clock.h"

#include <civetweb.h>
#include <stdbool.h>

struct connfd_reads;

/* A body being read; lives on the worker's stack. */
struct connfd_read {
	const struct mg_request_info *info;
	usec_t deadline;
	/* The deadline passed and the read side was shut down. */
	bool shut_down;
	struct connfd_read *next;
};

/* State of the caller's end of a connection. */
enum connfd_peer_state {
	CONNFD_OPEN,
	CONNFD_HALF_CLOSED, /* the caller sends no more, but may still read */
	CONNFD_CLOSED       /* the caller can't receive a response */
};

struct connfd_reads *connfd_new(void);
void connfd_begin_read(struct connfd_reads *reads, struct connfd_read *r);
void connfd_end_read(struct connfd_reads *reads, struct connfd_read *r);
/* Shuts down the read side of the connections whose body is overdue. */
void connfd_sweep(struct connfd_reads *reads, usec_t now);
/* Returns the descriptor of the connection, or -1 if it is not found. */
int connfd_find(const struct mg_request_info *info);
enum connfd_peer_state connfd_state(int fd);
/*
 * Stops listening at the address (IP:PORT), so that connections are refused,
 * unless one waits to be accepted, which would be reset; returns whether the
 * process has stopped.
 */
bool connfd_stop_listening(const char *addr);
void connfd_free(struct connfd_reads *reads);

#endif
