/* One caller's HTTP request while its worker serves it. */
#ifndef ENTRY_VISIT_H
#define ENTRY_VISIT_H

#include "entry/guard.h"
#include "entry/reply.h"
#include "entry/web.h"

struct visit {
	const struct web_opts *o;
	struct guard *guard;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	struct conf *conf;
	const struct conf_workspace *workspace;
	struct reply reply;
	bool body_read; /* nothing of the request is left on the connection */
};

/* Finds the workspace by the bearer token; 0 or an error number. */
int visit_authorize(struct visit *v);
/*
 * Fills a request for a pipeline from headers and body; 0 or an error number
 * with detail, which names what to write.
 */
int visit_read(struct visit *v, struct str pipeline, struct traffic_request *rq,
    struct buf *detail);
/* Whether the caller asks for a stream of events. */
bool visit_streams(const struct visit *v);
/* Reads Last-Event-ID: how many pieces the caller has; false if nonsense. */
bool visit_seen(const struct visit *v, size_t *seen);
/* Answers a refusal and counts it; returns the status. */
int visit_refuse(struct visit *v, enum err_kind kind, const char *detail);
/*
 * Waits for the record and writes its answer, as a stream from piece seen on
 * or as a whole.  Cancels the request once its last caller has gone.
 */
int visit_serve(struct visit *v, struct record *r, size_t seen, bool streamed);

#endif
