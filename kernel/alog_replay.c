#include "kernel/alog_replay.h"

#include <stdlib.h>
#include <string.h>

/* Detects from an applied record whether the swap in flight took effect. */
static void
update_batch_status(struct alog *l, const struct alog_record *r)
{
	struct alog_batch *b = &l->batch;

	if (r->serial <= b->base_serial ||
	    r->serial > b->base_serial + b->appends.n)
		return;
	if (r->serial == b->base_serial + 1)
		b->status =
		    r->swap == l->last_swap && strcmp(r->writer, l->writer) == 0
		    ? ALOG_BATCH_COMMITTED
		    : ALOG_BATCH_SUPERSEDED;
	if (b->status == ALOG_BATCH_COMMITTED)
		alog_state_complete(l,
		    &b->appends.v[r->serial - b->base_serial - 1],
		    (struct alog_completion){
			.result = ALOG_ACCEPTED, .serial = r->serial });
}

void
alog_replay_records(struct alog *l, const json_t *doc)
{
	size_t n = alog_doc_count(doc);

	for (size_t i = 0; i < n; i++) {
		struct alog_record r = alog_doc_record(doc, i);

		if (r.serial != l->serial + 1)
			continue;
		l->opts.ops->apply(l->opts.arg, r.payload, r.serial);
		l->serial = r.serial;
		update_batch_status(l, &r);
	}
}

static bool
restore_snapshot(struct alog *l)
{
	uint64_t serial;
	const json_t *state = alog_doc_snapshot(l->head, &serial);

	if (state == NULL || l->opts.ops->restore == NULL ||
	    serial <= l->serial)
		return false;
	l->opts.ops->restore(l->opts.arg, state);
	l->serial = serial;
	return true;
}

/*
 * Whether a snapshot may replace reading segments: nothing is applied yet and
 * no swap's result depends on their records.
 */
static bool
can_use_snapshot(const struct alog *l)
{
	return l->serial == 0 && l->batch.appends.n == 0;
}

/* Reads a segment; stops the log if it was missing at the same revision. */
static void
fetch_segment(struct alog *l, const char *name)
{
	if (l->missing_segment != NULL && l->missing_revision == l->revision &&
	    strcmp(l->missing_segment, name) == 0) {
		err_set(&l->err, ERR_KV,
		    "log %s: its head names segment %s, which is gone", l->key,
		    name);
		alog_state_stop(l);
		return;
	}
	free(l->fetching_segment);
	l->fetching_segment = str_dup(str_from(name));
	l->phase = ALOG_PHASE_FETCH;
	alog_state_send(l, ALOG_GET, name, NULL);
}

bool
alog_replay_catch_up(struct alog *l)
{
	if (l->opts.ops->dropped != NULL)
		l->opts.ops->dropped(
		    l->opts.arg, alog_doc_dropped_before(l->head));
	while (l->serial < alog_doc_serial(l->head)) {
		uint64_t next = l->serial + 1;
		const char *name;

		if (next >= alog_doc_newest_first(l->head)) {
			alog_replay_records(l, l->head);
			continue;
		}
		name = alog_doc_find_segment(l->head, next);
		if ((name == NULL || can_use_snapshot(l)) &&
		    restore_snapshot(l))
			continue;
		if (name != NULL) {
			fetch_segment(l, name);
			return false;
		}
		l->serial = alog_doc_first(l->head) - 1;
	}
	return true;
}
