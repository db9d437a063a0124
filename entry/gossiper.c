#include "entry/gossiper.h"
#include "kernel/rendezvous.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_CONTACTS         128
/* After its start a process knows no members, so it runs shorter rounds. */
#define START_PERIOD         (2 * USEC_PER_SEC)
#define START_ROUND_INTERVAL (100 * USEC_PER_MSEC)

G_STATIC_ASSERT(PEER_MEMBERS_MAX <= GOSSIP_MAX_INFOS);
G_STATIC_ASSERT(PEER_LEAVING_MAX <= GOSSIP_MAX_LEAVING);

struct gossiper {
	struct gossiper_opts o;
	struct gossip state;
	usec_t started_at;
	usec_t round_at;
	struct gossip_send *sends;
	struct gossip_message *received;
};

/* Fills the XDR form of x, which borrows the strings of x. */
static void
encode_member(const struct member_info *x, peer_member *p)
{
	p->id = (char *)x->id;
	p->rpc = (char *)x->rpc;
	p->operators = (char *)x->operators;
	p->domain = (char *)x->domain;
	p->incarnation = x->incarnation;
	p->generation = x->generation;
	p->capacity = x->capacity;
	p->state = (int)x->state;
}

static bool
copy_text(char *out, size_t cap, const char *in)
{
	return snprintf(out, cap, "%s", in) < (int)cap;
}

static bool
decode_member(const peer_member *p, struct member_info *x)
{
	x->incarnation = p->incarnation;
	x->generation = p->generation;
	x->capacity = p->capacity;
	x->state = (enum member_state)p->state;
	return p->state >= MEMBER_LIVE && p->state <= MEMBER_LEFT &&
	    copy_text(x->id, sizeof(x->id), p->id) &&
	    copy_text(x->rpc, sizeof(x->rpc), p->rpc) &&
	    copy_text(x->operators, sizeof(x->operators), p->operators) &&
	    copy_text(x->domain, sizeof(x->domain), p->domain);
}

static void
send_datagram(struct gossiper *g, const struct gossip_send *s)
{
	const struct gossip_message *m = &s->m;
	peer_member infos[GOSSIP_MAX_INFOS];
	peer_leaving leaving[GOSSIP_MAX_LEAVING];
	peer_body b = { .kind = PEER_GOSSIP };
	peer_gossip *p = &b.peer_body_u.gossip;

	encode_member(&m->self, &p->self);
	p->generation = m->generation;
	p->holder = (char *)m->holder;
	p->up = m->up;
	memcpy(p->digests, m->digests, sizeof(p->digests));
	p->answer = m->wants_answer;
	p->check = (char *)m->check;
	p->reached = (char *)m->reached;
	for (size_t i = 0; i < m->n_infos; i++)
		encode_member(&m->infos[i], &infos[i]);
	for (size_t i = 0; i < m->n_leaving; i++) {
		leaving[i].service = (char *)m->leaving[i].service;
		leaving[i].addr = (char *)m->leaving[i].addr;
		leaving[i].left_ms = m->leaving[i].left_ms;
	}
	p->infos.infos_val = infos;
	p->infos.infos_len = (u_int)m->n_infos;
	p->leaving.leaving_val = leaving;
	p->leaving.leaving_len = (u_int)m->n_leaving;
	rpc_send(g->o.rpc, s->rpc, &b);
}

static bool
decode_message(const peer_gossip *p, struct gossip_message *m)
{
	memset(m, 0, sizeof(*m));
	if (!decode_member(&p->self, &m->self) ||
	    !copy_text(m->holder, sizeof(m->holder), p->holder) ||
	    !copy_text(m->check, sizeof(m->check), p->check) ||
	    !copy_text(m->reached, sizeof(m->reached), p->reached))
		return false;
	m->generation = p->generation;
	m->up = p->up;
	memcpy(m->digests, p->digests, sizeof(m->digests));
	m->wants_answer = p->answer != 0;
	for (u_int i = 0; i < p->infos.infos_len; i++) {
		if (!decode_member(&p->infos.infos_val[i], &m->infos[i]))
			return false;
		m->n_infos++;
	}
	for (u_int i = 0; i < p->leaving.leaving_len; i++) {
		const peer_leaving *x = &p->leaving.leaving_val[i];
		struct gossip_leaving *y = &m->leaving[i];

		if (!copy_text(y->service, sizeof(y->service), x->service) ||
		    !copy_text(y->addr, sizeof(y->addr), x->addr))
			return false;
		y->left_ms = x->left_ms;
		m->n_leaving++;
	}
	return true;
}

static void
fill_self(const struct gossiper_opts *o, struct member_info *x)
{
	const struct settings *s = o->settings;

	memset(x, 0, sizeof(*x));
	copy_text(x->id, sizeof(x->id), s->id);
	copy_text(x->rpc, sizeof(x->rpc), s->rpc);
	copy_text(x->operators, sizeof(x->operators), s->operators);
	copy_text(x->domain, sizeof(x->domain), s->failure_domain);
	x->incarnation = o->incarnation;
	x->capacity = rendezvous_capacity(s->cpu_share, s->link_mbps);
}

struct gossiper *
gossiper_new(const struct gossiper_opts *o)
{
	struct gossiper *g = xcalloc(1, sizeof(*g));
	struct member_info self;

	g->o = *o;
	g->started_at = o->now;
	g->sends = xcalloc(GOSSIP_MAX_SENDS, sizeof(*g->sends));
	g->received = xcalloc(1, sizeof(*g->received));
	fill_self(o, &self);
	gossip_init(&g->state, &self, o->seed, o->now);
	gossiper_set_contacts(g, NULL, 0);
	return g;
}

void
gossiper_set_contacts(struct gossiper *g, const char *const *addrs, size_t n)
{
	const char *contacts[MAX_CONTACTS];
	struct str rest = str_from(g->o.settings->peers);
	struct str part;
	size_t from_settings;
	size_t total = 0;

	while (total < MAX_CONTACTS && str_cut(&rest, ' ', &part)) {
		if (part.n > 0)
			contacts[total++] = str_dup(part);
	}
	from_settings = total;
	for (size_t i = 0; i < n && total < MAX_CONTACTS; i++)
		contacts[total++] = addrs[i];
	gossip_set_contacts(&g->state, contacts, total);
	for (size_t i = 0; i < from_settings; i++)
		free((char *)contacts[i]);
}

void
gossiper_set_generation(struct gossiper *g, uint64_t generation, usec_t now)
{
	member_set_generation(&g->state.members, now, generation);
}

void
gossiper_drain(struct gossiper *g, usec_t now)
{
	member_drain(&g->state.members, now);
}

/* Runs a round at once. */
static void
send_round(struct gossiper *g, usec_t now)
{
	size_t n = gossip_round(&g->state, now, g->sends);

	g->round_at = now;
	for (size_t i = 0; i < n; i++)
		send_datagram(g, &g->sends[i]);
}

void
gossiper_leave(struct gossiper *g, usec_t now)
{
	member_leave(&g->state.members, now);
	send_round(g, now);
}

void
gossiper_target_leaving(
    struct gossiper *g, const char *service, const char *addr, usec_t now)
{
	gossip_leaving(&g->state, now, service, addr);
}

void
gossiper_receive(struct gossiper *g, const peer_letter *l, usec_t now)
{
	size_t n;

	if (!decode_message(&l->body.peer_body_u.gossip, g->received))
		return;
	n = gossip_receive(&g->state, now, g->received, g->sends);
	for (size_t i = 0; i < n; i++)
		send_datagram(g, &g->sends[i]);
}

void
gossiper_tick(struct gossiper *g, usec_t now)
{
	usec_t interval = now - g->started_at < START_PERIOD
	    ? START_ROUND_INTERVAL
	    : GOSSIP_INTERVAL;

	if (now - g->round_at >= interval)
		send_round(g, now);
}

struct gossip *
gossiper_state(struct gossiper *g)
{
	return &g->state;
}

void
gossiper_free(struct gossiper *g)
{
	gossip_free(&g->state);
	free(g->sends);
	free(g->received);
	free(g);
}
