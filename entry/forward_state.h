/*
 * A request's call to a target, for forward.c, which makes it, and
 * forward_response.c, which reads its response.
 */
#ifndef ENTRY_FORWARD_STATE_H
#define ENTRY_FORWARD_STATE_H

#include "entry/relay_request.h"

/* The target of the last call, or NULL if it is listed no more. */
struct target_load *forward_target(struct relay_request *r);
/* Number of events that the last call has got. */
uint64_t forward_call_events(const struct relay_request *r);
/* Returns the version at which the call has to be made; empty: any. */
struct str forward_call_version(const struct relay_request *r);
/* Notes that the target has read the prompt, or that the call ends. */
void forward_prompt_read(struct relay_request *r);
/* Notes that the call has ended, well or because its target failed. */
void forward_call_ended(struct relay_request *r, bool healthy);
/* Whether the route's attempts and the deadline allow another call. */
bool forward_has_attempts(const struct relay_request *r);
/* The same, and takes it from the retry quota. */
bool forward_can_retry(struct relay_request *r);
/*
 * Sends the request to a target that was not tried yet, or to one that was lost
 * to this host only, or rejects it.
 */
void forward_send(struct relay_request *r);
/*
 * Sends the request to the target that its placer has decided on, or to one
 * that this host chooses.
 */
void forward_send_placed(struct relay_request *r, const char *target);
void forward_send_here(struct relay_request *r);
/*
 * Asks the placer for a target (forward_place.c); returns false if this host
 * has to choose it, and sets why.
 */
bool forward_place(struct relay_request *r);
/* Whether the placer of its service is to decide on the request. */
bool forward_is_placed(const struct relay_request *r);
/* Tells the placer that a call is sent, and what has become of it. */
void forward_place_sent(struct relay_request *r, const struct target_load *t);
void forward_place_begun(struct relay_request *r);
void forward_place_ended(struct relay_request *r, bool healthy);
/* Whether the request is sent again until its time is over. */
bool forward_goes_on(const struct relay_request *r);
/* Rejects the request, unless it goes on later. */
void forward_fail(
    struct relay_request *r, enum err_kind kind, const char *cause);
/*
 * The target refused the call without running it: retries on another target, or
 * rejects the request so that the caller retries later.
 */
void forward_refused(struct relay_request *r, const char *cause);
/*
 * Handles a call that may have run and has no response that can be passed on:
 * retries it if it may be repeated, else fails the request.
 */
void forward_unanswered(struct relay_request *r, const char *cause);
/*
 * The same of a call whose response is missing or incomplete: its target may
 * have crashed.
 */
void forward_lost(struct relay_request *r, const char *cause);
/*
 * The last call's target has answered the rest of a stream with a failure of
 * the request: other targets are asked, but not this one again.
 */
void forward_rest_rejected(struct relay_request *r);
/* Aborts a response of which the caller already has a part. */
void forward_abort_stream(struct relay_request *r, const char *cause);
/*
 * Limits the wait for the next bytes of a call that may be made again.  times:
 * the measured waits of this kind; the others as in response_wait_limit.
 */
void forward_start_waiting(struct relay_request *r,
    const struct response_wait *times, usec_t objective, usec_t extra,
    usec_t left);
void forward_stop_waiting(struct relay_request *r);
/* The handler of the call's events. */
void forward_on_event(void *arg, enum dial_event ev, const struct httpmsg *m);

#endif
