#include "kernel/alog_swap.h"

#include <stdlib.h>

static void
delete_dropped(struct alog *l)
{
	for (size_t i = 0; i < json_array_size(l->batch.dropped); i++)
		alog_state_send(l, ALOG_DELETE,
		    json_string_value(json_array_get(l->batch.dropped, i)),
		    NULL);
}

/* Puts the records of a swap without effect back at the front of the queue. */
static void
requeue(struct alog *l)
{
	struct alog_appends all = l->batch.appends;

	for (size_t i = 0; i < l->waiting.n; i++)
		alog_state_push(&all, l->waiting.v[i]);
	free(l->waiting.v);
	l->waiting = all;
	l->batch.appends = (struct alog_appends){ 0 };
}

bool
alog_swap_settle(struct alog *l)
{
	struct alog_batch *b = &l->batch;

	if (l->revision == b->revision)
		return false;
	if (b->status == ALOG_BATCH_COMMITTED)
		delete_dropped(l);
	else if (b->status == ALOG_BATCH_SUPERSEDED ||
	    l->serial == b->base_serial)
		requeue(l);
	alog_state_complete_all(l, &b->appends, ALOG_UNDECIDED);
	alog_state_clear_batch(b);
	return true;
}

/* Moves queued appends that fit into the next swap to the batch. */
static void
select_batch(struct alog *l)
{
	GHashTable *keys = g_hash_table_new(g_int64_hash, g_int64_equal);
	struct alog_appends rest = { 0 };
	size_t bytes = 0;

	for (size_t i = 0; i < l->waiting.n; i++) {
		struct alog_append *a = &l->waiting.v[i];
		size_t size = json_dumpb(a->payload, NULL, 0, JSON_COMPACT);
		int code;

		if (g_hash_table_contains(keys, &a->conflict) ||
		    (bytes > 0 && bytes + size > l->opts.batch_bytes)) {
			g_hash_table_add(keys, &a->conflict);
			alog_state_push(&rest, *a);
			continue;
		}
		code = l->opts.ops->admit(l->opts.arg, a->payload);
		if (code != 0) {
			alog_state_complete(l, a,
			    (struct alog_completion){
				.result = ALOG_DENIED, .code = code });
			continue;
		}
		g_hash_table_add(keys, &a->conflict);
		alog_state_push(&l->batch.appends, *a);
		bytes += size;
	}
	g_hash_table_destroy(keys);
	free(l->waiting.v);
	l->waiting = rest;
}

/* Builds the head with which the swap replaces the known one. */
static void
build_head(struct alog *l)
{
	struct alog_batch *b = &l->batch;

	b->base_serial = l->serial;
	b->revision = l->revision;
	b->head = alog_doc_copy(l->head);
	if (l->sealed_entry != NULL) {
		alog_doc_seal(b->head, l->sealed_entry);
		if (l->opts.ops->snapshot != NULL)
			alog_doc_set_snapshot(
			    b->head, l->opts.ops->snapshot(l->opts.arg));
	}
	if (l->opts.ops->keep_from != NULL)
		b->dropped = alog_doc_expire(
		    b->head, l->opts.ops->keep_from(l->opts.arg));
	l->last_swap++;
	for (size_t i = 0; i < b->appends.n; i++)
		alog_doc_append(b->head, l->writer, l->last_swap,
		    b->appends.v[i].time, b->appends.v[i].payload);
	alog_state_dump(b->head, &b->value);
}

void
alog_swap_send(struct alog *l)
{
	l->phase = ALOG_PHASE_SWAP;
	l->counts.swaps++;
	alog_state_send(l, ALOG_SWAP, l->key, &l->batch.value);
}

void
alog_swap_propose(struct alog *l)
{
	select_batch(l);
	if (l->batch.appends.n == 0)
		return;
	build_head(l);
	if (l->batch.value.n > ALOG_MAX_VALUE) {
		err_set(&l->err, ERR_TOO_LARGE,
		    "log %s: its head would take %zu bytes; at most %d are "
		    "allowed",
		    l->key, l->batch.value.n, ALOG_MAX_VALUE);
		requeue(l);
		alog_state_stop(l);
		return;
	}
	alog_swap_send(l);
}
