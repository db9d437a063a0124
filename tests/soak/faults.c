#include "tests/soak/soak.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define STEP_TIME    (10 * USEC_PER_MSEC)
#define SILENCE_TIME (1600 * USEC_PER_MSEC) /* of a target that goes on */
/* How late a host handles its signal. */
#define MIN_LATE     (200 * USEC_PER_MSEC)
#define MAX_LATE     (1500 * USEC_PER_MSEC)
#define STOPS_GAP    (900 * USEC_PER_MSEC) /* at most, between two SIGTERMs */
#define SOON_TIME    (600 * USEC_PER_MSEC) /* at most, from start to SIGTERM */
#define MAX_COLD_MS  3000

enum fault {
	RESET,
	SILENCE,
	LINK,
	KILL,
	STOP,
	STANDSTILL,
	HANGUP,
	STORE,
	TARGET,
	SERIES,
	CONFIG,
	STOPS
};

static const char *const fault_names[] = { "reset", "silence", "link", "kill",
	"stop", "standstill", "hangup", "store", "target", "series", "config",
	"stops" };
/* What is drawn from: a fault is as frequent as it is listed. */
static const enum fault draws[] = { RESET, SILENCE, LINK, LINK, KILL, STOP,
	STANDSTILL, HANGUP, STORE, STORE, STORE, TARGET, TARGET, TARGET, SERIES,
	SERIES, STANDSTILL, STANDSTILL, CONFIG, CONFIG, STOPS, STOPS };

/* Faults that end by themselves; 0: none. */
static usec_t standstill_until[SOAK_MAX_HOSTS];
static usec_t silent_until[SOAK_TARGETS];
static bool ending[SOAK_MAX_HOSTS]; /* SIGTERM or SIGKILL was sent */
static bool killed[SOAK_MAX_HOSTS];
static bool has_copy; /* of the store */
/* When a process that has been started gets SIGTERM; 0: never. */
static usec_t stop_at[SOAK_MAX_HOSTS];
static bool injecting;
static struct rng stop_rng;
static struct rng evacuation_rng;
static struct rng cold_rng;

static const char *const limits[] = { "0.5", "1", "4.5", "x" };
/* IdleTimeoutMs of successive configurations. */
static const int idle_limits[] = { 1000, 1500, 1000, 2500 };
static const char *const odd_values[] = {
	"{\"Service\":\"plain\",\"Addr\":\"127.0.0.1:99999\",\"Slots\":4}",
	"{\"Service\":\"engine\",\"State\":7}",
	"[]",
	"\xff\xfe",
	"",
};
static const char *const odd_items[] = {
	"{\"Key\":\"servers/odd\",\"Value\":\"%%%\",\"Rev\":9}",
	"7",
	"{\"Key\":\"servers/odd\",\"Value\":{},\"Rev\":-1}",
	"{\"Key\":7,\"Value\":\"\",\"Rev\":9}",
	"{\"Key\":\"servers/p1\\u0000\",\"Value\":\"eA==\",\"Rev\":9}",
};

usec_t
faults_idle_limit(int version)
{
	return idle_limits[version % (int)G_N_ELEMENTS(idle_limits)] *
	    USEC_PER_MSEC;
}

usec_t
faults_timeout(int version)
{
	return (version % 3 == 0 ? 5 : 8) * USEC_PER_SEC;
}

void
faults_put_config(void)
{
	int v = atomic_load(&soak.version) + 1;
	g_autofree char *more = loads_config();
	g_autofree char *route = g_strdup_printf(
	    "%s,{\"Name\":\"v%d\",\"Host\":\"a.example\",\"Prefix\":\"/v%d/\","
	    "\"Kind\":\"idempotent\",\"TimeoutMs\":2000,\"SloMs\":100,"
	    "\"Attempts\":2,\"Service\":\"plain\"}",
	    more, v, v);
	g_autofree char *c = harness_config(v, route);
	g_autofree char *idle = g_strdup_printf("\"IdleTimeoutMs\":%d",
	    idle_limits[v % (int)G_N_ELEMENTS(idle_limits)]);
	g_autofree char *timeout = g_strdup_printf(
	    "\"TimeoutMs\":%d", (int)(faults_timeout(v) / USEC_PER_MSEC));
	g_autoptr(GString) text = g_string_new(c);

	g_string_replace(text, "\"IdleTimeoutMs\":15000", idle, 0);
	g_string_replace(
	    text, "\"MaxBodyBytes\":10000", "\"MaxBodyBytes\":4194304", 0);
	g_string_replace(
	    text, "\"MaxConns\":99", "\"MaxConns\":99,\"ColdPerS\":6", 0);
	g_string_replace(text, "\"Services\":[",
	    "\"Services\":[{\"Name\":\"flood\",\"MaxConns\":999},"
	    "{\"Name\":\"floods\",\"MaxConns\":999},",
	    0);
	g_string_replace(text, "\"TimeoutMs\":8000", timeout, 0);
	if (v % 2 == 0)
		g_string_replace(text, "\"SloMs\":1000", "\"SloMs\":400", 0);
	atomic_store(&soak.version, v);
	fakeplat_put(soak.platform, "op/config", text->str);
}

/* Ends a process; advance() starts it again. */
static void
end_host(int i, int sig)
{
	if (ending[i])
		return;
	ending[i] = true;
	killed[i] = sig == SIGKILL;
	if (!killed[i]) {
		stops_begin(i);
		return;
	}
	judge_host_killed(i);
	kill(soak.hosts[i].pid, sig);
}

static void
stand_still(int i, usec_t time)
{
	if (standstill_until[i] > 0)
		return;
	judge_host_paused(i);
	kill(soak.hosts[i].pid, SIGSTOP);
	standstill_until[i] = clock_now() + time;
}

/* Several hosts stand still, as they run on one machine. */
static void
inject_standstill(struct rng *r, int h)
{
	usec_t longest = soak.planned ? USEC_PER_SEC : 3 * USEC_PER_SEC / 2;
	usec_t shortest = longest / 4;

	for (int i = 0; i < soak.n_hosts; i++) {
		if (i == h || rng_below(r, 3) == 0)
			stand_still(i,
			    shortest +
				(usec_t)rng_below(
				    r, (uint64_t)(longest - shortest)));
	}
}

/* The host stands still as its SIGTERM arrives. */
static void
stop_late(struct rng *r, int i)
{
	stand_still(i,
	    MIN_LATE + (usec_t)rng_below(r, (uint64_t)(MAX_LATE - MIN_LATE)));
	end_host(i, SIGTERM);
}

static void
silence_target(int t)
{
	proxy_set_fault(soak.proxy, soak.target_links[t], PROXY_CUT_BOTH);
	silent_until[t] = clock_now() + SILENCE_TIME;
	atomic_store(&soak.slow_until, silent_until[t]);
}

/* Ends the faults that are due, and starts the processes that have exited. */
static void
advance(void)
{
	usec_t now = clock_now();

	for (int i = 0; i < soak.n_hosts; i++) {
		if (standstill_until[i] > 0 && now >= standstill_until[i]) {
			stops_resume(i);
			standstill_until[i] = 0;
		}
		if (stop_at[i] > 0 && now >= stop_at[i]) {
			stop_at[i] = 0;
			end_host(i, SIGTERM);
		}
		if (!stops_has_exited(i))
			continue;
		if (!ending[i])
			soak_report(
			    "a process ended by itself", soak.hosts[i].id);
		if (harness_wait_exit(&soak.hosts[i]) != 0 && !killed[i])
			soak_report("a process did not exit with status 0",
			    soak.hosts[i].id);
		if (killed[i] || !ending[i])
			judge_host_exited(i);
		else
			stops_end(i);
		stop_at[i] = 0;
		if (injecting && rng_below(&stop_rng, 4) == 0)
			stop_at[i] = clock_now() +
			    (usec_t)rng_below(&stop_rng, SOON_TIME);
		atomic_store(&soak.last_versions[i], 0);
		standstill_until[i] = 0;
		harness_start_host(&soak.hosts[i]);
		ending[i] = false;
	}
	for (int i = 0; i < SOAK_TARGETS; i++) {
		if (silent_until[i] > 0 && now >= silent_until[i]) {
			proxy_set_fault(
			    soak.proxy, soak.target_links[i], PROXY_NONE);
			silent_until[i] = 0;
		}
	}
}

static void
advance_for(usec_t time)
{
	usec_t deadline = clock_now() + time;

	do {
		advance();
		g_usleep(STEP_TIME);
	} while (clock_now() < deadline);
}

/* Changes, signals and a standstill of one host in quick succession. */
static void
inject_series(struct rng *r, int h)
{
	int n = 2 + (int)rng_below(r, 4);

	for (int i = 0; i < n; i++) {
		switch (rng_below(r, 5)) {
		case 0:
			kill(soak.hosts[h].pid, SIGHUP);
			break;
		case 1:
			stand_still(h, (usec_t)rng_below(r, 1000000));
			break;
		case 2:
			end_host(h, SIGTERM);
			break;
		default:
			faults_put_config();
			break;
		}
		advance_for((usec_t)rng_below(r, 100000));
	}
}

/* Hosts that stop one after the other, while others still drain. */
static void
inject_stops(struct rng *r, int h)
{
	int n = 2 + (int)rng_below(r, 2);

	for (int i = 0; i < n; i++) {
		int host = (h + i) % soak.n_hosts;

		if (rng_below(r, 2) == 0)
			stop_late(r, host);
		else
			end_host(host, SIGTERM);
		advance_for((usec_t)rng_below(r, STOPS_GAP));
	}
}

static void
inject_store_fault(struct rng *r)
{
	static int n_odd;
	g_autofree char *key = g_strdup_printf("servers/odd%d", n_odd);

	switch (rng_below(r, 5)) {
	case 0:
		fakeplat_set_store_mode(
		    soak.platform, (enum fakeplat_store_mode)rng_below(r, 4));
		break;
	case 1:
		fakeplat_compact(soak.platform);
		break;
	case 2:
		if (has_copy)
			fakeplat_restore_store(soak.platform);
		else
			fakeplat_copy_store(soak.platform);
		has_copy = !has_copy;
		break;
	case 3:
		n_odd++;
		fakeplat_put(soak.platform, key,
		    odd_values[rng_below(r, G_N_ELEMENTS(odd_values))]);
		break;
	default:
		n_odd++;
		fakeplat_put_json(soak.platform, key,
		    odd_items[rng_below(r, G_N_ELEMENTS(odd_items))]);
		break;
	}
}

static void
inject_target_fault(struct rng *r, int t)
{
	switch (rng_below(r, soak.planned ? 5 : 6)) {
	case 0:
		fakeplat_drain_target(soak.platform, soak_targets[t].id);
		break;
	case 1:
		fakeplat_set_limit(soak.platform, soak_targets[t].id,
		    limits[rng_below(r, G_N_ELEMENTS(limits))]);
		break;
	case 2:
		fakeplat_set_repeat(
		    soak.platform, soak_targets[t].id, FAKEPLAT_REPEAT_REFUSAL);
		break;
	case 3:
		silence_target(t);
		break;
	case 4:
		for (int i = 0; i < SOAK_TARGETS; i++) {
			if (strcmp(soak_targets[i].service,
				soak_targets[t].service) == 0)
				silence_target(i);
		}
		break;
	default:
		fakeplat_stop_target(soak.platform, soak_targets[t].id, true);
		break;
	}
}

/*
 * Injects one random fault.  Some faults last until clear_faults, so that
 * faults overlap.
 */
static void
inject_fault(struct rng *r)
{
	int h = (int)rng_below(r, soak.n_hosts);
	int t = (int)rng_below(r, SOAK_TARGETS);
	int link = soak.planned || rng_below(r, 2) == 0 ? soak.store_links[h]
							: soak.target_links[t];
	enum fault f = draws[rng_below(r, G_N_ELEMENTS(draws))];

	printf("%lld ms: %s, host %s, target %s\n",
	    (long long)(clock_now() / USEC_PER_MSEC), fault_names[f],
	    soak.hosts[h].id, soak_targets[t].id);
	switch (f) {
	case RESET:
		proxy_reset(soak.proxy, link);
		break;
	case SILENCE:
		proxy_silence(soak.proxy, link);
		break;
	case LINK:
		proxy_set_fault(soak.proxy, link,
		    (enum proxy_fault)(1 + rng_below(r, PROXY_FAULTS - 1)));
		break;
	case KILL:
		end_host(h, soak.planned ? SIGTERM : SIGKILL);
		break;
	case STOP:
		stop_late(r, h);
		break;
	case STANDSTILL:
		inject_standstill(r, h);
		break;
	case HANGUP:
		kill(soak.hosts[h].pid, SIGHUP);
		break;
	case STORE:
		inject_store_fault(r);
		break;
	case TARGET:
		inject_target_fault(r, t);
		break;
	case SERIES:
		inject_series(r, h);
		break;
	case CONFIG:
		faults_put_config();
		break;
	case STOPS:
		inject_stops(r, h);
		break;
	}
}

void
faults_evacuate(bool begins)
{
	if (begins)
		fakeplat_put(soak.platform, SOAK_EVACUATION, "{}");
	else
		fakeplat_delete(soak.platform, SOAK_EVACUATION);
}

/* Clears some of the lasting faults at random, or all of them. */
static void
clear_faults(struct rng *r, bool all)
{
	for (int i = 0; i < soak.n_hosts; i++) {
		if (all || rng_below(r, 3) == 0)
			proxy_set_fault(
			    soak.proxy, soak.store_links[i], PROXY_NONE);
	}
	for (int i = 0; i < SOAK_TARGETS; i++) {
		if (!all && rng_below(r, 3) != 0)
			continue;
		/* A silence ends by itself. */
		if (silent_until[i] == 0)
			proxy_set_fault(
			    soak.proxy, soak.target_links[i], PROXY_NONE);
		fakeplat_stop_target(soak.platform, soak_targets[i].id, false);
		fakeplat_set_repeat(
		    soak.platform, soak_targets[i].id, FAKEPLAT_REPEAT_NONE);
		fakeplat_ready_target(soak.platform, soak_targets[i].id);
		fakeplat_set_limit(soak.platform, soak_targets[i].id, NULL);
	}
	if (all || rng_below(r, 2) == 0)
		fakeplat_set_store_mode(soak.platform, FAKEPLAT_STORE_OK);
}

void
faults_run(uint64_t seed, int seconds, void (*check)(int host))
{
	struct rng r;
	usec_t deadline = clock_now() + seconds * USEC_PER_SEC;

	rng_init(&r, seed);
	rng_init(&stop_rng, seed + 1);
	rng_init(&evacuation_rng, seed + 2);
	rng_init(&cold_rng, seed + 3);
	injecting = true;
	while (clock_now() < deadline) {
		inject_fault(&r);
		if (rng_below(&evacuation_rng, 4) == 0)
			faults_evacuate(rng_below(&evacuation_rng, 2) == 0);
		if (rng_below(&cold_rng, 3) == 0)
			fakeplat_set_cold(soak.platform,
			    soak_targets[rng_below(&cold_rng, SOAK_TARGETS)].id,
			    (int)rng_below(&cold_rng, MAX_COLD_MS));
		if (rng_below(&r, 3) == 0)
			clear_faults(&r, false);
		check((int)rng_below(&r, soak.n_hosts));
		advance_for(100000 + (usec_t)rng_below(&r, 400000));
	}
	injecting = false;
	advance_for(SILENCE_TIME);
	for (int i = 0; i < soak.n_hosts; i++) {
		while (ending[i])
			advance_for(STEP_TIME);
	}
	clear_faults(&r, true);
	/* Hosts may keep one that a restored store lacks. */
	faults_evacuate(true);
	faults_evacuate(false);
}
