#include "entry/share_sync.h"
#include "kernel/shares.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEASURE_INTERVAL     (500 * USEC_PER_MSEC)
#define MAX_REPORTS_PER_TICK 8

G_STATIC_ASSERT(SHARES_MAX_CLAIMS == PEER_BATCH_MAX);

/* The counters of a workspace at the last measurement. */
struct usage {
	uint64_t arrived;
	uint64_t tokens;
};

struct share_sync {
	struct share_sync_opts o;
	struct shares state;
	GHashTable *usage; /* workspace -> struct usage, owned */
	usec_t measured_at;
	uint32_t live;
};

struct share_sync *
share_sync_new(const struct share_sync_opts *o)
{
	struct share_sync *s = xcalloc(1, sizeof(*s));

	s->o = *o;
	s->usage = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	shares_init(&s->state, o->now, o->id, o->incarnation);
	return s;
}

/* Counts listed sequoiads unknown to gossip too: they may use a share. */
void
share_sync_set_members(
    struct share_sync *s, struct members *m, uint32_t listed, usec_t now)
{
	size_t n;
	const char *const *ids = member_live(m, &n);
	uint32_t known = member_count_known(m);

	if (known < listed)
		known = listed;
	s->live = (uint32_t)n;
	shares_set_live(&s->state, now, ids, n, known);
}

static struct usage *
usage_of(struct share_sync *s, const char *workspace)
{
	struct usage *u = g_hash_table_lookup(s->usage, workspace);

	if (u == NULL) {
		u = xcalloc(1, sizeof(*u));
		g_hash_table_insert(s->usage, g_strdup(workspace), u);
	}
	return u;
}

/* The fraction of a limit that an amount takes, in millionths. */
static uint32_t
fraction_ppm(double amount, uint32_t limit)
{
	double ppm = limit > 0 ? amount / limit * SHARES_PPM : 0;

	return ppm < SHARES_WANT_MAX ? (uint32_t)ppm : SHARES_WANT_MAX;
}

/* The largest fraction that the workspace uses of any of its limits. */
static uint32_t
demand_ppm(const struct conf_workspace *w, const struct traffic_limit *x,
    const struct usage *u, double seconds)
{
	uint32_t demand =
	    fraction_ppm((double)(x->arrived - u->arrived) / seconds,
		w->requests_per_second);
	uint32_t tokens = fraction_ppm(
	    (double)(x->tokens - u->tokens) / seconds, w->tokens_per_second);
	uint32_t in_flight = fraction_ppm(x->in_flight, w->requests_in_flight);

	if (tokens > demand)
		demand = tokens;
	return in_flight > demand ? in_flight : demand;
}

static const struct traffic_limit *
find_limit(const struct traffic_report *r, const char *workspace)
{
	for (size_t i = 0; i < r->n_limits; i++) {
		if (strcmp(r->limits[i].workspace, workspace) == 0)
			return &r->limits[i];
	}
	return NULL;
}

/* Records a workspace's demand; it has none before its first request. */
static void
record_demand(struct share_sync *s, const struct conf_workspace *w,
    const struct traffic_limit *x, double seconds, usec_t now)
{
	struct usage *u;

	if (x == NULL)
		return;
	u = usage_of(s, w->name);
	shares_set_wanted(
	    &s->state, now, str_from(w->name), demand_ppm(w, x, u, seconds));
	u->arrived = x->arrived;
	u->tokens = x->tokens;
}

/*
 * Measures demand and passes the shares of all workspaces to the traffic
 * thread, also of those that have sent no request yet.
 */
static void
measure(struct share_sync *s, const struct conf *conf, struct traffic *t,
    usec_t now)
{
	double seconds = (double)(now - s->measured_at) / USEC_PER_SEC;
	struct traffic_report r;
	struct share *out = xcalloc(conf->n_workspaces, sizeof(*out));

	s->measured_at = now;
	traffic_report(t, &r);
	for (size_t i = 0; i < conf->n_workspaces; i++) {
		const struct conf_workspace *w = conf->workspaces[i];

		record_demand(s, w, find_limit(&r, w->name), seconds, now);
		out[i].workspace = str_from(w->name);
		out[i].ppm = shares_ppm(&s->state, now, str_from(w->name));
	}
	traffic_set_shares(
	    t, s->live > 0 ? s->live : 1, out, conf->n_workspaces);
	free(out);
	traffic_report_free(&r);
}

static void
send_report(
    struct share_sync *s, const struct shares_report *r, const char *rpc)
{
	peer_share_claim claims[SHARES_MAX_CLAIMS];
	peer_body b = { .kind = PEER_SHARE_REPORT };
	peer_share_report *p = &b.peer_body_u.report;

	p->number = r->number;
	p->claims.claims_val = claims;
	p->claims.claims_len = (u_int)r->n;
	for (size_t i = 0; i < r->n; i++) {
		claims[i].workspace = (char *)r->v[i].workspace;
		claims[i].need = r->v[i].need;
		claims[i].holding = r->v[i].holding;
	}
	rpc_send(s->o.rpc, rpc, &b);
}

static void
report_due(struct share_sync *s, struct members *m, usec_t now)
{
	struct shares_report r;
	char owner[MAX_NAME_BYTES + 1];

	for (int i = 0; i < MAX_REPORTS_PER_TICK; i++) {
		const struct member *to;

		if (!shares_due(&s->state, now, &r, owner))
			return;
		to = member_find(m, owner);
		if (to != NULL)
			send_report(s, &r, member_rpc(to));
	}
}

void
share_sync_tick(struct share_sync *s, const struct conf *conf,
    struct traffic *t, struct members *m, usec_t now)
{
	if (now - s->measured_at < MEASURE_INTERVAL)
		return;
	measure(s, conf, t, now);
	report_due(s, m, now);
}

static void
send_reply(struct share_sync *s, const struct shares_reply *r, const char *rpc)
{
	peer_grant grants[SHARES_MAX_CLAIMS];
	peer_body b = { .kind = PEER_SHARE_REPLY };
	peer_share_reply *p = &b.peer_body_u.reply;

	p->number = r->number;
	p->ttl_ms = r->ttl_ms;
	p->next_ms = r->next_ms;
	p->grants.grants_val = grants;
	p->grants.grants_len = (u_int)r->n;
	for (size_t i = 0; i < r->n; i++) {
		grants[i].workspace = (char *)r->v[i].workspace;
		grants[i].ppm = r->v[i].ppm;
	}
	rpc_send(s->o.rpc, rpc, &b);
}

static void
on_report(struct share_sync *s, const peer_letter *l, usec_t now)
{
	const peer_share_report *p = &l->body.peer_body_u.report;
	struct shares_report r = { .number = p->number };
	struct shares_reply out = { 0 };

	snprintf(r.from, sizeof(r.from), "%s", l->from);
	for (u_int i = 0; i < p->claims.claims_len; i++) {
		const peer_share_claim *x = &p->claims.claims_val[i];
		struct shares_claim *y = &r.v[r.n++];

		snprintf(
		    y->workspace, sizeof(y->workspace), "%s", x->workspace);
		y->need = x->need;
		y->holding = x->holding;
	}
	shares_receive(&s->state, now, &r, &out);
	send_reply(s, &out, l->rpc);
}

static void
on_reply(struct share_sync *s, const peer_letter *l, usec_t now)
{
	const peer_share_reply *p = &l->body.peer_body_u.reply;
	struct shares_reply r = {
		.number = p->number,
		.ttl_ms = p->ttl_ms,
		.next_ms = p->next_ms,
	};

	for (u_int i = 0; i < p->grants.grants_len; i++) {
		struct shares_grant *y = &r.v[r.n++];

		snprintf(y->workspace, sizeof(y->workspace), "%s",
		    p->grants.grants_val[i].workspace);
		y->ppm = p->grants.grants_val[i].ppm;
	}
	shares_reply(&s->state, now, &r);
}

void
share_sync_receive(struct share_sync *s, const peer_letter *l, usec_t now)
{
	if (l->body.kind == PEER_SHARE_REPORT)
		on_report(s, l, now);
	else
		on_reply(s, l, now);
}

void
share_sync_free(struct share_sync *s)
{
	shares_free(&s->state);
	g_hash_table_destroy(s->usage);
	free(s);
}
