#include "kernel/alog_seal.h"

void
alog_seal_begin(struct alog *l)
{
	struct buf name = { 0 };
	json_t *doc = alog_doc_segment(l->head);

	buf_printf(&name, "%s/%s-%llu", l->key, l->writer,
	    (unsigned long long)++l->last_segment);
	l->sealed_entry = alog_doc_segment_entry(l->head, name.p);
	l->sealed_written = false;
	alog_state_dump(doc, &l->sealed_value);
	json_decref(doc);
	buf_free(&name);
}

bool
alog_seal_continue(struct alog *l)
{
	if (l->sealed_entry == NULL || l->sealed_written)
		return false;
	l->phase = ALOG_PHASE_SEAL;
	alog_state_send(l, ALOG_CREATE,
	    json_string_value(json_object_get(l->sealed_entry, "name")),
	    &l->sealed_value);
	return true;
}

void
alog_seal_check(struct alog *l)
{
	if (l->sealed_entry == NULL || !l->sealed_written ||
	    alog_doc_can_seal(l->head, l->sealed_entry))
		return;
	if (!alog_doc_has_segment(l->head, l->sealed_entry))
		alog_state_send(l, ALOG_DELETE,
		    json_string_value(json_object_get(l->sealed_entry, "name")),
		    NULL);
	json_decref(l->sealed_entry);
	l->sealed_entry = NULL;
}

/*
 * The limit on newest grows with the list of segments, so that neither
 * dominates the size of the head.
 */
bool
alog_seal_due(const struct alog *l)
{
	return l->sealed_entry == NULL &&
	    alog_doc_newest_bytes(l->head) >
	    l->opts.seal_bytes + alog_doc_segments_bytes(l->head);
}
