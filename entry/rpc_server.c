#include "entry/rpc_server.h"
#include "base/log.h"
#include "kernel/peer_replies.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <rpc/rpc.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define LAST_FRAGMENT   0x80000000U
#define MAX_QUERY_BYTES ((size_t)64 * 1024)
#define MAX_CONNS       512
#define TICK            (100 * USEC_PER_MSEC)

struct rpc_server {
	struct rpc_server_opts o;
	pthread_t thread;
	atomic_bool stopping;
	struct event_base *base;
	struct evconnlistener *listener;
	struct event *tick;
	GQueue conns; /* struct conn */
	GQueue
	    turns; /* those of PEER_WAIT_TURN, in the order of their queries */
	size_t unsent; /* bytes of all replies */
	bool accept_failed;
	atomic_ullong replies;
	atomic_ullong failures;
};

struct conn {
	struct rpc_server *server;
	struct bufferevent *bev;
	struct evbuffer *record;
	bool last;   /* the fragment is the last of the record */
	size_t left; /* bytes of the fragment that have not arrived */
	struct peer_replier state;
	struct buf what;    /* describes the reply in the log */
	size_t reply_bytes; /* of the whole reply, as a record */
};

static void
set_wait(struct conn *c, enum peer_wait wait)
{
	usec_t now = clock_now();

	c->state = (struct peer_replier){ wait, now, now };
}

static void
log_reply(const struct conn *c, const char *end)
{
	log_text(LOG_LVL_INFO, "reply-sent",
	    "%s: %s, %zu bytes in %" PRId64 " ms", c->what.p, end,
	    c->reply_bytes,
	    (int64_t)((clock_now() - c->state.since) / USEC_PER_MSEC));
}

static void
on_output(struct evbuffer *out, const struct evbuffer_cb_info *info, void *arg)
{
	struct conn *c = arg;

	(void)out;
	if (info->n_deleted == 0)
		return;
	c->state.moved_at = clock_now();
	c->server->unsent -= info->n_deleted;
}

static void
free_conn(struct conn *c)
{
	struct rpc_server *s = c->server;
	struct evbuffer *out = bufferevent_get_output(c->bev);

	if (c->state.wait == PEER_WAIT_TAKEN) {
		atomic_fetch_add(&s->failures, 1);
		log_reply(c, "failed");
	}
	s->unsent -= evbuffer_get_length(out);
	evbuffer_remove_cb(out, on_output, c);
	g_queue_remove(&s->conns, c);
	g_queue_remove(&s->turns, c);
	bufferevent_free(c->bev);
	evbuffer_free(c->record);
	buf_free(&c->what);
	free(c);
}

/* Decodes a call; the reply to it has its xid. */
static bool
decode_call(struct str record, uint32_t *xid, peer_sealed *query)
{
	char auth[2 * MAX_AUTH_BYTES];
	struct rpc_msg call = { 0 };
	XDR x;
	bool ok;

	call.rm_call.cb_cred.oa_base = auth;
	call.rm_call.cb_verf.oa_base = auth + MAX_AUTH_BYTES;
	xdrmem_create(&x, (char *)record.p, (u_int)record.n, XDR_DECODE);
	ok = xdr_callmsg(&x, &call) && call.rm_direction == CALL &&
	    call.rm_call.cb_prog == PEER_PROGRAM &&
	    call.rm_call.cb_vers == PEER_VERSION &&
	    call.rm_call.cb_proc == PEER_FETCH && xdr_peer_sealed(&x, query);
	*xid = call.rm_xid;
	xdr_destroy(&x);
	return ok;
}

/* Returns a record of one fragment with an accepted reply, or NULL. */
static char *
encode_reply(uint32_t xid, peer_sealed *reply, size_t *n)
{
	const uint32_t head[] = { xid, REPLY, MSG_ACCEPTED, AUTH_NONE, 0,
		SUCCESS };
	size_t body = xdr_sizeof((xdrproc_t)xdr_peer_sealed, reply);
	size_t at = sizeof(uint32_t) + sizeof(head);
	char *p;
	uint32_t w;
	XDR x;
	bool ok;

	*n = at + body;
	p = xcalloc(1, *n);
	w = htonl(LAST_FRAGMENT | (uint32_t)(*n - sizeof(uint32_t)));
	memcpy(p, &w, sizeof(w));
	for (size_t i = 0; i < G_N_ELEMENTS(head); i++) {
		w = htonl(head[i]);
		memcpy(p + sizeof(w) * (i + 1), &w, sizeof(w));
	}
	xdrmem_create(&x, p + at, (u_int)body, XDR_ENCODE);
	ok = xdr_peer_sealed(&x, reply);
	xdr_destroy(&x);
	if (!ok) {
		free(p);
		return NULL;
	}
	return p;
}

static void
free_reply(const void *p, size_t n, void *arg)
{
	(void)n;
	(void)arg;
	free((void *)p);
}

static void
wait_for_turn(struct conn *c)
{
	set_wait(c, PEER_WAIT_TURN);
	g_queue_push_tail(&c->server->turns, c);
}

static void
send_reply(struct conn *c, char *bytes, size_t n)
{
	struct rpc_server *s = c->server;

	evbuffer_drain(c->record, evbuffer_get_length(c->record));
	set_wait(c, PEER_WAIT_TAKEN);
	c->reply_bytes = n;
	s->unsent += n;
	evbuffer_add_reference(
	    bufferevent_get_output(c->bev), bytes, n, free_reply, NULL);
}

/*
 * Answers the query in c->record, now or when it has its turn; it may free c.
 * A reply that has to wait is made anew then, so that none is held meanwhile.
 */
static void
answer(struct conn *c)
{
	struct rpc_server *s = c->server;
	struct str record = { (char *)evbuffer_pullup(c->record, -1),
		evbuffer_get_length(c->record) };
	peer_sealed query = { 0 };
	peer_sealed reply = { 0 };
	enum rpc_answer a = RPC_ANSWER_NONE;
	uint32_t xid;
	char *bytes = NULL;
	size_t n = 0;

	buf_clear(&c->what);
	if (decode_call(record, &xid, &query))
		a = s->o.answer(s->o.arg, &query, peer_replies_room(s->unsent),
		    &reply, &c->what);
	if (a == RPC_ANSWER_READY)
		bytes = encode_reply(xid, &reply, &n);
	xdr_free((xdrproc_t)xdr_peer_sealed, (char *)&query);
	free(reply.body.body_val);
	if (bytes != NULL)
		send_reply(c, bytes, n);
	else if (a == RPC_ANSWER_LATER)
		wait_for_turn(c);
	else
		free_conn(c);
}

static void
begin_replies(struct rpc_server *s)
{
	while (s->unsent < PEER_REPLIES_UNSENT && !g_queue_is_empty(&s->turns))
		answer(g_queue_pop_head(&s->turns));
}

/* Moves what has arrived to the record; false: it is malformed. */
static bool
read_record(struct conn *c, bool *whole)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);

	*whole = false;
	while (!*whole) {
		size_t n = evbuffer_get_length(in);

		if (c->left == 0) {
			uint32_t mark;

			if (n < sizeof(mark))
				break;
			evbuffer_remove(in, &mark, sizeof(mark));
			c->last = (ntohl(mark) & LAST_FRAGMENT) != 0;
			c->left = ntohl(mark) & ~LAST_FRAGMENT;
			if (c->left == 0 ||
			    c->left + evbuffer_get_length(c->record) >
				MAX_QUERY_BYTES)
				return false;
			continue;
		}
		if (n == 0)
			break;
		n = MIN(n, c->left);
		evbuffer_remove_buffer(in, c->record, n);
		c->left -= n;
		*whole = c->left == 0 && c->last;
	}
	return true;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;
	bool whole;

	(void)bev;
	/* One query after the other. */
	if (c->state.wait != PEER_WAIT_QUERY)
		return;
	if (!read_record(c, &whole)) {
		free_conn(c);
		return;
	}
	if (!whole)
		return;
	answer(c);
}

/* The reply is taken: by the socket, at least. */
static void
on_written(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;

	if (c->state.wait != PEER_WAIT_TAKEN)
		return;
	atomic_fetch_add(&c->server->replies, 1);
	log_reply(c, "complete");
	set_wait(c, PEER_WAIT_QUERY);
	begin_replies(c->server);
	on_read(bev, c);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *c = arg;
	struct rpc_server *s = c->server;

	(void)bev;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	free_conn(c);
	begin_replies(s);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int n, void *arg)
{
	struct rpc_server *s = arg;
	struct conn *c;
	int on = 1;

	(void)l;
	(void)sa;
	(void)n;
	if (g_queue_get_length(&s->conns) >= MAX_CONNS) {
		evutil_closesocket(fd);
		return;
	}
	c = xcalloc(1, sizeof(*c));
	c->server = s;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->bev = bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->record = evbuffer_new();
	set_wait(c, PEER_WAIT_QUERY);
	g_queue_push_tail(&s->conns, c);
	evbuffer_add_cb(bufferevent_get_output(c->bev), on_output, c);
	bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, MAX_QUERY_BYTES);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Without a free descriptor, the listener would be called again at once. */
static void
on_accept_error(struct evconnlistener *l, void *arg)
{
	struct rpc_server *s = arg;

	evconnlistener_disable(l);
	s->accept_failed = true;
	log_text(LOG_LVL_WARNING, "accept-failed",
	    "a query of another host: %s", strerror(errno));
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct rpc_server *s = arg;
	usec_t now = clock_now();
	GList *next;

	(void)fd;
	(void)what;
	if (atomic_load(&s->stopping)) {
		event_base_loopbreak(s->base);
		return;
	}
	for (GList *l = s->conns.head; l != NULL; l = next) {
		struct conn *c = l->data;

		next = l->next;
		if (peer_replier_is_over(
			&c->state, g_queue_get_length(&s->turns), now))
			free_conn(c);
	}
	begin_replies(s);
	if (s->accept_failed) {
		s->accept_failed = false;
		evconnlistener_enable(s->listener);
	}
}

static void *
run(void *arg)
{
	struct rpc_server *s = arg;

	event_base_dispatch(s->base);
	return NULL;
}

struct rpc_server *
rpc_server_start(const struct rpc_server_opts *o)
{
	struct rpc_server *s = xcalloc(1, sizeof(*s));
	struct timeval tick = { 0, TICK };

	s->o = *o;
	g_queue_init(&s->conns);
	g_queue_init(&s->turns);
	s->base = event_base_new();
	evutil_make_socket_nonblocking(o->fd);
	/* The socket listens already. */
	s->listener = evconnlistener_new(s->base, on_accept, s,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, o->fd);
	evconnlistener_set_error_cb(s->listener, on_accept_error);
	s->tick = event_new(s->base, -1, EV_PERSIST, on_tick, s);
	event_add(s->tick, &tick);
	pthread_create(&s->thread, NULL, run, s);
	return s;
}

struct rpc_server_counts
rpc_server_counts(const struct rpc_server *s)
{
	return (struct rpc_server_counts){
		.replies = s->replies,
		.failures = s->failures,
	};
}

void
rpc_server_stop(struct rpc_server *s)
{
	struct conn *c;

	atomic_store(&s->stopping, true);
	pthread_join(s->thread, NULL);
	while ((c = g_queue_peek_head(&s->conns)) != NULL)
		free_conn(c);
	event_free(s->tick);
	evconnlistener_free(s->listener);
	event_base_free(s->base);
}

void
rpc_server_free(struct rpc_server *s)
{
	free(s);
}
