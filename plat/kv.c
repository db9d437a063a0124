#include "plat/kv.h"
#include "base/log.h"
#include "plat/held.h"
#include "plat/http.h"
#include "platform/store.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ENDPOINTS    8
/* Of a call, or a line of a watch: several pages of 1 MB, as base64. */
/* Polls that bring as much are logged. */
#define LARGE_POLL_BYTES ((size_t)64 * 1024)
#define MAX_REPLY_BYTES  ((size_t)8 * 1024 * 1024)

enum op {
	OP_GET,
	OP_PUT_ITEM,
	OP_GET_ITEM,
	OP_RANGE,
	OP_POLL,
	OP_CAS,
	OP_PUT,
	OP_DELETE,
	OP_GRANT,
	OP_KEEPALIVE,
	OP_REVOKE,
	OP_WATCH
};

struct kv {
	struct http_loop *loop;
	char *endpoints[MAX_ENDPOINTS];
	size_t n_endpoints;
	size_t current; /* index of the endpoint in use */
	usec_t timeout;
	char *local_addr;
	struct host_memory *memory; /* or NULL */
	uint64_t calls;
	GHashTable *pending; /* id of the HTTP call -> struct pending, owned */
};

/* A call in flight, or a watch. */
struct pending {
	struct kv *kv;
	uint64_t call; /* id of the HTTP call */
	enum op op;
	int status;   /* HTTP status */
	uint64_t era; /* that the response names */
	struct buf body;
	struct held line;  /* OP_WATCH: counts the body */
	char *prefix;      /* what is read; or NULL */
	usec_t began_at;   /* a range or poll */
	usec_t arrived_at; /* the last bytes of its response */
	union {
		kv_result_handler done;
		kv_changes_handler changes;
		kv_watch_handler event;
	};
	void *arg;
};

static void
free_pending(gpointer p)
{
	struct pending *x = p;

	held_end(&x->line);
	buf_free(&x->body);
	free(x->prefix);
	free(x);
}

static json_t *
base64_encode(struct str s)
{
	g_autofree char *b =
	    g_base64_encode((const guchar *)(s.n > 0 ? s.p : ""), s.n);

	return json_string(b);
}

static struct buf
base64_decode(const json_t *v)
{
	struct buf out = { 0 };
	const char *text = json_string_value(v);
	gsize n = 0;
	g_autofree guchar *raw = NULL;

	if (text == NULL)
		return out;
	raw = g_base64_decode(text, &n);
	buf_put(&out, (struct str){ (const char *)raw, n });
	return out;
}

/* Reads a 64-bit integer, which the service writes as a string. */
static int64_t
get_int64(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	if (json_is_string(v))
		return g_ascii_strtoll(json_string_value(v), NULL, 10);
	return json_integer_value(v);
}

static json_t *
json_from_int64(int64_t v)
{
	return json_sprintf("%" PRId64, v);
}

/* Reads the key found by a get, or by the get in a failed transaction. */
static void
read_kvs(const json_t *o, struct kv_result *r, struct buf *value)
{
	const json_t *kv = json_array_get(json_object_get(o, "kvs"), 0);

	if (kv == NULL)
		return;
	r->found = true;
	r->mod_revision = get_int64(kv, "mod_revision");
	r->lease = get_int64(kv, "lease");
	*value = base64_decode(json_object_get(kv, "value"));
	r->value = str_of(value);
}

static void
read_result(enum op op, const json_t *o, struct kv_result *r, struct buf *value)
{
	const json_t *inner;

	r->status = KV_OK;
	r->revision = get_int64(json_object_get(o, "header"), "revision");
	switch (op) {
	case OP_GET:
		read_kvs(o, r, value);
		break;
	case OP_CAS:
		r->mod_revision = r->revision;
		if (json_is_true(json_object_get(o, "succeeded")))
			break;
		r->status = KV_CONFLICT;
		inner = json_array_get(json_object_get(o, "responses"), 0);
		read_kvs(json_object_get(inner, "response_range"), r, value);
		break;
	case OP_GRANT:
		r->lease = get_int64(o, "ID");
		r->lease_ttl = get_int64(o, "TTL") * USEC_PER_SEC;
		break;
	case OP_KEEPALIVE:
		inner = json_object_get(o, "result");
		r->lease = get_int64(inner, "ID");
		r->lease_ttl = get_int64(inner, "TTL") * USEC_PER_SEC;
		if (r->lease_ttl <= 0)
			r->status = KV_REFUSED;
		break;
	case OP_PUT:
		r->mod_revision = r->revision;
		break;
	case OP_PUT_ITEM:
	case OP_GET_ITEM:
	case OP_RANGE:
	case OP_POLL:
	case OP_DELETE:
	case OP_REVOKE:
	case OP_WATCH:
		break;
	}
}

static bool
read_changes(const struct pending *p, struct kv_changes *c)
{
	if (p->op == OP_GET_ITEM)
		return store_read_item(str_of(&p->body), c);
	if (p->op == OP_RANGE)
		return store_read_range(str_of(&p->body), c);
	return store_read_poll(str_of(&p->body), c);
}

/* Pages are the largest calls: those of all hosts share the store's link. */
static void
log_read(const struct pending *p, bool complete, const struct kv_changes *c)
{
	const char *event = "store-page";

	if (p->op == OP_GET_ITEM)
		event = "store-item";
	else if (p->op == OP_POLL)
		event = "store-changes";
	/* Most polls bring little. */
	if (p->op == OP_POLL && p->body.n < LARGE_POLL_BYTES)
		return;
	log_text(LOG_LVL_INFO, event,
	    "of \"%s\": %s, status %d, %zu items, %zu bytes in %" PRId64 " ms",
	    p->prefix, complete ? "complete" : "cut", p->status, c->n,
	    p->body.n, (int64_t)((clock_now() - p->began_at) / USEC_PER_MSEC));
}

/* Delivers the result of kv_get_item, kv_range or kv_poll. */
static void
deliver_changes(const struct pending *p, bool complete)
{
	struct kv_changes c = { 0 };
	enum kv_status st = KV_UNKNOWN;

	if (complete && p->status == 200) {
		st = read_changes(p, &c) ? KV_OK : KV_UNKNOWN;
		c.era = p->era;
	} else if (complete && p->status == 410) {
		st = KV_NO_HISTORY;
	} else if (complete && (p->status == 429 || p->status == 503)) {
		st = KV_REFUSED;
	}
	log_read(p, complete, &c);
	p->changes(p->arg, st, st == KV_OK ? &c : NULL);
	store_changes_free(&c);
}

static void
deliver_result(struct pending *p, bool complete)
{
	json_t *o = NULL;
	struct kv_result r = { .status = KV_UNKNOWN };
	struct buf value = { 0 };

	if (complete && p->status == 200)
		o = json_loadb(
		    p->body.p, p->body.n, JSON_DISABLE_EOF_CHECK, NULL);
	if (complete && (p->status == 429 || p->status == 400))
		r.status = KV_REFUSED;
	if (o != NULL)
		read_result(p->op, o, &r, &value);
	if (p->done != NULL)
		p->done(p->arg, &r);
	buf_free(&value);
	json_decref(o);
}

static void
deliver_event(const struct pending *p, const json_t *event)
{
	const json_t *kv = json_object_get(event, "kv");
	const char *type = json_string_value(json_object_get(event, "type"));
	struct buf key = base64_decode(json_object_get(kv, "key"));
	struct buf value = base64_decode(json_object_get(kv, "value"));
	struct kv_watch_event w = {
		.deleted = type != NULL && strcmp(type, "DELETE") == 0,
		.key = str_of(&key),
		.value = str_of(&value),
		.mod_revision = get_int64(kv, "mod_revision"),
	};

	p->event(p->arg, &w);
	buf_free(&key);
	buf_free(&value);
}

/*
 * Delivers the complete messages of a watch; each is one line of JSON.  The
 * handler may end the watch, which frees its struct pending.
 */
static void
deliver_watch_lines(struct kv *kv, uint64_t call)
{
	struct pending *p = g_hash_table_lookup(kv->pending, &call);
	struct buf all = p->body;
	struct str rest = str_of(&all);
	struct str line;

	p->body = (struct buf){ 0 };
	while (rest.n > 0 && memchr(rest.p, '\n', rest.n) != NULL) {
		json_t *o;
		const json_t *events;

		str_cut(&rest, '\n', &line);
		o = json_loadb(line.p, line.n, 0, NULL);
		events =
		    json_object_get(json_object_get(o, "result"), "events");
		for (size_t i = 0; i < json_array_size(events); i++) {
			p = g_hash_table_lookup(kv->pending, &call);
			if (p != NULL)
				deliver_event(p, json_array_get(events, i));
		}
		json_decref(o);
	}
	p = g_hash_table_lookup(kv->pending, &call);
	if (p != NULL && rest.n > 0)
		buf_put(&p->body, rest);
	buf_free(&all);
}

static void
close_watch(struct kv *kv, struct pending *p)
{
	g_hash_table_steal(kv->pending, &p->call);
	p->event(p->arg, &(struct kv_watch_event){ .closed = true });
	free_pending(p);
}

static void
add_watch_bytes(struct kv *kv, struct pending *p, struct str bytes)
{
	uint64_t call = p->call;

	buf_put(&p->body, bytes);
	if (memchr(bytes.p, '\n', bytes.n) != NULL)
		deliver_watch_lines(kv, call);
	p = g_hash_table_lookup(kv->pending, &call);
	if (p == NULL)
		return;
	held_set(&p->line, p->body.n);
	if (p->body.n <= MIN(MAX_REPLY_BYTES, held_largest(&p->line)))
		return;
	log_text(LOG_LVL_WARNING, "watch-without-end",
	    "%zu bytes without a line's end; the watch is closed", p->body.n);
	http_cancel(kv->loop, call);
	kv->current = (kv->current + 1) % kv->n_endpoints;
	close_watch(kv, p);
}

static void
on_http(void *arg, const struct http_event *ev)
{
	struct pending *p = arg;
	struct kv *kv = p->kv;
	uint64_t call = p->call;

	switch (ev->kind) {
	case HTTP_HEAD:
		p->status = ev->status;
		p->era = store_read_era(ev->field);
		p->arrived_at = clock_now();
		return;
	case HTTP_CHUNK:
		p->arrived_at = clock_now();
		if (p->op == OP_WATCH)
			add_watch_bytes(kv, p, ev->bytes);
		else
			buf_put(&p->body, ev->bytes);
		return;
	case HTTP_WAIT:
		return;
	case HTTP_FAIL:
		kv->current = (kv->current + 1) % kv->n_endpoints;
		break;
	case HTTP_END:
		break;
	}
	if (p->op == OP_WATCH) {
		close_watch(kv, p);
		return;
	}
	g_hash_table_steal(kv->pending, &call);
	if (p->op == OP_GET_ITEM || p->op == OP_RANGE || p->op == OP_POLL)
		deliver_changes(p, ev->kind == HTTP_END);
	else
		deliver_result(p, ev->kind == HTTP_END);
	free_pending(p);
}

/* Starts a call: a GET if body is empty, otherwise a POST. */
static struct pending *
begin_call(struct kv *kv, enum op op, struct str path, struct str body,
    usec_t timeout, bool fresh, void *arg)
{
	struct pending *p = xcalloc(1, sizeof(*p));
	struct buf url = { 0 };

	p->kv = kv;
	p->op = op;
	p->arg = arg;
	held_init(&p->line,
	    &(struct held_opts){ .memory = kv->memory, .use = MEMORY_STORE });
	buf_printf(
	    &url, "http://%s%.*s", kv->endpoints[kv->current], STR_FMT(path));
	kv->calls++;
	p->call = http_start(kv->loop,
	    &(struct http_opts){
		.method = body.n > 0 ? "POST" : "GET",
		.url = url.p,
		.body = body,
		.timeout = timeout,
		.max_bytes = MAX_REPLY_BYTES,
		.connect_timeout = fresh ? timeout : 0,
		.fresh = fresh,
		.local_addr = kv->local_addr,
		.field = STORE_ERA_FIELD,
		.memory = kv->memory,
		.use = MEMORY_STORE,
		.streamed = op == OP_WATCH,
		.handler = on_http,
		.arg = p,
	    });
	g_hash_table_insert(kv->pending, &p->call, p);
	buf_free(&url);
	return p;
}

/* Sends a call of etcd's JSON gateway; takes ownership of o. */
static struct pending *
send_json(struct kv *kv, enum op op, const char *path, json_t *o, void *arg)
{
	char *text = json_dumps(o, JSON_COMPACT);
	struct pending *p = begin_call(kv, op, str_from(path), str_from(text),
	    op == OP_WATCH ? 0 : kv->timeout, false, arg);

	free(text);
	json_decref(o);
	return p;
}

struct kv *
kv_new(const struct kv_opts *o)
{
	struct kv *kv = xcalloc(1, sizeof(*kv));

	kv->loop = o->loop;
	kv->timeout = o->timeout;
	kv->memory = o->memory;
	if (o->local_addr != NULL)
		kv->local_addr = str_dup(str_from(o->local_addr));
	for (size_t i = 0; i < o->n_endpoints && i < MAX_ENDPOINTS; i++)
		kv->endpoints[kv->n_endpoints++] =
		    str_dup(str_from(o->endpoints[i]));
	kv->pending = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_pending);
	return kv;
}

void
kv_get(struct kv *kv, struct str key, kv_result_handler done, void *arg)
{
	json_t *o = json_pack("{s:o}", "key", base64_encode(key));

	send_json(kv, OP_GET, "/v3/kv/range", o, arg)->done = done;
}

void
kv_get_revision(
    struct kv *kv, struct str key, kv_result_handler done, void *arg)
{
	json_t *o =
	    json_pack("{s:o, s:b}", "key", base64_encode(key), "keys_only", 1);

	send_json(kv, OP_GET, "/v3/kv/range", o, arg)->done = done;
}

void
kv_get_item(struct kv *kv, struct str key, kv_changes_handler done, void *arg)
{
	struct buf path = { 0 };
	struct pending *p;

	store_item_path(&path, key);
	p = begin_call(kv, OP_GET_ITEM, str_of(&path), STR(""),
	    KV_GET_ITEM_TIMEOUT, false, arg);
	p->prefix = str_dup(key);
	p->began_at = clock_now();
	p->changes = done;
	buf_free(&path);
}

void
kv_put_item(struct kv *kv, struct str key, struct str value,
    kv_result_handler done, void *arg)
{
	struct buf body = { 0 };

	store_write_body(&body, key, value);
	begin_call(kv, OP_PUT_ITEM, STR(STORE_WRITE_PATH), str_of(&body),
	    KV_GET_ITEM_TIMEOUT, false, arg)
	    ->done = done;
	buf_free(&body);
}

void
kv_delete_item(struct kv *kv, struct str key, kv_result_handler done, void *arg)
{
	struct buf body = { 0 };

	store_delete_body(&body, key);
	begin_call(kv, OP_PUT_ITEM, STR(STORE_WRITE_PATH), str_of(&body),
	    KV_GET_ITEM_TIMEOUT, false, arg)
	    ->done = done;
	buf_free(&body);
}

uint64_t
kv_range(struct kv *kv, const struct kv_range_opts *o, kv_changes_handler done,
    void *arg)
{
	usec_t timeout = o->timeout > 0 ? o->timeout : kv->timeout;
	struct buf path = { 0 };
	struct pending *p;

	store_range_path(&path, o->prefix, o->after);
	p = begin_call(
	    kv, OP_RANGE, str_of(&path), STR(""), timeout, false, arg);
	p->prefix = str_dup(o->prefix);
	p->began_at = clock_now();
	p->arrived_at = p->began_at;
	p->changes = done;
	buf_free(&path);
	return p->call;
}

usec_t
kv_arrived_at(const struct kv *kv, uint64_t call)
{
	const struct pending *p = g_hash_table_lookup(kv->pending, &call);

	return p != NULL ? p->arrived_at : 0;
}

void
kv_cancel(struct kv *kv, uint64_t call)
{
	const struct pending *p = g_hash_table_lookup(kv->pending, &call);

	if (p == NULL)
		return;
	log_read(p, false, &(struct kv_changes){ 0 });
	/* As after a failed call. */
	kv->current = (kv->current + 1) % kv->n_endpoints;
	http_cancel(kv->loop, call);
	g_hash_table_remove(kv->pending, &call);
}

usec_t
kv_timeout(const struct kv *kv)
{
	return kv->timeout;
}

uint64_t
kv_poll(struct kv *kv, const struct kv_poll_opts *o, kv_changes_handler done,
    void *arg)
{
	struct buf path = { 0 };
	struct pending *p;

	store_poll_path(&path, o->prefix, o->after, o->wait);
	p = begin_call(kv, OP_POLL, str_of(&path), STR(""),
	    o->wait + o->timeout, o->wait == 0, arg);
	p->prefix = str_dup(o->prefix);
	p->began_at = clock_now();
	p->arrived_at = p->began_at;
	p->changes = done;
	buf_free(&path);
	return p->call;
}

void
kv_cas(struct kv *kv, const struct kv_cas_opts *c, kv_result_handler done,
    void *arg)
{
	json_t *put = json_pack("{s:o, s:o}", "key", base64_encode(c->key),
	    "value", base64_encode(c->value));
	json_t *o;

	if (c->lease != 0)
		json_object_set_new(put, "lease", json_from_int64(c->lease));
	o = json_pack("{s:[{s:o, s:s, s:o, s:s}], s:[{s:o}], s:[{s:{s:o}}]}",
	    "compare", "key", base64_encode(c->key), "target", "MOD",
	    "mod_revision", json_from_int64(c->expect), "result", "EQUAL",
	    "success", "request_put", put, "failure", "request_range", "key",
	    base64_encode(c->key));
	send_json(kv, OP_CAS, "/v3/kv/txn", o, arg)->done = done;
}

void
kv_put(struct kv *kv, struct str key, struct str value, int64_t lease,
    kv_result_handler done, void *arg)
{
	json_t *o = json_pack("{s:o, s:o}", "key", base64_encode(key), "value",
	    base64_encode(value));

	if (lease != 0)
		json_object_set_new(o, "lease", json_from_int64(lease));
	send_json(kv, OP_PUT, "/v3/kv/put", o, arg)->done = done;
}

void
kv_delete(struct kv *kv, struct str key, kv_result_handler done, void *arg)
{
	json_t *o = json_pack("{s:o}", "key", base64_encode(key));

	send_json(kv, OP_DELETE, "/v3/kv/deleterange", o, arg)->done = done;
}

void
kv_lease_grant(struct kv *kv, usec_t ttl, kv_result_handler done, void *arg)
{
	json_t *o =
	    json_pack("{s:o}", "TTL", json_from_int64(ttl / USEC_PER_SEC));

	send_json(kv, OP_GRANT, "/v3/lease/grant", o, arg)->done = done;
}

void
kv_lease_keepalive(
    struct kv *kv, int64_t lease, kv_result_handler done, void *arg)
{
	json_t *o = json_pack("{s:o}", "ID", json_from_int64(lease));

	send_json(kv, OP_KEEPALIVE, "/v3/lease/keepalive", o, arg)->done = done;
}

void
kv_lease_revoke(struct kv *kv, int64_t lease, kv_result_handler done, void *arg)
{
	json_t *o = json_pack("{s:o}", "ID", json_from_int64(lease));

	send_json(kv, OP_REVOKE, "/v3/lease/revoke", o, arg)->done = done;
}

uint64_t
kv_watch(struct kv *kv, struct str key, int64_t from, kv_watch_handler handler,
    void *arg)
{
	json_t *o = json_pack("{s:{s:o, s:o}}", "create_request", "key",
	    base64_encode(key), "start_revision", json_from_int64(from));
	struct pending *p = send_json(kv, OP_WATCH, "/v3/watch", o, arg);

	p->event = handler;
	return p->call;
}

void
kv_unwatch(struct kv *kv, uint64_t watch)
{
	http_cancel(kv->loop, watch);
	g_hash_table_remove(kv->pending, &watch);
}

size_t
kv_writes(const struct kv *kv)
{
	size_t n = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, kv->pending);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((const struct pending *)p)->op == OP_PUT_ITEM;
	return n;
}

uint64_t
kv_calls(const struct kv *kv)
{
	return kv->calls;
}

void
kv_free(struct kv *kv)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, kv->pending);
	while (g_hash_table_iter_next(&it, NULL, &p))
		http_cancel(kv->loop, ((struct pending *)p)->call);
	g_hash_table_destroy(kv->pending);
	for (size_t i = 0; i < kv->n_endpoints; i++)
		free(kv->endpoints[i]);
	free(kv->local_addr);
	free(kv);
}
