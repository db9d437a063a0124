/* Runs the stages of a request in the order of their dependencies. */
#include "entry/relay_request.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/overload/retry_after.h"
#include "kernel/overload/spill.h"
#include "platform/stage.h"

#include <inttypes.h>
#include <string.h>

/* Until an evacuated domain may be back. */
#define EVACUATED_RETRY     (1 * USEC_PER_SEC)
#define HOME_SEED           17 /* of the hash that chooses a domain */
#define MAX_STAGE_TRIES     3  /* jobs submitted for one stage of one request */
/*
 * Initial estimate from a prompt to its first token: prompt processing, one
 * network path and one decoding step.
 */
#define FIRST_TOKEN_TIME    (150 * USEC_PER_MSEC)
/* Two network paths and one decoding step: hardly any token comes sooner. */
#define BEST_FIRST_TOKEN    (25 * USEC_PER_MSEC)
/* Typical fraction of the batch size that a call holds. */
#define TYPICAL_FILL        0.4
/* Smaller inputs and results transfer quickly to any failure domain. */
#define MIN_LOCALITY_BYTES  200000

/*
 * Repetitions of stage work that one host allows itself: this share of its
 * requests, and this many more in each window.
 */
#define STAGE_REPEAT_RATIO  0.2
#define STAGE_REPEAT_SLACK  2
#define STAGE_REPEAT_WINDOW (5 * USEC_PER_SEC)

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

static const struct service *
service_of(const struct relay_request *r, uint32_t stage)
{
	return routes_service_at(r->routes, r->route->stages[stage].service);
}

static const char *
service_name(const struct relay_request *r, uint32_t stage)
{
	return service_of(r, stage)->name;
}

static uint32_t
stage_rank(const struct relay_request *r)
{
	return r->rank > 0 ? (uint32_t)r->rank : 0;
}

/* Returns the shortest wait reported for a stage service, in any domain. */
static usec_t
shortest_wait(const struct relay_request *r, const char *service, usec_t now)
{
	const GPtrArray *domains = loads_domains(&r->shared->loads, service);
	usec_t shortest = INT64_MAX;

	for (guint i = 0; domains != NULL && i < domains->len; i++) {
		const struct loads_domain *d = domains->pdata[i];
		usec_t wait = stage_waits_get(&r->shared->stage_waits, service,
		    d->name, stage_rank(r), now);

		shortest = wait < shortest ? wait : shortest;
	}
	if (domains != NULL)
		return shortest;
	return stage_waits_get(
	    &r->shared->stage_waits, service, "", stage_rank(r), now);
}

/* Describes the stages of a request to the decisions of kernel/overload. */
static void
describe_chain(const struct relay_request *r, usec_t now, struct chain *c)
{
	*c = (struct chain){
		.n = (uint32_t)r->route->n_stages,
		.min_first_event = FIRST_TOKEN_TIME,
		.typical_first_event = durations_estimate(
		    &r->shared->durations, r->service->name, FIRST_TOKEN_TIME),
		.best_first_event =
		    r->service->has_engine ? BEST_FIRST_TOKEN : 0,
	};
	for (uint32_t i = 0; i < c->n; i++) {
		const struct service *s = service_of(r, i);
		const struct pool_config *p = &s->pool;
		double fill = TYPICAL_FILL * (double)(p->batch * p->item_cost);

		c->stages[i] = (struct chain_stage){
			.needed = has_pieces(r, i),
			.done = r->stages[i].done,
			.started = r->stages[i].job != 0,
			.after = r->route->stages[i].after,
			.min_time = p->call_cost + p->item_cost,
			.typical_time =
			    durations_estimate(&r->shared->durations, s->name,
				p->call_cost + (usec_t)fill),
			.wait = shortest_wait(r, s->name, now),
			.result_ttl = p->result_ttl,
		};
	}
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

/* Counts the handles, of which those of the inputs are also in a call. */
static void
count_handles(struct relay_request *r)
{
	size_t n = 2 * r->inputs.cap;

	for (uint32_t i = 0; i < r->route->n_stages; i++)
		n += r->stages[i].handles.cap;
	httpd_keeps(r->httpd_req, n);
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
	count_handles(r);
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
 * Callers wait as long for the next event as for the first one; one that is
 * there after that may wait until its deadline.
 */
static usec_t
start_deadline(const struct relay_request *r)
{
	usec_t since = r->head_written ? r->last_event_at : r->arrived;
	usec_t end =
	    chain_deadline(since, r->route->first_event_limit, r->deadline);

	return r->head_written && clock_now() >= end ? r->deadline : end;
}

static usec_t
usec_until(usec_t t)
{
	usec_t now = clock_now();

	return t > now ? t - now : 0;
}

static void
cancel_stage(struct relay_request *r, uint32_t i)
{
	if (r->stages[i].job == 0)
		return;
	stage_jobs_cancel(r->shared->stage_jobs, r->stages[i].job);
	r->stages[i].job = 0;
	r->repeats_work = true;
}

static void
cancel_jobs(struct relay_request *r)
{
	for (uint32_t i = 0; i < ROUTE_MAX_STAGES; i++)
		cancel_stage(r, i);
}

/*
 * The stages can't be made now: a stream that has begun goes on with them
 * later, other requests are rejected.
 */
static void
fail_stages(struct relay_request *r, const struct rejection *why)
{
	if (!forward_resume_later(r, why->cause)) {
		relay_request_reject(r, why);
		return;
	}
	cancel_jobs(r);
	for (uint32_t i = 0; i < r->route->n_stages; i++)
		r->stages[i].tries = 0;
}

/* For a request that needs about the given time in its stages. */
static struct rejection
stages_rejection(const struct relay_request *r, usec_t wait, const char *cause)
{
	return (struct rejection){ ERR_NO_TIME,
		retry_after(wait, hash_u64(r->info.id, 0)), cause };
}

static void
reject_stages(struct relay_request *r, usec_t wait, const char *cause)
{
	struct rejection why = stages_rejection(r, wait, cause);

	fail_stages(r, &why);
}

/*
 * Returns a service whose targets the request needs yet, and of which none may
 * be used as their failure domains are evacuated; or NULL.
 */
static const char *
evacuated_service(const struct relay_request *r)
{
	const struct loads *l = &r->shared->loads;

	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		if (has_pieces(r, i) && !r->stages[i].done &&
		    loads_is_evacuated(l, service_name(r, i)))
			return service_name(r, i);
	}
	return loads_is_evacuated(l, r->service->name) ? r->service->name
						       : NULL;
}

static struct rejection
evacuated_rejection(const struct relay_request *r)
{
	return (struct rejection){ ERR_NO_TARGET,
		retry_after(EVACUATED_RETRY, hash_u64(r->info.id, 0)),
		"the failure domains of its targets are evacuated" };
}

bool
stages_reject_evacuated(struct relay_request *r)
{
	const char *service = evacuated_service(r);
	struct rejection why;

	/* What has been sent ends as it may. */
	if (service == NULL || r->first_sent_at != 0)
		return false;
	log_text(LOG_LVL_INFO, "evacuated",
	    "request %.*s: all targets of %s are in evacuated domains",
	    STR_FMT(r->info.id), service);
	r->shared->counts.evacuated++;
	why = evacuated_rejection(r);
	relay_request_reject(r, &why);
	return true;
}

/*
 * Takes one repetition of stage work from the quota; false if none is left.
 * Without a quota, failed work would add to the load that made it fail.
 */
static bool
may_repeat_work(struct relay_request *r)
{
	return retry_quota_spend(
	    &r->shared->stage_quota, &r->shared->stage_quota_rule, clock_now());
}

/*
 * An input of a stage is gone: the stages before it run again.  Others keep
 * their results, unless they wait for the same inputs.
 */
static void
restart_before(struct relay_request *r, uint32_t stage)
{
	struct chain c;
	uint32_t before;

	describe_chain(r, clock_now(), &c);
	before = chain_before(&c, stage);
	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		if (chain_before(&c, i) & before && !r->stages[i].done)
			cancel_stage(r, i);
		if (!(before >> i & 1))
			continue;
		release_stage(r, i);
		r->stages[i].done = false;
	}
	stages_resume(r);
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
	r->repeats_work = true;
	if (outcome == PIECE_EXPIRED || ++s->tries >= MAX_STAGE_TRIES) {
		reject_stages(r, usec_until(start_deadline(r)),
		    "a stage could not be made in time");
		return;
	}
	if (outcome == PIECE_INPUT_LOST) {
		restart_before(r, stage);
		return;
	}
	stages_resume(r);
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
	if (reply->refused && reply->moved) {
		fail_stages(r,
		    &(struct rejection){ ERR_DRAINING, RELAY_DRAINING_RETRY,
			"this host is stopping" });
		return;
	}
	if (reply->refused) {
		LOG(LOG_LVL_INFO, "stage-no-room", { "request", r->info.id },
		    { "stage", str_from(service_name(r, stage)) });
		fail_stages(r,
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

/*
 * Returns the failure domain whose coordinator gets a stage's job, or "" if the
 * service is not split.
 */
static const char *
coordinator_domain(const struct relay_request *r, uint32_t i,
    const char *preferred, const struct chain *c)
{
	const char *service = service_name(r, i);
	const GPtrArray *domains = loads_domains(&r->shared->loads, service);
	struct spill_domain *v;
	size_t home;

	if (domains == NULL || domains->len == 0)
		return "";
	v = g_new0(struct spill_domain, domains->len);
	if (*preferred == '\0')
		preferred = r->shared->loads.domain;
	for (guint k = 0; k < domains->len; k++) {
		const struct loads_domain *d = domains->pdata[k];

		v[k].name = d->name;
		v[k].wait = stage_waits_get(&r->shared->stage_waits, service,
		    d->name, stage_rank(r), clock_now());
	}
	/* The hash is the same for all stages, so that results stay there. */
	home = spill_home(
	    v, domains->len, preferred, hash_u64(r->info.id, HOME_SEED));
	home = spill_choose(v, domains->len, home, c->stages[i].min_time,
	    hash_u64(r->info.id, i + 1));
	g_free(v);
	return ((const struct loads_domain *)domains->pdata[home])->name;
}

static void
start_stage(struct relay_request *r, uint32_t i, const struct chain *c)
{
	struct stage_job_arg *arg = xcalloc(1, sizeof(*arg));
	struct buf inputs = { 0 };
	usec_t after = chain_typical_after(c, i);
	const char *preferred;
	const char *domain;

	for (uint32_t k = 0; k < r->route->n_stages; k++) {
		if (r->route->stages[i].after >> k & 1)
			append(&inputs, str_of(&r->stages[k].handles));
	}
	preferred = preferred_domain(r, i, str_of(&inputs));
	domain = coordinator_domain(r, i, preferred, c);
	arg->r = r;
	arg->stage = i;
	r->stages[i].submitted_at = clock_now();
	r->stages[i].feasible =
	    r->stages[i].submitted_at + c->stages[i].typical_time <
	    r->soft_deadline - after;
	r->stages[i].job = stage_jobs_submit(r->shared->stage_jobs,
	    &(struct stage_job_opts){
		.service = str_from(service_name(r, i)),
		.coordinator_domain = str_from(domain),
		.id = r->info.id,
		.stage = i,
		.n = r->info.pieces[i],
		.key = r->info.piece_key,
		.inputs = str_of(&inputs),
		.deadline = start_deadline(r) - chain_min_after(c, i),
		.soft_deadline = r->soft_deadline - after,
		.bytes = r->route->stages[i].bytes,
		/* The targets of a split service are all in one domain. */
		.domain = *domain != '\0' ? STR("") : str_from(preferred),
		.rank = stage_rank(r),
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
	count_handles(r);
}

/* Checks the remaining stages of a request; sets why they don't fit. */
static enum chain_verdict
check_chain(const struct relay_request *r, const struct chain *c,
    usec_t *excess, struct rejection *why, usec_t now)
{
	usec_t left = start_deadline(r) - now;
	enum chain_verdict v = chain_check(c, left, excess);

	if (v != CHAIN_FITS)
		*why = stages_rejection(r,
		    v == CHAIN_NO_TIME ? left + *excess : *excess,
		    stages_are_done(r)
			? "no target could begin to answer in time"
			: "its stages would not end in time");
	return v;
}

/* Ends a request whose remaining stages no longer fit; returns whether so. */
static bool
end_unservable(struct relay_request *r, const struct chain *c, usec_t now)
{
	struct rejection why;
	usec_t excess;
	enum chain_verdict v = check_chain(r, c, &excess, &why, now);

	if (v == CHAIN_FITS)
		return false;
	log_text(LOG_LVL_INFO, "chain-rejected",
	    "request %.*s: its %s %" PRId64 " ms %s", STR_FMT(r->info.id),
	    stages_are_done(r) ? "first event would come" : "stages would end",
	    excess / USEC_PER_MSEC,
	    v == CHAIN_NO_TIME ? "after its deadline"
			       : "after the results they need have expired");
	fail_stages(r, &why);
	return true;
}

/* Whether the next thing that is done with a stage is to start it. */
static bool
starts_now(const struct relay_request *r, uint32_t i, const struct chain *c)
{
	return r->stages[i].job == 0 && chain_is_ready(c, i) &&
	    !chain_can_wait(c, i);
}

static void
peek_stage(const struct relay_request *r, uint32_t i, const struct chain *c,
    struct stage_view *v, usec_t now)
{
	const char *service = service_name(r, i);
	struct str inputs = { NULL, 0 };

	v->needed = true;
	v->starts = starts_now(r, i, c);
	g_strlcpy(v->domain,
	    coordinator_domain(r, i, preferred_domain(r, i, inputs), c),
	    sizeof(v->domain));
	g_strlcpy(v->coordinator,
	    stage_jobs_coordinator(r->shared->stage_jobs, service, v->domain),
	    sizeof(v->coordinator));
	v->wait = stage_waits_get(
	    &r->shared->stage_waits, service, v->domain, stage_rank(r), now);
}

bool
stages_peek(
    const struct relay_request *r, struct stages_view *v, struct rejection *why)
{
	usec_t now = clock_now();

	*v = (struct stages_view){ 0 };
	describe_chain(r, now, &v->chain);
	v->verdict = check_chain(r, &v->chain, &v->excess, why, now);
	for (uint32_t i = 0; i < v->chain.n; i++) {
		if (has_pieces(r, i))
			peek_stage(r, i, &v->chain, &v->stages[i], now);
	}
	if (evacuated_service(r) == NULL)
		return v->verdict == CHAIN_FITS;
	*why = evacuated_rejection(r);
	return false;
}

/*
 * Starts all stages that are ready; once all are done, sends the request
 * itself.
 */
static void
start_ready_stages(struct relay_request *r)
{
	usec_t now = clock_now();
	bool all_done = true;
	struct chain c;

	describe_chain(r, now, &c);
	if (end_unservable(r, &c, now))
		return;
	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		struct stage_progress *s = &r->stages[i];

		if (!has_pieces(r, i) || s->done)
			continue;
		all_done = false;
		if (starts_now(r, i, &c))
			start_stage(r, i, &c);
	}
	if (!all_done)
		return;
	collect_inputs(r);
	forward_start(r);
}

void
stages_init(struct relay_shared *shared)
{
	stage_waits_init(&shared->stage_waits);
	caller_age_init(&shared->caller_age);
	shared->stage_quota_rule = (struct retry_quota_rule){
		.ratio = STAGE_REPEAT_RATIO,
		.slack = STAGE_REPEAT_SLACK,
		.window = STAGE_REPEAT_WINDOW,
		.hosts = 1,
	};
}

void
stages_free(struct relay_shared *shared)
{
	stage_waits_free(&shared->stage_waits);
	caller_age_free(&shared->caller_age);
}

void
stages_limit_retry(const struct relay_request *r, struct rejection *why)
{
	if (r->info.deadline_budget > 0)
		why->retry_after = retry_after_within(why->retry_after,
		    r->arrived + r->info.deadline_budget - clock_now());
}

void
stages_rejected(const struct relay_request *r, struct rejection *why)
{
	caller_age_rejected(
	    &r->shared->caller_age, r->route->name, clock_now());
	stages_limit_retry(r, why);
}

/* The objective counts from the caller's first attempt. */
static usec_t
soft_deadline(const struct relay_request *r)
{
	const struct caller_request q = {
		.arrived = r->arrived,
		.objective = r->route->objective,
		.time_left =
		    r->route->n_stages > 0 ? r->info.deadline_budget : 0,
		.is_resume = r->info.is_resume,
	};
	usec_t aim = caller_age_aim(
	    &r->shared->caller_age, r->route->name, &q, clock_now());

	if (aim < q.arrived + q.objective)
		log_text(LOG_LVL_DEBUG, "caller-back",
		    "request %.*s: first sent at least %" PRId64 " ms ago",
		    STR_FMT(r->info.id),
		    (q.arrived + q.objective - aim) / USEC_PER_MSEC);
	return aim;
}

void
stages_start(struct relay_request *r)
{
	if (stages_reject_evacuated(r))
		return;
	r->soft_deadline = soft_deadline(r);
	retry_quota_request(
	    &r->shared->stage_quota, &r->shared->stage_quota_rule, clock_now());
	start_ready_stages(r);
}

bool
stages_are_done(const struct relay_request *r)
{
	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		if (has_pieces(r, i) && !r->stages[i].done)
			return false;
	}
	return true;
}

void
stages_resume(struct relay_request *r)
{
	if (r->repeats_work && !may_repeat_work(r)) {
		reject_stages(r, usec_until(start_deadline(r)),
		    "the quota of repeated stage work is spent");
		return;
	}
	r->repeats_work = false;
	start_ready_stages(r);
}

void
stages_drop(struct relay_request *r)
{
	cancel_jobs(r);
	for (uint32_t i = 0; i < r->route->n_stages; i++) {
		if (r->stages[i].done || r->stages[i].handles.n > 0)
			release_stage(r, i);
		r->stages[i].done = false;
	}
	r->repeats_work = true;
}

void
stages_restart(struct relay_request *r)
{
	stages_drop(r);
	stages_resume(r);
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
