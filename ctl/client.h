/* Asking sequoiads on their operators' address. */
#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include "base/clock.h"
#include "base/str.h"

#include <jansson.h>

struct client_request {
	const char *method; /* GET or POST */
	const char *addr;   /* IP:PORT */
	const char *path;
	const char *const *headers; /* or NULL */
	struct str body;
	usec_t timeout;
	bool echo; /* write the answer to standard output as it comes */
};

/* Carries out one call; the status, or 0 when there was no answer. */
int client_call(const struct client_request *rq, struct buf *out);
/* GET of a JSON document; NULL when it can't be had. */
json_t *client_get(const char *addr, const char *path);
/*
 * Waits until every live sequoiad that the one at addr knows has the
 * generation in force; an exit code.
 */
int client_wait_generation(const char *addr, uint64_t generation);

#endif
