#include "entry/report.h"

#define METRIC(field, kind, name, text)                                   \
	{                                                                 \
		name, kind, text, offsetof(struct control_report, field), \
		    sizeof(((struct control_report *)0)->field)           \
	}

/* A metric and the member of struct control_report that it is read from. */
struct metric_source {
	const char *name;
	const char *type;
	const char *help;
	size_t offset;
	size_t size;
};

/* The help texts are part of the output and must not change. */
static const struct metric_source metrics[] = {
	METRIC(kv_calls, "counter", "sequoia_kv_calls_total",
	    "Calls to the key-value service, a watch counted once."),
	METRIC(rpc.sent_bytes, "counter", "sequoia_rpc_sent_bytes_total",
	    "Bytes of letters sent to other sequoiads."),
	METRIC(rpc.received_bytes, "counter",
	    "sequoia_rpc_received_bytes_total",
	    "Bytes of letters from other sequoiads."),
	METRIC(rpc.sent, "counter", "sequoia_rpc_sent_total",
	    "Letters sent to other sequoiads."),
	METRIC(rpc.received, "counter", "sequoia_rpc_received_total",
	    "Letters from other sequoiads."),
	METRIC(rpc.rejected, "counter", "sequoia_rpc_strangers_total",
	    "Letters and queries dropped: not of this fleet, or too old."),
	METRIC(rpc.fetches, "counter", "sequoia_rpc_fetches_total",
	    "Documents asked of other sequoiads."),
	METRIC(rpc.fetch_failures, "counter",
	    "sequoia_rpc_fetch_failures_total", "Documents that did not come."),
	METRIC(claims.submitted, "counter", "sequoia_claims_asked_total",
	    "Claims, refusals and settlements of this process."),
	METRIC(claims.forwarded, "counter", "sequoia_claims_forwarded_total",
	    "Those sent to the writer of their shard."),
	METRIC(claims.appended, "counter", "sequoia_claims_appended_total",
	    "Those appended here, also for other sequoiads."),
	METRIC(claims.unavailable, "counter",
	    "sequoia_claims_unavailable_total",
	    "Those that could not be decided in time."),
	METRIC(claims.kv_requests, "counter", "sequoia_claims_kv_calls_total",
	    "Calls to the key-value service for claims."),
	METRIC(claims.swaps, "counter", "sequoia_claims_swaps_total",
	    "Swaps of the heads of claim logs."),
	METRIC(claims.conflicts, "counter", "sequoia_claims_conflicts_total",
	    "Swaps that another sequoiad came before."),
	METRIC(claims.pending, "gauge", "sequoia_claims_pending",
	    "Claims, refusals and settlements not kept yet."),
	METRIC(
	    claims.claims, "gauge", "sequoia_claims_held", "Claims in memory."),
	METRIC(
	    claims.bytes, "gauge", "sequoia_claims_bytes", "Memory of claims."),
};

#define N_METRICS (sizeof(metrics) / sizeof(metrics[0]))

static const char *const state_names[] = { "live", "draining", "suspect",
	"gone", "left" };

#define N_STATES (sizeof(state_names) / sizeof(state_names[0]))

static uint64_t
value_of(const struct control_report *r, const struct metric_source *s)
{
	const void *at = (const char *)r + s->offset;

	return s->size == sizeof(uint64_t) ? *(const uint64_t *)at
					   : *(const uint32_t *)at;
}

static json_t *
member_json(const struct member_info *m)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "id", m->id, "state",
	    state_names[m->state], "failure_domain", m->domain, "rpc", m->rpc,
	    "operators", m->operators, "generation", (json_int_t)m->generation);
}

void
report_status(const struct control_report *r, json_t *status)
{
	json_t *members = json_array();

	for (size_t i = 0; i < r->n_members; i++)
		json_array_append_new(members, member_json(&r->members[i]));
	json_object_set_new(status, "members", members);
	json_object_set_new(
	    status, "kv_calls", json_integer((json_int_t)r->kv_calls));
	json_object_set_new(status, "claims_pending",
	    json_integer((json_int_t)r->claims.pending));
}

void
report_limits(const struct traffic_report *r, json_t *status)
{
	json_t *limits = json_array();

	for (size_t i = 0; i < r->n_limits; i++) {
		const struct traffic_limit *x = &r->limits[i];

		json_array_append_new(limits,
		    json_pack("{s:s, s:I, s:I, s:I, s:I}", "workspace",
			x->workspace, "arrived", (json_int_t)x->arrived,
			"tokens", (json_int_t)x->tokens, "in_flight",
			(json_int_t)x->in_flight, "share_ppm",
			(json_int_t)x->share));
	}
	json_object_set_new(status, "limits", limits);
}

void
report_metrics(const struct control_report *r, struct buf *out)
{
	size_t n[N_STATES] = { 0 };

	for (size_t i = 0; i < N_METRICS; i++) {
		const struct metric_source *s = &metrics[i];

		buf_printf(out, "# HELP %s %s\n# TYPE %s %s\n%s %llu\n",
		    s->name, s->help, s->name, s->type, s->name,
		    (unsigned long long)value_of(r, s));
	}
	for (size_t i = 0; i < r->n_members; i++)
		n[r->members[i].state]++;
	buf_put(out,
	    STR("# HELP sequoia_members Sequoiads by state.\n"
		"# TYPE sequoia_members gauge\n"));
	for (size_t i = 0; i < N_STATES; i++)
		buf_printf(out, "sequoia_members{state=\"%s\"} %zu\n",
		    state_names[i], n[i]);
}
