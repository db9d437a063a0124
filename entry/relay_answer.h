/*
 * Responses that the relay generates itself, and the log lines for the calls
 * and the end of a request.
 */
#ifndef ENTRY_RELAY_ANSWER_H
#define ENTRY_RELAY_ANSWER_H

#include "entry/relay_request.h"

/* Responds with an error as a problem document (RFC 9457); id may be empty. */
void relay_answer_problem(
    struct httpd_request *q, struct str id, const struct rejection *why);
void relay_answer_log_rejection(struct str id, const struct rejection *why,
    const char *route, usec_t waited);
/* Logs what decided the choice of a target, and how old its load report is. */
void relay_answer_log_sent(
    const struct relay_request *r, const struct target_load *t, usec_t left);
/*
 * Logs a lost call with its content, the parts of its prompt and how many
 * events it had got.
 */
void relay_answer_log_lost(const struct relay_request *r, const char *cause,
    uint64_t events, bool again);
void relay_answer_log_end(
    const struct relay_request *r, const char *outcome, usec_t took);
/*
 * Logs a request that a stop of the host breaks off, as long after the stop
 * began as given.
 */
void relay_answer_log_cut(
    const struct relay_request *r, const char *cause, usec_t since_stop);

#endif
