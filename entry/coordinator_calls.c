#include "entry/coordinator_state.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/overload/response_wait.h"
#include "platform/request.h"

#include <stdlib.h>
#include <string.h>

/* Covers many round trips. */
#define CONNECT_TIMEOUT  (300 * USEC_PER_MSEC)
/*
 * Interval at which used results are freed in one call; short, as result space
 * is scarce.
 */
#define FREE_INTERVAL    (40 * USEC_PER_MSEC)
/*
 * Time after which a call has fetched its inputs: links take a few ms per MB.
 */
#define INPUT_FETCH_TIME (80 * USEC_PER_MSEC)
#define MAX_PIECE_SENDS  3
#define HANDLE_HASH_SEED 23
#define TARGET_HASH_SEED 29
/*
 * Part of the usable result space up to which fetched results are kept: the
 * rest is for the next call, and sizes are estimates.
 */
#define KEPT_SPACE       0.5
/* Frees that are not confirmed by then are given up: results expire. */
#define FREE_TIMEOUT     (5 * USEC_PER_SEC)

/*
 * The target had no space for pieces although the results known here leave
 * some: sizes are estimates, and results of a previous coordinator are stored
 * there too.  The missing space counts as used for about the time of a call.
 */
static void
hold_missing_space(struct batch_call *call, uint64_t bytes, usec_t now)
{
	result_space_hold_lost(&call->coordinator->result_space, call->addr,
	    bytes, now + call->pool->batch.config.call_cost);
}

/* Pieces that are made again as their targets failed to make them. */
static const struct retry_quota_rule repeat_rule = {
	.ratio = 0.2,
	.slack = 20,
	.window = 5 * USEC_PER_SEC,
	.hosts = 1,
};

uint32_t
coordinator_target_hash(const char *id)
{
	return (uint32_t)hash_u64(str_from(id), TARGET_HASH_SEED) | 1;
}

void
coordinator_count_piece(struct pool *p, usec_t now)
{
	retry_quota_request(&p->repeats, &repeat_rule, now);
}

static void
set_result(struct coordinator *c, const struct batch_item *it,
    const struct piece_result *res, usec_t now)
{
	struct coordinator_job *j = it->owner;

	if (res->outcome == PIECE_DONE)
		result_space_hold(&c->result_space, res->handle, j->bytes,
		    now + j->pool->batch.config.result_ttl);
	if (j->replied) {
		/* The job is already answered, so the result is not needed. */
		if (res->outcome == PIECE_DONE)
			coordinator_release(c, str_from(res->handle));
		return;
	}
	j->pieces[it->piece].result = *res;
	j->pieces[it->piece].has_result = true;
	if (j->missing > 0)
		j->missing--;
	if (j->missing == 0 || res->outcome != PIECE_DONE)
		coordinator_finish_job(c, j, now);
}

/*
 * Queues a piece that was not produced again, or fails it after MAX_PIECE_SENDS
 * calls.
 */
static bool
requeue_item(struct batch_call *call, const struct batch_item *item,
    bool count_send, usec_t now)
{
	struct batch_item it = *item;
	struct coordinator_job *j = it.owner;

	if (j->replied)
		return false;
	if (count_send && ++j->pieces[it.piece].sends >= MAX_PIECE_SENDS) {
		set_result(call->coordinator, &it,
		    &(struct piece_result){ .outcome = PIECE_FAILED }, now);
		return false;
	}
	call->coordinator->counts.retries += count_send;
	j->started--;
	j->release_inputs_at = 0;
	it.queued = now;
	batch_add(&call->pool->batch, &it);
	return true;
}

/* Queues the pieces of a call that produced nothing again. */
static void
requeue_items(struct batch_call *call, bool count_send, usec_t now)
{
	for (guint i = 0; i < call->items->len; i++)
		requeue_item(call,
		    &g_array_index(call->items, struct batch_item, i),
		    count_send, now);
}

/*
 * The target failed to make a piece: another one makes it again, while that
 * helps.  If most pieces fail, repetitions would only add to the load.
 */
static void
repeat_piece(struct batch_call *call, const struct batch_item *item,
    const struct piece_result *res, usec_t now)
{
	struct coordinator *c = call->coordinator;
	const struct coordinator_job *j = item->owner;
	struct batch_item it = *item;
	bool again = !j->replied &&
	    retry_quota_spend(&call->pool->repeats, &repeat_rule, now);

	c->counts.failed++;
	log_text(LOG_LVL_INFO, "stage-piece-failed",
	    "request %.*s: piece %u of stage %u of %s at %s, after %u other "
	    "failed calls; %s",
	    STR_FMT(str_of(&j->id)), j->pieces[it.piece].number, j->stage,
	    call->pool->service, call->target_id, j->pieces[it.piece].sends,
	    again ? "made again" : "not made again");
	it.avoid = coordinator_target_hash(call->target_id);
	if (again)
		requeue_item(call, &it, true, now);
	else
		set_result(c, &it, res, now);
}

/* Takes the items out of their jobs' counts of pieces in calls. */
static void
leave_calls(struct coordinator *c, GArray *items)
{
	(void)c;
	for (guint i = 0; i < items->len; i++) {
		struct coordinator_job *j =
		    g_array_index(items, struct batch_item, i).owner;

		j->in_calls--;
	}
}

static void
free_batch_call(struct batch_call *call)
{
	g_hash_table_remove(call->coordinator->calls, call);
	result_space_release(
	    &call->coordinator->result_space, call->addr, call->bytes);
	leave_calls(call->coordinator, call->items);
	event_free(call->timer);
	g_array_unref(call->items);
	free(call);
}

/* Returns whether the body equals that of the target's previous response. */
static bool
is_previous_response(struct coordinator *c, const char *target, struct str body)
{
	uint64_t hash = hash_u64(body, 5);
	uint64_t *last = g_hash_table_lookup(c->last_responses, target);

	if (last != NULL && *last == hash)
		return true;
	if (last == NULL) {
		last = g_new0(uint64_t, 1);
		g_hash_table_insert(c->last_responses, g_strdup(target), last);
	}
	*last = hash;
	return false;
}

/*
 * Whether each handle is in its first response.  One that was seen before, or
 * is there twice, names a result of other pieces.
 */
static bool
handles_are_new(
    struct coordinator *c, const struct piece_result *v, size_t n, usec_t now)
{
	for (size_t i = 0; i < n; i++) {
		if (v[i].outcome == PIECE_DONE &&
		    !recent_set_add(&c->handles,
			hash_u64(str_from(v[i].handle), HANDLE_HASH_SEED), now))
			return false;
	}
	return true;
}

/* Reads the results; false if the response can't belong to this call. */
static bool
take_results(struct batch_call *call, struct evbuffer *body, usec_t now)
{
	size_t n = evbuffer_get_length(body);
	struct str text = { (const char *)evbuffer_pullup(body, -1), n };
	struct piece_result *v;
	uint64_t missing = 0;
	bool ok = false;

	if (call->status != 200 || n == 0 ||
	    is_previous_response(call->coordinator, call->target_id, text))
		return false;
	v = xcalloc(call->items->len, sizeof(*v));
	ok = platform_stage_results(text, v, call->items->len) &&
	    handles_are_new(call->coordinator, v, call->items->len, now);
	for (guint i = 0; ok && i < call->items->len; i++) {
		const struct batch_item *it =
		    &g_array_index(call->items, struct batch_item, i);

		switch (v[i].outcome) {
		case PIECE_NO_SPACE:
			missing += it->bytes;
			requeue_item(call, it, true, now);
			break;
		case PIECE_FAILED:
			repeat_piece(call, it, &v[i], now);
			break;
		case PIECE_INPUT_LOST:
			call->coordinator->counts.inputs_gone++;
			set_result(call->coordinator, it, &v[i], now);
			break;
		case PIECE_DONE:
			call->n_made++;
			set_result(call->coordinator, it, &v[i], now);
			break;
		case PIECE_EXPIRED:
			set_result(call->coordinator, it, &v[i], now);
			break;
		}
	}
	if (missing > 0)
		hold_missing_space(call, missing, now);
	/* Reasons alone are no proof: any earlier response may have them. */
	if (call->n_made > 0)
		target_call_confirm(call->dial);
	free(v);
	return ok;
}

static void
report_target(struct batch_call *call, bool healthy, usec_t now)
{
	loads_ended(call->coordinator->o.loads, call->target_id,
	    healthy             ? LOADS_OK
		: call->not_run ? LOADS_FULL
				: LOADS_FAILED,
	    now);
}

/* Records for the target what a call that produced n pieces took. */
static void
record_speed(struct batch_call *call, uint32_t n, usec_t now)
{
	const struct pool_config *config = &call->pool->batch.config;
	struct target_load *t =
	    loads_find(call->coordinator->o.loads, call->target_id);

	if (t != NULL)
		target_speed_record(&t->speed,
		    config->call_cost + config->item_cost * n,
		    now - call->started, now);
}

/* Records what the call took; of a slow target only for itself. */
static void
record_duration(struct batch_call *call, usec_t now)
{
	if (call->n_made == 0)
		return;
	if (!call->slow)
		batch_record(
		    &call->pool->batch, call->n_made, now - call->started);
	record_speed(call, call->n_made, now);
}

static void
end_call(struct batch_call *call, bool ok, bool not_run, const char *why)
{
	struct coordinator *c = call->coordinator;
	struct pool *p = call->pool;
	usec_t now = clock_now();

	report_target(call, ok, now);
	if (!ok) {
		LOG(LOG_LVL_NOTICE, "stage-call-failed",
		    { "target", str_from(call->target_id) },
		    { "service", str_from(call->pool->service) },
		    { "cause", str_from(why) });
		if (!not_run)
			result_space_hold_lost(&c->result_space, call->addr,
			    call->bytes, now + p->batch.config.result_ttl);
		requeue_items(call, !not_run, now);
	} else {
		record_duration(call, now);
	}
	free_batch_call(call);
	coordinator_start_calls(c, p, now);
}

static void
on_head(struct batch_call *call, const struct httpmsg *m)
{
	struct response_info f;
	struct target_load *t =
	    loads_find(call->coordinator->o.loads, call->target_id);

	platform_response_parse(m, &f);
	call->status = m->parser.status_code;
	call->not_run = f.not_executed;
	if (t == NULL)
		return;
	if (f.misdirected)
		loads_mark_leaving(call->coordinator->o.loads, t);
	else
		target_limits_answered(call->coordinator->o.target_limits, t,
		    &f, call->started, true);
}

static void
on_dial_event(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct batch_call *call = arg;

	switch (ev) {
	case DIAL_HEAD:
		on_head(call, m);
		return;
	case DIAL_BODY:
		return;
	case DIAL_END:
		if (call->not_run)
			end_call(call, false, true, "the target is full");
		else
			end_call(call, take_results(call, m->body, clock_now()),
			    false, "the response does not belong to this call");
		return;
	case DIAL_UNSENT:
	case DIAL_UNCHECKED:
		end_call(call, false, true, "no connection");
		return;
	case DIAL_BROKEN:
	case DIAL_BAD_RESPONSE:
		end_call(call, false, false, "the connection broke");
		return;
	}
}

static void
arm_timer(struct batch_call *call, usec_t time)
{
	struct timeval tv = { time / USEC_PER_SEC, time % USEC_PER_SEC };

	evtimer_add(call->timer, &tv);
}

static void
on_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct batch_call *call = arg;
	usec_t now = clock_now();
	bool held = target_call_is_held(call->dial);
	usec_t end = response_wait_end(
	    &(struct response_call){
		.started = call->started,
		.written = target_call_written_at(call->dial),
		.limit = call->timeout,
		.waited = target_call_waited(call->dial),
		.held = held,
	    },
	    now);

	(void)fd;
	(void)what;
	if (now < end) {
		arm_timer(call, held ? DIAL_HELD_STEP : end - now);
		return;
	}
	/* What has arrived is read first. */
	if (late_read_goes_on(
		&call->late_read, target_call_has_input(call->dial), now)) {
		arm_timer(call, held ? DIAL_HELD_STEP : 0);
		return;
	}
	target_call_cancel(call->dial);
	/* It would have taken longer; without this it stays unknown. */
	record_speed(call, call->items->len, now);
	end_call(call, false, false, "no response in time");
}

/* A call that frees results. */
struct free_call {
	struct coordinator *coordinator;
	struct target_call *call;
};

static void
on_free_dial_event(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct free_call *f = arg;

	(void)m;
	if (ev == DIAL_HEAD || ev == DIAL_BODY)
		return;
	if (ev != DIAL_END)
		log_text(LOG_LVL_DEBUG, "free-failed",
		    "results expire by themselves");
	g_hash_table_remove(f->coordinator->free_calls, f);
	free(f);
}

/* timeout: as in dial_opts. */
static struct target_call *
post(struct coordinator *c, const struct target_load *t, const char *path,
    struct str body, usec_t timeout, dial_handler handler, void *arg)
{
	struct buf head = { 0 };
	struct evbuffer *b = evbuffer_new();
	struct target_call *d;

	evbuffer_add(b, body.p, body.n);
	platform_json_call_head(&head, str_from(t->entry.addr), path,
	    str_from(t->entry.id), body.n);
	d = target_call_start(c->o.target_calls, t,
	    &(struct dial_opts){
		.addr = str_from(t->entry.addr),
		.head = str_of(&head),
		.body = b,
		.call_id_name = platform_call_id_name(),
		.connect_timeout = CONNECT_TIMEOUT,
		.max_age = HANDLE_MEMORY / 2,
		.timeout = timeout,
		.handler = handler,
		.arg = arg,
	    });
	evbuffer_free(b);
	buf_free(&head);
	return d;
}

/* Frees the used results at a target before its next call produces more. */
static void
flush_frees(struct coordinator *c, const struct target_load *t)
{
	const struct result_frees_entry *u =
	    result_frees_find(&c->frees, t->entry.addr);
	struct buf body = { 0 };
	struct free_call *f;

	if (u == NULL)
		return;
	f = xcalloc(1, sizeof(*f));
	f->coordinator = c;
	platform_stage_free_body(&body, str_of(&u->handles));
	f->call = post(c, t, PLATFORM_STAGE_FREE_PATH, str_of(&body),
	    FREE_TIMEOUT, on_free_dial_event, f);
	if (f->call != NULL) {
		/* A later call doesn't take a response without results. */
		target_call_confirm(f->call);
		g_hash_table_add(c->free_calls, f);
	} else {
		free(f);
	}
	buf_free(&body);
	result_frees_sent(&c->frees, t->entry.addr);
}

/*
 * Fetched results at a target give way until its space, with bytes more in use,
 * is within the part that may be kept.
 */
static void
reclaim_space(struct coordinator *c, const struct pool *p, const char *addr,
    uint64_t bytes, usec_t now)
{
	uint64_t kept =
	    (uint64_t)(KEPT_SPACE * (double)coordinator_usable_space(p));
	struct buf handles = { 0 };
	struct str list;
	struct str one;

	c->counts.reclaimed += result_space_reclaim(&c->result_space, addr,
	    bytes < kept ? kept - bytes : 0, now, &handles);
	list = str_of(&handles);
	while (list.n > 0 && str_cut(&list, ',', &one))
		result_frees_add(&c->frees, one, now);
	buf_free(&handles);
}

/*
 * Whether the calls of this host to the pool's targets begin at once: no other
 * host calls them.  A call that waits there fetches its inputs later.
 */
static bool
calls_alone(const struct pool *p, usec_t now)
{
	return *p->coordinator_addr == '\0' && now >= p->handover_until;
}

static void
write_calls(struct batch_call *call, struct buf *body, usec_t now)
{
	struct piece_call *v = xcalloc(call->items->len, sizeof(*v));

	for (guint i = 0; i < call->items->len; i++) {
		const struct batch_item *it =
		    &g_array_index(call->items, struct batch_item, i);
		struct coordinator_job *j = it->owner;

		j->in_calls++;
		j->calls_end = MAX(j->calls_end, now + call->expected);
		if (++j->started == j->n && j->inputs.n > 0 &&
		    calls_alone(call->pool, now))
			j->release_inputs_at = now + INPUT_FETCH_TIME;
		v[i] = (struct piece_call){
			.id = str_of(&j->id),
			.stage = j->stage,
			.piece = j->pieces[it->piece].number,
			.remaining = j->deadline - now,
			.key = str_of(&j->piece_key),
			.inputs = str_of(&j->inputs),
		};
	}
	platform_stage_run_body(body, v, call->items->len);
	free(v);
}

void
coordinator_call(struct coordinator *c, struct pool *p, struct target_load *t,
    double slowness, GArray *items, usec_t now)
{
	struct batch_call *call = xcalloc(1, sizeof(*call));
	struct buf body = { 0 };

	for (guint i = 0; i < items->len; i++)
		call->bytes += g_array_index(items, struct batch_item, i).bytes;
	reclaim_space(c, p, t->entry.addr, call->bytes, now);
	/* With a limit, each request to the target takes the place of a call.
	 */
	if (!loads_is_limited(t, now))
		flush_frees(c, t);
	call->coordinator = c;
	call->pool = p;
	call->items = items;
	call->started = now;
	call->expected = (usec_t)(slowness *
	    (double)batch_long_duration(&p->batch, items->len));
	call->timeout = (usec_t)(slowness *
	    (double)batch_call_timeout(&p->batch, items->len));
	call->slow = slowness > 1;
	g_strlcpy(call->target_id, t->entry.id, sizeof(call->target_id));
	g_strlcpy(call->addr, t->entry.addr, sizeof(call->addr));
	call->timer = evtimer_new(c->o.base, on_call_timeout, call);
	write_calls(call, &body, now);
	result_space_reserve(&c->result_space, call->addr, call->bytes);
	g_hash_table_add(c->calls, call);
	loads_sent_alone(t, now);
	c->counts.calls++;
	c->counts.slow_calls += call->slow;
	c->counts.pieces += items->len;
	p->calls++;
	p->pieces += items->len;
	call->dial = post(c, t, PLATFORM_STAGE_RUN_PATH, str_of(&body), 0,
	    on_dial_event, call);
	buf_free(&body);
	if (call->dial == NULL) {
		report_target(call, false, now);
		requeue_items(call, false, now);
		free_batch_call(call);
		return;
	}
	arm_timer(call, call->timeout);
}

void
coordinator_flush_frees(struct coordinator *c, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	result_frees_expire(&c->frees, now);
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct pool *pool = p;
		const GPtrArray *all = coordinator_targets(c, pool);

		for (guint i = 0; all != NULL && i < all->len; i++) {
			struct target_load *t = all->pdata[i];
			const struct result_frees_entry *u;

			/*
			 * Ahead of the next call, whose turn may come before
			 * the space has been freed.  A target with a limit is
			 * not asked to free it with each call.
			 */
			reclaim_space(c, pool, t->entry.addr,
			    t->limit.rate > 0 ? UINT64_MAX : 0, now);
			u = result_frees_find(&c->frees, t->entry.addr);
			if (u == NULL || now - u->oldest <= FREE_INTERVAL ||
			    !loads_allows_alone(t, now))
				continue;
			loads_spend_alone(t, now);
			flush_frees(c, t);
		}
	}
}

void
coordinator_release(struct coordinator *c, struct str handles)
{
	struct str one;

	while (handles.n > 0 && str_cut(&handles, ',', &one)) {
		/*
		 * Results produced for another coordinator are not held here;
		 * for them this does nothing.
		 */
		result_space_free_result(&c->result_space, one);
		result_frees_add(&c->frees, one, clock_now());
	}
}

void
coordinator_fetched(struct coordinator *c, struct str handles)
{
	struct str one;

	while (handles.n > 0 && str_cut(&handles, ',', &one))
		result_space_fetched(&c->result_space, one);
}

bool
coordinator_has_way(const struct coordinator *c, const struct pool *p)
{
	return target_calls_has_way(c->o.target_calls, p->service);
}

void
coordinator_move_jobs(struct coordinator *c, struct pool *p, usec_t now)
{
	GHashTableIter it;
	gpointer v;
	uint32_t n = 0;

	if (coordinator_has_way(c, p))
		return;
	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct coordinator_job *j = v;

		if (j->pool != p || j->replied || j->stays || j->in_calls > 0)
			continue;
		j->moved = true;
		coordinator_finish_job(c, j, now);
		n++;
	}
	if (n > 0)
		log_text(LOG_LVL_NOTICE, "stage-moved",
		    "%u jobs of %s go to the next coordinator: there is no "
		    "path to its targets",
		    n, p->service);
}

void
coordinator_path_lost(struct coordinator *c, const char *service)
{
	g_autoptr(GPtrArray) silent = g_ptr_array_new();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->calls);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct batch_call *call = p;

		if (strcmp(call->pool->service, service) == 0 &&
		    target_call_is_direct(call->dial) &&
		    !target_call_has_input(call->dial))
			g_ptr_array_add(silent, call);
	}
	for (guint i = 0; i < silent->len; i++) {
		struct batch_call *call = silent->pdata[i];

		target_call_cancel(call->dial);
		end_call(call, false, false, "its path is lost");
	}
}

void
coordinator_cancel_calls(struct coordinator *c)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->calls);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct batch_call *call = p;

		target_call_cancel(call->dial);
		event_free(call->timer);
		g_array_unref(call->items);
		free(call);
	}
	g_hash_table_iter_init(&it, c->free_calls);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct free_call *f = p;

		target_call_cancel(f->call);
		free(f);
	}
}
