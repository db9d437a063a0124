/* sequoiad, the process between callers and targets: starts and stops it. */
#include "base/log.h"
#include "base/rng.h"
#include "entry/connfd.h"
#include "entry/control.h"
#include "entry/exit_guard.h"
#include "entry/ops.h"
#include "entry/relayd.h"
#include "entry/stop_signal.h"
#include "entry/web.h"
#include "kernel/stopping.h"
#include "plat/held.h"

#include <argp.h>
#include <civetweb.h>
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define OPTION_BASE         1000 /* first argp key of the settings' options */
#define INCARNATION_BITS    12   /* random bits below the wall clock */
#define DRAIN_POLL_INTERVAL (20 * USEC_PER_MSEC)
/* Time between two looks for signals. */
#define LOOK_INTERVAL       (100 * USEC_PER_MSEC)
/* After the exit time: until servers have ended, and claims are persisted. */
#define CLOSE_TIME          (100 * USEC_PER_MSEC)
#define FLUSH_TIME          (250 * USEC_PER_MSEC)
#define EXIT_SETTINGS       2 /* settings invalid or addresses in use */

const char *argp_program_version = "sequoiad " SEQUOIA_VERSION;

struct options {
	const char *file;
	const char **values; /* one for each settings key; NULL: not given */
};

struct daemon {
	struct settings settings;
	struct records *records;
	struct proc_state *proc_state;
	struct control *control;
	struct traffic *traffic;
	struct web *web;
	struct ops *ops;
	struct tally tally;
	struct host_memory *memory;
	struct stop_signal *stop_signal;
	struct stopping stopping;
	usec_t drain_at; /* when new requests are refused; 0: not draining */
	bool drained;    /* the fleet knows */
	bool threads_started; /* the control and traffic threads run */
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;
	size_t n;

	settings_keys(&n);
	if (key >= OPTION_BASE && key < OPTION_BASE + (int)n) {
		o->values[key - OPTION_BASE] = arg;
		return 0;
	}
	if (key == ARGP_KEY_ARG) {
		if (o->file != NULL)
			argp_error(state, "one settings file: found %s", arg);
		o->file = arg;
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

/* Creates an option for each settings key. */
static struct argp_option *
make_options(void)
{
	size_t n;
	const struct setting_key *keys = settings_keys(&n);
	struct argp_option *v = xcalloc(n + 1, sizeof(*v));

	for (size_t i = 0; i < n; i++) {
		v[i].name = keys[i].name;
		v[i].key = OPTION_BASE + (int)i;
		v[i].arg = *keys[i].unit != '\0' ? keys[i].unit : "VALUE";
		v[i].doc = keys[i].doc;
	}
	return v;
}

static int
read_options(int argc, char **argv, struct settings *s)
{
	size_t n;
	struct options o = { 0 };
	struct argp_option *options = make_options();
	struct argp argp = { options, parse, "[FILE]",
		"Serves pipelines.  FILE holds its settings in INI form; an "
		"option goes before the file." };
	struct err e = { 0 };
	int rc;

	settings_keys(&n);
	o.values = xcalloc(n, sizeof(*o.values));
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	rc = settings_read(s, o.file, o.values, &e);
	if (rc != 0)
		fprintf(stderr, "sequoiad: %s\n", e.text);
	free(o.values);
	free(options);
	return rc;
}

/*
 * Blocks the signals that the main thread waits for, and ignores SIGPIPE.  Sets
 * those that stop the process.
 */
static void
block_signals(sigset_t *stop, bool reload)
{
	sigset_t all;

	sigemptyset(stop);
	sigaddset(stop, SIGTERM);
	sigaddset(stop, SIGINT);
	all = *stop;
	if (reload)
		sigaddset(&all, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &all, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/*
 * Returns the wall clock with random low bits: higher after each restart, and
 * unique.
 */
static uint64_t
make_incarnation(void)
{
	return (uint64_t)clock_wall() << INCARNATION_BITS |
	    (rng_entropy() & ((1U << INCARNATION_BITS) - 1));
}

/*
 * Creates the modules without the servers for callers and operators.  Returns
 * 0, or an error number with e set.
 */
static int
create_modules(struct daemon *d, struct err *e)
{
	const struct settings *s = &d->settings;
	uint64_t incarnation = make_incarnation();
	size_t limit;

	d->memory = host_memory_open(s->memory_mb);
	limit = host_memory_counts(d->memory).limit;
	d->records = records_new(&(struct records_opts){
	    .node = (uint32_t)hash_u64(str_from(s->id), 0),
	    .incarnation = (uint32_t)incarnation,
	    .retention = s->keep,
	    .keep_bytes = MIN(s->keep_bytes, memory_keep_of(limit)),
	    .memory = d->memory,
	});
	d->proc_state = proc_state_new();
	d->control = control_new(
	    &(struct control_opts){
		.settings = s,
		.proc_state = d->proc_state,
		.records = d->records,
		.tally = &d->tally,
		.incarnation = incarnation,
		.memory = d->memory,
	    },
	    e);
	if (d->control == NULL)
		return e->kind;
	d->traffic = traffic_new(&(struct traffic_opts){
	    .records = d->records,
	    .domain = s->failure_domain,
	    .seed = rng_entropy(),
	    .claim = control_claim,
	    .target_leaving = control_target_leaving,
	    .arg = d->control,
	    .memory = d->memory,
	    .stop_signal = d->stop_signal,
	    .drain = s->drain,
	    .grace = s->grace,
	});
	return 0;
}

/* Starts the servers and threads; returns 0, or an error number with e set. */
static int
start(struct daemon *d, struct err *e)
{
	const struct settings *s = &d->settings;

	if (create_modules(d, e) != 0)
		return e->kind;
	d->ops = ops_start(&(struct ops_opts){ s, d->proc_state, d->traffic,
			       d->records, &d->tally, d->control, d->memory },
	    e);
	if (d->ops == NULL)
		return e->kind;
	d->web = web_start(&(struct web_opts){ s, d->records, d->proc_state,
			       d->traffic, &d->tally, d->control, d->memory },
	    e);
	if (d->web == NULL)
		return e->kind;
	traffic_start(d->traffic);
	control_start(d->control, d->traffic);
	d->threads_started = true;
	LOG(LOG_LVL_NOTICE, "started", { "listen", str_from(s->listen) },
	    { "failure_domain", str_from(s->failure_domain) });
	return 0;
}

/*
 * Continues a drain of an operator: readiness ends at once, but new requests
 * are refused only after drain_ms, when the load balancer has stopped routing
 * here.
 */
static void
continue_drain(struct daemon *d)
{
	usec_t now = clock_now();

	if (d->drained || !proc_state_draining(d->proc_state))
		return;
	if (d->drain_at == 0) {
		d->drain_at = now + d->settings.drain;
		LOG(LOG_LVL_NOTICE, "draining",
		    { "id", str_from(d->settings.id) });
	}
	if (now < d->drain_at)
		return;
	traffic_drain(d->traffic);
	control_drain(d->control);
	d->drained = true;
}

/*
 * Aborts slow body reads and continues a drain, until a signal arrives; returns
 * the earliest time of the signal.
 */
static usec_t
run(struct daemon *d)
{
	usec_t signal_at;

	while ((signal_at = stop_signal_wait(d->stop_signal, LOOK_INTERVAL)) ==
	    0) {
		web_sweep(d->web, clock_now());
		host_memory_tick(d->memory);
		continue_drain(d);
	}
	return signal_at;
}

static void
begin_stop(struct daemon *d, usec_t signal_at)
{
	const struct settings *s = &d->settings;
	char late[32];

	d->stopping = stopping_plan(signal_at, s->drain, s->grace);
	exit_guard_start(d->stopping.forced_at);
	proc_state_drain(d->proc_state);
	snprintf(late, sizeof(late), "%" PRId64,
	    (clock_now() - signal_at) / USEC_PER_MSEC);
	LOG(LOG_LVL_NOTICE, "draining", { "id", str_from(s->id) },
	    { "late_ms", str_from(late) });
}

static bool
is_busy(struct daemon *d)
{
	return !d->drained || traffic_busy(d->traffic) > 0 ||
	    web_busy(d->web) > 0;
}

/* Ends reads of bodies that are overdue, or that won't end before the exit. */
static void
sweep(struct daemon *d, usec_t now)
{
	bool ends = stopping_ends_listening(&d->stopping, false, now);

	web_sweep(d->web, ends ? INT64_MAX : now);
}

/*
 * Waits until every request has ended and its response is written, and callers
 * that have just connected are answered too, or until the exit time.
 * Connections are refused before the last wait.  Shortly before the exit, they
 * are refused once all requests taken have ended.
 */
static void
finish(struct daemon *d)
{
	const struct stopping *s = &d->stopping;
	struct stopping_quiet quiet = { 0 };
	bool listening = true;
	struct stopping_wait wait = { 0 };
	usec_t now;

	do {
		bool is_quiet;

		usleep((useconds_t)DRAIN_POLL_INTERVAL);
		now = clock_now();
		sweep(d, now);
		if (!d->drained && stopping_is_drained(s, now)) {
			control_drain(d->control);
			d->drained = true;
		}
		is_quiet = stopping_is_quiet(&quiet, is_busy(d), now);
		if (is_quiet && !listening)
			return;
		if (listening &&
		    (is_quiet ||
			stopping_ends_listening(
			    s, traffic_busy(d->traffic) > 0, now)) &&
		    connfd_stop_listening(d->settings.listen)) {
			listening = false;
			quiet.since = now;
		}
	} while (!stopping_is_over(s, &wait, now));
	connfd_stop_listening(d->settings.listen);
	atomic_fetch_add(
	    &d->tally.stop_requests_cut, web_log_cut(d->web, s->signal_at));
}

/* Reports what became of the requests since the stop began. */
static void
report_counts(struct daemon *d, bool final)
{
	struct traffic_report r;
	char text[EXIT_GUARD_COUNTS_BYTES];

	traffic_report(d->traffic, &r);
	snprintf(text, sizeof(text),
	    "%" PRIu64 " requests were taken since the signal and %" PRIu64
	    " refused as not run; at the exit %" PRIu64
	    " were given up and %llu cut; the stop took %" PRId64 " ms",
	    r.stats.stop_requests_taken, r.stats.stop_requests_refused,
	    r.stats.stop_requests_given_up,
	    atomic_load(&d->tally.stop_requests_cut),
	    (clock_now() - d->stopping.signal_at) / USEC_PER_MSEC);
	traffic_report_free(&r);
	exit_guard_counts(text, final);
}

/* Frees all modules, also after a start that failed half way. */
static void
free_modules(struct daemon *d)
{
	if (d->control != NULL)
		control_stop(d->control);
	if (d->traffic != NULL)
		traffic_free(d->traffic);
	if (d->control != NULL)
		control_free(d->control);
	proc_state_free(d->proc_state);
	records_free(d->records);
	host_memory_free(d->memory);
	mg_exit_library();
}

/*
 * Stops and frees all modules.  Returns false if servers don't stop shortly
 * after the exit time, with threads that still use the modules.
 */
static bool
stop(struct daemon *d)
{
	usec_t exit_at = d->stopping.exit_at;
	bool closed;

	report_counts(d, false);
	closed = web_stop(d->web, exit_at + CLOSE_TIME);
	closed = ops_stop(d->ops, exit_at + CLOSE_TIME) && closed;
	control_leave(d->control, exit_at + FLUSH_TIME);
	traffic_stop(d->traffic);
	report_counts(d, true);
	if (closed)
		free_modules(d);
	return closed;
}

/* Frees what a start that failed has created. */
static void
stop_half_started(struct daemon *d)
{
	if (d->ops != NULL)
		ops_stop(d->ops, INT64_MAX);
	free_modules(d);
}

/*
 * Serves pipelines until a signal arrives.  Returns 0, or an error number with
 * e set; sets freed to false if threads still run.
 */
static int
serve_pipelines(struct daemon *d, bool *freed, struct err *e)
{
	int rc;

	urcu_memb_register_thread();
	mg_init_library(0);
	rc = start(d, e);
	if (rc == 0) {
		begin_stop(d, run(d));
		finish(d);
		*freed = stop(d);
	} else {
		stop_half_started(d);
	}
	urcu_memb_unregister_thread();
	return rc;
}

int
main(int argc, char **argv)
{
	struct daemon d = { 0 };
	struct err e = { 0 };
	sigset_t set;
	bool freed = true;
	bool routes;
	int rc;

	if (read_options(argc, argv, &d.settings) != 0)
		return EXIT_SETTINGS;
	routes = strcmp(d.settings.form, "routes") == 0;
	block_signals(&set, routes);
	log_init(d.settings.id, (enum log_level)d.settings.log_level);
	d.stop_signal = stop_signal_new(&set);
	rc = routes
	    ? relayd_run(&d.settings, make_incarnation(), d.stop_signal, &e)
	    : serve_pipelines(&d, &freed, &e);
	if (rc != 0)
		fprintf(stderr, "sequoiad: %s\n", e.text);
	else
		LOG(LOG_LVL_NOTICE, "stopped", { "cause", STR("signal") });
	log_finish();
	/* Neither waits for threads nor frees what they use. */
	if (!freed)
		_exit(0);
	stop_signal_free(d.stop_signal);
	settings_free(&d.settings);
	return rc == 0 ? 0 : EXIT_SETTINGS;
}
