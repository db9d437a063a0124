/*
 * load FILE.ini: sends a deployment's mix of requests to a fleet of sequoiads
 * on loopback and reports the results.  Arrivals are open-loop: they are drawn
 * in advance from a seed and don't wait for answers.  With the key callers of
 * [run], a number of closed-loop callers send instead: each sends its next
 * request when the last one has ended.  Everything runs on one thread.
 * README.md lists the keys.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/load/direct.h"
#include "tests/load/report.h"

#define LOOP_STEP    (1 * USEC_PER_MSEC)
#define SETTLE_TIME  (500 * USEC_PER_MSEC) /* lets cancelled calls end */

#define LAG_BOUND_MS 50 /* delay in sending of 99 in 100 requests */
#define EXIT_LATE    3  /* exit status if LAG_BOUND_MS was exceeded */

struct run {
	struct plan plan;
	struct http_loop *loop;
	struct fleet *fleet;
	struct callers *callers;
	GArray *results; /* struct result */
	usec_t start;
	uint32_t closed_loop; /* number of closed-loop callers; 0: open loop */
	uint32_t next_number; /* number of the next closed-loop request */
};

/* Sends the next request of a closed-loop caller. */
static void
send_next(struct run *run)
{
	usec_t now = clock_now();
	struct planned_request r;

	plan_draw_one(&run->plan, now - run->start, run->next_number++, &r);
	callers_send(run->callers, &r, now);
}

static void
add_result(void *arg, const struct result *r)
{
	struct run *run = arg;
	usec_t end = run->start + run->plan.warm_up + run->plan.length;

	g_array_append_val(run->results, *r);
	if (run->closed_loop > 0 && r->result_kind != RESULT_NO_HOST &&
	    clock_now() < end)
		send_next(run);
}

/* Sends all requests and waits until all have ended. */
static void
run_load(struct run *run)
{
	struct planned_request *requests = NULL;
	size_t n = 0;
	size_t i = 0;
	usec_t settled;

	if (run->closed_loop == 0)
		requests = plan_draw(&run->plan, &n);
	run->start = clock_now();
	for (uint32_t k = 0; k < run->closed_loop; k++)
		send_next(run);
	while (i < n || callers_in_flight(run->callers) > 0) {
		usec_t now = clock_now();

		for (; i < n && run->start + requests[i].at <= now; i++)
			callers_send(run->callers, &requests[i],
			    run->start + requests[i].at);
		fleet_poll(run->fleet, now);
		http_run(run->loop, LOOP_STEP);
	}
	free(requests);
	settled = clock_now() + SETTLE_TIME;
	while (clock_now() < settled)
		http_run(run->loop, LOOP_STEP);
}

static void
write_report(const struct plan *p, json_t *report)
{
	static const char *const keys[] = { "deployment", "scenario", "variant",
		"seed", "percent" };
	const char *out = settings_text(&p->ini, "run", "out", "");

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		json_object_set_new(report, keys[i],
		    json_string(settings_text(&p->ini, "run", keys[i], "")));
	report_print(report, stdout);
	if (*out != '\0')
		json_dump_file(report, out, JSON_REAL_PRECISION(9));
}

/* Runs the callers and returns the report. */
static json_t *
measure_callers(struct run *run)
{
	const struct plan *p = &run->plan;
	json_t *report;

	run->closed_loop = settings_number(&p->ini, "run", "callers", "0");
	run->results = g_array_new(FALSE, FALSE, sizeof(struct result));
	run->fleet = fleet_new(&(struct fleet_opts){
	    .loop = run->loop,
	    .net = settings_text(&p->ini, "run", "net", "127.0.0"),
	    .n = settings_number(&p->ini, "run", "hosts", "1"),
	    .port = settings_number(&p->ini, "run", "port", NULL),
	});
	run->callers = callers_new(&(struct callers_opts){
	    .loop = run->loop,
	    .fleet = run->fleet,
	    .seed = p->rng.seed,
	    .client_delay = p->client_delay,
	    .on_result = add_result,
	    .arg = run,
	});
	run_load(run);
	report = report_make(&(struct report_opts){
	    .loop = run->loop,
	    .fleet = run->fleet,
	    .plan = p,
	    .results = run->results,
	    .gaps = callers_token_gaps(run->callers),
	});
	g_array_free(run->results, TRUE);
	callers_free(run->callers);
	fleet_free(run->fleet);
	return report;
}

/*
 * Returns whether requests were sent at their planned time; if not, the
 * results say nothing about the sequoiads.
 */
static bool
sent_on_time(const json_t *report)
{
	const json_t *send_lag = json_object_get(report, "lag_ms");

	return json_number_value(json_object_get(send_lag, "p99")) <=
	    LAG_BOUND_MS;
}

static int
run_file(const char *path)
{
	struct run run = { .loop = http_new() };
	json_t *report;
	uint32_t n_direct;
	bool on_time;

	plan_read(&run.plan, path);
	n_direct = settings_number(&run.plan.ini, "run", "direct", "0");
	report = n_direct > 0 ? direct_measure(&run.plan, run.loop, n_direct)
			      : measure_callers(&run);
	write_report(&run.plan, report);
	on_time = sent_on_time(report);
	json_decref(report);
	plan_free(&run.plan);
	http_free(run.loop);
	return on_time ? EXIT_SUCCESS : EXIT_LATE;
}

int
main(int argc, char **argv)
{
	if (argc != 2) {
		fprintf(stderr, "usage: load FILE.ini\n");
		return EXIT_FAILURE;
	}
	return run_file(argv[1]);
}
