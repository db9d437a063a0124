/*
 * Remote procedure calls between sequoiads: letters that are sent one way
 * over UDP, and documents that are fetched over TCP.
 *
 * Everything is sealed with the fleet key.  What a stranger sent, or what is
 * older than RPC_MAX_AGE, is dropped and counted.  There is one rpc in a
 * process.
 */
#ifndef ENTRY_RPC_H
#define ENTRY_RPC_H

#include "base/clock.h"
#include "base/err.h"
#include "entry/peer.h"

#define RPC_MAX_AGE (30 * USEC_PER_SEC)

struct rpc;

struct rpc_opts {
	const char *id;
	const char *addr; /* IP:PORT */
	const char *fleet_key;
	uint64_t incarnation;
	/*
	 * A letter came in; called on the RPC thread.  The callee may take it
	 * over by copying the structure and zeroing the original.
	 */
	void (*deliver)(void *arg, peer_letter *l);
	/*
	 * A query came in; called on the RPC thread.  The strings of r are
	 * allocated with malloc.
	 */
	void (*fetch)(void *arg, const peer_query *q, peer_result *r);
	void *arg;
};

struct rpc_counts {
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t sent;
	uint64_t received;
	uint64_t rejected; /* letters and queries that were dropped */
	uint64_t fetches;  /* queries sent */
	uint64_t fetch_failures;
};

struct rpc *rpc_start(const struct rpc_opts *o, struct err *e);
/* Sends a letter to IP:PORT; may be lost.  From any thread. */
void rpc_send(struct rpc *r, const char *addr, const peer_body *body);
/*
 * Asks IP:PORT and waits for the result, which is freed with rpc_result_free.
 * ERR_PEER when no sound result came in time.  From any thread.
 */
int rpc_fetch(struct rpc *r, const char *addr, const peer_query *q,
    usec_t timeout, peer_result *out);
void rpc_result_free(peer_result *r);
struct rpc_counts rpc_counts(const struct rpc *r);
void rpc_stop(struct rpc *r);

#endif
