/* What a stop of the host does to the jobs that it coordinates. */
#include "entry/coordinator_state.h"
#include "base/log.h"

#include <inttypes.h>

/* Between the two answers to a job that is handed back. */
#define REPEAT_TIME (100 * USEC_PER_MSEC)

/* Time that a call takes that is sent next; slowness is that of its target. */
static usec_t
next_call(const struct pool *p, double slowness)
{
	uint32_t n = MIN(p->batch.items->len, p->batch.config.batch);

	return (usec_t)(slowness *
	    (double)batch_long_duration(&p->batch, MAX(n, 1)));
}

bool
coordinator_begins_call(const struct coordinator *c, const struct pool *p,
    double slowness, usec_t now)
{
	return !stopping_hands_back(
	    &c->stopping, now + next_call(p, slowness), now);
}

/* Returns the calls to the targets of a pool, by the ids of these. */
static GHashTable *
calls_by_target(const struct coordinator *c, const struct pool *p)
{
	GHashTable *calls = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->calls);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		struct batch_call *call = v;

		if (call->pool == p)
			g_hash_table_insert(calls, call->target_id, call);
	}
	return calls;
}

/* Expected end of the pool's next call, which waits for a target. */
static usec_t
earliest_end(const struct coordinator *c, const struct pool *p, usec_t now)
{
	struct pool_targets x = coordinator_pool_targets(c, p, now);
	guint n = x.all != NULL ? x.all->len : 0;
	struct stopping_target *v = g_new0(struct stopping_target, n + 1);
	g_autoptr(GHashTable) calls = calls_by_target(c, p);
	usec_t end;

	for (guint i = 0; i < n; i++) {
		const struct target_load *t = x.all->pdata[i];
		const struct batch_call *call =
		    g_hash_table_lookup(calls, t->entry.id);

		v[i].free_at = MAX(t->aside_until, t->rest_until);
		if (call != NULL)
			v[i].free_at =
			    MAX(v[i].free_at, call->started + call->expected);
		v[i].slowness = target_speed_is_slow(&t->speed, &x.speeds)
		    ? target_speed_relative(&t->speed, &x.speeds)
		    : 1;
	}
	end = stopping_earliest_end(v, n, next_call(p, 1), now);
	g_free(v);
	return end;
}

/* Expected end of a job that is not answered. */
static usec_t
job_end(const struct coordinator_job *j)
{
	usec_t end = j->calls_end;

	if (j->started < j->n && j->pool != NULL)
		end = MAX(end, j->pool->earliest_end);
	return end;
}

/*
 * Hands a job back.  The other host gives it to the next coordinator; a
 * request of this host, which exits too, is rejected as not run.
 */
static void
hand_back(struct coordinator *c, struct coordinator_job *j, usec_t now)
{
	log_text(LOG_LVL_INFO, "stage-handed-back",
	    "request %.*s: %u of %u pieces are missing, %" PRId64
	    " ms before the exit",
	    STR_FMT(str_of(&j->id)), j->missing, j->n,
	    (c->stopping.exit_at - now) / USEC_PER_MSEC);
	j->moved = true;
	if (j->from == NULL)
		coordinator_refuse_job(c, j, 0);
	c->counts.stop_handed_back++;
	coordinator_finish_job(c, j, now);
}

/*
 * Sends the answer once more in time: a lost one would be asked for when this
 * host may be gone.  Returns whether that is still to be done.
 */
static bool
repeat_answer(struct coordinator *c, struct coordinator_job *j, usec_t now)
{
	if (!j->moved || j->from == NULL || j->repeated)
		return false;
	if (now - j->replied_at < REPEAT_TIME)
		return true;
	j->repeated = true;
	coordinator_reply(c, j);
	return false;
}

bool
coordinator_stop_tick(struct coordinator *c, usec_t now)
{
	GHashTableIter it;
	gpointer v;
	bool repeats = false;

	if (c->stopping.signal_at == 0)
		return false;
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;

		p->earliest_end = earliest_end(c, p, now);
	}
	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct coordinator_job *j = v;

		if (!j->replied &&
		    stopping_hands_back(&c->stopping, job_end(j), now))
			hand_back(c, j, now);
		repeats = repeat_answer(c, j, now) || repeats;
	}
	return repeats;
}

void
coordinator_drain(struct coordinator *c, const struct stopping *stopping)
{
	GHashTableIter it;
	gpointer v;
	usec_t now = clock_now();

	c->stopping = *stopping;
	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct coordinator_job *j = v;

		if (j->replied || j->started > 0)
			continue;
		j->moved = true;
		coordinator_finish_job(c, j, now);
	}
	coordinator_stop_tick(c, now);
}

void
coordinator_cut(struct coordinator *c)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct coordinator_job *j = v;

		/* Those of this host end with their requests. */
		if (j->replied || j->from == NULL)
			continue;
		LOG_EACH(LOG_LVL_NOTICE, "stage-job-cut",
		    { "request", str_of(&j->id) },
		    { "from", str_from(j->from) },
		    { "cause",
			j->in_calls > 0
			    ? STR("its calls had not ended when the host "
				  "exited")
			    : STR("its pieces waited when the host exited") });
		c->counts.stop_cut++;
		j->moved = true;
		coordinator_finish_job(c, j, clock_now());
	}
}
