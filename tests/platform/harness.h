/* A sequoiad process before a world, and callers of it, for tests. */
#ifndef TESTS_PLATFORM_RIG_H
#define TESTS_PLATFORM_RIG_H

#include "tests/platform/fakeplat.h"

#include <sys/types.h>

struct rig_host {
	pid_t pid;
	uint16_t port; /* callers; operators and peers follow */
	char id[16];
	char dir[256];
	uint16_t store; /* the port on which it reaches the store */
	uint16_t seed;  /* callers' port of another host, or 0 */
};

/* Writes the host's settings and starts it; SEQUOIAD names the program. */
void rig_start_host(struct rig_host *h);
/* Waits until it says that it is ready. */
bool rig_wait_ready(const struct rig_host *h, int seconds);
/* The exit status, or -1 if it was killed by a signal. */
int rig_reap(struct rig_host *h);

struct rig_answer {
	int status;      /* 0: none came */
	bool whole;      /* by its framing */
	struct buf body; /* chunks joined */
	struct buf head;
};

/* Sends the bytes and reads until the connection closes or ms are over. */
void rig_talk(uint16_t port, struct str bytes, int ms, struct rig_answer *out);
void rig_answer_free(struct rig_answer *a);

struct rig_request {
	const char *path;
	const char *id;
	const char *script; /* X-Test, or NULL */
	const char *key;    /* NULL: the known one */
	int deadline_ms;
	const char *more; /* further fields, or NULL */
	bool keep;        /* the connection */
};

/* The bytes of a request; freed with g_free. */
char *rig_request(const struct rig_request *q);
/* The configuration that the cases use. */
char *rig_config(int version, const char *extra_route);

#endif
