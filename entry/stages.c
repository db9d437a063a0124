/* Runs the stages of a request in the order of their dependencies. */
#include "entry/relay_request.h"
#include "base/log.h"
#include "platform/stage.h"

#include <string.h>

#define MAX_STAGE_TRIES    3 /* jobs submitted for one stage of one request */
/*
 * Initial estimate from a prompt to its first token: prompt processing, one
 * network path and one decoding step.
 */
#define FIRST_TOKEN_TIME   (150 * USEC_PER_MSEC)
/* Typical fraction of the batch size that a call holds. */
#define TYPICAL_FILL       0.4
/* Smaller inputs and results transfer quickly to any failure domain. */
#define MIN_LOCALITY_BYTES 200000

/* Callback argument of a stage job, which owns it. */
struct stage_job_arg {
	struct relay_request *r;
	uint32_t stage;
};

static void start_ready_stages(struct relay_request *r);

static bool
has_pieces(const struct relay_request *r, uint32_t i)
{
	return i < r->info.n_pieces && r->info.pieces[i] > 0;
}

static void
append(struct buf *list, struct str handles)
{
	if (handles.n == 0)
		return;
	if (list->n > 0)
		buf_putc(list, ',');
	buf_put(list, handles);
}

/* Returns whether all stages that this stage depends on are done. */
static bool
is_ready(const struct relay_request *r, uint32_t i)
{
	for (uint32_t k = 0; k < r->route->n_stages; k++) {
		if ((r->route->stages[i].after >> k & 1) && has_pieces(r, k) &&
		    !r->stages[k].done)
			return false;
	}
	return true;
}

/* Returns the length of the longest chain of stages that depend on stage i. */
static uint32_t
height(const struct relay_request *r, uint32_t i)
{
	uint32_t longest = 0;

	for (uint32_t k = i + 1; k < r->route->n_stages; k++) {
		if ((r->route->stages[k].after >> i & 1) && has_pieces(r, k)) {
			uint32_t n = 1 + height(r, k);

			longest = n > longest ? n : longest;
		}
	}
	return longest;
}

/*
 * Returns whether a stage can be delayed because stages with a longer chain of
 * dependents are not done.  Results that are produced early only occupy space
 * at their producer.
 */
static bool
can_wait(const struct relay_request *r, uint32_t i)
{
	uint32_t own_height = height(r, i);

	for (uint32_t k = 0; k < r->route->n_stages; k++) {
		if (has_pieces(r, k) && !r->stages[k].done &&
		    height(r, k) > own_height)
			return true;
	}
	return false;
}

/* Returns the expected time from submitting a stage's job to its results. */
static usec_t
expected_stage_time(const struct relay_request *r, uint32_t stage)
{
	const struct service *s =
	    routes_service_at(r->routes, r->route->stages[stage].service);
	double fill =
	    TYPICAL_FILL * (double)(s->pool.batch * s->pool.item_cost);

	return durations_estimate(
	    &r->shared->durations, s->name, s->pool.call_cost + (usec_t)fill);
}

/* Returns the expected time from the end of a stage to the first token. */
static usec_t
expected_time_after(const struct relay_request *r, uint32_t i)
{
	usec_t longest = 0;

	for (uint32_t k = i + 1; k < r->route->n_stages; k++) {
		if ((r->route->stages[k].after >> i & 1) && has_pieces(r, k)) {
			usec_t t = expected_stage_time(r, k) +
			    expected_time_after(r, k);

			longest = t > longest ? t : longest;
		}
	}
	return longest > 0 ? longest
			   : durations_estimate(&r->shared->durations,
				 r->service->name, FIRST_TOKEN_TIME);
}

static const char *
service_name(const struct relay_request *r, uint32_t stage)
{
	return routes_service_at(r->routes, r->route->stages[stage].service)
	    ->name;
}

static void
release_stage(struct relay_request *r, uint32_t i)
{
	stage_jobs_release(r->shared->stage_jobs, service_name(r, i),
	    str_of(&r->stages[i].handles));
	buf_clear(&r->stages[i].handles);
}

/* Frees the results of each stage whose dependent stages are all done. */
static void
release_used(struct relay_request *r)
{
	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		bool used = !r->route->stages[i].last;

		for (uint32_t k = 0; k < r->route->n_stages; k++) {
			if ((r->route->stages[k].after >> i & 1) &&
			    has_pieces(r, k) && !r->stages[k].done)
				used = false;
		}
		if (used && r->stages[i].done)
			release_stage(r, i);
	}
}

static void
store_handles(
    struct relay_request *r, uint32_t stage, const peer_piece_reply *reply)
{
	struct stage_progress *s = &r->stages[stage];

	buf_clear(&s->handles);
	for (u_int i = 0; i < reply->made.made_len; i++) {
		const peer_piece_made *m = &reply->made.made_val[i];

		if (m->outcome == PIECE_DONE)
			append(&s->handles, str_from(m->handle));
	}
}

static int
worst_outcome(const peer_piece_reply *reply, uint32_t n)
{
	int worst = reply->made.made_len == n ? PIECE_DONE : PIECE_FAILED;

	for (u_int i = 0; i < reply->made.made_len; i++) {
		int o = reply->made.made_val[i].outcome;

		if (o != PIECE_DONE && worst != PIECE_INPUT_LOST)
			worst = o;
	}
	return worst;
}

/*
 * Decides after a failed piece whether the request fails and which stages run
 * again.
 */
static void
on_stage_failed(struct relay_request *r, uint32_t stage, int outcome)
{
	struct stage_progress *s = &r->stages[stage];

	release_stage(r, stage);
	LOG(LOG_LVL_NOTICE, "stage-failed", { "request", r->info.id },
	    { "stage", str_from(service_name(r, stage)) },
	    { "outcome",
		str_from(outcome == PIECE_EXPIRED     ? "late"
			: outcome == PIECE_INPUT_LOST ? "input gone"
			: outcome == PIECE_NO_SPACE   ? "no room"
						      : "failed") });
	if (outcome == PIECE_EXPIRED || ++s->tries >= MAX_STAGE_TRIES) {
		relay_request_reject(r,
		    &(struct rejection){ ERR_NO_TIME, USEC_PER_SEC / 2,
			"a stage could not be made in time" });
		return;
	}
	if (outcome == PIECE_INPUT_LOST) {
		stages_restart(r);
		return;
	}
	start_ready_stages(r);
}

/*
 * Records only stages that could meet the soft deadline: others are queued
 * behind them and may wait arbitrarily long.
 */
static void
record_stage_time(struct relay_request *r, uint32_t stage)
{
	const struct stage_progress *s = &r->stages[stage];

	if (s->feasible)
		durations_record(&r->shared->durations, service_name(r, stage),
		    clock_now() - s->submitted_at);
}

static void
on_reply(void *arg, const peer_piece_reply *reply)
{
	struct stage_job_arg *job = arg;
	struct relay_request *r = job->r;
	uint32_t stage = job->stage;
	int outcome;

	r->stages[stage].job = 0;
	if (reply->refused) {
		relay_request_reject(r,
		    &(struct rejection){ ERR_NO_TIME,
			(usec_t)reply->wait_ms * USEC_PER_MSEC,
			"a stage has no room in time" });
		return;
	}
	store_handles(r, stage, reply);
	outcome = worst_outcome(reply, r->info.pieces[stage]);
	if (outcome != PIECE_DONE) {
		on_stage_failed(r, stage, outcome);
		return;
	}
	record_stage_time(r, stage);
	r->stages[stage].done = true;
	release_used(r);
	start_ready_stages(r);
}

uint64_t
stages_input_bytes(const struct relay_request *r)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		if (r->route->stages[i].last && has_pieces(r, i))
			n += r->info.pieces[i] * r->route->stages[i].bytes;
	}
	return n;
}

/* Returns the size in bytes of the inputs of one piece of a stage. */
static uint64_t
piece_input_bytes(const struct relay_request *r, uint32_t i)
{
	uint64_t n = 0;

	for (uint32_t k = 0; k < i; k++) {
		if ((r->route->stages[i].after >> k & 1) && has_pieces(r, k))
			n += r->info.pieces[k] * r->route->stages[k].bytes;
	}
	return n;
}

/*
 * Returns the failure domain in which a stage's pieces are best produced, or ""
 * for any: close to their inputs or close to the target that will fetch the
 * results, whichever moves more bytes.
 */
static const char *
preferred_domain(const struct relay_request *r, uint32_t i, struct str inputs)
{
	uint64_t in = r->info.pieces[i] * piece_input_bytes(r, i);
	uint64_t out = r->info.pieces[i] * r->route->stages[i].bytes;
	struct loads_query query;
	struct str addr;

	if (in < MIN_LOCALITY_BYTES && out < MIN_LOCALITY_BYTES)
		return "";
	if (in >= out && inputs.n > 0 && str_cut(&inputs, '/', &addr))
		return loads_domain_at(&r->shared->loads, addr);
	if (!r->route->stages[i].last)
		return "";
	forward_query(r, &query);
	return loads_affinity_domain(&r->shared->loads, &query);
}

static void
start_stage(struct relay_request *r, uint32_t i)
{
	struct stage_job_arg *arg = xcalloc(1, sizeof(*arg));
	struct buf inputs = { 0 };

	for (uint32_t k = 0; k < r->route->n_stages; k++) {
		if (r->route->stages[i].after >> k & 1)
			append(&inputs, str_of(&r->stages[k].handles));
	}
	arg->r = r;
	arg->stage = i;
	r->stages[i].submitted_at = clock_now();
	r->stages[i].feasible =
	    r->stages[i].submitted_at + expected_stage_time(r, i) <
	    r->soft_deadline - expected_time_after(r, i);
	r->stages[i].job = stage_jobs_submit(r->shared->stage_jobs,
	    &(struct stage_job_opts){
		.service = str_from(service_name(r, i)),
		.id = r->info.id,
		.stage = i,
		.n = r->info.pieces[i],
		.key = r->info.piece_key,
		.inputs = str_of(&inputs),
		.deadline = r->deadline,
		.soft_deadline = r->soft_deadline - expected_time_after(r, i),
		.bytes = r->route->stages[i].bytes,
		.domain = str_from(preferred_domain(r, i, str_of(&inputs))),
		.rank = r->rank > 0 ? (uint32_t)r->rank : 0,
		.handler = on_reply,
		.arg = arg,
	    });
	buf_free(&inputs);
}

static void
collect_inputs(struct relay_request *r)
{
	buf_clear(&r->inputs);
	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		if (r->route->stages[i].last)
			append(&r->inputs, str_of(&r->stages[i].handles));
	}
}

/*
 * Starts all stages that are ready; once all are done, sends the request
 * itself.
 */
static void
start_ready_stages(struct relay_request *r)
{
	bool all_done = true;

	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		struct stage_progress *s = &r->stages[i];

		if (!has_pieces(r, i) || s->done)
			continue;
		all_done = false;
		if (s->job == 0 && is_ready(r, i) && !can_wait(r, i))
			start_stage(r, i);
	}
	if (!all_done)
		return;
	collect_inputs(r);
	forward_start(r);
}

void
stages_start(struct relay_request *r)
{
	start_ready_stages(r);
}

static void
cancel_jobs(struct relay_request *r)
{
	for (uint32_t i = 0; i < ROUTE_MAX_STAGES; i++) {
		if (r->stages[i].job != 0)
			stage_jobs_cancel(
			    r->shared->stage_jobs, r->stages[i].job);
		r->stages[i].job = 0;
	}
}

void
stages_restart(struct relay_request *r)
{
	cancel_jobs(r);
	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		if (r->stages[i].done || r->stages[i].handles.n > 0)
			release_stage(r, i);
		r->stages[i].done = false;
	}
	start_ready_stages(r);
}

void
stages_release(struct relay_request *r)
{
	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		if (r->stages[i].handles.n > 0)
			release_stage(r, i);
	}
}

void
stages_cancel(struct relay_request *r)
{
	cancel_jobs(r);
	stages_release(r);
	for (uint32_t i = 0; i < ROUTE_MAX_STAGES; i++)
		buf_free(&r->stages[i].handles);
	buf_free(&r->inputs);
}
