/*
 * Test harness: starts sequoiad processes that use a fake platform, and sends
 * requests to them as callers do.
 */
#ifndef TESTS_PLATFORM_HARNESS_H
#define TESTS_PLATFORM_HARNESS_H

#include "tests/platform/fakeplat.h"

#include <sys/types.h>

struct harness_host {
	pid_t pid;
	uint16_t port; /* for callers; port + 1: operators, port + 2: RPC */
	char id[16];
	char dir[256];
	uint16_t store_port; /* where the host reaches the store */
	uint16_t seed_port;  /* port (for callers) of a peer to join, or 0 */
	bool old;            /* runs the older program */
	int memory_mb;       /* 0: the default */
	int grace_ms;        /* 0: 4700, and drain_ms is 500 */
	int drain_ms;
	int placer_min_hosts; /* 0: the default */
};

/*
 * Writes the host's settings, starts it and waits until it handles SIGTERM. The
 * environment variable SEQUOIAD names the program, and SEQUOIAD_OLD the older
 * one; without it both are the same.
 */
void harness_start_host(struct harness_host *h);
/* Waits until GET /readyz succeeds; returns false after the timeout. */
bool harness_wait_ready(const struct harness_host *h, int timeout_seconds);
/* Waits until the log has the text; returns false after the timeout. */
bool harness_wait_log(
    const struct harness_host *h, const char *text, int timeout_seconds);
/*
 * Waits until the process ends; returns its exit status, or -1 if a signal
 * killed it.
 */
int harness_wait_exit(struct harness_host *h);
/*
 * Returns when a process that got SIGTERM at a time of clock_now ended; call it
 * right after harness_wait_exit.  The sanitizer looks for leaks after the last
 * line of the log, which may take seconds beside load, so with it that line
 * counts, unless ASAN_OPTIONS has detect_leaks=0.
 */
usec_t harness_ended_at(const struct harness_host *h, usec_t term_at);

struct harness_response {
	int status;      /* 0: no response */
	bool complete;   /* according to its framing */
	struct buf body; /* without chunked framing */
	struct buf raw;  /* all bytes received */
};

/*
 * Sends the bytes and reads until the connection closes or the timeout is
 * over.
 */
void harness_exchange(uint16_t port, struct str bytes, int timeout_ms,
    struct harness_response *out);
void harness_response_free(struct harness_response *a);

struct harness_request {
	const char *path;
	const char *id;
	const char *behavior; /* X-Test: how the target behaves; or NULL */
	const char *api_key;  /* NULL: the configured one */
	int deadline_ms;
	const char *extra_fields; /* header lines, or NULL */
	const char *body;         /* NULL: "body" */
	bool keep_alive;
};

/* Returns the bytes of a request, to be freed with g_free. */
char *harness_format(const struct harness_request *q);
/*
 * Returns the configuration of the tests.  extra_route is a comma and the JSON
 * text of one more route, or NULL.
 */
char *harness_config(int version, const char *extra_route);

#endif
