#include "kernel/watch.h"
#include "kernel/admit.h"
#include "kernel/ending.h"
#include "kernel/flow.h"

#define MIN_STALL     (250 * USEC_PER_MSEC)
#define STALL_GAPS    20 /* times the 99th percentile between tokens */
#define STALL_WHOLE   4  /* times the 99th percentile of a call */
/* Extra calls that hedges leave to retries. */
#define RETRY_RESERVE 2.0

/* How long a call may make no progress before it counts as silent. */
static usec_t
silence_limit(const struct call *c)
{
	const struct request *rq = c->rq;
	const struct stage_stats *st = rq->stats[rq->stage];
	usec_t limit;

	if (c->passed > 0)
		limit = STALL_GAPS * quant_get(&st->gap, 99, MIN_STALL);
	else
		limit = STALL_WHOLE *
		    quant_get(state_first_sign(rq), 99, rq->pipeline->deadline);
	return limit > MIN_STALL ? limit : MIN_STALL;
}

static void
watch_call(struct kernel *k, struct call *c)
{
	const struct conf_stage *s = state_at(c->rq);
	const char *why = NULL;

	if (k->now >= c->timeout_at) {
		why = "timeout";
	} else if (s->policy.stall != 0 && s->repeatable != 0 &&
	    k->now - c->progress_at >= silence_limit(c)) {
		why = "silent";
		k->stats.silent_calls++;
	}
	if (why == NULL)
		return;
	actions_add(k->out, ACTION_CANCEL)->cancel.call = c->id;
	flow_lose_call(k, c, CALL_BROKEN, why);
}

static void
try_hedge(struct kernel *k, struct request *rq)
{
	const struct conf_stage *s = state_at(rq);
	usec_t after;

	if (s->policy.hedge == 0 || s->repeatable == 0 || rq->hedged ||
	    rq->n_calls != 1 || rq->tokens > 0)
		return;
	after = quant_get(state_first_sign(rq), s->policy.hedge_quantile,
	    rq->pipeline->deadline);
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

/* Ends a request that is late; its calls would have taken longer still. */
static void
miss_deadline(struct kernel *k, struct request *rq)
{
	for (size_t i = 0; i < rq->n_calls; i++)
		call_average(k, rq->calls[i]);
	ending_give_up(k, rq, ERR_DEADLINE, state_at(rq)->name, 0);
}

static void
deadline_passed(struct kernel *k, struct request *rq)
{
	struct ending e = { OUTCOME_UNKNOWN, rq->refusal,
		"the refusal could not be kept", 0 };

	if (rq->state == REQUEST_OVER)
		g_hash_table_remove(k->requests, &rq->handle);
	else if (rq->state == REQUEST_REFUSING)
		ending_conclude(k, rq, &e);
	else if (rq->effect_sent && !rq->effect_done && !rq->told)
		ending_linger(k, rq);
	else
		miss_deadline(k, rq);
}

void
watch_request(struct kernel *k, struct request *rq)
{
	uint64_t handle = rq->handle;

	if (k->now >= rq->deadline) {
		deadline_passed(k, rq);
		return;
	}
	if (rq->state == REQUEST_QUEUED) {
		admit_still(k, rq);
		return;
	}
	if (rq->state != REQUEST_CALLING)
		return;
	for (size_t i = rq->n_calls; i-- > 0;) {
		watch_call(k, rq->calls[i]);
		if (g_hash_table_lookup(k->requests, &handle) == NULL ||
		    rq->state != REQUEST_CALLING)
			return;
	}
	try_hedge(k, rq);
}
