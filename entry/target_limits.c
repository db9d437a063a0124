#include "entry/target_limits.h"
#include "base/log.h"
#include "kernel/arrival.h"
#include "kernel/overload/target_cold.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define MICRO         1e6
/* How often targets are looked for that have become cold or warm. */
#define COLD_INTERVAL (500 * USEC_PER_MSEC)

struct target_limits {
	struct target_limits_opts o;
	GArray *peers; /* struct view_peer */
	/*
	 * Ids of the targets that have a limit, or had one lately; a set of
	 * strings.
	 */
	GHashTable *limited;
	struct arrival arrival; /* of answers and messages */
	int n_cold;             /* targets */
	usec_t cold_at;         /* when the targets were last searched for it */
};

struct target_limits *
target_limits_new(const struct target_limits_opts *o)
{
	struct target_limits *x = xcalloc(1, sizeof(*x));

	x->o = *o;
	x->peers = g_array_new(FALSE, TRUE, sizeof(struct view_peer));
	x->limited =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return x;
}

/* Whether the hosts are those of before, so that the shares stay. */
static bool
same_hosts(const struct target_limits *x, const GArray *peers)
{
	bool same = x->peers->len == peers->len;

	for (guint i = 0; same && i < peers->len; i++) {
		const struct view_peer *a =
		    &g_array_index(x->peers, struct view_peer, i);
		const struct view_peer *b =
		    &g_array_index(peers, struct view_peer, i);

		same = strcmp(a->id, b->id) == 0 && a->capacity == b->capacity;
	}
	return same;
}

void
target_limits_set_hosts(
    struct target_limits *x, const GArray *peers, usec_t now)
{
	bool same = same_hosts(x, peers);
	struct rendezvous_host *v;

	g_array_set_size(x->peers, 0);
	g_array_append_vals(x->peers, peers->data, peers->len);
	if (same)
		return;
	v = xcalloc(peers->len, sizeof(*v));
	for (guint i = 0; i < peers->len; i++) {
		const struct view_peer *p =
		    &g_array_index(x->peers, struct view_peer, i);

		v[i] = (struct rendezvous_host){ p->id, p->capacity };
	}
	loads_set_hosts(x->o.loads, v, peers->len, x->o.self, now);
	free(v);
}

static void
send_to_others(const struct target_limits *x, const peer_body *body)
{
	for (guint i = 0; i < x->peers->len; i++) {
		const struct view_peer *p =
		    &g_array_index(x->peers, struct view_peer, i);

		if (strcmp(p->id, x->o.self) != 0)
			rpc_send(x->o.rpc, p->rpc, body);
	}
}

static void
tell(struct target_limits *x, const struct target_load *t, usec_t now)
{
	peer_body body = { .kind = PEER_LIMIT };
	peer_limit *m = &body.peer_body_u.limit;

	m->target = (char *)t->entry.id;
	m->micro_rate = (uint64_t)(t->limit.rate * MICRO);
	m->age_ms = (u_int)((now - t->limit.named_at) / USEC_PER_MSEC);
	send_to_others(x, &body);
}

static void
limit_changed(struct target_limits *x, struct target_load *t, double before,
    const char *source, usec_t now)
{
	loads_limit_changed(x->o.loads, t, now);
	g_hash_table_add(x->limited, g_strdup(t->entry.id));
	log_text(LOG_LVL_NOTICE, "target-limit",
	    "%s of %s, %s: %.3f requests a second, %.3f before, %.3f of them "
	    "here",
	    t->entry.id, t->entry.service, source, t->limit.rate, before,
	    t->limit.share);
}

void
target_limits_answered(struct target_limits *x, struct target_load *t,
    const struct response_info *response, usec_t sent_at, bool only_here)
{
	double before = t->limit.rate;
	usec_t now = clock_now();

	if (response->malformed_limit) {
		if (!t->bad_limit)
			log_text(LOG_LVL_WARNING, "target-limit-malformed",
			    "%s: \"%.*s\" is not a decimal number; the limit "
			    "of before stays, %.3f",
			    t->entry.id, STR_FMT(response->limit_text), before);
		t->bad_limit = true;
		return;
	}
	t->bad_limit = false;
	t->limit.only_here = only_here;
	if (!target_limit_answered(&t->limit, response->limit, sent_at,
		arrival_earliest(&x->arrival, now)))
		return;
	limit_changed(x, t, before, "its answer", now);
	if (target_limit_tells(&t->limit, now))
		tell(x, t, now);
}

static void
log_brittle(const struct target_load *t, const char *source)
{
	log_text(LOG_LVL_NOTICE, "target-brittle",
	    "%s of %s, %s: falls over at more than %u refusals a second (0: no "
	    "more), %u calls of this host at once",
	    t->entry.id, t->entry.service, source, t->brittle.refusals,
	    t->brittle.share);
}

void
target_limits_brittle(struct target_limits *x, struct target_load *t,
    const struct response_info *response, usec_t sent_at)
{
	struct brittle_answer a = {
		.target = t->entry.id,
		.slots = t->entry.slots,
		.refusals = response->brittle,
		.refused = response->not_executed && !response->misdirected,
		.sent_at = sent_at,
	};
	peer_body body = { .kind = PEER_BRITTLE };
	peer_brittle *m = &body.peer_body_u.brittle;

	if (!loads_brittle(x->o.loads, t, &a, clock_now()))
		return;
	log_brittle(t, "its answer");
	m->target = (char *)t->entry.id;
	m->refusals = t->brittle.refusals;
	send_to_others(x, &body);
}

static void
log_cold(struct target_limits *x, const char *source, usec_t now)
{
	struct target_load *t;

	while ((t = loads_next_cold_change(x->o.loads, now)) != NULL) {
		x->n_cold += t->cold_noted ? 1 : -1;
		if (t->cold_noted)
			log_text(LOG_LVL_NOTICE, "target-cold",
			    "%s of %s, %s, %" PRId64
			    " ms old: cold for %" PRId64 " ms",
			    t->entry.id, t->entry.service, source,
			    (now - t->entry.read_at) / USEC_PER_MSEC,
			    (t->cold.until - now) / USEC_PER_MSEC);
		else
			log_text(LOG_LVL_NOTICE, "target-warm", "%s of %s: %s",
			    t->entry.id, t->entry.service,
			    t->listed ? "cold no longer; its share rises"
				      : "no longer listed");
	}
}

void
target_limits_cold(struct target_limits *x, struct target_load *t,
    const struct response_info *response, usec_t sent_at)
{
	usec_t now = clock_now();

	if (response->bad_cold.n > 0 && !t->bad_cold)
		log_text(LOG_LVL_WARNING, "target-cold-malformed",
		    "%s: \"%.*s\" is no time; it isn't used", t->entry.id,
		    STR_FMT(response->bad_cold));
	t->bad_cold = response->bad_cold.n > 0;
	if (response->cold_left < 0)
		return;
	loads_cold(x->o.loads, t, response->cold_left, sent_at, now);
	log_cold(x, "its answer", now);
}

void
target_limits_cold_told(
    struct target_limits *x, struct target_load *t, uint64_t left_ms)
{
	usec_t now = clock_now();

	if (left_ms > TARGET_COLD_MAX_TIME / USEC_PER_MSEC) {
		log_text(LOG_LVL_WARNING, "target-cold-malformed",
		    "%s: another host names %" PRIu64 " ms; it isn't used",
		    t->entry.id, left_ms);
		return;
	}
	loads_cold(x->o.loads, t, (usec_t)left_ms * USEC_PER_MSEC, 0, now);
	log_cold(x, "another host", now);
}

size_t
target_limits_cold_count(const struct target_limits *x)
{
	return (size_t)x->n_cold;
}

static void
receive_brittle(struct target_limits *x, const peer_brittle *m)
{
	struct target_load *t = loads_find(x->o.loads, m->target);
	uint32_t before;

	if (t == NULL)
		return;
	before = t->brittle.refusals;
	loads_brittle_told(x->o.loads, t,
	    &(struct brittle_answer){
		.target = t->entry.id,
		.slots = t->entry.slots,
		.refusals = m->refusals,
	    },
	    clock_now() - (usec_t)m->age_ms * USEC_PER_MSEC);
	if (t->brittle.refusals != before)
		log_brittle(t, "another host");
}

static void
receive_limit(struct target_limits *x, const peer_limit *m)
{
	struct target_load *t = loads_find(x->o.loads, m->target);
	usec_t now = clock_now();
	double before;

	if (t == NULL)
		return;
	before = t->limit.rate;
	if (loads_limit_told(t, (double)m->micro_rate / MICRO,
		arrival_earliest(&x->arrival, now) -
		    (usec_t)m->age_ms * USEC_PER_MSEC,
		now))
		limit_changed(x, t, before, "another host", now);
}

void
target_limits_receive(struct target_limits *x, const peer_body *body)
{
	if (body->kind == PEER_LIMIT)
		receive_limit(x, &body->peer_body_u.limit);
	else
		receive_brittle(x, &body->peer_body_u.brittle);
}

void
target_limits_tick(struct target_limits *x, usec_t now)
{
	GHashTableIter it;
	gpointer id;

	arrival_earliest(&x->arrival, now);
	if (now - x->cold_at >= COLD_INTERVAL) {
		x->cold_at = now;
		log_cold(x, "its entry", now);
	}
	g_hash_table_iter_init(&it, x->limited);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		struct target_load *t = loads_find(x->o.loads, id);

		if (t != NULL && target_limit_tells(&t->limit, now))
			tell(x, t, now);
		if (t == NULL || target_limit_is_over(&t->limit, now))
			g_hash_table_iter_remove(&it);
	}
}

size_t
target_limits_count(const struct target_limits *x)
{
	GHashTableIter it;
	gpointer id;
	size_t n = 0;

	g_hash_table_iter_init(&it, x->limited);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		const struct target_load *t = loads_find(x->o.loads, id);

		n += t != NULL && t->listed && t->limit.rate > 0;
	}
	return n;
}

void
target_limits_free(struct target_limits *x)
{
	g_hash_table_destroy(x->limited);
	g_array_unref(x->peers);
	free(x);
}
