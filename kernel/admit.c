#include "kernel/admit.h"
#include "kernel/finish.h"
#include "kernel/flow.h"
#include "kernel/request_stopping.h"

#include <stdio.h>
#include <string.h>

/* Percentile of a stage's duration that a new request must have time for. */
#define MEDIAN_PERCENT  50
/*
 * Percentile instead of MEDIAN_PERCENT while BUSY_REQUESTS requests of the
 * workspace wait.
 */
#define BUSY_PERCENT    95
#define BUSY_REQUESTS   4
/* Percentile while this process has no calls in flight at the service. */
#define IDLE_PERCENT    10
/* Percentile for a request that is queued or starts a stage. */
#define LATER_PERCENT   50
/* Factor on the time between ends of calls, for calls that arrive meanwhile. */
#define INTERVAL_MARGIN 1.3
/* Limit on the estimate of a call, in multiples of recent calls' duration. */
#define RECENT_FACTOR   2
/* 1/WAIT_MARGIN of a wait is added, for requests that arrive meanwhile. */
#define WAIT_MARGIN     3

/* Time for the current stage and those after it, by a percentile. */
static usec_t
time_needed(const struct request *rq, unsigned percent)
{
	usec_t sum = 0;

	for (size_t i = rq->stage; i < rq->pipeline->n_stages; i++)
		sum +=
		    histogram_percentile(&rq->stats[i]->call_time, percent, 0);
	return sum;
}

bool
admit_recheck(struct kernel *k, struct request *rq)
{
	if (state_current_stage(rq)->policy.admission == 0 || rq->effect_sent)
		return true;
	if (k->now + time_needed(rq, LATER_PERCENT) <= rq->deadline)
		return true;
	finish_without_answer(k, rq, ERR_NO_TIME,
	    "the stages left need more time", MIN_RETRY_AFTER);
	return false;
}

/*
 * Estimates the duration of a new call where calls queue at the targets: the
 * time in which it and the calls in flight end, at the present interval, but at
 * most RECENT_FACTOR times the duration of recent calls.
 */
static usec_t
estimate_queued_call(
    const struct stage_stats *st, const struct service_state *s)
{
	double by_interval =
	    ((double)s->in_flight + 1) * s->end_interval * INTERVAL_MARGIN;
	double max_time = st->recent_call_time * RECENT_FACTOR;

	return (usec_t)(by_interval < max_time ? by_interval : max_time);
}

/*
 * Estimates the duration of the call of stage i of a new request.  While other
 * requests of its workspace wait, the request would take their place, so a high
 * percentile is used.
 */
static usec_t
estimate_call(const struct request *rq, size_t i, bool lane_busy)
{
	const struct stage_stats *st = rq->stats[i];
	const struct service_state *s = rq->services[i];
	usec_t median = histogram_percentile(&st->call_time, MEDIAN_PERCENT, 0);
	usec_t queued_time;

	/* Without calls in flight, the statistics may be out of date. */
	if (s->in_flight == 0)
		return histogram_percentile(&st->call_time, IDLE_PERCENT, 0);
	if (rq->pipeline->stages[i].service->concurrency == 0) {
		queued_time = estimate_queued_call(st, s);
		return queued_time > median ? queued_time : median;
	}
	return lane_busy ? histogram_percentile(&st->call_time, BUSY_PERCENT, 0)
			 : median;
}

/*
 * Estimates the duration of a new request.  While it waits for one stage, the
 * backlog of the next gets shorter.
 */
static usec_t
estimate_request(const struct request *rq)
{
	usec_t elapsed = 0;
	usec_t sum = 0;

	for (size_t i = 0; i < rq->pipeline->n_stages; i++) {
		const struct service_state *s = rq->services[i];
		usec_t backlog = queue_backlog(
		    &s->queue, rq->lanes[i], s->queued_end_interval);
		bool lane_busy =
		    queue_size(&s->queue, rq->lanes[i]) >= BUSY_REQUESTS;
		usec_t wait = backlog > elapsed ? backlog - elapsed : 0;

		elapsed += wait +
		    histogram_percentile(&rq->stats[i]->call_time, 50, 0);
		sum += wait + estimate_call(rq, i, lane_busy);
		if (lane_busy)
			sum += wait / WAIT_MARGIN;
	}
	return sum;
}

/* Counts the request as expected at the services of its later stages. */
static void
add_expected(struct request *rq)
{
	for (size_t i = 1; i < rq->pipeline->n_stages; i++)
		queue_expect(&rq->services[i]->queue, rq->lanes[i]);
	rq->stages_expected = rq->pipeline->n_stages;
	rq->stages_passed = 1;
}

static void
admit(struct kernel *k, struct request *rq)
{
	usec_t need;
	usec_t retry = MIN_RETRY_AFTER;

	if (k->draining) {
		finish_without_answer(k, rq, ERR_DRAINING, NULL, 0);
		return;
	}
	if (request_stopping_refuse_new(k, rq))
		return;
	if (limit_admit(&k->limits, rq->workspace, k->now, &retry) != 0) {
		finish_without_answer(
		    k, rq, ERR_OVER_LIMIT, rq->workspace->name, retry);
		return;
	}
	rq->admitted = true;
	if (rq->pipeline->stages[0].policy.admission != 0) {
		need = estimate_request(rq);
		if (k->now + need > rq->deadline) {
			retry = need > MIN_RETRY_AFTER ? need : MIN_RETRY_AFTER;
			finish_without_answer(k, rq, ERR_NO_TIME,
			    "the stages need more time than is allowed", retry);
			return;
		}
	}
	if (k->stopping.signal_at != 0)
		k->stats.stop_requests_taken++;
	add_expected(rq);
	flow_start_stage(k, rq);
}

/* Returns the error if the arrival can't become a request, else ERR_OK. */
static enum err_kind
check(const struct kernel *k, const struct event_arrive *ev,
    const struct conf_pipeline *p, const struct conf_workspace *w)
{
	if (k->conf == NULL)
		return ERR_NOT_READY;
	if (w == NULL)
		return ERR_BAD_TOKEN;
	if (p == NULL || !conf_grants(p, w))
		return ERR_NO_PIPELINE;
	if (p->needs_key && ev->key.n == 0)
		return ERR_KEY_MISSING;
	if (p->needs_key && ev->key.n > MAX_KEY_BYTES)
		return ERR_KEY_BAD;
	return ERR_OK;
}

static struct request *
new_request(struct kernel *k, const struct event_arrive *ev,
    const struct conf_pipeline *p, const struct conf_workspace *w)
{
	struct request *rq = xcalloc(1, sizeof(*rq));
	usec_t timeout = p->deadline;

	if (ev->timeout > 0 && ev->timeout < timeout)
		timeout = ev->timeout;
	rq->handle = ev->req;
	rq->id = str_dup(ev->id);
	rq->conf = conf_ref(k->conf);
	rq->pipeline = p;
	rq->workspace = w;
	if (p->needs_key)
		snprintf(rq->key, sizeof(rq->key), "%.*s", STR_FMT(ev->key));
	rq->attempt = ev->attempt > 0 ? ev->attempt : 1;
	rq->body_hash = hash_u64(ev->body, 0);
	rq->arrived = k->now;
	rq->deadline = k->now + timeout;
	rq->stream = ev->stream;
	rq->merged = json_object();
	rq->all_results = &k->result_bytes;
	for (size_t i = 0; i < p->n_stages; i++) {
		rq->stats[i] = state_stage(k, p, i);
		rq->services[i] = state_service(k, p->stages[i].service);
		rq->lanes[i] = queue_lane(&rq->services[i]->queue,
		    p->stages[i].policy.fair != 0 ? w->name : "", w->weight);
		rq->service_index[i] =
		    state_service_index(k, p->stages[i].service);
	}
	g_hash_table_insert(k->requests, &rq->handle, rq);
	return rq;
}

void
admit_arrive(struct kernel *k, const struct event_arrive *ev)
{
	const struct conf_pipeline *p = NULL;
	const struct conf_workspace *w = NULL;
	const char *sunset_text;
	usec_t sunset;
	struct request *rq;
	enum err_kind err;
	json_t *document;

	if (g_hash_table_contains(k->requests, &ev->req))
		return;
	k->stats.requests++;
	if (k->conf != NULL) {
		p = conf_pipeline(k->conf, ev->pipeline);
		w = conf_workspace(k->conf, ev->workspace);
	}
	err = check(k, ev, p, w);
	if (err != ERR_OK) {
		finish_reject(k, ev, err, "");
		return;
	}
	document =
	    json_loadb(ev->body.n > 0 ? ev->body.p : "", ev->body.n, 0, NULL);
	if (!json_is_object(document)) {
		json_decref(document);
		finish_reject(k, ev, ERR_BAD_JSON, "not a JSON object");
		return;
	}
	rq = new_request(k, ev, p, w);
	rq->document = document;
	state_trace(k, rq, TRACE_ARRIVED, NULL, NULL);
	sunset = conf_sunset(k->conf, p, &sunset_text);
	if (sunset != 0 && ev->wall >= sunset)
		finish_without_answer(k, rq, ERR_SUNSET, sunset_text, 0);
	else
		admit(k, rq);
}
