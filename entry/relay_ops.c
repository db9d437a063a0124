#include "entry/relay_ops.h"
#include "entry/relay_request.h"

#include <string.h>

void
relay_ops_serve(const struct relay_ops *o, struct httpd_request *q)
{
	struct relay_shared *s = o->shared;
	struct str target = httpmsg_url(httpd_message(q));
	struct buf body = { 0 };
	const char *type = "Content-Type: text/plain\r\n";
	int status = 404;

	if (str_eq(target, STR("/readyz")) ||
	    str_eq(target, STR(PLATFORM_READY_PATH))) {
		status = o->ready ? 200 : 503;
		buf_put(&body, o->ready ? STR("ready\n") : STR("not ready\n"));
	} else if (str_has_prefix(target, STR(TARGET_CALLS_URL "?"))) {
		target_calls_serve(s->target_calls, q);
		return;
	} else if (str_eq(target, STR("/quarantines"))) {
		status = 200;
		type = "Content-Type: application/json\r\n";
		relay_metrics_quarantines(&body, s->quarantine);
	} else if (str_eq(target, STR("/metrics"))) {
		status = 200;
		relay_metrics(&body,
		    &(struct relay_metrics){
			.counts = &s->counts,
			.httpd = httpd_counts(o->httpd),
			.dial = dialer_counts(s->dialer),
			.silent_calls = s->silent_calls,
			.lost_calls = s->lost_calls,
			.target_calls = target_calls_counts(s->target_calls),
			.limited_targets =
			    target_limits_count(s->target_limits),
			.crashes = crash_reports_count(s->crash_reports),
			.quarantines = s->quarantine != NULL
			    ? s->quarantine->entries->len
			    : 0,
			.coordinator = coordinator_counts(s->coordinator),
			.placements = placements_counts(s->placements),
			.placer = placer_counts(s->placer),
			.discovery = discovery_counts(o->discovery),
			.memory = host_memory_counts(o->memory),
			.busy = atomic_load(&s->busy),
			.ready = o->ready,
		    });
	}
	httpd_respond(q,
	    &(struct httpd_response){
		.status = status,
		.fields = type,
		.body = str_of(&body),
	    });
	buf_free(&body);
}
