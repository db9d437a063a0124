#include "entry/relay_stopping.h"
#include "base/log.h"
#include "entry/exit_guard.h"
#include "entry/relay_answer.h"
#include "entry/stop_signal.h"

#include <inttypes.h>
#include <stdio.h>

/* Returns the times of the stop, as known now. */
static const struct stopping *
look(struct relay_shared *s)
{
	usec_t signal_at = stop_signal_look(s->stop_signal);

	if (signal_at != 0 && s->stopping.signal_at == 0)
		s->stopping = stopping_plan(signal_at, s->drain, s->grace);
	return &s->stopping;
}

const struct stopping *
relay_stopping_look(struct relay_shared *s)
{
	if (look(s)->signal_at == 0 || s->draining)
		return &s->stopping;
	s->draining = true;
	httpd_drain(s->httpd);
	target_calls_drain(s->target_calls, &s->stopping);
	coordinator_drain(s->coordinator, &s->stopping);
	return &s->stopping;
}

static struct request_kind
kind_of(const struct route *route, const struct request_info *info)
{
	struct request_kind k = { .route = route->name,
		.output_tokens = info->output_tokens };

	for (size_t i = 0; i < info->n_pieces; i++)
		k.pieces += info->pieces[i];
	return k;
}

/* How long requests of a kind take, by the last ones and those that run. */
static struct request_time
expected(struct relay_shared *s, const struct request_kind *k, usec_t now)
{
	struct request_times *t = &s->request_times;

	if (!request_times_renew_running(t, now))
		return request_times_expected(t, k);
	for (const GList *l = s->requests.head; l != NULL; l = l->next) {
		const struct relay_request *r = l->data;
		struct request_kind kind = kind_of(r->route, &r->info);
		struct request_time so_far = { now - r->arrived,
			now - r->first_sent_at };

		if (r->first_sent_at != 0)
			request_times_note_running(t, &kind, &so_far);
	}
	return request_times_expected(t, k);
}

struct stopping_need
relay_stopping_need(struct relay_shared *s, const struct route *route,
    const struct request_info *info)
{
	struct stopping_need need = {
		.budget = relay_request_budget(route, info),
	};
	struct request_kind k = kind_of(route, info);

	if (s->stopping.signal_at != 0)
		need.expected = expected(s, &k, clock_now()).whole;
	return need;
}

void
relay_stopping_ended(const struct relay_request *r, bool complete)
{
	struct request_times *t = &r->shared->request_times;
	struct request_kind k = kind_of(r->route, &r->info);
	usec_t now = clock_now();
	struct request_time taken = { now - r->arrived,
		now - r->first_sent_at };

	/* The rest of a stream is shorter than others of its kind. */
	if (r->first_sent_at == 0 || r->info.is_resume)
		return;
	if (complete)
		request_times_record(t, &k, &taken);
	else
		request_times_record_least(t, &k, &taken);
}

/* Whether the caller has got a part of the answer. */
static bool
is_answering(const struct relay_request *r)
{
	/* What is held back until the version is recorded isn't sent. */
	return r->head_written && r->recording == NULL;
}

/* Whether the request gets a failure now, as it can't end before the exit. */
static bool
gives_up(struct relay_request *r, usec_t now)
{
	struct relay_shared *s = r->shared;
	struct request_kind k = kind_of(r->route, &r->info);
	struct stopping_request state = {
		.sent = r->call != NULL || r->may_have_run,
		.answering = is_answering(r),
		.need.budget = r->deadline - now,
	};

	if (!state.sent)
		state.need.expected = expected(s, &k, now).call;
	return stopping_gives_up(&s->stopping, &state, now) &&
	    !stopping_reads_on(&r->stop_read,
		r->call != NULL && target_call_has_input(r->call) &&
		    !target_call_is_held(r->call),
		now);
}

static void
give_up(struct relay_request *r)
{
	struct relay_stop_counts *c = &r->shared->counts.stop;

	r->may_have_run = r->may_have_run || r->call != NULL;
	if (r->may_have_run)
		c->given_up++;
	else
		c->refused++;
	forward_cancel(r);
	relay_request_reject(r,
	    &(struct rejection){
		ERR_DRAINING, RELAY_DRAINING_RETRY, "this host is stopping" });
}

bool
relay_stopping_refuse(struct relay_request *r)
{
	/* The stages' code may call this, so it begins no drain of them. */
	if (look(r->shared)->signal_at == 0 || r->may_have_run ||
	    r->head_written || !gives_up(r, clock_now()))
		return false;
	give_up(r);
	return true;
}

void
relay_stopping_give_up(struct relay_shared *s, usec_t now)
{
	GList *next;

	for (GList *l = s->requests.head; l != NULL; l = next) {
		struct relay_request *r = l->data;

		next = l->next;
		if (gives_up(r, now))
			give_up(r);
	}
}

/* What a request waits for when it is broken off. */
static const char *
cut_cause(const struct relay_request *r)
{
	if (r->call != NULL)
		return r->head_written
		    ? "its target was answering when the host exited"
		    : "its target had not answered when the host exited";
	if (r->head_written)
		return "it waited for a target to go on when the host exited";
	return "it waited for its stages or a target when the host exited";
}

void
relay_stopping_cut(struct relay_shared *s)
{
	struct relay_request *r;

	while ((r = g_queue_peek_head(&s->requests)) != NULL) {
		s->counts.stop.cut++;
		relay_answer_log_cut(
		    r, cut_cause(r), clock_now() - s->stopping.signal_at);
		forward_cancel(r);
		httpd_abort(r->httpd_req);
		relay_request_free(r);
	}
}

/* What is left is counted as cut, as in a forced exit it is. */
static void
report(const struct relay_shared *s, bool final)
{
	const struct relay_stop_counts *c = &s->counts.stop;
	struct coordinator_counts jobs = coordinator_counts(s->coordinator);
	char text[EXIT_GUARD_COUNTS_BYTES];

	snprintf(text, sizeof(text),
	    "%" PRIu64 " requests were taken since the signal and %" PRIu64
	    " refused as not run; at the exit %" PRIu64
	    " were given up and %" PRIu64 " cut, %" PRIu64
	    " responses were not sent to their end; %" PRIu64
	    " stage jobs were handed back and %" PRIu64 " cut, %" PRIu64
	    " calls for other hosts cut, %" PRIu64
	    " responses to them not sent to their end; the stop took %" PRId64
	    " ms",
	    c->taken, c->refused, c->given_up, c->cut + s->requests.length,
	    c->unsent, jobs.stop_handed_back, jobs.stop_cut,
	    target_calls_counts(s->target_calls).stop_cut, c->served_unsent,
	    (clock_now() - s->stopping.signal_at) / USEC_PER_MSEC);
	exit_guard_counts(text, final);
}

void
relay_stopping_note(const struct relay_shared *s)
{
	report(s, false);
}

void
relay_stopping_report(const struct relay_shared *s)
{
	report(s, true);
}
