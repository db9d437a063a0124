/*
 * Calls to targets: chooses a target, sends, parses answers and keeps the
 * statistics.  What the end of a call means for its request is decided in
 * flow.c.
 */
#ifndef KERNEL_CALL_H
#define KERNEL_CALL_H

#include "kernel/state.h"

enum call_verdict {
	CALL_INCOMPLETE, /* more of the answer is to come */
	CALL_DONE,       /* complete answer in call->answer.document */
	CALL_BROKEN,     /* the call has failed */
	CALL_UNREAD,     /* this host had no memory for the response in time */
	CALL_REFUSED,    /* the target did not take the call */
	CALL_NOT_FOUND   /* a look-up found nothing */
};

/*
 * Sends a call of the request's current stage.  Returns NULL if no target can
 * take it now or the request has MAX_CALLS_PER_REQ calls in flight.
 * CALL_LOOKUP requests the result of an earlier call.
 */
struct call *call_send(
    struct kernel *k, struct request *rq, enum call_role role);
/* Parses a part of the response body, or its end. */
enum call_verdict call_feed(
    struct kernel *k, struct call *c, struct str bytes, bool end);
/*
 * Adds the call's tokens that are not counted yet to the request, and streams
 * them if this is the last stage.
 */
void call_take_tokens(struct kernel *k, struct call *c);
/* The response begins to wait for memory, or has waited. */
void call_wait(const struct kernel *k, struct call *c, bool waits);
/*
 * Whether the time of a call is over for want of memory: its response waits for
 * it, or has, for at least as long as its target has been silent since.
 */
bool call_is_unread(const struct kernel *k, const struct call *c);
/* Ends the accounting of a call and frees it. */
void call_close(struct kernel *k, struct call *c);
/* Adds ACTION_CANCEL and closes the call. */
void call_cancel(struct kernel *k, struct call *c, const char *why);
/* Adds the duration of a successful call to the statistics. */
void call_succeeded(struct kernel *k, struct call *c);
/* Adds the time since the start of a call to the moving average. */
void call_record_recent(const struct kernel *k, const struct call *c);
/* Cancels a call that another call of its stage has overtaken. */
void call_cancel_overtaken(struct kernel *k, struct call *c);
/*
 * Marks the target as leaving in all its services and reports it with
 * ACTION_LEAVING.
 */
void call_target_leaving(struct kernel *k, int target);
/* Whether the current service has a target that is not leaving. */
bool call_has_target(const struct kernel *k, const struct request *rq);

#endif
