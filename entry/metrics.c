#include "entry/metrics.h"

#define COUNTER(field, text)                                     \
	{                                                        \
		{ "sequoia_" #field "_total", "counter", text }, \
		    offsetof(struct kernel_stats, field)         \
	}

/* A metric and the member of struct kernel_stats that it is read from. */
struct kernel_counter {
	struct metric metric;
	size_t offset;
};

/* The help texts are part of the output and must not change. */
static const struct kernel_counter kernel_counters[] = {
	COUNTER(requests, "Requests that reached the kernel."),
	COUNTER(deadline_met, "Requests answered whole by their deadline."),
	COUNTER(calls, "Calls sent to targets."),
	COUNTER(retries, "Calls that were retries."),
	COUNTER(hedges, "Calls that were hedges."),
	COUNTER(resumes, "Calls that took up a broken stream."),
	COUNTER(lookups, "Calls that asked what an earlier call has done."),
	COUNTER(failed_calls, "Calls that failed."),
	COUNTER(cancelled_calls, "Calls that were cancelled."),
	COUNTER(late_events, "Events of calls that were given up before."),
	COUNTER(foreign_answers, "Answers that echoed another call's id."),
	COUNTER(silent_calls, "Calls given up because nothing came."),
	COUNTER(queued, "Calls that waited for a target."),
	COUNTER(tokens, "Tokens generated."),
	COUNTER(prompt_tokens, "Prompt tokens that engines reported."),
	COUNTER(cached_tokens, "Prompt tokens found in engines' caches."),
	COUNTER(stop_requests_taken,
	    "Requests that were taken after the signal to stop."),
	COUNTER(stop_requests_refused,
	    "Requests that a host that stops refused as not run."),
	COUNTER(stop_requests_given_up,
	    "Requests that were answered with a failure shortly before the "
	    "exit."),
};

#define N_KERNEL_COUNTERS (sizeof(kernel_counters) / sizeof(kernel_counters[0]))

enum process_metric {
	METRIC_OUTCOMES,
	METRIC_ERRORS,
	METRIC_REFUSED,
	METRIC_PROBES,
	METRIC_FAILED_PROBES,
	METRIC_IN_FLIGHT,
	METRIC_TARGETS,
	METRIC_GENERATION,
	METRIC_RECORD_BYTES,
	METRIC_READY,
	METRIC_CPU,
	METRIC_MEMORY_LIMIT,
	METRIC_MEMORY_HELD,
	METRIC_MEMORY_HIGHEST,
	METRIC_MEMORY_WAITS,
	METRIC_MEMORY_REFUSED,
	METRIC_MEMORY_CUT,
	METRIC_STOP_CUT,
	N_PROCESS_METRICS
};

static const struct metric process_metrics[N_PROCESS_METRICS] = {
	[METRIC_OUTCOMES] = { "sequoia_outcomes_total", "counter",
	    "Requests by the outcome that their caller was told." },
	[METRIC_ERRORS] = { "sequoia_errors_total", "counter",
	    "Requests by the error that their caller was told." },
	[METRIC_REFUSED] = { "sequoia_refused_total", "counter",
	    "Requests refused before they reached the kernel, by error." },
	[METRIC_PROBES] = { "sequoia_probes_total", "counter",
	    "Targets asked for their load." },
	[METRIC_FAILED_PROBES] = { "sequoia_failed_probes_total", "counter",
	    "Targets asked for their load that did not tell it." },
	[METRIC_IN_FLIGHT] = { "sequoia_requests_in_flight", "gauge",
	    "Requests that have not ended." },
	[METRIC_TARGETS] = { "sequoia_targets", "gauge",
	    "Targets by service and state." },
	[METRIC_GENERATION] = { "sequoia_config_generation", "gauge",
	    "The configuration generation in force." },
	[METRIC_RECORD_BYTES] = { "sequoia_record_bytes", "gauge",
	    "Memory of ended requests that can still be asked for." },
	[METRIC_READY] = { "sequoia_ready", "gauge",
	    "1 when the process takes requests." },
	[METRIC_CPU] = { "sequoia_cpu_seconds_total", "counter",
	    "Processor time that the process has used." },
	[METRIC_MEMORY_LIMIT] = { "sequoia_memory_limit_bytes", "gauge",
	    "Bound of the bytes that are held." },
	[METRIC_MEMORY_HELD] = { "sequoia_memory_held_bytes", "gauge",
	    "Bytes held for requests, answers, the store and others." },
	[METRIC_MEMORY_HIGHEST] = { "sequoia_memory_held_highest_bytes",
	    "gauge", "The most bytes held since the start." },
	[METRIC_MEMORY_WAITS] = { "sequoia_memory_waits_total", "counter",
	    "Times that reading waited for room." },
	[METRIC_MEMORY_REFUSED] = { "sequoia_memory_refused_total", "counter",
	    "Requests refused for want of room." },
	[METRIC_MEMORY_CUT] = { "sequoia_memory_cut_total", "counter",
	    "Answers broken off, as their receivers were slow." },
	[METRIC_STOP_CUT] = { "sequoia_stop_requests_cut_total", "counter",
	    "Requests without a complete answer at the exit." },
};

static void
write_header(const struct metric *m, struct buf *out)
{
	buf_printf(out, "# HELP %s %s\n# TYPE %s %s\n", m->name, m->help,
	    m->name, m->type);
}

static void
write_gauge(const struct metric *m, double v, struct buf *out)
{
	write_header(m, out);
	buf_printf(out, "%s %.9g\n", m->name, v);
}

static void
write_counter(const struct metric *m, const atomic_ullong *v, struct buf *out)
{
	write_header(m, out);
	buf_printf(out, "%s %llu\n", m->name, atomic_load(v));
}

static void
write_labelled(const struct kernel_stats *s, struct buf *out)
{
	write_header(&process_metrics[METRIC_OUTCOMES], out);
	for (int o = OUTCOME_COMPLETE; o <= OUTCOME_UNKNOWN; o++)
		buf_printf(out, "%s{outcome=\"%s\"} %llu\n",
		    process_metrics[METRIC_OUTCOMES].name, outcome_name(o),
		    (unsigned long long)s->outcomes[o]);
	write_header(&process_metrics[METRIC_ERRORS], out);
	for (int k = 1; k < -ERR_LAST; k++)
		buf_printf(out, "%s{error=\"%s\"} %llu\n",
		    process_metrics[METRIC_ERRORS].name, err_name(-k),
		    (unsigned long long)s->errors[k]);
}

static void
write_refused(const struct tally *t, struct buf *out)
{
	write_header(&process_metrics[METRIC_REFUSED], out);
	for (int k = 1; k < -ERR_LAST; k++)
		buf_printf(out, "%s{error=\"%s\"} %llu\n",
		    process_metrics[METRIC_REFUSED].name, err_name(-k),
		    (unsigned long long)atomic_load(&t->refused[k]));
}

/*
 * Writes one line for each service and state; the report does not group targets
 * by service.
 */
static void
write_targets(const struct traffic_report *r, struct buf *out)
{
	static const char *const states[] = { "live", "leaving" };

	write_header(&process_metrics[METRIC_TARGETS], out);
	for (size_t i = 0; i < r->n_targets; i++) {
		size_t n[2] = { 0, 0 };
		bool seen = false;

		for (size_t j = 0; j < r->n_targets; j++) {
			if (r->targets[j].t.service != r->targets[i].t.service)
				continue;
			seen = seen || j < i;
			n[r->targets[j].t.state == TARGET_LIVE ? 0 : 1]++;
		}
		for (int s = 0; s < 2 && !seen; s++)
			buf_printf(out, "%s{service=\"%s\",state=\"%s\"} %zu\n",
			    process_metrics[METRIC_TARGETS].name,
			    r->targets[i].service, states[s], n[s]);
	}
}

static void
write_count(const struct metric *m, uint64_t v, struct buf *out)
{
	write_header(m, out);
	buf_printf(out, "%s %llu\n", m->name, (unsigned long long)v);
}

static void
write_memory(const struct held_counts *c, struct buf *out)
{
	write_count(&process_metrics[METRIC_MEMORY_LIMIT], c->limit, out);
	write_header(&process_metrics[METRIC_MEMORY_HELD], out);
	for (int i = 0; i < MEMORY_USES; i++)
		buf_printf(out, "%s{use=\"%s\"} %zu\n",
		    process_metrics[METRIC_MEMORY_HELD].name,
		    memory_use_name((enum memory_use)i), c->by_use[i]);
	write_count(&process_metrics[METRIC_MEMORY_HIGHEST], c->highest, out);
	write_count(&process_metrics[METRIC_MEMORY_WAITS], c->waits, out);
	write_count(&process_metrics[METRIC_MEMORY_REFUSED], c->refused, out);
	write_count(&process_metrics[METRIC_MEMORY_CUT], c->cut, out);
}

void
metrics_write(const struct metrics_input *in, struct buf *out)
{
	const char *stats = (const char *)&in->traffic->stats;

	for (size_t i = 0; i < N_KERNEL_COUNTERS; i++) {
		uint64_t v = *(const uint64_t *)(const void *)(stats +
		    kernel_counters[i].offset);

		write_header(&kernel_counters[i].metric, out);
		buf_printf(out, "%s %llu\n", kernel_counters[i].metric.name,
		    (unsigned long long)v);
	}
	write_labelled(&in->traffic->stats, out);
	write_refused(in->tally, out);
	write_counter(&process_metrics[METRIC_PROBES], &in->tally->probes, out);
	write_counter(&process_metrics[METRIC_FAILED_PROBES],
	    &in->tally->failed_probes, out);
	write_targets(in->traffic, out);
	write_gauge(
	    &process_metrics[METRIC_IN_FLIGHT], (double)in->traffic->busy, out);
	write_gauge(
	    &process_metrics[METRIC_GENERATION], (double)in->generation, out);
	write_gauge(&process_metrics[METRIC_RECORD_BYTES],
	    (double)in->record_bytes, out);
	write_gauge(&process_metrics[METRIC_READY], in->ready ? 1 : 0, out);
	write_gauge(&process_metrics[METRIC_CPU],
	    (double)clock_cpu() / USEC_PER_SEC, out);
	write_memory(in->memory, out);
	write_counter(&process_metrics[METRIC_STOP_CUT],
	    &in->tally->stop_requests_cut, out);
}

const struct metric *
metrics_all(size_t *n)
{
	static struct metric all[N_KERNEL_COUNTERS + N_PROCESS_METRICS];

	for (size_t i = 0; i < N_KERNEL_COUNTERS; i++)
		all[i] = kernel_counters[i].metric;
	for (size_t i = 0; i < N_PROCESS_METRICS; i++)
		all[N_KERNEL_COUNTERS + i] = process_metrics[i];
	*n = N_KERNEL_COUNTERS + N_PROCESS_METRICS;
	return all;
}
