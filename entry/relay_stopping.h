/*
 * What the stop of the host does to the requests of its relay: which of them
 * end early, and the log lines and counts of that.
 *
 * Runs on the relay's thread, and after it has ended.  Times are in
 * microseconds.
 */
#ifndef ENTRY_RELAY_STOPPING_H
#define ENTRY_RELAY_STOPPING_H

#include "entry/relay_request.h"

/*
 * Looks for the signal to stop, and begins to drain once it is there.  Returns
 * the times of the stop.
 */
const struct stopping *relay_stopping_look(struct relay_shared *s);
/* How long a request on the route lasts at most if it arrives now. */
struct stopping_need relay_stopping_need(struct relay_shared *s,
    const struct route *route, const struct request_info *info);
/*
 * Notes how long a request took that ends now: complete, or early, at its
 * deadline, with its caller or in its answer.
 */
void relay_stopping_ended(const struct relay_request *r, bool complete);
/*
 * Refuses a request that is about to be sent for the first time if its call
 * would last beyond the exit.  Returns whether it did, which frees the request.
 */
bool relay_stopping_refuse(struct relay_request *r);
/* Answers requests that can't end before the exit, first those not sent. */
void relay_stopping_give_up(struct relay_shared *s, usec_t now);
/* Breaks off the requests that are left at the exit. */
void relay_stopping_cut(struct relay_shared *s);
/* Keeps what has become of the requests, for a forced exit. */
void relay_stopping_note(const struct relay_shared *s);
/* Logs what became of the requests since the stop began. */
void relay_stopping_report(const struct relay_shared *s);

#endif
