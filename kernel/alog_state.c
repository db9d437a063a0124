#include "kernel/alog_state.h"

#include <stdlib.h>

void
alog_state_push(struct alog_appends *l, struct alog_append a)
{
	l->v = xrealloc(l->v, l->n + 1, sizeof(*l->v));
	l->v[l->n++] = a;
}

void
alog_state_complete(
    struct alog *l, struct alog_append *a, struct alog_completion d)
{
	struct alog_completion *q = xcalloc(1, sizeof(*q));

	d.tag = a->tag;
	*q = d;
	g_queue_push_tail(&l->done, q);
	json_decref(a->payload);
	a->payload = NULL;
	if (d.result == ALOG_ACCEPTED)
		l->counts.accepted++;
}

void
alog_state_complete_all(
    struct alog *l, struct alog_appends *a, enum alog_result result)
{
	for (size_t i = 0; i < a->n; i++) {
		if (a->v[i].payload != NULL)
			alog_state_complete(l, &a->v[i],
			    (struct alog_completion){ .result = result });
	}
	free(a->v);
	*a = (struct alog_appends){ 0 };
}

void
alog_state_clear_batch(struct alog_batch *b)
{
	free(b->appends.v);
	json_decref(b->head);
	json_decref(b->dropped);
	buf_free(&b->value);
	*b = (struct alog_batch){ 0 };
}

void
alog_state_send(struct alog *l, enum alog_request_kind kind, const char *key,
    const struct buf *value)
{
	struct alog_request *r = xcalloc(1, sizeof(*r));

	r->kind = kind;
	r->id = ++l->last_id;
	r->key = str_dup(str_from(key));
	if (kind == ALOG_SWAP)
		r->revision = l->batch.revision;
	if (value != NULL)
		buf_put(&r->value, str_of(value));
	if (kind != ALOG_DELETE)
		l->awaited_id = r->id;
	l->counts.requests++;
	g_queue_push_tail(&l->requests, r);
}

void
alog_state_idle(struct alog *l)
{
	l->phase = ALOG_PHASE_IDLE;
	l->awaited_id = 0;
}

void
alog_state_stop(struct alog *l)
{
	alog_state_idle(l);
	alog_state_complete_all(l, &l->batch.appends, ALOG_UNDECIDED);
	alog_state_clear_batch(&l->batch);
	alog_state_complete_all(l, &l->waiting, ALOG_CANCELLED);
}

void
alog_state_dump(const json_t *doc, struct buf *out)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	buf_clear(out);
	buf_put(out, str_from(text));
	free(text);
}
