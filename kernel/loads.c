#include "kernel/loads.h"
#include "base/hash.h"
#include "kernel/overload/engine_groups.h"
#include "kernel/overload/spill.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ASIDE_FIRST    (500 * USEC_PER_MSEC) /* about the time of a restart */
#define FULL_PAUSE     (200 * USEC_PER_MSEC) /* shorter than a stage call */
#define ASIDE_MAX      (8 * USEC_PER_SEC) /* for a target that keeps failing */
/*
 * An engine reads about 100 prompt tokens per millisecond and blocks its other
 * requests meanwhile, so shared parts that are read again count four times.
 */
#define TOKENS_PER_MS  25.0
#define READ_COST      4.0
/* Part of its gap that a stream loses at an engine that takes twice as long. */
#define SLOW_SHARE     0.25
/* Cost of one more running request to the others, in milliseconds. */
#define RUNNING_MS     4.0
/* Cost of a request that waits for a slot, in milliseconds. */
#define WAITING_MS     40.0
/* A report older than this no longer counts: the calls in it have ended. */
#define REPORT_MAX_AGE (2 * USEC_PER_SEC)
/* Cost of a megabyte from another failure domain, in milliseconds. */
#define REMOTE_MB_MS   6.0
/* Cost of a call to another failure domain, a round trip, in milliseconds. */
#define REMOTE_MS      2.0

void
loads_init(struct loads *l, const char *domain, uint64_t seed)
{
	*l = (struct loads){ 0 };
	g_strlcpy(l->domain, domain, sizeof(l->domain));
	rng_init(&l->rng, seed);
	l->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	l->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
	l->by_service = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	l->domains = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	l->evacuated =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->withheld = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	l->host_ids = g_ptr_array_new_with_free_func(g_free);
	l->cold_rules =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	target_cold_hosts_init(&l->cold_hosts);
}

static void
free_hosts(struct loads *l)
{
	g_ptr_array_set_size(l->host_ids, 0);
	g_free((struct rendezvous_host *)l->hosts.v);
}

void
loads_limit_changed(const struct loads *l, struct target_load *t, usec_t now)
{
	target_limit_share(&t->limit, t->entry.id, &l->hosts, now);
}

void
loads_set_hosts(struct loads *l, const struct rendezvous_host *v, size_t n,
    const char *self, usec_t now)
{
	struct rendezvous_host *copy = g_new(struct rendezvous_host, n + 1);
	bool known_changed;
	GHashTableIter it;
	gpointer p;

	free_hosts(l);
	for (size_t i = 0; i < n; i++) {
		char *id = g_strdup(v[i].id);

		g_ptr_array_add(l->host_ids, id);
		copy[i] = (struct rendezvous_host){ id, v[i].capacity };
	}
	l->hosts = (struct target_limit_hosts){ copy, n, self };
	known_changed = target_cold_hosts_set(&l->cold_hosts,
	    (const char *const *)l->host_ids->pdata, n, self, now);
	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct target_load *t = p;

		if (t->limit.rate > 0)
			loads_limit_changed(l, t, now);
		if (known_changed && target_cold_is_bounded(&t->cold, now))
			target_cold_share(
			    &t->cold, t->entry.id, &l->cold_hosts);
	}
}

static void
free_domain(gpointer p)
{
	struct loads_domain *d = p;

	g_ptr_array_unref(d->targets);
	g_free(d);
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
	const struct loads_domain *const *x = a;
	const struct loads_domain *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

static struct loads_domain *
find_domain(const GPtrArray *v, const char *name)
{
	for (guint i = 0; v != NULL && i < v->len; i++) {
		struct loads_domain *d = v->pdata[i];

		if (strcmp(d->name, name) == 0)
			return d;
	}
	return NULL;
}

static void
add_to_domain(GPtrArray *v, struct target_load *t)
{
	struct loads_domain *d = find_domain(v, t->entry.domain);

	if (d == NULL) {
		d = g_new0(struct loads_domain, 1);
		g_strlcpy(d->name, t->entry.domain, sizeof(d->name));
		d->targets = g_ptr_array_new();
		g_ptr_array_add(v, d);
	}
	g_ptr_array_add(d->targets, t);
}

/*
 * Whether a service is split.  The evacuation of a domain doesn't change that:
 * hosts that start meanwhile decide as the others have done.
 */
static bool
is_split(const struct loads *l, const char *service, bool was_split)
{
	g_autoptr(GPtrArray) domains =
	    g_ptr_array_new_with_free_func(free_domain);
	GHashTable *tables[] = { l->by_service, l->withheld };
	uint32_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		const GPtrArray *v = g_hash_table_lookup(tables[i], service);

		for (guint k = 0; v != NULL && k < v->len; k++)
			add_to_domain(domains, v->pdata[k]);
		n += v != NULL ? v->len : 0;
	}
	return spill_is_split(n, domains->len, was_split);
}

/* Groups the usable targets of the services that are split by domain. */
static void
index_domains(struct loads *l)
{
	GHashTableIter it;
	gpointer name;
	gpointer p;

	g_autoptr(GHashTable) old = l->domains;

	l->domains = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	g_hash_table_iter_init(&it, l->by_service);
	while (g_hash_table_iter_next(&it, &name, &p)) {
		const GPtrArray *all = p;
		GPtrArray *v = g_ptr_array_new_with_free_func(free_domain);

		for (guint i = 0; i < all->len; i++)
			add_to_domain(v, all->pdata[i]);
		g_ptr_array_sort(v, by_name);
		if (is_split(l, name, g_hash_table_contains(old, name)))
			g_hash_table_insert(l->domains, g_strdup(name), v);
		else
			g_ptr_array_unref(v);
	}
}

const GPtrArray *
loads_domains(const struct loads *l, const char *service)
{
	return g_hash_table_lookup(l->domains, service);
}

const GPtrArray *
loads_usable_in(const struct loads *l, const char *service, const char *domain)
{
	const struct loads_domain *d =
	    find_domain(loads_domains(l, service), domain);

	return d != NULL ? d->targets : loads_usable(l, service);
}

static void
add_to_service(GHashTable *table, struct target_load *t)
{
	GPtrArray *v = g_hash_table_lookup(table, t->entry.service);

	if (v == NULL) {
		v = g_ptr_array_new();
		g_hash_table_insert(table, g_strdup(t->entry.service), v);
	}
	g_ptr_array_add(v, t);
}

/* What bars a target from all calls. */
static enum loads_bar
list_bar(const struct target_load *t)
{
	if (!t->listed)
		return LOADS_UNLISTED;
	if (t->leaving || t->entry.leaving)
		return LOADS_LEAVING;
	return t->evacuated ? LOADS_EVACUATED : LOADS_FREE;
}

/* Rebuilds the index by address and that of usable targets by service. */
static void
index_targets(struct loads *l)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_remove_all(l->by_addr);
	g_hash_table_remove_all(l->by_service);
	g_hash_table_remove_all(l->withheld);
	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct target_load *t = p;
		enum loads_bar bar;

		t->evacuated =
		    g_hash_table_contains(l->evacuated, t->entry.domain);
		if (t->listed)
			g_hash_table_insert(l->by_addr, t->entry.addr, t);
		bar = list_bar(t);
		if (bar == LOADS_FREE)
			add_to_service(l->by_service, t);
		else if (bar == LOADS_EVACUATED)
			add_to_service(l->withheld, t);
	}
	index_domains(l);
}

/* The target is used again: its share rises, if its service has a bound. */
static void
appeared(const struct loads *l, struct target_load *t, usec_t now)
{
	if (t->cold.rule.per_s == 0)
		return;
	target_cold_share(&t->cold, t->entry.id, &l->cold_hosts);
	target_cold_appeared(&t->cold, now);
}

void
loads_set_evacuated(struct loads *l, const GArray *evacuations, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	if (evacuations->len == 0 && g_hash_table_size(l->evacuated) == 0)
		return;
	g_hash_table_remove_all(l->evacuated);
	for (guint i = 0; i < evacuations->len; i++)
		g_hash_table_add(l->evacuated,
		    g_strdup(g_array_index(evacuations, struct evacuation, i)
				 .domain));
	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct target_load *t = p;

		if (t->evacuated &&
		    !g_hash_table_contains(l->evacuated, t->entry.domain))
			appeared(l, t, now);
	}
	index_targets(l);
}

bool
loads_is_evacuated(const struct loads *l, const char *service)
{
	return loads_usable(l, service) == NULL &&
	    g_hash_table_contains(l->withheld, service);
}

size_t
loads_withheld(const struct loads *l)
{
	GHashTableIter it;
	gpointer v;
	size_t n = 0;

	g_hash_table_iter_init(&it, l->withheld);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += ((const GPtrArray *)v)->len;
	return n;
}

bool
loads_is_empty(const struct loads *l)
{
	return g_hash_table_size(l->by_id) == 0;
}

bool
loads_is_there(struct loads *l, const struct target_entry *e)
{
	const struct target_load *t = loads_find(l, e->id);

	return t != NULL && t->listed && strcmp(t->entry.addr, e->addr) == 0;
}

/* The target restarted under the same id: its state is out of date. */
static void
forget_state(struct target_load *t)
{
	t->leaving = false;
	t->failures = 0;
	t->aside_until = 0;
	t->pace = (struct target_pace){ 0 };
	t->speed = (struct target_speed){ 0 };
	t->limit = (struct target_limit){ 0 };
	t->rest_until = 0;
	t->brittle = (struct target_brittle){ 0 };
	t->bad_limit = false;
}

/* Takes over from an entry for how long its target is cold. */
static void
set_cold(struct loads *l, struct target_load *t, const struct target_entry *e,
    bool older, usec_t now)
{
	const struct target_cold_rule *rule =
	    g_hash_table_lookup(l->cold_rules, e->service);

	t->cold.rule = rule != NULL ? *rule : (struct target_cold_rule){ 0 };
	/* One that is listed again says nothing new, an older one may err. */
	if (rule == NULL || e->cold_left < 0 || e->read_at == t->cold_read_at ||
	    (older && e->cold_left == 0))
		return;
	t->cold_read_at = e->read_at;
	if (e->cold_left > 0)
		target_cold_share(&t->cold, t->entry.id, &l->cold_hosts);
	target_cold_set(&t->cold, e->read_at + e->cold_left, now);
}

/*
 * Takes over an entry that the newest list has.  One of an earlier start of the
 * target, as from an older copy of the store, doesn't end what is known of the
 * later one.
 */
static void
set_entry(struct loads *l, struct target_load *t, const struct target_entry *e,
    usec_t now)
{
	struct target_entry known = t->entry;
	bool back = t->unlisted_at != 0;
	bool earlier = e->born_ms != 0 && e->born_ms < t->born_ms;
	bool older = earlier || (e->seq != 0 && e->seq <= known.seq);

	if (e->born_ms > t->born_ms) {
		forget_state(t);
		t->restart_at = t->born_ms != 0 ? now : 0;
		t->born_ms = e->born_ms;
		older = false;
	}
	if (older &&
	    (t->unlisted_at != 0 || (earlier && e->born_ms != known.born_ms)))
		loads_rest(t, ROSTER_GRACE_TIME, now);
	t->entry = *e;
	if (e->born_ms == 0)
		t->entry.born_ms = known.born_ms;
	if (t->entry.born_ms != known.born_ms)
		t->seen_born_ms = 0;
	if (older) {
		t->entry.seq = known.seq;
		t->entry.leaving = known.leaving || e->leaving;
	}
	t->listed = true;
	t->unlisted_at = 0;
	set_cold(l, t, e, older, now);
	if (back)
		appeared(l, t, now);
}

/* Frees a target that has been missing for long, unless it has calls. */
static bool
expire(struct target_load *t, usec_t now)
{
	if (t->listed)
		return false;
	if (t->unlisted_at == 0)
		t->unlisted_at = now;
	return t->in_flight == 0 && now - t->unlisted_at >= LOADS_KEEP_TIME;
}

void
loads_update(struct loads *l, const GArray *targets, usec_t now)
{
	bool first = loads_is_empty(l);
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct target_load *)p)->listed = false;
	for (guint i = 0; i < targets->len; i++) {
		const struct target_entry *e =
		    &g_array_index(targets, struct target_entry, i);
		struct target_load *t = g_hash_table_lookup(l->by_id, e->id);

		if (t == NULL) {
			t = xcalloc(1, sizeof(*t));
			t->entry = *e;
			t->group_hash = engine_groups_hash(e->id);
			t->unlisted_at = first ? 0 : now;
			g_hash_table_insert(l->by_id, t->entry.id, t);
		}
		set_entry(l, t, e, now);
	}
	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (expire(p, now))
			g_hash_table_iter_remove(&it);
	}
	index_targets(l);
}

struct target_load *
loads_find(struct loads *l, const char *id)
{
	return g_hash_table_lookup(l->by_id, id);
}

const GPtrArray *
loads_usable(const struct loads *l, const char *service)
{
	return g_hash_table_lookup(l->by_service, service);
}

static bool
already_tried(const struct loads_query *q, const struct target_load *t)
{
	for (size_t i = 0; i < q->n_tried; i++) {
		if (str_eq(q->tried[i], str_from(t->entry.id)))
			return true;
	}
	return false;
}

static bool
has_version(const struct loads_query *q, const struct target_load *t)
{
	if (q->sure_version && t->seen_born_ms != 0)
		return false;
	return q->version.n == 0 ||
	    str_eq(q->version, str_from(t->entry.version));
}

static double
active_calls(const struct target_load *t, usec_t now)
{
	double reported =
	    now - t->reported_at < REPORT_MAX_AGE ? t->reported : 0;
	double seen = reported + t->sent_since;

	return seen > t->in_flight ? seen : t->in_flight;
}

static const struct target_load *
target_at(const struct loads *l, struct str addr)
{
	char key[sizeof(((struct target_entry *)NULL)->addr)];

	if (addr.n >= sizeof(key))
		return NULL;
	memcpy(key, addr.p, addr.n);
	key[addr.n] = '\0';
	return g_hash_table_lookup(l->by_addr, key);
}

const char *
loads_domain_at(const struct loads *l, struct str addr)
{
	const struct target_load *t = target_at(l, addr);

	return t != NULL ? t->entry.domain : "";
}

const char *
loads_service_at(const struct loads *l, struct str addr)
{
	const struct target_load *t = target_at(l, addr);

	return t != NULL ? t->entry.service : "";
}

/* Rendezvous weight of a target for the shared part with hash prefix. */
static uint64_t
affinity(uint64_t prefix, const struct target_load *t)
{
	return hash_u64(str_from(t->entry.id), prefix);
}

const struct target_load *
loads_affinity_target(const GPtrArray *targets, uint64_t prefix)
{
	const struct target_load *best = NULL;

	for (guint i = 0; prefix != 0 && i < targets->len; i++) {
		const struct target_load *t = targets->pdata[i];

		if (best == NULL ||
		    affinity(prefix, t) > affinity(prefix, best))
			best = t;
	}
	return best;
}

const char *
loads_affinity_domain(const struct loads *l, const struct loads_query *q)
{
	const GPtrArray *all = loads_usable(l, q->service);
	const struct target_load *t =
	    all != NULL ? loads_affinity_target(all, q->prefix) : NULL;

	return t != NULL ? t->entry.domain : "";
}

/*
 * Cost of what is known of an engine that reports how long work takes there,
 * beyond the cost of the work itself: its slowness, and what it still reads for
 * this host.
 */
static double
reported_cost(const struct loads_query *q, const struct target_load *t,
    double work_ms, usec_t now)
{
	double slow = fmax(target_pace_slowness(&t->pace, now), 1);
	double unread_ms = (double)t->unread / (READ_COST * TOKENS_PER_MS);
	double gap_ms = (double)q->max_gap / (double)USEC_PER_MSEC;

	if (t->pace.at == 0)
		return 0;
	return unread_ms * slow + (slow - 1) * (work_ms + SLOW_SHARE * gap_ms);
}

/* What the costs of all targets of a choice have in common. */
struct cost_terms {
	const struct target_load *preferred; /* has affinity; or NULL */
	const char *input_domain;            /* or empty */
	struct target_cold_choice choice;
};

static struct cost_terms
cost_terms(
    const struct loads *l, const struct loads_query *q, const GPtrArray *all)
{
	return (struct cost_terms){
		.preferred = loads_affinity_target(all, q->prefix),
		.input_domain =
		    q->input_addr.n > 0 ? loads_domain_at(l, q->input_addr) : "",
		.choice = {
			.urgency = q->urgency,
			.n = l->n_chosen,
			.targets = all->len,
		},
	};
}

/*
 * Predicted milliseconds until the answer begins, without the parts that are
 * equal for all targets.
 */
static double
answer_cost(const struct loads *l, const struct loads_query *q,
    const struct target_load *t, const struct cost_terms *x, usec_t now)
{
	double n_active = active_calls(t, now);
	double slots = t->entry.slots > 0 ? t->entry.slots : 1;
	double work;
	double ms = strcmp(t->entry.domain, l->domain) == 0 ? 0 : REMOTE_MS;

	if (!q->engine)
		return ms + 20.0 * n_active / slots;
	work = n_active * RUNNING_MS;
	if (n_active >= slots)
		work += (n_active - slots + 1) * WAITING_MS;
	if (t != x->preferred)
		work += q->shared_tokens / TOKENS_PER_MS;
	ms += work + reported_cost(q, t, work, now);
	if (*x->input_domain != '\0' &&
	    strcmp(x->input_domain, t->entry.domain) != 0)
		ms += REMOTE_MB_MS * (double)q->input_bytes / 1e6;
	return ms;
}

static double
cost(const struct loads *l, const struct loads_query *q,
    const struct target_load *t, const struct cost_terms *x, usec_t now)
{
	return answer_cost(l, q, t, x, now) +
	    target_cold_cost(&t->cold, &x->choice, now);
}

/* What bars a target from a request of a host that alone calls it. */
static enum loads_bar
bar_alone(const struct target_load *t, usec_t now)
{
	if (now < t->rest_until)
		return LOADS_RESTING;
	if (now < t->brittle.pause_until)
		return LOADS_BRITTLE;
	if (!target_cold_allows_alone(&t->cold, now))
		return LOADS_COLD;
	return target_limit_allows(&t->limit, now) ? LOADS_FREE : LOADS_LIMITED;
}

/* What bars a target from a request of this host. */
static enum loads_bar
bar_now(const struct target_load *t, usec_t now)
{
	enum loads_bar b = bar_alone(t, now);

	if (b != LOADS_FREE)
		return b;
	if (!target_cold_allows(&t->cold, now))
		return LOADS_COLD;
	return target_brittle_allows(&t->brittle, t->in_flight, now)
	    ? LOADS_FREE
	    : LOADS_BRITTLE;
}

/* What bars a usable target from the call, if it isn't set aside. */
static enum loads_bar
bar_for(const struct loads_query *q, const struct target_load *t, usec_t now)
{
	if (already_tried(q, t) != q->again)
		return LOADS_TRIED;
	if (!has_version(q, t))
		return LOADS_VERSION;
	return bar_now(t, now);
}

/* Whether only the slow rise of its share bars a target that is warm again. */
static bool
is_warming(const struct loads_query *q, const struct target_load *t, usec_t now)
{
	return bar_for(q, t, now) == LOADS_COLD &&
	    !target_cold_is_cold(&t->cold, now) &&
	    target_limit_allows(&t->limit, now) &&
	    target_brittle_allows(&t->brittle, t->in_flight, now);
}

/* Whether the target may get the call, if it isn't set aside. */
static bool
is_eligible(
    const struct loads_query *q, const struct target_load *t, usec_t now)
{
	return bar_for(q, t, now) == LOADS_FREE;
}

const char *
loads_home_domain(const struct loads *l, const struct loads_query *q)
{
	const char *input_domain =
	    q->input_addr.n > 0 ? loads_domain_at(l, q->input_addr) : "";
	double remote_ms = REMOTE_MB_MS * (double)q->input_bytes / 1e6;
	const char *affinity_domain = loads_affinity_domain(l, q);

	if (*input_domain != '\0' &&
	    remote_ms > q->shared_tokens / TOKENS_PER_MS)
		return input_domain;
	return q->shared_tokens > 0 && *affinity_domain != '\0'
	    ? affinity_domain
	    : l->domain;
}

bool
loads_takes(const struct loads *l, const struct loads_query *q,
    const struct target_load *t, usec_t now)
{
	const GPtrArray *all = loads_usable(l, q->service);

	return all != NULL && g_ptr_array_find((GPtrArray *)all, t, NULL) &&
	    is_eligible(q, t, now) && now >= t->aside_until;
}

/* Which targets a choice takes, if it finds none of the ones before. */
enum choice_step {
	CHOOSE_FREE,
	CHOOSE_WARMING,
	CHOOSE_SET_ASIDE
};

static bool
is_candidate(const struct loads_query *q, const struct target_load *t,
    enum choice_step step, usec_t now)
{
	switch (step) {
	case CHOOSE_FREE:
		return is_eligible(q, t, now) && now >= t->aside_until;
	case CHOOSE_WARMING:
		return is_warming(q, t, now) && now >= t->aside_until;
	case CHOOSE_SET_ASIDE:
		return is_eligible(q, t, now) || is_warming(q, t, now);
	}
	return false;
}

static struct target_load *
choose_cheapest(const struct loads *l, const struct loads_query *q,
    const GPtrArray *all, const struct cost_terms *x, enum choice_step step,
    struct rng *rng, usec_t now)
{
	struct target_load *best = NULL;
	double lowest = 0;

	for (guint i = 0; i < all->len; i++) {
		struct target_load *t = all->pdata[i];
		double c;

		if (!is_candidate(q, t, step, now))
			continue;
		c = cost(l, q, t, x, now) + rng_unit(rng);
		if (best == NULL || c < lowest) {
			best = t;
			lowest = c;
		}
	}
	return best;
}

static struct target_load *
choose(const struct loads *l, const struct loads_query *q, const GPtrArray *all,
    const struct cost_terms *x, struct rng *rng, usec_t now)
{
	struct target_load *t = NULL;

	for (int i = CHOOSE_FREE; t == NULL && i <= CHOOSE_SET_ASIDE; i++)
		t = choose_cheapest(
		    l, q, all, x, (enum choice_step)i, rng, now);
	return t;
}

struct target_load *
loads_choose(struct loads *l, const struct loads_query *q, usec_t now)
{
	const GPtrArray *all = loads_usable(l, q->service);
	struct cost_terms x;
	struct target_load *t;

	if (all == NULL)
		return NULL;
	x = cost_terms(l, q, all);
	t = choose(l, q, all, &x, &l->rng, now);
	if (t != NULL && t->cold.rule.per_s > 0) {
		l->n_chosen++;
		target_cold_chosen(&t->cold, &x.choice);
	}
	return t;
}

static bool
has_owned(const GPtrArray *all, usec_t now)
{
	for (guint i = 0; i < all->len; i++) {
		const struct target_load *t = all->pdata[i];

		if (target_cold_owned_for(&t->cold, now) > 0)
			return true;
	}
	return false;
}

struct target_load *
loads_choose_owned(struct loads *l, const struct loads_query *q, usec_t now)
{
	const GPtrArray *all = loads_usable(l, q->service);
	struct target_load *t;

	if (all == NULL || !has_owned(all, now))
		return NULL;
	t = loads_choose(l, q, now);
	return t != NULL && target_cold_owned_for(&t->cold, now) > 0 ? t : NULL;
}

struct target_load *
loads_peek(struct loads *l, const struct loads_query *q, usec_t now)
{
	const GPtrArray *all = loads_usable(l, q->service);
	struct rng rng = l->rng;
	struct cost_terms x;

	if (all == NULL)
		return NULL;
	x = cost_terms(l, q, all);
	return choose(l, q, all, &x, &rng, now);
}

static gint
by_id(gconstpointer a, gconstpointer b)
{
	const struct loads_option *x = a;
	const struct loads_option *y = b;

	return strcmp(x->target->entry.id, y->target->entry.id);
}

GArray *
loads_explain(const struct loads *l, const struct loads_query *q, usec_t now)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct loads_option));
	const GPtrArray *all = loads_usable(l, q->service);
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	struct cost_terms x = cost_terms(l, q, all != NULL ? all : none);
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, l->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct target_load *t = p;
		struct loads_option o = { .target = t, .bar = list_bar(t) };

		if (strcmp(t->entry.service, q->service) != 0)
			continue;
		if (o.bar == LOADS_FREE)
			o.bar = bar_for(q, t, now);
		if (o.bar == LOADS_FREE && now < t->aside_until)
			o.bar = LOADS_ASIDE;
		o.cost = cost(l, q, t, &x, now);
		o.active = active_calls(t, now);
		o.report_age = t->reported_at > 0 ? now - t->reported_at : -1;
		if (o.bar == LOADS_RESTING)
			o.free_in = t->rest_until - now;
		else if (o.bar == LOADS_ASIDE)
			o.free_in = t->aside_until - now;
		g_array_append_val(out, o);
	}
	g_array_sort(out, by_id);
	return out;
}

const char *
loads_bar_name(enum loads_bar b)
{
	static const char *const names[LOADS_BARS] = {
		[LOADS_FREE] = "usable",
		[LOADS_UNLISTED] = "unlisted",
		[LOADS_LEAVING] = "leaving",
		[LOADS_EVACUATED] = "evacuated",
		[LOADS_TRIED] = "tried",
		[LOADS_VERSION] = "version",
		[LOADS_RESTING] = "resting",
		[LOADS_BRITTLE] = "brittle",
		[LOADS_COLD] = "cold",
		[LOADS_LIMITED] = "limit",
		[LOADS_ASIDE] = "set-aside",
	};

	return names[b];
}

bool
loads_has_other(const struct loads *l, const struct loads_query *q)
{
	const GPtrArray *all = loads_usable(l, q->service);

	for (guint i = 0; all != NULL && i < all->len; i++) {
		if (!already_tried(q, all->pdata[i]) &&
		    has_version(q, all->pdata[i]))
			return true;
	}
	return false;
}

usec_t
loads_limit_wait(const struct loads *l, const char *service, usec_t now)
{
	const GPtrArray *all = loads_usable(l, service);
	usec_t shortest = INT64_MAX;

	for (guint i = 0; all != NULL && i < all->len; i++) {
		const struct target_load *t = all->pdata[i];
		usec_t wait = target_limit_wait(&t->limit, now);
		usec_t cold_wait = target_cold_wait(&t->cold, now);

		wait = cold_wait > wait ? cold_wait : wait;
		if (t->rest_until - now > wait)
			wait = t->rest_until - now;
		shortest = wait < shortest ? wait : shortest;
	}
	return shortest < INT64_MAX ? shortest : 0;
}

void
loads_rest(struct target_load *t, usec_t time, usec_t now)
{
	if (now + time > t->rest_until)
		t->rest_until = now + time;
}

bool
loads_allows(const struct target_load *t, usec_t now)
{
	return bar_now(t, now) == LOADS_FREE;
}

bool
loads_is_limited(const struct target_load *t, usec_t now)
{
	return t->limit.rate > 0 || target_cold_is_bounded(&t->cold, now);
}

bool
loads_allows_alone(const struct target_load *t, usec_t now)
{
	return bar_alone(t, now) == LOADS_FREE;
}

bool
loads_brittle(const struct loads *l, struct target_load *t,
    const struct brittle_answer *a, usec_t now)
{
	return target_brittle_answered(&t->brittle, a, &l->hosts, now);
}

bool
loads_limit_told(
    struct target_load *t, double rate, usec_t named_at, usec_t now)
{
	return named_at >= t->restart_at &&
	    target_limit_told(&t->limit, rate, named_at, now);
}

void
loads_brittle_told(const struct loads *l, struct target_load *t,
    const struct brittle_answer *a, usec_t said_at)
{
	if (said_at >= t->restart_at)
		target_brittle_told(&t->brittle, a, &l->hosts, said_at);
}

void
loads_spend_alone(struct target_load *t, usec_t now)
{
	target_limit_sent(&t->limit, now);
	target_cold_sent(&t->cold, true, now);
}

void
loads_sent(struct target_load *t, usec_t now)
{
	t->in_flight++;
	t->sent_since++;
	target_limit_sent(&t->limit, now);
	target_cold_sent(&t->cold, false, now);
}

void
loads_sent_alone(struct target_load *t, usec_t now)
{
	t->in_flight++;
	t->sent_since++;
	loads_spend_alone(t, now);
}

void
loads_report(struct target_load *t, uint32_t running, uint32_t waiting,
    uint32_t slowness, usec_t now)
{
	t->reported = running + waiting;
	t->reported_at = now;
	t->sent_since = 0;
	target_pace_reported(&t->pace, slowness, now);
}

uint32_t
loads_reading(const struct loads *l, struct target_load *t,
    const struct loads_query *q, uint32_t tokens)
{
	const GPtrArray *all = loads_usable(l, q->service);
	const struct target_load *kept =
	    all != NULL ? loads_affinity_target(all, q->prefix) : NULL;

	if (kept != NULL && kept == t && tokens > q->shared_tokens)
		tokens -= q->shared_tokens;
	t->unread += tokens;
	return tokens;
}

void
loads_read(struct loads *l, const char *id, uint32_t tokens)
{
	struct target_load *t = loads_find(l, id);

	if (t != NULL)
		t->unread -= tokens < t->unread ? tokens : t->unread;
}

void
loads_failed(struct target_load *t, usec_t now)
{
	usec_t pause = ASIDE_FIRST;

	for (uint32_t i = 0; i < t->failures && pause < ASIDE_MAX; i++)
		pause *= 2;
	t->failures++;
	t->aside_until = now + (pause < ASIDE_MAX ? pause : ASIDE_MAX);
}

void
loads_unset_aside(struct target_load *t)
{
	t->failures = 0;
	t->aside_until = 0;
}

void
loads_full(struct target_load *t, usec_t now)
{
	t->aside_until = now + FULL_PAUSE;
}

void
loads_ended(
    struct loads *l, const char *id, enum loads_result result, usec_t now)
{
	struct target_load *t = loads_find(l, id);

	if (t == NULL)
		return;
	if (t->in_flight > 0)
		t->in_flight--;
	switch (result) {
	case LOADS_OK:
		loads_unset_aside(t);
		break;
	case LOADS_FULL:
		loads_full(t, now);
		break;
	case LOADS_FAILED:
		/* No report will follow that takes the call into account. */
		if (t->sent_since > 0)
			t->sent_since--;
		loads_failed(t, now);
		break;
	}
	/* What has ended runs no more, also if no report says so. */
	if (t->sent_since > t->in_flight)
		t->sent_since = t->in_flight;
}

uint32_t
loads_conn_share(uint32_t max_conns, uint32_t hosts)
{
	uint32_t share = max_conns / (hosts > 0 ? hosts : 1);

	if (max_conns > 0 && share == 0)
		share = 1;
	return share;
}

void
loads_saw_start(struct target_load *t, uint64_t born_ms)
{
	t->seen_born_ms = born_ms;
}

void
loads_mark_leaving(struct loads *l, struct target_load *t)
{
	if (t->leaving)
		return;
	t->leaving = true;
	index_targets(l);
}

void
loads_free(struct loads *l)
{
	free_hosts(l);
	target_cold_hosts_free(&l->cold_hosts);
	g_hash_table_destroy(l->cold_rules);
	g_ptr_array_unref(l->host_ids);
	g_hash_table_destroy(l->evacuated);
	g_hash_table_destroy(l->withheld);
	g_hash_table_destroy(l->domains);
	g_hash_table_destroy(l->by_service);
	g_hash_table_destroy(l->by_addr);
	g_hash_table_destroy(l->by_id);
}
