#include "kernel/member.h"
#include "base/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SENDS_PER_DOUBLING 2 /* sends of an update, per log2(n) */
#define MIN_UPDATE_SENDS   4
/*
 * A member raises its incarnation by one to deny that it is gone; a new process
 * starts with a much higher one.
 */
#define MAX_DENIALS        1000

/* The index of an id, or the index at which to insert it. */
static size_t
find_position(const struct members *t, const char *id, bool *found)
{
	size_t lo = 0;
	size_t hi = t->n;

	*found = false;
	while (lo < hi) {
		size_t mid = (lo + hi) / 2;
		int c = strcmp(t->v[mid]->text, id);

		if (c == 0) {
			*found = true;
			return mid;
		}
		if (c < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct member *
member_find(const struct members *t, const char *id)
{
	bool found;
	size_t i = find_position(t, id, &found);

	return found ? t->v[i] : NULL;
}

const char *
member_rpc(const struct member *m)
{
	return m->text + m->rpc_at;
}

const char *
member_operators(const struct member *m)
{
	return m->text + m->operators_at;
}

struct member *
member_by_rpc(const struct members *t, const char *rpc)
{
	return g_hash_table_lookup(t->by_rpc, rpc);
}

static uint8_t
domain_index(struct members *t, const char *domain)
{
	for (size_t i = 0; i < t->n_domains; i++) {
		if (strcmp(t->domains[i], domain) == 0)
			return (uint8_t)i;
	}
	if (t->n_domains == MEMBER_DOMAINS)
		return MEMBER_DOMAINS - 1;
	t->domains[t->n_domains] = str_dup(str_from(domain));
	return (uint8_t)t->n_domains++;
}

static void
drop_address(struct members *t, struct member *m)
{
	if (m->text != NULL && member_by_rpc(t, member_rpc(m)) == m)
		g_hash_table_remove(t->by_rpc, member_rpc(m));
}

/* Copies id and addresses; an address belongs to its newest member. */
static void
set_text(struct members *t, struct member *m, const struct member_info *info)
{
	size_t id = strlen(info->id) + 1;
	size_t rpc = strlen(info->rpc) + 1;
	size_t ops = strlen(info->operators) + 1;
	char *text = xcalloc(1, id + rpc + ops);

	memcpy(text, info->id, id);
	memcpy(text + id, info->rpc, rpc);
	memcpy(text + id + rpc, info->operators, ops);
	drop_address(t, m);
	free(m->text);
	m->text = text;
	m->rpc_at = (uint8_t)id;
	m->operators_at = (uint8_t)(id + rpc);
	m->domain = domain_index(t, info->domain);
	t->live_stale = true;
	g_hash_table_replace(t->by_rpc, text + id, m);
}

static void
set_capacity(struct member *m, const struct member_info *info)
{
	if (info->capacity > 0)
		m->capacity =
		    (uint16_t)(info->capacity < UINT16_MAX ? info->capacity
							   : UINT16_MAX);
}

static struct member *
insert(struct members *t, const struct member_info *info)
{
	struct member *m = xcalloc(1, sizeof(*m));
	bool found;
	size_t i = find_position(t, info->id, &found);

	set_text(t, m, info);
	set_capacity(m, info);
	m->bucket = hash_u64(str_from(info->id), 0) % MEMBER_BUCKETS;
	t->v = xrealloc(t->v, t->n + 1, sizeof(void *));
	for (size_t j = t->n; j > i; j--)
		t->v[j] = t->v[j - 1];
	t->v[i] = m;
	t->n++;
	return m;
}

GQueue *
member_update_queue(struct members *t, const struct member *m)
{
	return m->full_update ? &t->joins : &t->updates;
}

static void
drop_update(struct members *t, struct member *m)
{
	if (m->update_link != NULL)
		g_queue_delete_link(member_update_queue(t, m), m->update_link);
	m->update_link = NULL;
}

/*
 * Queues the update of a member.  A state change is sent more often than a
 * join, because the digests spread joins as well.
 */
static void
queue_update(struct members *t, struct member *m, bool full)
{
	uint8_t times = MIN_UPDATE_SENDS;

	for (size_t n = t->n; n > 1 && !full; n /= 2)
		times += SENDS_PER_DOUBLING;
	drop_update(t, m);
	m->full_update = full;
	m->sends_left = times;
	g_queue_push_head(member_update_queue(t, m), m);
	m->update_link = member_update_queue(t, m)->head;
}

/* Adds a member to, or removes it from, the members that are up. */
static void
update_up_count(struct members *t, const struct member *m, bool up)
{
	uint64_t h = hash_u64(str_from(m->text), 0);

	t->digests[m->bucket] ^= (uint16_t)(h >> 32);
	if (up)
		t->n_up++;
	else
		t->n_up--;
}

static bool
counts_as_live(const struct member *m)
{
	return m->state < MEMBER_GONE && !m->draining;
}

static void
set_state(
    struct members *t, usec_t now, struct member *m, enum member_state state)
{
	bool was_live = counts_as_live(m);

	t->n_left -= m->state == MEMBER_LEFT ? 1 : 0;
	t->n_left += state == MEMBER_LEFT ? 1 : 0;
	if ((m->state < MEMBER_GONE) != (state < MEMBER_GONE))
		update_up_count(t, m, state < MEMBER_GONE);
	m->state = (uint8_t)state;
	if (state == MEMBER_LIVE || state == MEMBER_DRAINING)
		m->draining = state == MEMBER_DRAINING;
	m->changed_at = now;
	m->unanswered_since = 0;
	m->indirect_probed = false;
	if (was_live != counts_as_live(m)) {
		t->live_stale = true;
		t->version++;
	}
}

void
member_init(struct members *t, const struct member_info *self, usec_t now)
{
	*t = (struct members){ .live_stale = true, .version = 1 };
	t->by_rpc = g_hash_table_new(g_str_hash, g_str_equal);
	t->self = insert(t, self);
	update_up_count(t, t->self, true);
	t->self->incarnation = self->incarnation;
	t->self->heard_at = now;
	t->self->changed_at = now;
}

static void
free_member(struct member *m)
{
	free(m->text);
	free(m);
}

void
member_free(struct members *t)
{
	g_queue_clear(&t->updates);
	g_queue_clear(&t->joins);
	g_hash_table_destroy(t->by_rpc);
	for (size_t i = 0; i < t->n; i++)
		free_member(t->v[i]);
	for (size_t i = 0; i < t->n_domains; i++)
		free(t->domains[i]);
	free(t->v);
	free(t->live);
	*t = (struct members){ 0 };
}

void
member_info(
    const struct members *t, const struct member *m, struct member_info *out)
{
	*out = (struct member_info){
		.incarnation = m->incarnation,
		.generation = m->generation,
		.capacity = m->capacity,
		.state = m->state,
	};
	snprintf(out->id, sizeof(out->id), "%s", m->text);
	snprintf(out->rpc, sizeof(out->rpc), "%s", member_rpc(m));
	snprintf(
	    out->operators, sizeof(out->operators), "%s", member_operators(m));
	snprintf(out->domain, sizeof(out->domain), "%s", t->domains[m->domain]);
}

/*
 * Handles an update about this process: refutes a false state, unless a newer
 * process has the same id.
 */
static bool
update_self(struct members *t, usec_t now, const struct member_info *info)
{
	struct member *m = t->self;

	if (info->incarnation > m->incarnation) {
		t->superseded = true;
		return false;
	}
	if (info->incarnation < m->incarnation ||
	    info->state < MEMBER_SUSPECT || m->state == MEMBER_LEFT)
		return false;
	m->incarnation++;
	m->changed_at = now;
	return true;
}

static bool
is_newer(const struct member_info *info, const struct member *m)
{
	if (info->incarnation != m->incarnation)
		return info->incarnation > m->incarnation;
	return info->state > m->state;
}

void
member_note_generation(struct members *t, uint64_t generation, const char *rpc)
{
	if (generation <= t->generation || rpc[0] == '\0')
		return;
	t->generation = generation;
	snprintf(t->holder, sizeof(t->holder), "%s", rpc);
}

static void
raise_generation(
    struct members *t, struct member *m, const struct member_info *info)
{
	if (info->rpc[0] != '\0' && info->incarnation >= m->incarnation)
		m->generation = info->generation > m->generation ||
			info->incarnation > m->incarnation
		    ? info->generation
		    : m->generation;
	member_note_generation(t, info->generation, info->rpc);
}

static struct member *
add_member(struct members *t, usec_t now, const struct member_info *info)
{
	struct member *m = insert(t, info);

	update_up_count(t, m, true);
	m->incarnation = info->incarnation;
	raise_generation(t, m, info);
	t->version++;
	set_state(t, now, m, info->state);
	return m;
}

static bool
update_new(struct members *t, usec_t now, const struct member_info *info)
{
	/* Unknown members are added and gossiped only while they are up. */
	if (info->rpc[0] == '\0' || info->state >= MEMBER_GONE)
		return false;
	queue_update(t, add_member(t, now, info), true);
	return true;
}

bool
member_learn(struct members *t, usec_t now, const struct member_info *info)
{
	if (info->rpc[0] == '\0' || member_find(t, info->id) != NULL)
		return false;
	add_member(t, now, info)->heard_at = now;
	return true;
}

bool
member_update(struct members *t, usec_t now, const struct member_info *info)
{
	struct member *m = member_find(t, info->id);
	bool addr_changed;

	if (m == NULL)
		return update_new(t, now, info);
	if (m == t->self)
		return update_self(t, now, info);
	if (info->incarnation >= m->incarnation)
		set_capacity(m, info);
	if (!is_newer(info, m)) {
		raise_generation(t, m, info);
		return false;
	}
	raise_generation(t, m, info);
	addr_changed = info->rpc[0] != '\0' &&
	    (strcmp(info->rpc, member_rpc(m)) != 0 ||
		strcmp(info->operators, member_operators(m)) != 0 ||
		strcmp(info->domain, t->domains[m->domain]) != 0);
	if (addr_changed)
		set_text(t, m, info);
	/* Others learn of a restart that was too short to be noticed. */
	if (info->incarnation > m->incarnation + MAX_DENIALS)
		t->version++;
	m->incarnation = info->incarnation;
	set_state(t, now, m, info->state);
	queue_update(t, m, addr_changed);
	return true;
}

void
member_set_generation(struct members *t, usec_t now, uint64_t generation)
{
	if (generation <= t->self->generation)
		return;
	t->self->generation = generation;
	t->self->changed_at = now;
	if (generation >= t->generation)
		snprintf(
		    t->holder, sizeof(t->holder), "%s", member_rpc(t->self));
	if (generation > t->generation)
		t->generation = generation;
}

void
member_drain(struct members *t, usec_t now)
{
	if (t->self->state != MEMBER_LIVE)
		return;
	set_state(t, now, t->self, MEMBER_DRAINING);
}

void
member_leave(struct members *t, usec_t now)
{
	set_state(t, now, t->self, MEMBER_LEFT);
}

void
member_mark_unresponsive(
    struct members *t, usec_t now, struct member *m, enum member_state state)
{
	set_state(t, now, m, state);
	queue_update(t, m, false);
}

static bool
is_retention_over(const struct member *m, usec_t now)
{
	usec_t retention = m->state == MEMBER_LEFT ? MEMBER_LEFT_RETENTION
						   : MEMBER_GONE_RETENTION;

	return m->state >= MEMBER_GONE && !m->watched &&
	    now - m->changed_at > retention;
}

void
member_sweep(struct members *t, usec_t now)
{
	struct member *m;

	t->sweep = (t->sweep + 1) % t->n;
	m = t->v[t->sweep];
	if (m == t->self || !is_retention_over(m, now))
		return;
	for (size_t i = t->sweep; i + 1 < t->n; i++)
		t->v[i] = t->v[i + 1];
	t->n--;
	t->n_left -= m->state == MEMBER_LEFT ? 1 : 0;
	t->sweep = 0;
	drop_update(t, m);
	drop_address(t, m);
	free_member(m);
}

const char *const *
member_live(struct members *t, size_t *n)
{
	if (t->live_stale) {
		t->live = xrealloc(t->live, t->n, sizeof(*t->live));
		t->n_live = 0;
		for (size_t i = 0; i < t->n; i++) {
			if (counts_as_live(t->v[i]))
				t->live[t->n_live++] = t->v[i]->text;
		}
		t->live_stale = false;
	}
	*n = t->n_live;
	return t->live;
}

uint32_t
member_count_known(const struct members *t)
{
	return (uint32_t)(t->n - t->n_left);
}

const char *
member_config_source(
    const struct members *t, uint64_t generation, uint64_t random)
{
	for (size_t i = 0; i < t->n; i++) {
		const struct member *m = t->v[(random + i) % t->n];

		if (m != t->self && m->state < MEMBER_SUSPECT &&
		    m->generation >= generation)
			return member_rpc(m);
	}
	return generation <= t->generation && t->holder[0] != '\0' ? t->holder
								   : NULL;
}
