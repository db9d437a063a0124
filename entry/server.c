#include "entry/server.h"
#include "base/str.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WAKE_INTERVAL (10 * USEC_PER_MSEC)

static void *
stop_server(void *arg)
{
	mg_stop(arg);
	return NULL;
}

/* Returns whether the thread ends within WAKE_INTERVAL. */
static bool
has_ended(pthread_t t)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += (long)WAKE_INTERVAL * 1000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_nsec -= 1000000000;
		until.tv_sec++;
	}
	return pthread_clockjoin_np(t, NULL, CLOCK_MONOTONIC, &until) == 0;
}

bool
server_stop(struct mg_context *ctx, const char *addr, usec_t until)
{
	const char *colon = strrchr(addr, ':');
	bool ended = false;
	char *host;
	pthread_t t;

	if (colon == NULL || pthread_create(&t, NULL, stop_server, ctx) != 0) {
		mg_stop(ctx);
		return true;
	}
	host = str_dup((struct str){ addr, (size_t)(colon - addr) });
	while (!(ended = has_ended(t)) && clock_now() < until) {
		char why[128];
		struct mg_connection *c = mg_connect_client(
		    host, atoi(colon + 1), 0, why, sizeof(why));

		if (c != NULL)
			mg_close_connection(c);
	}
	if (!ended)
		pthread_detach(t);
	free(host);
	return ended;
}
