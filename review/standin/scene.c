#include "review/standin/scene.h"
#include "review/standin/record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The IPs 127.A.B.x of a case: A and B come from its process id. */
#define NETS      200
#define FIRST_NET 20

void
scene_open(struct scene *x, int argc, char **argv, const char *config)
{
	int pid = (int)getpid();
	int a = pid / NETS % NETS + FIRST_NET;
	int b = pid % NETS + FIRST_NET;

	*x = (struct scene){
		.dir = argc > 1 ? argv[1] : ".",
		.trouble = argc < 4 || strcmp(argv[3], "0") != 0,
	};
	snprintf(x->net, sizeof(x->net), "127.%d.%d.", a, b);
	snprintf(x->base, sizeof(x->base), "127.%d.%d.250", a, b);
	record_open(argc > 2 ? argv[2] : "record.txt");
	x->store = store_start(x->base);
	store_put(x->store, "op/config", config);
}

struct runner *
scene_add_runner(
    struct scene *x, const char *name, const struct runner_opts *opts)
{
	struct runner_opts o = *opts;

	o.store = x->store;
	o.ip = x->base;
	o.id = g_strdup_printf("i-%s%d", name, x->n_runners);
	o.zone = "zone-a";
	x->runners[x->n_runners] = runner_start(&o);
	return x->runners[x->n_runners++];
}

void
scene_start_hosts(struct scene *x, int n)
{
	if (fleet_start(&x->fleet,
		&(struct fleet_opts){
		    x->dir, store_addr(x->store), x->net, n }))
		return;
	fprintf(stderr, "the hosts don't get ready\n");
	fleet_end(&x->fleet);
	exit(SCENE_FAILED);
}

bool
scene_find_run(const struct scene *x, const char *attempt, struct arrival *out)
{
	bool found = false;

	for (int i = 0; i < x->n_runners && !found; i++) {
		GArray *v = runner_arrivals(x->runners[i]);

		for (guint k = 0; k < v->len && !found; k++) {
			*out = g_array_index(v, struct arrival, k);
			found = out->run && strcmp(out->attempt, attempt) == 0;
		}
		g_array_unref(v);
	}
	return found;
}

void
scene_wait(int64_t until)
{
	sleep_ms(until - record_now());
}

int
scene_served(const GArray *attempts)
{
	int n = 0;

	for (guint i = 0; i < attempts->len; i++) {
		const struct attempt *a =
		    &g_array_index(attempts, struct attempt, i);

		n += a->status == 200 && a->complete;
	}
	return n;
}

int
scene_close(const GArray *attempts, int n_broken, const char *verdict)
{
	int served = scene_served(attempts);

	record("verdict: %u attempts, %d served; %s", attempts->len, served,
	    verdict);
	printf("%u attempts, %d served; %s\n", attempts->len, served, verdict);
	record_close();
	if (n_broken > 0)
		return SCENE_BROKEN;
	return served * 2 < (int)attempts->len ? SCENE_FAILED : SCENE_HELD;
}
