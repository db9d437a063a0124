/*
 * load FILE.ini: offers a deployment's mix of requests to a fleet of sequoiads
 * on loopback and reports what came back.  Arrivals are open-loop: drawn ahead
 * from a seed, they do not wait for answers.  README.md lists the file's keys.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/load/direct.h"
#include "tests/load/report.h"

#define STEP         (1 * USEC_PER_MSEC)
#define SETTLE       (500 * USEC_PER_MSEC) /* for cancelled calls to end */

#define LAG_BOUND_MS 50 /* 99 in 100 requests are sent within it, or ... */
#define EXIT_LATE    3  /* ... the run is no measurement */

struct run {
	struct plan plan;
	struct http_loop *loop;
	struct fleet *fleet;
	struct callers *callers;
	GArray *results; /* struct result */
	usec_t start;
	uint32_t waiting; /* callers that wait for their answers */
	uint32_t next;    /* number of their next request */
};

/* The next request of a caller that waits for its answers. */
static void
send_next(struct run *run)
{
	usec_t now = clock_now();
	struct planned r;

	plan_one(&run->plan, now - run->start, run->next++, &r);
	callers_send(run->callers, &r, now);
}

static void
on_end(void *arg, const struct result *r)
{
	struct run *run = arg;
	usec_t end = run->start + run->plan.warm + run->plan.length;

	g_array_append_val(run->results, *r);
	if (run->waiting > 0 && r->verdict != GOT_NO_HOST && clock_now() < end)
		send_next(run);
}

/* Sends all and waits for all answers. */
static void
drive(struct run *run)
{
	struct planned *v = NULL;
	size_t n = 0;
	size_t i = 0;
	usec_t settled;

	if (run->waiting == 0)
		v = plan_draw(&run->plan, &n);
	run->start = clock_now();
	for (uint32_t k = 0; k < run->waiting; k++)
		send_next(run);
	while (i < n || callers_busy(run->callers) > 0) {
		usec_t now = clock_now();

		for (; i < n && run->start + v[i].at <= now; i++)
			callers_send(run->callers, &v[i], run->start + v[i].at);
		fleet_tick(run->fleet, now);
		http_run(run->loop, STEP);
	}
	free(v);
	settled = clock_now() + SETTLE;
	while (clock_now() < settled)
		http_run(run->loop, STEP);
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

/* Callers at work; gives the report. */
static json_t *
run_callers(struct run *run)
{
	const struct plan *p = &run->plan;
	json_t *report;

	run->waiting = settings_number(&p->ini, "run", "callers", "0");
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
	    .client = p->client,
	    .ended = on_end,
	    .arg = run,
	});
	drive(run);
	report = report_make(&(struct report_opts){
	    .loop = run->loop,
	    .fleet = run->fleet,
	    .plan = p,
	    .results = run->results,
	    .gaps = callers_gaps(run->callers),
	});
	g_array_free(run->results, TRUE);
	callers_free(run->callers);
	fleet_free(run->fleet);
	return report;
}

/* Whether requests went out when they were planned. */
static bool
was_punctual(const json_t *report)
{
	const json_t *lag = json_object_get(report, "lag_ms");

	return json_number_value(json_object_get(lag, "p99")) <= LAG_BOUND_MS;
}

static int
run_file(const char *path)
{
	struct run run = { .loop = http_new() };
	json_t *report;
	uint32_t turns;
	bool punctual;

	plan_read(&run.plan, path);
	turns = settings_number(&run.plan.ini, "run", "direct", "0");
	report = turns > 0 ? direct_measure(&run.plan, run.loop, turns)
			   : run_callers(&run);
	write_report(&run.plan, report);
	punctual = was_punctual(report);
	json_decref(report);
	plan_free(&run.plan);
	http_free(run.loop);
	return punctual ? EXIT_SUCCESS : EXIT_LATE;
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
