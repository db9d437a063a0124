/*
 * A request needs as many pieces of a stage as a runner of that stage takes in
 * one call.  The requests of other callers, which runners have begun to run,
 * may not lose their connections: a process that ends by itself is no excuse.
 */
#include "review/standin/record.h"
#include "review/standin/scene.h"

#include <stdio.h>
#include <sys/wait.h>

#define N_HOSTS      3
#define N_LM_RUNNERS 4
#define N_RUNNERS    5 /* of the stage */
#define N_CALLERS    60
/* Batch of member-desk. */
#define BATCH        "66"
#define PIECES       66
/* The largest number in the sheets. */
#define USUAL_PIECES 40
#define LARGE_AT     6000
#define N_LARGE      6
#define END_AT       16000
/* Connections that may be closed without an answer. */
#define ALLOWED      3
#define DEADLINE_MS  12000

static const char config[] =
    "{\"Version\":7,\"Routes\":[{\"Name\":\"yard-query\","
    "\"Host\":\"yard.example\",\"Prefix\":\"/query/\","
    "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"SloMs\":1900,"
    "\"Priority\":0,\"Service\":\"valuer-lm\",\"Attempts\":1,"
    "\"Stages\":[{\"Service\":\"member-desk\",\"After\":[],"
    "\"Bytes\":6000}],\"Public\":false,\"Sticky\":true,"
    "\"CanResume\":false,\"GapTargetMs\":300}],\"Services\":[{"
    "\"Name\":\"valuer-lm\",\"HealthPath\":\"/healthz\","
    "\"MaxConns\":220,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{"
    "\"Slots\":48,\"KvTokens\":695480,\"KvTokenBytes\":35136,"
    "\"LinkMbps\":260000.0}},{\"Name\":\"member-desk\","
    "\"HealthPath\":\"/healthz\",\"MaxConns\":220,\"Protocol\":\"h1\","
    "\"Tls\":false,\"Pieces\":{\"Slots\":1,\"Queue\":2,"
    "\"Batch\":" BATCH ",\"CallMs\":240.0,\"ItemMs\":3.1,"
    "\"HeadroomMb\":0.72,\"HandleS\":4.0,\"LinkMbps\":10000}}]"
    "," SCENE_CONFIG_END;

static struct scene scene;

/* Returns how many hosts a signal has ended. */
static int
count_crashes(void)
{
	int n = 0;

	for (int i = 0; i < N_HOSTS; i++) {
		int status = fleet_wait_host(&scene.fleet, i, record_now());

		if (status == -1)
			continue;
		n++;
		record("verdict: host %s ended by itself, %s %d",
		    scene.fleet.hosts[i].name,
		    WIFSIGNALED(status) ? "signal" : "status",
		    WIFSIGNALED(status) ? WTERMSIG(status)
					: WEXITSTATUS(status));
	}
	return n;
}

/*
 * Returns how many requests of kept connections were run by a runner and got no
 * complete answer.
 */
static int
count_lost(const GArray *attempts)
{
	int lost = 0;

	for (guint i = 0; i < attempts->len; i++) {
		const struct attempt *a =
		    &g_array_index(attempts, struct attempt, i);
		struct arrival run;

		if (a->first || a->complete ||
		    !scene_find_run(&scene, a->id, &run))
			continue;
		record("verdict %s: run, its connection to %s ended after %d "
		       "ms, status %d",
		    a->id, scene.fleet.hosts[a->host].name,
		    (int)(a->ended - a->sent), a->status);
		lost++;
	}
	return lost;
}

static struct callers *
start_callers(int n, const char *prefix, int pieces)
{
	return callers_start(&(struct callers_opts){ .fleet = &scene.fleet,
	    .n = n,
	    .prefix = prefix,
	    .host = "yard.example",
	    .path = "/query/1",
	    .key = SCENE_KEY,
	    .deadline_ms = DEADLINE_MS,
	    .has_prompt = true,
	    .pieces = pieces,
	    .pause_min_ms = 500,
	    .pause_max_ms = 1500 });
}

int
main(int argc, char **argv)
{
	g_autofree char *verdict = NULL;
	struct callers *usual;
	struct callers *large;
	int64_t start;
	int crashes;
	int lost;

	scene_open(&scene, argc, argv, config);
	for (int i = 0; i < N_LM_RUNNERS; i++)
		scene_add_runner(&scene, "valuer",
		    &(struct runner_opts){ .service = "valuer-lm",
			.slots = 48,
			.work_ms = 100,
			.events = 42,
			.pause_ms = 25 });
	for (int i = 0; i < N_RUNNERS; i++)
		scene_add_runner(&scene, "desk",
		    &(struct runner_opts){
			.service = "member-desk", .slots = 1, .work_ms = 260 });
	scene_start_hosts(&scene, N_HOSTS);
	start = record_now();
	usual = start_callers(N_CALLERS, "usual", 4);
	scene_wait(start + LARGE_AT);
	large = start_callers(
	    N_LARGE, "large", scene.trouble ? PIECES : USUAL_PIECES);
	scene_wait(start + END_AT);
	callers_stop(usual);
	callers_stop(large);
	crashes = count_crashes();
	fleet_end(&scene.fleet);
	lost = count_lost(callers_attempts(usual));
	verdict = g_strdup_printf("%d requests of other callers lost; %d of %d "
				  "hosts ended by themselves; %d of "
				  "%u requests with many pieces served",
	    lost, crashes, N_HOSTS, scene_served(callers_attempts(large)),
	    callers_attempts(large)->len);
	return scene_close(
	    callers_attempts(usual), lost > ALLOWED ? lost : 0, verdict);
}
