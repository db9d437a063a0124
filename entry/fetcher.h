/*
 * A thread that fetches documents from other sequoiads, one at a time, so that
 * the control or discovery thread never blocks on a fetch.  The documents are
 * those of the configuration log (plat/conflog) or, on a host that relays by
 * route, those that discovery serves.
 */
#ifndef ENTRY_FETCHER_H
#define ENTRY_FETCHER_H

#include "entry/inbox.h"
#include "entry/rpc.h"

struct fetcher;

struct fetcher_opts {
	struct rpc *rpc;
	struct inbox *inbox;        /* receives INBOX_FETCHED */
	struct host_memory *memory; /* counts the documents; or NULL */
	/* Called on the fetcher's thread after each message to the inbox. */
	void (*wake)(void *arg);
	void *arg;
};

struct fetcher *fetcher_start(const struct fetcher_opts *o);
/*
 * Starts a fetch from IP:PORT, which ends if nothing arrives for the time of
 * silence; false while another one is in flight.
 */
bool fetcher_request(
    struct fetcher *f, const char *addr, const char *name, usec_t silence);
void fetcher_stop(struct fetcher *f);

#endif
