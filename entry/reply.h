/* Writing answers: JSON, problems (RFC 9457) and events of a stream. */
#ifndef ENTRY_REPLY_H
#define ENTRY_REPLY_H

#include "entry/record.h"

#include <civetweb.h>

/* In place of an outcome: the answer is not about the request itself. */
#define OUTCOME_NONE ((enum outcome) - 1)

struct reply {
	struct mg_connection *conn;
	const char *request_id; /* may be empty */
	usec_t sunset;          /* for the Sunset header; 0: none */
	const char *allow;      /* for the Allow header, may be NULL */
	bool close;             /* the connection ends after this answer */
	bool keyed; /* an earlier delivery may have run: refusals say unknown */
	bool about_other; /* about another request: refusals say no outcome */
};

/* The body of a complete answer. */
void reply_complete_body(
    const char *id, const struct record_end *end, struct buf *out);
/* The body of any other end. */
void reply_problem_body(
    const char *id, const struct record_end *end, struct buf *out);
/* A whole response for an end; returns its status. */
int reply_end(const struct reply *r, const struct record_end *end);
/* A response for a request that was refused before it had a record. */
int reply_refuse(const struct reply *r, enum err_kind kind, const char *detail);
int reply_json(const struct reply *r, int status, struct str body);
/* The head of a stream; false when the caller has gone. */
bool reply_stream_head(const struct reply *r);
/* One event; false when the caller has gone. */
bool reply_event(
    const struct reply *r, size_t id, const char *kind, struct str data);

#endif
