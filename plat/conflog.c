#include "plat/conflog.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEAD_KEY            "sequoia/config"
#define BODY_PREFIX         "sequoia/config-body/"
#define SEAL_BYTES          (32 * 1024)
#define BATCH_BYTES         (256 * 1024)
#define BODY_RETRY_INTERVAL (200 * USEC_PER_MSEC)
/* While watching: how long a body is missing before a peer is asked. */
#define PEER_FETCH_DELAY    (300 * USEC_PER_MSEC)
/* While not watching: how long before the key-value service is asked. */
#define KV_FETCH_DELAY      (1500 * USEC_PER_MSEC)
#define MAX_FETCHES         8
#define AUDIT_RETENTION     (14 * 24 * 3600 * USEC_PER_SEC)

/* A read of a body from the key-value service that is in flight. */
struct fetch {
	struct conflog *c;
	char hash[HASH_HEX_LEN + 1];
};

struct conflog {
	struct conflog_opts o;
	struct logio *io;
	struct confstate state;
	GHashTable *fetches;  /* hash -> struct fetch, owned */
	usec_t next_fetch;    /* earliest time of the next fetch */
	bool watching;        /* watches the head itself */
	usec_t missing_since; /* 0: no body is missing */
	pthread_mutex_t lock; /* protects head_revision, head and bodies */
	uint64_t head_revision;
	struct buf head;
	GHashTable *bodies; /* hash -> GBytes, of the active files */
};

static int
admit(void *arg, const json_t *payload)
{
	const struct conflog *c = arg;
	struct confrecord r = { 0 };
	uint64_t expected = c->state.generation;
	int code = 0;

	if (confrecord_read(payload, &r, NULL) != 0)
		return CONFLOG_SUPERSEDED;
	if (r.accepted)
		expected++;
	if (r.generation != expected)
		code = CONFLOG_SUPERSEDED;
	confrecord_free(&r);
	return code;
}

static void
apply(void *arg, const json_t *payload, uint64_t serial)
{
	struct conflog *c = arg;
	struct err e = { 0 };

	(void)serial;
	if (confstate_apply_record(&c->state, payload, &e) < 0 &&
	    c->o.rejected != NULL)
		c->o.rejected(c->o.arg, &e);
}

static json_t *
snapshot(void *arg)
{
	const struct conflog *c = arg;

	return confstate_snapshot(&c->state);
}

static void
restore(void *arg, const json_t *state)
{
	struct conflog *c = arg;
	struct err e = { 0 };

	if (confstate_restore(&c->state, state, &e) < 0 && c->o.rejected != NULL)
		c->o.rejected(c->o.arg, &e);
}

/* Older records may be dropped: the snapshot holds the state they led to. */
static usec_t
keep_from(void *arg)
{
	(void)arg;
	return clock_wall() - AUDIT_RETENTION;
}

static const struct alog_ops ops = {
	.admit = admit,
	.apply = apply,
	.snapshot = snapshot,
	.restore = restore,
	.keep_from = keep_from,
};

static void
deliver_record(void *arg, const json_t *payload, uint64_t serial)
{
	const struct conflog *c = arg;

	(void)serial;
	c->o.record(c->o.record_arg, payload);
}

/* There is no snapshot, so that all records are read. */
static const struct alog_ops audit_ops = {
	.admit = admit,
	.apply = deliver_record,
};

/* Makes the bodies of the active files available to conflog_read. */
static void
publish_bodies(struct conflog *c)
{
	GHashTable *bodies = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);

	for (size_t i = 0; i < c->state.files.n; i++) {
		const struct conffile *x = &c->state.files.v[i];

		if (x->has_body)
			g_hash_table_insert(bodies, g_strdup(x->hash),
			    g_bytes_new(x->body.p, x->body.n));
	}
	pthread_mutex_lock(&c->lock);
	g_hash_table_destroy(c->bodies);
	c->bodies = bodies;
	pthread_mutex_unlock(&c->lock);
}

static void
set_body(struct conflog *c, const char *hash, struct str body)
{
	if (!confstate_set_body(&c->state, hash, body))
		return;
	publish_bodies(c);
	c->o.changed(c->o.arg);
}

static void
on_body(void *arg, const struct kv_result *r)
{
	struct fetch *f = arg;
	struct conflog *c = f->c;

	g_hash_table_steal(c->fetches, f->hash);
	if (r->status == KV_OK && r->found)
		set_body(c, f->hash, r->value);
	free(f);
}

static void
body_key(const char *hash, struct buf *out)
{
	buf_printf(out, "%s%s", BODY_PREFIX, hash);
}

static void
fetch(struct conflog *c, const char *hash)
{
	struct fetch *f;
	struct buf key = { 0 };

	if (g_hash_table_contains(c->fetches, hash) ||
	    g_hash_table_size(c->fetches) >= MAX_FETCHES)
		return;
	f = xcalloc(1, sizeof(*f));
	f->c = c;
	snprintf(f->hash, sizeof(f->hash), "%s", hash);
	g_hash_table_insert(c->fetches, f->hash, f);
	body_key(hash, &key);
	kv_get(c->o.kv, str_of(&key), on_body, f);
	buf_free(&key);
}

static void
fetch_missing(struct conflog *c, usec_t now)
{
	if (confstate_missing_body(&c->state) == NULL) {
		c->missing_since = 0;
		return;
	}
	if (c->missing_since == 0)
		c->missing_since = now;
	if (now < c->next_fetch ||
	    (c->o.use_peers && !c->watching &&
		now - c->missing_since < KV_FETCH_DELAY))
		return;
	c->next_fetch = now + BODY_RETRY_INTERVAL;
	for (size_t i = 0; i < c->state.files.n; i++) {
		if (!c->state.files.v[i].has_body)
			fetch(c, c->state.files.v[i].hash);
	}
}

static void
on_changed(void *arg)
{
	struct conflog *c = arg;

	c->o.changed(c->o.arg);
}

static void
on_done(void *arg, const struct alog_completion *d)
{
	struct conflog *c = arg;

	if (c->o.done != NULL)
		c->o.done(c->o.arg, d);
}

static void
on_head(void *arg, uint64_t revision, struct str value)
{
	struct conflog *c = arg;

	c->next_fetch = 0;
	pthread_mutex_lock(&c->lock);
	c->head_revision = revision;
	buf_clear(&c->head);
	buf_put(&c->head, value);
	pthread_mutex_unlock(&c->lock);
}

struct conflog *
conflog_new(const struct conflog_opts *o)
{
	struct conflog *c = xcalloc(1, sizeof(*c));

	c->o = *o;
	pthread_mutex_init(&c->lock, NULL);
	c->fetches = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	c->bodies = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	c->io = logio_new(&(struct logio_opts){
	    .kv = o->kv,
	    .log = {
	        .key = HEAD_KEY,
	        .incarnation = o->incarnation,
	        .seal_bytes = SEAL_BYTES,
	        .batch_bytes = BATCH_BYTES,
	        .ops = o->record != NULL ? &audit_ops : &ops,
	        .arg = c,
	    },
	    .done = on_done,
	    .changed = on_changed,
	    .head = on_head,
	    .arg = c,
	});
	return c;
}

void
conflog_tick(struct conflog *c, usec_t now)
{
	logio_tick(c->io, now);
	fetch_missing(c, now);
}

void
conflog_set_watch(struct conflog *c, bool watch)
{
	c->watching = watch;
	logio_set_watch(c->io, watch);
}

const struct confstate *
conflog_state(const struct conflog *c)
{
	return &c->state;
}

bool
conflog_ready(const struct conflog *c)
{
	return alog_ready(logio_log(c->io));
}

const struct err *
conflog_error(const struct conflog *c)
{
	return alog_error(logio_log(c->io));
}

uint64_t
conflog_swaps(const struct conflog *c)
{
	return alog_counts(logio_log(c->io)).swaps;
}

int
conflog_append(struct conflog *c, uint64_t tag, const struct confrecord *r)
{
	json_t *payload = confrecord_json(r, true);
	int rc = alog_append(logio_log(c->io), tag, 0, r->when, payload);

	json_decref(payload);
	if (rc == 0)
		logio_pump(c->io, clock_now());
	return rc;
}

void
conflog_put_body(struct conflog *c, const struct conffile *x,
    kv_result_handler done, void *arg)
{
	struct buf key = { 0 };

	body_key(x->hash, &key);
	kv_put(c->o.kv, str_of(&key), str_of(&x->body), 0, done, arg);
	buf_free(&key);
}

void
conflog_get_body(
    struct conflog *c, const char *hash, kv_result_handler done, void *arg)
{
	struct buf key = { 0 };

	body_key(hash, &key);
	kv_get(c->o.kv, str_of(&key), done, arg);
	buf_free(&key);
}

void
conflog_receive(struct conflog *c, const char *name, uint64_t revision,
    struct str value, usec_t now)
{
	if (strcmp(name, "head") == 0)
		logio_receive_head(c->io, revision, value, now);
	else
		set_body(c, name, value);
}

bool
conflog_missing(
    const struct conflog *c, usec_t now, char name[CONFLOG_NAME_BYTES])
{
	const struct conffile *x = confstate_missing_body(&c->state);

	if (x == NULL || c->missing_since == 0 ||
	    (c->watching && now - c->missing_since < PEER_FETCH_DELAY))
		return false;
	snprintf(name, CONFLOG_NAME_BYTES, "%s", x->hash);
	return true;
}

bool
conflog_read(
    struct conflog *c, const char *name, uint64_t *revision, struct buf *out)
{
	GBytes *body;
	gsize n;
	bool found;

	*revision = 0;
	pthread_mutex_lock(&c->lock);
	if (strcmp(name, "head") == 0) {
		found = c->head_revision > 0;
		*revision = c->head_revision;
		buf_put(out, str_of(&c->head));
	} else {
		body = g_hash_table_lookup(c->bodies, name);
		found = body != NULL;
		if (found) {
			const char *p = g_bytes_get_data(body, &n);

			buf_put(out, (struct str){ p, n });
		}
	}
	pthread_mutex_unlock(&c->lock);
	return found;
}

/* The kv client refers to fetches in flight and must be freed first. */
void
conflog_free(struct conflog *c)
{
	logio_free(c->io);
	g_hash_table_destroy(c->fetches);
	g_hash_table_destroy(c->bodies);
	confstate_free(&c->state);
	buf_free(&c->head);
	pthread_mutex_destroy(&c->lock);
	free(c);
}
