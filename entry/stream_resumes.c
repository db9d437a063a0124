#include "entry/stream_resumes_state.h"
#include "base/log.h"
#include "base/rng.h"
#include "kernel/rendezvous.h"
#include "kernel/stream_records.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define HOLDER_SEED     31
#define EXPIRE_INTERVAL (1 * USEC_PER_SEC)

struct resume_search {
	struct stream_resumes *owner;
	uint64_t number;
	char *id; /* empty: the caller didn't name its stream */
	char *service;
	bool looking; /* in the store */
	struct stream_look look;
	char reader[MAX_ADDR_BYTES]; /* that was asked; or empty */
	enum resume_place place;     /* by what the hosts know */
	struct resume_query query;
	char replier[MAX_ADDR_BYTES]; /* a host that has replied; or empty */
	struct event *timer;
	struct reply_wait wait; /* of timer */
	void (*done)(void *arg, enum resume_place place, const char *version);
	void *arg;
};

struct str
stream_resumes_id(struct str id, char hash[HASH_HEX_LEN + 1])
{
	if (id.n <= PEER_ID_MAX)
		return id;
	hash_sha256(id, hash);
	return str_from(hash);
}

static void
set_timer(struct event *timer, usec_t t)
{
	struct timeval tv = { t / USEC_PER_SEC, t % USEC_PER_SEC };

	evtimer_add(timer, &tv);
}

void
stream_resumes_wait(struct event *timer, struct reply_wait *w, usec_t time)
{
	set_timer(timer, reply_wait_begin(w, time, clock_now()));
}

bool
stream_resumes_waits_on(struct event *timer, struct reply_wait *w)
{
	usec_t left = reply_wait_left(w, clock_now());

	if (left > 0)
		set_timer(timer, left);
	return left > 0;
}

struct stream_resumes *
stream_resumes_new(const struct stream_resumes_opts *o)
{
	struct stream_resumes *x = xcalloc(1, sizeof(*x));

	x->o = *o;
	x->peers = g_array_new(FALSE, TRUE, sizeof(struct view_peer));
	x->searches = g_hash_table_new(g_int64_hash, g_int64_equal);
	x->recordings = g_hash_table_new(g_int64_hash, g_int64_equal);
	stream_recorder_init(&x->recorder);
	stream_recorder_init(&x->reader);
	stream_versions_init(&x->streams, clock_now());
	return x;
}

/* Returns the addresses of other hosts for a stream; their number is in n. */
static const char **
choose_hosts(
    const struct stream_resumes *x, struct str id, size_t max, size_t *n)
{
	struct rendezvous_host *v = xcalloc(x->peers->len + 1, sizeof(*v));
	const char **out = xcalloc(max, sizeof(*out));
	size_t n_hosts = 0;

	for (guint i = 0; i < x->peers->len; i++) {
		const struct view_peer *p =
		    &g_array_index(x->peers, struct view_peer, i);

		if (strcmp(p->id, x->o.self) != 0)
			v[n_hosts++] = (struct rendezvous_host){ p->rpc, 0 };
	}
	*n = rendezvous_choose(v, n_hosts, hash_u64(id, HOLDER_SEED), out, max);
	free(v);
	return out;
}

static void
send_to(const struct stream_resumes *x, struct str id, size_t max,
    const peer_body *body, size_t *n_sent)
{
	const char **hosts = choose_hosts(x, id, max, n_sent);

	for (size_t i = 0; i < *n_sent; i++)
		rpc_send(discovery_rpc(x->o.discovery), hosts[i], body);
	free(hosts);
}

/* Tells other hosts of the streams that they may be asked about. */
static void
tell(struct stream_resumes *x, usec_t now)
{
	const struct stream_version *s;
	size_t n;

	while ((s = stream_versions_next_due(&x->streams, now)) != NULL) {
		peer_body body = { .kind = PEER_STREAM };
		peer_stream *m = &body.peer_body_u.stream;

		m->id = s->id;
		m->service = (char *)s->service;
		m->software = (char *)s->version;
		send_to(x, str_from(s->id), STREAM_HOLDERS, &body, &n);
	}
}

/*
 * The store was restored from a copy.  The recorder writes again what it wrote
 * lately, unless it has ended since: so streams that aren't complete are
 * recorded anew.
 */
static void
record_again(struct stream_resumes *x, usec_t now)
{
	g_autoptr(GPtrArray) all = stream_versions_to_record(&x->streams, now);

	for (guint i = 0; i < all->len; i++)
		stream_resumes_record(x,
		    &(struct stream_recording_opts){
			.stream = all->pdata[i], .deadline = now });
}

void
stream_resumes_set_view(struct stream_resumes *x, const struct view *v)
{
	usec_t now = clock_now();

	g_array_set_size(x->peers, 0);
	g_array_append_vals(x->peers, v->peers->data, v->peers->len);
	x->hosts_listed = v->hosts_listed;
	stream_versions_set_bases(&x->streams, v->stream_bases);
	stream_versions_set_gaps(&x->streams, v->stream_gaps);
	stream_versions_list(
	    &x->streams, v->targets, v->store_unavailable, now);
	tell(x, now);
	if (v->restores != x->restores)
		record_again(x, now);
	x->restores = v->restores;
}

bool
stream_resumes_mixed(const struct stream_resumes *x, const char *service)
{
	return stream_versions_mixed(&x->streams, service, clock_now());
}

/* Whether this host can rely on its list of the targets. */
static bool
is_confirmed(struct stream_resumes *x, usec_t now)
{
	stream_versions_confirm(
	    &x->streams, discovery_confirmed_at(x->o.discovery));
	return stream_versions_confirmed(&x->streams, now);
}

void
stream_resumes_begin(struct stream_resumes *x, struct str id,
    const char *service, const char *version)
{
	char hash[HASH_HEX_LEN + 1];
	usec_t now = clock_now();

	stream_versions_begin(&x->streams, stream_resumes_id(id, hash), service,
	    version, true, now);
	tell(x, now);
}

void
stream_resumes_end(struct stream_resumes *x, struct str id)
{
	char hash[HASH_HEX_LEN + 1];

	stream_versions_end(&x->streams, stream_resumes_id(id, hash));
}

void
stream_resumes_cancel(struct resume_search *s)
{
	g_hash_table_remove(s->owner->searches, &s->number);
	event_free(s->timer);
	free(s->id);
	free(s->service);
	free(s);
}

static void
end_search(
    struct resume_search *s, enum resume_place place, const char *version)
{
	struct resume_search x = *s;
	char copy[STREAM_VERSION_BYTES];

	g_strlcpy(copy, version, sizeof(copy));
	stream_resumes_cancel(s);
	x.done(x.arg, place, copy);
}

/* Writes the address of the host that reads the store next. */
static void
choose_reader(struct resume_search *s, usec_t now)
{
	struct stream_resumes *x = s->owner;
	struct rendezvous_host *v = xcalloc(x->peers->len + 1, sizeof(*v));
	struct stream_reader_query q = { .failed = &x->reader,
		.hosts = v,
		.n_hosts = x->peers->len,
		.listed = x->hosts_listed,
		.self = x->o.self_rpc,
		.confirmed = is_confirmed(x, now),
		.replier = s->replier[0] != '\0' ? s->replier : NULL,
		.n_asked = s->look.n_asked };

	for (guint i = 0; i < x->peers->len; i++) {
		const struct view_peer *p =
		    &g_array_index(x->peers, struct view_peer, i);

		v[i] = (struct rendezvous_host){ p->rpc, p->capacity };
		if (strcmp(p->id, x->o.self) == 0) {
			q.self = p->rpc;
			q.self_is_live = true;
		}
	}
	g_strlcpy(s->reader, stream_reader_choose(&q, now), sizeof(s->reader));
	free(v);
}

/* Asks a host to read the store. */
static void
ask_reader(struct resume_search *s)
{
	peer_body body = { .kind = PEER_STREAM_LOOK };
	peer_stream_look *m = &body.peer_body_u.stream_look;
	usec_t now = clock_now();

	choose_reader(s, now);
	m->ask = s->number;
	m->id = s->id;
	m->service = s->service;
	rpc_send(discovery_rpc(s->owner->o.discovery), s->reader, &body);
	stream_resumes_wait(s->timer, &s->wait, stream_look_ask(&s->look, now));
}

/* Looks for a stream in the store that no host knows. */
static void
look_up(struct resume_search *s, enum resume_place place)
{
	s->looking = true;
	s->place = place;
	ask_reader(s);
}

/* Ends the search if it is decided by what the hosts know; returns whether. */
static bool
decide(struct resume_search *s, bool timed_out)
{
	usec_t now = clock_now();
	enum resume_place place;

	is_confirmed(s->owner, now);
	place = stream_versions_decide(
	    &s->owner->streams, &s->query, s->service, timed_out, now);
	if (place == RESUME_ASK || s->looking)
		return false;
	if (place == RESUME_LOOK_UP ||
	    (place == RESUME_NOWHERE && !s->query.is_unnamed)) {
		look_up(s, place);
		return false;
	}
	end_search(s, place, s->query.version);
	return true;
}

/* Ends the search with what the store says, or doesn't say. */
static void
decide_by_store(struct resume_search *s, const peer_stream_found *m)
{
	struct stream_record_search found = { 0 };
	char version[STREAM_VERSION_BYTES] = "";
	enum resume_place place;

	if (m != NULL) {
		found.found = m->found;
		found.incomplete = m->incomplete;
		g_strlcpy(found.version, m->software, sizeof(found.version));
	}
	place = stream_record_decide(&found, m != NULL && m->readable,
	    stream_versions_unrecorded(&s->owner->streams, s->service),
	    s->place, version);
	log_text(LOG_LVL_INFO, "stream-looked-up",
	    "stream %s of %s: %s, it goes on at %s", s->id, s->service,
	    m == NULL || !m->readable ? "the store doesn't answer"
		: m->found            ? "recorded"
				      : "not recorded",
	    place == RESUME_AT_VERSION    ? version
		: place == RESUME_NOWHERE ? "no version"
					  : "any version");
	end_search(s, place, version);
}

/* The host that was asked has not read the store. */
static void
ask_next_reader(struct resume_search *s)
{
	if (s->reader[0] != '\0')
		stream_recorder_failed(
		    &s->owner->reader, s->reader, clock_now());
	ask_reader(s);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct resume_search *s = arg;

	(void)fd;
	(void)what;
	if (stream_resumes_waits_on(s->timer, &s->wait))
		return;
	if (!s->looking)
		decide(s, true);
	else if (stream_look_over(&s->look, clock_now()))
		decide_by_store(s, NULL);
	else
		ask_next_reader(s);
}

static void
ask(struct resume_search *s, struct str id)
{
	/* A caller that doesn't name its stream has an id with p NULL. */
	g_autofree char *text = g_strndup(id.n > 0 ? id.p : "", id.n);
	peer_body body = { .kind = PEER_STREAM_ASK };
	peer_stream_ask *m = &body.peer_body_u.stream_ask;

	m->ask = s->number;
	m->id = text;
	m->service = s->service;
	send_to(s->owner, id, STREAM_ASKED, &body, &s->query.n_asked);
	stream_resumes_wait(s->timer, &s->wait, STREAM_REPLY_TIME);
}

struct resume_search *
stream_resumes_find(
    struct stream_resumes *x, const struct resume_search_opts *o)
{
	char hash[HASH_HEX_LEN + 1];
	struct str id = stream_resumes_id(o->id, hash);
	struct resume_query query;
	enum resume_place place =
	    stream_versions_resume(&x->streams, id, &query);
	struct resume_search *s;

	if (place != RESUME_ASK) {
		o->done(o->arg, place, query.version);
		return NULL;
	}
	if (g_hash_table_size(x->searches) >= STREAM_MAX_SEARCHES) {
		o->done(o->arg, RESUME_NOWHERE, "");
		return NULL;
	}
	s = xcalloc(1, sizeof(*s));
	s->owner = x;
	s->number = ++x->n_searches;
	s->id = str_dup(id);
	s->service = str_dup(str_from(o->service));
	s->query = query;
	s->done = o->done;
	s->arg = o->arg;
	s->timer = evtimer_new(x->o.base, on_timeout, s);
	g_hash_table_insert(x->searches, &s->number, s);
	ask(s, id);
	if (s->query.n_asked > 0)
		return s;
	return decide(s, true) ? NULL : s;
}

static void
on_ask(struct stream_resumes *x, const char *rpc, const peer_stream_ask *m)
{
	const struct stream_version *s =
	    stream_versions_find(&x->streams, str_from(m->id));
	usec_t now = clock_now();
	peer_body body = { .kind = PEER_STREAM_REPLY };
	peer_stream_reply *reply = &body.peer_body_u.stream_reply;

	reply->ask = m->ask;
	reply->software = s != NULL ? (char *)s->version : (char *)"";
	reply->mixed = !is_confirmed(x, now) ||
	    stream_versions_mixed(&x->streams, m->service, now);
	rpc_send(discovery_rpc(x->o.discovery), rpc, &body);
}

static void
on_found(struct stream_resumes *x, const char *rpc, const peer_stream_found *m)
{
	uint64_t number = m->ask;
	struct resume_search *s = g_hash_table_lookup(x->searches, &number);
	usec_t pause;

	if (s == NULL || !s->looking)
		return;
	if (m->readable) {
		stream_recorder_succeeded(&x->reader, rpc);
		decide_by_store(s, m);
		return;
	}
	/* A host that was passed over says nothing of the next one. */
	if (strcmp(rpc, s->reader) != 0)
		return;
	pause = stream_look_refused(&s->look, clock_now());
	if (pause < 0) {
		decide_by_store(s, m);
	} else if (pause == 0) {
		ask_next_reader(s);
	} else {
		stream_recorder_failed(&x->reader, s->reader, clock_now());
		s->reader[0] = '\0';
		stream_resumes_wait(s->timer, &s->wait, pause);
	}
}

/* Waits on for a host that reads the store. */
static void
on_reading(struct stream_resumes *x, const char *rpc)
{
	usec_t now = clock_now();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, x->searches);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct resume_search *s = p;

		if (s->looking && strcmp(s->reader, rpc) == 0)
			stream_resumes_wait(s->timer, &s->wait,
			    stream_look_reads(&s->look, now));
	}
}

static void
on_reply(struct stream_resumes *x, const char *rpc, const peer_stream_reply *m)
{
	uint64_t number = m->ask;
	struct resume_search *s = g_hash_table_lookup(x->searches, &number);

	if (s == NULL)
		return;
	if (s->looking && m->software[0] == '\0')
		return;
	g_strlcpy(s->replier, rpc, sizeof(s->replier));
	s->query.n_replied++;
	s->query.mixed = s->query.mixed || m->mixed;
	if (m->software[0] != '\0') {
		s->query.found = true;
		g_strlcpy(
		    s->query.version, m->software, sizeof(s->query.version));
		end_search(s, RESUME_AT_VERSION, s->query.version);
		return;
	}
	decide(s, false);
}

void
stream_resumes_receive(struct stream_resumes *x, const peer_letter *l)
{
	const peer_body *b = &l->body;
	const peer_stream *m = &b->peer_body_u.stream;

	if (b->kind == PEER_STREAM)
		stream_versions_begin(&x->streams, str_from(m->id), m->service,
		    m->software, false, clock_now());
	else if (b->kind == PEER_STREAM_ASK)
		on_ask(x, l->rpc, &b->peer_body_u.stream_ask);
	else if (b->kind == PEER_STREAM_REPLY)
		on_reply(x, l->rpc, &b->peer_body_u.stream_reply);
	else if (b->kind == PEER_STREAM_RECORDED)
		stream_resumes_recorded(x, &b->peer_body_u.stream_recorded);
	else if (b->kind == PEER_STREAM_FOUND)
		on_found(x, l->rpc, &b->peer_body_u.stream_found);
	else if (b->kind == PEER_STREAM_READING)
		on_reading(x, l->rpc);
}

void
stream_resumes_tick(struct stream_resumes *x, usec_t now)
{
	if (now - x->expired_at < EXPIRE_INTERVAL)
		return;
	x->expired_at = now;
	stream_versions_expire(&x->streams, now);
}

void
stream_resumes_free(struct stream_resumes *x)
{
	g_hash_table_destroy(x->searches);
	stream_resumes_free_recordings(x);
	g_hash_table_destroy(x->recordings);
	stream_recorder_free(&x->recorder);
	stream_recorder_free(&x->reader);
	stream_versions_free(&x->streams);
	g_array_unref(x->peers);
	free(x);
}
