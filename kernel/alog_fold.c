#include "kernel/alog_fold.h"

#include <stdlib.h>
#include <string.h>

/* Learns from a folded record what became of the swap under way. */
static void
judge_batch(struct alog *l, const struct alog_record *r)
{
	struct alog_batch *b = &l->batch;

	if (r->serial <= b->base || r->serial > b->base + b->a.n)
		return;
	if (r->serial == b->base + 1)
		b->fate =
		    r->swap == l->swaps && strcmp(r->writer, l->writer) == 0
		    ? ALOG_FATE_TAKEN
		    : ALOG_FATE_REJECTED;
	if (b->fate == ALOG_FATE_TAKEN)
		alog_state_complete(l, &b->a.v[r->serial - b->base - 1],
		    (struct alog_done){
			.result = ALOG_ACCEPTED, .serial = r->serial });
}

/* Folds those records of a document that come next. */
void
alog_fold_records(struct alog *l, const json_t *doc)
{
	size_t n = alog_doc_count(doc);

	for (size_t i = 0; i < n; i++) {
		struct alog_record r = alog_doc_record(doc, i);

		if (r.serial != l->serial + 1)
			continue;
		l->o.ops->apply(l->o.arg, r.payload, r.serial);
		l->serial = r.serial;
		judge_batch(l, &r);
	}
}

static bool
restore(struct alog *l)
{
	uint64_t serial;
	const json_t *state = alog_doc_snapshot(l->head, &serial);

	if (state == NULL || l->o.ops->restore == NULL || serial <= l->serial)
		return false;
	l->o.ops->restore(l->o.arg, state);
	l->serial = serial;
	return true;
}

/* Whether a snapshot saves reading segments that nothing else needs. */
static bool
is_fresh(const struct alog *l)
{
	return l->serial == 0 && l->batch.a.n == 0;
}

/* Reads a segment, unless it was missing at this very revision. */
static void
fetch(struct alog *l, const char *name)
{
	if (l->gap != NULL && l->gap_revision == l->revision &&
	    strcmp(l->gap, name) == 0) {
		err_set(&l->err, ERR_KV,
		    "log %s: its head names segment %s, which is gone", l->key,
		    name);
		alog_state_stop(l);
		return;
	}
	free(l->fetching);
	l->fetching = str_dup(str_from(name));
	l->phase = ALOG_PHASE_FETCH;
	alog_state_send(l, ALOG_GET, name, NULL);
}

/* Folds up to the known head; false if a segment must be read first. */
bool
alog_fold_catch_up(struct alog *l)
{
	if (l->o.ops->dropped != NULL)
		l->o.ops->dropped(l->o.arg, alog_doc_from(l->head));
	while (l->serial < alog_doc_serial(l->head)) {
		uint64_t want = l->serial + 1;
		const char *name;

		if (want >= alog_doc_newest_first(l->head)) {
			alog_fold_records(l, l->head);
			continue;
		}
		name = alog_doc_find_segment(l->head, want);
		if ((name == NULL || is_fresh(l)) && restore(l))
			continue;
		if (name != NULL) {
			fetch(l, name);
			return false;
		}
		l->serial = alog_doc_first(l->head) - 1;
	}
	return true;
}
