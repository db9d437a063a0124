#include "kernel/admit.h"
#include "kernel/finish.h"
#include "kernel/flow.h"

#include <stdio.h>
#include <string.h>

/* Percentiles of a stage's time that a new request must have left. */
#define TYPICAL_PERCENT 50
#define BUSY_PERCENT    95 /* while others of the workspace wait */
#define BUSY_SIZE       4  /* so many of them */
#define IDLE_PERCENT    10
/* Percentile that a request which waits or has begun must have left. */
#define LATER_PERCENT   50
/* A pace counts as slower by this factor: others come meanwhile. */
#define PACE_MARGIN     1.3
/* A new call may take so many times what recent ones took. */
#define RECENT_FACTOR   2
/* A wait counts as longer by one part in so many: others come meanwhile. */
#define WAIT_MARGIN     3

/* Time that the stages from the present one on need, by a percentile. */
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
 * Time of a new call where calls wait at the runners: those under way, by the
 * pace at which they end, but not far beyond what recent ones took.
 */
static usec_t
runner_time(const struct stage_stats *st, const struct service_state *s)
{
	double by_pace =
	    ((double)s->in_flight + 1) * s->end_interval * PACE_MARGIN;
	double most = st->recent_call_time * RECENT_FACTOR;

	return (usec_t)(by_pace < most ? by_pace : most);
}

/*
 * Time that a call of a stage of a new request takes.  While others of its
 * workspace wait, whose place it would take, that is a high percentile.
 */
static usec_t
estimate_call(const struct request *rq, size_t i, bool waits)
{
	const struct stage_stats *st = rq->stats[i];
	const struct service_state *s = rq->services[i];
	usec_t usual = histogram_percentile(&st->call_time, TYPICAL_PERCENT, 0);
	usec_t now;

	/* With none of ours there, what was seen may be long over. */
	if (s->in_flight == 0)
		return histogram_percentile(&st->call_time, IDLE_PERCENT, 0);
	if (rq->pipeline->stages[i].service->concurrency == 0) {
		now = runner_time(st, s);
		return now > usual ? now : usual;
	}
	return waits ? histogram_percentile(&st->call_time, BUSY_PERCENT, 0)
		     : usual;
}

/*
 * Time that a new request takes.  While it waits for one stage, the backlog
 * of the next gets shorter.
 */
static usec_t
estimate_request(const struct request *rq)
{
	usec_t passed = 0;
	usec_t sum = 0;

	for (size_t i = 0; i < rq->pipeline->n_stages; i++) {
		const struct service_state *s = rq->services[i];
		usec_t backlog = queue_backlog(
		    &s->queue, rq->lanes[i], s->queued_end_interval);
		bool waits = queue_size(&s->queue, rq->lanes[i]) >= BUSY_SIZE;
		usec_t wait = backlog > passed ? backlog - passed : 0;

		passed += wait +
		    histogram_percentile(&rq->stats[i]->call_time, 50, 0);
		sum += wait + estimate_call(rq, i, waits);
		if (waits)
			sum += wait / WAIT_MARGIN;
	}
	return sum;
}

/* Counts the request at the services of its later stages. */
static void
expect(struct request *rq)
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
	expect(rq);
	flow_start_stage(k, rq);
}

/* Why no request can be made of it, or ERR_OK. */
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
	usec_t time = p->deadline;

	if (ev->timeout > 0 && ev->timeout < time)
		time = ev->timeout;
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
	rq->deadline = k->now + time;
	rq->stream = ev->stream;
	rq->merged = json_object();
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
	const char *shut;
	usec_t sunset;
	struct request *rq;
	enum err_kind bad;
	json_t *document;

	if (g_hash_table_contains(k->requests, &ev->req))
		return;
	k->stats.requests++;
	if (k->conf != NULL) {
		p = conf_pipeline(k->conf, ev->pipeline);
		w = conf_workspace(k->conf, ev->workspace);
	}
	bad = check(k, ev, p, w);
	if (bad != ERR_OK) {
		finish_reject(k, ev, bad, "");
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
	sunset = conf_sunset(k->conf, p, &shut);
	if (sunset != 0 && ev->wall >= sunset)
		finish_without_answer(k, rq, ERR_SUNSET, shut, 0);
	else
		admit(k, rq);
}
