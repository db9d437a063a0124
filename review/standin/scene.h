/* What all cases share: arguments, addresses, store, runners and hosts. */
#ifndef REVIEW_STANDIN_SCENE_H
#define REVIEW_STANDIN_SCENE_H

#include "review/standin/caller.h"
#include "review/standin/fleet.h"
#include "review/standin/runner.h"
#include "review/standin/store.h"

#define SCENE_KEY     "9dnn2ctnfzs989anu6ws"
#define SCENE_RUNNERS 32

/* Exit statuses of a case. */
#define SCENE_HELD    0
#define SCENE_BROKEN  1
#define SCENE_FAILED  2 /* the case could not run */

/* The limits and the tenants that end each configuration. */
#define SCENE_CONFIG_END                                                  \
	"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"  \
	"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[" \
	"{\"Name\":\"bozi300\",\"ApiKeys\":[\"" SCENE_KEY                 \
	"\"],\"Priority\":1}]}"

struct scene {
	const char *dir; /* for settings and logs */
	bool trouble;    /* with the disruption */
	char net[32];    /* "127.A.B.", for the hosts */
	char base[32];   /* IP of the store and the runners */
	struct store *store;
	struct fleet fleet;
	struct runner *runners[SCENE_RUNNERS];
	int n_runners;
};

/* Reads the arguments DIR RECORD TROUBLE and starts the store. */
void scene_open(struct scene *x, int argc, char **argv, const char *config);
/*
 * Adds a runner with the options, besides store, IP, id and zone; its id is
 * made of the name and a number.
 */
struct runner *scene_add_runner(
    struct scene *x, const char *name, const struct runner_opts *o);
/* Starts n hosts; ends the case if they don't get ready. */
void scene_start_hosts(struct scene *x, int n);
/* Finds what reached a runner of an attempt that was run; false if nothing. */
bool scene_find_run(
    const struct scene *x, const char *attempt, struct arrival *out);
/* Sleeps until a time of the record. */
void scene_wait(int64_t until);
/* Number of attempts that were answered completely with status 200. */
int scene_served(const GArray *attempts);
/*
 * Writes the verdict and closes the record; returns the exit status.  A case
 * in which less than half of the attempts are served could not run.
 */
int scene_close(const GArray *attempts, int n_broken, const char *verdict);

#endif
