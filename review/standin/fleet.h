/*
 * The hosts of the system: processes that are started with the command and the
 * settings template of the deploy file, each on a loopback IP of its own, and
 * the platform's balancer, which asks each of them once a second whether it is
 * ready.
 */
#ifndef REVIEW_STANDIN_FLEET_H
#define REVIEW_STANDIN_FLEET_H

#include "review/standin/wire.h"

#include <sys/types.h>

#define FLEET_MAX 32

struct fleet_host {
	char name[32];
	char zone[16];
	char ip[16];
	char front[ADDR_BYTES];
	char ready[ADDR_BYTES];
	char control[ADDR_BYTES];
	pid_t pid; /* 0: not running */
	int misses;
	bool in_rotation;
	int64_t term_at; /* of the last SIGTERM; 0: none */
	int64_t back_at; /* ready again after it; 0: not yet */
};

struct fleet_opts {
	const char *dir;   /* for settings and logs */
	const char *store; /* address */
	const char *ip;    /* "127.A.B." */
	int n;
};

struct fleet {
	struct fleet_opts o;
	struct fleet_host hosts[FLEET_MAX];
	bool stopping;
	pthread_t balancer;
};

/* Starts all hosts and the balancer; false if not all get ready in time. */
bool fleet_start(struct fleet *f, const struct fleet_opts *o);
/* Starts a host that has ended, with the same settings. */
void fleet_start_host(struct fleet *f, int i);
/* Sends SIGTERM. */
void fleet_stop_host(struct fleet *f, int i);
/* Waits for the process; returns its wait status, or -1 after the time. */
int fleet_wait_host(struct fleet *f, int i, int64_t until);
/* The host that a new connection gets, as the balancer chooses. */
int fleet_choose(const struct fleet *f, unsigned seed);
/* Ends all processes. */
void fleet_end(struct fleet *f);

#endif
