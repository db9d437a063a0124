#include "kernel/call.h"
#include "kernel/pick.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of the prompt that are hashed for affinity. */
#define PREFIX_BYTES   256
/* Bytes of a request's id in the ids of its calls. */
#define MAX_ID_BYTES   80
/* Weight of the newest call in the moving average. */
#define RECENT_WEIGHT  0.2
/* Time limit of a look-up. */
#define LOOKUP_TIMEOUT USEC_PER_SEC

static usec_t
later_stage_time(const struct request *rq)
{
	usec_t sum = 0;

	for (size_t i = rq->stage + 1; i < rq->pipeline->n_stages; i++)
		sum += histogram_percentile(&rq->stats[i]->call_time, 50, 0);
	return sum;
}

/* Returns the time limit of a call from the time left for the request. */
static usec_t
call_timeout(
    const struct kernel *k, const struct request *rq, enum call_role role)
{
	const struct conf_stage *s = state_current_stage(rq);
	usec_t remaining = rq->deadline - k->now;
	usec_t reserved;

	if (role == CALL_LOOKUP)
		return LOOKUP_TIMEOUT;
	/* The wait goes on past the deadline, to settle the claim. */
	if (s->repeatable == 0)
		return remaining + CLAIM_SETTLE_TIME;
	switch ((enum split)s->policy.split) {
	case SPLIT_EVEN:
		return remaining / (usec_t)(rq->pipeline->n_stages - rq->stage);
	case SPLIT_QUANTILE:
		reserved = later_stage_time(rq);
		return reserved < remaining / 2 ? remaining - reserved
						: remaining / 2;
	case SPLIT_NONE:
		break;
	}
	return remaining;
}

static uint64_t
prefix_hash(const struct request *rq)
{
	const struct conf_stage *s = state_current_stage(rq);
	struct buf prompt = { 0 };
	struct buf salt = { 0 };
	uint64_t h;

	if (!s->service->kind->streams)
		return 0;
	answer_prompt(s, rq->document, &prompt);
	if (prompt.n > PREFIX_BYTES)
		prompt.n = PREFIX_BYTES;
	answer_salt(rq->workspace, &salt);
	h = hash_u64(str_of(&prompt), hash_u64(str_of(&salt), 0));
	buf_free(&prompt);
	buf_free(&salt);
	return h != 0 ? h : 1;
}

static int
choose_target(struct kernel *k, const struct request *rq, enum call_role role,
    const char **reason)
{
	const struct conf_stage *s = state_current_stage(rq);
	struct pick p = {
		.targets = &k->targets,
		.service = rq->service_index[rq->stage],
		.now = k->now,
		.rng = &k->rng,
		.affinity = prefix_hash(rq),
		.domain = k->domain,
		.policy = &s->policy,
		.concurrency = s->service->concurrency,
		.avoid = rq->tried,
		.n_avoid = rq->n_tried < MAX_CALLS_PER_REQ ? rq->n_tried
							   : MAX_CALLS_PER_REQ,
	};
	int i = s->policy.balance->choose(&p);

	if (i < 0 && p.n_avoid > 0 && role != CALL_HEDGE) {
		p.n_avoid = 0;
		i = s->policy.balance->choose(&p);
	}
	*reason = p.reason;
	return i;
}

static struct stage_call
make_stage_call(const struct call *c)
{
	const struct request *rq = c->rq;
	bool resumed = c->role == CALL_RESUME || c->tokens_taken > 0;

	return (struct stage_call){
		.pipeline = rq->pipeline,
		.stage = state_current_stage(rq),
		.workspace = rq->workspace,
		.call_id = c->call_id,
		.request_id = rq->id,
		.key = str_from(rq->key),
		.document = rq->document,
		.priority = rq->pipeline->priority,
		.resumed =
		    resumed ? str_of(&rq->text) : (struct str){ NULL, 0 },
		.resumed_tokens = resumed ? rq->tokens : 0,
	};
}

/* Writes the look-up path with the key in place of "{key}". */
static void
lookup_path(const struct conf_service *s, const char *key, struct buf *out)
{
	struct str rest = str_from(s->lookup);
	struct str part;

	while (str_cut(&rest, '{', &part)) {
		buf_put(out, part);
		if (rest.p != NULL && str_has_prefix(rest, STR("key}"))) {
			buf_put(out, str_from(key));
			rest.p += 4;
			rest.n -= 4;
		}
	}
}

static void
add_call_action(struct kernel *k, const struct call *c)
{
	const struct conf_stage *s = state_current_stage(c->rq);
	const struct target *x = &k->targets.v[c->target];
	struct stage_call sc = make_stage_call(c);
	struct action *a = actions_add(k->out, ACTION_CALL);

	a->call.call = c->id;
	a->call.req = c->rq->handle;
	snprintf(a->call.addr, sizeof(a->call.addr), "%s", x->addr);
	a->call.timeout = c->timeout_at - k->now;
	a->call.new_conn = s->repeatable == 0 || x->new_conn_until > k->now ||
	    c->role == CALL_RETRY || c->role == CALL_RESUME;
	a->call.no_resend = s->repeatable == 0 && c->role != CALL_LOOKUP;
	if (c->role == CALL_LOOKUP) {
		a->call.method = METHOD_GET;
		lookup_path(s->service, c->rq->key, &a->call.path);
		return;
	}
	a->call.method = (enum method)s->service->method;
	buf_put(&a->call.path,
	    str_from(*s->service->path != '\0' ? s->service->path
					       : s->service->kind->path));
	if (a->call.method != METHOD_GET)
		s->service->kind->build(&sc, &a->call.body);
}

static void
count_sent(struct kernel *k, struct request *rq, enum call_role role)
{
	struct stage_stats *st = rq->stats[rq->stage];

	k->stats.calls++;
	rq->calls_sent++;
	switch (role) {
	case CALL_FIRST:
		budget_earn(
		    &st->budget, state_current_stage(rq)->policy.retry_budget);
		return;
	case CALL_RETRY:
		k->stats.retries++;
		break;
	case CALL_HEDGE:
		k->stats.hedges++;
		break;
	case CALL_RESUME:
		k->stats.resumes++;
		break;
	case CALL_LOOKUP:
		k->stats.lookups++;
		break;
	}
	rq->extra_calls++;
}

static void
count_started(const struct kernel *k, struct service_state *s)
{
	if (s->in_flight++ == 0)
		s->last_end_at = k->now;
}

struct call *
call_send(struct kernel *k, struct request *rq, enum call_role role)
{
	static const enum trace_kind kinds[] = { TRACE_CALLED, TRACE_RETRIED,
		TRACE_HEDGED, TRACE_RESUMED, TRACE_LOOKED_UP };
	const char *reason = NULL;
	struct call *c;
	int i;

	if (rq->n_calls == MAX_CALLS_PER_REQ)
		return NULL;
	i = choose_target(k, rq, role, &reason);
	if (i < 0)
		return NULL;
	c = xcalloc(1, sizeof(*c));
	c->id = ++k->next_call;
	snprintf(c->call_id, sizeof(c->call_id), "%.*s.%u", MAX_ID_BYTES,
	    rq->id, rq->calls_sent);
	c->rq = rq;
	c->target = i;
	c->role = role;
	c->started = k->now;
	c->progress_at = k->now;
	c->timeout_at = k->now + call_timeout(k, rq, role);
	c->answer.load = -1;
	rq->calls[rq->n_calls++] = c;
	if (rq->n_tried == 0)
		rq->stage_sent_at[rq->stage] = k->now;
	rq->tried[rq->n_tried++ % MAX_CALLS_PER_REQ] = i;
	g_hash_table_insert(k->calls, &c->id, c);
	count_started(k, rq->services[rq->stage]);
	targets_started(&k->targets, i);
	count_sent(k, rq, role);
	if (state_current_stage(rq)->repeatable == 0 && role != CALL_LOOKUP) {
		rq->effect_sent = true;
		rq->effect_done = false;
	}
	state_trace(k, rq, kinds[role], reason, k->targets.v[i].addr);
	add_call_action(k, c);
	return c;
}

void
call_target_leaving(struct kernel *k, int target)
{
	const struct targets *t = &k->targets;

	if (!targets_mark_leaving(&k->targets, target, k->now))
		return;
	for (int i = targets_find(t, str_from(t->v[target].addr)); i >= 0;
	     i = t->v[i].next_same_addr) {
		struct action_leaving *a =
		    &actions_add(k->out, ACTION_LEAVING)->leaving;

		memcpy(a->service, t->services[t->v[i].service].name,
		    sizeof(a->service));
		memcpy(a->addr, t->v[i].addr, sizeof(a->addr));
	}
}

static enum call_verdict
verdict(struct kernel *k, struct call *c, enum parse_state st)
{
	if (c->answer.load >= 0)
		targets_record_load(
		    &k->targets, c->target, (uint32_t)c->answer.load, k->now);
	switch (st) {
	case PARSE_MORE:
		return CALL_INCOMPLETE;
	case PARSE_DONE:
		return CALL_DONE;
	case PARSE_REFUSED:
		if (c->answer.leaving)
			call_target_leaving(k, c->target);
		return CALL_REFUSED;
	case PARSE_OTHER_CALL:
		k->stats.foreign_answers++;
		return CALL_BROKEN;
	case PARSE_BAD:
		break;
	}
	return CALL_BROKEN;
}

enum call_verdict
call_feed(struct kernel *k, struct call *c, struct str bytes, bool end)
{
	const struct stage_ops *ops = state_current_stage(c->rq)->service->kind;
	struct stage_call sc = make_stage_call(c);

	/*
	 * A look-up returns the first call's answer, under the first call's id.
	 */
	if (c->role == CALL_LOOKUP)
		sc.call_id = NULL;
	if (c->answer.body.n + bytes.n > MAX_ANSWER_BYTES)
		return CALL_BROKEN;
	buf_put(&c->answer.body, bytes);
	if (c->role == CALL_LOOKUP && end && c->status == 404)
		return CALL_NOT_FOUND;
	return verdict(k, c, ops->feed(&sc, &c->answer, c->status, end));
}

/* Adds a duration to the histogram and compares the target with the median. */
static void
record_duration(struct kernel *k, const struct call *c, struct histogram *h)
{
	usec_t median = histogram_percentile(h, 50, 0);
	usec_t duration = k->now - c->started;

	if (median > 0)
		targets_record_time(&k->targets, c->target,
		    (double)duration / (double)median, k->now);
	histogram_add(h, duration);
}

void
call_take_tokens(struct kernel *k, struct call *c)
{
	struct request *rq = c->rq;
	struct stage_stats *st = rq->stats[rq->stage];
	uint32_t n_new = c->answer.tokens - c->tokens_taken;

	if (n_new == 0)
		return;
	if (c->tokens_taken == 0)
		record_duration(k, c, &st->first_token);
	else
		histogram_add(
		    &st->token_gap, (k->now - c->progress_at) / n_new);
	c->progress_at = k->now;
	c->tokens_taken = c->answer.tokens;
	rq->tokens += n_new;
	k->stats.tokens += n_new;
	limit_charge(&k->limits, rq->workspace->name, n_new);
	if (rq->stream && rq->stage + 1 == rq->pipeline->n_stages) {
		struct action *a = actions_add(k->out, ACTION_CHUNK);

		a->chunk.req = rq->handle;
		buf_put(&a->chunk.text, str_of(&c->answer.text));
	}
	buf_put(&rq->text, str_of(&c->answer.text));
	buf_clear(&c->answer.text);
}

void
call_wait(const struct kernel *k, struct call *c, bool waits)
{
	if (c->waits)
		c->waited += k->now - c->waits_since;
	c->waits = waits;
	c->waits_since = k->now;
	c->progress_at = k->now;
}

bool
call_is_unread(const struct kernel *k, const struct call *c)
{
	return c->waits ||
	    (c->waited > 0 && k->now - c->progress_at <= c->waited);
}

/* Counts the end of a call of the current service and frees its slot. */
static void
count_ended(struct kernel *k, const struct request *rq)
{
	struct service_state *s = rq->services[rq->stage];

	s->in_flight--;
	queue_average_gap(&s->end_interval, k->now - s->last_end_at);
	s->last_end_at = k->now;
	s->slot_freed = true;
	k->slot_freed = true;
	if (s->queue.n == 0) {
		s->queued_end_at = 0;
		return;
	}
	if (s->queued_end_at > 0)
		queue_average_gap(
		    &s->queued_end_interval, k->now - s->queued_end_at);
	s->queued_end_at = k->now;
}

void
call_close(struct kernel *k, struct call *c)
{
	struct request *rq = c->rq;

	for (size_t i = 0; i < rq->n_calls; i++) {
		if (rq->calls[i] == c) {
			rq->calls[i] = rq->calls[--rq->n_calls];
			break;
		}
	}
	targets_ended(&k->targets, c->target);
	count_ended(k, rq);
	g_hash_table_remove(k->calls, &c->id);
	answer_free(&c->answer);
	free(c);
}

void
call_cancel(struct kernel *k, struct call *c, const char *why)
{
	actions_add(k->out, ACTION_CANCEL)->cancel.call = c->id;
	k->stats.cancelled_calls++;
	state_trace(
	    k, c->rq, TRACE_CALL_CANCELLED, why, k->targets.v[c->target].addr);
	call_close(k, c);
}

void
call_record_recent(const struct kernel *k, const struct call *c)
{
	double *recent = &c->rq->stats[c->rq->stage]->recent_call_time;
	double duration = (double)(k->now - c->started);

	*recent = *recent > 0 ? *recent + (duration - *recent) * RECENT_WEIGHT
			      : duration;
}

void
call_succeeded(struct kernel *k, struct call *c)
{
	struct stage_stats *st = c->rq->stats[c->rq->stage];

	targets_succeeded(&k->targets, c->target, k->now);
	if (c->role == CALL_LOOKUP)
		return;
	call_record_recent(k, c);
	if (state_current_stage(c->rq)->service->kind->streams)
		histogram_add(&st->call_time, k->now - c->started);
	else
		record_duration(k, c, &st->call_time);
}

void
call_cancel_overtaken(struct kernel *k, struct call *c)
{
	struct histogram *h = state_first_output(c->rq);
	usec_t median = histogram_percentile(h, 50, 0);

	/* The call would have taken longer than its time so far. */
	if (median > 0 && c->tokens_taken == 0 && k->now - c->started > median)
		targets_record_time(&k->targets, c->target,
		    (double)(k->now - c->started) / (double)median, k->now);
	call_cancel(k, c, "another call was first");
}

bool
call_has_target(const struct kernel *k, const struct request *rq)
{
	const struct service_targets *st =
	    &k->targets.services[rq->service_index[rq->stage]];

	for (size_t i = 0; i < st->n; i++) {
		if (k->targets.v[st->members[i]].state == TARGET_LIVE)
			return true;
	}
	return false;
}
