/*
 * Limits of workspaces: requests a second, requests in flight and tokens a
 * second.  This process holds a share of each limit; the shares of all
 * processes add up to the whole.
 *
 * Invariant: requests in flight never pass the share by more than one, so a
 * fleet of n processes stays within the limit plus n.
 */
#ifndef KERNEL_LIMIT_H
#define KERNEL_LIMIT_H

#include "kernel/conf.h"

#define LIMIT_PPM 1000000U

struct limit {
	char workspace[MAX_NAME_BYTES + 1];
	double requests; /* left in the bucket of requests a second */
	double tokens;   /* left in the bucket of tokens a second */
	usec_t filled_at;
	uint32_t in_flight;
	uint32_t share;   /* millionths; 0: the even share */
	uint64_t arrived; /* requests since start, admitted or not */
	uint64_t charged; /* tokens since start */
};

struct limits {
	struct limit *v;
	size_t n;
	uint32_t sequoiads; /* live ones: the even share is one part */
};

/* 0, or ERR_OVER_LIMIT with the time after which a request may pass. */
int limit_admit(struct limits *l, const struct conf_workspace *w, usec_t now,
    usec_t *retry_after);
/* An admitted request has ended. */
void limit_release(struct limits *l, const char *workspace);
/* Generated tokens are charged afterwards; the bucket may go below zero. */
void limit_charge(struct limits *l, const char *workspace, uint32_t tokens);
void limit_set_share(struct limits *l, struct str workspace, uint32_t ppm);
void limit_free(struct limits *l);

#endif
