#include "entry/httpd_state.h"
#include "base/log.h"
#include "kernel/stopping.h"
#include "plat/addr.h"
#include "plat/unread.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#define BACKLOG     1024
/* Bytes of pipelined requests that are read while a request is in progress. */
#define READ_AHEAD  (8 * 1024)
/*
 * Time for a refused caller to read the response before its further bytes cause
 * a reset.
 */
#define LINGER_TIME (1 * USEC_PER_SEC)

/* Frees a connection whose socket is closed. */
static void
free_closed(struct httpd_request *q)
{
	q->httpd->counts.open--;
	g_queue_unlink(&q->httpd->conns, &q->link);
	event_free(q->timer);
	httpd_room_close(q);
	bufferevent_free(q->bev);
	if (q->held != NULL)
		evbuffer_free(q->held);
	httpmsg_free(&q->in);
	free(q);
}

static void
free_conn(struct httpd_request *q)
{
	evutil_socket_t fd = bufferevent_getfd(q->bev);

	/*
	 * bufferevent_free closes the socket only when the loop goes on, and a
	 * request that arrives until then would be lost.
	 */
	bufferevent_setfd(q->bev, -1);
	evutil_closesocket(fd);
	free_closed(q);
}

/* Closes a connection that is not to serve another request. */
static void
close_conn(struct httpd_request *q, const char *why)
{
	size_t n = unread_bytes(q->bev);

	if (n > 0) {
		q->httpd->counts.closed_unread++;
		log_text(LOG_LVL_NOTICE, "connection-closed",
		    "%s, with %zu bytes unread", why, n);
	}
	free_conn(q);
}

void
httpd_set_timer(struct httpd_request *q, usec_t t)
{
	struct timeval tv = { t / USEC_PER_SEC, t % USEC_PER_SEC };

	evtimer_add(q->timer, &tv);
}

static size_t
output_length(const struct httpd_request *q)
{
	return evbuffer_get_length(bufferevent_get_output(q->bev));
}

/*
 * The connection waits for its next request from now on, and first for its
 * caller to take the last response.
 */
static void
start_idle(struct httpd_request *q)
{
	size_t n = output_length(q);

	q->idle_since = clock_now();
	q->unsent = n > 0 ? n : SIZE_MAX;
	httpd_set_timer(q,
	    n > 0 ? SEND_TIMEOUT_MS * USEC_PER_MSEC
		  : q->httpd->o.limits.idle_timeout);
}

/*
 * Closes a connection whose output is written.  Input that is unread, or still
 * on its way, would reset a closed connection, and the reset may discard the
 * response before the caller reads it.  So input is read and discarded until
 * the caller closes the connection, or for a while after it has taken all.
 */
static void
half_close(struct httpd_request *q)
{
	struct evbuffer *in = bufferevent_get_input(q->bev);

	q->lingering = true;
	evbuffer_drain(in, evbuffer_get_length(in));
	shutdown(bufferevent_getfd(q->bev), SHUT_WR);
	q->unsent = SIZE_MAX;
	httpd_set_timer(q, LINGER_TIME);
}

/* Closes the connection once its output is written. */
static void
close_after_write(struct httpd_request *q)
{
	q->closing = true;
	httpmsg_reset(&q->in);
	httpd_room_next(q);
	q->unsent = output_length(q);
	if (q->unsent == 0)
		half_close(q);
	else
		httpd_set_timer(q, SEND_TIMEOUT_MS * USEC_PER_MSEC);
}

static void
refuse(struct httpd_request *q, int status, const char *why)
{
	q->httpd->counts.malformed++;
	log_text(LOG_LVL_NOTICE, "request-malformed", "%d: %s", status, why);
	q->busy = true;
	httpd_respond(
	    q, &(struct httpd_response){ .status = status, .close = true });
}

/*
 * Returns why a request that the parser accepts could be read in two ways, or
 * NULL.
 */
static const char *
find_ambiguity(const struct httpmsg *m)
{
	struct str target = httpmsg_url(m);
	size_t hosts = 0;

	if (target.n == 0 || target.p[0] != '/')
		return "the target is not a path";
	if (m->parser.method == HTTP_CONNECT)
		return "CONNECT is not served";
	for (size_t i = 0; i < m->n_fields; i++) {
		struct httpmsg_field f = httpmsg_field(m, i);

		if (memchr(f.value.p, '\n', f.value.n) != NULL ||
		    memchr(f.value.p, '\r', f.value.n) != NULL)
			return "a header field spans lines";
		if (httpmsg_same_name(f.name, STR("Host")))
			hosts++;
		if (httpmsg_same_name(f.name, STR("Transfer-Encoding")) &&
		    !httpmsg_same_name(f.value, STR("chunked")))
			return "an unknown transfer encoding";
	}
	return hosts == 1 ? NULL : "the Host field is missing or repeated";
}

/*
 * Checks the header section and the size received so far; false if the request
 * was refused.
 */
static bool
check_head(struct httpd_request *q)
{
	const struct httpd_limits *l = &q->httpd->o.limits;
	const char *why = find_ambiguity(&q->in);

	if (why != NULL) {
		refuse(q, 400, why);
		return false;
	}
	if (evbuffer_get_length(q->in.body) > l->body_bytes ||
	    ((q->in.parser.flags & F_CONTENTLENGTH) &&
		q->in.parser.content_length != ULLONG_MAX &&
		q->in.parser.content_length > l->body_bytes) ||
	    !httpd_room_fits(q)) {
		refuse(q, 413, "the body exceeds its limit");
		return false;
	}
	if (!q->continued && q->in.state == HTTPMSG_BODY &&
	    httpmsg_has_token(&q->in, STR("Expect"), STR("100-continue"))) {
		static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

		q->continued = true;
		bufferevent_write(q->bev, interim, sizeof(interim) - 1);
	}
	return true;
}

static void
on_complete(struct httpd_request *q)
{
	event_del(q->timer);
	q->busy = true;
	q->httpd->counts.requests++;
	/* Reading continues, so that a close is noticed. */
	bufferevent_setwatermark(q->bev, EV_READ, 0, READ_AHEAD);
	if (httpd_room_complete(q))
		q->httpd->o.on_request(q->httpd->o.arg, q);
}

static void
parse_input(struct httpd_request *q)
{
	const struct httpd_limits *l = &q->httpd->o.limits;
	struct evbuffer *in = bufferevent_get_input(q->bev);
	bool started = q->in.started;

	if (evbuffer_get_length(in) == 0)
		return;
	if (!started)
		q->in.head_limit = l->head_bytes;
	httpmsg_feed(&q->in, in);
	/* Blank lines before a request don't begin it. */
	if (!started && q->in.started) {
		q->arrived = clock_now();
		httpd_name(q, STR(""), "");
		httpd_set_timer(q, l->head_timeout);
	}
	if (q->in.state == HTTPMSG_BAD) {
		refuse(q, q->in.head_too_large ? 431 : 400,
		    q->in.head_too_large
			? "the header section exceeds its limit"
			: "the request can't be parsed");
		return;
	}
	if (q->in.state != HTTPMSG_HEAD && !check_head(q))
		return;
	if (q->in.state == HTTPMSG_DONE)
		on_complete(q);
	else if (q->in.started)
		httpd_room_check(q);
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	struct httpd_request *q = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (q->closing)
		evbuffer_drain(in, evbuffer_get_length(in));
	else if (!q->busy && !q->closing)
		parse_input(q);
}

static void
on_written(struct bufferevent *bev, void *arg)
{
	struct httpd_request *q = arg;

	(void)bev;
	if (q->busy && !q->closing && q->on_sent != NULL)
		q->on_sent(q->arg);
	/* A deferred callback may arrive after the response was queued. */
	if (output_length(q) > 0)
		return;
	if (q->closing && !q->lingering)
		half_close(q);
	else if (!q->closing && !q->busy && !q->in.started)
		start_idle(q);
}

/* The connection ends before its response. */
static void
end_conn(struct httpd_request *q)
{
	if (q->busy && !q->closing && q->on_close != NULL) {
		q->httpd->counts.caller_gone++;
		q->on_close(q->arg);
	}
	free_conn(q);
}

/* The caller has closed the connection, or it is broken. */
static void
on_conn_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if ((what & BEV_EVENT_ERROR) && EVUTIL_SOCKET_ERROR() == ETIMEDOUT)
		httpd_log_given_up(arg);
	end_conn(arg);
}

/* What the socket holds is dropped, too. */
static void
reset_on_close(struct httpd_request *q)
{
	struct linger reset = { 1, 0 };

	setsockopt(bufferevent_getfd(q->bev), SOL_SOCKET, SO_LINGER, &reset,
	    sizeof(reset));
}

void
httpd_break_off(struct httpd_request *q)
{
	log_text(LOG_LVL_NOTICE, "response-broken-off",
	    "its receiver takes almost nothing of the last %zu bytes, and "
	    "others wait for room",
	    httpd_backlog(q));
	reset_on_close(q);
	end_conn(q);
}

usec_t
httpd_time_left(const struct httpd_request *q)
{
	const struct httpd_limits *l = &q->httpd->o.limits;
	usec_t end = q->in.started ? q->arrived + q->stopped + l->head_timeout
				   : q->idle_since + l->idle_timeout;

	return end - clock_now();
}

/* Whether the caller has taken some of the output since the last timer. */
static bool
sends_output(struct httpd_request *q)
{
	size_t before = q->unsent;

	q->unsent = output_length(q);
	return q->unsent < before;
}

/* Ends a connection that waits for nothing, or whose caller takes nothing. */
static void
end_idle(struct httpd_request *q)
{
	httpd_log_given_up(q);
	if (q->closing)
		free_conn(q);
	else
		close_conn(q, "idle for too long");
}

/*
 * A timer that is due together with the input runs first: what has arrived is
 * read before the connection is judged.
 */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct httpd_request *q = arg;
	bool sending =
	    q->closing ? !q->lingering : !q->in.started && output_length(q) > 0;
	bool idle = !sending && !q->busy && !q->closing && !q->in.started &&
	    httpd_time_left(q) <= 0;

	(void)fd;
	(void)what;
	if (!q->busy && httpd_room_waits(q))
		httpd_room_on_timer(q);
	else if (!q->closing && unread_bytes(q->bev) > 0)
		httpd_set_timer(q, 0);
	else if (sending && sends_output(q))
		httpd_set_timer(q, SEND_TIMEOUT_MS * USEC_PER_MSEC);
	else if ((q->lingering || idle) && httpd_lingers(q))
		httpd_set_timer(q, LINGER_TIME);
	else if (sending || q->closing || idle)
		end_idle(q);
	else if (httpd_time_left(q) > 0)
		httpd_set_timer(q, httpd_time_left(q));
	else
		refuse(q, 408, "the request did not arrive in time");
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int n, void *arg)
{
	struct httpd *h = arg;
	struct httpd_request *q = xcalloc(1, sizeof(*q));
	int on = 1;
	int timeout_ms = SEND_TIMEOUT_MS;

	(void)l;
	(void)sa;
	(void)n;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	q->httpd = h;
	q->bev = bufferevent_socket_new(
	    h->o.base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	q->timer = evtimer_new(h->o.base, on_timer, q);
	httpmsg_init(&q->in, HTTP_REQUEST, h->o.limits.head_bytes);
	httpd_room_open(q);
	q->link.data = q;
	g_queue_push_tail_link(&h->conns, &q->link);
	h->counts.connections++;
	h->counts.open++;
	bufferevent_setcb(q->bev, on_readable, on_written, on_conn_event, q);
	bufferevent_enable(q->bev, EV_READ | EV_WRITE);
	start_idle(q);
}

static void
on_accept_error(struct evconnlistener *l, void *arg)
{
	(void)l;
	(void)arg;
	log_text(LOG_LVL_WARNING, "accept-failed", "%s", strerror(errno));
}

struct httpd *
httpd_new(const struct httpd_opts *o, struct err *e)
{
	struct httpd *h = xcalloc(1, sizeof(*h));
	struct sockaddr_in sa;

	h->o = *o;
	g_queue_init(&h->conns);
	if (addr_parse(str_from(o->addr), &sa))
		h->listener = evconnlistener_new_bind(o->base, on_accept, h,
		    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		    BACKLOG, (struct sockaddr *)&sa, sizeof(sa));
	if (h->listener == NULL) {
		err_set(e, ERR_IO, "can't listen on %s: %s", o->addr,
		    strerror(errno));
		free(h);
		return NULL;
	}
	evconnlistener_set_error_cb(h->listener, on_accept_error);
	return h;
}

void
httpd_set_limits(struct httpd *h, const struct httpd_limits *l)
{
	h->o.limits = *l;
}

void
httpd_accept(struct httpd *h, bool accepts)
{
	if (h->listener == NULL)
		return;
	if (accepts)
		evconnlistener_enable(h->listener);
	else
		evconnlistener_disable(h->listener);
}

const struct httpmsg *
httpd_message(const struct httpd_request *q)
{
	return &q->in;
}

usec_t
httpd_arrived(const struct httpd_request *q)
{
	return q->arrived;
}

void
httpd_on_close(struct httpd_request *q, void (*on_close)(void *arg), void *arg)
{
	q->on_close = on_close;
	q->arg = arg;
}

void
httpd_on_sent(struct httpd_request *q, void (*on_sent)(void *arg))
{
	q->on_sent = on_sent;
}

static void
next_request(struct httpd_request *q)
{
	q->busy = false;
	q->chunked = false;
	q->no_body = false;
	q->continued = false;
	q->on_close = NULL;
	q->on_sent = NULL;
	httpmsg_reset(&q->in);
	httpd_room_next(q);
	bufferevent_setwatermark(q->bev, EV_READ, 0, 0);
	if (evbuffer_get_length(bufferevent_get_input(q->bev)) > 0)
		bufferevent_trigger(q->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
	start_idle(q);
}

static void
finish_response(struct httpd_request *q, bool close)
{
	q->on_close = NULL;
	if (close || q->closing)
		close_after_write(q);
	else
		next_request(q);
}

/*
 * Whether the connection serves another request after this one.  A server that
 * stops still answers a request that has already arrived.
 */
static bool
may_continue(const struct httpd_request *q)
{
	return httpmsg_keep_alive(&q->in) &&
	    (!q->httpd->draining || unread_bytes(q->bev) > 0);
}

/* Returns the buffer for the bytes of a response. */
static struct evbuffer *
response_output(struct httpd_request *q)
{
	return q->held != NULL ? q->held : bufferevent_get_output(q->bev);
}

void
httpd_respond(struct httpd_request *q, const struct httpd_response *a)
{
	struct evbuffer *out = response_output(q);
	bool keep = !a->close && may_continue(q);
	bool head = q->in.parser.method == HTTP_HEAD;
	size_t n =
	    a->body.n + (a->moved != NULL ? evbuffer_get_length(a->moved) : 0);
	bool bare = a->status == HTTP_STATUS_NO_CONTENT ||
	    a->status == HTTP_STATUS_NOT_MODIFIED;

	q->no_body = head || bare;
	q->chunked = a->chunked && !q->no_body && q->in.parser.http_minor > 0;
	if (a->chunked && !q->chunked && !q->no_body)
		keep = false;
	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", a->status,
	    http_status_str((enum http_status)a->status));
	if (a->fields != NULL)
		evbuffer_add(out, a->fields, strlen(a->fields));
	if (q->chunked)
		evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
	else if (!a->chunked && !bare)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", n);
	q->keep = keep;
	evbuffer_add_printf(out, "%s\r\n", keep ? "" : "Connection: close\r\n");
	if (!q->no_body && !a->chunked) {
		evbuffer_add(out, a->body.p, a->body.n);
		if (a->moved != NULL)
			evbuffer_add_buffer(out, a->moved);
	}
	if (!a->chunked)
		finish_response(q, !keep);
}

void
httpd_write(struct httpd_request *q, struct evbuffer *bytes)
{
	struct evbuffer *out = response_output(q);
	size_t n = evbuffer_get_length(bytes);

	if (q->no_body)
		evbuffer_drain(bytes, n);
	if (n == 0 || q->no_body)
		return;
	if (q->chunked)
		evbuffer_add_printf(out, "%zx\r\n", n);
	evbuffer_add_buffer(out, bytes);
	if (q->chunked)
		evbuffer_add(out, "\r\n", 2);
}

void
httpd_cork(struct httpd_request *q, bool corked)
{
	struct evbuffer *held = q->held;

	if (corked == (held != NULL))
		return;
	q->held = corked ? evbuffer_new() : NULL;
	if (corked)
		held_watch(&q->out_held, q->held);
	if (held == NULL)
		return;
	evbuffer_add_buffer(bufferevent_get_output(q->bev), held);
	evbuffer_free(held);
}

void
httpd_drop_held(struct httpd_request *q)
{
	if (q->held != NULL) {
		evbuffer_drain(q->held, evbuffer_get_length(q->held));
		evbuffer_free(q->held);
	}
	q->held = NULL;
	q->chunked = false;
}

void
httpd_end(struct httpd_request *q)
{
	if (q->chunked)
		evbuffer_add(response_output(q), "0\r\n\r\n", 5);
	/* As its head says, even if the server has begun to stop since. */
	finish_response(q, !q->keep);
}

void
httpd_abort(struct httpd_request *q)
{
	/*
	 * Without chunks or a length, only a reset shows that the response is
	 * incomplete.
	 */
	if (!q->chunked)
		reset_on_close(q);
	q->on_close = NULL;
	evbuffer_drain(bufferevent_get_input(q->bev),
	    evbuffer_get_length(bufferevent_get_input(q->bev)));
	close_after_write(q);
}

size_t
httpd_backlog(const struct httpd_request *q)
{
	size_t held = q->held != NULL ? evbuffer_get_length(q->held) : 0;

	return output_length(q) + held;
}

/* Closes a connection unless bytes have arrived on it. */
static void
close_unless_unread(struct httpd_request *q)
{
	evutil_socket_t fd = bufferevent_getfd(q->bev);

	/* As nothing is done between the look and the close, few cross it. */
	bufferevent_setfd(q->bev, -1);
	if (unread_of_socket(fd) == 0) {
		evutil_closesocket(fd);
		free_closed(q);
	} else {
		bufferevent_setfd(q->bev, fd);
	}
}

/* Closes the connections that have no request and no response to send. */
static void
close_idle(struct httpd *h)
{
	usec_t now = clock_now();
	GList *next;

	for (GList *l = h->conns.head; l != NULL; l = next) {
		struct httpd_request *q = l->data;

		next = l->next;
		if (!q->busy && !q->closing && !q->in.started &&
		    stopping_closes_idle(now - q->idle_since) &&
		    unread_bytes(q->bev) == 0 && httpd_unsent(q) == 0)
			close_unless_unread(q);
	}
}

/* Whether a connection is established and not accepted yet. */
static bool
has_pending_conn(const struct httpd *h)
{
	struct pollfd p = { .fd = evconnlistener_get_fd(h->listener),
		.events = POLLIN };

	return poll(&p, 1, 0) > 0;
}

bool
httpd_finish(struct httpd *h)
{
	if (h->listener == NULL)
		return true;
	close_idle(h);
	if (h->counts.open > 0 || has_pending_conn(h))
		return false;
	evconnlistener_free(h->listener);
	h->listener = NULL;
	return true;
}

struct httpd_counts
httpd_counts(const struct httpd *h)
{
	return h->counts;
}

void
httpd_free(struct httpd *h)
{
	if (h->listener != NULL)
		evconnlistener_free(h->listener);
	for (GList *l = h->conns.head, *next; l != NULL; l = next) {
		next = l->next;
		free_conn(l->data);
	}
	free(h);
}
