#include "kernel/flow.h"
#include "kernel/admit.h"
#include "kernel/finish.h"
#include "kernel/request_stopping.h"

#include <stdlib.h>

static void
enqueue(struct kernel *k, struct request *rq)
{
	const struct conf_stage *s = state_current_stage(rq);

	rq->state = REQUEST_QUEUED;
	k->stats.queued++;
	state_trace(k, rq, TRACE_QUEUED, "no target free", NULL);
	queue_push(&rq->services[rq->stage]->queue, rq->lanes[rq->stage],
	    &rq->node, s->policy.fair != 0 ? rq->deadline : k->now);
}

static enum call_role
next_role(const struct request *rq)
{
	if (state_current_stage(rq)->repeatable == 0 &&
	    state_effect_unknown(rq))
		return CALL_LOOKUP;
	if (rq->tokens > 0)
		return CALL_RESUME;
	return rq->n_tried > 0 ? CALL_RETRY : CALL_FIRST;
}

/*
 * Whether a call can be sent: before the deadline, or to look up an unknown
 * effect, with a target to send it to, and early enough for the exit.  If not,
 * ends the request.
 */
static bool
may_send(struct kernel *k, struct request *rq)
{
	const struct conf_stage *s = state_current_stage(rq);

	if (k->now >= rq->deadline && !state_effect_unknown(rq)) {
		finish_without_answer(k, rq, ERR_DEADLINE, s->name, 0);
		return false;
	}
	if (!call_has_target(k, rq)) {
		finish_without_answer(
		    k, rq, ERR_NO_TARGET, s->service->name, MIN_RETRY_AFTER);
		return false;
	}
	return !request_stopping_refuse(k, rq);
}

void
flow_dispatch(struct kernel *k, struct request *rq)
{
	if (!may_send(k, rq))
		return;
	rq->state = REQUEST_CALLING;
	if (rq->services[rq->stage]->queue.n > 0 ||
	    call_send(k, rq, next_role(rq)) == NULL)
		enqueue(k, rq);
}

static void
request_claim(struct kernel *k, struct request *rq)
{
	struct action *a = actions_add(k->out, ACTION_CLAIM);

	finish_fill_claim(rq, &a->claim);
	a->claim.timeout = rq->deadline > k->now ? rq->deadline - k->now : 0;
	rq->state = REQUEST_CLAIMING;
	state_trace(k, rq, TRACE_CLAIM_ASKED, NULL, NULL);
}

/*
 * Starts a stage that an earlier delivery may have run.  Without a look-up the
 * outcome is unknown.
 */
static void
start_lookup(struct kernel *k, struct request *rq)
{
	struct request_end e = { OUTCOME_UNKNOWN, ERR_CLAIM_TAKEN,
		"an earlier delivery may have run", 0 };

	rq->effect_done = false;
	if (*state_current_stage(rq)->service->lookup == '\0')
		finish_request(k, rq, &e);
	else
		flow_dispatch(k, rq);
}

void
flow_start_stage(struct kernel *k, struct request *rq)
{
	const struct conf_stage *s = state_current_stage(rq);

	state_skip_expected(rq, rq->stage + 1);
	rq->extra_calls = 0;
	rq->hedged = false;
	rq->n_tried = 0;
	rq->tokens = 0;
	buf_clear(&rq->text);
	if (!admit_recheck(k, rq))
		return;
	if (s->repeatable == 0 && rq->claim == CLAIM_NONE)
		request_claim(k, rq);
	else if (s->repeatable == 0 && rq->claim == CLAIM_EARLIER)
		start_lookup(k, rq);
	else
		flow_dispatch(k, rq);
}

/* Cancels the stage's other calls: the first call with output wins. */
static void
cancel_others(struct kernel *k, struct request *rq, const struct call *keep)
{
	for (size_t i = rq->n_calls; i-- > 0;) {
		if (rq->calls[i] != keep)
			call_cancel_overtaken(k, rq->calls[i]);
	}
}

/* A stream's text is taken out of its body. */
static void
count_result(struct kernel *k, struct request *rq, const struct call *c)
{
	size_t n = MAX(c->answer.body.n, rq->text.n);

	rq->result_bytes += n;
	k->result_bytes += n;
}

static void
finish_stage(struct kernel *k, struct request *rq, struct call *c)
{
	json_object_update(rq->document, c->answer.document);
	json_object_update(rq->merged, c->answer.document);
	count_result(k, rq, c);
	k->stats.prompt_tokens += c->answer.prompt_tokens;
	k->stats.cached_tokens += c->answer.cached_tokens;
	state_trace(
	    k, rq, TRACE_STAGE_DONE, NULL, k->targets.v[c->target].addr);
	if (state_current_stage(rq)->repeatable == 0)
		rq->effect_done = true;
	cancel_others(k, rq, c);
	call_succeeded(k, c);
	call_close(k, c);
	if (rq->stage + 1 == rq->pipeline->n_stages) {
		finish_complete(k, rq);
		return;
	}
	rq->stage++;
	flow_start_stage(k, rq);
}

/*
 * Whether the stage may have another call.  If so, the retry budget is charged,
 * unless the target did not start the call.
 */
static bool
may_retry(const struct request *rq, enum call_verdict v, bool unstarted)
{
	const struct conf_stage *s = state_current_stage(rq);
	const struct conf_policy *p = &s->policy;

	/* A response to another call would need the memory as well. */
	if (v == CALL_NOT_FOUND || v == CALL_UNREAD ||
	    rq->extra_calls >= p->retries)
		return false;
	if (rq->tokens > 0 && p->resume == 0)
		return false;
	return unstarted || budget_spend(&rq->stats[rq->stage]->budget, 0);
}

/* Records that the non-repeatable call was not taken and so had no effect. */
static void
clear_effect(struct request *rq)
{
	rq->effect_sent = false;
	for (size_t i = 0; i < rq->stage; i++) {
		if (rq->pipeline->stages[i].repeatable == 0)
			rq->effect_sent = rq->effect_done = true;
	}
}

/* Ends a request whose stage has failed for good. */
static void
fail_stage(struct kernel *k, struct request *rq, enum call_verdict v)
{
	const struct conf_service *s = state_current_stage(rq)->service;
	struct request_end e = { OUTCOME_UNKNOWN, ERR_CLAIM_TAKEN,
		"the look-up shows nothing yet", MIN_RETRY_AFTER };

	if (!state_effect_unknown(rq))
		finish_without_answer(k, rq,
		    v == CALL_UNREAD ? ERR_MEMORY : ERR_TARGET_FAILED, s->name,
		    MIN_RETRY_AFTER);
	else if (rq->claim == CLAIM_EARLIER && v == CALL_NOT_FOUND)
		finish_request(k, rq, &e);
	else
		finish_without_answer(k, rq, ERR_ANSWER_LOST, s->name, 0);
}

/* Whether the target did not start the call, so that it cost nothing. */
static bool
not_started(const struct call *c, enum call_verdict v)
{
	return v == CALL_REFUSED &&
	    (c->status == 0 || c->answer.leaving || c->answer.not_ready);
}

static enum target_fault
call_fault(const struct call *c, enum call_verdict v)
{
	if (v == CALL_REFUSED)
		return FAULT_UNREACHABLE;
	return c->closed_early ? FAULT_CLOSED : FAULT_ANSWER;
}

void
flow_call_failed(
    struct kernel *k, struct call *c, enum call_verdict v, const char *why)
{
	struct request *rq = c->rq;
	const struct conf_stage *s = state_current_stage(rq);
	bool effect = s->repeatable == 0 && c->role != CALL_LOOKUP;
	bool unstarted = not_started(c, v);
	bool retry;

	k->stats.failed_calls++;
	state_trace(
	    k, rq, TRACE_CALL_FAILED, why, k->targets.v[c->target].addr);
	if (v == CALL_BROKEN || (unstarted && !c->answer.leaving))
		targets_failed(&k->targets, c->target, k->now, &s->policy,
		    call_fault(c, v));
	if (v == CALL_REFUSED && effect)
		clear_effect(rq);
	call_close(k, c);
	if (rq->n_calls > 0)
		return;
	/*
	 * While its effect is unknown, a call is not sent again; only a look-up
	 * may follow.
	 */
	if (state_effect_unknown(rq) && *s->service->lookup == '\0')
		retry = false;
	else
		retry = (effect && (v == CALL_BROKEN || v == CALL_UNREAD)) ||
		    may_retry(rq, v, unstarted);
	if (retry)
		flow_dispatch(k, rq);
	else
		fail_stage(k, rq, v);
}

void
flow_caller_gone(struct kernel *k, struct request *rq)
{
	struct request_end e = { OUTCOME_FAILED, ERR_CANCELLED, NULL, 0 };

	if (rq->state == REQUEST_ENDED || rq->state == REQUEST_REFUSING)
		return;
	state_trace(k, rq, TRACE_CALLER_GONE, NULL, NULL);
	if (rq->effect_sent)
		return;
	request_stopping_ended(k, rq, false);
	finish_request(k, rq, &e);
}

/* Whether an earlier delivery's result is known without a look-up. */
static bool
answer_known(const struct request *rq, const struct event_claim *ev)
{
	return ev->outcome != OUTCOME_COMPLETE || ev->answer.n > 0 ||
	    *state_current_stage(rq)->service->lookup == '\0';
}

static void
claim_decided(
    struct kernel *k, struct request *rq, const struct event_claim *ev)
{
	struct request_end e = { OUTCOME_UNKNOWN, ERR_CLAIM_STORE, NULL,
		MIN_RETRY_AFTER };

	rq->state = REQUEST_CALLING;
	switch (ev->result) {
	case CLAIM_GRANTED:
		rq->claim = CLAIM_HELD;
		flow_dispatch(k, rq);
		return;
	case CLAIM_TAKEN_DONE:
		if (answer_known(rq, ev)) {
			finish_replay(k, rq, ev);
			return;
		}
		rq->claim = CLAIM_EARLIER;
		flow_start_stage(k, rq);
		return;
	case CLAIM_TAKEN:
		rq->claim = CLAIM_EARLIER;
		flow_start_stage(k, rq);
		return;
	case CLAIM_BARRED:
		e.outcome =
		    rq->calls_sent == 0 ? OUTCOME_NOT_RUN : OUTCOME_FAILED;
		e.error = ERR_CLAIM_TAKEN;
		e.detail =
		    "this attempt was refused before: raise Sequoia-Attempt";
		e.retry_after = 0;
		break;
	case CLAIM_REUSED:
		e.error = ERR_KEY_REUSED;
		e.retry_after = 0;
		break;
	case CLAIM_OLD:
		e.error = ERR_KEY_OLD;
		e.retry_after = 0;
		break;
	case CLAIM_REFUSED:
	case CLAIM_UNAVAILABLE:
		break;
	}
	finish_request(k, rq, &e);
}

void
flow_claim(struct kernel *k, struct request *rq, const struct event_claim *ev)
{
	static const char *const names[] = { "granted", "refused", "taken-done",
		"taken", "barred", "reused", "old", "unavailable" };

	if (rq->state == REQUEST_QUEUED || rq->state == REQUEST_CALLING)
		return;
	state_trace(k, rq, TRACE_CLAIM_DECIDED, names[ev->result], NULL);
	switch (rq->state) {
	case REQUEST_ENDED:
		if (ev->result == CLAIM_GRANTED)
			finish_settle(k, rq, OUTCOME_NOT_RUN, NULL);
		g_hash_table_remove(k->requests, &rq->handle);
		return;
	case REQUEST_REFUSING:
		finish_refusal(k, rq, ev);
		return;
	case REQUEST_CLAIMING:
		claim_decided(k, rq, ev);
		return;
	case REQUEST_QUEUED:
	case REQUEST_CALLING:
		return;
	}
}

/* Stops reading a call's response. */
static void
stop_reading(struct kernel *k, const struct call *c, bool complete)
{
	struct action *a = actions_add(k->out, ACTION_CANCEL);

	a->cancel.call = c->id;
	a->cancel.answer_complete = complete;
}

void
flow_answer(struct kernel *k, struct call *c, struct str bytes, bool end)
{
	struct request *rq = c->rq;
	enum call_verdict v = call_feed(k, c, bytes, end);
	static const char *const reasons[] = { "", "", "bad answer", "",
		"not taken", "nothing found" };

	if (c->answer.tokens > c->tokens_taken) {
		cancel_others(k, rq, c);
		call_take_tokens(k, c);
	}
	if (v != CALL_INCOMPLETE && !end)
		stop_reading(k, c, v == CALL_DONE);
	switch (v) {
	case CALL_INCOMPLETE:
		break;
	case CALL_DONE:
		finish_stage(k, rq, c);
		break;
	case CALL_BROKEN:
	case CALL_UNREAD:
	case CALL_REFUSED:
	case CALL_NOT_FOUND:
		flow_call_failed(k, c, v, reasons[v]);
		break;
	}
}

void
flow_fail(struct kernel *k, struct call *c, enum call_failure why)
{
	static const char *const reasons[] = { "not connected", "broken",
		"timeout" };

	if (c->waits || (why == FAILURE_TIMEOUT && call_is_unread(k, c))) {
		flow_call_failed(k, c, CALL_UNREAD, "no memory");
		return;
	}
	c->closed_early = why == FAILURE_BROKEN && c->status == 0;
	flow_call_failed(k, c,
	    why == FAILURE_CONNECT ? CALL_REFUSED : CALL_BROKEN, reasons[why]);
}

static void
serve_queue(struct kernel *k, struct service_state *s)
{
	struct queue_node *n;

	while ((n = queue_peek(&s->queue)) != NULL) {
		struct request *rq = (struct request *)n;

		if (!may_send(k, rq) || !admit_recheck(k, rq))
			continue;
		rq->state = REQUEST_CALLING;
		if (call_send(k, rq, next_role(rq)) == NULL) {
			rq->state = REQUEST_QUEUED;
			return;
		}
		queue_serve(&s->queue, n, k->now);
	}
}

void
flow_serve_queues(struct kernel *k)
{
	GHashTableIter it;
	gpointer v;

	if (!k->slot_freed)
		return;
	k->slot_freed = false;
	g_hash_table_iter_init(&it, k->services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct service_state *s = v;

		if (s->slot_freed || k->check_all_queues)
			serve_queue(k, s);
		s->slot_freed = false;
	}
	k->check_all_queues = false;
}

void
flow_free(struct request *rq)
{
	for (size_t i = 0; i < rq->n_calls; i++) {
		answer_free(&rq->calls[i]->answer);
		free(rq->calls[i]);
	}
	*rq->all_results -= rq->result_bytes;
	json_decref(rq->document);
	json_decref(rq->merged);
	buf_free(&rq->text);
	conf_unref(rq->conf);
	free(rq->id);
	free(rq);
}
