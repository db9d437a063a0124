/*
 * Imitation of the platform's load balancer in front of the sequoiads: requests
 * go round robin to those last seen ready.  It polls /readyz every second, so
 * that its view lags, and skips a sequoiad for a second after a refused
 * connection.
 */
#ifndef LOAD_FLEET_H
#define LOAD_FLEET_H

#include "plat/http.h"

#define FLEET_MAX 32

struct fleet;

struct fleet_opts {
	struct http_loop *loop;
	const char *net; /* first three numbers, as "127.0.0" */
	size_t n;        /* number of sequoiads, on net.1, net.2, ... */
	unsigned port;   /* callers' port; the operators' port is the next */
};

struct fleet *fleet_new(const struct fleet_opts *o);
/* Polls all sequoiads if a second has passed since the last poll. */
void fleet_poll(struct fleet *f, usec_t now);
/* Returns the next ready sequoiad in turn, or -1 if there is none. */
int fleet_pick(struct fleet *f, usec_t now);
/* Reports that sequoiad i refused a connection. */
void fleet_mark_refused(struct fleet *f, int i, usec_t now);
/* Returns the callers' or operators' address of sequoiad i, IP:PORT. */
const char *fleet_addr(const struct fleet *f, int i, bool operators);
size_t fleet_size(const struct fleet *f);
void fleet_free(struct fleet *f);

#endif
