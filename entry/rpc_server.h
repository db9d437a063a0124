/*
 * The server of queries of other sequoiads: records of RFC 5531 over TCP, on a
 * thread of its own.  It waits for no receiver: what a socket doesn't take is
 * kept, within the bounds of kernel/peer_replies.h.
 */
#ifndef ENTRY_RPC_SERVER_H
#define ENTRY_RPC_SERVER_H

#include "base/str.h"
#include "entry/peer.h"

struct rpc_server;

enum rpc_answer {
	RPC_ANSWER_READY,
	RPC_ANSWER_LATER, /* its value exceeds max_bytes: it is asked anew */
	RPC_ANSWER_NONE   /* the connection is closed */
};

struct rpc_server_opts {
	int fd; /* listens; the server closes it */
	/*
	 * Answers a query, on the server's thread: sets reply, whose body is
	 * allocated with malloc, and what, a description for the log.
	 */
	enum rpc_answer (*answer)(void *arg, const peer_sealed *query,
	    size_t max_bytes, peer_sealed *reply, struct buf *what);
	void *arg;
};

struct rpc_server_counts {
	uint64_t replies;  /* sent whole */
	uint64_t failures; /* given up, or closed by the other host */
};

struct rpc_server *rpc_server_start(const struct rpc_server_opts *o);
struct rpc_server_counts rpc_server_counts(const struct rpc_server *s);
/* Ends the thread and all connections. */
void rpc_server_stop(struct rpc_server *s);
/* After rpc_server_stop. */
void rpc_server_free(struct rpc_server *s);

#endif
