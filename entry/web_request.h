/*
 * A caller's HTTP request while a CivetWeb worker thread serves it; used by
 * that thread only.  Functions return 0 or an error number (enum err_kind)
 * unless noted.
 */
#ifndef ENTRY_WEB_REQUEST_H
#define ENTRY_WEB_REQUEST_H

#include "entry/connfd.h"
#include "entry/in_progress.h"
#include "entry/reply.h"
#include "entry/web.h"
#include "plat/held.h"

struct web_request {
	const struct web_opts *o;
	struct connfd_reads *connfd_reads;
	struct in_progress_list *in_progress;
	struct in_progress progress;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	struct conf *conf;
	const struct conf_workspace *workspace;
	struct reply reply;
	/* The request has been read completely from the connection. */
	bool drained;
	struct held body; /* of the request; until it has ended */
	size_t n_body;    /* bytes that the body may have by now */
};

/* Loads the configuration and finds the workspace of the bearer token. */
int web_request_authorize(struct web_request *wr);
/*
 * Fills a request for a pipeline from headers and body; on an error, detail
 * says what the caller has to correct.
 */
int web_request_read(struct web_request *wr, struct str pipeline,
    struct traffic_request *rq, struct buf *detail);
/* Returns whether the caller accepts a stream of events. */
bool web_request_wants_stream(const struct web_request *wr);
/*
 * Reads Last-Event-ID, the number of text chunks that the caller has; false if
 * it is malformed.
 */
bool web_request_last_event_id(const struct web_request *wr, size_t *seen);
/* Counts a refusal and answers with it; returns the HTTP status. */
int web_request_refuse(
    struct web_request *wr, enum err_kind kind, const char *detail);
/*
 * Waits for the record and writes its answer, either as a stream of events
 * after the first seen chunks or as one response.  Cancels the request once its
 * last caller has disconnected.  Returns the HTTP status.
 */
int web_request_serve(
    struct web_request *wr, struct record *r, size_t seen, bool streamed);

#endif
