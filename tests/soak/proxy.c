#include "tests/soak/proxy.h"
#include "base/clock.h"
#include "base/str.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_LINKS 64
#define DELAY_MS  100
/* Connections that fill the queue of a listener with a backlog of 0. */
#define FILLERS   2
#define BIND_TIME (2 * USEC_PER_SEC)

struct link {
	struct proxy *p;
	struct evconnlistener *listener; /* NULL: not PROXY_ACCEPT */
	/* Sockets that make connections hang; -1: not PROXY_HANG. */
	int hanging[1 + FILLERS];
	uint16_t from;
	uint16_t to; /* port of the server */
	enum proxy_fault fault;
	/* Set by callers, carried out by the proxy's thread. */
	bool reset_requested;
	bool silence_requested;
	bool forward_requested; /* of data that a fault held back */
	GPtrArray *sessions;
};

struct proxy_session {
	struct link *link;
	struct bufferevent *client;
	struct bufferevent *server;
	struct event *timer;
	bool silent;
};

struct proxy {
	pthread_t thread;
	pthread_mutex_t lock;
	struct event_base *base;
	struct event *wakeup;
	struct link links[MAX_LINKS];
	int n_links;
	bool stopping;
};

static void
free_session(struct proxy_session *x, bool reset)
{
	struct linger reset_on_close = { 1, 0 };

	if (reset) {
		setsockopt(bufferevent_getfd(x->client), SOL_SOCKET, SO_LINGER,
		    &reset_on_close, sizeof(reset_on_close));
		setsockopt(bufferevent_getfd(x->server), SOL_SOCKET, SO_LINGER,
		    &reset_on_close, sizeof(reset_on_close));
	}
	g_ptr_array_remove_fast(x->link->sessions, x);
	event_free(x->timer);
	bufferevent_free(x->client);
	bufferevent_free(x->server);
	free(x);
}

/* Forwards the data received, as far as the link's fault allows. */
static void
forward_data(struct proxy_session *x)
{
	enum proxy_fault f = x->link->fault;

	if (x->silent || f == PROXY_CUT_BOTH)
		return;
	if (f != PROXY_CUT_UP)
		bufferevent_write_buffer(
		    x->server, bufferevent_get_input(x->client));
	if (f != PROXY_CUT_DOWN)
		bufferevent_write_buffer(
		    x->client, bufferevent_get_input(x->server));
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct proxy_session *x = arg;

	(void)fd;
	(void)what;
	pthread_mutex_lock(&x->link->p->lock);
	forward_data(x);
	pthread_mutex_unlock(&x->link->p->lock);
}

static void
on_data(struct bufferevent *bev, void *arg)
{
	struct proxy_session *x = arg;
	struct proxy *p = x->link->p;
	struct timeval tv = { 0, DELAY_MS * 1000 };

	(void)bev;
	pthread_mutex_lock(&p->lock);
	if (x->link->fault == PROXY_DELAY)
		evtimer_add(x->timer, &tv);
	else
		forward_data(x);
	pthread_mutex_unlock(&p->lock);
}

/*
 * Closes both sides after one was closed, with the remaining data forwarded,
 * unless a fault blocks the link.
 */
static void
on_side_closed(struct bufferevent *bev, short what, void *arg)
{
	struct proxy_session *x = arg;
	struct proxy *p = x->link->p;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	pthread_mutex_lock(&p->lock);
	if (x->link->fault == PROXY_NONE || x->link->fault == PROXY_DELAY) {
		forward_data(x);
		bufferevent_flush(x->client, EV_WRITE, BEV_FLUSH);
		free_session(x, (what & BEV_EVENT_ERROR) != 0);
	}
	pthread_mutex_unlock(&p->lock);
}

static void
on_conn(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int n, void *arg)
{
	struct link *k = arg;
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons(k->to),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct proxy_session *x = xcalloc(1, sizeof(*x));
	int flags = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;

	(void)l;
	(void)sa;
	(void)n;
	pthread_mutex_lock(&k->p->lock);
	x->link = k;
	x->client = bufferevent_socket_new(k->p->base, fd, flags);
	x->server = bufferevent_socket_new(k->p->base, -1, flags);
	x->timer = evtimer_new(k->p->base, on_timer, x);
	g_ptr_array_add(k->sessions, x);
	bufferevent_setcb(x->client, on_data, NULL, on_side_closed, x);
	bufferevent_setcb(x->server, on_data, NULL, on_side_closed, x);
	bufferevent_enable(x->client, EV_READ | EV_WRITE);
	bufferevent_enable(x->server, EV_READ | EV_WRITE);
	bufferevent_socket_connect(
	    x->server, (struct sockaddr *)&addr, sizeof(addr));
	pthread_mutex_unlock(&k->p->lock);
}

static void
apply_requests(struct link *k)
{
	for (guint i = 0; i < k->sessions->len; i++) {
		struct proxy_session *x = k->sessions->pdata[i];

		x->silent = x->silent || k->silence_requested;
		if (k->forward_requested)
			forward_data(x);
	}
	for (guint i = k->reset_requested ? k->sessions->len : 0; i-- > 0;)
		free_session(k->sessions->pdata[i], true);
	k->reset_requested = k->silence_requested = k->forward_requested =
	    false;
}

static void
on_wakeup(evutil_socket_t fd, short what, void *arg)
{
	struct proxy *p = arg;

	(void)fd;
	(void)what;
	pthread_mutex_lock(&p->lock);
	for (int i = 0; i < p->n_links; i++)
		apply_requests(&p->links[i]);
	if (p->stopping)
		event_base_loopbreak(p->base);
	pthread_mutex_unlock(&p->lock);
}

static void *
run_loop(void *arg)
{
	struct proxy *p = arg;

	event_base_loop(p->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

struct proxy *
proxy_start(void)
{
	struct proxy *p = xcalloc(1, sizeof(*p));

	evthread_use_pthreads();
	pthread_mutex_init(&p->lock, NULL);
	p->base = event_base_new();
	p->wakeup = event_new(p->base, -1, EV_PERSIST, on_wakeup, p);
	pthread_create(&p->thread, NULL, run_loop, p);
	return p;
}

static struct sockaddr_in
listen_addr(const struct link *k)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
		.sin_port = htons(k->from),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
}

static void
start_accepting(struct link *k)
{
	struct sockaddr_in addr = listen_addr(k);

	k->listener = evconnlistener_new_bind(k->p->base, on_conn, k,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_THREADSAFE |
		LEV_OPT_CLOSE_ON_EXEC,
	    256, (struct sockaddr *)&addr, sizeof(addr));
	g_assert_nonnull(k->listener);
}

/* Fills the queue of a listener that never accepts. */
static void
start_hanging(struct link *k)
{
	struct sockaddr_in addr = listen_addr(k);
	usec_t deadline = clock_now() + BIND_TIME;
	int one = 1;

	for (int i = 0; i < 1 + FILLERS; i++)
		k->hanging[i] = socket(
		    AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	setsockopt(k->hanging[0], SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	/* The proxy's thread may still hold the listener that was freed. */
	while (
	    bind(k->hanging[0], (struct sockaddr *)&addr, sizeof(addr)) != 0) {
		g_assert_cmpint(clock_now(), <, deadline);
		g_usleep(1000);
	}
	g_assert_cmpint(listen(k->hanging[0], 0), ==, 0);
	for (int i = 1; i < 1 + FILLERS; i++)
		(void)connect(
		    k->hanging[i], (struct sockaddr *)&addr, sizeof(addr));
}

static void
stop_listening(struct link *k)
{
	if (k->listener != NULL)
		evconnlistener_free(k->listener);
	k->listener = NULL;
	for (int i = 0; i < 1 + FILLERS; i++) {
		if (k->hanging[i] >= 0)
			close(k->hanging[i]);
		k->hanging[i] = -1;
	}
}

int
proxy_link(struct proxy *p, uint16_t from, uint16_t to)
{
	struct link *k = &p->links[p->n_links];

	g_assert_cmpint(p->n_links, <, MAX_LINKS);
	k->p = p;
	k->from = from;
	k->to = to;
	memset(k->hanging, -1, sizeof(k->hanging));
	k->sessions = g_ptr_array_new();
	start_accepting(k);
	return p->n_links++;
}

void
proxy_set_listen(struct proxy *p, int link, enum proxy_listen how)
{
	struct link *k = &p->links[link];

	stop_listening(k);
	switch (how) {
	case PROXY_ACCEPT:
		start_accepting(k);
		break;
	case PROXY_REFUSE:
		break;
	case PROXY_HANG:
		start_hanging(k);
		break;
	}
}

void
proxy_set_fault(struct proxy *p, int link, enum proxy_fault fault)
{
	pthread_mutex_lock(&p->lock);
	p->links[link].fault = fault;
	p->links[link].forward_requested = fault == PROXY_NONE;
	pthread_mutex_unlock(&p->lock);
	event_active(p->wakeup, EV_TIMEOUT, 0);
}

void
proxy_reset(struct proxy *p, int link)
{
	pthread_mutex_lock(&p->lock);
	p->links[link].reset_requested = true;
	pthread_mutex_unlock(&p->lock);
	event_active(p->wakeup, EV_TIMEOUT, 0);
}

void
proxy_silence(struct proxy *p, int link)
{
	pthread_mutex_lock(&p->lock);
	p->links[link].silence_requested = true;
	pthread_mutex_unlock(&p->lock);
	event_active(p->wakeup, EV_TIMEOUT, 0);
}

void
proxy_stop(struct proxy *p)
{
	p->stopping = true;
	event_active(p->wakeup, EV_TIMEOUT, 0);
	pthread_join(p->thread, NULL);
	for (int i = 0; i < p->n_links; i++) {
		for (guint k = p->links[i].sessions->len; k-- > 0;)
			free_session(p->links[i].sessions->pdata[k], false);
		g_ptr_array_unref(p->links[i].sessions);
		stop_listening(&p->links[i]);
	}
	event_free(p->wakeup);
	/* Deferred callbacks still hold references to bufferevents. */
	event_base_loop(p->base, EVLOOP_NONBLOCK);
	event_base_free(p->base);
	pthread_mutex_destroy(&p->lock);
	free(p);
}
