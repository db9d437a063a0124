/*
 * Writes responses to callers: JSON, problem documents (RFC 9457) and the
 * events of a stream.  Used by the worker thread that serves the connection.
 */
#ifndef ENTRY_REPLY_H
#define ENTRY_REPLY_H

#include "entry/record.h"

#include <civetweb.h>

/*
 * Used instead of an outcome when the response is not about the request itself.
 */
#define OUTCOME_NONE ((enum outcome) - 1)

struct reply {
	struct mg_connection *conn;
	struct record *record;  /* what it is read from, or NULL */
	const char *request_id; /* empty before the request has an id */
	usec_t sunset;          /* time in the Sunset header; 0: no header */
	const char *allow;      /* value of the Allow header; NULL: no header */
	bool close; /* the connection is closed after the response */
	bool keyed; /* an earlier delivery may have run: refusals say unknown */
	bool about_other; /* about another request: refusals state no outcome */
};

/* Appends the body of a complete answer. */
void reply_complete_body(
    const char *id, const struct record_end *end, struct buf *out);
/* Appends the problem document of any other end. */
void reply_problem_body(
    const char *id, const struct record_end *end, struct buf *out);
/* Sends the response for the end of a request; returns its status. */
int reply_end(const struct reply *r, const struct record_end *end);
/*
 * Sends the response for a request that was refused before it had a record;
 * returns its status.
 */
int reply_refuse(const struct reply *r, enum err_kind kind, const char *detail);
int reply_json(const struct reply *r, int status, struct str body);
/*
 * Sends the header section of a stream; false if the caller has disconnected.
 */
bool reply_stream_head(const struct reply *r);
/* Sends one event; false if the caller has disconnected. */
bool reply_event(
    const struct reply *r, size_t id, const char *kind, struct str data);

#endif
