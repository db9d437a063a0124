#include "kernel/timeouts.h"
#include "kernel/admit.h"
#include "kernel/finish.h"
#include "kernel/flow.h"
#include "kernel/request_stopping.h"

/* Shortest time without progress that counts as a stall. */
#define MIN_STALL     (250 * USEC_PER_MSEC)
/*
 * Longest normal times between tokens and to the first output of a call, in
 * multiples of their 99th percentiles.
 */
#define STALL_GAPS    20
#define STALL_CALLS   4
/* Extra calls in the budget that hedges leave to retries. */
#define RETRY_RESERVE 2.0

/* Time without progress after which a call is cancelled. */
static usec_t
stall_limit(const struct call *c)
{
	const struct request *rq = c->rq;
	const struct stage_stats *st = rq->stats[rq->stage];
	usec_t limit;

	if (c->tokens_taken > 0)
		limit = STALL_GAPS *
		    histogram_percentile(&st->token_gap, 99, MIN_STALL);
	else
		limit = STALL_CALLS *
		    histogram_percentile(
			state_first_output(rq), 99, rq->pipeline->deadline);
	return limit > MIN_STALL ? limit : MIN_STALL;
}

static void
check_call(struct kernel *k, struct call *c)
{
	const struct conf_stage *s = state_current_stage(c->rq);
	enum call_verdict v = CALL_BROKEN;
	const char *why = NULL;

	if (k->now >= c->timeout_at && call_is_unread(k, c)) {
		why = "no memory";
		v = CALL_UNREAD;
	} else if (k->now >= c->timeout_at) {
		why = "timeout";
	} else if (!c->waits && s->policy.stall != 0 && s->repeatable != 0 &&
	    k->now - c->progress_at >= stall_limit(c)) {
		why = "silent";
		k->stats.silent_calls++;
	}
	if (why == NULL)
		return;
	actions_add(k->out, ACTION_CANCEL)->cancel.call = c->id;
	flow_call_failed(k, c, v, why);
}

static void
try_hedge(struct kernel *k, struct request *rq)
{
	const struct conf_stage *s = state_current_stage(rq);
	usec_t after;

	if (s->policy.hedge == 0 || s->repeatable == 0 || rq->hedged ||
	    rq->n_calls != 1 || rq->tokens > 0 || rq->calls[0]->waits)
		return;
	after = histogram_percentile(state_first_output(rq),
	    s->policy.hedge_quantile, rq->pipeline->deadline);
	if (k->now - rq->calls[0]->started <= after)
		return;
	if (rq->services[rq->stage]->queue.n > 0)
		return;
	rq->hedged = true;
	if (!budget_spend(&rq->stats[rq->stage]->budget, RETRY_RESERVE))
		return;
	if (call_send(k, rq, CALL_HEDGE) == NULL)
		budget_return(&rq->stats[rq->stage]->budget);
}

/*
 * Ends a request at its deadline.  Its calls count in the moving average with
 * their time so far, as they would have taken longer still.
 */
static void
fail_at_deadline(struct kernel *k, struct request *rq)
{
	for (size_t i = 0; i < rq->n_calls; i++)
		call_record_recent(k, rq->calls[i]);
	request_stopping_ended(k, rq, false);
	finish_without_answer(
	    k, rq, ERR_DEADLINE, state_current_stage(rq)->name, 0);
}

static void
deadline_passed(struct kernel *k, struct request *rq)
{
	struct request_end e = { OUTCOME_UNKNOWN, rq->refusal_error,
		"the refusal could not be kept", 0 };

	if (rq->state == REQUEST_ENDED)
		g_hash_table_remove(k->requests, &rq->handle);
	else if (rq->state == REQUEST_REFUSING)
		finish_request(k, rq, &e);
	else if (rq->effect_sent && !rq->effect_done && !rq->answered)
		finish_answer_unknown(k, rq, ERR_DEADLINE);
	else
		fail_at_deadline(k, rq);
}

void
timeouts_check(struct kernel *k, struct request *rq)
{
	uint64_t handle = rq->handle;

	if (k->now >= rq->deadline) {
		deadline_passed(k, rq);
		return;
	}
	if (request_stopping_give_up(k, rq))
		return;
	if (rq->state == REQUEST_QUEUED) {
		admit_recheck(k, rq);
		return;
	}
	if (rq->state != REQUEST_CALLING)
		return;
	for (size_t i = rq->n_calls; i-- > 0;) {
		check_call(k, rq->calls[i]);
		if (g_hash_table_lookup(k->requests, &handle) == NULL ||
		    rq->state != REQUEST_CALLING)
			return;
	}
	try_hedge(k, rq);
}
