#include "review/standin/store.h"
#include "review/standin/record.h"
#include "review/standin/wire.h"

#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_MS      600000
#define MAX_WATCH_MS 30000
/* A waiting watch looks for changes this often. */
#define WATCH_STEP   5

struct change {
	char *key;
	char *value; /* NULL: deleted */
	int64_t rev;
};

struct store {
	char addr[ADDR_BYTES];
	int listener;
	pthread_mutex_t lock;
	GPtrArray *log;  /* struct change, the whole history */
	GPtrArray *copy; /* the same, as of the copy */
	int64_t rev;
	int64_t copy_rev;
	int64_t era;
	bool away;
	uint64_t resets; /* rises when all connections are reset */
};

struct store_conn {
	struct store *store;
	int fd;
};

static void
free_change(gpointer p)
{
	struct change *c = p;

	g_free(c->key);
	g_free(c->value);
	g_free(c);
}

static GPtrArray *
copy_log(const GPtrArray *log)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(free_change);

	for (guint i = 0; i < log->len; i++) {
		const struct change *c = log->pdata[i];
		struct change *x = g_new0(struct change, 1);

		x->key = g_strdup(c->key);
		x->value = g_strdup(c->value);
		x->rev = c->rev;
		g_ptr_array_add(out, x);
	}
	return out;
}

static void
add_change(struct store *s, const char *key, const char *value)
{
	struct change *c = g_new0(struct change, 1);

	c->key = g_strdup(key);
	c->value = g_strdup(value);
	c->rev = ++s->rev;
	g_ptr_array_add(s->log, c);
}

static bool
write_item(struct store *s, const char *key, const char *value)
{
	bool ok;

	pthread_mutex_lock(&s->lock);
	ok = !s->away;
	if (ok)
		add_change(s, key, value);
	pthread_mutex_unlock(&s->lock);
	return ok;
}

bool
store_put(struct store *s, const char *key, const char *value)
{
	return write_item(s, key, value);
}

bool
store_delete(struct store *s, const char *key)
{
	return write_item(s, key, NULL);
}

void
store_set_away(struct store *s, bool away)
{
	pthread_mutex_lock(&s->lock);
	s->away = away;
	s->resets += away;
	pthread_mutex_unlock(&s->lock);
	record("store %s", away ? "away" : "back");
}

void
store_copy(struct store *s)
{
	pthread_mutex_lock(&s->lock);
	if (s->copy != NULL)
		g_ptr_array_unref(s->copy);
	s->copy = copy_log(s->log);
	s->copy_rev = s->rev;
	pthread_mutex_unlock(&s->lock);
	record("store copied at revision %" PRId64, s->copy_rev);
}

void
store_restore(struct store *s)
{
	int64_t before;

	pthread_mutex_lock(&s->lock);
	before = s->rev;
	g_ptr_array_unref(s->log);
	s->log = copy_log(s->copy);
	s->rev = s->copy_rev;
	s->era++;
	pthread_mutex_unlock(&s->lock);
	record("store restored from its copy: revision %" PRId64
	       " after %" PRId64,
	    s->copy_rev, before);
}

int64_t
store_revision(struct store *s)
{
	int64_t rev;

	pthread_mutex_lock(&s->lock);
	rev = s->rev;
	pthread_mutex_unlock(&s->lock);
	return rev;
}

const char *
store_addr(const struct store *s)
{
	return s->addr;
}

static json_t *
change_json(const struct change *c)
{
	json_t *o = json_pack("{s:s, s:I, s:I, s:i}", "Key", c->key, "Rev",
	    (json_int_t)c->rev, "Created", (json_int_t)c->rev, "Lease", 0);

	if (c->value == NULL) {
		json_object_set_new(o, "Tombstone", json_true());
	} else {
		g_autofree char *text =
		    g_base64_encode((const guchar *)c->value, strlen(c->value));

		json_object_set_new(o, "Value", json_string(text));
	}
	return o;
}

/* Returns the newest change of each key with the prefix, without deletions. */
static json_t *
list_items(const struct store *s, const char *prefix, const char *after)
{
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *out = json_array();
	GList *keys;

	for (guint i = 0; i < s->log->len; i++) {
		struct change *c = s->log->pdata[i];

		if (g_str_has_prefix(c->key, prefix) &&
		    strcmp(c->key, after) > 0)
			g_hash_table_replace(newest, c->key, c);
	}
	keys = g_list_sort(
	    g_hash_table_get_keys(newest), (GCompareFunc)(void *)strcmp);
	for (GList *l = keys; l != NULL; l = l->next) {
		const struct change *c = g_hash_table_lookup(newest, l->data);

		if (c->value != NULL)
			json_array_append_new(out, change_json(c));
	}
	g_list_free(keys);
	g_hash_table_destroy(newest);
	return out;
}

/* Returns a value of the query, decoded and to be freed; "" if it is absent. */
static char *
query_value(const char *url, const char *name)
{
	const char *query = strchr(url, '?');
	g_auto(GStrv) v = g_strsplit(query != NULL ? query + 1 : "", "&", -1);
	size_t n = strlen(name);

	for (size_t i = 0; v[i] != NULL; i++) {
		if (strncmp(v[i], name, n) == 0 && v[i][n] == '=')
			return g_uri_unescape_string(v[i] + n + 1, NULL);
	}
	return g_strdup("");
}

static bool
respond(struct wire *w, const struct store *s, int status, json_t *body)
{
	g_autofree char *text = json_dumps(body, JSON_COMPACT);
	g_autofree char *all = g_strdup_printf(
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Store-Era: %" PRId64 "\r\nContent-Length: %zu\r\n\r\n%s",
	    status, status == 200 ? "OK" : "Refused", s->era, strlen(text),
	    text);

	json_decref(body);
	return wire_write(w, all, strlen(all));
}

static json_t *
changes_after(const struct store *s, const char *prefix, int64_t after)
{
	json_t *out = json_array();

	for (guint i = 0; i < s->log->len; i++) {
		const struct change *c = s->log->pdata[i];

		if (c->rev > after && g_str_has_prefix(c->key, prefix))
			json_array_append_new(out, change_json(c));
	}
	return out;
}

static bool
serve_watch(struct store *s, struct wire *w, const char *url)
{
	g_autofree char *prefix = query_value(url, "Prefix");
	g_autofree char *after_text = query_value(url, "After");
	g_autofree char *wait_text = query_value(url, "WaitMs");
	int64_t after = strtoll(after_text, NULL, 10);
	int64_t wait = strtoll(wait_text, NULL, 10);
	int64_t until = record_now() + (wait < MAX_WATCH_MS ? wait : 0);

	for (;;) {
		json_t *events = NULL;
		int64_t rev;
		uint64_t resets;

		pthread_mutex_lock(&s->lock);
		rev = s->rev;
		resets = s->resets;
		if (after <= rev)
			events = changes_after(s, prefix, after);
		pthread_mutex_unlock(&s->lock);
		if (events == NULL)
			return respond(w, s, 410, json_object());
		if (json_array_size(events) > 0 || record_now() >= until)
			return respond(w, s, 200,
			    json_pack("{s:o, s:I}", "events", events, "AsOf",
				(json_int_t)rev));
		json_decref(events);
		sleep_ms(WATCH_STEP);
		if (resets != s->resets || wire_closed(w))
			return false;
	}
}

static void
apply_write(struct store *s, const json_t *o)
{
	size_t i;
	json_t *v;

	json_array_foreach(json_object_get(o, "Puts"), i, v)
	{
		const char *key = json_string_value(json_object_get(v, "Key"));
		const char *text =
		    json_string_value(json_object_get(v, "Value"));
		gsize n = 0;
		g_autofree guchar *raw =
		    text != NULL ? g_base64_decode(text, &n) : NULL;
		g_autofree char *value =
		    g_strndup(raw != NULL ? (const char *)raw : "", n);

		if (key != NULL)
			add_change(s, key, value);
	}
	json_array_foreach(json_object_get(o, "Deletes"), i, v)
	{
		if (json_is_string(v))
			add_change(s, json_string_value(v), NULL);
	}
}

static bool
serve_write(struct store *s, struct wire *w, const struct message *m)
{
	json_t *o = json_loadb(m->body->str, m->body->len, 0, NULL);
	int64_t rev;

	pthread_mutex_lock(&s->lock);
	apply_write(s, o);
	rev = s->rev;
	pthread_mutex_unlock(&s->lock);
	json_decref(o);
	return respond(w, s, 200, json_pack("{s:I}", "Rev", (json_int_t)rev));
}

static bool
serve_range(struct store *s, struct wire *w, const char *url)
{
	g_autofree char *prefix = query_value(url, "Prefix");
	g_autofree char *after = query_value(url, "After");
	json_t *items;
	int64_t rev;

	pthread_mutex_lock(&s->lock);
	items = list_items(s, prefix, after);
	rev = s->rev;
	pthread_mutex_unlock(&s->lock);
	return respond(w, s, 200,
	    json_pack("{s:o, s:b, s:I}", "Items", items, "MorePages", 0, "AsOf",
		(json_int_t)rev));
}

static bool
serve_item(struct store *s, struct wire *w, const char *url)
{
	g_autofree char *key = query_value(url, "Key");
	const struct change *found = NULL;
	json_t *o = json_object();

	pthread_mutex_lock(&s->lock);
	for (guint i = 0; i < s->log->len; i++) {
		const struct change *c = s->log->pdata[i];

		if (strcmp(c->key, key) == 0)
			found = c;
	}
	if (found != NULL && found->value != NULL) {
		json_decref(o);
		o = change_json(found);
	}
	json_object_set_new(o, "AsOf", json_integer(s->rev));
	pthread_mutex_unlock(&s->lock);
	return respond(w, s, json_object_get(o, "Key") != NULL ? 200 : 404, o);
}

static bool
serve(struct store *s, struct wire *w, const struct message *m)
{
	g_auto(GStrv) words = g_strsplit(m->first, " ", 3);
	const char *url = words[0] != NULL && words[1] != NULL ? words[1] : "";

	if (g_str_has_prefix(url, "/api/kv-watch"))
		return serve_watch(s, w, url);
	if (g_str_has_prefix(url, "/api/kv-range"))
		return serve_range(s, w, url);
	if (g_str_has_prefix(url, "/api/kv-key"))
		return serve_item(s, w, url);
	if (g_str_has_prefix(url, "/api/kv-txn"))
		return serve_write(s, w, m);
	return respond(w, s, 404, json_object());
}

static void *
run_conn(void *arg)
{
	struct store_conn *c = arg;
	struct store *s = c->store;
	struct wire w;
	bool open = true;

	wire_init(&w, c->fd);
	while (open) {
		struct message m;

		open = wire_read(&w, record_now() + IDLE_MS, &m) &&
		    m.complete && !s->away && serve(s, &w, &m);
		message_free(&m);
	}
	wire_close(&w, s->away);
	g_free(c);
	return NULL;
}

static void *
run_store(void *arg)
{
	struct store *s = arg;

	for (;;) {
		struct store_conn *c = g_new0(struct store_conn, 1);
		pthread_t t;

		c->store = s;
		c->fd = accept4(s->listener, NULL, NULL, SOCK_CLOEXEC);
		if (c->fd < 0 || pthread_create(&t, NULL, run_conn, c) != 0) {
			g_free(c);
			return NULL;
		}
		pthread_detach(t);
	}
}

struct store *
store_start(const char *ip)
{
	struct store *s = g_new0(struct store, 1);
	uint16_t port = 0;
	pthread_t t;

	pthread_mutex_init(&s->lock, NULL);
	s->log = g_ptr_array_new_with_free_func(free_change);
	s->rev = 100;
	s->era = 1;
	s->listener = wire_listen(ip, &port);
	if (s->listener < 0) {
		perror("store");
		exit(2);
	}
	snprintf(s->addr, sizeof(s->addr), "%s:%u", ip, port);
	pthread_create(&t, NULL, run_store, s);
	pthread_detach(t);
	return s;
}
