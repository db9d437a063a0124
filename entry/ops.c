#include "entry/ops.h"
#include "entry/metrics.h"
#include "entry/reply.h"
#include "entry/server.h"
#include "entry/report.h"
#include "kernel/answer.h"
#include "plat/held.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS "4"

struct ops {
	struct ops_opts o;
	struct mg_context *ctx;
};

static void
send_text(struct mg_connection *conn, int status, struct str body)
{
	mg_printf(conn,
	    "HTTP/1.1 %d %s\r\nContent-Type: text/plain; version=0.0.4\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, mg_get_response_code_text(conn, status), body.n);
	mg_write(conn, body.p, body.n);
}

static bool
is_ready(struct ops *ops, uint64_t *generation)
{
	struct conf *c = proc_state_conf(ops->o.proc_state);
	bool ready = c != NULL && !proc_state_draining(ops->o.proc_state) &&
	    !proc_state_superseded(ops->o.proc_state);

	*generation = c != NULL ? c->generation : 0;
	conf_unref(c);
	return ready;
}

static int
on_health(struct mg_connection *conn, void *arg)
{
	(void)arg;
	send_text(conn, 200, STR("ok\n"));
	return 200;
}

static int
on_ready(struct mg_connection *conn, void *arg)
{
	uint64_t generation;
	bool ready = is_ready(arg, &generation);

	send_text(conn, ready ? 200 : 503,
	    ready ? STR("ready\n") : STR("not ready\n"));
	return ready ? 200 : 503;
}

static int
on_metrics(struct mg_connection *conn, void *arg)
{
	struct ops *ops = arg;
	struct traffic_report report;
	struct control_report control;
	struct held_counts memory = host_memory_counts(ops->o.memory);
	struct metrics_input in = { .traffic = &report, .memory = &memory };
	struct buf out = { 0 };

	traffic_report(ops->o.traffic, &report);
	in.ready = is_ready(ops, &in.generation);
	in.record_bytes = records_bytes(ops->o.records);
	in.tally = ops->o.tally;
	metrics_write(&in, &out);
	control_report(ops->o.control, &control);
	report_metrics(&control, &out);
	control_report_free(&control);
	send_text(conn, 200, str_of(&out));
	buf_free(&out);
	traffic_report_free(&report);
	return 200;
}

static json_t *
target_json(const struct traffic_target *x, usec_t now)
{
	static const char *const states[] = { "live", "leaving", "gone" };

	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:b, s:I}",
	    "service", x->service, "address", x->t.addr, "failure_domain",
	    x->t.domain, "state", states[x->t.state], "in_flight",
	    (int)x->t.in_flight, "load", targets_estimated_load(&x->t, now),
	    "fail_rate", (double)x->t.fail_rate, "set_aside",
	    x->t.aside_until > now, "calls", (json_int_t)x->t.calls);
}

static int
on_status(struct mg_connection *conn, void *arg)
{
	struct ops *ops = arg;
	struct traffic_report report;
	struct control_report control;
	struct buf out = { 0 };
	uint64_t generation;
	bool ready = is_ready(ops, &generation);
	json_t *targets = json_array();
	json_t *o;

	traffic_report(ops->o.traffic, &report);
	for (size_t i = 0; i < report.n_targets; i++)
		json_array_append_new(
		    targets, target_json(&report.targets[i], report.at));
	o = json_pack("{s:s, s:s, s:b, s:I, s:I, s:o}", "id",
	    ops->o.settings->id, "failure_domain",
	    ops->o.settings->failure_domain, "ready", ready, "generation",
	    (json_int_t)generation, "requests_in_flight",
	    (json_int_t)report.busy, "targets", targets);
	control_report(ops->o.control, &control);
	report_status(&control, o);
	report_limits(&report, o);
	control_report_free(&control);
	answer_dump(o, &out);
	reply_json(&(struct reply){ .conn = conn, .request_id = "" }, 200,
	    str_of(&out));
	buf_free(&out);
	traffic_report_free(&report);
	return 200;
}

/* Begins the same drain as SIGTERM, but the process does not exit. */
static int
on_drain(struct mg_connection *conn, void *arg)
{
	struct ops *ops = arg;
	struct reply r = { .conn = conn, .request_id = "", .allow = "POST" };

	if (strcmp(mg_get_request_info(conn)->request_method, "POST") != 0)
		return reply_refuse(&r, ERR_METHOD, "POST");
	r.allow = NULL;
	proc_state_drain(ops->o.proc_state);
	return reply_json(&r, 202, STR("{\"draining\":true}"));
}

struct ops *
ops_start(const struct ops_opts *o, struct err *e)
{
	struct ops *ops = xcalloc(1, sizeof(*ops));
	struct mg_callbacks cb = {
		.init_thread = proc_state_thread_begin,
		.exit_thread = proc_state_thread_end,
	};
	const char *options[] = { "listening_ports", o->settings->operators,
		"num_threads", WORKERS, NULL };

	ops->o = *o;
	ops->ctx = mg_start(&cb, ops, options);
	if (ops->ctx == NULL) {
		err_set(e, ERR_SETTING,
		    "[sequoiad] operators = %s: can't listen there: write an "
		    "own address with a free port",
		    o->settings->operators);
		free(ops);
		return NULL;
	}
	mg_set_request_handler(ops->ctx, "/healthz$", on_health, ops);
	mg_set_request_handler(ops->ctx, "/readyz$", on_ready, ops);
	mg_set_request_handler(ops->ctx, "/metrics$", on_metrics, ops);
	mg_set_request_handler(ops->ctx, "/status$", on_status, ops);
	mg_set_request_handler(ops->ctx, "/drain$", on_drain, ops);
	return ops;
}

bool
ops_stop(struct ops *ops, usec_t until)
{
	if (!server_stop(ops->ctx, ops->o.settings->operators, until))
		return false;
	free(ops);
	return true;
}
