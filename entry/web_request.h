/* One caller's HTTP request while its worker serves it. */
#ifndef ENTRY_WEB_REQUEST_H
#define ENTRY_WEB_REQUEST_H

#include "entry/connfd.h"
#include "entry/reply.h"
#include "entry/web.h"

struct web_request {
	const struct web_opts *o;
	struct connfd_reads *connfd_reads;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	struct conf *conf;
	const struct conf_workspace *workspace;
	struct reply reply;
	bool drained; /* nothing of the request is left on the connection */
};

/* Finds the workspace by the bearer token; 0 or an error number. */
int web_request_authorize(struct web_request *v);
/*
 * Fills a request for a pipeline from headers and body; 0 or an error number
 * with detail, which names what to write.
 */
int web_request_read(struct web_request *v, struct str pipeline,
    struct traffic_request *rq, struct buf *detail);
/* Whether the caller asks for a stream of events. */
bool web_request_wants_stream(const struct web_request *v);
/* Reads Last-Event-ID: how many pieces the caller has; false if nonsense. */
bool web_request_last_event_id(const struct web_request *v, size_t *seen);
/* Answers a refusal and counts it; returns the status. */
int web_request_refuse(
    struct web_request *v, enum err_kind kind, const char *detail);
/*
 * Waits for the record and writes its answer, as a stream from piece seen on
 * or as a whole.  Cancels the request once its last caller has gone.
 */
int web_request_serve(
    struct web_request *v, struct record *r, size_t seen, bool streamed);

#endif
