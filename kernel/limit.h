/*
 * Limits of workspaces: requests per second, requests in flight and tokens per
 * second.  This process has a share of each limit; the shares of all processes
 * add up to the whole.
 *
 * Invariant: requests in flight never pass the share by more than one, so a
 * fleet of n processes stays within the limit plus n.
 *
 * A struct limits has no lock: one thread owns it.
 */
#ifndef KERNEL_LIMIT_H
#define KERNEL_LIMIT_H

#include "kernel/conf.h"

#define LIMIT_PPM 1000000U

struct limit {
	char workspace[MAX_NAME_BYTES + 1];
	double requests; /* left in the bucket of requests per second */
	double tokens;   /* left in the bucket of tokens per second */
	usec_t filled_at;
	uint32_t in_flight;
	uint32_t share;   /* millionths; 0: an even share */
	uint64_t arrived; /* requests since start, admitted or not */
	uint64_t charged; /* tokens since start */
};

struct limits {
	struct limit *v;
	size_t n;
	uint32_t sequoiads; /* live sequoiads; an even share is 1/sequoiads */
};

/* Returns 0, or ERR_OVER_LIMIT and the time until a request may be admitted. */
int limit_admit(struct limits *l, const struct conf_workspace *w, usec_t now,
    usec_t *retry_after);
/* Ends an admitted request. */
void limit_release(struct limits *l, const char *workspace);
/* Charges generated tokens afterwards; the bucket may go below zero. */
void limit_charge(struct limits *l, const char *workspace, uint32_t tokens);
/* Sets this process's share in millionths; 0 means an even share. */
void limit_set_share(struct limits *l, struct str workspace, uint32_t ppm);
void limit_free(struct limits *l);

#endif
