#include "entry/reconciler.h"
#include "base/hash.h"
#include "base/log.h"
#include "plat/http.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_TTL        (10 * USEC_PER_SEC)
#define RENEW_INTERVAL   (3 * USEC_PER_SEC)
#define LEASE_RETRY      (2 * USEC_PER_SEC)
#define READ_TIMEOUT     (2 * USEC_PER_SEC)
#define ORDERS_PATH      "/v1/orders"
/* State of a target, or its answer to an order. */
#define MAX_REPORT_BYTES ((size_t)64 * 1024)
#define LEASE_KEY        "sequoia/orders/"

enum lease_step {
	LEASE_NONE,
	LEASE_GRANTING, /* waiting for the lease grant */
	LEASE_TAKING,   /* creating the service's key under the lease */
	LEASE_HELD
};

/* A service with its lease and the state of its orders. */
struct service_orders {
	struct reconciler *reconciler;
	char *name;
	char *listed; /* the service's name in the host list */
	struct orders state;
	bool elected; /* this sequoiad should hold the lease */
	enum lease_step step;
	int64_t lease;
	int64_t revision;          /* key revision: the fencing number */
	usec_t lease_requested_at; /* when the grant or renewal was sent */
	usec_t retry_at;
	bool renewing;
	unsigned calls; /* HTTP and key-value calls in flight */
	bool removed;   /* no longer in the configuration */
};

/* A state read or an order in flight. */
struct order_call {
	struct service_orders *s;
	enum orders_action_kind kind;
	char addr[MAX_ADDR_BYTES];
	uint64_t call_id; /* HTTP call */
	int status;
	struct buf body;
};

struct reconciler {
	struct reconciler_opts o;
	GHashTable *services;    /* name -> struct service_orders, owned */
	GHashTable *order_calls; /* set of struct order_call, owned */
	usec_t now;
};

static void
free_order_call(gpointer p)
{
	struct order_call *x = p;

	http_cancel(x->s->reconciler->o.loop, x->call_id);
	buf_free(&x->body);
	free(x);
}

static void
free_service(gpointer p)
{
	struct service_orders *s = p;

	orders_free(&s->state);
	free(s->name);
	free(s->listed);
	free(s);
}

static void
lease_key(const struct service_orders *s, struct buf *out)
{
	buf_printf(out, "%s%s", LEASE_KEY, s->name);
}

static void
drop_lease(struct service_orders *s)
{
	s->step = LEASE_NONE;
	s->retry_at = s->reconciler->now + LEASE_RETRY;
	orders_set_lease(&s->state, s->reconciler->now, false, 0, 0);
}

static void
on_taken(void *arg, const struct kv_result *r)
{
	struct service_orders *s = arg;

	s->calls--;
	s->reconciler->now = clock_now();
	if (r->status != KV_OK) {
		/* The key, if it was created, ends with its lease. */
		kv_lease_revoke(s->reconciler->o.kv, s->lease, NULL, NULL);
		drop_lease(s);
		return;
	}
	s->step = LEASE_HELD;
	s->revision = r->mod_revision;
	orders_set_lease(&s->state, s->reconciler->now, true,
	    (uint64_t)s->revision, s->lease_requested_at + LEASE_TTL);
	LOG(LOG_LVL_NOTICE, "orders-lease-held",
	    { "service", str_from(s->name) });
}

static void
on_granted(void *arg, const struct kv_result *r)
{
	struct service_orders *s = arg;
	struct buf key = { 0 };

	s->calls--;
	s->reconciler->now = clock_now();
	if (r->status != KV_OK || r->lease == 0) {
		drop_lease(s);
		return;
	}
	s->lease = r->lease;
	s->step = LEASE_TAKING;
	s->calls++;
	lease_key(s, &key);
	kv_cas(s->reconciler->o.kv,
	    &(struct kv_cas_opts){
		.key = str_of(&key),
		.value = str_from(s->reconciler->o.id),
		.lease = s->lease,
	    },
	    on_taken, s);
	buf_free(&key);
}

static void
on_renewed(void *arg, const struct kv_result *r)
{
	struct service_orders *s = arg;

	s->calls--;
	s->renewing = false;
	s->reconciler->now = clock_now();
	if (s->step != LEASE_HELD)
		return;
	if (r->status == KV_OK)
		orders_set_lease(&s->state, s->reconciler->now, true,
		    (uint64_t)s->revision, s->lease_requested_at + LEASE_TTL);
	else if (r->status == KV_REFUSED)
		drop_lease(s);
}

static void
maintain_lease(struct service_orders *s)
{
	usec_t now = s->reconciler->now;

	switch (s->step) {
	case LEASE_NONE:
		if (!s->elected || now < s->retry_at)
			return;
		s->step = LEASE_GRANTING;
		s->lease_requested_at = now;
		s->calls++;
		kv_lease_grant(s->reconciler->o.kv, LEASE_TTL, on_granted, s);
		break;
	case LEASE_HELD:
		if (now >= s->lease_requested_at + LEASE_TTL) {
			drop_lease(s);
		} else if (!s->renewing &&
		    now - s->lease_requested_at >= RENEW_INTERVAL) {
			s->renewing = true;
			s->lease_requested_at = now;
			s->calls++;
			kv_lease_keepalive(
			    s->reconciler->o.kv, s->lease, on_renewed, s);
		}
		break;
	case LEASE_GRANTING:
	case LEASE_TAKING:
		break;
	}
}

static void
copy_field(char *out, size_t cap, const json_t *o, const char *key)
{
	const char *text = json_string_value(json_object_get(o, key));

	snprintf(out, cap, "%s", text != NULL ? text : "");
}

static int
compare_strings(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Joins the sorted strings of a list with spaces. */
static void
join_sorted(const json_t *list, char *out, size_t cap)
{
	size_t n = json_array_size(list);
	const char **v = xcalloc(n, sizeof(*v));
	struct buf all = { 0 };
	size_t found = 0;

	for (size_t i = 0; i < n; i++) {
		const char *t = json_string_value(json_array_get(list, i));

		if (t != NULL)
			v[found++] = t;
	}
	if (found > 0)
		qsort(v, found, sizeof(*v), compare_strings);
	for (size_t i = 0; i < found; i++)
		buf_printf(&all, "%s%s", i > 0 ? " " : "", v[i]);
	snprintf(out, cap, "%.*s", STR_FMT(str_of(&all)));
	buf_free(&all);
	free(v);
}

static void
read_state(struct service_orders *s, const char *addr, const json_t *o)
{
	const json_t *model = json_array_get(json_object_get(o, "models"), 0);
	const char *error = json_string_value(json_object_get(o, "error"));
	enum orders_report report = ORDERS_LOADING;
	struct orders_state have = { 0 };

	copy_field(have.model, sizeof(have.model), model, "name");
	copy_field(have.version, sizeof(have.version), model, "version");
	copy_field(have.role, sizeof(have.role), o, "role");
	join_sorted(json_object_get(o, "adapters"), have.adapters,
	    sizeof(have.adapters));
	if (error != NULL && *error != '\0')
		report = ORDERS_FAILED;
	else if (json_is_true(json_object_get(o, "ready")))
		report = ORDERS_READY;
	orders_on_report(&s->state, s->reconciler->now, addr, report, &have);
}

static void
finish_read(struct service_orders *s, const struct order_call *x, bool complete)
{
	json_t *o = NULL;

	if (complete && x->status == 200)
		o = json_loadb(x->body.p, x->body.n, 0, NULL);
	if (o != NULL)
		read_state(s, x->addr, o);
	else
		orders_on_report(&s->state, s->reconciler->now, x->addr,
		    ORDERS_NO_ANSWER, NULL);
	json_decref(o);
}

static void
finish_order(
    struct service_orders *s, const struct order_call *x, bool complete)
{
	enum orders_reply r = ORDERS_REFUSED;

	if (!complete || x->status >= 500)
		r = ORDERS_LOST;
	else if (x->status == 409)
		r = ORDERS_FENCED;
	else if (x->status < 300)
		r = ORDERS_ACCEPTED;
	orders_on_reply(&s->state, s->reconciler->now, x->addr, r);
}

static void
on_http(void *arg, const struct http_event *ev)
{
	struct order_call *x = arg;
	struct service_orders *s = x->s;

	switch (ev->kind) {
	case HTTP_HEAD:
		x->status = ev->status;
		return;
	case HTTP_CHUNK:
		buf_put(&x->body, ev->bytes);
		return;
	case HTTP_WAIT:
		return;
	case HTTP_END:
	case HTTP_FAIL:
		break;
	}
	s->calls--;
	s->reconciler->now = clock_now();
	if (x->kind == ORDERS_READ)
		finish_read(s, x, ev->kind == HTTP_END);
	else
		finish_order(s, x, ev->kind == HTTP_END);
	g_hash_table_remove(s->reconciler->order_calls, x);
}

static void
order_body(const struct orders_action *a, struct buf *out)
{
	json_t *adapters = json_array();
	struct str rest = str_from(a->desired.adapters);
	struct str part;
	json_t *o;
	char *text;

	while (str_cut(&rest, ' ', &part)) {
		if (part.n > 0)
			json_array_append_new(
			    adapters, json_stringn(part.p, part.n));
	}
	o = json_pack("{s:I, s:[{s:s, s:s}], s:o}", "fence",
	    (json_int_t)a->fencing, "models", "name", a->desired.model,
	    "version", a->desired.version, "adapters", adapters);
	if (*a->desired.role != '\0')
		json_object_set_new(o, "role", json_string(a->desired.role));
	text = json_dumps(o, JSON_COMPACT);
	buf_put(out, str_from(text));
	free(text);
	json_decref(o);
}

static void
start_order_call(struct service_orders *s, const struct orders_action *a)
{
	struct order_call *x = xcalloc(1, sizeof(*x));
	struct buf url = { 0 };
	struct buf body = { 0 };
	bool order = a->kind == ORDERS_SEND;
	usec_t remaining = a->not_after - s->reconciler->now;
	usec_t limit = s->state.opts.order_timeout;

	x->s = s;
	x->kind = a->kind;
	snprintf(x->addr, sizeof(x->addr), "%s", a->addr);
	if (order)
		order_body(a, &body);
	buf_printf(&url, "http://%s%s", a->addr, ORDERS_PATH);
	g_hash_table_add(s->reconciler->order_calls, x);
	s->calls++;
	x->call_id = http_start(s->reconciler->o.loop,
	    &(struct http_opts){
		.method = order ? "POST" : "GET",
		.url = url.p,
		.body = str_of(&body),
		.timeout = !order       ? READ_TIMEOUT
		    : remaining < limit ? remaining
					: limit,
		.max_bytes = MAX_REPORT_BYTES,
		.fresh = order,
		.memory = s->reconciler->o.memory,
		.use = MEMORY_PROBE,
		.handler = on_http,
		.arg = x,
	    });
	buf_free(&url);
	buf_free(&body);
}

static void
send_due_orders(struct service_orders *s)
{
	struct orders_action a;
	struct buf line = { 0 };

	for (orders_next(&s->state, s->reconciler->now, &a);
	     a.kind != ORDERS_NOTHING;
	     orders_next(&s->state, s->reconciler->now, &a)) {
		if (a.kind == ORDERS_SEND &&
		    !orders_may_send(&s->state, &a, clock_now()))
			orders_on_reply(
			    &s->state, s->reconciler->now, a.addr, ORDERS_LOST);
		else
			start_order_call(s, &a);
	}
	if (orders_take_halt(&s->state, &line))
		LOG(LOG_LVL_ERR, "orders-halted",
		    { "service", str_from(s->name) },
		    { "detail", str_of(&line) });
	buf_free(&line);
}

static struct orders_opts
orders_opts_of(const struct conf_service *c)
{
	return (struct orders_opts){
		.loading_cap = c->loading_cap,
		.fencing = (enum fencing)c->fencing,
		.order_timeout = c->order_timeout,
		.lease_ttl = LEASE_TTL,
	};
}

static struct service_orders *
new_service(struct reconciler *r, const struct conf_service *c)
{
	struct service_orders *s = xcalloc(1, sizeof(*s));
	struct orders_opts opts = orders_opts_of(c);

	s->reconciler = r;
	s->name = str_dup(str_from(c->name));
	orders_init(&s->state, &opts);
	g_hash_table_insert(r->services, s->name, s);
	return s;
}

static void
set_desired_state(struct service_orders *s, const struct conf_service *c)
{
	struct orders_state desired;
	struct orders_opts opts = orders_opts_of(c);

	free(s->listed);
	s->listed =
	    str_dup(str_from(*c->list_name != '\0' ? c->list_name : c->name));
	s->removed = false;
	orders_set_opts(&s->state, &opts);
	orders_desired_state(c, &desired);
	orders_set_desired(&s->state, &desired);
}

static void
release_lease(struct service_orders *s)
{
	if (s->step == LEASE_HELD)
		kv_lease_revoke(s->reconciler->o.kv, s->lease, NULL, NULL);
	drop_lease(s);
}

struct reconciler *
reconciler_new(const struct reconciler_opts *opts)
{
	struct reconciler *r = xcalloc(1, sizeof(*r));

	r->o = *opts;
	r->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
	r->order_calls = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, free_order_call, NULL);
	return r;
}

void
reconciler_set_conf(struct reconciler *r, const struct conf *c)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, r->services);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct service_orders *)p)->removed = true;
	for (size_t i = 0; i < c->n_services; i++) {
		const struct conf_service *x = c->services[i];
		struct service_orders *s;

		if (x->orders == 0 || x->enabled == 0)
			continue;
		s = g_hash_table_lookup(r->services, x->name);
		if (s == NULL)
			s = new_service(r, x);
		set_desired_state(s, x);
	}
}

void
reconciler_set_targets(
    struct reconciler *r, const struct listed_target *v, size_t n)
{
	const char **addrs = xcalloc(n, sizeof(*addrs));
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, r->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct service_orders *s = p;
		size_t found = 0;

		for (size_t i = 0; i < n; i++) {
			if (v[i].state == TARGET_LIVE &&
			    strcmp(v[i].service, s->listed) == 0)
				addrs[found++] = v[i].addr;
		}
		orders_set_targets(&s->state, addrs, found);
	}
	free(addrs);
}

/* Whether this sequoiad is first in the service's rendezvous order. */
static bool
is_elected(const struct reconciler *r, const char *service,
    const char *const *ids, size_t n)
{
	uint64_t seed = hash_u64(str_from(service), 0);
	uint64_t mine = hash_u64(str_from(r->o.id), seed);
	bool listed = false;

	for (size_t i = 0; i < n; i++) {
		if (strcmp(ids[i], r->o.id) == 0)
			listed = true;
		else if (hash_u64(str_from(ids[i]), seed) > mine)
			return false;
	}
	return listed;
}

void
reconciler_set_members(struct reconciler *r, const char *const *ids, size_t n)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, r->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct service_orders *s = p;

		s->elected = is_elected(r, s->name, ids, n);
	}
}

/*
 * Releases the lease of a removed service.  Returns true when the service can
 * be freed, as it has no call in flight.
 */
static bool
finish_removal(struct service_orders *s)
{
	if (!s->removed)
		return false;
	if (s->step == LEASE_HELD)
		release_lease(s);
	return s->calls == 0 && s->step == LEASE_NONE;
}

void
reconciler_tick(struct reconciler *r, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	r->now = now;
	g_hash_table_iter_init(&it, r->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct service_orders *s = p;

		if (finish_removal(s)) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		if (s->step == LEASE_HELD && !s->elected)
			release_lease(s);
		maintain_lease(s);
		if (!s->removed)
			send_due_orders(s);
	}
}

void
reconciler_release(struct reconciler *r)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, r->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct service_orders *s = p;

		s->elected = false;
		if (s->step == LEASE_HELD)
			release_lease(s);
	}
}

size_t
reconciler_list(
    const struct reconciler *r, struct reconciler_status *out, size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_hash_table_iter_init(&it, r->services);
	while (n < max && g_hash_table_iter_next(&it, NULL, &p)) {
		const struct service_orders *s = p;

		out[n++] = (struct reconciler_status){
			.service = s->name,
			.lease_held = s->step == LEASE_HELD,
			.fencing = (uint64_t)s->revision,
			.targets = s->state.n,
			.converged = s->state.counts[ORDERS_TARGET_UP_TO_DATE],
			.halt = s->state.halt,
			.halt_addr = s->state.halt_addr,
		};
	}
	return n;
}

void
reconciler_free(struct reconciler *r)
{
	g_hash_table_destroy(r->order_calls);
	g_hash_table_destroy(r->services);
	free(r);
}
