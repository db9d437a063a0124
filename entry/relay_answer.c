#include "entry/relay_answer.h"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>

#define FIELDS_BYTES 512

void
relay_answer_problem(
    struct httpd_request *q, struct str id, const struct rejection *why)
{
	struct buf body = { 0 };
	char fields[FIELDS_BYTES];
	int n;

	/* A problem document (RFC 9457). */
	buf_printf(&body,
	    "{\"type\":\"urn:sequoiacourse:%s\",\"status\":%d,"
	    "\"detail\":\"%s\",\"remedy\":\"%s\"}\n",
	    err_name(why->kind), err_status(why->kind), why->cause,
	    err_remedy(why->kind));
	n = snprintf(fields, sizeof(fields),
	    "Content-Type: application/problem+json\r\n");
	if (id.n > 0 && id.n < 128)
		n += snprintf(fields + n, sizeof(fields) - (size_t)n,
		    "%.*s: %.*s\r\n", STR_FMT(platform_call_id_name()),
		    STR_FMT(id));
	if (why->retry_after > 0)
		snprintf(fields + n, sizeof(fields) - (size_t)n,
		    "Retry-After: %.3f\r\n",
		    (double)why->retry_after / (double)USEC_PER_SEC);
	httpd_respond(q,
	    &(struct httpd_response){
		.status = err_status(why->kind),
		.fields = fields,
		.body = str_of(&body),
	    });
	buf_free(&body);
}

void
relay_answer_log_rejection(struct str id, const struct rejection *why,
    const char *route, usec_t waited)
{
	char ms[32];

	snprintf(ms, sizeof(ms), "%" PRId64, waited / USEC_PER_MSEC);
	LOG(LOG_LVL_NOTICE, "request-rejected", { "request", id },
	    { "route", str_from(route) },
	    { "error", str_from(err_name(why->kind)) },
	    { "cause", str_from(why->cause) }, { "waited_ms", str_from(ms) });
}

/* Writes how a call got its target. */
static void
write_placed(const struct placed *p, char *out, size_t n)
{
	char known[32] = "never";

	if (p->cause != PLACEMENT_BY_PLACER) {
		snprintf(out, n, "here, %s after %" PRId64 " ms",
		    placement_cause_name(p->cause), p->waited / USEC_PER_MSEC);
		return;
	}
	if (p->known >= 0)
		snprintf(known, sizeof(known), "%" PRId64 " ms ago",
		    p->known / USEC_PER_MSEC);
	snprintf(out, n,
	    "by %s in %" PRId64 " ms: first event in %" PRId64
	    " ms, %u tokens to read after %u, %u running, heard %s",
	    p->host, p->waited / USEC_PER_MSEC, p->first_event / USEC_PER_MSEC,
	    p->to_read, p->reading, p->running, known);
}

void
relay_answer_log_sent(
    const struct relay_request *r, const struct target_load *t, usec_t left)
{
	char placed[192];
	char load[64];
	char ms[32];

	snprintf(load, sizeof(load), "%u here, %u reported %" PRId64 " ms ago",
	    t->in_flight, t->reported,
	    t->reported_at > 0 ? (r->sent_at - t->reported_at) / USEC_PER_MSEC
			       : -1);
	snprintf(ms, sizeof(ms), "%" PRId64, left / USEC_PER_MSEC);
	write_placed(&r->placed, placed, sizeof(placed));
	LOG(LOG_LVL_INFO, "call-sent", { "request", r->info.id },
	    { "target", str_from(t->entry.id) },
	    { "service", str_from(t->entry.service) },
	    { "version", str_from(t->entry.version) },
	    { "load", str_from(load) }, { "placed", str_from(placed) },
	    { "left_ms", str_from(ms) });
}

void
relay_answer_log_lost(const struct relay_request *r, const char *cause,
    uint64_t events, bool again)
{
	struct buf parts = { 0 };
	char n[24];
	char content[20];

	for (size_t i = 0; i < r->info.n_parts; i++) {
		if (i > 0)
			buf_putc(&parts, ',');
		buf_put(&parts, r->info.parts[i].id);
	}
	snprintf(n, sizeof(n), "%" PRIu64, events);
	snprintf(content, sizeof(content), "%016" PRIx64, r->parts.content);
	LOG(LOG_LVL_NOTICE, "call-lost", { "request", r->info.id },
	    { "target", str_from(r->target_id) }, { "cause", str_from(cause) },
	    { "again", again ? STR("yes") : STR("no") },
	    { "events", str_from(n) }, { "content", str_from(content) },
	    { "parts", str_of(&parts) });
	buf_free(&parts);
}

void
relay_answer_log_end(
    const struct relay_request *r, const char *outcome, usec_t took)
{
	char ms[32];
	char first[32];
	char pause[32];
	char sends[16];
	char version[24];

	snprintf(ms, sizeof(ms), "%" PRId64, took / USEC_PER_MSEC);
	snprintf(first, sizeof(first), "%" PRId64,
	    r->events_at > 0 ? (r->events_at - r->arrived) / USEC_PER_MSEC
			     : -1);
	snprintf(
	    pause, sizeof(pause), "%" PRId64, r->longest_pause / USEC_PER_MSEC);
	snprintf(sends, sizeof(sends), "%u", r->sends);
	snprintf(version, sizeof(version), "%" PRIu64, r->routes->version);
	LOG(LOG_LVL_INFO, "request-ended", { "request", r->info.id },
	    { "route", str_from(r->route->name) },
	    { "outcome", str_from(outcome) },
	    { "target", str_from(r->target_id) }, { "sends", str_from(sends) },
	    { "config", str_from(version) }, { "first_ms", str_from(first) },
	    { "pause_ms", str_from(pause) }, { "took_ms", str_from(ms) });
}

void
relay_answer_log_cut(
    const struct relay_request *r, const char *cause, usec_t since_stop)
{
	char took[32];
	char first[32];
	char arrived[32];
	char events[24];
	char unsent[24];
	usec_t age = clock_now() - r->arrived;

	snprintf(took, sizeof(took), "%" PRId64, age / USEC_PER_MSEC);
	snprintf(arrived, sizeof(arrived), "%" PRId64,
	    (since_stop - age) / USEC_PER_MSEC);
	snprintf(first, sizeof(first), "%" PRId64,
	    r->events_at > 0 ? (r->events_at - r->arrived) / USEC_PER_MSEC
			     : -1);
	snprintf(events, sizeof(events), "%" PRIu64, r->sse.events);
	snprintf(unsent, sizeof(unsent), "%zu", httpd_unsent(r->httpd_req));
	LOG_EACH(LOG_LVL_NOTICE, "request-cut", { "request", r->info.id },
	    { "route", str_from(r->route->name) }, { "cause", str_from(cause) },
	    { "target", str_from(r->target_id) },
	    { "after_signal_ms", str_from(arrived) },
	    { "first_ms", str_from(first) }, { "took_ms", str_from(took) },
	    { "events", str_from(events) }, { "unsent", str_from(unsent) });
}
