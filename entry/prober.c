#include "entry/prober.h"
#include "base/hash.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define PROBE_INTERVAL     USEC_PER_SEC
#define PROBE_TIMEOUT      (1 * USEC_PER_SEC)
#define PROBERS_PER_TARGET 2 /* first sequoiads in rendezvous order */
#define LOAD_PATH          "/load"
/* Credit that one visit takes; each target adds probe_percent a second. */
#define VISIT_COST         ((uint64_t)100 * PROBERS_PER_TARGET)

/* A probe in flight; the slot is free when call is 0. */
struct probe {
	struct prober *p;
	uint64_t call;
	int status;
	char addr[MAX_ADDR_BYTES];
	struct buf body;
};

struct prober {
	struct prober_opts o;
	uint64_t self; /* hash of this sequoiad's id */
	uint64_t *ids; /* hashes of the other live sequoiads */
	size_t n_ids;
	struct listed_target *targets;
	size_t n_targets;
	size_t next;     /* index of the next target to visit */
	uint64_t credit; /* allowed visits, times VISIT_COST */
	usec_t ticked_at;
	struct probe probes[MAX_PROBES_PER_SECOND];
};

struct prober *
prober_new(const struct prober_opts *o)
{
	struct prober *p = xcalloc(1, sizeof(*p));

	p->o = *o;
	p->self = hash_u64(str_from(o->id), 0);
	for (size_t i = 0; i < MAX_PROBES_PER_SECOND; i++)
		p->probes[i].p = p;
	return p;
}

void
prober_set_targets(struct prober *p, const struct listed_target *v, size_t n)
{
	free(p->targets);
	p->targets = xcalloc(n, sizeof(*v));
	p->n_targets = n;
	if (n > 0) {
		memcpy(p->targets, v, n * sizeof(*v));
		p->next = p->next == 0 ? p->o.seed % n : p->next % n;
	}
}

void
prober_set_members(struct prober *p, const char *const *ids, size_t n)
{
	p->ids = xrealloc(p->ids, n + 1, sizeof(*p->ids));
	p->n_ids = 0;
	for (size_t i = 0; i < n; i++) {
		if (strcmp(ids[i], p->o.id) != 0)
			p->ids[p->n_ids++] = hash_u64(str_from(ids[i]), 0);
	}
}

/* The rendezvous hash of a sequoiad for a target; the highest comes first. */
static uint64_t
weight(uint64_t id, uint64_t target)
{
	return hash_u64((struct str){ (const char *)&id, sizeof(id) }, target);
}

/* Whether this sequoiad is among the first PROBERS_PER_TARGET for a target. */
static bool
is_assigned(const struct prober *p, const char *addr)
{
	uint64_t target = hash_u64(str_from(addr), 0);
	uint64_t own_weight = weight(p->self, target);
	int n_before = 0;

	for (size_t i = 0; i < p->n_ids; i++) {
		if (weight(p->ids[i], target) > own_weight &&
		    ++n_before == PROBERS_PER_TARGET)
			return false;
	}
	return true;
}

static bool
is_probed(const struct conf *c, const struct listed_target *x)
{
	if (x->state != TARGET_LIVE)
		return false;
	for (size_t i = 0; i < c->n_services; i++) {
		const struct conf_service *s = c->services[i];

		if (strcmp(*s->list_name != '\0' ? s->list_name : s->name,
			x->service) == 0)
			return true;
	}
	return false;
}

/* Reports the load in a response; false if the response is malformed. */
static bool
report_load(const struct probe *x)
{
	json_t *o = json_loadb(x->body.p, x->body.n, 0, NULL);
	const json_t *load = json_object_get(o, "load");
	bool leaving = json_is_true(json_object_get(o, "leaving"));
	json_int_t n = json_integer_value(load);
	bool ok = json_is_integer(load) && n >= 0 && n <= UINT32_MAX;

	if (ok)
		x->p->o.load_reported(
		    x->p->o.arg, x->addr, (uint32_t)n, leaving);
	json_decref(o);
	return ok;
}

static void
finish(struct probe *x, bool complete)
{
	if (!complete || x->status != 200 || x->body.n == 0 || !report_load(x))
		atomic_fetch_add(&x->p->o.tally->failed_probes, 1);
	x->call = 0;
}

static void
on_http(void *arg, const struct http_event *ev)
{
	struct probe *x = arg;

	switch (ev->kind) {
	case HTTP_HEAD:
		x->status = ev->status;
		break;
	case HTTP_CHUNK:
		if (x->body.n + ev->bytes.n <= MAX_PROBE_RESPONSE_BYTES) {
			buf_put(&x->body, ev->bytes);
			break;
		}
		http_cancel(x->p->o.loop, x->call);
		finish(x, false);
		break;
	case HTTP_WAIT:
		break;
	case HTTP_END:
	case HTTP_FAIL:
		finish(x, ev->kind == HTTP_END);
		break;
	}
}

static void
send_probe(struct prober *p, struct probe *x, const char *addr)
{
	struct buf url = { 0 };

	buf_printf(&url, "http://%s" LOAD_PATH, addr);
	buf_clear(&x->body);
	x->status = 0;
	memcpy(x->addr, addr, sizeof(x->addr));
	x->call = http_start(p->o.loop,
	    &(struct http_opts){
		.url = url.p,
		.timeout = PROBE_TIMEOUT,
		.max_bytes = MAX_PROBE_RESPONSE_BYTES,
		.fresh = true,
		.memory = p->o.memory,
		.use = MEMORY_PROBE,
		.handler = on_http,
		.arg = x,
	    });
	atomic_fetch_add(&p->o.tally->probes, 1);
	buf_free(&url);
}

/* The next free slot at or after *slot, or NULL. */
static struct probe *
free_slot(struct prober *p, size_t *slot)
{
	while (*slot < MAX_PROBES_PER_SECOND && p->probes[*slot].call != 0)
		(*slot)++;
	return *slot < MAX_PROBES_PER_SECOND ? &p->probes[(*slot)++] : NULL;
}

void
prober_tick(struct prober *p, const struct conf *c, usec_t now)
{
	uint64_t max_credit = p->n_targets * VISIT_COST;
	size_t slot = 0;

	if (now - p->ticked_at < PROBE_INTERVAL)
		return;
	p->ticked_at = now;
	p->credit += p->n_targets * c->fleet.probe_percent;
	/* Bounded to one pass over the targets: a pause is not caught up. */
	if (p->credit > max_credit)
		p->credit = max_credit;
	for (; p->credit >= VISIT_COST; p->credit -= VISIT_COST) {
		const struct listed_target *x = &p->targets[p->next];

		if (is_probed(c, x) && is_assigned(p, x->addr)) {
			struct probe *q = free_slot(p, &slot);

			if (q == NULL)
				return;
			send_probe(p, q, x->addr);
		}
		p->next = (p->next + 1) % p->n_targets;
	}
}

void
prober_free(struct prober *p)
{
	for (size_t i = 0; i < MAX_PROBES_PER_SECOND; i++) {
		if (p->probes[i].call != 0)
			http_cancel(p->o.loop, p->probes[i].call);
		buf_free(&p->probes[i].body);
	}
	free(p->targets);
	free(p->ids);
	free(p);
}
