#include "kernel/run_promise.h"

static const int statuses[RUN_PROMISES] = {
	[RUN_PROMISE_TIMEOUT] = 408,
	[RUN_PROMISE_MISDIRECTED] = 421,
	[RUN_PROMISE_TOO_MANY] = 429,
	[RUN_PROMISE_UNAVAILABLE] = 503,
};

enum run_promise
run_promise_of(int status)
{
	for (int i = 0; i < RUN_PROMISES; i++) {
		if (statuses[i] == status)
			return (enum run_promise)i;
	}
	return RUN_PROMISE_NONE;
}

int
run_promise_status(enum run_promise p)
{
	return p < RUN_PROMISES ? statuses[p] : 0;
}

enum run_response
run_promise_judge(int status, bool not_executed)
{
	if (not_executed)
		return RUN_REFUSED;
	return run_promise_of(status) != RUN_PROMISE_NONE ? RUN_UNCERTAIN
							  : RUN_ANSWERED;
}

enum err_kind
run_promise_error(enum err_kind kind, bool may_have_run)
{
	if (may_have_run &&
	    run_promise_of(err_status(kind)) != RUN_PROMISE_NONE)
		return ERR_TARGET_FAILED;
	return kind;
}
