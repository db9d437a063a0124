/*
 * Client of the platform's host list, which lists the targets of all services.
 * The list is polled with conditional requests (ETag), so that an unchanged
 * list is not transferred again.  All functions belong to the thread of the
 * loop.
 */
#ifndef PLAT_HOSTS_H
#define PLAT_HOSTS_H

#include "kernel/event.h"
#include "plat/http.h"

struct host_memory;
struct hosts;

struct hosts_opts {
	struct http_loop *loop;
	const char *addr; /* IP:PORT; empty: there is no host list */
	usec_t timeout;   /* of one request */
	/* Called with each list that differs from the one before it. */
	void (*changed)(void *arg, const struct listed_target *v, size_t n);
	struct host_memory *memory; /* or NULL */
	void *arg;
};

struct hosts *hosts_new(const struct hosts_opts *o);
/* Requests the list unless a request is in flight. */
void hosts_poll(struct hosts *h);
void hosts_free(struct hosts *h);

#endif
