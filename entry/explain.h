/*
 * POST /explain of the operators' server: what would become of a caller's
 * request now, and why.  The body of the request is the head of the caller's
 * one, as it would be sent to this host.
 *
 * Uses the decisions of requests (relay_request_admit, stages_peek,
 * forward_peek), and changes nothing that they depend on: nothing is counted,
 * reserved or sent.  docs/design/explain.md describes the answer.
 *
 * Runs on the relay's thread.
 */
#ifndef ENTRY_EXPLAIN_H
#define ENTRY_EXPLAIN_H

#include "base/str.h"

struct httpmsg;
struct relay_shared;
struct routes;

/*
 * Appends the JSON answer to out and returns its HTTP status: 200, also for a
 * request that would be rejected; 400 if the head is malformed; 405 for other
 * methods than POST.  routes may be NULL.
 */
int explain_serve(struct relay_shared *s, struct routes *routes,
    const struct httpmsg *q, struct buf *out);

#endif
