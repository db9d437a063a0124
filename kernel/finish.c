#include "kernel/finish.h"
#include "kernel/call.h"
#include "kernel/request_stopping.h"

#include <stdio.h>
#include <string.h>

#define REFUSAL_TIMEOUT (300 * USEC_PER_MSEC)

static void
leave_queue(struct request *rq)
{
	if (rq->node.waiting)
		queue_remove(&rq->services[rq->stage]->queue, &rq->node);
}

/* Returns the part of the document that the pipeline gives to callers. */
static json_t *
select_answer(const struct request *rq)
{
	const struct names *selected = &rq->pipeline->answer;
	json_t *o;

	if (selected->n == 0)
		return json_incref(rq->merged);
	o = json_object();
	for (size_t i = 0; i < selected->n; i++) {
		json_t *v = json_object_get(rq->document, selected->v[i]);

		if (v != NULL)
			json_object_set(o, selected->v[i], v);
	}
	return o;
}

void
finish_fill_claim(const struct request *rq, struct action_claim *c)
{
	c->req = rq->handle;
	buf_put(&c->request_id, str_from(rq->id));
	buf_put(&c->workspace, str_from(rq->workspace->name));
	buf_put(&c->pipeline, str_from(rq->pipeline->name));
	memcpy(c->key, rq->key, sizeof(c->key));
	c->attempt = rq->attempt;
	c->body_hash = rq->body_hash;
}

void
finish_settle(struct kernel *k, const struct request *rq, enum outcome o,
    const struct buf *answer)
{
	struct action *a = actions_add(k->out, ACTION_SETTLE);

	finish_fill_claim(rq, &a->claim);
	a->claim.outcome = rq->effect_sent ? o : OUTCOME_NOT_RUN;
	if (answer != NULL)
		buf_put(&a->claim.answer, str_of(answer));
}

static void
count_end(
    struct kernel *k, const struct request *rq, const struct request_end *e)
{
	k->stats.outcomes[e->outcome]++;
	if (e->error != ERR_OK)
		k->stats.errors[-e->error]++;
	if (e->outcome == OUTCOME_COMPLETE && k->now <= rq->deadline)
		k->stats.deadline_met++;
}

static void
send_answer(struct kernel *k, struct request *rq, const struct request_end *e,
    const struct buf *body)
{
	struct action *a = actions_add(k->out, ACTION_ANSWER);

	a->answer.req = rq->handle;
	a->answer.outcome = e->outcome;
	a->answer.error = e->error;
	a->answer.retry_after = e->retry_after;
	snprintf(a->answer.detail, sizeof(a->answer.detail), "%s",
	    e->detail != NULL ? e->detail : "");
	if (body != NULL)
		buf_put(&a->answer.body, str_of(body));
	trace_write(&rq->trace, &a->answer.trace);
	if (!rq->answered)
		count_end(k, rq, e);
	rq->answered = true;
}

static void
release_limit(struct kernel *k, struct request *rq)
{
	if (rq->admitted)
		limit_release(&k->limits, rq->workspace->name);
	rq->admitted = false;
}

void
finish_request(
    struct kernel *k, struct request *rq, const struct request_end *e)
{
	struct buf body = { 0 };

	leave_queue(rq);
	state_skip_expected(rq, MAX_STAGES);
	while (rq->n_calls > 0)
		call_cancel(k, rq->calls[0], "request ended");
	state_trace(k, rq, TRACE_ENDED, outcome_name(e->outcome), NULL);
	if (e->outcome == OUTCOME_COMPLETE)
		answer_dump(select_answer(rq), &body);
	send_answer(k, rq, e, e->outcome == OUTCOME_COMPLETE ? &body : NULL);
	if (rq->claim == CLAIM_HELD)
		finish_settle(k, rq, e->outcome, &body);
	buf_free(&body);
	release_limit(k, rq);
	if (rq->state == REQUEST_CLAIMING) {
		rq->state = REQUEST_ENDED;
		rq->deadline = k->now + CLAIM_SETTLE_TIME;
	} else {
		g_hash_table_remove(k->requests, &rq->handle);
	}
}

/* Stores the refusal before a caller with a key is answered not-run. */
static void
store_refusal(struct kernel *k, struct request *rq, const struct request_end *e)
{
	struct action *a = actions_add(k->out, ACTION_REFUSE);

	leave_queue(rq);
	state_skip_expected(rq, MAX_STAGES);
	state_trace(k, rq, TRACE_REFUSED, err_name(e->error), NULL);
	finish_fill_claim(rq, &a->claim);
	a->claim.timeout = REFUSAL_TIMEOUT;
	rq->state = REQUEST_REFUSING;
	rq->refusal_error = e->error;
	rq->retry_after = e->retry_after;
	rq->deadline = k->now + 2 * REFUSAL_TIMEOUT;
	snprintf(rq->refusal_detail, sizeof(rq->refusal_detail), "%s",
	    e->detail != NULL ? e->detail : "");
}

/* Outcome of a request that ends now without an answer. */
static enum outcome
current_outcome(const struct request *rq)
{
	if (state_effect_unknown(rq))
		return OUTCOME_UNKNOWN;
	if (rq->calls_sent > 0)
		return OUTCOME_FAILED;
	if (rq->state == REQUEST_CLAIMING)
		return OUTCOME_UNKNOWN;
	return OUTCOME_NOT_RUN;
}

void
finish_without_answer(struct kernel *k, struct request *rq, enum err_kind error,
    const char *detail, usec_t retry_after)
{
	struct request_end e = { current_outcome(rq), error, detail,
		retry_after };

	if (e.outcome == OUTCOME_NOT_RUN && *rq->key != '\0' &&
	    rq->claim == CLAIM_NONE)
		store_refusal(k, rq, &e);
	else
		finish_request(k, rq, &e);
}

void
finish_complete(struct kernel *k, struct request *rq)
{
	struct request_end e = { OUTCOME_COMPLETE, ERR_OK, NULL, 0 };

	request_stopping_ended(k, rq, true);
	finish_request(k, rq, &e);
}

void
finish_answer_unknown(struct kernel *k, struct request *rq, enum err_kind error)
{
	struct request_end e = { OUTCOME_UNKNOWN, error,
		"the call was sent and its answer has not come", 0 };

	send_answer(k, rq, &e, NULL);
	release_limit(k, rq);
	rq->deadline = k->now + CLAIM_SETTLE_TIME;
	for (size_t i = 0; i < rq->n_calls; i++)
		rq->calls[i]->timeout_at = rq->deadline;
}

void
finish_refusal(
    struct kernel *k, struct request *rq, const struct event_claim *ev)
{
	struct request_end e = { OUTCOME_UNKNOWN, rq->refusal_error,
		rq->refusal_detail, rq->retry_after };

	switch (ev->result) {
	case CLAIM_REFUSED:
	case CLAIM_BARRED:
		e.outcome = OUTCOME_NOT_RUN;
		break;
	case CLAIM_TAKEN_DONE:
		finish_replay(k, rq, ev);
		return;
	case CLAIM_TAKEN:
		e.error = ERR_CLAIM_TAKEN;
		break;
	case CLAIM_REUSED:
		e.error = ERR_KEY_REUSED;
		break;
	case CLAIM_OLD:
		e.error = ERR_KEY_OLD;
		break;
	case CLAIM_GRANTED:
	case CLAIM_UNAVAILABLE:
		e.detail = "the refusal could not be kept";
		break;
	}
	finish_request(k, rq, &e);
}

void
finish_replay(
    struct kernel *k, struct request *rq, const struct event_claim *ev)
{
	struct request_end e = { ev->outcome, ERR_OK,
		"an earlier delivery's end", 0 };
	json_t *o = json_loadb(
	    ev->answer.n > 0 ? ev->answer.p : "", ev->answer.n, 0, NULL);

	if (ev->outcome == OUTCOME_COMPLETE && json_is_object(o)) {
		json_object_update(rq->document, o);
		json_decref(rq->merged);
		rq->merged = json_incref(o);
	} else if (ev->outcome == OUTCOME_COMPLETE) {
		e.outcome = OUTCOME_UNKNOWN;
		e.error = ERR_ANSWER_LOST;
	} else {
		e.error = ERR_CLAIM_TAKEN;
	}
	if (e.outcome == OUTCOME_NOT_RUN && rq->calls_sent > 0)
		e.outcome = OUTCOME_FAILED;
	json_decref(o);
	finish_request(k, rq, &e);
}

void
finish_reject(struct kernel *k, const struct event_arrive *ev,
    enum err_kind error, const char *detail)
{
	struct action *a = actions_add(k->out, ACTION_ANSWER);
	bool has_key = ev->key.n > 0 && ev->key.n <= MAX_KEY_BYTES;

	a->answer.req = ev->req;
	a->answer.outcome = OUTCOME_NOT_RUN;
	/* Another host may have accepted another delivery of the key. */
	if (has_key &&
	    (error == ERR_NOT_READY || error == ERR_BAD_TOKEN ||
		error == ERR_NO_PIPELINE))
		a->answer.outcome = OUTCOME_UNKNOWN;
	a->answer.error = error;
	snprintf(a->answer.detail, sizeof(a->answer.detail), "%s", detail);
	buf_put(&a->answer.trace, STR("[]"));
	k->stats.outcomes[a->answer.outcome]++;
	k->stats.errors[-error]++;
}
