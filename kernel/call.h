/*
 * Calls: choosing a target, sending, reading answers, accounting.  What a
 * call's end means for its request is decided in flow.c.
 */
#ifndef KERNEL_CALL_H
#define KERNEL_CALL_H

#include "kernel/state.h"

enum call_verdict {
	CALL_INCOMPLETE,   /* more is to come */
	CALL_DONE,    /* the answer is whole: call->answer.document */
	CALL_BROKEN,  /* this attempt has failed */
	CALL_REFUSED, /* the target did not take it */
	CALL_NOT_FOUND   /* a look-up found nothing */
};

/*
 * Sends a call of the request's present stage; NULL when no target can take
 * it now.  role CALL_LOOKUP asks what an earlier call has done.
 */
struct call *call_send(
    struct kernel *k, struct request *rq, enum call_role role);
/* Takes a part of the answer, or its end. */
enum call_verdict call_feed(
    struct kernel *k, struct call *c, struct str bytes, bool end);
/* Takes over the tokens that came since the last time. */
void call_take_tokens(struct kernel *k, struct call *c);
/* Ends the accounting of a call and frees it. */
void call_close(struct kernel *k, struct call *c);
/* Tells the driver to give it up, then closes it. */
void call_cancel(struct kernel *k, struct call *c, const char *why);
/* Takes the time of a successful call into the statistics. */
void call_succeeded(struct kernel *k, struct call *c);
/* Takes the time that a call has been under way into the recent average. */
void call_record_recent(const struct kernel *k, const struct call *c);
/* Gives up a call that another one of its stage has overtaken. */
void call_cancel_overtaken(struct kernel *k, struct call *c);
/* The target said that it is leaving, in whatever service it has. */
void call_target_leaving(struct kernel *k, int target);
/* Whether the present service has any target that is not leaving. */
bool call_has_target(const struct kernel *k, const struct request *rq);

#endif
