/*
 * Which replies to the queries of other hosts are sent at the same time, and
 * which are given up.
 *
 * Load pattern: a large configuration changes, and tens of hosts fetch it at
 * once from the few that have it, over links that take a second for it.  Some
 * of them stand still or are cut off, and read nothing.  All replies together
 * hold a bounded number of bytes, small ones wait for no other, and who reads
 * nothing makes room for those that wait.
 *
 * Sizes are in bytes, times in microseconds.
 */
#ifndef KERNEL_PEER_REPLIES_H
#define KERNEL_PEER_REPLIES_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>

/* A larger reply begins while less than PEER_REPLIES_UNSENT is unsent of all.
 */
#define PEER_REPLY_SMALL    ((size_t)64 * 1024)
#define PEER_REPLIES_UNSENT ((size_t)8 * 1024 * 1024)
/* A fetch ends when nothing arrives for this time, and so does its reply. */
#define PEER_REPLY_SILENCE  (1500 * USEC_PER_MSEC)
/* The same while others wait for their turn. */
#define PEER_REPLY_PAUSE    (500 * USEC_PER_MSEC)
/* The same of one that goes on arriving. */
#define PEER_REPLY_TIME     (10 * USEC_PER_SEC)
/* A connection that asks nothing for longer is closed. */
#define PEER_QUERY_TIME     (2 * USEC_PER_SEC)

/* What the connection of another host waits for. */
enum peer_wait {
	PEER_WAIT_QUERY, /* for the whole of its next query */
	PEER_WAIT_TURN,  /* for the replies to others */
	PEER_WAIT_TAKEN  /* until its reply is taken */
};

struct peer_replier {
	enum peer_wait wait;
	usec_t since;    /* it waits for that */
	usec_t moved_at; /* bytes of its reply were taken last */
};

/* The largest reply that may begin; unsent: of all that have begun. */
size_t peer_replies_room(size_t unsent);
/* Whether the connection is closed; n_turns: those of PEER_WAIT_TURN. */
bool peer_replier_is_over(
    const struct peer_replier *p, size_t n_turns, usec_t now);

#endif
