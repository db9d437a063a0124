/*
 * The store comes back from a copy some seconds old, in a deployment of so many
 * hosts that most of them get the store's changes from others.  When the store
 * is stable again, a runner leaves and its entry is removed.  No request may
 * reach it later than DrainMs after the store has acknowledged that.
 */
#include "review/standin/record.h"
#include "review/standin/scene.h"

#include <stdio.h>

#define N_HOSTS     18
#define N_RUNNERS   10
#define N_CALLERS   90
#define DRAIN_MS    2000
#define DEADLINE_MS 12000
#define LEAVES      0 /* the runner that leaves */

/* Times in ms from the start. */
#define COPY_AT     3000
#define AWAY_AT     9000
#define BACK_AT     9300
/* StableMs after the store is back, and a little more. */
#define LEAVE_AT    (BACK_AT + 3300)
#define EXIT_AT     (LEAVE_AT + 6000)
#define END_AT      (EXIT_AT + 2500)

static const char config[] =
    "{\"Version\":7,\"Routes\":[{\"Name\":\"yard-query\","
    "\"Host\":\"yard.example\",\"Prefix\":\"/query/\","
    "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"SloMs\":1900,"
    "\"Priority\":0,\"Service\":\"valuer-lm\",\"Attempts\":1,"
    "\"Public\":false,\"Sticky\":true,\"CanResume\":false,"
    "\"GapTargetMs\":300}],\"Services\":[{\"Name\":\"valuer-lm\","
    "\"HealthPath\":\"/healthz\",\"MaxConns\":220,\"Protocol\":\"h1\","
    "\"Tls\":false,\"Engine\":{\"Slots\":48,\"KvTokens\":695480,"
    "\"KvTokenBytes\":35136,\"LinkMbps\":260000.0}}]," SCENE_CONFIG_END;

static struct scene scene;

/* When the store acknowledged that the runner's entry is removed. */
static int64_t left_at;

/* Returns how many requests reached the runner against the rule. */
static int
count_broken(int *lost)
{
	GArray *v = runner_arrivals(scene.runners[LEAVES]);
	int broken = 0;

	for (guint i = 0; i < v->len; i++) {
		const struct arrival *x = &g_array_index(v, struct arrival, i);

		if (!x->run || x->at <= left_at + DRAIN_MS)
			continue;
		record("verdict %s: reached %s %d ms after the store had "
		       "acknowledged that its entry is removed%s",
		    x->attempt, runner_id(scene.runners[LEAVES]),
		    (int)(x->at - left_at),
		    x->complete ? "" : "; its stream was broken off");
		broken++;
		*lost += !x->complete;
	}
	g_array_unref(v);
	return broken;
}

static void
play(void)
{
	struct runner *r = scene.runners[LEAVES];
	int64_t start = record_now();

	scene_wait(start + COPY_AT);
	store_copy(scene.store);
	scene_wait(start + AWAY_AT);
	if (scene.trouble) {
		store_set_away(scene.store, true);
		scene_wait(start + BACK_AT);
		store_restore(scene.store);
		store_set_away(scene.store, false);
	}
	scene_wait(start + LEAVE_AT);
	runner_leave(r);
	left_at = record_now();
	scene_wait(start + EXIT_AT);
	runner_exit(r);
	scene_wait(start + END_AT);
}

int
main(int argc, char **argv)
{
	g_autofree char *verdict = NULL;
	struct callers *c;
	int broken;
	int lost = 0;

	scene_open(&scene, argc, argv, config);
	for (int i = 0; i < N_RUNNERS; i++)
		scene_add_runner(&scene, "valuer",
		    &(struct runner_opts){ .service = "valuer-lm",
			.slots = 48,
			.work_ms = 300,
			.events = 30,
			.pause_ms = 40 });
	scene_start_hosts(&scene, N_HOSTS);
	c = callers_start(&(struct callers_opts){ .fleet = &scene.fleet,
	    .n = N_CALLERS,
	    .prefix = "y",
	    .host = "yard.example",
	    .path = "/query/1",
	    .key = SCENE_KEY,
	    .deadline_ms = DEADLINE_MS,
	    .has_prompt = true,
	    .pause_min_ms = 300,
	    .pause_max_ms = 900 });
	play();
	callers_stop(c);
	fleet_end(&scene.fleet);
	broken = count_broken(&lost);
	verdict = g_strdup_printf("%d requests reached the runner that had "
				  "left too late, %d of these were broken off",
	    broken, lost);
	return scene_close(callers_attempts(c), broken, verdict);
}
