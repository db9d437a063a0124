#include "tests/standin/kv.h"

#include <string.h>

#include "tests/standin/store.h"

#define VALUE_MAX       ((size_t)1 << 20)
#define LEASE_TICK      (20 * USEC_PER_MSEC)
#define PROGRESS_ASKED  USEC_PER_SEC
#define PROGRESS_OTHERS (10 * USEC_PER_SEC)
#define WAIT_TICK       (200 * USEC_PER_MSEC)

enum mode {
	MODE_UP,
	MODE_DOWN,
	MODE_SLOW,
	MODE_HANG,
	MODE_QUIET
};

/* What one source address, or every other one, gets to see. */
struct rule {
	enum mode mode;
	usec_t slow;
	long lose_answers;
};

/* What a call answers. */
struct answer {
	int status;
	json_t *body;
};

/* The members of a call's answer; NULL when it has failed, in a. */
typedef json_t *(*op_fn)(const json_t *req, struct answer *a);

struct op {
	const char *path;
	bool writes;
	op_fn run;
};

struct watch {
	GBytes *key;
	GBytes *end;
	int64_t next;
	bool progress;
};

static GMutex lock;
static GCond moved;
static GHashTable *rules;
static struct rule common;
static int limit;
static struct {
	json_int_t calls, writes, reads, refused;
	int watches, most_watches;
	/* Calls of the present second and of the one before. */
	struct {
		usec_t second;
		int calls;
	} rate[2];
} seen;

static int64_t
get_num(const json_t *o, const char *name)
{
	const json_t *v = json_object_get(o, name);

	if (json_is_string(v))
		return g_ascii_strtoll(json_string_value(v), NULL, 10);
	return json_integer_value(v);
}

static GBytes *
get_bytes(const json_t *o, const char *name)
{
	gsize n = 0;
	guchar *p = g_base64_decode(web_text(o, name), &n);

	return g_bytes_new_take(p, n);
}

/* Sets a 64-bit number as text; 0 is left out, as etcd does. */
static void
set_num(json_t *o, const char *name, int64_t v)
{
	if (v != 0)
		json_object_set_new(
		    o, name, json_sprintf("%lld", (long long)v));
}

static void
set_bytes(json_t *o, const char *name, GBytes *b)
{
	gsize n;
	const guchar *p = g_bytes_get_data(b, &n);
	g_autofree char *text = g_base64_encode(p, n);

	if (n > 0)
		json_object_set_new(o, name, json_string(text));
}

/* Puts members under the header with the present revision. */
static json_t *
with_header(json_t *members)
{
	json_t *h = json_pack("{s:s,s:s,s:s}", "cluster_id", "1", "member_id",
	    "1", "raft_term", "1");
	json_t *o = json_pack("{s:o}", "header", h);

	set_num(h, "revision", store_revision());
	json_object_update_new(o, members);
	return o;
}

static json_t *
json_of_item(const struct item *it, bool keys_only)
{
	json_t *o = json_object();

	set_bytes(o, "key", it->key);
	set_num(o, "create_revision", it->created);
	set_num(o, "mod_revision", it->modified);
	set_num(o, "version", it->version);
	set_num(o, "lease", it->lease);
	if (!keys_only)
		set_bytes(o, "value", it->value);
	return o;
}

static json_t *
fail(struct answer *a, int status, int code, const char *text)
{
	a->status = status;
	a->body = json_pack(
	    "{s:s,s:i,s:s}", "error", text, "code", code, "message", text);
	return NULL;
}

/* Checks a put before anything of its call takes effect. */
static bool
put_is_good(const json_t *put, struct answer *a)
{
	g_autoptr(GBytes) key = get_bytes(put, "key");
	g_autoptr(GBytes) value = get_bytes(put, "value");
	int64_t lease = get_num(put, "lease");

	if (g_bytes_get_size(key) == 0)
		fail(a, 400, 3, "etcdserver: key is not provided");
	else if (g_bytes_get_size(value) > VALUE_MAX)
		fail(a, 400, 3, "etcdserver: request is too large");
	else if (lease != 0 && !store_has_lease(lease))
		fail(a, 404, 5, "etcdserver: requested lease not found");
	return a->body == NULL;
}

static json_t *
op_put(const json_t *req, struct answer *a)
{
	g_autoptr(GBytes) key = get_bytes(req, "key");
	g_autoptr(GBytes) value = get_bytes(req, "value");
	const struct item *old = store_get(key);
	json_t *out;

	if (!put_is_good(req, a))
		return NULL;
	out = json_object();
	if (old != NULL && json_is_true(json_object_get(req, "prev_kv")))
		json_object_set_new(out, "prev_kv", json_of_item(old, false));
	store_put(key, value, get_num(req, "lease"));
	return out;
}

/* The present states of the keys that a call names. */
static GPtrArray *
find_items(const json_t *req)
{
	g_autoptr(GBytes) key = get_bytes(req, "key");
	g_autoptr(GBytes) end = get_bytes(req, "range_end");

	return store_range(key, end);
}

/* The first n of some states, under a name unless there are none. */
static void
set_items(json_t *o, const char *name, const GPtrArray *items, unsigned n,
    bool keys_only)
{
	json_auto_t *list = json_array();
	unsigned i;

	for (i = 0; i < n; i++)
		json_array_append_new(
		    list, json_of_item(items->pdata[i], keys_only));
	if (n > 0)
		json_object_set(o, name, list);
}

static json_t *
op_range(const json_t *req, struct answer *a)
{
	g_autoptr(GPtrArray) found = find_items(req);
	bool keys_only = json_is_true(json_object_get(req, "keys_only"));
	int64_t most = get_num(req, "limit");
	json_t *out = json_object();
	unsigned n = found->len;

	(void)a;
	if (most > 0 && most < n)
		n = (unsigned)most;
	if (json_is_true(json_object_get(req, "count_only")))
		n = 0;
	else if (n < found->len)
		json_object_set_new(out, "more", json_true());
	set_items(out, "kvs", found, n, keys_only);
	set_num(out, "count", found->len);
	return out;
}

static json_t *
op_delete(const json_t *req, struct answer *a)
{
	g_autoptr(GPtrArray) found = find_items(req);
	json_t *out = json_object();
	unsigned i;

	(void)a;
	set_num(out, "deleted", found->len);
	if (json_is_true(json_object_get(req, "prev_kv")))
		set_items(out, "prev_kvs", found, found->len, false);
	for (i = 0; i < found->len; i++) {
		const struct item *it = found->pdata[i];

		store_delete(it->key);
	}
	return out;
}

static int
compare_num(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

static int
compare_target(const json_t *cmp, const char *target, const struct item *it)
{
	g_autoptr(GBytes) value = get_bytes(cmp, "value");

	if (strcmp(target, "CREATE") == 0)
		return compare_num(
		    it->created, get_num(cmp, "create_revision"));
	if (strcmp(target, "MOD") == 0)
		return compare_num(it->modified, get_num(cmp, "mod_revision"));
	if (strcmp(target, "LEASE") == 0)
		return compare_num(it->lease, get_num(cmp, "lease"));
	if (strcmp(target, "VALUE") == 0)
		return g_bytes_compare(it->value, value);
	return compare_num(it->version, get_num(cmp, "version"));
}

static bool
compare_holds(const json_t *cmp)
{
	static const struct item absent = { 0 };
	const char *want = web_text(cmp, "result");
	const char *target = web_text(cmp, "target");
	g_autoptr(GBytes) key = get_bytes(cmp, "key");
	const struct item *it = store_get(key);
	int r;

	/* etcd: a value comparison never holds for an absent key. */
	if (it == NULL && strcmp(target, "VALUE") == 0)
		return false;
	r = compare_target(cmp, target, it != NULL ? it : &absent);
	if (*want == '\0' || strcmp(want, "EQUAL") == 0)
		return r == 0;
	if (strcmp(want, "GREATER") == 0)
		return r > 0;
	if (strcmp(want, "LESS") == 0)
		return r < 0;
	return r != 0;
}

static json_t *
do_txn_op(const json_t *op, struct answer *a)
{
	static const struct {
		const char *request, *response;
		op_fn run;
	} kinds[] = {
		{ "request_put", "response_put", op_put },
		{ "request_range", "response_range", op_range },
		{ "request_delete_range", "response_delete_range", op_delete },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		const json_t *req = json_object_get(op, kinds[i].request);

		if (req != NULL)
			return json_pack(
			    "{s:o}", kinds[i].response, kinds[i].run(req, a));
	}
	return json_object();
}

static json_t *
op_txn(const json_t *req, struct answer *a)
{
	json_auto_t *responses = json_array();
	const json_t *branch;
	json_t *out, *v;
	bool holds = true;
	size_t i;

	json_array_foreach(json_object_get(req, "compare"), i, v) holds =
	    holds && compare_holds(v);
	branch = json_object_get(req, holds ? "success" : "failure");
	json_array_foreach(branch, i, v)
	{
		const json_t *put = json_object_get(v, "request_put");

		if (put != NULL && !put_is_good(put, a))
			return NULL;
	}
	json_array_foreach(branch, i, v)
	    json_array_append_new(responses, do_txn_op(v, a));
	out = json_object();
	if (holds)
		json_object_set_new(out, "succeeded", json_true());
	if (json_array_size(responses) > 0)
		json_object_set(out, "responses", responses);
	return out;
}

/* A lease as calls answer it. */
static json_t *
json_of_lease(int64_t id, int64_t ttl)
{
	json_t *out = json_object();

	set_num(out, "ID", id);
	set_num(out, "TTL", ttl);
	return out;
}

static json_t *
op_grant(const json_t *req, struct answer *a)
{
	int64_t ttl = MAX(get_num(req, "TTL"), 1);
	int64_t id = store_grant(get_num(req, "ID"), ttl);

	if (id == 0)
		return fail(a, 412, 9, "etcdserver: lease already exists");
	return json_of_lease(id, ttl);
}

static json_t *
op_keep(const json_t *req, struct answer *a)
{
	int64_t id = get_num(req, "ID");
	json_t *out = json_of_lease(id, store_keep(id));

	(void)a;
	return json_pack("{s:o}", "result", with_header(out));
}

static json_t *
op_revoke(const json_t *req, struct answer *a)
{
	if (!store_revoke(get_num(req, "ID")))
		return fail(a, 404, 5, "etcdserver: requested lease not found");
	return json_object();
}

static const struct op ops[] = {
	{ "/v3/kv/range", false, op_range },
	{ "/v3/kv/put", true, op_put },
	{ "/v3/kv/deleterange", true, op_delete },
	{ "/v3/kv/txn", true, op_txn },
	{ "/v3/lease/grant", true, op_grant },
	{ "/v3/lease/keepalive", false, op_keep },
	{ "/v3/lease/revoke", true, op_revoke },
};

static const struct op *
find_op(const char *path)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ops); i++)
		if (strcmp(ops[i].path, path) == 0)
			return &ops[i];
	return NULL;
}

static struct rule *
rule_for(const char *from)
{
	struct rule *r = g_hash_table_lookup(rules, from);

	return r != NULL ? r : &common;
}

/* Waits, with the lock held, while a source's call or watch gets nothing. */
static enum mode
wait_for_turn(const char *from, bool watch)
{
	enum mode mode = rule_for(from)->mode;

	while (mode == MODE_HANG || (watch && mode == MODE_QUIET)) {
		g_cond_wait(&moved, &lock);
		mode = rule_for(from)->mode;
	}
	return mode;
}

/* Counts a call in its second; false when it is beyond the limit. */
static bool
count_call(bool writes)
{
	usec_t second = clock_now() / USEC_PER_SEC;
	int *now = &seen.rate[second % 2].calls;

	if (seen.rate[second % 2].second != second)
		*now = 0;
	seen.rate[second % 2].second = second;
	(*now)++;
	seen.calls++;
	seen.writes += writes;
	seen.reads += !writes;
	if (limit == 0 || *now <= limit)
		return true;
	seen.refused++;
	return false;
}

static json_t *
json_of_watch(json_t *members)
{
	return json_pack("{s:o}", "result", with_header(members));
}

/* The events that a watch has not had yet, or NULL. */
static json_t *
take_events(struct watch *w)
{
	json_t *list = json_array();
	unsigned i;
	const GPtrArray *h = store_history(w->next, &i);

	for (; i < h->len; i++) {
		const struct item *it = h->pdata[i];
		json_t *e;

		if (!store_in_range(it->key, w->key, w->end))
			continue;
		e = json_pack("{s:o}", "kv", json_of_item(it, false));
		if (it->deleted)
			json_object_set_new(e, "type", json_string("DELETE"));
		json_array_append_new(list, e);
	}
	w->next = store_revision() + 1;
	if (json_array_size(list) > 0)
		return json_of_watch(json_pack("{s:o}", "events", list));
	json_decref(list);
	return NULL;
}

/* Waits for the next message of a watch; NULL ends it. */
static json_t *
next_message(struct watch *w, const char *from)
{
	usec_t every = w->progress ? PROGRESS_ASKED : PROGRESS_OTHERS;
	usec_t due = clock_now() + every;
	json_t *m = NULL;
	HOLD(&lock);

	while (m == NULL && wait_for_turn(from, true) != MODE_DOWN) {
		m = take_events(w);
		if (m != NULL)
			break;
		if (clock_now() >= due)
			m = json_of_watch(json_object());
		else
			g_cond_wait_until(
			    &moved, &lock, g_get_monotonic_time() + WAIT_TICK);
	}
	return m;
}

/* The first message: created, or cancelled if the history is too short. */
static json_t *
open_watch(struct watch *w, const json_t *req)
{
	int64_t start = get_num(req, "start_revision");
	json_t *more = json_pack("{s:b}", "created", 1);

	w->key = get_bytes(req, "key");
	w->end = get_bytes(req, "range_end");
	w->next = start > 0 ? start : store_revision() + 1;
	w->progress = json_is_true(json_object_get(req, "progress_notify"));
	if (w->next < store_oldest()) {
		json_object_set_new(more, "canceled", json_true());
		set_num(more, "compact_revision", store_oldest());
	}
	return json_of_watch(more);
}

static void
run_watch(struct mg_connection *c, const json_t *body, const char *from)
{
	const json_t *req = json_object_get(body, "create_request");
	struct watch w;
	json_t *m;
	bool going;

	g_mutex_lock(&lock);
	m = open_watch(&w, req);
	going = w.next >= store_oldest();
	seen.watches++;
	seen.most_watches = MAX(seen.most_watches, seen.watches);
	g_mutex_unlock(&lock);
	if (!web_stream(c, "application/json"))
		going = false;
	while (web_chunk_json(c, "", m, "\n") && going) {
		m = next_message(&w, from);
		if (m == NULL)
			break;
	}
	g_mutex_lock(&lock);
	seen.watches--;
	g_mutex_unlock(&lock);
	g_bytes_unref(w.key);
	g_bytes_unref(w.end);
	web_drop(c);
}

/* Runs a call; false when its answer is to be lost. */
static bool
run_op(
    const struct op *op, const json_t *req, const char *from, struct answer *a)
{
	HOLD(&lock);
	struct rule *r = rule_for(from);
	json_t *out = op->run(req, a);

	if (store_commit() || op->writes)
		g_cond_broadcast(&moved);
	if (op->run == op_keep)
		a->body = out;
	else if (out != NULL)
		a->body = with_header(out);
	if (!op->writes || a->status != 200 || r->lose_answers == 0)
		return true;
	r->lose_answers--;
	return false;
}

/* Applies the source's fault; false when the call is not to be run. */
static bool
admit(struct mg_connection *c, const char *from, bool writes)
{
	enum mode mode;
	usec_t slow;
	bool within;

	g_mutex_lock(&lock);
	within = count_call(writes);
	mode = wait_for_turn(from, false);
	slow = rule_for(from)->slow;
	g_mutex_unlock(&lock);
	if (mode == MODE_DOWN) {
		if (g_random_boolean())
			web_error(c, 503, "down");
		else
			web_drop(c);
		return false;
	}
	if (!within)
		web_error(c, 429, "too many calls");
	else if (mode == MODE_SLOW)
		web_sleep(slow);
	return within;
}

void
kv_handle(struct mg_connection *c, const struct mg_request_info *ri)
{
	const struct op *op = find_op(ri->local_uri);
	bool watch = strcmp(ri->local_uri, "/v3/watch") == 0;
	json_auto_t *req = web_body(c);
	struct answer a = { .status = 200 };

	if (!admit(c, ri->remote_addr, op != NULL && op->writes))
		return;
	if (op == NULL && !watch)
		web_error(c, 404, "no such call");
	else if (req == NULL)
		web_error(c, 400, "the body is no JSON object");
	else if (watch)
		run_watch(c, req, ri->remote_addr);
	else if (run_op(op, req, ri->remote_addr, &a))
		web_json(c, a.status, json_incref(a.body));
	else
		web_drop(c);
	json_decref(a.body);
}

static void *
expire_leases(void *arg)
{
	for (;;) {
		web_sleep(LEASE_TICK);
		g_mutex_lock(&lock);
		if (store_expire(clock_now()))
			g_cond_broadcast(&moved);
		g_mutex_unlock(&lock);
	}
	return arg;
}

void
kv_init(unsigned calls_per_second)
{
	store_init();
	limit = (int)calls_per_second;
	rules = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_thread_unref(g_thread_new("leases", expire_leases, NULL));
}

bool
kv_set_fault(const struct mg_request_info *ri)
{
	static const char *const names[] = { "up", "down", "slow", "hang",
		"quiet" };
	char text[16], from[64];
	struct rule *r = &common;
	int mode;
	HOLD(&lock);

	web_query(ri, "mode", text, sizeof(text));
	web_query(ri, "from", from, sizeof(from));
	mode = web_index(names, G_N_ELEMENTS(names), text);
	if (from[0] != '\0') {
		r = g_hash_table_lookup(rules, from);
		if (r == NULL) {
			r = g_new0(struct rule, 1);
			g_hash_table_insert(rules, g_strdup(from), r);
		}
	}
	if (mode >= 0)
		r->mode = (enum mode)mode;
	r->slow = USEC_PER_MSEC *
	    web_query_num(ri, "slow_ms", (long)(r->slow / USEC_PER_MSEC));
	r->lose_answers = web_query_num(ri, "lose_answers", r->lose_answers);
	limit = (int)web_query_num(ri, "calls_per_second", limit);
	g_cond_broadcast(&moved);
	return mode >= 0 || text[0] == '\0';
}

json_t *
kv_counters(void)
{
	usec_t second = clock_now() / USEC_PER_SEC - 1;
	int last = 0;
	HOLD(&lock);

	if (seen.rate[second % 2].second == second)
		last = seen.rate[second % 2].calls;
	return json_pack("{s:I,s:I,s:I,s:I,s:i,s:i,s:i,s:I}", "calls",
	    seen.calls, "writes", seen.writes, "reads", seen.reads, "refused",
	    seen.refused, "watches", seen.watches, "most_watches",
	    seen.most_watches, "calls_last_second", last, "revision",
	    (json_int_t)store_revision());
}

void
kv_reset(void)
{
	g_mutex_lock(&lock);
	seen.calls = seen.writes = seen.reads = seen.refused = 0;
	seen.most_watches = seen.watches;
	g_mutex_unlock(&lock);
}
