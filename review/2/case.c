/*
 * Hosts get SIGTERM one after the other, while callers use connections that
 * they keep open.  No request that a runner has begun to run may end without
 * an answer.
 */
#include "review/standin/record.h"
#include "review/standin/scene.h"

#include <stdio.h>

#define N_HOSTS     2
#define N_RUNNERS   4
#define N_CALLERS   200
#define WARM_UP_MS  8000
#define RUN_MS      100000
#define GAP_MS      3700 /* from one SIGTERM to the next */
#define POLL_MS     20
#define GRACE_MS    8000
#define DEADLINE_MS 1500
#define PAUSE_MIN   3200
#define PAUSE_MAX   5200 /* IdleTimeoutMs is 15 s */

static const char config[] =
    "{\"Version\":7,\"Routes\":[{\"Name\":\"payout-commit\","
    "\"Host\":\"ledger.example\",\"Prefix\":\"/payout/\","
    "\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"SloMs\":300,"
    "\"Priority\":2,\"Service\":\"ledger-api\",\"Attempts\":1,"
    "\"Public\":false}],\"Services\":[{\"Name\":\"ledger-api\","
    "\"HealthPath\":\"/healthz\",\"MaxConns\":52,\"Protocol\":\"h1\","
    "\"Tls\":false}]," SCENE_CONFIG_END;

/* Runners of one service differ in speed. */
static const int64_t work_ms[N_RUNNERS] = { 50, 60, 60, 70 };

static struct scene scene;

/* Times of all SIGTERMs of each host. */
static GArray *terms[N_HOSTS];

/* Starts the hosts again that have ended. */
static void
restart_ended(void)
{
	for (int i = 0; i < N_HOSTS; i++) {
		if (fleet_wait_host(&scene.fleet, i, record_now()) != -1)
			fleet_start_host(&scene.fleet, i);
	}
}

/* Stops and starts the hosts in turn until the time. */
static void
roll_hosts(int64_t until)
{
	for (int i = 0; record_now() + GAP_MS < until; i = (i + 1) % N_HOSTS) {
		int64_t next = record_now() + GAP_MS;

		if (scene.trouble) {
			fleet_stop_host(&scene.fleet, i);
			g_array_append_val(
			    terms[i], scene.fleet.hosts[i].term_at);
		}
		while (record_now() < next) {
			restart_ended();
			sleep_ms(POLL_MS);
		}
	}
}

/*
 * Returns when a host had got the SIGTERM that a request's end at a time is
 * counted for, until one second after GraceS; or -1.
 */
static int64_t
term_before(int host, int64_t at)
{
	for (guint i = 0; i < terms[host]->len; i++) {
		int64_t t = g_array_index(terms[host], int64_t, i);

		if (at >= t && at <= t + GRACE_MS + MSEC_PER_SEC)
			return t;
	}
	return -1;
}

/*
 * Returns how many requests were lost by the rule: run, and their connection
 * ended without a complete answer before the deadline.
 */
static int
count_lost(const GArray *attempts)
{
	int lost = 0;

	for (guint i = 0; i < attempts->len; i++) {
		const struct attempt *a =
		    &g_array_index(attempts, struct attempt, i);
		struct arrival run;
		int64_t term;

		if (a->complete || !scene_find_run(&scene, a->id, &run))
			continue;
		term = term_before(a->host, a->ended);
		record("verdict %s: run, its connection ended after %d ms of "
		       "%d without an answer; sent %d ms after the SIGTERM of "
		       "%s",
		    a->id, (int)(a->ended - a->sent), DEADLINE_MS,
		    term < 0 ? -1 : (int)(a->sent - term),
		    scene.fleet.hosts[a->host].name);
		lost += term >= 0 && a->ended - a->sent < DEADLINE_MS;
	}
	return lost;
}

int
main(int argc, char **argv)
{
	g_autofree char *verdict = NULL;
	struct callers *c;
	int lost;

	scene_open(&scene, argc, argv, config);
	for (int i = 0; i < N_RUNNERS; i++)
		scene_add_runner(&scene, "ledger",
		    &(struct runner_opts){ .service = "ledger-api",
			.slots = 6,
			.work_ms = work_ms[i] });
	for (int i = 0; i < N_HOSTS; i++)
		terms[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	scene_start_hosts(&scene, N_HOSTS);
	c = callers_start(&(struct callers_opts){ .fleet = &scene.fleet,
	    .n = N_CALLERS,
	    .prefix = "p",
	    .host = "ledger.example",
	    .path = "/payout/1",
	    .key = SCENE_KEY,
	    .deadline_ms = DEADLINE_MS,
	    .pause_min_ms = PAUSE_MIN,
	    .pause_max_ms = PAUSE_MAX });
	sleep_ms(WARM_UP_MS);
	roll_hosts(RUN_MS);
	callers_stop(c);
	fleet_end(&scene.fleet);
	lost = count_lost(callers_attempts(c));
	verdict = g_strdup_printf(
	    "%d requests were run and lost around SIGTERMs", lost);
	return scene_close(callers_attempts(c), lost, verdict);
}
