#include "kernel/alog_replay.h"
#include "kernel/alog_seal.h"
#include "kernel/alog_swap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Advances the log until it needs a response or an append. */
static void
advance(struct alog *l)
{
	while (l->phase == ALOG_PHASE_IDLE && l->err.kind == ERR_OK) {
		if (l->reread) {
			l->phase = ALOG_PHASE_READ;
			alog_state_send(l, ALOG_GET, l->key, NULL);
			return;
		}
		if (!alog_replay_catch_up(l))
			return;
		if (l->batch.appends.n > 0 && !alog_swap_settle(l)) {
			alog_swap_send(l);
			return;
		}
		if (alog_seal_continue(l))
			return;
		alog_seal_check(l);
		if (l->waiting.n == 0)
			return;
		if (alog_seal_due(l))
			alog_seal_begin(l);
		else
			alog_swap_propose(l);
	}
}

/* Adopts a newer head; stops the log if it is invalid or went back. */
static void
update_head(struct alog *l, uint64_t revision, struct str value)
{
	json_t *head;

	if (l->head != NULL && revision <= l->revision)
		return;
	head = alog_doc_read_head(value, &l->err);
	if (head != NULL && l->head != NULL &&
	    alog_doc_serial(head) < alog_doc_serial(l->head)) {
		err_set(&l->err, ERR_KV,
		    "log %s: its head went back from serial %llu to %llu",
		    l->key, (unsigned long long)alog_doc_serial(l->head),
		    (unsigned long long)alog_doc_serial(head));
		json_decref(head);
		head = NULL;
	}
	if (head == NULL) {
		alog_state_stop(l);
		return;
	}
	json_decref(l->head);
	l->head = head;
	l->revision = revision;
	l->reread = false;
	if (l->phase == ALOG_PHASE_READ || l->phase == ALOG_PHASE_SWAP)
		alog_state_idle(l);
}

static void
head_missing(struct alog *l)
{
	if (l->revision > 0) {
		err_set(&l->err, ERR_KV, "log %s: its head is gone", l->key);
		alog_state_stop(l);
		return;
	}
	if (l->head == NULL)
		l->head = alog_doc_empty();
	l->reread = false;
}

static void
handle_read(struct alog *l, const struct alog_response *resp)
{
	if (resp->status == ALOG_MISSING) {
		head_missing(l);
	} else if (resp->status == ALOG_OK) {
		l->reread = false;
		update_head(l, resp->revision, resp->value);
	}
}

static void
handle_fetch(struct alog *l, const struct alog_response *resp)
{
	uint64_t old_serial = l->serial;
	json_t *doc;

	if (resp->status == ALOG_MISSING) {
		free(l->missing_segment);
		l->missing_segment = l->fetching_segment;
		l->fetching_segment = NULL;
		l->missing_revision = l->revision;
		l->reread = true;
	}
	if (resp->status != ALOG_OK)
		return;
	doc = alog_doc_read_segment(resp->value, &l->err);
	if (doc != NULL) {
		alog_replay_records(l, doc);
		json_decref(doc);
		if (l->serial == old_serial)
			err_set(&l->err, ERR_KV,
			    "log %s: segment %s lacks the records that the "
			    "head lists for it",
			    l->key, l->fetching_segment);
	}
	if (l->err.kind != ERR_OK)
		alog_state_stop(l);
}

static void
handle_swap(struct alog *l, const struct alog_response *resp)
{
	if (resp->status != ALOG_OK) {
		l->counts.conflicts += resp->status == ALOG_CONFLICT;
		l->reread = true;
		return;
	}
	json_decref(l->head);
	l->head = l->batch.head;
	l->batch.head = NULL;
	l->revision = resp->revision;
}

void
alog_response(struct alog *l, const struct alog_response *resp)
{
	enum alog_phase old_phase = l->phase;

	if (resp->id != l->awaited_id || resp->id == 0)
		return;
	alog_state_idle(l);
	l->counts.lost += resp->status == ALOG_LOST;
	switch (old_phase) {
	case ALOG_PHASE_IDLE:
		break;
	case ALOG_PHASE_READ:
		handle_read(l, resp);
		break;
	case ALOG_PHASE_FETCH:
		handle_fetch(l, resp);
		break;
	case ALOG_PHASE_SEAL:
		if (resp->status != ALOG_LOST)
			l->sealed_written = true;
		break;
	case ALOG_PHASE_SWAP:
		handle_swap(l, resp);
		break;
	}
	advance(l);
}

void
alog_watch_event(struct alog *l, uint64_t revision, struct str value)
{
	if (l->err.kind != ERR_OK)
		return;
	update_head(l, revision, value);
	advance(l);
}

void
alog_refresh(struct alog *l)
{
	l->reread = true;
	advance(l);
}

int
alog_append(struct alog *l, uint64_t tag, uint64_t conflict, usec_t time,
    json_t *payload)
{
	struct alog_append a = { tag, conflict, time > 0 ? time : 0, payload };

	if (json_dumpb(payload, NULL, 0, JSON_COMPACT) > ALOG_MAX_PAYLOAD)
		return ERR_TOO_LARGE;
	json_incref(payload);
	alog_state_push(&l->waiting, a);
	if (l->err.kind != ERR_OK)
		alog_state_complete_all(l, &l->waiting, ALOG_CANCELLED);
	advance(l);
	return 0;
}

bool
alog_cancel(struct alog *l, uint64_t tag)
{
	struct alog_appends *w = &l->waiting;

	for (size_t i = 0; i < w->n; i++) {
		if (w->v[i].tag != tag)
			continue;
		alog_state_complete(l, &w->v[i],
		    (struct alog_completion){ .result = ALOG_CANCELLED });
		memmove(&w->v[i], &w->v[i + 1], (--w->n - i) * sizeof(w->v[i]));
		return true;
	}
	return false;
}

struct alog *
alog_new(const struct alog_opts *o)
{
	struct alog *l = xcalloc(1, sizeof(*l));

	l->opts = *o;
	l->key = str_dup(str_from(o->key));
	snprintf(l->writer, sizeof(l->writer), "%016llx",
	    (unsigned long long)o->incarnation);
	g_queue_init(&l->requests);
	g_queue_init(&l->done);
	l->reread = true;
	advance(l);
	return l;
}

void
alog_free(struct alog *l)
{
	struct alog_request *r;

	if (l == NULL)
		return;
	while ((r = g_queue_pop_head(&l->requests)) != NULL) {
		alog_request_free(r);
		free(r);
	}
	alog_state_stop(l);
	g_queue_clear_full(&l->done, free);
	json_decref(l->head);
	json_decref(l->sealed_entry);
	buf_free(&l->sealed_value);
	free(l->fetching_segment);
	free(l->missing_segment);
	free(l->key);
	free(l);
}

bool
alog_request(struct alog *l, struct alog_request *out)
{
	struct alog_request *r = g_queue_pop_head(&l->requests);

	if (r == NULL)
		return false;
	*out = *r;
	free(r);
	return true;
}

void
alog_request_free(struct alog_request *r)
{
	free(r->key);
	r->key = NULL;
	buf_free(&r->value);
}

bool
alog_completion(struct alog *l, struct alog_completion *out)
{
	struct alog_completion *d = g_queue_pop_head(&l->done);

	if (d == NULL)
		return false;
	*out = *d;
	free(d);
	return true;
}

bool
alog_ready(const struct alog *l)
{
	return l->err.kind == ERR_OK && l->head != NULL && !l->reread &&
	    l->serial == alog_doc_serial(l->head);
}

uint64_t
alog_serial(const struct alog *l)
{
	return l->serial;
}

uint64_t
alog_revision(const struct alog *l)
{
	return l->revision;
}

const struct err *
alog_error(const struct alog *l)
{
	return l->err.kind != ERR_OK ? &l->err : NULL;
}

struct alog_counts
alog_counts(const struct alog *l)
{
	return l->counts;
}
