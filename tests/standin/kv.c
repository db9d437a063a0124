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

struct op {
	const char *path;
	bool writes;
	void (*run)(const json_t *req, struct answer *a);
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
static unsigned limit;
static struct {
	uint64_t calls, writes, reads, refused;
	unsigned watches, most_watches;
	usec_t second;
	unsigned this_second, last_second;
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
	const char *text = json_string_value(json_object_get(o, name));
	gsize n = 0;
	guchar *p;

	if (text == NULL || text[0] == '\0')
		return g_bytes_new(NULL, 0);
	p = g_base64_decode(text, &n);
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
	char *text;

	if (n == 0)
		return;
	text = g_base64_encode(p, n);
	json_object_set_new(o, name, json_string(text));
	g_free(text);
}

static json_t *
with_header(void)
{
	json_t *h = json_pack("{s:s,s:s,s:s}", "cluster_id", "1", "member_id",
	    "1", "raft_term", "1");

	set_num(h, "revision", store_revision());
	return json_pack("{s:o}", "header", h);
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

static void
fail(struct answer *a, int status, int code, const char *text)
{
	json_decref(a->body);
	a->status = status;
	a->body = json_pack(
	    "{s:s,s:i,s:s}", "error", text, "code", code, "message", text);
}

/* Checks a put before anything of its call takes effect. */
static bool
put_is_good(const json_t *put, struct answer *a)
{
	GBytes *key = get_bytes(put, "key"), *value = get_bytes(put, "value");
	int64_t lease = get_num(put, "lease");
	bool good = false;

	if (g_bytes_get_size(key) == 0)
		fail(a, 400, 3, "etcdserver: key is not provided");
	else if (g_bytes_get_size(value) > VALUE_MAX)
		fail(a, 400, 3, "etcdserver: request is too large");
	else if (lease != 0 && !store_has_lease(lease))
		fail(a, 404, 5, "etcdserver: requested lease not found");
	else
		good = true;
	g_bytes_unref(key);
	g_bytes_unref(value);
	return good;
}

static json_t *
do_put(const json_t *req)
{
	GBytes *key = get_bytes(req, "key"), *value = get_bytes(req, "value");
	const struct item *old = store_get(key);
	json_t *out = json_object();

	if (old != NULL && json_is_true(json_object_get(req, "prev_kv")))
		json_object_set_new(out, "prev_kv", json_of_item(old, false));
	store_put(key, value, get_num(req, "lease"));
	g_bytes_unref(key);
	g_bytes_unref(value);
	return out;
}

static json_t *
do_range(const json_t *req)
{
	GBytes *key = get_bytes(req, "key"), *end = get_bytes(req, "range_end");
	GPtrArray *found = store_range(key, end);
	bool keys_only = json_is_true(json_object_get(req, "keys_only"));
	int64_t most = get_num(req, "limit");
	json_t *out = json_object(), *kvs = json_array();
	unsigned i, n = found->len;

	if (most > 0 && most < n)
		n = (unsigned)most;
	if (json_is_true(json_object_get(req, "count_only")))
		n = 0;
	else if (n < found->len)
		json_object_set_new(out, "more", json_true());
	for (i = 0; i < n; i++)
		json_array_append_new(
		    kvs, json_of_item(found->pdata[i], keys_only));
	if (n > 0)
		json_object_set(out, "kvs", kvs);
	set_num(out, "count", found->len);
	json_decref(kvs);
	g_ptr_array_free(found, TRUE);
	g_bytes_unref(key);
	g_bytes_unref(end);
	return out;
}

static json_t *
do_delete(const json_t *req)
{
	GBytes *key = get_bytes(req, "key"), *end = get_bytes(req, "range_end");
	GPtrArray *found = store_range(key, end);
	json_t *out = json_object(), *old = json_array();
	unsigned i;

	for (i = 0; i < found->len; i++) {
		const struct item *it = found->pdata[i];
		GBytes *k = g_bytes_ref(it->key);

		json_array_append_new(old, json_of_item(it, false));
		store_delete(k);
		g_bytes_unref(k);
	}
	set_num(out, "deleted", found->len);
	if (json_is_true(json_object_get(req, "prev_kv")))
		json_object_set(out, "prev_kvs", old);
	json_decref(old);
	g_ptr_array_free(found, TRUE);
	g_bytes_unref(key);
	g_bytes_unref(end);
	return out;
}

/* Finishes a call: its answer, under the header with the new revision. */
static void
finish(struct answer *a, json_t *out)
{
	if (store_commit())
		g_cond_broadcast(&moved);
	a->body = with_header();
	json_object_update(a->body, out);
	json_decref(out);
}

static void
op_put(const json_t *req, struct answer *a)
{
	if (put_is_good(req, a))
		finish(a, do_put(req));
}

static void
op_range(const json_t *req, struct answer *a)
{
	finish(a, do_range(req));
}

static void
op_delete(const json_t *req, struct answer *a)
{
	finish(a, do_delete(req));
}

static int
compare_num(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

static int
compare_target(const json_t *cmp, const struct item *it)
{
	const char *t = json_string_value(json_object_get(cmp, "target"));
	GBytes *value;
	int r;

	if (t == NULL || strcmp(t, "VERSION") == 0)
		return compare_num(
		    it ? it->version : 0, get_num(cmp, "version"));
	if (strcmp(t, "CREATE") == 0)
		return compare_num(
		    it ? it->created : 0, get_num(cmp, "create_revision"));
	if (strcmp(t, "MOD") == 0)
		return compare_num(
		    it ? it->modified : 0, get_num(cmp, "mod_revision"));
	if (strcmp(t, "LEASE") == 0)
		return compare_num(it ? it->lease : 0, get_num(cmp, "lease"));
	value = get_bytes(cmp, "value");
	r = it != NULL ? g_bytes_compare(it->value, value) : -1;
	g_bytes_unref(value);
	return r;
}

static bool
compare_holds(const json_t *cmp)
{
	const char *want = json_string_value(json_object_get(cmp, "result"));
	const char *t = json_string_value(json_object_get(cmp, "target"));
	GBytes *key = get_bytes(cmp, "key");
	const struct item *it = store_get(key);
	int r = compare_target(cmp, it);

	g_bytes_unref(key);
	/* etcd: a value comparison never holds for an absent key. */
	if (it == NULL && t != NULL && strcmp(t, "VALUE") == 0)
		return false;
	if (want == NULL || strcmp(want, "EQUAL") == 0)
		return r == 0;
	if (strcmp(want, "GREATER") == 0)
		return r > 0;
	if (strcmp(want, "LESS") == 0)
		return r < 0;
	return r != 0;
}

static json_t *
do_txn_op(const json_t *op)
{
	const json_t *req;

	if ((req = json_object_get(op, "request_put")) != NULL)
		return json_pack("{s:o}", "response_put", do_put(req));
	if ((req = json_object_get(op, "request_range")) != NULL)
		return json_pack("{s:o}", "response_range", do_range(req));
	if ((req = json_object_get(op, "request_delete_range")) != NULL)
		return json_pack(
		    "{s:o}", "response_delete_range", do_delete(req));
	return json_object();
}

static void
op_txn(const json_t *req, struct answer *a)
{
	json_t *out = json_object(), *responses = json_array();
	const json_t *branch;
	json_t *v;
	bool holds = true;
	size_t i;

	json_array_foreach(json_object_get(req, "compare"), i, v) holds =
	    holds && compare_holds(v);
	branch = json_object_get(req, holds ? "success" : "failure");
	json_array_foreach(branch, i, v)
	{
		const json_t *put = json_object_get(v, "request_put");

		if (put != NULL && !put_is_good(put, a))
			goto out;
	}
	json_array_foreach(branch, i, v)
	    json_array_append_new(responses, do_txn_op(v));
	if (holds)
		json_object_set_new(out, "succeeded", json_true());
	if (json_array_size(responses) > 0)
		json_object_set(out, "responses", responses);
	finish(a, json_incref(out));
out:
	json_decref(out);
	json_decref(responses);
}

static void
op_grant(const json_t *req, struct answer *a)
{
	int64_t ttl = get_num(req, "TTL");
	int64_t id = store_grant(get_num(req, "ID"), ttl);
	json_t *out;

	if (id == 0) {
		fail(a, 412, 9, "etcdserver: lease already exists");
		return;
	}
	out = json_object();
	set_num(out, "ID", id);
	set_num(out, "TTL", ttl > 0 ? ttl : 1);
	finish(a, out);
}

static void
op_keep(const json_t *req, struct answer *a)
{
	int64_t id = get_num(req, "ID");
	json_t *out = json_object();

	set_num(out, "ID", id);
	set_num(out, "TTL", store_keep(id));
	finish(a, out);
	a->body = json_pack("{s:o}", "result", a->body);
}

static void
op_revoke(const json_t *req, struct answer *a)
{
	if (!store_revoke(get_num(req, "ID"))) {
		fail(a, 404, 5, "etcdserver: requested lease not found");
		return;
	}
	g_cond_broadcast(&moved);
	finish(a, json_object());
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

/* Waits, with the lock held, as long as the source's calls hang. */
static enum mode
wait_while_hanging(const char *from)
{
	while (rule_for(from)->mode == MODE_HANG)
		g_cond_wait(&moved, &lock);
	return rule_for(from)->mode;
}

/* Waits, with the lock held, as long as the source's watches are quiet. */
static enum mode
wait_while_quiet(const char *from)
{
	while (rule_for(from)->mode == MODE_HANG ||
	    rule_for(from)->mode == MODE_QUIET)
		g_cond_wait(&moved, &lock);
	return rule_for(from)->mode;
}

/* Counts a call in its second; false when it is beyond the limit. */
static bool
count_call(bool writes)
{
	usec_t second = clock_now() / USEC_PER_SEC;

	if (second != seen.second) {
		seen.last_second =
		    second == seen.second + 1 ? seen.this_second : 0;
		seen.this_second = 0;
		seen.second = second;
	}
	seen.calls++;
	seen.this_second++;
	if (writes)
		seen.writes++;
	else
		seen.reads++;
	if (limit == 0 || seen.this_second <= limit)
		return true;
	seen.refused++;
	return false;
}

static json_t *
json_of_watch(json_t *more)
{
	json_t *o = with_header();

	json_object_update(o, more);
	json_decref(more);
	return json_pack("{s:o}", "result", o);
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

	g_mutex_lock(&lock);
	while (m == NULL && wait_while_quiet(from) != MODE_DOWN) {
		m = take_events(w);
		if (m != NULL)
			break;
		if (clock_now() >= due)
			m = json_of_watch(json_object());
		else
			g_cond_wait_until(
			    &moved, &lock, g_get_monotonic_time() + WAIT_TICK);
	}
	g_mutex_unlock(&lock);
	return m;
}

static bool
send_message(struct mg_connection *c, json_t *m)
{
	char *text = json_dumps(m, JSON_COMPACT);
	struct buf b = { 0 };
	bool sent;

	buf_printf(&b, "%s\n", text);
	sent = web_chunk(c, str_of(&b));
	free(text);
	buf_free(&b);
	json_decref(m);
	return sent;
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
	while (send_message(c, m) && going) {
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
	struct rule *r;
	bool keep = true;

	g_mutex_lock(&lock);
	op->run(req, a);
	r = rule_for(from);
	if (op->writes && a->status == 200 && r->lose_answers > 0) {
		r->lose_answers--;
		keep = false;
	}
	g_mutex_unlock(&lock);
	return keep;
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
	mode = wait_while_hanging(from);
	slow = rule_for(from)->slow;
	g_mutex_unlock(&lock);
	if (mode == MODE_DOWN) {
		if (g_random_boolean())
			web_error(c, 503, "down");
		else
			web_drop(c);
		return false;
	}
	if (!within) {
		web_error(c, 429, "too many calls");
		return false;
	}
	if (mode == MODE_SLOW)
		web_sleep(slow);
	return true;
}

void
kv_handle(struct mg_connection *c, const struct mg_request_info *ri)
{
	const struct op *op = find_op(ri->local_uri);
	bool watch = strcmp(ri->local_uri, "/v3/watch") == 0;
	json_t *req = web_body(c);
	struct answer a = { .status = 200 };

	if (!admit(c, ri->remote_addr, op != NULL && op->writes))
		goto out;
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
out:
	json_decref(a.body);
	json_decref(req);
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
	limit = calls_per_second;
	rules = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_thread_unref(g_thread_new("leases", expire_leases, NULL));
}

static bool
mode_of(const char *text, enum mode *mode)
{
	static const char *const names[] = { "up", "down", "slow", "hang",
		"quiet" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		if (strcmp(names[i], text) == 0) {
			*mode = (enum mode)i;
			return true;
		}
	return text[0] == '\0';
}

bool
kv_set_fault(const struct mg_request_info *ri)
{
	char mode[16], from[64];
	struct rule *r = &common;
	bool good;

	web_query(ri, "mode", mode, sizeof(mode));
	web_query(ri, "from", from, sizeof(from));
	g_mutex_lock(&lock);
	if (from[0] != '\0') {
		r = g_hash_table_lookup(rules, from);
		if (r == NULL) {
			r = g_new0(struct rule, 1);
			g_hash_table_insert(rules, g_strdup(from), r);
		}
	}
	good = mode_of(mode, &r->mode);
	r->slow = USEC_PER_MSEC *
	    web_query_num(ri, "slow_ms", (long)(r->slow / USEC_PER_MSEC));
	r->lose_answers = web_query_num(ri, "lose_answers", r->lose_answers);
	limit = (unsigned)web_query_num(ri, "calls_per_second", limit);
	g_cond_broadcast(&moved);
	g_mutex_unlock(&lock);
	return good;
}

json_t *
kv_counters(void)
{
	json_t *o;
	usec_t second = clock_now() / USEC_PER_SEC;
	unsigned last = 0;

	g_mutex_lock(&lock);
	if (second == seen.second)
		last = seen.last_second;
	else if (second == seen.second + 1)
		last = seen.this_second;
	o = json_pack("{s:I,s:I,s:I,s:I,s:i,s:i,s:i,s:I}", "calls",
	    (json_int_t)seen.calls, "writes", (json_int_t)seen.writes, "reads",
	    (json_int_t)seen.reads, "refused", (json_int_t)seen.refused,
	    "watches", (int)seen.watches, "most_watches",
	    (int)seen.most_watches, "calls_last_second", (int)last, "revision",
	    (json_int_t)store_revision());
	g_mutex_unlock(&lock);
	return o;
}

void
kv_reset(void)
{
	g_mutex_lock(&lock);
	seen.calls = seen.writes = seen.reads = seen.refused = 0;
	seen.most_watches = seen.watches;
	g_mutex_unlock(&lock);
}
