#include "entry/relay_ops.h"
#include "entry/explain.h"
#include "entry/relay_request.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static json_t *
evacuated_json(const GArray *evacuated)
{
	json_t *out = json_array();
	usec_t now = clock_now();

	for (guint i = 0; evacuated != NULL && i < evacuated->len; i++) {
		const struct evacuation *x =
		    &g_array_index(evacuated, struct evacuation, i);

		json_array_append_new(out,
		    json_pack("{s:s, s:I, s:s, s:I, s:b}", "failure_domain",
			x->domain, "age_ms",
			(json_int_t)((now - x->since) / USEC_PER_MSEC),
			"source", evacuation_source_name(x->origin.source),
			"revision", (json_int_t)x->origin.revision, "missing",
			x->missing_since != 0));
	}
	return out;
}

static void
put_status(const struct relay_ops *o, struct buf *out)
{
	const struct loads *l = &o->shared->loads;
	struct discovery_counts counts = discovery_counts(o->discovery);
	json_t *status = json_pack("{s:s, s:s, s:b, s:I, s:I, s:I, s:o}", "id",
	    l->hosts.self != NULL ? l->hosts.self : "", "failure_domain",
	    l->domain, "ready", o->ready, "generation",
	    (json_int_t)counts.version, "requests_in_flight",
	    (json_int_t)atomic_load(&o->shared->busy), "evacuated_targets",
	    (json_int_t)loads_withheld(l), "evacuated",
	    evacuated_json(o->shared->evacuated));
	char *text = json_dumps(status, JSON_COMPACT);

	buf_put(out, str_from(text));
	free(text);
	json_decref(status);
}

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
	} else if (str_eq(target, STR("/status"))) {
		status = 200;
		type = "Content-Type: application/json\r\n";
		put_status(o, &body);
	} else if (str_eq(target, STR("/explain"))) {
		type = "Content-Type: application/json\r\n";
		status = explain_serve(s, o->routes, httpd_message(q), &body);
	} else if (str_eq(target, STR("/metrics"))) {
		status = 200;
		relay_metrics(&body,
		    &(struct relay_metrics){
			.counts = &s->counts,
			.httpd = httpd_counts(o->httpd),
			.dial = dialer_counts(s->dialer),
			.silent_calls = s->silent_calls,
			.lost_calls = s->lost_calls,
			.unread_calls = s->unread_calls,
			.target_calls = target_calls_counts(s->target_calls),
			.limited_targets =
			    target_limits_count(s->target_limits),
			.cold_targets =
			    target_limits_cold_count(s->target_limits),
			.crashes = crash_reports_count(s->crash_reports),
			.quarantines = s->quarantine != NULL
			    ? s->quarantine->entries->len
			    : 0,
			.evacuated_domains =
			    s->evacuated != NULL ? s->evacuated->len : 0,
			.withheld_targets = loads_withheld(&s->loads),
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
