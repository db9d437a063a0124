#include "entry/relay_metrics.h"
#include "base/log.h"

#include <inttypes.h>

/*
 * Upper bounds in milliseconds, from a short lookup to the longest generation.
 */
static const int bounds_ms[HISTOGRAM_BOUNDS] = { 10, 30, 100, 300, 600, 1000,
	2000, 4000, 8000, 16000 };

void
relay_histogram_add(struct relay_histogram *h, usec_t took)
{
	size_t i = 0;

	while (i < HISTOGRAM_BOUNDS && took > bounds_ms[i] * USEC_PER_MSEC)
		i++;
	h->counts[i]++;
	h->total++;
	h->sum_seconds += (double)took / (double)USEC_PER_SEC;
}

static void
put(struct buf *out, const char *name, uint64_t v)
{
	buf_printf(out, "sequoia_%s %" PRIu64 "\n", name, v);
}

static void
put_histogram(
    struct buf *out, const char *name, const struct relay_histogram *h)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < HISTOGRAM_BOUNDS; i++) {
		sum += h->counts[i];
		buf_printf(out,
		    "sequoia_%s_seconds_bucket{le=\"%g\"} %" PRIu64 "\n", name,
		    bounds_ms[i] / 1000.0, sum);
	}
	buf_printf(out, "sequoia_%s_seconds_bucket{le=\"+Inf\"} %" PRIu64 "\n",
	    name, h->total);
	buf_printf(out, "sequoia_%s_seconds_sum %.3f\n", name, h->sum_seconds);
	buf_printf(
	    out, "sequoia_%s_seconds_count %" PRIu64 "\n", name, h->total);
}

static void
put_placements(struct buf *out, const struct relay_metrics *p)
{
	const struct placements_counts *c = &p->placements;

	for (int i = 0; i < PLACEMENT_CAUSES; i++) {
		if (c->by_cause[i] > 0)
			buf_printf(out,
			    "sequoia_placed_calls_total{by=\"%s\"} "
			    "%" PRIu64 "\n",
			    placement_cause_name((enum placement_cause)i),
			    c->by_cause[i]);
	}
	put_histogram(out, "placement", &p->counts->placing);
	put(out, "placements_queued_total", c->queued);
	put(out, "placements_full_total", c->full);
	put(out, "placement_news_total", c->news);
	put(out, "placer_changes_total", c->changes);
	put(out, "placer_asks_total", p->placer.asks);
	put(out, "placer_undecided_total", p->placer.none);
	put(out, "placer_lost_calls_total", p->placer.lost_calls);
	put(out, "placer_waiting", p->placer.waiting);
	put(out, "placer_calls", p->placer.calls);
}

static void
put_memory(struct buf *out, const struct held_counts *c)
{
	put(out, "memory_limit_bytes", c->limit);
	for (int i = 0; i < MEMORY_USES; i++)
		buf_printf(out, "sequoia_memory_held_bytes{use=\"%s\"} %zu\n",
		    memory_use_name((enum memory_use)i), c->by_use[i]);
	put(out, "memory_held_highest_bytes", c->highest);
	put(out, "memory_waits_total", c->waits);
	put(out, "memory_refused_total", c->refused);
	put(out, "memory_cut_total", c->cut);
}

static void
put_promises(struct buf *out, const struct target_calls_counts *c)
{
	static const char *const stated[] = { "no", "yes" };

	for (int i = 0; i < RUN_PROMISES; i++) {
		for (int k = 0; k < 2; k++)
			buf_printf(out,
			    "sequoia_target_promises_total{status=\"%d\","
			    "stated=\"%s\"} %" PRIu64 "\n",
			    run_promise_status((enum run_promise)i), stated[k],
			    c->promises[i][k]);
	}
}

static void
put_stop(struct buf *out, const struct relay_metrics *p)
{
	const struct relay_stop_counts *c = &p->counts->stop;

	put(out, "stop_requests_taken_total", c->taken);
	put(out, "stop_requests_refused_total", c->refused);
	put(out, "stop_requests_given_up_total", c->given_up);
	put(out, "stop_requests_cut_total", c->cut);
	put(out, "stop_stage_jobs_handed_back_total",
	    p->coordinator.stop_handed_back);
	put(out, "stop_stage_jobs_cut_total", p->coordinator.stop_cut);
	put(out, "stop_served_calls_cut_total", p->target_calls.stop_cut);
}

void
relay_metrics(struct buf *out, const struct relay_metrics *p)
{
	put(out, "ready", p->ready);
	put(out, "requests_in_progress", p->busy);
	put(out, "requests_total", p->counts->arrived);
	put(out, "requests_complete_total", p->counts->complete);
	put(out, "requests_failed_total", p->counts->failed);
	put(out, "requests_caller_gone_total", p->counts->caller_gone);
	for (int i = 1; i < -ERR_LAST; i++) {
		if (p->counts->rejected[i] > 0)
			buf_printf(out,
			    "sequoia_requests_rejected_total{error=\"%s\"} "
			    "%" PRIu64 "\n",
			    err_name((enum err_kind) - i),
			    p->counts->rejected[i]);
	}
	put_histogram(out, "request", &p->counts->latency);
	put_stop(out, p);
	put(out, "caller_connections", p->httpd.open);
	put(out, "requests_malformed_total", p->httpd.malformed);
	put(out, "connections_closed_unread_total", p->httpd.closed_unread);
	put(out, "calls_total", p->dial.calls);
	put(out, "target_connections_total", p->dial.connections);
	put(out, "target_checks_total", p->dial.checks);
	put(out, "stray_answers_total", p->dial.stray);
	put(out, "calls_by_host_total", p->target_calls.sent_by_host);
	put(out, "calls_for_host_total", p->target_calls.made_for_host);
	put(out, "calls_for_host_cold_total", p->target_calls.cold_refused);
	put(out, "paths_lost_total", p->target_calls.paths_lost);
	put_promises(out, &p->target_calls);
	put(out, "silent_calls_total", p->silent_calls);
	put(out, "lost_calls_total", p->lost_calls);
	put(out, "unread_calls_total", p->unread_calls);
	put(out, "limited_targets", p->limited_targets);
	put(out, "cold_targets", p->cold_targets);
	put(out, "target_crashes_total", p->crashes);
	put(out, "quarantines", p->quarantines);
	put(out, "evacuated_domains", p->evacuated_domains);
	put(out, "evacuated_targets", p->withheld_targets);
	put(out, "requests_evacuated_total", p->counts->evacuated);
	put(out, "stage_calls_total", p->coordinator.calls);
	put(out, "stage_slow_calls_total", p->coordinator.slow_calls);
	put(out, "stage_pieces_total", p->coordinator.pieces);
	put(out, "stage_pieces_waiting", p->coordinator.waiting);
	put(out, "stage_asks_refused_total", p->coordinator.refused);
	put(out, "stage_pieces_repeated_total", p->coordinator.retries);
	put_placements(out, p);
	put(out, "stage_pieces_failed_total", p->coordinator.failed);
	put(out, "stage_inputs_gone_total", p->coordinator.inputs_gone);
	put(out, "stage_results_reclaimed_total", p->coordinator.reclaimed);
	put(out, "config_version", p->discovery.version);
	put(out, "store_away", p->discovery.store_unavailable);
	put(out, "store_calls_total", p->discovery.store_calls);
	put(out, "target_entries_rejected_total",
	    p->discovery.rejected_entries);
	put_memory(out, &p->memory);
	put(out, "log_lines_dropped_total", log_dropped());
	put(out, "peer_letters_sent_total", p->discovery.rpc.sent);
	put(out, "peer_letters_received_total", p->discovery.rpc.received);
	put(out, "peer_fetches_total", p->discovery.rpc.fetches);
	put(out, "peer_fetch_failures_total", p->discovery.rpc.fetch_failures);
	put(out, "peer_replies_total", p->discovery.rpc.replies);
	put(out, "peer_reply_failures_total", p->discovery.rpc.reply_failures);
}

void
relay_metrics_quarantines(struct buf *out, const struct quarantine *q)
{
	int64_t now_ms = clock_wall() / USEC_PER_MSEC;
	bool first = true;

	buf_putc(out, '[');
	for (guint i = 0; q != NULL && i < q->entries->len; i++) {
		const struct quarantine_entry *e =
		    &g_array_index(q->entries, struct quarantine_entry, i);

		if (e->parts.n == 0 || now_ms >= e->until_ms)
			continue;
		buf_printf(out,
		    "%s{\"id\":\"%s\",\"left_ms\":%" PRId64
		    ",\"length_ms\":%" PRId64 ",\"parts\":[",
		    first ? "" : ",", e->id, e->until_ms - now_ms,
		    e->length_ms);
		for (size_t k = 0; k < e->parts.n; k++)
			buf_printf(out, "%s\"%016" PRIx64 "\"",
			    k > 0 ? "," : "", e->parts.v[k]);
		buf_put(out, STR("]}"));
		first = false;
	}
	buf_put(out, STR("]\n"));
}
