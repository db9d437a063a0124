/*
 * Remote procedure calls between sequoiads: datagrams sent one way over UDP,
 * and queries with a result over TCP.
 *
 * Both are authenticated with an HMAC under the fleet key.  A datagram or query
 * that fails authentication or is older than RPC_MAX_AGE is rejected and
 * counted.  A process has one struct rpc; rpc_send, rpc_fetch and rpc_counts
 * may be called from any thread.
 */
#ifndef ENTRY_RPC_H
#define ENTRY_RPC_H

#include "base/clock.h"
#include "base/err.h"
#include "entry/peer.h"
#include "kernel/peer_replies.h"
#include "plat/held.h"

/* A datagram holds a peer_body of this size, with what belongs to it. */
#define RPC_MAX_BODY_BYTES  64000
#define RPC_MAX_AGE         (30 * USEC_PER_SEC)
/* The reply to a query: the largest value, with what belongs to it. */
#define RPC_MAX_REPLY_BYTES ((size_t)PEER_VALUE_MAX + 512)
/* Limit on a reply that goes on arriving. */
#define RPC_MAX_REPLY_TIME  PEER_REPLY_TIME

struct rpc;

struct rpc_opts {
	const char *id;
	const char *addr; /* IP:PORT */
	const char *fleet_key;
	uint64_t incarnation;
	/*
	 * A datagram has arrived; called on the RPC thread.  The callee may
	 * take ownership by copying the structure and zeroing the original.
	 */
	void (*deliver)(void *arg, peer_letter *l);
	/*
	 * Fills the result of a query; called on a thread of its own.  The
	 * strings of r are allocated with malloc.
	 */
	void (*fetch)(void *arg, const peer_query *q, peer_result *r);
	void *arg;
};

struct rpc_counts {
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t sent;
	uint64_t received;
	uint64_t rejected; /* datagrams and queries */
	uint64_t fetches;  /* queries sent */
	uint64_t fetch_failures;
	uint64_t replies; /* to queries of others, sent whole */
	uint64_t reply_failures;
};

/* Listens on UDP and TCP; on failure returns NULL and sets e. */
struct rpc *rpc_start(const struct rpc_opts *o, struct err *e);
/* Sends a datagram to IP:PORT; it may be lost. */
void rpc_send(struct rpc *r, const char *addr, const peer_body *body);

struct rpc_fetch_opts {
	const char *addr; /* IP:PORT */
	const peer_query *query;
	usec_t timeout; /* of the connection, and of each wait for bytes */
	/*
	 * Counts the reply, and the result's value until the caller ends the
	 * account.
	 */
	struct held *held;
};

/*
 * Sends a query and waits for the result, to be freed with rpc_result_free.
 * Returns ERR_PEER if no valid result arrives in time, or if it exceeds
 * RPC_MAX_REPLY_BYTES or what the pool of the account holds.
 */
int rpc_fetch(struct rpc *r, const struct rpc_fetch_opts *o, peer_result *out);
void rpc_result_free(peer_result *r);
struct rpc_counts rpc_counts(const struct rpc *r);
/* Ends the delivery of messages; rpc_send() still works. */
void rpc_stop(struct rpc *r);
void rpc_free(struct rpc *r);

#endif
