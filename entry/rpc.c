#include "entry/rpc.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/rng.h"
#include "entry/rpc_reply.h"
#include "entry/rpc_server.h"
#include "plat/addr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <rpc/rpc.h>
#include <rpc/svc_dg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DATAGRAM_BYTES       65000U
/* Datagrams are sent from a new port after this time. */
#define SEND_SOCKET_LIFETIME (30 * USEC_PER_SEC)
/* Of a call with a query, whose strings peer.x bounds. */
#define MAX_CALL_BYTES       2048
#define LAST_FRAGMENT        0x80000000U
#define POLL_MSEC            100
#define MAX_XPRTS            1024

struct rpc {
	struct rpc_opts o;
	pthread_t thread;
	atomic_bool stopping;
	SVCXPRT *udp;
	struct rpc_server *server;
	pthread_mutex_t send_lock;
	int send_fd;
	usec_t send_fd_at;
	uint32_t xid;
	char packet[DATAGRAM_BYTES];
	atomic_ullong sent_bytes;
	atomic_ullong received_bytes;
	atomic_ullong sent;
	atomic_ullong received;
	atomic_ullong rejected;
	atomic_ullong fetches;
	atomic_ullong fetch_failures;
};

/* The only struct rpc: the RPC library passes no argument to dispatch. */
static struct rpc *dispatch_rpc;

/* The XDR routine of an empty result. */
static bool_t
no_body(XDR *x, ...)
{
	(void)x;
	return TRUE;
}

/* Encodes a value and adds its HMAC; false if it cannot be encoded. */
static bool
encode_signed(
    const struct rpc *r, xdrproc_t proc, const void *v, peer_sealed *out)
{
	unsigned long n = xdr_sizeof(proc, (void *)v);
	char mac[HASH_HEX_LEN + 1];
	XDR x;
	bool ok;

	out->body.body_val = xcalloc(1, n);
	out->body.body_len = (u_int)n;
	xdrmem_create(&x, out->body.body_val, (u_int)n, XDR_ENCODE);
	ok = proc(&x, (void *)v) != 0;
	xdr_destroy(&x);
	hash_hmac(str_from(r->o.fleet_key),
	    (struct str){ out->body.body_val, n }, mac);
	memcpy(out->mac, mac, sizeof(out->mac));
	return ok;
}

/* Verifies the HMAC and decodes; the result is freed with xdr_free. */
static bool
decode_verified(
    const struct rpc *r, const peer_sealed *s, xdrproc_t proc, void *out)
{
	struct str body = { s->body.body_val, s->body.body_len };
	char mac[HASH_HEX_LEN + 1];
	char received[HASH_HEX_LEN + 1] = { 0 };
	XDR x;
	bool ok;

	hash_hmac(str_from(r->o.fleet_key), body, mac);
	memcpy(received, s->mac, sizeof(s->mac));
	if (!hash_equal(mac, received))
		return false;
	xdrmem_create(&x, s->body.body_val, s->body.body_len, XDR_DECODE);
	ok = proc(&x, out) != 0;
	xdr_destroy(&x);
	if (!ok)
		xdr_free(proc, out);
	return ok;
}

static bool
is_recent(quad_t sent_ms)
{
	int64_t now_ms = clock_wall() / USEC_PER_MSEC;
	int64_t max_ms = RPC_MAX_AGE / USEC_PER_MSEC;

	return sent_ms > now_ms - max_ms && sent_ms < now_ms + max_ms;
}

static void
on_datagram(struct rpc *r, const peer_sealed *s)
{
	peer_letter l = { 0 };

	atomic_fetch_add(&r->received_bytes, s->body.body_len);
	if (!decode_verified(r, s, (xdrproc_t)xdr_peer_letter, &l)) {
		atomic_fetch_add(&r->rejected, 1);
		return;
	}
	if (is_recent(l.sent_ms)) {
		atomic_fetch_add(&r->received, 1);
		r->o.deliver(r->o.arg, &l);
	} else {
		atomic_fetch_add(&r->rejected, 1);
	}
	xdr_free((xdrproc_t)xdr_peer_letter, (char *)&l);
}

/* Answers a query, on the thread of the server. */
static enum rpc_answer
on_query(void *arg, const peer_sealed *s, size_t max_bytes, peer_sealed *reply,
    struct buf *what)
{
	struct rpc *r = arg;
	peer_query q = { 0 };
	peer_result res = { 0 };
	enum rpc_answer a = RPC_ANSWER_NONE;

	if (!decode_verified(r, s, (xdrproc_t)xdr_peer_query, &q)) {
		atomic_fetch_add(&r->rejected, 1);
		return a;
	}
	if (!is_recent(q.sent_ms)) {
		atomic_fetch_add(&r->rejected, 1);
		goto out;
	}
	r->o.fetch(r->o.arg, &q, &res);
	res.nonce = q.nonce;
	if (res.detail == NULL)
		res.detail = str_dup(STR(""));
	buf_printf(what, "\"%s\" for %s", q.name, q.from);
	if (res.value.value_len > max_bytes)
		a = RPC_ANSWER_LATER;
	else if (encode_signed(r, (xdrproc_t)xdr_peer_result, &res, reply))
		a = RPC_ANSWER_READY;
	rpc_result_free(&res);
out:
	xdr_free((xdrproc_t)xdr_peer_query, (char *)&q);
	return a;
}

static void
dispatch(struct svc_req *rq, SVCXPRT *xprt)
{
	peer_sealed s = { 0 };

	if (rq->rq_proc == NULLPROC) {
		svc_sendreply(xprt, no_body, NULL);
		return;
	}
	if (rq->rq_proc != PEER_DELIVER) {
		svcerr_noproc(xprt);
		return;
	}
	if (!svc_getargs(xprt, (xdrproc_t)xdr_peer_sealed, (char *)&s)) {
		atomic_fetch_add(&dispatch_rpc->rejected, 1);
		svcerr_decode(xprt);
		return;
	}
	on_datagram(dispatch_rpc, &s);
	svc_freeargs(xprt, (xdrproc_t)xdr_peer_sealed, (char *)&s);
}

static void *
run(void *arg)
{
	struct rpc *r = arg;
	struct pollfd *fds = xcalloc(MAX_XPRTS, sizeof(*fds));

	while (!atomic_load(&r->stopping)) {
		int n = svc_max_pollfd < MAX_XPRTS ? svc_max_pollfd : MAX_XPRTS;
		int ready;

		memcpy(fds, svc_pollfd, (size_t)n * sizeof(*fds));
		ready = poll(fds, (nfds_t)n, POLL_MSEC);
		if (ready > 0)
			svc_getreq_poll(fds, ready);
	}
	free(fds);
	return NULL;
}

/* Returns a bound socket, or -1. */
static int
bind_socket(const struct sockaddr_in *at, int type)
{
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)at, sizeof(*at)) != 0 ||
	    (type == SOCK_STREAM && listen(fd, SOMAXCONN) != 0)) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool
listen_both(struct rpc *r, const struct sockaddr_in *at)
{
	int udp = bind_socket(at, SOCK_DGRAM);
	int tcp = udp >= 0 ? bind_socket(at, SOCK_STREAM) : -1;

	if (tcp < 0) {
		if (udp >= 0)
			close(udp);
		return false;
	}
	r->udp = svc_dg_create(udp, DATAGRAM_BYTES, DATAGRAM_BYTES);
	if (r->udp == NULL ||
	    svc_reg(r->udp, PEER_PROGRAM, PEER_VERSION, dispatch, NULL) == 0) {
		close(tcp);
		return false;
	}
	r->server = rpc_server_start(&(struct rpc_server_opts){
	    .fd = tcp, .answer = on_query, .arg = r });
	return true;
}

struct rpc *
rpc_start(const struct rpc_opts *o, struct err *e)
{
	struct rpc *r = xcalloc(1, sizeof(*r));
	struct sockaddr_in at;

	r->o = *o;
	r->send_fd = -1;
	pthread_mutex_init(&r->send_lock, NULL);
	if (!addr_parse(str_from(o->addr), &at) || !listen_both(r, &at)) {
		err_set(e, ERR_SETTING,
		    "[sequoiad] rpc = %s: can't listen there: write an own "
		    "address with a free port",
		    o->addr);
		free(r);
		return NULL;
	}
	dispatch_rpc = r;
	pthread_create(&r->thread, NULL, run, r);
	return r;
}

/*
 * Returns the socket that datagrams are sent from.  It is replaced every
 * SEND_SOCKET_LIFETIME, so that a network path that has lost its connection
 * state for the port is not used for long.
 */
static int
get_send_socket(struct rpc *r)
{
	struct sockaddr_in at;
	usec_t now = clock_now();

	if (r->send_fd >= 0 && now - r->send_fd_at < SEND_SOCKET_LIFETIME)
		return r->send_fd;
	if (r->send_fd >= 0)
		close(r->send_fd);
	addr_parse(str_from(r->o.addr), &at);
	at.sin_port = 0;
	r->send_fd = bind_socket(&at, SOCK_DGRAM);
	r->send_fd_at = now;
	return r->send_fd;
}

/* Encodes a call; returns its size, or 0 if it exceeds cap. */
static size_t
encode_call(
    char *p, size_t cap, uint32_t xid, uint32_t procedure, peer_sealed *s)
{
	struct rpc_msg call = {
		.rm_xid = xid,
		.rm_direction = CALL,
		.rm_call = {
			.cb_rpcvers = RPC_MSG_VERSION,
			.cb_prog = PEER_PROGRAM,
			.cb_vers = PEER_VERSION,
			.cb_proc = procedure,
			.cb_cred = _null_auth,
			.cb_verf = _null_auth,
		},
	};
	size_t n = 0;
	XDR x;

	xdrmem_create(&x, p, (u_int)cap, XDR_ENCODE);
	if (xdr_callmsg(&x, &call) && xdr_peer_sealed(&x, s))
		n = xdr_getpos(&x);
	xdr_destroy(&x);
	return n;
}

/* A client of the RPC library doesn't send calls with a timeout of zero. */
static bool
write_call(struct rpc *r, const struct sockaddr_in *to, peer_sealed *s)
{
	int fd = get_send_socket(r);
	size_t n = encode_call(
	    r->packet, sizeof(r->packet), ++r->xid, PEER_DELIVER, s);

	if (n > 0 && fd >= 0 &&
	    sendto(fd, r->packet, n, MSG_NOSIGNAL, (const struct sockaddr *)to,
		sizeof(*to)) > 0) {
		atomic_fetch_add(&r->sent, 1);
		atomic_fetch_add(&r->sent_bytes, s->body.body_len);
	}
	return n > 0;
}

void
rpc_send(struct rpc *r, const char *addr, const peer_body *body)
{
	struct sockaddr_in to;
	peer_sealed s = { 0 };
	peer_letter l = {
		.from = (char *)r->o.id,
		.incarnation = r->o.incarnation,
		.rpc = (char *)r->o.addr,
		.sent_ms = clock_wall() / USEC_PER_MSEC,
		.body = *body,
	};

	bool ok;

	if (!addr_parse(str_from(addr), &to))
		return;
	ok = encode_signed(r, (xdrproc_t)xdr_peer_letter, &l, &s);
	if (ok) {
		pthread_mutex_lock(&r->send_lock);
		ok = write_call(r, &to, &s);
		pthread_mutex_unlock(&r->send_lock);
	}
	if (!ok)
		log_text(LOG_LVL_WARNING, "message-too-large",
		    "kind %d, %u bytes, for %s: not sent", (int)body->kind,
		    s.body.body_len, addr);
	free(s.body.body_val);
}

/* Returns a connected socket, or -1 on failure or timeout. */
static int
connect_within(const struct sockaddr_in *to, usec_t timeout)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	int so_error = 0;
	socklen_t n = sizeof(so_error);
	int one = 1;

	if (fd < 0)
		return -1;
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) != 0 &&
	    errno != EINPROGRESS)
		goto fail;
	if (poll(&p, 1, (int)(timeout / USEC_PER_MSEC)) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &so_error, &n) != 0 ||
	    so_error != 0)
		goto fail;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
fail:
	close(fd);
	return -1;
}

/* Sends a query as a record of one fragment, which the socket has room for. */
static bool
send_query(int fd, uint32_t xid, peer_sealed *query)
{
	char p[MAX_CALL_BYTES];
	size_t n = encode_call(p + 4, sizeof(p) - 4, xid, PEER_FETCH, query);
	uint32_t mark = htonl(LAST_FRAGMENT | (uint32_t)n);

	memcpy(p, &mark, 4);
	return n > 0 && send(fd, p, n + 4, MSG_NOSIGNAL) == (ssize_t)(n + 4);
}

static bool
read_reply(const struct rpc_fetch_opts *o, int fd, uint32_t xid,
    struct buf *record, peer_sealed *reply)
{
	size_t max = MIN(RPC_MAX_REPLY_BYTES, held_largest(o->held));

	switch (rpc_reply_read(&(struct rpc_reply_opts){ .fd = fd,
				   .xid = xid,
				   .timeout = o->timeout,
				   .max_bytes = max,
				   .held = o->held },
	    record, reply)) {
	case RPC_REPLY_OK:
		return true;
	case RPC_REPLY_MISSING:
		break;
	case RPC_REPLY_TOO_LARGE:
		log_text(LOG_LVL_WARNING, "reply-too-large",
		    "that of %s exceeds %zu bytes", o->addr, max);
		break;
	case RPC_REPLY_NO_ROOM:
		log_text(LOG_LVL_WARNING, "reply-no-room",
		    "that of %s is given up, as others hold the memory",
		    o->addr);
		break;
	}
	return false;
}

int
rpc_fetch(struct rpc *r, const struct rpc_fetch_opts *o, peer_result *out)
{
	struct sockaddr_in to;
	peer_query query = *o->query;
	peer_sealed sealed = { 0 };
	peer_sealed reply = { 0 };
	struct buf record = { 0 };
	uint32_t xid = (uint32_t)rng_entropy();
	usec_t began_at = clock_now();
	int rc = ERR_PEER;
	int fd = -1;

	memset(out, 0, sizeof(*out));
	atomic_fetch_add(&r->fetches, 1);
	query.from = (char *)r->o.id;
	query.sent_ms = clock_wall() / USEC_PER_MSEC;
	query.nonce = rng_entropy();
	if (!addr_parse(str_from(o->addr), &to) ||
	    !encode_signed(r, (xdrproc_t)xdr_peer_query, &query, &sealed))
		goto out;
	fd = connect_within(&to, o->timeout);
	if (fd < 0 || !send_query(fd, xid, &sealed) ||
	    !read_reply(o, fd, xid, &record, &reply))
		goto out;
	if (!decode_verified(r, &reply, (xdrproc_t)xdr_peer_result, out))
		goto out;
	if (out->nonce == query.nonce) {
		held_add(o->held, out->value.value_len);
		rc = 0;
	} else {
		rpc_result_free(out);
	}
out:
	if (fd >= 0)
		close(fd);
	if (rc != 0)
		atomic_fetch_add(&r->fetch_failures, 1);
	log_text(LOG_LVL_INFO, "fetched",
	    "\"%s\" of %s: %s, %zu bytes in %" PRId64 " ms", o->query->name,
	    o->addr, rc == 0 ? "complete" : "failed", record.n,
	    (clock_now() - began_at) / USEC_PER_MSEC);
	free(sealed.body.body_val);
	held_drop(o->held, record.n);
	buf_free(&record);
	return rc;
}

void
rpc_result_free(peer_result *r)
{
	xdr_free((xdrproc_t)xdr_peer_result, (char *)r);
	memset(r, 0, sizeof(*r));
}

struct rpc_counts
rpc_counts(const struct rpc *r)
{
	struct rpc_server_counts server = rpc_server_counts(r->server);

	return (struct rpc_counts){
		.sent_bytes = r->sent_bytes,
		.received_bytes = r->received_bytes,
		.sent = r->sent,
		.received = r->received,
		.rejected = r->rejected,
		.fetches = r->fetches,
		.fetch_failures = r->fetch_failures,
		.replies = server.replies,
		.reply_failures = server.failures,
	};
}

void
rpc_stop(struct rpc *r)
{
	atomic_store(&r->stopping, true);
	/* Both threads look at their flags only now and then. */
	rpc_server_stop(r->server);
	pthread_join(r->thread, NULL);
	svc_destroy(r->udp);
	dispatch_rpc = NULL;
}

void
rpc_free(struct rpc *r)
{
	if (r == NULL)
		return;
	if (r->send_fd >= 0)
		close(r->send_fd);
	rpc_server_free(r->server);
	pthread_mutex_destroy(&r->send_lock);
	free(r);
}
