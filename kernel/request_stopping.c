#include "kernel/request_stopping.h"
#include "kernel/finish.h"

static const char given_up[] = "this host is stopping";

/*
 * After a standstill, what is read is handled as of an earlier time
 * (http_read_until); the exit comes no later for that.
 */
static usec_t
now(const struct kernel *k)
{
	return MAX(k->now, k->stopping.seen_at);
}

/* The kind of a request from the given stage on. */
static struct request_kind
kind_of(const struct request *rq, size_t stage)
{
	/* Powers of two, as each number of stages is a kind of its own. */
	return (struct request_kind){ .route = rq->pipeline->name,
		.pieces = 1U << (rq->pipeline->n_stages - stage) };
}

void
request_stopping_begin(struct kernel *k, const struct stopping *times)
{
	if (k->stopping.signal_at == 0)
		k->stopping = *times;
}

void
request_stopping_ended(
    struct kernel *k, const struct request *rq, bool complete)
{
	struct request_kind kind;
	struct request_time taken;

	/* The effect of an earlier delivery takes no time. */
	if (rq->claim == CLAIM_EARLIER)
		return;
	for (size_t i = 0; i <= rq->stage && rq->stage_sent_at[i] != 0; i++) {
		kind = kind_of(rq, i);
		taken.whole = now(k) - rq->arrived;
		taken.call = now(k) - rq->stage_sent_at[i];
		if (complete)
			request_times_record(&k->times, &kind, &taken);
		else
			request_times_record_least(&k->times, &kind, &taken);
	}
}

static void
note_running(struct kernel *k, const struct request *rq)
{
	struct request_kind kind;
	struct request_time so_far;

	for (size_t i = 0; i <= rq->stage && rq->stage_sent_at[i] != 0; i++) {
		kind = kind_of(rq, i);
		so_far.whole = now(k) - rq->arrived;
		so_far.call = now(k) - rq->stage_sent_at[i];
		request_times_note_running(&k->times, &kind, &so_far);
	}
}

/*
 * How long requests of the pipeline take from the request's stage on, by the
 * last ones and those that run.
 */
static struct request_time
expected(struct kernel *k, const struct request *like)
{
	struct request_kind kind = kind_of(like, like->stage);
	GHashTableIter it;
	gpointer v;

	if (request_times_renew_running(&k->times, now(k))) {
		g_hash_table_iter_init(&it, k->requests);
		while (g_hash_table_iter_next(&it, NULL, &v)) {
			const struct request *rq = v;

			if (!rq->answered)
				note_running(k, rq);
		}
	}
	return request_times_expected(&k->times, &kind);
}

/* Whether a call was sent, or an earlier delivery may have sent one. */
static bool
may_have_run(const struct request *rq)
{
	return rq->calls_sent > 0 || rq->claim == CLAIM_EARLIER ||
	    rq->state == REQUEST_CLAIMING || rq->state == REQUEST_REFUSING;
}

static bool
gives_up(struct kernel *k, const struct request *rq)
{
	struct stopping_request state = {
		.sent = may_have_run(rq),
		.need.budget = rq->deadline - now(k),
	};

	if (!state.sent)
		state.need.expected = expected(k, rq).call;
	return stopping_gives_up(&k->stopping, &state, now(k));
}

static void
refuse(struct kernel *k, struct request *rq)
{
	k->stats.stop_requests_refused++;
	finish_without_answer(k, rq, ERR_DRAINING, NULL, 0);
}

bool
request_stopping_refuse_new(struct kernel *k, struct request *rq)
{
	struct stopping_need need = { .budget = rq->deadline - now(k) };

	if (k->stopping.signal_at == 0)
		return false;
	need.expected = expected(k, rq).whole;
	if (stopping_takes(&k->stopping, &need, now(k)))
		return false;
	refuse(k, rq);
	return true;
}

bool
request_stopping_refuse(struct kernel *k, struct request *rq)
{
	if (k->stopping.signal_at == 0 || may_have_run(rq) || !gives_up(k, rq))
		return false;
	refuse(k, rq);
	return true;
}

bool
request_stopping_give_up(struct kernel *k, struct request *rq)
{
	struct request_end e = { OUTCOME_UNKNOWN, ERR_DRAINING, given_up, 0 };
	usec_t settles_at = stopping_settles_at(&k->stopping);

	if (k->stopping.signal_at == 0)
		return false;
	if (rq->answered) {
		rq->deadline = MIN(rq->deadline, settles_at);
		return false;
	}
	if (!gives_up(k, rq))
		return false;
	if (!may_have_run(rq)) {
		refuse(k, rq);
		return true;
	}
	k->stats.stop_requests_given_up++;
	if (rq->state == REQUEST_REFUSING) {
		finish_request(k, rq, &e);
	} else if (rq->effect_sent && !rq->effect_done) {
		finish_answer_unknown(k, rq, ERR_DRAINING);
		rq->deadline = settles_at;
	} else {
		finish_without_answer(k, rq, ERR_DRAINING, given_up, 0);
	}
	return true;
}
