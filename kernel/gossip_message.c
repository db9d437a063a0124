#include "kernel/gossip_message.h"

#include <stdio.h>
#include <string.h>

/* A sender that sees 1/32 fewer members up gets a GOSSIP_PAGE_BYTES answer. */
#define PAGE_ANSWER_DIVISOR 32
#define RANDOM_INFOS        1
/* Room for a member with the longest names, in each message. */
#define MIN_INFO_BYTES      240

static size_t
text_bytes(const char *c)
{
	return 4 + (strlen(c) + 3) / 4 * 4;
}

static size_t
info_bytes(const struct member_info *x)
{
	return text_bytes(x->id) + text_bytes(x->rpc) +
	    text_bytes(x->operators) + text_bytes(x->domain) + 8 + 8 + 4 + 4;
}

static size_t
leaving_bytes(const struct gossip_leaving *x)
{
	return text_bytes(x->service) + text_bytes(x->addr) + 4;
}

size_t
gossip_message_bytes(const struct gossip_message *m)
{
	size_t n = info_bytes(&m->self) + 8 + sizeof(m->digests) + 4 + 4 +
	    text_bytes(m->holder) + text_bytes(m->check) +
	    text_bytes(m->reached) + 4 + 4;

	for (size_t i = 0; i < m->n_infos; i++)
		n += info_bytes(&m->infos[i]);
	for (size_t i = 0; i < m->n_leaving; i++)
		n += leaving_bytes(&m->leaving[i]);
	return n;
}

/* Adds an entry if it fits into the remaining bytes. */
static bool
add_info(struct gossip *g, struct gossip_message *m, struct member *x,
    bool full, size_t *bytes)
{
	struct member_info *info = &m->infos[m->n_infos];
	size_t n;

	if (m->n_infos == GOSSIP_MAX_INFOS)
		return false;
	member_info(&g->members, x, info);
	if (!full) {
		info->rpc[0] = '\0';
		info->operators[0] = '\0';
		info->domain[0] = '\0';
	}
	n = info_bytes(info);
	if (n > *bytes)
		return false;
	*bytes -= n;
	m->n_infos++;
	return true;
}

static void
add_leaving(
    struct gossip *g, usec_t now, struct gossip_message *m, size_t *bytes)
{
	gossip_expire_leaving(g, now);
	for (size_t i = g->n_leaving;
	     i > 0 && m->n_leaving < GOSSIP_MAX_LEAVING; i--) {
		struct leaving_target *x = &g->leaving[i - 1];
		struct gossip_leaving *y = &m->leaving[m->n_leaving];

		if (x->sends_left == 0)
			continue;
		snprintf(y->service, sizeof(y->service), "%s", x->service);
		snprintf(y->addr, sizeof(y->addr), "%s", x->addr);
		y->left_ms = (uint32_t)((x->until - now) / USEC_PER_MSEC);
		if (leaving_bytes(y) > *bytes)
			return;
		*bytes -= leaving_bytes(y);
		x->sends_left--;
		m->n_leaving++;
	}
}

/* Adds the newest updates; those sent move behind those not sent yet. */
static bool
add_updates(
    struct gossip *g, GQueue *updates, struct gossip_message *m, size_t *bytes)
{
	for (guint k = g_queue_get_length(updates); k > 0; k--) {
		struct member *x = g_queue_peek_head(updates);

		if (!add_info(g, m, x, x->full_update, bytes))
			return false;
		if (--x->sends_left > 0) {
			g_queue_unlink(updates, x->update_link);
			g_queue_push_tail_link(updates, x->update_link);
		} else {
			g_queue_delete_link(updates, x->update_link);
			x->update_link = NULL;
		}
	}
	return true;
}

/* Adds a run of members from a random position, with their addresses. */
static void
add_random(struct gossip *g, struct gossip_message *m, size_t *bytes)
{
	struct members *t = &g->members;
	size_t at = rng_below(&g->rng, t->n);

	for (size_t i = 0; i < RANDOM_INFOS && i < t->n; i++) {
		struct member *x = t->v[(at + i) % t->n];

		if (x != t->self && x->state != MEMBER_LEFT &&
		    !add_info(g, m, x, true, bytes))
			return;
	}
}

/* Adds members of the buckets whose digests differ from the other table's. */
static void
add_differing(struct gossip *g, struct gossip_message *m,
    const struct gossip_message *other, size_t *bytes)
{
	struct members *t = &g->members;
	size_t at = rng_below(&g->rng, t->n);

	for (size_t i = 0; i < t->n; i++) {
		struct member *x = t->v[(at + i) % t->n];

		if (t->digests[x->bucket] != other->digests[x->bucket] &&
		    x != t->self && x->state != MEMBER_LEFT &&
		    !add_info(g, m, x, true, bytes))
			return;
	}
}

void
gossip_message_begin(
    struct gossip *g, struct gossip_send *out, const char *rpc, bool answer)
{
	struct members *t = &g->members;

	snprintf(out->rpc, sizeof(out->rpc), "%s", rpc);
	out->m.n_infos = 0;
	out->m.n_leaving = 0;
	out->m.check[0] = '\0';
	out->m.reached[0] = '\0';
	out->m.wants_answer = answer;
	out->m.generation = t->generation;
	memcpy(out->m.holder, t->holder, sizeof(out->m.holder));
	out->m.up = (uint32_t)t->n_up;
	memcpy(out->m.digests, t->digests, sizeof(t->digests));
	member_info(t, t->self, &out->m.self);
}

void
gossip_message_fill(
    struct gossip *g, usec_t now, struct gossip_message *m, struct member *to)
{
	size_t used = gossip_message_bytes(m);
	size_t bytes =
	    used < GOSSIP_BYTES ? GOSSIP_BYTES - used : MIN_INFO_BYTES;

	if (to != NULL && to->state >= MEMBER_SUSPECT)
		add_info(g, m, to, true, &bytes);
	add_leaving(g, now, m, &bytes);
	if (add_updates(g, &g->members.updates, m, &bytes) &&
	    add_updates(g, &g->members.joins, m, &bytes))
		add_random(g, m, &bytes);
}

void
gossip_message_answer(struct gossip *g, usec_t now,
    const struct gossip_message *received, struct member *to,
    struct gossip_send *out)
{
	const struct members *t = &g->members;
	size_t bytes = GOSSIP_DIFF_BYTES;
	size_t used;

	gossip_message_begin(g, out, member_rpc(to), false);
	gossip_message_fill(g, now, &out->m, to);
	if (memcmp(received->digests, t->digests, sizeof(t->digests)) == 0)
		return;
	if (received->up + received->up / PAGE_ANSWER_DIVISOR + 1 < t->n_up)
		bytes = GOSSIP_PAGE_BYTES;
	used = gossip_message_bytes(&out->m);
	bytes = used < bytes ? bytes - used : 0;
	add_differing(g, &out->m, received, &bytes);
}
