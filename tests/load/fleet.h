/*
 * The platform's balancer in front of the sequoiads: requests go round those
 * that it believes ready.  It asks /readyz now and then, so that what it
 * believes lags, and looks away from one that refuses a connection.
 */
#ifndef LOAD_FLEET_H
#define LOAD_FLEET_H

#include "plat/http.h"

#define FLEET_MOST 32

struct fleet;

struct fleet_opts {
	struct http_loop *loop;
	const char *net; /* as "127.0.0" */
	size_t n;        /* sequoiads on net.1, net.2, ... */
	unsigned port;   /* of callers; operators are on the next */
};

struct fleet *fleet_new(const struct fleet_opts *o);
/* Asks again when it is time to. */
void fleet_tick(struct fleet *f, usec_t now);
/* The next sequoiad in turn, or -1 when none seems ready. */
int fleet_pick(struct fleet *f, usec_t now);
/* It refused a connection. */
void fleet_refused(struct fleet *f, int i, usec_t now);
/* IP:PORT of its callers' or operators' address. */
const char *fleet_rpc_addr(const struct fleet *f, int i, bool operators);
size_t fleet_size(const struct fleet *f);
void fleet_free(struct fleet *f);

#endif
