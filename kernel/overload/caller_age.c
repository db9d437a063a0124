#include "kernel/overload/caller_age.h"

/* Times are counted in buckets, each a twentieth longer than the last one. */
#define BUCKETS     160
#define FIRST_TIME  (20 * USEC_PER_MSEC)
/* Buckets over which the times of first attempts are spread. */
#define SPREAD      4
/* One caller in this many has a time within a usual spread. */
#define USUAL_PART  4
/* Its first bucket has at least this part of the fullest one. */
#define EDGE_PART   3
/* Callers of a route that must be known before any time is usual. */
#define MIN_COUNT   8
/* The counts of a route are halved whenever they sum up to this. */
#define MAX_COUNT   512
/* Callers that were rejected come back within this time. */
#define RETURN_TIME (10 * USEC_PER_SEC)
/* Routes that are remembered; all are forgotten when there are more. */
#define MAX_ROUTES  4096

struct route_times {
	uint32_t buckets[BUCKETS];
	uint32_t count;
	usec_t learns_from; /* callers that come before may have come back */
};

void
caller_age_init(struct caller_age *a)
{
	a->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static usec_t
next_edge(usec_t edge)
{
	return edge + edge / 20;
}

static uint32_t
bucket_of(usec_t time)
{
	uint32_t i = 0;

	for (usec_t edge = next_edge(FIRST_TIME);
	     edge <= time && i < BUCKETS - 1; edge = next_edge(edge))
		i++;
	return i;
}

/* Returns the shortest time of a bucket. */
static usec_t
bucket_start(uint32_t i)
{
	usec_t edge = FIRST_TIME;

	while (i-- > 0)
		edge = next_edge(edge);
	return edge;
}

static void
record(struct route_times *t, uint32_t i)
{
	t->buckets[i]++;
	if (++t->count < MAX_COUNT)
		return;
	t->count = 0;
	for (i = 0; i < BUCKETS; i++) {
		t->buckets[i] /= 2;
		t->count += t->buckets[i];
	}
}

/* Whether the times of first attempts are usual that begin with bucket i. */
static bool
is_usual(const struct route_times *t, uint32_t i)
{
	uint32_t n = 0;
	uint32_t most = 1;

	for (uint32_t k = i; k < i + SPREAD && k < BUCKETS; k++) {
		n += t->buckets[k];
		if (t->buckets[k] > most)
			most = t->buckets[k];
	}
	return t->buckets[i] * EDGE_PART >= most && n * USUAL_PART >= t->count;
}

/*
 * Returns how much shorter a time is than the usual ones next to it; 0 if it is
 * a usual one itself, or longer than all of them.
 */
static usec_t
missing_time(const struct route_times *t, usec_t time)
{
	uint32_t own = bucket_of(time);
	uint32_t i = own + 1 > SPREAD ? own + 1 - SPREAD : 0;

	if (t->count < MIN_COUNT)
		return 0;
	while (i < BUCKETS && !is_usual(t, i))
		i++;
	return i < BUCKETS && i > own ? bucket_start(i) - time : 0;
}

static struct route_times *
times_of(struct caller_age *a, const char *route)
{
	struct route_times *t = g_hash_table_lookup(a->routes, route);

	if (t != NULL)
		return t;
	if (g_hash_table_size(a->routes) >= MAX_ROUTES)
		g_hash_table_remove_all(a->routes);
	t = g_new0(struct route_times, 1);
	g_hash_table_insert(a->routes, g_strdup(route), t);
	return t;
}

usec_t
caller_age_estimate(
    struct caller_age *a, const char *route, usec_t time_left, usec_t now)
{
	struct route_times *t = times_of(a, route);
	usec_t age = missing_time(t, time_left);

	if (now >= t->learns_from)
		record(t, bucket_of(time_left));
	return age;
}

usec_t
caller_age_aim(struct caller_age *a, const char *route,
    const struct caller_request *q, usec_t now)
{
	usec_t age = 0;

	if (q->time_left > 0 && !q->is_resume)
		age = caller_age_estimate(a, route, q->time_left, now);
	return q->arrived + q->objective - age;
}

void
caller_age_rejected(struct caller_age *a, const char *route, usec_t now)
{
	times_of(a, route)->learns_from = now + RETURN_TIME;
}

void
caller_age_free(struct caller_age *a)
{
	g_hash_table_destroy(a->routes);
}
