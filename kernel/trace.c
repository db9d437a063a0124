#include "kernel/trace.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Enough digits for microseconds over days, too few to show rounding errors.
 */
#define MS_DIGITS JSON_REAL_PRECISION(12)

static const char *const names[] = {
	[TRACE_ARRIVED] = "arrived",
	[TRACE_REFUSED] = "refused",
	[TRACE_QUEUED] = "queued",
	[TRACE_CLAIM_ASKED] = "claim-asked",
	[TRACE_CLAIM_DECIDED] = "claim-decided",
	[TRACE_CALLED] = "called",
	[TRACE_RETRIED] = "retried",
	[TRACE_HEDGED] = "hedged",
	[TRACE_RESUMED] = "resumed",
	[TRACE_LOOKED_UP] = "looked-up",
	[TRACE_CALL_FAILED] = "call-failed",
	[TRACE_CALL_CANCELLED] = "call-cancelled",
	[TRACE_STAGE_DONE] = "stage-done",
	[TRACE_CALLER_GONE] = "caller-gone",
	[TRACE_ENDED] = "ended",
};

void
trace_add(struct trace *t, usec_t at, struct trace_entry_opts o)
{
	struct trace_entry *x;

	if (t->n == MAX_TRACE_ENTRIES) {
		t->dropped++;
		return;
	}
	x = &t->v[t->n++];
	x->at = at;
	x->kind = o.kind;
	x->stage = o.stage;
	x->why = o.why;
	snprintf(x->addr, sizeof(x->addr), "%s", o.addr != NULL ? o.addr : "");
}

void
trace_write(const struct trace *t, struct buf *out)
{
	json_t *list = json_array();
	char *text;

	for (uint32_t i = 0; i < t->n; i++) {
		const struct trace_entry *x = &t->v[i];
		json_t *o = json_pack("{s:f, s:s}", "ms",
		    (double)x->at / USEC_PER_MSEC, "what", names[x->kind]);

		if (x->stage != NULL)
			json_object_set_new(o, "stage", json_string(x->stage));
		if (x->why != NULL)
			json_object_set_new(o, "why", json_string(x->why));
		if (*x->addr != '\0')
			json_object_set_new(o, "target", json_string(x->addr));
		json_array_append_new(list, o);
	}
	if (t->dropped > 0)
		json_array_append_new(
		    list, json_pack("{s:i}", "dropped", (int)t->dropped));
	text = json_dumps(list, JSON_COMPACT | JSON_SORT_KEYS | MS_DIGITS);
	buf_put(out, str_from(text));
	free(text);
	json_decref(list);
}

const char *
trace_kind_name(enum trace_kind kind)
{
	return names[kind];
}
