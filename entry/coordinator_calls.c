#include "entry/coordinator_state.h"
#include "base/hash.h"
#include "base/log.h"
#include "platform/request.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT     (300 * USEC_PER_MSEC) /* many times a round trip */
/* A call that takes so many times what it should is lost. */
#define CALL_TIMEOUT_FACTOR 5
/* Results that were used are freed together so often: room is short. */
#define FREE_INTERVAL       (40 * USEC_PER_MSEC)
/* A call has fetched its inputs by then: links take a few ms a megabyte. */
#define INPUT_FETCH_TIME    (80 * USEC_PER_MSEC)
#define MAX_PIECE_SENDS     3

static void
set_result(struct coordinator *h, const struct batch_item *it,
    const struct piece_result *res, usec_t now)
{
	struct coordinator_job *a = it->owner;

	if (res->outcome == PIECE_DONE)
		result_space_hold(&h->result_space, res->handle, a->bytes,
		    now + a->pool->batch.shape.result_ttl);
	if (a->replied) {
		/* Nobody waits for it any more. */
		if (res->outcome == PIECE_DONE)
			coordinator_release(h, str_from(res->handle));
		return;
	}
	a->results[it->piece] = *res;
	a->has_result[it->piece] = true;
	if (a->missing > 0)
		a->missing--;
	if (a->missing == 0 || res->outcome != PIECE_DONE)
		coordinator_finish_job(h, a, now);
}

/* The call made nothing: its pieces wait again, or fail. */
static void
requeue_items(
    struct coordinator *h, struct batch_call *k, bool counts, usec_t now)
{
	for (guint i = 0; i < k->items->len; i++) {
		struct batch_item it =
		    g_array_index(k->items, struct batch_item, i);
		struct coordinator_job *a = it.owner;

		if (a->replied)
			continue;
		if (counts && ++a->sends[it.piece] >= MAX_PIECE_SENDS) {
			set_result(h, &it,
			    &(struct piece_result){ .outcome = PIECE_FAILED },
			    now);
			continue;
		}
		h->counts.retries += counts;
		a->started--;
		a->release_inputs_at = 0;
		batch_add(&k->pool->batch, &it);
	}
}

/* Frees an ask that is answered and held by no call. */
static void
leave_calls(struct coordinator *h, GArray *items)
{
	(void)h;
	for (guint i = 0; i < items->len; i++) {
		struct coordinator_job *a =
		    g_array_index(items, struct batch_item, i).owner;

		a->in_calls--;
	}
}

static void
free_stage_call(struct batch_call *k)
{
	g_hash_table_remove(k->coordinator->calls, k);
	result_space_release(&k->coordinator->result_space, k->addr, k->bytes);
	leave_calls(k->coordinator, k->items);
	event_free(k->timer);
	g_array_unref(k->items);
	free(k);
}

/* Whether the results were already those of the target's last answer. */
static bool
is_duplicate_answer(struct coordinator *h, const char *target, struct str body)
{
	uint64_t hash = hash_u64(body, 5);
	uint64_t *last = g_hash_table_lookup(h->last_answers, target);

	if (last != NULL && *last == hash)
		return true;
	if (last == NULL) {
		last = g_new0(uint64_t, 1);
		g_hash_table_insert(h->last_answers, g_strdup(target), last);
	}
	*last = hash;
	return false;
}

/* Reads the answer; false if it can't be one to this call. */
static bool
take_results(struct batch_call *k, struct evbuffer *body, usec_t now)
{
	size_t n = evbuffer_get_length(body);
	struct str text = { (const char *)evbuffer_pullup(body, -1), n };
	struct piece_result *v;
	bool ok = false;

	if (k->status != 200 || n == 0 ||
	    is_duplicate_answer(k->coordinator, k->target_id, text))
		return false;
	v = xcalloc(k->items->len, sizeof(*v));
	ok = platform_stage_results(text, v, k->items->len);
	for (guint i = 0; ok && i < k->items->len; i++)
		set_result(k->coordinator,
		    &g_array_index(k->items, struct batch_item, i), &v[i], now);
	free(v);
	return ok;
}

static void
report_target(struct batch_call *k, bool sound, usec_t now)
{
	loads_ended(k->coordinator->o.loads, k->target_id,
	    sound            ? LOADS_OK
		: k->not_run ? LOADS_FULL
			     : LOADS_FAILED,
	    now);
}

static void
end_call(struct batch_call *k, bool ok, bool not_run, const char *why)
{
	struct coordinator *h = k->coordinator;
	struct pool *p = k->pool;
	usec_t now = clock_now();

	report_target(k, ok, now);
	if (!ok) {
		LOG(LOG_LVL_NOTICE, "stage-call-failed",
		    { "target", str_from(k->target_id) },
		    { "service", str_from(k->pool->service) },
		    { "cause", str_from(why) });
		if (!not_run)
			result_space_hold_lost(&h->result_space, k->addr,
			    k->bytes, now + p->batch.shape.result_ttl);
		requeue_items(h, k, !not_run, now);
	} else {
		batch_record(&k->pool->batch, k->items->len, now - k->started);
	}
	free_stage_call(k);
	coordinator_start_calls(h, p, now);
}

static void
on_head(struct batch_call *k, const struct httpmsg *m)
{
	struct response_info f;
	struct target_load *t =
	    loads_find(k->coordinator->o.loads, k->target_id);

	platform_response_parse(m, &f);
	k->status = m->parser.status_code;
	k->not_run = f.not_executed;
	if (t != NULL && f.misdirected)
		loads_mark_leaving(k->coordinator->o.loads, t);
}

static void
on_answer(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct batch_call *k = arg;

	switch (ev) {
	case DIAL_HEAD:
		on_head(k, m);
		return;
	case DIAL_BODY:
		return;
	case DIAL_END:
		if (k->not_run)
			end_call(k, false, true, "the target is full");
		else
			end_call(k, take_results(k, m->body, clock_now()),
			    false, "the answer is not one to this call");
		return;
	case DIAL_UNSENT:
		end_call(k, false, true, "no connection");
		return;
	case DIAL_BROKEN:
	case DIAL_BAD_RESPONSE:
		end_call(k, false, false, "the connection broke");
		return;
	}
}

static void
on_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct batch_call *k = arg;

	(void)fd;
	(void)what;
	dial_cancel(k->dial);
	end_call(k, false, false, "no answer in time");
}

static void
on_free_answer(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	(void)arg;
	(void)m;
	if (ev != DIAL_HEAD && ev != DIAL_BODY && ev != DIAL_END)
		log_text(LOG_LVL_DEBUG, "free-failed",
		    "results expire by themselves");
}

static struct dial_call *
post(struct coordinator *h, const struct target_load *t, const char *path,
    struct str body, dial_handler handler, void *arg)
{
	struct buf head = { 0 };
	struct evbuffer *b = evbuffer_new();
	struct dial_call *d;

	evbuffer_add(b, body.p, body.n);
	platform_json_call_head(&head, str_from(t->entry.addr), path,
	    str_from(t->entry.id), body.n);
	d = dial_start(h->o.dialer,
	    &(struct dial_opts){
		.addr = str_from(t->entry.addr),
		.head = str_of(&head),
		.body = b,
		.connect_timeout = CONNECT_TIMEOUT,
		.handler = handler,
		.arg = arg,
	    });
	evbuffer_free(b);
	buf_free(&head);
	return d;
}

/* Frees the used results at a target before its next call makes more. */
static void
flush_frees(struct coordinator *h, const struct target_load *t)
{
	struct pending_frees *u =
	    g_hash_table_lookup(h->pending_frees, t->entry.addr);
	struct buf body = { 0 };

	if (u == NULL)
		return;
	platform_free_body(&body, str_of(&u->handles));
	post(h, t, PLATFORM_STAGE_FREE_PATH, str_of(&body), on_free_answer,
	    NULL);
	buf_free(&body);
	g_hash_table_remove(h->pending_frees, t->entry.addr);
}

static void
write_calls(struct batch_call *k, struct buf *body, usec_t now)
{
	struct piece_call *v = xcalloc(k->items->len, sizeof(*v));

	for (guint i = 0; i < k->items->len; i++) {
		const struct batch_item *it =
		    &g_array_index(k->items, struct batch_item, i);
		struct coordinator_job *a = it->owner;

		a->in_calls++;
		k->bytes += a->bytes;
		if (++a->started == a->n && a->inputs.n > 0 &&
		    now >= k->pool->handover_until)
			a->release_inputs_at = now + INPUT_FETCH_TIME;
		v[i] = (struct piece_call){
			.id = str_of(&a->id),
			.stage = a->stage,
			.piece = a->pieces[it->piece],
			.remaining = a->deadline - now,
			.key = str_of(&a->piece_key),
			.inputs = str_of(&a->inputs),
		};
	}
	platform_stage_body(body, v, k->items->len);
	free(v);
}

void
coordinator_call(struct coordinator *h, struct pool *p, struct target_load *t,
    GArray *items, usec_t now)
{
	struct batch_call *k = xcalloc(1, sizeof(*k));
	struct buf body = { 0 };
	usec_t most = CALL_TIMEOUT_FACTOR *
	    (usec_t)(p->batch.call_usec + p->batch.item_usec * items->len);
	struct timeval tv = { most / USEC_PER_SEC, most % USEC_PER_SEC };

	flush_frees(h, t);
	k->coordinator = h;
	k->pool = p;
	k->items = items;
	k->started = now;
	g_strlcpy(k->target_id, t->entry.id, sizeof(k->target_id));
	g_strlcpy(k->addr, t->entry.addr, sizeof(k->addr));
	k->timer = evtimer_new(h->o.base, on_call_timeout, k);
	write_calls(k, &body, now);
	result_space_reserve(&h->result_space, k->addr, k->bytes);
	g_hash_table_add(h->calls, k);
	loads_sent(t);
	h->counts.calls++;
	h->counts.pieces += items->len;
	k->dial = post(h, t, PLATFORM_STAGE_PATH, str_of(&body), on_answer, k);
	buf_free(&body);
	if (k->dial == NULL) {
		report_target(k, false, now);
		requeue_items(h, k, false, now);
		free_stage_call(k);
		return;
	}
	evtimer_add(k->timer, &tv);
}

void
coordinator_flush_frees(struct coordinator *h, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, h->pools);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct pool *x = p;
		const GPtrArray *all = loads_usable(h->o.loads, x->service);

		for (guint i = 0; all != NULL && i < all->len; i++) {
			const struct target_load *t = all->pdata[i];
			const struct pending_frees *u = g_hash_table_lookup(
			    h->pending_frees, t->entry.addr);

			if (u != NULL && now - u->oldest > FREE_INTERVAL)
				flush_frees(h, t);
		}
	}
}

void
coordinator_release(struct coordinator *h, struct str handles)
{
	struct str one;

	while (handles.n > 0 && str_cut(&handles, ',', &one)) {
		struct str rest = one;
		struct str addr;
		struct pending_frees *u;
		g_autofree char *key = NULL;

		if (!str_cut(&rest, '/', &addr))
			continue;
		/* Also what another home has made, and not held here. */
		result_space_free_result(&h->result_space, one);
		key = g_strndup(addr.p, addr.n);
		u = g_hash_table_lookup(h->pending_frees, key);
		if (u == NULL) {
			u = xcalloc(1, sizeof(*u));
			u->oldest = clock_now();
			g_hash_table_insert(h->pending_frees, g_strdup(key), u);
		} else {
			buf_putc(&u->handles, ',');
		}
		buf_put(&u->handles, one);
	}
}

void
coordinator_cancel_calls(struct coordinator *h)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, h->calls);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct batch_call *k = p;

		dial_cancel(k->dial);
		event_free(k->timer);
		g_array_unref(k->items);
		free(k);
	}
}
