#include "entry/crash_reports.h"
#include "kernel/crash_suspects.h"
#include "plat/port_check.h"

#include <stdlib.h>
#include <string.h>

/* A crashed target's host refuses a connection at once. */
#define CHECK_TIMEOUT   (150 * USEC_PER_MSEC)
/*
 * A part under suspicion that targets answer is reported this often, as
 * datagrams may be lost, with this interval.
 */
#define ANSWER_REPORTS  3
#define ANSWER_INTERVAL (500 * USEC_PER_MSEC)
/* With more parts under suspicion, all are forgotten. */
#define MAX_SUSPECTS    4096
/* Answered parts in each table of a memory; the older one is then dropped. */
#define MAX_ANSWERED    4096

G_STATIC_ASSERT(CRASH_MAX_CALLS <= PEER_CRASH_CALLS_MAX);
G_STATIC_ASSERT(PART_SET_MAX <= PEER_PARTS_MAX);

/* The calls lost with a target, while it is checked. */
struct pending_crash {
	struct crash_reports *owner;
	char target[64];
	struct port_check *check;
	struct part_set *calls;
	u_int n_calls;
};

struct suspect_part {
	uint64_t part;
	uint32_t reports_left;
	usec_t reported_at;
	bool asked; /* by a collector: under several crashed targets */
};

/* The parts that targets answered lately, as two sets. */
struct answered_memory {
	GHashTable *now;
	GHashTable *before;
};

struct crash_reports {
	struct crash_reports_opts o;
	GHashTable *pending;     /* target -> struct pending_crash */
	GHashTable *suspects;    /* part -> struct suspect_part */
	GHashTable *quarantined; /* set of the parts of all quarantines */
	struct answered_memory prompts;
	struct answered_memory contents;
	GHashTable *calls; /* service -> struct call_counts */
	GArray *peers;     /* struct view_peer */
	uint64_t n_crashes;
};

static void
free_pending(gpointer p)
{
	struct pending_crash *x = p;

	if (x->check != NULL)
		port_check_cancel(x->check);
	free(x->calls);
	free(x);
}

static GHashTable *
new_set(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void
add_to_set(GHashTable *set, uint64_t part)
{
	if (!g_hash_table_contains(set, &part))
		g_hash_table_add(set, g_memdup2(&part, sizeof(part)));
}

static struct answered_memory
new_memory(void)
{
	return (struct answered_memory){ new_set(), new_set() };
}

static void
free_memory(struct answered_memory *m)
{
	g_hash_table_destroy(m->now);
	g_hash_table_destroy(m->before);
}

static void
remember(struct answered_memory *m, uint64_t part)
{
	if (g_hash_table_size(m->now) >= MAX_ANSWERED) {
		g_hash_table_destroy(m->before);
		m->before = m->now;
		m->now = new_set();
	}
	add_to_set(m->now, part);
}

static bool
remembers(const struct answered_memory *m, uint64_t part)
{
	return g_hash_table_contains(m->now, &part) ||
	    g_hash_table_contains(m->before, &part);
}

struct crash_reports *
crash_reports_new(const struct crash_reports_opts *o)
{
	struct crash_reports *c = xcalloc(1, sizeof(*c));

	c->o = *o;
	c->pending =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pending);
	c->suspects =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	c->quarantined = new_set();
	c->prompts = new_memory();
	c->contents = new_memory();
	c->calls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->peers = g_array_new(FALSE, TRUE, sizeof(struct view_peer));
	return c;
}

void
crash_reports_set_view(struct crash_reports *c, const struct view *v)
{
	g_array_set_size(c->peers, 0);
	g_array_append_vals(c->peers, v->peers->data, v->peers->len);
	g_hash_table_remove_all(c->quarantined);
	for (guint i = 0; i < v->quarantine.entries->len; i++) {
		const struct quarantine_entry *e = &g_array_index(
		    v->quarantine.entries, struct quarantine_entry, i);

		for (size_t k = 0; k < e->parts.n; k++)
			add_to_set(c->quarantined, e->parts.v[k]);
	}
}

static const struct view_peer *
find_peer(const struct crash_reports *c, const char *id)
{
	for (guint i = 0; i < c->peers->len; i++) {
		const struct view_peer *p =
		    &g_array_index(c->peers, struct view_peer, i);

		if (strcmp(p->id, id) == 0)
			return p;
	}
	return NULL;
}

/* Hands a report to this host's own collector, and takes over its body. */
static void
deliver_here(struct crash_reports *c, peer_body *body)
{
	peer_letter l = { .body = *body };

	l.from = str_dup(str_from(c->o.self));
	l.rpc = str_dup(str_from(c->o.self_rpc));
	discovery_receive(c->o.discovery, &l);
	memset(body, 0, sizeof(*body));
}

/* Sends a report to the collectors and frees its body. */
static void
send_report(struct crash_reports *c, peer_body *body)
{
	struct rendezvous_host *v = xcalloc(c->peers->len, sizeof(*v));
	const char *chosen[CRASH_COLLECTORS];
	bool here = false;
	size_t n;

	for (guint i = 0; i < c->peers->len; i++) {
		const struct view_peer *p =
		    &g_array_index(c->peers, struct view_peer, i);

		v[i] = (struct rendezvous_host){ p->id, p->capacity };
	}
	n = crash_collectors(v, c->peers->len, c->o.self, chosen);
	for (size_t i = 0; i < n; i++) {
		if (strcmp(chosen[i], c->o.self) == 0)
			here = true;
		else
			rpc_send(discovery_rpc(c->o.discovery),
			    find_peer(c, chosen[i])->rpc, body);
	}
	if (here)
		deliver_here(c, body);
	else
		xdr_free((xdrproc_t)xdr_peer_body, (char *)body);
	free(v);
}

static void
write_prompt(const struct part_set *parts, peer_prompt *out)
{
	out->parts.parts_val = xcalloc(parts->n, sizeof(parts->v[0]));
	memcpy(out->parts.parts_val, parts->v, parts->n * sizeof(parts->v[0]));
	out->parts.parts_len = (u_int)parts->n;
}

static struct call_counts *
count_calls(struct crash_reports *c, const char *service)
{
	struct call_counts *x = g_hash_table_lookup(c->calls, service);

	if (x == NULL) {
		x = g_new0(struct call_counts, 1);
		g_hash_table_insert(c->calls, g_strdup(service), x);
	}
	return x;
}

static struct suspect_part *
suspect(struct crash_reports *c, uint64_t part)
{
	struct suspect_part *s = g_hash_table_lookup(c->suspects, &part);

	if (s == NULL) {
		if (g_hash_table_size(c->suspects) >= MAX_SUSPECTS)
			g_hash_table_remove_all(c->suspects);
		s = xcalloc(1, sizeof(*s));
		s->part = part;
		g_hash_table_insert(c->suspects, &s->part, s);
	}
	s->reports_left = ANSWER_REPORTS;
	s->reported_at = 0;
	return s;
}

static bool
was_answered(const struct crash_reports *c, uint64_t part)
{
	return remembers(&c->prompts, part) || remembers(&c->contents, part);
}

/* Lists the parts of a crash that targets answered before. */
static void
write_known(const struct pending_crash *p, peer_crash *out)
{
	GHashTable *known = new_set();
	GHashTableIter it;
	gpointer part;
	u_int n = 0;

	for (u_int i = 0; i < p->n_calls; i++) {
		for (size_t k = 0; k < p->calls[i].n; k++) {
			if (was_answered(p->owner, p->calls[i].v[k]))
				add_to_set(known, p->calls[i].v[k]);
		}
	}
	out->known.known_val =
	    xcalloc(PEER_KNOWN_MAX, sizeof(out->known.known_val[0]));
	g_hash_table_iter_init(&it, known);
	while (n < PEER_KNOWN_MAX && g_hash_table_iter_next(&it, &part, NULL))
		out->known.known_val[n++] = *(uint64_t *)part;
	out->known.known_len = n;
	g_hash_table_destroy(known);
}

static void
report_crash(struct pending_crash *p)
{
	struct crash_reports *c = p->owner;
	peer_body body = { .kind = PEER_CRASH };
	peer_crash *crash = &body.peer_body_u.crash;

	c->n_crashes++;
	crash->target = str_dup(str_from(p->target));
	crash->calls.calls_val =
	    xcalloc(p->n_calls, sizeof(crash->calls.calls_val[0]));
	crash->calls.calls_len = p->n_calls;
	write_known(p, crash);
	for (u_int i = 0; i < p->n_calls; i++) {
		write_prompt(&p->calls[i], &crash->calls.calls_val[i]);
		for (size_t k = 0; k < p->calls[i].n; k++)
			suspect(c, p->calls[i].v[k]);
	}
	send_report(c, &body);
}

static void
on_checked(void *arg, bool refused)
{
	struct pending_crash *p = arg;

	p->check = NULL;
	if (refused)
		report_crash(p);
	g_hash_table_remove(p->owner->pending, p->target);
}

void
crash_reports_lost(struct crash_reports *c, const struct lost_call *x)
{
	struct pending_crash *p = g_hash_table_lookup(c->pending, x->target);

	count_calls(c, x->service)->lost++;
	if (p == NULL) {
		p = xcalloc(1, sizeof(*p));
		p->owner = c;
		g_strlcpy(p->target, x->target, sizeof(p->target));
		p->check = port_check_start(&(struct port_check_opts){
		    .base = c->o.base,
		    .addr = str_from(x->addr),
		    .timeout = CHECK_TIMEOUT,
		    .done = on_checked,
		    .arg = p,
		});
		if (p->check == NULL) {
			free_pending(p);
			return;
		}
		g_hash_table_insert(c->pending, p->target, p);
	}
	if (p->n_calls == CRASH_MAX_CALLS)
		return;
	p->calls = xrealloc(p->calls, p->n_calls + 1, sizeof(*p->calls));
	p->calls[p->n_calls++] = *x->parts;
}

/* Whether an answer on a part is to be reported now; if so, notes it. */
static bool
must_report(struct crash_reports *c, uint64_t part, usec_t now)
{
	bool quarantined = g_hash_table_contains(c->quarantined, &part);
	struct suspect_part *s = g_hash_table_lookup(c->suspects, &part);

	if (s == NULL && quarantined)
		s = suspect(c, part);
	if (s == NULL ||
	    (s->reported_at != 0 && now - s->reported_at < ANSWER_INTERVAL))
		return false;
	s->reported_at = now;
	s->asked = false;
	if (s->reports_left > 0)
		s->reports_left--;
	if (s->reports_left == 0 && !quarantined)
		g_hash_table_remove(c->suspects, &part);
	return true;
}

static void
remember_request(struct crash_reports *c, const struct answered_request *r)
{
	for (size_t i = 0; i < r->parts->n; i++) {
		uint64_t part = r->parts->v[i];

		if (part == r->content)
			remember(&c->contents, part);
		else if (part != r->own)
			remember(&c->prompts, part);
	}
}

void
crash_reports_answered(
    struct crash_reports *c, const struct answered_request *r)
{
	const struct part_set *parts = r->parts;
	struct part_set known = { 0 };
	peer_body body = { .kind = PEER_ANSWERED };
	usec_t now;

	remember_request(c, r);
	count_calls(c, r->service)->answered++;
	if (g_hash_table_size(c->suspects) == 0 &&
	    g_hash_table_size(c->quarantined) == 0)
		return;
	now = clock_now();
	for (size_t i = 0; i < parts->n; i++) {
		if (must_report(c, parts->v[i], now))
			part_set_add(&known, parts->v[i]);
	}
	if (known.n == 0)
		return;
	write_prompt(&known, &body.peer_body_u.answered);
	send_report(c, &body);
}

void
crash_reports_asked(struct crash_reports *c, const peer_suspects *q)
{
	const struct call_counts *calls = count_calls(c, q->service);
	struct part_set known = { 0 };
	peer_body body = { .kind = PEER_KNOWN };
	peer_known *reply = &body.peer_body_u.known;

	for (u_int i = 0; i < q->parts.parts.parts_len; i++) {
		uint64_t part = q->parts.parts.parts_val[i];

		suspect(c, part)->asked = true;
		if (was_answered(c, part))
			part_set_add(&known, part);
	}
	reply->service = str_dup(str_from(q->service));
	write_prompt(&known, &reply->parts);
	reply->answered = calls->answered;
	reply->lost = calls->lost;
	send_report(c, &body);
}

bool
crash_reports_suspect(const struct crash_reports *c, uint64_t part)
{
	const struct suspect_part *s = g_hash_table_lookup(c->suspects, &part);

	return s != NULL && s->asked;
}

uint64_t
crash_reports_count(const struct crash_reports *c)
{
	return c->n_crashes;
}

void
crash_reports_free(struct crash_reports *c)
{
	g_hash_table_destroy(c->pending);
	g_hash_table_destroy(c->suspects);
	g_hash_table_destroy(c->quarantined);
	free_memory(&c->prompts);
	free_memory(&c->contents);
	g_hash_table_destroy(c->calls);
	g_array_unref(c->peers);
	free(c);
}
