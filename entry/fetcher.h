/*
 * A thread that fetches documents of the configuration log from other
 * sequoiads, one at a time, so that the control thread never waits for one.
 */
#ifndef ENTRY_FETCHER_H
#define ENTRY_FETCHER_H

#include "entry/inbox.h"
#include "entry/rpc.h"

struct fetcher;

struct fetcher_opts {
	struct rpc *rpc;
	struct inbox *inbox;     /* gets INBOX_FETCHED */
	void (*wake)(void *arg); /* called after that */
	void *arg;
};

struct fetcher *fetcher_start(const struct fetcher_opts *o);
/* Asks IP:PORT for a document; false while another one is under way. */
bool fetcher_request(struct fetcher *f, const char *addr, const char *name);
void fetcher_stop(struct fetcher *f);

#endif
