#include "entry/record.h"
#include "plat/held.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

struct record {
	unsigned refs;
	uint64_t handle;
	char id[RECORD_ID_BYTES];
	char *workspace;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct buf text; /* all chunks, concatenated */
	GArray *ends;    /* size_t: end offset of each chunk */
	bool ended;
	usec_t ended_at;
	struct record_end end;
	struct buf body;
	struct buf trace;
	unsigned readers;
	struct held unsent; /* of chunks and body, while there are readers */
	size_t taken;       /* by the readers */
	size_t size;        /* this record's part of records.bytes */
};

struct records {
	struct records_opts o;
	pthread_mutex_t lock;
	/* handle -> struct record, one reference each */
	GHashTable *by_handle;
	GHashTable *by_id; /* id -> struct record */
	GQueue ended;      /* oldest end first */
	uint64_t next;
	size_t bytes;
};

static void
init_cond(pthread_cond_t *c)
{
	pthread_condattr_t a;

	pthread_condattr_init(&a);
	pthread_condattr_setclock(&a, CLOCK_MONOTONIC);
	pthread_cond_init(c, &a);
	pthread_condattr_destroy(&a);
}

static void
free_record(struct record *r)
{
	held_end(&r->unsent);
	pthread_mutex_destroy(&r->lock);
	pthread_cond_destroy(&r->changed);
	g_array_free(r->ends, TRUE);
	buf_free(&r->text);
	buf_free(&r->body);
	buf_free(&r->trace);
	free(r->workspace);
	free(r);
}

static struct record *
ref_record(struct record *r)
{
	__atomic_add_fetch(&r->refs, 1, __ATOMIC_RELAXED);
	return r;
}

static struct record *
find_by_handle(struct records *rs, uint64_t handle)
{
	struct record *r;

	pthread_mutex_lock(&rs->lock);
	r = g_hash_table_lookup(rs->by_handle, &handle);
	if (r != NULL)
		ref_record(r);
	pthread_mutex_unlock(&rs->lock);
	return r;
}

/* Removes a record; called with the lock of the table held. */
static void
drop_record(struct records *rs, struct record *r)
{
	rs->bytes -= r->size;
	g_hash_table_remove(rs->by_id, r->id);
	g_hash_table_remove(rs->by_handle, &r->handle);
	record_unref(r);
}

struct records *
records_new(const struct records_opts *o)
{
	struct records *rs = xcalloc(1, sizeof(*rs));

	rs->o = *o;
	pthread_mutex_init(&rs->lock, NULL);
	rs->by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
	rs->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&rs->ended);
	return rs;
}

struct record *
record_new(struct records *rs, struct str workspace)
{
	struct record *r = xcalloc(1, sizeof(*r));

	r->refs = 2; /* one reference of the table, one of the caller */
	r->workspace = str_dup(workspace);
	pthread_mutex_init(&r->lock, NULL);
	init_cond(&r->changed);
	held_init(&r->unsent,
	    &(struct held_opts){
		.memory = rs->o.memory, .use = MEMORY_UNSENT });
	r->ends = g_array_new(FALSE, FALSE, sizeof(size_t));
	pthread_mutex_lock(&rs->lock);
	r->handle = ++rs->next;
	snprintf(r->id, sizeof(r->id), "%08x%08x-%llx", rs->o.node,
	    rs->o.incarnation, (unsigned long long)r->handle);
	g_hash_table_insert(rs->by_handle, &r->handle, r);
	g_hash_table_insert(rs->by_id, r->id, r);
	pthread_mutex_unlock(&rs->lock);
	return r;
}

uint64_t
record_handle(const struct record *r)
{
	return r->handle;
}

const char *
record_id(const struct record *r)
{
	return r->id;
}

struct record *
record_find(struct records *rs, struct str id, struct str workspace)
{
	char text[RECORD_ID_BYTES];
	struct record *r;

	if (id.n >= sizeof(text))
		return NULL;
	snprintf(text, sizeof(text), "%.*s", STR_FMT(id));
	pthread_mutex_lock(&rs->lock);
	r = g_hash_table_lookup(rs->by_id, text);
	if (r != NULL && str_eq(str_from(r->workspace), workspace))
		ref_record(r);
	else
		r = NULL;
	pthread_mutex_unlock(&rs->lock);
	return r;
}

/* Called with the lock of the record held. */
static void
count_unsent(struct record *r)
{
	size_t n = r->readers > 0 ? r->text.n + r->body.n : 0;

	held_set(&r->unsent, n - MIN(n, r->taken));
}

void
record_add_chunk(struct records *rs, uint64_t handle, struct str text)
{
	struct record *r = find_by_handle(rs, handle);

	if (r == NULL)
		return;
	pthread_mutex_lock(&r->lock);
	buf_put(&r->text, text);
	g_array_append_val(r->ends, r->text.n);
	count_unsent(r);
	pthread_cond_broadcast(&r->changed);
	pthread_mutex_unlock(&r->lock);
	record_unref(r);
}

static void
set_end(struct record *r, const struct record_end *end)
{
	r->ended_at = clock_now();
	r->end = *end;
	buf_clear(&r->body);
	buf_clear(&r->trace);
	buf_put(&r->body, end->body);
	buf_put(&r->trace, end->trace);
	r->end.body = str_of(&r->body);
	r->end.trace = (struct str){ NULL, 0 };
}

void
record_finish(struct records *rs, uint64_t handle, const struct record_end *end)
{
	struct record *r = find_by_handle(rs, handle);
	bool first;

	if (r == NULL)
		return;
	pthread_mutex_lock(&r->lock);
	first = !r->ended;
	if (first || r->end.outcome == OUTCOME_UNKNOWN)
		set_end(r, end);
	r->ended = true;
	count_unsent(r);
	pthread_cond_broadcast(&r->changed);
	pthread_mutex_unlock(&r->lock);
	if (first) {
		pthread_mutex_lock(&rs->lock);
		r->size = sizeof(*r) + r->text.cap + r->body.cap + r->trace.cap;
		rs->bytes += r->size;
		g_queue_push_tail(&rs->ended, r);
		pthread_mutex_unlock(&rs->lock);
	}
	record_unref(r);
}

static void
add_time(struct timespec *ts, usec_t t)
{
	ts->tv_sec += t / USEC_PER_SEC;
	ts->tv_nsec += (t % USEC_PER_SEC) * 1000;
	if (ts->tv_nsec >= 1000000000) {
		ts->tv_nsec -= 1000000000;
		ts->tv_sec++;
	}
}

void
record_wait(
    struct record *r, size_t seen, usec_t timeout, struct record_view *out)
{
	struct timespec deadline;
	int rc = 0;

	clock_gettime(CLOCK_MONOTONIC, &deadline);
	add_time(&deadline, timeout);
	pthread_mutex_lock(&r->lock);
	while (!r->ended && r->ends->len <= seen && rc != ETIMEDOUT)
		rc = pthread_cond_timedwait(&r->changed, &r->lock, &deadline);
	out->chunks = r->ends->len;
	out->ended = r->ended;
	out->end = r->end;
	pthread_mutex_unlock(&r->lock);
}

void
record_get_chunk(struct record *r, size_t i, struct buf *out)
{
	size_t from;
	size_t to;

	pthread_mutex_lock(&r->lock);
	from = i > 0 ? g_array_index(r->ends, size_t, i - 1) : 0;
	to = g_array_index(r->ends, size_t, i);
	buf_put(out, (struct str){ r->text.p + from, to - from });
	pthread_mutex_unlock(&r->lock);
}

void
record_trace(struct record *r, struct buf *out)
{
	pthread_mutex_lock(&r->lock);
	buf_put(out, r->trace.n > 0 ? str_of(&r->trace) : STR("[]"));
	pthread_mutex_unlock(&r->lock);
}

void
record_attach(struct record *r)
{
	pthread_mutex_lock(&r->lock);
	if (r->readers++ == 0) {
		r->taken = 0;
		held_next_receiver(&r->unsent);
	}
	count_unsent(r);
	pthread_mutex_unlock(&r->lock);
}

bool
record_detach(struct record *r)
{
	bool last;

	pthread_mutex_lock(&r->lock);
	last = --r->readers == 0;
	count_unsent(r);
	pthread_mutex_unlock(&r->lock);
	return last;
}

bool
record_taken(struct record *r, size_t n)
{
	bool cut;

	pthread_mutex_lock(&r->lock);
	r->taken += n;
	count_unsent(r);
	cut = held_is_cut(&r->unsent);
	pthread_mutex_unlock(&r->lock);
	return !cut;
}

void
record_unref(struct record *r)
{
	if (__atomic_sub_fetch(&r->refs, 1, __ATOMIC_ACQ_REL) == 0)
		free_record(r);
}

void
records_sweep(struct records *rs, usec_t now)
{
	struct record *r;

	pthread_mutex_lock(&rs->lock);
	while ((r = g_queue_peek_head(&rs->ended)) != NULL &&
	    (rs->bytes > rs->o.keep_bytes ||
		r->ended_at + rs->o.retention < now)) {
		g_queue_pop_head(&rs->ended);
		drop_record(rs, r);
	}
	pthread_mutex_unlock(&rs->lock);
}

size_t
records_bytes(struct records *rs)
{
	size_t n;

	pthread_mutex_lock(&rs->lock);
	n = rs->bytes;
	pthread_mutex_unlock(&rs->lock);
	return n;
}

void
records_free(struct records *rs)
{
	GHashTableIter it;
	gpointer r;

	g_hash_table_iter_init(&it, rs->by_handle);
	while (g_hash_table_iter_next(&it, NULL, &r))
		record_unref(r);
	g_hash_table_destroy(rs->by_handle);
	g_hash_table_destroy(rs->by_id);
	g_queue_clear(&rs->ended);
	pthread_mutex_destroy(&rs->lock);
	free(rs);
}
