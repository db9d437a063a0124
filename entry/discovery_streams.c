/*
 * Records the versions of streams in the store for all hosts that ask this one,
 * keeps the base versions there, and looks streams up
 * (kernel/stream_records.h).
 */
#include "entry/discovery_state.h"
#include "base/log.h"
#include "base/rng.h"
#include "kernel/store_listing.h"
#include "kernel/stream_reader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define RECORDS_PREFIX "sequoia/streams/"
#define BASES_KEY      "sequoia/versions"
/* Among the records, as streams are looked up in these. */
#define GAPS_KEY       RECORDS_PREFIX "gaps"
/* Items that a recorder writes in turn, one for each second. */
#define RECORD_ITEMS   (2 * STREAM_RECORD_SLOTS)
/* Interval in which a write without an answer is repeated. */
#define RETRY_PAUSE    (200 * USEC_PER_MSEC)
/* Streams that wait to be recorded; further ones are dropped. */
#define MAX_WAITING    4096
#define LIST_INTERVAL  (1 * USEC_PER_SEC)
/* Interval in which hosts are told that what they wait for is being read. */
#define TELL_INTERVAL  (200 * USEC_PER_MSEC)
/* Shortest, and half the longest time until hosts replace older bases. */
#define BASES_DELAY    (1 * USEC_PER_SEC)

/* A stream that is to be recorded. */
struct waiting_stream {
	char rpc[MAX_ADDR_BYTES]; /* of the host that asks */
	uint64_t ask;
	uint64_t hash;
	char service[64];
	char version[STREAM_VERSION_BYTES];
};

/* A stream that a host looks for. */
struct waiting_look {
	char rpc[MAX_ADDR_BYTES]; /* of that host */
	uint64_t ask;
	char *service;
	struct stream_record_search search;
};

struct stream_store {
	struct stream_records records;
	GArray *waiting; /* struct waiting_stream, not in records */
	GArray *written; /* the same, in records but not in the store */
	bool put_in_flight;
	usec_t put_at;
	uint64_t put_restores; /* d->restores at the last write */
	struct stream_record_log log;
	uint64_t log_restores; /* d->restores when it was looked at */
	int64_t rewritten;     /* second of the item in flight; 0: a new one */
	usec_t rewritten_at;
	bool rewrites; /* items may be left to be written again */
	/* Of the newest item that this host had written before it started. */
	int64_t last_second;
	bool listed;  /* the store, so that last_second is known */
	bool dropped; /* streams, since the last write */
	struct stream_bases bases;
	struct stream_bases_writer bases_writer;
	usec_t rewrite_bases_at; /* unless the first feeder does before */
	uint64_t bases_read;     /* d->restores when the item was read last */
	struct stream_gaps gaps; /* as the store has them */
	struct stream_versions versions; /* while this is the first feeder */
	bool gaps_in_flight;
	bool gaps_due;      /* the store lacks what this host knows of them */
	uint64_t gaps_read; /* d->restores when the item was read last */
	usec_t listed_at;
	GPtrArray *looks;   /* struct waiting_look, for the next reading */
	GPtrArray *reading; /* the same, of the reading in progress; or NULL */
	uint64_t page;      /* call that reads, */
	usec_t page_at;     /* and when it began */
	usec_t told_at;     /* the hosts that wait, of the reading */
	struct buf last_key;
};

static void
free_look(gpointer p)
{
	struct waiting_look *k = p;

	g_free(k->service);
	g_free(k);
}

struct stream_store *
discovery_new_streams(void)
{
	struct stream_store *s = xcalloc(1, sizeof(*s));

	stream_records_init(&s->records);
	stream_bases_init(&s->bases);
	stream_gaps_init(&s->gaps);
	stream_versions_init(&s->versions, clock_now());
	s->waiting = g_array_new(FALSE, TRUE, sizeof(struct waiting_stream));
	s->written = g_array_new(FALSE, TRUE, sizeof(struct waiting_stream));
	s->looks = g_ptr_array_new_with_free_func(free_look);
	return s;
}

void
discovery_free_streams(struct stream_store *s)
{
	stream_records_free(&s->records);
	stream_record_log_free(&s->log);
	stream_bases_free(&s->bases);
	stream_gaps_free(&s->gaps);
	stream_versions_free(&s->versions);
	g_array_unref(s->waiting);
	g_array_unref(s->written);
	g_ptr_array_unref(s->looks);
	if (s->reading != NULL)
		g_ptr_array_unref(s->reading);
	buf_free(&s->last_key);
	free(s);
}

static GHashTable *
copy_bases(const struct discovery *d)
{
	GHashTable *out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter it;
	gpointer service;
	gpointer version;

	g_hash_table_iter_init(&it, d->streams->bases.by_service);
	while (g_hash_table_iter_next(&it, &service, &version))
		g_hash_table_insert(out, g_strdup(service), g_strdup(version));
	return out;
}

static GHashTable *
copy_gaps(const struct discovery *d)
{
	GHashTable *out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter it;
	gpointer service;
	gpointer gap;

	g_hash_table_iter_init(&it, d->streams->gaps.by_service);
	while (g_hash_table_iter_next(&it, &service, &gap))
		g_hash_table_insert(out, g_strdup(service),
		    g_memdup2(gap, sizeof(struct stream_gap)));
	return out;
}

void
discovery_copy_streams(const struct discovery *d, struct view *v)
{
	v->stream_bases = copy_bases(d);
	v->stream_gaps = copy_gaps(d);
}

/* Recording. */

/* Tells the hosts whose streams are in the store now. */
static void
reply_recorded(struct discovery *d, GArray *streams)
{
	uint64_t asks[PEER_RECORDED_MAX];
	peer_body body = { .kind = PEER_STREAM_RECORDED };
	peer_stream_recorded *m = &body.peer_body_u.stream_recorded;

	m->asks.asks_val = asks;
	while (streams->len > 0) {
		struct waiting_stream first =
		    g_array_index(streams, struct waiting_stream, 0);

		m->asks.asks_len = 0;
		for (guint i = streams->len;
		     i-- > 0 && m->asks.asks_len < PEER_RECORDED_MAX;) {
			const struct waiting_stream *w =
			    &g_array_index(streams, struct waiting_stream, i);

			if (strcmp(w->rpc, first.rpc) != 0)
				continue;
			asks[m->asks.asks_len++] = w->ask;
			g_array_remove_index_fast(streams, i);
		}
		rpc_send(d->rpc, first.rpc, &body);
	}
}

static void
on_recorded(void *arg, const struct kv_result *r)
{
	struct discovery *d = arg;
	struct stream_store *s = d->streams;

	bool written = r->status == KV_OK && s->put_restores == d->restores;

	s->put_in_flight = false;
	if (s->rewritten != 0) {
		if (written)
			return;
		stream_record_log_failed(&s->log, s->rewritten);
		/* As below. */
		if (s->rewritten == s->records.second)
			s->records.second++;
		return;
	}
	if (written) {
		reply_recorded(d, s->written);
		return;
	}
	log_text(LOG_LVL_NOTICE, "streams-not-recorded",
	    "%u streams; the write is repeated", s->written->len);
	/*
	 * The write may take effect seconds later, and would replace a newer
	 * value of its item.
	 */
	s->records.second++;
}

/* Moves the waiting streams to the records of the current second. */
static void
take_waiting(struct stream_store *s)
{
	int64_t second = clock_wall() / USEC_PER_SEC;

	if (second <= s->last_second)
		second = s->last_second + 1;
	/* Records that are not in the store yet stay with their second. */
	if (s->written->len > 0)
		second = s->records.second;
	for (guint i = 0; i < s->waiting->len; i++) {
		const struct waiting_stream *w =
		    &g_array_index(s->waiting, struct waiting_stream, i);

		stream_records_add(
		    &s->records, second, w->service, w->version, w->hash);
		g_array_append_val(s->written, *w);
	}
	g_array_set_size(s->waiting, 0);
	s->records.full = s->records.full || s->dropped;
	s->dropped = false;
}

static void
put_records(struct discovery *d, int64_t second, struct str value)
{
	g_autofree char *key = g_strdup_printf(RECORDS_PREFIX "%s/%" PRId64,
	    d->o.settings->id, second % RECORD_ITEMS);

	d->streams->put_in_flight = true;
	d->streams->put_restores = d->restores;
	kv_put_item(d->kv, str_from(key), value, on_recorded, d);
}

/* Writes an item again that a restored store may not have. */
static void
rewrite_records(struct discovery *d, usec_t now)
{
	struct stream_store *s = d->streams;
	const struct stream_record_item *x;

	if (s->log_restores != d->restores) {
		s->log_restores = d->restores;
		stream_record_log_lost(&s->log);
	}
	if (now - s->rewritten_at < STREAM_RECORD_PAUSE)
		return;
	x = stream_record_log_next(&s->log, clock_wall() / USEC_PER_SEC);
	s->rewrites = x != NULL;
	if (x == NULL)
		return;
	s->rewritten_at = now;
	s->rewritten = x->second;
	put_records(d, x->second, str_of(&x->value));
}

void
discovery_record_streams(struct discovery *d, usec_t now)
{
	struct stream_store *s = d->streams;
	usec_t pause = s->written->len > 0 ? RETRY_PAUSE : STREAM_RECORD_PAUSE;
	struct buf value = { 0 };

	if (s->put_in_flight || d->store_unavailable || !s->listed)
		return;
	if (s->waiting->len + s->written->len == 0 || now - s->put_at < pause) {
		rewrite_records(d, now);
		return;
	}
	take_waiting(s);
	s->put_at = now;
	s->rewritten = 0;
	stream_records_write(&s->records, &value);
	stream_record_log_note(&s->log, s->records.second, str_of(&value));
	put_records(d, s->records.second, str_of(&value));
	buf_free(&value);
}

usec_t
discovery_record_due(const struct discovery *d)
{
	const struct stream_store *s = d->streams;
	usec_t at = 0;

	if (s->put_in_flight || d->store_unavailable)
		return 0;
	if (s->rewrites)
		at = s->rewritten_at + STREAM_RECORD_PAUSE;
	if (s->waiting->len > 0 &&
	    (at == 0 || s->put_at + STREAM_RECORD_PAUSE < at))
		at = s->put_at + STREAM_RECORD_PAUSE;
	return at;
}

/* The store doesn't answer this host: another one has to record the stream. */
static void
refuse_record(struct discovery *d, const char *rpc, uint64_t ask)
{
	peer_body body = { .kind = PEER_STREAM_RECORDED };
	peer_stream_recorded *m = &body.peer_body_u.stream_recorded;

	m->refused = true;
	m->asks.asks_val = &ask;
	m->asks.asks_len = 1;
	rpc_send(d->rpc, rpc, &body);
}

static void
on_record(struct discovery *d, const char *rpc, const peer_stream_record *m)
{
	struct stream_store *s = d->streams;
	struct waiting_stream w = { .ask = m->ask,
		.hash = stream_record_hash(str_from(m->id)) };

	if (d->store_unavailable) {
		refuse_record(d, rpc, m->ask);
		return;
	}
	if (s->waiting->len >= MAX_WAITING) {
		s->dropped = true;
		return;
	}
	g_strlcpy(w.rpc, rpc, sizeof(w.rpc));
	g_strlcpy(w.service, m->service, sizeof(w.service));
	g_strlcpy(w.version, m->software, sizeof(w.version));
	g_array_append_val(s->waiting, w);
}

/* Looking up. */

static void
reply_found(struct discovery *d, const struct waiting_look *k, bool readable)
{
	peer_body body = { .kind = PEER_STREAM_FOUND };
	peer_stream_found *m = &body.peer_body_u.stream_found;

	m->ask = k->ask;
	m->readable = readable;
	m->found = k->search.found;
	m->incomplete = k->search.incomplete;
	m->software = (char *)k->search.version;
	rpc_send(d->rpc, k->rpc, &body);
}

static void
end_reading(struct discovery *d, bool readable)
{
	GPtrArray *looks = d->streams->reading;

	d->streams->reading = NULL;
	for (guint i = 0; i < looks->len; i++)
		reply_found(d, looks->pdata[i], readable);
	g_ptr_array_unref(looks);
}

static void
look_at_page(struct stream_store *s, const struct kv_changes *c)
{
	size_t n = s->reading->len;
	g_autofree struct stream_record_search **v =
	    g_new(struct stream_record_search *, n);

	for (size_t i = 0; i < n; i++) {
		struct waiting_look *k = s->reading->pdata[i];

		k->search.base = stream_bases_find(&s->bases, k->service);
		v[i] = &k->search;
	}
	stream_record_sort(v, n);
	for (size_t i = 0; i < c->n; i++)
		stream_record_look_all(v, n, str_of(&c->v[i].value));
}

static void read_page(struct discovery *d);

static void
on_page(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct discovery *d = arg;
	struct stream_store *s = d->streams;

	if (st != KV_OK ||
	    (c->more && str_eq(str_of(&c->last_key), str_of(&s->last_key)))) {
		end_reading(d, false);
		return;
	}
	look_at_page(s, c);
	if (!c->more) {
		end_reading(d, true);
		return;
	}
	buf_clear(&s->last_key);
	buf_put(&s->last_key, str_of(&c->last_key));
	read_page(d);
}

static void
read_page(struct discovery *d)
{
	struct stream_store *s = d->streams;

	s->page_at = clock_now();
	s->page = kv_range(d->kv,
	    &(struct kv_range_opts){ .prefix = STR(RECORDS_PREFIX),
		.after = str_of(&s->last_key),
		.timeout = STORE_PAGE_TIME_MAX },
	    on_page, d);
}

static void
tell_askers(struct discovery *d, const GPtrArray *looks, GHashTable *told)
{
	peer_body body = { .kind = PEER_STREAM_READING };

	for (guint i = 0; i < looks->len; i++) {
		const struct waiting_look *k = looks->pdata[i];

		if (g_hash_table_add(told, (gpointer)k->rpc))
			rpc_send(d->rpc, k->rpc, &body);
	}
}

/* Tells the hosts that wait while items arrive, and gives up a silent page. */
static void
check_reading(struct discovery *d)
{
	struct stream_store *s = d->streams;
	g_autoptr(GHashTable) told = NULL;
	usec_t now = clock_now();
	usec_t arrived_at = kv_arrived_at(d->kv, s->page);

	if (store_listing_judge(now - s->page_at, now - arrived_at,
		kv_timeout(d->kv)) == STORE_PAGE_SILENT) {
		kv_cancel(d->kv, s->page);
		end_reading(d, false);
		return;
	}
	if (now - s->told_at < TELL_INTERVAL || arrived_at <= s->page_at ||
	    now - arrived_at >= 2 * TELL_INTERVAL)
		return;
	s->told_at = now;
	told = g_hash_table_new(g_str_hash, g_str_equal);
	tell_askers(d, s->reading, told);
	tell_askers(d, s->looks, told);
}

void
discovery_look_up_streams(struct discovery *d)
{
	struct stream_store *s = d->streams;

	if (s->reading != NULL)
		check_reading(d);
	if (s->looks->len == 0 || s->reading != NULL)
		return;
	s->reading = s->looks;
	s->looks = g_ptr_array_new_with_free_func(free_look);
	buf_clear(&s->last_key);
	if (d->store_unavailable)
		end_reading(d, false);
	else
		read_page(d);
}

static void
on_look(struct discovery *d, const char *rpc, const peer_stream_look *m)
{
	struct waiting_look *k = g_new0(struct waiting_look, 1);

	g_strlcpy(k->rpc, rpc, sizeof(k->rpc));
	k->ask = m->ask;
	if (d->streams->looks->len >= DISCOVERY_MAX_LOOKS) {
		reply_found(d, k, false);
		free_look(k);
		return;
	}
	k->service = g_strdup(m->service);
	k->search = (struct stream_record_search){ .service = k->service,
		.hash = stream_record_hash(str_from(m->id)),
		.now = clock_wall() / USEC_PER_SEC };
	g_ptr_array_add(d->streams->looks, k);
}

bool
discovery_on_streams(struct discovery *d, const peer_letter *l)
{
	if (l->body.kind == PEER_STREAM_RECORD)
		on_record(d, l->rpc, &l->body.peer_body_u.stream_record);
	else if (l->body.kind == PEER_STREAM_LOOK)
		on_look(d, l->rpc, &l->body.peer_body_u.stream_look);
	else
		return false;
	return true;
}

/* Base versions. */

bool
discovery_is_stream_record(struct str key)
{
	return str_has_prefix(key, STR(RECORDS_PREFIX)) &&
	    !str_eq(key, STR(GAPS_KEY));
}

/* Notes what this host had recorded before it started. */
static void
read_own_record(struct discovery *d, struct str key, struct str value)
{
	struct stream_store *s = d->streams;
	g_autofree char *own =
	    g_strconcat(RECORDS_PREFIX, d->o.settings->id, "/", NULL);
	int64_t second;

	if (s->listed || !str_has_prefix(key, str_from(own)) ||
	    stream_record_is_odd(value, clock_wall() / USEC_PER_SEC))
		return;
	second = stream_record_second(value);
	if (second > s->last_second)
		s->last_second = second;
}

/*
 * While a record is odd, streams that no host knows can't be looked up: the
 * first feeder replaces it by one that ends to count after a while.
 */
static void
replace_odd_record(struct discovery *d, struct str key, struct str value)
{
	int64_t now = clock_wall() / USEC_PER_SEC;
	struct buf lost = { 0 };

	if (!stream_record_is_odd(value, now) || !discovery_is_first_feeder(d))
		return;
	LOG(LOG_LVL_WARNING, "stream-record-malformed", { "key", key });
	stream_record_write_lost(now, &lost);
	kv_put_item(d->kv, key, str_of(&lost), NULL, NULL);
	buf_free(&lost);
}

/*
 * The store has no base versions, or others than this host knows: it writes its
 * own, after a while if others may.
 */
static void
replace_bases(struct discovery *d)
{
	struct stream_store *s = d->streams;

	if (g_hash_table_size(s->bases.by_service) == 0 ||
	    !stream_bases_differ(&s->bases_writer))
		return;
	s->rewrite_bases_at =
	    clock_now() + BASES_DELAY + (usec_t)(rng_entropy() % BASES_DELAY);
}

/*
 * What this host knows takes the place of bases that can't be read, or that are
 * older as the store was restored from a copy.
 */
static void
read_bases(struct discovery *d, struct str value)
{
	struct stream_store *s = d->streams;

	s->bases_read = d->restores;
	switch (stream_bases_read(&s->bases, value)) {
	case STREAM_BASES_TAKEN:
		stream_bases_taken(&s->bases_writer);
		d->view_dirty = true;
		return;
	case STREAM_BASES_OLDER:
		log_text(LOG_LVL_NOTICE, "stream-versions-older",
		    "those of this host stay: change %" PRIu64,
		    s->bases.changes);
		break;
	case STREAM_BASES_MALFORMED:
		LOG(LOG_LVL_WARNING, "stream-versions-malformed",
		    { "key", STR(BASES_KEY) });
		break;
	}
	replace_bases(d);
}

/*
 * What this host knows takes the place of gaps that can't be read, or that are
 * older: the store was restored from a copy, or a late write took effect.
 */
static void
read_gaps(struct discovery *d, struct str key, struct str value)
{
	struct stream_store *s = d->streams;
	bool odd = stream_record_is_odd(value, clock_wall() / USEC_PER_SEC);

	s->gaps_read = d->restores;
	if (odd && g_hash_table_size(s->gaps.by_service) == 0) {
		replace_odd_record(d, key, value);
		return;
	}
	if (odd)
		LOG(LOG_LVL_WARNING, "stream-gaps-malformed", { "key", key });
	if (!odd && stream_gaps_read(&s->gaps, value))
		d->view_dirty = true;
	else if (odd || stream_record_second(value) != 0)
		s->gaps_due = true;
	/* Else the item is in the form of a later build. */
}

bool
discovery_stream_item(struct discovery *d, struct str key, struct str value)
{
	if (discovery_is_stream_record(key)) {
		read_own_record(d, key, value);
		replace_odd_record(d, key, value);
		return true;
	}
	if (str_eq(key, STR(GAPS_KEY))) {
		read_gaps(d, key, value);
		return true;
	}
	if (!str_eq(key, STR(BASES_KEY)))
		return false;
	read_bases(d, value);
	return true;
}

void
discovery_streams_listed(struct discovery *d)
{
	struct stream_bases *b = &d->streams->bases;

	/* Each fleet writes the list of its hosts soon after its start. */
	if (!b->known)
		b->new_fleet = !d->hosts_listed;
	b->known = true;
	d->streams->listed = true;
	if (d->restored && d->streams->bases_read != d->restores)
		replace_bases(d);
	if (d->restored && d->streams->gaps_read != d->restores)
		d->streams->gaps_due = true;
}

static void
on_bases_written(void *arg, const struct kv_result *r)
{
	struct discovery *d = arg;

	stream_bases_written(&d->streams->bases_writer, r->status == KV_OK);
}

/* Writes the bases to the store when they have changed. */
static void
write_bases(struct discovery *d)
{
	struct stream_store *s = d->streams;
	struct buf value = { 0 };

	s->bases_writer.in_flight = true;
	stream_bases_write(&s->bases, &value);
	log_text(LOG_LVL_INFO, "stream-versions",
	    "base versions of the services, %zu bytes", value.n);
	kv_put_item(d->kv, STR(BASES_KEY), str_of(&value), on_bases_written, d);
	buf_free(&value);
}

static void
on_gaps_written(void *arg, const struct kv_result *r)
{
	struct discovery *d = arg;

	d->streams->gaps_in_flight = false;
	/* What the store has comes back as a change of the item. */
	if (r->status == KV_OK)
		return;
	d->streams->gaps_due = true;
	log_text(LOG_LVL_NOTICE, "stream-gaps-not-written",
	    "the write of " GAPS_KEY " is repeated");
}

/* Has the store say which services have streams without a record. */
static void
update_gaps(struct discovery *d, const GArray *targets, usec_t now)
{
	struct stream_store *s = d->streams;
	g_autoptr(GHashTable) bases = copy_bases(d);
	int64_t second = clock_wall() / USEC_PER_SEC;
	struct stream_gaps next;
	struct buf value = { 0 };
	bool changed;

	stream_versions_set_bases(&s->versions, bases);
	stream_versions_list(&s->versions, targets, false, now);
	/* The clock of the host that wrote the item may be ahead. */
	if (second < s->gaps.second)
		second = s->gaps.second;
	stream_gaps_init(&next);
	stream_gaps_write(&s->gaps, second, &value);
	stream_gaps_read(&next, str_of(&value));
	buf_clear(&value);
	changed = stream_gaps_update(&next, &s->versions, now, second);
	if (g_hash_table_size(next.by_service) == 0)
		s->gaps_due = false;
	if ((changed || s->gaps_due) && !s->gaps_in_flight && s->listed) {
		s->gaps_due = false;
		s->gaps_in_flight = true;
		stream_gaps_write(&next, second, &value);
		kv_put_item(
		    d->kv, STR(GAPS_KEY), str_of(&value), on_gaps_written, d);
	}
	stream_gaps_free(&next);
	buf_free(&value);
}

void
discovery_update_bases(struct discovery *d, usec_t now)
{
	struct stream_store *s = d->streams;
	g_autoptr(GArray) targets = NULL;

	if (now - s->listed_at < LIST_INTERVAL || d->store_unavailable ||
	    watcher_revision(d->watcher) == 0)
		return;
	s->listed_at = now;
	targets = roster_list(&d->roster);
	stream_bases_list(&s->bases, targets, now);
	if (discovery_is_first_feeder(d))
		update_gaps(d, targets, now);
	if (s->bases_writer.in_flight)
		return;
	if (discovery_is_first_feeder(d)) {
		if (stream_bases_change(&s->bases, now)) {
			stream_bases_differ(&s->bases_writer);
			d->view_dirty = true;
		}
		if (s->bases_writer.due)
			write_bases(d);
	} else if (s->bases_writer.due && now >= s->rewrite_bases_at) {
		write_bases(d);
	}
}
