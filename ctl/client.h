/*
 * HTTP client for sequoiads.  Functions block until the call has ended; each
 * uses a loop of its own.
 */
#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include "base/clock.h"
#include "base/str.h"

#include <jansson.h>

struct client_request {
	const char *method; /* GET or POST */
	const char *addr;   /* IP:PORT */
	const char *path;
	/* Lines "Name: value", ends with NULL; or NULL. */
	const char *const *headers;
	struct str body;
	usec_t timeout; /* limit on the whole call; 0: no limit */
	bool echo;      /* copy the response to standard output as it arrives */
};

/*
 * Carries out one call and appends the response body to out.  Returns the HTTP
 * status, or 0 if there was no complete response.
 */
int client_call(const struct client_request *rq, struct buf *out);
/* Gets a JSON document; NULL if the call fails or the status is not 200. */
json_t *client_get(const char *addr, const char *path);
/*
 * Polls the status of the sequoiad at addr until all live and draining members
 * that it lists have the generation in force.  Returns EXIT_DONE, or
 * EXIT_UNREACHABLE after 30 s.
 */
int client_wait_generation(const char *addr, uint64_t generation);

#endif
