/* A loopback proxy that harms the connections that go through it. */
#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <stdint.h>

enum proxy_fault {
	PROXY_NONE,
	PROXY_DELAY,    /* each piece comes 100 ms later */
	PROXY_CUT_UP,   /* nothing gets to the server */
	PROXY_CUT_DOWN, /* nothing gets back */
	PROXY_CUT_BOTH,
	PROXY_FAULTS
};

struct proxy;

struct proxy *proxy_start(void);
/* A link from one port to another; returns its number. */
int proxy_link(struct proxy *p, uint16_t from, uint16_t to);
void proxy_set(struct proxy *p, int link, enum proxy_fault fault);
/* Resets the open connections of a link. */
void proxy_reset(struct proxy *p, int link);
/* The open connections go silent for good; new ones work. */
void proxy_silence(struct proxy *p, int link);
void proxy_stop(struct proxy *p);

#endif
