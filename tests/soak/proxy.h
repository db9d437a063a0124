/*
 * TCP proxy on loopback that injects faults into the connections through it.
 *
 * The proxy has its own thread; functions may be called from the test's
 * thread.
 */
#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <stdint.h>

enum proxy_fault {
	PROXY_NONE,
	PROXY_DELAY,    /* forwards data after 100 ms */
	PROXY_CUT_UP,   /* forwards nothing to the server */
	PROXY_CUT_DOWN, /* forwards nothing to the client */
	PROXY_CUT_BOTH,
	PROXY_FAULTS
};

/* What happens to new connections of a link. */
enum proxy_listen {
	PROXY_ACCEPT,
	PROXY_REFUSE, /* they are refused */
	PROXY_HANG    /* they are neither accepted nor refused */
};

struct proxy;

struct proxy *proxy_start(void);
/*
 * Adds a link: forwards connections from one port to another.  Returns the
 * number of the link.
 */
int proxy_link(struct proxy *p, uint16_t from, uint16_t to);
void proxy_set_fault(struct proxy *p, int link, enum proxy_fault fault);
/* Open connections of the link stay as they are. */
void proxy_set_listen(struct proxy *p, int link, enum proxy_listen how);
/* Resets the open connections of a link. */
void proxy_reset(struct proxy *p, int link);
/*
 * Stops forwarding on the open connections of a link for good; new connections
 * are forwarded.
 */
void proxy_silence(struct proxy *p, int link);
void proxy_stop(struct proxy *p);

#endif
