/*
 * Asks for pieces of stages, from the host that has the request to the home
 * of the stage's service.
 *
 * The home is the first of a rendezvous order of service and live hosts.  An
 * ask that is not confirmed in time is sent again, and after some tries goes
 * to the next host of the order; a piece that is made twice does no harm.  Asks
 * of a host that has just started wait until it knows the others: it would take
 * itself for every home.
 * Runs on the relay's loop.
 */
#ifndef ENTRY_ASKS_H
#define ENTRY_ASKS_H

#include "entry/home.h"
#include "entry/view.h"

struct asks;

struct asks_opts {
	struct rpc *rpc;
	const char *self; /* id of this host */
	uint64_t incarnation;
	usec_t settle; /* how long asks wait until other hosts are known */
};

/* Refused, or all pieces with their outcomes. */
typedef void (*ask_handler)(void *arg, const peer_piece_reply *r);

struct ask_opts {
	struct str service;
	struct str id;
	uint32_t stage;
	uint32_t n; /* pieces, numbered from 0 */
	struct str key;
	struct str inputs;
	usec_t deadline;
	usec_t aim; /* the results are late after that */
	uint32_t rank;
	uint64_t bytes;    /* of one result */
	struct str domain; /* where they are best made; or empty */
	/* Called once, unless the ask is cancelled; never from asks_start. */
	ask_handler handler;
	void *arg; /* owned by the ask: freed with free() */
};

struct asks *asks_new(const struct asks_opts *o);
/* This host's own home. */
void asks_set_home(struct asks *s, struct home *h);
/* The live hosts; struct view_peer. */
void asks_peers(struct asks *s, const GArray *peers);
/* The RPC address of a service's home now; empty for this host. */
const char *asks_home(struct asks *s, const char *service);
/* Returns the ask's number. */
uint64_t asks_start(struct asks *s, const struct ask_opts *o);
void asks_cancel(struct asks *s, uint64_t ask);
/* Results that were used: handles by commas. */
void asks_release(struct asks *s, const char *service, struct str handles);
/* from: the RPC address of the home, or NULL for this host's own. */
void asks_reply(struct asks *s, const char *from, const peer_piece_reply *r);
/* Sends again what was not confirmed; false if nothing waits. */
bool asks_tick(struct asks *s, usec_t now);
void asks_free(struct asks *s);

#endif
