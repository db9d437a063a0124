/* Answers of the relay's own, and the lines that tell a request's end. */
#ifndef ENTRY_RELAY_ANSWER_H
#define ENTRY_RELAY_ANSWER_H

#include "entry/relay_request.h"

/* Answers with an error, in the form of RFC 9457. */
void relay_problem(
    struct httpd_request *q, struct str id, const struct rejection *why);
void relay_log_rejection(struct str id, const struct rejection *why,
    const char *route, usec_t waited);
void relay_log_end(
    const struct relay_request *r, const char *outcome, usec_t took);

#endif
