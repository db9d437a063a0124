#include "entry/stream_resumes.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/rendezvous.h"

#include <stdlib.h>
#include <string.h>

#define HOLDER_SEED     31
#define EXPIRE_INTERVAL (1 * USEC_PER_SEC)

struct stream_resumes {
	struct stream_resumes_opts o;
	GArray *peers; /* struct view_peer */
	struct stream_versions streams;
	GHashTable *searches; /* number -> struct resume_search */
	uint64_t n_searches;
	usec_t expired_at;
};

struct resume_search {
	struct stream_resumes *owner;
	uint64_t number;
	char *service;
	struct resume_query query;
	struct event *timer;
	void (*done)(void *arg, enum resume_place place, const char *version);
	void *arg;
};

struct stream_resumes *
stream_resumes_new(const struct stream_resumes_opts *o)
{
	struct stream_resumes *x = xcalloc(1, sizeof(*x));

	x->o = *o;
	x->peers = g_array_new(FALSE, TRUE, sizeof(struct view_peer));
	x->searches = g_hash_table_new(g_int64_hash, g_int64_equal);
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
		rpc_send(x->o.rpc, hosts[i], body);
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

void
stream_resumes_set_view(struct stream_resumes *x, const struct view *v)
{
	usec_t now = clock_now();

	g_array_set_size(x->peers, 0);
	g_array_append_vals(x->peers, v->peers->data, v->peers->len);
	stream_versions_list(
	    &x->streams, v->targets, v->store_unavailable, now);
	tell(x, now);
}

void
stream_resumes_begin(struct stream_resumes *x, struct str id,
    const char *service, const char *version)
{
	usec_t now = clock_now();

	stream_versions_begin(&x->streams, id, service, version, true, now);
	tell(x, now);
}

void
stream_resumes_end(struct stream_resumes *x, struct str id)
{
	stream_versions_end(&x->streams, id);
}

void
stream_resumes_cancel(struct resume_search *s)
{
	g_hash_table_remove(s->owner->searches, &s->number);
	event_free(s->timer);
	free(s->service);
	free(s);
}

/* Ends the search if it is decided. */
static void
decide(struct resume_search *s, bool timed_out)
{
	enum resume_place place = stream_versions_decide(
	    &s->owner->streams, &s->query, s->service, timed_out, clock_now());
	struct resume_search x = *s;

	if (place == RESUME_ASK)
		return;
	stream_resumes_cancel(s);
	x.done(x.arg, place, x.query.version);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	decide(arg, true);
}

static void
ask(struct resume_search *s, struct str id)
{
	struct timeval tv = { 0, STREAM_REPLY_TIME };
	/* A caller that doesn't name its stream has an id with p NULL. */
	g_autofree char *text = g_strndup(id.n > 0 ? id.p : "", id.n);
	peer_body body = { .kind = PEER_STREAM_ASK };
	peer_stream_ask *m = &body.peer_body_u.stream_ask;

	m->ask = s->number;
	m->id = text;
	m->service = s->service;
	send_to(s->owner, id, STREAM_ASKED, &body, &s->query.n_asked);
	evtimer_add(s->timer, &tv);
}

struct resume_search *
stream_resumes_find(
    struct stream_resumes *x, const struct resume_search_opts *o)
{
	struct resume_query query;
	enum resume_place place = stream_versions_resume(
	    &x->streams, o->id, o->service, clock_now(), &query);
	struct resume_search *s;

	if (place != RESUME_ASK) {
		o->done(o->arg, place, query.version);
		return NULL;
	}
	s = xcalloc(1, sizeof(*s));
	s->owner = x;
	s->number = ++x->n_searches;
	s->service = str_dup(str_from(o->service));
	s->query = query;
	s->done = o->done;
	s->arg = o->arg;
	s->timer = evtimer_new(x->o.base, on_timeout, s);
	g_hash_table_insert(x->searches, &s->number, s);
	ask(s, o->id);
	if (s->query.n_asked > 0)
		return s;
	decide(s, true);
	return NULL;
}

static void
on_ask(struct stream_resumes *x, const char *rpc, const peer_stream_ask *m)
{
	const struct stream_version *s =
	    stream_versions_find(&x->streams, str_from(m->id));
	peer_body body = { .kind = PEER_STREAM_REPLY };
	peer_stream_reply *reply = &body.peer_body_u.stream_reply;

	reply->ask = m->ask;
	reply->software = s != NULL ? (char *)s->version : (char *)"";
	reply->mixed =
	    stream_versions_mixed(&x->streams, m->service, clock_now());
	rpc_send(x->o.rpc, rpc, &body);
}

static void
on_reply(struct stream_resumes *x, const peer_stream_reply *m)
{
	uint64_t number = m->ask;
	struct resume_search *s = g_hash_table_lookup(x->searches, &number);

	if (s == NULL)
		return;
	s->query.n_replied++;
	s->query.mixed = s->query.mixed || m->mixed;
	if (m->software[0] != '\0') {
		s->query.found = true;
		g_strlcpy(
		    s->query.version, m->software, sizeof(s->query.version));
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
		on_reply(x, &b->peer_body_u.stream_reply);
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
	stream_versions_free(&x->streams);
	g_array_unref(x->peers);
	free(x);
}
