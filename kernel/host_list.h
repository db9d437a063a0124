/*
 * The list of the fleet's hosts, kept in the platform's store.
 *
 * Load pattern: all hosts lose power and start at once, or a third of a large
 * fleet does.  By gossip alone a host knows all others only after seconds;
 * until then the hosts choose different coordinators for the same stage
 * service, and these send their calls to the same targets.  The list comes with
 * the first listing of the store, so a host that starts knows the others at
 * once.
 *
 * The list is text, a line a host: id, RPC address, operators' address, failure
 * domain, incarnation and capacity, separated by tabs.  It may be old: gossip
 * replaces what it says.  One host writes it when the set of hosts has changed
 * and then stayed the same for a while.  Times are in microseconds.
 */
#ifndef KERNEL_HOST_LIST_H
#define KERNEL_HOST_LIST_H

#include "kernel/member.h"

/* When to write the list; a zeroed one is valid. */
struct host_list_writer {
	uint64_t stored;   /* hash of the list that the store has */
	uint64_t writing;  /* hash of the one that is being written; 0: none */
	uint64_t seen;     /* hash of the hosts at the last check */
	usec_t changed_at; /* when they became these */
	usec_t written_at;
	usec_t checked_at;
};

struct host_list_counts {
	uint32_t learned;   /* hosts that were not known */
	uint32_t malformed; /* lines */
};

/* Appends the list of the live members. */
void host_list_write(struct members *t, struct buf *out);
/* Adds the hosts of a list that are not known to the members. */
struct host_list_counts host_list_read(
    struct members *t, struct str text, usec_t now);
/* Notes the list that the store has. */
void host_list_stored(struct host_list_writer *w, struct str text);
/* Whether it is time for the next check by host_list_due. */
bool host_list_check_due(struct host_list_writer *w, usec_t now);
/*
 * On the host that writes the list: returns whether it is to be written now,
 * with its text appended to out.  Its end is told by host_list_written.
 */
bool host_list_due(
    struct host_list_writer *w, struct members *t, usec_t now, struct buf *out);
/* A write has ended; one that failed is repeated. */
void host_list_written(struct host_list_writer *w, bool ok);

#endif
