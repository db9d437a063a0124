/* What is learned of a target from its answer to a call of any kind. */
#include "entry/target_calls_state.h"
#include "base/log.h"
#include "platform/request.h"

#include <inttypes.h>
#include <stdio.h>

/* Counts and logs a status that promises that the call was not run. */
static void
note_promise(struct target_call *k, const struct httpmsg *m,
    const struct response_info *answer)
{
	enum run_promise p = run_promise_of((int)m->parser.status_code);
	char status[8];

	if (p == RUN_PROMISE_NONE)
		return;
	k->calls->counts.promises[p][answer->states_not_run]++;
	snprintf(status, sizeof(status), "%d", run_promise_status(p));
	LOG(LOG_LVL_INFO, "target-promise", { "call", k->o.call_id },
	    { "target", str_from(k->target) },
	    { "service", str_from(k->service) }, { "status", str_from(status) },
	    { "stated", answer->states_not_run ? STR("yes") : STR("no") },
	    { "signed", answer->has_signature ? STR("yes") : STR("no") },
	    { "way", k->direct ? STR("direct") : str_from(k->host) });
}

void
target_call_note_answer(struct target_call *k, const struct httpmsg *m)
{
	struct target_load *t = loads_find(k->calls->o.loads, k->target);
	struct response_info answer;

	platform_response_parse(m, &answer);
	note_promise(k, m, &answer);
	if (t == NULL)
		return;
	if (answer.leaving && !t->leaving) {
		log_text(LOG_LVL_INFO, "target-leaving",
		    "%s of %s says so in its answer", k->target, k->service);
		loads_mark_leaving(k->calls->o.loads, t);
	}
	target_limits_brittle(
	    k->calls->o.target_limits, t, &answer, k->started_at);
	/* An answer without an id may be that to an earlier call. */
	if (!answer.misdirected)
		target_limits_cold(k->calls->o.target_limits, t, &answer,
		    k->o.call_id.n > 0 ? k->started_at : 0);
	if (answer.rest == 0)
		return;
	loads_rest(t, answer.rest, clock_now());
	log_text(LOG_LVL_INFO, "target-rests",
	    "%s of %s wants nothing from this host for %" PRId64 " ms",
	    k->target, k->service, answer.rest / USEC_PER_MSEC);
}
