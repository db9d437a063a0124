#include "plat/dial_state.h"
#include "base/log.h"
#include "plat/addr.h"
#include "plat/unread.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Limit on a response's header section: eight times that of usual servers. */
#define MAX_HEAD_BYTES     65536
/* Below the shortest idle timeout of common servers, 5 s. */
#define DEFAULT_IDLE_MAX   (4 * USEC_PER_SEC)
/*
 * Subtracted from a target's Keep-Alive timeout, which may expire while a
 * request is in transit.
 */
#define KEEP_ALIVE_MARGIN  (500 * USEC_PER_MSEC)
/* A connection fails if sent bytes stay unacknowledged for this long. */
#define UNACKED_TIMEOUT_MS 3000

struct failed_test {
	dial_test_handler handler;
	void *arg;
};

static void
free_queue(gpointer p)
{
	g_free(p);
}

struct dialer *
dialer_new(struct event_base *base)
{
	struct dialer *d = xcalloc(1, sizeof(*d));

	d->base = base;
	g_queue_init(&d->tests);
	d->idle =
	    g_hash_table_new_full(g_str_hash, g_str_equal, free, free_queue);
	return d;
}

void
dialer_set_memory(
    struct dialer *d, struct host_memory *m, struct held_runner *r)
{
	d->memory = m;
	d->runner = r;
}

static GQueue *
idle_pool(struct dialer *d, const char *addr)
{
	GQueue *q = g_hash_table_lookup(d->idle, addr);

	if (q == NULL) {
		q = g_new0(GQueue, 1);
		g_hash_table_insert(d->idle, str_dup(str_from(addr)), q);
	}
	return q;
}

static void
free_conn(struct conn *c)
{
	if (c->test != NULL)
		g_queue_unlink(&c->d->tests, &c->pool_link);
	else if (c->call == NULL && c->pooled)
		g_queue_unlink(idle_pool(c->d, c->addr), &c->pool_link);
	if (c->connect_timer != NULL)
		event_free(c->connect_timer);
	dial_room_close(c);
	bufferevent_free(c->bev);
	httpmsg_free(&c->response);
	evbuffer_free(c->pending_output);
	free(c->addr);
	free(c);
}

static void
free_call(struct dial_call *k)
{
	if (k->timer != NULL)
		event_free(k->timer);
	buf_free(&k->check_head);
	buf_free(&k->call_id_name);
	buf_free(&k->call_id);
	k->dialer->in_flight--;
	free(k);
}

void
dial_fail_call(struct conn *c, enum dial_event ev)
{
	struct dial_call *k = c->call;

	free_conn(c);
	if (k == NULL)
		return;
	k->handler(k->arg, ev, NULL);
	free_call(k);
}

/*
 * How long a connection may stay idle: a margin below the timeout in the
 * response's Keep-Alive field, or the default if that is not shorter.
 */
static usec_t
idle_limit(const struct httpmsg *m)
{
	struct str v = httpmsg_get(m, STR("Keep-Alive"));
	struct str part;
	uint64_t sec;

	while (v.p != NULL && str_cut(&v, ',', &part)) {
		part = str_trim(part);
		if (!str_has_prefix(part, STR("timeout=")))
			continue;
		part.p += sizeof("timeout=") - 1;
		part.n -= sizeof("timeout=") - 1;
		if (str_parse_u64(part, &sec) &&
		    sec < DEFAULT_IDLE_MAX / USEC_PER_SEC)
			return (usec_t)sec * USEC_PER_SEC - KEEP_ALIVE_MARGIN;
	}
	return DEFAULT_IDLE_MAX;
}

/* Closes the oldest idle connections until at most max are left. */
static void
trim_idle(GQueue *q, uint32_t max)
{
	while (q->length > max) {
		struct conn *c = g_queue_pop_tail_link(q)->data;

		c->pooled = false; /* already unlinked from the pool */
		free_conn(c);
	}
}

static void
release_conn(struct conn *c)
{
	GQueue *q = idle_pool(c->d, c->addr);

	c->call = NULL;
	c->pooled = true;
	c->idle_since = clock_now();
	c->idle_max = idle_limit(&c->response);
	httpmsg_reset(&c->response);
	dial_room_done(c);
	c->pool_link.data = c;
	g_queue_push_head_link(q, &c->pool_link);
	if (c->max_idle_conns > 0)
		trim_idle(q, c->max_idle_conns);
}

static void
finish_call(struct conn *c, bool reusable)
{
	struct dial_call *k = c->call;
	struct evbuffer *in = bufferevent_get_input(c->bev);

	/* The handler reads c->response, so c must outlive its call. */
	c->call = NULL;
	c->pooled = false;
	k->handler(k->arg, DIAL_END, &c->response);
	if (k->call_id_name.n > 0 && k->call_id.n == 0 && !k->confirmed)
		reusable = false;
	free_call(k);
	if (evbuffer_get_length(in) > 0) {
		c->d->counts.stray++;
		reusable = false;
	}
	/* The target responded before it had read the whole call. */
	if (evbuffer_get_length(bufferevent_get_output(c->bev)) > 0)
		reusable = false;
	if (reusable)
		release_conn(c);
	else
		free_conn(c);
}

/* Delivers an event; returns false if the handler cancelled the call. */
static bool
notify_handler(struct conn *c, enum dial_event ev)
{
	struct dial_call *k = c->call;

	c->in_handler = true;
	k->handler(k->arg, ev, &c->response);
	c->in_handler = false;
	if (!c->cancelled)
		return true;
	free_conn(c);
	return false;
}

bool
dial_is_stray(const struct conn *c)
{
	const struct dial_call *k = c->call;
	struct str echoed;

	if (k->call_id_name.n == 0)
		return false;
	echoed = httpmsg_get(&c->response, str_of(&k->call_id_name));
	return echoed.p != NULL && !str_eq(echoed, str_of(&k->call_id));
}

bool
dial_skip_stray(struct conn *c)
{
	struct evbuffer *body = c->response.body;

	c->call->stray_bytes += evbuffer_get_length(body);
	evbuffer_drain(body, evbuffer_get_length(body));
	return c->call->stray_bytes <= MAX_UNREAD_BYTES;
}

/* Returns whether the call goes on. */
static bool
on_message(struct conn *c)
{
	struct dial_call *k = c->call;

	if (c->checking)
		return dial_check_message(c);
	if (c->response.state == HTTPMSG_BAD) {
		dial_fail_call(
		    c, k->head_delivered ? DIAL_BROKEN : DIAL_BAD_RESPONSE);
		return false;
	}
	if (c->response.state == HTTPMSG_HEAD)
		return true;
	if (!k->head_delivered && dial_is_stray(c)) {
		if (!dial_skip_stray(c)) {
			dial_fail_call(c, DIAL_BROKEN);
			return false;
		}
		if (c->response.state != HTTPMSG_DONE)
			return true;
		c->d->counts.stray++;
		httpmsg_reset(&c->response);
		c->response.body_allowed = !k->head_only;
		httpmsg_feed(&c->response, bufferevent_get_input(c->bev));
		return on_message(c);
	}
	if (!k->head_delivered) {
		k->head_delivered = true;
		if (!notify_handler(c, DIAL_HEAD))
			return false;
	}
	if (c->response.state == HTTPMSG_DONE) {
		finish_call(c, httpmsg_keep_alive(&c->response));
		return false;
	}
	if (evbuffer_get_length(c->response.body) > 0 &&
	    !notify_handler(c, DIAL_BODY))
		return false;
	if (evbuffer_get_length(c->response.body) > MAX_UNREAD_BYTES) {
		dial_fail_call(c, DIAL_BROKEN);
		return false;
	}
	return true;
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;

	if (c->call == NULL) {
		c->d->counts.stray++;
		free_conn(c);
		return;
	}
	dial_room_take(c);
	httpmsg_feed(&c->response, bufferevent_get_input(bev));
	if (on_message(c))
		dial_room_check(c);
}

/* All that was to be sent has been, if nothing has been added since. */
static void
on_written(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;

	if (c->call != NULL && c->connected && !c->checking &&
	    c->call->written_at == 0 &&
	    evbuffer_get_length(bufferevent_get_output(bev)) == 0)
		c->call->written_at = clock_now();
}

/* Ends a test: the connection becomes an idle one, or is freed. */
static void
end_test(struct conn *c, bool connected)
{
	dial_test_handler handler = c->test;
	void *arg = c->test_arg;

	if (connected) {
		g_queue_unlink(&c->d->tests, &c->pool_link);
		c->test = NULL;
		release_conn(c);
	} else {
		free_conn(c);
	}
	handler(arg, connected);
}

void
dial_send_pending(struct conn *c)
{
	c->response.body_allowed = !c->call->head_only;
	bufferevent_write_buffer(c->bev, c->pending_output);
}

static void
on_connected(struct conn *c)
{
	c->connected = true;
	event_del(c->connect_timer);
	if (c->test != NULL) {
		end_test(c, true);
		return;
	}
	if (c->checking)
		dial_check_begin(c);
	else if (c->call != NULL)
		dial_send_pending(c);
	if (c->call != NULL && c->call->connected != NULL)
		c->call->connected(c->call->arg);
}

/*
 * Whether the target has closed the connection after it has got the whole call.
 * A reset is reported once: if writing gets it, reading gets an end.
 */
static bool
closed_in_order(const struct conn *c, short what)
{
	return (what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0 &&
	    evbuffer_get_length(bufferevent_get_output(c->bev)) == 0;
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *c = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		on_connected(c);
		return;
	}
	if (c->test != NULL) {
		end_test(c, false);
		return;
	}
	if (c->call == NULL) {
		free_conn(c);
		return;
	}
	if (!c->connected) {
		dial_fail_call(c, DIAL_UNSENT);
		return;
	}
	if (c->checking) {
		dial_fail_call(c, DIAL_UNCHECKED);
		return;
	}
	/* Without a delivered head, what ends here is another response. */
	if (closed_in_order(c, what) && c->response.state == HTTPMSG_BODY &&
	    c->call->head_delivered) {
		httpmsg_eof(&c->response);
		if (c->response.state == HTTPMSG_DONE) {
			on_message(c);
			return;
		}
	}
	dial_fail_call(c, DIAL_BROKEN);
}

/* Whether the connection attempt has ended, with either result. */
static bool
has_connect_result(const struct conn *c)
{
	struct pollfd p = { .fd = bufferevent_getfd(c->bev),
		.events = POLLOUT };

	return poll(&p, 1, 0) > 0;
}

static void
on_connect_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct timeval now = { 0, 0 };
	struct conn *c = arg;

	(void)fd;
	(void)what;
	if (c->checking && c->connected) {
		now = dial_room_step(c->call);
		if (late_read_goes_on(&c->call->late_read,
			dial_has_input(c->call), clock_now()))
			evtimer_add(c->connect_timer, &now);
		else
			dial_fail_call(c, DIAL_UNCHECKED);
	} else if (!c->connected && has_connect_result(c))
		evtimer_add(c->connect_timer, &now);
	else if (c->test != NULL)
		end_test(c, false);
	else if (!c->connected)
		dial_fail_call(c, DIAL_UNSENT);
}

static void
set_socket_options(int fd)
{
	int on = 1;
	int timeout = UNACKED_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

static struct conn *
open_conn(struct dialer *d, struct str addr, usec_t timeout)
{
	struct conn *c;
	struct sockaddr_in sa;
	struct timeval tv = { timeout / USEC_PER_SEC, timeout % USEC_PER_SEC };
	int fd;

	if (!addr_parse(addr, &sa))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		log_text(LOG_LVL_WARNING, "no-socket", "%s", strerror(errno));
		return NULL;
	}
	set_socket_options(fd);
	c = xcalloc(1, sizeof(*c));
	c->d = d;
	c->addr = str_dup(addr);
	c->opened = clock_now();
	c->pending_output = evbuffer_new();
	httpmsg_init(&c->response, HTTP_RESPONSE, MAX_HEAD_BYTES);
	c->bev = bufferevent_socket_new(
	    d->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(c->bev, on_readable, on_written, on_event, c);
	dial_room_open(c);
	c->connect_timer = evtimer_new(d->base, on_connect_timeout, c);
	evtimer_add(c->connect_timer, &tv);
	d->counts.connections++;
	if (bufferevent_socket_connect(
		c->bev, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
		free_conn(c);
		return NULL;
	}
	return c;
}

/*
 * Takes the most recently used idle connection that the target has not closed
 * and that has no unread bytes, or returns NULL.
 */
static struct conn *
take_idle(struct dialer *d, const char *addr, const struct dial_opts *o)
{
	usec_t now = clock_now();
	GQueue *q = idle_pool(d, addr);
	char byte;

	for (GList *l = q->head, *next; l != NULL; l = next) {
		struct conn *c = l->data;
		ssize_t n;

		next = l->next;
		/* All further connections have been idle for longer. */
		if (o->max_idle_time > 0 &&
		    now - c->idle_since > o->max_idle_time)
			return NULL;
		n = recv(bufferevent_getfd(c->bev), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT);

		/* What has been read may not have been handled yet. */
		if (now - c->idle_since < c->idle_max &&
		    (o->max_age == 0 || now - c->opened <= o->max_age) &&
		    n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
		    evbuffer_get_length(bufferevent_get_input(c->bev)) == 0) {
			g_queue_unlink(q, &c->pool_link);
			return c;
		}
		free_conn(c);
	}
	return NULL;
}

static void
on_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct dial_call *k = arg;
	struct timeval next = dial_room_step(k);

	(void)fd;
	(void)what;
	if (late_read_goes_on(&k->late_read, dial_has_input(k), clock_now()))
		evtimer_add(k->timer, &next);
	else
		dial_fail_call(
		    k->conn, k->conn->checking ? DIAL_UNCHECKED : DIAL_BROKEN);
}

static void
start_timer(struct dialer *d, struct dial_call *k, usec_t timeout)
{
	struct timeval tv = { timeout / USEC_PER_SEC, timeout % USEC_PER_SEC };

	k->timer = evtimer_new(d->base, on_call_timeout, k);
	evtimer_add(k->timer, &tv);
}

struct dial_call *
dial_start(struct dialer *d, const struct dial_opts *o)
{
	struct dial_call *k;
	g_autofree char *addr = g_strndup(o->addr.p, o->addr.n);
	struct conn *c = take_idle(d, addr, o);

	if (c == NULL) {
		if (o->max_idle_conns > 0)
			trim_idle(idle_pool(d, addr), o->max_idle_conns - 1);
		c = open_conn(d, o->addr, o->connect_timeout);
	}
	if (c == NULL)
		return NULL;
	c->max_idle_conns = o->max_idle_conns;
	k = xcalloc(1, sizeof(*k));
	k->dialer = d;
	d->in_flight++;
	k->conn = c;
	k->handler = o->handler;
	k->connected = o->connected;
	k->arg = o->arg;
	k->head_only = o->head_only;
	if (o->timeout > 0)
		start_timer(d, k, o->timeout);
	buf_put(&k->call_id_name, o->call_id_name);
	buf_put(&k->call_id, o->call_id);
	k->check = o->check;
	buf_put(&k->check_head, o->check.head);
	c->call = k;
	c->checking = o->check.number != 0 && c->checked != o->check.number;
	d->counts.calls++;
	/*
	 * Nothing is written to the socket until it is connected, so that a
	 * failed connection attempt guarantees that nothing was sent.
	 */
	evbuffer_add(c->pending_output, o->head.p, o->head.n);
	if (o->body != NULL)
		evbuffer_add_buffer(c->pending_output, o->body);
	if (o->shared_body != NULL)
		evbuffer_add_buffer_reference(
		    c->pending_output, o->shared_body);
	if (c->connected && c->checking)
		dial_check_begin(c);
	else if (c->connected)
		dial_send_pending(c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	return k;
}

void
dial_cancel(struct dial_call *k)
{
	struct conn *c = k->conn;

	c->call = NULL;
	c->pooled = false;
	free_call(k);
	if (c->in_handler)
		c->cancelled = true;
	else
		free_conn(c);
}

bool
dial_has_input(const struct dial_call *k)
{
	return unread_bytes(k->conn->bev) > 0 || dial_is_held(k);
}

usec_t
dial_written_at(const struct dial_call *k)
{
	return k->written_at;
}

void
dial_confirm(struct dial_call *k)
{
	k->confirmed = true;
}

/* Reports a test whose connection could not be started. */
static void
on_test_not_started(evutil_socket_t fd, short what, void *arg)
{
	struct failed_test *t = arg;

	(void)fd;
	(void)what;
	t->handler(t->arg, false);
	free(t);
}

void
dial_test(struct dialer *d, struct str addr, usec_t timeout,
    dial_test_handler handler, void *arg)
{
	struct conn *c = open_conn(d, addr, timeout);
	struct timeval now = { 0, 0 };
	struct failed_test *t;

	if (c == NULL) {
		t = xcalloc(1, sizeof(*t));
		*t = (struct failed_test){ handler, arg };
		event_base_once(
		    d->base, -1, EV_TIMEOUT, on_test_not_started, t, &now);
		return;
	}
	c->test = handler;
	c->test_arg = arg;
	c->pool_link.data = c;
	g_queue_push_tail_link(&d->tests, &c->pool_link);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

void
dial_close_idle(struct dialer *d, struct str addr)
{
	g_autofree char *text = g_strndup(addr.p, addr.n);
	GQueue *q = g_hash_table_lookup(d->idle, text);

	if (q != NULL)
		trim_idle(q, 0);
}

void
dialer_sweep(struct dialer *d, usec_t now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, d->idle);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		GQueue *q = p;

		for (GList *l = q->tail, *prev; l != NULL; l = prev) {
			struct conn *c = l->data;

			prev = l->prev;
			if (now - c->idle_since < c->idle_max)
				break;
			free_conn(c);
		}
		if (q->head == NULL)
			g_hash_table_iter_remove(&it);
	}
}

struct dial_counts
dialer_counts(const struct dialer *d)
{
	return d->counts;
}

void
dialer_free(struct dialer *d)
{
	struct conn *test;
	GHashTableIter it;
	gpointer p;

	/* They would end later, when what they use is freed. */
	if (d->in_flight > 0)
		log_text(LOG_LVL_ERR, "calls-left",
		    "%zu calls are in flight at the end", d->in_flight);
	while ((test = g_queue_peek_head(&d->tests)) != NULL)
		end_test(test, false);
	g_hash_table_iter_init(&it, d->idle);
	while (g_hash_table_iter_next(&it, NULL, &p))
		trim_idle(p, 0);
	g_hash_table_destroy(d->idle);
	free(d);
}
