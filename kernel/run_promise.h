/*
 * What a caller may be told of the run of its request.
 *
 * Load pattern: targets fail a part of their requests after they have run them,
 * with statuses that promise a caller that its request was not run and never
 * will be.  Callers send a request again after such a status, also one that
 * must not run twice.  So the promise is made only where no target has run the
 * request, and a target's status alone doesn't show that.
 */
#ifndef KERNEL_RUN_PROMISE_H
#define KERNEL_RUN_PROMISE_H

#include "base/err.h"

#include <stdbool.h>

/* The statuses that promise it, by index. */
enum run_promise {
	RUN_PROMISE_TIMEOUT,     /* 408 */
	RUN_PROMISE_MISDIRECTED, /* 421 */
	RUN_PROMISE_TOO_MANY,    /* 429 */
	RUN_PROMISE_UNAVAILABLE, /* 503 */
	RUN_PROMISES,
	RUN_PROMISE_NONE = RUN_PROMISES /* any other status */
};

enum run_promise run_promise_of(int status);
/* Returns the status of a promise. */
int run_promise_status(enum run_promise p);

/* What a target's complete response means for the request. */
enum run_response {
	RUN_REFUSED,   /* it was not run, as the target states */
	RUN_ANSWERED,  /* the response may be passed on to the caller */
	RUN_UNCERTAIN, /* it may have run, but the status promises that not */
};

/* not_executed: the target states that it ran nothing. */
enum run_response run_promise_judge(int status, bool not_executed);
/*
 * Returns the error that a caller is told in place of kind, whose status
 * promises too much if a target may have run the request.
 */
enum err_kind run_promise_error(enum err_kind kind, bool may_have_run);

#endif
