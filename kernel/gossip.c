#include "kernel/gossip_message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PICK_TRIES             24
#define CONTACT_TRIES          8
#define CONTACTS_PER_ROUND     4 /* probes by the whole fleet */
#define INDIRECT_PROBE_AFTER   (1 * USEC_PER_SEC)
#define INDIRECT_PROBERS       2
#define INDIRECT_PROBE_TIMEOUT (3 * USEC_PER_SEC)
#define PAUSE_THRESHOLD        (2 * USEC_PER_SEC)
#define EXTRA_FANOUT_TIME      (5 * USEC_PER_SEC) /* after a new generation */
#define SUSPECT_BASE           (3 * USEC_PER_SEC)
#define SUSPECT_STEP           (300 * USEC_PER_MSEC) /* per log2(n) */
#define LEAVING_SENDS          24 /* messages that carry a leaving target */

enum domain_pref {
	DOMAIN_OWN,
	DOMAIN_OTHER,
	DOMAIN_ANY
};

void
gossip_init(
    struct gossip *g, const struct member_info *self, uint64_t seed, usec_t now)
{
	*g = (struct gossip){ 0 };
	member_init(&g->members, self, now);
	rng_init(&g->rng, seed);
	g->watched = g_ptr_array_new();
}

static void
free_contacts(struct gossip *g)
{
	for (size_t i = 0; i < g->n_contacts; i++)
		free(g->contacts[i]);
	free(g->contacts);
	g->contacts = NULL;
	g->n_contacts = 0;
}

void
gossip_free(struct gossip *g)
{
	free_contacts(g);
	g_ptr_array_free(g->watched, TRUE);
	member_free(&g->members);
}

void
gossip_set_contacts(struct gossip *g, const char *const *addrs, size_t n)
{
	free_contacts(g);
	g->contacts = xcalloc(n + 1, sizeof(char *));
	for (size_t i = 0; i < n; i++)
		g->contacts[i] = str_dup(str_from(addrs[i]));
	g->n_contacts = n;
}

usec_t
gossip_suspect_time(size_t n)
{
	usec_t t = SUSPECT_BASE;

	for (; n > 1; n /= 2)
		t += SUSPECT_STEP;
	return t;
}

void
gossip_expire_leaving(struct gossip *g, usec_t now)
{
	for (size_t i = g->n_leaving; i > 0; i--) {
		if (now < g->leaving[i - 1].until)
			continue;
		g->leaving[i - 1] = g->leaving[--g->n_leaving];
		g->leaving_version++;
	}
}

static void
note_leaving(
    struct gossip *g, usec_t until, const char *service, const char *addr)
{
	struct leaving_target *x;

	for (size_t i = 0; i < g->n_leaving; i++) {
		x = &g->leaving[i];
		if (strcmp(x->addr, addr) == 0 &&
		    strcmp(x->service, service) == 0)
			return;
	}
	if (g->n_leaving == LEAVING_MAX)
		return;
	x = &g->leaving[g->n_leaving++];
	*x = (struct leaving_target){ .until = until,
		.sends_left = LEAVING_SENDS };
	snprintf(x->service, sizeof(x->service), "%s", service);
	snprintf(x->addr, sizeof(x->addr), "%s", addr);
	g->leaving_version++;
}

void
gossip_leaving(
    struct gossip *g, usec_t now, const char *service, const char *addr)
{
	gossip_expire_leaving(g, now);
	note_leaving(g, now + LEAVING_TTL, service, addr);
}

static void
watch(struct gossip *g, struct member *m)
{
	if (m->watched)
		return;
	m->watched = true;
	g_ptr_array_add(g->watched, m);
}

static void
send_probe(
    struct gossip *g, usec_t now, struct member *to, struct gossip_send *out)
{
	gossip_message_begin(g, out, member_rpc(to), true);
	gossip_message_fill(g, now, &out->m, to);
}

/* Probes a member, which becomes suspect if it does not answer. */
static void
probe(struct gossip *g, usec_t now, struct member *to, struct gossip_send *out)
{
	send_probe(g, now, to, out);
	if (to->unanswered_since == 0 && to->state < MEMBER_SUSPECT) {
		to->unanswered_since = now;
		watch(g, to);
	}
}

static struct member *
pick(struct gossip *g, enum domain_pref domain, const struct member *exclude)
{
	struct members *t = &g->members;

	for (int i = 0; i < PICK_TRIES; i++) {
		struct member *m = t->v[rng_below(&g->rng, t->n)];
		bool own = m->domain == t->self->domain;

		if (m == t->self || m == exclude || m->state >= MEMBER_GONE)
			continue;
		if (domain == DOMAIN_ANY || own == (domain == DOMAIN_OWN))
			return m;
	}
	return domain == DOMAIN_ANY ? NULL : pick(g, DOMAIN_ANY, exclude);
}

static bool
needs_extra_fanout(const struct gossip *g, usec_t now)
{
	if (g->members.updates.length > 0 ||
	    now - g->members.self->changed_at < EXTRA_FANOUT_TIME)
		return true;
	for (size_t i = 0; i < g->n_leaving; i++) {
		if (g->leaving[i].sends_left > 0)
			return true;
	}
	return false;
}

/* A contact that has left may be back and know nobody. */
static size_t
probe_contact(struct gossip *g, usec_t now, struct gossip_send *out)
{
	struct members *t = &g->members;

	for (int i = 0; i < CONTACT_TRIES && g->n_contacts > 0; i++) {
		const char *rpc =
		    g->contacts[rng_below(&g->rng, g->n_contacts)];
		struct member *m = member_by_rpc(t, rpc);

		if (m != NULL && (m == t->self || m->state < MEMBER_GONE))
			continue;
		gossip_message_begin(g, out, rpc, true);
		gossip_message_fill(g, now, &out->m, m);
		return 1;
	}
	return 0;
}

static size_t
probe_gone(struct gossip *g, usec_t now, struct gossip_send *out)
{
	struct members *t = &g->members;

	for (int i = 0; i < CONTACT_TRIES; i++) {
		struct member *m = t->v[rng_below(&g->rng, t->n)];

		if (m->state != MEMBER_GONE)
			continue;
		send_probe(g, now, m, out);
		return 1;
	}
	return 0;
}

/*
 * Probes a contact address or a gone member, at a bounded rate.  Either may be
 * away for good and must not keep the other from being probed.
 */
static size_t
probe_absent(struct gossip *g, usec_t now, struct gossip_send *out)
{
	size_t n;

	if (rng_below(&g->rng, g->members.n_up) >= CONTACTS_PER_ROUND)
		return 0;
	if (rng_below(&g->rng, 2) == 0) {
		n = probe_contact(g, now, out);
		return n > 0 ? n : probe_gone(g, now, out);
	}
	n = probe_gone(g, now, out);
	return n > 0 ? n : probe_contact(g, now, out);
}

/*
 * After a pause of this process, missing answers do not show that members
 * failed: restarts the timeouts.
 */
static void
handle_pause(struct gossip *g, usec_t now)
{
	usec_t gap = now - g->round_at;

	if (g->round_at > 0 && gap > PAUSE_THRESHOLD) {
		for (guint i = 0; i < g->watched->len; i++) {
			struct member *m = g_ptr_array_index(g->watched, i);

			m->unanswered_since = 0;
			m->indirect_probed = false;
			if (m->state == MEMBER_SUSPECT)
				m->changed_at += gap;
		}
	}
	g->round_at = now;
}

/* Probes an unresponsive member again, and once through other members. */
static size_t
probe_again(
    struct gossip *g, usec_t now, struct member *m, struct gossip_send *out)
{
	size_t n = 0;

	send_probe(g, now, m, &out[n++]);
	if (m->indirect_probed ||
	    now - m->unanswered_since < INDIRECT_PROBE_AFTER)
		return n;
	m->indirect_probed = true;
	for (int i = 0; i < INDIRECT_PROBERS; i++) {
		struct member *x = pick(g, DOMAIN_ANY, m);

		if (x == NULL)
			break;
		gossip_message_begin(g, &out[n], member_rpc(x), false);
		snprintf(out[n].m.check, sizeof(out[n].m.check), "%s", m->text);
		gossip_message_fill(g, now, &out[n++].m, x);
	}
	return n;
}

/* Updates the state of a watched member; false if its watch ends. */
static bool
update_suspicion(struct gossip *g, usec_t now, struct member *m)
{
	switch ((enum member_state)m->state) {
	case MEMBER_LIVE:
	case MEMBER_DRAINING:
		if (m->unanswered_since != 0 &&
		    now - m->unanswered_since >= GOSSIP_SUSPECT_AFTER)
			member_mark_unresponsive(
			    &g->members, now, m, MEMBER_SUSPECT);
		return m->unanswered_since != 0 || m->state == MEMBER_SUSPECT;
	case MEMBER_SUSPECT:
		if (now - m->changed_at < gossip_suspect_time(g->members.n))
			return true;
		member_mark_unresponsive(&g->members, now, m, MEMBER_GONE);
		return false;
	case MEMBER_GONE:
	case MEMBER_LEFT:
		break;
	}
	return false;
}

static size_t
review_watched(
    struct gossip *g, usec_t now, struct gossip_send *out, size_t max_sends)
{
	size_t n = 0;

	for (guint i = g->watched->len; i > 0; i--) {
		struct member *m = g_ptr_array_index(g->watched, i - 1);

		if (!update_suspicion(g, now, m)) {
			m->watched = false;
			g_ptr_array_remove_index_fast(g->watched, i - 1);
		} else if (m->unanswered_since != 0 &&
		    n + 1 + INDIRECT_PROBERS <= max_sends) {
			n += probe_again(g, now, m, out + n);
		}
	}
	return n;
}

size_t
gossip_round(
    struct gossip *g, usec_t now, struct gossip_send out[GOSSIP_MAX_SENDS])
{
	static const enum domain_pref domains[] = { DOMAIN_OWN, DOMAIN_OTHER,
		DOMAIN_ANY };
	size_t fanout = GOSSIP_FANOUT + (needs_extra_fanout(g, now) ? 1 : 0);
	struct member *last = NULL;
	size_t n = 0;

	handle_pause(g, now);
	member_sweep(&g->members, now);
	n = review_watched(g, now, out, GOSSIP_MAX_SENDS - fanout - 1);
	for (size_t i = 0; i < fanout; i++) {
		struct member *m = pick(g, domains[i], last);

		if (m == NULL)
			break;
		probe(g, now, m, &out[n++]);
		last = m;
	}
	return n + probe_absent(g, now, &out[n]);
}

static void
apply_updates(struct gossip *g, usec_t now, const struct gossip_message *m)
{
	for (size_t i = 0; i < m->n_infos && i < GOSSIP_MAX_INFOS; i++) {
		struct member *x;

		if (!member_update(&g->members, now, &m->infos[i]))
			continue;
		x = member_find(&g->members, m->infos[i].id);
		if (x != NULL && x->state == MEMBER_SUSPECT)
			watch(g, x);
	}
	gossip_expire_leaving(g, now);
	for (size_t i = 0; i < m->n_leaving && i < GOSSIP_MAX_LEAVING; i++) {
		const struct gossip_leaving *x = &m->leaving[i];
		usec_t ttl = (usec_t)x->left_ms * USEC_PER_MSEC;

		if (ttl > LEAVING_TTL)
			ttl = LEAVING_TTL;
		note_leaving(g, now + ttl, x->service, x->addr);
	}
	member_note_generation(&g->members, m->generation, m->holder);
}

static void
clear_unanswered(struct member *m)
{
	m->unanswered_since = 0;
	m->indirect_probed = false;
}

/* Probes a member on behalf of requester, which is notified of the answer. */
static size_t
start_indirect_probe(struct gossip *g, usec_t now,
    const struct member *requester, const char *id, struct gossip_send *out)
{
	struct member *x = member_find(&g->members, id);

	if (x == NULL || x == g->members.self)
		return 0;
	for (int i = 0; i < GOSSIP_MAX_INDIRECT_PROBES; i++) {
		struct gossip_indirect_probe *p = &g->indirect_probes[i];

		if (p->until > now)
			continue;
		*p = (struct gossip_indirect_probe){ .until = now +
			    INDIRECT_PROBE_TIMEOUT };
		g_strlcpy(p->requester, requester->text, sizeof(p->requester));
		g_strlcpy(p->subject, x->text, sizeof(p->subject));
		send_probe(g, now, x, out);
		return 1;
	}
	return 0;
}

static size_t
report_reached(struct gossip *g, usec_t now, const struct member *from,
    struct gossip_send *out)
{
	for (int i = 0; i < GOSSIP_MAX_INDIRECT_PROBES; i++) {
		struct gossip_indirect_probe *p = &g->indirect_probes[i];
		struct member *requester;

		if (p->until <= now || strcmp(p->subject, from->text) != 0)
			continue;
		p->until = 0;
		requester = member_find(&g->members, p->requester);
		if (requester == NULL)
			continue;
		gossip_message_begin(g, out, member_rpc(requester), false);
		snprintf(
		    out->m.reached, sizeof(out->m.reached), "%s", from->text);
		gossip_message_fill(g, now, &out->m, requester);
		return 1;
	}
	return 0;
}

size_t
gossip_receive(struct gossip *g, usec_t now, const struct gossip_message *m,
    struct gossip_send out[GOSSIP_MAX_ANSWERS])
{
	struct members *t = &g->members;
	struct member *from;
	struct member *reached;
	size_t n = 0;

	member_update(t, now, &m->self);
	apply_updates(g, now, m);
	from = member_find(t, m->self.id);
	if (from == NULL || from == t->self)
		return 0;
	reached = member_find(t, m->reached);
	if (reached != NULL)
		clear_unanswered(reached);
	if (m->self.incarnation == from->incarnation) {
		from->heard_at = now;
		clear_unanswered(from);
		n += report_reached(g, now, from, out);
	}
	if (m->check[0] != '\0')
		n += start_indirect_probe(g, now, from, m->check, out + n);
	if (m->wants_answer)
		gossip_message_answer(g, now, m, from, &out[n++]);
	return n;
}
