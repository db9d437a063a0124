/*
 * Reads the reply to a remote procedure call from a TCP connection: a record of
 * RFC 5531, in fragments, with an accepted reply that holds a peer_sealed.
 *
 * Load pattern: a host replies without end, or claims a length that it never
 * sends.  What is read is bounded in bytes and time, and counted.
 */
#ifndef ENTRY_RPC_REPLY_H
#define ENTRY_RPC_REPLY_H

#include "base/clock.h"
#include "base/str.h"
#include "entry/peer.h"
#include "plat/held.h"

struct rpc_reply_opts {
	int fd; /* blocking; nothing of the reply has been read */
	uint32_t xid;
	usec_t timeout;    /* of each wait for bytes or for room */
	size_t max_bytes;  /* of the record */
	struct held *held; /* counts the record */
};

enum rpc_reply_status {
	RPC_REPLY_OK,
	RPC_REPLY_MISSING, /* no valid reply in time */
	RPC_REPLY_TOO_LARGE,
	RPC_REPLY_NO_ROOM /* others hold the memory that it needs */
};

/* The body of out refers to record, which the caller frees in any case. */
enum rpc_reply_status rpc_reply_read(
    const struct rpc_reply_opts *o, struct buf *record, peer_sealed *out);

#endif
