#include "tests/standin/platform.h"

#include <string.h>

#include "tests/standin/store.h"

/* A MiB, in base64. */
#define VALUE_MAX      ((((size_t)1 << 20) + 2) / 3 * 4)
#define LEASE_TICK     (20 * USEC_PER_MSEC)
#define PROGRESS_EVERY (10 * USEC_PER_SEC)
#define WAIT_TICK      (200 * USEC_PER_MSEC)

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

/* Sets the members of the answer and gives its status. */
typedef int (*op_fn)(const json_t *req, json_t *out);

struct op {
	const char *path;
	bool writes;
	op_fn run; /* NULL: a watch */
};

static GMutex lock;
static GCond moved;
static GHashTable *rules;
static long limit;
static json_int_t calls, writes, refused, watches;
/* The present second and the calls in it. */
static usec_t second;
static long in_second;

static int64_t
get_num(const json_t *o, const char *name)
{
	const json_t *v = json_object_get(o, name);

	if (json_is_string(v))
		return g_ascii_strtoll(json_string_value(v), NULL, 10);
	return json_integer_value(v);
}

/* A member decoded as a text; owned. */
static char *
get_text(const json_t *o, const char *name)
{
	gsize n = 0;
	g_autofree guchar *p = g_base64_decode(web_text(o, name), &n);

	return g_strndup((const char *)p, n);
}

/* A 64-bit number as text; 0 is left out, as etcd does. */
static json_t *
json_of_num(int64_t v)
{
	return v != 0 ? json_sprintf("%lld", (long long)v) : NULL;
}

/* Puts members, which may be NULL, under the header. */
static json_t *
with_header(json_t *members)
{
	json_t *o = json_pack(
	    "{s:{s:o}}", "header", "revision", json_of_num(store_revision()));

	if (members != NULL)
		json_object_update_new(o, members);
	return o;
}

static json_t *
json_of_item(const struct item *it, bool keys_only)
{
	g_autofree char *key =
	    g_base64_encode((const guchar *)it->key, strlen(it->key));

	return json_pack("{s:s,s:o*,s:o*,s:o*,s:o*,s:s*}", "key", key,
	    "create_revision", json_of_num(it->created), "mod_revision",
	    json_of_num(it->modified), "version", json_of_num(it->version),
	    "lease", json_of_num(it->lease), "value",
	    keys_only ? NULL : it->value);
}

static int
op_put(const json_t *req, json_t *out)
{
	g_autofree char *key = get_text(req, "key");
	const char *value = web_text(req, "value");
	int64_t lease = get_num(req, "lease");

	(void)out;
	if (*key == '\0' || strlen(value) > VALUE_MAX)
		return 400;
	if (lease != 0 && !store_has_lease(lease))
		return 404;
	store_put(key, value, lease);
	return 200;
}

static int
op_range(const json_t *req, json_t *out)
{
	g_autofree char *key = get_text(req, "key");
	g_autofree char *end = get_text(req, "range_end");
	bool keys_only = json_is_true(json_object_get(req, "keys_only"));
	g_autoptr(GPtrArray) found = store_range(key, str_from(end));
	json_t *list = json_array();
	unsigned i;

	for (i = 0; i < found->len; i++)
		json_array_append_new(
		    list, json_of_item(found->pdata[i], keys_only));
	json_object_set_new(out, "kvs", list);
	return 200;
}

static int
op_delete(const json_t *req, json_t *out)
{
	g_autofree char *key = get_text(req, "key");

	(void)out;
	store_delete(key);
	return 200;
}

/* The one kind of comparison that is served. */
static bool
revision_is_equal(const json_t *cmp)
{
	g_autofree char *key = get_text(cmp, "key");
	const struct item *it = store_get(key);

	return get_num(cmp, "mod_revision") == (it != NULL ? it->modified : 0);
}

/* A transaction of one comparison and one put or range on either branch. */
static int
op_txn(const json_t *req, json_t *out)
{
	const json_t *compare = json_object_get(req, "compare");
	const json_t *cmp = json_array_get(compare, 0);
	bool holds = revision_is_equal(cmp);
	const json_t *ops = json_object_get(req, holds ? "success" : "failure");
	const json_t *op = json_array_get(ops, 0);
	const json_t *put = json_object_get(op, "request_put");
	json_t *inner = json_object();

	json_object_update_new(out,
	    json_pack("{s:b,s:[{s:o}]}", "succeeded", (int)holds, "responses",
		put != NULL ? "response_put" : "response_range", inner));
	if (json_array_size(compare) != 1 || json_array_size(ops) > 1 ||
	    strcmp(web_text(cmp, "target"), "MOD") != 0 ||
	    strcmp(web_text(cmp, "result"), "EQUAL") != 0)
		return 400;
	if (put != NULL)
		return op_put(put, inner);
	return op_range(json_object_get(op, "request_range"), inner);
}

static void
set_lease(json_t *out, int64_t id, int64_t ttl)
{
	json_object_update_new(out,
	    json_pack(
		"{s:o*,s:o*}", "ID", json_of_num(id), "TTL", json_of_num(ttl)));
}

static int
op_grant(const json_t *req, json_t *out)
{
	int64_t ttl = MAX(get_num(req, "TTL"), 1);

	set_lease(out, store_grant(ttl), ttl);
	return 200;
}

static int
op_keep(const json_t *req, json_t *out)
{
	int64_t id = get_num(req, "ID");

	set_lease(out, id, store_keep(id));
	return 200;
}

static int
op_revoke(const json_t *req, json_t *out)
{
	(void)out;
	return store_revoke(get_num(req, "ID")) ? 200 : 404;
}

static const struct op ops[] = {
	{ "/v3/kv/range", false, op_range },
	{ "/v3/kv/put", true, op_put },
	{ "/v3/kv/deleterange", true, op_delete },
	{ "/v3/kv/txn", true, op_txn },
	{ "/v3/lease/grant", true, op_grant },
	{ "/v3/lease/keepalive", false, op_keep },
	{ "/v3/lease/revoke", true, op_revoke },
	{ "/v3/watch", false, NULL },
};

static struct rule *
rule_for(const char *from)
{
	struct rule *r = g_hash_table_lookup(rules, from);

	return r != NULL ? r : g_hash_table_lookup(rules, "");
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
count_call(bool write)
{
	usec_t now = clock_now() / USEC_PER_SEC;

	if (now != second)
		in_second = 0;
	second = now;
	in_second++;
	calls++;
	writes += write;
	if (limit == 0 || in_second <= limit)
		return true;
	refused++;
	return false;
}

/* The changes of a key from *next on, or NULL; moves *next past them. */
static json_t *
take_events(const char *key, int64_t *next)
{
	json_t *list = json_array();
	unsigned i;
	const GPtrArray *h = store_history(*next, &i);

	for (; i < h->len; i++) {
		const struct item *it = h->pdata[i];

		if (strcmp(it->key, key) != 0)
			continue;
		json_array_append_new(list,
		    json_pack("{s:o,s:s*}", "kv", json_of_item(it, false),
			"type", it->deleted ? "DELETE" : NULL));
	}
	*next = store_revision() + 1;
	if (json_array_size(list) > 0)
		return json_pack("{s:o}", "events", list);
	json_decref(list);
	return NULL;
}

/* Waits for the next message of a watch; false ends it. */
static bool
next_message(const char *key, int64_t *next, const char *from, json_t **m)
{
	usec_t due = clock_now() + PROGRESS_EVERY;
	HOLD(&lock);

	*m = NULL;
	while (wait_for_turn(from, true) != MODE_DOWN) {
		*m = take_events(key, next);
		if (*m != NULL || clock_now() >= due) {
			*m = with_header(*m);
			return true;
		}
		g_cond_wait_until(
		    &moved, &lock, g_get_monotonic_time() + WAIT_TICK);
	}
	return false;
}

static void
run_watch(struct mg_connection *c, const json_t *body, const char *from)
{
	const json_t *req = json_object_get(body, "create_request");
	g_autofree char *key = get_text(req, "key");
	int64_t next = get_num(req, "start_revision");
	json_t *m;
	bool going;

	g_mutex_lock(&lock);
	watches++;
	if (next == 0)
		next = store_revision() + 1;
	m = with_header(json_pack("{s:b}", "created", 1));
	g_mutex_unlock(&lock);
	going = web_stream(c, "application/json");
	while (going) {
		m = json_pack("{s:o}", "result", m);
		going = web_chunk_json(c, "", m, "\n") &&
		    next_message(key, &next, from, &m);
	}
	g_mutex_lock(&lock);
	watches--;
	g_mutex_unlock(&lock);
	web_drop(c);
}

/* Runs a call; false when its answer is to be lost. */
static bool
run_op(const struct op *op, const json_t *req, const char *from, int *status,
    json_t **out)
{
	HOLD(&lock);
	struct rule *r = rule_for(from);
	json_t *members = json_object();

	*status = op->run(req, members);
	if (store_commit() || op->writes)
		g_cond_broadcast(&moved);
	*out = with_header(members);
	if (op->run == op_keep)
		*out = json_pack("{s:o}", "result", *out);
	if (!op->writes || *status != 200 || r->lose_answers == 0)
		return true;
	r->lose_answers--;
	return false;
}

/* Applies the source's fault; false when the call is not to be run. */
static bool
admit(struct mg_connection *c, const char *from, bool write)
{
	enum mode mode;
	usec_t slow;
	bool within;

	g_mutex_lock(&lock);
	within = count_call(write);
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
	const struct op *op = NULL;
	json_auto_t *req = web_body(c);
	json_auto_t *out = NULL;
	size_t i;
	int status;

	for (i = 0; i < G_N_ELEMENTS(ops); i++)
		if (strcmp(ops[i].path, ri->local_uri) == 0)
			op = &ops[i];
	if (!admit(c, ri->remote_addr, op != NULL && op->writes))
		return;
	if (op == NULL)
		web_error(c, 404, "no such call");
	else if (req == NULL)
		web_error(c, 400, "the body is no JSON object");
	else if (op->run == NULL)
		run_watch(c, req, ri->remote_addr);
	else if (run_op(op, req, ri->remote_addr, &status, &out))
		web_json(c, status, json_incref(out));
	else
		web_drop(c);
}

/* The rule of a source alone; "" stands for all that have none. */
static struct rule *
rule_to_set(const char *from)
{
	if (!g_hash_table_contains(rules, from))
		g_hash_table_insert(
		    rules, g_strdup(from), g_new0(struct rule, 1));
	return rule_for(from);
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
kv_init(void)
{
	store_init();
	rules = g_hash_table_new(g_str_hash, g_str_equal);
	rule_to_set("");
	g_thread_unref(g_thread_new("leases", expire_leases, NULL));
}

bool
kv_set_fault(const struct mg_request_info *ri)
{
	static const char *const names[] = { "up", "down", "slow", "hang",
		"quiet" };
	struct web_word text = web_query(ri, "mode");
	int mode = web_index(names, G_N_ELEMENTS(names), text.s);
	struct rule *r;
	HOLD(&lock);

	r = rule_to_set(web_query(ri, "from").s);
	if (mode >= 0)
		r->mode = (enum mode)mode;
	r->slow = USEC_PER_MSEC *
	    web_query_num(ri, "slow_ms", (long)(r->slow / USEC_PER_MSEC));
	r->lose_answers = web_query_num(ri, "lose_answers", r->lose_answers);
	limit = web_query_num(ri, "calls_per_second", limit);
	g_cond_broadcast(&moved);
	return mode >= 0 || text.s[0] == '\0';
}

json_t *
kv_counters(const struct mg_request_info *ri)
{
	(void)ri;
	HOLD(&lock);

	return json_pack("{s:I,s:I,s:I,s:I,s:I}", "calls", calls, "writes",
	    writes, "refused", refused, "watches", watches, "revision",
	    (json_int_t)store_revision());
}
