#include "kernel/overload/placement.h"
#include "kernel/overload/engine_choice.h"
#include "kernel/overload/engine_groups.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A request of each less urgent rank counts as due so much later. */
#define RANK_TIME       (500 * USEC_PER_MSEC)
/*
 * A request waits behind more urgent ones, or late behind those that can be on
 * time, until this part of the time from its aim to its deadline is over.
 */
#define MAX_DELAY       0.5
/* Left of the slack when a prompt is sent to an engine that reads others. */
#define MARGIN_MS       20.0
/* An engine is slow that takes this many times as long as usual. */
#define SLOW_FACTOR     1.5
/* Share of the tokens that late prompts get while others can be on time. */
#define LATE_SHARE      0.2
/* Bounds the tokens that they have not used. */
#define MAX_LATE_CREDIT 50000.0
/* Requests that are held after all engines were looked at, in one step. */
#define MAX_LOOKS       64
/* A target that was limited, or another that may appear, is looked at again. */
#define RECHECK_TIME    (100 * USEC_PER_MSEC)
#define MIN_CHECK_TIME  (1 * USEC_PER_MSEC)
#define SWEEP_TIME      (1 * USEC_PER_SEC)
/* Hosts may be late to say that a request has ended. */
#define FORGET_TIME     (5 * USEC_PER_SEC)
#define MIN_FULL_WAIT   (100 * USEC_PER_MSEC)

struct placement {
	char *service;
	struct engine_group_id group;
	struct loads *loads;
	uint32_t slots;
	uint64_t kv_tokens;
	struct engine_norms norms;
	GHashTable *prompts; /* by host and number: struct prompt */
	GHashTable *engines; /* by id: struct engine_load */
	GPtrArray *queue;    /* struct prompt, by order */
	GArray *views;
	uint64_t number; /* of the last submission */
	bool changed;    /* since the last step */
	bool unsorted;
	/* Tokens that late prompts may take before others. */
	double late_credit;
	usec_t check_at; /* when waiting prompts are looked at again */
	usec_t swept_at;
	usec_t now; /* of the last call */
};

/* Waiting prompts before one, during a step. */
struct ahead {
	size_t n;
	uint64_t tokens;
	double least_wait_ms; /* of those that were looked at */
	double rate;          /* of all engines */
	double slots;
	size_t held;
	uint32_t least_tokens; /* of a prompt that is held */
	char version[64];      /* of those that are held */
};

/* A part of the queue, and the decisions on it. */
struct part {
	guint from, to;
	bool overdue; /* only late prompts that have yielded for long enough */
	struct placement_decision *out;
	size_t n, max;
};

static guint
hash_prompt(gconstpointer p)
{
	const struct placement_request *q = p;

	return (guint)prompt_cache_hash(q->host, q->ask);
}

static gboolean
equal_prompt(gconstpointer a, gconstpointer b)
{
	const struct placement_request *x = a;
	const struct placement_request *y = b;

	return x->host == y->host && x->ask == y->ask;
}

static void
free_engine(gpointer p)
{
	engine_load_free(p);
}

struct placement *
placement_new(const struct placement_opts *o)
{
	struct placement *p = g_new0(struct placement, 1);

	p->service = g_strdup(o->service);
	g_strlcpy(p->group.domain, o->domain, sizeof(p->group.domain));
	p->group.n = o->groups > 0 ? o->groups : 1;
	p->group.index = o->groups > 0 ? o->group : 0;
	p->loads = o->loads;
	p->slots = o->slots > 0 ? o->slots : 1;
	p->kv_tokens = o->kv_tokens;
	p->norms = engine_norms_init();
	p->prompts =
	    g_hash_table_new_full(hash_prompt, equal_prompt, NULL, g_free);
	p->engines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_engine);
	p->queue = g_ptr_array_new();
	p->views = g_array_new(FALSE, FALSE, sizeof(struct engine_view));
	return p;
}

static struct prompt *
find_prompt(const struct placement *p, uint64_t host, uint64_t ask)
{
	struct placement_request key;

	key.host = host;
	key.ask = ask;
	return g_hash_table_lookup(p->prompts, &key);
}

/* When its host waits no longer for a decision. */
static usec_t
latest_of(const struct placement_request *q)
{
	return q->latest > 0 && q->latest < q->deadline ? q->latest
							: q->deadline;
}

/* When the delay of a prompt for the sake of others ends. */
static usec_t
latest_order(const struct placement_request *q)
{
	usec_t rest = latest_of(q) - q->aim;

	return q->aim + (rest > 0 ? (usec_t)(MAX_DELAY * (double)rest) : 0);
}

static usec_t
order_of(const struct placement_request *q)
{
	usec_t latest = latest_order(q);
	usec_t t = q->aim + (usec_t)(q->rank < 10 ? q->rank : 10) * RANK_TIME;

	return t < latest ? t : latest;
}

/* Returns a new prompt, or NULL if it is known already. */
static struct prompt *
add_prompt(struct placement *p, const struct placement_request *q, usec_t now)
{
	struct prompt *x;
	uint64_t hash = 0;

	p->now = now;
	if (find_prompt(p, q->host, q->ask) != NULL)
		return NULL;
	x = g_new0(struct prompt, 1);
	x->request = *q;
	if (x->request.n_parts > PLACEMENT_MAX_PARTS)
		x->request.n_parts = PLACEMENT_MAX_PARTS;
	if (x->request.n_tried > LOADS_MAX_TRIED)
		x->request.n_tried = LOADS_MAX_TRIED;
	for (size_t i = 0; i < x->request.n_parts; i++) {
		hash = prompt_cache_hash(hash, q->parts[i].hash);
		x->prefixes[i] =
		    (struct prompt_prefix){ hash, q->parts[i].tokens };
	}
	x->submitted_at = now;
	x->order = order_of(q);
	x->number = ++p->number;
	g_hash_table_insert(p->prompts, &x->request, x);
	p->changed = true;
	return x;
}

void
placement_submit(
    struct placement *p, const struct placement_request *q, usec_t now)
{
	struct prompt *x = add_prompt(p, q, now);

	if (x == NULL)
		return;
	g_ptr_array_add(p->queue, x);
	p->unsorted = true;
}

static void
forget(struct placement *p, struct prompt *x, usec_t now)
{
	if (x->engine != NULL)
		engine_load_remove(x->engine, x, now);
	else
		g_ptr_array_remove(p->queue, x);
	g_hash_table_remove(p->prompts, &x->request);
	p->changed = true;
}

void
placement_cancel(struct placement *p, uint64_t host, uint64_t ask)
{
	struct prompt *x = find_prompt(p, host, ask);

	if (x != NULL)
		forget(p, x, p->now);
}

void
placement_begun(struct placement *p, uint64_t host, uint64_t ask, usec_t now)
{
	struct prompt *x = find_prompt(p, host, ask);

	p->now = now;
	if (x == NULL || x->engine == NULL)
		return;
	engine_load_begun(x->engine, &p->norms, x, now);
	p->changed = true;
}

void
placement_ended(struct placement *p, uint64_t host, uint64_t ask,
    bool completed, usec_t now)
{
	struct prompt *x = find_prompt(p, host, ask);

	p->now = now;
	if (x == NULL || x->engine == NULL)
		return;
	if (!completed)
		engine_load_failed(x->engine, host, now);
	else
		engine_load_completed(x->engine, &p->norms, x, now);
	forget(p, x, now);
}

void
placement_reported(struct placement *p, const char *target, uint32_t running,
    uint32_t waiting, uint32_t slowness, usec_t now)
{
	struct engine_load *e = g_hash_table_lookup(p->engines, target);

	p->now = now;
	if (e == NULL)
		return;
	engine_load_reported(e, running, waiting, slowness, now);
	p->changed = true;
}

/* Forgets the prompts of a host, or those that are over. */
static void
forget_all(struct placement *p, const uint64_t *host, usec_t now)
{
	GHashTableIter it;
	gpointer v;
	g_autoptr(GPtrArray) all = g_ptr_array_new();

	g_hash_table_iter_init(&it, p->prompts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct prompt *x = v;

		if (host != NULL ? x->request.host == *host
				 : x->engine != NULL &&
			    now > x->request.deadline + FORGET_TIME)
			g_ptr_array_add(all, v);
	}
	for (guint i = 0; i < all->len; i++)
		forget(p, all->pdata[i], now);
}

void
placement_host_ended(struct placement *p, uint64_t host, usec_t now)
{
	p->now = now;
	forget_all(p, &host, now);
}

static const GPtrArray *
usable(const struct placement *p)
{
	return *p->group.domain == '\0'
	    ? loads_usable(p->loads, p->service)
	    : loads_usable_in(p->loads, p->service, p->group.domain);
}

/* Whether the engine is one of those that are placed on here. */
static bool
is_own(const struct placement *p, const struct target_load *t)
{
	const char *domain = p->group.domain;

	return (*domain == '\0' || strcmp(t->entry.domain, domain) == 0) &&
	    engine_group_has(&p->group, t->group_hash);
}

/* The engine has ended, and what it ran with it. */
static void
remove_engine(struct placement *p, struct engine_load *e, usec_t now)
{
	while (e->prompts->len > 0)
		forget(p, e->prompts->pdata[0], now);
	g_hash_table_remove(p->engines, e->id);
}

static struct engine_load *
engine_of(struct placement *p, const struct target_load *t, usec_t now)
{
	struct engine_load *e = g_hash_table_lookup(p->engines, t->entry.id);

	if (e != NULL && t->entry.born_ms > e->born_ms) {
		if (e->born_ms != 0) {
			remove_engine(p, e, now);
			e = NULL;
		} else {
			e->born_ms = t->entry.born_ms;
		}
	}
	if (e == NULL) {
		e = engine_load_new(t->entry.id, t->entry.born_ms);
		g_hash_table_insert(p->engines, e->id, e);
	}
	return e;
}

/* Sets which parts of a prompt an engine has cached. */
static void
set_cached(struct prompt *x, struct engine_load *e)
{
	uint32_t cached = 0;

	x->n_cached =
	    prompt_cache_find(&e->cache, x->prefixes, x->request.n_parts);
	for (size_t i = 0; i < x->n_cached; i++)
		cached += x->request.parts[i].tokens;
	x->to_read = x->request.prompt_tokens > cached
	    ? x->request.prompt_tokens - cached
	    : 1;
}

void
placement_sent(struct placement *p, const struct placement_request *q,
    const char *target, usec_t now)
{
	const struct target_load *t = loads_find(p->loads, target);
	struct engine_load *e = t != NULL ? engine_of(p, t, now) : NULL;
	struct prompt *x = e != NULL ? add_prompt(p, q, now) : NULL;

	if (x == NULL)
		return;
	set_cached(x, e);
	engine_load_add(e, &p->norms, x, p->kv_tokens, now);
}

static void
set_views(struct placement *p, usec_t now)
{
	const GPtrArray *all = usable(p);

	g_array_set_size(p->views, 0);
	for (guint i = 0; all != NULL && i < all->len; i++) {
		struct target_load *t = all->pdata[i];
		struct engine_view v = { .target = t };

		if (!is_own(p, t))
			continue;
		v.engine = engine_of(p, t, now);
		v.engine->listed = true;
		engine_view_set(&v, &p->norms, p->slots, now);
		g_array_append_val(p->views, v);
	}
}

/* Drops what is over and engines that are gone. */
static void
sweep(struct placement *p, usec_t now)
{
	const GPtrArray *all = usable(p);
	GHashTableIter it;
	gpointer v;

	if (now - p->swept_at < SWEEP_TIME)
		return;
	p->swept_at = now;
	forget_all(p, NULL, now);
	g_hash_table_iter_init(&it, p->engines);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct engine_load *)v)->listed = false;
	for (guint i = 0; all != NULL && i < all->len; i++) {
		if (is_own(p, all->pdata[i]))
			engine_of(p, all->pdata[i], now)->listed = true;
	}
	g_hash_table_iter_init(&it, p->engines);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct engine_load *e = v;

		if (!e->listed && e->prompts->len == 0)
			g_hash_table_iter_remove(&it);
	}
}

static int
by_order(const void *a, const void *b)
{
	const struct prompt *x = *(const struct prompt *const *)a;
	const struct prompt *y = *(const struct prompt *const *)b;

	if (x->late != y->late)
		return x->late ? 1 : -1;
	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

static void
send_to(struct placement *p, struct prompt *x, const struct engine_look *k,
    struct placement_decision *d, usec_t now)
{
	struct engine_view *v =
	    &g_array_index(p->views, struct engine_view, k->view);

	d->verdict = PLACEMENT_SEND;
	g_strlcpy(d->target, v->engine->id, sizeof(d->target));
	d->first_event = engine_from_ms(k->first_ms);
	d->to_read = k->to_read;
	d->reading = (uint32_t)fmin(
	    v->state.unread_ms * p->norms.rate / v->state.slowness,
	    (double)UINT32_MAX);
	d->running = v->state.active - v->engine->n_reading;
	if (!x->late)
		p->late_credit = fmin(
		    p->late_credit + LATE_SHARE * k->to_read, MAX_LATE_CREDIT);
	else if (now >= x->order)
		p->late_credit = fmax(p->late_credit - k->to_read, 0);
	x->to_read = k->to_read;
	x->n_cached = k->n_cached;
	engine_load_add(v->engine, &p->norms, x, p->kv_tokens, now);
	engine_view_set(v, &p->norms, p->slots, now);
}

static void
check_by(struct placement *p, usec_t t, usec_t now)
{
	if (t < now + MIN_CHECK_TIME)
		t = now + MIN_CHECK_TIME;
	if (p->check_at == 0 || t < p->check_at)
		p->check_at = t;
}

/* Time in which the engines take the prompts that are before one. */
static double
queue_ms(const struct placement *p, const struct ahead *a)
{
	double read = a->rate > 0 ? (double)a->tokens / a->rate : 0;
	double run =
	    a->slots > 0 ? (double)a->n * p->norms.run_ms / a->slots : 0;

	return fmax(read, run);
}

static void
set_full(struct placement_decision *d, double ms)
{
	d->verdict = PLACEMENT_FULL;
	d->wait = engine_from_ms(ms);
	if (d->wait < MIN_FULL_WAIT)
		d->wait = MIN_FULL_WAIT;
}

/*
 * Whether a prompt that can't be sent now waits: sets *d if it can't be served
 * at all.
 */
static bool
holds(struct placement *p, struct prompt *x, struct ahead *a, double wait_ms,
    uint32_t to_read, struct placement_decision *d, usec_t now)
{
	usec_t latest = latest_of(&x->request);
	double ms = fmax(queue_ms(p, a), isfinite(wait_ms) ? wait_ms : 0);

	if (now >= latest || now + engine_from_ms(ms) >= latest) {
		set_full(d, ms);
		return false;
	}
	a->n++;
	a->tokens += to_read;
	check_by(p, latest, now);
	return true;
}

/* The prompt can't be on time: it yields to those that can. */
static void
set_late(struct placement *p, struct prompt *x)
{
	if (x->late)
		return;
	x->late = true;
	x->order = latest_order(&x->request);
	p->unsorted = true;
}

/* Notes a prompt that is held although all engines were looked at. */
static void
note_held(const struct prompt *x, struct ahead *a)
{
	if (a->held == 0)
		g_strlcpy(a->version, x->request.version, sizeof(a->version));
	if (strcmp(x->request.version, a->version) != 0)
		return;
	a->held++;
	if (x->request.prompt_tokens < a->least_tokens)
		a->least_tokens = x->request.prompt_tokens;
}

/*
 * When a prompt is sent to an engine that reads others: when its slack is over;
 * if it would be late there, when it has yielded for long enough.
 */
static usec_t
forced_at(const struct prompt *x, const struct engine_look *k, usec_t now)
{
	usec_t aim = x->request.aim;

	if (!x->late && now + engine_from_ms(k->first_ms) <= aim)
		return aim - engine_from_ms(k->first_ms + MARGIN_MS);
	return x->order > aim ? x->order : aim;
}

/*
 * Whether a prompt that an engine may take now is better off elsewhere a little
 * later: it would be late at that engine, or another will soon be free that is
 * faster or keeps more of it.  An idle engine takes it now unless it is slow.
 */
static bool
is_better_later(const struct placement *p, const struct engine_choice *c,
    usec_t aim, usec_t now)
{
	const struct engine_view *v =
	    &g_array_index(p->views, struct engine_view, c->open.view);

	if (now + engine_from_ms(c->open.first_ms) > aim)
		return true;
	return (v->state.slowness >= SLOW_FACTOR || v->state.active > 0) &&
	    c->next.wait_ms > 0 && c->next.cost < c->open.cost &&
	    now +
		engine_from_ms(c->next.first_ms * ENGINE_SAFETY + MARGIN_MS) <=
	    aim;
}

/* The prompt is held for an engine. */
static void
await(struct placement *p, const struct engine_look *k, usec_t now)
{
	struct engine_view *v =
	    &g_array_index(p->views, struct engine_view, k->view);

	v->n_awaited++;
	v->awaited_ms += k->own_ms;
	check_by(p, now + engine_from_ms(k->wait_ms), now);
}

/*
 * Decides on a prompt: returns whether it is done with.  While it waits, the
 * time to look again is noted.
 */
static bool
decide(struct placement *p, struct prompt *x, struct ahead *a,
    struct placement_decision *d, usec_t now)
{
	usec_t aim = x->request.aim;
	struct engine_choice c;
	bool in_time;

	engine_choose(
	    &(struct engine_choice_opts){
		.views = p->views,
		.norms = &p->norms,
		.kv_tokens = p->kv_tokens,
		.rng = &p->loads->rng,
	    },
	    x, now, &c);
	if (!c.eligible) {
		d->verdict = PLACEMENT_NONE;
		return true;
	}
	in_time = c.has_next && now + engine_from_ms(c.next.first_ms) <= aim;
	if (c.has_open && !(in_time && is_better_later(p, &c, aim, now))) {
		send_to(p, x, &c.open, d, now);
		return true;
	}
	if (!in_time)
		set_late(p, x);
	if (c.has_forced && now >= forced_at(x, &c.forced, now)) {
		send_to(p, x, &c.forced, d, now);
		return true;
	}
	if (c.has_forced)
		check_by(p, forced_at(x, &c.forced, now), now);
	if (c.has_next)
		await(p, &c.next, now);
	else
		check_by(p, now + RECHECK_TIME, now);
	if (c.has_next && c.next.first_ms < a->least_wait_ms)
		a->least_wait_ms = c.next.first_ms;
	if (!holds(p, x, a, c.has_next ? c.next.first_ms : 0,
		c.has_next ? c.next.to_read : x->request.prompt_tokens, d, now))
		return true;
	note_held(x, a);
	return false;
}

static void
sum_engines(const struct placement *p, struct ahead *a)
{
	*a = (struct ahead){ .least_wait_ms = INFINITY,
		.least_tokens = UINT32_MAX };
	for (guint i = 0; i < p->views->len; i++) {
		const struct engine_view *v =
		    &g_array_index(p->views, struct engine_view, i);

		a->rate += p->norms.rate / v->state.slowness;
		a->slots += v->slots;
	}
}

/* Whether prompts like this one have been looked at in vain in this step. */
static bool
is_hopeless(const struct prompt *x, const struct ahead *a)
{
	return a->held >= MAX_LOOKS && x->request.n_tried == 0 &&
	    strcmp(x->request.version, a->version) == 0 &&
	    x->request.prompt_tokens >= a->least_tokens;
}

/* Decides on the prompts of a part of the queue; what is done with is NULL. */
static void
decide_part(struct placement *p, struct part *part, struct ahead *a, usec_t now)
{
	for (guint i = part->from; i < part->to; i++) {
		struct prompt *x = p->queue->pdata[i];
		struct placement_decision d = { 0 };
		bool done;

		if (x == NULL)
			continue;
		if (part->overdue && (now < x->order || p->late_credit <= 0))
			break;
		if (part->n == part->max) {
			p->changed = true;
			break;
		}
		d.host = x->request.host;
		d.ask = x->request.ask;
		done = is_hopeless(x, a)
		    ? !holds(p, x, a, a->least_wait_ms,
			  x->request.prompt_tokens, &d, now)
		    : decide(p, x, a, &d, now);
		if (!done && part->overdue)
			break;
		if (!done)
			continue;
		part->out[part->n++] = d;
		p->queue->pdata[i] = NULL;
		if (d.verdict != PLACEMENT_SEND)
			g_hash_table_remove(p->prompts, &x->request);
	}
}

static void
compact(GPtrArray *v)
{
	guint kept = 0;

	for (guint i = 0; i < v->len; i++) {
		if (v->pdata[i] != NULL)
			v->pdata[kept++] = v->pdata[i];
	}
	g_ptr_array_set_size(v, (gint)kept);
}

static guint
first_late(const GPtrArray *v)
{
	guint i = 0;

	while (i < v->len && !((const struct prompt *)v->pdata[i])->late)
		i++;
	return i;
}

size_t
placement_step(
    struct placement *p, struct placement_decision *out, size_t max, usec_t now)
{
	struct part part = { .out = out, .max = max };
	struct ahead a;
	guint late;

	p->now = now;
	sweep(p, now);
	if (!p->changed && now < p->check_at)
		return 0;
	p->changed = false;
	p->check_at = 0;
	if (p->queue->len == 0)
		return 0;
	set_views(p, now);
	sum_engines(p, &a);
	if (p->unsorted)
		qsort(
		    p->queue->pdata, p->queue->len, sizeof(gpointer), by_order);
	p->unsorted = false;
	late = first_late(p->queue);
	part.from = late;
	part.to = p->queue->len;
	part.overdue = true;
	decide_part(p, &part, &a, now);
	part.overdue = false;
	part.from = 0;
	decide_part(p, &part, &a, now);
	compact(p->queue);
	return part.n;
}

usec_t
placement_due(const struct placement *p, usec_t now)
{
	if (p->queue->len == 0)
		return 0;
	return p->changed || p->check_at == 0 ? now : p->check_at;
}

usec_t
placement_wait(const struct placement *p, uint32_t tokens, usec_t now)
{
	const GPtrArray *all = usable(p);
	struct ahead a = { 0 };
	double least = INFINITY;

	for (guint i = 0; all != NULL && i < all->len; i++) {
		struct engine_view v = { .target = all->pdata[i] };
		double ms =
		    p->norms.first_ms + engine_read_ms(&p->norms, tokens);

		if (!is_own(p, v.target))
			continue;
		v.engine = g_hash_table_lookup(p->engines, v.target->entry.id);
		a.slots += p->slots;
		a.rate += p->norms.rate;
		if (v.engine != NULL) {
			engine_view_set(&v, &p->norms, p->slots, now);
			a.rate +=
			    p->norms.rate / v.state.slowness - p->norms.rate;
			ms = p->norms.first_ms * v.state.slowness +
			    v.state.unread_ms +
			    engine_read_ms(&p->norms, tokens) *
				v.state.slowness;
			if (v.state.active >= v.slots)
				ms += v.next_end_ms;
		}
		/* The hosts use it by themselves until then. */
		ms += (double)target_cold_owned_for(&v.target->cold, now) /
		    USEC_PER_MSEC;
		least = fmin(least, ms);
	}
	for (guint i = 0; i < p->queue->len; i++) {
		const struct prompt *x = p->queue->pdata[i];

		a.n++;
		a.tokens += x->request.prompt_tokens;
	}
	return isfinite(least) ? engine_from_ms(least + queue_ms(p, &a)) : 0;
}

void
placement_free(struct placement *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->prompts);
	g_hash_table_destroy(p->engines);
	g_ptr_array_unref(p->queue);
	g_array_unref(p->views);
	g_free(p->service);
	g_free(p);
}
